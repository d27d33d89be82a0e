//! Transport of group messages between instances.

use crate::{
    group::RefoundError,
    group_actor::GroupStatus,
    name::{GroupName, InstanceName},
    peer::PeerClients,
    replica_message::{Epoch, LogIndex, ReplicaEnvelope, ReplicaMessage},
    replicated::GroupError,
};
use futures::{
    StreamExt,
    future::{BoxFuture, join_all},
    stream::FuturesUnordered,
};
use std::{
    collections::{BTreeMap, HashMap},
    fmt::Debug,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::mpsc;

/// Maximum number of messages queued for one receiver; further ones are dropped, which the
/// replication core tolerates like loss in the network.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Maximum number of concurrent calls to one receiver; more than one keeps a long round trip from
/// delaying further messages.
const MAX_CONCURRENT_CALLS: usize = 8;

/// Maximum number of messages in one call.
const MAX_MESSAGES_PER_CALL: usize = 64;

/// Maximum time to wait for the reply to one call.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to wait for the reply to a call with large messages.
const BULK_DELIVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Replica of a group, independent of the type of its state.
pub trait GroupEndpoint: Debug + Send + Sync {
    /// Passes messages to the replica.
    fn deliver(&self, envelopes: Vec<ReplicaEnvelope>);

    /// Proposes an encoded command to this replica and returns the encoded reply.
    fn propose_encoded(&self, command: Arc<str>) -> BoxFuture<'_, Result<Arc<str>, GroupError>>;

    /// Returns the last entry that a linearizable read must see, if this replica leads.
    fn read_index(&self) -> BoxFuture<'_, Result<LogIndex, GroupError>>;

    /// Last published status of the replica.
    fn status(&self) -> GroupStatus;

    /// Transfers leadership, if the replica leads; returns once another replica leads, or after a
    /// timeout.
    fn transfer_leadership(&self) -> BoxFuture<'_, ()>;

    /// Refounds the group with this replica as the only member; returns the new epoch.
    fn refound(&self, accept_loss: bool) -> BoxFuture<'_, Result<Epoch, RefoundError>>;
}

/// The replicas that run in one instance.
#[derive(Debug, Default)]
pub struct GroupRegistry {
    endpoints: Mutex<HashMap<GroupName, Arc<dyn GroupEndpoint>>>,
}

impl GroupRegistry {
    /// Adds `endpoint`, so that other instances can reach it.
    pub fn register(&self, group: GroupName, endpoint: Arc<dyn GroupEndpoint>) {
        self.lock().insert(group, endpoint);
    }

    /// Removes the replica of `group`.
    pub fn remove(&self, group: &GroupName) {
        self.lock().remove(group);
    }

    /// Delivers messages to the replica of `group`, if the instance runs one.
    pub fn deliver(&self, group: &GroupName, envelopes: Vec<ReplicaEnvelope>) {
        if let Some(endpoint) = self.find(group) {
            endpoint.deliver(envelopes);
        }
    }

    /// Proposes an encoded command to the replica of `group`.
    pub async fn propose(
        &self,
        group: &GroupName,
        command: Arc<str>,
    ) -> Result<Arc<str>, GroupError> {
        let endpoint = self.find(group).ok_or(GroupError::NotLeader { leader: None })?;
        endpoint.propose_encoded(command).await
    }

    /// Asks the replica of `group` for the last entry that a linearizable read must see.
    pub async fn read_index(&self, group: &GroupName) -> Result<LogIndex, GroupError> {
        let endpoint = self.find(group).ok_or(GroupError::NotLeader { leader: None })?;
        endpoint.read_index().await
    }

    /// Status of each replica, by the name of its group.
    pub fn statuses(&self) -> BTreeMap<GroupName, GroupStatus> {
        let endpoints = self.lock();
        endpoints.iter().map(|(group, endpoint)| (group.clone(), endpoint.status())).collect()
    }

    /// Transfers the leadership of all groups, before a planned stop.
    pub async fn transfer_leadership(&self) {
        let endpoints: Vec<_> = self.lock().values().cloned().collect();
        join_all(endpoints.iter().map(|endpoint| endpoint.transfer_leadership())).await;
    }

    /// Refounds `group` with the instance's replica as the only member; see
    /// [`crate::group::GroupHandle::refound`].
    pub async fn refound(
        &self,
        group: &GroupName,
        accept_loss: bool,
    ) -> Result<Epoch, RefoundError> {
        let endpoint = self.find(group).ok_or(RefoundError::NoReplica)?;
        endpoint.refound(accept_loss).await
    }

    fn find(&self, group: &GroupName) -> Option<Arc<dyn GroupEndpoint>> {
        self.lock().get(group).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupName, Arc<dyn GroupEndpoint>>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Address of an instance: its listed one, or its name if that is an address, as in open groups.
pub(crate) fn find_address(
    listed: &HashMap<InstanceName, SocketAddr>,
    instance: &InstanceName,
) -> Option<SocketAddr> {
    listed.get(instance).copied().or_else(|| instance.as_str().parse().ok())
}

/// Send queues to the other members of one group.
#[derive(Debug)]
pub(crate) struct GroupSenders {
    group: GroupName,
    addresses: HashMap<InstanceName, SocketAddr>,
    clients: Arc<PeerClients>,
    bulk_clients: Arc<PeerClients>,
    queues: HashMap<(InstanceName, MessageClass), mpsc::Sender<ReplicaEnvelope>>,
}

/// Messages that share a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum MessageClass {
    Urgent,
    Bulk,
}

impl MessageClass {
    /// Large messages travel apart, so that heartbeats and votes do not wait behind them.
    fn of(message: &ReplicaMessage) -> Self {
        match message.is_bulk() {
            true => Self::Bulk,
            false => Self::Urgent,
        }
    }

    fn deliver_timeout(self) -> Duration {
        match self {
            Self::Urgent => DELIVER_TIMEOUT,
            Self::Bulk => BULK_DELIVER_TIMEOUT,
        }
    }
}

impl GroupSenders {
    /// Creates senders for the instances at `addresses` and for those named by their address.
    pub(crate) fn new(
        group: GroupName,
        addresses: HashMap<InstanceName, SocketAddr>,
        clients: &Arc<PeerClients>,
    ) -> Self {
        let bulk_clients = Arc::new(clients.separate());
        let clients = Arc::clone(clients);
        Self { group, addresses, clients, bulk_clients, queues: HashMap::new() }
    }

    /// Queues a message, or drops it if the queue is full.
    ///
    /// The first message of a class to a receiver starts a sender task, which ends when this value is
    /// dropped.
    pub(crate) fn send(&mut self, envelope: ReplicaEnvelope) {
        let instance = envelope.to.instance.clone();
        let class = MessageClass::of(&envelope.message);
        let key = (instance.clone(), class);
        if !self.queues.contains_key(&key) {
            let Some(address) = find_address(&self.addresses, &instance) else {
                return log::warn!("no address is known for group member {instance}");
            };
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let clients = match class {
                MessageClass::Urgent => Arc::clone(&self.clients),
                MessageClass::Bulk => Arc::clone(&self.bulk_clients),
            };
            let limit = class.deliver_timeout();
            tokio::spawn(run_sender(self.group.clone(), address, clients, limit, receiver));
            self.queues.insert(key.clone(), sender);
        }
        if let Some(queue) = self.queues.get(&key) {
            let _ = queue.try_send(envelope);
        }
    }
}

async fn run_sender(
    group: GroupName,
    address: SocketAddr,
    clients: Arc<PeerClients>,
    limit: Duration,
    mut queue: mpsc::Receiver<ReplicaEnvelope>,
) {
    let mut calls = FuturesUnordered::new();
    loop {
        let mut envelopes = Vec::new();
        tokio::select! {
            // Calls are polled first, so that each one is sent before the next and messages leave
            // in order.
            biased;
            Some(()) = calls.next() => {}
            received = queue.recv_many(&mut envelopes, MAX_MESSAGES_PER_CALL),
                if calls.len() < MAX_CONCURRENT_CALLS =>
            {
                if received == 0 {
                    return;
                }
                calls.push(deliver_batch(&group, address, &clients, limit, envelopes));
            }
        }
    }
}

async fn deliver_batch(
    group: &GroupName,
    address: SocketAddr,
    clients: &PeerClients,
    limit: Duration,
    envelopes: Vec<ReplicaEnvelope>,
) {
    let call = clients.call_within(address, DELIVER_TIMEOUT, limit, async |client, context| {
        client.group_deliver(context, group.clone(), envelopes).await
    });
    if let Err(error) = call.await {
        log::debug!("group messages to {address} were not delivered: {error}");
    }
}
