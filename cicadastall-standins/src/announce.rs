//! Announcements of a stand-in to the entries of its zone.

use cicadastall::{
    http::{CallError, HttpClient, call_json, client},
    name::{ModelName, PoolName, RegionName, UpstreamName, ZoneName},
    serve::{ANNOUNCE_PATH, RENEW_PATH},
    table::{Incarnation, LoadReport, UpstreamRates, UpstreamRecord, UpstreamState},
    wire::AnnounceReply,
};
use hyper::Method;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

/// Longest time to wait for an entry.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between announcements while no entry answers.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Entries to which one upstream announces itself.
const ANNOUNCED_ENTRIES: usize = 2;

/// Time between two looks at the running requests.
const FINISH_PERIOD: Duration = Duration::from_millis(20);

/// Name and place of a stand-in.
#[derive(Debug, Clone)]
pub struct StandinPlace {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Region of the upstream.
    pub region: RegionName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Addresses of some entries of the zone.
    pub entries: Vec<SocketAddr>,
}

/// The announcement of a stand-in that listens on `address`.
pub fn make_record(
    place: &StandinPlace,
    address: SocketAddr,
    model: Option<ModelName>,
    rates: UpstreamRates,
) -> UpstreamRecord {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UpstreamRecord {
        name: place.name.clone(),
        incarnation: Incarnation(started.as_millis() as u64),
        sequence: 0,
        region: place.region.clone(),
        zone: place.zone.clone(),
        address,
        pool: place.pool.clone(),
        models: model.into_iter().collect(),
        state: UpstreamState::Serving,
        rates,
        load: LoadReport::default(),
        checks_fencing: false,
    }
}

/// Whether a stand-in leaves, and when new requests reached it since.
#[derive(Debug, Clone)]
pub struct LeaveSwitch {
    since: Arc<watch::Sender<Option<Instant>>>,
    last_request: Arc<Mutex<Option<Instant>>>,
}

impl Default for LeaveSwitch {
    fn default() -> Self {
        let (since, _) = watch::channel(None);
        Self { since: Arc::new(since), last_request: Arc::default() }
    }
}

/// What reached a stand-in after it had said that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LeaveSummary {
    /// Time from the announcement to the last new request, in milliseconds; none without any.
    pub last_request_ms: Option<u64>,
}

impl LeaveSwitch {
    /// Makes the stand-in leave.
    pub fn leave(&self) {
        self.since.send_if_modified(|since| {
            let first = since.is_none();
            since.get_or_insert_with(Instant::now);
            first
        });
    }

    /// Waits until the stand-in is to leave.
    pub async fn left(&self) {
        let _ = self.since.subscribe().wait_for(Option::is_some).await;
    }

    fn is_leaving(&self) -> bool {
        self.since.borrow().is_some()
    }

    /// Notes that a new request arrived.
    pub fn note_request(&self) {
        if self.is_leaving() {
            *self.last_request.lock().unwrap_or_else(PoisonError::into_inner) =
                Some(Instant::now());
        }
    }

    /// What reached the stand-in since.
    pub fn summarize(&self) -> LeaveSummary {
        let last = *self.last_request.lock().unwrap_or_else(PoisonError::into_inner);
        let since = *self.since.borrow();
        let passed = since.zip(last).map(|(since, last)| last.duration_since(since));
        LeaveSummary { last_request_ms: passed.map(|passed| passed.as_millis() as u64) }
    }
}

/// Announces `record` with the load that `refresh` fills in, until the task is dropped.
///
/// Once the stand-in leaves, or an entry says that an operator drains it, it announces so.
pub async fn announce(
    mut record: UpstreamRecord,
    mut entries: Vec<SocketAddr>,
    leave: LeaveSwitch,
    mut refresh: impl FnMut(&mut UpstreamRecord),
) {
    let client = client(ANNOUNCED_ENTRIES);
    let mut told = BTreeMap::new();
    loop {
        record.sequence += 1;
        refresh(&mut record);
        if leave.is_leaving() {
            record.state = UpstreamState::Leaving;
        }
        let mut pause = ANNOUNCE_PERIOD;
        let mut reached = 0;
        for address in entries.clone() {
            if reached == ANNOUNCED_ENTRIES {
                break;
            }
            let whole = told.get(&address).is_none_or(|told| !renews(told, &record));
            if let Ok(reply) = announce_once(&client, address, &record, whole).await {
                reached += 1;
                pause = Duration::from_millis(reply.renew_within_ms);
                if whole || reply.announce {
                    told.insert(address, record.clone());
                }
                entries.extend(reply.entries);
                entries.sort_by_cached_key(|entry| rank_entry(&record, *entry));
                entries.dedup();
                if reply.drain {
                    leave.leave();
                }
            }
        }
        let announced = record.state == UpstreamState::Leaving;
        tokio::select! {
            () = sleep(pause) => {}
            () = leave.left(), if !announced => {}
        }
    }
}

/// Order in which an upstream tries entries: another one for each, so that they spread.
fn rank_entry(record: &UpstreamRecord, entry: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&record.name, entry).hash(&mut hasher);
    hasher.finish()
}

/// Waits for `linger`, and then until no request runs.
pub async fn finish_requests(running: &AtomicU32, linger: Duration) {
    sleep(linger).await;
    while running.load(Ordering::Relaxed) > 0 {
        sleep(FINISH_PERIOD).await;
    }
}

/// Whether a renewal says all in which `record` differs from `told`.
fn renews(told: &UpstreamRecord, record: &UpstreamRecord) -> bool {
    let load = record.load.clone();
    *record == UpstreamRecord { sequence: record.sequence, load, ..told.clone() }
}

/// Announces `record` to the entry at `address`; by a renewal, unless `whole` is set or the entry
/// asks for the announcement.
async fn announce_once(
    client: &HttpClient,
    address: SocketAddr,
    record: &UpstreamRecord,
    whole: bool,
) -> Result<AnnounceReply, CallError> {
    if !whole {
        let body = Some(&record.to_renewal());
        let reply: AnnounceReply =
            call_json(client, Method::POST, address, RENEW_PATH, body, ANNOUNCE_TIMEOUT).await?;
        if !reply.announce {
            return Ok(reply);
        }
    }
    call_json(client, Method::POST, address, ANNOUNCE_PATH, Some(record), ANNOUNCE_TIMEOUT).await
}
