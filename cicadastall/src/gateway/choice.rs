//! What a choice of an upstream depends on, and what comes out of it.

use crate::{
    gateway::{
        call::RoutedCall,
        grant_allocator::GrantTicket,
        routes::PoolRule,
        tracker::SendNumber,
        view::{FleetView, KnownUpstream, LoadView},
    },
    name::{RegionName, UpstreamName, ZoneName},
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

/// What was tried already.
#[derive(Debug, Clone, Default)]
pub struct TriedUpstreams {
    /// Upstreams that were asked.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
    /// Regions to whose entries the request was passed on.
    pub regions: SmallVec<[RegionName; 2]>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// No upstream that may run it is known.
    NoUpstream,
    /// All that may run it are barred after failures, cold, or without connections.
    Unusable,
    /// It would be answered too late.
    Overloaded,
}

/// What decided for a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ChoiceBasis {
    /// Predicted time to the first token or the whole answer, in milliseconds.
    pub predicted_ms: u32,
    /// Predicted time of the whole answer, in milliseconds.
    pub answer_ms: u32,
    /// Loss, in thousandths.
    pub loss: u32,
    /// Prompt tokens that are to be read.
    pub unread: u32,
    /// Requests that it is taken to have.
    pub requests: u32,
    /// Part of the shared prompt that it is taken to hold, in hundredths.
    pub kept: u32,
    /// Whether it takes prompts of the request's sort.
    pub grouped: bool,
    /// Age of what others told, in milliseconds.
    pub told_ms: u32,
}

/// Where the next attempt goes.
#[derive(Debug, Clone)]
pub enum UpstreamChoice {
    /// To an upstream of this region.
    Upstream {
        /// The upstream.
        known: Arc<KnownUpstream>,
        /// Names the send in the upstream's record.
        number: SendNumber,
        /// Connections that this entry may have to it.
        connections: usize,
        /// What decided.
        basis: ChoiceBasis,
        /// Names the place, where the upstreams of the pool have owners.
        ticket: Option<GrantTicket>,
    },
    /// To an entry of another region.
    Region {
        /// The region.
        region: RegionName,
        /// The entry.
        entry: SocketAddr,
        /// What decided.
        basis: ChoiceBasis,
    },
    /// Nowhere before this time.
    Wait(Instant),
    /// Nowhere.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// When to come back.
        retry_after: Duration,
        /// Reasons why upstreams were left out.
        left_out: LeftOutCounts,
        /// What decided against the best of the others.
        basis: Option<ChoiceBasis>,
    },
}

/// What a choice depends on beside the chooser's own record.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInput<'a> {
    /// The request.
    pub call: &'a RoutedCall,
    /// Rule of its pool.
    pub pool: Option<&'a PoolRule>,
    /// What was tried.
    pub tried: &'a TriedUpstreams,
    /// The fleet.
    pub view: &'a FleetView,
    /// Work of others.
    pub load: &'a LoadView,
    /// Whether upstreams may not be known yet, as the entry has just started.
    pub starting_up: bool,
    /// Zone of the entry that sends, where another one chooses.
    pub zone: Option<&'a ZoneName>,
    /// Whether all work of the upstreams in the view was given by this chooser.
    pub exclusive: bool,
    /// Now.
    pub now: Instant,
}

/// Reasons why upstreams were left out, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftOutCounts {
    /// Failed lately.
    pub barred: u32,
    /// Cold, and another entry's turn or too soon.
    pub cold: u32,
    /// Tried already.
    pub tried: u32,
    /// Renewals have ceased, and no answer came lately.
    pub silent: u32,
    /// Want no work for a time that they named.
    pub paused: u32,
    /// Said in an answer that they leave.
    pub leaving: u32,
}

impl Display for LeftOutCounts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { barred, cold, tried, silent, paused, leaving } = self;
        write!(
            formatter,
            "{barred} barred, {cold} cold, {tried} tried, {silent} silent, {paused} paused, \
             {leaving} leaving"
        )
    }
}
