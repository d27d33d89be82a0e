//! Non-repeatable calls, which are dispatched by the entry that holds the claim of their key.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    claim::{ClaimError, ClaimOutcome, HeldClaim, PlannedKey},
    dispatch::AttemptError,
    relay::{AnswerSource, RequestRelay},
    wire::CallRequest,
};
use std::sync::Arc;

impl RequestRelay {
    /// Calls a plain service whose calls are not repeatable.
    ///
    /// Runs in its own task, so that the result is recorded even if the caller disconnects.
    pub(crate) async fn run_keyed_call(
        self,
        call: CallRequest,
    ) -> Result<(AnswerSource, serde_json::Value), Refusal> {
        let planned = PlannedKey::read(&self.plan, &call)?;
        let guard = self.context.track_request();
        let run = tokio::spawn(async move {
            let _guard = guard;
            self.claim_and_call(&planned, &call).await
        });
        run.await.unwrap_or_else(|error| {
            Err(Refusal::unknown(RefusalCode::OutcomeUnknown, error.to_string()))
        })
    }

    async fn claim_and_call(
        mut self,
        planned: &PlannedKey,
        call: &CallRequest,
    ) -> Result<(AnswerSource, serde_json::Value), Refusal> {
        let context = Arc::clone(&self.context);
        let mut held: Option<HeldClaim> = None;
        loop {
            let opened =
                self.open_attempt().await.map_err(|refusal| self.mark_home_unreachable(refusal));
            if let Err(refusal) = &opened
                && refusal.code == RefusalCode::NoUpstream
                && self.attempts == 0
            {
                return self.find_stored(planned, refusal.clone()).await;
            }
            let forwarded = !matches!(&opened, Ok(attempt) if attempt.is_local());
            if forwarded && let Some(claim) = held.take() {
                claim.release(context.ledger()).await?;
            }
            let attempt = opened?;
            if attempt.is_local() && held.is_none() {
                match self.claim_key(planned).await? {
                    ClaimOutcome::Held(claim) => held = Some(claim),
                    ClaimOutcome::Stored(result) => return Ok((attempt.source, result)),
                }
            }
            match self.call_target(&attempt, call).await {
                Ok(result) => {
                    if let Some(claim) = held {
                        claim.record_result(context.ledger(), &result).await;
                    }
                    return Ok((attempt.source, result));
                }
                Err(AttemptError::Refused(refusal))
                    if !attempt.is_local() && !refusal.code.is_local() =>
                {
                    return Err(refusal);
                }
                Err(error) => {
                    if let Err(refusal) = self.handle_failure(&attempt, error).await {
                        if self.ran == Ran::No
                            && let Some(claim) = held
                        {
                            claim.release(context.ledger()).await?;
                        }
                        return Err(refusal);
                    }
                }
            }
        }
    }

    /// Claims the key for the attempts of this request.
    ///
    /// The holder gets a generated identifier, since callers may use one request identifier twice.
    async fn claim_key(&self, planned: &PlannedKey) -> Result<ClaimOutcome, ClaimError> {
        let ledger = self.context.ledger();
        let holder: Arc<str> = self.context.new_request_id().as_str().into();
        let claimant = Arc::clone(&holder);
        let claimed =
            HeldClaim::claim(ledger, planned, &self.plan, claimant, self.remaining()).await;
        if let Err(ClaimError::Unconfirmed(_)) = claimed {
            self.withdraw_in_background(planned.clone(), holder);
        }
        claimed
    }

    /// Answers from the ledger when no upstream can run the request, or with `refusal` if the
    /// ledger does not know the key or is unreachable.
    async fn find_stored(
        &self,
        planned: &PlannedKey,
        refusal: Refusal,
    ) -> Result<(AnswerSource, serde_json::Value), Refusal> {
        match planned.find_stored(self.context.ledger(), &self.plan).await {
            Ok(Some(result)) => {
                let region = self.context.node().region.clone();
                Ok((AnswerSource { region, upstream: None }, result))
            }
            Err(error @ ClaimError::Refused(_)) => Err(error.into()),
            Ok(None) | Err(_) => Err(refusal),
        }
    }

    /// Withdraws a claim without delaying the answer; a graceful stop waits until it is withdrawn.
    fn withdraw_in_background(&self, planned: PlannedKey, holder: Arc<str>) {
        let context = Arc::clone(&self.context);
        let guard = context.track_request();
        tokio::spawn(async move {
            let _guard = guard;
            planned.withdraw(context.ledger(), holder).await;
        });
    }

    /// Changes a `no_upstream` refusal outside the home region to `home_unreachable`.
    fn mark_home_unreachable(&self, mut refusal: Refusal) -> Refusal {
        let elsewhere = self.context.node().region != self.plan.home;
        if elsewhere && refusal.code == RefusalCode::NoUpstream {
            refusal.code = RefusalCode::HomeUnreachable;
        }
        refusal
    }
}
