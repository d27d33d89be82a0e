//! Orders that a stand-in upstream received, with or without a check of their fencing tokens.

use cicadastall::{name::ModelName, wire::UpstreamOrder};

/// Orders that one upstream has applied, oldest first.
#[derive(Debug, Clone, Default)]
pub struct OrderLog {
    checks_fencing: bool,
    highest_fence: u64,
    applied: Vec<UpstreamOrder>,
}

/// The order's fencing token is lower than one that the upstream has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleOrder {
    /// Highest fencing token that the upstream has seen.
    pub highest_fence: u64,
}

impl OrderLog {
    /// Creates an empty log; with `checks_fencing` it rejects orders with an outdated fencing
    /// token.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, ..Self::default() }
    }

    /// Applies `order`; fails if the log checks fencing tokens and this one is outdated.
    pub fn apply(&mut self, order: UpstreamOrder) -> Result<(), StaleOrder> {
        if self.checks_fencing && order.fence < self.highest_fence {
            return Err(StaleOrder { highest_fence: self.highest_fence });
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.applied.push(order);
        Ok(())
    }

    /// Model of the last applied order; `None` if it assigned none or no order was applied.
    pub fn model(&self) -> Option<&ModelName> {
        self.applied.last()?.model.as_ref()
    }

    /// Whether an order was applied after one with a higher fencing token.
    pub fn applied_stale_order(&self) -> bool {
        self.applied.windows(2).any(|pair| pair[1].fence < pair[0].fence)
    }
}
