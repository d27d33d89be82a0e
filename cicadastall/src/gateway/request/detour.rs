//! Forwards requests through another entry of the region if this one reaches no upstream of their pool.

use crate::{
    gateway::{
        decision::choice::{ChoiceBasis, UpstreamChoice},
        knowledge::{fleet_update::RegisteredUpstream, reach::probe_path},
        request::{context::EntryContext, relay::CallRelay},
    },
    table::{EntryRecord, EntryState},
};
use rand::seq::IteratorRandom;
use std::sync::Arc;
use tokio::time::Instant;

/// Number of entries of which the one with the fewest requests in flight is chosen.
const DETOUR_CANDIDATES: usize = 2;

impl CallRelay {
    /// Another entry of the region, if this one reaches no upstream of the pool and the other does. A
    /// forwarded request makes no second hop.
    pub(crate) fn choose_detour(&self) -> Option<UpstreamChoice> {
        let (context, call) = (&self.context, &self.call);
        let region = &context.node.region;
        if call.hopped || !call.allows_region(region) || !context.is_unreached(&call.pool) {
            return None;
        }
        let view = context.view.load();
        let now = Instant::now();
        let chooser = context.chooser();
        let reaches = |entry: &&EntryRecord| {
            entry.region == *region
                && entry.state == EntryState::Serving
                && entry.instance != context.node.instance
                && !view.is_unreached_by(&entry.instance, &call.pool)
                && !self.tried.entries.contains(&entry.peer_address)
                && !chooser.is_lost_entry(entry.peer_address, now)
        };
        let others = view.live.iter().filter(reaches);
        let candidates = others.sample(&mut rand::rng(), DETOUR_CANDIDATES);
        let best = candidates.into_iter().min_by_key(|entry| entry.in_flight)?;
        let basis = ChoiceBasis { requests: best.in_flight, ..ChoiceBasis::default() };
        Some(UpstreamChoice::Region { region: region.clone(), entry: best.peer_address, basis })
    }
}

impl EntryContext {
    /// Records that an exchange with `upstream` ended without an answer.
    pub(crate) fn note_unanswered(self: &Arc<Self>, upstream: &RegisteredUpstream) {
        self.reach().note_failed(upstream, Instant::now());
        self.update_reach();
    }

    /// Records that `upstream` answered.
    pub(crate) fn note_reached(&self, upstream: &RegisteredUpstream) {
        let mut reach = self.reach();
        if reach.note_reached(upstream, Instant::now()) {
            log::info!(upstream = upstream.name.as_str(); "upstream is reached again");
            let mut chooser = self.chooser();
            chooser.set_blocked(reach.blocked());
            chooser.note_reached(&upstream.name);
        }
    }

    /// Blocks upstreams that are not reached any more, and starts the probes that are due.
    pub(crate) fn update_reach(self: &Arc<Self>) {
        let view = self.view.load();
        let (blocked, due) = {
            let mut reach = self.reach();
            let blocked = reach.update(&view);
            self.chooser().set_blocked(reach.blocked());
            (blocked, reach.begin_probes(&view, Instant::now()))
        };
        for upstream in &blocked {
            // Open connections may hang like those that failed.
            self.connections.close_idle(upstream.address, &upstream.name);
        }
        for upstream in due {
            let context = Arc::clone(self);
            tokio::spawn(async move { context.probe(&upstream).await });
        }
    }

    async fn probe(self: Arc<Self>, upstream: &RegisteredUpstream) {
        match probe_path(self.node.upstream_source, upstream.address).await {
            true => self.note_reached(upstream),
            false => self.note_unanswered(upstream),
        }
    }
}
