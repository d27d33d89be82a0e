//! A workload: regions, kinds of requests, their load over the day, and faults.

use cicadastall::{
    name::{KindName, ModelName, PoolName, RegionName, WorkspaceName, ZoneName},
    settings::{
        FleetSettings, KindSettings, PoolService, PoolSettings, Rank, RegionSettings, Residency,
        TeamSettings, WorkspaceSettings,
    },
    table::UpstreamRates,
};
use serde::Deserialize;
use std::time::Duration;

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// A whole workload.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name in reports.
    pub name: String,
    /// Simulated time.
    pub duration_s: u64,
    /// Hour of the day at which the workload starts.
    #[serde(default)]
    pub start_hour: f64,
    /// Entries of each availability zone.
    pub entries_per_zone: u32,
    /// Workspaces at home in each region.
    pub workspaces_per_region: u32,
    /// Regions with one availability zone each.
    pub regions: Vec<RegionLoad>,
    /// Delay and rate between any two regions.
    pub link: LinkModel,
    /// Engines of the pool `models`.
    pub engine: UpstreamRates,
    /// Services of the pool `records`.
    pub service: UpstreamRates,
    /// Kinds of requests.
    pub kinds: Vec<KindLoad>,
    /// Faults and floods.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
}

/// One region.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionLoad {
    /// Name.
    pub name: RegionName,
    /// Model engines.
    pub engines: u32,
    /// Plain services.
    pub services: u32,
    /// Share of all requests whose home the region is.
    pub share: f64,
    /// Hour of the daily peak.
    pub peak_hour: f64,
    /// Depth of the daily swing, from 0 to 1.
    pub swing: f64,
    /// Speed of the region's upstreams relative to the common rates.
    #[serde(default = "default_speed")]
    pub speed: f64,
}

fn default_speed() -> f64 {
    1.0
}

/// Delay and rate between two regions.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkModel {
    /// One-way delay.
    pub delay_ms: u64,
    /// Rate of one request's bytes.
    pub bytes_per_s: f64,
}

/// Load of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindLoad {
    /// Name.
    pub name: KindName,
    /// Whether model engines run it; else plain services.
    pub on_engines: bool,
    /// Priority class.
    pub rank: Rank,
    /// Target for the first token.
    pub first_token_ms: u64,
    /// Time after which a caller gives up.
    pub deadline_ms: u64,
    /// Worth of an answer.
    pub worth: f64,
    /// Where it may be answered.
    pub answered_in: Residency,
    /// Whether it may be repeated.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Tokens of a whole prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that others share.
    pub shared_tokens: u32,
    /// Shared prefixes of each workspace.
    pub prefixes: u32,
    /// Tokens of an answer.
    pub answer_tokens: u32,
    /// Requests per second of the whole fleet, averaged over a day.
    pub requests_per_s: f64,
}

fn default_repeatable() -> bool {
    true
}

/// A fault that starts and ends.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// Start.
    pub at_s: u64,
    /// Length.
    pub for_s: u64,
    /// What happens.
    pub fault: FaultKind,
}

/// What happens during a fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// One workspace of each region sends so much of a kind that it would fill the fleet so often.
    Flood {
        /// The kind.
        kind: KindName,
        /// Work offered over the fleet's capacity.
        times: f64,
    },
    /// A share of a region's upstreams crash and stay away.
    Lose {
        /// The region.
        region: RegionName,
        /// Share of its upstreams.
        share: f64,
    },
    /// All prefix caches of a region are lost at the start.
    ColdCaches {
        /// The region.
        region: RegionName,
    },
    /// Two regions cannot reach each other.
    Cut {
        /// The regions.
        regions: [RegionName; 2],
    },
    /// Every upstream in turn leaves, restarts and returns cold within the fault's time.
    RollingRestart,
    /// One engine of a region works at a fraction of its announced rates.
    Slow {
        /// The region.
        region: RegionName,
        /// The fraction.
        speed: f64,
    },
}

/// Reads a workload.
pub fn load_workload(text: &str) -> serde_json::Result<Workload> {
    serde_json::from_str(text)
}

impl Workload {
    /// Multiplies the speed of every upstream.
    pub fn scale_speed(&mut self, factor: f64) {
        for region in &mut self.regions {
            region.speed *= factor;
        }
    }

