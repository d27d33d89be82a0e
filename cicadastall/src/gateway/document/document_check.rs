//! Validation of a route document. All faults are reported together, each with its JSON path.

use crate::{
    fault::{FaultKind, SettingsFault},
    gateway::document::routes::{KeyDigest, PoolRule, RouteDocument, RouteRule, WorkspaceRule},
    name::{PoolName, RegionName},
};
use std::{
    collections::{BTreeSet, HashMap, HashSet},
    fmt::Display,
    sync::Arc,
};

/// All faults of `document`; empty if it is valid.
pub fn check_document(document: &RouteDocument) -> Vec<SettingsFault> {
    let mut faults = Vec::new();
    let mut pools = HashSet::new();
    for (index, pool) in document.pools.iter().enumerate() {
        check_pool(&format!("$.pools[{index}]"), pool, &mut pools, &mut faults);
    }
    let mut known_prefixes = HashMap::new();
    for (index, route) in document.routes.iter().enumerate() {
        let path = format!("$.routes[{index}]");
        check_route(&path, route, &pools, &mut faults);
        let prefix_key = (route.host.to_ascii_lowercase(), Arc::clone(&route.prefix));
        if let Some(other) = known_prefixes.insert(prefix_key, Arc::clone(&route.name)) {
            let found = format!("the host and prefix of route {other}");
            let allowed = "one route for each host and prefix";
            faults.push(fault(format!("{path}.prefix"), FaultKind::NotUnique, found, allowed));
        }
    }
    faults
}

/// All faults of the workspaces of `document`, whose homes and those of its routes must be among
/// `regions`. Empty if it has no workspaces. Faults name the place of a key, and never the key.
pub fn check_workspaces(
    document: &RouteDocument,
    regions: &BTreeSet<&RegionName>,
) -> Vec<SettingsFault> {
    let mut faults = Vec::new();
    if document.workspaces.is_empty() {
        return faults;
    }
    for (index, route) in document.routes.iter().enumerate() {
        check_homes(&format!("$.routes[{index}]"), &route.homes, regions, &mut faults);
    }
    let mut names = HashSet::new();
    let mut holders: HashMap<KeyDigest, usize> = HashMap::new();
    for (index, workspace) in document.workspaces.iter().enumerate() {
        let path = format!("$.workspaces[{index}]");
        if !names.insert(&workspace.name) {
            let allowed = "one workspace for each name";
            let path = format!("{path}.name");
            faults.push(fault(path, FaultKind::NotUnique, &workspace.name, allowed));
        }
        for (place, key) in workspace.keys.iter().enumerate() {
            let holder = *holders.entry(*key).or_insert(index);
            if holder != index {
                let found = format!("a key of workspace {}", document.workspaces[holder].name);
                let path = format!("{path}.keys[{place}]");
                faults.push(fault(path, FaultKind::NotUnique, found, "one workspace for each key"));
            }
        }
        check_homes(&path, &workspace.homes, regions, &mut faults);
        check_quota(&path, workspace, &mut faults);
    }
    faults
}

fn check_homes(
    path: &str,
    homes: &[RegionName],
    regions: &BTreeSet<&RegionName>,
    faults: &mut Vec<SettingsFault>,
) {
    for (index, home) in homes.iter().enumerate() {
        if !regions.contains(home) {
            let path = format!("{path}.homes[{index}]");
            faults.push(fault(path, FaultKind::UnknownReference, home, "a region of the fleet"));
        }
    }
}

fn check_quota(path: &str, workspace: &WorkspaceRule, faults: &mut Vec<SettingsFault>) {
    let Some(quota) = workspace.quota else { return };
    for (name, value) in [("per_s", quota.per_s), ("burst", quota.burst)] {
        if !value.is_finite() || value < 0.0 {
            let path = format!("{path}.quota.{name}");
            faults.push(fault(path, FaultKind::OutOfRange, value, "a number from 0"));
        }
    }
}

fn check_pool(
    path: &str,
    pool: &PoolRule,
    names: &mut HashSet<PoolName>,
    faults: &mut Vec<SettingsFault>,
) {
    if !names.insert(pool.name.clone()) {
        let path = format!("{path}.name");
        faults.push(fault(path, FaultKind::NotUnique, &pool.name, "one pool for each name"));
    }
    let Some(warmup) = pool.warmup else { return };
    for (name, value) in [("seconds", warmup.seconds), ("per_s", warmup.per_s)] {
        if !value.is_finite() || value < 0.0 {
            let path = format!("{path}.warmup.{name}");
            faults.push(fault(path, FaultKind::OutOfRange, value, "a number from 0"));
        }
    }
}

fn check_route(
    path: &str,
    route: &RouteRule,
    pools: &HashSet<PoolName>,
    faults: &mut Vec<SettingsFault>,
) {
    for (index, share) in route.pools.iter().enumerate() {
        if !pools.contains(&share.pool) {
            let path = format!("{path}.pools[{index}].pool");
            let allowed = "a pool of the document";
            faults.push(fault(path, FaultKind::UnknownReference, &share.pool, allowed));
        }
    }
    if route.pools.iter().all(|share| share.weight == 0) {
        let path = format!("{path}.pools");
        faults.push(fault(path, FaultKind::OutOfRange, "weights of 0", "a weight above 0"));
    }
    if route.time_limit_ms == 0 {
        let path = format!("{path}.time_limit_ms");
        faults.push(fault(path, FaultKind::OutOfRange, 0, "a number above 0"));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let path = format!("{path}.prefix");
        let allowed = "a path that begins and ends with a slash";
        faults.push(fault(path, FaultKind::OutOfRange, &route.prefix, allowed));
    }
}

fn fault(path: String, kind: FaultKind, found: impl Display, allowed: &str) -> SettingsFault {
    SettingsFault { path, kind, found: found.to_string(), allowed: allowed.to_owned(), near: None }
}
