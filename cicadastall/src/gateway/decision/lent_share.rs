//! A bound of the whole fleet, lent in shares for a time.
//!
//! The bound is a bucket of `depth` units that fills with `rate` units a second. The lender divides both
//! among borrowers and keeps the rest, from which it gives units to those that are short. At any time the
//! shares that may be in use add up to at most the bound, so that in any window the fleet takes at most
//! `depth + rate * window`:
//!
//! - a borrower starts with an empty bucket, and its units never exceed its depth;
//! - a smaller share counts as smaller only once its borrower confirms it, or when the older one has ended;
//! - a loan ends by itself, for the borrower earlier than for the lender;
//! - a new lender renews loans that their borrowers still hold. Until all loans of the earlier lender have
//!   ended, it lends nothing else but a tenth of the bound, which no lender divides by demand.

use crate::{clock::BootInstant, name::InstanceName, wire::is_default};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Life of a loan, counted from the lender's last confirmation that it leads.
pub const LOAN_LIFE: Duration = Duration::from_millis(3_000);

/// Time after a confirmation for which a lender lends on its strength. A loan with less time left is not
/// renewed by a new lender, as the earlier one may still lend it to others.
pub const LENDER_TERM: Duration = Duration::from_millis(600);

/// Time after the end of a loan at which the lender counts its share as free: bound of the difference
/// between two clocks over the life of a loan.
const END_MARGIN: Duration = Duration::from_millis(100);

/// Time over which a borrower averages its demand, in seconds.
const DEMAND_PERIOD_S: f64 = 2.0;

/// Fraction of the demand that is lent in addition to it, while there is room.
const RATE_HEADROOM: f64 = 1.1;

/// Fraction of the rate that is lent by demand; the rest goes to borrowers that are short.
const LENT_FRACTION: f64 = 0.9;

/// Fraction of the bound that is never part of a share, so that a new lender may give it at once.
const RESERVED: f64 = 0.1;

/// Fraction of the depth that is lent by demand; the rest is for borrowers that are short.
const LENT_DEPTH: f64 = 0.5;

/// Fraction of the depth that is lent evenly.
const EVEN_DEPTH: f64 = 0.4;

/// Number of large requests for which a borrower holds units.
const FEW_REQUESTS: f64 = 4.0;

/// Units that a borrower may hold, in seconds of its demand.
const DEPTH_S: f64 = 2.0;

/// Fraction of the depth that the lender must hold to fill buckets beyond what their borrowers need now.
const PLENTY: f64 = 0.2;

/// Fraction of the lender's units that one borrower gets beyond what it needs now.
const FILL_FRACTION: f64 = 0.25;

/// Time for which a borrower that could not be helped refuses at once.
const SCARCE_TIME: Duration = Duration::from_millis(200);

/// Interval between two renewals of a loan in use.
const RENEW_PERIOD: Duration = Duration::from_millis(1_000);

/// Interval between two exchanges of a borrower whose bucket is nearly empty.
const REFILL_PERIOD: Duration = Duration::from_millis(400);

/// Time after which a borrower confirms a share that has become much smaller.
const CONFIRM_PERIOD: Duration = Duration::from_millis(100);

/// Fraction of the depth below which a smaller share is confirmed early.
const MUCH_SMALLER: f64 = 0.75;

/// Fraction of the depth below which a bucket is nearly empty.
const NEARLY_EMPTY: f64 = 0.4;

/// Time without demand after which a loan is returned.
const IDLE_TIME: Duration = Duration::from_millis(10_000);

/// Bounds of the delay that a refusal names, if no better one is known.
const RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(5_000));

/// A bucket that bounds what the fleet takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShareBound {
    /// Units a second.
    pub rate: f64,
    /// Units that may be taken at once.
    pub depth: f64,
}

/// A loan as its borrower holds it. Messages carry numbers under one letter, as entries ask often.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HeldShare {
    /// Term of the lender.
    #[serde(rename = "t", skip_serializing_if = "is_default")]
    pub term: u64,
    /// Number of the loan; 0 if the borrower holds none.
    #[serde(rename = "s", skip_serializing_if = "is_default")]
    pub serial: u64,
    /// Units a second; stated only to a new lender.
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    pub rate: f64,
    /// Maximum number of units; stated only to a new lender.
    #[serde(rename = "d", skip_serializing_if = "is_default")]
    pub depth: f64,
    /// Time until it ends, in milliseconds.
    #[serde(rename = "l", skip_serializing_if = "is_default")]
    pub left_ms: u32,
}

