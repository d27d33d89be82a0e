//! Routing policy: the selection rule and the optional mechanisms.

/// Rule that selects one of the candidate upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRule {
    /// A random upstream.
    Random,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest unfinished attempts of this entry.
    LeastInFlight,
    /// The upstream with the fewest requests: those queued, plus the greater of those running
    /// according to its report and the unfinished attempts of this entry.
    LeastLoaded,
    /// The upstream with the best score, which is computed from the predicted latency.
    Predicted,
}

/// Selection rule and mechanisms of a router; entries use the default.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterPolicy {
    /// Selection rule.
    pub choice: ChoiceRule,
    /// Whether predictions leave out prompt tokens that are in an upstream's prefix cache.
    pub prefix: bool,
    /// Whether requests whose predicted latency exceeds their limit are refused immediately.
    pub admission: bool,
    /// Whether such requests are forwarded to other zones.
    pub forwarding: bool,
    /// Whether admission reserves slots for load that is not yet in a report and for flows within
    /// their share.
    pub reserve: bool,
    /// Whether copies of a request prefer the same upstreams.
    pub copy_affinity: bool,
}

impl Default for RouterPolicy {
    fn default() -> Self {
        Self {
            prefix: true,
            admission: true,
            forwarding: true,
            reserve: true,
            copy_affinity: true,
            ..Self::baseline(ChoiceRule::Predicted)
        }
    }
}

impl RouterPolicy {
    /// Creates a policy with the given selection rule and no other mechanism.
    pub fn baseline(choice: ChoiceRule) -> Self {
        Self {
            choice,
            prefix: false,
            admission: false,
            forwarding: false,
            reserve: false,
            copy_affinity: false,
        }
    }
}
