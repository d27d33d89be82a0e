//! Derives a fault of another zone's entry from a failed forward to it.

use crate::{
    answer::RefusalCode, dispatch::AttemptError, members::EntryFault, name::ZoneName,
    table::RoutingTable,
};
use arc_swap::ArcSwap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

/// Interval at which the routing table is checked for the zone.
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A fault of one entry, to be reported to the membership actor.
#[derive(Debug, Clone)]
pub(crate) struct EntryFaultReport {
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) fault: EntryFault,
}

/// Returns the entry's fault that caused `error`, or `None` if an upstream behind it caused it.
pub(crate) fn classify_entry_fault(error: &AttemptError) -> Option<EntryFault> {
    match error {
        AttemptError::Unreachable(_) | AttemptError::Broken(_) => Some(EntryFault::Unreachable),
        AttemptError::Refused(refusal) if refusal.code == RefusalCode::Draining => {
            Some(EntryFault::Draining)
        }
        AttemptError::Refused(_) => None,
    }
}

/// Waits until `zone` has been removed from the routing table.
pub(crate) async fn wait_zone_removed(table: &ArcSwap<RoutingTable>, zone: &ZoneName) {
    while table.load().zones.contains_key(zone) {
        sleep(TABLE_POLL_INTERVAL).await;
    }
}
