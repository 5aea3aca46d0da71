//! Events that the control state machine handles.

use crate::{announcement, declaration, document, groups, peer, view};
use hyssopfork_consensus::node;
use hyssopfork_wire::{consensus, name};
use std::net;

/// A call from an operator, an upstream or a peer.
#[derive(Clone, Debug)]
pub enum Request {
    /// An operator submits a declaration.
    Declare(Box<declaration::Declaration>, document::Document),
    /// An operator reads the declaration in force.
    Read,
    /// An operator takes a zone out.
    TakeOut(name::Zone),
    /// An operator brings a zone back in.
    BringIn(name::Zone),
    /// An upstream registers or leaves.
    Register(peer::Registration),
    /// A peer relays an upstream's call.
    RegisterRelayed(peer::Registration),
    /// A peer relays announcements of upstreams that are not draining.
    AnnounceRelayed(Vec<announcement::Announcement>),
    /// A peer sends a greeting.
    Greet(peer::Hello),
    /// A peer sends a watch.
    Watch(Box<peer::Watch>),
}

/// An event for the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at least every [`crate::action::TICK_INTERVAL`].
    Tick,
    /// The data folder is open and writable.
    FolderOpened {
        /// Random identifier of the folder.
        folder: u64,
        /// Contents of the folder.
        durable: Box<node::Durable>,
        /// Seed of the consensus node's random numbers.
        seed: u64,
        /// View that an earlier process saved in the folder; `None` if there is none.
        view: Option<Box<view::Update>>,
    },
    /// The data folder can no longer be written. This process does not take part in the log until
    /// the next [`Event::FolderOpened`].
    FolderFailed,
    /// All writes up to this mark are synced to disk.
    Persisted(u64),
    /// A consensus message arrived.
    Received(consensus::Packet),
    /// A call arrived.
    Called {
        /// Number of the call, used in the reply.
        call: u64,
        /// The request.
        request: Request,
    },
    /// The client of a call no longer waits for the reply.
    Abandoned(u64),
    /// A peer with a data folder introduced itself.
    Introduced(peer::Introduction),
    /// A peer answered a greeting.
    GreetingAnswered(peer::Greeting),
    /// A watch was answered, failed or timed out.
    WatchAnswered {
        /// The process that was watched.
        from: net::SocketAddr,
        /// The answer; `None` after a failure or timeout.
        answer: Option<peer::Answer>,
    },
    /// A relayed call of an upstream was answered or failed.
    RelayAnswered {
        /// The call.
        call: u64,
        /// Whether the leader has recorded it.
        accepted: bool,
    },
    /// A batch of relayed announcements was answered or failed.
    BatchAnswered {
        /// Number of the batch.
        number: u64,
        /// Whether the leader has recorded the announcements.
        accepted: bool,
    },
    /// An entry observed the upstreams and reported evidence.
    Observed(net::SocketAddr, peer::Evidence),
    /// An order was answered or failed.
    OrderAnswered(u64, groups::order::Outcome),
    /// A probe of an upstream has ended.
    Probed(name::Instance, groups::order::Liveness),
    /// An engine sent the requested report.
    Reported(name::Instance, groups::order::Report),
    /// A peer probed an upstream; `false` also if the peer can't be reached.
    PeerProbed(net::SocketAddr, name::Instance, bool),
    /// A connection to another process was refused: no process listens there.
    Refused(net::SocketAddr),
    /// The seeds in the settings changed.
    SeedsChanged(Vec<net::SocketAddr>),
    /// The process is about to stop.
    Stop,
}

/// Wraps an announcement in a [`Request`].
pub fn announced(announcement: announcement::Announcement) -> Request {
    Request::Register(peer::Registration::Announced(Box::new(announcement)))
}
