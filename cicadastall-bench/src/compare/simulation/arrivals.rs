//! Arrival of new requests, from normal load and from floods.

use crate::compare::{
    requests::{FLOOD_WORKSPACE, SimulatedRequest, draw_shape},
    simulation::{Event, Simulation},
    workload::FaultKind,
};
use rand::RngExt;
use std::{sync::Arc, time::Duration};

impl Simulation<'_> {
    pub(super) fn schedule_arrival(&mut self, kind: usize, zone: usize, after: Duration) {
        let load = &self.workload.kinds[kind];
        let rate = self.workload.highest_rate(load, &self.workload.regions[zone]);
        let wait = self.draw_wait(rate);
        if let Some(wait) = wait {
            self.schedule(after + wait, Event::Arrive { kind, zone });
        }
    }

    /// Draws the time to the next arrival of a Poisson process; none if the rate is zero.
    pub(super) fn draw_wait(&mut self, rate: f64) -> Option<Duration> {
        let uniform: f64 = self.rng.random();
        (rate > 0.0).then(|| Duration::from_secs_f64(-(1.0 - uniform).ln() / rate))
    }

    pub(super) fn handle_arrival(&mut self, kind: usize, zone: usize) {
        self.schedule_arrival(kind, zone, Duration::ZERO);
        let (load, region) = (&self.workload.kinds[kind], &self.workload.regions[zone]);
        let at = self.now - self.started_at;
        let rate = self.workload.arrival_rate(load, region, at);
        if self.rng.random::<f64>() * self.workload.highest_rate(load, region) < rate {
            let workspace = self.rng.random_range(0..self.workload.workspaces_per_region);
            self.create_request(kind, zone, workspace);
        }
    }

    pub(super) fn handle_flood_arrival(&mut self, fault: usize) {
        let plan = &self.workload.faults[fault];
        let FaultKind::Flood { kind, times } = &plan.fault else { return };
        if self.now >= self.started_at + Duration::from_secs(plan.at_s + plan.for_s) {
            return;
        }
        let kinds = &self.workload.kinds;
        let kind = kinds
            .iter()
            .position(|load| load.name == *kind)
            .expect("floods use a kind of the workload");
        let load = &kinds[kind];
        let rate = times * self.workload.capacity(load) / self.workload.work_s(load);
        let zone = self.rng.random_range(0..self.zones.len());
        self.create_request(kind, zone, FLOOD_WORKSPACE);
        if let Some(wait) = self.draw_wait(rate) {
            self.schedule(wait, Event::FloodArrive { fault });
        }
    }

    pub(super) fn create_request(&mut self, kind: usize, home: usize, workspace: u32) {
        let load = &self.workload.kinds[kind];
        let shape = Arc::new(draw_shape(load, home, workspace, &mut self.rng));
        self.last_number += 1;
        let request = SimulatedRequest {
            kind,
            home,
            workspace,
            blocks: shape.blocks.as_slice().into(),
            shape,
            first_submitted_at: self.now,
            submitted_at: self.now,
            submissions: 0,
            first_token: None,
            on_time: false,
            work_s: 0.0,
            hops: Vec::new(),
            sends: 0,
        };
        self.metrics.count_request(&request);
        self.requests.insert(self.last_number, request);
        self.submit(self.last_number);
    }
}
