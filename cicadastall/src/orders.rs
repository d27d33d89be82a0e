//! Orders to upstreams under the region's lease.

use crate::{
    http::{CallError, HttpClient, call_json},
    lease::{HeldLease, ORDER_DELIVERY_MARGIN},
    placement::PlacementOrder,
    wire::UpstreamOrder,
};
use hyper::Method;
use std::{fmt, future::Future, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Path of orders at upstreams.
pub const ORDERS_PATH: &str = "/v1/orders";

/// Longest time to deliver one order, connection included; below [`ORDER_DELIVERY_MARGIN`].
pub const DELIVERY_TIMEOUT: Duration = Duration::from_millis(1_500);

const _: () = assert!(DELIVERY_TIMEOUT.as_millis() < ORDER_DELIVERY_MARGIN.as_millis());

/// Carries orders to upstreams.
pub trait OrderTransport: Send + Sync {
    /// Delivers `order`; gives up after [`DELIVERY_TIMEOUT`], after which it must not arrive.
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
    /// The lease does not last long enough; nothing was sent.
    LeaseTooShort,
    /// The upstream refused it, for instance because of its fencing number.
    Refused(String),
    /// It may or may not have arrived.
    Undelivered(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseTooShort => formatter.write_str("the lease does not last long enough"),
            Self::Refused(cause) => write!(formatter, "order refused: {cause}"),
            Self::Undelivered(cause) => write!(formatter, "order not confirmed: {cause}"),
        }
    }
}

impl std::error::Error for OrderError {}

/// Sends one order, if `lease` lasts until it has arrived.
///
/// The clock is read here and not by the caller, as the process may have been stopped since the
/// decision was made.
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
