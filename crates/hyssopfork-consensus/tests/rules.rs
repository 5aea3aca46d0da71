//! One rule a test: a single node, driven by hand-made messages.

use hyssopfork_consensus::{action, change, event, node, write};
use hyssopfork_wire::{clock, consensus, name, number, timing};
use std::time::Duration;

/// Milliseconds after which a node that heard nothing gives votes and stands for election.
const QUIET: u64 = 1_300;

fn voter(name: &str) -> consensus::Voter {
    consensus::Voter { instance: name::Instance::from(name), folder: 7 }
}

fn voters() -> Vec<consensus::Voter> {
    ["a", "b", "c"].map(voter).to_vec()
}

fn entry(index: u64, term: u64) -> consensus::Entry {
    let payload = consensus::Payload::Command(vec![index as u8]);
    consensus::Entry { index: number::Index(index), term: number::Term(term), payload }
}

/// A node and its clock.
struct Fixture {
    node: node::Node,
    now: u64,
    mark: u64,
}

impl Fixture {
    /// Voter `a` of three in term 1, with entries of the given terms from index 1 on.
    fn new(terms: &[u64]) -> Fixture {
        let entries = (1..).zip(terms).map(|(index, term)| entry(index, *term)).collect();
        let (index, term) = (number::Index(0), number::Term(0));
        let snapshot = write::Snapshot { index, term, voters: voters(), data: Vec::new() };
        let ballot = write::Ballot { term: number::Term(1), vote: None };
        let durable = node::Durable { ballot, snapshot: Some(snapshot), entries };
        let now = clock::Instant::from_millis(0);
        let node = node::Node::new(voter("a"), durable, node::Settings::default(), 1, now);
        Fixture { node, now: 0, mark: 0 }
    }

    /// The same after so long a silence that it gives votes.
    fn quiet(terms: &[u64]) -> Fixture {
        let mut fixture = Fixture::new(terms);
        fixture.now = timing::ELECTION_TIMEOUT.as_millis() as u64;
        fixture
    }

    /// The same as leader of term 2, with nothing committed.
    fn leading(terms: &[u64]) -> Fixture {
        let mut fixture = Fixture::new(terms);
        fixture.now = QUIET;
        fixture.step(event::Event::Tick);
        fixture.receive("b", voted(true));
        fixture.persist();
        fixture.receive("b", voted(false));
        assert!(fixture.node.is_leader(), "elected by a and b");
        fixture
    }

    /// The same with its own term's first entry committed.
    fn settled() -> Fixture {
        let mut fixture = Fixture::leading(&[]);
        fixture.persist();
        fixture.receive("b", appended(1, 1));
        assert_eq!(fixture.node.committed(), number::Index(1));
        fixture
    }

    fn step(&mut self, event: event::Event) -> Vec<action::Action> {
        let actions = self.node.step(clock::Instant::from_millis(self.now), event);
        for action in &actions {
            if let action::Action::Persist(write) = action {
                self.mark = write.mark;
            }
        }
        actions
    }

    fn receive(&mut self, from: &str, message: consensus::Message) -> Vec<action::Action> {
        self.receive_from(voter(from), message)
    }

    fn receive_from(
        &mut self,
        from: consensus::Voter,
        message: consensus::Message,
    ) -> Vec<action::Action> {
        let to = name::Instance::from("a");
        self.step(event::Event::Received(consensus::Packet { from, to, message }))
    }

    fn persist(&mut self) -> Vec<action::Action> {
        self.step(event::Event::Persisted(self.mark))
    }

    fn change(&mut self, change: change::Change) -> Vec<action::Action> {
        self.step(event::Event::ChangeVoters { ticket: 1, change })
    }
}

fn vote(pre: bool, term: u64, last_index: u64, last_term: u64) -> consensus::Message {
    consensus::Message::Vote {
        pre,
        term: number::Term(term),
        last_index: number::Index(last_index),
        last_term: number::Term(last_term),
    }
}

fn voted(pre: bool) -> consensus::Message {
    consensus::Message::Voted { pre, term: number::Term(2), granted: true }
}

fn append(round: u64, previous: (u64, u64), entries: Vec<consensus::Entry>) -> consensus::Message {
    consensus::Message::Append {
        term: number::Term(1),
        round,
        previous_index: number::Index(previous.0),
        previous_term: number::Term(previous.1),
        entries,
        committed: number::Index(0),
    }
}

fn appended(round: u64, matched: u64) -> consensus::Message {
    consensus::Message::Appended {
        term: number::Term(2),
        round,
        accepted: true,
        matched: number::Index(matched),
    }
}

fn sent(actions: &[action::Action]) -> Vec<&consensus::Message> {
    let mut messages = Vec::new();
    for action in actions {
        if let action::Action::Send(packet) = action {
            messages.push(&packet.message);
        }
    }
    messages
}

