//! Joining, founding and refounding a group: the part of the replication core for replicas without one.

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

/// Election timeouts without a leader after which a group may be founded anew.
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
        let alone = settings.founders.as_slice() == [settings.own.instance.clone()];
        if alone && settings.admission.may_found() {
            self.found_group(Vec::new(), now);
        }
    }

    /// A replica without a group remembers who else has none; the first of the instances founds
    /// the group once all others have answered it.
    pub(crate) fn on_join(
        &mut self,
        from: ReplicaId,
        heard: Option<ReplicaIdentity>,
        now: Instant,
    ) {
        let founds = self.settings.founders.contains(&from.instance);
        if !founds && !self.settings.admission.is_open() {
            return;
        }
        let own = self.settings.own.clone();
        let ReplicaRole::Uninitialized { known, confirmed } = &mut self.role else {
            return self.handle_join_request(from, now);
        };
        if !founds {
            return;
        }
        for peers in [&mut *known, &mut *confirmed] {
            peers.retain(|peer| peer.instance != from.instance);
        }
        known.push(from.clone());
        // An answer to this identity was sent by a replica that belonged to no group since.
        if heard == Some(own.identity) {
            confirmed.push(from);
        }
        let first = self.settings.founders.first() == Some(&own.instance);
        let founder = first && self.settings.admission.may_found();
        if founder && confirmed.len() + 1 == self.settings.founders.len() {
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
        // A replica that never held an entry has acknowledged none.
        let unused = self.log.last() == LogPosition::default() && epoch > self.hard_state.epoch;
        let named = configuration.is_voter(&self.settings.own) && configuration.is_voter(&from);
        if unused && named {
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

    /// Founds the group anew, under `epoch`, with this replica as its only member.
    ///
    /// All entries of its log stay; accepted entries that only lost replicas held are lost. It is
    /// refused while a leader is known, or was a moment ago.
    pub fn refound(&mut self, epoch: Epoch, now: Instant) -> Result<(), ReplicaError> {
        if self.is_uninitialized() {
            return Err(ReplicaError::NoGroup);
        }
        let patience = self.settings.timing.election_timeout * REFOUND_ELECTION_TIMEOUTS;
        if self.is_leader() || now < self.leaderless_since + patience {
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
