//! The pass-through gateway: requests that reach an upstream, and answers that reach a caller,
//! unchanged.
//!
//! An operator's document names routes by host and path, and the pools that answer them. Upstreams
//! register with control instances; entries learn from those of documents, upstreams and each other.
//!
//! A request passes through [`entry`], [`routes`], [`choose`], `attempt`, [`outcome`] and `passage`.
//! What callers, upstreams and operators call things is translated by the traits of [`dialect`] and
//! [`control_call`].

mod attempt;
pub mod call;
pub mod choice;
pub mod choose;
pub mod connections;
pub mod context;
pub mod control;
pub mod control_call;
pub mod departures;
pub mod desk;
pub mod dialect;
pub mod document_check;
pub mod document_state;
pub mod entry;
pub mod events;
pub mod fleet_update;
pub(crate) mod grant_call;
pub mod grants;
mod group_supervisor;
pub mod headers;
pub mod hop;
pub mod json_control;
pub mod listing;
pub mod metrics;
pub mod outcome;
pub mod owners;
mod passage;
mod poll_tasks;
pub mod pool_partition;
mod record;
pub mod region_load;
pub mod registry;
mod relay;
pub mod retry_window;
pub mod routes;
mod score;
pub mod settings;
pub mod track;
pub mod view;
pub mod warmup;
