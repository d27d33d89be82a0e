//! Graceful stop: an instance leaves the listings, refuses new requests and finishes those in
//! flight.

use crate::{
    answer::{Refusal, RefusalCode},
    group::GroupHost,
    http::AnswerBody,
    instance::CONTROL_TIMEOUT,
    listing::LISTING_LIFETIME,
    membership::MembershipMessage,
    name::RequestId,
    serve::refuse,
    table::EntryState,
    wire::ENTRY_HEADER,
};
use hyper::{
    Response,
    header::{CONNECTION, HeaderValue},
};
use ractor::ActorRef;
use serde::Serialize;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, sleep_until},
};

/// Interval at which the number of requests in flight is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Result of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct StopSummary {
    /// Requests that were in flight when the stop began.
    pub in_flight: u32,
    /// Requests that were refused while the instance was stopping.
    pub refused: u32,
    /// Requests that were aborted because of the time limit or a second signal.
    pub cut_off: u32,
}

/// Whether a stop was requested or is in progress, and how many requests were refused meanwhile.
#[derive(Debug)]
pub struct StopState {
    requested: watch::Sender<bool>,
    draining: AtomicBool,
    refused: AtomicU32,
}

impl Default for StopState {
    fn default() -> Self {
        let (requested, _) = watch::channel(false);
        Self { requested, draining: AtomicBool::new(false), refused: AtomicU32::new(0) }
    }
}

impl StopState {
    /// Requests a stop, as a signal does.
    pub fn request(&self) {
        self.requested.send_replace(true);
    }

    /// Waits until a stop is requested.
    pub async fn requested(&self) {
        let _ = self.requested.subscribe().wait_for(|requested| *requested).await;
    }

    /// Whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Counts a refused request of a caller.
    pub(crate) fn count_refusal(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// The refusal of a stopping instance. It names the entry `other` if one is known, and
    /// otherwise tells the caller to retry after the lifetime of a listing.
    pub(crate) fn refuse(
        &self,
        request: &RequestId,
        other: Option<SocketAddr>,
    ) -> Response<AnswerBody> {
        let message = match other {
            Some(address) => format!("the instance is stopping; ask {address}"),
            None => "the instance is stopping".to_owned(),
        };
        let wait = if other.is_some() { Duration::ZERO } else { LISTING_LIFETIME };
        let refusal = Refusal::not_run(RefusalCode::Draining, message).retry_after(wait);
        let mut answer = refuse(request, refusal);
        let headers = answer.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        if let Some(value) = other.and_then(|address| address.to_string().parse().ok()) {
            headers.insert(ENTRY_HEADER, value);
        }
        answer
    }
}

/// An instance that refuses new requests and finishes those in flight.
#[derive(Debug)]
pub struct DrainingInstance {
    pub(crate) state: Arc<StopState>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) in_flight: Arc<AtomicU32>,
    pub(crate) close: watch::Sender<bool>,
    pub(crate) callers: Option<JoinHandle<()>>,
    pub(crate) grace: Duration,
    pub(crate) bound: Duration,
    pub(crate) initial_in_flight: u32,
    pub(crate) tasks: JoinSet<()>,
    pub(crate) groups: GroupHost,
}

impl DrainingInstance {
    /// Starts to refuse new requests and announces the state to the zone.
    pub(crate) fn begin(mut self) -> Self {
        self.state.draining.store(true, Ordering::Relaxed);
        let _ = self.membership.cast(MembershipMessage::SetState(EntryState::Draining));
        self.initial_in_flight = self.count();
        log::info!(in_flight = self.initial_in_flight; "draining");
        self
    }

    /// Waits for the requests in flight, at most for the time limit, and shuts the instance down.
    ///
    /// The listeners stay open for the grace period, so that a caller with an old listing gets the
    /// address of another entry instead of a refused connection.
    pub async fn finish(&mut self) -> StopSummary {
        let deadline = Instant::now() + self.bound;
        let grace = (Instant::now() + self.grace).min(deadline);
        sleep_until(grace).await;
        while self.count() > 0 && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        let cut_off = self.count();
        self.close.send_replace(true);
        if let Some(callers) = self.callers.take().filter(|_| cut_off == 0) {
            let _ =
                tokio::time::timeout_at(deadline.max(Instant::now() + self.grace), callers).await;
        }
        self.groups.registry().transfer_leadership().await;
        self.leave_membership().await;
        self.summarize(cut_off)
    }

    /// Shuts the instance down at once; the result counts the aborted requests.
    pub async fn abort(mut self) -> StopSummary {
        let cut_off = self.count();
        self.leave_membership().await;
        self.summarize(cut_off)
    }

    async fn leave_membership(&mut self) {
        let _ = self.membership.call(MembershipMessage::Leave, Some(CONTROL_TIMEOUT)).await;
        self.membership.stop(None);
        self.tasks.abort_all();
    }

    fn count(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn summarize(&self, cut_off: u32) -> StopSummary {
        let refused = self.state.refused.load(Ordering::Relaxed);
        StopSummary { in_flight: self.initial_in_flight, refused, cut_off }
    }
}
