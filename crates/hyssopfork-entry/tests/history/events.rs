//! Effects of the simulation's events, fault injection, and the guarantees that are checked on the
//! way.

use crate::clients;
use crate::shell;
use crate::simulation::{
    AGENTS, ENGINES, ENTRIES, Event, HeldWatch, MILLIS, Node, Simulation, TOKEN,
};
use hyssopfork_agent as agent;
use hyssopfork_entry as entry;
use hyssopfork_wire::{attempt, number, timing};
use rand::RngExt;

/// Time within which an agent detects a new process of its back end: the maximum age of a probe
/// result, on a clock that may run slow.
const MAX_DETECTION_MICROS: u64 = 1_010 * MILLIS;

impl Simulation {
    pub fn handle_event(&mut self, event: Event) {
        match event {
            Event::TickAgent(index) => {
                self.step_agent(index, agent::event::Event::Tick);
                let tick = agent::action::TICK_INTERVAL.as_micros() as u64;
                self.schedule_for(Node::Agent(index), tick, Event::TickAgent(index));
            }
            Event::TickEntry(index) => {
                self.step_entry(index, entry::event::Event::Tick);
                let tick = entry::action::TICK_INTERVAL.as_micros() as u64;
                self.schedule_for(Node::Entry(index), tick, Event::TickEntry(index));
            }
            Event::Agent(index, event) => self.step_agent(index, event),
            Event::Entry(index, event) => self.step_entry(index, event),
            Event::Call { from, call, request } => self.on_control_call(from, call, request),
            Event::GrantRequest { from, call, to, request } => {
                self.on_grant_call(from, call, to, request)
            }
            Event::Offer { entry, to, offer, stream } => {
                self.deliver_offer(entry, to, offer, stream);
            }
            Event::Frame { entry, attempt, index, frame } => {
                self.on_frame(entry, attempt, index, frame);
            }
            Event::Cancel { entry, to, attempt, boot } => {
                self.on_cancel(entry, to, attempt, boot);
            }
            Event::Reconnect { entry, attempt } => self.reconnect(entry, attempt),
            Event::Probe(index) => self.probe(index),
            Event::SendPart { at, incarnation, attempt, part } => {
                self.send_part(at, incarnation, attempt, part)
            }
            Event::LoadModel { at, fence } => self.load_model(at, fence),
            Event::RestartUpstream(index) => self.upstreams[index].restart(self.now),
            Event::Restart(node) => {
                if !self.processes[&node].up {
                    self.start(node);
                }
            }
            Event::Reconcile => self.reconcile(),
            Event::InjectFault => self.inject_fault(),
            Event::ZoneIn(zone) => {
                self.control.set_zone(self.now, &zone, false);
                self.notify_watchers();
            }
            Event::SendRequest => self.send_random_request(),
            Event::DisconnectClient { entry, request } => {
                if self.clients.all[&request].outcome.is_none() {
                    self.clients.finish(request, clients::Outcome::Disconnected);
                    self.step_entry(entry, entry::event::Event::ClientGone(request));
                }
            }
        }
    }

    fn on_control_call(
        &mut self,
        from: Node,
        call: u64,
        request: hyssopfork_wire::control::Request,
    ) {
        match self.control.handle_request(self.now, &request) {
            Some(response) => {
                self.send_control_response(from, self.incarnation(from), call, response)
            }
            None => {
                let version = self.control.view().version;
                let incarnation = self.incarnation(from);
                self.watches.push(HeldWatch { node: from, incarnation, call, version, request });
            }
        }
        self.notify_watchers();
    }

    fn send_control_response(
        &mut self,
        to: Node,
        incarnation: u32,
        call: u64,
        response: hyssopfork_wire::control::Response,
    ) {
        let copies = 1 + usize::from(!self.faultless && self.random.random_ratio(1, 20));
        for _ in 0..copies {
            if let Some(delay) = self.message_delay(Node::Control, to) {
                let delivery = self.control_response(to, call, Some(response.clone()));
                self.schedule_for_incarnation(to, incarnation, delay, delivery);
            }
        }
    }

    fn notify_watchers(&mut self) {
        let version = self.control.view().version;
        for (group, placement) in &self.control.view().placements {
            assert!(self.control.view().configuration.groups.contains_key(group));
            self.placements.insert(placement.fence, placement.members.clone());
        }
        let (due, kept): (Vec<HeldWatch>, Vec<HeldWatch>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.version < version);
        self.watches = kept;
        for watch in due {
            if let Some(response) = self.control.handle_request(self.now, &watch.request) {
                self.send_control_response(watch.node, watch.incarnation, watch.call, response);
            }
        }
    }

