//! Settings of the fleet: a tree with one subtree for each team and one for the regions, which the
//! platform owns.

use crate::{
    name::{KindName, ModelName, PoolName, RegionName, TeamName, WorkspaceName, ZoneName},
    subtree::SubtreeVersions,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// The whole tree of settings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Regions of the fleet and the availability zones in each.
    pub regions: BTreeMap<RegionName, RegionSettings>,
    /// One subtree for each team.
    pub teams: BTreeMap<TeamName, TeamSettings>,
}

/// Settings of one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSettings {
    /// Availability zones of the region.
    pub zones: Vec<ZoneName>,
    /// Bandwidth that requests from other regions may use, in bytes per second.
    #[serde(default = "default_link_bytes_per_s")]
    pub link_bytes_per_s: u64,
}

/// The subtree that one team owns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSettings {
    /// Name of the person or group responsible for the subtree.
    pub owner: String,
    /// Groups of upstreams.
    pub pools: BTreeMap<PoolName, PoolSettings>,
    /// Kinds of requests.
    pub kinds: BTreeMap<KindName, KindSettings>,
    /// Workspaces of the callers; each is one tenant.
    pub workspaces: BTreeMap<WorkspaceName, WorkspaceSettings>,
}

/// A group of upstreams that serve the same kinds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Type of the upstreams in the pool.
    pub serves: PoolService,
    /// Whether the upstreams reject orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Minimum number of upstreams that stay loaded in each region, even without demand.
    #[serde(default = "default_min_upstreams")]
    pub min_upstreams: u32,
}

/// Type of the upstreams in a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PoolService {
    /// Model engines that stream tokens.
    ModelEngine {
        /// Models that the engines may load.
        models: Vec<ModelName>,
    },
    /// A plain service that answers calls.
    PlainService,
}

/// Priority class of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Late answers are of little use.
    Urgent,
    /// May wait while urgent work is served.
    Patient,
}

/// Regions that may answer a kind, before the limits of the workspace apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Residency {
    /// Only in the home region of the workspace.
    Home,
    /// In any region where the workspace's data may reside.
    Anywhere,
    /// In the listed regions where the workspace's data may reside.
    Regions(Vec<RegionName>),
}

/// Settings of one kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSettings {
    /// Pool whose upstreams run the kind.
    pub pool: PoolName,
    /// Model to request, if the pool contains model engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// Priority class.
    pub rank: Rank,
    /// Target for the first token, or for the whole answer of a plain service, in milliseconds.
    pub first_token_ms: u64,
    /// Time limit after which an unfinished request fails, in milliseconds.
    pub deadline_ms: u64,
    /// Value of one answered request relative to other kinds.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// Regions that may answer the kind.
    pub answered_in: Residency,
    /// Whether a request may be run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

/// Settings of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSettings {
    /// Region that holds the workspace's ledger and receives its requests first.
    pub home: RegionName,
    /// Regions where the workspace's data may reside, the home region included.
    pub resides_in: Vec<RegionName>,
    /// Share of the fleet relative to other workspaces when capacity is short.
    #[serde(default = "default_share")]
    pub share: f64,
}

fn default_link_bytes_per_s() -> u64 {
    250_000_000
}

fn default_min_upstreams() -> u32 {
    1
}

fn default_worth() -> f64 {
    1.0
}

fn default_share() -> f64 {
    1.0
}

fn default_repeatable() -> bool {
    true
}

/// Revision number of the settings; each accepted change increments it by one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The settings of one accepted revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsSnapshot {
    /// Number of the revision.
    pub revision: Revision,
    /// The whole tree.
    pub tree: FleetSettings,
    /// Revision at which each subtree changed last.
    #[serde(default)]
    pub versions: SubtreeVersions,
}

/// How requests of one kind from one workspace are served.
#[derive(Debug, Clone, PartialEq)]
pub struct KindPlan<'a> {
    /// Team that owns the workspace and the kind.
    pub team: &'a TeamName,
    /// Settings of the workspace.
    pub workspace: &'a WorkspaceSettings,
    /// Settings of the kind.
    pub kind: &'a KindSettings,
    /// Regions that may answer, the home region first; empty if no region may.
    pub regions: SmallVec<[RegionName; 4]>,
}

/// Reason why a workspace or kind is not in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanError {
    /// No team defines the workspace.
    UnknownWorkspace,
    /// The workspace's team does not define the kind.
    UnknownKind,
}

impl FleetSettings {
    /// Returns how requests of `kind` from `workspace` are served, or which of the two is unknown.
    pub fn plan_kind(
        &self,
        workspace: &WorkspaceName,
        kind: &KindName,
    ) -> Result<KindPlan<'_>, PlanError> {
        let (team, subtree) = self
            .teams
            .iter()
            .find(|(_, team)| team.workspaces.contains_key(workspace))
            .ok_or(PlanError::UnknownWorkspace)?;
        let workspace = &subtree.workspaces[workspace];
        let kind = subtree.kinds.get(kind).ok_or(PlanError::UnknownKind)?;
        let regions = permitted_regions(workspace, kind);
        Ok(KindPlan { team, workspace, kind, regions })
    }
}

/// Returns the regions that may answer `kind` for `workspace`, the home region first.
fn permitted_regions(
    workspace: &WorkspaceSettings,
    kind: &KindSettings,
) -> SmallVec<[RegionName; 4]> {
    let allowed = |region: &RegionName| match &kind.answered_in {
        Residency::Home => *region == workspace.home,
        Residency::Anywhere => true,
        Residency::Regions(regions) => regions.contains(region),
    };
    let mut regions: SmallVec<[RegionName; 4]> =
        workspace.resides_in.iter().filter(|region| allowed(region)).cloned().collect();
    regions.sort_by_key(|region| *region != workspace.home);
    regions
}
