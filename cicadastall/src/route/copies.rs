//! Keeps copies of one request together, so that one that crashes upstreams meets few of them
//! before the first crash is known.

use crate::{name::UpstreamName, suspect::RequestFingerprint};
use smallvec::SmallVec;
use std::time::Duration;

/// Most upstreams on which copies of one request run at the same time, as one entry sends them.
pub const COPY_UPSTREAMS: usize = 2;

/// Part of the target for the first token by which scores may differ and still count as equal.
const SCORE_TOLERANCE_FRACTION: f64 = 1.0 / 16.0;

/// Difference of scores up to which the order of copies decides, in seconds.
pub fn score_tolerance(first_token: Duration) -> f64 {
    first_token.mul_f64(SCORE_TOLERANCE_FRACTION).as_secs_f64()
}

/// An upstream that may run the request.
#[derive(Debug, Clone, Copy)]
pub struct CopyCandidate<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamName,
    /// Figure by which upstreams are compared, in seconds; lower is better.
    pub score: f64,
    /// Whether the request would miss its target there.
    pub late: bool,
}

/// Where copies of one request run.
#[derive(Debug, Clone)]
pub struct CopyPlacement<'a> {
    /// What the copies have in common.
    pub fingerprint: RequestFingerprint,
    /// Upstreams on which copies of this entry run.
    pub running: SmallVec<[&'a UpstreamName; COPY_UPSTREAMS]>,
    /// Difference of scores up to which the order of copies decides, in seconds; below zero the
    /// best upstream is chosen whatever the order.
    pub score_tolerance_s: f64,
    /// Whether a copy crashed an upstream.
    pub suspect: bool,
}

impl CopyPlacement<'_> {
    /// Places of a request whose copies are not kept together.
    pub fn independent(fingerprint: RequestFingerprint) -> Self {
        let score_tolerance_s = f64::NEG_INFINITY;
        Self { fingerprint, running: SmallVec::new(), score_tolerance_s, suspect: false }
    }

    /// Index of the candidate for one more copy.
    ///
    /// A copy joins those that run, while it is in time there. Until [`COPY_UPSTREAMS`] are in use
    /// it takes another where it would be late, and from then on it stays with them. Among nearly
    /// equal upstreams the order of copies decides, which is the same at every entry; for a suspect
    /// it decides alone.
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

    /// The first in the order of copies among those that are nearly as good as the best.
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

    /// The first of `places` in the order of copies.
    fn first_by_rank(
        &self,
        candidates: &[CopyCandidate<'_>],
        indices: impl Iterator<Item = usize>,
    ) -> Option<usize> {
        indices.min_by_key(|index| self.fingerprint.rank_upstream(candidates[*index].upstream))
    }
}
