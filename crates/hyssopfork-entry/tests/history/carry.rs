//! What each happening does, the faults, and the promises that are checked as they happen.

use crate::callers;
use crate::shell;
use crate::world::{AGENTS, ENGINES, ENTRIES, Happening, MILLI, Node, TOKEN, Watch, World};
use hyssopfork_agent as agent;
use hyssopfork_entry as entry;
use hyssopfork_wire::{attempt, number, timing};
use rand::RngExt;

/// Time within which an agent finds a new process of its back end: the age of a probe that it
/// still goes by, on a clock that may run slow.
const FOUND_WITHIN: u64 = 1_010 * MILLI;

impl World {
    pub fn carry(&mut self, happening: Happening) {
        match happening {
            Happening::TickAgent(index) => {
                self.step_agent(index, agent::event::Event::Tick);
                let tick = agent::action::TICK_INTERVAL.as_micros() as u64;
                self.at_node(Node::Agent(index), tick, Happening::TickAgent(index));
            }
            Happening::TickEntry(index) => {
                self.step_entry(index, entry::event::Event::Tick);
                let tick = entry::action::TICK.as_micros() as u64;
                self.at_node(Node::Entry(index), tick, Happening::TickEntry(index));
            }
            Happening::Agent(index, event) => self.step_agent(index, event),
            Happening::Entry(index, event) => self.step_entry(index, event),
            Happening::Call { from, call, request } => self.call_control(from, call, request),
            Happening::Stand { from, call, to, request } => self.asked(from, call, to, request),
            Happening::Offer { entry, to, offer, stream } => {
                self.deliver_offer(entry, to, offer, stream);
            }
            Happening::Frame { entry, attempt, index, frame } => {
                self.received(entry, attempt, index, frame);
            }
            Happening::Cancel { entry, to, attempt, boot } => {
                self.cancelled(entry, to, attempt, boot);
            }
            Happening::Reconnect { entry, attempt } => self.reconnect(entry, attempt),
            Happening::Probe(index) => self.probe(index),
            Happening::Work { at, life, attempt, part } => self.work(at, life, attempt, part),
            Happening::Load { at, fence } => self.load(at, fence),
            Happening::Rise(index) => self.upstreams[index].rise(self.now),
            Happening::Restart(node) => {
                if !self.processes[&node].up {
                    self.start(node);
                }
            }
            Happening::Manage => self.manage(),
            Happening::Fault => self.fault(),
            Happening::ZoneIn(zone) => {
                self.control.set_zone(self.now, &zone, false);
                self.tell_watchers();
            }
            Happening::Arrive => self.arrive(),
            Happening::Gone { entry, request } => {
                if self.callers.all[&request].end.is_none() {
                    self.callers.end(request, callers::Final::Gone);
                    self.step_entry(entry, entry::event::Event::Gone(request));
                }
            }
        }
    }

    fn call_control(&mut self, from: Node, call: u64, request: hyssopfork_wire::control::Request) {
        match self.control.call(self.now, &request) {
            Some(response) => self.reply_control(from, self.life(from), call, response),
            None => {
                let have = self.control.view().version;
                let life = self.life(from);
                self.watches.push(Watch { node: from, life, call, have, request });
            }
        }
        self.tell_watchers();
    }

    fn reply_control(
        &mut self,
        to: Node,
        life: u32,
        call: u64,
        response: hyssopfork_wire::control::Response,
    ) {
        let copies = 1 + usize::from(!self.quiet && self.random.random_ratio(1, 20));
        for _ in 0..copies {
            if let Some(delay) = self.travel(Node::Control, to) {
                let happening = self.controlled(to, call, Some(response.clone()));
                self.at_life(to, life, delay, happening);
            }
        }
    }

    fn tell_watchers(&mut self) {
        let version = self.control.view().version;
        for (group, placement) in &self.control.view().placements {
            assert!(self.control.view().configuration.groups.contains_key(group));
            self.placements.insert(placement.fence, placement.members.clone());
        }
        let (due, kept): (Vec<Watch>, Vec<Watch>) =
            std::mem::take(&mut self.watches).into_iter().partition(|watch| watch.have < version);
        self.watches = kept;
        for watch in due {
            if let Some(response) = self.control.call(self.now, &watch.request) {
                self.reply_control(watch.node, watch.life, watch.call, response);
            }
        }
    }

