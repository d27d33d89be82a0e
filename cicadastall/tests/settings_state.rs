//! Tests of changes to the settings: conflicts of operators, resends, validation, history and updates.

mod settings_common;

use cicadastall::{
    fault::FaultKind,
    replicated::{LocalGroup, ReplicatedGroup, ReplicatedState},
    settings::{Revision, SettingsSnapshot, TeamSettings},
    settings_state::{ChangeReply, SettingsChange, SettingsCommand, SettingsState},
    subtree::{SubtreeContent, SubtreeName},
};
use quickcheck::{Gen, QuickCheck};
use settings_common::{owned_by, trust};
use std::sync::Arc;

/// A state founded with the settings of `trust.json`.
fn founded_state() -> SettingsState {
    let mut state = SettingsState::default();
    state.apply(&SettingsCommand::Found(trust()));
    state
}

/// A subtree without pools, kinds and workspaces.
fn empty_team(owner: &str) -> TeamSettings {
    TeamSettings {
        owner: owner.into(),
        pools: Default::default(),
        kinds: Default::default(),
        workspaces: Default::default(),
    }
}

fn put(team: &str, settings: TeamSettings) -> SubtreeContent {
    SubtreeContent::Team(team.into(), settings)
}

fn change(
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

fn apply(state: &mut SettingsState, change: &SettingsChange) -> ChangeReply {
    state.apply(&SettingsCommand::Change(change.clone()))
}

fn accepted(revision: u64) -> ChangeReply {
    ChangeReply::Accepted { revision: Revision(revision) }
}

fn version(state: &SettingsState, team: &str) -> Revision {
    state.newest().version(&SubtreeName::Team(team.into()))
}

/// The state restored from its snapshot, as after a restart of the replica.
fn restored(state: &SettingsState) -> SettingsState {
    SettingsState::restore(&state.snapshot()).expect("a snapshot")
}

#[test]
fn conflicting_change_is_refused_with_the_author_of_the_accepted_one() {
    let mut state = founded_state();
    let first = change("op-1", "layla", 1, put("trust", owned_by("layla's crew")));
    let second = change("op-2", "omar", 1, put("trust", owned_by("omar's crew")));
    assert_eq!(apply(&mut state, &first), accepted(2));
    let ChangeReply::Conflict { version, winner, difference } = apply(&mut state, &second) else {
        panic!("the second change was not refused");
    };
    let winner = winner.expect("a winner");
    assert_eq!(
        (version, winner.operator.as_str(), winner.operation.as_str()),
        (Revision(2), "layla", "op-1")
    );
    assert_eq!(difference.len(), 1);
    assert_eq!(
        (difference[0].path.as_str(), &difference[0].in_force),
        ("$.owner", &"layla's crew".into())
    );
    assert_eq!(state.newest().tree.teams["trust"].owner, "layla's crew");
}

#[test]
fn concurrent_changes_under_equal_versions_have_one_winner() {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).build().expect("a runtime");
    let group = Arc::new(LocalGroup::new(founded_state()));
    let tasks: Vec<_> = (0..32)
        .map(|number| {
            let group = Arc::clone(&group);
            let name = format!("op-{number}");
            let change = change(&name, &name, 1, put("trust", owned_by(&name)));
            runtime.spawn(async move { group.propose(SettingsCommand::Change(change)).await })
        })
        .collect();
    let replies: Vec<_> = tasks
        .into_iter()
        .map(|task| runtime.block_on(task).expect("a task").expect("a reply"))
        .collect();
    let owner = group.read_local(|state| state.newest().tree.teams["trust"].owner.clone());
    let is_accepted = |reply: &ChangeReply| matches!(reply, ChangeReply::Accepted { .. });
    assert_eq!(replies.iter().filter(|reply| is_accepted(reply)).count(), 1);
    for (number, reply) in replies.iter().enumerate() {
        match reply {
            ChangeReply::Accepted { revision } => {
                assert_eq!((revision.0, format!("op-{number}")), (2, owner.clone()));
            }
            ChangeReply::Conflict { winner: Some(winner), .. } => {
                assert_eq!(winner.operator, owner)
            }
            other => panic!("unexpected reply {other:?}"),
        }
    }
}

