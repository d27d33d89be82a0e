//! Settings that tests share.

use cicadastall::settings::{FleetSettings, TeamSettings};

pub fn trust() -> FleetSettings {
    serde_json::from_str(include_str!("../../../examples/trust.json")).expect("valid settings")
}

/// The Trust's subtree with another owner.
pub fn owned_by(owner: &str) -> TeamSettings {
    TeamSettings { owner: owner.into(), ..trust().teams["trust"].clone() }
}
