//! Loss and repair of serving groups: downtime of the groups, and accelerators idle meanwhile.
//!
//! A run advances in steps of a second: instances are lost, control detects the loss and decides,
//! members load weights from a store that all loads share, and the group serves again after slow
//! start. The policy is compared with a plain repair (each broken group is rebuilt from scratch in
//! the first domain with enough free instances, all loads at once), and with a lower bound that no
//! repair can beat and that assumes immediate detection.

use crate::entry::Kind;
use hyssopfork_policy::{placement, random, weight_loads};
use hyssopfork_wire::name;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Fabric domains, two in each zone.
pub const DOMAINS: usize = 6;

/// Instances of a domain: two groups and two spares.
pub const INSTANCES_PER_DOMAIN: usize = 10;

/// Members of a group.
pub const GROUP_SIZE: u32 = 4;

/// Accelerators of an instance: about 19,000 over 4,800.
pub const ACCELERATORS_PER_INSTANCE: u32 = 4;

/// Seconds until control counts an instance as missing and has decided: the presence limit, and a
/// round of the log.
pub const DETECTION_SECONDS: u32 = 2;

/// Seconds of a weight load at the store's full speed: some hundred gigabytes at some gigabytes per
/// second.
pub const LOAD_SECONDS: u32 = 60;

/// Loads that the store serves at full speed at once.
pub const CONCURRENT_LOADS: u32 = 8;

/// Seconds from the last load until the group handles its full load again.
pub const WARM_UP_SECONDS: u32 = 5;

/// Duration of a run, in seconds.
pub const RUN_SECONDS: u32 = 1_200;

/// A simultaneous loss of instances.
#[derive(Clone, Debug)]
pub struct Loss {
    /// Second of the run.
    pub at: u32,
    /// Domain, and index within it, of each.
    pub instances: Vec<(usize, usize)>,
}

/// A sequence of losses in a fleet.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// Declared groups; the first third has priority over the rest.
    pub groups: usize,
    /// Loads that the store serves at full speed at once.
    pub concurrent_loads: u32,
    /// The losses.
    pub losses: Vec<Loss>,
}

/// Cost of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Seconds in which a group did not serve, over all groups.
    pub downtime: u32,
    /// The downtime of the groups with priority.
    pub priority_downtime: u32,
    /// Accelerator seconds on available instances outside complete groups while a group was not
    /// serving.
    pub stranded: u64,
    /// Weight loads that were started.
    pub loads: u32,
}

impl Cost {
    /// Adds another run's cost.
    pub fn add(&mut self, other: Cost) {
        self.downtime += other.downtime;
        self.priority_downtime += other.priority_downtime;
        self.stranded += other.stranded;
        self.loads += other.loads;
    }
}

struct Run<'a> {
    case: &'a Case,
    kind: Kind,
    missing: BTreeMap<name::Instance, u32>,
    placements: BTreeMap<name::Group, placement::Placement>,
    loading: BTreeMap<name::Instance, f64>,
    ready: BTreeMap<name::Group, u32>,
    cost: Cost,
}

/// Runs a case.
pub fn run(case: &Case, kind: Kind) -> Cost {
    let mut run = Run::new(case, kind);
    for second in 0..RUN_SECONDS {
        run.apply_losses(second);
        run.decide(second);
        run.advance_loads();
        run.count_downtime(second);
    }
    run.cost
}

/// All cases, in the order in which the benchmark prints them.
pub fn cases() -> Vec<Case> {
    let one = |at, place| Loss { at, instances: vec![(0, place)] };
    let all = |domain: usize| (0..INSTANCES_PER_DOMAIN).map(move |place| (domain, place));
    let dark = |domains: Range<usize>| Loss { at: 100, instances: domains.flat_map(all).collect() };
    let case =
        |name, groups, losses| Case { name, groups, concurrent_loads: CONCURRENT_LOADS, losses };
    let two = Loss { at: 100, instances: vec![(0, 1), (0, 2)] };
    let each = Loss { at: 100, instances: (0..DOMAINS).map(|domain| (domain, 1)).collect() };
    vec![
        case("one member", 12, vec![one(100, 1)]),
        case("two members of a group", 12, vec![two]),
        case("a second member right after the repair", 12, vec![one(100, 1), one(170, 2)]),
        case("a third member with two spares", 11, vec![one(100, 1), one(170, 5), one(240, 2)]),
        case("a domain dark, with room", 10, vec![dark(0..1)]),
        case("a zone dark, with room", 8, vec![dark(0..2)]),
        case("a domain dark, no room", 12, vec![dark(0..1)]),
        case(
            "a domain dark, then a member",
            10,
            vec![dark(0..1), Loss { at: 260, instances: vec![(1, 0)] }],
        ),
        Case {
            concurrent_loads: 2,
            ..case("a member of each domain, a slow store", 12, vec![each])
        },
    ]
}

