//! Exchanges suspect requests between the instances of a region and isolates them on upstreams.

use crate::{
    crash_blame::{CulpritGroup, find_culprits},
    name::{AttemptId, RegionName, UpstreamName},
    node::NodeSettings,
    peer::PeerClients,
    suspect::{
        IsolationReply, IsolationRequest, QUARANTINE_CRASHES, RequestFingerprint, SuspectRecord,
        SuspectTable, Suspicion, UpstreamCrash,
    },
    table::RoutingTable,
};
use arc_swap::ArcSwap;
use futures::future::join_all;
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Interval between two exchanges of suspects with the region's control instances.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of an exchange with one peer.
const SHARE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an isolation request to one control instance. If none answers, an entry grants
/// isolation locally, and two such entries may send two suspects to the same upstream.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Suspects that one instance sends to others of its region.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectShare {
    /// Region of the sender; instances of other regions ignore the records.
    pub region: RegionName,
    /// Suspects that the sender knows.
    pub records: Vec<SuspectRecord>,
}

/// Suspects of the region that this instance knows, exchanged with the region's other instances.
#[derive(Debug)]
pub struct SuspectRegistry {
    node: Arc<NodeSettings>,
    routing: Arc<ArcSwap<RoutingTable>>,
    table: Mutex<SuspectTable>,
    /// Messages that requests share, charged with the crashes of requests whose answer had not begun.
    messages: Mutex<SuspectTable>,
    probes: Mutex<Vec<RequestFingerprint>>,
}

/// Marks a request whose upstream is being probed, until the guard is dropped.
#[derive(Debug)]
pub struct ProbeGuard<'a> {
    registry: &'a SuspectRegistry,
    fingerprint: RequestFingerprint,
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        let mut probes = self.registry.lock_probes();
        let position = probes.iter().position(|fingerprint| *fingerprint == self.fingerprint);
        if let Some(position) = position {
            probes.swap_remove(position);
        }
    }
}

impl SuspectRegistry {
    /// Creates an empty registry.
    pub fn new(node: Arc<NodeSettings>, routing: Arc<ArcSwap<RoutingTable>>) -> Self {
        Self {
            node,
            routing,
            table: Mutex::default(),
            messages: Mutex::default(),
            probes: Mutex::default(),
        }
    }

    /// Computes the fingerprint of a request with these parts.
    pub fn fingerprint(&self, parts: &[&[u8]]) -> RequestFingerprint {
        RequestFingerprint::compute(&self.node.region, parts)
    }

    /// Returns how requests with `fingerprint` are to be treated.
    pub fn classify(&self, fingerprint: RequestFingerprint) -> Suspicion {
        self.lock().classify(fingerprint, Instant::now())
    }

