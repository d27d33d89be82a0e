//! Shares suspects among the instances of a region, and isolates them.

use crate::{
    name::{AttemptId, RegionName, UpstreamName},
    node::NodeSettings,
    peer::PeerClients,
    suspect::{
        IsolationReply, IsolationRequest, RequestFingerprint, SuspectRecord, SuspectTable,
        Suspicion, UpstreamCrash,
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

/// Time between two exchanges of suspects with the region's control instances.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time to wait for a peer.
const SHARE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time to wait for a control instance before an entry isolates suspects by itself; two
/// entries that do so may give two suspects one upstream.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(2);

/// What one instance tells others of its region.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectShare {
    /// Region of the sender; instances of other regions ignore the rest.
    pub region: RegionName,
    /// Suspects.
    pub records: Vec<SuspectRecord>,
}

/// Suspects of the region as this instance knows them, and the way to the other instances.
#[derive(Debug)]
pub struct SuspectRegistry {
    node: Arc<NodeSettings>,
    routing: Arc<ArcSwap<RoutingTable>>,
    table: Mutex<SuspectTable>,
    probes: Mutex<Vec<RequestFingerprint>>,
}

/// A probe of an upstream on behalf of one request, until it is dropped.
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
    /// An empty board.
    pub fn new(node: Arc<NodeSettings>, routing: Arc<ArcSwap<RoutingTable>>) -> Self {
        Self { node, routing, table: Mutex::default(), probes: Mutex::default() }
    }

    /// Fingerprint of a request with these parts.
    pub fn fingerprint(&self, parts: &[&[u8]]) -> RequestFingerprint {
        RequestFingerprint::compute(&self.node.region, parts)
    }

    /// How `fingerprint` is to be treated.
    pub fn classify(&self, fingerprint: RequestFingerprint) -> Suspicion {
        self.lock().classify(fingerprint, Instant::now())
    }

    /// Notes that an upstream which broke an answer to `fingerprint` is being probed.
    pub fn begin_probe(&self, fingerprint: RequestFingerprint) -> ProbeGuard<'_> {
        self.lock_probes().push(fingerprint);
        ProbeGuard { registry: self, fingerprint }
    }

    /// Whether an upstream is being probed that broke an answer to `fingerprint`.
    pub fn is_probing(&self, fingerprint: RequestFingerprint) -> bool {
        self.lock_probes().contains(&fingerprint)
    }

    /// Whether `crash` was known here before `time`.
    pub fn is_known_before(&self, crash: &UpstreamCrash, time: Instant) -> bool {
        self.lock().is_known_before(crash, time)
    }

    /// All suspects.
    pub fn list(&self) -> Vec<SuspectRecord> {
        self.lock().list(Instant::now())
    }

    /// Takes what another instance tells and returns what this one knows.
    pub fn exchange(&self, share: SuspectShare) -> Vec<SuspectRecord> {
        if share.region != self.node.region {
            return Vec::new();
        }
        let now = Instant::now();
        let mut table = self.lock();
        table.merge(share.records, now);
        table.list(now)
    }

    /// Grants or takes back an upstream; answered by control instances.
    pub fn isolate(&self, request: &IsolationRequest) -> IsolationReply {
        self.lock().isolate(request, Instant::now())
    }

    /// Notes a crash, tells the region, and returns how the request is to be treated from now on.
    pub async fn report_crash(
        &self,
        clients: &PeerClients,
        fingerprint: RequestFingerprint,
        crash: UpstreamCrash,
    ) -> Suspicion {
        log::warn!(
            fingerprint = fingerprint.to_string().as_str(), upstream = crash.upstream.as_str();
            "upstream crashed while it ran the request"
        );
        self.lock().record_crash(fingerprint, crash, Instant::now());
        self.share(clients, self.peers()).await;
        self.classify(fingerprint)
    }

    /// Clears a suspect that was answered whole.
    pub async fn report_complete(&self, clients: &PeerClients, fingerprint: RequestFingerprint) {
        self.lock().clear(fingerprint, Instant::now());
        self.share(clients, self.peers()).await;
    }

    /// Ends a quarantine on an operator's order; returns whether there was one.
    pub async fn release(&self, clients: &PeerClients, fingerprint: RequestFingerprint) -> bool {
        let known = self.lock().release(fingerprint);
        self.share(clients, self.peers()).await;
        known
    }

    /// Asks the region for an upstream without other suspects, or gives it back.
    ///
    /// Decides alone where no control instance answers.
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

    /// Exchanges suspects with the control instances until its task is dropped.
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
            self.lock().merge(records, Instant::now());
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

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The upstream that a suspect holds alone; given back when dropped.
#[derive(Debug)]
pub struct IsolationLease {
    registry: Arc<SuspectRegistry>,
    clients: Arc<PeerClients>,
    request: IsolationRequest,
}

impl IsolationLease {
    /// Asks for `upstream`; none if another suspect runs there.
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
