//! Settings, commands and states that tests of the settings share.

use cicadastall::{
    name::TeamName,
    replicated::ReplicatedState,
    settings::{FleetSettings, Revision, TeamSettings},
    settings_state::{ChangeReply, SettingsChange, SettingsCommand, SettingsState},
    subtree::{SubtreeContent, SubtreeName},
};

pub fn trust() -> FleetSettings {
    serde_json::from_str(include_str!("../../../examples/trust.json")).expect("valid settings")
}

/// A state founded with the Trust's settings.
pub fn founded() -> SettingsState {
    let mut state = SettingsState::default();
    state.apply(&SettingsCommand::Found(trust()));
    state
}

/// The Trust's subtree with another owner.
pub fn owned_by(owner: &str) -> TeamSettings {
    TeamSettings { owner: owner.into(), ..trust().teams["trust"].clone() }
}

/// A subtree without pools, kinds and workspaces.
pub fn empty_team(owner: &str) -> TeamSettings {
    TeamSettings {
        owner: owner.into(),
        pools: Default::default(),
        kinds: Default::default(),
        workspaces: Default::default(),
    }
}

pub fn put(team: &str, settings: TeamSettings) -> SubtreeContent {
    SubtreeContent::Team(team.into(), settings)
}

pub fn change(
    operation: &str,
    operator: &str,
    expected: u64,
    content: SubtreeContent,
) -> SettingsChange {
    SettingsChange {
        operation: operation.into(),
        operator: operator.into(),
        at_ms: 1_000,
        expected: Revision(expected),
        content,
    }
}

pub fn apply(state: &mut SettingsState, change: &SettingsChange) -> ChangeReply {
    state.apply(&SettingsCommand::Change(change.clone()))
}

pub fn accepted(revision: u64) -> ChangeReply {
    ChangeReply::Accepted { revision: Revision(revision) }
}

pub fn version(state: &SettingsState, team: &str) -> Revision {
    state.newest().version(&SubtreeName::Team(TeamName::from(team)))
}

/// The state as a replica holds it after a restart from its snapshot.
pub fn restarted(state: &SettingsState) -> SettingsState {
    SettingsState::restore(&state.snapshot()).expect("a snapshot")
}
