//! Routing policies that the comparison simulates.

use cicadastall::route::policy::{ChoiceRule, RouterPolicy};

/// A policy and its name in reports.
#[derive(Debug, Clone)]
pub struct NamedPolicy {
    /// Name in reports and on the command line.
    pub name: &'static str,
    /// Policy of every router in the simulation.
    pub policy: RouterPolicy,
}

/// Baselines, then earlier versions of the shipped policy, then the shipped policy.
pub fn list_policies() -> Vec<NamedPolicy> {
    let baseline = |name, choice| NamedPolicy { name, policy: RouterPolicy::baseline(choice) };
    vec![
        baseline("random", ChoiceRule::Random),
        baseline("round-robin", ChoiceRule::RoundRobin),
        baseline("least-in-flight", ChoiceRule::LeastInFlight),
        baseline("least-loaded", ChoiceRule::LeastLoaded),
        baseline("predicted", ChoiceRule::Predicted),
        NamedPolicy {
            name: "prefix",
            policy: RouterPolicy { admission: false, forwarding: false, ..shipped() },
        },
        NamedPolicy { name: "admission", policy: RouterPolicy { forwarding: false, ..shipped() } },
        NamedPolicy { name: "unreserved", policy: RouterPolicy { reserve: false, ..shipped() } },
        NamedPolicy {
            name: "copies-apart",
            policy: RouterPolicy { copy_affinity: false, ..shipped() },
        },
        NamedPolicy { name: "shipped", policy: shipped() },
    ]
}

fn shipped() -> RouterPolicy {
    RouterPolicy::default()
}
