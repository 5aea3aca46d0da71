//! The shells of agents and entries: they carry out what the cores ask for, and decide nothing.

use crate::callers;
use crate::upstream;
use crate::world::{Happening, MILLI, Node, World};
use hyssopfork_agent as agent;
use hyssopfork_entry as entry;
use hyssopfork_wire::{attempt, clock, configuration, control, fleet, frame, member, refusal};
use rand::RngExt;
use std::collections::BTreeMap;
use std::net;

/// A frame of an attempt's answer.
#[derive(Clone, Debug)]
pub enum Frame {
    Load(frame::Load),
    Started,
    Refused(refusal::Refusal),
    Head { stream: bool },
    Part(String),
    End,
}

/// One attempt at an agent's shell.
#[derive(Clone, Debug, Default)]
pub struct Slot {
    pub offer: Option<attempt::Offer>,
    pub stream: bool,
    frames: Vec<Frame>,
    readers: Vec<usize>,
}

#[derive(Default)]
pub struct Agent {
    pub slots: BTreeMap<attempt::Identifier, Slot>,
    asks: BTreeMap<u64, (usize, u32, u64)>,
    cancels: BTreeMap<u64, (usize, u32, attempt::Identifier)>,
    calls: u64,
}

/// One attempt at an entry's shell.
#[derive(Clone, Debug)]
pub struct Connection {
    request: u64,
    to: usize,
    offer: attempt::Offer,
    collect: bool,
    stream: bool,
    seen: usize,
    broken: bool,
    tries: u32,
    headed: bool,
    forwards: bool,
    collected: Vec<String>,
}

pub fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn announcement(index: usize, boot: u64, upstream: &upstream::Upstream) -> fleet::Announcement {
    let kind = match upstream.engine {
        true => configuration::Kind::Engine,
        false => configuration::Kind::Service,
    };
    fleet::Announcement {
        instance: format!("i{index}").as_str().into(),
        zone: if index % 6 < 3 { "zone-a".into() } else { "zone-b".into() },
        domain: if index % 6 < 3 { "rack-a".into() } else { "rack-b".into() },
        pool: if upstream.engine { "engines".into() } else { "desk".into() },
        traffic: address(1_000 + index as u16),
        peer: address(2_000 + index as u16),
        profile: fleet::Profile {
            kind,
            checks_fence: false,
            resumes: upstream.engine,
            cancels: upstream.cancels,
            accelerators: 1,
            concurrency: upstream.concurrency,
        },
        boot,
    }
}

impl World {
    pub fn step_agent(&mut self, index: usize, event: agent::event::Event) {
        let now = self.clock(Node::Agent(index));
        for action in self.agents[index].step(now, event) {
            self.act_agent(index, action);
        }
    }

    pub fn step_entry(&mut self, index: usize, event: entry::event::Event) {
        let now = self.clock(Node::Entry(index));
        for action in self.entries[index].step(now, event) {
            self.act_entry(index, action);
        }
    }

    pub fn clock(&self, node: Node) -> clock::Instant {
        self.processes[&node].clock(self.now)
    }

    fn act_agent(&mut self, index: usize, action: agent::action::Action) {
        let node = Node::Agent(index);
        match action {
            agent::action::Action::CallControl { call, request, timeout, .. } => {
                self.call(node, call, *request, timeout.as_micros() as u64);
            }
            agent::action::Action::RequestGrant { call, to, request, timeout } => {
                let to = usize::from(to.port() - 2_000);
                let timeout = timeout.as_micros() as u64;
                let none = agent::event::Event::GrantResponse { call, response: None };
                self.at_node(node, timeout, Happening::Agent(index, none));
                if let Some(delay) = self.travel(node, Node::Agent(to)) {
                    let stand = Happening::Stand { from: index, call, to, request };
                    self.at_node(Node::Agent(to), delay, stand);
                }
            }
            agent::action::Action::ReplyGrant { call, response } => {
                self.reply_stand(index, call, response);
            }
            agent::action::Action::Connect { attempt, load } => {
                self.frame(index, attempt, Frame::Load(load));
                // Opening the upstream's connection may take as long as it likes.
                let slow = !self.quiet && self.random.random_ratio(1, 20);
                let most = if slow { 3_000 * MILLI } else { 2 * MILLI };
                let delay = self.random.random_range(10..most);
                let ready = agent::event::Event::Connected(attempt);
                self.at_node(node, delay, Happening::Agent(index, ready));
            }
            agent::action::Action::Resume(attempt) => self.replay(index, attempt),
            agent::action::Action::Forward(attempt) => self.forward(index, attempt),
            agent::action::Action::Reject { attempt, rejection: refusal, load } => {
                self.frame(index, attempt, Frame::Load(load));
                self.frame(index, attempt, Frame::Refused(refusal));
            }
            agent::action::Action::Abort(attempt) => {
                self.upstreams[index].running.remove(&attempt);
            }
            agent::action::Action::ReplyCancel { call, outcome } => {
                let Some((entry, life, attempt)) = self.shells[index].cancels.remove(&call) else {
                    panic!("a cancel is answered once");
                };
                if let Some(delay) = self.travel(node, Node::Entry(entry)) {
                    let outcome = Some(outcome);
                    let event = entry::event::Event::CancelAnswered { attempt, outcome };
                    let happening = Happening::Entry(entry, event);
                    self.at_life(Node::Entry(entry), life, delay, happening);
                }
            }
            agent::action::Action::Order(order) => {
                self.check_order(index, order.fence);
                let delay = self.random.random_range(20 * MILLI..200 * MILLI);
                self.after(delay, Happening::Load { at: index, fence: order.fence });
            }
            agent::action::Action::Notice(_) => {}
            agent::action::Action::Stopped => {
                let process = self.processes.get_mut(&node).expect("all processes are known");
                process.up = false;
                self.after(500 * MILLI, Happening::Restart(node));
            }
        }
    }

