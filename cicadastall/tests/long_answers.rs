//! Answers of different lengths in one pool of unequal engines at the peak.

mod load;

use cicadastall::gateway::document::routes::EngineRule;
use load::{AnswerEstimate, CallKind, ChooserPolicy, EngineKind, EnginePace, RegionSize};
use std::time::Duration;

const ENGINE_KIND: EngineKind = EngineKind {
    rule: EngineRule { slots: 64, kv_tokens: 365_000, event_tokens: 7 },
    prefill_tokens_per_ms: 56.6,
    step_ms: 3.79,
    step_ms_per_request: 0.0893,
};

const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];

const REGION: RegionSize = RegionSize {
    entries: 1,
    engines: SPEEDS.len(),
    queue: 134,
    report_interval: Duration::from_millis(400),
};

/// Long prompts with short answers; requests a second are those of the whole region.
const REVIEW: CallKind = CallKind {
    rank: 1,
    target_ms: 800,
    limit_ms: 5_000,
    per_s: 33.6,
    tokens: [2_520, 3_780, 2_890],
    contents: [4, 100],
    answer_tokens: 52,
    estimate: AnswerEstimate::Exact,
    workspace: None,
};

/// Short prompts with answers of different lengths, about which callers know little.
const CHAT: CallKind = CallKind {
    rank: 0,
    target_ms: 600,
    limit_ms: 12_000,
    per_s: 28.0,
    tokens: [119, 79, 628],
    contents: [40, 156],
    answer_tokens: 0,
    estimate: AnswerEstimate::Rough { max_tokens: 952 },
    workspace: None,
};

/// Lengths of the answers in tokens, with their shares; the last one is the largest tenth.
const LENGTHS: [(u32, f64); 4] = [(90, 0.5), (250, 0.25), (500, 0.15), (900, 0.1)];

const DURATION: Duration = Duration::from_secs(16);

/// The largest tenth of a kind must be served at least this often, relative to the whole kind.
const LEAST_SHARE: f64 = 0.5;

#[test]
fn the_longest_answers_are_served_at_least_half_as_often_as_all_at_the_peak() {
    let mut kinds = vec![REVIEW];
    kinds.extend(LENGTHS.map(|(answer_tokens, share)| CallKind {
        answer_tokens,
        per_s: CHAT.per_s * share,
        ..CHAT
    }));
    let paces = SPEEDS.map(EnginePace::steady);
    let mut served = [0.0; LENGTHS.len()];
    let mut asked = [0.0; LENGTHS.len()];
    for seed in 1..=4 {
        let policy = ChooserPolicy::MeasuredLoad;
        let result =
            load::play_engines(REGION, ENGINE_KIND, &kinds, policy, &paces, DURATION, seed);
        println!("seed {seed}: {:?}", result.kinds);
        for (index, kind) in result.kinds[1..].iter().enumerate() {
            served[index] += f64::from(kind.on_time + kind.late);
            asked[index] += f64::from(kind.asked);
        }
    }
    let longest = served[LENGTHS.len() - 1] / asked[LENGTHS.len() - 1];
    let all = served.iter().sum::<f64>() / asked.iter().sum::<f64>();
    assert!(longest >= all * LEAST_SHARE, "longest {longest:.2}, all {all:.2}");
}
