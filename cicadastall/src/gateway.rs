//! The pass-through gateway: requests that reach an upstream, and answers that reach a caller,
//! unchanged.
//!
//! An operator's document names routes by host and path, and the pools that answer them. Upstreams
//! register with control instances; entries learn from those of documents, upstreams and each other.
//!
//! A request passes through [`entry`], [`routes`], [`chooser`], `attempt`, [`outcome`] and `passage`.
//! What callers, upstreams and operators call things is translated by the traits of [`dialect`] and
//! [`control_call`].

mod attempt;
pub mod call;
pub mod choice;
pub mod chooser;
pub mod connections;
pub mod context;
pub mod control;
pub mod control_call;
pub mod departures;
pub mod dialect;
pub mod document_check;
pub mod document_state;
pub(crate) mod engine_grants;
pub mod entry;
pub mod events;
mod follow;
pub mod grant_allocator;
mod group_keeper;
pub mod groups;
pub mod headers;
pub mod held_grants;
pub mod hop;
pub mod listing;
pub mod metrics;
pub mod news;
pub mod outcome;
pub mod own_control;
pub mod owners;
mod passage;
mod record;
pub mod region_load;
pub mod registry;
mod relay;
pub mod retry_window;
pub mod routes;
mod score;
pub mod settings;
pub mod tracker;
pub mod view;
pub mod warmup;
