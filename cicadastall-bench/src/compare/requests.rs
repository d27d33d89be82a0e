//! Requests of a simulation with their state and prompts.

use cicadastall::{
    answer::Ran,
    decode::{RequestBody, RequestPlan},
    name::{RegionName, RequestId},
    prefix::{BLOCK_TOKENS, PromptShape, chain_block},
    route::{TriedTargets, tracker::SendTicket},
    settings::FleetSettings,
    suspect::RequestFingerprint,
    wire::CallRequest,
};
use rand::{Rng, RngExt};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::Instant;

use crate::compare::workload::{KindLoad, Workload};

/// State of a request at one entry.
#[derive(Debug)]
pub struct RequestHop {
    /// Index of the entry's zone.
    pub zone: usize,
    /// Index of the entry.
    pub entry: usize,
    /// Plan of the request at this entry.
    pub plan: Rc<RequestPlan>,
    /// Upstreams and zones that failed or refused the request.
    pub tried: TriedTargets,
    /// Sends to upstreams and forwards to zones so far.
    pub attempts: u32,
    /// Whether any attempt may have run the request.
    pub ran: Ran,
    /// Open attempt on an upstream.
    pub attempt: Option<OpenAttempt>,
}

impl RequestHop {
    /// A hop without attempts.
    pub fn new(zone: usize, entry: usize, plan: Rc<RequestPlan>) -> Self {
        Self {
            zone,
            entry,
            plan,
            tried: TriedTargets::default(),
            attempts: 0,
            ran: Ran::No,
            attempt: None,
        }
    }
}

/// An open attempt on an upstream.
#[derive(Debug)]
pub struct OpenAttempt {
    /// Number of the attempt.
    pub id: u64,
    /// Index of the upstream.
    pub upstream: usize,
    /// Ticket under which the router recorded the send.
    pub ticket: SendTicket,
}

/// A request of a caller over all its submissions; a refused request may be submitted again.
#[derive(Debug)]
pub struct SimulatedRequest {
    /// Index of its kind.
    pub kind: usize,
    /// Index of its home zone.
    pub home: usize,
    /// Number of its workspace.
    pub workspace: u32,
    /// Prompt and expected answer.
    pub shape: Arc<PromptShape>,
    /// Block hashes of the prompt, as jobs take them.
    pub blocks: Arc<[u64]>,
    /// Time of the first submission.
    pub first_submitted_at: Instant,
    /// Time of the last submission.
    pub submitted_at: Instant,
    /// Number of submissions.
    pub submissions: u32,
    /// Time from the first submission to the first token.
    pub first_token: Option<Duration>,
    /// Whether the first token met its target, measured from the last submission.
    pub on_time: bool,
    /// Upstream time that its answer took at speed 1, in seconds.
    pub work_s: f64,
    /// Hop at the entry that the caller contacted, then the hop it was forwarded to, if any.
    pub hops: Vec<RequestHop>,
    /// Attempts on upstreams and forwards over all hops and submissions.
    pub sends: u32,
}

/// Number of the workspace in each region that sends floods.
pub const FLOOD_WORKSPACE: u32 = 0;

impl SimulatedRequest {
    /// Whether its workspace sends floods; true for its normal requests as well.
    pub fn is_from_flood_workspace(&self) -> bool {
        self.workspace == FLOOD_WORKSPACE
    }
}

/// Plan for requests of `kind` from one workspace.
pub fn make_plan(
    workload: &Workload,
    settings: &FleetSettings,
    zone: usize,
    workspace: u32,
    kind: &KindLoad,
) -> RequestPlan {
    let name = workload.workspace_name(&workload.regions[zone], workspace);
    let plan =
        settings.plan_kind(&name, &kind.name).expect("the settings were made from this workload");
    RequestPlan {
        request: RequestId::from("bench"),
        team: plan.team.clone(),
        home: plan.workspace.home.clone(),
        share: plan.workspace.share,
        workspace: name,
        kind: kind.name.clone(),
        rank: kind.rank,
        worth: kind.worth,
        pool: plan.kind.pool.clone(),
        model: plan.kind.model.clone(),
        regions: plan.regions,
        first_token: Duration::from_millis(kind.first_token_ms),
        deadline: Duration::from_millis(kind.deadline_ms),
        repeatable: kind.repeatable,
        forwarded_from: None,
        resent: false,
        session: None,
        key: None,
        acknowledged: Default::default(),
        body: RequestBody::Call(CallRequest { arguments: serde_json::Value::Null }),
    }
}

/// Copy of `plan` for a request that was forwarded from `region`.
pub fn forward_plan(plan: &RequestPlan, region: &RegionName) -> RequestPlan {
    RequestPlan { forwarded_from: Some(region.clone()), ..plan.clone() }
}

/// Draws a prompt of `kind`; prefixes with low numbers are the most popular.
pub fn draw_shape(kind: &KindLoad, zone: usize, workspace: u32, rng: &mut impl Rng) -> PromptShape {
    let popularity: f64 = rng.random();
    let prefix = (popularity * popularity * f64::from(kind.prefixes)) as u64;
    let seed = [zone as u64, u64::from(workspace), prefix].map(u64::to_le_bytes).concat();
    let mut parent = chain_block(0, &[kind.name.as_str().as_bytes(), &seed].concat());
    let unique: u64 = rng.random();
    let blocks = (0..kind.prompt_tokens / BLOCK_TOKENS).map(|number| {
        let shared = (number + 1) * BLOCK_TOKENS <= kind.shared_tokens;
        let text = if shared { u64::from(number) } else { unique };
        parent = chain_block(parent, &text.to_le_bytes());
        parent
    });
    PromptShape {
        blocks: blocks.collect(),
        tokens: kind.prompt_tokens,
        answer_tokens: kind.answer_tokens,
        fingerprint: RequestFingerprint::compute(&RegionName::from(""), &[&unique.to_le_bytes()]),
    }
}
