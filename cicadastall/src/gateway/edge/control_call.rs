//! Requests of upstreams, operators and callers to a control instance, independent of their encoding.

use crate::{
    fault::SettingsFault,
    gateway::{
        agreement::document_state::StoredDocument, decision::listing::CallerLocation,
        document::document_decoder::DocumentDecoder, knowledge::fleet_update::RegisteredUpstream,
    },
    http::AnswerBody,
    name::{UpstreamName, ZoneName},
};
use bytes::Bytes;
use hyper::{Method, Response, Uri};
use std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

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
    /// An operator ends the evacuation of a zone.
    Restore(ZoneName),
    /// A caller asks for entries.
    List(CallerLocation),
}

/// Reason why a request can't be decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum CallFault {
    /// The method and path match no request.
    NotFound,
    /// The content is invalid.
    Invalid(Vec<SettingsFault>),
}

/// Reply of a control instance.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlReply {
    /// The renewal was processed; further ones should go to the address, if there is one.
    Renewed(Option<SocketAddr>),
    /// The upstream is deregistered and receives no new requests.
    Deregistered,
    /// A document with this number is in force, which is the submitted one or a newer one.
    Replaced(u64),
    /// The document in force, as submitted by the operator.
    Document(Arc<str>),
    /// There is no document yet.
    NoDocument,
    /// The evacuation, or its end, is in force.
    ZoneChanged,
    /// Addresses of entries for a caller, and the time for which it may use them.
    Entries(Vec<SocketAddr>, Duration),
    /// The request is invalid.
    Fault(CallFault),
    /// Nothing was changed, for this reason; another instance may be able to perform the request.
    Unavailable(&'static str),
    /// The outcome is unknown: the change may still come into force.
    Unknown,
}

/// Reason of [`ControlReply::Unavailable`] if a directory knows no entry for a caller.
pub const NO_ENTRY_LISTED: &str = "no entry is known to which the caller may be led";

/// Encoding of control requests and replies as HTTP.
pub trait ControlDialect: DocumentDecoder + Debug + Send + Sync + 'static {
    /// Decodes a request to the registry or the directory.
    fn read_control(
        &self,
        method: &Method,
        target: &Uri,
        body: &Bytes,
    ) -> Result<ControlCall, CallFault>;

    /// Encodes a reply.
    fn write_control(&self, reply: ControlReply) -> Response<AnswerBody>;

    /// Whether a call carries a document, which is usually many times larger than any other body.
    fn carries_document(&self, method: &Method, target: &Uri) -> bool;
}