    fn act_entry(&mut self, index: usize, action: entry::action::Action) {
        let node = Node::Entry(index);
        match action {
            entry::action::Action::Control { call, request, timeout, .. } => {
                self.call(node, call, *request, timeout.as_micros() as u64);
            }
            entry::action::Action::Start { request, to, offer, collect } => {
                self.callers.attempts.insert(offer.attempt, request);
                let stream = self.callers.all[&request].stream;
                let to = usize::from(to.port() - 1_000);
                let attempt = offer.attempt;
                let connection = Connection {
                    request,
                    to,
                    offer: *offer,
                    collect,
                    stream,
                    seen: 0,
                    broken: false,
                    tries: 0,
                    headed: false,
                    forwards: false,
                    collected: Vec::new(),
                };
                self.connections[index].insert(attempt, connection);
                self.connect(index, attempt);
            }
            entry::action::Action::Forward { attempt, .. } => {
                if let Some(connection) = self.connections[index].get_mut(&attempt) {
                    connection.forwards = true;
                }
            }
            entry::action::Action::Cancel { attempt, to, boot } => {
                let to = usize::from(to.port() - 1_000);
                let copies = 1 + usize::from(self.random.random_ratio(1, 10));
                for _ in 0..copies {
                    if let Some(delay) = self.travel(node, Node::Agent(to)) {
                        let cancel = Happening::Cancel { entry: index, to, attempt, boot };
                        self.at_node(Node::Agent(to), delay, cancel);
                    }
                }
            }
            entry::action::Action::Drop(attempt) => {
                self.connections[index].remove(&attempt);
            }
            entry::action::Action::Answer { request, body, .. } => {
                let text = String::from_utf8(body.to_vec()).expect("answers are text");
                let caller = self.callers.all.get_mut(&request).expect("callers are known");
                caller.parts = text.split('\n').map(str::to_owned).collect();
                self.callers.end(request, callers::Final::Answered);
            }
            entry::action::Action::Refuse { request, refusal } => {
                self.callers.end(request, callers::Final::Refused(refusal));
            }
            entry::action::Action::Cut { request, refusal } => {
                self.callers.end(request, callers::Final::Cut(refusal));
            }
            entry::action::Action::Notice(_) | entry::action::Action::Measure(_) => {}
            entry::action::Action::Stopped => {
                let process = self.processes.get_mut(&node).expect("all processes are known");
                process.up = false;
                self.orphan(index);
                self.after(500 * MILLI, Happening::Restart(node));
            }
        }
    }

    /// A call to control: it may be lost either way, and its answer may come twice.
    fn call(&mut self, from: Node, call: u64, request: control::Request, timeout: u64) {
        let none = self.controlled(from, call, None);
        self.at_node(from, timeout, none);
        if let Some(delay) = self.travel(from, Node::Control) {
            let life = self.life(from);
            let call = Happening::Call { from, call, request };
            self.at_life(from, life, delay, call);
        }
    }