#[test]
fn subtrees_of_different_teams_do_not_conflict() {
    let mut state = founded_state();
    let works = change("op-1", "omar", 0, put("works", empty_team("works office")));
    assert_eq!(apply(&mut state, &works), accepted(2));
    let trust = change("op-2", "layla", 1, put("trust", owned_by("layla")));
    assert_eq!(apply(&mut state, &trust), accepted(3));
    assert_eq!((version(&state, "works"), version(&state, "trust")), (Revision(2), Revision(3)));
}

#[test]
fn a_resend_gives_the_first_result_also_after_restart() {
    let mut state = founded_state();
    let first = change("op-1", "layla", 1, put("trust", owned_by("layla")));
    let mut resend = first.clone();
    resend.at_ms += 60_000;
    let lost = change("op-2", "omar", 1, put("trust", owned_by("omar")));
    assert_eq!(apply(&mut state, &first), accepted(2));
    let refusal = apply(&mut state, &lost);
    let later = change("op-3", "layla", 2, put("trust", owned_by("later")));
    assert_eq!(apply(&mut state, &later), accepted(3));
    for mut state in [state.clone(), restored(&state)] {
        assert_eq!(apply(&mut state, &resend), accepted(2));
        assert_eq!(apply(&mut state, &lost), refusal);
        assert_eq!(state.newest().revision, Revision(3));
        assert_eq!(state.newest().tree.teams["trust"].owner, "later");
    }
}

#[test]
fn an_operation_id_with_other_content_is_refused() {
    let mut state = founded_state();
    apply(&mut state, &change("op-1", "layla", 1, put("trust", owned_by("layla"))));
    let other = change("op-1", "layla", 2, put("trust", owned_by("other")));
    let refusal = ChangeReply::OperationReused { operator: "layla".into(), at_ms: 1_000 };
    assert_eq!(apply(&mut state, &other), refusal);
    assert_eq!(apply(&mut restored(&state), &other), refusal);
    assert_eq!(state.newest().revision, Revision(2));
}

/// Changes another team until the earlier operations are evicted.
fn evict_operations(state: &mut SettingsState) {
    for number in 0..1_100 {
        let expected = version(state, "works").0;
        let content = put("works", empty_team(&format!("office {number}")));
        let reply = apply(state, &change(&format!("works-{number}"), "omar", expected, content));
        assert!(matches!(reply, ChangeReply::Accepted { .. }), "{reply:?}");
    }
}

#[test]
fn resend_of_an_evicted_operation_is_not_applied_again() {
    let mut state = founded_state();
    let create = change("op-1", "layla", 0, put("school", empty_team("school office")));
    assert_eq!(apply(&mut state, &create), accepted(2));
    let edit = change("op-2", "layla", 2, put("school", empty_team("new office")));
    assert_eq!(apply(&mut state, &edit), accepted(3));
    evict_operations(&mut state);
    let reply = apply(&mut state, &edit);
    assert!(
        matches!(&reply, ChangeReply::Conflict { winner: Some(winner), .. } if winner.operation.as_str() == "op-2"),
        "{reply:?}"
    );
    let removal = change("op-3", "layla", 3, SubtreeContent::Removed("school".into()));
    assert!(matches!(apply(&mut state, &removal), ChangeReply::Accepted { .. }));
    for mut state in [state.clone(), restored(&state)] {
        let reply = apply(&mut state, &create);
        assert!(
            matches!(reply, ChangeReply::Conflict { .. }),
            "the removed team exists again: {reply:?}"
        );
        assert!(!state.newest().tree.teams.contains_key("school"));
    }
}

