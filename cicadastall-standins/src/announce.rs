//! Announcements of a stand-in to the entries of its zone.

use cicadastall::{
    http::{HttpClient, call_json, client},
    name::{ModelName, PoolName, RegionName, UpstreamName, ZoneName},
    serve::ANNOUNCE_PATH,
    table::{Incarnation, LoadReport, UpstreamRates, UpstreamRecord, UpstreamState},
    wire::AnnounceReply,
};
use hyper::Method;
use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::time::sleep;

/// Longest time to wait for an entry.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between announcements while no entry answers.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Entries to which one upstream announces itself.
const ANNOUNCED_ENTRIES: usize = 2;

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

/// Announces `record` with the load and state that `refresh` fills in, until the task is dropped.
pub async fn announce(
    mut record: UpstreamRecord,
    mut entries: Vec<SocketAddr>,
    mut refresh: impl FnMut(&mut UpstreamRecord),
) {
    let client = client(ANNOUNCED_ENTRIES);
    loop {
        record.sequence += 1;
        refresh(&mut record);
        let mut pause = ANNOUNCE_PERIOD;
        let mut reached = 0;
        for address in entries.clone() {
            if reached == ANNOUNCED_ENTRIES {
                break;
            }
            if let Ok(reply) = announce_once(&client, address, &record).await {
                reached += 1;
                pause = Duration::from_millis(reply.renew_within_ms);
                entries.extend(reply.entries);
                entries.sort();
                entries.dedup();
            }
        }
        sleep(pause).await;
    }
}

async fn announce_once(
    client: &HttpClient,
    address: SocketAddr,
    record: &UpstreamRecord,
) -> Result<AnnounceReply, cicadastall::http::CallError> {
    call_json(client, Method::POST, address, ANNOUNCE_PATH, Some(record), ANNOUNCE_TIMEOUT).await
}
