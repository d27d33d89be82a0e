//! Decides which traits of requests are to blame for crashes of upstreams, without I/O.
//!
//! A trait is anything that requests may have in common: a part of their prompt, or their whole
//! content. At a crash, the traits of all requests that were running become suspects, though most of them
//! only shared the upstream with the culprit.
//!
//! Crashes before the first event of an answer are charged twice: an answer that begins acquits of the
//! one charge, and only a whole answer of the other. Crashes after the first event have the second charge
//! only. The first charge finds most culprits soon and spares what many requests share. What it explains
//! does not count for the second.
//!
//! Culprits are found by a greedy set cover:
//! the suspect with the most crashes is blamed first, and explains its crashes for all others.
//!
//! Crashes at one moment count once, as a failure of several upstreams together has another cause.
//!
//! Suspects with the same crashes cannot be told apart. They are blamed together, as a group that a
//! request must contain as a whole, so that a request that shares only some of them is still sent, and
//! acquits those.

use crate::suspect::{EPISODE_SPAN, RequestFingerprint, SeenCrash, SuspectTable, UpstreamCrash};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// Number of crashes at different moments, explained by no other culprit, after which a trait is
/// blamed if all requests run beside each other. Two may be chance: many requests wait on an upstream
/// when it crashes.
pub const BLAME_EPISODES: usize = 3;

/// Traits that are to blame together.
pub type CulpritGroup = SmallVec<[RequestFingerprint; 2]>;

type CrashTimes<'a> = BTreeMap<&'a UpstreamCrash, Instant>;

/// Finds the culprits among suspects with their crashes; a culprit has crashes at `episodes` moments at
/// least.
pub fn find_culprits<'a>(
    suspects: impl Iterator<Item = (RequestFingerprint, &'a [SeenCrash])>,
    episodes: usize,
) -> Vec<CulpritGroup> {
    let frequent = suspects.filter(|(_, crashes)| crashes.len() >= episodes);
    let mut open: Vec<(RequestFingerprint, CrashTimes<'a>)> = frequent
        .map(|(fingerprint, crashes)| {
            (fingerprint, crashes.iter().map(|seen| (&seen.crash, seen.at)).collect())
        })
        .collect();
    open.sort_by_key(|(fingerprint, _)| *fingerprint);
    let mut culprits = Vec::new();
    loop {
        open.retain(|(_, crashes)| count_episodes(crashes.values().copied()) >= episodes);
        // The first of equals, which is the same on all instances with the same evidence.
        let most = open.iter().map(|(_, crashes)| crashes.len()).max();
        let Some(explained) = open
            .iter()
            .find(|(_, crashes)| Some(crashes.len()) == most)
            .map(|(_, crashes)| crashes.clone())
        else {
            return culprits;
        };
        let group = open.iter().filter(|(_, crashes)| crashes.keys().eq(explained.keys()));
        culprits.push(group.map(|(fingerprint, _)| *fingerprint).collect());
        for (_, crashes) in &mut open {
            crashes.retain(|crash, _| !explained.contains_key(crash));
        }
    }
}

/// Finds the culprits of `table`: those that let no answer begin, then those that let none end, whose
/// crashes the former do not explain.
pub fn find_all_culprits(table: &SuspectTable, episodes: usize) -> Vec<CulpritGroup> {
    let mut culprits = find_culprits(table.suspects(), episodes);
    let explained: BTreeSet<&UpstreamCrash> = culprits
        .iter()
        .flatten()
        .flat_map(|member| table.crashes_of(*member))
        .map(|seen| &seen.crash)
        .collect();
    let unexplained: Vec<(RequestFingerprint, Vec<SeenCrash>)> = table
        .suspects_until_whole()
        .filter(|(_, crashes)| crashes.len() >= episodes)
        .map(|(fingerprint, crashes)| {
            let crashes = crashes.iter().filter(|seen| !explained.contains(&seen.crash));
            (fingerprint, crashes.cloned().collect())
        })
        .collect();
    let rows = unexplained.iter().map(|(fingerprint, crashes)| (*fingerprint, &**crashes));
    culprits.extend(find_culprits(rows, episodes));
    culprits
}

/// Number of spans of [`EPISODE_SPAN`], each beginning with a crash, that hold crashes at `times`.
pub fn count_episodes(times: impl Iterator<Item = Instant>) -> usize {
    let mut times: SmallVec<[Instant; 16]> = times.collect();
    times.sort();
    let mut begin: Option<Instant> = None;
    let begins = times.into_iter().filter(|at| {
        let begins = begin.is_none_or(|begin| *at - begin >= EPISODE_SPAN);
        if begins {
            begin = Some(*at);
        }
        begins
    });
    begins.count()
}
