//! Bounds of a registration. Renewals come from other programs, and one with values that no upstream
//! has must not reach the rows of the others.

use crate::{
    fault::{FaultKind, SettingsFault},
    gateway::knowledge::fleet_update::RegisteredUpstream,
};
use std::net::{IpAddr, SocketAddr};

/// Maximum length of an upstream's or a pool's name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Latest start of a process: the year 2100, in milliseconds since the Unix epoch.
pub const MAX_STARTED_MS: u64 = 4_102_444_800_000;

/// Maximum sequence number: the largest up to which JSON numbers are exact everywhere.
pub const MAX_SEQUENCE: u64 = 1 << 53;

/// Maximum number of slots; many times what any upstream runs concurrently.
pub const MAX_SLOTS: u32 = 1 << 20;

/// A field of a registration whose value no upstream has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFault {
    /// The name is empty, longer than [`MAX_NAME_BYTES`], or no visible ASCII, as headers carry it.
    Name,
    /// The name of the pool is empty or longer than [`MAX_NAME_BYTES`].
    Pool,
    /// The address has no port, or it is not the address of one host.
    Address,
    /// The address is one of the fleet's own instances.
    OwnAddress,
    /// The start is later than [`MAX_STARTED_MS`].
    Started,
    /// The sequence number is above [`MAX_SEQUENCE`].
    Sequence,
    /// There are more than [`MAX_SLOTS`] slots.
    Slots,
    /// The software version is longer than [`MAX_NAME_BYTES`] or no visible ASCII.
    Software,
}

impl UpstreamFault {
    /// The fault for the sender of the registration.
    pub fn describe(self) -> SettingsFault {
        let (field, allowed) = match self {
            Self::Name => ("name", format!("visible ASCII of 1 to {MAX_NAME_BYTES} bytes")),
            Self::Pool => ("pool", format!("a name of 1 to {MAX_NAME_BYTES} bytes")),
            Self::Address => ("address", "the address and port of one host".to_owned()),
            Self::OwnAddress => ("address", "an address of no other instance".to_owned()),
            Self::Started => ("started_ms", format!("a number up to {MAX_STARTED_MS}")),
            Self::Sequence => ("sequence", format!("a number up to {MAX_SEQUENCE}")),
            Self::Slots => ("slots", format!("a number up to {MAX_SLOTS}")),
            Self::Software => {
                ("software", format!("visible ASCII of {MAX_NAME_BYTES} bytes at most"))
            }
        };
        SettingsFault {
            path: format!("$.{field}"),
            kind: FaultKind::OutOfRange,
            found: "another value".to_owned(),
            allowed,
            near: None,
        }
    }
}

/// Fails with the first fault of `upstream`, regardless of other registrations.
pub fn check_upstream(upstream: &RegisteredUpstream) -> Result<(), UpstreamFault> {
    let name = upstream.name.as_str();
    let pool = upstream.pool.as_str();
    let software = upstream.software.as_str();
    let fits = |text: &str| (1..=MAX_NAME_BYTES).contains(&text.len());
    let visible = |text: &str| text.bytes().all(|byte| byte.is_ascii_graphic());
    let checks = [
        (fits(name) && visible(name), UpstreamFault::Name),
        (fits(pool), UpstreamFault::Pool),
        (is_host(upstream.address), UpstreamFault::Address),
        (upstream.started_ms <= MAX_STARTED_MS, UpstreamFault::Started),
        (upstream.sequence <= MAX_SEQUENCE, UpstreamFault::Sequence),
        (upstream.slots <= MAX_SLOTS, UpstreamFault::Slots),
        (software.is_empty() || fits(software) && visible(software), UpstreamFault::Software),
    ];
    match checks.into_iter().find(|(valid, _)| !valid) {
        Some((_, fault)) => Err(fault),
        None => Ok(()),
    }
}

fn is_host(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}
