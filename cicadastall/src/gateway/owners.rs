//! Which entry of a region chooses the engine for a request.
//!
//! Where many entries send to the same engines, each knows little of what the others send. So engines are
//! shared out: every engine has one owner among the entries, which grants its places and knows what it
//! runs. All entries find the same owners by hash, and a request goes first to the owner of the engine
//! that it prefers by its prompt.

use crate::{
    gateway::{view::KnownUpstream, warmup::hash_pair},
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

/// Engines of one owner, about. Owners of fewer are full more often while others have room; owners of more
/// spend too much of a small instance's processor on grants.
const ENGINES_PER_OWNER: usize = 16;

/// A process that grants or holds places.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryProcess {
    /// Name of its instance.
    pub instance: InstanceName,
    /// Start of the process.
    pub incarnation: Incarnation,
}

impl EntryProcess {
    /// The process that `entry` describes.
    pub fn of(entry: &EntryRecord) -> Self {
        Self { instance: entry.instance.clone(), incarnation: entry.incarnation }
    }
}

/// An entry that owns engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOwner {
    /// Its process.
    pub process: EntryProcess,
    /// Address at which it grants.
    pub address: SocketAddr,
}

#[derive(Debug, Default)]
struct PoolOwners {
    owners: Vec<EngineOwner>,
    /// Places in `owners`.
    by_engine: HashMap<UpstreamName, usize>,
}

/// Owners of the engines of a region.
#[derive(Debug, Default)]
pub struct OwnerMap {
    pools: HashMap<PoolName, PoolOwners>,
}

impl OwnerMap {
    /// Shares the engines of `pools` out among those of `entries` that grant, if they are at least
    /// `least`.
    pub fn new<'a>(
        pools: impl IntoIterator<Item = (&'a PoolName, &'a [Arc<KnownUpstream>])>,
        entries: &[&EntryRecord],
        min_owners: usize,
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
            (pool.clone(), assign_owners(pool, engines, &candidates))
        };
        Self { pools: pools.into_iter().map(assign).collect() }
    }

    /// Whether the engines of `pool` have owners.
    pub fn has_owners(&self, pool: &PoolName) -> bool {
        self.pools.contains_key(pool)
    }

    /// Owner of an engine.
    pub fn owner(&self, pool: &PoolName, engine: &UpstreamName) -> Option<&EngineOwner> {
        let pool = self.pools.get(pool)?;
        pool.by_engine.get(engine).map(|index| &pool.owners[*index])
    }

    /// Owners to ask for a index for a request with `key`, the one of the engine that it prefers first.
    pub fn candidates(&self, pool: &PoolName, key: u64) -> SmallVec<[&EngineOwner; 2]> {
        let Some(pool) = self.pools.get(pool) else { return SmallVec::new() };
        // The best engine of each owner by the order that choices use.
        let mut best: SmallVec<[Option<u64>; 16]> = SmallVec::from_elem(None, pool.owners.len());
        for (engine, index) in &pool.by_engine {
            best[*index] = best[*index].max(Some(hash_pair(key, engine.as_str())));
        }
        let mut owners: SmallVec<[(u64, &EngineOwner); 16]> = best
            .into_iter()
            .zip(&pool.owners)
            .filter_map(|(best, owner)| Some((best?, owner)))
            .collect();
        owners.sort_unstable_by_key(|(best, _)| std::cmp::Reverse(*best));
        owners.into_iter().take(2).map(|(_, owner)| owner).collect()
    }

    /// Names of all owners.
    pub fn names(&self) -> BTreeSet<&InstanceName> {
        let owners = self.pools.values().flat_map(|pool| &pool.owners);
        owners.map(|owner| &owner.process.instance).collect()
    }
}

fn assign_owners(
    pool: &PoolName,
    engines: &[Arc<KnownUpstream>],
    candidates: &[EngineOwner],
) -> PoolOwners {
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|owner| (hash_pair(pool.as_str(), owner.process.instance.as_str()), owner))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let owners: Vec<_> = ranked
        .into_iter()
        .take(engines.len().div_ceil(ENGINES_PER_OWNER))
        .map(|(_, owner)| owner.clone())
        .collect();
    let index = |engine: &str| {
        let rank = |index: &usize| hash_pair(engine, owners[*index].process.instance.as_str());
        (0..owners.len()).max_by_key(rank)
    };
    let by_engine = engines.iter().filter_map(|known| {
        let name = &known.upstream.name;
        Some((name.clone(), index(name.as_str())?))
    });
    PoolOwners { by_engine: by_engine.collect(), owners }
}
