//! Directives of scenario files: each acts on the fleet and prints the result.

pub mod caller;
pub mod changes;
pub mod fleet;
pub mod flood;
pub mod groups;
pub mod link;
pub mod load;
pub mod operator;
pub mod waits;

use caller::CallerRequest;
use datadriven::{TestCase, TestFile};
use fleet::{Fleet, FleetShape, StandinZone};
use std::{fmt::Write, time::Duration};
use tokio::runtime::Runtime;

/// Fleet settings of all scenarios, as JSON.
const SCENARIO_SETTINGS: &str = include_str!("../scenarios/fleet.json");

/// Runs one scenario file.
pub fn run_file(file: &mut TestFile) {
    let runtime = Runtime::new().expect("a runtime");
    let mut fleet = None;
    file.run(|case| runtime.block_on(run_case(&mut fleet, case)));
}

async fn run_case(running_fleet: &mut Option<Fleet>, case: &mut TestCase) -> String {
    let directive = case.directive.clone();
    if directive == "fleet" {
        let regions: Vec<String> = take_required_list(case, "regions");
        let entries = case.take_arg("entries").expect("entries=N");
        let zones: Option<Vec<String>> = case.try_take_args("zones").expect("zones=(..)");
        let ledger_entries = case.try_take_arg("ledger-entries").expect("ledger-entries=N");
        let shape = FleetShape {
            regions,
            zones: zones.unwrap_or_else(|| vec!["a".to_owned()]),
            entries,
            ledger_entries: ledger_entries.unwrap_or_default(),
        };
        *running_fleet = Some(Fleet::start(&shape, SCENARIO_SETTINGS).await);
        return finish(case, "started".to_owned());
    }
    let fleet = running_fleet.as_mut().expect("a scenario starts with the fleet directive");
    let text = run_directive(fleet, &directive, case).await;
    finish(case, text)
}

fn finish(case: &TestCase, text: String) -> String {
    case.expect_empty().expect("every argument of the directive is known");
    text.trim_end().to_owned() + "\n"
}

async fn run_directive(fleet: &mut Fleet, directive: &str, case: &mut TestCase) -> String {
    match directive {
        "upstream" => start_upstream(fleet, case).await,
        "call" => {
            let via: String = take_required(case, "via");
            let until: Option<String> = case.try_take_arg("until").expect("text");
            let request = take_request(fleet, case);
            let outcome = fleet.call(&via, &request, until.as_deref()).await;
            format!("{}: {outcome}", request.id)
        }
        "begin" => {
            let via: String = take_required(case, "via");
            let request = take_request(fleet, case);
            fleet.begin(&via, request);
            "sent".to_owned()
        }
        "finish" => {
            let id: String = take_required(case, "id");
            format!("{id}: {}", fleet.finish(&id).await)
        }
        "streams" => {
            let (id, name): (String, String) =
                (take_required(case, "id"), take_required(case, "from"));
            fleet.wait_streaming(&id, &name).await;
            format!("{id}: goes on")
        }
        "kill" => for_each_name(case, |name| fleet.kill(name)),
        "forgotten" => {
            let name: String = take_required(case, "name");
            fleet.wait_disconnected(&name).await;
            "done".to_owned()
        }
        "restart" => for_each_name(case, |name| fleet.restart(name)),
        "lose-disk" => for_each_name(case, |name| fleet.lose_disk(name)),
        "freeze" => for_each_name(case, |name| fleet.signal(name, "-STOP")),
        "wake" => for_each_name(case, |name| fleet.signal(name, "-CONT")),
        "stop" => {
            let name: String = take_required(case, "name");
            fleet.stop(&name).await
        }
        "begin-stop" => for_each_name(case, |name| fleet.signal(name, "-TERM")),
        "end-stop" => {
            let name: String = take_required(case, "name");
            fleet.end_stop(&name).await
        }
        "drain" => {
            let (via, name) = (take_required(case, "via"), take_required(case, "name"));
            fleet.order(&via, &format!("/v1/upstreams/{name}/drain")).await
        }
        "refound" => {
            let (at, group) = (take_required(case, "at"), take_required(case, "group"));
            fleet.order(&at, &format!("/v1/groups/{group}/refound?accept_loss=true")).await
        }
        "session" => {
            let (name, via) = (take_required(case, "name"), take_required(case, "via"));
            fleet.open_session(&name, &via, "aqaba-port").await
        }
        "put" => changes::put_change(fleet, case).await,
        "put-many" => changes::put_many(fleet, case).await,
        "race" => changes::race(fleet, case).await,
        "revision" => changes::check_revision(fleet, case).await,
        "settings" => changes::show_revision(fleet, case).await,
        "stop-leader" => groups::stop_leader(fleet, case).await,
        "voters" => groups::count_voters(fleet, case).await,
        "load" => load::start_load(fleet, case),
        "load-end" => load::end_load(fleet).await,
        "flood" => flood::start_flood(fleet, case).await,
        "flood-end" => flood::end_flood(fleet).await,
        "calls" => flood::call_many(fleet, case).await,
        "answered" => load::wait_answered(fleet, case).await,
        "confirmed" => waits::wait_confirmed(fleet, case).await,
        "executed" => waits::wait_executed(fleet, case).await,
        "quarantined" => waits::wait_quarantined(fleet, case).await,
        "unconfirmed" => waits::wait_unconfirmed(fleet, case).await,
        "zones" => waits::wait_zones(fleet, case).await,
        "listed" => {
            let via: String = take_required(case, "via");
            let count = case.take_arg("count").expect("count=N");
            crate::zone::wait_listed(fleet.address(&via), count).await;
            format!("{count} entries")
        }
        "running" => format!("{} upstreams", fleet.count_running()),
        "cut" => {
            let both = !case.take_flag("one-way").expect("a flag");
            let (from, to): (String, String) =
                (take_required(case, "from"), take_required(case, "to"));
            fleet.cut(&from, &to, both);
            "cut".to_owned()
        }
        "delay" => {
            let ms = case.take_arg("ms").expect("ms=N");
            fleet.delay_regions(Duration::from_millis(ms));
            format!("{ms} ms each way between regions")
        }
        "heal" => {
            fleet.heal();
            "healed".to_owned()
        }
        "wait" => {
            let ms = case.take_arg("ms").expect("ms=N");
            tokio::time::sleep(Duration::from_millis(ms)).await;
            "waited".to_owned()
        }
        "executions" => {
            let mut text = String::new();
            for (key, count) in fleet.executions().await {
                writeln!(text, "{key}: {count}").expect("writing to a string");
            }
            if text.is_empty() { "none".to_owned() } else { text }
        }
        other => panic!("unknown directive {other}"),
    }
}

