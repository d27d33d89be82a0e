//! Rates of requests that upstreams state in their answers.

use hyper::{HeaderMap, header::HeaderName};
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// Thousandths in one request per second.
const THOUSANDTHS: f64 = 1_000.0;

/// Highest rate that is stored, in requests per second; far above what any upstream serves.
const MAX_PER_S: f64 = 1e9;

/// A number of requests per second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SendRate(u64);

impl SendRate {
    /// The rate of `per_s` requests per second; `None` if it is negative or not a number.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s >= 0.0).then(|| Self((per_s.min(MAX_PER_S) * THOUSANDTHS) as u64))
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / THOUSANDTHS
    }
}

impl Display for SendRate {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_s())
    }
}

/// What an answer says about the rate of requests that its upstream accepts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// It names no limit.
    #[default]
    Unlimited,
    /// It names a limit that can't be read, which says nothing.
    Invalid,
    /// The upstream accepts this rate from all entries together.
    Limited(SendRate),
}

impl StatedLimit {
    /// Reads the limit from the header `name`: a decimal number of requests per second. Of several values,
    /// the lowest valid one counts.
    pub fn read(headers: &HeaderMap, name: &HeaderName) -> Self {
        let mut values = headers.get_all(name).iter().peekable();
        if values.peek().is_none() {
            return Self::Unlimited;
        }
        let texts = values.filter_map(|value| value.to_str().ok());
        let rates = texts.flat_map(|text| text.split(',')).filter_map(parse_rate);
        match rates.min() {
            Some(rate) => Self::Limited(rate),
            None => {
                log::warn!(header = name.as_str(); "limit of an upstream is not a number of requests per second");
                Self::Invalid
            }
        }
    }

    /// The limit, if a valid one is named.
    pub fn rate(self) -> Option<SendRate> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unlimited | Self::Invalid => None,
        }
    }
}

/// Number of refusals in one second at which a brittle upstream ends, as named in the header `name`. Of
/// several values, the lowest valid one counts.
pub fn read_brittle(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
    let texts = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).filter_map(|text| text.trim().parse().ok()).min()
}

/// Parses a decimal number without sign or exponent.
fn parse_rate(text: &str) -> Option<SendRate> {
    let text = text.trim();
    let decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    decimal.then(|| text.parse().ok()).flatten().and_then(SendRate::new)
}
