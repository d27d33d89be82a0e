//! Quotas of workspaces: what the lender lends of each, and what an entry has borrowed.

use crate::{
    clock::BootInstant,
    gateway::{
        decision::{
            call::CallHead,
            lent_share::{
                BorrowerName, LENDER_TERM, LOAN_LIFE, ShareAsk, ShareBorrower, ShareBound,
                ShareLender, ShareLoan, ShareShortage,
            },
        },
        document::routes::{QuotaUnit, RouteDocument, WorkspaceQuota},
        settings::QuotaTolerance,
    },
    name::WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Fraction of the tolerance that is lent. The rest is for clocks that advance unequally.
const TOLERANCE_FRACTION: f64 = 0.95;

/// Minimum depth of a bucket, as a fraction of what a window allows, so that a request fits into it.
const LEAST_DEPTH: f64 = 0.125;

/// Maximum number of workspaces in one query; the others follow at once.
pub const MAX_ROWS: usize = 64;

/// Units of a request with `head` under `quota`.
pub fn count_units(quota: &WorkspaceQuota, head: &CallHead) -> f64 {
    match quota.unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens if head.prompt_tokens == 0 && head.answer_tokens == 0 => {
            f64::from(quota.uncounted)
        }
        QuotaUnit::Tokens => f64::from(head.prompt_tokens) + f64::from(head.answer_tokens),
    }
}

/// The bucket that keeps a workspace within its quota and the tolerance in any window.
pub fn bound_quota(quota: &WorkspaceQuota, tolerance: &QuotaTolerance) -> ShareBound {
    let QuotaTolerance { window_s, ratio, extra } = *tolerance;
    let owed = quota.per_s * window_s + quota.burst;
    let most = owed + TOLERANCE_FRACTION * (owed * ratio + extra);
    let depth = (most - quota.per_s * window_s).max(most * LEAST_DEPTH);
    ShareBound { rate: (most - depth) / window_s.max(f64::MIN_POSITIVE), depth }
}

/// Request of an entry for loans.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanQuery {
    /// The process that asks.
    #[serde(rename = "b")]
    pub borrower: BorrowerName,
    /// Number of the query, which increases.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Workspaces for which it asks.
    #[serde(rename = "w")]
    pub rows: Vec<(WorkspaceName, ShareAsk)>,
}

/// Reply to a [`LoanQuery`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoanReply {
    /// Address of the lender, if the receiver is not the lender and knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lender: Option<SocketAddr>,
    /// Whether the receiver is the lender.
    #[serde(default)]
    pub lends: bool,
    /// Loans.
    #[serde(default, rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<(WorkspaceName, ShareLoan)>,
}

/// Lends the quotas of all workspaces while its instance leads.
#[derive(Debug)]
pub struct QuotaLender {
    term: u64,
    led_since: BootInstant,
    confirmed_at: Option<BootInstant>,
    lenders: BTreeMap<WorkspaceName, ShareLender>,
    sequences: BTreeMap<BorrowerName, (u64, BootInstant)>,
}

impl QuotaLender {
    /// A lender for the leader of `term`, which was noticed at `now`.
    pub fn new(term: u64, now: BootInstant) -> Self {
        Self {
            term,
            led_since: now,
            confirmed_at: None,
            lenders: BTreeMap::new(),
            sequences: BTreeMap::new(),
        }
    }

    /// Term for which it lends.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// A majority confirmed that the instance led `term` at `began_at`.
    pub fn confirm(&mut self, began_at: BootInstant) {
        self.confirmed_at = self.confirmed_at.max(Some(began_at));
    }

    /// Replaces the bounds by those of `document`.
    pub fn set_document(
        &mut self,
        document: &RouteDocument,
        tolerance: &QuotaTolerance,
        now: BootInstant,
    ) {
        let limited = document.workspaces.iter().filter_map(|rule| Some((rule, rule.quota?)));
        let mut kept = std::mem::take(&mut self.lenders);
        for (rule, quota) in limited {
            let bound = bound_quota(&quota, tolerance);
            let lender = match kept.remove(&rule.name) {
                Some(mut lender) => {
                    lender.set_bound(bound, now);
                    lender
                }
                None => ShareLender::new(self.term, bound, self.led_since),
            };
            self.lenders.insert(rule.name.clone(), lender);
        }
        // A workspace that comes back must not be lent before the loans of now have ended.
        for (name, mut lender) in kept {
            lender.set_bound(ShareBound::default(), now);
            if lender.lent().next().is_some() {
                self.lenders.insert(name, lender);
            }
        }
    }

