//! What a leader does: looks after groups and voters, publishes, answers watches.

use super::{Copy, Core, Leadership, watches};
use crate::{action, board, groups, notice, peer, quarantine, registry, view};
use hyssopfork_consensus::{change, event as log_event};
use hyssopfork_wire::{clock, consensus, name, number};
use std::collections::BTreeMap;
use std::net;
use std::time::Duration;

/// Time between two looks at the groups when nothing has happened.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two reviews, for each upstream: 0.6 ms with 30 of them, 8 ms with 400.
const REVIEW_PAUSE_PER_UPSTREAM: Duration = Duration::from_micros(20);

/// Least time between two publications, for each follower that is answered: 4 ms with 7 of them, 20 ms
/// with 40.
const PUBLICATION_PAUSE_PER_FOLLOWER: Duration = Duration::from_micros(500);

/// Longest time by which a change is published later than it is reviewed.
const MAX_PUBLICATION_PAUSE: Duration = Duration::from_millis(100);

/// Silence of a voter after which its seat is given up, where enough others answer: longer than a
/// restart.
const SEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Silence up to which a voter counts as answering.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(1);

/// Time between two looks at the voters.
const SEAT_REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// When the voters were last looked at, and since when seats are vacant.
#[derive(Clone, Debug, Default)]
pub(super) struct VoterReview {
    last_review: Option<clock::Instant>,
    vacant: BTreeMap<name::Instance, clock::Instant>,
}

impl Leadership {
    /// Whether the groups are to be reviewed: soon after a change, and now and then without one.
    ///
    /// A review passes over all engines. One after each event took the processor of a leader of
    /// hundreds of them, which then lost its lease; so changes are gathered for a time that grows with
    /// their number.
    fn is_review_due(&self, now: clock::Instant) -> bool {
        let pause = REVIEW_PAUSE_PER_UPSTREAM * self.registry.len() as u32;
        let since = now.since(self.looked);
        since >= REVIEW_INTERVAL || self.dirty && since >= pause.min(REVIEW_INTERVAL)
    }

    /// Whether followers may be told again: each publication answers all of them.
    fn is_publication_due(&self, now: clock::Instant) -> bool {
        let pause = PUBLICATION_PAUSE_PER_FOLLOWER * self.watches.follower_count() as u32;
        now.since(self.posted) >= pause.min(MAX_PUBLICATION_PAUSE)
    }
}

impl Core {
    /// Takes up or lays down the leader's duties.
    pub(super) fn follow_leadership(&mut self) {
        let term = self.node.as_ref().filter(|node| node.is_leader()).map(|node| node.term());
        let held = self.leadership.as_ref().map(|it| it.term);
        if held.is_some() && held != term {
            self.cease();
        }
        if self.leadership.is_none() && self.leads() {
            let term = term.unwrap_or_default();
            self.take_up(term);
        }
    }

    pub(super) fn cease(&mut self) {
        if let Some(leadership) = self.leadership.take() {
            self.notice(notice::Notice::Ceased(leadership.term));
        }
    }

    fn take_up(&mut self, term: number::Term) {
        let now = self.now;
        let mut registry = registry::Registry::new(self.settings.silence());
        // Who starts the system knows that nobody has sent yet; whoever takes over doesn't.
        let traffic = !self.settings.first_start || term.0 > 1;
        let mut groups = groups::Groups::new(now, term, traffic);
        let Copy { upstreams, groups: known, entries, quarantine, .. } = self.copy.clone();
        for upstream in upstreams.into_values() {
            registry.adopt(now, upstream);
        }
        for (name, group) in known {
            groups.adopt_from_follower(now, &name, group, &registry);
        }
        let mut watches = watches::Watches::new(now, term, self.copy.stamp);
        watches.learn(entries.into_keys());
        let mut ledger = quarantine::Ledger::default();
        ledger.learn(now, quarantine.into_iter().collect());
        self.leadership = Some(Leadership {
            term,
            registry,
            groups,
            ledger,
            board: board::Board::new(term, self.copy.document.clone()),
            watches,
            dirty: true,
            looked: now,
            published: now,
            posted: now,
            reviewed: false,
            seats: VoterReview::default(),
        });
        self.notice(notice::Notice::Serving(term));
    }

    /// The leader's duties; nothing is ordered or told without a quorum's word that no other leads.
    pub(super) fn attend(&mut self) {
        if !self.leads() {
            return;
        }
        let now = self.now;
        let own = std::mem::take(&mut self.evidence);
        if own != peer::Evidence::default() {
            self.observe(self.settings.address, &own);
        }
        let due = self.leadership.as_ref().is_some_and(|leadership| leadership.is_review_due(now));
        let document = self.state.document.clone().filter(|_| due);
        let declaration = document.and_then(|document| self.declared(&document));
        let Some(leadership) = &mut self.leadership else { return };
        if due {
            leadership.looked = now;
            leadership.dirty = false;
            leadership.registry.forget(now);
            leadership.ledger.forget(now);
            let peers = leadership.watches.peers();
            let commands = declaration
                .map(|it| {
                    leadership.groups.reconcile(
                        now,
                        &leadership.registry,
                        &it,
                        &peers,
                        &self.state.out,
                    )
                })
                .unwrap_or_default();
            self.command(commands);
        }
        self.post(due);
        self.answer_watches();
        self.look_at_seats();
    }