/// Six instances lost at random seconds and places.
pub fn random_losses(seed: u64) -> Case {
    let loss = |index: u64| {
        let draw = |salt, length| random::index(random::mix(seed, index * 8 + salt), length);
        let at = 100 + draw(0, 600) as u32;
        Loss { at, instances: vec![(draw(1, DOMAINS), draw(2, INSTANCES_PER_DOMAIN))] }
    };
    let losses = (0..6).map(loss).collect();
    Case { name: "six members at random", groups: 12, concurrent_loads: CONCURRENT_LOADS, losses }
}

/// Lower bound of the downtime and the stranded accelerator seconds of any repair that detects each
/// loss immediately: each affected group loads at least one instance, or all of its members if its
/// domain is dark; the store's rate is the limit; a group without enough free instances stays down.
/// Valid for losses that don't overlap.
pub fn lower_bound(case: &Case) -> Cost {
    let mut bound = Cost::default();
    let mut available = (DOMAINS * INSTANCES_PER_DOMAIN) as u32;
    for loss in &case.losses {
        available -= loss.instances.len() as u32;
        let dark = loss.instances.len() >= INSTANCES_PER_DOMAIN;
        let hit = count_hit_groups(case, loss);
        let each = if dark { GROUP_SIZE } else { 1 };
        let repaired = if dark { hit.min(count_fitting_elsewhere(case, loss)) } else { hit };
        let repair_seconds = |place: u32| {
            ((place + 1) * each).div_ceil(case.concurrent_loads) * LOAD_SECONDS + WARM_UP_SECONDS
        };
        bound.downtime += (0..repaired).map(repair_seconds).sum::<u32>();
        bound.downtime += (hit - repaired) * (RUN_SECONDS - loss.at);
        bound.loads += repaired * each;
        let duration = if hit > repaired {
            RUN_SECONDS - loss.at
        } else {
            repair_seconds(repaired.max(1) - 1)
        };
        let complete = (case.groups as u32 - (hit - repaired)) * GROUP_SIZE;
        bound.stranded += u64::from((available - complete) * ACCELERATORS_PER_INSTANCE * duration);
    }
    bound
}

fn count_hit_groups(case: &Case, loss: &Loss) -> u32 {
    let is_lost = |member: &name::Instance| {
        loss.instances.iter().any(|(domain, place)| *member == instance(*domain, *place))
    };
    let placements = Run::new(case, Kind::Policy).placements;
    placements.values().filter(|it| it.members.iter().any(is_lost)).count() as u32
}

/// Groups that fit into the other domains beside those that are placed there.
fn count_fitting_elsewhere(case: &Case, loss: &Loss) -> u32 {
    let dark = loss.instances.len() / INSTANCES_PER_DOMAIN;
    let capacity = (INSTANCES_PER_DOMAIN as u32 / GROUP_SIZE) * (DOMAINS - dark) as u32;
    capacity.saturating_sub(case.groups as u32 - count_hit_groups(case, loss))
}

fn instance(domain: usize, place: usize) -> name::Instance {
    name::Instance::new(format!("instance-{domain}-{place}"))
}

fn group(index: usize) -> name::Group {
    name::Group::new(format!("group-{index:02}"))
}

