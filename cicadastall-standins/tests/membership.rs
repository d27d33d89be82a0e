//! Discovery, failure detection and digests of the membership over a simulated faulty network.

use cicadastall::{
    listing::list_entries,
    members::EntryFault,
    route::UPSTREAM_EXPIRY,
    table::{EntryState, RoutingTable, UpstreamState},
};
use cicadastall_standins::network::MemberNetwork;
use std::{ops::Range, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// A network with `nodes` in each of `zones`, all seeded with the first node of the first zone.
fn network(zones: &[&str], nodes: usize, seed: u64) -> MemberNetwork {
    let mut network = MemberNetwork::new(seed);
    for zone in zones {
        for _ in 0..nodes {
            network.add_node(zone, &[0]);
        }
    }
    network
}

fn knows_all(network: &MemberNetwork, nodes: Range<usize>) -> bool {
    let count = nodes.len();
    nodes.into_iter().all(|index| network.members(index).entries().count() == count - 1)
}

fn table(network: &MemberNetwork, node: usize) -> RoutingTable {
    network.members(node).make_table(network.now())
}

/// Whether `node` would dispatch new work to `upstream`.
fn would_dispatch(network: &MemberNetwork, node: usize, upstream: usize) -> bool {
    let table = table(network, node);
    table.upstreams.get(network.upstream_name(upstream)).is_some_and(|view| {
        view.record.state == UpstreamState::Serving
            && network.now().duration_since(view.renewed_at) < UPSTREAM_EXPIRY
    })
}

#[test]
fn members_learn_of_each_other_from_one_seed_despite_loss() {
    let mut network = network(&["aqaba-a", "amman-a", "irbid-a"], 9, 11);
    network.faults.loss = 0.1;
    network.faults.duplicates = 0.1;
    let upstream = network.add_upstream("verdicts", "splice-7b", [9, 10]);
    let joined = network.run_until(10 * SECOND, |network| {
        knows_all(network, 0..9)
            && knows_all(network, 9..18)
            && knows_all(network, 18..27)
            && (9..18).all(|node| would_dispatch(network, node, upstream))
            && (0..27).all(|node| table(network, node).zones.len() == 2)
    });
    assert!(joined.is_some(), "not all members were known after 10 s");
}

#[test]
fn loss_and_one_way_links_remove_no_member() {
    let mut network = network(&["aqaba-a"], 9, 12);
    network.run(5 * SECOND);
    network.faults.loss = 0.05;
    network.faults.duplicates = 0.05;
    network.faults.blocked.insert((3, 4));
    for second in 0..120 {
        network.run(SECOND);
        assert!(knows_all(&network, 0..9), "a running member was removed in second {second}");
    }
}

#[test]
fn failed_member_is_removed_everywhere_within_5_s_and_returns() {
    let mut network = network(&["aqaba-a"], 9, 13);
    network.run(5 * SECOND);
    network.crash(5);
    let gone = |network: &MemberNetwork| {
        (0..9).filter(|node| *node != 5).all(|node| network.members(node).entries().count() == 7)
    };
    assert!(network.run_until(5 * SECOND, gone).is_some(), "the failed member is still listed");
    network.restart(5, &[2]);
    let back = network.run_until(5 * SECOND, |network| knows_all(network, 0..9));
    assert!(back.is_some(), "the restarted member is not known everywhere");
}

#[test]
fn resumed_member_removes_no_peer_and_is_readmitted() {
    let mut network = network(&["aqaba-a"], 9, 14);
    network.run(5 * SECOND);
    network.freeze(5);
    network.run(60 * SECOND);
    assert!((0..5).all(|node| network.members(node).entries().count() == 7));
    network.resume(5);
    for _ in 0..30 {
        network.run(SECOND / 10);
        assert_eq!(network.members(5).entries().count(), 8, "the resumed member removed others");
    }
    let back = network.run_until(5 * SECOND, |network| knows_all(network, 0..9));
    assert!(back.is_some(), "the resumed member is not known everywhere");
}

#[test]
fn member_whose_wall_clock_jumped_is_readmitted_within_5_s() {
    for started_ms in [0, 999, u64::MAX / 2] {
        let mut network = network(&["aqaba-a"], 5, 33);
        let upstream = network.add_upstream("verdicts", "model-0", [2, 2]);
        network.run(20 * SECOND);
        for started_ms in [started_ms, 1_000] {
            network.restart_at(2, &[0], started_ms);
            network.run(5 * SECOND);
            let lost = network.run_until(10 * SECOND, |network| !knows_all(network, 0..5));
            assert_eq!(lost, None, "started at {started_ms} ms by its clock");
            let accepted = (0..5).all(|node| would_dispatch(&network, node, upstream));
            assert!(accepted, "its bulletins are ignored, started at {started_ms} ms by its clock");
        }
    }
}

#[test]
fn restarted_member_without_seeds_pulls_from_senders_of_bulletins() {
    let mut network = network(&["aqaba-a"], 2, 31);
    for round in 0..8 {
        network.run(5 * SECOND);
        network.restart(1, &[]);
        network.run(3 * SECOND / 2);
        let known = network.members(1).entries().count();
        assert_eq!(known, 1, "members known 1.5 s after restart {round}");
    }
}

#[test]
fn refutation_reaches_a_member_without_a_link_from_the_suspected_one() {
    for seed in 100..112 {
        let mut network = network(&["aqaba-a"], 9, seed);
        network.run(8 * SECOND);
        assert!(knows_all(&network, 0..9));
        network.faults.loss = 0.25;
        network.faults.blocked.insert((3, 4));
        for second in 0..60 {
            network.run(SECOND);
            let kept = network.members(4).peer_addresses().len() == 8;
            assert!(kept, "seed {seed}: a running member was removed in second {second}");
        }
    }
}

#[test]
fn leaving_upstream_is_known_in_the_zone_within_2_s() {
    let mut network = network(&["aqaba-a"], 27, 16);
    let upstream = network.add_upstream("verdicts", "splice-7b", [1, 2]);
    network.run(8 * SECOND);
    assert!((0..27).all(|node| would_dispatch(&network, node, upstream)));
    network.faults.loss = 0.1;
    network.set_upstream_state(upstream, UpstreamState::Leaving);
    let spread = network.run_until(2 * SECOND, |network| {
        (0..27).all(|node| !would_dispatch(network, node, upstream))
    });
    assert!(spread.is_some(), "some entry still uses the leaving upstream after 2 s");
    for _ in 0..200 {
        network.run(SECOND / 20);
        let used = (0..27).find(|node| would_dispatch(&network, *node, upstream));
        assert_eq!(used, None, "an entry uses the leaving upstream again");
    }
}

#[test]
fn silent_or_drained_upstream_gets_no_work_after_3_s() {
    let mut network = network(&["aqaba-a"], 9, 17);
    let silent = network.add_upstream("verdicts", "splice-7b", [1, 2]);
    let drained = network.add_upstream("verdicts", "splice-7b", [3, 4]);
    network.run(8 * SECOND);
    network.crash_upstream(silent);
    let name = network.upstream_name(drained).clone();
    assert!(network.members_mut(7).drain_upstream(&name));
    network.run(2 * SECOND);
    assert!((0..9).all(|node| !would_dispatch(&network, node, drained)));
    network.run(SECOND);
    for _ in 0..100 {
        assert!((0..9).all(|node| !would_dispatch(&network, node, silent)));
        assert!((0..9).all(|node| !would_dispatch(&network, node, drained)));
        network.run(SECOND / 10);
    }
}

#[test]
fn isolated_or_frozen_entry_sends_no_work_to_a_leaving_upstream() {
    let mut network = network(&["aqaba-a"], 9, 18);
    let upstream = network.add_upstream("verdicts", "splice-7b", [1, 2]);
    network.run(8 * SECOND);
    for other in (0..9).filter(|other| *other != 6) {
        network.faults.blocked.insert((other, 6));
        network.faults.blocked.insert((6, other));
    }
    network.freeze(1);
    network.run(SECOND);
    network.set_upstream_state(upstream, UpstreamState::Leaving);
    network.run(3 * SECOND);
    assert!(!would_dispatch(&network, 6, upstream), "the isolated entry still uses it");
    network.run(30 * SECOND);
    network.crash_upstream(upstream);
    network.resume(1);
    for _ in 0..600 {
        assert!(!would_dispatch(&network, 1, upstream), "the resumed entry uses it");
        network.run(SECOND / 200);
    }
}

#[test]
fn restarted_entries_request_the_full_announcement() {
    let mut network = network(&["aqaba-a"], 3, 32);
    let upstream = network.add_upstream("verdicts", "model-0", [0, 1]);
    network.run(10 * SECOND);
    network.restart(0, &[2]);
    network.restart(1, &[2]);
    network.run(4 * SECOND);
    assert!((0..3).all(|node| would_dispatch(&network, node, upstream)));
}

#[test]
fn announcement_delayed_in_a_queue_does_not_renew_an_upstream() {
    let mut network = network(&["aqaba-a"], 3, 19);
    let upstream = network.add_upstream("verdicts", "splice-7b", [1, 2]);
    network.run(5 * SECOND);
    network.freeze(1);
    network.run(SECOND);
    network.crash_upstream(upstream);
    network.run(20 * SECOND);
    network.resume(1);
    for _ in 0..600 {
        assert!(!would_dispatch(&network, 1, upstream), "an old announcement was trusted");
        network.run(SECOND / 200);
    }
}

#[test]
fn partitioned_zone_is_removed_within_3_s_and_readmitted_gradually() {
    let mut network = network(&["aqaba-a", "amman-a"], 9, 20);
    network.add_upstream("verdicts", "splice-7b", [1, 2]);
    network.run(10 * SECOND);
    let zone_count = |network: &MemberNetwork, node: usize| table(network, node).zones.len();
    assert!((0..18).all(|node| zone_count(&network, node) == 1));
    network.set_zone_isolated("aqaba-a", true);
    network.run(3 * SECOND + SECOND / 10);
    assert!(
        (0..18).all(|node| zone_count(&network, node) == 0),
        "the partitioned zone is still used"
    );
    assert!(knows_all(&network, 0..9) && knows_all(&network, 9..18));
    network.run(60 * SECOND);
    network.set_zone_isolated("aqaba-a", false);
    let admitting =
        |network: &MemberNetwork| (9..18).filter(|node| zone_count(network, *node) == 1).count();
    network.run_until(20 * SECOND, |network| admitting(network) > 0).expect("the zone returns");
    network.run(SECOND + SECOND / 5);
    assert!(admitting(&network) <= 6, "most entries readmitted the zone at the same time");
    let back = network.run_until(5 * SECOND, |network| admitting(network) == 9);
    assert!(back.is_some(), "not all entries readmitted the zone");
}

/// Number of upstreams in the first digest row of the first other zone that `node` knows.
fn remote_upstreams(network: &MemberNetwork, node: usize) -> Option<u32> {
    let table = table(network, node);
    Some(table.zones.values().next()?.digest.rows.first()?.upstreams)
}

#[test]
fn changed_capacity_is_known_in_another_zone_within_5_s() {
    for seed in 40..46 {
        let mut network = network(&["aqaba-a", "amman-a"], 9, seed);
        network.faults.loss = 0.005;
        network.add_upstream("verdicts", "model-0", [0, 1]);
        network.run(20 * SECOND);
        network.add_upstream("verdicts", "model-0", [2, 3]);
        let known = network.run_until(5 * SECOND, |network| {
            (9..18).all(|node| remote_upstreams(network, node) == Some(2))
        });
        assert!(known.is_some(), "not known everywhere with seed {seed}");
    }
}

#[test]
fn restarted_zone_requests_full_digests() {
    for seed in 50..54 {
        let mut network = network(&["aqaba-a", "amman-a"], 3, seed);
        network.add_upstream("verdicts", "model-0", [0, 1]);
        network.run(20 * SECOND);
        (3..6).for_each(|node| network.restart(node, &[3]));
        let known = network.run_until(5 * SECOND, |network| {
            (3..6).all(|node| remote_upstreams(network, node) == Some(1))
        });
        assert!(known.is_some(), "not known with seed {seed}");
    }
}

#[test]
fn failed_forwards_exclude_entries_and_then_the_zone() {
    let mut network = network(&["aqaba-a", "amman-a"], 3, 21);
    network.run(10 * SECOND);
    let now = network.now();
    let view = table(&network, 0).zones.values().next().expect("a zone").clone();
    let zone = view.digest.zone.clone();
    let failed = view.digest.entries[0];
    let members = network.members_mut(0);
    members.record_entry_fault(&zone, failed, EntryFault::Unreachable, now);
    let left = &members.make_table(now).zones[&zone].digest.entries;
    assert!(!left.is_empty() && !left.contains(&failed));
    members.record_entry_fault(&zone, view.digest.entries[1], EntryFault::Unreachable, now);
    assert!(members.make_table(now).zones.is_empty(), "the zone is still used");
    network.run(6 * SECOND);
    assert_eq!(table(&network, 0).zones.len(), 1, "the zone was not readmitted");
}

#[test]
fn draining_entry_is_unlisted_and_busy_entry_has_a_low_weight() {
    let mut network = network(&["aqaba-a"], 3, 22);
    network.run(5 * SECOND);
    network.members_mut(1).set_state(EntryState::Draining);
    network.members_mut(2).set_in_flight(200);
    network.run(2 * SECOND);
    let listing = list_entries(network.members(0), network.now());
    let names: Vec<_> = listing.entries.iter().map(|row| row.instance.as_str()).collect();
    assert_eq!(names, ["aqaba-a-0", "aqaba-a-2"]);
    assert!(listing.entries[0].weight > 100.0 * listing.entries[1].weight);
}

#[test]
fn busiest_node_of_a_small_fleet_sends_less_than_4_kib_a_second() {
    let mut network = network(&["aqaba-a", "amman-a", "irbid-a"], 9, 23);
    for upstream in 0..30 {
        let first = upstream % 3 * 9 + upstream / 3 % 8;
        network.add_upstream("verdicts", &format!("model-{}", upstream / 3), [first, first + 1]);
    }
    network.faults.loss = 0.005;
    network.run(30 * SECOND);
    network.reset_traffic();
    network.run(30 * SECOND);
    let busiest = (0..27).map(|node| network.traffic(node).sent_bytes / 30).max();
    assert!(busiest < Some(4_096), "{busiest:?} bytes/s");
}
