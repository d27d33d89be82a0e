//! What a chooser learns from attempts: ends of requests, refusals, pauses and lost paths.

use crate::{
    gateway::{
        decision::{
            chooser::UpstreamChooser,
            tracker::{SendEnd, SendNumber},
        },
        knowledge::fleet_update::RegisteredUpstream,
    },
    name::{PoolName, RegionName, UpstreamName},
};
use std::{collections::HashSet, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Weight of one observation in the moving average of answer times.
const ANSWER_TIME_WEIGHT: f64 = 0.05;

/// Backoff for an upstream that has no room, unless it names a time itself.
const FULL_BACKOFF: Duration = Duration::from_millis(150);

/// The same for a brittle upstream, which ends if it refuses too many requests in one second.
const BRITTLE_FULL_BACKOFF: Duration = Duration::from_secs(1);

/// Backoff for a region none of whose entries could be reached, and for an entry that could not be.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(2);

/// Longest pause that is honored; an upstream that asks for more needs an operator's attention.
const MAX_PAUSE: Duration = Duration::from_secs(300);

impl UpstreamChooser {
    /// Records that the answer to a send has begun.
    pub fn note_answering(&mut self, upstream: &UpstreamName, number: SendNumber, now: Instant) {
        if let Some(tracker) = self.trackers.get_mut(upstream) {
            tracker.note_answering(number, now);
        }
    }

    /// Records that a send has ended.
    pub fn note_ended(
        &mut self,
        pool: &PoolName,
        upstream: &UpstreamName,
        number: SendNumber,
        end: SendEnd,
        now: Instant,
    ) {
        let Some(tracker) = self.trackers.get_mut(upstream) else { return };
        if let Some((class, took_ms)) = tracker.note_ended(number, end, now) {
            let mean = self.answer_ms.entry((pool.clone(), class)).or_insert(took_ms);
            *mean += ANSWER_TIME_WEIGHT * (took_ms - *mean);
        }
    }

    /// Records that no entry of a region could be reached.
    pub fn note_unreachable(&mut self, region: &RegionName, now: Instant) {
        self.unreachable.insert(region.clone(), now + UNREACHABLE_BACKOFF);
    }

    /// Regions that are backed off because none of their entries could be reached.
    pub fn unreachable_regions(&self, now: Instant) -> impl Iterator<Item = &RegionName> {
        self.unreachable.iter().filter(move |(_, until)| now < **until).map(|(region, _)| region)
    }

    /// Sets the upstreams that get no requests until they are reached again.
    pub fn set_blocked(&mut self, blocked: HashSet<UpstreamName>) {
        self.blocked = blocked;
    }

    /// Records that an upstream is reached again, which ends its backoff.
    pub fn note_reached(&mut self, upstream: &UpstreamName) {
        if let Some(tracker) = self.trackers.get_mut(upstream) {
            tracker.end_backoff();
        }
    }

    /// Records that another entry of the region could not be reached.
    pub fn note_lost_entry(&mut self, entry: SocketAddr, now: Instant) {
        self.lost_entries.retain(|_, until| now < *until);
        self.lost_entries.insert(entry, now + UNREACHABLE_BACKOFF);
    }

    /// Whether another entry of the region is backed off because it could not be reached.
    pub fn is_lost_entry(&self, entry: SocketAddr, now: Instant) -> bool {
        self.lost_entries.get(&entry).is_some_and(|until| now < *until)
    }

    /// Records that an upstream refused a request for lack of room.
    pub fn note_full(&mut self, upstream: &UpstreamName, now: Instant) {
        if let Some(tracker) = self.trackers.get_mut(upstream) {
            let brittle = self.conditions.is_brittle(upstream, tracker.started_ms());
            let backoff = if brittle { BRITTLE_FULL_BACKOFF } else { FULL_BACKOFF };
            tracker.note_full(backoff, now);
        }
    }

    /// Records that an upstream asked for no work for `bound`.
    pub fn note_pause(&mut self, upstream: &UpstreamName, bound: Duration, now: Instant) {
        if bound > MAX_PAUSE {
            log::warn!(
                upstream = upstream.as_str(), seconds = bound.as_secs(), most_s = MAX_PAUSE.as_secs();
                "an upstream wants no work for longer than is believed"
            );
        }
        if let Some(tracker) = self.trackers.get_mut(upstream) {
            tracker.note_pause(bound.min(MAX_PAUSE), now);
        }
    }

    /// Records that the process of an upstream that started at `started_ms` announced that it is leaving.
    pub fn note_leaving(&mut self, upstream: &UpstreamName, started_ms: u64, now: Instant) {
        if self.departures.record(upstream, started_ms, now) {
            log::info!(upstream = upstream.as_str(), started_ms; "upstream says that it leaves");
        }
    }

    /// Whether a chosen upstream may still be sent to, that is, it has neither announced that it is
    /// leaving nor asked for a pause since, nor named a limit unless the send is `paced`.
    pub fn may_send(&self, upstream: &RegisteredUpstream, paced: bool, now: Instant) -> bool {
        if !paced && self.conditions.limit(upstream).is_some() {
            return false;
        }
        let tracker = self.trackers.get(&upstream.name);
        let paused = tracker.is_some_and(|tracker| tracker.pause_end(now).is_some());
        !paused && !self.departures.contains(upstream)
    }
}
