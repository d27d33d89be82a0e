//! Prefix cache of a model engine: blocks by last use, with numbered events.

use cicadastall::{
    prefix::BLOCK_TOKENS,
    table::{CacheBatch, CacheEvent},
};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Batches of events between two that list the whole cache.
const FULL_BATCH_EVERY: u64 = 60;

/// Newest events that every batch repeats, so that a lost report leaves no gap.
const BATCH_EVENTS: usize = 512;

/// Cached blocks, evicted by last use.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    uses: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<CacheEvent>,
    sequence: u64,
    batches: u64,
}

impl PrefixCache {
    /// Tokens of the longest cached prefix of `blocks`, whose blocks become the latest used.
    pub fn match_prefix(&mut self, blocks: &[u64]) -> u32 {
        let cached = blocks.iter().take_while(|block| self.uses.contains_key(block)).count();
        self.touch_all(&blocks[..cached]);
        cached as u32 * BLOCK_TOKENS
    }

    /// Stores `blocks` and evicts what exceeds `capacity` tokens.
    pub fn store(&mut self, blocks: &[u64], capacity: u64) {
        for block in blocks {
            if !self.uses.contains_key(block) {
                self.note(CacheEvent::Stored(*block));
            }
        }
        self.touch_all(blocks);
        self.shrink(capacity);
    }

    /// Evicts the blocks used longest ago until at most `capacity` tokens are left.
    pub fn shrink(&mut self, capacity: u64) {
        let most = (capacity / u64::from(BLOCK_TOKENS)) as usize;
        while self.order.len() > most
            && let Some((_, block)) = self.order.pop_first()
        {
            self.uses.remove(&block);
            self.note(CacheEvent::Removed(block));
        }
    }

    /// The newest events; now and then a list of the whole cache.
    pub fn take_batch(&mut self) -> CacheBatch {
        self.batches += 1;
        if self.batches.is_multiple_of(FULL_BATCH_EVERY) {
            let blocks = self.order.values();
            let events: Vec<_> = blocks.map(|block| CacheEvent::Stored(*block)).collect();
            return CacheBatch { first: self.sequence, full: true, events };
        }
        let first = self.sequence - self.events.len() as u64;
        CacheBatch { first, full: false, events: self.events.iter().copied().collect() }
    }

    fn note(&mut self, event: CacheEvent) {
        self.sequence += 1;
        self.events.push_back(event);
        if self.events.len() > BATCH_EVENTS {
            self.events.pop_front();
        }
    }

    /// Makes `blocks` the latest used, so that the end of a chain is evicted before its start.
    fn touch_all(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(used) = self.uses.insert(block, self.clock) {
            self.order.remove(&used);
        }
        self.order.insert(self.clock, block);
    }
}
