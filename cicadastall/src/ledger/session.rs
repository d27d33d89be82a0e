//! Session identifiers, which contain the issuing ledger's region, the epoch and the expiry time.

use crate::name::RegionName;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Number that identifies one founding of a region's ledger.
///
/// After its majority is lost, a ledger is founded again with a higher epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LedgerEpoch(pub u64);

/// Identifier of a session within the ledger of its region, ordered by expiry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionKey {
    /// Expiry time of the session, in milliseconds since 1970.
    pub expires_ms: u64,
    /// Epoch in which the session was issued.
    pub epoch: LedgerEpoch,
    /// Serial number within the epoch.
    pub serial: u64,
}

/// Identifier of a session as callers send it: region, epoch, expiry and serial number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SessionId {
    /// Region whose ledger issued the session.
    pub region: RegionName,
    /// Identifier within that ledger.
    pub key: SessionKey,
}

/// Error for text that is not a session identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidSession;

impl fmt::Display for InvalidSession {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not the identifier of a session")
    }
}

impl std::error::Error for InvalidSession {}

impl fmt::Display for SessionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SessionKey { expires_ms, epoch, serial } = self.key;
        write!(formatter, "{}.{:x}.{expires_ms:x}.{serial:x}", self.region, epoch.0)
    }
}

impl FromStr for SessionId {
    type Err = InvalidSession;

    fn from_str(text: &str) -> Result<Self, InvalidSession> {
        let mut parts = text.rsplitn(4, '.');
        let serial = parse_hex(parts.next())?;
        let expires_ms = parse_hex(parts.next())?;
        let epoch = LedgerEpoch(parse_hex(parts.next())?);
        let region = parts.next().filter(|region| !region.is_empty()).ok_or(InvalidSession)?;
        Ok(Self { region: region.into(), key: SessionKey { expires_ms, epoch, serial } })
    }
}

impl TryFrom<String> for SessionId {
    type Error = InvalidSession;

    fn try_from(text: String) -> Result<Self, InvalidSession> {
        text.parse()
    }
}

impl From<SessionId> for String {
    fn from(session: SessionId) -> Self {
        session.to_string()
    }
}

fn parse_hex(text: Option<&str>) -> Result<u64, InvalidSession> {
    u64::from_str_radix(text.ok_or(InvalidSession)?, 16).map_err(|_| InvalidSession)
}
