//! Supervision of the replica of the document group, which is restarted after disk failures.

use crate::{
    gateway::{
        agreement::document_state::{DocumentCommand, DocumentState},
        document::document_decoder::DocumentDecoder,
        settings::GatewaySettings,
    },
    group::{GroupHandle, GroupSettings, GroupStartError},
    group_actor::GroupStatus,
    group_transport::GroupRegistry,
    journal::JournalError,
    name::{GroupName, InstanceName},
    node::VoterSettings,
    peer::PeerClients,
    replica::{MemberAdmission, ReplicaTiming},
    replica_message::{GroupConfiguration, ReplicaId},
    replicated::{GroupError, ReplicatedGroup},
};
use arc_swap::ArcSwapOption;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// Name of the document group.
const GROUP_NAME: &str = "documents";

/// Timing of the group. Without a lease, each read is confirmed by a majority: the clock of a
/// suspended instance may stand still, so that its lease would seem valid when it resumes.
const TIMING: ReplicaTiming = ReplicaTiming {
    heartbeat_interval: Duration::from_millis(200),
    election_timeout: Duration::from_millis(700),
    lease_duration: Duration::ZERO,
};

/// Time without contact after which a member is removed if enough voters remain; longer than a restart.
/// One that stops as planned is removed at once. A removed replica that returns is readmitted.
const RETIRE_AFTER: Duration = Duration::from_millis(2_500);

/// Delay before a failed replica is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time limit for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Supervisor of the replica of one control instance.
#[derive(Debug)]
pub struct GroupSupervisor {
    node: Arc<GatewaySettings>,
    decoder: Arc<dyn DocumentDecoder>,
    clients: Arc<PeerClients>,
    registry: Arc<GroupRegistry>,
    handle: ArcSwapOption<GroupHandle<DocumentState>>,
    last_state: Mutex<DocumentState>,
    /// Voters that are silent while this instance leads, with the time at which each was noticed.
    silent_voters: Mutex<BTreeMap<ReplicaId, Instant>>,
    changed: watch::Sender<u64>,
}

impl GroupSupervisor {
    /// Creates a supervisor whose replica is not started yet. Each new state increments `changed`.
    ///
    /// `decoder` decodes documents whose workspaces an earlier version has dropped.
    pub fn new(
        node: Arc<GatewaySettings>,
        decoder: Arc<dyn DocumentDecoder>,
        clients: Arc<PeerClients>,
        registry: Arc<GroupRegistry>,
        changed: watch::Sender<u64>,
    ) -> Self {
        Self {
            node,
            decoder,
            clients,
            registry,
            handle: ArcSwapOption::empty(),
            last_state: Mutex::default(),
            silent_voters: Mutex::default(),
            changed,
        }
    }

    /// The sender that each new state increments.
    pub(crate) fn watch_sender(&self) -> watch::Sender<u64> {
        self.changed.clone()
    }

    /// Runs the replica, and restarts it after failures, until its task is dropped.
    pub async fn run(&self) {
        loop {
            match self.start().await {
                Ok(handle) => {
                    let handle = Arc::new(handle);
                    self.handle.store(Some(Arc::clone(&handle)));
                    self.watch_state(&handle).await;
                    handle.stop();
                    self.handle.store(None);
                }
                Err(error) => {
                    log::error!("replica of the documents not started: {error}");
                    if let GroupStartError::Journal(error) = &error {
                        self.set_storage_aside(error);
                    }
                }
            }
            sleep(RESTART_DELAY).await;
        }
    }

    /// Publishes each new state, until the replica fails or stops.
    async fn watch_state(&self, handle: &GroupHandle<DocumentState>) {
        let mut status = handle.watch();
        let mut leader = None;
        let mut silent = Vec::new();
        let mut members = GroupConfiguration::default();
        loop {
            let now = status.borrow_and_update().clone();
            if let Some(failure) = now.failure {
                log::error!(failure = failure.as_str(); "replica of the documents failed");
                return;
            }
            if leader != now.leader {
                leader.clone_from(&now.leader);
                let name = leader.as_ref().map(ToString::to_string).unwrap_or_default();
                log::info!(leader = name.as_str(), term = now.term.0, leads = now.leads; "leader");
            }
            if members != now.configuration {
                members.clone_from(&now.configuration);
                log_members(handle.own(), &now);
            }
            if silent != now.silent {
                log_silent_voters(&now);
                self.note_silent_voters(&now.silent);
                silent.clone_from(&now.silent);
            }
            self.publish_state(handle.read_local(Clone::clone));
            if status.changed().await.is_err() {
                return;
            }
        }
    }

