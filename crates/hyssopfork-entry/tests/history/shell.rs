//! Shells of agents and entries: they execute the actions of the cores and decide nothing.

use crate::clients;
use crate::simulation::{Event, MILLIS, Node, Simulation};
use crate::upstream;
use hyssopfork_agent as agent;
use hyssopfork_entry as entry;
use hyssopfork_wire::{attempt, clock, configuration, control, fleet, frame, member, refusal};
use rand::RngExt;
use std::collections::BTreeMap;
use std::net;

/// A frame of an attempt's response.
#[derive(Clone, Debug)]
pub enum Frame {
    Load(frame::Load),
    Started,
    Refused(refusal::Refusal),
    Head { stream: bool },
    Part(String),
    End,
}

/// An attempt in an agent's shell.
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
    grant_requests: BTreeMap<u64, (usize, u32, u64)>,
    cancels: BTreeMap<u64, (usize, u32, attempt::Identifier)>,
    calls: u64,
}

/// An attempt in an entry's shell.
#[derive(Clone, Debug)]
pub struct Connection {
    request: u64,
    to: usize,
    offer: attempt::Offer,
    collect: bool,
    stream: bool,
    next_frame: usize,
    broken: bool,
    connects: u32,
    has_head: bool,
    is_forwarding: bool,
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

impl Simulation {
    pub fn step_agent(&mut self, index: usize, event: agent::event::Event) {
        let now = self.clock(Node::Agent(index));
        for action in self.agents[index].step(now, event) {
            self.execute_for_agent(index, action);
        }
    }

    pub fn step_entry(&mut self, index: usize, event: entry::event::Event) {
        let now = self.clock(Node::Entry(index));
        for action in self.entries[index].step(now, event) {
            self.execute_for_entry(index, action);
        }
    }

    pub fn clock(&self, node: Node) -> clock::Instant {
        self.processes[&node].clock(self.now)
    }

    fn execute_for_agent(&mut self, index: usize, action: agent::action::Action) {
        let node = Node::Agent(index);
        match action {
            agent::action::Action::CallControl { call, request, timeout, .. } => {
                self.call_control(node, call, *request, timeout.as_micros() as u64);
            }
            agent::action::Action::RequestGrant { call, to, request, timeout } => {
                let to = usize::from(to.port() - 2_000);
                let timeout = timeout.as_micros() as u64;
                let none = agent::event::Event::GrantResponded { call, response: None };
                self.schedule_for(node, timeout, Event::Agent(index, none));
                if let Some(delay) = self.message_delay(node, Node::Agent(to)) {
                    let grant_request = Event::GrantRequest { from: index, call, to, request };
                    self.schedule_for(Node::Agent(to), delay, grant_request);
                }
            }
            agent::action::Action::ReplyGrant { call, response } => {
                self.send_grant_response(index, call, response);
            }
            agent::action::Action::Connect { attempt, load } => {
                self.append_frame(index, attempt, Frame::Load(load));
                // Opening the connection to the upstream may take arbitrarily long.
                let is_slow = !self.faultless && self.random.random_ratio(1, 20);
                let max_delay = if is_slow { 3_000 * MILLIS } else { 2 * MILLIS };
                let delay = self.random.random_range(10..max_delay);
                let ready = agent::event::Event::Connected(attempt);
                self.schedule_for(node, delay, Event::Agent(index, ready));
            }
            agent::action::Action::Resume(attempt) => self.replay(index, attempt),
            agent::action::Action::Forward(attempt) => self.forward(index, attempt),
            agent::action::Action::Reject { attempt, rejection: refusal, load } => {
                self.append_frame(index, attempt, Frame::Load(load));
                self.append_frame(index, attempt, Frame::Refused(refusal));
            }
            agent::action::Action::Abort(attempt) => {
                self.upstreams[index].running.remove(&attempt);
            }
            agent::action::Action::ReplyCancel { call, outcome } => {
                let Some((entry, incarnation, attempt)) = self.shells[index].cancels.remove(&call)
                else {
                    panic!("a cancel is answered more than once");
                };
                if let Some(delay) = self.message_delay(node, Node::Entry(entry)) {
                    let outcome = Some(outcome);
                    let event = entry::event::Event::CancelResponded { attempt, outcome };
                    let delivery = Event::Entry(entry, event);
                    self.schedule_for_incarnation(Node::Entry(entry), incarnation, delay, delivery);
                }
            }
            agent::action::Action::Order(order) => {
                self.check_order(index, order.fence);
                let delay = self.random.random_range(20 * MILLIS..200 * MILLIS);
                self.schedule(delay, Event::LoadModel { at: index, fence: order.fence });
            }
            agent::action::Action::Notice(_) => {}
            agent::action::Action::Stopped => {
                let process = self.processes.get_mut(&node).expect("the process is known");
                process.up = false;
                self.schedule(500 * MILLIS, Event::Restart(node));
            }
        }
    }