fn grants(actions: &[action::Action]) -> bool {
    let granted = |message: &&consensus::Message| {
        matches!(message, consensus::Message::Voted { granted: true, .. })
    };
    sent(actions).iter().any(granted)
}

fn acknowledges(actions: &[action::Action], index: u64) -> bool {
    let done = |message: &&consensus::Message| {
        let consensus::Message::Appended { accepted, matched, .. } = message else {
            return false;
        };
        *accepted && matched.0 == index
    };
    sent(actions).iter().any(done)
}

fn rejects(actions: &[action::Action]) -> bool {
    actions.iter().any(|action| matches!(action, action::Action::Rejected { ticket: 1, .. }))
}

fn new_voters(actions: &[action::Action]) -> Option<Vec<consensus::Voter>> {
    let writes = actions.iter().filter_map(|action| match action {
        action::Action::Persist(write) => Some(write),
        _ => None,
    });
    writes.flat_map(|write| &write.entries).find_map(|entry| match &entry.payload {
        consensus::Payload::Voters(voters) => Some(voters.clone()),
        _ => None,
    })
}

/// A voter that crashes between its vote and the sync may vote again in the same term: two leaders
/// of one term would each commit. So the vote may leave only after the ballot is synced.
#[test]
fn a_vote_leaves_only_after_its_ballot_is_synced() {
    let mut fixture = Fixture::quiet(&[]);

    let before = fixture.receive("b", vote(false, 2, 0, 0));
    let after = fixture.persist();

    assert!(!grants(&before), "not before the sync");
    assert!(grants(&after), "after it");
}

/// An entry that counts towards a quorum before it is on the disk is lost in a crash, and with it
/// a change that an operator was told is accepted.
#[test]
fn an_entry_is_acknowledged_only_after_it_is_synced() {
    let mut fixture = Fixture::new(&[]);

    let before = fixture.receive("b", append(1, (0, 0), vec![entry(1, 1)]));
    let heartbeat = fixture.receive("b", append(2, (1, 1), Vec::new()));
    let after = fixture.persist();

    assert!(!acknowledges(&before, 1) && !acknowledges(&heartbeat, 1), "not before the sync");
    assert!(acknowledges(&after, 1), "after it");
}

/// A leader counts its own disk no earlier than others count theirs.
#[test]
fn a_leader_counts_its_own_entry_only_after_it_is_synced() {
    let mut fixture = Fixture::leading(&[]);

    fixture.receive("b", appended(1, 1));
    let before = fixture.node.committed();
    fixture.persist();

    assert_eq!(before, number::Index(0));
    assert_eq!(fixture.node.committed(), number::Index(1));
}

/// A voter answers a heartbeat, restarts, and has forgotten that a leader relies on it. If it
/// votes at once, a second leader commits while the first still holds its quorum lease: entries
/// act on a configuration that is already replaced.
#[test]
fn a_voter_that_just_started_gives_no_vote() {
    let mut fixture = Fixture::new(&[]);

    let (asked, early) =
        (fixture.receive("b", vote(true, 2, 0, 0)), fixture.receive("b", vote(false, 2, 0, 0)));
    fixture.persist();
    fixture.now = timing::ELECTION_TIMEOUT.as_millis() as u64;
    fixture.receive("b", vote(false, 2, 0, 0));
    let late = fixture.persist();

    assert!(!grants(&asked) && !grants(&early));
    assert!(grants(&late));
}

/// A voter that hears a leader votes for no other: neither does it move to the candidate's term,
/// which would depose the leader.
#[test]
fn a_voter_that_hears_a_leader_gives_no_vote() {
    let mut fixture = Fixture::quiet(&[]);
    fixture.receive("b", append(1, (0, 0), Vec::new()));

    fixture.now += 500;
    fixture.receive("c", vote(false, 9, 5, 5));
    let answer = fixture.persist();

    assert!(!grants(&answer));
    assert_eq!(fixture.node.term(), number::Term(1));
}

/// A leader that stops says so; then its followers may vote for another at once.
#[test]
fn a_release_ends_the_duty_to_withhold_votes() {
    let mut fixture = Fixture::quiet(&[]);
    fixture.receive("b", append(1, (0, 0), Vec::new()));

    let (term, successor) = (number::Term(1), voter("c"));
    fixture.receive("b", consensus::Message::Release { term, successor });
    fixture.receive("c", vote(false, 2, 0, 0));

    assert!(grants(&fixture.persist()));
}

/// A quorum has an entry of an old term; a leader that counts it as committed may still lose it to
/// a leader that lacks it. Only an entry of the leader's own term decides.
#[test]
fn only_entries_of_the_own_term_are_committed_by_counting() {
    let mut fixture = Fixture::leading(&[1]);
    fixture.persist();

    fixture.receive("b", appended(1, 1));
    let old = fixture.node.committed();
    fixture.receive("b", appended(2, 2));

    assert_eq!(old, number::Index(0));
    assert_eq!(fixture.node.committed(), number::Index(2));
}

