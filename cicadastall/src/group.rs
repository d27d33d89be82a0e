//! Handle of a group's replica: proposals, reads, status and leadership transfer.

use crate::{
    clock::unix_ms,
    group_actor::{
        GroupActor, GroupArguments, GroupMessage, GroupStatus, ProposalReply, ReadReply,
    },
    group_transport::{GroupEndpoint, GroupRegistry, GroupSenders, find_address},
    journal::{JournalError, JournalWriter, create_identity},
    name::{GroupName, InstanceName},
    node::{NodeSettings, VoterSettings},
    peer::{PeerClients, PeerError},
    replica::{MemberAdmission, ReplicaCore, ReplicaError, ReplicaSettings, ReplicaTiming},
    replica_message::{Epoch, LogIndex, ReplicaEnvelope, ReplicaId, StoredReplica},
    replicated::{GroupError, ReplicatedGroup, ReplicatedState},
};
use futures::future::BoxFuture;
use ractor::{Actor, ActorRef};
use rand::RngExt;
use std::{
    collections::HashMap,
    fmt,
    marker::PhantomData,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, sleep, timeout, timeout_at},
};

/// Maximum time to find a leader, or to apply the entries that a read must see.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause before a proposal or a read is retried.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time to wait for the reply of the replica in this instance.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time to wait for the reply of the leader in another instance.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time to wait until a stopping replica has released the lock of its folder.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before the folder is locked again.
const LOCK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time to wait for the next leader during a leadership transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of entries in one message.
const MAX_APPEND_ENTRIES: usize = 1_024;

/// Maximum size of a snapshot chunk.
const SNAPSHOT_CHUNK_BYTES: usize = 512 * 1024;

/// Start parameters of a replica.
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// Name of the group.
    pub group: GroupName,
    /// Instance that runs the replica.
    pub own: InstanceName,
    /// Instances that found the group, with their peer addresses; the first one starts the
    /// founding.
    pub voters: Vec<VoterSettings>,
    /// Which instances may be members.
    pub admission: MemberAdmission,
    /// Parent folder of the journal; without one the replica loses its identity when it stops.
    pub folder: Option<PathBuf>,
    /// Timing of the group.
    pub timing: ReplicaTiming,
}

/// Starts the replicas of one instance.
#[derive(Debug, Clone)]
pub struct GroupHost {
    node: Arc<NodeSettings>,
    clients: Arc<PeerClients>,
    registry: Arc<GroupRegistry>,
}

impl GroupHost {
    /// Creates a host without replicas.
    pub fn new(node: Arc<NodeSettings>, clients: Arc<PeerClients>) -> Self {
        Self { node, clients, registry: Arc::new(GroupRegistry::default()) }
    }

    /// Registry of the replicas that other instances can reach.
    pub fn registry(&self) -> &Arc<GroupRegistry> {
        &self.registry
    }

    /// Starts the instance's replica of the settings group on the caller's runtime.
    pub async fn start_settings<S: ReplicatedState>(
        &self,
        initial: S,
    ) -> Result<GroupHandle<S>, GroupStartError> {
        self.start(GroupName::from("settings"), self.node.settings_voters.clone(), initial).await
    }

    /// Starts the instance's replica of its region's ledger group on the caller's runtime.
    pub async fn start_ledger<S: ReplicatedState>(
        &self,
        initial: S,
    ) -> Result<GroupHandle<S>, GroupStartError> {
        let group = GroupName::new(format!("ledger-{}", self.node.region));
        self.start(group, self.node.ledger_voters.clone(), initial).await
    }

    /// Starts the instance's replica of its region's placement group on the caller's runtime.
    pub async fn start_placement<S: ReplicatedState>(
        &self,
        initial: S,
    ) -> Result<GroupHandle<S>, GroupStartError> {
        let group = GroupName::new(format!("placement-{}", self.node.region));
        self.start(group, self.node.ledger_voters.clone(), initial).await
    }

