//! Calls that may not be repeated: dispatched by the entry that holds their key.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    claim::{ClaimError, ClaimHolder, ClaimOutcome, PlannedKey},
    dispatch::AttemptError,
    relay::{AnswerSource, RequestRelay},
    wire::CallRequest,
};
use std::sync::Arc;

impl RequestRelay {
    /// Calls a plain service whose calls may not be repeated.
    ///
    /// Outlives its caller, so that a result is recorded also where the caller hangs up.
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
        let mut held: Option<ClaimHolder> = None;
        loop {
            let opened = self.open_attempt().await.map_err(|refusal| self.name_cut_off(refusal));
            if let Err(refusal) = &opened
                && refusal.code == RefusalCode::NoUpstream
                && self.attempts == 0
            {
                return self.find_stored(planned, refusal.clone()).await;
            }
            let forwarded = !matches!(&opened, Ok(attempt) if attempt.is_local());
            if forwarded && let Some(holder) = held.take() {
                holder.release(context.ledger()).await?;
            }
            let attempt = opened?;
            if attempt.is_local() && held.is_none() {
                match self.claim_key(planned).await? {
                    ClaimOutcome::Held(holder) => held = Some(holder),
                    ClaimOutcome::Stored(result) => return Ok((attempt.source, result)),
                }
            }
            match self.call_target(&attempt, call).await {
                Ok(result) => {
                    if let Some(holder) = held {
                        holder.record_result(context.ledger(), &result).await;
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
                            && let Some(holder) = held
                        {
                            holder.release(context.ledger()).await?;
                        }
                        return Err(refusal);
                    }
                }
            }
        }
    }

    /// Claims the key for the attempts of this request.
    ///
    /// The holder's name is made here, since callers may name two requests alike.
    async fn claim_key(&self, planned: &PlannedKey) -> Result<ClaimOutcome, ClaimError> {
        let ledger = self.context.ledger();
        let holder: Arc<str> = self.context.new_request_id().as_str().into();
        let claimer = Arc::clone(&holder);
        let claimed =
            ClaimHolder::claim(ledger, planned, &self.plan, claimer, self.remaining()).await;
        if let Err(ClaimError::Unconfirmed(_)) = claimed {
            self.withdraw_later(planned.clone(), holder);
        }
        claimed
    }

    /// Answers what the ledger knows of a key that no upstream can run now, or else `refusal`.
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

    /// Withdraws a claim while the caller is answered; a graceful stop waits for it.
    fn withdraw_later(&self, planned: PlannedKey, holder: Arc<str>) {
        let context = Arc::clone(&self.context);
        let guard = context.track_request();
        tokio::spawn(async move {
            let _guard = guard;
            planned.withdraw(context.ledger(), holder).await;
        });
    }

    /// Says that the home region can't be reached where another region finds no way to it.
    fn name_cut_off(&self, mut refusal: Refusal) -> Refusal {
        let elsewhere = self.context.node().region != self.plan.home;
        if elsewhere && refusal.code == RefusalCode::NoUpstream {
            refusal.code = RefusalCode::HomeUnreachable;
        }
        refusal
    }
}
