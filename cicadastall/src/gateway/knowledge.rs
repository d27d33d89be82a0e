//! What an instance knows of the fleet: messages, registries, views and conditions of upstreams.

pub mod answer_head;
pub mod conditions;
pub mod departures;
pub mod document_lease;
pub mod entry_capacity;
pub mod entry_registry;
pub mod fleet_update;
pub mod origin_table;
pub mod owners;
pub mod poll_tasks;
pub mod pool_partition;
pub mod reach;
pub mod region_load;
pub mod registry;
pub mod send_rate;
pub mod software_history;
pub mod stream_origins;
pub mod upstream_check;
pub mod upstream_speed;
pub mod view;
pub mod warmup;
pub mod withdrawals;
