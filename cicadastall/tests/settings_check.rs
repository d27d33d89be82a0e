//! Tests of the validation of settings: it reports all faults at once, each with its path, and never
//! panics.

use cicadastall::{
    check::check_settings,
    decode::{RequestPath, decode_request},
    fault::{FaultKind, SettingsFault},
    wire::{KIND_HEADER, WORKSPACE_HEADER},
};
use hyper::{HeaderMap, header::HeaderValue};
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

const TRUST: &str = include_str!("../../examples/trust.json");
const KALEVU: &str = include_str!("../../examples/kalevu.json");
const SEED: u64 = 41;

fn seeded_quickcheck(tests: u64, seed: u64) -> QuickCheck {
    QuickCheck::new().tests(tests).rng(Gen::from_size_and_seed(200, seed))
}

fn trust_tree() -> Value {
    serde_json::from_str(TRUST).expect("valid JSON")
}

fn faults_of(tree: &Value) -> Vec<SettingsFault> {
    check_settings(tree.to_string().as_bytes()).expect_err("faults")
}

/// Validates the tree of `trust.json` with `value` at `pointer`, and returns its only fault.
fn fault_at(pointer: &str, value: Value) -> SettingsFault {
    let mut tree = trust_tree();
    *tree.pointer_mut(pointer).expect("a value") = value;
    let faults = faults_of(&tree);
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults.into_iter().next().expect("one fault")
}

#[test]
fn example_settings_are_valid() {
    for text in [TRUST, KALEVU] {
        let tree = check_settings(text.as_bytes()).expect("no faults");
        let encoded = serde_json::to_vec(&tree).expect("encode");
        assert_eq!(check_settings(&encoded).expect("no faults"), tree);
        for team in tree.teams.values() {
            for (workspace, settings) in &team.workspaces {
                for kind in team.kinds.keys() {
                    let plan = tree.plan_kind(workspace, kind).expect("a plan");
                    assert_eq!(plan.regions.first(), Some(&settings.home));
                    assert!(plan.regions.iter().all(|name| settings.resides_in.contains(name)));
                }
            }
        }
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let mut tree = trust_tree();
    let team = &mut tree["teams"]["trust"];
    team["kinds"]["tuck-query"]["pool"] = json!("verdict");
    team["kinds"]["tuck-query"]["worth"] = json!(-1);
    team["kinds"]["splice-review"]["modle"] = json!("splice-7b");
    team["workspaces"]["irbid-workshop"]["home"] = json!("aqaba");
    team["owner"] = json!(3);
    let lines: Vec<_> = faults_of(&tree).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    $.teams.trust.kinds.splice-review.modle: found "modle"; allowed: pool, model, rank, first_token_ms, deadline_ms, worth, answered_in, repeatable (did you mean "model"?)
    $.teams.trust.kinds.tuck-query.worth: found -1; allowed: a number above 0 and at most 1000000
    $.teams.trust.owner: found 3; allowed: text of 1 to 1000 bytes
    $.teams.trust.kinds.tuck-query.pool: found "verdict"; allowed: registers, verdicts (did you mean "verdicts"?)
    $.teams.trust.workspaces.irbid-workshop.home: found "aqaba"; allowed: irbid
    "#);
}

#[test]
fn each_fault_has_its_kind_and_suggested_name() {
    let kind = "/teams/trust/kinds/splice-review";
    let fault = fault_at(&format!("{kind}/model"), json!("splice-8b"));
    assert_eq!(
        (fault.kind, fault.near.as_deref()),
        (FaultKind::UnknownReference, Some("splice-7b"))
    );
    let fault = fault_at(&format!("{kind}/rank"), json!("urgnt"));
    assert_eq!(fault.near.as_deref(), Some("urgent"));
    let fault = fault_at(&format!("{kind}/answered_in"), json!({ "regions": ["irbid"] }));
    assert_eq!(fault.kind, FaultKind::NowhereAnswered);
    assert!(fault.found.contains("aqaba-port"), "{fault}");
    let fault = fault_at(&format!("{kind}/answered_in"), json!({ "region": ["irbid"] }));
    assert_eq!(fault.near.as_deref(), Some("regions"));
    let fault = fault_at(&format!("{kind}/deadline_ms"), json!(5));
    assert_eq!((fault.kind, fault.found.as_str()), (FaultKind::OutOfRange, "5"));
    let fault = fault_at("/teams/trust/workspaces/irbid-workshop/home", json!("amman"));
    assert_eq!(fault.kind, FaultKind::HomeNotResident);
    let fault = fault_at("/teams/trust/workspaces/irbid-workshop/share", json!(0));
    assert_eq!(fault.kind, FaultKind::OutOfRange);
    let fault = fault_at("/regions/irbid/zones", json!(["aqaba-a"]));
    assert_eq!(
        (fault.kind, fault.path.as_str()),
        (FaultKind::NotUnique, "$.regions.irbid.zones[0]")
    );
    let fault = fault_at("/regions/irbid/zones", json!([]));
    assert_eq!(fault.kind, FaultKind::OutOfRange);
}

#[test]
fn a_workspace_belongs_to_one_team() {
    let mut tree = trust_tree();
    let mut second = tree["teams"]["trust"].clone();
    second["pools"] = json!({});
    second["kinds"] = json!({});
    second["workspaces"] = json!({ "aqaba-port": { "home": "aqaba", "resides_in": ["aqaba"] } });
    tree["teams"]["works"] = second;
    let faults = faults_of(&tree);
    let paths: Vec<_> = faults.iter().map(|fault| (fault.path.as_str(), fault.kind)).collect();
    assert_eq!(paths, [("$.teams.works.workspaces.aqaba-port", FaultKind::NotUnique)]);
}

#[test]
fn team_name_with_a_slash_is_a_fault() {
    let mut tree = trust_tree();
    let team = tree["teams"]["trust"].take();
    tree["teams"] = json!({ "trust/aqaba": team });
    let faults = faults_of(&tree);
    assert_eq!(faults[0].path, "$.teams[\"trust/aqaba\"]");
    assert_eq!(faults.len(), 1, "{faults:?}");
}

#[test]
fn duplicate_keys_and_invalid_numbers_are_faults() {
    let duplicate = br#"{"regions": {}, "regions": {}, "teams": {}}"#;
    let faults = check_settings(duplicate).expect_err("a fault");
    assert_eq!((faults[0].path.as_str(), faults[0].kind), ("$.regions", FaultKind::DuplicateKey));
    for number in ["NaN", "1e999", "-", "Infinity"] {
        let text = TRUST.replacen("8.0", number, 1);
        let faults = check_settings(text.as_bytes()).expect_err("a fault");
        assert_eq!(faults[0].kind, FaultKind::Syntax, "{number}");
    }
    let deep = "[".repeat(100_000);
    assert_eq!(check_settings(deep.as_bytes()).expect_err("a fault")[0].kind, FaultKind::Syntax);
}

#[test]
fn arbitrary_bytes_never_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        check_settings(&bytes).is_err()
    }
    seeded_quickcheck(2_000, SEED).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn mutated_trees_never_panic_and_valid_ones_decode() {
    fn property(edits: Vec<(u16, u8)>, cut: Option<u16>) -> bool {
        let mut bytes = TRUST.as_bytes().to_vec();
        for (index, byte) in edits.into_iter().take(4) {
            let index = usize::from(index) % bytes.len();
            bytes[index] = byte;
        }
        if let Some(cut) = cut {
            bytes.truncate(usize::from(cut));
        }
        match check_settings(&bytes) {
            Ok(tree) => serde_json::from_slice(&bytes)
                .is_ok_and(|decoded: cicadastall::settings::FleetSettings| decoded == tree),
            Err(faults) => {
                !faults.is_empty() && faults.iter().all(|fault| fault.allowed != "settings")
            }
        }
    }
    seeded_quickcheck(3_000, SEED).quickcheck(property as fn(Vec<(u16, u8)>, Option<u16>) -> bool);
}

