//! Sends the records of an [`OriginStore`] to other instances.

use crate::{
    gateway::knowledge::origin_table::OriginStore,
    peer::{PeerClients, PeerError},
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Time limit for sending one batch.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay after a failure before the next attempt at the same instance.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How records are sent to one receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SendMode {
    /// Delay from a record until a batch with it is sent.
    pub(crate) delay: Duration,
    /// Whether the sender is a control instance.
    pub(crate) forwarded: bool,
    /// Whether a new process gets the records that came from control instances, too.
    pub(crate) complete: bool,
}

/// Sending tasks, one for each receiver; aborted on drop.
#[derive(Debug, Default)]
pub(crate) struct SendTasks {
    tasks: HashMap<SocketAddr, (SendMode, JoinHandle<()>)>,
}

impl SendTasks {
    /// Starts and aborts tasks so that exactly `receivers` get the records of `store`.
    pub(crate) fn set(
        &mut self,
        receivers: &BTreeMap<SocketAddr, SendMode>,
        store: &Arc<OriginStore>,
        clients: &Arc<PeerClients>,
    ) {
        self.tasks.retain(|address, (mode, task)| {
            let kept = receivers.get(address) == Some(mode);
            if !kept {
                task.abort();
            }
            kept
        });
        for (address, mode) in receivers {
            self.tasks.entry(*address).or_insert_with(|| {
                let (store, clients) = (Arc::clone(store), Arc::clone(clients));
                (*mode, tokio::spawn(send_records(*address, *mode, store, clients)))
            });
        }
    }
}

impl Drop for SendTasks {
    fn drop(&mut self) {
        self.tasks.values().for_each(|(_, task)| task.abort());
    }
}

async fn send_records(
    address: SocketAddr,
    mode: SendMode,
    store: Arc<OriginStore>,
    clients: Arc<PeerClients>,
) {
    loop {
        store.wait_next(address).await;
        sleep(mode.delay).await;
        let next = store.table().next_batch(address, mode.complete, Instant::now());
        let Some((mut batch, change)) = next else { continue };
        batch.forwarded = mode.forwarded;
        let records = batch.len();
        let call = clients.call(address, SEND_TIMEOUT, async move |client, context| {
            client.record_origins(context, batch).await
        });
        let unsupported = || PeerError::NoReply("not a control instance".to_owned());
        match call.await.and_then(|process| process.ok_or_else(unsupported)) {
            Ok(process) => store.table().confirm(address, process, change),
            Err(error) => {
                if store.table().note_failure(address, Instant::now()) {
                    log::warn!(
                        control = address.to_string(), records;
                        "origins of streams not sent: {error}"
                    );
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
