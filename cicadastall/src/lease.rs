//! The lease under which one instance of a region gives orders to upstreams.
//!
//! The replicated state holds no times: a holder counts its lease from before it asked for it, and
//! a candidate takes over only after it saw the same lease for longer than any holder may use it,
//! each by its own clock.

use crate::{
    name::InstanceName,
    replicated::{GroupError, ReplicatedGroup, ReplicatedState},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a holder uses a lease after it asked for it.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);

/// Time for which a candidate must see a lease unchanged; longer than [`LEASE_DURATION`] by the drift
/// of two clocks and the longest delivery of an order.
pub const LEASE_TAKEOVER_DELAY: Duration = Duration::from_secs(14);

/// Longest time between the check of the lease and the arrival of an order.
pub const ORDER_DELIVERY_MARGIN: Duration = Duration::from_secs(2);

/// One state of the lease; it changes with each renewal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTerm {
    /// Holder, if there has been one.
    pub holder: Option<InstanceName>,
    /// Fencing number, which grows with each change of the holder.
    pub fence: u64,
    /// Renewals by this holder.
    pub renewals: u64,
}

/// The replicated lease of one region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseState {
    term: LeaseTerm,
}

/// A change of the lease: `candidate` holds it from now on, unless it is no longer as `seen`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseCommand {
    /// Who asks.
    pub candidate: InstanceName,
    /// The lease as the candidate saw it last.
    pub seen: LeaseTerm,
    /// Whether the candidate's process holds the lease; a restarted one takes it over anew.
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
    /// Fencing number of the orders that are given under it.
    pub fence: u64,
    valid_until: Instant,
}

impl HeldLease {
    /// Whether an order that is sent at `now` arrives while no other holder can exist.
    pub fn permits_order(&self, now: Instant) -> bool {
        now + ORDER_DELIVERY_MARGIN < self.valid_until
    }
}

/// Keeps or awaits the lease for one instance.
#[derive(Debug)]
pub struct LeaseKeeper {
    instance: InstanceName,
    seen: Option<(LeaseTerm, Instant)>,
    held: Option<HeldLease>,
}

impl LeaseKeeper {
    /// A keeper for the instance `own`, which holds nothing yet.
    pub fn new(instance: InstanceName) -> Self {
        Self { instance, seen: None, held: None }
    }

    /// The lease, if this instance holds it; to be asked again before each order.
    pub fn held(&self) -> Option<&HeldLease> {
        self.held.as_ref()
    }

    /// Renews the lease, or takes it over where it was seen unchanged for long enough.
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
