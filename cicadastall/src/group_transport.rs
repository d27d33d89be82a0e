//! Transport of groups' messages between instances.

use crate::{
    group::RefoundError,
    group_actor::GroupStatus,
    name::{GroupName, InstanceName},
    peer::PeerClients,
    replica_message::{Epoch, LogIndex, ReplicaEnvelope},
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

/// Messages that wait for one receiver; further ones are dropped, as the network may do.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Calls under way to one receiver, so that a long round trip does not hold messages back.
const MAX_CONCURRENT_CALLS: usize = 8;

/// Most messages of one call.
const MAX_MESSAGES_PER_CALL: usize = 64;

/// Longest time to wait for the receipt of messages.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);

/// A replica of one group, whatever its state.
pub trait GroupEndpoint: Debug + Send + Sync {
    /// Takes messages in.
    fn deliver(&self, envelopes: Vec<ReplicaEnvelope>);

    /// Proposes an encoded command here and gives the encoded reply.
    fn propose_encoded(&self, command: Arc<str>) -> BoxFuture<'_, Result<Arc<str>, GroupError>>;

    /// Last entry that a linearizable read must see.
    fn read_index(&self) -> BoxFuture<'_, Result<LogIndex, GroupError>>;

    /// What the replica knows of its group.
    fn status(&self) -> GroupStatus;

    /// Hands leadership over, if the replica leads; returns once another leads, or after a while.
    fn transfer_leadership(&self) -> BoxFuture<'_, ()>;

    /// Founds the group anew with this replica as its only member; gives the new epoch.
    fn refound(&self, accept_loss: bool) -> BoxFuture<'_, Result<Epoch, RefoundError>>;
}

/// The replicas that run in one instance.
#[derive(Debug, Default)]
pub struct GroupRegistry {
    endpoints: Mutex<HashMap<GroupName, Arc<dyn GroupEndpoint>>>,
}

impl GroupRegistry {
    /// Lets other instances reach `endpoint`.
    pub fn register(&self, group: GroupName, endpoint: Arc<dyn GroupEndpoint>) {
        self.lock().insert(group, endpoint);
    }

    /// Cuts the replica of `group` off.
    pub fn remove(&self, group: &GroupName) {
        self.lock().remove(group);
    }

    /// Passes messages on, if the instance runs a replica of `group`.
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

    /// What each replica knows of its group, in the order of the groups' names.
    pub fn statuses(&self) -> BTreeMap<GroupName, GroupStatus> {
        let endpoints = self.lock();
        endpoints.iter().map(|(group, endpoint)| (group.clone(), endpoint.status())).collect()
    }

    /// Hands leadership of all groups over, before a planned stop.
    pub async fn transfer_leadership(&self) {
        let endpoints: Vec<_> = self.lock().values().cloned().collect();
        join_all(endpoints.iter().map(|endpoint| endpoint.transfer_leadership())).await;
    }

    /// Founds `group` anew with the instance's replica as its only member; see
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

/// Address of an instance: a listed one, or that after which a member of an open group is named.
pub(crate) fn find_address(
    listed: &HashMap<InstanceName, SocketAddr>,
    instance: &InstanceName,
) -> Option<SocketAddr> {
    listed.get(instance).copied().or_else(|| instance.as_str().parse().ok())
}

/// Queues of messages to the other members of one group.
#[derive(Debug)]
pub(crate) struct GroupSenders {
    group: GroupName,
    addresses: HashMap<InstanceName, SocketAddr>,
    clients: Arc<PeerClients>,
    queues: HashMap<InstanceName, mpsc::Sender<ReplicaEnvelope>>,
}

impl GroupSenders {
    /// Sends to the instances at `addresses`, and to those that are named by their address.
    pub(crate) fn new(
        group: GroupName,
        addresses: HashMap<InstanceName, SocketAddr>,
        clients: &Arc<PeerClients>,
    ) -> Self {
        Self { group, addresses, clients: Arc::clone(clients), queues: HashMap::new() }
    }

    /// Queues a message; the first one to a receiver starts its task, which ends when this value is
    /// dropped.
    pub(crate) fn send(&mut self, envelope: ReplicaEnvelope) {
        let instance = envelope.to.instance.clone();
        if !self.queues.contains_key(&instance) {
            let Some(address) = find_address(&self.addresses, &instance) else {
                return log::warn!("no address of group member {instance}");
            };
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let clients = Arc::clone(&self.clients);
            tokio::spawn(run_sender(self.group.clone(), address, clients, receiver));
            self.queues.insert(instance.clone(), sender);
        }
        if let Some(queue) = self.queues.get(&instance) {
            let _ = queue.try_send(envelope);
        }
    }
}

async fn run_sender(
    group: GroupName,
    address: SocketAddr,
    clients: Arc<PeerClients>,
    mut queue: mpsc::Receiver<ReplicaEnvelope>,
) {
    let mut calls = FuturesUnordered::new();
    loop {
        let mut envelopes = Vec::new();
        tokio::select! {
            // A call is started before the next is made, so that messages leave in order.
            biased;
            Some(()) = calls.next() => {}
            received = queue.recv_many(&mut envelopes, MAX_MESSAGES_PER_CALL),
                if calls.len() < MAX_CONCURRENT_CALLS =>
            {
                if received == 0 {
                    return;
                }
                calls.push(deliver_batch(&group, address, &clients, envelopes));
            }
        }
    }
}

async fn deliver_batch(
    group: &GroupName,
    address: SocketAddr,
    clients: &PeerClients,
    envelopes: Vec<ReplicaEnvelope>,
) {
    let call = clients.call(address, DELIVER_TIMEOUT, async |client, context| {
        client.group_deliver(context, group.clone(), envelopes).await
    });
    if let Err(error) = call.await {
        log::debug!("group messages to {address} are lost: {error}");
    }
}