/// What a borrower asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ShareAsk {
    /// The loan that it holds.
    #[serde(rename = "h", skip_serializing_if = "is_default")]
    pub held: HeldShare,
    /// Units asked of it, a second.
    #[serde(rename = "a", skip_serializing_if = "is_default")]
    pub demand: f64,
    /// Units in its bucket.
    #[serde(rename = "v", skip_serializing_if = "is_default")]
    pub level: f64,
    /// Units that requests are waiting for.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub need: f64,
    /// Units of a large request.
    #[serde(rename = "m", skip_serializing_if = "is_default")]
    pub largest: f64,
    /// Units that a smaller share could not hold any more, which the lender has back.
    #[serde(rename = "b", skip_serializing_if = "is_default")]
    pub returned: f64,
}

/// A loan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ShareLoan {
    /// Term of the lender.
    #[serde(rename = "t")]
    pub term: u64,
    /// Number of the loan; 0 if nothing was lent.
    #[serde(rename = "s", skip_serializing_if = "is_default")]
    pub serial: u64,
    /// Units a second.
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    pub rate: f64,
    /// Maximum number of units.
    #[serde(rename = "d", skip_serializing_if = "is_default")]
    pub depth: f64,
    /// Units that are added to the bucket.
    #[serde(rename = "u", skip_serializing_if = "is_default")]
    pub units: f64,
    /// Time from the borrower's request until the loan ends, in milliseconds.
    #[serde(rename = "l")]
    pub life_ms: u32,
    /// Whether the lender did not have the units that requests are waiting for.
    #[serde(rename = "x", skip_serializing_if = "is_default")]
    pub scarce: bool,
}

/// Process that borrows.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BorrowerName(
    /// The instance.
    pub InstanceName,
    /// Number of the process, chosen at random when it starts.
    pub u64,
);

/// Fraction by which rounding may lower what is lent.
const NEARLY_ALL: f64 = 0.001;

/// Steps in a unit to which messages round smaller numbers, which keeps them short.
const WIRE_STEPS: f64 = 100.0;

/// Steps by which the rounding of level, depth and units may add up.
const ROUNDING_STEPS: f64 = 3.0;

/// Number from which messages carry whole units.
const WHOLE_UNITS: f64 = 1_000.0;

fn wire_steps(units: f64) -> f64 {
    if units < WHOLE_UNITS { WIRE_STEPS } else { 1.0 }
}

fn round_down(units: f64) -> f64 {
    let steps = wire_steps(units);
    (units * steps).floor() / steps
}

fn round_up(units: f64) -> f64 {
    let steps = wire_steps(units);
    ((units * steps).ceil() + 1.0) / steps
}

#[derive(Debug, Clone, Copy, Default)]
struct LentRow {
    /// Share that the borrower confirmed.
    held: ShareBound,
    held_serial: u64,
    /// Share that was lent since, whose loan has this number.
    pending: ShareBound,
    serial: u64,
    demand: f64,
    /// Share that the borrower had from the earlier lender.
    renewed: ShareBound,
    /// When the share is free again; none before the first loan.
    free_at: Option<BootInstant>,
}

impl LentRow {
    fn counted(&self) -> ShareBound {
        ShareBound {
            rate: self.held.rate.max(self.pending.rate),
            depth: self.held.depth.max(self.pending.depth),
        }
    }

    /// Applies what the borrower says that it holds. It gave up the replies to its earlier requests.
    /// Returns whether it confirms the last loan for the first time.
    fn confirm(&mut self, held: &HeldShare) -> bool {
        let first = held.serial == self.serial && held.serial != self.held_serial;
        if held.serial == self.serial {
            (self.held, self.held_serial) = (self.pending, self.serial);
        } else if held.serial != self.held_serial {
            (self.held, self.held_serial) = (ShareBound::default(), held.serial);
        }
        self.pending = self.held;
        first
    }
}

/// Lends the shares of one bound. Its instance must lead while it lends.
#[derive(Debug)]
pub struct ShareLender {
    term: u64,
    bound: ShareBound,
    /// When all loans of the earlier lender have ended.
    lends_from: BootInstant,
    /// Whether they have.
    lends: bool,
    /// Units that are not lent.
    level: f64,
    filled_at: BootInstant,
    rows: BTreeMap<BorrowerName, LentRow>,
}

