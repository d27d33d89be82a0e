//! Requests of a simulated run and what is known of each.

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

/// A request as one entry serves it.
#[derive(Debug)]
pub struct RequestLeg {
    /// Index of the entry's zone.
    pub zone: usize,
    /// Index of the entry.
    pub entry: usize,
    /// Plan by this entry's settings.
    pub plan: Rc<RequestPlan>,
    /// Targets that failed.
    pub tried: TriedTargets,
    /// Attempts so far.
    pub attempts: u32,
    /// Whether any attempt may have run the request.
    pub ran: Ran,
    /// The current attempt on an upstream.
    pub attempt: Option<OpenAttempt>,
}

impl RequestLeg {
    /// A leg without attempts.
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

/// An attempt on an upstream.
#[derive(Debug)]
pub struct OpenAttempt {
    /// Number of the attempt.
    pub id: u64,
    /// Index of the upstream.
    pub upstream: usize,
    /// Ticket of the router.
    pub ticket: SendTicket,
}

/// A request of a caller, over all times that it is asked.
#[derive(Debug)]
pub struct SimRequest {
    /// Index of its kind.
    pub kind: usize,
    /// Index of its home zone.
    pub home: usize,
    /// Number of its workspace.
    pub workspace: u32,
    /// Its prompt.
    pub shape: Arc<PromptShape>,
    /// Blocks of the prompt as upstreams get them.
    pub blocks: Arc<[u64]>,
    /// When it was first asked.
    pub first_asked: Instant,
    /// When it was last asked.
    pub asked: Instant,
    /// How often it was asked.
    pub asks: u32,
    /// Time from the first asking to the first token.
    pub first_token: Option<Duration>,
    /// Whether the first token met its target, counted from the last asking.
    pub on_time: bool,
    /// Work that its answer took, in seconds of an upstream.
    pub work_s: f64,
    /// The entry that the caller asked, and the entry to which it was forwarded.
    pub legs: Vec<RequestLeg>,
    /// Attempts on upstreams and forwards, of all legs and asks.
    pub sends: u32,
}

/// Number of the workspace in each region that sends the floods.
pub const FLOOD_WORKSPACE: u32 = 0;

impl SimRequest {
    /// Whether its workspace is one of those that send the floods.
    pub fn floods_workspace(&self) -> bool {
        self.workspace == FLOOD_WORKSPACE
    }
}

/// Plan of a kind for one workspace.
pub fn make_plan(
    workload: &Workload,
    settings: &FleetSettings,
    zone: usize,
    workspace: u32,
    kind: &KindLoad,
) -> RequestPlan {
    let name = workload.workspace_name(&workload.regions[zone], workspace);
    let plan = settings.plan_kind(&name, &kind.name).expect("the workload's own settings");
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

/// The plan of a request that was forwarded from `region`.
pub fn forward_plan(plan: &RequestPlan, region: &RegionName) -> RequestPlan {
    RequestPlan { forwarded_from: Some(region.clone()), ..plan.clone() }
}

/// A prompt of `kind` whose shared prefix is chosen by popularity.
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
