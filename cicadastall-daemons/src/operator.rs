//! HTTP client of the operator ports of instances.

use bytes::Bytes;
use cicadastall::http::{HttpClient, client};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use std::{fmt, net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// Timeout of one call; exceeds the time that a change takes while a region is cut off.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Failure of a call to an operator port.
#[derive(Debug)]
pub enum OperatorError {
    /// The connection failed; no request was sent.
    Unreachable(String),
    /// The request was sent, but no answer came.
    NoAnswer(String),
    /// The status reports an error, or the body cannot be decoded.
    Unexpected(StatusCode, String),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(formatter, "not reachable: {cause}"),
            Self::NoAnswer(cause) => write!(formatter, "no answer: {cause}"),
            Self::Unexpected(status, body) => write!(formatter, "{status}: {}", body.trim()),
        }
    }
}

impl std::error::Error for OperatorError {}

/// A request to an operator port.
#[derive(Debug, Clone)]
pub struct OperatorRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URI.
    pub path: String,
    /// Names and values of additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body, empty for a request without one.
    pub body: Bytes,
}

impl OperatorRequest {
    /// A GET request for `path`, without headers or body.
    pub fn get(path: impl Into<String>) -> Self {
        let path = path.into();
        Self { method: Method::GET, path, headers: Vec::new(), body: Bytes::new() }
    }
}

/// Client of operator ports.
#[derive(Debug, Clone)]
pub struct OperatorClient(HttpClient);

impl Default for OperatorClient {
    fn default() -> Self {
        Self(client(1))
    }
}

impl OperatorClient {
    /// Sends `request` to `address`; returns the status and the body as text.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &OperatorRequest,
    ) -> Result<(StatusCode, String), OperatorError> {
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{address}{}", request.path));
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let built = builder.body(Full::new(request.body.clone()));
        let built = built.map_err(|error| OperatorError::Unreachable(error.to_string()))?;
        let exchange = async {
            let answer = self.0.request(built).await.map_err(|error| {
                let cause = error.to_string();
                if error.is_connect() {
                    OperatorError::Unreachable(cause)
                } else {
                    OperatorError::NoAnswer(cause)
                }
            })?;
            let status = answer.status();
            let body = answer.into_body().collect().await;
            let body = body.map_err(|error| OperatorError::NoAnswer(error.to_string()))?;
            Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
        };
        let late = |_| OperatorError::NoAnswer(format!("nothing within {ANSWER_TIMEOUT:?}"));
        timeout(ANSWER_TIMEOUT, exchange).await.map_err(late)?
    }

    /// Sends a GET request for `path` to `address` and decodes the JSON of a successful answer.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, OperatorError> {
        let (status, body) = self.send(address, &OperatorRequest::get(path)).await?;
        if !status.is_success() {
            return Err(OperatorError::Unexpected(status, body));
        }
        serde_json::from_str(&body).map_err(|_| OperatorError::Unexpected(status, body))
    }
}
