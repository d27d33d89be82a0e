//! Capacities that entries announce, and the weights by which they get callers and work.

use crate::{gateway::settings::InstanceCapacity, name::InstanceName, wire::is_default};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Least weight of an entry, so that none is left without work from which its state shows.
const MIN_WEIGHT: f64 = 0.05;

/// Step of the reduction that an entry announces, in percent. Smaller changes are not worth a message.
const REDUCTION_STEP_PERCENT: u8 = 10;

/// Capacity that an entry announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryCapacity {
    /// Share of a core, in thousandths.
    pub cores_permille: u32,
    /// Memory of the process, in MiB.
    pub memory_mib: u32,
    /// Rate of its network link, in kbit/s.
    pub link_kbps: u32,
    /// Percentage by which the entry is behind what it announced; 0 if it keeps up.
    #[serde(default, skip_serializing_if = "is_default")]
    pub behind_percent: u8,
}

impl EntryCapacity {
    /// Returns what an entry with `capacity` announces if it is `behind`, a fraction of its capacity.
    pub fn new(capacity: &InstanceCapacity, behind: f64) -> Self {
        let steps = (behind.clamp(0.0, 0.95) * 100.0) as u8 / REDUCTION_STEP_PERCENT;
        Self {
            cores_permille: (capacity.cores * 1_000.0).round() as u32,
            memory_mib: u32::try_from(capacity.memory_mib).unwrap_or(u32::MAX),
            link_kbps: (capacity.link_mbps * 1_000.0).round() as u32,
            behind_percent: steps * REDUCTION_STEP_PERCENT,
        }
    }
}

/// Weights of entries relative to the largest; those that are not listed have the weight 1.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EntryWeights(HashMap<InstanceName, f64>);

impl EntryWeights {
    /// Weighs entries by their scarcest resource. Empty if all capacities are equal.
    pub fn new<'a>(
        capacities: impl Iterator<Item = (&'a InstanceName, &'a EntryCapacity)>,
    ) -> Self {
        let capacities: Vec<_> = capacities.collect();
        let most = |resource: fn(&EntryCapacity) -> u32| {
            let values = capacities.iter().map(|(_, capacity)| resource(capacity));
            f64::from(values.max().unwrap_or_default().max(1))
        };
        let cores = most(|capacity| capacity.cores_permille);
        let memory = most(|capacity| capacity.memory_mib);
        let link = most(|capacity| capacity.link_kbps);
        let weighted = capacities.iter().map(|(name, capacity)| {
            let scarcest = (f64::from(capacity.cores_permille) / cores)
                .min(f64::from(capacity.memory_mib) / memory)
                .min(f64::from(capacity.link_kbps) / link);
            let kept = 1.0 - f64::from(capacity.behind_percent.min(100)) / 100.0;
            ((*name).clone(), (scarcest * kept).max(MIN_WEIGHT))
        });
        Self(weighted.filter(|(_, weight)| *weight < 1.0).collect())
    }

    /// Weight of an entry, from 0.05 to 1.
    pub fn weight(&self, entry: &InstanceName) -> f64 {
        self.0.get(entry).copied().unwrap_or(1.0)
    }

    /// Whether all entries have the same weight.
    pub fn are_equal(&self) -> bool {
        self.0.is_empty()
    }
}

/// Turns a hash into one whose chance of being the highest among others is proportional to `weight`, which
/// is at most 1. A hash with the weight 1 stays as it is.
pub fn weigh_highest(hash: u64, weight: f64) -> u64 {
    if weight >= 1.0 {
        return hash;
    }
    let uniform = hash as f64 / u64::MAX as f64;
    (uniform.powf(1.0 / weight) * u64::MAX as f64) as u64
}

/// Like [`weigh_highest`], for the lowest hash.
pub fn weigh_lowest(hash: u64, weight: f64) -> u64 {
    !weigh_highest(!hash, weight)
}
