//! The path of one request through an entry, and the state that the requests of an entry share.

pub(in crate::gateway) mod attempt;
pub mod caller_key;
pub mod context;
pub mod crash_watch;
pub(in crate::gateway) mod detour;
pub(crate) mod engine_grants;
pub mod forecast;
pub mod lag_meter;
pub mod memory_share;
pub mod metrics;
pub mod origin_finder;
pub(in crate::gateway) mod origin_sender;
pub(in crate::gateway) mod paired_attempt;
pub(crate) mod quota_gate;
pub(in crate::gateway) mod record;
pub(in crate::gateway) mod relay;
pub(in crate::gateway) mod stream_forwarder;
