//! Announces a stand-in upstream to the entries of its zone.

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

/// Timeout of one announcement call.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between announcements while no entry answers.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Number of entries to which one upstream announces itself.
const ENTRIES_PER_UPSTREAM: usize = 2;

/// Interval between checks of the count of running requests.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Identity of a stand-in and the entries to which it announces itself.
#[derive(Debug, Clone)]
pub struct StandinConfig {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Region of the upstream.
    pub region: RegionName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Pool that the upstream serves.
    pub pool: PoolName,
    /// Addresses of the first entries to announce to; replies add further ones.
    pub entries: Vec<SocketAddr>,
}

/// Builds the announced record of a stand-in that listens on `address`.
///
/// The incarnation is the wall clock time in milliseconds.
pub fn make_record(
    config: &StandinConfig,
    address: SocketAddr,
    model: Option<ModelName>,
    rates: UpstreamRates,
) -> UpstreamRecord {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UpstreamRecord {
        name: config.name.clone(),
        incarnation: Incarnation(started.as_millis() as u64),
        sequence: 0,
        region: config.region.clone(),
        zone: config.zone.clone(),
        address,
        pool: config.pool.clone(),
        models: model.into_iter().collect(),
        state: UpstreamState::Serving,
        rates,
        load: LoadReport::default(),
        checks_fencing: false,
    }
}

/// Shared flag that a stand-in is leaving, with the time of the last request received after it was
/// set.
#[derive(Debug, Clone)]
pub struct LeaveSignal {
    leaving_since: Arc<watch::Sender<Option<Instant>>>,
    last_request: Arc<Mutex<Option<Instant>>>,
}

impl Default for LeaveSignal {
    fn default() -> Self {
        let (leaving_since, _) = watch::channel(None);
        Self { leaving_since: Arc::new(leaving_since), last_request: Arc::default() }
    }
}

/// Requests that a stand-in received after it started to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LeaveSummary {
    /// Time from the start of leaving to the last new request, in milliseconds; `None` if there was
    /// no request.
    pub last_request_ms: Option<u64>,
}

impl LeaveSignal {
    /// Starts to leave; further calls keep the first start time.
    pub fn leave(&self) {
        self.leaving_since.send_if_modified(|leaving_since| {
            let first = leaving_since.is_none();
            leaving_since.get_or_insert_with(Instant::now);
            first
        });
    }

    /// Waits until [`LeaveSignal::leave`] is called.
    pub async fn wait_for_leave(&self) {
        let _ = self.leaving_since.subscribe().wait_for(Option::is_some).await;
    }

    fn is_leaving(&self) -> bool {
        self.leaving_since.borrow().is_some()
    }

    /// Records the arrival of a request if the stand-in is leaving.
    pub fn record_request(&self) {
        if self.is_leaving() {
            *self.last_request.lock().unwrap_or_else(PoisonError::into_inner) =
                Some(Instant::now());
        }
    }

    /// Returns the time of the last request received while leaving.
    pub fn summarize(&self) -> LeaveSummary {
        let last = *self.last_request.lock().unwrap_or_else(PoisonError::into_inner);
        let leaving_since = *self.leaving_since.borrow();
        let elapsed =
            leaving_since.zip(last).map(|(leaving_since, last)| last.duration_since(leaving_since));
        LeaveSummary { last_request_ms: elapsed.map(|elapsed| elapsed.as_millis() as u64) }
    }
}

/// Announces `record` periodically, updated by `refresh` before each announcement. Never returns.
///
/// Sets the state to `Leaving` once `leave` is set, which also happens when an entry replies that
/// an operator drains the upstream.
pub async fn announce(
    mut record: UpstreamRecord,
    mut entries: Vec<SocketAddr>,
    leave: LeaveSignal,
    mut refresh: impl FnMut(&mut UpstreamRecord),
) {
    let client = client(ENTRIES_PER_UPSTREAM);
    let mut announced_records = BTreeMap::new();
    loop {
        record.sequence += 1;
        refresh(&mut record);
        if leave.is_leaving() {
            record.state = UpstreamState::Leaving;
        }
        let mut pause = ANNOUNCE_PERIOD;
        let mut reached = 0;
        for address in entries.clone() {
            if reached == ENTRIES_PER_UPSTREAM {
                break;
            }
            let renewed_sequence = announced_records
                .get(&address)
                .filter(|announced| renewal_suffices(announced, &record));
            let renewed_sequence =
                renewed_sequence.map(|announced: &UpstreamRecord| announced.sequence);
            if let Ok(reply) = send_announcement(&client, address, &record, renewed_sequence).await
            {
                reached += 1;
                pause = Duration::from_millis(reply.renew_within_ms);
                if renewed_sequence.is_none() || reply.announce {
                    announced_records.insert(address, record.clone());
                }
                entries.extend(reply.entries);
                entries.sort_by_cached_key(|entry| rank_entry(&record, *entry));
                entries.dedup();
                if reply.drain {
                    leave.leave();
                }
            }
        }
        let is_leaving_announced = record.state == UpstreamState::Leaving;
        tokio::select! {
            () = sleep(pause) => {}
            () = leave.wait_for_leave(), if !is_leaving_announced => {}
        }
    }
}

/// Rendezvous hash that gives each upstream its own order of entries, which spreads the
/// announcements over all entries.
fn rank_entry(record: &UpstreamRecord, entry: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&record.name, entry).hash(&mut hasher);
    hasher.finish()
}

/// Waits for `linger`, then until `running` is zero.
pub async fn wait_until_idle(running: &AtomicU32, linger: Duration) {
    sleep(linger).await;
    while running.load(Ordering::Relaxed) > 0 {
        sleep(IDLE_POLL_PERIOD).await;
    }
}

/// Whether `record` differs from `announced` only in the fields that a renewal carries.
fn renewal_suffices(announced: &UpstreamRecord, record: &UpstreamRecord) -> bool {
    let load = record.load.clone();
    *record == UpstreamRecord { sequence: record.sequence, load, ..announced.clone() }
}

/// Announces `record` to the entry at `address`.
///
/// Sends a renewal of announcement `renewed_sequence` if given, and the full record if not or if
/// the entry asks for it. The reply has `announce` set if the entry asked for the full record.
async fn send_announcement(
    client: &HttpClient,
    address: SocketAddr,
    record: &UpstreamRecord,
    renewed_sequence: Option<u64>,
) -> Result<AnnounceReply, CallError> {
    let method = Method::POST;
    let Some(renewed_sequence) = renewed_sequence else {
        let body = Some(record);
        return call_json(client, method, address, ANNOUNCE_PATH, body, ANNOUNCE_TIMEOUT).await;
    };
    let body = Some(&record.to_renewal(renewed_sequence));
    let reply: AnnounceReply =
        call_json(client, method.clone(), address, RENEW_PATH, body, ANNOUNCE_TIMEOUT).await?;
    if !reply.announce {
        return Ok(reply);
    }
    let body = Some(record);
    let full_reply: AnnounceReply =
        call_json(client, method, address, ANNOUNCE_PATH, body, ANNOUNCE_TIMEOUT).await?;
    Ok(AnnounceReply { announce: true, ..full_reply })
}
