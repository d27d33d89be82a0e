//! Assigns each engine of a region to the entry that chooses the requests for it.
//!
//! If many entries send to the same engines, each knows little of what the others send. Therefore every
//! engine has one owner among the entries, which grants its capacity and knows what it runs. All entries
//! compute the same owners by rendezvous hashing. A request is first sent to the owner of the engine
//! that its prompt prefers.

use crate::{
    gateway::knowledge::{
        entry_capacity::{EntryWeights, weigh_highest, weigh_lowest},
        view::KnownUpstream,
        warmup::hash_pair,
    },
    name::{InstanceName, PoolName, UpstreamName},
    table::{EntryRecord, EntryState, Incarnation},
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

/// Approximate number of engines of one owner. With fewer, an owner is more often full while others have
/// room; with more, grants take too much CPU time on a small instance.
const ENGINES_PER_OWNER: usize = 16;

/// An entry process that makes or holds grants.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryProcess {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Start of the process.
    pub incarnation: Incarnation,
}

impl EntryProcess {
    /// Returns the process that `entry` describes.
    pub fn of(entry: &EntryRecord) -> Self {
        Self { instance: entry.instance.clone(), incarnation: entry.incarnation }
    }
}

/// An entry that owns engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOwner {
    /// Process of the entry.
    pub process: EntryProcess,
    /// Address at which it serves grants.
    pub address: SocketAddr,
}

#[derive(Debug, Default)]
struct PoolOwners {
    owners: Vec<EngineOwner>,
    /// Indices into `owners`.
    by_engine: HashMap<UpstreamName, usize>,
    /// Weights of engines by their speed; 1 if absent.
    weights: HashMap<UpstreamName, f64>,
}

/// Owners of the engines of a region.
#[derive(Debug, Default)]
pub struct OwnerMap {
    pools: HashMap<PoolName, PoolOwners>,
}

impl OwnerMap {
    /// Assigns the engines of `pools` to the serving entries with a grant address. Without at least
    /// `min_owners` of them, no engine has an owner.
    pub fn new<'a>(
        pools: impl IntoIterator<Item = (&'a PoolName, &'a [Arc<KnownUpstream>])>,
        entries: &[&EntryRecord],
        min_owners: usize,
    ) -> Self {
        Self::weighed(pools, entries, min_owners, &EntryWeights::default(), &HashMap::new())
    }

    /// Like [`OwnerMap::new`], with entries that own in proportion to `weights`, and engines that requests
    /// prefer in proportion to `speeds`, where these are known.
    pub fn weighed<'a>(
        pools: impl IntoIterator<Item = (&'a PoolName, &'a [Arc<KnownUpstream>])>,
        entries: &[&EntryRecord],
        min_owners: usize,
        weights: &EntryWeights,
        speeds: &HashMap<UpstreamName, f64>,
    ) -> Self {
        let serving = entries.iter().filter(|entry| entry.state == EntryState::Serving);
        let candidates: Vec<EngineOwner> = serving
            .filter_map(|entry| {
                let process = EntryProcess::of(entry);
                entry.grant_address.map(|address| EngineOwner { process, address })
            })
            .collect();
        if candidates.len() < min_owners.max(1) {
            return Self::default();
        }
        let assign = |(pool, engines): (&'a PoolName, &'a [Arc<KnownUpstream>])| {
            let mut owners = assign_owners(pool, engines, &candidates, weights);
            owners.weights = weigh_by_speed(engines, speeds);
            (pool.clone(), owners)
        };
        Self { pools: pools.into_iter().map(assign).collect() }
    }

    /// Whether the engines of `pool` have owners.
    pub fn has_owners(&self, pool: &PoolName) -> bool {
        self.pools.contains_key(pool)
    }

    /// Whether an upstream of any pool has an owner.
    pub fn is_owned(&self, engine: &UpstreamName) -> bool {
        self.pools.values().any(|pool| pool.by_engine.contains_key(engine))
    }

    /// Returns the owner of an engine.
    pub fn owner(&self, pool: &PoolName, engine: &UpstreamName) -> Option<&EngineOwner> {
        let pool = self.pools.get(pool)?;
        pool.by_engine.get(engine).map(|index| &pool.owners[*index])
    }

    /// Returns up to two owners to ask for a request with `key`, starting with the owner of the engine
    /// that the request prefers.
    pub fn candidates(&self, pool: &PoolName, key: u64) -> SmallVec<[&EngineOwner; 2]> {
        self.candidates_among(pool, key, |_| true)
    }

    /// Like [`OwnerMap::candidates`], among the owners of engines that `may_serve` accepts.
    pub fn candidates_among(
        &self,
        pool: &PoolName,
        key: u64,
        may_serve: impl Fn(&UpstreamName) -> bool,
    ) -> SmallVec<[&EngineOwner; 2]> {
        let Some(pool) = self.pools.get(pool) else { return SmallVec::new() };
        // The highest hash among the engines of each owner, the same hash that choices use.
        let mut best: SmallVec<[Option<u64>; 16]> = SmallVec::from_elem(None, pool.owners.len());
        for (engine, index) in pool.by_engine.iter().filter(|(engine, _)| may_serve(engine)) {
            let weight = pool.weights.get(engine).copied().unwrap_or(1.0);
            let hash = weigh_highest(hash_pair(key, engine.as_str()), weight);
            best[*index] = best[*index].max(Some(hash));
        }
        let mut owners: SmallVec<[(u64, &EngineOwner); 16]> = best
            .into_iter()
            .zip(&pool.owners)
            .filter_map(|(best, owner)| Some((best?, owner)))
            .collect();
        owners.sort_unstable_by_key(|(best, _)| std::cmp::Reverse(*best));
        owners.into_iter().take(2).map(|(_, owner)| owner).collect()
    }

    /// Instance names of all owners.
    pub fn names(&self) -> BTreeSet<&InstanceName> {
        let owners = self.pools.values().flat_map(|pool| &pool.owners);
        owners.map(|owner| &owner.process.instance).collect()
    }
}

