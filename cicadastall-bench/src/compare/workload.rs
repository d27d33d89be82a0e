//! Workload of a simulation: regions, request kinds, their daily load, and faults.

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

/// A workload, as decoded from a file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name in reports.
    pub name: String,
    /// Simulated time in seconds.
    pub duration_s: u64,
    /// Hour of the day at which the workload starts.
    #[serde(default)]
    pub start_hour: f64,
    /// Entries of each availability zone.
    pub entries_per_zone: u32,
    /// Workspaces with their home in each region.
    pub workspaces_per_region: u32,
    /// Regions, each with one availability zone.
    pub regions: Vec<RegionLoad>,
    /// Link between any two regions.
    pub link: LinkModel,
    /// Rates of an engine in the pool `models` at speed 1.
    pub engine: UpstreamRates,
    /// Rates of a service in the pool `records` at speed 1.
    pub service: UpstreamRates,
    /// Request kinds.
    pub kinds: Vec<KindLoad>,
    /// Faults and floods.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
}

/// Upstreams and load of one region.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionLoad {
    /// Name.
    pub name: RegionName,
    /// Model engines.
    pub engines: u32,
    /// Plain services.
    pub services: u32,
    /// Share of all requests whose home is this region.
    pub share: f64,
    /// Hour of the daily peak.
    pub peak_hour: f64,
    /// Amplitude of the daily load curve relative to its mean, from 0 to 1.
    pub swing: f64,
    /// Speed of the region's upstreams as a factor on the common rates.
    #[serde(default = "default_speed")]
    pub speed: f64,
}

fn default_speed() -> f64 {
    1.0
}

/// Delay and data rate between two regions.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkModel {
    /// One-way delay in milliseconds.
    pub delay_ms: u64,
    /// Data rate of one request in bytes per second.
    pub bytes_per_s: f64,
}

/// Settings and load of one request kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindLoad {
    /// Name.
    pub name: KindName,
    /// Whether model engines answer it; otherwise plain services do.
    pub on_engines: bool,
    /// Priority class.
    pub rank: Rank,
    /// Target time to the first token in milliseconds.
    pub first_token_ms: u64,
    /// Time in milliseconds after which a caller gives up.
    pub deadline_ms: u64,
    /// Relative worth of an answer.
    pub worth: f64,
    /// Regions that may answer it.
    pub answered_in: Residency,
    /// Whether it may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Tokens of a prompt.
    pub prompt_tokens: u32,
    /// Leading prompt tokens that are shared with other requests.
    pub shared_tokens: u32,
    /// Number of shared prefixes in each workspace.
    pub prefixes: u32,
    /// Tokens of an answer.
    pub answer_tokens: u32,
    /// Mean requests per second in the whole fleet over a day.
    pub requests_per_s: f64,
}

fn default_repeatable() -> bool {
    true
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// Start in seconds of simulated time.
    pub at_s: u64,
    /// Duration in seconds.
    pub for_s: u64,
    /// Type of the fault.
    pub fault: FaultKind,
}

/// Type of a fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// One workspace of each region sends requests of one kind at a multiple of the fleet capacity.
    Flood {
        /// Request kind of the flood.
        kind: KindName,
        /// Work of the flood as a multiple of the fleet capacity.
        times: f64,
    },
    /// A share of a region's upstreams crashes and stays down until the fault ends.
    Lose {
        /// Affected region.
        region: RegionName,
        /// Share of its upstreams.
        share: f64,
    },
    /// All prefix caches of a region are lost at the start.
    ColdCaches {
        /// Affected region.
        region: RegionName,
    },
    /// The link between two regions is cut.
    Cut {
        /// Both regions.
        regions: [RegionName; 2],
    },
    /// Upstreams leave one after the other over the duration, and restart with empty caches.
    RollingRestart,
    /// The first engine of a region runs at a fraction of its announced rates.
    Slow {
        /// Affected region.
        region: RegionName,
        /// Fraction of the announced rates.
        speed: f64,
    },
}

/// Decodes a workload from JSON; fails if a field is missing or of a wrong type.
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

    /// Requests per second of `kind` whose home is `region`, at the time `at` after the start.
    pub fn arrival_rate(&self, kind: &KindLoad, region: &RegionLoad, at: Duration) -> f64 {
        let hour = self.start_hour + at.as_secs_f64() / DAY_S * 24.0;
        let phase = (hour - region.peak_hour) / 24.0 * std::f64::consts::TAU;
        kind.requests_per_s * region.share * (1.0 + region.swing * phase.cos())
    }

    /// Maximum of [`Self::arrival_rate`] over a day.
    pub fn highest_rate(&self, kind: &KindLoad, region: &RegionLoad) -> f64 {
        kind.requests_per_s * region.share * (1.0 + region.swing)
    }

    /// Seconds that an upstream of speed 1 works on a request whose shared prefix is cached.
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

    /// Name of the workspace with this number in `region`.
    pub fn workspace_name(&self, region: &RegionLoad, number: u32) -> WorkspaceName {
        WorkspaceName::new(format!("{}-{number}", region.name))
    }

    /// Name of a region's availability zone.
    pub fn zone_name(region: &RegionLoad) -> ZoneName {
        ZoneName::new(format!("{}-a", region.name))
    }

    /// Settings tree of the workload, with one team `bench`.
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

/// Name of the only model in a workload.
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
