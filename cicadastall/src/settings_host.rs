//! The part of a control instance that hosts the settings group.

use crate::{
    check::check_settings,
    clock::millis,
    fault::SettingsFault,
    name::RegionName,
    node::NodeSettings,
    replicated::{GroupError, ReplicatedGroup},
    settings::{FleetSettings, Revision},
    settings_follower::SettingsFollower,
    settings_peer::ZoneReport,
    settings_state::{SettingsCommand, SettingsState},
};
use futures::future::join_all;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, io,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Time between two looks for newly committed changes.
const FEED_PERIOD: Duration = Duration::from_millis(20);

/// Time between two confirmations by the group that no newer settings exist.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);

/// Time between two calls to the group's other members.
const HEAR_PERIOD: Duration = Duration::from_secs(5);

/// Why the fleet's first settings can't be used.
#[derive(Debug)]
pub enum FoundingError {
    /// The file can't be read.
    Unreadable(io::Error),
    /// The file holds faults.
    Invalid(Vec<SettingsFault>),
}

impl fmt::Display for FoundingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(formatter, "cannot read founding settings: {error}"),
            Self::Invalid(faults) => {
                write!(formatter, "founding settings have {} faults", faults.len())?;
                faults.iter().try_for_each(|fault| write!(formatter, "\n  {fault}"))
            }
        }
    }
}

impl std::error::Error for FoundingError {}

impl From<FoundingError> for io::Error {
    fn from(error: FoundingError) -> Self {
        io::Error::other(error)
    }
}

/// Reads and checks the settings with which a fleet is founded.
pub fn read_founding(path: &Path) -> Result<FleetSettings, FoundingError> {
    let text = std::fs::read(path).map_err(FoundingError::Unreadable)?;
    check_settings(&text).map_err(FoundingError::Invalid)
}

/// A region in which a change is not known to be in force everywhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedRegion {
    /// The region.
    pub region: RegionName,
    /// Longest silence of one of its instances, in milliseconds; since this control instance
    /// started where none was ever heard of.
    pub silent_ms: u64,
    /// Instances that did not confirm, where they are known.
    pub instances: Vec<crate::name::InstanceName>,
}

/// Where a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionReach {
    /// Regions in which every known instance confirmed the revision.
    pub in_force: Vec<RegionName>,
    /// Regions that did not confirm it.
    pub unconfirmed: Vec<UnconfirmedRegion>,
}

/// Host of the settings group on one control instance.
#[derive(Debug)]
pub struct SettingsHost<G> {
    group: Arc<G>,
    follower: Arc<SettingsFollower>,
    node: Arc<NodeSettings>,
    heard: Mutex<BTreeMap<RegionName, Instant>>,
    started: Instant,
}

impl<G: ReplicatedGroup<SettingsState>> SettingsHost<G> {
    /// A host of `group` whose changes go to the followers of `follower`.
    pub fn new(group: Arc<G>, follower: Arc<SettingsFollower>, node: Arc<NodeSettings>) -> Self {
        Self { group, follower, node, heard: Mutex::default(), started: Instant::now() }
    }

    /// The group.
    pub(crate) fn group(&self) -> &G {
        &self.group
    }

    /// Proposes the first settings where the group has none and no follower holds any.
    pub async fn found(&self, tree: FleetSettings) -> Result<(), GroupError> {
        self.follower.holder().wait_started().await;
        loop {
            match self.group.read(|state| state.newest().revision).await {
                Ok(Revision(0)) => {}
                Ok(_) => return Ok(()),
                Err(GroupError::Stopped) => return Err(GroupError::Stopped),
                Err(_) => {
                    sleep(CONFIRM_PERIOD).await;
                    continue;
                }
            }
            let held = self.follower.holder().revision();
            if held > Revision(0) {
                log::error!(revision = held.0; "group not founded: instances hold settings already");
                return Ok(());
            }
            if self.group.propose(SettingsCommand::Found(tree.clone())).await.is_ok() {
                return Ok(());
            }
            sleep(CONFIRM_PERIOD).await;
        }
    }