    /// Requests per second of `kind` from callers at home in `region`, `at` after the start.
    pub fn arrival_rate(&self, kind: &KindLoad, region: &RegionLoad, at: Duration) -> f64 {
        let hour = self.start_hour + at.as_secs_f64() / DAY_S * 24.0;
        let phase = (hour - region.peak_hour) / 24.0 * std::f64::consts::TAU;
        kind.requests_per_s * region.share * (1.0 + region.swing * phase.cos())
    }

    /// Highest value of [`Self::arrival_rate`].
    pub fn highest_rate(&self, kind: &KindLoad, region: &RegionLoad) -> f64 {
        kind.requests_per_s * region.share * (1.0 + region.swing)
    }

    /// Seconds of one upstream at speed 1 that a request takes, its shared prefix cached.
    pub fn work_s(&self, kind: &KindLoad) -> f64 {
        let rates = if kind.on_engines { &self.engine } else { &self.service };
        f64::from(kind.prompt_tokens - kind.shared_tokens) / rates.prefill_tokens_per_s
            + f64::from(kind.answer_tokens) / rates.decode_tokens_per_s
    }

    /// Capacity of the whole fleet for `kind`, in upstreams of speed 1.
    pub fn capacity(&self, kind: &KindLoad) -> f64 {
        self.regions
            .iter()
            .map(|region| {
                let upstreams = if kind.on_engines { region.engines } else { region.services };
                f64::from(upstreams) * region.speed
            })
            .sum()
    }

    /// Name of one workspace.
    pub fn workspace_name(&self, region: &RegionLoad, number: u32) -> WorkspaceName {
        WorkspaceName::new(format!("{}-{number}", region.name))
    }

    /// Name of a region's availability zone.
    pub fn zone_name(region: &RegionLoad) -> ZoneName {
        ZoneName::new(format!("{}-a", region.name))
    }

    /// Settings tree that the workload stands for.
    pub fn make_settings(&self) -> FleetSettings {
        let regions = self.regions.iter().map(|region| {
            let zones = vec![Self::zone_name(region)];
            let link_bytes_per_s = self.link.bytes_per_s as u64;
            (region.name.clone(), RegionSettings { zones, link_bytes_per_s })
        });
        let team = TeamSettings {
            owner: "bench".into(),
            pools: [("models", engine_service()), ("records", PoolService::PlainService)]
                .map(|(name, serves)| (PoolName::from(name), make_pool(serves)))
                .into(),
            kinds: self.kinds.iter().map(|kind| (kind.name.clone(), make_kind(kind))).collect(),
            workspaces: self.make_workspaces().collect(),
        };
        FleetSettings { regions: regions.collect(), teams: [("bench".into(), team)].into() }
    }

    fn make_workspaces(&self) -> impl Iterator<Item = (WorkspaceName, WorkspaceSettings)> {
        let everywhere: Vec<_> = self.regions.iter().map(|region| region.name.clone()).collect();
        self.regions.iter().flat_map(move |region| {
            let everywhere = everywhere.clone();
            (0..self.workspaces_per_region).map(move |number| {
                let settings = WorkspaceSettings {
                    home: region.name.clone(),
                    resides_in: everywhere.clone(),
                    share: 1.0,
                };
                (self.workspace_name(region, number), settings)
            })
        })
    }
}

/// Name of the only model.
pub fn model_name() -> ModelName {
    ModelName::from("model")
}

fn engine_service() -> PoolService {
    PoolService::ModelEngine { models: vec![model_name()] }
}

fn make_pool(serves: PoolService) -> PoolSettings {
    PoolSettings { serves, checks_fencing: false, min_upstreams: 1 }
}

fn make_kind(kind: &KindLoad) -> KindSettings {
    KindSettings {
        pool: PoolName::from(if kind.on_engines { "models" } else { "records" }),
        model: kind.on_engines.then(model_name),
        rank: kind.rank,
        first_token_ms: kind.first_token_ms,
        deadline_ms: kind.deadline_ms,
        worth: kind.worth,
        answered_in: kind.answered_in.clone(),
        repeatable: kind.repeatable,
    }
}
