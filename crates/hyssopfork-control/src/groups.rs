//! Where groups stand: what the leader knows, brought together for the placement policy, and the
//! policy's decisions as commands.

use crate::holders;
use hyssopfork_policy::{placement, weight_loads};
use hyssopfork_state::{command, upstream};
use hyssopfork_wire::{change, clock, configuration, fleet, name, number, timing};
use std::cmp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a placement counts as loading. A member that has not loaded by then is passed
/// over for as long again. Weights of a large model at a shared store take minutes.
pub const LOADING_LIMIT: Duration = Duration::from_secs(300);

/// Reports in a row after which an engine that was alive counts as dead.
pub const DEAD_REPORTS: u32 = 2;

/// Time between two looks at the groups when nothing has changed.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Least time between two looks at the groups for each instance on record. When a zone goes dark
/// or a fleet starts, every report is a reason to look again; a look at 4,800 instances costs tens
/// of milliseconds, and without a pause control would do nothing else.
pub const PAUSE_EACH: Duration = Duration::from_micros(50);

/// Groups without a placement that every plan looks at: the first in order of priority. The weight
/// store bears a few loads at once, so few could be placed now, and a plan's cost grows with the
/// groups times the domains.
pub const FIRST_UNPLACED: usize = 2;

/// Groups without a placement that a plan looks at besides, in turn. Without them groups that fit
/// nowhere would keep all lesser ones waiting for good.
pub const UNPLACED_IN_TURN: usize = 2;

/// A placement as this leader has seen it.
#[derive(Clone, Copy, Debug)]
struct Seen {
    fence: number::Fence,
    /// When this leader first saw it.
    since: clock::Instant,
}

/// When the leader first saw a group with a member that takes no new work, and the view then.
#[derive(Clone, Copy, Debug)]
struct Closing {
    since: clock::Instant,
    version: number::Version,
}

/// What the leader knows of groups besides the view; lost with its leadership.
#[derive(Debug, Default)]
pub struct Groups {
    seen: BTreeMap<name::Group, Seen>,
    /// Model that an engine last said it holds, with the boot of its agent.
    holds: BTreeMap<name::Instance, (u64, name::Model)>,
    /// Groups with a drained or leaving member, and since when: by the bound after that no entry
    /// offers them work any more.
    closing: BTreeMap<name::Group, Closing>,
    /// Where the next plan's turn through the groups without a placement begins.
    turn: usize,
    /// Until when instances that did not load in time are passed over.
    shunned: BTreeMap<name::Instance, clock::Instant>,
}

impl Groups {
    /// Forgets all: another leader may have decided meanwhile.
    pub fn clear(&mut self) {
        *self = Groups::default();
    }

    /// Commands that mend, place, move and end groups now; empty when nothing can or need be done.
    pub fn decide(
        &mut self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
        loads: u32,
    ) -> Vec<command::Command> {
        self.observe(now, view, holders);
        if self.is_settled(now, view, holders) {
            return Vec::new();
        }
        let fleet = placement::Fleet {
            instances: self.instances(now, view, holders),
            groups: self.candidates(view),
            placements: self.placements(now, view, holders),
            budget: weight_loads::Budget {
                limit: loads,
                running: self.loading(now, view, holders),
            },
        };
        let decisions = placement::decide(&fleet);
        decisions.into_iter().filter_map(|decision| command(view, decision)).collect()
    }

    /// Declared groups that the plan looks at: all that stand somewhere, and few of the others.
    fn candidates(&mut self, view: &change::View) -> Vec<placement::Group> {
        let (placed, mut unplaced): (Vec<_>, Vec<_>) = view
            .configuration
            .groups
            .iter()
            .partition(|(name, _)| view.placements.contains_key(*name));
        unplaced.sort_by_key(|(_, declared)| cmp::Reverse(declared.priority));
        let rest = unplaced.split_off(FIRST_UNPLACED.min(unplaced.len()));
        if !rest.is_empty() {
            let count = UNPLACED_IN_TURN.min(rest.len());
            let start = self.turn % rest.len();
            unplaced.extend(rest.iter().cycle().skip(start).take(count));
            self.turn = start + count;
        }
        placed.into_iter().chain(unplaced).map(group).collect()
    }

