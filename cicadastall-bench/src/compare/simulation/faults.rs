//! Start and end of simulated faults.

use crate::compare::{
    simulation::{Event, Simulation},
    workload::FaultKind,
};
use cicadastall::{name::RegionName, table::UpstreamState};
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn start_fault(&mut self, fault: usize) {
        let workload = self.workload;
        match &workload.faults[fault].fault {
            FaultKind::Flood { .. } => {
                let busy_s = self.engine_busy_s();
                self.metrics.count_flood_busy(-busy_s);
                self.handle_flood_arrival(fault);
            }
            FaultKind::Lose { region, share } => {
                for upstream in self.select_upstreams(region, *share) {
                    self.restart(upstream, None);
                }
            }
            FaultKind::ColdCaches { region } => {
                for upstream in self.select_upstreams(region, 1.0) {
                    self.advance(upstream);
                    self.upstreams[upstream].engine.clear_cache();
                }
            }
            FaultKind::Cut { regions } => self.cut_links.push(regions.clone()),
            FaultKind::RollingRestart => {
                let length = Duration::from_secs(workload.faults[fault].for_s);
                let step = length / self.upstreams.len() as u32;
                for upstream in 0..self.upstreams.len() {
                    self.schedule(step * upstream as u32, Event::LeaveUpstream { upstream });
                }
            }
            FaultKind::Slow { region, speed } => self.set_first_engine_speed(region, *speed),
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let workload = self.workload;
        match &workload.faults[fault].fault {
            FaultKind::Lose { region, share } => {
                for upstream in self.select_upstreams(region, *share) {
                    self.upstreams[upstream].state = Some(UpstreamState::Serving);
                }
            }
            FaultKind::Cut { regions } => self.cut_links.retain(|cut| cut != regions),
            FaultKind::Slow { region, .. } => self.set_first_engine_speed(region, 1.0),
            FaultKind::Flood { .. } => {
                let busy_s = self.engine_busy_s();
                self.metrics.count_flood_busy(busy_s);
            }
            FaultKind::ColdCaches { .. } | FaultKind::RollingRestart => {}
        }
    }

    /// Total busy time of all engines so far, in seconds.
    fn engine_busy_s(&mut self) -> f64 {
        for upstream in 0..self.upstreams.len() {
            self.advance(upstream);
            self.set_timer(upstream);
        }
        let engines = self.upstreams.iter().filter(|model| model.is_engine);
        engines.map(|model| model.engine.busy().as_secs_f64()).sum()
    }

    pub(super) fn set_first_engine_speed(&mut self, region: &RegionName, speed: f64) {
        let upstream = self.select_upstreams(region, 1.0)[0];
        self.advance(upstream);
        self.upstreams[upstream].engine.set_speed(speed);
        self.set_timer(upstream);
    }

    /// The first upstreams of a region: this share of its engines and of its services, rounded
    /// down.
    pub(super) fn select_upstreams(&self, region: &RegionName, share: f64) -> Vec<usize> {
        let regions = &self.workload.regions;
        let zone = regions
            .iter()
            .position(|load| load.name == *region)
            .expect("faults use a region of the workload");
        let of = |is_engine: bool| {
            let models = self.upstreams.iter().enumerate();
            let all: Vec<_> = models
                .filter(|(_, model)| model.zone == zone && model.is_engine == is_engine)
                .map(|(number, _)| number)
                .collect();
            let count = (all.len() as f64 * share) as usize;
            all.into_iter().take(count)
        };
        of(true).chain(of(false)).collect()
    }
}
