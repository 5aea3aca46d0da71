//! Stand-in for control: a single state machine that answers at once while it is reachable.

use hyssopfork_state::{command, machine, scope, upstream};
use hyssopfork_wire::{change, configuration, control, fleet, name, number, patch, timing};
use rand::{RngExt, seq::SliceRandom};
use std::collections::BTreeMap;

/// Steps of the view that are retained; a watcher further behind gets the whole view.
const MAX_RETAINED_STEPS: usize = 8;

/// Last renewal of an agent.
#[derive(Clone)]
struct Report {
    received_at: u64,
    boot: u64,
    version: number::Version,
    running: u32,
}

pub struct Control {
    pub machine: machine::Machine,
    index: number::Index,
    steps: Vec<change::Step>,
    reports: BTreeMap<name::Instance, Report>,
    /// True time at which each zone was last taken out, in microseconds; absent while it is in.
    pub out_since: BTreeMap<name::Zone, u64>,
}

impl Control {
    pub fn new(declared: configuration::Configuration) -> Control {
        let mut control = Control {
            machine: machine::Machine::new(),
            index: number::Index(0),
            steps: Vec::new(),
            reports: BTreeMap::new(),
            out_since: BTreeMap::new(),
        };
        control.submit(patch::Operation::Declare(Box::new(declared)));
        control
    }

    pub fn view(&self) -> &change::View {
        self.machine.view()
    }

    pub fn submit(&mut self, operation: patch::Operation) {
        let base = self.view().configuration.number;
        let reply = self.apply(&command::Command::Submit(patch::Patch {
            identifier: patch::Identifier(format!("patch-{}", self.index)),
            base,
            author: "desk".into(),
            operations: vec![operation],
        }));
        let accepted = matches!(reply, machine::Reply::Submitted(patch::Outcome::Accepted(_)));
        assert!(accepted, "the patch is accepted: {reply:?}");
    }

    pub fn set_zone(&mut self, now: u64, zone: &name::Zone, out: bool) {
        self.submit(patch::Operation::SetZoneOut(zone.clone(), out));
        match out {
            true => drop(self.out_since.entry(zone.clone()).or_insert(now)),
            false => drop(self.out_since.remove(zone)),
        }
    }

    /// Handles a call; `None` for a watch without news.
    pub fn handle_request(
        &mut self,
        now: u64,
        request: &control::Request,
    ) -> Option<control::Response> {
        match request {
            control::Request::Renew(renewal) => Some(self.renew(now, renewal)),
            control::Request::Watch(have) | control::Request::Follow(have, _)
                if *have == self.view().version =>
            {
                None
            }
            control::Request::Watch(have) => Some(control::Response::Updated(self.update(*have))),
            control::Request::Follow(have, instance) => {
                Some(control::Response::Updated(self.scoped_update(*have, instance)))
            }
            control::Request::Claim(claim) => {
                match self.apply(&command::Command::Claim(claim.clone())) {
                    machine::Reply::Claimed(reply) => Some(control::Response::Claimed(reply)),
                    other => panic!("expected a claim reply, got {other:?}"),
                }
            }
            control::Request::Record(key, attempt, outcome) => {
                let (key, attempt, outcome) = (key.clone(), *attempt, outcome.clone());
                self.apply(&command::Command::Record { key, attempt, outcome });
                Some(control::Response::Recorded)
            }
            other => panic!("unexpected request from an entry or agent: {other:?}"),
        }
    }

    /// Marks silent agents as absent and moves groups: where necessary and, with `move_freely`, now
    /// and then without need.
    pub fn reconcile(&mut self, now: u64, random: &mut impl rand::Rng, move_freely: bool) {
        let limit = timing::PRESENCE_TIMEOUT.as_micros() as u64;
        for (instance, Report { received_at, boot, .. }) in self.reports.clone() {
            let present = self.view().members.get(&instance).is_some_and(|member| member.present);
            if present && now - received_at > limit {
                self.apply(&command::Command::Absent { instance, boot });
            }
        }
        let groups: Vec<_> = self.view().configuration.groups.clone().into_iter().collect();
        for (name, group) in groups {
            let placed = self.view().placements.get(&name).cloned();
            let is_unusable =
                |member: &name::Instance| upstream::ineligibility(self.view(), member).is_some();
            let broken =
                placed.as_ref().is_none_or(|placed| placed.members.iter().any(is_unusable));
            let moves = move_freely && random.random_ratio(1, 60);
            if moves || (broken && placed.as_ref().is_none_or(|placed| self.may_move(placed))) {
                self.place(&name, &group, placed, random);
            }
        }
    }

