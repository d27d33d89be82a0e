//! Validation of settings in JSON; reports all faults at once, each with its path.

use crate::{
    fault::{FaultKind, FaultList, SettingsFault, ValuePath},
    json_document::{JsonNode, excerpt},
    schema::{self, ValueSchema},
    settings::FleetSettings,
};
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};

/// Decodes a whole tree. Returns every fault if the tree is invalid.
pub fn check_settings(text: &[u8]) -> Result<FleetSettings, Vec<SettingsFault>> {
    let document = parse_document(text)?;
    let mut faults = FaultList::default();
    schema::FLEET.check(&document, &ValuePath::root(), &mut faults);
    check_references(&document, &mut faults);
    decode_checked(text, faults)
}

/// Decodes the subtree of one team. References are validated by [`check_settings`] only.
pub fn check_team<T: DeserializeOwned>(team: &str, text: &[u8]) -> Result<T, Vec<SettingsFault>> {
    check_subtree(text, &schema::TEAM, &ValuePath::root().key("teams").key(team))
}

/// Decodes the regions' subtree. References are validated by [`check_settings`] only.
pub fn check_regions<T: DeserializeOwned>(text: &[u8]) -> Result<T, Vec<SettingsFault>> {
    check_subtree(text, &schema::REGIONS, &ValuePath::root().key("regions"))
}

fn check_subtree<T: DeserializeOwned>(
    text: &[u8],
    schema: &ValueSchema,
    path: &ValuePath,
) -> Result<T, Vec<SettingsFault>> {
    let document = parse_document(text)?;
    let mut faults = FaultList::default();
    schema.check(&document, path, &mut faults);
    decode_checked(text, faults)
}

fn decode_checked<T: DeserializeOwned>(
    text: &[u8],
    mut faults: FaultList,
) -> Result<T, Vec<SettingsFault>> {
    if !faults.0.is_empty() {
        return Err(faults.0);
    }
    serde_json::from_slice(text).map_err(|error| {
        faults.add(&ValuePath::root(), FaultKind::WrongType, error.to_string(), "settings");
        faults.0
    })
}

fn parse_document(text: &[u8]) -> Result<JsonNode, Vec<SettingsFault>> {
    serde_json::from_slice(text).map_err(|error| {
        let mut faults = FaultList::default();
        faults.add(&ValuePath::root(), FaultKind::Syntax, error.to_string(), "JSON text");
        faults.0
    })
}

/// Owners of the names that are unique in the fleet: the team of each workspace and pool.
#[derive(Debug, Default)]
struct NameOwners<'a> {
    workspaces: BTreeMap<&'a str, &'a str>,
    pools: BTreeMap<&'a str, &'a str>,
}

fn check_references(document: &JsonNode, faults: &mut FaultList) {
    let regions = document.get("regions").map(check_zones(faults)).unwrap_or_default();
    let teams = document.get("teams").map(JsonNode::fields).unwrap_or_default();
    let mut owners = NameOwners::default();
    let path = ValuePath::root().key("teams");
    for (team, subtree) in teams {
        let path = path.key(team);
        check_team_name(team, &path, faults);
        let checker = TeamChecker { subtree, regions: &regions, path };
        checker.check_unique_names(team, &mut owners, faults);
        checker.check_kinds(faults);
        checker.check_workspaces(faults);
    }
}

/// Checks that the name has no characters that separate or escape parts of a URL.
fn check_team_name(team: &str, path: &ValuePath, faults: &mut FaultList) {
    if team.contains(['/', '?', '#', '%']) {
        let found = format!("{:?}", excerpt(team));
        faults.add(path, FaultKind::OutOfRange, found, "a name without / ? # and %");
    }
}

/// Fault of the removal of a team that does not exist.
pub(crate) fn missing_team_faults(team: &str) -> Vec<SettingsFault> {
    let mut faults = FaultList::default();
    let path = ValuePath::root().key("teams").key(team);
    faults.add(&path, FaultKind::UnknownReference, "nothing", "a team to remove");
    faults.0
}

/// Checks that each zone belongs to one region, and returns the names of the regions.
fn check_zones(faults: &mut FaultList) -> impl FnOnce(&JsonNode) -> BTreeSet<&str> {
    move |regions| {
        let mut owners = BTreeMap::new();
        for (region, settings) in regions.fields() {
            let path = ValuePath::root().key("regions").key(region).key("zones");
            let zones = settings.get("zones").map(JsonNode::elements).unwrap_or_default();
            for (index, zone) in zones.iter().enumerate() {
                let Some(zone) = zone.as_str() else { continue };
                let owner = *owners.entry(zone).or_insert(region);
                if owner != region {
                    add_duplicate(&path.index(index), zone, "region", owner, faults);
                }
            }
        }
        regions.fields().iter().map(|(region, _)| region.as_str()).collect()
    }
}

fn add_duplicate(
    path: &ValuePath,
    name: &str,
    owner_type: &str,
    owner: &str,
    faults: &mut FaultList,
) {
    let found = format!("{name:?}, which {owner_type} {owner:?} has too");
    faults.add(path, FaultKind::NotUnique, found, "a name that is unique in the fleet");
}

/// Validates one team's subtree against the rest of the tree.
struct TeamChecker<'a> {
    subtree: &'a JsonNode,
    regions: &'a BTreeSet<&'a str>,
    path: ValuePath,
}

