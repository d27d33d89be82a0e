//! Decides which traits of requests are to blame for crashes of upstreams, without I/O.
//!
//! A trait is anything that requests may have in common: a part of their prompt, or their whole
//! content. At a crash, the traits of all requests whose answer had not begun become suspects, though
//! most of them only shared the upstream with the culprit. Culprits are found by a greedy set cover:
//! the suspect with the most crashes is blamed first, and explains its crashes for all others.
//!
//! Suspects with the same crashes cannot be told apart. They are blamed together, as a group that a
//! request must contain as a whole, so that a request that shares only some of them is still sent, and
//! acquits those.

use crate::suspect::{RequestFingerprint, UpstreamCrash};
use smallvec::SmallVec;
use std::collections::BTreeSet;

/// Number of crashes, explained by no other culprit, after which a trait is blamed. Two may be chance:
/// many requests wait on an upstream when it crashes.
pub const BLAME_CRASHES: usize = 3;

/// Traits that are to blame together.
pub type CulpritGroup = SmallVec<[RequestFingerprint; 2]>;

/// Finds the culprits among suspects with their crashes.
pub fn find_culprits<'a>(
    suspects: impl Iterator<Item = (RequestFingerprint, &'a [UpstreamCrash])>,
) -> Vec<CulpritGroup> {
    let frequent = suspects.filter(|(_, crashes)| crashes.len() >= BLAME_CRASHES);
    let mut open: Vec<(RequestFingerprint, BTreeSet<&UpstreamCrash>)> =
        frequent.map(|(fingerprint, crashes)| (fingerprint, crashes.iter().collect())).collect();
    open.sort_by_key(|(fingerprint, _)| *fingerprint);
    let mut culprits = Vec::new();
    loop {
        open.retain(|(_, set)| set.len() >= BLAME_CRASHES);
        // The first of equals, which is the same on all instances with the same evidence.
        let most = open.iter().map(|(_, set)| set.len()).max();
        let Some(explained) =
            open.iter().find(|(_, set)| Some(set.len()) == most).map(|(_, set)| set.clone())
        else {
            return culprits;
        };
        let group = open.iter().filter(|(_, set)| *set == explained);
        culprits.push(group.map(|(fingerprint, _)| *fingerprint).collect());
        for (_, set) in &mut open {
            set.retain(|crash| !explained.contains(crash));
        }
    }
}
