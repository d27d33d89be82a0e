//! Stand-ins for the outside systems that cicadastall meets: model engines and plain services.

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
