//! The policies that are compared.

use cicadastall::route::policy::{ChoiceRule, RouterPolicy};

/// A policy and its name in reports.
#[derive(Debug, Clone)]
pub struct PolicyEntry {
    /// Name.
    pub name: &'static str,
    /// The policy.
    pub policy: RouterPolicy,
}

/// The baselines, earlier versions of the policy, and last the shipped one.
pub fn list_policies() -> Vec<PolicyEntry> {
    let baseline = |name, choice| PolicyEntry { name, policy: RouterPolicy::baseline(choice) };
    vec![
        baseline("random", ChoiceRule::Random),
        baseline("round-robin", ChoiceRule::RoundRobin),
        baseline("least-in-flight", ChoiceRule::LeastInFlight),
        baseline("least-loaded", ChoiceRule::LeastLoaded),
        baseline("predicted", ChoiceRule::Predicted),
        PolicyEntry {
            name: "prefix",
            policy: RouterPolicy { admission: false, forwarding: false, ..shipped() },
        },
        PolicyEntry { name: "admission", policy: RouterPolicy { forwarding: false, ..shipped() } },
        PolicyEntry { name: "unreserved", policy: RouterPolicy { reserve: false, ..shipped() } },
        PolicyEntry {
            name: "copies-apart",
            policy: RouterPolicy { copy_affinity: false, ..shipped() },
        },
        PolicyEntry { name: "shipped", policy: shipped() },
    ]
}

fn shipped() -> RouterPolicy {
    RouterPolicy::default()
}