impl ShareLender {
    /// A lender for the leader of `term`, which has led since `led_since`.
    pub fn new(term: u64, bound: ShareBound, led_since: BootInstant) -> Self {
        // The earlier lender lends no more from then on.
        let gives_from = led_since.saturating_add(LENDER_TERM + END_MARGIN);
        Self {
            term,
            bound,
            lends_from: led_since.saturating_add(LOAN_LIFE + END_MARGIN),
            lends: false,
            level: 0.0,
            filled_at: gives_from,
            rows: BTreeMap::new(),
        }
    }

    /// Changes the bound. What is lent beyond a lower one is not renewed.
    pub fn set_bound(&mut self, bound: ShareBound, now: BootInstant) {
        self.fill(now);
        self.bound = bound;
    }

    /// Shares that may be in use at `now`, by borrower.
    pub fn lent(&self) -> impl Iterator<Item = (&BorrowerName, ShareBound)> {
        self.rows.iter().map(|(name, row)| (name, row.counted()))
    }

    /// Demand of all borrowers, in units a second.
    pub fn demand(&self) -> f64 {
        self.rows.values().map(|row| row.demand).sum()
    }

    /// The bound.
    pub fn bound(&self) -> ShareBound {
        self.bound
    }

    /// Sum of the shares that may be in use.
    pub fn sum_lent(&self) -> ShareBound {
        let add = |sum: ShareBound, row: &LentRow| {
            let ShareBound { rate, depth } = row.counted();
            ShareBound { rate: sum.rate + rate, depth: sum.depth + depth }
        };
        self.rows.values().fold(ShareBound::default(), add)
    }

    /// The part of the bound that is not lent. Until the loans of the earlier lender have ended, what this
    /// one has lent beyond them comes out of the reserve.
    fn free(&self) -> ShareBound {
        let lent = self.sum_lent();
        let free = ShareBound {
            rate: (self.bound.rate - lent.rate).max(0.0),
            depth: (self.bound.depth - lent.depth).max(0.0),
        };
        if self.lends {
            return free;
        }
        let renewed: f64 = self.rows.values().map(|row| row.renewed.depth).sum();
        let reserve = (RESERVED * self.bound.depth - (lent.depth - renewed).max(0.0)).max(0.0);
        ShareBound {
            rate: free.rate.min(RESERVED * self.bound.rate),
            depth: free.depth.min(reserve),
        }
    }

    /// Adds the units of the free rate up to `now`, and frees the shares of loans that have ended.
    fn fill(&mut self, now: BootInstant) {
        if !self.lends && now >= self.lends_from {
            self.add_units(self.lends_from);
            self.lends = true;
        }
        self.add_units(now);
        self.rows.retain(|_, row| row.free_at.is_none_or(|at| now < at));
    }

    fn add_units(&mut self, until: BootInstant) {
        let free = self.free();
        let elapsed = until.saturating_duration_since(self.filled_at).as_secs_f64();
        self.level = (self.level + free.rate * elapsed).min(free.depth);
        self.filled_at = self.filled_at.max(until);
    }

