//! Tests of the distribution of settings to entries: a change reaches all of them, no entry returns to
//! an older revision, and entries catch up after a partition.

use crate::{
    fleet::{
        get, node, put, put_many, put_many_when_founded, start_control, start_entries, start_entry,
        status, wait_for, wait_revision,
    },
    reserved::ReservedAddress,
    settings_common::owned_by,
};
use cicadastall::{
    http::client, settings::Revision, settings_state::ChangeReply, settings_store::StartState,
};
use hyper::StatusCode;
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep},
};

/// A TCP proxy that closes its connections while it is not open.
struct LinkProxy {
    address: SocketAddr,
    open: watch::Sender<bool>,
}

impl LinkProxy {
    async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (open, is_open) = watch::channel(true);
        tokio::spawn(async move {
            while let Ok((mut incoming, _)) = listener.accept().await {
                let mut is_open = is_open.clone();
                tokio::spawn(async move {
                    let copied = async {
                        let mut outgoing = TcpStream::connect(target).await?;
                        copy_bidirectional(&mut incoming, &mut outgoing).await
                    };
                    tokio::select! {
                        _ = copied => {}
                        _ = is_open.wait_for(|open| !*open) => {}
                    }
                });
            }
        });
        Self { address, open }
    }

    fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

#[tokio::test]
async fn change_is_in_force_in_all_regions_when_the_operator_gets_its_result() {
    let control = start_control("aqaba-control").await;
    let entries = start_entries(control.addresses().peer).await;
    sleep(Duration::from_millis(1_200)).await;
    let started = Instant::now();
    let operator = control.addresses().operator;
    let (status_code, answer) = put(operator, "op-1", "layla", 1, &owned_by("layla")).await;
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert_eq!(status_code, StatusCode::OK, "{answer:?}");
    let reach = answer.expect("an answer").reach.expect("where it is in force");
    let mut regions: Vec<_> = reach.in_force.iter().map(|region| region.as_str()).collect();
    regions.sort_unstable();
    assert_eq!(regions, ["amman", "aqaba", "irbid"], "{reach:?}");
    for entry in &entries {
        assert_eq!(status(entry.addresses().operator).await.revision, Revision(2));
    }
}

#[tokio::test]
async fn resends_and_conflicts_are_reported_over_http() {
    let control = start_control("aqaba-control").await;
    let operator = control.addresses().operator;
    wait_revision(operator, 1).await;
    let (_, first) = put(operator, "op-1", "layla", 1, &owned_by("layla")).await;
    let (_, again) = put(operator, "op-1", "layla", 1, &owned_by("layla")).await;
    assert_eq!(first.expect("an answer").reply, again.expect("an answer").reply);
    let (status, reused) = put(operator, "op-1", "layla", 1, &owned_by("other")).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    let reused = reused.expect("an answer").reply;
    assert!(matches!(reused, ChangeReply::OperationReused { .. }), "{reused:?}");
    let mut changes = Vec::new();
    for number in 0..8 {
        changes.push(tokio::spawn(async move {
            let name = format!("racer-{number}");
            put(operator, &name, &name, 2, &owned_by(&name)).await
        }));
    }
    let mut accepted = 0;
    for change in changes {
        let (status, answer) = change.await.expect("a change");
        accepted += u32::from(status == StatusCode::OK);
        if let ChangeReply::Conflict { winner, difference, .. } = answer.expect("an answer").reply {
            assert!(winner.expect("a winner").operator.starts_with("racer-"));
            assert_eq!(difference.len(), 1);
        }
    }
    assert_eq!(accepted, 1);
    let history = get(&client(1), operator, "/v1/settings/history").await.expect("a history");
    assert_eq!(history["revisions"].as_array().map(Vec::len), Some(2));
}

