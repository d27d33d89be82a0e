//! Prefix cache of a model engine: blocks by last use, with numbered events.

use cicadastall::{
    prefix::BLOCK_TOKENS,
    table::{CacheBatch, CacheEvent},
};
use std::collections::{BTreeMap, HashMap};

/// Batches of events between two that list the whole cache.
const FULL_BATCH_EVERY: u64 = 60;

/// Cached blocks, evicted by last use.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    uses: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    events: Vec<CacheEvent>,
    sequence: u64,
    batches: u64,
}

impl PrefixCache {
    /// Tokens of the longest cached prefix of `blocks`, whose blocks become the latest used.
    pub fn match_prefix(&mut self, blocks: &[u64]) -> u32 {
        let cached = blocks.iter().take_while(|block| self.uses.contains_key(block)).count();
        for block in &blocks[..cached] {
            self.touch(*block);
        }
        cached as u32 * BLOCK_TOKENS
    }

    /// Stores `blocks` and evicts what exceeds `capacity` tokens.
    pub fn store(&mut self, blocks: &[u64], capacity: u64) {
        for block in blocks {
            if !self.uses.contains_key(block) {
                self.events.push(CacheEvent::Stored(*block));
            }
            self.touch(*block);
        }
        self.shrink(capacity);
    }

    /// Evicts the blocks used longest ago until at most `capacity` tokens are left.
    pub fn shrink(&mut self, capacity: u64) {
        let most = (capacity / u64::from(BLOCK_TOKENS)) as usize;
        while self.order.len() > most
            && let Some((_, block)) = self.order.pop_first()
        {
            self.uses.remove(&block);
            self.events.push(CacheEvent::Removed(block));
        }
    }

    /// Takes the events since the last call; now and then a list of the whole cache.
    pub fn take_batch(&mut self) -> CacheBatch {
        let first = self.sequence;
        self.batches += 1;
        let changes = std::mem::take(&mut self.events);
        self.sequence += changes.len() as u64;
        if !self.batches.is_multiple_of(FULL_BATCH_EVERY) {
            return CacheBatch { first, full: false, events: changes };
        }
        let events: Vec<_> = self.order.values().map(|block| CacheEvent::Stored(*block)).collect();
        let first = self.sequence;
        self.sequence += events.len() as u64;
        CacheBatch { first, full: true, events }
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(used) = self.uses.insert(block, self.clock) {
            self.order.remove(&used);
        }
        self.order.insert(self.clock, block);
    }
}
