//! Follows the settings: polls control instances and peers, and pushes updates within the zone.

use crate::{
    clock::millis,
    follower_table::{FollowerTable, ZoneTargets},
    name::InstanceName,
    node::NodeSettings,
    peer::PeerClients,
    settings::Revision,
    settings_peer::{
        FollowReply, FollowRequest, FollowerLocation, PushRequest, UnconfirmedInstance, ZoneReport,
    },
    settings_store::{SettingsStore, StartState},
    subtree::SettingsUpdate,
    table::RoutingTable,
};
use arc_swap::ArcSwap;
use futures::future::join_all;
use rand::seq::IndexedRandom;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout},
};

/// Interval at which sources are polled for newer settings.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for the reply of one source.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit of the start, after which the instance serves with the settings that it has.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay between two rounds of polls at the start, in which membership may discover peers.
const START_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Minimum number of rounds of polls at the start.
const MIN_START_ROUNDS: u32 = 2;

/// Number of instances of a zone, the first by name, that poll control instances; the others poll
/// their peers.
const ZONE_DELEGATES: usize = 2;

/// Probability that a poll of a peer is limited to those that poll control instances.
const DELEGATE_PROBABILITY: f64 = 0.25;

/// Time without confirmation after which any instance polls control instances.
const UNCONFIRMED_AFTER: Duration = Duration::from_secs(8);

/// Time limit for an instance to confirm a pushed update.
const PUSH_TIMEOUT: Duration = Duration::from_millis(600);

/// Time limit for an instance to catch up if it can't apply a pushed update because it holds a
/// revision older than the base of the update.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for the zones to report whether a change is in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Client and server of the distribution of settings on one instance.
#[derive(Debug)]
pub struct SettingsFollower {
    node: Arc<NodeSettings>,
    location: FollowerLocation,
    store: Arc<SettingsStore>,
    clients: Arc<PeerClients>,
    table: Arc<ArcSwap<RoutingTable>>,
    followers: Mutex<FollowerTable>,
    push_report: watch::Sender<PushReport>,
    wake: Notify,
    counts: FollowerCounts,
}

/// Counters of messages about the settings.
#[derive(Debug, Default)]
pub struct FollowerCounts {
    /// Requests answered.
    pub answers: AtomicU64,
    /// Updates pushed to other instances.
    pub pushes: AtomicU64,
}

/// Confirmations of the newest pushed revision by the zones that follow this instance.
#[derive(Debug, Clone, Default)]
struct PushReport {
    revision: Revision,
    zones: Vec<ZoneReport>,
}

impl SettingsFollower {
    /// Creates a follower that other instances reach at `address`.
    pub fn new(
        node: Arc<NodeSettings>,
        address: SocketAddr,
        store: Arc<SettingsStore>,
        clients: Arc<PeerClients>,
        table: Arc<ArcSwap<RoutingTable>>,
    ) -> Self {
        let location = FollowerLocation {
            instance: node.instance.clone(),
            region: node.region.clone(),
            zone: node.zone.clone(),
            address,
        };
        Self {
            node,
            location,
            store,
            clients,
            table,
            followers: Mutex::default(),
            push_report: watch::Sender::new(PushReport::default()),
            wake: Notify::new(),
            counts: FollowerCounts::default(),
        }
    }

    /// The settings that the instance holds.
    pub fn store(&self) -> &Arc<SettingsStore> {
        &self.store
    }

    /// Counters of the instance's messages about the settings.
    pub fn counts(&self) -> &FollowerCounts {
        &self.counts
    }

    /// Polls control instances and peers for newer settings until its task is dropped.
    pub async fn run(&self) {
        self.start().await;
        loop {
            let _ = timeout(POLL_INTERVAL, self.wake.notified()).await;
            let previous = self.store.revision();
            let polls_control = self.polls_control();
            let sources = if polls_control { self.node.control.clone() } else { Vec::new() };
            join_all(
                sources
                    .into_iter()
                    .chain(self.choose_peer())
                    .map(|source| self.poll_source(source)),
            )
            .await;
            if polls_control && let Some(update) = self.store.newest().changes_after(previous) {
                self.push_to_peers(&update).await;
            }
        }
    }

