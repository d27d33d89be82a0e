//! Invariants of the replication core, checked after each action of a schedule.

use super::cluster::{CheckResult, SimulatedCluster};
use cicadastall::replica_message::{
    EntryPayload, JournalWrite, LogEntry, LogIndex, LogPosition, ReadTicket, ReplicaId,
    SnapshotImage,
};

impl SimulatedCluster {
    pub(super) fn check_leader(&mut self, host: usize) -> CheckResult {
        let Some(core) = self.hosts[host].core.as_ref().filter(|core| core.is_leader()) else {
            return Ok(());
        };
        let key = (core.epoch(), core.term());
        let Some(known) = self.leaders.get(&key) else {
            let own = core.own().clone();
            let log = core.log();
            let lacking = self.committed.values().find(|entry| {
                let LogPosition { term, index } = entry.position;
                term < key.1 && index > log.base() && log.term_at(index) != Some(term)
            });
            if let Some(entry) = lacking.filter(|_| Some(key.0) == self.epoch) {
                return Err(format!("{own} leads {key:?} without {:?}", entry.position));
            }
            self.leaders.insert(key, own);
            return Ok(());
        };
        match known == core.own() {
            true => Ok(()),
            false => Err(format!("{known} and {} both lead {key:?}", core.own())),
        }
    }

    pub(super) fn check_writes(&mut self, host: usize, writes: &[JournalWrite]) -> CheckResult {
        let Some(core) = &self.hosts[host].core else { return Ok(()) };
        for write in writes {
            let JournalWrite::Append(entries) = write else { continue };
            for entry in entries {
                let before = core.log().term_at(entry.position.index.previous());
                let Some(before) = before else { continue };
                let fresh = (entry.payload.clone(), before);
                let key = (core.epoch(), entry.position);
                let known = self.entries.entry(key).or_insert_with(|| fresh.clone());
                if *known != fresh {
                    return Err(format!(
                        "logs differ at {:?}: {known:?}, {fresh:?}",
                        entry.position
                    ));
                }
            }
        }
        Ok(())
    }

    pub(super) fn apply(&mut self, host: usize, entry: LogEntry) -> CheckResult {
        let LogPosition { index, .. } = entry.position;
        let Some(core) = &self.hosts[host].core else { return Ok(()) };
        if *self.epoch.get_or_insert(core.epoch()) != core.epoch() {
            return Err(format!("{} commits under a second epoch", core.own()));
        }
        if index != self.hosts[host].applied.next() {
            return Err(format!("{} applies {index} out of order", core.own()));
        }
        match self.committed.get(&index) {
            Some(known) if *known != entry => {
                return Err(format!("committed entry {known:?} became {entry:?}"));
            }
            Some(_) => {}
            None => {
                self.check_durable(host, &entry)?;
                self.committed.insert(index, entry.clone());
            }
        }
        let target = &mut self.hosts[host];
        target.applied = index;
        match &entry.payload {
            EntryPayload::Command(command) => target.state.push(command.to_string()),
            EntryPayload::Configuration(_) => self.coverage.membership_changes += 1,
            EntryPayload::Empty | EntryPayload::Refounded { .. } => {}
        }
        let proposals = self.proposed.len();
        self.proposed.retain(|proposal| *proposal != (host, entry.position));
        if self.proposed.len() < proposals {
            self.acknowledged = self.acknowledged.max(index);
            self.coverage.acknowledged += 1;
        }
        Ok(())
    }

    /// A committed entry was synced by a majority, including on disks that were lost since.
    fn check_durable(&self, host: usize, entry: &LogEntry) -> CheckResult {
        let Some(core) = &self.hosts[host].core else { return Ok(()) };
        let configuration = core.configuration();
        let holds = |replica: &&ReplicaId| {
            self.disks.get(replica).is_some_and(|disk| {
                disk.snapshot.position.index >= entry.position.index
                    || disk.entries.iter().any(|held| held.position == entry.position)
            })
        };
        let holders = configuration.voters.iter().filter(holds).count();
        // A later configuration entry may have added a voter since the entry was committed.
        match holders + 1 >= configuration.quorum() && holders > 0 {
            true if holders >= configuration.quorum() => Ok(()),
            true if core.log().configuration_index() > entry.position.index => Ok(()),
            _ => Err(format!("{:?} is committed but synced on {holders}", entry.position)),
        }
    }

    pub(super) fn restore(&mut self, host: usize, snapshot: &SnapshotImage) -> CheckResult {
        let index = snapshot.position.index;
        let expected =
            self.committed.range(..=index).filter_map(|(_, entry)| match &entry.payload {
                EntryPayload::Command(command) => Some(command.to_string()),
                _ => None,
            });
        let state = decode(snapshot);
        if !expected.eq(state.iter().cloned()) {
            return Err(format!("snapshot at {index} differs from the log"));
        }
        if index < self.hosts[host].applied {
            return Err(format!("snapshot at {index} takes a replica back"));
        }
        self.hosts[host].applied = index;
        self.hosts[host].state = state;
        self.coverage.snapshots_installed += 1;
        Ok(())
    }

    pub(super) fn finish_read(
        &mut self,
        host: usize,
        ticket: ReadTicket,
        index: Option<LogIndex>,
    ) -> CheckResult {
        let found = self.reads.iter().position(|read| read.ticket == ticket);
        let Some(read) = found.map(|found| self.reads.swap_remove(found)) else { return Ok(()) };
        let Some(index) = index else { return Ok(()) };
        self.coverage.reads += 1;
        match index >= read.min_index {
            true => Ok(()),
            false => Err(format!(
                "{} reads at {index}, but {} was acknowledged before",
                self.hosts[host].id, read.min_index
            )),
        }
    }
}

/// Commands in a snapshot, in order.
pub(super) fn decode(snapshot: &SnapshotImage) -> Vec<String> {
    let text = String::from_utf8_lossy(&snapshot.data);
    text.split_whitespace().map(str::to_owned).collect()
}
