//! Test doubles for the external systems around cicadastall: model engines, plain services, the
//! client directory and the network between members.

pub mod announce;
pub mod cache;
pub mod directory;
pub mod engine;
pub mod fault;
pub mod model;
pub mod network;
pub mod orders;
pub mod service;
pub mod traffic;