    /// Gets the newest settings of the control instances, the seeds and the zone's peers. Finishes
    /// after [`START_TIMEOUT`] with the newest of those that replied.
    async fn start(&self) {
        let mut state = StartState::Partial;
        let rounds = async {
            for round in 1.. {
                let sources = self.start_sources();
                let answered =
                    join_all(sources.iter().map(|source| self.poll_source(*source))).await;
                let complete = answered.into_iter().all(|answered| answered);
                if complete && (round >= MIN_START_ROUNDS || sources.is_empty()) {
                    break;
                }
                sleep(START_RETRY_DELAY).await;
            }
        };
        if timeout(START_TIMEOUT, rounds).await.is_ok() {
            state = StartState::Complete;
        }
        self.store.finish_start(state);
    }

    fn start_sources(&self) -> Vec<SocketAddr> {
        let mut sources = self.node.control.clone();
        sources.extend(&self.node.seeds);
        sources.extend(self.zone_peers().into_iter().map(|(_, address)| address));
        sources.sort();
        sources.dedup();
        sources.retain(|source| *source != self.location.address);
        sources
    }

    /// Polls one instance; returns whether it replied.
    async fn poll_source(&self, source: SocketAddr) -> bool {
        let is_control = self.node.control.contains(&source);
        let request = FollowRequest {
            revision: self.store.revision(),
            follower: is_control.then(|| self.location.clone()),
        };
        let call = self.clients.call(source, POLL_TIMEOUT, async |client, context| {
            client.settings_after(context, request).await
        });
        let Ok(reply) = call.await else { return false };
        if let Some(update) = &reply.update {
            self.store.apply_update(update);
        }
        if let Some(age) = reply.confirmed_age_ms {
            self.store.record_confirmation(Duration::from_millis(age));
        }
        true
    }

    /// Whether this instance polls control instances: the first [`ZONE_DELEGATES`] of a zone do, and
    /// any whose settings were not confirmed recently.
    fn polls_control(&self) -> bool {
        let confirmed = self.store.confirmed_age();
        let peers = self.zone_peers();
        let delegates_before =
            peers.iter().filter(|(name, _)| *name < self.location.instance).count();
        delegates_before < ZONE_DELEGATES || confirmed.is_none_or(|age| age > UNCONFIRMED_AFTER)
    }

    /// Selects a peer to poll: one that polls control instances, or any of the zone.
    fn choose_peer(&self) -> Option<SocketAddr> {
        let mut peers = self.zone_peers();
        if rand::random_bool(DELEGATE_PROBABILITY) {
            peers.truncate(ZONE_DELEGATES);
        }
        peers.choose(&mut rand::rng()).map(|(_, address)| *address)
    }

    /// Names and addresses of the other instances in the zone, ordered by name.
    fn zone_peers(&self) -> Vec<(InstanceName, SocketAddr)> {
        let table = self.table.load();
        let own = &self.location;
        let peers = table
            .entries
            .values()
            .filter(|record| record.zone == own.zone && record.instance != own.instance);
        peers.map(|record| (record.instance.clone(), record.peer_address)).collect()
    }

    /// Handles a request for newer settings.
    pub(crate) fn handle_request(&self, request: FollowRequest) -> FollowReply {
        self.counts.answers.fetch_add(1, Ordering::Relaxed);
        if let Some(follower) = request.follower {
            let mut followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
            followers.record(follower, Instant::now());
        }
        FollowReply {
            update: self.store.newest().changes_after(request.revision),
            confirmed_age_ms: self.store.confirmed_age().map(millis),
        }
    }

