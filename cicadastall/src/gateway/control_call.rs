//! What upstreams, operators and callers ask of a control instance, whatever names they use for it.

use crate::{
    fault::SettingsFault,
    gateway::{document_state::StoredDocument, fleet_update::RegisteredUpstream},
    http::AnswerBody,
    name::{RegionName, UpstreamName, ZoneName},
};
use bytes::Bytes;
use hyper::{Method, Response, Uri};
use std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

/// Place of a caller that asks for entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// Region.
    pub region: Option<RegionName>,
    /// Availability zone.
    pub zone: Option<ZoneName>,
}

/// A request to a control instance.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlCall {
    /// An upstream renews its registration.
    Renew(Box<RegisteredUpstream>),
    /// An upstream deregisters.
    Deregister(UpstreamName),
    /// An operator replaces the document.
    Replace(StoredDocument),
    /// An operator reads the document.
    Read,
    /// An operator evacuates a zone.
    Evacuate(ZoneName),
    /// An operator withdraws an evacuation.
    Restore(ZoneName),
    /// A caller asks for entries.
    List(CallerLocation),
}

/// Why a request can't be decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum CallFault {
    /// Nothing stands at that path.
    NotFound,
    /// Its content is not valid.
    Invalid(Vec<SettingsFault>),
}

/// Answer of a control instance.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlReply {
    /// The renewal is taken; the next ones should go to the address.
    Renewed(Option<SocketAddr>),
    /// The upstream gets no further work.
    Deregistered,
    /// The document of that number, or a higher one, is in force.
    Replaced(u64),
    /// The operator's text of the document in force.
    Document(Arc<str>),
    /// There is no document yet.
    NoDocument,
    /// The order about a zone is in force.
    ZoneChanged,
    /// Entries for a caller, and the time for which it may use them.
    Entries(Vec<SocketAddr>, Duration),
    /// The call is not valid.
    Fault(CallFault),
    /// Nothing was changed; another instance may be able to.
    Unavailable(&'static str),
    /// The change may yet come into force.
    Unknown,
}

/// Names under which a control instance is asked.
pub trait ControlDialect: Debug + Send + Sync + 'static {
    /// Decodes a request to the registry or the directory.
    fn read_control(
        &self,
        method: &Method,
        target: &Uri,
        body: &Bytes,
    ) -> Result<ControlCall, CallFault>;

    /// Encodes an answer.
    fn write_control(&self, reply: ControlReply) -> Response<AnswerBody>;
}