    /// Whether every declared group stands on usable members: there is nothing to plan. The whole
    /// plan costs milliseconds in a large fleet and runs twice a second.
    fn is_settled(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
    ) -> bool {
        let usable = |instance: &name::Instance| {
            let member = view.members.get(instance);
            member.is_some_and(|member| {
                self.standing(now, view, holders, member) == placement::Availability::Available
            })
        };
        view.configuration.groups.keys().all(|group| {
            let placed = view.placements.get(group);
            placed.is_some_and(|placed| placed.members.iter().all(usable))
        })
    }

    fn observe(&mut self, now: clock::Instant, view: &change::View, holders: &holders::Holders) {
        self.seen.retain(|group, _| view.placements.contains_key(group));
        self.closing.retain(|group, _| {
            view.placements.get(group).is_some_and(|placed| is_closing(view, placed))
        });
        self.holds.retain(|instance, (boot, _)| {
            holders.agent(instance, *boot).is_some_and(|agent| agent.report.alive)
        });
        self.shunned.retain(|_, until| *until > now);
        for (group, placed) in &view.placements {
            let fence = placed.fence;
            let seen = self.seen.entry(group.clone()).or_insert(Seen { fence, since: now });
            if seen.fence != fence {
                *seen = Seen { fence, since: now };
            }
            let since = seen.since;
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
            let Some(agent) = agent(view, holders, instance) else { continue };
            if agent.report.joined == placed.fence {
                self.holds.insert(instance.clone(), (agent.boot, declared.model.clone()));
            } else if agent.report.alive && now.since(since) >= LOADING_LIMIT {
                // An engine that answers probes but never loads would keep its group down for
                // good: it is neither lost nor ready. Passing over it for a while lets a spare
                // take its place, and keeps it from being the very spare that is chosen.
                self.shunned.entry(instance.clone()).or_insert(now + LOADING_LIMIT);
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
        let holds = self.holds.get(&announcement.instance);
        placement::Instance {
            name: announcement.instance.clone(),
            zone: announcement.zone.clone(),
            domain: announcement.domain.clone(),
            pool: announcement.pool.clone(),
            availability: self.standing(now, view, holders, member),
            loaded_model: holds.map(|(_, model)| model.clone()),
        }
    }

    fn standing(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
        member: &fleet::Member,
    ) -> placement::Availability {
        let instance = &member.announcement.instance;
        if !member.present || self.shunned.contains_key(instance) {
            return placement::Availability::Missing;
        }
        let Some(agent) = agent(view, holders, instance) else {
            return placement::Availability::Cordoned;
        };
        if !agent.report.alive {
            return dead(now, agent);
        }
        match upstream::obstacle(view, instance) {
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
            let running = self.running(now, view, holders, group, placed);
            (group.clone(), placement::Placement { members: placed.members.clone(), running })
        };
        view.placements.iter().map(current).collect()
    }

    /// Requests that run on a group, as far as placement may know: a group that is to stay where
    /// it stands counts as busy, so that it is not moved off closed instances.
    fn running(
        &self,
        now: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
        group: &name::Group,
        placed: &fleet::Placement,
    ) -> u32 {
        let loading = self.is_loading(now, group)
            && placed.members.iter().any(|member| !loaded(view, holders, member, placed.fence));
        let kept = placed.members.iter().any(|member| is_kept(view, holders, member));
        if loading || kept || !self.is_settled_report(view, holders, group, placed) {
            return 1;
        }
        let first = placed.members.first().and_then(|first| agent(view, holders, first));
        first.map_or(1, |agent| agent.report.running)
    }

    /// Whether the first member's report tells what will still run on a closing group.
    ///
    /// The first member admits work until its own view shows that a member is drained or leaving,
    /// and a report may be older than the last request that began. Moved on an old report that
    /// nothing runs, the group would cut that request. Once the first member knows of the closing,
    /// or after the bound within which it must, nothing new begins, so a report from then on can
    /// only go down.
    fn is_settled_report(
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
        let knows = holders.version(first, boot) >= Some(closing.version);
        let late = closing.since + timing::IN_FORCE_BOUND;
        knows || holders.heard(first, boot).is_some_and(|heard| heard >= late)
    }

    fn is_loading(&self, now: clock::Instant, group: &name::Group) -> bool {
        self.seen.get(group).is_some_and(|seen| now.since(seen.since) < LOADING_LIMIT)
    }

    /// Members that load weights now.
    fn loading(&self, now: clock::Instant, view: &change::View, holders: &holders::Holders) -> u32 {
        let mut count = 0;
        for (group, placed) in &view.placements {
            if !self.is_loading(now, group) {
                continue;
            }
            let Some(declared) = view.configuration.groups.get(group) else { continue };
            let loads = |member: &&name::Instance| {
                let holds = self.holds.get(*member).map(|(_, model)| model);
                let lost = view.members.get(*member).is_none_or(|member| !member.present);
                !lost && holds != Some(&declared.model)
            };
            let waiting = placed.members.iter().filter(loads);
            let waiting = waiting.filter(|member| !loaded(view, holders, member, placed.fence));
            count += waiting.count() as u32;
        }
        count
    }
}

/// The command of a decision; `None` when it is about a placement that isn't there.
fn command(view: &change::View, decision: placement::Decision) -> Option<command::Command> {
    match decision {
        placement::Decision::Place { group, members } => {
            let over = view.placements.get(&group).map(|placed| placed.fence);
            Some(command::Command::Place { group, members, over })
        }
        placement::Decision::Unplace(group) => {
            let fence = view.placements.get(&group)?.fence;
            Some(command::Command::Unplace { group, fence })
        }
    }
}

fn group((name, declared): (&name::Group, &configuration::Group)) -> placement::Group {
    placement::Group {
        name: name.clone(),
        pool: declared.pool.clone(),
        model: declared.model.clone(),
        size: declared.size,
        priority: declared.priority,
    }
}

/// What the recorded agent of an instance last reported.
fn agent<'a>(
    view: &change::View,
    holders: &'a holders::Holders,
    instance: &name::Instance,
) -> Option<&'a holders::Agent> {
    let member = view.members.get(instance)?;
    holders.agent(instance, member.announcement.boot)
}

