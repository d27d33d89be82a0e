//! Failure detection within a zone, after SWIM: a silent member is probed directly, then through
//! other members, then suspected, and removed unless it refutes the suspicion.

use crate::{name::InstanceName, table::Incarnation};
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time without a message after which a member is probed; longer than the period of bulletins.
pub const PROBE_SILENCE: Duration = Duration::from_millis(1_600);

/// Time to wait for the reply to a direct probe before indirect probes are requested.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time to wait for the reply to an indirect probe before the member is suspected.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(450);

/// Time within which a suspected member must refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two rounds of indirect probes of a suspected member.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of members that are asked for an indirect probe.
const MAX_PROBE_HELPERS: usize = 3;

/// Failure detection stage of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeStage {
    Alive,
    DirectProbe(Instant),
    IndirectProbe(Instant),
    Suspected { since: Instant, probe_rounds: u32 },
}

#[derive(Debug)]
struct ProbedMember {
    incarnation: Incarnation,
    alive_at: Instant,
    stage: ProbeStage,
}

/// Action that the failure detector requires for one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProbeStep {
    /// Probe the member directly.
    Probe(InstanceName),
    /// Ask the helpers to probe the member.
    IndirectProbe(InstanceName, SmallVec<[InstanceName; MAX_PROBE_HELPERS]>),
    /// Announce the suspicion to the zone, so that the member can refute it, and probe the member
    /// directly and through the helpers again.
    Suspect(InstanceName, SmallVec<[InstanceName; MAX_PROBE_HELPERS]>),
    /// Remove the member.
    Remove(InstanceName),
}

/// Failure detection state of one instance for the other members of its zone.
#[derive(Debug, Default)]
pub struct ProbeTable {
    members: BTreeMap<InstanceName, ProbedMember>,
}

impl ProbeTable {
    /// Records that `instance` was alive at `now`; an incarnation older than the known is ignored.
    pub fn record_alive(
        &mut self,
        instance: &InstanceName,
        incarnation: Incarnation,
        now: Instant,
    ) {
        let member = self.members.entry(instance.clone()).or_insert(ProbedMember {
            incarnation,
            alive_at: now,
            stage: ProbeStage::Alive,
        });
        if incarnation >= member.incarnation {
            *member = ProbedMember { incarnation, alive_at: now, stage: ProbeStage::Alive };
        }
    }

    /// Removes `instance`.
    pub fn remove(&mut self, instance: &InstanceName) {
        self.members.remove(instance);
    }

    /// Handles a suspicion by another instance: starts probing a member that has been silent for
    /// more than half of [`PROBE_SILENCE`].
    ///
    /// Returns whether the caller must probe the member now.
    pub fn probe_if_silent(&mut self, instance: &InstanceName, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(instance) else { return false };
        let silent = now.duration_since(member.alive_at) > PROBE_SILENCE / 2;
        let starts_probe = silent && member.stage == ProbeStage::Alive;
        if starts_probe {
            member.stage = ProbeStage::DirectProbe(now);
        }
        starts_probe
    }

    /// Whether `instance` is known to be alive with a later incarnation than the suspected one.
    pub fn has_refuted(&self, instance: &InstanceName, incarnation: Incarnation) -> bool {
        self.members.get(instance).is_some_and(|member| {
            member.incarnation > incarnation && member.stage == ProbeStage::Alive
        })
    }

    /// Whether `instance` is suspected.
    pub fn is_suspect(&self, instance: &InstanceName) -> bool {
        self.members
            .get(instance)
            .is_some_and(|member| matches!(member.stage, ProbeStage::Suspected { .. }))
    }

    /// All suspected members with their incarnations.
    pub fn suspects(&self) -> impl Iterator<Item = (&InstanceName, Incarnation)> {
        self.members
            .iter()
            .filter(|(_, member)| matches!(member.stage, ProbeStage::Suspected { .. }))
            .map(|(instance, member)| (instance, member.incarnation))
    }

    /// Advances the members whose stage has timed out and returns the required actions.
    pub fn tick(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> Vec<ProbeStep> {
        let due: Vec<_> = self
            .members
            .iter()
            .filter_map(|(instance, member)| Some((instance.clone(), next_stage(member, now)?)))
            .collect();
        due.into_iter().map(|(instance, stage)| self.enter_stage(instance, stage, rng)).collect()
    }

    fn enter_stage(
        &mut self,
        instance: InstanceName,
        stage: Option<ProbeStage>,
        rng: &mut ChaCha8Rng,
    ) -> ProbeStep {
        let Some(stage) = stage else {
            self.members.remove(&instance);
            return ProbeStep::Remove(instance);
        };
        if let Some(member) = self.members.get_mut(&instance) {
            member.stage = stage;
        }
        match stage {
            ProbeStage::Suspected { .. } => {
                let helpers = self.choose_helpers(&instance, rng);
                ProbeStep::Suspect(instance, helpers)
            }
            ProbeStage::IndirectProbe(_) => {
                let helpers = self.choose_helpers(&instance, rng);
                ProbeStep::IndirectProbe(instance, helpers)
            }
            _ => ProbeStep::Probe(instance),
        }
    }

    fn choose_helpers(
        &self,
        instance: &InstanceName,
        rng: &mut ChaCha8Rng,
    ) -> SmallVec<[InstanceName; MAX_PROBE_HELPERS]> {
        let is_alive = |member: &ProbedMember| member.stage == ProbeStage::Alive;
        let others =
            self.members.iter().filter(|(name, member)| *name != instance && is_alive(member));
        others.map(|(name, _)| name.clone()).sample(rng, MAX_PROBE_HELPERS).into_iter().collect()
    }
}

/// The stage that `member` enters now, if any; the inner `None` means that it is removed.
fn next_stage(member: &ProbedMember, now: Instant) -> Option<Option<ProbeStage>> {
    let elapsed = |since: Instant, timeout: Duration| now.duration_since(since) >= timeout;
    match member.stage {
        ProbeStage::Alive => {
            elapsed(member.alive_at, PROBE_SILENCE).then_some(Some(ProbeStage::DirectProbe(now)))
        }
        ProbeStage::DirectProbe(since) => {
            elapsed(since, DIRECT_TIMEOUT).then_some(Some(ProbeStage::IndirectProbe(now)))
        }
        ProbeStage::IndirectProbe(since) => {
            let stage = ProbeStage::Suspected { since: now, probe_rounds: 1 };
            elapsed(since, INDIRECT_TIMEOUT).then_some(Some(stage))
        }
        ProbeStage::Suspected { since, .. } if elapsed(since, SUSPICION_TIMEOUT) => Some(None),
        ProbeStage::Suspected { since, probe_rounds } => {
            let stage = ProbeStage::Suspected { since, probe_rounds: probe_rounds + 1 };
            elapsed(since, SUSPECT_PROBE_INTERVAL * probe_rounds).then_some(Some(stage))
        }
    }
}