    /// Applies a pushed update and forwards it to the zone if requested.
    pub(crate) async fn accept_push(&self, push: PushRequest) -> ZoneReport {
        self.store.apply_update(&push.update);
        let behind = self.store.revision() < push.update.revision;
        if behind {
            self.wake.notify_one();
        }
        let mut report =
            if push.spread { self.push_to_peers(&push.update).await } else { self.empty_report() };
        let bound = if behind { CATCH_UP_TIMEOUT } else { Duration::ZERO };
        if self.store.wait_for(push.update.revision, bound).await {
            report.in_force += 1;
        } else {
            let instance = self.location.instance.clone();
            report.silent.push(UnconfirmedInstance { instance, silent_ms: Some(0) });
        }
        report
    }

    /// Pushes an update to the other instances of the zone and collects their confirmations.
    async fn push_to_peers(&self, update: &SettingsUpdate) -> ZoneReport {
        let pushes = self.zone_peers().into_iter().map(|(instance, address)| async move {
            (
                instance,
                self.push(address, PushRequest { update: update.clone(), spread: false }).await,
            )
        });
        let mut report = self.empty_report();
        for (instance, reply) in join_all(pushes).await {
            match reply {
                Some(reply) if reply.in_force > 0 => report.in_force += 1,
                _ => report.silent.push(UnconfirmedInstance { instance, silent_ms: None }),
            }
        }
        report
    }

    fn empty_report(&self) -> ZoneReport {
        let FollowerLocation { region, zone, .. } = self.location.clone();
        ZoneReport { region, zone, in_force: 0, silent: Vec::new() }
    }

    async fn push(&self, address: SocketAddr, push: PushRequest) -> Option<ZoneReport> {
        self.counts.pushes.fetch_add(1, Ordering::Relaxed);
        let bound = if push.spread { PUSH_TIMEOUT * 2 } else { PUSH_TIMEOUT };
        let call = self.clients.call(address, bound, async |client, context| {
            client.settings_push(context, push).await
        });
        call.await.ok().flatten()
    }

    /// Pushes an update to one follower in each zone that polls this control instance.
    pub(crate) async fn push_to_zones(&self, update: &SettingsUpdate) {
        let targets = {
            let followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
            followers.targets(Instant::now())
        };
        let zones = join_all(targets.into_iter().map(|zone| self.push_to_zone(zone, update))).await;
        self.push_report.send_replace(PushReport { revision: update.revision, zones });
    }

    async fn push_to_zone(&self, zone: ZoneTargets, update: &SettingsUpdate) -> ZoneReport {
        for address in zone.addresses {
            let push = PushRequest { update: update.clone(), spread: true };
            if let Some(report) = self.push(address, push).await {
                return report;
            }
        }
        zone.unconfirmed
    }

    /// Reports where `revision` is in force: first on this instance, then in the zones that follow
    /// it. Waits for the zones at most [`IN_FORCE_TIMEOUT`].
    pub(crate) async fn query_local_zones(&self, revision: Revision) -> Vec<ZoneReport> {
        let mut push_report = self.push_report.subscribe();
        let reached = push_report.wait_for(|report| report.revision >= revision);
        let zones = match timeout(IN_FORCE_TIMEOUT, reached).await {
            Ok(Ok(report)) => report.zones.clone(),
            _ => Vec::new(),
        };
        let mut own = self.empty_report();
        own.in_force = u32::from(self.store.revision() >= revision);
        std::iter::once(own).chain(zones).collect()
    }

    /// Queries another control instance for where `revision` is in force; empty if it does not reply.
    pub(crate) async fn query_zones(
        &self,
        address: SocketAddr,
        revision: Revision,
    ) -> Vec<ZoneReport> {
        let call = self.clients.call(address, IN_FORCE_TIMEOUT * 2, async |client, context| {
            client.settings_confirm(context, revision).await
        });
        call.await.unwrap_or_default()
    }
}
