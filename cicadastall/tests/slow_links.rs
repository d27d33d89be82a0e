//! Replication of large commands over links that take seconds for a few of them.

use cicadastall::{
    name::InstanceName,
    replica::{MemberAdmission, ReplicaCore, ReplicaSettings, ReplicaTiming},
    replica_message::{
        EntryPayload, Epoch, LogIndex, ReplicaEnvelope, ReplicaId, ReplicaIdentity, ReplicaMessage,
        StoredReplica, WriteSequence,
    },
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Bytes per second of a connection between two regions, and its delay.
const LINK_RATE: f64 = 2_000_000.0;
const LINK_DELAY: Duration = Duration::from_millis(55);

/// Size of a command, and of a snapshot, which holds the newest command only.
const COMMAND_BYTES: usize = 1_000_000;

/// Size of the commands after which a snapshot replaces them.
const LOG_BYTES: usize = 4 * COMMAND_BYTES;

/// Time between two commands.
const COMMAND_INTERVAL: Duration = Duration::from_millis(1_000);

const STEP: Duration = Duration::from_millis(5);

/// Time after its start at which an empty replica must be able to replace a lost one.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

/// Time for which an instance that has lost its disk is down.
const DOWN_TIME: Duration = Duration::from_millis(500);

const NAMES: [&str; 3] = ["a", "b", "c"];

struct SlowHost {
    core: Option<ReplicaCore>,
    id: ReplicaId,
    unsynced: Option<WriteSequence>,
    bytes_since_snapshot: usize,
    applied: LogIndex,
}

struct SlowGroup {
    hosts: Vec<SlowHost>,
    now: Instant,
    in_transit: Vec<(Instant, ReplicaEnvelope)>,
    /// Time at which each connection has sent all that it was given.
    free_at: BTreeMap<(InstanceName, InstanceName, bool), Instant>,
    /// Bytes of commands and snapshots sent to each instance.
    received: BTreeMap<InstanceName, usize>,
    seed: u64,
}

fn payload_bytes(message: &ReplicaMessage) -> usize {
    let command = |payload: &EntryPayload| match payload {
        EntryPayload::Command(command) => command.len(),
        _ => 0,
    };
    match message {
        ReplicaMessage::Append { entries, .. } => {
            entries.iter().map(|entry| command(&entry.payload)).sum()
        }
        ReplicaMessage::Snapshot { data, .. } => data.len(),
        _ => 0,
    }
}

impl SlowGroup {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut group = Self {
            hosts: Vec::new(),
            now,
            in_transit: Vec::new(),
            free_at: BTreeMap::new(),
            received: BTreeMap::new(),
            seed,
        };
        for (index, name) in NAMES.iter().enumerate() {
            let identity = ReplicaIdentity(index as u64 + 1);
            let id = ReplicaId { instance: InstanceName::from(*name), identity };
            let core = Some(group.start_core(&id));
            let applied = LogIndex(0);
            group.hosts.push(SlowHost {
                core,
                id,
                unsynced: None,
                bytes_since_snapshot: 0,
                applied,
            });
        }
        group
    }

    fn start_core(&self, id: &ReplicaId) -> ReplicaCore {
        let settings = ReplicaSettings {
            own: id.clone(),
            founders: NAMES.iter().map(|name| InstanceName::from(*name)).collect(),
            admission: MemberAdmission::Open {
                may_found: id.identity.0 <= 3,
                remove_after: Duration::from_millis(2_500),
                min_voters: 3,
            },
            founding_epoch: Epoch(1),
            timing: ReplicaTiming {
                heartbeat_interval: Duration::from_millis(200),
                election_timeout: Duration::from_millis(700),
                lease_duration: Duration::ZERO,
            },
            max_append_entries: 1_024,
            snapshot_chunk_bytes: 512 * 1024,
            seed: self.seed * 31 + id.identity.0,
        };
        ReplicaCore::new(settings, StoredReplica::default(), self.now)
    }

    fn send(&mut self, envelope: ReplicaEnvelope) {
        let bytes = payload_bytes(&envelope.message);
        let (from, to) = (envelope.from.instance.clone(), envelope.to.instance.clone());
        *self.received.entry(to.clone()).or_default() += bytes;
        let connection = (from, to, envelope.message.is_bulk());
        let free_at = self.free_at.entry(connection).or_insert(self.now);
        *free_at = self.now.max(*free_at) + Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        self.in_transit.push((*free_at + LINK_DELAY, envelope));
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (arrived, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(at, _)| *at <= now);
        self.in_transit = later;
        for (_, envelope) in arrived {
            let receiver =
                self.hosts.iter_mut().find(|host| host.id.instance == envelope.to.instance);
            if let Some(core) = receiver.and_then(|host| host.core.as_mut()) {
                core.receive(envelope, now);
            }
        }
        let mut sent = Vec::new();
        for host in &mut self.hosts {
            let Some(core) = host.core.as_mut() else { continue };
            core.tick(now);
            if let Some(sequence) = host.unsynced.take() {
                core.mark_synced(sequence, now);
            }
            let output = core.take_output(now);
            if !output.writes.is_empty() {
                host.unsynced = Some(output.sequence);
            }
            if let Some(snapshot) = output.restored {
                host.applied = snapshot.position.index;
            }
            for entry in output.committed {
                host.applied = entry.position.index;
                if let EntryPayload::Command(command) = entry.payload {
                    host.bytes_since_snapshot += command.len();
                }
            }
            let needs_snapshot = core.awaits_snapshot() && host.bytes_since_snapshot > 0;
            if needs_snapshot || host.bytes_since_snapshot >= LOG_BYTES {
                core.compact(host.applied, vec![b's'; COMMAND_BYTES]);
                host.bytes_since_snapshot = 0;
            }
            sent.extend(output.messages);
        }
        sent.into_iter().for_each(|envelope| self.send(envelope));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Proposes a command each [`COMMAND_INTERVAL`], for `time`.
    fn run_commands(&mut self, time: Duration) {
        self.run_commands_until(|_| false, time);
    }

    /// Proposes a command each [`COMMAND_INTERVAL`], until `met` or for `time`.
    fn run_commands_until(&mut self, met: impl Fn(&Self) -> bool, time: Duration) {
        let end = self.now + time;
        let mut next_command = self.now;
        while self.now < end && !met(self) {
            if self.now >= next_command {
                next_command += COMMAND_INTERVAL;
                let leaders = self.hosts.iter_mut().filter_map(|host| host.core.as_mut());
                if let Some(leader) = leaders.filter(|core| core.is_leader()).last() {
                    let command: Arc<str> = "c".repeat(COMMAND_BYTES).into();
                    let _ = leader.propose(command);
                }
            }
            self.step();
        }
    }

    fn leader(&self) -> usize {
        let leads = |host: &SlowHost| host.core.as_ref().is_some_and(|core| core.is_leader());
        self.hosts.iter().position(leads).expect("a leader")
    }

    /// Ends `host`, and starts it with an empty disk.
    fn lose_disk(&mut self, host: usize) {
        self.hosts[host].core = None;
        self.run(DOWN_TIME);
        self.hosts[host].id.identity = ReplicaIdentity(10 + self.seed);
        let core = self.start_core(&self.hosts[host].id);
        let lost = &mut self.hosts[host];
        (lost.core, lost.unsynced, lost.bytes_since_snapshot) = (Some(core), None, 0);
        lost.applied = LogIndex(0);
    }

    /// Whether the leader and `host` know `host` as a voter.
    fn is_voter(&self, host: usize) -> bool {
        let id = &self.hosts[host].id;
        let leader = self.hosts.iter().filter_map(|host| host.core.as_ref());
        leader
            .filter(|core| core.is_leader())
            .any(|core| core.is_configuration_committed() && core.configuration().is_voter(id))
    }
}

#[test]
fn a_lost_voter_is_replaced_in_time_while_large_commands_are_replicated() {
    for seed in 1..=20 {
        for loses_leader in [false, true] {
            let mut group = SlowGroup::new(seed);
            group.run(Duration::from_secs(2));
            group.run_commands(Duration::from_secs(8));
            let leader = group.leader();
            let lost = if loses_leader { leader } else { (leader + 1) % NAMES.len() };
            group.lose_disk(lost);
            group.run_commands_until(|group| group.is_voter(lost), CATCH_UP_LIMIT);
            let is_replaced = group.is_voter(lost);
            assert!(is_replaced, "seed {seed}, leader lost: {loses_leader}: no voter in time");
        }
    }
}

#[test]
fn a_command_is_sent_once_to_each_follower_while_nothing_is_lost() {
    let mut group = SlowGroup::new(1);
    group.run(Duration::from_secs(2));
    group.received.clear();
    let leader = group.leader();
    let time = Duration::from_secs(12);
    group.run_commands(time);
    group.run(Duration::from_secs(3));
    let commands = time.as_millis().div_ceil(COMMAND_INTERVAL.as_millis()) as usize;
    for (index, host) in group.hosts.iter().enumerate().filter(|(index, _)| *index != leader) {
        let received = group.received[&host.id.instance];
        assert_eq!(received, commands * COMMAND_BYTES, "bytes sent to {}", NAMES[index]);
    }
}
