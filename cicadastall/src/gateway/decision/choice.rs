//! Input and result of choosing the upstream for the next attempt of a request.

use crate::{
    gateway::{
        decision::{call::RoutedCall, grant_allocator::GrantTicket, tracker::SendNumber},
        document::routes::PoolRule,
        knowledge::view::{FleetView, KnownUpstream, LoadView},
    },
    name::{RegionName, SoftwareVersion, UpstreamName, ZoneName},
    wire::is_default,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Targets that earlier attempts of the request used; they are not chosen again.
#[derive(Debug, Clone, Default)]
pub struct TriedUpstreams {
    /// Upstreams that the request was sent to.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
    /// Regions to whose entries the request was forwarded.
    pub regions: SmallVec<[RegionName; 2]>,
    /// Other entries of this region to which the request was forwarded.
    pub entries: SmallVec<[SocketAddr; 2]>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// No upstream of the pool is known that may run the request.
    NoUpstream,
    /// Every upstream that may run the request was left out; [`LeftOutCounts`] holds the reasons.
    Unusable,
    /// The answer would come too late.
    Overloaded,
    /// No upstream of the required software version is known that may run the request.
    VersionGone,
}

/// Estimates on which a target was chosen or rejected, for logs and traces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ChoiceBasis {
    /// Predicted time to the first token or the whole answer, in milliseconds.
    pub predicted_ms: u32,
    /// Predicted time of the whole answer, in milliseconds.
    pub answer_ms: u32,
    /// Cost of the target, in thousandths.
    pub loss: u32,
    /// Prompt tokens that are not cached and have to be prefilled.
    pub unread: u32,
    /// Requests in flight at the target, as far as they are known.
    pub requests: u32,
    /// Share of the shared prompt that is assumed to be cached because of prompt affinity, in percent.
    pub kept: u32,
    /// Whether the upstream is assigned to prompts of the request's class.
    pub grouped: bool,
    /// Age of the load reports of other entries or of the region, in milliseconds.
    pub told_ms: u32,
}

/// Target of the next attempt, or why there is none.
#[derive(Debug, Clone)]
pub enum UpstreamChoice {
    /// Send to an upstream of this region.
    Upstream {
        /// The upstream.
        known: Arc<KnownUpstream>,
        /// Identifies the send in the upstream's tracker.
        number: SendNumber,
        /// Maximum number of connections from this entry to the upstream.
        connections: usize,
        /// Estimates for the upstream.
        basis: ChoiceBasis,
        /// Identifies the grant, if the upstreams of the pool have owners.
        ticket: Option<GrantTicket>,
        /// Whether the send is part of a rate that the upstream tolerates.
        paced: bool,
    },
    /// Forward to another entry, which makes no second hop.
    Region {
        /// The entry's region; this region if only this entry has lost its path to the upstreams.
        region: RegionName,
        /// The entry.
        entry: SocketAddr,
        /// Estimates for the region.
        basis: ChoiceBasis,
    },
    /// Choose again at this time.
    Wait(Instant),
    /// Refuse the request.
    Refuse {
        /// Why it is refused.
        cause: RefusalCause,
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Upstreams that were left out, by reason.
        left_out: LeftOutCounts,
        /// Estimates for the best of the remaining upstreams, if there is one.
        basis: Option<ChoiceBasis>,
    },
}

/// Input of a choice, apart from the state that the chooser keeps.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInput<'a> {
    /// The request.
    pub call: &'a RoutedCall,
    /// Rule of the request's pool.
    pub pool: Option<&'a PoolRule>,
    /// Software version that the upstream must have, as it began the stream that is resumed.
    pub software: Option<&'a SoftwareVersion>,
    /// Targets of earlier attempts.
    pub tried: &'a TriedUpstreams,
    /// Known members of the fleet.
    pub view: &'a FleetView,
    /// Load that other entries and regions reported.
    pub load: &'a LoadView,
    /// Whether the entry started recently and may not know all upstreams yet.
    pub starting_up: bool,
    /// Zone of the entry that will send the request, if it is not the one that chooses.
    pub zone: Option<&'a ZoneName>,
    /// Whether this chooser alone sends work to the upstreams in the view.
    pub exclusive: bool,
    /// Current time.
    pub now: Instant,
}

/// Number of upstreams that were left out of a choice, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftOutCounts {
    /// Backing off after a failure, or because the upstream had no room.
    pub barred: u32,
    /// Cold, and either assigned to another entry or at its rate limit.
    pub cold: u32,
    /// Used by an earlier attempt.
    pub tried: u32,
    /// Registration not renewed, and no recent answer.
    pub silent: u32,
    /// Asked for no work for a period that has not ended.
    pub paused: u32,
    /// Announced in an answer that the process is leaving.
    pub leaving: u32,
    /// Limited to a rate or brittle, and either left to other entries or at its limit.
    #[serde(default, skip_serializing_if = "is_default")]
    pub limited: u32,
    /// Of another software version than the one that began the stream.
    #[serde(default, skip_serializing_if = "is_default")]
    pub version: u32,
}

impl Display for LeftOutCounts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { barred, cold, tried, silent, paused, leaving, limited, version } = self;
        write!(
            formatter,
            "{barred} barred, {cold} cold, {tried} tried, {silent} silent, {paused} paused, \
             {leaving} leaving, {limited} limited, {version} of another version"
        )
    }
}
