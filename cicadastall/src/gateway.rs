//! The pass-through gateway: requests that reach an upstream, and answers that reach a caller,
//! unchanged.
//!
//! An operator's document names routes by host and path, and the pools that answer them. Upstreams
//! register with control instances; entries learn from those of documents, upstreams and each other.
//!
//! A request passes through [`entry`], [`routes`], [`choose`], `attempt`, [`outcome`] and `stream_forwarder`.
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
mod follow;
pub(crate) mod grant_call;
pub mod grants;
mod group_keeper;
pub mod groups;
pub mod headers;
pub mod hop;
pub mod listing;
pub mod metrics;
pub mod news;
pub mod outcome;
pub mod own_control;
pub mod owners;
mod record;
pub mod region_load;
pub mod registry;
mod relay;
pub mod retry_window;
pub mod routes;
mod score;
pub mod settings;
mod stream_forwarder;
pub mod track;
pub mod view;
pub mod warmup;