    /// Lends to `borrower` until `end`, which is at most [`LOAN_LIFE`] after a confirmation that the
    /// instance leads.
    pub fn lend(
        &mut self,
        borrower: &BorrowerName,
        ask: &ShareAsk,
        end: BootInstant,
        now: BootInstant,
    ) -> ShareLoan {
        self.fill(now);
        let life_ms = u32::try_from(end.saturating_duration_since(now).as_millis()).unwrap_or(0);
        let refused =
            ShareLoan { term: self.term, life_ms, scarce: ask.need > 0.0, ..ShareLoan::default() };
        let row = self.rows.entry(borrower.clone()).or_default();
        row.demand = ask.demand.max(0.0);
        let free_at = end.max(now).saturating_add(END_MARGIN);
        row.free_at = Some(row.free_at.map_or(free_at, |at| at.max(free_at)));
        let renews = !self.lends && ask.held.term != self.term;
        let left = Duration::from_millis(u64::from(ask.held.left_ms));
        if renews && ask.held.serial != 0 && ask.held.depth <= 0.0 {
            return refused;
        }
        if renews && ask.held.serial != 0 && left > LENDER_TERM {
            row.held = ShareBound { rate: ask.held.rate, depth: ask.held.depth };
            (row.pending, row.renewed) = (row.held, row.held);
        } else {
            let serial = if ask.held.term == self.term { ask.held.serial } else { 0 };
            if row.confirm(&HeldShare { serial, ..ask.held }) {
                // The depth that held them counted until now.
                self.level = (self.level + ask.returned.max(0.0)).min(self.free().depth);
            }
        }
        let (next, most) = self.divide(borrower, ask);
        let share = ShareBound { rate: round_down(next.rate), depth: round_down(next.depth) };
        let units = round_down(most);
        let level_before = self.level;
        let Some(row) = self.rows.get_mut(borrower) else { return refused };
        row.pending = share;
        row.serial += 1;
        let serial = row.serial;
        self.level = (level_before - units).min(self.free().depth).max(0.0);
        let ShareBound { rate, depth } = share;
        let scarce = units < ask.need * (1.0 - NEARLY_ALL);
        ShareLoan { term: self.term, serial, rate, depth, units, life_ms, scarce }
    }

    /// The next share of `borrower`, and the units that it gets at once.
    fn divide(&self, borrower: &BorrowerName, ask: &ShareAsk) -> (ShareBound, f64) {
        let ShareBound { rate, depth } = self.bound;
        let free = self.free();
        let held = self.rows.get(borrower).map(LentRow::counted).unwrap_or_default();
        let (own, demand) = (ask.demand.max(0.0), self.demand().max(f64::MIN_POSITIVE));
        let factor = RATE_HEADROOM.min(LENT_FRACTION * rate / demand);
        // While there is room, all that asked lately keep units for a few requests.
        let even = EVEN_DEPTH * depth / self.rows.len() as f64;
        let by_demand = (own * DEPTH_S).max(FEW_REQUESTS * ask.largest);
        let by_demand = by_demand.min(even.max(LENT_DEPTH * depth * own / demand));
        // Where a share of the rate takes long to bring one request, requests get units when they ask.
        let least = if factor < 1.0 { 2.0 * ask.largest } else { ask.largest };
        let lends_rate = by_demand >= least && own * DEPTH_S >= ask.largest;
        let spare = ShareBound {
            rate: (free.rate - RESERVED * rate).max(0.0),
            depth: (free.depth - (1.0 - LENT_DEPTH) * depth).max(0.0),
        };
        let (next_rate, usual) = match (self.lends, lends_rate) {
            (true, true) => ((own * factor).min(held.rate + spare.rate), by_demand),
            (true, false) => (0.0, by_demand),
            (false, _) => (held.rate, held.depth),
        };
        let usual = usual.min(held.depth + spare.depth);
        let room = (usual - ask.level).max(0.0);
        let plenty = (self.level - PLENTY * depth).max(0.0);
        let filled = room.min(plenty * FILL_FRACTION);
        // Less than one request would lie idle in the bucket.
        let reserved = if self.lends { RESERVED * depth } else { 0.0 };
        let most = held.depth + (free.depth - reserved).max(0.0);
        let part = ask.need.min(most - ask.level).min(self.level).max(0.0);
        let needed = if part >= ask.need.min(ask.largest) { part } else { 0.0 };
        let units = filled.max(needed);
        let next_depth = usual.max(if units > 0.0 { ask.level + units } else { 0.0 });
        (ShareBound { rate: next_rate, depth: next_depth }, units)
    }
}

/// Delay after which a caller that was refused may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareShortage {
    /// When there will be room, as far as it is known.
    pub retry_after: Duration,
    /// Whether the lender may still help at once.
    pub may_wait: bool,
}

/// A borrower's bucket.
#[derive(Debug)]
pub struct ShareBorrower {
    loan: Option<(HeldShare, BootInstant)>,
    level: f64,
    /// Units that were taken and may be returned.
    open: f64,
    filled_at: BootInstant,
    demand: f64,
    noted_at: BootInstant,
    asked_at: Option<BootInstant>,
    largest: f64,
    returned: f64,
    /// Units that requests wait for, and the number of these requests.
    waiting: (f64, u32),
    /// Whether the loan may have to be renewed by a new lender.
    renews: bool,
    /// Whether the lender waits for the confirmation of a smaller share.
    shrank: bool,
    exchanged_at: Option<BootInstant>,
    scarce_until: BootInstant,
    /// When the rate will have brought the units of all who were told to come back.
    promised_until: BootInstant,
}

