//! Bodies of calls to a control instance, bounded in their sum.

use crate::http::{BodyError, read_body};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time::timeout,
};

/// Maximum size of a body in bytes; a document has a few hundred bytes per route.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Size of a body in bytes up to which it is read at any time.
const SMALL_BODY_BYTES: u64 = 64 * 1024;

/// Maximum number of larger bodies that are received at the same time, of documents and of other calls;
/// more would not fit into the memory of a small instance.
const MAX_OPEN_BODIES: usize = 4;

/// Longest wait for the end of another large body.
const BODY_WAIT: Duration = Duration::from_millis(500);

/// Time limit for reading a body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a body is not received.
#[derive(Debug)]
pub(in crate::gateway) enum BodyRefusal {
    /// Too many large bodies are being received.
    Busy,
    /// It can't be read.
    Unread(BodyError),
}

/// A received body, which takes one of the places for large bodies until it is dropped.
#[derive(Debug)]
pub(in crate::gateway) struct ReceivedBody<'a> {
    pub(in crate::gateway) bytes: Bytes,
    _place: Option<SemaphorePermit<'a>>,
}

/// Admits bodies of calls. Documents have places of their own, so that other senders do not hold them
/// up.
#[derive(Debug)]
pub(in crate::gateway) struct BodyAdmission {
    documents: Semaphore,
    others: Semaphore,
}

impl Default for BodyAdmission {
    fn default() -> Self {
        Self { documents: Semaphore::new(MAX_OPEN_BODIES), others: Semaphore::new(MAX_OPEN_BODIES) }
    }
}

impl BodyAdmission {
    /// Receives a body; one that is large, or of unknown length, waits for a place.
    pub(in crate::gateway) async fn receive(
        &self,
        body: Incoming,
        is_document: bool,
    ) -> Result<ReceivedBody<'_>, BodyRefusal> {
        let is_small = body.size_hint().exact().is_some_and(|bytes| bytes <= SMALL_BODY_BYTES);
        let places = if is_document { &self.documents } else { &self.others };
        let place = match is_small {
            true => None,
            false => match timeout(BODY_WAIT, places.acquire()).await {
                Ok(Ok(place)) => Some(place),
                Ok(Err(_)) | Err(_) => return Err(BodyRefusal::Busy),
            },
        };
        let read = read_body(body, MAX_BODY_BYTES, BODY_READ_TIMEOUT).await;
        let bytes = read.map_err(BodyRefusal::Unread)?;
        Ok(ReceivedBody { bytes, _place: place })
    }
}
