//! What operators see of the fleet, worked out from the leader's status.

use hyssopfork_wire::{configuration, control, fleet, name, number, timing};
use serde::Serialize;
use std::collections::BTreeMap;

/// State of a serving group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Its first member takes requests.
    Serving,
    /// It is placed and not all members have loaded or granted yet.
    Forming,
    /// It is placed and a member is missing.
    Incomplete,
    /// No instances are placed for it.
    Unplaced,
}

/// A serving group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Group {
    /// Its name.
    pub group: name::Group,
    /// State.
    #[serde(rename = "standing")]
    pub state: State,
    /// Fencing number of its placement.
    pub fence: Option<number::Fence>,
    /// Zone of its first member.
    pub zone: Option<name::Zone>,
    /// Members, first one first.
    pub members: Vec<name::Instance>,
    /// Members that are missing.
    pub missing: Vec<name::Instance>,
    /// Requests that run on it.
    pub running: u32,
}

/// What is the matter with an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Condition {
    /// All is well.
    Ready,
    /// Its back end is new and bears little. Only said of those that requests go to: a spare and
    /// a group's further members run none that could warm them.
    Cold,
    /// Operators have drained it.
    Drained,
    /// Its agent has said that it is leaving.
    Leaving,
    /// Its back end doesn't answer its agent.
    Down,
    /// It fell silent or left.
    Missing,
}

/// An instance that announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Instance {
    /// Its name.
    pub instance: name::Instance,
    /// Its zone.
    pub zone: name::Zone,
    /// Its fabric domain.
    pub domain: name::Domain,
    /// Its pool.
    pub pool: name::Pool,
    /// What it runs.
    pub kind: configuration::Kind,
    /// State.
    pub condition: Condition,
    /// Group that it is placed in.
    pub group: Option<name::Group>,
    /// Requests that run on it.
    pub running: u32,
    /// Accelerators on it.
    pub accelerators: u32,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Zone {
    /// Its name.
    pub zone: name::Zone,
    /// Whether operators have taken it out.
    pub out: bool,
    /// Groups that serve in it.
    pub serving: usize,
    /// Instances that are present.
    pub present: usize,
    /// Instances that are missing.
    pub missing: usize,
    /// Instances that are cold.
    pub cold: usize,
}

/// A process that acts on an older view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Laggard {
    /// Its instance.
    pub instance: name::Instance,
    /// Version that it reported last.
    pub version: number::Version,
}

/// The whole screen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Overview {
    /// Configuration number in force.
    pub configuration: number::Configuration,
    /// Version of the newest view.
    pub version: number::Version,
    /// Control instance that leads.
    pub leader: name::Instance,
    /// Term of the log.
    pub term: number::Term,
    /// Committed index of the log.
    pub committed: number::Index,
    /// Zones by name.
    pub zones: Vec<Zone>,
    /// Groups by name.
    pub groups: Vec<Group>,
    /// Instances by name.
    pub instances: Vec<Instance>,
    /// Entries that hold a lease.
    pub entries: usize,
    /// Processes that hold a lease.
    pub holders: usize,
    /// Holders of a lease that act on an older view.
    #[serde(rename = "behind")]
    pub laggards: Vec<Laggard>,
    /// Processes whose lease has lapsed: they serve nothing until they have another.
    pub lapsed: Vec<name::Instance>,
    /// Accelerators that serve nothing: on present, undrained engines in zones that are in service,
    /// outside serving groups.
    pub stranded: u32,
}

impl Overview {
    /// Whether every declared group serves and the newest view is in force everywhere.
    pub fn is_healthy(&self) -> bool {
        let serving = self.groups.iter().all(|group| group.state == State::Serving);
        serving && self.laggards.is_empty()
    }
}

/// Works the screen out.
pub fn build(status: &control::Status) -> Overview {
    let lookup = Lookup::new(status);
    let groups: Vec<Group> =
        status.view.configuration.groups.keys().map(|group| lookup.group(group)).collect();
    let instances: Vec<Instance> =
        status.view.members.values().map(|member| lookup.instance(member)).collect();
    let zones = status.view.configuration.zones.iter();
    let zones = zones.map(|(name, zone)| build_zone(name, zone, &groups, &instances)).collect();
    let stranded = count_stranded(status, &groups, &instances);
    let holders = || status.holdings.iter().filter(|holding| !is_lapsed(holding));
    let lapsed = status.holdings.iter().filter(|holding| is_lapsed(holding));
    Overview {
        configuration: status.view.configuration.number,
        version: status.view.version,
        leader: status.leader.clone(),
        term: status.term,
        committed: status.committed,
        zones,
        groups,
        instances,
        entries: holders().filter(|holding| !holding.agent).count(),
        holders: holders().count(),
        laggards: holders().filter_map(|holding| find_laggard(status, holding)).collect(),
        lapsed: lapsed.map(|holding| holding.instance.clone()).collect(),
        stranded,
    }
}

/// Reports by instance, beside the view that they belong to.
struct Lookup<'a> {
    status: &'a control::Status,
    by_instance: BTreeMap<&'a name::Instance, &'a fleet::Report>,
    group_of: BTreeMap<&'a name::Instance, &'a name::Group>,
}

