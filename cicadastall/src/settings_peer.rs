//! Messages by which instances follow the settings.

use crate::{
    name::{InstanceName, RegionName, ZoneName},
    settings::Revision,
    subtree::SettingsUpdate,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where an instance is that follows the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerLocation {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for other instances.
    pub address: SocketAddr,
}

/// Question for everything that changed after a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Revision that the follower holds.
    pub revision: Revision,
    /// Who asks; only control instances are told, so that they can push.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub follower: Option<FollowerLocation>,
}

/// Answer to a [`FollowRequest`]; empty from an instance that follows no settings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FollowReply {
    /// What changed; none if nothing did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub update: Option<SettingsUpdate>,
    /// Time since the settings group confirmed that the answering instance held the newest
    /// settings, in milliseconds; none if it never did.
    pub confirmed_age_ms: Option<u64>,
}

/// An update that an instance is to apply without having asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PushRequest {
    /// The update.
    pub update: SettingsUpdate,
    /// Whether the instance passes the update on to the others of its zone.
    pub spread: bool,
}

/// An instance that did not confirm a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedInstance {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Time since it was last heard of, in milliseconds, where that is known.
    pub silent_ms: Option<u64>,
}

/// Where a revision is in force in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Region of the zone.
    pub region: RegionName,
    /// The zone.
    pub zone: ZoneName,
    /// Number of instances that confirmed the revision.
    pub in_force: u32,
    /// Instances that did not.
    pub silent: Vec<UnconfirmedInstance>,
}
