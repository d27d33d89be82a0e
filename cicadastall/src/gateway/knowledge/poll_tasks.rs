//! Long polling of control instances for changes of the fleet.

use crate::{
    clock::BootInstant,
    gateway::knowledge::fleet_update::{FleetQuery, FleetUpdate},
    peer::{PeerClients, PeerError},
};
use std::{
    collections::{BTreeSet, HashMap},
    future::Future,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Time allowed for a response in addition to the wait that the query asks for.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1_500);

/// Initial and maximum delay before a retry; the delay doubles with each failure.
const RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));

/// Minimum time between the starts of two polls of one instance.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Builds queries for control instances, and receives their updates.
pub trait FleetSubscriber: Send + Sync + 'static {
    /// Builds the next query for the instance at `address`.
    fn next_query(&self, address: SocketAddr) -> FleetQuery;

    /// Processes an update from the instance at `address`, whose query was built after `asked_at`.
    fn accept_update(&self, address: SocketAddr, update: FleetUpdate, asked_at: BootInstant);

    /// Handles the first failure to reach the instance at `address` since its last response.
    fn report_error(&self, address: SocketAddr, error: &PeerError);
}

/// Polling tasks, one for each control instance; aborted on drop.
#[derive(Debug, Default)]
pub struct PollTasks {
    tasks: HashMap<SocketAddr, JoinHandle<()>>,
}

impl PollTasks {
    /// Starts and aborts tasks so that exactly the instances at `addresses` are polled.
    pub fn set<F: FleetSubscriber>(
        &mut self,
        addresses: BTreeSet<SocketAddr>,
        subscriber: &Arc<F>,
        clients: &Arc<PeerClients>,
    ) {
        self.tasks.retain(|address, task| {
            let kept = addresses.contains(address);
            if !kept {
                task.abort();
            }
            kept
        });
        for address in addresses {
            self.tasks.entry(address).or_insert_with(|| {
                tokio::spawn(poll(address, Arc::clone(subscriber), Arc::clone(clients)))
            });
        }
    }
}

impl Drop for PollTasks {
    fn drop(&mut self) {
        self.tasks.values().for_each(JoinHandle::abort);
    }
}

async fn poll<F: FleetSubscriber>(
    address: SocketAddr,
    subscriber: Arc<F>,
    clients: Arc<PeerClients>,
) {
    let mut failures = 0_u32;
    loop {
        let started_at = Instant::now();
        let asked_at = BootInstant::now();
        match query_once(address, &*subscriber, &clients).await {
            Ok(update) => {
                failures = 0;
                subscriber.accept_update(address, update, asked_at);
                sleep_remainder(started_at, MIN_POLL_INTERVAL).await;
            }
            Err(error) => {
                if failures == 0 {
                    subscriber.report_error(address, &error);
                }
                let (first, last) = RETRY_DELAYS;
                let delay = (first * 2_u32.pow(failures.min(4))).min(last);
                failures += 1;
                sleep(delay).await;
            }
        }
    }
}

fn query_once<F: FleetSubscriber>(
    address: SocketAddr,
    subscriber: &F,
    clients: &PeerClients,
) -> impl Future<Output = Result<FleetUpdate, PeerError>> {
    let query = subscriber.next_query(address);
    let limit = Duration::from_millis(u64::from(query.wait_ms)) + RESPONSE_MARGIN;
    clients
        .call(address, limit, async move |client, context| client.fleet_news(context, query).await)
}

async fn sleep_remainder(since: Instant, period: Duration) {
    let remainder = period.saturating_sub(since.elapsed());
    if !remainder.is_zero() {
        sleep(remainder).await;
    }
}
