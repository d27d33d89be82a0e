//! Keeps the settings of one instance up to date from its region's control instances and its peers.

use crate::{
    node::NodeSettings,
    peer::PeerClients,
    settings::{Revision, SettingsSnapshot},
    table::RoutingTable,
};
use arc_swap::ArcSwap;
use rand::seq::IndexedRandom;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Time between two questions for newer settings.
const FOLLOW_PERIOD: Duration = Duration::from_millis(250);

/// Longest time to wait for settings.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);

/// Newest settings of one instance, which never go back to an older revision.
#[derive(Debug)]
pub struct SettingsHolder {
    newest: ArcSwap<SettingsSnapshot>,
}

impl Default for SettingsHolder {
    fn default() -> Self {
        let empty = SettingsSnapshot::default();
        Self { newest: ArcSwap::from_pointee(empty) }
    }
}

impl SettingsHolder {
    /// The newest settings.
    pub fn newest(&self) -> Arc<SettingsSnapshot> {
        self.newest.load_full()
    }

    /// Whether any settings have arrived.
    pub fn is_ready(&self) -> bool {
        self.newest.load().revision > Revision(0)
    }

    /// The newest settings, or none if they are not newer than `revision`.
    pub fn newer_than(&self, revision: Revision) -> Option<Arc<SettingsSnapshot>> {
        let newest = self.newest();
        (newest.revision > revision).then_some(newest)
    }

    /// Takes `snapshot` if it is newer; returns whether it was.
    pub fn accept(&self, snapshot: Arc<SettingsSnapshot>) -> bool {
        let previous = self.newest.rcu(|current| {
            let newer = snapshot.revision > current.revision;
            Arc::clone(if newer { &snapshot } else { current })
        });
        snapshot.revision > previous.revision
    }
}

/// Asks control instances and peers for newer settings, until its task is dropped.
pub async fn follow_settings(
    node: Arc<NodeSettings>,
    holder: Arc<SettingsHolder>,
    clients: Arc<PeerClients>,
    table: Arc<ArcSwap<RoutingTable>>,
) {
    loop {
        for address in choose_sources(&node, &table) {
            let revision = holder.newest().revision;
            let call = clients.call(address, FOLLOW_TIMEOUT, async |client, context| {
                client.settings_after(context, revision).await
            });
            if let Ok(Some(snapshot)) = call.await {
                let revision = snapshot.revision.0;
                if holder.accept(snapshot) {
                    log::info!(revision; "settings in force");
                }
            }
        }
        sleep(FOLLOW_PERIOD).await;
    }
}

fn choose_sources(node: &NodeSettings, table: &ArcSwap<RoutingTable>) -> Vec<SocketAddr> {
    let peers: Vec<_> = table.load().entries.values().map(|record| record.peer_address).collect();
    let mut sources = node.control.clone();
    sources.extend(peers.choose(&mut rand::rng()));
    sources
}
