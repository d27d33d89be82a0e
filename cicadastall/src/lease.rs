//! The lease under which one instance of a region sends orders to upstreams.
//!
//! The replicated state contains no times. A holder measures its lease from before it requested it,
//! and a candidate takes over only after it has seen the same lease for longer than any holder may
//! use it, each by its own clock.

use crate::{
    name::InstanceName,
    replicated::{GroupError, ReplicatedGroup, ReplicatedState},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a holder may use a lease after requesting it.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);

/// Time for which a candidate must see a lease unchanged before it takes over; longer than
/// [`LEASE_DURATION`] by the drift of two clocks and the maximum delivery time of an order.
pub const LEASE_TAKEOVER_DELAY: Duration = Duration::from_secs(14);

/// Maximum time between the check of the lease and the arrival of an order.
pub const ORDER_DELIVERY_MARGIN: Duration = Duration::from_secs(2);

/// Version of the lease; it changes with each renewal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTerm {
    /// Holder, if there has been one.
    pub holder: Option<InstanceName>,
    /// Fencing token, which grows with each acquisition.
    pub fence: u64,
    /// Number of renewals since the acquisition.
    pub renewals: u64,
}

/// The replicated lease of one region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseState {
    term: LeaseTerm,
}

/// Compare-and-set of the lease: `candidate` becomes the holder if the lease still equals `seen`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseCommand {
    /// Instance that requests the lease.
    pub candidate: InstanceName,
    /// The lease as last read by the candidate.
    pub seen: LeaseTerm,
    /// Whether the candidate's process holds the lease; a restarted process acquires it anew.
    pub renews: bool,
}

impl ReplicatedState for LeaseState {
    type Command = LeaseCommand;
    type Reply = LeaseTerm;

    fn apply(&mut self, command: &LeaseCommand) -> LeaseTerm {
        if command.seen == self.term {
            self.term = LeaseTerm {
                holder: Some(command.candidate.clone()),
                fence: self.term.fence + u64::from(!command.renews),
                renewals: if command.renews { self.term.renewals + 1 } else { 0 },
            };
        }
        self.term.clone()
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn restore(snapshot: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(snapshot)
    }
}

/// A lease that this instance holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing token of the orders sent under the lease.
    pub fence: u64,
    valid_until: Instant,
}

impl HeldLease {
    /// Whether an order sent at `now` arrives before any other instance can acquire the lease.
    pub fn permits_order(&self, now: Instant) -> bool {
        now + ORDER_DELIVERY_MARGIN < self.valid_until
    }
}

/// Acquires and renews the lease for one instance.
#[derive(Debug)]
pub struct LeaseKeeper {
    instance: InstanceName,
    seen: Option<(LeaseTerm, Instant)>,
    held: Option<HeldLease>,
}

impl LeaseKeeper {
    /// Creates a keeper for `instance` that does not hold the lease.
    pub fn new(instance: InstanceName) -> Self {
        Self { instance, seen: None, held: None }
    }

    /// The lease, if this instance holds it. Must be read again before each order.
    pub fn held(&self) -> Option<&HeldLease> {
        self.held.as_ref()
    }

    /// Renews the lease, or acquires it if it has no holder or was unchanged for
    /// [`LEASE_TAKEOVER_DELAY`].
    ///
    /// # Errors
    ///
    /// Fails if the group cannot read the lease or commit the change.
    pub async fn renew_or_acquire<G: ReplicatedGroup<LeaseState>>(
        &mut self,
        group: &G,
    ) -> Result<(), GroupError> {
        let term = group.read(|state| state.term.clone()).await?;
        let now = Instant::now();
        let since = match &self.seen {
            Some((seen, since)) if *seen == term => *since,
            _ => now,
        };
        self.seen = Some((term.clone(), since));
        let is_holder = self.held.as_ref().is_some_and(|held| {
            held.fence == term.fence && term.holder.as_ref() == Some(&self.instance)
        });
        let available = term.holder.is_none() || now.duration_since(since) >= LEASE_TAKEOVER_DELAY;
        if !is_holder {
            self.held = None;
        }
        if is_holder || available {
            self.request_lease(group, term, is_holder).await
        } else {
            Ok(())
        }
    }

    async fn request_lease<G: ReplicatedGroup<LeaseState>>(
        &mut self,
        group: &G,
        seen: LeaseTerm,
        renews: bool,
    ) -> Result<(), GroupError> {
        let requested_at = Instant::now();
        let command = LeaseCommand { candidate: self.instance.clone(), seen: seen.clone(), renews };
        let term = group.propose(command).await?;
        let granted = term != seen && term.holder.as_ref() == Some(&self.instance);
        self.held = granted
            .then(|| HeldLease { fence: term.fence, valid_until: requested_at + LEASE_DURATION });
        self.seen = Some((term, requested_at));
        Ok(())
    }
}