fn assign_owners(
    pool: &PoolName,
    engines: &[Arc<KnownUpstream>],
    candidates: &[EngineOwner],
    weights: &EntryWeights,
) -> PoolOwners {
    let weight = |owner: &EngineOwner| weights.weight(&owner.process.instance);
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|owner| {
            let hash = hash_pair(pool.as_str(), owner.process.instance.as_str());
            (weigh_lowest(hash, weight(owner)), owner)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let owners: Vec<_> = ranked
        .into_iter()
        .take(engines.len().div_ceil(ENGINES_PER_OWNER))
        .map(|(_, owner)| owner.clone())
        .collect();
    let index = |engine: &str| {
        let rank = |index: &usize| {
            let owner = &owners[*index];
            weigh_highest(hash_pair(engine, owner.process.instance.as_str()), weight(owner))
        };
        (0..owners.len()).max_by_key(rank)
    };
    let by_engine = engines.iter().filter_map(|known| {
        let name = &known.upstream.name;
        Some((name.clone(), index(name.as_str())?))
    });
    PoolOwners { by_engine: by_engine.collect(), weights: HashMap::new(), owners }
}

/// Weights of `engines` relative to the fastest of them; empty if no speed is known. An engine whose speed
/// is not known has the median speed of the others.
pub fn weigh_by_speed(
    engines: &[Arc<KnownUpstream>],
    speeds: &HashMap<UpstreamName, f64>,
) -> HashMap<UpstreamName, f64> {
    if speeds.is_empty() {
        return HashMap::new();
    }
    let told = engines.iter().filter_map(|known| speeds.get(&known.upstream.name).copied());
    let mut sorted: SmallVec<[f64; 32]> = told.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    let Some(usual) = sorted.get(sorted.len() / 2).copied() else { return HashMap::new() };
    let speed = |known: &KnownUpstream| speeds.get(&known.upstream.name).copied().unwrap_or(usual);
    let most = engines.iter().map(|known| speed(known)).fold(f64::EPSILON, f64::max);
    engines.iter().map(|known| (known.upstream.name.clone(), speed(known) / most)).collect()
}