    /// Takes what an entry saw.
    pub(super) fn observe(&mut self, from: net::SocketAddr, evidence: &peer::Evidence) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.groups.on_evidence(now, from, evidence);
        let mut notices = Vec::new();
        for crash in &evidence.crashes {
            for (request, round) in leadership.ledger.record(now, crash) {
                notices.push(notice::Notice::Quarantined(request, round));
            }
            leadership.dirty = true;
        }
        for completion in &evidence.completions {
            if leadership.ledger.completed(now, completion) {
                notices.push(notice::Notice::Released(completion.request));
            }
            leadership.dirty = true;
        }
        for change in &evidence.rates {
            leadership.dirty |= leadership.registry.name_rate(now, change);
        }
        for notice in notices {
            self.notice(notice);
        }
    }

    pub(super) fn command(&mut self, commands: Vec<groups::Command>) {
        for command in commands {
            let action = match command {
                groups::Command::Order(order) => action::Action::Order(order),
                groups::Command::Probe(instance, to) => action::Action::Probe(instance, to),
                groups::Command::RequestReport(instance, to) => action::Action::Ask(instance, to),
                groups::Command::ProbeIndirectly { peer, instance, address } => {
                    action::Action::AskPeer { peer, instance, address }
                }
                groups::Command::Notice(notice) => action::Action::Notice(notice),
            };
            self.act(action);
        }
    }

    /// Publishes what is new since the last review, to this process's own entry first.
    fn post(&mut self, reviewed: bool) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.reviewed |= reviewed;
        if !leadership.reviewed || !leadership.is_publication_due(now) {
            return;
        }
        leadership.reviewed = false;
        leadership.posted = now;
        let voters = self.node.as_ref().map(|node| node.voters().to_vec()).unwrap_or_default();
        let controls = voters.iter().filter_map(|it| super::address_of(&it.instance)).collect();
        let Some(leadership) = &mut self.leadership else { return };
        let rest = board::Rest {
            document: self.state.document.clone(),
            out: self.state.out.clone(),
            controls,
            entries: leadership.watches.entries(now, self.settings.address),
            quarantine: leadership.ledger.published().clone(),
        };
        let upstreams = leadership.registry.published(now);
        let groups = leadership.groups.to_views();
        leadership.board.publish(rest, upstreams, &groups);
        leadership.watches.published(leadership.board.stamp().revision);
        // Also when nothing is new: the entry tells by it that this process still leads.
        let due = now.since(leadership.published) >= action::HOLD;
        if due || leadership.board.stamp() != self.copy.stamp {
            leadership.published = now;
            let update = leadership.board.since(self.copy.stamp);
            self.publish(update, self.state.document.clone());
        }
    }

    fn answer_watches(&mut self) {
        let now = self.now;
        let own = self.settings.address;
        let Some(leadership) = &mut self.leadership else { return };
        let stamp = leadership.board.stamp();
        let due = leadership.watches.due(now, stamp, leadership.board.version());
        let (done, late) = leadership.watches.replicated(now, stamp);
        let answers: Vec<(u64, peer::Answer)> = due
            .into_iter()
            .map(|due| {
                if due.inquires {
                    return (due.call, peer::Answer::Inquiry);
                }
                let part = due.document.and_then(|held| leadership.board.part(held));
                let update = view::Update { document: part, ..leadership.board.since(due.have) };
                (due.call, peer::Answer::Updated(Box::new(update)))
            })
            .collect();
        for (call, answer) in answers {
            self.reply(call, action::Reply::Watched(answer));
        }
        for call in done {
            self.reply(call, action::Reply::Registered(own));
        }
        for call in late {
            self.reply(call, action::Reply::Elsewhere(None));
        }
    }

    /// Gives up the seat of a voter that is gone, so that its successor's makes the quorum no
    /// larger for good. Only where enough voters answer without it: each change of the voters
    /// leaves fewer to lose while it lasts.
    fn look_at_seats(&mut self) {
        let now = self.now;
        let (Some(leadership), Some(node)) = (&mut self.leadership, &self.node) else { return };
        let seats = &mut leadership.seats;
        if seats.last_review.is_some_and(|looked| now.since(looked) < SEAT_REVIEW_INTERVAL) {
            return;
        }
        seats.last_review = Some(now);
        let vacant = |voter: &&consensus::Voter| voter.folder == consensus::VACANT;
        let empty: Vec<name::Instance> =
            node.voters().iter().filter(vacant).map(|voter| voter.instance.clone()).collect();
        seats.vacant.retain(|instance, _| empty.contains(instance));
        for instance in empty {
            seats.vacant.entry(instance).or_insert(now);
        }
        let mut silences = node.silences(now);
        let answer = |(_, silence): &&(name::Instance, Duration)| *silence < MAX_ANSWER_AGE;
        let answering = silences.iter().filter(answer).count() + 1;
        if answering < self.settings.enough_voters() {
            return;
        }
        silences.extend(seats.vacant.iter().map(|(it, since)| (it.clone(), now.since(*since))));
        let gone = silences.into_iter().find(|(_, silence)| *silence >= SEAT_TIMEOUT);
        if let Some((instance, _)) = gone {
            let change = change::Change::Remove(instance.clone());
            self.notice(notice::Notice::SeatRemoved(instance));
            self.tell(log_event::Event::ChangeVoters { ticket: 0, change });
        }
    }
}
