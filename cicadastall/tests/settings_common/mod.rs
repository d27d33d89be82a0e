//! Settings shared by several test files.

use cicadastall::settings::{FleetSettings, TeamSettings};

/// The settings of `trust.json`.
pub fn trust() -> FleetSettings {
    serde_json::from_str(include_str!("../../../examples/trust.json")).expect("valid settings")
}

/// The subtree of the team `trust` with another owner.
pub fn owned_by(owner: &str) -> TeamSettings {
    TeamSettings { owner: owner.into(), ..trust().teams["trust"].clone() }
}
