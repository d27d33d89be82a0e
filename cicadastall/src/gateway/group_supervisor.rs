//! Supervision of the replica of the document group, which is restarted after disk failures.

use crate::{
    gateway::{
        document_state::{DocumentCommand, DocumentState},
        settings::GatewaySettings,
    },
    group::{GroupHandle, GroupSettings, GroupStartError},
    group_transport::GroupRegistry,
    journal::JournalError,
    name::{GroupName, InstanceName},
    node::VoterSettings,
    peer::PeerClients,
    replica::{MemberAdmission, ReplicaTiming},
    replicated::{GroupError, ReplicatedGroup},
};
use arc_swap::ArcSwapOption;
use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
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

/// Time without contact after which a voter may be removed; longer than a restart or a short network
/// partition.
const RETIRE_AFTER: Duration = Duration::from_secs(6);

/// Delay before a failed replica is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time limit for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Supervisor of the replica of one control instance.
#[derive(Debug)]
pub struct GroupSupervisor {
    node: Arc<GatewaySettings>,
    clients: Arc<PeerClients>,
    registry: Arc<GroupRegistry>,
    handle: ArcSwapOption<GroupHandle<DocumentState>>,
    last_state: Mutex<DocumentState>,
    changed: watch::Sender<u64>,
}

impl GroupSupervisor {
    /// Creates a supervisor whose replica is not started yet. Each new state increments `changed`.
    pub fn new(
        node: Arc<GatewaySettings>,
        clients: Arc<PeerClients>,
        registry: Arc<GroupRegistry>,
        changed: watch::Sender<u64>,
    ) -> Self {
        let handle = ArcSwapOption::empty();
        Self { node, clients, registry, handle, last_state: Mutex::default(), changed }
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
        loop {
            let now = status.borrow_and_update().clone();
            if let Some(failure) = now.failure {
                log::error!(failure = failure.as_str(); "replica of the documents failed");
                return;
            }
            if leader != now.leader {
                leader = now.leader;
                let name = leader.as_ref().map(ToString::to_string).unwrap_or_default();
                log::info!(leader = name.as_str(), term = now.term.0, leads = now.leads; "leader");
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
        if !newer {
            return;
        }
        log::info!(
            document = state.number(), evacuated = state.evacuated().version;
            "document state in force"
        );
        *last_state = state;
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

    /// Status of the replica as JSON; null while it is not running.
    pub fn describe(&self) -> serde_json::Value {
        match self.handle.load_full() {
            Some(handle) => serde_json::json!({ "status": handle.status() }),
            None => serde_json::json!({ "status": null }),
        }
    }

    /// Transfers leadership to another replica before a planned stop.
    pub async fn transfer_leadership(&self) {
        if let Some(handle) = self.handle.load_full() {
            handle.transfer_leadership().await;
        }
    }
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
