//! Native encoding of control requests and replies: paths under `/v1` with JSON bodies.

use crate::{
    fault::{FaultKind, SettingsFault},
    gateway::{
        agreement::document_state::StoredDocument,
        decision::listing::CallerLocation,
        document::{document_decoder::DocumentDecoder, routes::RouteDocument},
        edge::control_call::{CallFault, ControlCall, ControlDialect, ControlReply},
        knowledge::fleet_update::RegisteredUpstream,
    },
    http::{AnswerBody, encoded_answer, json_answer},
    name::{RegionName, UpstreamName, ZoneName},
};
use bytes::Bytes;
use hyper::{Method, Response, StatusCode, Uri};
use serde::de::DeserializeOwned;
use serde_json::json;
use std::sync::Arc;

/// Control requests and replies as JSON under `/v1`.
#[derive(Debug, Clone, Copy, Default)]
pub struct JsonControl;

impl DocumentDecoder for JsonControl {
    fn decode_keyed(&self, source: &str) -> Option<RouteDocument> {
        let document: RouteDocument = serde_json::from_str(source).ok()?;
        (!document.workspaces.is_empty()).then_some(document)
    }
}

impl ControlDialect for JsonControl {
    fn read_control(
        &self,
        method: &Method,
        target: &Uri,
        body: &Bytes,
    ) -> Result<ControlCall, CallFault> {
        let parts: Vec<&str> = target.path().split('/').skip(1).collect();
        match (method, parts.as_slice()) {
            (&Method::PUT, ["v1", "upstreams", name]) => {
                let upstream: RegisteredUpstream = decode_body(body)?;
                Ok(ControlCall::Renew(Box::new(RegisteredUpstream {
                    name: UpstreamName::from(*name),
                    ..upstream
                })))
            }
            (&Method::DELETE, ["v1", "upstreams", name]) => {
                Ok(ControlCall::Deregister(UpstreamName::from(*name)))
            }
            (&Method::PUT, ["v1", "document"]) => {
                let document: RouteDocument = decode_body(body)?;
                let source = String::from_utf8_lossy(body).into();
                Ok(ControlCall::Replace(StoredDocument { source, document: Arc::new(document) }))
            }
            (&Method::GET, ["v1", "document"]) => Ok(ControlCall::Read),
            (&Method::PUT, ["v1", "evacuations", zone]) => {
                Ok(ControlCall::Evacuate(ZoneName::from(*zone)))
            }
            (&Method::DELETE, ["v1", "evacuations", zone]) => {
                Ok(ControlCall::Restore(ZoneName::from(*zone)))
            }
            (&Method::GET, ["v1", "entries"]) => {
                Ok(ControlCall::List(read_location(target, "host")))
            }
            _ => Err(CallFault::NotFound),
        }
    }

    fn carries_document(&self, method: &Method, target: &Uri) -> bool {
        method == Method::PUT && target.path() == "/v1/document"
    }

    fn write_control(&self, reply: ControlReply) -> Response<AnswerBody> {
        match reply {
            ControlReply::Renewed(registry) => {
                json_answer(StatusCode::OK, &json!({ "registry": registry }))
            }
            ControlReply::Deregistered | ControlReply::ZoneChanged => {
                json_answer(StatusCode::OK, &json!({}))
            }
            ControlReply::Replaced(number) => {
                json_answer(StatusCode::OK, &json!({ "number": number }))
            }
            ControlReply::Document(source) => encoded_answer(StatusCode::OK, source.to_string()),
            ControlReply::NoDocument => {
                json_answer(StatusCode::NOT_FOUND, &json!({ "error": "there is no document" }))
            }
            ControlReply::Entries(entries, lifetime) => {
                let lifetime_ms = lifetime.as_millis() as u64;
                let listing = json!({ "entries": entries, "lifetime_ms": lifetime_ms });
                json_answer(StatusCode::OK, &listing)
            }
            ControlReply::Fault(CallFault::NotFound) => {
                json_answer(StatusCode::NOT_FOUND, &json!({ "error": "no such path" }))
            }
            ControlReply::Fault(CallFault::Invalid(faults)) => {
                json_answer(StatusCode::UNPROCESSABLE_ENTITY, &json!({ "faults": faults }))
            }
            ControlReply::Unavailable(cause) => {
                json_answer(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": cause }))
            }
            ControlReply::Unknown => {
                let error = json!({ "error": "the change may yet come into force" });
                json_answer(StatusCode::GATEWAY_TIMEOUT, &error)
            }
        }
    }
}

/// Decodes a JSON body. A decoding error is reported as one fault of the whole body.
pub fn decode_body<T: DeserializeOwned>(body: &Bytes) -> Result<T, CallFault> {
    serde_json::from_slice(body).map_err(|error| {
        CallFault::Invalid(vec![SettingsFault {
            path: "$".to_owned(),
            kind: if error.is_data() { FaultKind::WrongType } else { FaultKind::Syntax },
            found: error.to_string(),
            allowed: "a body of the documented form".to_owned(),
            near: None,
        }])
    })
}

/// Reads the location of a caller from the query parameters `region` and `zone`, and the host from
/// the parameter `host_parameter`.
pub fn read_location(target: &Uri, host_parameter: &str) -> CallerLocation {
    let mut location = CallerLocation::default();
    for pair in target.query().unwrap_or_default().split('&') {
        match pair.split_once('=') {
            Some(("region", region)) => location.region = Some(RegionName::from(region)),
            Some(("zone", zone)) => location.zone = Some(ZoneName::from(zone)),
            Some((parameter, host)) if parameter == host_parameter => {
                location.host = Some(Arc::from(host));
            }
            _ => {}
        }
    }
    location
}
