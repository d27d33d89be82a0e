//! Graceful stop: an instance is taken off the listings, refuses new work and finishes the rest.

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

/// Time between two looks at the requests in flight.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Summary of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct StopSummary {
    /// Requests that were in flight when the stop began.
    pub in_flight: u32,
    /// Requests that were refused while the instance was stopping.
    pub refused: u32,
    /// Requests that were cut off because the bound was reached or a second signal came.
    pub cut_off: u32,
}

/// Whether an instance is to stop, and what it refused since.
#[derive(Debug)]
pub struct StopSwitch {
    asked: watch::Sender<bool>,
    draining: AtomicBool,
    refused: AtomicU32,
}

impl Default for StopSwitch {
    fn default() -> Self {
        let (asked, _) = watch::channel(false);
        Self { asked, draining: AtomicBool::new(false), refused: AtomicU32::new(0) }
    }
}

impl StopSwitch {
    /// Asks for a stop, as a signal does.
    pub fn ask(&self) {
        self.asked.send_replace(true);
    }

    /// Waits until a stop is asked for.
    pub async fn asked(&self) {
        let _ = self.asked.subscribe().wait_for(|asked| *asked).await;
    }

    /// Whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Counts the refusal of a caller's request.
    pub(crate) fn count_refusal(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// The refusal of a stopping instance, which names another entry where one is known.
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

/// An instance that takes no new work and finishes what it has.
#[derive(Debug)]
pub struct DrainingInstance {
    pub(crate) switch: Arc<StopSwitch>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) in_flight: Arc<AtomicU32>,
    pub(crate) close: watch::Sender<bool>,
    pub(crate) callers: Option<JoinHandle<()>>,
    pub(crate) grace: Duration,
    pub(crate) bound: Duration,
    pub(crate) at_start: u32,
    pub(crate) tasks: JoinSet<()>,
    pub(crate) groups: GroupHost,
}

impl DrainingInstance {
    /// Tells the zone that the instance stops, and refuses new work from now on.
    pub(crate) fn begin(mut self) -> Self {
        self.switch.draining.store(true, Ordering::Relaxed);
        let _ = self.membership.cast(MembershipMessage::SetState(EntryState::Draining));
        self.at_start = self.count();
        log::info!(in_flight = self.at_start; "draining");
        self
    }

    /// Finishes what is in flight, at most until the bound, and ends the instance.
    ///
    /// The listeners stay open for the grace, so that callers with an old listing are refused with
    /// another entry's address and not cut off.
    pub async fn finish(&mut self) -> StopSummary {
        let deadline = Instant::now() + self.bound;
        let grace = (Instant::now() + self.grace).min(deadline);
        sleep_until(grace).await;
        while self.count() > 0 && Instant::now() < deadline {
            sleep(LOOK_PERIOD).await;
        }
        let cut_off = self.count();
        self.close.send_replace(true);
        if let Some(callers) = self.callers.take().filter(|_| cut_off == 0) {
            let _ =
                tokio::time::timeout_at(deadline.max(Instant::now() + self.grace), callers).await;
        }
        self.groups.registry().transfer_leadership().await;
        self.farewell().await;
        self.summarize(cut_off)
    }

    /// Ends the instance at once; says what is cut off.
    pub async fn cut(mut self) -> StopSummary {
        let cut_off = self.count();
        self.farewell().await;
        self.summarize(cut_off)
    }

    async fn farewell(&mut self) {
        let _ = self.membership.call(MembershipMessage::Leave, Some(CONTROL_TIMEOUT)).await;
        self.membership.stop(None);
        self.tasks.abort_all();
    }

    fn count(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn summarize(&self, cut_off: u32) -> StopSummary {
        let refused = self.switch.refused.load(Ordering::Relaxed);
        StopSummary { in_flight: self.at_start, refused, cut_off }
    }
}
