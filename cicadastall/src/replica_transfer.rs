//! Hand-over of leadership before a planned stop, so that the group waits for no timeout.

use crate::{
    replica::{ReplicaCore, ReplicaRole},
    replica_message::{ReplicaId, ReplicaMessage, Term},
};
use tokio::time::Instant;

impl ReplicaCore {
    /// Hands leadership over to a follower that holds the whole log, as soon as there is one.
    ///
    /// Until then no proposal is accepted; after an election timeout it is given up.
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
        // The message says that nobody leads in this term any more, also after a restart.
        self.become_follower(term, None, now);
        self.send(target, ReplicaMessage::TimeoutNow { term });
    }

    /// The leader of `term` has given up in favour of this replica.
    pub(crate) fn on_timeout_now(&mut self, from: &ReplicaId, term: Term, now: Instant) {
        let configuration = self.log.configuration();
        let voters = configuration.is_voter(from) && configuration.is_voter(&self.settings.own);
        let follows = matches!(self.role, ReplicaRole::Follower { .. });
        if voters && follows && term == self.hard_state.term {
            self.start_vote(Some(term), now);
        }
    }

    /// Whether every lease that this replica may have renewed was given up by the leader of `term`.
    pub(crate) fn is_lease_released(&self, term: Option<Term>) -> bool {
        term.is_some_and(|term| self.hard_state.term <= term)
    }
}