    async fn start<S: ReplicatedState>(
        &self,
        group: GroupName,
        voters: Vec<VoterSettings>,
        initial: S,
    ) -> Result<GroupHandle<S>, GroupStartError> {
        let settings = GroupSettings {
            group,
            own: self.node.instance.clone(),
            voters,
            admission: MemberAdmission::Listed,
            folder: self.node.data_folder.clone(),
            timing: ReplicaTiming::default(),
        };
        let registry = Arc::clone(&self.registry);
        GroupHandle::start(settings, initial, Arc::clone(&self.clients), registry).await
    }
}

/// Why a replica cannot be started.
#[derive(Debug)]
pub enum GroupStartError {
    /// The storage cannot be opened.
    Journal(JournalError),
    /// The snapshot cannot be decoded.
    Snapshot(serde_json::Error),
    /// The actor cannot be spawned; holds the cause.
    Spawn(String),
}

impl fmt::Display for GroupStartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Journal(error) => write!(formatter, "journal: {error}"),
            Self::Snapshot(error) => write!(formatter, "snapshot cannot be decoded: {error}"),
            Self::Spawn(cause) => write!(formatter, "replica cannot be started: {cause}"),
        }
    }
}

impl std::error::Error for GroupStartError {}

impl From<JournalError> for GroupStartError {
    fn from(error: JournalError) -> Self {
        Self::Journal(error)
    }
}

impl From<GroupStartError> for std::io::Error {
    fn from(error: GroupStartError) -> Self {
        Self::other(error)
    }
}

/// Handle of a replica; clones share it. The replica stops when `stop` is called or the last clone
/// is dropped.
#[derive(Debug)]
pub struct GroupHandle<S: ReplicatedState> {
    shared: Arc<GroupShared<S>>,
}

impl<S: ReplicatedState> Clone for GroupHandle<S> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared) }
    }
}

struct GroupShared<S: ReplicatedState> {
    settings: GroupSettings,
    own: ReplicaId,
    addresses: HashMap<InstanceName, SocketAddr>,
    clients: Arc<PeerClients>,
    registry: Arc<GroupRegistry>,
    actor: ActorRef<GroupMessage<S>>,
    state: Arc<RwLock<S>>,
    status: watch::Receiver<GroupStatus>,
}

impl<S: ReplicatedState> fmt::Debug for GroupShared<S> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = self.status.borrow();
        let mut shown = formatter.debug_struct("GroupShared");
        shown.field("group", &self.settings.group).field("status", &*status).finish()
    }
}

/// Endpoint of a replica in the registry, which does not keep the replica running.
#[derive(Debug)]
struct LocalEndpoint<S: ReplicatedState> {
    actor: ActorRef<GroupMessage<S>>,
    status: watch::Receiver<GroupStatus>,
}

impl<S: ReplicatedState> GroupEndpoint for LocalEndpoint<S> {
    fn deliver(&self, envelopes: Vec<ReplicaEnvelope>) {
        let _ = self.actor.cast(GroupMessage::Receive(envelopes));
    }

    fn propose_encoded(&self, command: Arc<str>) -> BoxFuture<'_, Result<Arc<str>, GroupError>> {
        Box::pin(async {
            let reply = send_proposal(&self.actor, command).await?;
            let encoded = serde_json::to_string(&reply).map_err(|_| GroupError::OutcomeUnknown)?;
            Ok(encoded.into())
        })
    }

    fn read_index(&self) -> BoxFuture<'_, Result<LogIndex, GroupError>> {
        Box::pin(request_read_index(&self.actor))
    }

    fn status(&self) -> GroupStatus {
        self.status.borrow().clone()
    }

    fn transfer_leadership(&self) -> BoxFuture<'_, ()> {
        Box::pin(request_leadership_transfer(&self.actor, self.status.clone()))
    }

    fn refound(&self, accept_loss: bool) -> BoxFuture<'_, Result<Epoch, RefoundError>> {
        Box::pin(request_refounding(&self.actor, accept_loss))
    }
}

