//! A request that passes through unchanged, as far as the gateway reads it.

use crate::{
    gateway::routes::{RepeatRule, RouteRule},
    name::{AttemptId, ModelName, PoolName},
};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use smallvec::SmallVec;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Name of its content.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// Parts of a prompt in order; the last one belongs to the request or its session alone.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// What the headers of a request say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Name of the caller's attempt.
    pub attempt: Option<AttemptId>,
    /// Time that the caller will wait.
    pub remaining: Option<Duration>,
    /// Model that is asked for.
    pub model: Option<ModelName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Tokens of the answer as the caller guesses.
    pub estimated_tokens: Option<u32>,
    /// Parts of the prompt.
    pub parts: PromptParts,
    /// Number of the last event that the caller has of an answer that broke off.
    pub resume_after: Option<Arc<str>>,
}

/// Tokens of a prompt, of a part of it or of an answer that are believed at most; several times what any
/// engine holds.
const MAX_TOKENS: u32 = 1_000_000;

/// Parts of a prompt that are read at most.
const MAX_PARTS: usize = 64;

impl CallHead {
    /// The same without figures that no prompt can have, so that sums of them hold.
    pub fn clamped(mut self) -> Self {
        self.prompt_tokens = self.prompt_tokens.min(MAX_TOKENS);
        self.answer_tokens = self.answer_tokens.min(MAX_TOKENS);
        self.estimated_tokens = self.estimated_tokens.map(|tokens| tokens.min(MAX_TOKENS));
        self.parts.truncate(MAX_PARTS);
        for part in &mut self.parts {
            part.tokens = part.tokens.min(MAX_TOKENS);
        }
        self
    }

    /// Tokens that the answer is expected to have.
    pub fn expected_tokens(&self) -> u32 {
        self.estimated_tokens.unwrap_or(self.answer_tokens / 2).min(self.answer_tokens.max(1))
    }

    /// The parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Why the headers of a request are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidHeader {
    /// The header.
    pub header: &'static str,
    /// What may stand there.
    pub allowed: &'static str,
}

/// A request with its body, and what is to be done with it.
#[derive(Debug)]
pub struct RoutedCall {
    /// Method, unchanged.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Headers without those that concern one connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What the headers say.
    pub head: CallHead,
    /// Name of the caller's attempt; of our own making where the caller gave none.
    pub attempt: AttemptId,
    /// Route.
    pub route: Arc<RouteRule>,
    /// Pool that answers.
    pub pool: PoolName,
    /// When the head arrived here.
    pub received_at: Instant,
    /// When the answer must have ended.
    pub deadline: Instant,
    /// Whether another entry passed it on, so that it may not be passed on again.
    pub hopped: bool,
    /// Upstreams that may have run it before it came here.
    pub earlier_attempts: u32,
}

impl RoutedCall {
    /// What may be repeated.
    pub fn repeat(&self) -> RepeatRule {
        self.route.repeat
    }

    /// Time that is left.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