/// A message with one entry comes again after three were acknowledged. Cutting the log off at its
/// end would drop two entries that the leader counts as being here.
#[test]
fn a_late_message_cuts_nothing_off() {
    let mut fixture = Fixture::new(&[]);
    fixture.receive("b", append(1, (0, 0), vec![entry(1, 1), entry(2, 1), entry(3, 1)]));
    fixture.persist();

    fixture.receive("b", append(2, (0, 0), vec![entry(1, 1)]));
    let answer = fixture.receive("b", append(3, (3, 1), Vec::new()));

    assert!(acknowledges(&answer, 3));
}

/// An instance lost its disk. Its new folder answers as another voter, and must not complete a
/// quorum: the old one may have voted otherwise.
#[test]
fn a_vote_of_an_unknown_folder_does_not_count() {
    let stranger = consensus::Voter { folder: 8, ..voter("b") };
    let mut fixture = Fixture::new(&[]);
    fixture.now = QUIET;
    fixture.step(event::Event::Tick);

    fixture.receive_from(stranger.clone(), voted(true));
    fixture.receive_from(stranger, voted(false));
    fixture.persist();

    assert_eq!(fixture.node.term(), number::Term(1), "it doesn't even stand");
}

/// A lost folder is replaced in two changes. Swapping it at once would let the old folder's vote
/// elect one leader while the new folder's acknowledgements commit for another.
#[test]
fn a_lost_folder_is_replaced_by_way_of_a_vacant_seat() {
    let stranger = consensus::Voter { folder: 8, ..voter("c") };
    let mut fixture = Fixture::settled();
    fixture.receive_from(stranger.clone(), consensus::Message::Join { relayed: false });

    let vacated = fixture.receive_from(stranger.clone(), appended(3, 1));
    let meanwhile = fixture.receive_from(stranger.clone(), appended(4, 2));
    fixture.persist();
    let filled = fixture.receive("b", appended(5, 2));

    let vacant = consensus::Voter { folder: consensus::VACANT, ..voter("c") };
    assert_eq!(new_voters(&vacated), Some(vec![voter("a"), voter("b"), vacant]));
    assert_eq!(new_voters(&meanwhile), None, "not before the first change is committed");
    assert_eq!(new_voters(&filled), Some(vec![voter("a"), voter("b"), stranger]));
}

/// Two changes under way at once may have quorums without a common member.
#[test]
fn no_second_change_is_made_while_one_is_uncommitted() {
    let mut fixture = Fixture::settled();
    let remove = |name| change::Change::Remove(name::Instance::from(name));

    let first = fixture.change(remove("c"));
    let second = fixture.change(remove("b"));

    assert!(!rejects(&first));
    assert!(rejects(&second));
}

/// A leader that has committed nothing in its term may not know of a change that an earlier leader
/// has under way.
#[test]
fn no_change_is_made_before_an_entry_of_the_term_is_committed() {
    let mut fixture = Fixture::leading(&[]);

    let actions = fixture.change(change::Change::Remove(name::Instance::from("c")));

    assert!(rejects(&actions));
}

/// The answer to a round was long on its way. A lease counted from when it arrived would outlast
/// the voters' duty to withhold their votes.
#[test]
fn the_quorum_lease_runs_from_when_the_round_was_sent() {
    let mut fixture = Fixture::settled();
    let start = clock::Instant::from_millis(fixture.now);

    fixture.now += 400;
    fixture.receive("b", appended(2, 1));
    let now = clock::Instant::from_millis(fixture.now);
    let later = now + Duration::from_millis(100);

    assert_eq!(fixture.node.quorum_lease(now), Some(start + timing::QUORUM_LEASE));
    assert_eq!(fixture.node.quorum_lease(later), None);
}

/// A new leader may be behind what an earlier one committed; until an entry of its own term is
/// committed it must not answer for the state.
#[test]
fn no_lease_before_an_entry_of_the_term_is_committed() {
    let mut fixture = Fixture::leading(&[1]);

    fixture.receive("b", appended(1, 1));
    let lease = fixture.node.quorum_lease(clock::Instant::from_millis(fixture.now));

    assert_eq!(lease, None);
}

/// A leader that hears no quorum would take proposals for ever that it can't commit.
#[test]
fn a_leader_without_a_quorum_steps_down() {
    let mut fixture = Fixture::settled();

    fixture.now += timing::ELECTION_TIMEOUT.as_millis() as u64;
    let actions = fixture.step(event::Event::Propose { ticket: 1, command: Vec::new() });

    assert!(!fixture.node.is_leader());
    assert!(rejects(&actions));
}
