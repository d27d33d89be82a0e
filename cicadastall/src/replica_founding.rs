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
const REFOUND_ELECTIONS: u32 = 5;

impl ReplicaCore {
    pub(crate) fn seek_group(&mut self, now: Instant) {
        if now < self.deadline {
            return;
        }
        self.deadline = now + self.settings.timing.heartbeat;
        let ReplicaRole::Absent { joins, .. } = &self.role else { return };
        let joins = joins.clone();
        let own = self.settings.own.instance.clone();
        let others: Vec<_> =
            self.settings.instances.iter().filter(|name| **name != own).cloned().collect();
        for instance in others {
            let heard = joins.iter().find(|join| join.instance == instance);
            let heard = heard.map(|join| join.identity);
            let to = ReplicaId { instance, identity: ANY_IDENTITY };
            self.send(to, ReplicaMessage::Join { heard });
        }
        self.found_alone(now);
    }

    pub(crate) fn found_alone(&mut self, now: Instant) {
        let settings = &self.settings;
        let alone = settings.instances.as_slice() == [settings.own.instance.clone()];
        if alone && settings.admission.may_found() {
            self.found(Vec::new(), now);
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
        let founds = self.settings.instances.contains(&from.instance);
        if !founds && !self.settings.admission.is_open() {
            return;
        }
        let own = self.settings.own.clone();
        let ReplicaRole::Absent { joins, answered } = &mut self.role else {
            return self.consider_member(from, now);
        };
        if !founds {
            return;
        }
        for known in [&mut *joins, &mut *answered] {
            known.retain(|join| join.instance != from.instance);
        }
        joins.push(from.clone());
        // An answer to this identity was sent by a replica that belonged to no group since.
        if heard == Some(own.identity) {
            answered.push(from);
        }
        let first = self.settings.instances.first() == Some(&own.instance);
        let founder = first && self.settings.admission.may_found();
        if founder && answered.len() + 1 == self.settings.instances.len() {
            let others = answered.clone();
            self.found(others, now);
        }
    }

    pub(crate) fn found(&mut self, others: Vec<ReplicaId>, now: Instant) {
        let mut configuration = GroupConfiguration::default();
        configuration.voters.push(self.settings.own.clone());
        configuration.voters.extend(others);
        self.adopt_founding(self.settings.founding, configuration, now);
        self.deadline = now;
    }

    pub(crate) fn on_found(
        &mut self,
        epoch: Epoch,
        from: ReplicaId,
        configuration: GroupConfiguration,
        now: Instant,
    ) {
        // A replica that never held an entry has acknowledged none.
        let unused = self.log.last() == LogPosition::default() && epoch > self.hard.epoch;
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
        self.hard = HardState { epoch, term: Term(0), vote: None };
        let snapshot = SnapshotImage { configuration, ..SnapshotImage::default() };
        self.log = ReplicaLog::new(Arc::new(snapshot), Vec::new());
        self.write_all();
        self.become_follower(Term(0), None, now);
    }

    /// Founds the group anew, under `epoch`, with this replica as its only member.
    ///
    /// All entries of its log stay; accepted entries that only lost replicas held are lost. It is
    /// refused while a leader is known, or was a moment ago.
    pub fn refound(&mut self, epoch: Epoch, now: Instant) -> Result<(), ReplicaError> {
        if self.is_absent() {
            return Err(ReplicaError::NoGroup);
        }
        let patience = self.settings.timing.election * REFOUND_ELECTIONS;
        if self.is_leader() || now < self.leaderless + patience {
            return Err(ReplicaError::LeaderPresent);
        }
        self.become_follower(self.hard.term.next(), None, now);
        self.hard.epoch = epoch.max(self.hard.epoch.next());
        self.write_hard();
        let mut configuration = GroupConfiguration::default();
        configuration.voters.push(self.settings.own.clone());
        self.append_own(EntryPayload::Refounded { epoch: self.hard.epoch, configuration });
        self.deadline = now;
        Ok(())
    }
}
