//! Subtrees of the settings, their versions, and updates that contain only the changed subtrees.

use crate::{
    name::{RegionName, TeamName},
    settings::{FleetSettings, RegionSettings, Revision, SettingsSnapshot, TeamSettings},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt};

/// Name of one subtree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubtreeName {
    /// The regions, which the platform owns.
    Regions,
    /// The subtree of a team.
    Team(TeamName),
}

impl fmt::Display for SubtreeName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Regions => formatter.write_str("regions"),
            Self::Team(team) => write!(formatter, "teams/{team}"),
        }
    }
}

/// Whole content of one subtree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubtreeContent {
    /// The regions.
    Regions(BTreeMap<RegionName, RegionSettings>),
    /// The subtree of a team.
    Team(TeamName, TeamSettings),
    /// The team no longer has a subtree.
    Removed(TeamName),
}

impl SubtreeContent {
    /// Name of the subtree.
    pub fn name(&self) -> SubtreeName {
        match self {
            Self::Regions(_) => SubtreeName::Regions,
            Self::Team(team, _) | Self::Removed(team) => SubtreeName::Team(team.clone()),
        }
    }

    /// The content without the subtree's name, as JSON; `null` for a removed subtree.
    pub fn to_value(&self) -> serde_json::Value {
        let value = match self {
            Self::Regions(regions) => serde_json::to_value(regions),
            Self::Team(_, team) => serde_json::to_value(team),
            Self::Removed(_) => Ok(serde_json::Value::Null),
        };
        value.unwrap_or_default()
    }
}

/// Revision at which each subtree changed last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SubtreeVersions {
    /// Version of the regions.
    pub regions: Revision,
    /// Version of each team's subtree; a removed team keeps the version of its removal, so that no
    /// version is reused.
    pub teams: BTreeMap<TeamName, Revision>,
}

/// Content of a subtree with the revision that set it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedSubtree {
    /// The revision.
    pub version: Revision,
    /// The content.
    pub content: SubtreeContent,
}

/// All subtrees that changed between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsUpdate {
    /// Oldest revision to which the update can be applied.
    pub base: Revision,
    /// Revision after the update.
    pub revision: Revision,
    /// The changed subtrees.
    pub subtrees: Vec<VersionedSubtree>,
}

impl SettingsSnapshot {
    /// Creates the first revision of a fleet.
    pub fn first_revision(tree: FleetSettings) -> Self {
        let revision = Revision(1);
        let teams = tree.teams.keys().map(|team| (team.clone(), revision)).collect();
        Self { revision, tree, versions: SubtreeVersions { regions: revision, teams } }
    }

    /// Revision at which the subtree changed last; 0 if it never existed.
    pub fn version(&self, name: &SubtreeName) -> Revision {
        match name {
            SubtreeName::Regions => self.versions.regions,
            SubtreeName::Team(team) => self.versions.teams.get(team).copied().unwrap_or_default(),
        }
    }

    /// The subtree's content.
    pub fn subtree(&self, name: &SubtreeName) -> SubtreeContent {
        match name {
            SubtreeName::Regions => SubtreeContent::Regions(self.tree.regions.clone()),
            SubtreeName::Team(team) => match self.tree.teams.get(team) {
                Some(settings) => SubtreeContent::Team(team.clone(), settings.clone()),
                None => SubtreeContent::Removed(team.clone()),
            },
        }
    }

    /// Returns the changes after `revision`, or none if nothing changed.
    pub fn changes_after(&self, revision: Revision) -> Option<SettingsUpdate> {
        if self.revision <= revision {
            return None;
        }
        let regions = (SubtreeName::Regions, self.versions.regions);
        let teams = self.versions.teams.iter();
        let teams = teams.map(|(team, version)| (SubtreeName::Team(team.clone()), *version));
        let subtrees = std::iter::once(regions)
            .chain(teams)
            .filter(|(_, version)| *version > revision)
            .map(|(name, version)| VersionedSubtree { version, content: self.subtree(&name) })
            .collect();
        Some(SettingsUpdate { base: revision, revision: self.revision, subtrees })
    }

    /// Applies an update if it is newer and its base is not newer than the held revision. Returns
    /// whether it was applied.
    pub fn apply_update(&mut self, update: &SettingsUpdate) -> bool {
        if update.revision <= self.revision || update.base > self.revision {
            return false;
        }
        for subtree in &update.subtrees {
            if subtree.version > self.version(&subtree.content.name()) {
                self.replace_subtree(subtree.version, subtree.content.clone());
            }
        }
        self.revision = update.revision;
        true
    }

    /// Replaces one subtree, whose version becomes `version`.
    pub(crate) fn replace_subtree(&mut self, version: Revision, content: SubtreeContent) {
        match content {
            SubtreeContent::Regions(regions) => {
                self.tree.regions = regions;
                self.versions.regions = version;
            }
            SubtreeContent::Team(team, settings) => {
                self.versions.teams.insert(team.clone(), version);
                self.tree.teams.insert(team, settings);
            }
            SubtreeContent::Removed(team) => {
                self.tree.teams.remove(&team);
                self.versions.teams.insert(team, version);
            }
        }
    }
}
