//! Prompts as chains of block hashes, and what is known of each upstream's prefix cache.

use crate::{
    decode::RequestBody,
    suspect::RequestFingerprint,
    table::{CacheBatch, CacheEvent, Incarnation},
};
use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hasher},
};

/// Prompt tokens in one block of a prefix cache.
pub const BLOCK_TOKENS: u32 = 256;

/// Bytes of text that make one token, on average.
const BYTES_PER_TOKEN: usize = 4;

/// Size of a request, and its prompt as chained block hashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Hash of each whole block, chained with the hashes before it.
    pub blocks: Vec<u64>,
    /// What copies of the request have in common.
    pub fingerprint: RequestFingerprint,
}

impl PromptShape {
    /// Measures the body of a request; a call to a plain service counts as one token.
    pub fn of(body: &RequestBody) -> Self {
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

/// Hash of a block whose predecessors hash to `parent`.
pub fn chain_block(parent: u64, block: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u64(parent);
    hasher.write(block);
    hasher.finish()
}

/// What one entry knows of one upstream's prefix cache.
///
/// A gap in the events makes the view unknown until a full batch arrives; meanwhile only blocks
/// that this entry sent itself count as cached.
#[derive(Debug, Clone, Default)]
pub struct PrefixView {
    incarnation: Incarnation,
    next: Option<u64>,
    blocks: HashSet<u64>,
}

impl PrefixView {
    /// Takes the events of one load report.
    pub fn accept_batch(&mut self, incarnation: Incarnation, batch: &CacheBatch) {
        if incarnation != self.incarnation {
            *self = Self { incarnation, next: Some(0), blocks: HashSet::new() };
        }
        if batch.is_empty() {
            return;
        }
        if batch.full {
            self.blocks.clear();
            self.next = Some(batch.first);
            return self.apply(&batch.events);
        }
        let Some(next) = self.next.filter(|next| batch.first <= *next) else {
            self.blocks.clear();
            self.next = None;
            return;
        };
        let fresh = batch.events.get((next - batch.first) as usize..).unwrap_or_default();
        self.next = Some(next + fresh.len() as u64);
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

    /// Notes that a prompt is about to be cached because it was sent to the upstream.
    pub fn expect_blocks(&mut self, shape: &PromptShape) {
        self.blocks.extend(&shape.blocks);
    }

    /// Whether the events arrived without a gap.
    pub fn is_known(&self) -> bool {
        self.next.is_some()
    }

    /// Prompt tokens of `shape` that the upstream need not process again.
    pub fn cached_tokens(&self, shape: &PromptShape) -> u32 {
        let blocks = shape.blocks.iter().take_while(|block| self.blocks.contains(block)).count();
        (blocks as u32 * BLOCK_TOKENS).min(shape.tokens.saturating_sub(1))
    }
}