    pub fn controlled(
        &self,
        to: Node,
        call: u64,
        response: Option<control::Response>,
    ) -> Happening {
        match to {
            Node::Agent(index) => {
                Happening::Agent(index, agent::event::Event::ControlResponse { call, response })
            }
            Node::Entry(index) => {
                Happening::Entry(index, entry::event::Event::Controlled { call, response })
            }
            Node::Control => panic!("control calls nobody"),
        }
    }

    /// Offers the attempt, anew or for the first time.
    pub fn connect(&mut self, index: usize, attempt: attempt::Identifier) {
        let from = Node::Entry(index);
        let Some(connection) = self.connections[index].get_mut(&attempt) else { return };
        connection.broken = false;
        connection.seen = 0;
        connection.collected.clear();
        let first = connection.tries == 0;
        connection.tries += 1;
        let (to, stream) = (connection.to, connection.stream);
        let mut offer = connection.offer.clone();
        offer.first = first;
        let receiver = Node::Agent(to);
        let refuses = !self.processes[&receiver].up && !self.is_cut(from, receiver);
        if refuses && first {
            self.fail(index, attempt, entry::event::Fault::Unreachable);
            return;
        }
        match self.travel(from, receiver) {
            Some(delay) if !refuses => {
                let offer = Happening::Offer { entry: index, to, offer, stream };
                self.after(delay, offer);
            }
            _ => self.break_off(index, attempt, 1_000 * MILLI),
        }
    }

    /// The connection is dead; the entry's shell finds out after `delay`.
    pub fn break_off(&mut self, index: usize, attempt: attempt::Identifier, delay: u64) {
        let Some(connection) = self.connections[index].get_mut(&attempt) else { return };
        if !connection.broken {
            connection.broken = true;
            let reconnect = Happening::Reconnect { entry: index, attempt };
            self.at_node(Node::Entry(index), delay, reconnect);
        }
    }

    pub fn reconnect(&mut self, index: usize, attempt: attempt::Identifier) {
        let Some(connection) = self.connections[index].get(&attempt) else { return };
        let headed = connection.headed && !connection.collect;
        if connection.tries >= 3 || headed {
            self.fail(index, attempt, entry::event::Fault::Lost);
        } else {
            self.connect(index, attempt);
        }
    }

    fn fail(&mut self, index: usize, attempt: attempt::Identifier, fault: entry::event::Fault) {
        let Some(connection) = self.connections[index].remove(&attempt) else { return };
        let delivered = self.callers.all[&connection.request].parts.len() as u64;
        let event = entry::event::Event::Failed { attempt, fault, delivered };
        self.at_node(Node::Entry(index), 0, Happening::Entry(index, event));
    }

    /// An offer reached the agent's shell.
    pub fn offered(&mut self, entry: usize, to: usize, offer: attempt::Offer, stream: bool) {
        let attempt = offer.attempt;
        let shell = &mut self.shells[to];
        let known = shell.slots.contains_key(&attempt);
        let slot = shell.slots.entry(attempt).or_default();
        slot.offer.get_or_insert(offer.clone());
        slot.stream = stream;
        if !slot.readers.contains(&entry) {
            slot.readers.push(entry);
        }
        if known {
            self.replay(to, attempt);
        }
        self.step_agent(to, agent::event::Event::Offer(offer));
    }

    /// A cancel reached the agent's shell.
    pub fn cancelled(&mut self, entry: usize, to: usize, attempt: attempt::Identifier, boot: u64) {
        let life = self.life(Node::Entry(entry));
        let shell = &mut self.shells[to];
        shell.calls += 1;
        let call = shell.calls;
        shell.cancels.insert(call, (entry, life, attempt));
        self.step_agent(to, agent::event::Event::CancelRequest { call, attempt, boot });
    }

    /// A request for a grant reached the agent's shell.
    pub fn asked(&mut self, from: usize, call: u64, to: usize, request: member::Request) {
        let life = self.life(Node::Agent(from));
        let shell = &mut self.shells[to];
        shell.calls += 1;
        let number = shell.calls;
        shell.asks.insert(number, (from, life, call));
        self.step_agent(to, agent::event::Event::GrantRequest { call: number, request });
    }

    fn reply_stand(&mut self, index: usize, call: u64, response: member::Response) {
        let Some((from, life, call)) = self.shells[index].asks.remove(&call) else {
            panic!("a request for a grant is answered once");
        };
        let copies = 1 + usize::from(!self.quiet && self.random.random_ratio(1, 10));
        for _ in 0..copies {
            if let Some(delay) = self.travel(Node::Agent(index), Node::Agent(from)) {
                let response = Some(response.clone());
                let event = agent::event::Event::GrantResponse { call, response };
                let happening = Happening::Agent(from, event);
                self.at_life(Node::Agent(from), life, delay, happening);
            }
        }
    }