async fn start_upstream(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let name: String = take_required(case, "name");
    let region: String = take_required(case, "region");
    let zone: Option<String> = case.try_take_arg("zone").expect("text");
    let zone = zone.unwrap_or_else(|| format!("{region}-a"));
    let place = StandinZone { region, zone, pool: take_required(case, "pool") };
    let mut role = Vec::new();
    if let Some(ms) = case.try_take_arg::<String>("linger-ms").expect("linger-ms=N") {
        role.extend(["--linger-ms".to_owned(), ms]);
    }
    let tokens = case.try_take_arg("tokens").expect("tokens=N");
    if case.take_flag("engine").expect("a flag") {
        role.extend(["engine", "--model", "splice-7b", "--tokens"].map(str::to_owned));
        role.push(tokens.unwrap_or_else(|| "100000".to_owned()));
        if let Some(ms) = case.try_take_arg::<String>("token-ms").expect("token-ms=N") {
            role.extend(["--token-ms".to_owned(), ms]);
        }
    }
    if case.take_flag("service").expect("a flag") {
        role.push("service".to_owned());
        if let Some(ms) = case.try_take_arg::<String>("call-ms").expect("call-ms=N") {
            role.extend(["--call-ms".to_owned(), ms]);
        }
    }
    fleet.start_upstream(&name, &place, &role).await;
    "started".to_owned()
}

fn take_request(fleet: &Fleet, case: &mut TestCase) -> CallerRequest {
    let kind: String = take_required(case, "kind");
    let plain = matches!(kind.as_str(), "register-lookup" | "certification-entry");
    let id: String = take_required(case, "id");
    let session: Option<String> = case.try_take_arg("session").expect("text");
    let ask: Option<String> = case.try_take_arg("ask").expect("text");
    let fault: Option<String> = case.try_take_arg("fault").expect("text");
    let fault = fault.map(|name| format!("fault:{name}"));
    CallerRequest {
        workspace: case
            .try_take_arg("workspace")
            .expect("text")
            .unwrap_or_else(|| "aqaba-port".to_owned()),
        prompt: fault.or(ask).unwrap_or_else(|| id.clone()),
        tokens: case.try_take_arg("tokens").expect("a number").unwrap_or(8),
        session: session.map(|name| fleet.session(&name)),
        key: case.try_take_arg("key").expect("text"),
        resent: case.take_flag("resent").expect("a flag"),
        kind,
        plain,
        id,
    }
}

fn for_each_name(case: &mut TestCase, mut act: impl FnMut(&str)) -> String {
    let names = take_required_list(case, "name");
    for name in &names {
        act(name);
    }
    "done".to_owned()
}

fn take_required(case: &mut TestCase, name: &str) -> String {
    case.take_arg(name).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn take_required_list(case: &mut TestCase, name: &str) -> Vec<String> {
    case.take_args(name).unwrap_or_else(|error| panic!("{name}: {error}"))
}
