//! Shared bound on the bytes that an entry holds for its requests.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum size of the parts of all answers that are held at the same time, in KiB, unless the settings
/// state the entry's memory, which must also hold its connections' read buffers.
const MAX_HELD_KIB: usize = 32 * 1_024;

/// Bytes that all requests of an entry may hold together.
#[derive(Debug)]
pub(crate) struct AnswerBuffers {
    free_kib: Arc<Semaphore>,
    bound_kib: usize,
}

impl Default for AnswerBuffers {
    fn default() -> Self {
        Self::with_bound(MAX_HELD_KIB)
    }
}

impl AnswerBuffers {
    /// Buffers that hold up to `bound_kib` KiB.
    pub(crate) fn with_bound(bound_kib: usize) -> Self {
        let bound_kib = bound_kib.min(Semaphore::MAX_PERMITS);
        Self { free_kib: Arc::new(Semaphore::new(bound_kib)), bound_kib }
    }

    /// Bytes that are held now, in KiB.
    pub(crate) fn held_kib(&self) -> usize {
        self.bound_kib.saturating_sub(self.free_kib.available_permits())
    }

    /// A share for one request, empty at first.
    pub(crate) fn share(&self) -> BufferShare {
        BufferShare { free_kib: Arc::clone(&self.free_kib), bytes: 0, held: None }
    }
}

/// Bytes that one request holds; they are free again when the share is dropped.
#[derive(Debug)]
pub(crate) struct BufferShare {
    free_kib: Arc<Semaphore>,
    bytes: usize,
    held: Option<OwnedSemaphorePermit>,
}

impl BufferShare {
    /// Grows the share by `bytes`; false if no room is left.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        self.cover(self.bytes + bytes)
    }

    /// Takes over what another share of the same entry holds.
    pub(crate) fn join(&mut self, other: Self) {
        self.bytes += other.bytes;
        match (&mut self.held, other.held) {
            (Some(held), Some(more)) => held.merge(more),
            (held @ None, more) => *held = more,
            (Some(_), None) => {}
        }
    }

    /// Grows the share to at least `bytes`; false if no room is left.
    pub(crate) fn cover(&mut self, bytes: usize) -> bool {
        self.bytes = self.bytes.max(bytes);
        let held_kib = self.held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let needed_kib = self.bytes.div_ceil(1_024).saturating_sub(held_kib);
        let needed_kib = u32::try_from(needed_kib).unwrap_or(u32::MAX);
        let Ok(more) = Arc::clone(&self.free_kib).try_acquire_many_owned(needed_kib) else {
            return false;
        };
        match &mut self.held {
            Some(held) => held.merge(more),
            None => self.held = Some(more),
        }
        true
    }
}