    fn publish_state(&self, state: DocumentState) {
        let mut last_state = self.last_state.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = state.number() > last_state.number()
            || state.evacuated().version > last_state.evacuated().version;
        let withdrawn = state.withdrawn().version() > last_state.withdrawn().version();
        if !newer && !withdrawn {
            return;
        }
        if newer {
            log::info!(
                document = state.number(), evacuated = state.evacuated().version;
                "document state in force"
            );
        }
        *last_state = state.complete_document(&*self.decoder);
        drop(last_state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// The newest committed state that this process knows.
    pub fn state(&self) -> DocumentState {
        self.last_state.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn start(&self) -> Result<GroupHandle<DocumentState>, GroupStartError> {
        let name = |address: &SocketAddr| InstanceName::new(address.to_string());
        let mut seeds = self.node.seeds.clone();
        seeds.sort_unstable();
        seeds.dedup();
        let voters: Vec<_> = seeds
            .iter()
            .map(|address| VoterSettings { instance: name(address), address: *address })
            .collect();
        let own = self.node.peer_address();
        let settings = GroupSettings {
            group: GroupName::from(GROUP_NAME),
            own: name(&own),
            admission: MemberAdmission::Open {
                may_found: self.node.founding && seeds.contains(&own),
                remove_after: RETIRE_AFTER,
                min_voters: self.node.tolerated_losses.saturating_mul(2).saturating_add(1),
            },
            voters,
            folder: self.node.data_folder.clone(),
            timing: TIMING,
        };
        let clients = Arc::clone(&self.clients);
        let registry = Arc::clone(&self.registry);
        GroupHandle::start(settings, DocumentState::default(), clients, registry).await
    }

    /// Renames unreadable storage, so that the replica starts empty and rejoins the group. Storage is
    /// left in place after I/O errors and while it is locked.
    fn set_storage_aside(&self, error: &JournalError) {
        let Some(folder) = &self.node.data_folder else { return };
        if matches!(error, JournalError::Io { .. } | JournalError::Locked(_)) {
            return;
        }
        if let Err(error) = rename_unreadable(&folder.join(GROUP_NAME)) {
            log::error!("cannot rename unreadable storage: {error}");
        }
    }

    /// Proposes a change; returns the number of the document in force afterwards.
    pub async fn change(&self, command: DocumentCommand) -> Result<u64, GroupError> {
        let handle = self.handle.load_full().ok_or(GroupError::NotLeader { leader: None })?;
        match timeout(CALL_TIMEOUT, handle.propose(command)).await {
            Ok(reply) => reply,
            Err(_) => Err(GroupError::OutcomeUnknown),
        }
    }

    /// Reads the current state, confirmed by a majority within `limit`.
    pub async fn read(&self, limit: Duration) -> Result<DocumentState, GroupError> {
        let handle = self.handle.load_full().ok_or(GroupError::NotLeader { leader: None })?;
        let state = match timeout(limit, handle.read(Clone::clone)).await {
            Ok(state) => state?,
            Err(_) => return Err(GroupError::NoQuorum),
        };
        self.publish_state(state.clone());
        Ok(state)
    }

    /// Status of the replica as JSON; null while it is not running. The leader adds the silent voters,
    /// with the seconds since each was noticed, and the number of further losses that the group bears.
    pub fn describe(&self) -> serde_json::Value {
        let Some(status) = self.status() else { return serde_json::json!({ "status": null }) };
        let silent: BTreeMap<_, _> = self
            .lock_silent_voters()
            .iter()
            .map(|(voter, since)| (voter.to_string(), since.elapsed().as_secs()))
            .collect();
        let losses_borne = status.losses_borne();
        serde_json::json!({ "status": status, "silent_s": silent, "losses_borne": losses_borne })
    }

    /// Status of the replica, while it is running.
    pub fn status(&self) -> Option<GroupStatus> {
        self.handle.load_full().map(|handle| handle.status())
    }

    fn note_silent_voters(&self, silent: &[ReplicaId]) {
        let now = Instant::now();
        let mut noticed = self.lock_silent_voters();
        noticed.retain(|voter, _| silent.contains(voter));
        for voter in silent {
            noticed.entry(voter.clone()).or_insert(now);
        }
    }

    fn lock_silent_voters(&self) -> MutexGuard<'_, BTreeMap<ReplicaId, Instant>> {
        self.silent_voters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Transfers leadership to another replica before a planned stop, and leaves the group if it has
    /// voters to spare.
    pub async fn leave(&self) {
        if let Some(handle) = self.handle.load_full() {
            handle.leave().await;
        }
    }
}

fn log_members(own: &ReplicaId, status: &GroupStatus) {
    let names = |replicas: &[ReplicaId]| replicas.iter().map(ToString::to_string).collect();
    let (voters, learners): (Vec<_>, Vec<_>) =
        (names(&status.configuration.voters), names(&status.configuration.learners));
    log::info!(
        voters:? = voters, learners:? = learners, own_votes = status.configuration.is_voter(own),
        commit = status.commit.0, applied = status.applied.0;
        "members of the document group"
    );
}

fn log_silent_voters(status: &GroupStatus) {
    let silent: Vec<_> = status.silent.iter().map(ToString::to_string).collect();
    log::warn!(
        silent:? = silent, voters = status.configuration.voters.len(),
        losses_borne:? = status.losses_borne();
        "silent voters of the document group"
    );
}

fn rename_unreadable(folder: &Path) -> io::Result<()> {
    for number in 0.. {
        let aside = folder.with_extension(format!("unreadable-{number}"));
        if !aside.exists() {
            log::warn!("renaming unreadable storage to {}", aside.display());
            return std::fs::rename(folder, aside);
        }
    }
    Ok(())
}