#[test]
fn a_change_that_breaks_the_whole_tree_is_refused_with_all_faults() {
    let mut state = founded_state();
    let mut regions = trust().regions;
    regions.remove("irbid");
    let reply = apply(&mut state, &change("op-1", "omar", 1, SubtreeContent::Regions(regions)));
    let ChangeReply::Invalid { faults } = reply else { panic!("not refused: {reply:?}") };
    let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "$.teams.trust.workspaces.amman-workshop.resides_in[1]",
            "$.teams.trust.workspaces.irbid-workshop.resides_in[0]",
            "$.teams.trust.workspaces.irbid-workshop.home",
        ]
    );
    assert!(faults.iter().all(|fault| fault.kind == FaultKind::UnknownReference));
    let mut twin = owned_by("twin");
    twin.kinds.clear();
    let reply = apply(&mut state, &change("op-2", "omar", 0, put("twin", twin)));
    let ChangeReply::Invalid { faults } = reply else { panic!("not refused: {reply:?}") };
    assert_eq!(faults.iter().filter(|fault| fault.kind == FaultKind::NotUnique).count(), 5);
    assert_eq!(state.newest().revision, Revision(1));
}

#[test]
fn a_team_that_does_not_exist_is_not_removed() {
    let mut state = founded_state();
    let removal = change("op-1", "omar", 0, SubtreeContent::Removed("nobody".into()));
    let reply = apply(&mut state, &removal);
    assert!(matches!(reply, ChangeReply::Invalid { .. }), "{reply:?}");
    assert_eq!(state.newest().revision, Revision(1));
}

#[test]
fn second_founding_has_no_effect() {
    let mut state = founded_state();
    apply(&mut state, &change("op-1", "layla", 1, put("trust", owned_by("layla"))));
    assert_eq!(state.apply(&SettingsCommand::Found(trust())), accepted(2));
    assert_eq!(state.newest().tree.teams["trust"].owner, "layla");
}

#[test]
fn history_and_operations_are_bounded_and_survive_a_restart() {
    let mut state = founded_state();
    for number in 0..4_200u64 {
        let expected = version(&state, "works").0;
        let content = put("works", empty_team(&format!("office {number}")));
        let reply = apply(&mut state, &change(&format!("op-{number}"), "omar", expected, content));
        assert_eq!(reply, accepted(number + 2));
    }
    let restored_state = restored(&state);
    assert!(restored_state == state, "the restored state differs");
    let records: Vec<_> = restored_state.history(None, Revision(0)).collect();
    assert_eq!(records.len(), 4_096);
    assert_eq!(records[0].author.revision, Revision(4_201));
    assert!(records.windows(2).all(|pair| pair[0].previous == pair[1].author.revision));
    let school = SubtreeName::Team("school".into());
    assert_eq!(restored_state.history(Some(&school), Revision(0)).count(), 0);
    assert!(state.snapshot().len() < 2_000_000, "{} bytes", state.snapshot().len());
}

#[test]
fn update_with_a_base_newer_than_the_held_revision_is_refused() {
    let mut state = founded_state();
    let mut behind = state.newest().clone();
    apply(&mut state, &change("op-1", "omar", 0, put("works", empty_team("office"))));
    apply(&mut state, &change("op-2", "layla", 1, put("trust", owned_by("layla"))));
    let update = state.newest().changes_after(Revision(2)).expect("an update");
    assert!(!behind.apply_update(&update));
    assert_eq!(behind.revision, Revision(1));
}

#[test]
fn updates_from_any_revision_lead_to_the_same_settings() {
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut state = founded_state();
        let mut snapshots: Vec<SettingsSnapshot> = vec![SettingsSnapshot::default()];
        for (number, (team, owner, remove)) in steps.into_iter().take(40).enumerate() {
            let team = format!("team-{}", team % 4);
            let expected = version(&state, &team).0;
            let content = if remove {
                SubtreeContent::Removed(team.as_str().into())
            } else {
                put(&team, empty_team(&format!("owner {owner}")))
            };
            apply(&mut state, &change(&format!("op-{number}"), "omar", expected, content));
            if number % 3 == 0 {
                snapshots.push(state.newest().clone());
            }
        }
        snapshots.into_iter().all(|mut snapshot| {
            let before = snapshot.clone();
            if let Some(update) = state.newest().changes_after(snapshot.revision) {
                let older = before.changes_after(Revision(0));
                let applied = snapshot.apply_update(&update);
                let reverted = older.is_some_and(|older| snapshot.apply_update(&older));
                return applied && !reverted && snapshot == *state.newest();
            }
            snapshot == *state.newest()
        })
    }
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(60, 7))
        .quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}
