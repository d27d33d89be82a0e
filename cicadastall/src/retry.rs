//! Whether a request may be attempted again after a failed attempt.

use crate::{answer::Ran, decode::RequestPlan};

/// Most attempts for one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Whether the request itself permits another attempt: a call that may not be repeated is sent
/// again only while it is certain that it was not run.
pub fn permits_attempt(plan: &RequestPlan, ran: Ran, attempts: u32) -> bool {
    attempts < MAX_ATTEMPTS && (plan.repeatable || ran == Ran::No)
}