impl<'a> Lookup<'a> {
    fn new(status: &'a control::Status) -> Self {
        let holdings = status.holdings.iter();
        let reported =
            holdings.filter_map(|holding| Some((&holding.instance, holding.report.as_ref()?)));
        let placements = status.view.placements.iter();
        let placed = placements.flat_map(|(group, placement)| {
            placement.members.iter().map(move |member| (member, group))
        });
        Lookup { status, by_instance: reported.collect(), group_of: placed.collect() }
    }

    fn group(&self, group: &name::Group) -> Group {
        let Some(placement) = self.status.view.placements.get(group) else {
            return Group {
                group: group.clone(),
                state: State::Unplaced,
                fence: None,
                zone: None,
                members: Vec::new(),
                missing: Vec::new(),
                running: 0,
            };
        };
        let members = placement.members.iter();
        let missing: Vec<name::Instance> =
            members.filter(|member| self.is_missing(member)).cloned().collect();
        let first = placement.members.first();
        let report = first.and_then(|first| self.by_instance.get(first));
        let member = first.and_then(|first| self.status.view.members.get(first));
        Group {
            group: group.clone(),
            state: group_state(placement, report.copied(), &missing),
            fence: Some(placement.fence),
            zone: member.map(|member| member.announcement.zone.clone()),
            members: placement.members.clone(),
            missing,
            running: report.map_or(0, |report| report.running),
        }
    }

    fn is_missing(&self, instance: &name::Instance) -> bool {
        let Some(member) = self.status.view.members.get(instance) else { return true };
        !matches!(
            self.condition(member),
            Condition::Ready | Condition::Cold | Condition::Drained | Condition::Leaving
        )
    }

    fn condition(&self, member: &fleet::Member) -> Condition {
        let instance = &member.announcement.instance;
        let Some(report) = self.by_instance.get(instance).filter(|_| member.present) else {
            return Condition::Missing;
        };
        if member.leaving {
            Condition::Leaving
        } else if self.status.view.configuration.drained.contains(instance) {
            Condition::Drained
        } else if !report.alive {
            Condition::Down
        } else if !report.warm && self.is_request_target(member) {
            Condition::Cold
        } else {
            Condition::Ready
        }
    }

    fn is_request_target(&self, member: &fleet::Member) -> bool {
        let instance = &member.announcement.instance;
        let mut placements = self.status.view.placements.values();
        member.announcement.profile.kind == configuration::Kind::Service
            || placements.any(|placement| placement.members.first() == Some(instance))
    }

    fn instance(&self, member: &fleet::Member) -> Instance {
        let announcement = &member.announcement;
        let report = self.by_instance.get(&announcement.instance);
        Instance {
            instance: announcement.instance.clone(),
            zone: announcement.zone.clone(),
            domain: announcement.domain.clone(),
            pool: announcement.pool.clone(),
            kind: announcement.profile.kind,
            condition: self.condition(member),
            group: self.group_of.get(&announcement.instance).map(|&group| group.clone()),
            running: report.map_or(0, |report| report.running),
            accelerators: announcement.profile.accelerators,
        }
    }
}

fn group_state(
    placement: &fleet::Placement,
    first: Option<&fleet::Report>,
    missing: &[name::Instance],
) -> State {
    let is_serving = first.is_some_and(|first| first.serving && first.joined == placement.fence);
    match (missing.is_empty(), is_serving) {
        (false, _) => State::Incomplete,
        (true, true) => State::Serving,
        (true, false) => State::Forming,
    }
}

fn build_zone(
    name: &name::Zone,
    zone: &configuration::Zone,
    groups: &[Group],
    instances: &[Instance],
) -> Zone {
    let count_instances = |predicate: fn(Condition) -> bool| {
        let in_zone = instances.iter().filter(|instance| instance.zone == *name);
        in_zone.filter(|instance| predicate(instance.condition)).count()
    };
    let serving = groups
        .iter()
        .filter(|group| group.state == State::Serving && group.zone.as_ref() == Some(name));
    Zone {
        zone: name.clone(),
        out: zone.out,
        serving: serving.count(),
        present: count_instances(|condition| condition != Condition::Missing),
        missing: count_instances(|condition| condition == Condition::Missing),
        cold: count_instances(|condition| condition == Condition::Cold),
    }
}

fn is_lapsed(holding: &control::Holding) -> bool {
    holding.age > timing::HOLDER_LEASE
}

fn find_laggard(status: &control::Status, holding: &control::Holding) -> Option<Laggard> {
    let (instance, version) = (holding.instance.clone(), holding.version);
    (version < status.view.version).then_some(Laggard { instance, version })
}

fn count_stranded(status: &control::Status, groups: &[Group], instances: &[Instance]) -> u32 {
    let is_serving = |instance: &Instance| {
        let group = groups.iter().find(|group| Some(&group.group) == instance.group.as_ref());
        group.is_some_and(|group| group.state == State::Serving)
    };
    let idle = instances.iter().filter(|instance| {
        let zone = status.view.configuration.zones.get(&instance.zone);
        let is_usable = matches!(instance.condition, Condition::Ready | Condition::Cold);
        instance.kind == configuration::Kind::Engine
            && is_usable
            && zone.is_some_and(|zone| !zone.out)
            && !is_serving(instance)
    });
    idle.map(|instance| instance.accelerators).sum()
}