impl<'a> TeamChecker<'a> {
    fn section(&self, name: &str) -> &'a [(String, JsonNode)] {
        self.subtree.get(name).map(JsonNode::fields).unwrap_or_default()
    }

    /// Checks that no other team defines the same workspace or pool, because callers and upstreams
    /// refer to them without a team.
    fn check_unique_names(
        &self,
        team: &'a str,
        owners: &mut NameOwners<'a>,
        faults: &mut FaultList,
    ) {
        for (section, owners) in
            [("workspaces", &mut owners.workspaces), ("pools", &mut owners.pools)]
        {
            for (name, _) in self.section(section) {
                let owner = *owners.entry(name).or_insert(team);
                if owner != team {
                    let path = self.path.key(section).key(name);
                    add_duplicate(&path, name, "team", owner, faults);
                }
            }
        }
    }

    fn check_kinds(&self, faults: &mut FaultList) {
        for (name, kind) in self.section("kinds") {
            let path = self.path.key("kinds").key(name);
            self.check_pool(kind, &path, faults);
            check_deadline(kind, &path, faults);
            let listed = kind.get("answered_in").and_then(|choice| choice.get("regions"));
            if let Some(listed) = listed {
                self.check_regions(listed, &path.key("answered_in").key("regions"), faults);
            }
            for (workspace, settings) in self.section("workspaces") {
                self.check_residency(kind, workspace, settings, &path, faults);
            }
        }
    }

    fn check_pool(&self, kind: &JsonNode, path: &ValuePath, faults: &mut FaultList) {
        let Some(name) = kind.get("pool").and_then(JsonNode::as_str) else { return };
        let pools = self.section("pools");
        let Some((_, pool)) = pools.iter().find(|(pool, _)| pool == name) else {
            let known = pools.iter().map(|(pool, _)| pool.as_str());
            let path = path.key("pool");
            return faults.add_unknown(&path, FaultKind::UnknownReference, name, known);
        };
        let Some(model) = kind.get("model").and_then(JsonNode::as_str) else { return };
        let engine = pool.get("serves").and_then(|serves| serves.get("model_engine"));
        let models = engine.and_then(|engine| engine.get("models"));
        let mut known = models.map(JsonNode::elements).unwrap_or_default().iter();
        if known.clone().all(|known| known.as_str() != Some(model)) {
            let known = known.by_ref().filter_map(JsonNode::as_str);
            faults.add_unknown(&path.key("model"), FaultKind::UnknownReference, model, known);
        }
    }

    fn check_residency(
        &self,
        kind: &JsonNode,
        workspace: &str,
        settings: &JsonNode,
        path: &ValuePath,
        faults: &mut FaultList,
    ) {
        let answered_in = kind.get("answered_in");
        let Some(listed) = answered_in.and_then(|choice| choice.get("regions")) else { return };
        let Some(resides_in) = settings.get("resides_in") else { return };
        let resides_in: BTreeSet<_> =
            resides_in.elements().iter().filter_map(JsonNode::as_str).collect();
        let mut listed = listed.elements().iter().filter_map(JsonNode::as_str);
        if !listed.any(|region| resides_in.contains(region)) {
            let found = format!("no region where data of workspace {workspace:?} may reside");
            let allowed = resides_in.into_iter().collect::<Vec<_>>().join(", ");
            faults.add(&path.key("answered_in"), FaultKind::NowhereAnswered, found, allowed);
        }
    }

    fn check_workspaces(&self, faults: &mut FaultList) {
        for (name, workspace) in self.section("workspaces") {
            let path = self.path.key("workspaces").key(name);
            let resides_in = workspace.get("resides_in");
            if let Some(resides_in) = resides_in {
                self.check_regions(resides_in, &path.key("resides_in"), faults);
            }
            let Some(home) = workspace.get("home") else { continue };
            self.check_region(home, &path.key("home"), faults);
            let resides_in = resides_in.map(JsonNode::elements).unwrap_or_default();
            if home.as_str().is_some() && !resides_in.contains(home) {
                let regions: Vec<_> = resides_in.iter().filter_map(JsonNode::as_str).collect();
                let (path, allowed) = (path.key("home"), regions.join(", "));
                faults.add(&path, FaultKind::HomeNotResident, home.describe(), allowed);
            }
        }
    }

    fn check_regions(&self, list: &JsonNode, path: &ValuePath, faults: &mut FaultList) {
        for (index, region) in list.elements().iter().enumerate() {
            self.check_region(region, &path.index(index), faults);
        }
    }

    fn check_region(&self, region: &JsonNode, path: &ValuePath, faults: &mut FaultList) {
        if let Some(region) = region.as_str()
            && !self.regions.contains(region)
        {
            let known = self.regions.iter().copied();
            faults.add_unknown(path, FaultKind::UnknownReference, region, known);
        }
    }
}

fn check_deadline(kind: &JsonNode, path: &ValuePath, faults: &mut FaultList) {
    let number = |name| match kind.get(name) {
        Some(JsonNode::Number(number)) => number.as_u64(),
        _ => None,
    };
    if let (Some(target), Some(deadline)) = (number("first_token_ms"), number("deadline_ms"))
        && deadline < target
    {
        let allowed = format!("at least first_token_ms, {target}");
        faults.add(&path.key("deadline_ms"), FaultKind::OutOfRange, deadline.to_string(), allowed);
    }
}
