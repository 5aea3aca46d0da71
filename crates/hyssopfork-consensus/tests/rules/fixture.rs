//! A single node, stepped with constructed messages.

use hyssopfork_consensus::{action, event, node, voters, write};
use hyssopfork_wire::{clock, consensus, name, number, timing};

/// Time after which a node without contact grants votes and starts an election.
pub const ELECTION_DUE_MS: u64 = 1_300;

pub fn voter(name: &str) -> consensus::Voter {
    consensus::Voter { instance: name::Instance::from(name), folder: 7 }
}

pub fn voters() -> Vec<consensus::Voter> {
    ["a", "b", "c"].map(voter).to_vec()
}

pub fn four_voters() -> Vec<consensus::Voter> {
    ["a", "b", "c", "d"].map(voter).to_vec()
}

pub fn entry(index: u64, term: u64) -> consensus::Entry {
    let payload = consensus::Payload::Command(vec![index as u8]);
    consensus::Entry { index: number::Index(index), term: number::Term(term), payload }
}

/// Node and its clock in milliseconds.
pub struct Fixture {
    pub node: node::Node,
    pub now: u64,
    last_write: u64,
}

impl Fixture {
    /// Creates voter `a` of three in term 1, with entries of the given terms from index 1 on.
    pub fn new(terms: &[u64]) -> Fixture {
        Fixture::with_voters(voters(), terms)
    }

    /// As [`Fixture::new`], with other voters.
    pub fn with_voters(voters: Vec<consensus::Voter>, terms: &[u64]) -> Fixture {
        let entries = (1..).zip(terms).map(|(index, term)| entry(index, *term)).collect();
        let (index, term) = (number::Index(0), number::Term(0));
        let snapshot = write::Snapshot { index, term, voters, data: Vec::new() };
        let ballot = write::Ballot { term: number::Term(1), vote: None };
        let durable = node::Durable { ballot, snapshot: Some(snapshot), entries };
        let now = clock::Instant::from_millis(0);
        let node = node::Node::new(voter("a"), durable, node::Settings::default(), 1, now);
        Fixture { node, now: 0, last_write: 0 }
    }

    /// Creates instance `a`, listed with `b` and `c`, with a blank folder.
    pub fn blank() -> Fixture {
        let names = voters().into_iter().map(|voter| voter.instance).collect();
        let settings = node::Settings { voters: names, ..node::Settings::default() };
        let now = clock::Instant::from_millis(0);
        let node = node::Node::new(voter("a"), node::Durable::default(), settings, 1, now);
        Fixture { node, now: 0, last_write: 0 }
    }

    /// As [`Fixture::new`], after enough time without contact to grant votes.
    pub fn ready_to_vote(terms: &[u64]) -> Fixture {
        let mut fixture = Fixture::new(terms);
        fixture.now = timing::ELECTION_TIMEOUT.as_millis() as u64;
        fixture
    }

    /// As [`Fixture::new`], as leader of term 2 with nothing committed.
    pub fn leader(terms: &[u64]) -> Fixture {
        let mut fixture = Fixture::new(terms);
        fixture.now = ELECTION_DUE_MS;
        fixture.step(event::Event::Tick);
        fixture.receive("b", vote_granted(true));
        fixture.persist();
        fixture.receive("b", vote_granted(false));
        assert!(fixture.node.is_leader(), "elected by a and b");
        fixture
    }

    /// As [`Fixture::leader`], with the first entry of its term committed.
    pub fn committed_leader() -> Fixture {
        let mut fixture = Fixture::leader(&[]);
        fixture.persist();
        fixture.receive("b", append_accepted(1, 1));
        assert_eq!(fixture.node.committed(), number::Index(1));
        fixture
    }

    /// Creates the leader of four voters, with the first entry of its term committed by `b` and `c`.
    pub fn committed_leader_of_four() -> Fixture {
        let mut fixture = Fixture::with_voters(four_voters(), &[]);
        fixture.now = ELECTION_DUE_MS;
        fixture.step(event::Event::Tick);
        ["b", "c"].iter().for_each(|name| drop(fixture.receive(name, vote_granted(true))));
        fixture.persist();
        ["b", "c"].iter().for_each(|name| drop(fixture.receive(name, vote_granted(false))));
        fixture.persist();
        fixture.receive("b", append_accepted(1, 1));
        fixture.receive("c", append_accepted(2, 1));
        assert_eq!(fixture.node.committed(), number::Index(1));
        fixture
    }

