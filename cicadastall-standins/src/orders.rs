//! How a stand-in upstream takes orders: it checks their fencing number, or ignores it.

use cicadastall::{name::ModelName, wire::UpstreamOrder};

/// Orders of one upstream.
#[derive(Debug, Clone, Default)]
pub struct OrderLog {
    checks_fencing: bool,
    highest_fence: u64,
    applied: Vec<UpstreamOrder>,
}

/// An order with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleOrder {
    /// Highest number that the upstream has seen.
    pub highest_fence: u64,
}

impl OrderLog {
    /// A book of an upstream that refuses orders with an old fencing number, or acts on them.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, ..Self::default() }
    }

    /// Acts on `order`, unless the upstream checks its number and finds it old.
    pub fn apply(&mut self, order: UpstreamOrder) -> Result<(), StaleOrder> {
        if self.checks_fencing && order.fence < self.highest_fence {
            return Err(StaleOrder { highest_fence: self.highest_fence });
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.applied.push(order);
        Ok(())
    }

    /// Model of the newest order on which the upstream acted.
    pub fn model(&self) -> Option<&ModelName> {
        self.applied.last()?.model.as_ref()
    }

    /// Whether the upstream acted on an order after one of a later holder.
    pub fn applied_stale_order(&self) -> bool {
        self.applied.windows(2).any(|pair| pair[1].fence < pair[0].fence)
    }
}
