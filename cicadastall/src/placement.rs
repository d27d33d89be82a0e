//! Decides which model each upstream serves and which upstreams are parked, without I/O.

use crate::{
    name::{ModelName, UpstreamName},
    table::{UpstreamRecord, UpstreamState},
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Target mean utilization of an upstream's slots, as a fraction.
const TARGET_UTILIZATION: f64 = 0.75;

/// Time for which a model must have surplus upstreams before one is parked.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(600);

/// Upstreams of each model beyond its demand; one, since urgent requests need a replacement for a
/// lost upstream at once.
const SPARE_UPSTREAMS: u32 = 1;

/// Maximum number of concurrent model loads; the weight store serves this many without slowing
/// any of them.
pub const MAX_CONCURRENT_LOADS: usize = 2;

/// Desired state of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Model to serve, or `None` to park the upstream.
    pub model: Option<ModelName>,
}

/// Plans the placement of one pool of model engines, each of which loads one model.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    surplus_since: BTreeMap<ModelName, Instant>,
}

/// Upstreams of one model and its demand, as a number of fully used upstreams.
#[derive(Debug, Default)]
struct ModelUsage<'a> {
    serving: Vec<&'a UpstreamRecord>,
    loading: u32,
    demand: f64,
}

impl PlacementPlanner {
    /// Returns the orders that are currently required; each of `models` keeps at least `minimum`
    /// upstreams loaded.
    ///
    /// Demand is the number of running and queued requests, relative to the slots of one upstream.
    pub fn decide(
        &mut self,
        upstreams: &[UpstreamRecord],
        models: &[ModelName],
        minimum: u32,
        now: Instant,
    ) -> Vec<PlacementOrder> {
        let usages = measure_usage(upstreams, models);
        let loading =
            upstreams.iter().filter(|upstream| upstream.state == UpstreamState::Loading).count();
        let mut parked: Vec<_> =
            upstreams.iter().filter(|upstream| upstream.state == UpstreamState::Parked).collect();
        let mut available_loads = MAX_CONCURRENT_LOADS.saturating_sub(loading);
        let mut orders = Vec::new();
        let mut deficits = list_deficits(&usages, minimum);
        while let Some(model) = deficits.pop().filter(|_| available_loads > 0) {
            let Some(upstream) = parked.pop().or_else(|| find_surplus(&usages, &orders, minimum))
            else {
                break;
            };
            orders.push(make_order(upstream, Some(model)));
            available_loads -= 1;
        }
        orders.extend(self.park_surplus(&usages, &orders, minimum, now));
        orders
    }

    /// Parks one upstream of each model that has had a surplus for [`SCALE_DOWN_DELAY`].
    fn park_surplus(
        &mut self,
        usages: &BTreeMap<ModelName, ModelUsage<'_>>,
        orders: &[PlacementOrder],
        minimum: u32,
        now: Instant,
    ) -> Vec<PlacementOrder> {
        let mut parked = Vec::new();
        for (model, usage) in usages {
            if usage.serving.len() as u32 <= required_upstreams(usage, minimum) {
                self.surplus_since.remove(model);
                continue;
            }
            let since = *self.surplus_since.entry(model.clone()).or_insert(now);
            if now.duration_since(since) < SCALE_DOWN_DELAY {
                continue;
            }
            let idle = usage.serving.iter().filter(|upstream| !is_ordered(orders, upstream));
            if let Some(upstream) = idle.min_by_key(|upstream| upstream.load.running) {
                parked.push(make_order(upstream, None));
                self.surplus_since.insert(model.clone(), now - SCALE_DOWN_DELAY / 2);
            }
        }
        parked
    }
}

fn measure_usage<'a>(
    upstreams: &'a [UpstreamRecord],
    models: &[ModelName],
) -> BTreeMap<ModelName, ModelUsage<'a>> {
    let mut usages: BTreeMap<ModelName, ModelUsage<'_>> =
        models.iter().map(|model| (model.clone(), ModelUsage::default())).collect();
    for upstream in upstreams {
        let Some(usage) = upstream.models.first().and_then(|model| usages.get_mut(model)) else {
            continue;
        };
        match upstream.state {
            UpstreamState::Serving => {
                let slots = f64::from(upstream.rates.max_running.max(1));
                let requests = upstream.load.running.saturating_add(upstream.load.queued);
                usage.demand += f64::from(requests) / slots;
                usage.serving.push(upstream);
            }
            UpstreamState::Loading => usage.loading += 1,
            UpstreamState::Leaving | UpstreamState::Parked => {}
        }
    }
    usages
}

/// Number of upstreams that the model requires, including the spare one.
fn required_upstreams(usage: &ModelUsage<'_>, minimum: u32) -> u32 {
    let needed = (usage.demand / TARGET_UTILIZATION).ceil() as u32;
    needed.saturating_add(SPARE_UPSTREAMS).max(minimum)
}

/// Lists each model once for every upstream that it lacks, at most as often as one decision can load
/// it; the largest relative deficit is last.
fn list_deficits(usages: &BTreeMap<ModelName, ModelUsage<'_>>, minimum: u32) -> Vec<ModelName> {
    let mut deficits = Vec::new();
    for (model, usage) in usages {
        let wanted = required_upstreams(usage, minimum);
        let present = usage.serving.len() as u32 + usage.loading;
        for index in (present..wanted).take(MAX_CONCURRENT_LOADS) {
            deficits.push((f64::from(index) / f64::from(wanted), model.clone()));
        }
    }
    deficits.sort_by(|a, b| b.0.total_cmp(&a.0));
    deficits.into_iter().map(|(_, model)| model).collect()
}

/// Finds the least loaded upstream of a model with a surplus; a model keeps at least one upstream.
fn find_surplus<'a>(
    usages: &BTreeMap<ModelName, ModelUsage<'a>>,
    orders: &[PlacementOrder],
    minimum: u32,
) -> Option<&'a UpstreamRecord> {
    usages.values().find_map(|usage| {
        let available: Vec<_> =
            usage.serving.iter().filter(|upstream| !is_ordered(orders, upstream)).collect();
        let retained = required_upstreams(usage, minimum).max(1);
        let candidate = available.iter().min_by_key(|upstream| upstream.load.running)?;
        (available.len() as u32 > retained).then_some(**candidate)
    })
}

fn is_ordered(orders: &[PlacementOrder], upstream: &UpstreamRecord) -> bool {
    orders.iter().any(|order| order.upstream == upstream.name)
}

fn make_order(upstream: &UpstreamRecord, model: Option<ModelName>) -> PlacementOrder {
    PlacementOrder { upstream: upstream.name.clone(), address: upstream.address, model }
}