async fn send_proposal<S: ReplicatedState>(
    actor: &ActorRef<GroupMessage<S>>,
    command: Arc<str>,
) -> Result<S::Reply, GroupError> {
    let (reply, replied): (ProposalReply<S>, _) = oneshot::channel();
    actor.cast(GroupMessage::Propose(command, reply)).map_err(|_| GroupError::Stopped)?;
    // A replica that stopped before it replied may have logged the command.
    let replied = timeout(PROPOSAL_TIMEOUT, replied).await;
    replied.ok().and_then(Result::ok).unwrap_or(Err(GroupError::OutcomeUnknown))
}

async fn request_read_index<S: ReplicatedState>(
    actor: &ActorRef<GroupMessage<S>>,
) -> Result<LogIndex, GroupError> {
    let (reply, replied): (ReadReply, _) = oneshot::channel();
    actor.cast(GroupMessage::Read(reply)).map_err(|_| GroupError::Stopped)?;
    let replied = timeout(PROPOSAL_TIMEOUT, replied).await;
    replied.unwrap_or(Ok(Err(GroupError::NoQuorum))).unwrap_or(Err(GroupError::Stopped))
}

async fn request_leadership_transfer<S: ReplicatedState>(
    actor: &ActorRef<GroupMessage<S>>,
    mut status: watch::Receiver<GroupStatus>,
) {
    if !status.borrow().leads || actor.cast(GroupMessage::TransferLeadership).is_err() {
        return;
    }
    let other = status.wait_for(|status| !status.leads && status.leader.is_some());
    let _ = timeout(TRANSFER_TIMEOUT, other).await;
}

async fn request_refounding<S: ReplicatedState>(
    actor: &ActorRef<GroupMessage<S>>,
    accept_loss: bool,
) -> Result<Epoch, RefoundError> {
    if !accept_loss {
        return Err(RefoundError::LossNotAccepted);
    }
    let (reply, replied) = oneshot::channel();
    let message = GroupMessage::Refound(Epoch(unix_ms()), reply);
    actor.cast(message).map_err(|_| RefoundError::Stopped)?;
    replied.await.map_err(|_| RefoundError::Stopped)?.map_err(RefoundError::Replica)
}

