//! Regions, zones and link rates as the settings say them, against what other instances claim.

use crate::{
    name::{RegionName, ZoneName},
    settings::{FleetSettings, Revision, SettingsSnapshot},
};
use std::collections::BTreeMap;

/// The part of the settings that routing checks claims against.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetTopology {
    /// Revision of the settings.
    pub revision: Revision,
    zones: BTreeMap<ZoneName, RegionName>,
    link_bytes_per_s: BTreeMap<RegionName, u64>,
}

impl FleetTopology {
    /// The map of one accepted state of the settings.
    pub fn from_snapshot(snapshot: &SettingsSnapshot) -> Self {
        Self {
            revision: snapshot.revision,
            zones: index_zones(&snapshot.tree),
            link_bytes_per_s: snapshot
                .tree
                .regions
                .iter()
                .map(|(name, region)| (name.clone(), region.link_bytes_per_s))
                .collect(),
        }
    }

    /// Whether the settings place `zone` in `region`.
    pub fn zone_is_in(&self, zone: &ZoneName, region: &RegionName) -> bool {
        self.zones.get(zone) == Some(region)
    }

    /// Bandwidth that requests forwarded to `region` may use, in bytes per second.
    pub fn link_bytes_per_s(&self, region: &RegionName) -> f64 {
        self.link_bytes_per_s.get(region).map_or(0.0, |rate| *rate as f64)
    }
}

fn index_zones(tree: &FleetSettings) -> BTreeMap<ZoneName, RegionName> {
    let regions = tree.regions.iter();
    regions
        .flat_map(|(name, region)| region.zones.iter().map(|zone| (zone.clone(), name.clone())))
        .collect()
}