    /// Whether a placement has lost a member, or runs nothing and knows that it takes nothing more.
    fn may_move(&self, placed: &fleet::Placement) -> bool {
        let view = self.view();
        let is_lost =
            |member: &name::Instance| view.members.get(member).is_none_or(|member| !member.present);
        let idle = self
            .reports
            .get(&placed.members[0])
            .is_some_and(|report| report.version >= view.version && report.running == 0);
        idle || placed.members.iter().any(is_lost)
    }

    fn place(
        &mut self,
        name: &name::Group,
        group: &configuration::Group,
        placed: Option<fleet::Placement>,
        random: &mut impl rand::Rng,
    ) {
        let view = self.view();
        let is_usable = |instance: &&name::Instance| {
            let elsewhere = upstream::placement_of(view, instance).is_some_and(|at| at.0 != name);
            let pool = &view.members[*instance].announcement.pool;
            *pool == group.pool && !elsewhere && upstream::ineligibility(view, instance).is_none()
        };
        let mut members: Vec<_> = view.members.keys().filter(is_usable).cloned().collect();
        members.shuffle(random);
        // A fabric domain lies within one zone.
        let zone = |member: &name::Instance| &view.members[member].announcement.zone;
        let has_enough_members = |first: &name::Instance| {
            let inside = members.iter().filter(|member| zone(member) == zone(first));
            inside.count() >= group.size as usize
        };
        let Some(chosen) =
            members.iter().find(|member| has_enough_members(member)).map(zone).cloned()
        else {
            return;
        };
        members.retain(|member| *zone(member) == chosen);
        members.truncate(group.size as usize);
        let over = placed.map(|placed| placed.fence);
        let reply =
            self.apply(&command::Command::Place { group: name.clone(), members, replaces: over });
        assert!(matches!(reply, machine::Reply::Placed(_)), "the group is placed: {reply:?}");
    }

    fn renew(&mut self, now: u64, renewal: &control::Renewal) -> control::Response {
        let mut incarnation = None;
        if let control::Holder::Agent(announcement, report) = &renewal.holder {
            let instance = announcement.instance.clone();
            let boot = announcement.boot;
            match self.apply(&command::Command::Announce(announcement.clone())) {
                machine::Reply::Announced(given) => incarnation = Some(given),
                _ => return control::Response::Unavailable,
            }
            let running = report.running;
            let report = Report { received_at: now, boot, version: renewal.version, running };
            self.reports.insert(instance.clone(), report);
            if renewal.leaving {
                self.apply(&command::Command::Leaving { instance, boot });
            }
        }
        let update = match &renewal.holder {
            control::Holder::Entry(_) => self.update(renewal.version),
            control::Holder::Agent(announcement, _) => {
                self.scoped_update(renewal.version, &announcement.instance)
            }
        };
        control::Response::Granted(control::Grant {
            duration: timing::HOLDER_LEASE,
            update,
            incarnation,
        })
    }

    /// The part of the view that concerns an agent, always as a whole.
    fn scoped_update(&self, have: number::Version, instance: &name::Instance) -> change::Update {
        if have == self.view().version {
            return change::Update::Current;
        }
        change::Update::Whole(Box::new(scope::view(self.view(), instance)))
    }

    fn update(&self, have: number::Version) -> change::Update {
        let version = self.view().version;
        if have == version {
            return change::Update::Current;
        }
        let is_retained = self.steps.first().is_some_and(|step| step.version <= have);
        if !is_retained {
            return change::Update::Whole(Box::new(self.view().clone()));
        }
        let after = self.steps.iter().filter(|step| step.version > have);
        change::Update::Steps(after.cloned().collect())
    }

    fn apply(&mut self, command: &command::Command) -> machine::Reply {
        self.index = self.index.next();
        let applied = self.machine.apply(self.index, command);
        if !applied.changes.is_empty() {
            let version = number::Version(self.index.0);
            self.steps.push(change::Step { version, changes: applied.changes });
            let surplus = self.steps.len().saturating_sub(MAX_RETAINED_STEPS);
            self.steps.drain(..surplus);
        }
        applied.reply
    }
}
