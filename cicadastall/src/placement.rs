//! Pure decision which upstreams serve which model, and which are parked.

use crate::{
    name::{ModelName, UpstreamName},
    table::{UpstreamRecord, UpstreamState},
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Share of an upstream's slots that measured demand may fill in the mean.
const TARGET_USE: f64 = 0.75;

/// Time for which fewer upstreams must suffice before one is parked.
const SHRINK_AFTER: Duration = Duration::from_secs(600);

/// Upstreams beyond the demand: one for a lost upstream, whose place urgent work needs at once.
const SPARE_UPSTREAMS: u32 = 1;

/// Loads that the weight store serves at the same time without slowing each other.
pub const CONCURRENT_LOADS: usize = 2;

/// Wanted state of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Model to serve, or none to be parked.
    pub model: Option<ModelName>,
}

/// Decides for one pool of model engines, whose members load one model each.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    surplus_since: BTreeMap<ModelName, Instant>,
}

/// Upstreams of one model.
#[derive(Debug, Default)]
struct ModelUse<'a> {
    serving: Vec<&'a UpstreamRecord>,
    loading: u32,
    demand: f64,
}

impl PlacementPlanner {
    /// Orders that are due for `models`, of each of which `minimum` upstreams stay loaded.
    ///
    /// Demand is measured as the requests that run and wait, in slots of one upstream.
    pub fn decide(
        &mut self,
        upstreams: &[UpstreamRecord],
        models: &[ModelName],
        minimum: u32,
        now: Instant,
    ) -> Vec<PlacementOrder> {
        let uses = measure_uses(upstreams, models);
        let loading = upstreams.iter().filter(|one| one.state == UpstreamState::Loading).count();
        let mut parked: Vec<_> =
            upstreams.iter().filter(|one| one.state == UpstreamState::Parked).collect();
        let mut loads = CONCURRENT_LOADS.saturating_sub(loading);
        let mut orders = Vec::new();
        let mut missing = list_missing(&uses, minimum);
        while let Some(model) = missing.pop().filter(|_| loads > 0) {
            let Some(upstream) = parked.pop().or_else(|| find_donor(&uses, &orders, minimum))
            else {
                break;
            };
            orders.push(make_order(upstream, Some(model)));
            loads -= 1;
        }
        orders.extend(self.park_surplus(&uses, &orders, minimum, now));
        orders
    }

    /// Parks one upstream of each model that has had too many for long enough.
    fn park_surplus(
        &mut self,
        uses: &BTreeMap<ModelName, ModelUse<'_>>,
        orders: &[PlacementOrder],
        minimum: u32,
        now: Instant,
    ) -> Vec<PlacementOrder> {
        let mut parked = Vec::new();
        for (model, one) in uses {
            if one.serving.len() as u32 <= want_upstreams(one, minimum) {
                self.surplus_since.remove(model);
                continue;
            }
            let since = *self.surplus_since.entry(model.clone()).or_insert(now);
            if now.duration_since(since) < SHRINK_AFTER {
                continue;
            }
            let idle = one.serving.iter().filter(|upstream| !is_ordered(orders, upstream));
            if let Some(upstream) = idle.min_by_key(|upstream| upstream.load.running) {
                parked.push(make_order(upstream, None));
                self.surplus_since.insert(model.clone(), now - SHRINK_AFTER / 2);
            }
        }
        parked
    }
}

fn measure_uses<'a>(
    upstreams: &'a [UpstreamRecord],
    models: &[ModelName],
) -> BTreeMap<ModelName, ModelUse<'a>> {
    let mut uses: BTreeMap<ModelName, ModelUse<'_>> =
        models.iter().map(|model| (model.clone(), ModelUse::default())).collect();
    for upstream in upstreams {
        let Some(one) = upstream.models.first().and_then(|model| uses.get_mut(model)) else {
            continue;
        };
        match upstream.state {
            UpstreamState::Serving => {
                let slots = f64::from(upstream.rates.max_running.max(1));
                one.demand += f64::from(upstream.load.running + upstream.load.queued) / slots;
                one.serving.push(upstream);
            }
            UpstreamState::Loading => one.loading += 1,
            UpstreamState::Leaving | UpstreamState::Parked => {}
        }
    }
    uses
}

/// Upstreams that the model needs, the spare one included.
fn want_upstreams(one: &ModelUse<'_>, minimum: u32) -> u32 {
    let needed = (one.demand / TARGET_USE).ceil() as u32;
    (needed + SPARE_UPSTREAMS).max(minimum)
}

/// Models that lack upstreams, once for each; the one that lacks most relative to its need last.
fn list_missing(uses: &BTreeMap<ModelName, ModelUse<'_>>, minimum: u32) -> Vec<ModelName> {
    let mut missing = Vec::new();
    for (model, one) in uses {
        let wanted = want_upstreams(one, minimum);
        let have = one.serving.len() as u32 + one.loading;
        for rank in have..wanted {
            missing.push((f64::from(rank) / f64::from(wanted), model.clone()));
        }
    }
    missing.sort_by(|a, b| b.0.total_cmp(&a.0));
    missing.into_iter().map(|(_, model)| model).collect()
}

/// An upstream of a model with more than it wants, so that at least one stays.
fn find_donor<'a>(
    uses: &BTreeMap<ModelName, ModelUse<'a>>,
    orders: &[PlacementOrder],
    minimum: u32,
) -> Option<&'a UpstreamRecord> {
    uses.values().find_map(|one| {
        let free: Vec<_> =
            one.serving.iter().filter(|upstream| !is_ordered(orders, upstream)).collect();
        let keep = want_upstreams(one, minimum).max(1);
        let donor = free.iter().min_by_key(|upstream| upstream.load.running)?;
        (free.len() as u32 > keep).then_some(**donor)
    })
}

fn is_ordered(orders: &[PlacementOrder], upstream: &UpstreamRecord) -> bool {
    orders.iter().any(|order| order.upstream == upstream.name)
}

fn make_order(upstream: &UpstreamRecord, model: Option<ModelName>) -> PlacementOrder {
    PlacementOrder { upstream: upstream.name.clone(), address: upstream.address, model }
}
