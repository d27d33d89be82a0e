//! Events of simulated upstreams, their load reports and the digests of zones.

use crate::compare::simulation::{
    CALLER_ROUND_TRIP, DIGEST_INTERVAL, Event, LINK_BYTES_PER_TOKEN, REPORT_DELAY, REPORT_INTERVAL,
    REPORT_LOSS, Simulation,
};
use cicadastall::{dispatch::AttemptError, table::UpstreamState};
use cicadastall_standins::model::JobEvent;
use rand::RngExt;
use std::{sync::Arc, time::Duration};

impl Simulation<'_> {
    pub(super) fn handle_timer(&mut self, upstream: usize, timer: u64) {
        if self.upstreams[upstream].timer == timer {
            self.advance(upstream);
            self.set_timer(upstream);
        }
    }

    pub(super) fn set_timer(&mut self, upstream: usize) {
        let model = &mut self.upstreams[upstream];
        model.timer += 1;
        let timer = model.timer;
        if let Some(at) = model.engine.next_event() {
            self.schedule_at(at, Event::EngineTimer { upstream, timer });
        }
    }

    pub(super) fn advance(&mut self, upstream: usize) {
        let events = self.upstreams[upstream].engine.advance(self.now);
        for event in events {
            match event {
                JobEvent::FirstToken { id, cached_tokens } => self.begin_answer(id, cached_tokens),
                JobEvent::Finished { id } => self.finish_answer(id),
            }
        }
    }

    pub(super) fn begin_answer(&mut self, id: u64, cached_tokens: u32) {
        let Some(number) = self.attempts.get(&id) else { return };
        let request =
            self.requests.get_mut(number).expect("a request with an open attempt is open");
        let remote = request.hops.len() > 1;
        if let Some(hop) = request.hops.last()
            && let Some(attempt) = &hop.attempt
        {
            self.zones[hop.zone].routers[hop.entry].record_first_token(&attempt.ticket, self.now);
        }
        let mut return_delay = CALLER_ROUND_TRIP;
        if remote {
            return_delay += Duration::from_millis(self.workload.link.delay_ms);
        }
        let kind = &self.workload.kinds[request.kind];
        let target = Duration::from_millis(kind.first_token_ms);
        request.on_time = self.now + return_delay <= request.submitted_at + target;
        request.first_token.get_or_insert(self.now + return_delay - request.first_submitted_at);
        let rates = if kind.on_engines { &self.workload.engine } else { &self.workload.service };
        let uncached = f64::from(request.shape.tokens - cached_tokens);
        request.work_s = uncached / rates.prefill_tokens_per_s
            + f64::from(request.shape.answer_tokens) / rates.decode_tokens_per_s;
        self.metrics.count_prefix(kind.on_engines, request.shape.tokens, cached_tokens);
    }

    pub(super) fn finish_answer(&mut self, id: u64) {
        let Some(number) = self.attempts.remove(&id) else { return };
        let request = &self.requests[&number];
        if let [from, to] = &request.hops[..] {
            let bytes = u64::from(request.shape.answer_tokens) * LINK_BYTES_PER_TOKEN.1;
            self.metrics.count_link(to.zone, from.zone, bytes);
        }
        self.end_request(number, None);
    }

    pub(super) fn restart(&mut self, upstream: usize, state: Option<UpstreamState>) {
        self.advance(upstream);
        let lost = self.upstreams[upstream].restart(state);
        self.set_timer(upstream);
        for id in lost {
            let Some(number) = self.attempts.remove(&id) else { continue };
            self.fail_attempt(number, AttemptError::Broken("connection reset".into()));
        }
    }

    pub(super) fn send_reports(&mut self) {
        for zone in 0..self.zones.len() {
            let mut records = Vec::new();
            for upstream in 0..self.upstreams.len() {
                if self.upstreams[upstream].zone != zone {
                    continue;
                }
                self.advance(upstream);
                self.set_timer(upstream);
                let record = self.upstreams[upstream].announce();
                let lost = self.rng.random_bool(REPORT_LOSS);
                records.extend(record.filter(|_| !lost));
            }
            self.schedule(REPORT_DELAY, Event::ReceiveReports { zone, records, made_at: self.now });
        }
        self.schedule(REPORT_INTERVAL, Event::SendReports);
    }

    pub(super) fn send_digests(&mut self) {
        for from in 0..self.zones.len() {
            let region = &self.workload.regions[from];
            let digest = self.zones[from].make_digest(region, from, self.now);
            for to in 0..self.zones.len() {
                if to != from && !self.is_cut(from, to) {
                    let digest = Arc::clone(&digest);
                    self.schedule(self.link_delay(0), Event::ReceiveDigest { zone: to, digest });
                }
            }
        }
        self.schedule(DIGEST_INTERVAL, Event::SendDigests);
    }
}
