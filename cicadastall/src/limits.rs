//! Limit on the number of concurrent requests or connections per caller address.

use crate::http::{AnswerBody, TruncatedAnswer};
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

/// Limits the requests in flight per caller IP address.
#[derive(Debug)]
pub struct CallerLimiter {
    limit: usize,
    counts: Mutex<HashMap<IpAddr, usize>>,
}

impl CallerLimiter {
    /// Allows each address up to `limit` concurrent requests.
    pub fn new(limit: usize) -> Self {
        Self { limit, counts: Mutex::default() }
    }

    /// Counts a request of `caller` until the returned guard is dropped; `None` if the caller is at
    /// its limit. IPv4-mapped IPv6 addresses count as their IPv4 address.
    pub fn try_acquire(self: &Arc<Self>, caller: IpAddr) -> Option<CallerGuard> {
        let caller = caller.to_canonical();
        let mut counts = self.lock();
        let count = counts.get(&caller).copied().unwrap_or(0);
        if count >= self.limit {
            return None;
        }
        counts.insert(caller, count + 1);
        Some(CallerGuard { caller, limiter: Arc::clone(self) })
    }

    /// Maximum number of concurrent requests per address.
    pub fn limit(&self) -> usize {
        self.limit
    }

    fn release(&self, caller: IpAddr) {
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

/// One counted request of a caller; dropping it decrements the caller's count.
#[derive(Debug)]
pub struct CallerGuard {
    caller: IpAddr,
    limiter: Arc<CallerLimiter>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.limiter.release(self.caller);
    }
}

/// Holds `guard` until the body of `answer` has been sent or the caller has disconnected.
pub fn guard_answer(answer: Response<AnswerBody>, guard: CallerGuard) -> Response<AnswerBody> {
    answer.map(|body| AnswerBody::new(GuardedBody { body, _guard: guard }))
}

struct GuardedBody {
    body: AnswerBody,
    _guard: CallerGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