    fn deliver_offer(&mut self, entry: usize, to: usize, offer: attempt::Offer, stream: bool) {
        let process = &self.processes[&Node::Agent(to)];
        if !process.up {
            self.break_connection(entry, offer.attempt, 50 * MILLIS);
            return;
        }
        if process.paused_until > self.now {
            let delay = process.paused_until - self.now;
            self.schedule(delay, Event::Offer { entry, to, offer, stream });
            return;
        }
        self.on_offer(entry, to, offer, stream);
    }

    fn probe(&mut self, index: usize) {
        let upstream = &self.upstreams[index];
        let health = upstream.alive.then(|| agent::event::Health {
            incarnation: Some(format!("{}", upstream.incarnation)),
            running: Some(upstream.running.len() as u32),
            loaded: upstream.loaded_fence,
        });
        let node = Node::Agent(index);
        let sent = self.clock(node);
        let event = agent::event::Event::ProbedAt { sent_at: sent, health };
        self.schedule_for(node, 500, Event::Agent(index, event));
        self.schedule_for(node, timing::PROBE_INTERVAL.as_micros() as u64, Event::Probe(index));
    }

    /// The agent writes a request to its back end; the guarantees are checked here.
    pub fn forward(&mut self, index: usize, attempt: attempt::Identifier) {
        let slot = self.shells[index].slots[&attempt].clone();
        let offer = slot.offer.expect("a forwarded attempt has an offer");
        self.check_zone(index);
        if let Some((_, fence)) = &offer.group {
            self.check_group(index, *fence);
        }
        assert!(!self.clients.runs.contains(&attempt), "attempt {attempt} ran twice");
        self.clients.runs.push(attempt);
        self.append_frame(index, attempt, shell::Frame::Started);
        let upstream = &mut self.upstreams[index];
        if !upstream.alive {
            let fault = agent::event::Event::ResponseFailed(attempt, agent::event::Fault::Broken);
            self.schedule_for(Node::Agent(index), 300, Event::Agent(index, fault));
            return;
        }
        let parts = clients::expected_parts(&offer.path, slot.stream);
        let fence = offer.group.map(|(_, fence)| fence);
        let running = crate::upstream::Running { fence, parts, stream: slot.stream };
        upstream.running.insert(attempt, running);
        let is_detected =
            self.now > upstream.started_at + MAX_DETECTION_MICROS || upstream.started_at == 0;
        let (runs, capacity) = (upstream.running.len() as u32, upstream.capacity());
        assert!(
            !is_detected || runs <= capacity,
            "{runs} run at i{index}, whose capacity is {capacity}"
        );
        let incarnation = upstream.incarnation;
        let part = offer.resume_from as usize;
        let delay = self.random.random_range(5 * MILLIS..150 * MILLIS);
        self.schedule(delay, Event::SendPart { at: index, incarnation, attempt, part });
    }

    fn check_zone(&self, index: usize) {
        let zone = shell::announcement(index, 0, &self.upstreams[index]).zone;
        if let Some(since) = self.control.out_since.get(&zone) {
            let bound = timing::IN_FORCE_BOUND.as_micros() as u64;
            let late = self.now - since;
            assert!(late <= bound, "new work at i{index} {late} us after its zone was taken out");
        }
    }

    /// Checks that the engine of every member is loaded for this placement, except one that crashed
    /// within the term of the grants, and that no work of another placement runs beside it.
    fn check_group(&self, index: usize, fence: number::Fence) {
        let bound = timing::GROUP_GRANT_GUARD.as_micros() as u64 + MAX_DETECTION_MICROS;
        for member in &self.placements[&fence] {
            let member: usize = member.as_str()[1..].parse().expect("instances are numbered");
            let upstream = &self.upstreams[member];
            if upstream.alive && upstream.loaded_fence == Some(fence) {
                continue;
            }
            let failed_at = upstream.failed_at.expect("only an engine that crashed may be missing");
            let elapsed = self.now - failed_at;
            assert!(elapsed <= bound, "group {fence} served {elapsed} us after i{member} crashed");
        }
        let mut others = self.upstreams[index].running.values();
        let alone = others.all(|running| running.fence == Some(fence));
        assert!(alone, "i{index} serves {fence} beside another placement");
    }

    /// Checks that an order goes to a member of its placement: an order takes the engine away from
    /// any other model, and no first member may still be able to serve with it.
    pub fn check_order(&mut self, index: usize, fence: number::Fence) {
        let placed = &self.placements[&fence];
        let instance = format!("i{index}").as_str().into();
        assert!(placed.contains(&instance), "an order for an instance outside the placement");
    }