    pub fn step(&mut self, event: event::Event) -> Vec<action::Action> {
        let actions = self.node.step(clock::Instant::from_millis(self.now), event);
        for action in &actions {
            if let action::Action::Persist(write) = action {
                self.last_write = write.number;
            }
        }
        actions
    }

    pub fn receive(&mut self, from: &str, message: consensus::Message) -> Vec<action::Action> {
        self.receive_from(voter(from), message)
    }

    pub fn receive_from(
        &mut self,
        from: consensus::Voter,
        message: consensus::Message,
    ) -> Vec<action::Action> {
        let to = name::Instance::from("a");
        self.step(event::Event::Received(consensus::Packet { from, to, message }))
    }

    pub fn persist(&mut self) -> Vec<action::Action> {
        self.step(event::Event::Persisted(self.last_write))
    }

    pub fn change_voters(&mut self, change: voters::Change) -> Vec<action::Action> {
        self.step(event::Event::ChangeVoters { ticket: 1, change })
    }
}

pub fn vote_request(pre: bool, term: u64, last_index: u64, last_term: u64) -> consensus::Message {
    consensus::Message::Vote {
        pre,
        term: number::Term(term),
        last_index: number::Index(last_index),
        last_term: number::Term(last_term),
    }
}

pub fn vote_granted(pre: bool) -> consensus::Message {
    consensus::Message::Voted { pre, term: number::Term(2), granted: true }
}

pub fn append(
    round: u64,
    previous: (u64, u64),
    entries: Vec<consensus::Entry>,
) -> consensus::Message {
    append_in_term(1, round, previous, entries)
}

pub fn append_in_term(
    term: u64,
    round: u64,
    previous: (u64, u64),
    entries: Vec<consensus::Entry>,
) -> consensus::Message {
    consensus::Message::Append {
        term: number::Term(term),
        round,
        previous_index: number::Index(previous.0),
        previous_term: number::Term(previous.1),
        entries,
        committed: number::Index(0),
    }
}

/// Snapshot in a single part.
pub fn whole_snapshot(index: u64, term: u64) -> consensus::Message {
    consensus::Message::Snapshot {
        term: number::Term(2),
        round: 1,
        index: number::Index(index),
        index_term: number::Term(term),
        voters: voters(),
        offset: 0,
        data: vec![1],
        last: true,
    }
}

pub fn append_rejected(round: u64, hint: u64) -> consensus::Message {
    consensus::Message::Appended {
        term: number::Term(2),
        round,
        accepted: false,
        matched: number::Index(hint),
    }
}

pub fn append_accepted(round: u64, matched: u64) -> consensus::Message {
    consensus::Message::Appended {
        term: number::Term(2),
        round,
        accepted: true,
        matched: number::Index(matched),
    }
}

pub fn sent_messages(actions: &[action::Action]) -> Vec<&consensus::Message> {
    let mut messages = Vec::new();
    for action in actions {
        if let action::Action::Send(packet) = action {
            messages.push(&packet.message);
        }
    }
    messages
}

pub fn grants_vote(actions: &[action::Action]) -> bool {
    let granted = |message: &&consensus::Message| {
        matches!(message, consensus::Message::Voted { granted: true, .. })
    };
    sent_messages(actions).iter().any(granted)
}

pub fn acknowledges(actions: &[action::Action], index: u64) -> bool {
    let done = |message: &&consensus::Message| {
        let consensus::Message::Appended { accepted, matched, .. } = message else {
            return false;
        };
        *accepted && matched.0 == index
    };
    sent_messages(actions).iter().any(done)
}

pub fn rejects_proposal(actions: &[action::Action]) -> bool {
    actions.iter().any(|action| matches!(action, action::Action::Rejected { ticket: 1, .. }))
}

pub fn written_voters(actions: &[action::Action]) -> Option<Vec<consensus::Voter>> {
    let writes = actions.iter().filter_map(|action| match action {
        action::Action::Persist(write) => Some(write),
        _ => None,
    });
    writes.flat_map(|write| &write.entries).find_map(|entry| match &entry.payload {
        consensus::Payload::Voters(voters) => Some(voters.clone()),
        _ => None,
    })
}
