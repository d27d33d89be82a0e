//! cicadastall: a multi-region inference gateway for a few small instances.
//!
//! A request passes through [`serve`], [`decode`], [`route`], [`dispatch`], [`stream`] and
//! `relay`: it is read, planned by the [`settings`], given an upstream from the [`table`], sent,
//! kept apart from other answers, and tried again until its answer is whole. [`answer`] names what
//! the caller gets when there is no result. Calls that may not be repeated go through [`claim`] and
//! [`ledger`].
//!
//! [`entry::EntryServer`] and [`control::ControlServer`] are the two kinds of instances; what they
//! know of each other comes from `membership`, what they agree on from [`group`].
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
mod clock;
pub mod control;
pub mod counted;
pub mod crash_probe;
pub mod decode;
mod difference;
mod digest;
mod digest_outbox;
pub mod directory;
pub mod dispatch;
mod document;
pub mod entry;
mod evidence;
mod explain;
pub mod fault;
pub mod follow;
pub mod follower;
mod followers;
pub mod gateway;
pub mod group;
mod group_actor;
pub mod group_operator;
pub mod group_transport;
pub mod http;
pub mod instance;
mod intake;
pub mod journal;
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
pub mod observe;
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
pub mod retry;
pub mod route;
mod scrape;
pub mod sender;
pub mod serve;
pub mod sessions;
pub mod settings;
pub mod settings_command;
pub mod settings_host;
mod settings_peer;
pub mod settings_query;
pub mod settings_state;
mod shape;
mod sockets;
pub mod stop;
pub mod stream;
pub mod subtree;
pub mod suspect;
pub mod table;
mod trace;
pub mod wire;