#[test]
fn replaced_values_never_panic() {
    fn property(target: u16, choice: u8, number: f64, text: String) -> bool {
        let mut tree = trust_tree();
        let value = match choice % 6 {
            0 => json!(number),
            1 => json!(text),
            2 => json!([text, number]),
            3 => json!({ text: number }),
            4 => Value::Null,
            _ => json!(i64::MIN),
        };
        let mut pointers = Vec::new();
        list_pointers(&tree, String::new(), &mut pointers);
        let pointer = &pointers[usize::from(target) % pointers.len()];
        *tree.pointer_mut(pointer).expect("a value") = value;
        match check_settings(tree.to_string().as_bytes()) {
            Ok(_) => true,
            Err(faults) => faults.iter().all(|fault| fault.allowed != "settings"),
        }
    }
    seeded_quickcheck(3_000, SEED).quickcheck(property as fn(u16, u8, f64, String) -> bool);
}

fn list_pointers(value: &Value, pointer: String, pointers: &mut Vec<String>) {
    if let Value::Object(fields) = value {
        for (key, value) in fields {
            list_pointers(value, format!("{pointer}/{key}"), pointers);
        }
    }
    pointers.push(pointer);
}

#[test]
fn decoding_arbitrary_requests_never_panics() {
    fn property(call: bool, header: Vec<u8>, body: Vec<u8>, known: bool) -> bool {
        let tree = check_settings(TRUST.as_bytes()).expect("no faults");
        let mut headers = HeaderMap::new();
        let workspace = if known { b"aqaba-port".to_vec() } else { header.clone() };
        let names =
            [WORKSPACE_HEADER, KIND_HEADER, "x-cicadastall-remaining-ms", "idempotency-key"];
        for (name, value) in
            names.into_iter().zip([workspace, b"tuck-query".to_vec(), header.clone(), header])
        {
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                headers.insert(name, value);
            }
        }
        let path = if call { RequestPath::Call } else { RequestPath::Chat };
        let decoded = decode_request(path, &headers, &body, &tree, "fresh".into());
        decoded.is_err() || known
    }
    seeded_quickcheck(2_000, SEED).quickcheck(property as fn(bool, Vec<u8>, Vec<u8>, bool) -> bool);
}