fn loaded(
    view: &change::View,
    holders: &holders::Holders,
    instance: &name::Instance,
    fence: number::Fence,
) -> bool {
    agent(view, holders, instance).is_some_and(|agent| agent.report.joined >= fence)
}

/// An engine that was alive and by two reports in a row is not is lost. One that has not answered
/// yet is given time: its agent has only just started and has probed nothing.
///
/// One report is not enough. An agent that was paused for a second reports an engine that it has
/// not probed lately as dead, and alive again half a second later; moved at once, its group would
/// wait minutes for weights in place of that half second.
fn dead(now: clock::Instant, agent: &holders::Agent) -> placement::Availability {
    let confirmed = agent.was_alive && agent.dead >= DEAD_REPORTS;
    if confirmed || !agent.was_alive && now.since(agent.since) >= timing::PRESENCE_TIMEOUT {
        placement::Availability::Missing
    } else {
        placement::Availability::Cordoned
    }
}

/// Whether a member of a placement is drained or leaving.
fn is_closing(view: &change::View, placed: &fleet::Placement) -> bool {
    placed.members.iter().any(|member| {
        matches!(
            upstream::obstacle(view, member),
            Some(upstream::Obstacle::Drained | upstream::Obstacle::Leaving)
        )
    })
}

/// Whether a member keeps its group where it stands although it takes no work: its zone is out
/// (it comes back with its weights), or nothing is known of it yet.
fn is_kept(view: &change::View, holders: &holders::Holders, instance: &name::Instance) -> bool {
    let zone = matches!(
        upstream::obstacle(view, instance),
        Some(
            upstream::Obstacle::ZoneOut
                | upstream::Obstacle::ZoneNotAllowed
                | upstream::Obstacle::ZoneUndeclared
        )
    );
    zone || agent(view, holders, instance).is_none_or(|agent| !agent.report.alive)
}