    /// Records that an upstream that broke off an answer to `fingerprint` is being probed.
    pub fn begin_probe(&self, fingerprint: RequestFingerprint) -> ProbeGuard<'_> {
        self.lock_probes().push(fingerprint);
        ProbeGuard { registry: self, fingerprint }
    }

    /// Whether an upstream that broke off an answer to `fingerprint` is being probed.
    pub fn is_probing(&self, fingerprint: RequestFingerprint) -> bool {
        self.lock_probes().contains(&fingerprint)
    }

    /// Whether this instance knew of `crash` shortly before `time`.
    pub fn is_known_before(&self, crash: &UpstreamCrash, time: Instant) -> bool {
        self.lock().is_known_before(crash, time)
    }

    /// Remaining time of a quarantine that covers a request with the shared `messages`.
    pub fn find_message_quarantine(&self, messages: &[RequestFingerprint]) -> Option<Duration> {
        let now = Instant::now();
        let mut table = self.lock_messages();
        table.remove_expired(now);
        let groups = find_culprits(table.suspects(), QUARANTINE_CRASHES);
        let covers = |group: &&CulpritGroup| group.iter().all(|member| messages.contains(member));
        let group = groups.iter().find(covers)?;
        let ends = group.iter().filter_map(|member| table.suspicion_end(*member));
        ends.min().map(|end| end.saturating_duration_since(now))
    }

    /// Acquits the shared `messages` of a request that was answered whole.
    pub fn acquit_messages(&self, messages: &[RequestFingerprint]) {
        let mut table = self.lock_messages();
        for message in messages {
            table.acquit(*message);
        }
    }

    /// Lists all suspects.
    pub fn list(&self) -> Vec<SuspectRecord> {
        let now = Instant::now();
        let mut records = self.lock().list(now);
        let messages = self.lock_messages().list(now);
        records
            .extend(messages.into_iter().map(|record| SuspectRecord { message: true, ..record }));
        records
    }

    fn merge(&self, records: Vec<SuspectRecord>) {
        let now = Instant::now();
        let (messages, requests) = records.into_iter().partition(|record| record.message);
        self.lock().merge(requests, now);
        self.lock_messages().merge(messages, now);
    }

    /// Merges the suspects of another instance and returns those that this instance knows.
    pub fn exchange(&self, share: SuspectShare) -> Vec<SuspectRecord> {
        if share.region != self.node.region {
            return Vec::new();
        }
        self.merge(share.records);
        self.list()
    }

    /// Grants or revokes the exclusive use of an upstream; called at control instances.
    pub fn isolate(&self, request: &IsolationRequest) -> IsolationReply {
        self.lock().isolate(request, Instant::now())
    }

    /// Records a crash, sends it to the region's instances, and returns how the request is to be
    /// treated from now on. `messages` are charged too; empty if the request's answer had begun.
    pub async fn report_crash(
        &self,
        clients: &PeerClients,
        fingerprint: RequestFingerprint,
        messages: &[RequestFingerprint],
        crash: UpstreamCrash,
    ) -> Suspicion {
        log::warn!(
            fingerprint = fingerprint.to_string().as_str(), upstream = crash.upstream.as_str();
            "upstream crashed while it ran the request"
        );
        let now = Instant::now();
        for message in messages {
            self.lock_messages().record_crash(*message, crash.clone(), now);
        }
        self.lock().record_crash(fingerprint, crash, now);
        self.share(clients, self.peers()).await;
        self.classify(fingerprint)
    }

    /// Clears a suspect that was answered completely.
    pub async fn report_complete(&self, clients: &PeerClients, fingerprint: RequestFingerprint) {
        self.lock().clear(fingerprint, Instant::now());
        self.share(clients, self.peers()).await;
    }

    /// Ends a suspicion or a quarantine on an operator's request; returns whether the fingerprint
    /// was known.
    pub async fn release(&self, clients: &PeerClients, fingerprint: RequestFingerprint) -> bool {
        let known = self.lock().release(fingerprint) | self.lock_messages().release(fingerprint);
        self.share(clients, self.peers()).await;
        known
    }

    /// Requests the exclusive use of an upstream among suspects, or returns it.
    ///
    /// Decides locally if no control instance answers.
    pub async fn request_isolation(
        &self,
        clients: &PeerClients,
        request: IsolationRequest,
    ) -> IsolationReply {
        for address in self.node.control.iter().copied() {
            let request = request.clone();
            let call = clients.call(address, ISOLATION_TIMEOUT, async |client, context| {
                client.isolate_suspect(context, request).await
            });
            if let Ok(reply) = call.await {
                return reply;
            }
        }
        self.isolate(&request)
    }

    /// Exchanges suspects with the control instances until the task is dropped.
    pub async fn exchange_periodically(self: Arc<Self>, clients: Arc<PeerClients>) {
        loop {
            self.share(&clients, self.node.control.clone()).await;
            sleep(SHARE_INTERVAL).await;
        }
    }

    async fn share(&self, clients: &PeerClients, peers: Vec<SocketAddr>) {
        let calls = peers.into_iter().map(|address| {
            let share = SuspectShare { region: self.node.region.clone(), records: self.list() };
            clients.call(address, SHARE_TIMEOUT, async |client, context| {
                client.share_suspects(context, share).await
            })
        });
        for records in join_all(calls).await.into_iter().flatten() {
            self.merge(records);
        }
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let routing = self.routing.load();
        let mut peers = self.node.control.clone();
        peers.extend(routing.entries.values().map(|record| record.peer_address));
        peers.sort();
        peers.dedup();
        peers
    }

    fn lock_probes(&self) -> MutexGuard<'_, Vec<RequestFingerprint>> {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_messages(&self) -> MutexGuard<'_, SuspectTable> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Exclusive use of an upstream by one suspect; returned when dropped.
#[derive(Debug)]
pub struct IsolationLease {
    registry: Arc<SuspectRegistry>,
    clients: Arc<PeerClients>,
    request: IsolationRequest,
}

impl IsolationLease {
    /// Requests `upstream` for at most `hold`; returns `None` if the request is refused as busy.
    pub async fn acquire(
        registry: &Arc<SuspectRegistry>,
        clients: &Arc<PeerClients>,
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
        attempt: AttemptId,
        hold: Duration,
    ) -> Option<Self> {
        let hold_ms = (hold.as_millis() as u64).max(1);
        let request = IsolationRequest { fingerprint, upstream, attempt, hold_ms };
        match registry.request_isolation(clients, request.clone()).await {
            IsolationReply::Granted => {
                Some(Self { registry: Arc::clone(registry), clients: Arc::clone(clients), request })
            }
            IsolationReply::Busy => None,
        }
    }
}

impl Drop for IsolationLease {
    fn drop(&mut self) {
        let (registry, clients) = (Arc::clone(&self.registry), Arc::clone(&self.clients));
        let request = IsolationRequest { hold_ms: 0, ..self.request.clone() };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                registry.request_isolation(&clients, request).await;
            });
        }
    }
}
