//! Predicted times of the first token and of the end of an answer, with the spread of the prediction.
//!
//! What would not end before its deadline is not begun: the engine would read the prompt in vain, and the
//! time would lack for requests that can be served.

/// Assumed time between two tokens before any was measured, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 8.0;

/// Weight of one observation in the moving averages.
const OBSERVATION_WEIGHT: f64 = 0.1;

/// Number of mean deviations that separate the expected end from the end that nearly all answers meet.
const SPREAD_DEVIATIONS: f64 = 1.0;

/// Time between two tokens of an answer in one engine, by the number of requests that run beside it.
///
/// The time grows with the requests beside an answer: each takes part in every step, and their prompts
/// are read between the steps.
#[derive(Debug, Clone, Copy)]
pub struct TokenPace {
    /// Shortest time seen, in milliseconds.
    idle_ms: f64,
    /// Mean time added by each request, in milliseconds.
    request_ms: f64,
    /// Mean absolute deviation of the time, relative to its prediction.
    deviation: f64,
}

impl Default for TokenPace {
    fn default() -> Self {
        Self { idle_ms: DEFAULT_TOKEN_MS, request_ms: 0.0, deviation: 0.0 }
    }
}

impl TokenPace {
    /// Records an answer whose tokens came every `token_ms` milliseconds while `requests` others ran.
    pub fn note_answer(&mut self, token_ms: f64, requests: f64) {
        self.idle_ms = self.idle_ms.min(token_ms);
        let predicted_ms = self.token_ms(requests);
        let request_ms = (token_ms - self.idle_ms) / requests.max(1.0);
        self.request_ms += OBSERVATION_WEIGHT * (request_ms - self.request_ms);
        let deviation = (token_ms - predicted_ms).abs() / predicted_ms;
        self.deviation += OBSERVATION_WEIGHT * (deviation - self.deviation);
    }

    /// Records an answer that did not end although its tokens would have come every `token_ms`
    /// milliseconds; it counts only if it was expected to be faster.
    pub fn note_unfinished(&mut self, token_ms: f64, requests: f64) {
        if token_ms > self.token_ms(requests) {
            self.note_answer(token_ms, requests);
        }
    }

    /// Expected time between two tokens beside `requests` others, in milliseconds.
    pub fn token_ms(&self, requests: f64) -> f64 {
        self.idle_ms + self.request_ms * requests
    }

    /// Expected time between two tokens that most answers do not exceed, in milliseconds.
    pub fn high_token_ms(&self, requests: f64) -> f64 {
        self.token_ms(requests) * (1.0 + SPREAD_DEVIATIONS * self.deviation.min(1.0))
    }
}

/// Predicted times of one request in one engine, from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishForecast {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Time to the last token, in milliseconds.
    pub end_ms: f64,
    /// Time to the last token that most answers of this length meet, in milliseconds.
    pub latest_end_ms: f64,
}

impl FinishForecast {
    /// Forecast of an answer of `tokens` that begins after `first_token_ms` and runs beside `requests`
    /// others.
    pub fn new(first_token_ms: f64, tokens: u32, pace: &TokenPace, requests: f64) -> Self {
        let tokens = f64::from(tokens);
        Self {
            first_token_ms,
            end_ms: first_token_ms + tokens * pace.token_ms(requests),
            latest_end_ms: first_token_ms + tokens * pace.high_token_ms(requests),
        }
    }

    /// Time by which the answer would end after its deadline, in milliseconds; 0 if it ends in time.
    pub fn overrun_ms(&self, remaining_ms: f64) -> f64 {
        (self.latest_end_ms - remaining_ms).max(0.0)
    }
}
