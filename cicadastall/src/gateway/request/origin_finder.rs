//! Origins of streams at an entry: its own records, what it sends, and lookups at control instances.

use crate::{
    gateway::{
        knowledge::{
            origin_table::OriginStore,
            stream_origins::{OriginKey, OriginQuery, OriginReply, StreamOrigin},
            warmup::hash_pair,
        },
        request::{
            context::EntryContext,
            origin_sender::{SendMode, SendTasks},
        },
        settings::GatewaySettings,
    },
    name::{AttemptId, InstanceName, PoolName},
    peer::{PeerClients, PeerError},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Maximum number of records of one entry.
const MAX_OWN_RECORDS: usize = 16_384;

/// Delays from a record until it is sent to the first control instance, and to a second one, which
/// matters only if the first can't pass it on.
const SEND_DELAYS: [Duration; 2] = [Duration::from_millis(25), Duration::from_millis(1_000)];

/// Interval at which the receivers of records are chosen.
const SELECT_PERIOD: Duration = Duration::from_millis(100);

/// Time without an answer of the polled control instances after which all others are asked as well.
const WIDEN_DELAY: Duration = Duration::from_millis(150);

/// Time limit for a call of a lookup.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);

/// Time limit for a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(700);

/// Result of a lookup.
#[derive(Debug)]
pub(crate) struct LookupResult {
    /// The origin, if it is known.
    pub(crate) origin: Option<StreamOrigin>,
    /// Label for metrics.
    pub(crate) outcome: &'static str,
}

impl LookupResult {
    fn found(origin: StreamOrigin, outcome: &'static str) -> Self {
        Self { origin: Some(origin), outcome }
    }

    fn missing(outcome: &'static str) -> Self {
        Self { origin: None, outcome }
    }
}

/// Collects the replies to one query.
#[derive(Debug, Default)]
pub struct ReplyCollector {
    sole: Option<StreamOrigin>,
    several: bool,
    answered: bool,
}

impl ReplyCollector {
    /// Adds a reply; returns the origin if it was recorded.
    pub fn add(&mut self, reply: OriginReply) -> Option<StreamOrigin> {
        self.answered = true;
        match reply {
            OriginReply::Recorded(origin) => return Some(origin),
            OriginReply::Sole(origin) => {
                self.several |= self.sole.as_ref().is_some_and(|sole| *sole != origin);
                self.sole = Some(origin);
            }
            OriginReply::Several => self.several = true,
            OriginReply::Unknown => {}
        }
        None
    }

    /// The only possible origin, if at least one reply names it and none contradicts it.
    pub fn into_sole(self) -> Option<StreamOrigin> {
        self.sole.filter(|_| !self.several)
    }
}

/// Control instances that an entry knows.
#[derive(Debug, Default)]
struct KnownControls {
    polled: BTreeSet<SocketAddr>,
    all: BTreeSet<SocketAddr>,
}

/// Records and finds origins of streams for one entry.
#[derive(Debug)]
pub(crate) struct OriginFinder {
    instance: InstanceName,
    store: Arc<OriginStore>,
    clients: Arc<PeerClients>,
    controls: Mutex<KnownControls>,
}

impl OriginFinder {
    pub(crate) fn new(node: &GatewaySettings) -> Self {
        let seeds: BTreeSet<_> = node.seeds.iter().copied().collect();
        Self {
            instance: node.instance.clone(),
            store: Arc::new(OriginStore::new(MAX_OWN_RECORDS)),
            clients: Arc::new(PeerClients::new(Some(node.peer_listen.ip()))),
            controls: Mutex::new(KnownControls { polled: seeds.clone(), all: seeds }),
        }
    }

    pub(crate) fn store(&self) -> &OriginStore {
        &self.store
    }

    fn controls(&self) -> MutexGuard<'_, KnownControls> {
        self.controls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the control instances that the entry polls, and all that it knows.
    pub(crate) fn set_controls(&self, polled: BTreeSet<SocketAddr>, all: BTreeSet<SocketAddr>) {
        self.store.table().retain_receivers(&all);
        *self.controls() = KnownControls { polled, all };
    }

    /// Sends the records to control instances until the task is aborted.
    pub(crate) async fn send(&self) {
        let mut tasks = SendTasks::default();
        loop {
            tasks.set(&self.select_receivers(), &self.store, &self.clients);
            sleep(SELECT_PERIOD).await;
        }
    }

    /// Two control instances that answer, preferably polled ones.
    fn select_receivers(&self) -> BTreeMap<SocketAddr, SendMode> {
        let controls = self.controls();
        let table = self.store.table();
        let now = Instant::now();
        let mut ranked: Vec<_> = controls.all.iter().copied().collect();
        ranked.sort_by_cached_key(|address| {
            let polled = controls.polled.contains(address);
            let spread = hash_pair(self.instance.as_str(), address);
            (table.is_failing(*address, now), !polled, spread)
        });
        let modes = SEND_DELAYS.map(|delay| SendMode { delay, forwarded: false, complete: false });
        ranked.into_iter().zip(modes).collect()
    }

    /// Finds the origin of the answer to `attempt` among `pools`: in the own records, then at the
    /// polled control instances, then at all others.
    pub(crate) async fn find(&self, attempt: &AttemptId, pools: &[PoolName]) -> LookupResult {
        let key = OriginKey::from(attempt);
        if let Some(recorded) = self.store.table().find(key, Instant::now()) {
            return match recorded {
                Some(origin) => LookupResult::found(origin.clone(), "found_own"),
                None => LookupResult::missing("several"),
            };
        }
        let query = OriginQuery { key, pools: pools.to_vec() };
        let (first, mut others) = {
            let controls = self.controls();
            let others: Vec<_> = controls.all.difference(&controls.polled).copied().collect();
            (controls.polled.clone(), others)
        };
        let started_at = Instant::now();
        let mut calls = JoinSet::new();
        let ask = |calls: &mut JoinSet<_>, address| {
            calls.spawn(ask_control(Arc::clone(&self.clients), address, query.clone()));
        };
        first.into_iter().for_each(|address| ask(&mut calls, address));
        let mut collector = ReplyCollector::default();
        loop {
            let widen_at = if others.is_empty() { LOOKUP_TIMEOUT } else { WIDEN_DELAY };
            tokio::select! {
                reply = calls.join_next() => match reply {
                    Some(Ok(Ok(reply))) => {
                        if let Some(origin) = collector.add(reply) {
                            // The other calls end on their own, so that dead connections are closed.
                            calls.detach_all();
                            return LookupResult::found(origin, "found_control");
                        }
                    }
                    Some(Ok(Err(error))) => log::info!("origin of a stream not read: {error}"),
                    Some(Err(error)) => log::warn!("lookup task failed: {error}"),
                    None if others.is_empty() => break,
                    None => others.drain(..).for_each(|address| ask(&mut calls, address)),
                },
                () = sleep_until(started_at + widen_at) => {
                    if others.is_empty() {
                        break;
                    }
                    others.drain(..).for_each(|address| ask(&mut calls, address));
                }
            }
        }
        calls.detach_all();
        let (answered, several) = (collector.answered, collector.several);
        match collector.into_sole() {
            Some(origin) => LookupResult::found(origin, "sole"),
            None if several => LookupResult::missing("several"),
            None if answered => LookupResult::missing("unknown"),
            None => LookupResult::missing("failed"),
        }
    }
}

async fn ask_control(
    clients: Arc<PeerClients>,
    address: SocketAddr,
    query: OriginQuery,
) -> Result<OriginReply, PeerError> {
    clients
        .call(address, ASK_TIMEOUT, async move |client, context| {
            client.find_origin(context, query).await
        })
        .await
}

impl EntryContext {
    /// Records that the answer to `attempt` began at `origin`.
    pub fn record_origin(&self, attempt: &AttemptId, origin: &StreamOrigin) {
        self.origins.store().record(attempt.into(), origin);
    }

    /// Finds where the answer to `attempt` began, as one of `pools`; `None` if that is not known.
    pub async fn find_origin(
        &self,
        attempt: &AttemptId,
        pools: &[PoolName],
    ) -> Option<StreamOrigin> {
        let LookupResult { origin, outcome } = self.origins.find(attempt, pools).await;
        self.metrics.count_origin_lookup(outcome);
        log::info!(
            attempt = attempt.as_str(), outcome,
            software = origin.as_ref().map_or("", |origin| origin.software.as_str());
            "origin of a resumed stream looked up"
        );
        origin
    }
}
