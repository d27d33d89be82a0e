//! State that one entry keeps about an upstream: its unfinished attempts, the observed latency
//! ratio, failures, and the view of the prefix cache.

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

/// Weight of one observation in the latency ratio of an upstream.
const LATENCY_RATIO_WEIGHT: f64 = 0.1;

/// Bounds of the observations that update the latency ratio.
const LATENCY_RATIO_RANGE: (f64, f64) = (0.5, 10.0);

/// Time added to the observed and to the predicted time, in seconds, so that small absolute
/// differences between short times have little effect on the ratio.
const LATENCY_RATIO_OFFSET_S: f64 = 0.05;

/// Quarantine after the first failure; each further failure doubles it.
const QUARANTINE_TIME: Duration = Duration::from_secs(1);

/// Maximum number of doublings of the quarantine.
const QUARANTINE_DOUBLINGS: u32 = 3;

/// Identifies one attempt from when it is sent until it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendTicket {
    /// Upstream to which the attempt was sent.
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
    /// Fingerprint that all copies of the request share.
    pub(crate) fingerprint: RequestFingerprint,
    /// Predicted time to first token; `None` once the first token has arrived.
    pub(crate) predicted: Option<Duration>,
}

/// One request sent to an upstream since its latest report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecentSend {
    /// Time from the report until the request was sent.
    pub after_report: Duration,
    /// Prompt tokens that are not in the prefix cache.
    pub tokens: f64,
}

/// Requests sent since a report, oldest first.
pub type RecentSends = SmallVec<[RecentSend; 4]>;

/// State that one entry keeps about one upstream.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamTracker {
    pub(crate) attempts: Vec<SentAttempt>,
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
            attempts: Vec::new(),
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
    /// Applies the cache events of a record once per announcement or renewal, and ends the
    /// quarantine if the upstream has restarted.
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

    /// Quarantines the upstream for a time that grows with the number of failures since the last
    /// first token.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        let doublings = self.failures.min(QUARANTINE_DOUBLINGS);
        self.failures += 1;
        self.quarantined_until = Some(now + QUARANTINE_TIME * 2_u32.pow(doublings));
    }

    /// Whether the upstream is quarantined and has not restarted since.
    pub(crate) fn is_quarantined(&self, record: &UpstreamRecord, now: Instant) -> bool {
        record.incarnation <= self.applied.0
            && self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Whether the tracker of an absent upstream must be kept: it has unfinished attempts or a
    /// running quarantine.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        !self.attempts.is_empty() || self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Updates the latency ratio from an attempt whose first token arrived, and resets the
    /// failures.
    pub(crate) fn record_first_token(&mut self, number: u64, now: Instant) {
        let Some(sent) = self.attempts.iter_mut().find(|it| it.number == number) else { return };
        self.failures = 0;
        let Some(predicted) = sent.predicted.take() else { return };
        let observed =
            now.saturating_duration_since(sent.sent_at).as_secs_f64() + LATENCY_RATIO_OFFSET_S;
        // The prediction already includes the latency ratio, so the observation is scaled by it.
        let latency_ratio = if sent.urgent {
            &mut self.urgent_latency_ratio
        } else {
            &mut self.patient_latency_ratio
        };
        let ratio = *latency_ratio * observed / (predicted.as_secs_f64() + LATENCY_RATIO_OFFSET_S);
        let ratio = ratio.clamp(LATENCY_RATIO_RANGE.0, LATENCY_RATIO_RANGE.1);
        *latency_ratio += LATENCY_RATIO_WEIGHT * (ratio - *latency_ratio);
    }

    /// Removes an attempt that ended.
    pub(crate) fn record_ended(&mut self, number: u64) {
        self.attempts.retain(|sent| sent.number != number);
    }

    /// Unfinished attempts that were sent after the report at `since` and are served before or
    /// together with work of `rank`.
    pub(crate) fn sent_since(&self, since: Instant, rank: Rank) -> RecentSends {
        let is_ahead =
            |sent: &&SentAttempt| sent.sent_at > since && (sent.urgent || rank == Rank::Patient);
        let recent = self.attempts.iter().filter(is_ahead).map(|sent| RecentSend {
            after_report: sent.sent_at - since,
            tokens: f64::from(sent.uncached_tokens),
        });
        recent.collect()
    }

    /// Whether a copy of the request with `fingerprint` is unfinished.
    pub(crate) fn runs_copy(&self, fingerprint: RequestFingerprint) -> bool {
        self.attempts.iter().any(|sent| sent.fingerprint == fingerprint)
    }

    /// Ratio of observed to predicted time to first token for requests of `rank`.
    pub(crate) fn latency_ratio(&self, rank: Rank) -> f64 {
        if rank == Rank::Urgent { self.urgent_latency_ratio } else { self.patient_latency_ratio }
    }
}