impl<'a> Run<'a> {
    fn new(case: &'a Case, kind: Kind) -> Run<'a> {
        let mut run = Run {
            case,
            kind,
            missing: BTreeMap::new(),
            placements: BTreeMap::new(),
            loading: BTreeMap::new(),
            ready: BTreeMap::new(),
            cost: Cost::default(),
        };
        run.form_groups();
        run
    }

    /// Places all groups before the run, by the policy.
    fn form_groups(&mut self) {
        let fleet = self.fleet(0, u32::MAX);
        for decision in placement::decide(&fleet) {
            let placement::Decision::Place { group, members } = decision else { continue };
            self.placements.insert(group, placement::Placement { members, running: 0 });
        }
    }

    fn apply_losses(&mut self, second: u32) {
        for loss in self.case.losses.iter().filter(|loss| loss.at == second) {
            for (domain, place) in &loss.instances {
                let lost = instance(*domain, *place);
                self.loading.remove(&lost);
                self.missing.insert(lost, second);
            }
        }
    }

    fn decide(&mut self, second: u32) {
        let decisions = match self.kind {
            Kind::Policy => placement::decide(&self.fleet(second, self.case.concurrent_loads)),
            Kind::Baseline => self.plain_repair(second),
        };
        for decision in decisions {
            match decision {
                placement::Decision::Unplace(group) => {
                    self.placements.remove(&group);
                }
                placement::Decision::Place { group, members } => self.place(group, members),
            }
        }
    }

    fn place(&mut self, group: name::Group, members: Vec<name::Instance>) {
        let before = self.placements.remove(&group).map(|it| it.members).unwrap_or_default();
        for (rank, member) in members.iter().enumerate() {
            let is_kept = self.kind == Kind::Policy && before.get(rank) == Some(member);
            if !is_kept {
                self.loading.insert(member.clone(), f64::from(LOAD_SECONDS));
                self.cost.loads += 1;
            }
        }
        self.ready.remove(&group);
        self.placements.insert(group, placement::Placement { members, running: 0 });
    }

    fn advance_loads(&mut self) {
        let speed =
            (f64::from(self.case.concurrent_loads) / self.loading.len().max(1) as f64).min(1.0);
        for left in self.loading.values_mut() {
            *left -= speed;
        }
        self.loading.retain(|_, left| *left > 0.0);
    }

    fn count_downtime(&mut self, second: u32) {
        let mut complete = BTreeSet::new();
        let mut down = 0;
        for index in 0..self.case.groups {
            let group = group(index);
            let is_serving = self.is_serving(&group, second);
            down += u32::from(!is_serving);
            self.cost.priority_downtime += u32::from(!is_serving && self.has_priority(index));
            if self.is_complete(&group) {
                complete.extend(self.placements[&group].members.clone());
            }
        }
        self.cost.downtime += down;
        if down > 0 {
            let available = DOMAINS * INSTANCES_PER_DOMAIN - self.missing.len();
            self.cost.stranded +=
                ((available - complete.len()) * ACCELERATORS_PER_INSTANCE as usize) as u64;
        }
    }

    fn is_serving(&mut self, group: &name::Group, second: u32) -> bool {
        let is_loaded = self.is_complete(group)
            && self.placements[group].members.iter().all(|it| !self.loading.contains_key(it));
        if !is_loaded {
            self.ready.insert(group.clone(), second + 1 + WARM_UP_SECONDS);
            return false;
        }
        self.ready.get(group).is_none_or(|ready| second >= *ready)
    }

    fn is_complete(&self, group: &name::Group) -> bool {
        let current = self.placements.get(group);
        current.is_some_and(|it| it.members.iter().all(|it| !self.missing.contains_key(it)))
    }

    fn has_priority(&self, index: usize) -> bool {
        index < self.case.groups / 3
    }

    /// A plain repair: broken groups are removed and rebuilt in the first domain with enough free
    /// instances.
    fn plain_repair(&self, second: u32) -> Vec<placement::Decision> {
        let is_detected = |it: &name::Instance| {
            self.missing.get(it).is_some_and(|at| second >= at + DETECTION_SECONDS)
        };
        let mut used = BTreeSet::new();
        let mut waiting = Vec::new();
        for index in 0..self.case.groups {
            match self.placements.get(&group(index)) {
                Some(it) if !it.members.iter().any(is_detected) => used.extend(it.members.clone()),
                _ => waiting.push(index),
            }
        }
        let mut decisions = Vec::new();
        for index in waiting {
            for domain in 0..DOMAINS {
                let free = (0..INSTANCES_PER_DOMAIN).map(|place| instance(domain, place));
                let free: Vec<_> = free
                    .filter(|it| !used.contains(it) && !is_detected(it))
                    .take(GROUP_SIZE as usize)
                    .collect();
                if free.len() == GROUP_SIZE as usize {
                    used.extend(free.clone());
                    decisions
                        .push(placement::Decision::Place { group: group(index), members: free });
                    break;
                }
            }
        }
        decisions
    }

    fn fleet(&self, second: u32, limit: u32) -> placement::Fleet {
        let places =
            (0..DOMAINS).flat_map(|domain| (0..INSTANCES_PER_DOMAIN).map(move |it| (domain, it)));
        let instances = places.map(|(domain, place)| {
            let name = instance(domain, place);
            let is_detected =
                self.missing.get(&name).is_some_and(|at| second >= at + DETECTION_SECONDS);
            placement::Instance {
                name,
                zone: name::Zone::new(format!("zone-{}", domain / 2)),
                domain: name::Domain::new(format!("domain-{domain}")),
                pool: "engines".into(),
                availability: if is_detected {
                    placement::Availability::Missing
                } else {
                    placement::Availability::Available
                },
                loaded_model: None,
            }
        });
        let groups = (0..self.case.groups).map(|index| placement::Group {
            name: group(index),
            pool: "engines".into(),
            model: "model".into(),
            size: GROUP_SIZE,
            priority: u32::from(self.has_priority(index)),
        });
        placement::Fleet {
            instances: instances.collect(),
            groups: groups.collect(),
            placements: self.placements.clone(),
            budget: weight_loads::Budget { limit, running: self.loading.len() as u32 },
        }
    }
}
