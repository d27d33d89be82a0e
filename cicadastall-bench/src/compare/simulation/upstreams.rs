//! Upstreams of a run: their events, and what they report.

use crate::compare::simulation::{
    CALLER_ROUND_TRIP, DIGEST_PERIOD, Event, LINK_BYTES, REPORT_LAG, REPORT_LOSS, REPORT_PERIOD,
    Simulation,
};
use cicadastall::{dispatch::AttemptError, table::UpstreamState};
use cicadastall_standins::model::JobEvent;
use rand::RngExt;
use std::{sync::Arc, time::Duration};

impl Simulation<'_> {
    pub(super) fn wake(&mut self, upstream: usize, timer: u64) {
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
            self.schedule_at(at, Event::Wake { upstream, timer });
        }
    }

    pub(super) fn advance(&mut self, upstream: usize) {
        let events = self.upstreams[upstream].engine.advance(self.now);
        for event in events {
            match event {
                JobEvent::FirstToken { id, cached_tokens } => self.first_token(id, cached_tokens),
                JobEvent::Finished { id } => self.finished(id),
            }
        }
    }

    pub(super) fn first_token(&mut self, id: u64, cached_tokens: u32) {
        let Some(number) = self.attempts.get(&id) else { return };
        let request = self.requests.get_mut(number).expect("an attempt's request is kept");
        let remote = request.legs.len() > 1;
        if let Some(leg) = request.legs.last()
            && let Some(attempt) = &leg.attempt
        {
            self.zones[leg.zone].routers[leg.entry].record_first_token(&attempt.ticket, self.now);
        }
        let mut way = CALLER_ROUND_TRIP;
        if remote {
            way += Duration::from_millis(self.workload.link.delay_ms);
        }
        let kind = &self.workload.kinds[request.kind];
        let target = Duration::from_millis(kind.first_token_ms);
        request.on_time = self.now + way <= request.asked + target;
        request.first_token.get_or_insert(self.now + way - request.first_asked);
        let rates = if kind.on_engines { &self.workload.engine } else { &self.workload.service };
        let uncached = f64::from(request.shape.tokens - cached_tokens);
        request.work_s = uncached / rates.prefill_tokens_per_s
            + f64::from(request.shape.answer_tokens) / rates.decode_tokens_per_s;
        self.metrics.count_prefix(kind.on_engines, request.shape.tokens, cached_tokens);
    }

    pub(super) fn finished(&mut self, id: u64) {
        let Some(number) = self.attempts.remove(&id) else { return };
        let request = &self.requests[&number];
        if let [from, to] = &request.legs[..] {
            let bytes = u64::from(request.shape.answer_tokens) * LINK_BYTES.1;
            self.metrics.count_link(to.zone, from.zone, bytes);
        }
        self.close(number, None);
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

    pub(super) fn report(&mut self) {
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
            self.schedule(REPORT_LAG, Event::Records { zone, records, made_at: self.now });
        }
        self.schedule(REPORT_PERIOD, Event::Report);
    }

    pub(super) fn send_digests(&mut self) {
        for from in 0..self.zones.len() {
            let region = &self.workload.regions[from];
            let digest = self.zones[from].make_digest(region, from, self.now);
            for to in 0..self.zones.len() {
                if to != from && !self.is_cut(from, to) {
                    let digest = Arc::clone(&digest);
                    self.schedule(self.link_delay(0), Event::Digest { zone: to, digest });
                }
            }
        }
        self.schedule(DIGEST_PERIOD, Event::Digests);
    }
}