    fn deliver_offer(&mut self, entry: usize, to: usize, offer: attempt::Offer, stream: bool) {
        let process = &self.processes[&Node::Agent(to)];
        if !process.up {
            self.break_off(entry, offer.attempt, 50 * MILLI);
            return;
        }
        if process.paused_until > self.now {
            let delay = process.paused_until - self.now;
            self.after(delay, Happening::Offer { entry, to, offer, stream });
            return;
        }
        self.offered(entry, to, offer, stream);
    }

    fn probe(&mut self, index: usize) {
        let upstream = &self.upstreams[index];
        let health = upstream.alive.then(|| agent::event::Health {
            incarnation: Some(format!("{}", upstream.life)),
            running: Some(upstream.running.len() as u32),
            loaded: upstream.loaded,
        });
        let node = Node::Agent(index);
        let sent = self.clock(node);
        let event = agent::event::Event::ProbedAt { sent_at: sent, health };
        self.at_node(node, 500, Happening::Agent(index, event));
        self.at_node(node, timing::PROBE_INTERVAL.as_micros() as u64, Happening::Probe(index));
    }

    /// The agent writes a request to its back end: here the promises are judged.
    pub fn forward(&mut self, index: usize, attempt: attempt::Identifier) {
        let slot = self.shells[index].slots[&attempt].clone();
        let offer = slot.offer.expect("a forwarded attempt was offered");
        self.check_zone(index);
        if let Some((_, fence)) = &offer.group {
            self.check_group(index, *fence);
        }
        assert!(!self.callers.runs.contains(&attempt), "attempt {attempt} ran twice");
        self.callers.runs.push(attempt);
        self.frame(index, attempt, shell::Frame::Started);
        let upstream = &mut self.upstreams[index];
        if !upstream.alive {
            let fault = agent::event::Event::ResponseFailed(attempt, agent::event::Fault::Broken);
            self.at_node(Node::Agent(index), 300, Happening::Agent(index, fault));
            return;
        }
        let parts = callers::parts(&offer.path, slot.stream);
        let fence = offer.group.map(|(_, fence)| fence);
        let running = crate::upstream::Running { fence, parts, stream: slot.stream };
        upstream.running.insert(attempt, running);
        let found = self.now > upstream.started + FOUND_WITHIN || upstream.started == 0;
        let (runs, bears) = (upstream.running.len() as u32, upstream.bears());
        assert!(!found || runs <= bears, "{runs} run at i{index}, which bears {bears}");
        let life = upstream.life;
        let part = offer.resume_from as usize;
        let delay = self.random.random_range(5 * MILLI..150 * MILLI);
        self.after(delay, Happening::Work { at: index, life, attempt, part });
    }

    fn check_zone(&self, index: usize) {
        let zone = shell::announcement(index, 0, &self.upstreams[index]).zone;
        if let Some(since) = self.control.out_since.get(&zone) {
            let bound = timing::IN_FORCE_BOUND.as_micros() as u64;
            let late = self.now - since;
            assert!(late <= bound, "new work at i{index} {late} us after its zone was taken out");
        }
    }

    /// Every member's engine is loaded for this placement, but for one that died within the
    /// grants' term; and nothing of another placement runs beside it.
    fn check_group(&self, index: usize, fence: number::Fence) {
        let bound = timing::GROUP_GRANT_GUARD.as_micros() as u64 + FOUND_WITHIN;
        for member in &self.placements[&fence] {
            let member: usize = member.as_str()[1..].parse().expect("instances are numbered");
            let upstream = &self.upstreams[member];
            if upstream.alive && upstream.loaded == Some(fence) {
                continue;
            }
            let fell = upstream.fell.expect("only an engine that fell may be missing");
            let gone = self.now - fell;
            assert!(gone <= bound, "group {fence} served {gone} us after i{member} fell");
        }
        let mut others = self.upstreams[index].running.values();
        let alone = others.all(|running| running.fence == Some(fence));
        assert!(alone, "i{index} serves {fence} beside another placement");
    }

