//! Division of an entry's memory between what it holds for its requests.
//!
//! Answers that wait for their callers have a bound of their own (`edge/answer_buffers`); this module bounds
//! the bodies of requests, from their first byte until no attempt needs them any more. Each frame takes its
//! share as it arrives: a caller that announces a long body and sends it slowly holds only what it has sent.

use crate::gateway::{
    edge::answer_buffers::{AnswerBuffers, BufferShare},
    settings::GatewaySettings,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::{error::Error, pin::pin, time::Duration};
use tokio::time::timeout;

/// Memory of an entry without load: code, tables of the fleet and connections, in KiB.
const IDLE_KIB: usize = 40 * 1_024;

/// Fractions of the rest that answers and bodies of requests may take; connections, messages between
/// instances and the allocator need the remainder.
const ANSWER_FRACTION: f64 = 0.4;
const BODY_FRACTION: f64 = 0.25;

/// Smallest bound of either, in KiB.
const MIN_SHARE_KIB: usize = 8 * 1_024;

/// Bounds of what the requests of one entry may hold together.
#[derive(Debug)]
pub struct MemoryShares {
    pub(crate) answers: AnswerBuffers,
    /// `None` if bodies of requests have no bound of their sum.
    bodies: Option<AnswerBuffers>,
}

/// Why the body of a request was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldBodyError {
    /// More bytes than one body may have.
    TooLarge,
    /// Not sent in time.
    TooSlow,
    /// The connection failed.
    Broken,
    /// The bodies that the entry holds leave no room for it.
    NoRoom,
}

/// Bytes of a body with the share that covers them.
struct CoveredBytes {
    bytes: Vec<u8>,
    _share: BufferShare,
}

impl AsRef<[u8]> for CoveredBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl MemoryShares {
    /// Divides the memory that the settings state if they ask for it.
    pub fn new(node: &GatewaySettings) -> Self {
        let capacity = node.capacity.filter(|_| node.measured_load);
        let Some(capacity) = capacity else {
            return Self { answers: AnswerBuffers::default(), bodies: None };
        };
        let memory_kib = usize::try_from(capacity.memory_mib).unwrap_or(usize::MAX / 1_024) * 1_024;
        let left_kib = memory_kib.saturating_sub(IDLE_KIB) as f64;
        let share = |fraction: f64| ((left_kib * fraction) as usize).max(MIN_SHARE_KIB);
        let (answers_kib, bodies_kib) = (share(ANSWER_FRACTION), share(BODY_FRACTION));
        log::info!(memory_kib, answers_kib, bodies_kib; "memory divided");
        Self {
            answers: AnswerBuffers::with_bound(answers_kib),
            bodies: Some(AnswerBuffers::with_bound(bodies_kib)),
        }
    }

    /// Bytes that the bodies of requests hold now, in KiB; 0 if they have no bound.
    pub fn held_body_kib(&self) -> usize {
        self.bodies.as_ref().map_or(0, AnswerBuffers::held_kib)
    }

    /// Reads a complete body of at most `limit` bytes within `time_limit`. What it holds counts against the
    /// bound until the last copy of the result is dropped.
    ///
    /// Fails with [`HeldBodyError::NoRoom`] as soon as a part of it does not fit; nothing of it is held then.
    pub async fn read_body<B>(
        &self,
        body: B,
        limit: usize,
        time_limit: Duration,
    ) -> Result<Bytes, HeldBodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        if body.size_hint().lower() > limit as u64 {
            return Err(HeldBodyError::TooLarge);
        }
        let read = async {
            let mut share = self.bodies.as_ref().map(AnswerBuffers::share);
            let mut body = pin!(body);
            let mut bytes = Vec::new();
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|_| HeldBodyError::Broken)?;
                let Ok(data) = frame.into_data() else { continue };
                if bytes.len() + data.len() > limit {
                    return Err(HeldBodyError::TooLarge);
                }
                if share.as_mut().is_some_and(|share| !share.grow(data.len())) {
                    return Err(HeldBodyError::NoRoom);
                }
                bytes.extend_from_slice(&data);
            }
            Ok(match share {
                Some(share) if !bytes.is_empty() => {
                    Bytes::from_owner(CoveredBytes { bytes, _share: share })
                }
                _ => Bytes::from(bytes),
            })
        };
        timeout(time_limit, read).await.unwrap_or(Err(HeldBodyError::TooSlow))
    }
}
