//! Elections: pre-votes, votes and the leases that delay them.

use crate::{
    replica::{ReplicaCore, ReplicaRole},
    replica_message::{LogPosition, ReplicaId, ReplicaMessage, Term},
};
use smallvec::SmallVec;
use tokio::time::Instant;

impl ReplicaCore {
    pub(crate) fn other_voters(&self) -> SmallVec<[ReplicaId; 3]> {
        let voters = &self.log.configuration().voters;
        voters.iter().filter(|voter| **voter != self.settings.own).cloned().collect()
    }

    pub(crate) fn is_quorum(&self, grants: &[ReplicaId]) -> bool {
        let configuration = self.log.configuration();
        let counted = grants.iter().filter(|replica| configuration.is_voter(replica)).count();
        counted >= configuration.quorum()
    }

    pub(crate) fn start_pre_vote(&mut self, now: Instant) {
        self.schedule_pre_vote(now);
        if self.leaving {
            self.role = ReplicaRole::Follower { leader: None };
            return;
        }
        if !self.may_stand() {
            self.role = ReplicaRole::Follower { leader: None };
            return self.request_readmission();
        }
        let grants: SmallVec<[_; 3]> = SmallVec::from_iter([self.settings.own.clone()]);
        self.role = ReplicaRole::PreCandidate { grants: grants.clone() };
        if self.is_quorum(&grants) {
            return self.start_vote(None, now);
        }
        let last = self.log.last();
        for voter in self.other_voters() {
            let pre_vote = ReplicaMessage::PreVote { term: self.hard_state.term.next(), last };
            if last != LogPosition::default() {
                self.send(voter, pre_vote);
                continue;
            }
            // A replica without a group ignores pre-votes until it has received `Found`.
            let configuration = self.log.configuration().clone();
            self.send_synced(voter.clone(), ReplicaMessage::Found { configuration });
            self.send_synced(voter, pre_vote);
        }
    }

    /// Whether this replica is a voter, or one whose removal is not committed: the others may need a
    /// leader that has the entry of the removal.
    fn may_stand(&self) -> bool {
        let is_learner = self.log.configuration().learners.contains(self.own());
        self.is_voter() || !(is_learner || self.is_configuration_committed())
    }

    /// Asks the voters of an open group to readmit this replica, which may have been removed while it
    /// was silent. A pre-vote of a replica that is not a member is a request to join.
    fn request_readmission(&mut self) {
        if !self.settings.admission.is_open() {
            return;
        }
        let (term, last) = (self.hard_state.term.next(), self.log.last());
        for voter in self.other_voters() {
            self.send(voter, ReplicaMessage::PreVote { term, last });
        }
    }

    /// Starts an election; `given_up` is the term whose leader transferred leadership to this
    /// replica, which lets voters ignore that leader's lease.
    pub(crate) fn start_vote(&mut self, given_up: Option<Term>, now: Instant) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.settings.own.clone());
        self.write_hard_state();
        self.schedule_next_candidacy(now);
        let grants: SmallVec<[_; 3]> = SmallVec::from_iter([self.settings.own.clone()]);
        self.role = ReplicaRole::Candidate { grants: grants.clone() };
        if self.is_quorum(&grants) {
            return self.become_leader(now);
        }
        let last = self.log.last();
        for voter in self.other_voters() {
            let vote = ReplicaMessage::Vote { term: self.hard_state.term, last, given_up };
            self.send_synced(voter, vote);
        }
    }

    pub(crate) fn has_recent_leader(&self, now: Instant) -> bool {
        self.leader_heard_at
            .is_some_and(|heard| now < heard + self.settings.timing.election_timeout)
    }

    /// Whether a leader may hold a lease that a reply of this replica renewed.
    pub(crate) fn is_lease_possible(&self, now: Instant) -> bool {
        self.is_leader() || self.has_recent_leader(now)
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last: LogPosition,
        now: Instant,
    ) {
        if !self.log.configuration().is_member(&from) {
            self.handle_join_request(from.clone(), now);
        }
        let newer = term > self.hard_state.term && last >= self.log.last();
        let granted = newer && !self.is_lease_possible(now);
        let term = if granted { term } else { self.hard_state.term };
        self.send_synced(from, ReplicaMessage::PreVoteReply { term, granted });
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        granted: bool,
        now: Instant,
    ) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(term, None, now);
            }
            return;
        }
        let ReplicaRole::PreCandidate { grants } = &mut self.role else { return };
        if term != self.hard_state.term.next() || grants.contains(&from) {
            return;
        }
        grants.push(from);
        let grants = grants.clone();
        if self.is_quorum(&grants) {
            self.start_vote(None, now);
        }
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, term: Term, last: LogPosition, now: Instant) {
        if term > self.hard_state.term {
            self.become_follower(term, None, now);
        }
        let free = self.hard_state.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = term == self.hard_state.term && free && last >= self.log.last();
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.write_hard_state();
            self.reset_election_timeout(now);
        }
        self.send_synced(from, ReplicaMessage::VoteReply { term: self.hard_state.term, granted });
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        granted: bool,
        now: Instant,
    ) {
        if term > self.hard_state.term {
            return self.become_follower(term, None, now);
        }
        let ReplicaRole::Candidate { grants } = &mut self.role else { return };
        if !granted || term < self.hard_state.term || grants.contains(&from) {
            return;
        }
        grants.push(from);
        let grants = grants.clone();
        if self.is_quorum(&grants) {
            self.become_leader(now);
        }
    }
}