    /// An order takes the engine away from whatever it was loaded for: no first member may still
    /// be able to serve with it.
    pub fn check_order(&mut self, index: usize, fence: number::Fence) {
        let placed = &self.placements[&fence];
        let instance = format!("i{index}").as_str().into();
        assert!(placed.contains(&instance), "an order under a placement of others");
    }

    fn load(&mut self, index: usize, fence: number::Fence) {
        let upstream = &mut self.upstreams[index];
        if upstream.alive {
            upstream.load(fence);
        }
        let done = upstream.alive;
        let event = agent::event::Event::LoadFinished { fence, succeeded: done };
        self.at_node(Node::Agent(index), 300, Happening::Agent(index, event));
    }

    fn work(&mut self, index: usize, life: u32, attempt: attempt::Identifier, part: usize) {
        let upstream = &mut self.upstreams[index];
        if upstream.life != life {
            return;
        }
        let Some(running) = upstream.running.get(&attempt).cloned() else { return };
        if self.shells[index].slots.get(&attempt).is_none_or(|slot| slot.offer.is_none()) {
            // The agent that asked is gone.
            upstream.complete(attempt);
            return;
        }
        let first = self.shells[index].slots[&attempt].offer.as_ref().map(|o| o.resume_from);
        if first == Some(part as u64) {
            self.frame(index, attempt, shell::Frame::Head { stream: running.stream });
            let begun = agent::event::Event::ResponseStarted(attempt);
            self.at_node(Node::Agent(index), 0, Happening::Agent(index, begun));
        }
        if let Some(text) = running.parts.get(part) {
            self.frame(index, attempt, shell::Frame::Part(text.clone()));
            let delay = self.random.random_range(MILLI..60 * MILLI);
            let part = part + 1;
            self.after(delay, Happening::Work { at: index, life, attempt, part });
            return;
        }
        self.upstreams[index].complete(attempt);
        self.frame(index, attempt, shell::Frame::End);
        let ended = agent::event::Event::ResponseFinished(attempt);
        self.at_node(Node::Agent(index), 0, Happening::Agent(index, ended));
    }

    fn manage(&mut self) {
        let restless = !self.quiet;
        self.control.manage(self.now, &mut self.random, restless);
        self.tell_watchers();
        self.after(100 * MILLI, Happening::Manage);
    }

