//! The pass-through gateway: a reverse proxy that leaves requests and answers unchanged.
//!
//! An operator's document defines routes by host and path, and the pools that serve them. Upstreams
//! register with control instances, from which entries learn about documents, upstreams and other
//! entries.
//!
//! A request passes through [`entry`], [`routes`], [`chooser`], `attempt`, [`outcome`] and
//! `stream_forwarder`. The traits of [`dialect`] and [`control_call`] translate between the
//! gateway's types and the header names, paths and bodies that callers, upstreams and operators use.

mod answer_buffers;
mod attempt;
pub mod call;
pub mod choice;
pub mod chooser;
pub mod conditions;
pub mod connections;
pub mod context;
pub mod control;
mod control_bodies;
pub mod control_call;
mod control_status;
mod control_withdrawals;
pub mod crash_watch;
pub mod departures;
mod detour;
pub mod dialect;
pub mod document_check;
pub mod document_state;
pub(crate) mod engine_grants;
pub mod entry;
mod entry_directory;
pub mod entry_registry;
pub mod events;
pub mod fleet_update;
pub mod grant_allocator;
mod group_supervisor;
pub mod headers;
pub mod held_grants;
pub mod hop;
pub mod json_control;
pub mod listing;
pub mod metrics;
pub mod origin_finder;
mod origin_sender;
pub mod origin_table;
pub mod outcome;
pub mod owners;
pub mod poll_tasks;
pub mod pool_partition;
pub mod reach;
mod record;
pub mod region_load;
pub mod registry;
mod relay;
pub mod retry_window;
pub mod routes;
mod score;
mod send_pace;
pub mod send_rate;
pub mod settings;
pub mod software_history;
mod stream_forwarder;
pub mod stream_origins;
pub mod tracker;
pub mod upstream_check;
pub mod view;
pub mod warmup;
pub mod withdrawals;
