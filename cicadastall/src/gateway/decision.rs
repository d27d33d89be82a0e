//! Decisions on requests: where they go, when they wait and when they are refused. No I/O.

pub mod call;
pub mod choice;
pub mod chooser;
pub mod entry_weight;
pub mod fair_order;
pub mod finish_forecast;
pub mod grant_allocator;
pub mod held_grants;
pub mod lent_share;
pub mod listing;
pub mod part_cache;
pub mod quota_ledger;
pub mod region_throttle;
pub mod repeat_value;
pub mod retry_window;
pub(in crate::gateway) mod score;
pub mod second_send;
pub(in crate::gateway) mod send_pace;
pub mod tracker;