    /// Answers `query`; none if no majority has confirmed lately that the instance leads, or if a later
    /// query of the borrower came first.
    pub fn answer(&mut self, query: &LoanQuery, now: BootInstant) -> Option<LoanReply> {
        let confirmed_at = self.confirmed_at?;
        if now >= confirmed_at.saturating_add(LENDER_TERM) {
            return None;
        }
        self.sequences
            .retain(|_, (_, seen_at)| now.saturating_duration_since(*seen_at) < 2 * LOAN_LIFE);
        let known = self.sequences.entry(query.borrower.clone()).or_insert((0, now));
        if query.sequence <= known.0 {
            return None;
        }
        *known = (query.sequence, now);
        let end = confirmed_at.saturating_add(LOAN_LIFE);
        let rows = query.rows.iter().filter_map(|(name, ask)| {
            let loan = self.lenders.get_mut(name)?.lend(&query.borrower, ask, end, now);
            Some((name.clone(), loan))
        });
        Some(LoanReply { lender: None, lends: true, rows: rows.collect() })
    }

    /// The lenders of all workspaces.
    pub fn lenders(&self) -> impl Iterator<Item = (&WorkspaceName, &ShareLender)> {
        self.lenders.iter()
    }
}

/// What an entry has borrowed.
#[derive(Debug)]
pub struct QuotaLedger {
    borrower: BorrowerName,
    sequence: u64,
    borrowers: BTreeMap<WorkspaceName, ShareBorrower>,
}

impl QuotaLedger {
    /// The ledger of the process `borrower`, without loans.
    pub fn new(borrower: BorrowerName) -> Self {
        Self { borrower, sequence: 0, borrowers: BTreeMap::new() }
    }

    fn borrower(&mut self, workspace: &WorkspaceName, now: BootInstant) -> &mut ShareBorrower {
        self.borrowers.entry(workspace.clone()).or_insert_with(|| ShareBorrower::new(now))
    }

    /// Counts `units` that a request of `workspace` asks for, and takes them if it can.
    pub fn ask(
        &mut self,
        workspace: &WorkspaceName,
        units: f64,
        now: BootInstant,
    ) -> Result<(), ShareShortage> {
        let borrower = self.borrower(workspace, now);
        borrower.note_asked(units, now);
        borrower.take(units, now)
    }

    /// Takes `units` for a request that has asked for them before.
    pub fn take(
        &mut self,
        workspace: &WorkspaceName,
        units: f64,
        now: BootInstant,
    ) -> Result<(), ShareShortage> {
        self.borrower(workspace, now).take(units, now)
    }

    /// Calls `change` with the bucket of `workspace`.
    pub fn change<T>(
        &mut self,
        workspace: &WorkspaceName,
        now: BootInstant,
        change: impl FnOnce(&mut ShareBorrower) -> T,
    ) -> T {
        change(self.borrower(workspace, now))
    }

    /// The next query, if any loan is due. Replies to earlier ones must not be accepted any more.
    pub fn next_query(&mut self, now: BootInstant) -> Option<LoanQuery> {
        self.borrowers.retain(|_, borrower| !borrower.is_unused(now));
        let due = self.borrowers.iter_mut().filter(|(_, borrower)| borrower.is_due(now));
        let rows: Vec<_> =
            due.take(MAX_ROWS).map(|(name, borrower)| (name.clone(), borrower.ask(now))).collect();
        if rows.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(LoanQuery { borrower: self.borrower.clone(), sequence: self.sequence, rows })
    }

    /// Asks at `now` for the same workspaces as `query`, whose reply is given up.
    pub fn ask_again(&mut self, query: &LoanQuery, now: BootInstant) -> LoanQuery {
        self.sequence += 1;
        let rows = query.rows.iter().filter_map(|(name, _)| {
            let borrower = self.borrowers.get_mut(name)?;
            borrower.expect_renewal();
            Some((name.clone(), borrower.ask(now)))
        });
        LoanQuery { borrower: self.borrower.clone(), sequence: self.sequence, rows: rows.collect() }
    }

    /// Accepts the reply to the query made at `asked_at`.
    pub fn accept(&mut self, reply: &LoanReply, asked_at: BootInstant, now: BootInstant) {
        for (name, loan) in &reply.rows {
            if let Some(borrower) = self.borrowers.get_mut(name) {
                borrower.accept(loan, asked_at, now);
            }
        }
    }

    /// The lender did not answer `query`.
    pub fn note_unanswered(&mut self, query: &LoanQuery, now: BootInstant) {
        for (name, _) in &query.rows {
            if let Some(borrower) = self.borrowers.get_mut(name) {
                borrower.note_unanswered(now);
            }
        }
    }

    /// Loans in use at `now`: workspace, rate, depth and units left.
    pub fn list(&mut self, now: BootInstant) -> Vec<(WorkspaceName, ShareBound, f64)> {
        let shares = self.borrowers.iter_mut().filter_map(|(name, borrower)| {
            let (bound, level) = borrower.share(now)?;
            Some((name.clone(), bound, level))
        });
        shares.collect()
    }

    /// Time between two looks at the loans that are due, at most.
    pub const LOOK_PERIOD: Duration = Duration::from_millis(100);
}
