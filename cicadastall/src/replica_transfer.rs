//! Planned stops: transfer of leadership, and removal of the stopping replica from its group.

use crate::{
    replica::{ReplicaCore, ReplicaRole},
    replica_message::{ReplicaId, ReplicaMessage, Term},
};
use tokio::time::Instant;

impl ReplicaCore {
    /// Announces that this replica is about to stop, so that the leader removes it while the group
    /// has voters to spare. A leader transfers its leadership first.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.transfer_leadership(now);
    }

    /// Transfers leadership to a voter that holds the whole log, as soon as there is one.
    ///
    /// Proposals are refused meanwhile. The transfer is abandoned after an election timeout.
    pub fn transfer_leadership(&mut self, now: Instant) {
        let deadline = now + self.settings.timing.election_timeout;
        if let ReplicaRole::Leader(state) = &mut self.role {
            state.transfer_deadline = Some(deadline);
        }
    }

    pub(crate) fn advance_transfer(&mut self, now: Instant) {
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        let Some(deadline) = state.transfer_deadline else { return };
        if now >= deadline {
            state.transfer_deadline = None;
            return;
        }
        let last = self.log.last().index;
        if self.commit_index < last || self.synced_index < last {
            return;
        }
        let Some(target) = state.transfer_target(self.log.configuration(), last) else { return };
        let term = self.hard_state.term;
        // The message releases the lease, so this replica must not lead in this term again. A
        // restart does not restore leadership either.
        self.become_follower(term, None, now);
        self.send(target, ReplicaMessage::TimeoutNow { term });
    }

    /// The leader of `term` has stepped down and asks this replica to start an election.
    pub(crate) fn on_timeout_now(&mut self, from: &ReplicaId, term: Term, now: Instant) {
        let configuration = self.log.configuration();
        let are_voters = configuration.is_voter(from) && configuration.is_voter(&self.settings.own);
        let is_follower = matches!(self.role, ReplicaRole::Follower { .. }) && !self.leaving;
        if are_voters && is_follower && term == self.hard_state.term {
            self.start_vote(Some(term), now);
        }
    }

    /// Whether the leader of `term` has released every lease that this replica may have renewed.
    pub(crate) fn is_lease_released(&self, term: Option<Term>) -> bool {
        term.is_some_and(|term| self.hard_state.term <= term)
    }
}
