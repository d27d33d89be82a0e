//! Groups of replicas that communicate over loopback connections.

#![allow(dead_code)] // each test file uses a part of this module

#[path = "../reserved/mod.rs"]
pub mod reserved;

use cicadastall::{
    group::{GroupHandle, GroupSettings, GroupStartError},
    group_transport::GroupRegistry,
    instance::serve_groups,
    name::{GroupName, InstanceName},
    node::VoterSettings,
    peer::PeerClients,
    replica::{MemberAdmission, ReplicaTiming},
    replicated::{GroupError, ReplicatedGroup, ReplicatedState},
};
use reserved::ReservedAddress;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Longest time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Replicated list of strings; the reply to a command is the length of the list.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TextList(pub Vec<String>);

impl ReplicatedState for TextList {
    type Command = String;
    type Reply = usize;

    fn apply(&mut self, command: &String) -> usize {
        self.0.push(command.clone());
        self.0.len()
    }

    fn refounded(&mut self, _: u64) {
        self.0.push("refounded".into());
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn restore(snapshot: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(snapshot)
    }
}

/// A running replica and its server.
pub struct Member {
    pub handle: GroupHandle<TextList>,
    server: JoinHandle<()>,
}

impl Member {
    /// Stops the replica and closes its address.
    pub async fn stop(self) {
        self.handle.stop();
        self.server.abort();
        let _ = self.server.await;
    }
}

/// Addresses and folders of a group.
pub struct TestGroup {
    /// Members at the addresses that others call.
    pub voters: Vec<VoterSettings>,
    /// Addresses at which they listen.
    pub listen: Vec<SocketAddr>,
    /// Timing of all replicas.
    pub timing: ReplicaTiming,
    /// Number of founders of an open group; none if only the listed instances may be members.
    pub founders: Option<usize>,
    /// Whether an open group may be founded.
    pub founding: bool,
    folder: Option<PathBuf>,
    _reserved: Vec<ReservedAddress>,
}

impl Drop for TestGroup {
    fn drop(&mut self) {
        if let Some(folder) = &self.folder {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

impl TestGroup {
    /// A group of `size` replicas, which are durable if a folder is given; the folder is emptied.
    pub async fn new(size: usize, folder: Option<PathBuf>) -> Self {
        if let Some(folder) = &folder {
            let _ = std::fs::remove_dir_all(folder);
        }
        let reserved = ReservedAddress::group(size);
        let listen: Vec<_> = reserved.iter().map(|reserved| reserved.address).collect();
        let voter = |(index, address): (usize, &SocketAddr)| VoterSettings {
            instance: InstanceName::new(format!("control-{index}")),
            address: *address,
        };
        let voters = listen.iter().enumerate().map(voter).collect();
        let timing = ReplicaTiming::default();
        Self { voters, listen, timing, founders: None, founding: true, folder, _reserved: reserved }
    }

    /// An open group of which the first `founders` of `size` replicas are founders.
    pub async fn open(size: usize, founders: usize, folder: PathBuf) -> Self {
        let mut group = Self::new(size, Some(folder)).await;
        for voter in &mut group.voters {
            voter.instance = InstanceName::new(voter.address.to_string());
        }
        group.founders = Some(founders);
        group
    }

    /// Name of a replica of an open group: its address.
    pub fn open_name(&self, index: usize) -> InstanceName {
        InstanceName::new(self.listen[index].to_string())
    }

    fn admission(&self, index: usize) -> MemberAdmission {
        match self.founders {
            None => MemberAdmission::Listed,
            Some(founders) => MemberAdmission::Open {
                may_found: self.founding && index < founders,
                remove_after: Duration::from_secs(3),
                min_voters: 3,
            },
        }
    }

    pub fn folder(&self, index: usize) -> Option<PathBuf> {
        self.folder.as_ref().map(|folder| folder.join(index.to_string()))
    }

    /// Starts the replica of the given index.
    pub async fn start(&self, index: usize) -> Result<Member, GroupStartError> {
        let registry = Arc::new(GroupRegistry::default());
        let listener = bind(self.listen[index]).await;
        let server = tokio::spawn(serve_groups(listener, Arc::clone(&registry)));
        let settings = GroupSettings {
            group: GroupName::from("settings"),
            own: self.voters[index].instance.clone(),
            voters: self.voters[..self.founders.unwrap_or(self.voters.len())].to_vec(),
            admission: self.admission(index),
            folder: self.folder(index),
            timing: self.timing,
        };
        let clients = Arc::new(PeerClients::default());
        let handle = GroupHandle::start(settings, TextList::default(), clients, registry).await?;
        Ok(Member { handle, server })
    }
}

/// Binds an address, which the replica that used it before may still be releasing.
async fn bind(address: SocketAddr) -> TcpListener {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => assert!(Instant::now() < end, "{address}: {error}"),
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Proposes a command until it is accepted; the group may still be founded or electing a leader.
pub async fn propose(member: &Member, text: &str) -> usize {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        match member.handle.propose(text.to_owned()).await {
            Ok(length) => return length,
            Err(GroupError::NoQuorum | GroupError::NotLeader { .. }) => {}
            Err(error) => panic!("{error}"),
        }
        assert!(Instant::now() < end, "{text} is not accepted: {:?}", member.handle.status());
    }
}

/// Polls `met` until it holds; `what` describes the condition.
pub async fn wait_until(what: &str, met: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !met() {
        assert!(Instant::now() < end, "not met within {WAIT_TIMEOUT:?}: {what}");
        sleep(POLL_INTERVAL).await;
    }
}
