//! What a failed forward says about the entry of another zone that should have answered it.

use crate::{
    answer::RefusalCode, dispatch::AttemptError, members::EntryFault, name::ZoneName,
    table::RoutingTable,
};
use arc_swap::ArcSwap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

/// Time between two looks for the zone in the table.
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A fault of one entry, to be reported to the membership state.
#[derive(Debug, Clone)]
pub(crate) struct EntryFaultReport {
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) fault: EntryFault,
}

/// The fault that `error` shows, if the entry and not an upstream behind it is at fault.
pub(crate) fn classify_entry_fault(error: &AttemptError) -> Option<EntryFault> {
    match error {
        AttemptError::Unreachable(_) | AttemptError::Broken(_) => Some(EntryFault::Unreachable),
        AttemptError::Refused(refusal) if refusal.code == RefusalCode::Draining => {
            Some(EntryFault::Draining)
        }
        AttemptError::Refused(_) => None,
    }
}

/// Waits until `zone` is no longer in the table.
pub(crate) async fn wait_zone_removed(table: &ArcSwap<RoutingTable>, zone: &ZoneName) {
    while table.load().zones.contains_key(zone) {
        sleep(TABLE_POLL_INTERVAL).await;
    }
}
