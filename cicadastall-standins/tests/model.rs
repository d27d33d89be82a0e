//! Tests of the simulated engine: rates, prefix cache, preemption, cancellation and crashes.

use cicadastall::{
    prefix::PrefixView,
    table::{Incarnation, UpstreamRates},
};
use cicadastall_standins::model::{EngineModel, JobEvent, ModelJob};
use std::time::Duration;
use tokio::time::Instant;

fn rates() -> UpstreamRates {
    UpstreamRates {
        prefill_tokens_per_s: 1_000.0,
        decode_tokens_per_s: 100.0,
        max_running: 4,
        kv_tokens: 20_000,
    }
}

fn job(id: u64, priority: i32, prompt_tokens: u32) -> ModelJob {
    let blocks = (0..u64::from(prompt_tokens / 256)).collect();
    ModelJob { id, priority, blocks, prompt_tokens, answer_tokens: 10 }
}

/// Runs the engine until it is idle; returns its events with their times in milliseconds since
/// `start`.
fn run(engine: &mut EngineModel, start: Instant) -> Vec<(u64, JobEvent)> {
    let mut timed_events = Vec::new();
    while let Some(at) = engine.next_event() {
        let events = engine.advance(at);
        timed_events
            .extend(events.into_iter().map(|event| ((at - start).as_millis() as u64, event)));
    }
    timed_events
}

#[test]
fn cached_prefix_shortens_the_first_token() {
    let start = Instant::now();
    let mut engine = EngineModel::new(rates(), start);
    engine.submit(job(1, 0, 1_024));
    let timed_events = run(&mut engine, start);
    assert_eq!(timed_events[0], (1_024, JobEvent::FirstToken { id: 1, cached_tokens: 0 }));
    let again = start + Duration::from_secs(10);
    engine.advance(again);
    engine.submit(job(2, 0, 1_024));
    let timed_events = run(&mut engine, again);
    assert_eq!(timed_events[0], (1, JobEvent::FirstToken { id: 2, cached_tokens: 1_023 }));
}

#[test]
fn urgent_job_preempts_a_patient_prefill() {
    let start = Instant::now();
    let mut engine = EngineModel::new(rates(), start);
    engine.submit(job(1, 10, 4_000));
    let later = start + Duration::from_millis(100);
    engine.advance(later);
    engine.submit(job(2, 0, 100));
    assert_eq!(engine.report().urgent_running, 1);
    let timed_events = run(&mut engine, start);
    assert_eq!(timed_events[0], (200, JobEvent::FirstToken { id: 2, cached_tokens: 0 }));
}

#[test]
fn cancelled_and_crashed_jobs_emit_no_events() {
    let start = Instant::now();
    let mut engine = EngineModel::new(rates(), start);
    engine.submit(job(1, 0, 500));
    engine.submit(job(2, 0, 500));
    engine.submit(job(3, 0, 500));
    engine.cancel(2);
    assert_eq!(engine.crash(), vec![1, 3]);
    assert!(engine.is_idle());
    assert_eq!(engine.next_event(), None);
}

#[test]
fn view_follows_the_cache_until_a_gap_and_again_after_a_full_batch() {
    let start = Instant::now();
    let mut engine = EngineModel::new(rates(), start);
    let mut view = PrefixView::default();
    let shape = cicadastall::prefix::PromptShape {
        tokens: 1_024,
        answer_tokens: 10,
        blocks: job(1, 0, 1_024).blocks.to_vec(),
        ..Default::default()
    };
    view.apply_batch(Incarnation(1), &engine.report().cache);
    engine.submit(job(1, 0, 1_024));
    run(&mut engine, start);
    view.apply_batch(Incarnation(1), &engine.report().cache);
    assert_eq!(view.cached_tokens(&shape), 1_023);
    engine.clear_cache();
    let _lost = engine.report();
    engine.submit(job(2, 0, 256));
    run(&mut engine, start);
    view.apply_batch(Incarnation(1), &engine.report().cache);
    assert_eq!(view.cached_tokens(&shape), 256, "the next report repeats the lost events");
    for id in 3..100 {
        engine.submit(job(id, 0, 1_024));
        run(&mut engine, start);
        engine.clear_cache();
    }
    engine.submit(job(2, 0, 512));
    run(&mut engine, start);
    view.apply_batch(Incarnation(1), &engine.report().cache);
    assert!(!view.is_synchronized(), "more events were lost than a report repeats");
    assert_eq!(view.cached_tokens(&shape), 0);
    for _ in 0..60 {
        view.apply_batch(Incarnation(1), &engine.report().cache);
    }
    assert!(view.is_synchronized());
    assert_eq!(view.cached_tokens(&shape), 512);
}
