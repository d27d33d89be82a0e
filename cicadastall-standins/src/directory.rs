//! Stand-in for the client directory: stores one listing for each zone and limits the rate of
//! changes.

use cicadastall::{
    directory::DIRECTORY_PATH,
    http::{AnswerBody, ListenerLimits, bind, json_answer, read_body, serve, text_answer},
    wire::EntriesReply,
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{sync::watch, task::JoinSet, time::Instant};

/// Shortest accepted time between two changes of one zone; entries publish at most every 2 s.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(1_900);

/// Maximum size of a listing, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Timeout of receiving a listing.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Listing of each zone with the time of its last change, and the count of refused changes.
#[derive(Debug, Default)]
struct DirectoryState {
    zones: BTreeMap<String, (EntriesReply, Instant)>,
    refused_changes: u32,
}

/// A running directory; dropping it stops the server.
#[derive(Debug)]
pub struct DirectoryStandin {
    address: SocketAddr,
    state: Arc<Mutex<DirectoryState>>,
    _stop: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl DirectoryStandin {
    /// Starts an empty directory.
    ///
    /// Fails if `listen` can't be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(DirectoryState::default()));
        let shared = Arc::clone(&state);
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let handler = move |_, request| handle_request(Arc::clone(&shared), request);
        tasks.spawn(serve(listener, ListenerLimits::default(), stopped, handler));
        Ok(Self { address, state, _stop: stop, _tasks: tasks })
    }

    /// Address on which the directory listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Addresses listed for `zone`, sorted.
    pub fn listed_addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let listing = state.zones.get(zone).map(|(listing, _)| listing);
        let rows = listing.into_iter().flat_map(|listing| &listing.entries);
        let mut addresses: Vec<_> = rows.map(|row| row.address).collect();
        addresses.sort();
        addresses
    }

    /// Number of changes refused because they exceeded the rate limit.
    pub fn refused_changes(&self) -> u32 {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).refused_changes
    }
}

async fn handle_request(
    state: Arc<Mutex<DirectoryState>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let zone = head.uri.path().strip_prefix(DIRECTORY_PATH);
    let Some(zone) = zone.filter(|_| head.method == Method::PUT) else {
        return text_answer(StatusCode::NOT_FOUND, "no such path\n");
    };
    let body = read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await.unwrap_or_default();
    let Ok(listing) = serde_json::from_slice::<EntriesReply>(&body) else {
        return text_answer(StatusCode::BAD_REQUEST, "not a listing\n");
    };
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let last = state.zones.get(zone).map(|(_, at)| *at);
    if last.is_some_and(|at| now.duration_since(at) < MIN_CHANGE_INTERVAL) {
        state.refused_changes += 1;
        return text_answer(StatusCode::TOO_MANY_REQUESTS, "too many changes\n");
    }
    state.zones.insert(zone.to_owned(), (listing, now));
    json_answer(StatusCode::OK, &serde_json::json!({}))
}