    fn execute_for_entry(&mut self, index: usize, action: entry::action::Action) {
        let node = Node::Entry(index);
        match action {
            entry::action::Action::CallControl { call, request, timeout, .. } => {
                self.call_control(node, call, *request, timeout.as_micros() as u64);
            }
            entry::action::Action::StartAttempt { request, to, offer, collect } => {
                self.clients.attempts.insert(offer.attempt, request);
                let stream = self.clients.all[&request].stream;
                let to = usize::from(to.port() - 1_000);
                let attempt = offer.attempt;
                let connection = Connection {
                    request,
                    to,
                    offer: *offer,
                    collect,
                    stream,
                    next_frame: 0,
                    broken: false,
                    connects: 0,
                    has_head: false,
                    is_forwarding: false,
                    collected: Vec::new(),
                };
                self.connections[index].insert(attempt, connection);
                self.connect(index, attempt);
            }
            entry::action::Action::ForwardResponse { attempt, .. } => {
                if let Some(connection) = self.connections[index].get_mut(&attempt) {
                    connection.is_forwarding = true;
                }
            }
            entry::action::Action::CancelAttempt { attempt, to, boot } => {
                let to = usize::from(to.port() - 1_000);
                let copies = 1 + usize::from(self.random.random_ratio(1, 10));
                for _ in 0..copies {
                    if let Some(delay) = self.message_delay(node, Node::Agent(to)) {
                        let cancel = Event::Cancel { entry: index, to, attempt, boot };
                        self.schedule_for(Node::Agent(to), delay, cancel);
                    }
                }
            }
            entry::action::Action::DropAttempt(attempt) => {
                self.connections[index].remove(&attempt);
            }
            entry::action::Action::Respond { request, body, .. } => {
                let text = String::from_utf8(body.to_vec()).expect("responses are text");
                let client = self.clients.all.get_mut(&request).expect("the client is known");
                client.parts = text.split('\n').map(str::to_owned).collect();
                self.clients.finish(request, clients::Outcome::Completed);
            }
            entry::action::Action::Reject { request, refusal } => {
                self.clients.finish(request, clients::Outcome::Rejected(refusal));
            }
            entry::action::Action::Abort { request, refusal } => {
                self.clients.finish(request, clients::Outcome::Aborted(refusal));
            }
            entry::action::Action::Notice(_) | entry::action::Action::RecordMeasurement(_) => {}
            entry::action::Action::Stopped => {
                let process = self.processes.get_mut(&node).expect("the process is known");
                process.up = false;
                self.orphan_clients(index);
                self.schedule(500 * MILLIS, Event::Restart(node));
            }
        }
    }

    /// Sends a call to control. The call or its response may be lost, and the response may arrive
    /// twice.
    fn call_control(&mut self, from: Node, call: u64, request: control::Request, timeout: u64) {
        let none = self.control_response(from, call, None);
        self.schedule_for(from, timeout, none);
        if let Some(delay) = self.message_delay(from, Node::Control) {
            let incarnation = self.incarnation(from);
            let call = Event::Call { from, call, request };
            self.schedule_for_incarnation(from, incarnation, delay, call);
        }
    }

