//! Concentrates concurrent copies of a request on few upstreams, so that a request that crashes
//! upstreams reaches few of them before the first crash is detected.

use crate::{name::UpstreamName, suspect::RequestFingerprint};
use smallvec::SmallVec;
use std::time::Duration;

/// Maximum number of upstreams on which one entry runs copies of a request at the same time.
pub const COPY_UPSTREAMS: usize = 2;

/// Score difference that counts as equal, as a fraction of the target time to first token.
const SCORE_TOLERANCE_FRACTION: f64 = 1.0 / 16.0;

/// Score difference up to which the rendezvous order decides, in seconds.
pub fn score_tolerance(first_token: Duration) -> f64 {
    first_token.mul_f64(SCORE_TOLERANCE_FRACTION).as_secs_f64()
}

/// An upstream that can run the request.
#[derive(Debug, Clone, Copy)]
pub struct CopyCandidate<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamName,
    /// Score of the upstream, in seconds; lower is better.
    pub score: f64,
    /// Whether the request would exceed its limit there.
    pub late: bool,
}

/// State from which the upstream of the next copy of a request is selected.
#[derive(Debug, Clone)]
pub struct CopyPlacement<'a> {
    /// Fingerprint that all copies share.
    pub fingerprint: RequestFingerprint,
    /// Upstreams on which this entry runs copies.
    pub running: SmallVec<[&'a UpstreamName; COPY_UPSTREAMS]>,
    /// Score difference up to which the rendezvous order decides, in seconds; a negative value
    /// always selects the best score.
    pub score_tolerance_s: f64,
    /// Whether a copy has crashed an upstream.
    pub suspect: bool,
}

impl CopyPlacement<'_> {
    /// Placement that selects by score alone, without regard to other copies.
    pub fn independent(fingerprint: RequestFingerprint) -> Self {
        let score_tolerance_s = f64::NEG_INFINITY;
        Self { fingerprint, running: SmallVec::new(), score_tolerance_s, suspect: false }
    }

    /// Index of the candidate for the next copy; `None` if there are no candidates.
    ///
    /// A copy runs on an upstream that already runs copies if it is within its limit there.
    /// Otherwise it uses another upstream, unless copies already run on [`COPY_UPSTREAMS`]; then it
    /// uses one of these. Among upstreams with nearly equal scores the rendezvous order decides,
    /// which is the same at every entry. For a suspect request the rendezvous order alone decides.
    pub fn choose(&self, candidates: &[CopyCandidate<'_>]) -> Option<usize> {
        if self.suspect {
            return self.first_by_rank(candidates, 0..candidates.len());
        }
        let joined = || {
            let runs = |index: &usize| self.running.contains(&candidates[*index].upstream);
            (0..candidates.len()).filter(runs)
        };
        let in_time =
            self.choose_near_best(candidates, joined().filter(|index| !candidates[*index].late));
        if in_time.is_some() {
            return in_time;
        }
        let full = self.running.len() >= COPY_UPSTREAMS;
        let late = full.then(|| self.choose_near_best(candidates, joined())).flatten();
        late.or_else(|| self.choose_near_best(candidates, 0..candidates.len()))
    }

    /// The first in rendezvous order among the candidates whose score is within the tolerance of
    /// the best.
    fn choose_near_best(
        &self,
        candidates: &[CopyCandidate<'_>],
        indices: impl Iterator<Item = usize> + Clone,
    ) -> Option<usize> {
        let best = indices.clone().min_by(|a, b| {
            let (a, b) = (candidates[*a], candidates[*b]);
            a.late.cmp(&b.late).then(a.score.total_cmp(&b.score))
        })?;
        let CopyCandidate { late, score, .. } = candidates[best];
        let near_best = indices.filter(|index| {
            let candidate = candidates[*index];
            *index == best
                || candidate.late == late && candidate.score <= score + self.score_tolerance_s
        });
        self.first_by_rank(candidates, near_best)
    }

    /// The first of `indices` in rendezvous order.
    fn first_by_rank(
        &self,
        candidates: &[CopyCandidate<'_>],
        indices: impl Iterator<Item = usize>,
    ) -> Option<usize> {
        indices.min_by_key(|index| self.fingerprint.rank_upstream(candidates[*index].upstream))
    }
}
