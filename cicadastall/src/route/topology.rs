//! Regions, zones and link rates from the settings, against which claims of other instances are
//! checked.

use crate::{
    name::{RegionName, ZoneName},
    settings::{FleetSettings, Revision, SettingsSnapshot},
};
use std::collections::BTreeMap;

/// Part of the settings that routing checks the claims of other instances against.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetTopology {
    /// Revision of the settings.
    pub revision: Revision,
    zones: BTreeMap<ZoneName, RegionName>,
    link_bytes_per_s: BTreeMap<RegionName, u64>,
}

impl FleetTopology {
    /// Builds the topology from an accepted settings snapshot.
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

    /// Whether the settings assign `zone` to `region`.
    pub fn zone_is_in(&self, zone: &ZoneName, region: &RegionName) -> bool {
        self.zones.get(zone) == Some(region)
    }

    /// Bandwidth for requests forwarded to `region`, in bytes per second; 0 if the region is
    /// unknown.
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
