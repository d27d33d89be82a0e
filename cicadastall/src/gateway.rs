//! The pass-through gateway: a reverse proxy that leaves requests and answers unchanged.
//!
//! An operator's document defines routes by host and path, and the pools that serve them. Upstreams
//! register with control instances, from which entries learn about documents, upstreams and other
//! entries.
//!
//! A request passes through [`entry`], [`routes`], [`chooser`], `attempt`, [`outcome`] and
//! `stream_forwarder`. The traits of [`dialect`] and [`control_call`] translate between the
//! gateway's types and the header names, paths and bodies that callers, upstreams and operators use.

pub mod agreement;
pub mod control;
pub mod decision;
pub mod document;
pub mod edge;
pub mod entry;
pub mod knowledge;
pub mod request;
pub mod settings;
