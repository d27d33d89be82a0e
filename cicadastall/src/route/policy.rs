//! How a router chooses; the shipped policy is the default.

/// Rule by which one of the possible upstreams is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRule {
    /// Any of them.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest unfinished requests of this entry.
    LeastInFlight,
    /// The one with the fewest requests by its report or by this entry's count.
    LeastLoaded,
    /// The one with the lowest predicted time to first token.
    Predicted,
}

/// Mechanisms that a router uses.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterPolicy {
    /// Rule of choice.
    pub choice: ChoiceRule,
    /// Whether prompt tokens in an upstream's prefix cache count as done.
    pub prefix: bool,
    /// Whether requests that would miss their target are refused at once.
    pub admission: bool,
    /// Whether requests that would miss their target go to other regions.
    pub forwarding: bool,
    /// Whether admission leaves room for what a late report does not show and for flows that are
    /// within their share.
    pub reserve: bool,
    /// Whether copies of one request prefer the same upstreams.
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
    /// A rule of choice without any further mechanism.
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
