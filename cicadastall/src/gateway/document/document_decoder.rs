//! Decoding of an operator's text whose workspaces an earlier version has dropped.

use crate::gateway::document::routes::RouteDocument;
use std::fmt::Debug;

/// Decodes documents from the text that an operator submitted.
pub trait DocumentDecoder: Debug + Send + Sync {
    /// The document of `source`; none if it has no workspaces or can't be decoded.
    fn decode_keyed(&self, source: &str) -> Option<RouteDocument>;
}
