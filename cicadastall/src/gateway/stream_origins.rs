//! Origins of streamed answers: the pool and the software version that began each of them.

use crate::{
    gateway::context::EntryContext,
    name::{AttemptId, PoolName, SoftwareVersion},
};

/// The pool and software version whose upstream sent the first event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Pool of the upstream.
    pub pool: PoolName,
    /// Version of its software.
    pub software: SoftwareVersion,
}

impl EntryContext {
    /// Records that the answer to `attempt` began at `origin`.
    pub(crate) fn record_origin(&self, _attempt: &AttemptId, _origin: &StreamOrigin) {}

    /// Finds where the answer to `attempt` began; `None` if that is not known.
    pub(crate) async fn find_origin(
        &self,
        _attempt: &AttemptId,
        _pools: &[PoolName],
    ) -> Option<StreamOrigin> {
        None
    }
}