    fn load_model(&mut self, index: usize, fence: number::Fence) {
        let upstream = &mut self.upstreams[index];
        if upstream.alive {
            upstream.load(fence);
        }
        let done = upstream.alive;
        let event = agent::event::Event::LoadFinished { fence, succeeded: done };
        self.schedule_for(Node::Agent(index), 300, Event::Agent(index, event));
    }

    fn send_part(
        &mut self,
        index: usize,
        incarnation: u32,
        attempt: attempt::Identifier,
        part: usize,
    ) {
        let upstream = &mut self.upstreams[index];
        if upstream.incarnation != incarnation {
            return;
        }
        let Some(running) = upstream.running.get(&attempt).cloned() else { return };
        if self.shells[index].slots.get(&attempt).is_none_or(|slot| slot.offer.is_none()) {
            // The agent that sent the request is gone.
            upstream.complete(attempt);
            return;
        }
        let first = self.shells[index].slots[&attempt].offer.as_ref().map(|o| o.resume_from);
        if first == Some(part as u64) {
            self.append_frame(index, attempt, shell::Frame::Head { stream: running.stream });
            let begun = agent::event::Event::ResponseStarted(attempt);
            self.schedule_for(Node::Agent(index), 0, Event::Agent(index, begun));
        }
        if let Some(text) = running.parts.get(part) {
            self.append_frame(index, attempt, shell::Frame::Part(text.clone()));
            let delay = self.random.random_range(MILLIS..60 * MILLIS);
            let part = part + 1;
            self.schedule(delay, Event::SendPart { at: index, incarnation, attempt, part });
            return;
        }
        self.upstreams[index].complete(attempt);
        self.append_frame(index, attempt, shell::Frame::End);
        let ended = agent::event::Event::ResponseCompleted(attempt);
        self.schedule_for(Node::Agent(index), 0, Event::Agent(index, ended));
    }

    fn reconcile(&mut self) {
        let move_freely = !self.faultless;
        self.control.reconcile(self.now, &mut self.random, move_freely);
        self.notify_watchers();
        self.schedule(100 * MILLIS, Event::Reconcile);
    }

    fn inject_fault(&mut self) {
        if self.faultless {
            return;
        }
        let delay = self.random.random_range(50 * MILLIS..1_400 * MILLIS);
        self.schedule(delay, Event::InjectFault);
        let agent = Node::Agent(self.random.random_range(0..AGENTS));
        let entry = Node::Entry(self.random.random_range(0..ENTRIES));
        let any = if self.random.random_ratio(1, 4) { entry } else { agent };
        let span = self.random.random_range(10 * MILLIS..4_000 * MILLIS);
        match self.random.random_range(0..12) {
            0 | 1 => self.pause(any, span),
            2 => self.crash(any),
            3 => {
                let index = self.random.random_range(0..AGENTS);
                self.crash_upstream(index, span);
            }
            4 => self.partition(any, Node::Control, span),
            5 => self.partition(agent, entry, span),
            6 | 7 => {
                let other = Node::Agent(self.random.random_range(0..ENGINES));
                self.partition(agent, other, span);
            }
            8 => {
                let zone = if self.random.random() { "zone-a" } else { "zone-b" };
                let out = self.random.random_ratio(1, 3);
                self.control.set_zone(self.now, &zone.into(), out);
                self.notify_watchers();
            }
            9 if self.random.random_ratio(1, 3) => self.isolate(agent, entry),
            10 if self.random.random_ratio(1, 8) => self.fail_domain(agent, span),
            _ => self.stop(any),
        }
    }

    fn pause(&mut self, node: Node, span: u64) {
        let until = self.now + span;
        let process = self.processes.get_mut(&node).expect("all processes are known");
        process.paused_until = process.paused_until.max(until);
    }

    pub fn crash(&mut self, node: Node) {
        self.processes.get_mut(&node).expect("all processes are known").up = false;
        let delay = self.random.random_range(MILLIS..1_000 * MILLIS);
        self.schedule(delay, Event::Restart(node));
        match node {
            Node::Entry(index) => self.orphan_clients(index),
            Node::Agent(index) => self.disconnect_agent(index),
            Node::Control => {}
        }
    }

    /// Breaks the connections to the agent's process and its own to the back end, which stops work
    /// that it can cancel.
    fn disconnect_agent(&mut self, index: usize) {
        if self.upstreams[index].cancels {
            self.upstreams[index].running.clear();
        }
        let attempts: Vec<_> = self.shells[index].slots.keys().copied().collect();
        self.shells[index] = shell::Agent::default();
        for attempt in attempts {
            (0..ENTRIES).for_each(|entry| self.break_connection(entry, attempt, 50 * MILLIS));
        }
    }

