//! How a router chooses; the shipped policy is the default.

/// Rule by which one of the possible upstreams is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
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
    #[default]
    Predicted,
}

/// Mechanisms that a router uses.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouterPolicy {
    /// Rule of choice.
    pub choice: ChoiceRule,
}
