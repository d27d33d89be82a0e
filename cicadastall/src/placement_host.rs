//! Runs placement at one control instance: renews the lease, plans the placement and sends orders.

use crate::{
    group::{GroupHandle, GroupHost},
    http::HttpClient,
    lease::{LeaseKeeper, LeaseState},
    name::{PoolName, TeamName},
    node::NodeSettings,
    orders::{OrderError, send_order},
    placement::{PlacementOrder, PlacementPlanner},
    replicated::ReplicatedGroup,
    route::UPSTREAM_EXPIRY,
    settings::PoolService,
    settings_store::SettingsStore,
    table::{RoutingTable, UpstreamRecord},
};
use arc_swap::ArcSwap;
use futures::future::join_all;
use std::{collections::BTreeMap, io, sync::Arc, time::Duration};
use tokio::{
    runtime::Handle,
    time::{Instant, sleep},
};

/// Interval between two rounds; each round renews the lease.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Starts a replica of the region's placement lease on `control`.
pub(crate) async fn start_lease(
    groups: &GroupHost,
    control: &Handle,
) -> io::Result<GroupHandle<LeaseState>> {
    let groups = groups.clone();
    let started = async move { groups.start_placement(LeaseState::default()).await };
    let replica = control.spawn(started).await.map_err(io::Error::other)??;
    Ok(replica)
}

/// Dependencies of placement.
#[derive(Debug)]
pub struct PlacementHost {
    /// Settings of the process.
    pub node: Arc<NodeSettings>,
    /// Upstreams of the zone.
    pub table: Arc<ArcSwap<RoutingTable>>,
    /// Settings of the fleet.
    pub settings: Arc<SettingsStore>,
    /// HTTP client for orders; it must not reuse connections that are older than a lease.
    pub client: HttpClient,
}

impl PlacementHost {
    /// Renews the lease in `group` and sends orders while this instance holds it, until the task is
    /// dropped.
    pub async fn run<G: ReplicatedGroup<LeaseState>>(self, group: G) {
        let mut keeper = LeaseKeeper::new(self.node.instance.clone());
        let mut planners = BTreeMap::new();
        loop {
            let was_holder = keeper.held().is_some();
            if let Err(error) = keeper.renew_or_acquire(&group).await {
                log::debug!("placement lease not renewed: {error}");
            }
            if let Some(lease) = keeper.held() {
                if !was_holder {
                    log::info!(fence = lease.fence; "placement lease acquired");
                }
                let orders = self.decide(&mut planners, Instant::now());
                join_all(orders.iter().map(async |order| {
                    let sent = send_order(&self.client, lease, order).await;
                    log_order(order, lease.fence, sent.err());
                }))
                .await;
            }
            sleep(ROUND_INTERVAL).await;
        }
    }

    fn decide(
        &self,
        planners: &mut BTreeMap<(TeamName, PoolName), PlacementPlanner>,
        now: Instant,
    ) -> Vec<PlacementOrder> {
        let settings = self.settings.newest();
        let table = self.table.load();
        let mut orders = Vec::new();
        for (team, subtree) in &settings.tree.teams {
            for (name, pool) in &subtree.pools {
                let PoolService::ModelEngine { models } = &pool.serves else { continue };
                let upstreams = list_upstreams(&table, name, now);
                let planner = planners.entry((team.clone(), name.clone())).or_default();
                orders.extend(planner.decide(&upstreams, models, pool.min_upstreams, now));
            }
        }
        orders
    }
}

/// Lists the upstreams of `pool` whose announcement has not expired.
fn list_upstreams(table: &RoutingTable, pool: &PoolName, now: Instant) -> Vec<UpstreamRecord> {
    let fresh = |at: Instant| now.saturating_duration_since(at) < UPSTREAM_EXPIRY;
    let views = table.upstreams.values().filter(|view| view.record.pool == *pool);
    views.filter(|view| fresh(view.renewed_at)).map(|view| (*view.record).clone()).collect()
}

fn log_order(order: &PlacementOrder, fence: u64, error: Option<OrderError>) {
    let upstream = order.upstream.as_str();
    let model = order.model.as_ref().map_or("none", |model| model.as_str());
    match error {
        None => log::info!(upstream, model, fence; "order applied"),
        Some(error) => log::warn!(upstream, model, fence; "order failed: {error}"),
    }
}
