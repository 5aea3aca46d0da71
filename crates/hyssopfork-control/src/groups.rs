//! Input and output of the placement policy: combines the view and the agents' reports into the
//! policy's model of the fleet, and turns its decisions into commands.

use crate::holders;
use hyssopfork_policy::{placement, weight_loads};
use hyssopfork_state::{command, upstream};
use hyssopfork_wire::{change, clock, configuration, fleet, name, number, timing};
use std::cmp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time that the members of a new placement get to load weights. A member that has not loaded by
/// then is excluded for as long again. Weights of a large model take minutes from a shared store.
pub const LOADING_TIMEOUT: Duration = Duration::from_secs(300);

/// Consecutive reports after which an engine that was alive counts as dead.
pub const DEAD_REPORT_THRESHOLD: u32 = 2;

/// Interval between two plans when nothing has changed.
pub const PLANNING_INTERVAL: Duration = Duration::from_millis(500);

/// Least time between two plans, for each instance on record. When a zone fails or a fleet starts,
/// every report is a reason to plan again. A plan for 4,800 instances takes tens of milliseconds,
/// and without a pause control would do nothing else.
pub const MIN_PLANNING_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(50);

/// Groups without a placement that every plan considers, highest priority first. The weight store
/// serves only a few loads at once, so few groups can be placed at a time, and the cost of a plan
/// grows with the number of groups times domains.
pub const UNPLACED_BY_PRIORITY: usize = 2;

/// Further groups without a placement that a plan considers, in round-robin order. Without them,
/// groups that fit nowhere would block all those of lower priority for good.
pub const UNPLACED_ROUND_ROBIN: usize = 2;

/// A placement as first observed by this leader.
#[derive(Clone, Copy, Debug)]
struct Observation {
    fence: number::Fence,
    /// When this leader first observed it.
    since: clock::Instant,
}

/// When the leader first observed that a member of a group takes no new work, and the view's
/// version at that time.
#[derive(Clone, Copy, Debug)]
struct Closing {
    since: clock::Instant,
    version: number::Version,
}

/// State about groups that is not in the view; lost with leadership.
#[derive(Debug, Default)]
pub struct Groups {
    observations: BTreeMap<name::Group, Observation>,
    /// Model that each engine last reported as loaded, with the boot number of its agent.
    loaded_models: BTreeMap<name::Instance, (u64, name::Model)>,
    /// Groups with a drained or leaving member. [`timing::IN_FORCE_BOUND`] after the recorded time,
    /// no entry offers them work any more.
    closing: BTreeMap<name::Group, Closing>,
    /// Position in the round-robin order at which the next plan starts.
    round_robin_start: usize,
    /// Instances that did not load in time, with the end of their exclusion.
    excluded_until: BTreeMap<name::Instance, clock::Instant>,
}

impl Groups {
    /// Resets the state, since another leader may have decided meanwhile.
    pub fn clear(&mut self) {
        *self = Groups::default();
    }

    /// Returns commands that place, repair, move and end groups; empty when nothing can or need be
    /// done.
    pub fn plan(
        &mut self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
        loads: u32,
    ) -> Vec<command::Command> {
        self.observe(now, view, holders);
        if self.is_fully_placed(now, view, holders) {
            return Vec::new();
        }
        let fleet = placement::Fleet {
            instances: self.instances(now, view, holders),
            groups: self.candidates(view),
            placements: self.placements(now, view, holders),
            budget: weight_loads::Budget {
                limit: loads,
                running: self.count_loading(now, view, holders),
            },
        };
        let decisions = placement::decide(&fleet);
        decisions.into_iter().filter_map(|decision| command_for(view, decision)).collect()
    }

    /// Declared groups that the plan considers: all with a placement, and a few of the others.
    fn candidates(&mut self, view: &change::View) -> Vec<placement::Group> {
        let (placed, mut unplaced): (Vec<_>, Vec<_>) = view
            .configuration
            .groups
            .iter()
            .partition(|(name, _)| view.placements.contains_key(*name));
        unplaced.sort_by_key(|(_, declared)| cmp::Reverse(declared.priority));
        let rest = unplaced.split_off(UNPLACED_BY_PRIORITY.min(unplaced.len()));
        if !rest.is_empty() {
            let count = UNPLACED_ROUND_ROBIN.min(rest.len());
            let start = self.round_robin_start % rest.len();
            unplaced.extend(rest.iter().cycle().skip(start).take(count));
            self.round_robin_start = start + count;
        }
        placed.into_iter().chain(unplaced).map(policy_group).collect()
    }

    /// Whether every declared group is placed on available members, so that there is nothing to
    /// plan. A whole plan takes milliseconds in a large fleet and would otherwise run twice a
    /// second.
    fn is_fully_placed(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
    ) -> bool {
        let usable = |instance: &name::Instance| {
            let member = view.members.get(instance);
            member.is_some_and(|member| {
                self.availability(now, view, holders, member) == placement::Availability::Available
            })
        };
        view.configuration.groups.keys().all(|group| {
            let placed = view.placements.get(group);
            placed.is_some_and(|placed| placed.members.iter().all(usable))
        })
    }

