//! LRU prefix cache of a model engine that reports its changes as numbered events.

use cicadastall::{
    prefix::BLOCK_TOKENS,
    table::{CacheBatch, CacheEvent},
};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Number of batches from one that lists the whole cache to the next.
const FULL_BATCH_INTERVAL: u64 = 60;

/// Number of newest events that each batch repeats, so that a lost report causes no gap.
const MAX_REPEATED_EVENTS: usize = 512;

/// Cached blocks with least recently used eviction.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    events: VecDeque<CacheEvent>,
    event_count: u64,
    batches: u64,
}

impl PrefixCache {
    /// Returns the length of the longest cached prefix of `blocks`, in tokens, and marks its blocks
    /// as most recently used.
    pub fn match_prefix(&mut self, blocks: &[u64]) -> u32 {
        let cached = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count();
        self.touch_all(&blocks[..cached]);
        cached as u32 * BLOCK_TOKENS
    }

    /// Stores `blocks`, then evicts blocks until at most `capacity` tokens are left.
    pub fn store(&mut self, blocks: &[u64], capacity: u64) {
        for block in blocks {
            if !self.last_used.contains_key(block) {
                self.push_event(CacheEvent::Stored(*block));
            }
        }
        self.touch_all(blocks);
        self.evict_to(capacity);
    }

    /// Evicts the least recently used blocks until at most `capacity` tokens are left.
    pub fn evict_to(&mut self, capacity: u64) {
        let max_blocks = (capacity / u64::from(BLOCK_TOKENS)) as usize;
        while self.by_last_use.len() > max_blocks
            && let Some((_, block)) = self.by_last_use.pop_first()
        {
            self.last_used.remove(&block);
            self.push_event(CacheEvent::Removed(block));
        }
    }

    /// Returns the newest events, or at a fixed interval all cached blocks as a full batch.
    pub fn next_batch(&mut self) -> CacheBatch {
        self.batches += 1;
        if self.batches.is_multiple_of(FULL_BATCH_INTERVAL) {
            let blocks = self.by_last_use.values();
            let events: Vec<_> = blocks.map(|block| CacheEvent::Stored(*block)).collect();
            return CacheBatch { first: self.event_count, full: true, events };
        }
        let first = self.event_count - self.events.len() as u64;
        CacheBatch { first, full: false, events: self.events.iter().copied().collect() }
    }

    fn push_event(&mut self, event: CacheEvent) {
        self.event_count += 1;
        self.events.push_back(event);
        if self.events.len() > MAX_REPEATED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Marks `blocks` as most recently used, in reverse order: a later block of a prompt is useless
    /// without the earlier ones and is evicted first.
    fn touch_all(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
    }

    fn touch(&mut self, block: u64) {
        self.use_count += 1;
        if let Some(used) = self.last_used.insert(block, self.use_count) {
            self.by_last_use.remove(&used);
        }
        self.by_last_use.insert(self.use_count, block);
    }
}
