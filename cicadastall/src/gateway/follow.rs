//! Asks control instances for news of the fleet, again and again.

use crate::{
    gateway::news::{FleetNews, NewsQuery},
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

/// Time beyond the wait that a question asks for after which it has failed.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);

/// Pauses after the first and after many questions without an answer.
const FAILURE_PAUSES: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));

/// Shortest time between two questions to one instance.
const LEAST_PERIOD: Duration = Duration::from_millis(100);

/// Asks for news, and takes them.
pub trait NewsFollower: Send + Sync + 'static {
    /// The next question to the instance at `address`.
    fn ask(&self, address: SocketAddr) -> NewsQuery;

    /// Takes an answer of the instance at `address`.
    fn take(&self, address: SocketAddr, news: FleetNews);

    /// Notes that the instance at `address` does not answer, for the first time since it did.
    fn lose(&self, address: SocketAddr, error: &PeerError);
}

/// Tasks that ask, one for each control instance.
#[derive(Debug, Default)]
pub struct FollowTasks {
    tasks: HashMap<SocketAddr, JoinHandle<()>>,
}

impl FollowTasks {
    /// Asks exactly the instances at `addresses` from now on.
    pub fn set<F: NewsFollower>(
        &mut self,
        addresses: BTreeSet<SocketAddr>,
        follower: &Arc<F>,
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
                tokio::spawn(follow(address, Arc::clone(follower), Arc::clone(clients)))
            });
        }
    }
}

impl Drop for FollowTasks {
    fn drop(&mut self) {
        self.tasks.values().for_each(JoinHandle::abort);
    }
}

async fn follow<F: NewsFollower>(address: SocketAddr, follower: Arc<F>, clients: Arc<PeerClients>) {
    let mut failures = 0_u32;
    loop {
        let asked_at = Instant::now();
        match ask_once(address, &*follower, &clients).await {
            Ok(news) => {
                failures = 0;
                follower.take(address, news);
                sleep_rest(asked_at, LEAST_PERIOD).await;
            }
            Err(error) => {
                if failures == 0 {
                    follower.lose(address, &error);
                }
                let (first, last) = FAILURE_PAUSES;
                let pause = (first * 2_u32.pow(failures.min(4))).min(last);
                failures += 1;
                sleep(pause).await;
            }
        }
    }
}

fn ask_once<F: NewsFollower>(
    address: SocketAddr,
    follower: &F,
    clients: &PeerClients,
) -> impl Future<Output = Result<FleetNews, PeerError>> {
    let query = follower.ask(address);
    let bound = Duration::from_millis(u64::from(query.wait_ms)) + ANSWER_MARGIN;
    clients
        .call(address, bound, async move |client, context| client.fleet_news(context, query).await)
}

async fn sleep_rest(since: Instant, period: Duration) {
    let rest = period.saturating_sub(since.elapsed());
    if !rest.is_zero() {
        sleep(rest).await;
    }
}
