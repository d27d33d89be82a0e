//! The operator command line: commands, exit codes, help and the demonstration.

use cicadastall::{control::ControlServer, instance::ControlThread, node::NodeSettings};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    time::{Duration, Instant},
};

/// Timeout of the wait until a group with a single voter is founded.
const FOUNDING_TIMEOUT: Duration = Duration::from_secs(10);

const OPERATOR: &str = env!("CARGO_BIN_EXE_cicadastall");

fn run(arguments: &[&str]) -> Output {
    Command::new(OPERATOR).args(arguments).output().expect("run the command line")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name)
}

/// A temporary file that is removed when dropped.
struct TestFile(PathBuf);

impl TestFile {
    fn write(name: &str, value: &Value) -> Self {
        let name = format!("cicadastall-{name}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, value.to_string()).expect("write a file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn trust() -> Value {
    let text = std::fs::read(example("trust.json")).expect("the example");
    serde_json::from_slice(&text).expect("valid JSON")
}

#[test]
fn the_demonstration_runs_all_kinds_and_ends_by_itself() {
    let output = run(&["demo", "--json"]);
    assert_eq!(code(&output), 0, "{}", String::from_utf8_lossy(&output.stderr));
    let answers: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let answers = answers.as_array().expect("a list");
    let served: Vec<_> = answers
        .iter()
        .map(|answer| [&answer["kind"], &answer["region"], &answer["upstream"]].map(Value::as_str))
        .collect();
    let expected = [
        ["splice-review", "aqaba", "aqaba-model"],
        ["tuck-query", "amman", "amman-model"],
        ["certification-entry", "aqaba", "aqaba-register"],
        ["register-lookup", "irbid", "irbid-register"],
    ];
    assert_eq!(served, expected.map(|row| row.map(Some)));
    for answer in answers {
        assert!(answer["first_token_ms"].as_f64() <= answer["whole_ms"].as_f64(), "{answer}");
        assert!(!answer["answer"].as_str().unwrap_or_default().is_empty(), "{answer}");
    }
}

#[test]
fn check_lists_faults_and_exits_with_2() {
    for name in ["trust.json", "kalevu.json"] {
        let path = example(name);
        let output = run(&["check", path.to_str().expect("a path in UTF-8")]);
        assert_eq!(code(&output), 0, "{}", text(&output));
    }
    let mut tree = trust();
    tree["teams"]["trust"]["kinds"]["tuck-query"]["pool"] = json!("verdict");
    tree["regions"]["irbid"]["zone"] = json!([]);
    let file = TestFile::write("faults", &tree);
    let output = run(&["check", file.path()]);
    assert_eq!(code(&output), 2);
    assert!(text(&output).contains("$.teams.trust.kinds.tuck-query.pool"), "{}", text(&output));
    let output = run(&["check", "--json", file.path()]);
    let faults: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(faults.as_array().map(Vec::len), Some(2), "{faults}");
    assert_eq!(code(&run(&["check", "/nonexistent/settings.json"])), 1);
}

#[test]
fn every_command_has_help_with_an_example() {
    let commands = [
        vec!["check"],
        vec!["settings", "get"],
        vec!["settings", "put"],
        vec!["settings", "remove"],
        vec!["settings", "history"],
        vec!["status"],
        vec!["groups"],
        vec!["explain"],
        vec!["drain"],
        vec!["refound"],
        vec!["demo"],
    ];
    for mut command in commands {
        command.push("--help");
        let output = run(&command);
        assert_eq!(code(&output), 0);
        assert!(text(&output).contains("Example: cicadastall"), "{command:?}: {}", text(&output));
    }
    assert!(text(&run(&["--help"])).contains("Exit codes: 0 done"));
}

/// Starts a control instance with the example settings in this process.
fn start_control(name: &str, voters: Value) -> (ControlServer, ControlThread) {
    let founding = TestFile::write(name, &trust());
    let node: NodeSettings = serde_json::from_value(json!({
        "instance": "aqaba-control",
        "region": "aqaba",
        "zone": "aqaba-a",
        "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "founding_settings": founding.path(),
        "settings_voters": voters,
    }))
    .expect("node settings");
    let thread = ControlThread::start("control").expect("a thread");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let started = ControlServer::start(node, thread.handle());
    let control = runtime.expect("a runtime").block_on(started).expect("a control instance");
    (control, thread)
}

#[test]
fn settings_are_read_changed_and_listed_with_documented_exit_codes() {
    let (control, _thread) = start_control("founding", json!([]));
    let address: SocketAddr = control.addresses().operator;
    let address = address.to_string();
    let mut team = trust()["teams"]["trust"].clone();
    team["owner"] = json!("second office");
    let file = TestFile::write("team", &team);
    let put = |operation: &str, operator: &str, expect: &str, file: &str| {
        run(&[
            "settings",
            "put",
            "--control",
            &address,
            "--operator",
            operator,
            "--expect",
            expect,
            "--operation",
            operation,
            "teams/trust",
            file,
        ])
    };
    let output = loop {
        let output = put("op-1", "layla", "1", file.path());
        if code(&output) != 3 {
            break output;
        }
    };
    assert_eq!(code(&output), 7, "amman and irbid have no instances: {}", text(&output));
    assert!(text(&output).contains("accepted as revision 2"), "{}", text(&output));
    assert!(text(&output).contains("not confirmed"), "{}", text(&output));
    let again = put("op-1", "layla", "1", file.path());
    assert!(text(&again).contains("accepted as revision 2"), "{}", text(&again));
    team["owner"] = json!("third office");
    let third = TestFile::write("third", &team);
    let late = put("op-2", "omar", "1", third.path());
    assert_eq!(code(&late), 3);
    assert!(text(&late).contains("changed by layla (operation op-1)"), "{}", text(&late));
    assert!(text(&late).contains("$.owner"), "{}", text(&late));
    assert_eq!(code(&put("op-1", "layla", "2", third.path())), 4);
    team["kinds"]["tuck-query"]["pool"] = json!("nowhere");
    let faulty = TestFile::write("faulty", &team);
    assert_eq!(code(&put("op-3", "layla", "2", faulty.path())), 2);
    assert_eq!(code(&run(&["settings", "get", "--control", "127.0.0.1:1"])), 5);

    let output = run(&["settings", "get", "--control", &address, "--json", "teams/trust"]);
    let view: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!((&view["version"], &view["content"]["owner"]), (&json!(2), &json!("second office")));
    let output = run(&["settings", "history", "--control", &address]);
    assert!(text(&output).contains("teams/trust"), "{}", text(&output));
    let output = run(&["status", &address]);
    assert_eq!(code(&output), 0, "{}", text(&output));
    assert!(text(&output).contains("aqaba-control"), "{}", text(&output));
}

#[test]
fn a_group_is_refounded_only_where_it_has_no_leader_and_loss_is_accepted() {
    let alone = json!([{ "instance": "aqaba-control", "address": "127.0.0.1:1" }]);
    let (control, _thread) = start_control("refound", alone);
    let address = control.addresses().operator.to_string();
    let refound = |arguments: &[&str]| {
        let output = run(&[&["refound", "--control", &address], arguments].concat());
        assert_eq!(code(&output), 5);
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    let refused = refound(&["settings"]);
    assert!(refused.contains("only lost replicas held would be lost"), "{refused}");
    let end = Instant::now() + FOUNDING_TIMEOUT;
    let refused = loop {
        let refused = refound(&["--accept-loss", "settings"]);
        if !refused.contains("belongs to no group") || Instant::now() > end {
            break refused;
        }
    };
    assert!(refused.contains("the group has a leader, or had one a moment ago"), "{refused}");
    let row = loop {
        let listed = run(&["groups", &address]);
        assert_eq!(code(&listed), 0);
        let row = text(&listed).lines().last().map(str::to_owned).expect("a row");
        if !row.contains("settings  - ") || Instant::now() > end {
            break row;
        }
    };
    let cells: Vec<_> = row.split_whitespace().take(5).collect();
    assert_eq!(cells, [&address, "settings", "aqaba-control", "aqaba-control", "-"]);
    assert_eq!(code(&run(&["groups", "127.0.0.1:1"])), 5);
    let refused = refound(&["--accept-loss", "ledger-nowhere"]);
    assert!(refused.contains("no replica of this group runs here"), "{refused}");
}
