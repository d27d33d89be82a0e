//! Sends placement orders to upstreams while the region's lease is held.

use crate::{
    http::{CallError, HttpClient, call_json},
    lease::{HeldLease, ORDER_DELIVERY_MARGIN},
    placement::PlacementOrder,
    wire::UpstreamOrder,
};
use hyper::Method;
use std::{fmt, future::Future, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Path to which upstreams accept orders.
pub const ORDERS_PATH: &str = "/v1/orders";

/// Timeout for the delivery of one order, including the connection; shorter than [`ORDER_DELIVERY_MARGIN`].
pub const DELIVERY_TIMEOUT: Duration = Duration::from_millis(1_500);

const _: () = assert!(DELIVERY_TIMEOUT.as_millis() < ORDER_DELIVERY_MARGIN.as_millis());

/// Transport of orders to upstreams.
pub trait OrderTransport: Send + Sync {
    /// Delivers `order`; fails after [`DELIVERY_TIMEOUT`], and the order must not arrive later.
    fn deliver(
        &self,
        address: SocketAddr,
        order: UpstreamOrder,
    ) -> impl Future<Output = Result<(), OrderError>> + Send;
}

impl OrderTransport for HttpClient {
    async fn deliver(&self, address: SocketAddr, order: UpstreamOrder) -> Result<(), OrderError> {
        let call =
            call_json(self, Method::POST, address, ORDERS_PATH, Some(&order), DELIVERY_TIMEOUT);
        let answer: Result<serde_json::Value, CallError> = call.await;
        match answer {
            Ok(_) => Ok(()),
            Err(CallError::Status(status, text)) => {
                Err(OrderError::Refused(format!("status {status}: {text}")))
            }
            Err(error) => Err(OrderError::Undelivered(error.to_string())),
        }
    }
}

/// Why an order was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// The lease expires too soon; nothing was sent.
    LeaseTooShort,
    /// The upstream refused the order, for example because of its fencing token.
    Refused(String),
    /// The order was not confirmed and may have arrived.
    Undelivered(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseTooShort => formatter.write_str("the lease expires too soon"),
            Self::Refused(cause) => write!(formatter, "order refused: {cause}"),
            Self::Undelivered(cause) => write!(formatter, "order not confirmed: {cause}"),
        }
    }
}

impl std::error::Error for OrderError {}

/// Sends one order if `lease` remains valid until the order has arrived.
///
/// Reads the clock immediately before sending, since the process may have been suspended after the
/// decision.
pub async fn send_order(
    transport: &impl OrderTransport,
    lease: &HeldLease,
    order: &PlacementOrder,
) -> Result<(), OrderError> {
    if !lease.permits_order(Instant::now()) {
        return Err(OrderError::LeaseTooShort);
    }
    let body = UpstreamOrder {
        fence: lease.fence,
        model: order.model.clone(),
        version: None,
        adapters: Vec::new(),
    };
    transport.deliver(order.address, body).await
}