    fn observe(&mut self, now: clock::Instant, view: &change::View, holders: &holders::Holders) {
        self.observations.retain(|group, _| view.placements.contains_key(group));
        self.closing.retain(|group, _| {
            view.placements.get(group).is_some_and(|placed| is_closing(view, placed))
        });
        self.loaded_models.retain(|instance, (boot, _)| {
            holders.agent(instance, *boot).is_some_and(|agent| agent.report.alive)
        });
        self.excluded_until.retain(|_, until| *until > now);
        for (group, placed) in &view.placements {
            let fence = placed.fence;
            let observation =
                self.observations.entry(group.clone()).or_insert(Observation { fence, since: now });
            if observation.fence != fence {
                *observation = Observation { fence, since: now };
            }
            let since = observation.since;
            if is_closing(view, placed) {
                self.closing
                    .entry(group.clone())
                    .or_insert(Closing { since: now, version: view.version });
            }
            self.observe_members(now, view, holders, group, placed, since);
        }
    }

    fn observe_members(
        &mut self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
        group: &name::Group,
        placed: &fleet::Placement,
        since: clock::Instant,
    ) {
        let Some(declared) = view.configuration.groups.get(group) else { return };
        for instance in &placed.members {
            let Some(agent) = recorded_agent(view, holders, instance) else { continue };
            if agent.report.joined == placed.fence {
                self.loaded_models.insert(instance.clone(), (agent.boot, declared.model.clone()));
            } else if agent.report.alive && now.since(since) >= LOADING_TIMEOUT {
                // An engine that answers probes but never loads is neither lost nor ready, and
                // would keep its group down for good. Excluding it for a while lets a spare
                // replace it, and keeps it from being chosen as that spare.
                self.excluded_until.entry(instance.clone()).or_insert(now + LOADING_TIMEOUT);
            }
        }
    }

    fn instances(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
    ) -> Vec<placement::Instance> {
        let engines = view
            .members
            .values()
            .filter(|member| member.announcement.profile.kind == configuration::Kind::Engine);
        engines.map(|member| self.instance(now, view, holders, member)).collect()
    }

    fn instance(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
        member: &fleet::Member,
    ) -> placement::Instance {
        let announcement = &member.announcement;
        let loaded = self.loaded_models.get(&announcement.instance);
        placement::Instance {
            name: announcement.instance.clone(),
            zone: announcement.zone.clone(),
            domain: announcement.domain.clone(),
            pool: announcement.pool.clone(),
            availability: self.availability(now, view, holders, member),
            loaded_model: loaded.map(|(_, model)| model.clone()),
        }
    }

    fn availability(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
        member: &fleet::Member,
    ) -> placement::Availability {
        let instance = &member.announcement.instance;
        if !member.present || self.excluded_until.contains_key(instance) {
            return placement::Availability::Missing;
        }
        let Some(agent) = recorded_agent(view, holders, instance) else {
            return placement::Availability::Cordoned;
        };
        if !agent.report.alive {
            return dead_engine_availability(now, agent);
        }
        match upstream::ineligibility(view, instance) {
            None => placement::Availability::Available,
            Some(_) => placement::Availability::Cordoned,
        }
    }

    fn placements(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
    ) -> BTreeMap<name::Group, placement::Placement> {
        let current = |(group, placed): (&name::Group, &fleet::Placement)| {
            let running = self.running_requests(now, view, holders, group, placed);
            (group.clone(), placement::Placement { members: placed.members.clone(), running })
        };
        view.placements.iter().map(current).collect()
    }

    /// Number of running requests on a group as the policy should see it: at least 1 for a group
    /// that must stay in place, so that the policy does not move it off members that are closed to
    /// new work.
    fn running_requests(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
        group: &name::Group,
        placed: &fleet::Placement,
    ) -> u32 {
        let loading = self.is_loading(now, group)
            && placed.members.iter().any(|member| !has_loaded(view, holders, member, placed.fence));
        let in_place =
            placed.members.iter().any(|member| keeps_group_in_place(view, holders, member));
        if loading || in_place || !self.is_running_count_conclusive(view, holders, group, placed) {
            return 1;
        }
        let first = placed.members.first().and_then(|first| recorded_agent(view, holders, first));
        first.map_or(1, |agent| agent.report.running)
    }

