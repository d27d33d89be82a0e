//! Hosts the settings group on a control instance.

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

/// Interval at which committed changes are applied to this instance's settings.
const APPLY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the group confirms that no newer settings exist.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the group's other members are polled.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reason why the fleet's founding settings can't be used.
#[derive(Debug)]
pub enum FoundingError {
    /// The file can't be read.
    Unreadable(io::Error),
    /// The settings in the file are invalid.
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

/// Reads and validates the founding settings of a fleet.
pub fn read_founding_settings(path: &Path) -> Result<FleetSettings, FoundingError> {
    let text = std::fs::read(path).map_err(FoundingError::Unreadable)?;
    check_settings(&text).map_err(FoundingError::Invalid)
}

/// A region in which a revision is not confirmed to be in force everywhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedRegion {
    /// The region.
    pub region: RegionName,
    /// Longest time since an unconfirmed instance was last heard from, in milliseconds. If that is
    /// not known, time since the region's member of the settings group replied, or since this
    /// control instance started if that member never replied.
    pub silent_ms: u64,
    /// Instances that did not confirm the revision, as far as they are known.
    pub instances: Vec<crate::name::InstanceName>,
}

/// Regions in which a revision is in force, and those that did not confirm it.
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
    last_replies: Mutex<BTreeMap<RegionName, Instant>>,
    started: Instant,
}

impl<G: ReplicatedGroup<SettingsState>> SettingsHost<G> {
    /// Creates a host of `group` that distributes changes to the followers of `follower`.
    pub fn new(group: Arc<G>, follower: Arc<SettingsFollower>, node: Arc<NodeSettings>) -> Self {
        Self { group, follower, node, last_replies: Mutex::default(), started: Instant::now() }
    }

    /// The settings group.
    pub(crate) fn group(&self) -> &G {
        &self.group
    }

    /// Proposes the founding settings if the group has none and no follower holds any. Retries until
    /// the group replies; fails only if the group stops.
    pub async fn found_group(&self, tree: FleetSettings) -> Result<(), GroupError> {
        self.follower.store().wait_started().await;
        loop {
            match self.group.read(|state| state.newest().revision).await {
                Ok(Revision(0)) => {}
                Ok(_) => return Ok(()),
                Err(GroupError::Stopped) => return Err(GroupError::Stopped),
                Err(_) => {
                    sleep(CONFIRM_INTERVAL).await;
                    continue;
                }
            }
            let revision = self.follower.store().revision();
            if revision > Revision(0) {
                log::error!(revision = revision.0; "group not founded: instances hold settings already");
                return Ok(());
            }
            if self.group.propose(SettingsCommand::Found(tree.clone())).await.is_ok() {
                return Ok(());
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }

    /// Applies committed changes to this instance's settings until its task is dropped.
    pub async fn apply_committed_changes(&self) {
        loop {
            self.apply_newest();
            sleep(APPLY_INTERVAL).await;
        }
    }

    fn apply_newest(&self) {
        let store = self.follower.store();
        let revision = store.revision();
        let update = self.group.read_local(|state| state.newest().changes_after(revision));
        if let Some(update) = update {
            store.apply_update(&update);
        }
    }

    /// Confirms periodically that this instance holds the newest settings, until its task is
    /// dropped. Each confirmation counts from before the read of the group began.
    pub async fn confirm(&self) {
        loop {
            let asked_at = Instant::now();
            if let Ok(revision) = self.group.read(|state| state.newest().revision).await
                && self.follower.store().wait_for(revision, CONFIRM_INTERVAL).await
            {
                self.follower.store().record_confirmation(asked_at.elapsed());
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }

    /// Pushes each new revision to the followers' zones, until its task is dropped.
    pub async fn push(&self) {
        let store = self.follower.store();
        let mut revisions = store.watch();
        let mut pushed = Revision(0);
        while revisions.changed().await.is_ok() {
            let Some(update) = store.newest().changes_after(pushed) else { continue };
            pushed = update.revision;
            self.follower.push_to_zones(&update).await;
        }
    }

    /// Polls the group's other members until its task is dropped, to record when each region replied
    /// last.
    pub async fn poll_members(&self) {
        loop {
            self.query_members(Revision(0)).await;
            sleep(MEMBER_POLL_INTERVAL).await;
        }
    }

    /// Queries the group's other members for where `revision` is in force in their regions.
    async fn query_members(&self, revision: Revision) -> Vec<ZoneReport> {
        let own = &self.node.instance;
        let others = self.node.settings_voters.iter().filter(|voter| voter.instance != *own);
        let queries = others.map(|voter| self.follower.query_zones(voter.address, revision));
        let answers = join_all(queries).await;
        let mut last_replies = self.last_replies.lock().unwrap_or_else(PoisonError::into_inner);
        for zone in answers.iter().filter_map(|zones| zones.first()) {
            last_replies.insert(zone.region.clone(), Instant::now());
        }
        answers.into_iter().flatten().collect()
    }

    /// Determines where `revision` is in force, for the response to the operator.
    pub async fn query_reach(&self, revision: Revision) -> RevisionReach {
        let reports = futures::join!(
            self.follower.query_local_zones(revision),
            self.query_members(revision),
        );
        let zones = [reports.0, reports.1].concat();
        let settings = self.follower.store().newest();
        let regions = settings.tree.regions.keys();
        let mut reach = RevisionReach { in_force: Vec::new(), unconfirmed: Vec::new() };
        for region in regions {
            let reports: Vec<_> = zones.iter().filter(|zone| zone.region == *region).collect();
            let confirmed: BTreeSet<_> =
                reports.iter().filter(|zone| zone.in_force > 0).map(|zone| &zone.zone).collect();
            let complete =
                settings.tree.regions[region].zones.iter().all(|zone| confirmed.contains(zone));
            if complete && reports.iter().all(|zone| zone.silent.is_empty()) {
                reach.in_force.push(region.clone());
            } else {
                reach.unconfirmed.push(self.describe_unconfirmed(region, &reports));
            }
        }
        reach
    }

    fn describe_unconfirmed(
        &self,
        region: &RegionName,
        reports: &[&ZoneReport],
    ) -> UnconfirmedRegion {
        let unconfirmed = reports.iter().flat_map(|zone| &zone.silent);
        let longest = unconfirmed.clone().filter_map(|instance| instance.silent_ms).max();
        let last_replies = self.last_replies.lock().unwrap_or_else(PoisonError::into_inner);
        let last_reply = last_replies.get(region).copied().unwrap_or(self.started);
        UnconfirmedRegion {
            region: region.clone(),
            silent_ms: longest.unwrap_or_else(|| millis(last_reply.elapsed())),
            instances: unconfirmed.map(|unconfirmed| unconfirmed.instance.clone()).collect(),
        }
    }
}
