//! Tests of the settings in small fleets of control instances and entries.

mod distribution;
mod fleet;
mod groups;
#[path = "../reserved/mod.rs"]
mod reserved;
#[path = "../settings_common/mod.rs"]
mod settings_common;