    /// Whether the running requests that a closing group's first member reports can no longer
    /// increase.
    ///
    /// The first member admits work until its own view shows that a member is drained or leaving,
    /// and a report may be older than the last admitted request. A group moved on such a report of
    /// no running requests would cut that request. Once the first member has the view with the
    /// drain, or after the bound within which it must, no new request starts and the reported
    /// number can only decrease.
    fn is_running_count_conclusive(
        &self,
        view: &change::View,
        holders: &holders::Holders,
        group: &name::Group,
        placed: &fleet::Placement,
    ) -> bool {
        let Some(closing) = self.closing.get(group) else { return true };
        let Some(first) = placed.members.first() else { return false };
        let Some(member) = view.members.get(first) else { return false };
        let boot = member.announcement.boot;
        let has_closing_view = holders.version(first, boot) >= Some(closing.version);
        let bound_passed = closing.since + timing::IN_FORCE_BOUND;
        has_closing_view
            || holders.last_renewal(first, boot).is_some_and(|renewed| renewed >= bound_passed)
    }

    fn is_loading(&self, now: clock::Instant, group: &name::Group) -> bool {
        self.observations
            .get(group)
            .is_some_and(|observation| now.since(observation.since) < LOADING_TIMEOUT)
    }

    /// Number of members that are loading weights now.
    fn count_loading(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
    ) -> u32 {
        let mut count = 0;
        for (group, placed) in &view.placements {
            if !self.is_loading(now, group) {
                continue;
            }
            let Some(declared) = view.configuration.groups.get(group) else { continue };
            let loads = |member: &&name::Instance| {
                let loaded = self.loaded_models.get(*member).map(|(_, model)| model);
                let lost = view.members.get(*member).is_none_or(|member| !member.present);
                !lost && loaded != Some(&declared.model)
            };
            let waiting = placed.members.iter().filter(loads);
            let waiting = waiting.filter(|member| !has_loaded(view, holders, member, placed.fence));
            count += waiting.count() as u32;
        }
        count
    }
}

/// The command for a decision; `None` when its placement no longer exists.
fn command_for(view: &change::View, decision: placement::Decision) -> Option<command::Command> {
    match decision {
        placement::Decision::Place { group, members } => {
            let replaces = view.placements.get(&group).map(|placed| placed.fence);
            Some(command::Command::Place { group, members, replaces })
        }
        placement::Decision::Unplace(group) => {
            let fence = view.placements.get(&group)?.fence;
            Some(command::Command::Unplace { group, fence })
        }
    }
}

fn policy_group((name, declared): (&name::Group, &configuration::Group)) -> placement::Group {
    placement::Group {
        name: name.clone(),
        pool: declared.pool.clone(),
        model: declared.model.clone(),
        size: declared.size,
        priority: declared.priority,
    }
}

/// State of the recorded agent of an instance.
fn recorded_agent<'a>(
    view: &change::View,
    holders: &'a holders::Holders,
    instance: &name::Instance,
) -> Option<&'a holders::Agent> {
    let member = view.members.get(instance)?;
    holders.agent(instance, member.announcement.boot)
}

fn has_loaded(
    view: &change::View,
    holders: &holders::Holders,
    instance: &name::Instance,
    fence: number::Fence,
) -> bool {
    recorded_agent(view, holders, instance).is_some_and(|agent| agent.report.joined >= fence)
}

/// Availability of an instance whose engine is reported dead. It is missing once it was alive and
/// [`DEAD_REPORT_THRESHOLD`] consecutive reports say otherwise. An engine that has not answered yet
/// is given time up to the presence timeout, since its agent may have just started and not probed
/// yet.
///
/// One report is not enough: an agent that was paused for a second reports an engine that it has
/// not probed lately as dead, and as alive half a second later. If its group were moved at once, it
/// would wait minutes for weights instead of that half second.
fn dead_engine_availability(
    now: clock::Instant,
    agent: &holders::Agent,
) -> placement::Availability {
    let confirmed = agent.was_alive && agent.consecutive_dead_reports >= DEAD_REPORT_THRESHOLD;
    if confirmed || !agent.was_alive && now.since(agent.first_renewal) >= timing::PRESENCE_TIMEOUT {
        placement::Availability::Missing
    } else {
        placement::Availability::Cordoned
    }
}

/// Whether a member of a placement is drained or leaving.
fn is_closing(view: &change::View, placed: &fleet::Placement) -> bool {
    placed.members.iter().any(|member| {
        matches!(
            upstream::ineligibility(view, member),
            Some(upstream::Ineligibility::Drained | upstream::Ineligibility::Leaving)
        )
    })
}

/// Whether an unavailable member still keeps its group in place: its zone is out, so it returns
/// with its weights, or its state is unknown yet.
fn keeps_group_in_place(
    view: &change::View,
    holders: &holders::Holders,
    instance: &name::Instance,
) -> bool {
    let zone_excluded = matches!(
        upstream::ineligibility(view, instance),
        Some(
            upstream::Ineligibility::ZoneOut
                | upstream::Ineligibility::ZoneNotAllowed
                | upstream::Ineligibility::ZoneUndeclared
        )
    );
    zone_excluded || recorded_agent(view, holders, instance).is_none_or(|agent| !agent.report.alive)
}
