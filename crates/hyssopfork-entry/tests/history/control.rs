//! Stand-in for control: one state machine that answers at once while it can be reached.

use hyssopfork_state::{command, machine, scope, upstream};
use hyssopfork_wire::{change, configuration, control, fleet, name, number, patch, timing};
use rand::{RngExt, seq::SliceRandom};
use std::collections::BTreeMap;

/// Steps that are kept; a watcher further behind gets the whole view.
const STEPS_KEPT: usize = 8;

/// What an agent said last.
#[derive(Clone)]
struct Heard {
    at: u64,
    boot: u64,
    have: number::Version,
    running: u32,
}

pub struct Control {
    pub machine: machine::Machine,
    index: number::Index,
    steps: Vec<change::Step>,
    heard: BTreeMap<name::Instance, Heard>,
    /// When each zone was last taken out, in true microseconds; absent while it is in.
    pub out_since: BTreeMap<name::Zone, u64>,
}

impl Control {
    pub fn new(declared: configuration::Configuration) -> Control {
        let mut control = Control {
            machine: machine::Machine::new(),
            index: number::Index(0),
            steps: Vec::new(),
            heard: BTreeMap::new(),
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
        assert!(accepted, "the patch is taken: {reply:?}");
    }

    pub fn set_zone(&mut self, now: u64, zone: &name::Zone, out: bool) {
        self.submit(patch::Operation::SetZoneOut(zone.clone(), out));
        match out {
            true => drop(self.out_since.entry(zone.clone()).or_insert(now)),
            false => drop(self.out_since.remove(zone)),
        }
    }

    /// Answers a call; `None` for a watch that has nothing to tell yet.
    pub fn call(&mut self, now: u64, request: &control::Request) -> Option<control::Response> {
        match request {
            control::Request::Renew(renewal) => Some(self.renew(now, renewal)),
            control::Request::Watch(have) | control::Request::Follow(have, _)
                if *have == self.view().version =>
            {
                None
            }
            control::Request::Watch(have) => Some(control::Response::Updated(self.update(*have))),
            control::Request::Follow(have, instance) => {
                Some(control::Response::Updated(self.part(*have, instance)))
            }
            control::Request::Claim(claim) => {
                match self.apply(&command::Command::Claim(claim.clone())) {
                    machine::Reply::Claimed(reply) => Some(control::Response::Claimed(reply)),
                    other => panic!("a claim is answered by its reply, not {other:?}"),
                }
            }
            control::Request::Record(key, attempt, outcome) => {
                let (key, attempt, outcome) = (key.clone(), *attempt, outcome.clone());
                self.apply(&command::Command::Record { key, attempt, outcome });
                Some(control::Response::Recorded)
            }
            other => panic!("entries and agents don't ask for {other:?}"),
        }
    }

    /// Counts silent agents as missing, and moves groups: where they must, and sometimes where
    /// they need not.
    pub fn manage(&mut self, now: u64, random: &mut impl rand::Rng, restless: bool) {
        let limit = timing::PRESENCE_TIMEOUT.as_micros() as u64;
        for (instance, Heard { at, boot, .. }) in self.heard.clone() {
            let present = self.view().members.get(&instance).is_some_and(|member| member.present);
            if present && now - at > limit {
                self.apply(&command::Command::Absent { instance, boot });
            }
        }
        let groups: Vec<_> = self.view().configuration.groups.clone().into_iter().collect();
        for (name, group) in groups {
            let placed = self.view().placements.get(&name).cloned();
            let bad = |member: &name::Instance| upstream::obstacle(self.view(), member).is_some();
            let broken = placed.as_ref().is_none_or(|placed| placed.members.iter().any(bad));
            let moves = restless && random.random_ratio(1, 60);
            if moves || (broken && placed.as_ref().is_none_or(|placed| self.may_move(placed))) {
                self.place(&name, &group, placed, random);
            }
        }
    }

    /// Whether a placement is lost, or runs nothing and takes nothing more.
    fn may_move(&self, placed: &fleet::Placement) -> bool {
        let view = self.view();
        let lost =
            |member: &name::Instance| view.members.get(member).is_none_or(|member| !member.present);
        let idle = self
            .heard
            .get(&placed.members[0])
            .is_some_and(|heard| heard.have >= view.version && heard.running == 0);
        idle || placed.members.iter().any(lost)
    }

    fn place(
        &mut self,
        name: &name::Group,
        group: &configuration::Group,
        placed: Option<fleet::Placement>,
        random: &mut impl rand::Rng,
    ) {
        let view = self.view();
        let usable = |instance: &&name::Instance| {
            let elsewhere = upstream::placement(view, instance).is_some_and(|at| at.0 != name);
            let pool = &view.members[*instance].announcement.pool;
            *pool == group.pool && !elsewhere && upstream::obstacle(view, instance).is_none()
        };
        let mut members: Vec<_> = view.members.keys().filter(usable).cloned().collect();
        members.shuffle(random);
        // One fabric domain lies within a zone.
        let zone = |member: &name::Instance| &view.members[member].announcement.zone;
        let enough = |first: &name::Instance| {
            let inside = members.iter().filter(|member| zone(member) == zone(first));
            inside.count() >= group.size as usize
        };
        let Some(chosen) = members.iter().find(|member| enough(member)).map(zone).cloned() else {
            return;
        };
        members.retain(|member| *zone(member) == chosen);
        members.truncate(group.size as usize);
        let over = placed.map(|placed| placed.fence);
        let reply = self.apply(&command::Command::Place { group: name.clone(), members, over });
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
            let heard = Heard { at: now, boot, have: renewal.version, running };
            self.heard.insert(instance.clone(), heard);
            if renewal.leaving {
                self.apply(&command::Command::Leaving { instance, boot });
            }
        }
        let update = match &renewal.holder {
            control::Holder::Entry(_) => self.update(renewal.version),
            control::Holder::Agent(announcement, _) => {
                self.part(renewal.version, &announcement.instance)
            }
        };
        control::Response::Granted(control::Grant {
            duration: timing::HOLDER_LEASE,
            update,
            incarnation,
        })
    }

    /// The part of the view that an agent follows, whole each time.
    fn part(&self, have: number::Version, instance: &name::Instance) -> change::Update {
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
        let kept = self.steps.first().is_some_and(|step| step.version <= have);
        if !kept {
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
            let surplus = self.steps.len().saturating_sub(STEPS_KEPT);
            self.steps.drain(..surplus);
        }
        applied.reply
    }
}
