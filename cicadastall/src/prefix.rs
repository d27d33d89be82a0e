//! Prompts as chained block hashes, and the view of each upstream's prefix cache.

use crate::{
    decode::RequestBody,
    suspect::RequestFingerprint,
    table::{CacheBatch, CacheEvent, Incarnation},
};
use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hasher},
};

/// Prompt tokens per block of a prefix cache.
pub const BLOCK_TOKENS: u32 = 256;

/// Mean number of text bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Size of a request, with its prompt as chained block hashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Prompt length, in tokens.
    pub tokens: u32,
    /// Maximum answer length, in tokens.
    pub answer_tokens: u32,
    /// Hash of each complete block, chained with the hash of the preceding block.
    pub blocks: Vec<u64>,
    /// Fingerprint that all copies of the request share.
    pub fingerprint: RequestFingerprint,
}

impl PromptShape {
    /// Computes the shape of a request body, with the default fingerprint; a call to a plain
    /// service counts as one token.
    pub fn from_body(body: &RequestBody) -> Self {
        let RequestBody::Chat(chat) = body else {
            return Self { tokens: 1, answer_tokens: 1, ..Self::default() };
        };
        let mut text = Vec::new();
        for message in &chat.messages {
            text.extend_from_slice(message.role.as_bytes());
            text.push(0);
            text.extend_from_slice(message.content.as_bytes());
            text.push(0);
        }
        let tokens = u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
        let block_bytes = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
        let mut parent = 0;
        let blocks = text
            .chunks_exact(block_bytes)
            .map(|chunk| {
                parent = chain_block(parent, chunk);
                parent
            })
            .collect();
        Self { tokens, answer_tokens: chat.max_tokens, blocks, ..Self::default() }
    }
}

/// Hash of a block chained with `parent`, the hash of the preceding block, or 0 for the first
/// block.
pub fn chain_block(parent: u64, block: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u64(parent);
    hasher.write(block);
    hasher.finish()
}

/// View that one entry has of one upstream's prefix cache.
///
/// A gap in the events clears the view until a full batch arrives; meanwhile only blocks that this
/// entry sent itself count as cached.
#[derive(Debug, Clone, Default)]
pub struct PrefixView {
    incarnation: Incarnation,
    next_event: Option<u64>,
    blocks: HashSet<u64>,
}

impl PrefixView {
    /// Applies the cache events of one load report, and skips those that were applied before.
    pub fn apply_batch(&mut self, incarnation: Incarnation, batch: &CacheBatch) {
        if incarnation != self.incarnation {
            *self = Self { incarnation, next_event: Some(0), blocks: HashSet::new() };
        }
        if batch.is_empty() {
            return;
        }
        if batch.full {
            self.blocks.clear();
            self.next_event = Some(batch.first);
            return self.apply(&batch.events);
        }
        let Some(next) = self.next_event.filter(|next| batch.first <= *next) else {
            self.blocks.clear();
            self.next_event = None;
            return;
        };
        let fresh = batch.events.get((next - batch.first) as usize..).unwrap_or_default();
        self.next_event = Some(next + fresh.len() as u64);
        self.apply(fresh);
    }

    fn apply(&mut self, events: &[CacheEvent]) {
        for event in events {
            match event {
                CacheEvent::Stored(block) => self.blocks.insert(*block),
                CacheEvent::Removed(block) => self.blocks.remove(block),
            };
        }
    }

    /// Adds the blocks of a prompt that was sent to the upstream and will be cached there.
    pub fn add_sent_blocks(&mut self, shape: &PromptShape) {
        self.blocks.extend(&shape.blocks);
    }

    /// Whether the events were received without a gap.
    pub fn is_synchronized(&self) -> bool {
        self.next_event.is_some()
    }

    /// Prompt tokens of `shape` that are taken to be in the upstream's cache; at least one token
    /// always counts as uncached.
    pub fn cached_tokens(&self, shape: &PromptShape) -> u32 {
        let blocks = shape.blocks.iter().take_while(|block| self.blocks.contains(block)).count();
        (blocks as u32 * BLOCK_TOKENS).min(shape.tokens.saturating_sub(1))
    }
}
