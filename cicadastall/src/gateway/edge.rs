//! The edges of a process: headers, framing, connections and the calls of operators and upstreams.

pub(in crate::gateway) mod answer_buffers;
pub mod connections;
pub(in crate::gateway) mod control_bodies;
pub mod control_call;
pub mod dialect;
pub mod events;
pub mod headers;
pub mod hop;
pub mod json_control;
pub mod outcome;