impl ShareBorrower {
    /// A borrower without a loan.
    pub fn new(now: BootInstant) -> Self {
        Self {
            loan: None,
            level: 0.0,
            open: 0.0,
            filled_at: now,
            demand: 0.0,
            noted_at: now,
            asked_at: None,
            largest: 0.0,
            returned: 0.0,
            waiting: (0.0, 0),
            renews: false,
            shrank: false,
            exchanged_at: None,
            scarce_until: now,
            promised_until: now,
        }
    }

    /// Adds the units of the loan up to `now`, and ends a loan whose time is over.
    fn fill(&mut self, now: BootInstant) {
        let Some((held, end)) = self.loan else { return };
        if now >= end {
            (self.loan, self.level) = (None, 0.0);
            return;
        }
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let room = (held.depth - self.open).max(0.0);
        self.level = (self.level + held.rate * elapsed).min(room);
    }

    fn decay(&mut self, now: BootInstant) {
        let elapsed = now.saturating_duration_since(self.noted_at).as_secs_f64();
        let factor = (-elapsed / DEMAND_PERIOD_S).exp();
        self.demand *= factor;
        self.largest *= (-elapsed / (10.0 * DEMAND_PERIOD_S)).exp();
        self.noted_at = self.noted_at.max(now);
    }

    /// Counts `units` that a request asks for, once for each request.
    pub fn note_asked(&mut self, units: f64, now: BootInstant) {
        self.decay(now);
        self.demand += units / DEMAND_PERIOD_S;
        self.largest = self.largest.max(units);
        self.asked_at = Some(now);
    }

    /// Takes `units`, which [`Self::settle`] or [`Self::give_back`] must follow.
    pub fn take(&mut self, units: f64, now: BootInstant) -> Result<(), ShareShortage> {
        self.fill(now);
        if self.loan.is_some() && self.level >= units {
            self.level -= units;
            self.open += units;
            return Ok(());
        }
        let may_wait = now >= self.scarce_until;
        Err(ShareShortage { retry_after: RETRY_DELAYS.0, may_wait })
    }

    /// Delay that a request for `units` is told which is refused at `now`. Later ones are told longer
    /// delays, as the rate serves one after the other.
    pub fn promise(&mut self, units: f64, now: BootInstant) -> Duration {
        let rate = self.loan.map_or(0.0, |(held, _)| held.rate);
        let (least, most) = RETRY_DELAYS;
        let wait = Duration::try_from_secs_f64(units / rate).unwrap_or(most).min(most);
        let from = self.promised_until.max(now);
        let until = from.saturating_add(wait).min(now.saturating_add(most));
        self.promised_until = until;
        until.saturating_duration_since(now).max(least)
    }

    /// Units that were taken will not be returned.
    pub fn settle(&mut self, units: f64) {
        self.open -= units;
        // What is left is an error of rounding.
        if self.open < NEARLY_ALL {
            self.open = 0.0;
        }
    }

    /// Returns units that were taken and not used.
    pub fn give_back(&mut self, units: f64, now: BootInstant) {
        self.fill(now);
        self.settle(units);
        if let Some((held, _)) = self.loan {
            self.level = (self.level + units).min((held.depth - self.open).max(0.0));
        }
    }

    /// A request waits for `units`.
    pub fn begin_wait(&mut self, units: f64) {
        self.waiting = (self.waiting.0 + units, self.waiting.1 + 1);
    }

    /// A request does not wait for `units` any more.
    pub fn end_wait(&mut self, units: f64) {
        let (sum, count) = self.waiting;
        // The sum of none is 0 whatever the rounding.
        self.waiting = if count <= 1 { (0.0, 0) } else { ((sum - units).max(0.0), count - 1) };
    }

