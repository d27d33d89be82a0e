//! Listings of entries for callers whose requests have home regions, while entries and control
//! instances stop and start.

mod gateway;

use cicadastall::{
    gateway::{
        entry::EntryServer,
        routes::{RepeatRule, RouteDocument},
    },
    name::RegionName,
};
use gateway::{CallerRequest, ROUTED_HOST, TestFleet, WAIT_TIMEOUT, document, route};
use hyper::{Method, StatusCode};
use smallvec::smallvec;
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

const ZONES: [&str; 3] = ["west-a", "west-a", "east-a"];

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which listings are read after a change of the fleet; control considers an entry lost
/// within it.
const WATCH_TIME: Duration = Duration::from_secs(4);

/// A document whose only restricted route has the home region west.
fn bound_document() -> RouteDocument {
    let mut bound = document(1);
    let mut home = route("home", RepeatRule::Repeatable);
    home.homes = smallvec![RegionName::from("west")];
    bound.routes.push(Arc::new(home));
    bound
}

/// Addresses that the directory at `directory` lists for a caller in `zone`; none if it lists none
/// or does not answer with a listing.
async fn list(directory: SocketAddr, zone: &str) -> BTreeSet<SocketAddr> {
    let request = CallerRequest {
        method: Method::GET,
        path: format!("/v1/entries?host={ROUTED_HOST}&zone={zone}"),
        headers: Vec::new(),
        body: Default::default(),
    };
    let answer = request.send(directory).await;
    if answer.status != StatusCode::OK {
        return BTreeSet::new();
    }
    let listing: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
    let listed = listing["entries"].as_array().expect("entries").iter();
    listed.map(|entry| entry.as_str().expect("text").parse().expect("an address")).collect()
}

/// A fleet with two entries in west and one in east, all of which every directory knows.
async fn fleet(name: &str, controls: usize) -> TestFleet {
    let fleet = TestFleet::start(name, controls, &ZONES).await;
    fleet.put_document(&bound_document()).await;
    fleet.wait_ready().await;
    let west = addresses(&fleet, 0..2);
    for directory in directories(&fleet) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while list(directory, "west-a").await != west {
            assert!(Instant::now() < end, "{directory} does not list both entries of west");
            sleep(POLL_INTERVAL).await;
        }
    }
    fleet
}

fn addresses(fleet: &TestFleet, entries: std::ops::Range<usize>) -> BTreeSet<SocketAddr> {
    fleet.entries[entries].iter().map(|entry| entry.address()).collect()
}

/// Directories of all entries and control instances.
fn directories(fleet: &TestFleet) -> Vec<SocketAddr> {
    let entries = fleet.entries.iter().map(|entry| entry.node.directory_listen);
    let controls = fleet.controls.iter().map(|control| control.node.directory_listen);
    entries.chain(controls).map(|address| address.expect("a directory")).collect()
}

fn stop(fleet: &mut TestFleet, entry: usize) -> JoinHandle<()> {
    let server: EntryServer = fleet.entries[entry].server.take().expect("running");
    tokio::spawn(server.stop())
}

#[tokio::test]
async fn callers_are_not_led_out_of_their_home_when_one_entry_of_two_stops() {
    let mut fleet = fleet("home-one-stops", 1).await;
    let directories = directories(&fleet);
    let east = fleet.entries[2].address();
    let stopping = stop(&mut fleet, 0);
    let end = Instant::now() + WATCH_TIME;
    while Instant::now() < end {
        for directory in &directories[1..] {
            let listed = list(*directory, "west-a").await;
            assert!(!listed.contains(&east), "{directory} lists an entry of east");
            assert!(listed.contains(&fleet.entries[1].address()), "{directory} lists {listed:?}");
        }
        sleep(POLL_INTERVAL).await;
    }
    stopping.await.expect("stopped");
}

#[tokio::test]
async fn callers_are_not_led_out_of_their_home_when_all_its_entries_restart() {
    let mut fleet = fleet("home-all-restart", 1).await;
    let (east, directory) = (fleet.entries[2].address(), directories(&fleet)[2]);
    let watch = tokio::spawn(async move {
        let end = Instant::now() + 2 * WATCH_TIME;
        while Instant::now() < end {
            let listed = list(directory, "west-a").await;
            assert!(!listed.contains(&east), "an entry of east is listed: {listed:?}");
            sleep(POLL_INTERVAL).await;
        }
    });
    let stopping = [stop(&mut fleet, 0), stop(&mut fleet, 1)];
    sleep(Duration::from_millis(700)).await;
    let west = addresses(&fleet, 0..2);
    assert_eq!(list(directory, "west-a").await, west, "stopping entries still accept callers");
    for stopped in stopping {
        stopped.await.expect("stopped");
    }
    fleet.start_entry(0).await;
    fleet.start_entry(1).await;
    fleet.wait_ready().await;
    watch.await.expect("no listing led elsewhere");
    assert_eq!(list(directory, "west-a").await, west);
}

#[tokio::test]
async fn a_listing_forgets_no_serving_entry_when_control_restarts() {
    let mut fleet = fleet("home-control-restarts", 1).await;
    let (west, east) = (addresses(&fleet, 0..2), fleet.entries[2].address());
    let directories: Vec<_> = directories(&fleet)[..3].to_vec();
    let watch = tokio::spawn(async move {
        let end = Instant::now() + 2 * WATCH_TIME;
        while Instant::now() < end {
            for directory in &directories {
                let listed = list(*directory, "west-a").await;
                assert_eq!(listed, west, "{directory}");
                assert!(!listed.contains(&east));
            }
            sleep(POLL_INTERVAL).await;
        }
    });
    fleet.kill_control(0).await;
    sleep(Duration::from_millis(500)).await;
    fleet.start_control(0).await;
    watch.await.expect("all listings were complete");
}

#[tokio::test]
async fn a_directory_that_restarts_with_control_does_not_lead_callers_to_its_own_region() {
    let mut fleet = fleet("home-directory-restarts", 1).await;
    let (east, directory) = (fleet.entries[2].address(), directories(&fleet)[2]);
    fleet.kill_control(0).await;
    fleet.kill_entry(2).await;
    fleet.start_entry(2).await;
    fleet.start_control(0).await;
    let end = Instant::now() + 2 * WATCH_TIME;
    while Instant::now() < end {
        let listed = list(directory, "west-a").await;
        assert!(!listed.contains(&east), "an entry of east is listed: {listed:?}");
        sleep(POLL_INTERVAL / 4).await;
    }
    assert_eq!(list(directory, "west-a").await, addresses(&fleet, 0..2));
}
