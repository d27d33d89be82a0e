//! Messages between instances that distribute the settings.

use crate::{
    name::{InstanceName, RegionName, ZoneName},
    settings::Revision,
    subtree::SettingsUpdate,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Location of an instance that follows the settings.
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

/// Request for all changes after a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Revision that the sender holds.
    pub revision: Revision,
    /// Location of the sender. Set only in requests to control instances, so that they can push
    /// updates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub follower: Option<FollowerLocation>,
}

/// Response to a [`FollowRequest`]; empty from an instance that does not follow the settings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FollowReply {
    /// Changes after the requested revision; none if nothing changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub update: Option<SettingsUpdate>,
    /// Time since the settings group confirmed that the responding instance held the newest
    /// settings, in milliseconds; none if it never did.
    pub confirmed_age_ms: Option<u64>,
}

/// An update that is pushed to an instance without a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PushRequest {
    /// The update.
    pub update: SettingsUpdate,
    /// Whether the recipient forwards the update to the other instances of its zone.
    pub spread: bool,
}

/// An instance that did not confirm a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedInstance {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Time since it was last heard from, in milliseconds, if known.
    pub silent_ms: Option<u64>,
}

/// Confirmations of a revision in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Region of the zone.
    pub region: RegionName,
    /// The zone.
    pub zone: ZoneName,
    /// Number of instances that confirmed the revision.
    pub in_force: u32,
    /// Instances that did not confirm it.
    pub silent: Vec<UnconfirmedInstance>,
}
