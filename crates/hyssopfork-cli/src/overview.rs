//! State of the fleet for operators, derived from the leader's status.

use hyssopfork_wire::{configuration, control, fleet, name, number, timing};
use serde::Serialize;
use std::collections::BTreeMap;

/// State of a serving group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The first member accepts requests.
    Serving,
    /// Placed; not all members have loaded the model or granted a lease yet.
    Forming,
    /// Placed; a member is missing.
    Incomplete,
    /// No instances are assigned to the group.
    Unplaced,
}

/// A serving group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Group {
    /// Name of the group.
    pub group: name::Group,
    /// Current state.
    #[serde(rename = "standing")]
    pub state: State,
    /// Fencing number of the placement.
    pub fence: Option<number::Fence>,
    /// Zone of the first member.
    pub zone: Option<name::Zone>,
    /// Members; the first one receives the requests.
    pub members: Vec<name::Instance>,
    /// Missing members.
    pub missing: Vec<name::Instance>,
    /// Requests in flight.
    pub running: u32,
}

/// Condition of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Condition {
    /// Operational.
    Ready,
    /// The back end has just started and tolerates little load. Only instances that receive
    /// requests are reported as cold: a spare and the other members of a group get none to warm up.
    Cold,
    /// Drained by operators.
    Drained,
    /// The agent has announced that it is leaving.
    Leaving,
    /// The back end does not respond to its agent.
    Down,
    /// No recent report, or the instance has left.
    Missing,
}

/// An announced instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Instance {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Zone of the instance.
    pub zone: name::Zone,
    /// Fabric domain of the instance.
    pub domain: name::Domain,
    /// Pool of the instance.
    pub pool: name::Pool,
    /// Kind of its upstream.
    pub kind: configuration::Kind,
    /// Current state.
    pub condition: Condition,
    /// Group that the instance is placed in.
    pub group: Option<name::Group>,
    /// Requests in flight.
    pub running: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Zone {
    /// Name of the zone.
    pub zone: name::Zone,
    /// Whether operators have taken the zone out of service.
    pub out: bool,
    /// Number of serving groups whose first member is in the zone.
    pub serving: usize,
    /// Number of instances that are present.
    pub present: usize,
    /// Number of missing instances.
    pub missing: usize,
    /// Number of cold instances.
    pub cold: usize,
}

/// A lease holder whose view is not the newest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Laggard {
    /// Instance of the process.
    pub instance: name::Instance,
    /// Version in its last report.
    pub version: number::Version,
}

/// State of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Overview {
    /// Configuration number in force.
    pub configuration: number::Configuration,
    /// Version of the newest view.
    pub version: number::Version,
    /// Control instance that is the leader.
    pub leader: name::Instance,
    /// Current term of the replicated log.
    pub term: number::Term,
    /// Committed index of the replicated log.
    pub committed: number::Index,
    /// Zones, sorted by name.
    pub zones: Vec<Zone>,
    /// Groups, sorted by name.
    pub groups: Vec<Group>,
    /// Instances, sorted by name.
    pub instances: Vec<Instance>,
    /// Number of entries that hold a lease.
    pub entries: usize,
    /// Number of processes that hold a lease.
    pub holders: usize,
    /// Lease holders whose view is not the newest.
    #[serde(rename = "behind")]
    pub laggards: Vec<Laggard>,
    /// Processes whose lease has lapsed; they serve nothing until they get a new one.
    pub lapsed: Vec<name::Instance>,
    /// Number of idle accelerators: on present, undrained engines in zones in service, outside
    /// serving groups.
    pub stranded: u32,
}

impl Overview {
    /// Whether every declared group is serving and all lease holders have the newest view.
    pub fn is_healthy(&self) -> bool {
        let serving = self.groups.iter().all(|group| group.state == State::Serving);
        serving && self.laggards.is_empty()
    }
}

/// Builds the overview from a status.
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

/// Index of a status: reports and groups by instance.
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
