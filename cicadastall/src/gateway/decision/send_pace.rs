//! Divides the rate of requests that an upstream tolerates among the entries of its region.
//!
//! Entries that share a rate may be unable to communicate, and a low rate can't be divided among all of
//! them. Therefore only as many entries send as have a useful share each, and all entries find them with
//! the same hash. Entries that know different members may choose different senders.

use crate::{
    gateway::knowledge::{
        conditions::ActiveLimit,
        warmup::{RATE_FRACTION, choose_sender, hash_pair, send_interval},
    },
    name::{InstanceName, UpstreamName},
};
use std::time::Duration;
use tokio::time::Instant;

/// Smallest share of a limit for which another entry sends, in requests per second.
const MIN_SHARE_PER_S: f64 = 1.0;

/// Rate of requests to an upstream that names a lower limit, in requests per second; only its answers
/// tell the end of the limit.
const TRIAL_RATE_PER_S: f64 = 0.2;

/// Time without news of a limit after which all entries send a share of it, as its senders may have lost
/// their path to the upstream. Several times the interval between two reports of the same limit.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time by which a request may be early after one that was late.
const MAX_EARLY: Duration = Duration::from_millis(100);

/// Time after it became due for which a send is reserved for a request that waits.
const RESERVATION_TIME: Duration = Duration::from_millis(100);

/// The entry that divides, and the upstream.
#[derive(Debug, Clone, Copy)]
pub struct PaceInput<'a> {
    /// This entry.
    pub own: &'a InstanceName,
    /// Entries of the region, including this one.
    pub entries: &'a [InstanceName],
    /// The upstream.
    pub upstream: &'a UpstreamName,
    /// Start time of its process, in milliseconds since the Unix epoch by its own clock.
    pub started_ms: u64,
    /// Current time.
    pub now: Instant,
}

/// What this entry may send to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendShare {
    /// Nothing; other entries send.
    None,
    /// One request in each interval, the first one not before a point in time.
    Paced {
        /// Time between two requests.
        interval: Duration,
        /// Earliest time of a request.
        from: Instant,
    },
}

impl SendShare {
    /// Share of the `per_s` requests per second that a cold upstream tolerates, which one entry sends.
    pub fn of_warmup(input: &PaceInput<'_>, per_s: f64) -> Self {
        let sender = choose_sender(input.entries, input.upstream, input.started_ms);
        match send_interval(per_s) {
            Some(interval) if sender == Some(input.own) => {
                Self::Paced { interval, from: input.now }
            }
            _ => Self::None,
        }
    }

    /// Share of the limit that an upstream named.
    pub fn of_limit(input: &PaceInput<'_>, limit: &ActiveLimit) -> Self {
        let per_s = limit.rate.per_s().max(TRIAL_RATE_PER_S) * RATE_FRACTION;
        let entries = input.entries.len().max(1);
        let senders = ((per_s / MIN_SHARE_PER_S) as usize).clamp(1, entries);
        let interval = |senders: usize| Duration::from_secs_f64(senders as f64 / per_s);
        let all_from = limit.heard_at + SILENCE_TIMEOUT.max(2 * interval(senders));
        if input.now < all_from {
            return match is_sender(input, senders) {
                true => Self::Paced { interval: interval(senders), from: input.now },
                false => Self::None,
            };
        }
        // Each entry begins at another time, so that they do not all send at once.
        let interval = interval(entries);
        let name = (input.upstream.as_str(), input.started_ms);
        let offset = hash_pair(input.own.as_str(), name) as f64 / u64::MAX as f64;
        Self::Paced { interval, from: all_from + interval.mul_f64(offset) }
    }

    /// The lower of two shares.
    pub fn min(self, other: Self) -> Self {
        match (self, other) {
            (
                Self::Paced { interval, from },
                Self::Paced { interval: other_interval, from: other_from },
            ) => Self::Paced { interval: interval.max(other_interval), from: from.max(other_from) },
            (Self::None, _) | (_, Self::None) => Self::None,
        }
    }
}

/// Whether this entry is among the `senders` entries that send to the upstream.
fn is_sender(input: &PaceInput<'_>, senders: usize) -> bool {
    let name = (input.upstream.as_str(), input.started_ms);
    let hash = |entry: &InstanceName| hash_pair(entry.as_str(), name);
    let own = hash(input.own);
    input.entries.iter().filter(|entry| *entry != input.own && hash(entry) > own).count() < senders
}

/// Number of requests that this entry may have in flight at a brittle upstream with `slots` slots, so that
/// all entries together leave none waiting there. As many entries send as there are slots.
pub fn brittle_share(input: &PaceInput<'_>, slots: u32) -> usize {
    let entries = input.entries.len().max(1);
    let senders = (slots as usize).clamp(1, entries);
    if is_sender(input, senders) { (slots as usize / senders).max(1) } else { 0 }
}

/// Times of this entry's requests to an upstream with a limited rate.
#[derive(Debug, Clone, Default)]
pub struct SendPace {
    next: Option<Instant>,
    /// Most urgent rank of the requests that wait for the next send, and when that is due.
    awaited: Option<(u8, Instant)>,
}

impl SendPace {
    /// Earliest time at which a request of `rank` may be sent, given the `interval` between two. A send for
    /// which a more urgent request waits is left to that one, and no two requests of a rank wait for the
    /// same send.
    pub fn next_send(&self, rank: u8, interval: Duration, now: Instant) -> Instant {
        let next = self.next.unwrap_or(now);
        let awaited = self.awaited.filter(|(_, due)| now < *due + RESERVATION_TIME);
        let taken = match awaited {
            Some((awaited, _)) if now < next => awaited <= rank,
            Some((awaited, _)) => awaited < rank,
            None => false,
        };
        if taken { next.max(now) + interval } else { next }
    }

    /// Reserves the send that is due at `due` for a request of `rank`.
    pub fn reserve(&mut self, rank: u8, due: Instant) {
        self.awaited = Some((rank, due));
    }

    /// Records a request; the next one may follow after `interval`.
    pub fn note_sent(&mut self, interval: Duration, now: Instant) {
        let early = now.checked_sub(MAX_EARLY.min(interval / 2)).unwrap_or(now);
        self.next = Some(self.next.map_or(now, |next| next.clamp(early, now)) + interval);
        self.awaited = None;
    }
}
