//! Upper bound on the patient work that one simulated upstream does beside urgent work.

use bpaf::Bpaf;
use cicadastall::settings::Rank;
use cicadastall_bench::compare::{
    requests::draw_shape,
    workload::{KindLoad, Workload, load_workload},
};
use cicadastall_standins::model::{EngineModel, JobEvent, ModelJob};
use eyre::{OptionExt, WrapErr};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::{collections::BTreeMap, fs, path::PathBuf, time::Duration};
use tokio::time::Instant;

/// Simulated time of a run.
const RUN_DURATION: Duration = Duration::from_secs(1_200);

/// Simulated time between two steps of the upstream.
const STEP_DURATION: Duration = Duration::from_millis(10);

/// Patient jobs that are kept in the queue.
const QUEUED_PATIENT_JOBS: usize = 2;

/// Options of `bound`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct BoundOptions {
    /// Workload file; its first patient kind on engines keeps the queue filled
    #[bpaf(long, argument("FILE"))]
    workload: PathBuf,
    /// Seed of all random choices
    #[bpaf(long, argument("N"), fallback(7))]
    seed: u64,
}

/// Result of a run.
#[derive(Debug, Serialize)]
struct BoundReport {
    /// Share of the time spent on urgent work.
    urgent: f64,
    /// Share of the time without urgent work that was spent on patient work.
    patient: f64,
}

/// Simulates one upstream and prints JSON; fails if the workload has no patient kind on engines.
pub(crate) fn run(options: &BoundOptions) -> eyre::Result<()> {
    let text = fs::read_to_string(&options.workload)
        .wrap_err_with(|| format!("cannot read {}", options.workload.display()))?;
    let report = BoundRun::new(&load_workload(&text)?, options.seed).run_to_end()?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}

/// One simulated upstream whose queue always holds patient jobs.
#[derive(Debug)]
struct BoundRun<'a> {
    workload: &'a Workload,
    engine: EngineModel,
    rng: ChaCha8Rng,
    jobs: BTreeMap<u64, (Rank, f64)>,
    jobs_submitted: u64,
    queued_patient_jobs: usize,
    work_s: BTreeMap<Rank, f64>,
}

impl<'a> BoundRun<'a> {
    fn new(workload: &'a Workload, seed: u64) -> Self {
        Self {
            workload,
            engine: EngineModel::new(workload.engine.clone(), Instant::now()),
            rng: ChaCha8Rng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            jobs_submitted: 0,
            queued_patient_jobs: 0,
            work_s: BTreeMap::new(),
        }
    }

    fn run_to_end(mut self) -> eyre::Result<BoundReport> {
        let kinds = || self.workload.kinds.iter().filter(|kind| kind.on_engines);
        let urgent: Vec<_> = kinds().filter(|kind| kind.rank == Rank::Urgent).collect();
        let patient = kinds().find(|kind| kind.rank == Rank::Patient);
        let patient = patient.ok_or_eyre("the workload has no patient kind on engines")?;
        let engines: u32 = self.workload.regions.iter().map(|region| region.engines).sum();
        let mut now = Instant::now();
        for _ in 0..RUN_DURATION.as_millis() / STEP_DURATION.as_millis() {
            now += STEP_DURATION;
            self.advance(now);
            for kind in &urgent {
                let chance = kind.requests_per_s / f64::from(engines) * STEP_DURATION.as_secs_f64();
                if self.rng.random_bool(chance.min(1.0)) {
                    self.submit(kind);
                }
            }
            while self.queued_patient_jobs < QUEUED_PATIENT_JOBS {
                self.submit(patient);
            }
        }
        let share =
            |rank| self.work_s.get(&rank).copied().unwrap_or(0.0) / RUN_DURATION.as_secs_f64();
        let urgent = share(Rank::Urgent);
        Ok(BoundReport { urgent, patient: share(Rank::Patient) / (1.0 - urgent) })
    }

    fn submit(&mut self, kind: &KindLoad) {
        let shape = draw_shape(kind, 0, 0, &mut self.rng);
        self.jobs_submitted += 1;
        let id = self.jobs_submitted;
        let patient = kind.rank == Rank::Patient;
        self.queued_patient_jobs += usize::from(patient);
        let decode_s = f64::from(kind.answer_tokens) / self.workload.engine.decode_tokens_per_s;
        self.jobs.insert(id, (kind.rank, decode_s));
        self.engine.submit(ModelJob {
            id,
            priority: if patient { 10 } else { 0 },
            blocks: shape.blocks.as_slice().into(),
            prompt_tokens: shape.tokens,
            answer_tokens: shape.answer_tokens,
        });
    }

    fn advance(&mut self, now: Instant) {
        for event in self.engine.advance(now) {
            match event {
                JobEvent::FirstToken { id, cached_tokens } => {
                    self.record_prefill(id, cached_tokens)
                }
                JobEvent::Finished { id } => {
                    if let Some((rank, work_s)) = self.jobs.remove(&id) {
                        *self.work_s.entry(rank).or_default() += work_s;
                    }
                }
            }
        }
    }

    fn record_prefill(&mut self, id: u64, cached_tokens: u32) {
        let Some((rank, work_s)) = self.jobs.get_mut(&id) else { return };
        self.queued_patient_jobs -= usize::from(*rank == Rank::Patient);
        let kinds = self.workload.kinds.iter();
        let mut kinds = kinds.filter(|kind| kind.on_engines && kind.rank == *rank);
        let prompt_tokens = kinds.next().map_or(0, |kind| kind.prompt_tokens);
        let uncached = f64::from(prompt_tokens.saturating_sub(cached_tokens));
        *work_s += uncached / self.workload.engine.prefill_tokens_per_s;
    }
}
