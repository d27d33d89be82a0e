//! Keeps the replica of the document group running through failures of its disk.

use crate::{
    gateway::{
        document_state::{DocumentCommand, DocumentState},
        settings::GatewayNode,
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

/// Name of the group.
const GROUP: &str = "documents";

/// Periods of the group. Without a lease, each read asks a majority: an instance may be suspended
/// while its clock stands still.
const TIMING: ReplicaTiming = ReplicaTiming {
    heartbeat_interval: Duration::from_millis(200),
    election_timeout: Duration::from_millis(700),
    lease_duration: Duration::ZERO,
};

/// Silence after which a voter may be removed; longer than a restart or a short cut takes.
const RETIRE_AFTER: Duration = Duration::from_secs(6);

/// Pause before a replica whose disk failed is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for a change or a read.
const CALL_BOUND: Duration = Duration::from_millis(3_500);

/// The replica of one control instance.
#[derive(Debug)]
pub struct GroupKeeper {
    node: Arc<GatewayNode>,
    clients: Arc<PeerClients>,
    registry: Arc<GroupRegistry>,
    handle: ArcSwapOption<GroupHandle<DocumentState>>,
    last: Mutex<DocumentState>,
    changed: watch::Sender<u64>,
}

impl GroupKeeper {
    /// A keeper whose replica is not started yet; it raises `changed` when its state changes.
    pub fn new(
        node: Arc<GatewayNode>,
        clients: Arc<PeerClients>,
        registry: Arc<GroupRegistry>,
        changed: watch::Sender<u64>,
    ) -> Self {
        let handle = ArcSwapOption::empty();
        Self { node, clients, registry, handle, last: Mutex::default(), changed }
    }

    /// The sender that it raises.
    pub(crate) fn watch_sender(&self) -> watch::Sender<u64> {
        self.changed.clone()
    }

    /// Runs the replica, and starts it again when its storage has failed, until its task is dropped.
    pub async fn run(&self) {
        loop {
            match self.start().await {
                Ok(handle) => {
                    let handle = Arc::new(handle);
                    self.handle.store(Some(Arc::clone(&handle)));
                    self.follow(&handle).await;
                    handle.stop();
                    self.handle.store(None);
                }
                Err(error) => {
                    log::error!("replica of the documents not started: {error}");
                    if let GroupStartError::Journal(error) = &error {
                        self.set_aside(error);
                    }
                }
            }
            sleep(RESTART_PAUSE).await;
        }
    }

    /// Raises `changed` whenever the state changes, until the replica fails.
    async fn follow(&self, handle: &GroupHandle<DocumentState>) {
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
            self.note_state(handle.read_local(Clone::clone));
            if status.changed().await.is_err() {
                return;
            }
        }
    }

    fn note_state(&self, state: DocumentState) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let newer =
            state.number() > last.number() || state.evacuated().version > last.evacuated().version;
        if !newer {
            return;
        }
        log::info!(
            document = state.number(), evacuated = state.evacuated().version;
            "document state in force"
        );
        *last = state;
        drop(last);
        self.changed.send_modify(|count| *count += 1);
    }

    /// The newest state that this process has known to be agreed on.
    pub fn state(&self) -> DocumentState {
        self.last.lock().unwrap_or_else(PoisonError::into_inner).clone()
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
            group: GroupName::from(GROUP),
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

    /// Moves storage that can't be read out of the way, so that the replica joins as an empty one.
    fn set_aside(&self, error: &JournalError) {
        let Some(folder) = &self.node.data_folder else { return };
        if matches!(error, JournalError::Io { .. } | JournalError::Locked(_)) {
            return;
        }
        if let Err(error) = move_aside(&folder.join(GROUP)) {
            log::error!("unreadable storage not moved away: {error}");
        }
    }

    /// Changes the state; the number of the document in force afterwards.
    pub async fn change(&self, command: DocumentCommand) -> Result<u64, GroupError> {
        let handle = self.handle.load_full().ok_or(GroupError::NotLeader { leader: None })?;
        match timeout(CALL_BOUND, handle.propose(command)).await {
            Ok(reply) => reply,
            Err(_) => Err(GroupError::OutcomeUnknown),
        }
    }

    /// The state as of a moment after the call, confirmed by a majority.
    pub async fn read(&self, bound: Duration) -> Result<DocumentState, GroupError> {
        let handle = self.handle.load_full().ok_or(GroupError::NotLeader { leader: None })?;
        let state = match timeout(bound, handle.read(Clone::clone)).await {
            Ok(state) => state?,
            Err(_) => return Err(GroupError::NoQuorum),
        };
        self.note_state(state.clone());
        Ok(state)
    }

    /// What the replica knows of its group, for status.
    pub fn describe(&self) -> serde_json::Value {
        match self.handle.load_full() {
            Some(handle) => serde_json::json!({ "status": handle.status() }),
            None => serde_json::json!({ "status": null }),
        }
    }

    /// Hands leadership over before a planned stop.
    pub async fn hand_over(&self) {
        if let Some(handle) = self.handle.load_full() {
            handle.transfer_leadership().await;
        }
    }
}

fn move_aside(folder: &Path) -> io::Result<()> {
    for number in 0.. {
        let aside = folder.with_extension(format!("unreadable-{number}"));
        if !aside.exists() {
            log::warn!("moving unreadable storage to {}", aside.display());
            return std::fs::rename(folder, aside);
        }
    }
    Ok(())
}