    /// Takes committed changes into force on this instance, until its task is dropped.
    pub async fn feed(&self) {
        loop {
            self.take_committed();
            sleep(FEED_PERIOD).await;
        }
    }

    fn take_committed(&self) {
        let holder = self.follower.holder();
        let revision = holder.revision();
        let update = self.group.read_local(|state| state.newest().changes_after(revision));
        if let Some(update) = update {
            holder.apply_update(&update);
        }
    }

    /// Confirms again and again that this instance holds the newest settings, until its task is
    /// dropped.
    pub async fn confirm(&self) {
        loop {
            let asked = Instant::now();
            if let Ok(revision) = self.group.read(|state| state.newest().revision).await
                && self.follower.holder().wait_for(revision, CONFIRM_PERIOD).await
            {
                self.follower.holder().confirm(asked.elapsed());
            }
            sleep(CONFIRM_PERIOD).await;
        }
    }

    /// Pushes each new revision to the followers' zones, until its task is dropped.
    pub async fn push(&self) {
        let holder = self.follower.holder();
        let mut revisions = holder.watch();
        let mut pushed = Revision(0);
        while revisions.changed().await.is_ok() {
            let Some(update) = holder.newest().changes_after(pushed) else { continue };
            pushed = update.revision;
            self.follower.push_to_zones(&update).await;
        }
    }

    /// Hears of the group's other members again and again, until its task is dropped.
    pub async fn hear_members(&self) {
        loop {
            self.ask_members(Revision(0)).await;
            sleep(HEAR_PERIOD).await;
        }
    }

    /// Asks the group's other members where `revision` is in force in their regions.
    async fn ask_members(&self, revision: Revision) -> Vec<ZoneReport> {
        let own = &self.node.instance;
        let others = self.node.settings_voters.iter().filter(|voter| voter.instance != *own);
        let asked = others.map(|voter| self.follower.ask_zones(voter.address, revision));
        let answers = join_all(asked).await;
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        for zone in answers.iter().filter_map(|zones| zones.first()) {
            heard.insert(zone.region.clone(), Instant::now());
        }
        answers.into_iter().flatten().collect()
    }

    /// Where `revision` is in force, as the operator is told.
    pub async fn reach(&self, revision: Revision) -> RevisionReach {
        let asked =
            futures::join!(self.follower.report_zones(revision), self.ask_members(revision),);
        let zones = [asked.0, asked.1].concat();
        let tree = self.follower.holder().newest();
        let regions = tree.tree.regions.keys();
        let mut reach = RevisionReach { in_force: Vec::new(), unconfirmed: Vec::new() };
        for region in regions {
            let reports: Vec<_> = zones.iter().filter(|zone| zone.region == *region).collect();
            let heard: BTreeSet<_> =
                reports.iter().filter(|zone| zone.in_force > 0).map(|zone| &zone.zone).collect();
            let complete = tree.tree.regions[region].zones.iter().all(|zone| heard.contains(zone));
            if complete && reports.iter().all(|zone| zone.silent.is_empty()) {
                reach.in_force.push(region.clone());
            } else {
                reach.unconfirmed.push(self.describe_silent(region, &reports));
            }
        }
        reach
    }

    fn describe_silent(&self, region: &RegionName, reports: &[&ZoneReport]) -> UnconfirmedRegion {
        let silent = reports.iter().flat_map(|zone| &zone.silent);
        let longest = silent.clone().filter_map(|instance| instance.silent_ms).max();
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let since = heard.get(region).copied().unwrap_or(self.started);
        UnconfirmedRegion {
            region: region.clone(),
            silent_ms: longest.unwrap_or_else(|| millis(since.elapsed())),
            instances: silent.map(|silent| silent.instance.clone()).collect(),
        }
    }
}