    /// Crashes every agent and back end of one fabric domain.
    fn fail_domain(&mut self, agent: Node, span: u64) {
        let Node::Agent(index) = agent else { return };
        let domain = |index: usize| shell::announcement(index, 0, &self.upstreams[index]).domain;
        let inside: Vec<usize> =
            (0..AGENTS).filter(|other| domain(*other) == domain(index)).collect();
        for index in inside {
            self.crash_upstream(index, span);
            if self.processes[&Node::Agent(index)].up {
                self.crash(Node::Agent(index));
            }
        }
    }

    fn crash_upstream(&mut self, index: usize, span: u64) {
        let running: Vec<_> = self.upstreams[index].running.keys().copied().collect();
        if !self.upstreams[index].alive {
            return;
        }
        self.upstreams[index].crash(self.now);
        for attempt in running {
            let fault = agent::event::Event::ResponseFailed(attempt, agent::event::Fault::Broken);
            self.schedule_for(Node::Agent(index), 300, Event::Agent(index, fault));
        }
        self.schedule(span / 4, Event::RestartUpstream(index));
    }

    fn partition(&mut self, one: Node, other: Node, span: u64) {
        let pair = (one.min(other), one.max(other));
        self.partitions.insert(pair, self.now + span);
    }

    /// Partitions an agent and an entry from control but not from each other, and takes the agent's
    /// zone out for a while.
    fn isolate(&mut self, agent: Node, entry: Node) {
        let Node::Agent(index) = agent else { return };
        self.partition(agent, Node::Control, 6_000 * MILLIS);
        self.partition(entry, Node::Control, 6_000 * MILLIS);
        let zone = shell::announcement(index, 0, &self.upstreams[index]).zone;
        self.control.set_zone(self.now, &zone, true);
        self.notify_watchers();
        self.schedule(6_000 * MILLIS, Event::ZoneIn(zone));
    }

    pub fn stop(&mut self, node: Node) {
        match node {
            Node::Agent(index) => {
                let event = agent::event::Event::Stop;
                self.schedule_for(node, 0, Event::Agent(index, event));
            }
            Node::Entry(index) => {
                let event = entry::event::Event::Stop;
                self.schedule_for(node, 0, Event::Entry(index, event));
            }
            Node::Control => {}
        }
    }

    fn send_random_request(&mut self) {
        if self.faultless {
            return;
        }
        let delay = self.random.random_range(MILLIS..40 * MILLIS);
        self.schedule(delay, Event::SendRequest);
        let route = ["/write", "/write", "/once", "/lodge"][self.random.random_range(0..4)];
        let key = (route == "/lodge" && self.random.random_ratio(2, 3))
            .then(|| format!("key-{}", self.last_request / 4));
        let entry = self.random.random_range(0..ENTRIES);
        let request = self.send_request(entry, route, key);
        if self.random.random_ratio(1, 20) {
            let delay = self.random.random_range(MILLIS..300 * MILLIS);
            self.schedule_for(
                Node::Entry(entry),
                delay,
                Event::DisconnectClient { entry, request },
            );
        }
    }

    /// A client sends a request to an entry.
    pub fn send_request(&mut self, entry: usize, route: &str, key: Option<String>) -> u64 {
        self.last_request += 1;
        let request = self.last_request;
        let named = key.clone().unwrap_or_else(|| format!("r{request}"));
        let client = clients::Client {
            entry,
            path: format!("{route}/{named}"),
            key: key.clone(),
            repeatable: route == "/write",
            stream: route == "/write" && request.is_multiple_of(2),
            parts: Vec::new(),
            outcome: None,
        };
        let arrival = entry::event::Arrival {
            token_sha256: Some(TOKEN.repeat(32)),
            method: "POST".into(),
            path: client.path.clone(),
            headers: Vec::new(),
            idempotency_key: key,
            digest: [7; 32],
            body_bytes: 10,
            prefix_hash: None,
            cost_tokens: 100,
        };
        self.clients.all.insert(request, client);
        if !self.processes[&Node::Entry(entry)].up {
            self.clients.finish(request, clients::Outcome::Orphaned);
            return request;
        }
        let arrived = entry::event::Event::RequestArrived { request, arrival };
        self.schedule_for(Node::Entry(entry), 0, Event::Entry(entry, arrived));
        request
    }
}
