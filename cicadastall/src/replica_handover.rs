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
    pub fn hand_over(&mut self, now: Instant) {
        let deadline = now + self.settings.timing.election;
        if let ReplicaRole::Leader(state) = &mut self.role {
            state.handover = Some(deadline);
        }
    }

    pub(crate) fn advance_handover(&mut self, now: Instant) {
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        let Some(deadline) = state.handover else { return };
        if now >= deadline {
            state.handover = None;
            return;
        }
        let last = self.log.last().index;
        if self.commit < last || self.synced < last {
            return;
        }
        let Some(successor) = state.successor(self.log.configuration(), last) else { return };
        let term = self.hard.term;
        // The message says that nobody leads in this term any more, also after a restart.
        self.become_follower(term, None, now);
        self.send(successor, ReplicaMessage::Stand { term });
    }

    /// The leader of `term` has given up in favour of this replica.
    pub(crate) fn on_stand(&mut self, from: &ReplicaId, term: Term, now: Instant) {
        let configuration = self.log.configuration();
        let voters = configuration.is_voter(from) && configuration.is_voter(&self.settings.own);
        let follows = matches!(self.role, ReplicaRole::Follower { .. });
        if voters && follows && term == self.hard.term {
            self.start_vote(Some(term), now);
        }
    }

    /// Whether every lease that this replica may have renewed was given up by the leader of `term`.
    pub(crate) fn is_lease_given_up(&self, term: Option<Term>) -> bool {
        term.is_some_and(|term| self.hard.term <= term)
    }
}
