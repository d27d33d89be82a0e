//! Identifier types, each a newtype over a shared immutable string.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, sync::Arc};

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` unchanged.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    )*};
}

name_types! {
    /// A region: a set of availability zones between which data may move freely.
    RegionName;
    /// An availability zone.
    ZoneName;
    /// One process of the system, an entry or a control instance.
    InstanceName;
    /// A model engine or a plain service that answers requests.
    UpstreamName;
    /// A team that owns one subtree of the settings.
    TeamName;
    /// A tenant on whose behalf callers send requests.
    WorkspaceName;
    /// A class of requests that share rank, latency target and residency.
    KindName;
    /// A group of upstreams that serve the same kinds.
    PoolName;
    /// A model that a model engine may have loaded.
    ModelName;
    /// Version of the software of an upstream, not of its model weights; empty if it names none.
    SoftwareVersion;
    /// One request of a caller; an ID that an entry chooses is unique across instances.
    RequestId;
    /// One attempt to run a request on one upstream; echoed by the upstream.
    AttemptId;
    /// An idempotency key, chosen by the caller within a session.
    IdempotencyKey;
    /// A replicated group: the fleet's settings or the ledger of one region.
    GroupName;
    /// Idempotency identifier of one change of the settings, chosen by the operator.
    OperationId;
}