    fn fault(&mut self) {
        if self.quiet {
            return;
        }
        let delay = self.random.random_range(50 * MILLI..1_400 * MILLI);
        self.after(delay, Happening::Fault);
        let agent = Node::Agent(self.random.random_range(0..AGENTS));
        let entry = Node::Entry(self.random.random_range(0..ENTRIES));
        let any = if self.random.random_ratio(1, 4) { entry } else { agent };
        let span = self.random.random_range(10 * MILLI..4_000 * MILLI);
        match self.random.random_range(0..12) {
            0 | 1 => self.pause(any, span),
            2 => self.crash(any),
            3 => {
                let index = self.random.random_range(0..AGENTS);
                self.fell_engine(index, span);
            }
            4 => self.cut(any, Node::Control, span),
            5 => self.cut(agent, entry, span),
            6 | 7 => {
                let other = Node::Agent(self.random.random_range(0..ENGINES));
                self.cut(agent, other, span);
            }
            8 => {
                let zone = if self.random.random() { "zone-a" } else { "zone-b" };
                let out = self.random.random_ratio(1, 3);
                self.control.set_zone(self.now, &zone.into(), out);
                self.tell_watchers();
            }
            9 if self.random.random_ratio(1, 3) => self.island(agent, entry),
            10 if self.random.random_ratio(1, 8) => self.darken(agent, span),
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
        let delay = self.random.random_range(MILLI..1_000 * MILLI);
        self.after(delay, Happening::Restart(node));
        match node {
            Node::Entry(index) => self.orphan(index),
            Node::Agent(index) => self.lose_agent(index),
            Node::Control => {}
        }
    }

    /// Connections to the agent's process break; so do its own to the back end, which stops work
    /// where it can cancel.
    fn lose_agent(&mut self, index: usize) {
        if self.upstreams[index].cancels {
            self.upstreams[index].running.clear();
        }
        let attempts: Vec<_> = self.shells[index].slots.keys().copied().collect();
        self.shells[index] = shell::Agent::default();
        for attempt in attempts {
            (0..ENTRIES).for_each(|entry| self.break_off(entry, attempt, 50 * MILLI));
        }
    }

    /// Every agent and back end of one fabric domain goes.
    fn darken(&mut self, agent: Node, span: u64) {
        let Node::Agent(index) = agent else { return };
        let domain = |index: usize| shell::announcement(index, 0, &self.upstreams[index]).domain;
        let inside: Vec<usize> =
            (0..AGENTS).filter(|other| domain(*other) == domain(index)).collect();
        for index in inside {
            self.fell_engine(index, span);
            if self.processes[&Node::Agent(index)].up {
                self.crash(Node::Agent(index));
            }
        }
    }

    fn fell_engine(&mut self, index: usize, span: u64) {
        let running: Vec<_> = self.upstreams[index].running.keys().copied().collect();
        if !self.upstreams[index].alive {
            return;
        }
        self.upstreams[index].fall(self.now);
        for attempt in running {
            let fault = agent::event::Event::ResponseFailed(attempt, agent::event::Fault::Broken);
            self.at_node(Node::Agent(index), 300, Happening::Agent(index, fault));
        }
        self.after(span / 4, Happening::Rise(index));
    }

    fn cut(&mut self, one: Node, other: Node, span: u64) {
        let pair = (one.min(other), one.max(other));
        self.cuts.insert(pair, self.now + span);
    }

    /// An agent and an entry are cut off from control but not from each other, and the agent's
    /// zone goes out for a while.
    fn island(&mut self, agent: Node, entry: Node) {
        let Node::Agent(index) = agent else { return };
        self.cut(agent, Node::Control, 6_000 * MILLI);
        self.cut(entry, Node::Control, 6_000 * MILLI);
        let zone = shell::announcement(index, 0, &self.upstreams[index]).zone;
        self.control.set_zone(self.now, &zone, true);
        self.tell_watchers();
        self.after(6_000 * MILLI, Happening::ZoneIn(zone));
    }

    pub fn stop(&mut self, node: Node) {
        match node {
            Node::Agent(index) => {
                let event = agent::event::Event::Stop;
                self.at_node(node, 0, Happening::Agent(index, event));
            }
            Node::Entry(index) => {
                let event = entry::event::Event::Stop;
                self.at_node(node, 0, Happening::Entry(index, event));
            }
            Node::Control => {}
        }
    }

    fn arrive(&mut self) {
        if self.quiet {
            return;
        }
        let delay = self.random.random_range(MILLI..40 * MILLI);
        self.after(delay, Happening::Arrive);
        let route = ["/write", "/write", "/once", "/lodge"][self.random.random_range(0..4)];
        let key = (route == "/lodge" && self.random.random_ratio(2, 3))
            .then(|| format!("key-{}", self.requests / 4));
        let entry = self.random.random_range(0..ENTRIES);
        let request = self.ask(entry, route, key);
        if self.random.random_ratio(1, 20) {
            let delay = self.random.random_range(MILLI..300 * MILLI);
            self.at_node(Node::Entry(entry), delay, Happening::Gone { entry, request });
        }
    }

    /// A caller asks an entry.
    pub fn ask(&mut self, entry: usize, route: &str, key: Option<String>) -> u64 {
        self.requests += 1;
        let request = self.requests;
        let named = key.clone().unwrap_or_else(|| format!("r{request}"));
        let caller = callers::Caller {
            entry,
            path: format!("{route}/{named}"),
            key: key.clone(),
            repeatable: route == "/write",
            stream: route == "/write" && request.is_multiple_of(2),
            parts: Vec::new(),
            end: None,
        };
        let arrival = entry::event::Arrival {
            token_sha256: Some(TOKEN.repeat(32)),
            method: "POST".into(),
            path: caller.path.clone(),
            headers: Vec::new(),
            key,
            digest: [7; 32],
            length: 10,
            prefix: None,
            cost: 100,
        };
        self.callers.all.insert(request, caller);
        if !self.processes[&Node::Entry(entry)].up {
            self.callers.end(request, callers::Final::Orphaned);
            return request;
        }
        let arrived = entry::event::Event::Arrived { request, arrival };
        self.at_node(Node::Entry(entry), 0, Happening::Entry(entry, arrived));
        request
    }
}