    /// Whether the borrower should ask the lender now.
    pub fn is_due(&self, now: BootInstant) -> bool {
        let since = |at: Option<BootInstant>| at.map(|at| now.saturating_duration_since(at));
        let idle = since(self.asked_at).is_none_or(|idle| idle >= IDLE_TIME);
        let Some(quiet) = since(self.exchanged_at) else { return !idle };
        let waits = self.waiting.1 > 0 && now >= self.scarce_until;
        let Some((held, end)) = self.loan else {
            return waits || !idle && quiet >= REFILL_PERIOD;
        };
        let ended = now >= end;
        if self.shrank && quiet >= CONFIRM_PERIOD {
            return true;
        }
        let low = !idle && self.level < NEARLY_EMPTY * held.depth && quiet >= REFILL_PERIOD;
        waits || low || quiet >= RENEW_PERIOD && (!idle || !ended && held.depth > 0.0)
    }

    /// Whether the borrower needs no loan and may be forgotten.
    pub fn is_unused(&self, now: BootInstant) -> bool {
        let idle = self.asked_at.is_none_or(|at| now.saturating_duration_since(at) >= IDLE_TIME);
        let lent = self.loan.is_some_and(|(held, end)| now < end && held.depth > 0.0);
        idle && !lent && self.open <= 0.0 && self.waiting.1 == 0
    }

    /// What to ask the lender for at `now`. A reply to an earlier request must not be accepted any more.
    pub fn ask(&mut self, now: BootInstant) -> ShareAsk {
        self.fill(now);
        self.decay(now);
        self.exchanged_at = Some(now);
        let held = self.loan.map_or_else(HeldShare::default, |(held, end)| {
            let left = end.saturating_duration_since(now).as_millis();
            let left_ms = u32::try_from(left).unwrap_or(u32::MAX);
            let (rate, depth) = if self.renews { (held.rate, held.depth) } else { (0.0, 0.0) };
            HeldShare { left_ms, rate, depth, ..held }
        });
        let idle = self.asked_at.is_none_or(|at| now.saturating_duration_since(at) >= IDLE_TIME);
        let (waiting, count) = self.waiting;
        // Messages round the depth down, which must still hold what is waited for.
        let need = (waiting - self.level).max(0.0) + ROUNDING_STEPS / wire_steps(waiting);
        ShareAsk {
            held,
            demand: if idle { 0.0 } else { round_up(self.demand) },
            level: round_down(self.level),
            need: if count > 0 { round_up(need) } else { 0.0 },
            largest: if idle { 0.0 } else { round_up(self.largest) },
            returned: round_down(std::mem::take(&mut self.returned)),
        }
    }

    /// Accepts the reply to the request made at `asked_at`.
    pub fn accept(&mut self, loan: &ShareLoan, asked_at: BootInstant, now: BootInstant) {
        self.fill(now);
        if loan.scarce {
            self.scarce_until = now.saturating_add(SCARCE_TIME);
        }
        let end = asked_at.saturating_add(Duration::from_millis(u64::from(loan.life_ms)));
        let newest = self.loan.map_or(0, |(held, _)| held.term);
        if loan.serial == 0 && loan.term > newest {
            (self.renews, self.exchanged_at) = (true, None);
        }
        if loan.serial == 0 || now >= end || loan.term < newest {
            return;
        }
        self.renews = false;
        let ShareLoan { term, serial, rate, depth, units, .. } = *loan;
        let earlier = self.loan.map_or(0.0, |(held, _)| held.depth);
        self.shrank = depth < MUCH_SMALLER * earlier;
        if self.loan.is_none() {
            self.filled_at = now;
        }
        self.loan = Some((HeldShare { term, serial, rate, depth, left_ms: 0 }, end));
        let room = (depth - self.open).max(0.0);
        self.returned = if depth < earlier { (self.level - room).max(0.0) } else { 0.0 };
        self.level = (self.level + units).min(room);
    }

    /// Another instance may lend from now on.
    pub fn expect_renewal(&mut self) {
        self.renews = true;
    }

    /// The lender did not answer, so that requests need not wait for it.
    pub fn note_unanswered(&mut self, now: BootInstant) {
        self.expect_renewal();
        self.scarce_until = now.saturating_add(SCARCE_TIME);
    }

    /// Whether a loan is in use at `now`.
    pub fn has_loan(&self, now: BootInstant) -> bool {
        self.loan.is_some_and(|(_, end)| now < end)
    }

    /// The loan in use at `now`: rate, depth and units left.
    pub fn share(&mut self, now: BootInstant) -> Option<(ShareBound, f64)> {
        self.fill(now);
        let (held, _) = self.loan?;
        Some((ShareBound { rate: held.rate, depth: held.depth }, self.level))
    }
}
