//! Settings in small fleets of control instances and entries.

mod fleet;
mod groups;
#[path = "../settings_common/mod.rs"]
mod settings_common;
mod spread;
