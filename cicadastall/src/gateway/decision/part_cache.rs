//! Contents of one engine's memory, as far as its owner knows them from all requests that it granted.
//!
//! Running requests and cached prompt parts share the memory. The parts of running requests stay; of the
//! others, the least recently used are evicted first. The last part of a prompt, which belongs to one
//! request or session, is cached when its request has ended and takes memory like any other.

use crate::gateway::decision::{call::PromptPart, tracker::SendNumber};
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};

/// A part in memory.
#[derive(Debug, Clone)]
struct CachedPart {
    tokens: u32,
    /// Position in the order of use; larger is more recent.
    used: u64,
    /// Number of running requests with the part.
    holders: u32,
}

/// Tokens and parts of a running request.
#[derive(Debug, Clone)]
struct RunningSend {
    parts: SmallVec<[PromptPart; 4]>,
    /// Tokens of the answer.
    answer_tokens: u32,
}

/// Running requests and cached parts of one engine.
#[derive(Debug, Clone)]
pub struct PartCache {
    kv_tokens: u64,
    used: u64,
    parts: HashMap<u64, CachedPart>,
    /// Parts without holders, least recently used first.
    idle: BTreeMap<u64, u64>,
    running: HashMap<SendNumber, RunningSend>,
    held_tokens: u64,
    idle_tokens: u64,
}

impl PartCache {
    /// Creates the empty memory of an engine that holds `kv_tokens` tokens.
    pub fn new(kv_tokens: u64) -> Self {
        Self {
            kv_tokens,
            used: 0,
            parts: HashMap::new(),
            idle: BTreeMap::new(),
            running: HashMap::new(),
            held_tokens: 0,
            idle_tokens: 0,
        }
    }

    /// Number of tokens of the leading `parts` that are cached.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let cached = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Tokens that running requests hold; each part counts once.
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    /// Capacity, in tokens.
    pub fn kv_tokens(&self) -> u64 {
        self.kv_tokens
    }

    /// Tokens by which running requests, a request with `parts`, and `more_tokens` beside them would exceed
    /// the memory; 0 if all fit.
    pub fn excess_tokens(&self, parts: &[PromptPart], more_tokens: u64) -> u64 {
        let held =
            |part: &&PromptPart| self.parts.get(&part.id).is_some_and(|part| part.holders > 0);
        let added = parts.iter().filter(|part| !held(part)).map(|part| u64::from(part.tokens));
        let needed = self.held_tokens + added.sum::<u64>() + more_tokens;
        needed.saturating_sub(self.kv_tokens)
    }

    /// Records a request that was sent, with all parts of its prompt.
    pub fn note_sent(&mut self, number: SendNumber, parts: &[PromptPart], answer_tokens: u32) {
        for part in parts {
            self.hold(part);
        }
        self.held_tokens += u64::from(answer_tokens);
        self.running.insert(number, RunningSend { parts: parts.into(), answer_tokens });
        self.evict();
    }

    /// Records that a request has ended; its parts stay cached until others need their memory.
    pub fn note_ended(&mut self, number: SendNumber) {
        let Some(send) = self.running.remove(&number) else { return };
        self.held_tokens -= u64::from(send.answer_tokens);
        // The last part is evicted before those that other requests share.
        for part in send.parts.iter().rev() {
            self.release(part);
        }
        self.evict();
    }

    /// Drops all parts, because the memory is lost; running requests are forgotten as well.
    pub fn clear(&mut self) {
        *self = Self::new(self.kv_tokens);
    }

    fn hold(&mut self, part: &PromptPart) {
        let cached = self.parts.entry(part.id);
        let cached = cached.or_insert(CachedPart { tokens: part.tokens, used: 0, holders: 0 });
        if cached.holders == 0 {
            if self.idle.remove(&cached.used).is_some() {
                self.idle_tokens -= u64::from(cached.tokens);
            }
            self.held_tokens += u64::from(cached.tokens);
        }
        cached.holders += 1;
    }

    fn release(&mut self, part: &PromptPart) {
        let Some(cached) = self.parts.get_mut(&part.id) else { return };
        cached.holders -= 1;
        if cached.holders > 0 {
            return;
        }
        self.used += 1;
        cached.used = self.used;
        self.held_tokens -= u64::from(cached.tokens);
        self.idle_tokens += u64::from(cached.tokens);
        self.idle.insert(cached.used, part.id);
    }

    /// Drops the least recently used parts until the rest fits.
    fn evict(&mut self) {
        while self.held_tokens + self.idle_tokens > self.kv_tokens {
            let Some((_, id)) = self.idle.pop_first() else { return };
            if let Some(cached) = self.parts.remove(&id) {
                self.idle_tokens -= u64::from(cached.tokens);
            }
        }
    }
}
