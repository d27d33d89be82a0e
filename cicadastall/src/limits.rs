//! Counts what each caller has in flight, and refuses what exceeds its limit.

use crate::http::{AnswerBody, AnswerCut};
use bytes::Bytes;
use hyper::{
    Response,
    body::{Body, Frame, SizeHint},
};
use std::{
    collections::HashMap,
    net::IpAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

/// Requests in flight by the address that they came from.
#[derive(Debug)]
pub struct CallerCounts {
    limit: usize,
    counts: Mutex<HashMap<IpAddr, usize>>,
}

impl CallerCounts {
    /// Allows each address `limit` requests at a time.
    pub fn new(limit: usize) -> Self {
        Self { limit, counts: Mutex::default() }
    }

    /// Counts one request of `caller` until the guard is dropped; none if it is at its limit.
    pub fn enter(self: &Arc<Self>, caller: IpAddr) -> Option<CallerGuard> {
        let caller = caller.to_canonical();
        let mut counts = self.lock();
        let count = counts.get(&caller).copied().unwrap_or(0);
        if count >= self.limit {
            return None;
        }
        counts.insert(caller, count + 1);
        Some(CallerGuard { caller, counts: Arc::clone(self) })
    }

    /// Most requests of one address at a time.
    pub fn limit(&self) -> usize {
        self.limit
    }

    fn leave(&self, caller: IpAddr) {
        let mut counts = self.lock();
        if let Some(count) = counts.get_mut(&caller) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&caller);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<IpAddr, usize>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One counted request of a caller; dropping it counts down.
#[derive(Debug)]
pub struct CallerGuard {
    caller: IpAddr,
    counts: Arc<CallerCounts>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.counts.leave(self.caller);
    }
}

/// Holds `guard` until the body of `answer` has been passed on or its caller has hung up.
pub fn guard_answer(answer: Response<AnswerBody>, guard: CallerGuard) -> Response<AnswerBody> {
    answer.map(|body| AnswerBody::new(GuardedBody { body, _guard: guard }))
}

struct GuardedBody {
    body: AnswerBody,
    _guard: CallerGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