    pub fn control_response(
        &self,
        to: Node,
        call: u64,
        response: Option<control::Response>,
    ) -> Event {
        match to {
            Node::Agent(index) => {
                Event::Agent(index, agent::event::Event::ControlResponded { call, response })
            }
            Node::Entry(index) => {
                Event::Entry(index, entry::event::Event::ControlResponded { call, response })
            }
            Node::Control => panic!("control makes no calls"),
        }
    }

    /// Offers the attempt, for the first time or again.
    pub fn connect(&mut self, index: usize, attempt: attempt::Identifier) {
        let from = Node::Entry(index);
        let Some(connection) = self.connections[index].get_mut(&attempt) else { return };
        connection.broken = false;
        connection.next_frame = 0;
        connection.collected.clear();
        let first = connection.connects == 0;
        connection.connects += 1;
        let (to, stream) = (connection.to, connection.stream);
        let mut offer = connection.offer.clone();
        offer.first = first;
        let receiver = Node::Agent(to);
        let refuses = !self.processes[&receiver].up && !self.is_partitioned(from, receiver);
        if refuses && first {
            self.fail(index, attempt, entry::event::Fault::Unreachable);
            return;
        }
        match self.message_delay(from, receiver) {
            Some(delay) if !refuses => {
                let offer = Event::Offer { entry: index, to, offer, stream };
                self.schedule(delay, offer);
            }
            _ => self.break_connection(index, attempt, 1_000 * MILLIS),
        }
    }

    /// Breaks the connection; the entry's shell notices after `delay`.
    pub fn break_connection(&mut self, index: usize, attempt: attempt::Identifier, delay: u64) {
        let Some(connection) = self.connections[index].get_mut(&attempt) else { return };
        if !connection.broken {
            connection.broken = true;
            let reconnect = Event::Reconnect { entry: index, attempt };
            self.schedule_for(Node::Entry(index), delay, reconnect);
        }
    }

    pub fn reconnect(&mut self, index: usize, attempt: attempt::Identifier) {
        let Some(connection) = self.connections[index].get(&attempt) else { return };
        let is_forwarded = connection.has_head && !connection.collect;
        if connection.connects >= 3 || is_forwarded {
            self.fail(index, attempt, entry::event::Fault::Lost);
        } else {
            self.connect(index, attempt);
        }
    }

    fn fail(&mut self, index: usize, attempt: attempt::Identifier, fault: entry::event::Fault) {
        let Some(connection) = self.connections[index].remove(&attempt) else { return };
        let delivered = self.clients.all[&connection.request].parts.len() as u64;
        let event = entry::event::Event::AttemptFailed { attempt, fault, delivered };
        self.schedule_for(Node::Entry(index), 0, Event::Entry(index, event));
    }

    /// Handles an offer that reached the agent's shell.
    pub fn on_offer(&mut self, entry: usize, to: usize, offer: attempt::Offer, stream: bool) {
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
        self.step_agent(to, agent::event::Event::OfferArrived(offer));
    }

    /// Handles a cancel that reached the agent's shell.
    pub fn on_cancel(&mut self, entry: usize, to: usize, attempt: attempt::Identifier, boot: u64) {
        let incarnation = self.incarnation(Node::Entry(entry));
        let shell = &mut self.shells[to];
        shell.calls += 1;
        let call = shell.calls;
        shell.cancels.insert(call, (entry, incarnation, attempt));
        self.step_agent(to, agent::event::Event::CancelRequested { call, attempt, boot });
    }

    /// Handles a grant request that reached the agent's shell.
    pub fn on_grant_call(&mut self, from: usize, call: u64, to: usize, request: member::Request) {
        let incarnation = self.incarnation(Node::Agent(from));
        let shell = &mut self.shells[to];
        shell.calls += 1;
        let number = shell.calls;
        shell.grant_requests.insert(number, (from, incarnation, call));
        self.step_agent(to, agent::event::Event::GrantRequested { call: number, request });
    }

    fn send_grant_response(&mut self, index: usize, call: u64, response: member::Response) {
        let Some((from, incarnation, call)) = self.shells[index].grant_requests.remove(&call)
        else {
            panic!("a grant request is answered more than once");
        };
        let copies = 1 + usize::from(!self.faultless && self.random.random_ratio(1, 10));
        for _ in 0..copies {
            if let Some(delay) = self.message_delay(Node::Agent(index), Node::Agent(from)) {
                let response = Some(response.clone());
                let event = agent::event::Event::GrantResponded { call, response };
                let delivery = Event::Agent(from, event);
                self.schedule_for_incarnation(Node::Agent(from), incarnation, delay, delivery);
            }
        }
    }