impl<S: ReplicatedState> GroupHandle<S> {
    /// Starts a replica on the caller's runtime, which is the one of the control thread.
    ///
    /// `initial` is the state at the founding of the group, the same at all replicas. Fails if the
    /// storage cannot be opened, its snapshot cannot be decoded or the actor cannot be spawned.
    pub async fn start(
        settings: GroupSettings,
        initial: S,
        clients: Arc<PeerClients>,
        registry: Arc<GroupRegistry>,
    ) -> Result<Self, GroupStartError> {
        let (writer, identity, stored) = open_storage(&settings).await?;
        let state = match stored.snapshot.data.as_ref() {
            [] => initial,
            data => S::restore(data).map_err(GroupStartError::Snapshot)?,
        };
        let state = Arc::new(RwLock::new(state));
        let own = ReplicaId { instance: settings.own.clone(), identity };
        let replica = ReplicaSettings {
            own: own.clone(),
            founders: settings.voters.iter().map(|voter| voter.instance.clone()).collect(),
            admission: settings.admission,
            founding_epoch: Epoch(unix_ms()),
            timing: settings.timing,
            max_append_entries: MAX_APPEND_ENTRIES,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            seed: rand::rng().random(),
        };
        let addresses = settings.voters.iter().filter(|voter| voter.instance != settings.own);
        let addresses: HashMap<_, _> =
            addresses.map(|voter| (voter.instance.clone(), voter.address)).collect();
        let (status, published) = watch::channel(GroupStatus::default());
        let arguments = GroupArguments {
            core: ReplicaCore::new(replica, stored, Instant::now()),
            writer,
            state: Arc::clone(&state),
            status,
            senders: GroupSenders::new(settings.group.clone(), addresses.clone(), &clients),
            name: format!("journal {}", settings.group),
        };
        let (actor, _) = Actor::spawn(None, GroupActor(PhantomData), arguments)
            .await
            .map_err(|error| GroupStartError::Spawn(error.to_string()))?;
        let status = published;
        let endpoint = LocalEndpoint { actor: actor.clone(), status: status.clone() };
        registry.register(settings.group.clone(), Arc::new(endpoint));
        let shared =
            GroupShared { settings, own, addresses, clients, registry, actor, state, status };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Identifier of the replica.
    pub fn own(&self) -> &ReplicaId {
        &self.shared.own
    }

    /// Last published status of the replica.
    pub fn status(&self) -> GroupStatus {
        self.shared.status.borrow().clone()
    }

    /// Watches the status, which also changes when entries are applied.
    pub fn watch(&self) -> watch::Receiver<GroupStatus> {
        self.shared.status.clone()
    }

    /// Refounds the group with this replica as the only member; returns the new epoch.
    ///
    /// Accepted commands that only lost replicas held are lost, so `accept_loss` must be true.
    /// Fails if it is false, if the replica belongs to no group, had a leader recently or has
    /// stopped.
    pub async fn refound(&self, accept_loss: bool) -> Result<Epoch, RefoundError> {
        request_refounding(&self.shared.actor, accept_loss).await
    }

    /// Proposes a command only if this replica leads; it is not forwarded to another leader.
    pub async fn propose_local(&self, command: S::Command) -> Result<S::Reply, GroupError> {
        let command = serde_json::to_string(&command).map_err(|_| GroupError::Stopped)?;
        send_proposal(&self.shared.actor, command.into()).await
    }

    /// Transfers leadership, if the replica leads; returns once another replica leads, or after a
    /// timeout.
    pub async fn transfer_leadership(&self) {
        request_leadership_transfer(&self.shared.actor, self.shared.status.clone()).await;
    }

    /// Transfers leadership, if the replica leads, and returns once the replica has been removed from
    /// the group, or at once if the group has no voter to spare. The caller sets a time limit.
    pub async fn leave(&self) {
        if self.shared.actor.cast(GroupMessage::Leave).is_err() {
            return;
        }
        self.transfer_leadership().await;
        let mut status = self.shared.status.clone();
        // An error says that the replica has stopped.
        let _ = status.wait_for(|status| status.may_stop).await;
    }

    /// Stops the replica and removes it from the registry.
    pub fn stop(&self) {
        self.shared.stop();
    }

    async fn propose_encoded(&self, command: Arc<str>) -> Result<S::Reply, GroupError> {
        let deadline = Instant::now() + LEADER_SEARCH_TIMEOUT;
        loop {
            let leader = match send_proposal(&self.shared.actor, Arc::clone(&command)).await {
                Err(GroupError::NotLeader { leader }) => leader,
                outcome => return outcome,
            };
            let forwarded = match leader.and_then(|leader| self.address(&leader)) {
                Some(address) => self.forward(address, Arc::clone(&command)).await,
                None => Err(GroupError::NotLeader { leader: None }),
            };
            match forwarded {
                Err(GroupError::NotLeader { .. } | GroupError::NoQuorum) => {}
                outcome => return outcome,
            }
            self.pause_before_retry(deadline).await?;
        }
    }

    async fn forward(
        &self,
        address: SocketAddr,
        command: Arc<str>,
    ) -> Result<S::Reply, GroupError> {
        let group = self.shared.settings.group.clone();
        let call = self.shared.clients.call(address, FORWARD_TIMEOUT, async |client, context| {
            client.group_propose(context, group, command).await
        });
        match call.await {
            Ok(reply) => serde_json::from_str(&reply?).map_err(|_| GroupError::OutcomeUnknown),
            Err(PeerError::Unreachable(_)) => Err(GroupError::NotLeader { leader: None }),
            Err(PeerError::NoReply(_)) => Err(GroupError::OutcomeUnknown),
        }
    }

    /// Asks the leader, in this or another instance, for the last entry that a linearizable read
    /// must see.
    async fn fetch_read_index(&self) -> Result<LogIndex, GroupError> {
        let deadline = Instant::now() + LEADER_SEARCH_TIMEOUT;
        loop {
            let leader = match request_read_index(&self.shared.actor).await {
                Err(GroupError::NotLeader { leader }) => leader,
                outcome => return outcome,
            };
            if let Some(address) = leader.and_then(|leader| self.address(&leader)) {
                let group = self.shared.settings.group.clone();
                let clients = &self.shared.clients;
                let call = clients.call(address, FORWARD_TIMEOUT, async |client, context| {
                    client.group_read_index(context, group).await
                });
                if let Ok(Ok(index)) = call.await {
                    return Ok(index);
                }
            }
            self.pause_before_retry(deadline).await?;
        }
    }

    /// Pauses before the next attempt; fails with [`GroupError::NoQuorum`] after `deadline`.
    async fn pause_before_retry(&self, deadline: Instant) -> Result<(), GroupError> {
        if Instant::now() >= deadline {
            return Err(GroupError::NoQuorum);
        }
        sleep(LEADER_RETRY_INTERVAL).await;
        Ok(())
    }

    async fn wait_applied(&self, index: LogIndex) -> Result<(), GroupError> {
        let mut status = self.shared.status.clone();
        let applied = status.wait_for(|status| status.applied >= index);
        match timeout_at(Instant::now() + LEADER_SEARCH_TIMEOUT, applied).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) => Err(GroupError::Stopped),
            Err(_) => Err(GroupError::NoQuorum),
        }
    }

    fn address(&self, instance: &InstanceName) -> Option<SocketAddr> {
        find_address(&self.shared.addresses, instance)
    }
}

