//! Lease of an entry's document, under which requests with keys are served.
//!
//! A majority confirms which document is the newest. While a confirmed read began less than the bound
//! ago, and the entry holds a document at least as new as that read saw, no key that the entry accepts
//! can have been removed by a document that was acknowledged longer ago than the bound.

use crate::clock::BootInstant;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Part of the bound that is left for clocks of instances that run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// A read of the newest document that a majority of control instances confirmed, as told to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedRead {
    /// Number of the document that the read saw; 0 if there was none.
    pub number: u64,
    /// Time since the read began, in milliseconds, rounded up.
    pub age_ms: u64,
    /// Time for which the sender has held the query that this answers, in milliseconds, rounded down.
    pub held_ms: u64,
}

impl ConfirmedRead {
    /// Earliest time at which the read can have begun, for a query that was sent at `asked_at`.
    pub fn began(&self, asked_at: BootInstant) -> BootInstant {
        let held_until = asked_at.saturating_add(Duration::from_millis(self.held_ms));
        held_until.saturating_sub(Duration::from_millis(self.age_ms))
    }
}

/// The newest confirmed read that a control instance has made, by its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRecord {
    /// When the read began.
    pub began: BootInstant,
    /// Number of the document that it saw; 0 if there was none.
    pub number: u64,
}

impl ReadRecord {
    /// The record at `now`, as told to an entry whose query arrived at `arrived`.
    pub fn describe(&self, arrived: BootInstant, now: BootInstant) -> ConfirmedRead {
        let age = now.saturating_duration_since(self.began);
        let held = now.saturating_duration_since(arrived);
        ConfirmedRead {
            number: self.number,
            age_ms: age.as_nanos().div_ceil(1_000_000) as u64,
            held_ms: held.as_millis() as u64,
        }
    }
}

/// Time for which an entry may serve requests with keys by the document that it holds.
#[derive(Debug)]
pub struct DocumentLease {
    duration: Duration,
    held: u64,
    confirmed: Option<BootInstant>,
    /// Starts of confirmed reads that saw documents that the entry doesn't hold yet, by number.
    ahead: BTreeMap<u64, BootInstant>,
}

impl DocumentLease {
    /// A lease that is not valid yet, for the bound `bound` on the revocation of a key.
    pub fn new(bound: Duration) -> Self {
        let duration = bound.saturating_sub(CLOCK_MARGIN);
        Self { duration, held: 0, confirmed: None, ahead: BTreeMap::new() }
    }

    /// Renews the lease by a confirmed read that began at `read_began` and saw the document `number`.
    pub fn renew(&mut self, read_began: BootInstant, number: u64) {
        if number <= self.held {
            self.confirmed = self.confirmed.max(Some(read_began));
            return;
        }
        let began = self.ahead.entry(number).or_insert(read_began);
        *began = read_began.max(*began);
        let oldest = read_began.saturating_sub(self.duration);
        self.ahead.retain(|_, began| *began >= oldest);
    }

    /// Records that the entry uses the document `number`. Must be called after the document took effect.
    pub fn note_document(&mut self, number: u64) {
        self.held = self.held.max(number);
        let newer = self.ahead.split_off(&self.held.saturating_add(1));
        let seen = std::mem::replace(&mut self.ahead, newer);
        self.confirmed = self.confirmed.max(seen.into_values().max());
    }

    /// Whether requests that were received before `now` may be served.
    pub fn is_valid(&self, now: BootInstant) -> bool {
        self.age(now).is_some_and(|age| age < self.duration)
    }

    /// Time since the newest confirmed read of the document that the entry holds; none without any.
    pub fn age(&self, now: BootInstant) -> Option<Duration> {
        self.confirmed.map(|began| now.saturating_duration_since(began))
    }
}