    /// Appends a frame to an attempt's response and sends it to the readers.
    pub fn append_frame(&mut self, index: usize, attempt: attempt::Identifier, frame: Frame) {
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
        match self.message_delay(Node::Agent(from), Node::Entry(entry)) {
            Some(delay) => {
                let frame = Event::Frame { entry, attempt, index, frame };
                self.schedule_for(Node::Entry(entry), delay, frame);
            }
            None => self.break_connection(entry, attempt, 1_000 * MILLIS),
        }
    }

    /// Handles a frame that reached the entry's shell, which takes each frame once and in order.
    pub fn on_frame(
        &mut self,
        entry: usize,
        attempt: attempt::Identifier,
        index: usize,
        frame: Frame,
    ) {
        let Some(connection) = self.connections[entry].get_mut(&attempt) else { return };
        if index > connection.next_frame {
            // Out of order: a connection would deliver it after its predecessor.
            let frame = Event::Frame { entry, attempt, index, frame };
            if !connection.broken {
                self.schedule_for(Node::Entry(entry), MILLIS, frame);
            }
            return;
        }
        if index < connection.next_frame || connection.broken {
            return;
        }
        connection.next_frame += 1;
        self.handle_frame(entry, attempt, frame);
    }

    fn handle_frame(&mut self, entry: usize, attempt: attempt::Identifier, frame: Frame) {
        let Some(connection) = self.connections[entry].get_mut(&attempt) else { return };
        let event = match frame {
            Frame::Load(load) => entry::event::Event::LoadReported(attempt, load),
            Frame::Started => entry::event::Event::AttemptStarted(attempt),
            Frame::Refused(_) if connection.has_head && !connection.collect => {
                self.fail(entry, attempt, entry::event::Fault::Lost);
                return;
            }
            Frame::Refused(refusal) => {
                self.connections[entry].remove(&attempt);
                entry::event::Event::AttemptRejected(attempt, refusal)
            }
            Frame::Head { stream } => {
                connection.has_head = true;
                entry::event::Event::HeadReceived(attempt, head(stream))
            }
            Frame::Part(_) if connection.collect => {
                if let Frame::Part(text) = frame {
                    connection.collected.push(text);
                }
                return;
            }
            Frame::Part(text) => {
                if connection.is_forwarding {
                    let request = connection.request;
                    let client = self.clients.all.get_mut(&request).expect("the client is known");
                    assert_eq!(client.outcome, None, "no data after the final response");
                    client.parts.push(text);
                }
                entry::event::Event::ResponseStarted(attempt)
            }
            Frame::End => {
                self.on_response_end(entry, attempt);
                return;
            }
        };
        self.step_entry(entry, event);
    }

    fn on_response_end(&mut self, entry: usize, attempt: attempt::Identifier) {
        let Some(connection) = self.connections[entry].remove(&attempt) else { return };
        if connection.collect {
            let body = connection.collected.join("\n").into();
            let head = head(connection.stream);
            let event = entry::event::Event::ResponseCollected { attempt, head, body };
            self.step_entry(entry, event);
        } else if connection.is_forwarding {
            self.clients.finish(connection.request, clients::Outcome::Completed);
            self.step_entry(entry, entry::event::Event::AttemptCompleted(attempt));
        }
    }

    /// Orphans the clients of an entry whose process ended.
    pub fn orphan_clients(&mut self, entry: usize) {
        for client in self.clients.all.values_mut() {
            if client.entry == entry && client.outcome.is_none() {
                client.outcome = Some(clients::Outcome::Orphaned);
            }
        }
    }
}

fn head(stream: bool) -> frame::Head {
    let kind = if stream { "text/event-stream" } else { "application/json" };
    frame::Head { status: 200, headers: vec![("content-type".into(), kind.into())] }
}