impl<S: ReplicatedState> ReplicatedGroup<S> for GroupHandle<S> {
    async fn propose(&self, command: S::Command) -> Result<S::Reply, GroupError> {
        let command = serde_json::to_string(&command).map_err(|_| GroupError::Stopped)?;
        self.propose_encoded(command.into()).await
    }

    async fn read<T: Send>(&self, query: impl FnOnce(&S) -> T + Send) -> Result<T, GroupError> {
        let index = self.fetch_read_index().await?;
        self.wait_applied(index).await?;
        Ok(self.read_local(query))
    }

    fn read_local<T>(&self, query: impl FnOnce(&S) -> T) -> T {
        query(&self.shared.state.read().unwrap_or_else(PoisonError::into_inner))
    }
}

impl<S: ReplicatedState> GroupShared<S> {
    fn stop(&self) {
        self.registry.remove(&self.settings.group);
        self.actor.stop(None);
    }
}

impl<S: ReplicatedState> Drop for GroupShared<S> {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Why a group is not refounded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefoundError {
    /// The caller did not accept that commands may be lost.
    LossNotAccepted,
    /// The instance runs no replica of the group.
    NoReplica,
    /// The replica refused.
    Replica(ReplicaError),
    /// The replica has stopped.
    Stopped,
}

impl fmt::Display for RefoundError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LossNotAccepted => formatter.write_str(
                "accepted changes that only lost replicas held would be lost; say that you accept",
            ),
            Self::NoReplica => formatter.write_str("no replica of this group runs here"),
            Self::Replica(error) => error.fmt(formatter),
            Self::Stopped => formatter.write_str("the replica has stopped"),
        }
    }
}

impl std::error::Error for RefoundError {}

type OpenedStorage =
    (Option<JournalWriter>, crate::replica_message::ReplicaIdentity, StoredReplica);

async fn open_storage(settings: &GroupSettings) -> Result<OpenedStorage, JournalError> {
    let Some(folder) = &settings.folder else {
        return Ok((None, create_identity(), StoredReplica::default()));
    };
    let folder = folder.join(settings.group.as_str());
    let deadline = Instant::now() + LOCK_TIMEOUT;
    loop {
        match JournalWriter::open(&folder) {
            Err(JournalError::Locked(_)) if Instant::now() < deadline => sleep(LOCK_INTERVAL).await,
            Err(error) => return Err(error),
            Ok(opened) => return Ok((Some(opened.writer), opened.identity, opened.stored)),
        }
    }
}
