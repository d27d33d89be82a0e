//! What one entry itself knows of an upstream: its own sends, the pace that it observed, and the
//! view of the prefix cache.

use crate::{
    name::UpstreamName,
    prefix::PrefixView,
    settings::Rank,
    suspect::RequestFingerprint,
    table::{Incarnation, UpstreamRecord},
};
use smallvec::SmallVec;
use std::time::Duration;
use tokio::time::Instant;

/// Weight of one observation in the pace of an upstream.
const LATENCY_RATIO_WEIGHT: f64 = 0.1;

/// Bounds of the pace of an upstream.
const LATENCY_RATIO_RANGE: (f64, f64) = (0.5, 10.0);

/// Time that is added to both sides of an observation, so that short times don't count too much.
const LATENCY_RATIO_OFFSET_S: f64 = 0.05;

/// Time without new work after the first of several failures; each further one doubles it.
const QUARANTINE_TIME: Duration = Duration::from_secs(1);

/// Most doublings of the quarantine.
const QUARANTINE_DOUBLINGS: u32 = 3;

/// Names one attempt from its sending to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendTicket {
    /// The upstream that got the attempt.
    pub upstream: UpstreamName,
    pub(crate) number: u64,
}

/// An attempt that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct SentAttempt {
    pub(crate) number: u64,
    pub(crate) sent_at: Instant,
    pub(crate) uncached_tokens: u32,
    pub(crate) urgent: bool,
    /// The request of which it is one copy.
    pub(crate) fingerprint: RequestFingerprint,
    /// Predicted time to first token, until it has come.
    pub(crate) predicted: Option<Duration>,
}

/// Prompt tokens of one request, and how long after the report it was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecentSend {
    /// Time from the report to the sending.
    pub after_report: Duration,
    /// Prompt tokens that are not cached.
    pub tokens: f64,
}

/// Requests sent since a report, the oldest first.
pub type RecentSends = SmallVec<[RecentSend; 4]>;

/// Own knowledge of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamTracker {
    pub(crate) sends: Vec<SentAttempt>,
    urgent_latency_ratio: f64,
    patient_latency_ratio: f64,
    pub(crate) prefix: PrefixView,
    applied: (Incarnation, u64),
    failures: u32,
    quarantined_until: Option<Instant>,
}

impl Default for UpstreamTracker {
    fn default() -> Self {
        Self {
            sends: Vec::new(),
            urgent_latency_ratio: 1.0,
            patient_latency_ratio: 1.0,
            prefix: PrefixView::default(),
            applied: (Incarnation::default(), 0),
            failures: 0,
            quarantined_until: None,
        }
    }
}

impl UpstreamTracker {
    /// Takes the cache events of a record, once for each announcement.
    pub(crate) fn apply_record(&mut self, record: &UpstreamRecord) {
        let applied = (record.incarnation, record.sequence);
        if applied != self.applied {
            if record.incarnation > self.applied.0 {
                self.quarantined_until = None;
            }
            self.applied = applied;
            self.prefix.apply_batch(record.incarnation, &record.load.cache);
        }
    }

    /// Keeps new work away for a time that grows with the failures since the last first token.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        let doublings = self.failures.min(QUARANTINE_DOUBLINGS);
        self.failures += 1;
        self.quarantined_until = Some(now + QUARANTINE_TIME * 2_u32.pow(doublings));
    }

    /// Whether the upstream failed lately and has not restarted since.
    pub(crate) fn is_quarantined(&self, record: &UpstreamRecord, now: Instant) -> bool {
        record.incarnation <= self.applied.0
            && self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Whether something of an upstream that is gone is still to be kept.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        !self.sends.is_empty() || self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Learns the pace from an attempt whose first token came.
    pub(crate) fn record_first_token(&mut self, number: u64, now: Instant) {
        let Some(sent) = self.sends.iter_mut().find(|sent| sent.number == number) else { return };
        self.failures = 0;
        let Some(predicted) = sent.predicted.take() else { return };
        let observed =
            now.saturating_duration_since(sent.sent_at).as_secs_f64() + LATENCY_RATIO_OFFSET_S;
        // The prediction holds the pace of its time already.
        let latency_ratio = if sent.urgent {
            &mut self.urgent_latency_ratio
        } else {
            &mut self.patient_latency_ratio
        };
        let ratio = *latency_ratio * observed / (predicted.as_secs_f64() + LATENCY_RATIO_OFFSET_S);
        let ratio = ratio.clamp(LATENCY_RATIO_RANGE.0, LATENCY_RATIO_RANGE.1);
        *latency_ratio += LATENCY_RATIO_WEIGHT * (ratio - *latency_ratio);
    }

    /// Notes that an attempt ended.
    pub(crate) fn record_ended(&mut self, number: u64) {
        self.sends.retain(|sent| sent.number != number);
    }

    /// What was sent after `since` and is served before or with work of `rank`.
    pub(crate) fn sent_since(&self, since: Instant, rank: Rank) -> RecentSends {
        let counts =
            |sent: &&SentAttempt| sent.sent_at > since && (sent.urgent || rank == Rank::Patient);
        let recent = self.sends.iter().filter(counts).map(|sent| RecentSend {
            after_report: sent.sent_at - since,
            tokens: f64::from(sent.uncached_tokens),
        });
        recent.collect()
    }

    /// Whether an attempt of a copy of `fingerprint` has not ended.
    pub(crate) fn runs_copy(&self, fingerprint: RequestFingerprint) -> bool {
        self.sends.iter().any(|sent| sent.fingerprint == fingerprint)
    }

    /// Observed over predicted time to first token for requests of `rank`.
    pub(crate) fn latency_ratio(&self, rank: Rank) -> f64 {
        if rank == Rank::Urgent { self.urgent_latency_ratio } else { self.patient_latency_ratio }
    }
}
