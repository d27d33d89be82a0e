//! cicadastall: a multi-region inference gateway for a few small instances.
//!
//! [`serve`] reads a request, [`decode`] plans it by the [`settings`], [`route`] selects an
//! upstream of the [`table`], [`dispatch`] sends an attempt, [`stream`] checks that the streamed
//! events belong to it, and `relay` starts further attempts until the answer is complete.
//! [`answer`] defines the answers without a result. Calls that may not be repeated go through
//! [`claim`] and [`ledger`].
//!
//! There are two kinds of instances, [`entry::EntryServer`] and [`control::ControlServer`]. They
//! learn of each other through `membership` and replicate shared state through [`group`].
//!
//! ```
//! use cicadastall::settings::FleetSettings;
//!
//! let tree: FleetSettings = serde_json::from_str(r#"{"regions": {}, "teams": {}}"#)?;
//! assert!(tree.plan_kind(&"aqaba-port".into(), &"splice-review".into()).is_err());
//! # Ok::<(), serde_json::Error>(())
//! ```

mod admission;
pub mod answer;
pub mod bulletin;
pub mod check;
pub mod claim;
pub mod clock;
pub mod control;
pub mod counted_stream;
pub mod crash_blame;
pub mod crash_probe;
pub mod decode;
mod difference;
mod digest;
mod digest_outbox;
pub mod directory;
pub mod dispatch;
pub mod entry;
mod entry_fault;
mod explain;
pub mod fault;
mod follower_table;
pub mod gateway;
pub mod group;
mod group_actor;
pub mod group_operator;
pub mod group_transport;
pub mod http;
pub mod instance;
mod intake;
pub mod journal;
mod json_document;
pub mod lease;
pub mod ledger;
pub mod ledger_host;
mod limits;
pub mod listing;
pub mod logs;
pub mod members;
mod membership;
mod message_codec;
pub mod name;
pub mod node;
pub mod orders;
pub mod outbox;
pub mod peer;
pub mod placement;
mod placement_host;
pub mod prefix;
mod probes;
mod quarantine;
mod relay;
pub mod renewal;
pub mod replica;
mod replica_election;
mod replica_follower;
mod replica_founding;
mod replica_leader;
mod replica_log;
pub mod replica_message;
mod replica_transfer;
pub mod replicated;
pub mod request_metrics;
pub mod retry;
pub mod route;
mod schema;
mod scrape;
pub mod sender;
pub mod serve;
pub mod sessions;
pub mod settings;
pub mod settings_command;
pub mod settings_follower;
pub mod settings_host;
mod settings_peer;
pub mod settings_query;
pub mod settings_state;
pub mod settings_store;
mod sockets;
pub mod stop;
pub mod stream;
pub mod subtree;
pub mod suspect;
pub mod table;
mod trace;
pub mod wire;
