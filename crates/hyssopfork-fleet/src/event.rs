//! What happens to a process's control.

use crate::{announcement, declaration, document, groups, peer};
use hyssopfork_consensus::node;
use hyssopfork_wire::{consensus, name};
use std::net;

/// A call from outside or from a peer.
#[derive(Clone, Debug)]
pub enum Request {
    /// An operator declares.
    Declare(Box<declaration::Declaration>, document::Document),
    /// An operator asks for the declaration in force.
    Read,
    /// An operator takes a zone out.
    TakeOut(name::Zone),
    /// An operator takes a zone back in.
    BringIn(name::Zone),
    /// An upstream calls.
    Register(peer::Registration),
    /// A peer passes an upstream's call on.
    RegisterRelayed(peer::Registration),
    /// A peer greets.
    Greet(peer::Hello),
    /// A peer asks for what is new.
    Watch(Box<peer::Watch>),
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; comes at least every [`crate::action::TICK`].
    Tick,
    /// The data folder can be read and written: what it holds.
    FolderOpened {
        /// The folder's random number.
        folder: u64,
        /// What it holds.
        durable: Box<node::Durable>,
        /// Seed of the log's random numbers.
        seed: u64,
    },
    /// The data folder can't be written any more: this process takes no part in the log until it is
    /// [`Event::Opened`] again.
    FolderFailed,
    /// Every write up to this mark is on disk.
    Persisted(u64),
    /// A message of the log arrived.
    Received(consensus::Packet),
    /// A call came.
    Called {
        /// Number of the call, for the reply.
        call: u64,
        /// What is asked.
        request: Request,
    },
    /// The caller no longer waits.
    Abandoned(u64),
    /// A peer answered a greeting.
    GreetingAnswered(peer::Greeting),
    /// The leader answered a watch; `None` when it failed or its time ran out.
    WatchAnswered {
        /// Who was asked.
        from: net::SocketAddr,
        /// The answer.
        answer: Option<peer::Answer>,
    },
    /// A relayed call of an upstream was answered; `false` when the leader has not got it.
    RelayAnswered {
        /// The call.
        call: u64,
        /// Whether the leader has it.
        accepted: bool,
    },
    /// What an entry saw.
    EvidenceReported(net::SocketAddr, peer::Evidence),
    /// An order was answered.
    OrderAnswered(u64, groups::order::Outcome),
    /// An upstream was asked for a sign of life.
    Probed(name::Instance, groups::order::Sign),
    /// An engine was asked for its report and gave it.
    Reported(name::Instance, groups::order::Report),
    /// A peer asked an upstream for a sign of life; `false` also when the peer can't be reached.
    PeerProbed(net::SocketAddr, name::Instance, bool),
    /// The settings name other seeds.
    SeedsChanged(Vec<net::SocketAddr>),
    /// The process is to stop.
    Stop,
}

/// An announcement as an event's request.
pub fn announced(announcement: announcement::Announcement) -> Request {
    Request::Register(peer::Registration::Announced(Box::new(announcement)))
}