#[tokio::test]
async fn unreachable_region_is_reported_and_catches_up() {
    let control = start_control("aqaba-control").await;
    let (peer, operator) = (control.addresses().peer, control.addresses().operator);
    let control_link = LinkProxy::to(peer).await;
    let mut settings = node("irbid-1", "irbid", &[control_link.address], &[]);
    let reserved = ReservedAddress::on(Ipv4Addr::LOCALHOST);
    settings.peer_listen = reserved.address;
    let entry_link = LinkProxy::to(settings.peer_listen).await;
    settings.peer_advertise = Some(entry_link.address);
    let entry = start_entry(settings).await;
    let entry_operator = entry.addresses().operator;
    wait_revision(entry_operator, 1).await;
    sleep(Duration::from_millis(1_500)).await;
    let (_, answer) = put(operator, "op-1", "layla", 1, &owned_by("before")).await;
    let reach = answer.expect("an answer").reach.expect("where it is in force");
    assert!(reach.in_force.contains(&"irbid".into()), "{reach:?}");

    control_link.set_open(false);
    entry_link.set_open(false);
    sleep(Duration::from_millis(1_000)).await;
    let (_, answer) = put(operator, "op-2", "layla", 2, &owned_by("during")).await;
    let reach = answer.expect("an answer").reach.expect("where it is in force");
    let unconfirmed =
        reach.unconfirmed.iter().find(|unconfirmed| unconfirmed.region.as_str() == "irbid");
    let unconfirmed = unconfirmed.unwrap_or_else(|| panic!("irbid is not unconfirmed: {reach:?}"));
    assert!(unconfirmed.silent_ms >= 1_000, "{unconfirmed:?}");
    assert_eq!(unconfirmed.instances, ["irbid-1".into()]);
    let cut_off = wait_for(entry_operator, |status| status.cut_off_since_ms.is_some()).await;
    assert_eq!(cut_off.revision, Revision(2));

    control_link.set_open(true);
    entry_link.set_open(true);
    let reconnected = Instant::now();
    wait_revision(entry_operator, 3).await;
    wait_for(entry_operator, |status| status.cut_off_since_ms.is_none()).await;
    assert!(reconnected.elapsed() < Duration::from_secs(4), "{:?}", reconnected.elapsed());
}

#[tokio::test]
async fn lagging_control_does_not_revert_an_entry() {
    let newest = start_control("aqaba-control").await;
    let lagging = start_control("aqaba-lagging").await;
    put_many_when_founded(&newest, 4).await;
    let first = start_entry(node("aqaba-1", "aqaba", &[newest.addresses().peer], &[])).await;
    wait_revision(first.addresses().operator, 5).await;

    let seeds = [first.addresses().peer];
    let restarted =
        start_entry(node("aqaba-2", "aqaba", &[lagging.addresses().peer], &seeds)).await;
    let operator = restarted.addresses().operator;
    let ready = wait_for(operator, |status| status.start != StartState::Asking).await;
    assert_eq!((ready.start, ready.revision), (StartState::Complete, Revision(5)));
    put_many(lagging.addresses().operator, 1, 2).await;
    for _ in 0..30 {
        assert_eq!(status(operator).await.revision, Revision(5));
        let tree = first.addresses();
        assert_eq!(status(tree.operator).await.revision, Revision(5));
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn entry_that_starts_without_control_serves_the_settings_of_its_zone() {
    let control = start_control("aqaba-control").await;
    put_many_when_founded(&control, 3).await;
    let first = start_entry(node("aqaba-1", "aqaba", &[control.addresses().peer], &[])).await;
    wait_revision(first.addresses().operator, 4).await;
    let reserved = ReservedAddress::on(Ipv4Addr::LOCALHOST);
    let unused_address = reserved.address;
    let started = Instant::now();
    let second =
        start_entry(node("aqaba-2", "aqaba", &[unused_address], &[first.addresses().peer])).await;
    let operator = second.addresses().operator;
    let ready = wait_for(operator, |status| status.start != StartState::Asking).await;
    assert_eq!((ready.start, ready.revision), (StartState::Partial, Revision(4)));
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
}

#[tokio::test]
async fn an_entry_catches_up_after_hundreds_of_changes() {
    let control = start_control("aqaba-control").await;
    let first = start_entry(node("aqaba-1", "aqaba", &[control.addresses().peer], &[])).await;
    put_many_when_founded(&control, 300).await;
    wait_revision(first.addresses().operator, 301).await;
    let second = start_entry(node("aqaba-2", "aqaba", &[control.addresses().peer], &[])).await;
    let ready =
        wait_for(second.addresses().operator, |status| status.start != StartState::Asking).await;
    assert_eq!(ready.revision, Revision(301));
}
