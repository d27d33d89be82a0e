//! Joining, founding and refounding of a group.

use crate::{
    replica::{ANY_IDENTITY, ReplicaCore, ReplicaError, ReplicaRole},
    replica_log::ReplicaLog,
    replica_message::{
        EntryPayload, Epoch, GroupConfiguration, HardState, LogPosition, ReplicaId,
        ReplicaIdentity, ReplicaMessage, SnapshotImage, Term,
    },
};
use std::sync::Arc;
use tokio::time::Instant;

/// Number of election timeouts without a leader after which a group may be refounded.
const REFOUND_ELECTION_TIMEOUTS: u32 = 5;

impl ReplicaCore {
    pub(crate) fn send_join_requests(&mut self, now: Instant) {
        if now < self.next_timeout {
            return;
        }
        self.next_timeout = now + self.settings.timing.heartbeat_interval;
        let ReplicaRole::Uninitialized { known, .. } = &self.role else { return };
        let known = known.clone();
        let own = self.settings.own.instance.clone();
        let others: Vec<_> =
            self.settings.founders.iter().filter(|name| **name != own).cloned().collect();
        for instance in others {
            let peer = known.iter().find(|peer| peer.instance == instance);
            let heard = peer.map(|peer| peer.identity);
            let to = ReplicaId { instance, identity: ANY_IDENTITY };
            self.send(to, ReplicaMessage::Join { heard });
        }
        self.found_if_single(now);
    }

    pub(crate) fn found_if_single(&mut self, now: Instant) {
        let settings = &self.settings;
        let is_single = settings.founders.as_slice() == [settings.own.instance.clone()];
        if is_single && settings.admission.may_found() {
            self.found_group(Vec::new(), now);
        }
    }

    /// Handles a `Join`. A member treats it as a request to join; a replica without a group records
    /// the sender. The first founder founds the group once all others have confirmed its identity.
    pub(crate) fn on_join(
        &mut self,
        from: ReplicaId,
        heard: Option<ReplicaIdentity>,
        now: Instant,
    ) {
        let is_founder = self.settings.founders.contains(&from.instance);
        if !is_founder && !self.settings.admission.is_open() {
            return;
        }
        let own = self.settings.own.clone();
        let ReplicaRole::Uninitialized { known, confirmed } = &mut self.role else {
            return self.handle_join_request(from, now);
        };
        if !is_founder {
            return;
        }
        for peers in [&mut *known, &mut *confirmed] {
            peers.retain(|peer| peer.instance != from.instance);
        }
        known.push(from.clone());
        // The sender still had no group after it had received a `Join` from this identity.
        if heard == Some(own.identity) {
            confirmed.push(from);
        }
        let is_first = self.settings.founders.first() == Some(&own.instance);
        let may_found = is_first && self.settings.admission.may_found();
        if may_found && confirmed.len() + 1 == self.settings.founders.len() {
            let others = confirmed.clone();
            self.found_group(others, now);
        }
    }

    pub(crate) fn found_group(&mut self, others: Vec<ReplicaId>, now: Instant) {
        let mut configuration = GroupConfiguration::default();
        configuration.voters.push(self.settings.own.clone());
        configuration.voters.extend(others);
        self.adopt_founding(self.settings.founding_epoch, configuration, now);
        self.next_timeout = now;
    }

    pub(crate) fn on_found(
        &mut self,
        epoch: Epoch,
        from: ReplicaId,
        configuration: GroupConfiguration,
        now: Instant,
    ) {
        // A replica without log entries has acknowledged none, so it may adopt a newer epoch.
        let is_unused = self.log.last() == LogPosition::default() && epoch > self.hard_state.epoch;
        let is_named = configuration.is_voter(&self.settings.own) && configuration.is_voter(&from);
        if is_unused && is_named {
            self.adopt_founding(epoch, configuration, now);
        }
    }

    pub(crate) fn adopt_founding(
        &mut self,
        epoch: Epoch,
        configuration: GroupConfiguration,
        now: Instant,
    ) {
        self.hard_state = HardState { epoch, term: Term(0), vote: None };
        let snapshot = SnapshotImage { configuration, ..SnapshotImage::default() };
        self.log = ReplicaLog::new(Arc::new(snapshot), Vec::new());
        self.write_replacement();
        self.become_follower(Term(0), None, now);
    }

    /// Refounds the group under `epoch`, or a newer one, with this replica as the only member.
    ///
    /// The replica keeps its log; committed entries that only lost replicas held are lost. Fails
    /// with [`ReplicaError::NoGroup`] without a group, and with [`ReplicaError::LeaderPresent`] if
    /// the replica leads, or started or had a leader less than five election timeouts ago.
    pub fn refound(&mut self, epoch: Epoch, now: Instant) -> Result<(), ReplicaError> {
        if self.is_uninitialized() {
            return Err(ReplicaError::NoGroup);
        }
        let min_silence = self.settings.timing.election_timeout * REFOUND_ELECTION_TIMEOUTS;
        if self.is_leader() || now < self.leaderless_since + min_silence {
            return Err(ReplicaError::LeaderPresent);
        }
        self.become_follower(self.hard_state.term.next(), None, now);
        self.hard_state.epoch = epoch.max(self.hard_state.epoch.next());
        self.write_hard_state();
        let mut configuration = GroupConfiguration::default();
        configuration.voters.push(self.settings.own.clone());
        self.append_local(EntryPayload::Refounded { epoch: self.hard_state.epoch, configuration });
        self.next_timeout = now;
        Ok(())
    }
}
