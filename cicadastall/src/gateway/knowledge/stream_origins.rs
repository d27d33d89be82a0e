//! Origins of streamed answers: the pool and the software version that began each of them.
//!
//! A stream may be continued only at the software version that began it. Entries record the origin of
//! each stream and send it to control instances, so that any entry can look it up after a restart.

use crate::name::{AttemptId, PoolName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// Time for which the origin of a stream is kept after it was recorded, and after each record of a
/// request that resumes it.
pub const ORIGIN_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of records in one message; a record has about 30 bytes.
pub const MAX_BATCH_RECORDS: usize = 1_024;

/// The pool and software version whose upstream sent the first event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Pool of the upstream.
    pub pool: PoolName,
    /// Version of its software.
    pub software: SoftwareVersion,
}

/// Hash of an attempt's identifier, the same in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OriginKey(u64);

impl From<&AttemptId> for OriginKey {
    fn from(attempt: &AttemptId) -> Self {
        // Unlike `RandomState`, `DefaultHasher::new` uses fixed keys.
        let mut hasher = DefaultHasher::new();
        attempt.as_str().hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Streams with one origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginGroup {
    /// The origin; `None` if different origins were recorded for the streams.
    pub origin: Option<StreamOrigin>,
    /// The streams, each with the time since it was recorded in milliseconds.
    pub streams: Vec<(OriginKey, u32)>,
}

/// Records that one instance sends to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginBatch {
    /// Whether a control instance sent it; the receiver does not forward it to the others.
    pub forwarded: bool,
    /// The streams, by origin.
    pub groups: Vec<OriginGroup>,
}

impl OriginBatch {
    /// Number of streams.
    pub fn len(&self) -> usize {
        self.groups.iter().map(|group| group.streams.len()).sum()
    }

    /// Whether it holds no stream.
    pub fn is_empty(&self) -> bool {
        self.groups.iter().all(|group| group.streams.is_empty())
    }
}

/// Query of an entry for the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The stream.
    pub key: OriginKey,
    /// Pools that can have begun it.
    pub pools: Vec<PoolName>,
}

/// Reply to an [`OriginQuery`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OriginReply {
    /// The origin was recorded.
    Recorded(StreamOrigin),
    /// No origin was recorded, but only one can have begun a stream within [`ORIGIN_LIFETIME`].
    Sole(StreamOrigin),
    /// Several origins were recorded, or none was and several are possible.
    Several,
    /// Nothing is known.
    #[default]
    Unknown,
}