    /// Adds a frame to an attempt's answer and sends it to whoever reads.
    pub fn frame(&mut self, index: usize, attempt: attempt::Identifier, frame: Frame) {
        let Some(slot) = self.shells[index].slots.get_mut(&attempt) else { return };
        let at = slot.frames.len();
        slot.frames.push(frame.clone());
        for entry in slot.readers.clone() {
            self.send_frame(index, entry, attempt, at, frame.clone());
        }
    }

    fn replay(&mut self, index: usize, attempt: attempt::Identifier) {
        let Some(slot) = self.shells[index].slots.get(&attempt).cloned() else { return };
        for (at, frame) in slot.frames.into_iter().enumerate() {
            for entry in &slot.readers {
                self.send_frame(index, *entry, attempt, at, frame.clone());
            }
        }
    }

    fn send_frame(
        &mut self,
        from: usize,
        entry: usize,
        attempt: attempt::Identifier,
        index: usize,
        frame: Frame,
    ) {
        match self.travel(Node::Agent(from), Node::Entry(entry)) {
            Some(delay) => {
                let frame = Happening::Frame { entry, attempt, index, frame };
                self.at_node(Node::Entry(entry), delay, frame);
            }
            None => self.break_off(entry, attempt, 1_000 * MILLI),
        }
    }

    /// A frame reached the entry's shell, which takes frames in their order and once.
    pub fn received(
        &mut self,
        entry: usize,
        attempt: attempt::Identifier,
        index: usize,
        frame: Frame,
    ) {
        let Some(connection) = self.connections[entry].get_mut(&attempt) else { return };
        if index > connection.seen {
            // Overtaken: the connection would hold it back until the one before has come.
            let frame = Happening::Frame { entry, attempt, index, frame };
            if !connection.broken {
                self.at_node(Node::Entry(entry), MILLI, frame);
            }
            return;
        }
        if index < connection.seen || connection.broken {
            return;
        }
        connection.seen += 1;
        self.take_frame(entry, attempt, frame);
    }

    fn take_frame(&mut self, entry: usize, attempt: attempt::Identifier, frame: Frame) {
        let Some(connection) = self.connections[entry].get_mut(&attempt) else { return };
        let event = match frame {
            Frame::Load(load) => entry::event::Event::Loaded(attempt, load),
            Frame::Started => entry::event::Event::Started(attempt),
            Frame::Refused(_) if connection.headed && !connection.collect => {
                self.fail(entry, attempt, entry::event::Fault::Lost);
                return;
            }
            Frame::Refused(refusal) => {
                self.connections[entry].remove(&attempt);
                entry::event::Event::Refused(attempt, refusal)
            }
            Frame::Head { stream } => {
                connection.headed = true;
                entry::event::Event::Headed(attempt, head(stream))
            }
            Frame::Part(_) if connection.collect => {
                if let Frame::Part(text) = frame {
                    connection.collected.push(text);
                }
                return;
            }
            Frame::Part(text) => {
                if connection.forwards {
                    let request = connection.request;
                    let caller = self.callers.all.get_mut(&request).expect("callers are known");
                    assert_eq!(caller.end, None, "a caller is sent nothing after its answer");
                    caller.parts.push(text);
                }
                entry::event::Event::Begun(attempt)
            }
            Frame::End => {
                self.ended(entry, attempt);
                return;
            }
        };
        self.step_entry(entry, event);
    }

    fn ended(&mut self, entry: usize, attempt: attempt::Identifier) {
        let Some(connection) = self.connections[entry].remove(&attempt) else { return };
        if connection.collect {
            let body = connection.collected.join("\n").into();
            let head = head(connection.stream);
            let event = entry::event::Event::Collected { attempt, head, body };
            self.step_entry(entry, event);
        } else if connection.forwards {
            self.callers.end(connection.request, callers::Final::Answered);
            self.step_entry(entry, entry::event::Event::Ended(attempt));
        }
    }

    /// Callers of an entry whose process ended get nothing more.
    pub fn orphan(&mut self, entry: usize) {
        for caller in self.callers.all.values_mut() {
            if caller.entry == entry && caller.end.is_none() {
                caller.end = Some(callers::Final::Orphaned);
            }
        }
    }
}

fn head(stream: bool) -> frame::Head {
    let kind = if stream { "text/event-stream" } else { "application/json" };
    frame::Head { status: 200, headers: vec![("content-type".into(), kind.into())] }
}
