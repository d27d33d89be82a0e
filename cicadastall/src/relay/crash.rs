//! Refuses quarantined requests, isolates suspects, and reports upstream crashes.

use crate::{
    answer::{Refusal, RefusalCode},
    crash_probe::{ProbeVerdict, probe_upstream},
    decode::{RequestBody, RequestPlan},
    dispatch::{AttemptError, AttemptTarget},
    quarantine::{IsolationLease, SuspectRegistry},
    relay::{OpenAttempt, RequestRelay},
    suspect::{RequestFingerprint, Suspicion, UpstreamCrash},
    table::UpstreamView,
    wire::ChatMessage,
};
use smallvec::SmallVec;
use std::time::Duration;
use tokio::time::sleep;

/// Delay before a suspect requests exclusive use of an upstream again.
const ISOLATION_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether an attempt of a suspect may start.
#[derive(Debug)]
pub(super) enum AttemptPermit {
    /// The attempt may start without isolation.
    Free,
    /// The attempt may start with exclusive use of its upstream among suspects.
    Isolated(IsolationLease),
    /// The attempt must wait.
    Busy,
}

/// Computes the fingerprint of a plan's workspace, kind and body.
pub(super) fn fingerprint_plan(
    registry: &SuspectRegistry,
    plan: &RequestPlan,
) -> RequestFingerprint {
    let body = match &plan.body {
        RequestBody::Chat(chat) => serde_json::to_vec(&chat.messages),
        RequestBody::Call(call) => serde_json::to_vec(&call.arguments),
    };
    let body = body.unwrap_or_default();
    registry.fingerprint(&[
        plan.workspace.as_str().as_bytes(),
        plan.kind.as_str().as_bytes(),
        &body,
    ])
}

/// Fingerprints of the messages of a plan that other requests may share: all but the last.
pub(super) fn fingerprint_messages(
    registry: &SuspectRegistry,
    plan: &RequestPlan,
) -> SmallVec<[RequestFingerprint; 4]> {
    let RequestBody::Chat(chat) = &plan.body else { return SmallVec::new() };
    let shared = chat.messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let parts = |message: &ChatMessage| {
        let ChatMessage { role, content } = message;
        registry.fingerprint(&[
            b"message",
            plan.kind.as_str().as_bytes(),
            role.as_bytes(),
            content.as_bytes(),
        ])
    };
    shared.iter().map(parts).collect()
}

impl RequestRelay {
    /// Fails if a message that the request shares with others is quarantined.
    pub(super) fn check_messages(&self) -> Result<(), Refusal> {
        match self.context.suspects().find_message_quarantine(&self.messages) {
            Some(remaining) => Err(self.refuse_quarantined(remaining)),
            None => Ok(()),
        }
    }

    /// Whether the request is suspected of having crashed an upstream.
    pub(super) fn is_suspect(&self) -> bool {
        self.context.suspects().classify(self.shape.fingerprint) == Suspicion::Suspect
    }

    /// Refuses a quarantined request, and isolates a suspect on the upstream of `view`.
    ///
    /// No attempt starts while this entry is still probing whether a copy of the request crashed
    /// its upstream.
    pub(super) async fn permit_attempt(
        &self,
        view: &UpstreamView,
    ) -> Result<AttemptPermit, Refusal> {
        if self.context.suspects().is_probing(self.shape.fingerprint) {
            sleep(ISOLATION_RETRY_DELAY).await;
            return Ok(AttemptPermit::Busy);
        }
        match self.context.suspects().classify(self.shape.fingerprint) {
            Suspicion::None => Ok(AttemptPermit::Free),
            Suspicion::Quarantined { remaining } => Err(self.refuse_quarantined(remaining)),
            Suspicion::Suspect => {
                let lease = IsolationLease::acquire(
                    self.context.suspects(),
                    self.context.peer_clients(),
                    self.shape.fingerprint,
                    view.record.name.clone(),
                    self.next_attempt_id(),
                    self.remaining(),
                );
                if let Some(lease) = lease.await {
                    return Ok(AttemptPermit::Isolated(lease));
                }
                sleep(ISOLATION_RETRY_DELAY).await;
                Ok(AttemptPermit::Busy)
            }
        }
    }

    /// Probes the upstream of a failed attempt and reports a crash to the region's instances.
    ///
    /// A request that was sent after this instance learned of the crash was not running at the
    /// crash and is not reported. A request whose deadline has passed gets its final answer
    /// immediately, without a probe.
    pub(super) async fn probe_failed_upstream(
        &self,
        attempt: &OpenAttempt,
        error: &AttemptError,
    ) -> Result<(), Refusal> {
        let (AttemptError::Broken(_), AttemptTarget::Upstream { address, .. }) =
            (error, &attempt.target)
        else {
            return Ok(());
        };
        let Some(upstream) = &attempt.source.upstream else {
            return Ok(());
        };
        let _probe = self.context.suspects().begin_probe(self.shape.fingerprint);
        let verdict = probe_upstream(*address, self.remaining()).await;
        log::info!(
            attempt = attempt.id.as_str(), upstream = upstream.as_str();
            "upstream probed after an incomplete answer: {verdict:?}"
        );
        if verdict != ProbeVerdict::Crashed {
            return Ok(());
        }
        let crash =
            UpstreamCrash { upstream: upstream.clone(), incarnation: attempt.incarnation.0 };
        let registry = self.context.suspects();
        if registry.is_known_before(&crash, attempt.chosen_at) {
            return Ok(());
        }
        match registry
            .report_crash(
                self.context.peer_clients(),
                self.shape.fingerprint,
                &self.messages,
                crash,
            )
            .await
        {
            Suspicion::Quarantined { remaining } => Err(self.refuse_quarantined(remaining)),
            _ => Ok(()),
        }
    }

    /// Clears a suspect whose answer is complete.
    pub(super) async fn clear_suspect(&self, attempt: &OpenAttempt) {
        if attempt.isolation.is_some() {
            let clients = self.context.peer_clients();
            self.context.suspects().report_complete(clients, self.shape.fingerprint).await;
        }
    }

    fn refuse_quarantined(&self, remaining: Duration) -> Refusal {
        let message =
            format!("the request crashed upstreams; fingerprint {}", self.shape.fingerprint);
        Refusal { ran: self.ran, ..Refusal::not_run(RefusalCode::Quarantined, message) }
            .retry_after(remaining)
    }
}
