//! Attempts: from a node over the network to a server, and the news back.

use super::draw::between;
use super::faults::{member, strike, Step};
use super::server::{Offer, Server};
use super::{AskKey, Happening, News, Run, RunKey, Stage, World, SWEEP, WARMING};
use crate::rules::Answer;
use crate::scenario::FaultKind;
use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use shorepath_scheduler::*;

/// Outcomes that prove that a job never ran.
fn never_ran(status: AttemptStatus) -> bool {
    matches!(status, AttemptStatus::Overloaded | AttemptStatus::ConnectFailed | AttemptStatus::NotSent)
}

impl World<'_> {
    /// The time of one way between a node and a server.
    fn way(&mut self, node: u32, server: u32) -> Micros {
        let near = self.nodes[node as usize].zone == self.servers[server as usize].make.zone;
        let range = if near { self.sc.network.same_zone_latency } else { self.sc.network.cross_zone_latency };
        let base = between(&mut self.network, range);
        if self.sc.network.jitter <= 0.0 {
            return base;
        }
        let late: f64 = Exp1.sample(&mut self.network);
        base + (base as f64 * self.sc.network.jitter * late) as Micros
    }

    pub(super) fn send(&mut self, node: u32, id: RequestId, worker: EndpointId) {
        let (key, server) = (World::try_of(id), worker.0);
        self.checker.sent(id.0, node, server, self.now);
        let Some(one) = self.tries.get_mut(key) else { return };
        let attempt = one.attempts;
        one.attempts += 1;
        let ask = one.ask;
        let Some(a) = self.asks.get(ask).filter(|_| attempt < self.sc.rules.max_attempts) else {
            // It is over, or has had all its attempts: never sent.
            self.checker.ended(id.0, true);
            let settled = self.tries.get(key).is_none_or(|t| t.answered);
            self.local.push_back((
                node,
                Event::AttemptEnded { id, attempt, status: AttemptStatus::NotSent, is_final: settled },
            ));
            return;
        };
        let (class, work, needs) = (a.class, a.work * (1.0 - a.saved), a.needs);
        let mut run = Run {
            of: key,
            id: id.0,
            attempt,
            node,
            server,
            class,
            work,
            needs,
            stage: Stage::Sent,
            open: true,
            fails: false,
            started: false,
            last_news: 0,
        };
        let n = &mut self.nodes[node as usize];
        n.out += 1;
        let far = n.zone != self.servers[server as usize].make.zone;
        let idle = n.idle.get_mut(&server).and_then(Vec::pop);
        self.tally.sent(far, idle.is_none());
        let way = self.way(node, server);
        if idle.is_none() {
            run.stage = Stage::Connecting;
            run.work += self.sc.network.handshake as f64;
        }
        let run = self.runs.insert(run);
        if let Some(one) = self.tries.get_mut(key) {
            one.out.push(run);
        }
        let new = if idle.is_none() { " on a new connection" } else { "" };
        self.follow(id.0, || format!("attempt {attempt} goes to server {server}{new}"));
        if idle.is_some() {
            self.at(self.now + way, Happening::AtServer(run));
        } else {
            self.at(self.now + way, Happening::Syn(run));
            self.at(self.now + self.sc.network.connect_timeout, Happening::NotUp(run));
        }
    }

    pub(super) fn syn(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key).filter(|r| r.stage == Stage::Connecting) else { return };
        let (node, server) = (run.node, run.server);
        let s = &mut self.servers[server as usize];
        if s.cut > 0 {
            return; // silence, until the node gives up
        }
        if s.down > 0 || s.connections >= self.sc.servers.connections {
            return self.back(key, News::Ended(AttemptStatus::ConnectFailed));
        }
        s.connections += 1;
        let ways = self.way(node, server) + self.way(node, server);
        if let Some(run) = self.runs.get_mut(key) {
            run.stage = Stage::Sent;
        }
        self.at(self.now + ways, Happening::AtServer(key));
    }

    /// News goes back to the node of an attempt.
    pub(super) fn back(&mut self, key: RunKey, what: News) {
        let Some(run) = self.runs.get_mut(key) else { return };
        if matches!(what, News::Ended(_)) {
            run.stage = Stage::Over;
        }
        let (node, server) = (run.node, run.server);
        let way = self.way(node, server);
        let Some(run) = self.runs.get_mut(key) else { return };
        let at = (self.now + way).max(run.last_news);
        run.last_news = at;
        self.at(at, Happening::ToNode { run: key, what });
    }

    /// The last byte of an attempt has come to its server.
    pub(super) fn at_server(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key).filter(|r| r.stage == Stage::Sent) else { return };
        let (id, node, server, load) = (run.id, run.node, run.server, (run.work, run.needs));
        let cold = self.sc.overload_limit();
        let s = &mut self.servers[server as usize];
        if s.cut > 0 {
            // Into a void: nothing comes back until the server does, which then resets it.
            if let Some(run) = self.runs.get_mut(key) {
                run.stage = Stage::Over;
            }
            return self.drop_closed(key);
        }
        if s.down > 0 {
            return self.back(key, News::Ended(AttemptStatus::Reset));
        }
        let told = self.checker.knows_start(node, server, s.born);
        match s.offer(self.now, key, load, told, cold) {
            Offer::Taken => {}
            Offer::Full => {
                self.follow(id, || format!("server {server} turns it away"));
                return self.back(key, News::Ended(AttemptStatus::Overloaded));
            }
            Offer::Fell(fell) => {
                self.checker.fell(server, fell, self.now);
                self.tally.fell();
                return self.goes_down(server);
            }
        }
        let fails = self.servers[server as usize].fails();
        let fails = fails > 0.0 && self.failures.random::<f64>() < fails;
        if let Some(run) = self.runs.get_mut(key) {
            (run.stage, run.fails) = (Stage::Held, fails);
        }
        self.work_on(server);
    }

    /// Bring a server up to date: what is done goes back, what waits is begun.
    pub(super) fn work_on(&mut self, server: u32) {
        let now = self.now;
        let (done, begun) = self.servers[server as usize].step(now);
        done.into_iter().for_each(|key| self.finished(key));
        begun.into_iter().for_each(|key| self.begun(key));
        let s = &self.servers[server as usize];
        let turn = s.turn;
        if let Some(at) = s.next_finish(now) {
            self.at(at, Happening::Finish { server, turn });
        }
    }

    fn begun(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.started = true;
        let (id, server, open) = (run.id, run.server, run.open);
        self.checker.begun(id, server, self.now);
        self.follow(id, || format!("server {server} begins with it"));
        if open && self.sc.servers.reports_starts && self.servers[server as usize].cut == 0 {
            self.back(key, News::Started);
        }
    }

    fn finished(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.stage = Stage::Over;
        let (id, server, fails) = (run.id, run.server, run.fails);
        self.follow(id, || format!("server {server} is done with it"));
        if self.servers[server as usize].cut == 0 {
            self.back(key, News::Ended(if fails { AttemptStatus::Error } else { AttemptStatus::Ok }));
        } else {
            self.drop_closed(key);
        }
    }

    /// Forget an attempt that is over at both ends.
    fn drop_closed(&mut self, key: RunKey) {
        if self.runs.get(key).is_some_and(|r| !r.open && r.stage == Stage::Over) {
            self.runs.remove(key);
        }
    }

    /// News of an attempt is at its node; the deadline is news, too.
    pub(super) fn news(&mut self, key: RunKey, what: News) {
        let Some(run) = self.runs.get_mut(key) else { return };
        if !run.open {
            return self.drop_closed(key);
        }
        let (of, id, attempt, node, server) = (run.of, run.id, run.attempt, run.node, run.server);
        let request = RequestId(id);
        let News::Ended(status) = what else {
            self.follow(id, || format!("node {node} hears that attempt {attempt} has started"));
            return self.tell(node, Event::AttemptStarted { id: request, attempt });
        };
        run.open = false;
        let stage = run.stage;
        if stage == Stage::Connecting {
            run.stage = Stage::Over; // it never got that far
        }
        self.nodes[node as usize].out -= 1;
        self.tally.ended(status);
        self.follow(id, || format!("node {node} takes attempt {attempt} for ended: {status:?}"));
        let keeps = matches!(status, AttemptStatus::Ok | AttemptStatus::Error | AttemptStatus::Overloaded);
        if keeps && self.servers[server as usize].down == 0 {
            self.nodes[node as usize].idle.entry(server).or_default().push(self.now);
        } else if stage != Stage::Connecting
            && !matches!(status, AttemptStatus::ConnectFailed | AttemptStatus::Reset)
        {
            let s = &mut self.servers[server as usize];
            s.connections = s.connections.saturating_sub(1);
        }
        self.checker.ended(id, never_ran(status));
        if let Some(one) = self.tries.get_mut(of) {
            one.out.retain(|r| *r != key);
            if status == AttemptStatus::Ok && !one.answered {
                self.answer(of, Answer::Served, None);
            }
        }
        if status == AttemptStatus::Cancelled && self.sc.servers.cancel_stops && stage == Stage::Held {
            let s = &mut self.servers[server as usize];
            s.advance(self.now);
            s.remove(key);
            if let Some(run) = self.runs.get_mut(key) {
                run.stage = Stage::Over;
            }
            self.work_on(server);
        }
        self.drop_closed(key);
        let settled = self.tries.get(of).is_none_or(|t| t.answered);
        self.tell(node, Event::AttemptEnded { id: request, attempt, status, is_final: settled });
        self.close(of);
    }

    pub(super) fn cancel(&mut self, id: RequestId, attempt: u32) {
        let Some(one) = self.tries.get(World::try_of(id)) else { return };
        let run = one.out.iter().copied().find(|r| self.runs.get(*r).is_some_and(|r| r.attempt == attempt));
        if let Some(run) = run {
            self.news(run, News::Ended(AttemptStatus::Cancelled));
        }
    }

    /// Discovery's news of where a server stands goes to every node, each in its own time, but in order.
    pub(super) fn announce(&mut self, server: u32) {
        let news = self.news.len() as u32;
        self.news.push(member(self.sc, server, &self.servers[server as usize]));
        for node in 0..self.nodes.len() as u32 {
            let lag = between(&mut self.discovery, self.sc.discovery_delay);
            let at = (self.now + lag).max(self.silent_until).max(self.nodes[node as usize].told);
            self.nodes[node as usize].told = at;
            self.at(at, Happening::Told { node, news });
        }
    }

    pub(super) fn told(&mut self, node: u32, news: u32) {
        let member = self.news[news as usize].clone();
        let live = member.state == EndpointState::Live;
        self.checker.told(node, member.id.0, live, member.started_at, self.now);
        self.tell(node, Event::EndpointUpdate(vec![member]));
    }

    pub(super) fn fault(&mut self, index: u32, step: Step) {
        let f = &self.sc.faults[index as usize];
        if f.kind == FaultKind::Silence {
            if step == Step::Begins {
                self.silent_until = self.silent_until.max(self.now + f.length);
            }
            return;
        }
        for server in self.struck[index as usize].clone() {
            let s = &mut self.servers[server as usize];
            s.advance(self.now);
            let effects = strike(s, f, index, step, self.now);
            if let Some(silently) = effects.dies {
                self.dies(server, silently);
            }
            if effects.mended {
                self.reset_lost(server);
            }
            if effects.starts {
                let born = self.now;
                self.at(self.now + WARMING, Happening::Warming { server, born });
            }
            if effects.announce {
                self.announce(server);
            }
            self.work_on(server);
        }
    }

    /// A cold server was sent too much; it stays down.
    fn goes_down(&mut self, server: u32) {
        self.servers[server as usize].down += 1;
        self.dies(server, false);
        self.announce(server);
    }

    /// What a server's side of a cut swallowed is reset when the link is back.
    fn reset_lost(&mut self, server: u32) {
        let lost = |r: &Run| r.server == server && r.open && r.stage == Stage::Over;
        let keys: Vec<_> = self.runs.iter().filter(|(_, r)| lost(r)).map(|(k, _)| k).collect();
        let s = &mut self.servers[server as usize];
        s.connections = s.connections.saturating_sub(keys.len() as u32);
        for key in keys {
            self.back(key, News::Ended(AttemptStatus::Reset));
        }
    }

    /// Everything that a server holds is lost. Where it dies with a word, its connections are reset.
    pub(super) fn dies(&mut self, server: u32, silently: bool) {
        let s = &mut self.servers[server as usize];
        s.advance(self.now);
        let lost = s.drop_all();
        s.turn += 1;
        for (key, left) in lost {
            self.save(key, left);
            if let Some(run) = self.runs.get_mut(key) {
                run.stage = Stage::Over;
            }
            self.drop_closed(key);
        }
        for node in 0..self.nodes.len() as u32 {
            let idle = self.nodes[node as usize].idle.remove(&server).unwrap_or_default();
            for _ in idle.iter().filter(|_| !silently) {
                self.tell(node, Event::IdleConnectionClosed { endpoint: EndpointId(server), position: 0 });
            }
        }
        if !silently {
            self.reset_open(server);
        }
    }

    /// Whoever waits for news from a server learns that its connection broke.
    pub(super) fn reset_open(&mut self, server: u32) {
        let waits = |r: &Run| r.server == server && r.open && r.stage != Stage::Connecting;
        let open: Vec<RunKey> = self.runs.iter().filter(|(_, r)| waits(r)).map(|(k, _)| k).collect();
        for key in open {
            self.back(key, News::Ended(AttemptStatus::Reset));
        }
    }

    /// A lost job that is safe to repeat goes on from what was saved of it.
    fn save(&mut self, key: RunKey, left: f64) {
        let every = self.sc.servers.checkpoint_interval as f64;
        let Some(run) = self.runs.get(key).filter(|r| r.started && every > 0.0) else { return };
        if self.sc.classes[run.class as usize].idempotency != Idempotency::Idempotent {
            return;
        }
        let done = ((run.work - left) / every).floor() * every;
        let ask: Option<AskKey> = self.tries.get(run.of).map(|t| t.ask);
        if let Some(ask) = ask.and_then(|a| self.asks.get_mut(a)) {
            ask.saved = ask.saved.max((ask.saved + done / ask.work).min(1.0));
        }
    }

    /// Servers close connections that have been idle for long.
    pub(super) fn sweep(&mut self) {
        let old = self.now - self.sc.network.idle_timeout;
        for node in 0..self.nodes.len() as u32 {
            let mut closed = Vec::new();
            self.nodes[node as usize].idle.retain(|server, idle| {
                let n = idle.partition_point(|at| *at <= old);
                idle.drain(..n);
                closed.extend((n > 0).then_some((*server, n as u32)));
                !idle.is_empty()
            });
            for (server, n) in closed {
                let s: &mut Server = &mut self.servers[server as usize];
                s.connections = s.connections.saturating_sub(n);
                for _ in 0..n {
                    self.tell(
                        node,
                        Event::IdleConnectionClosed { endpoint: EndpointId(server), position: 0 },
                    );
                }
            }
        }
        if self.now < self.end() {
            self.at(self.now + SWEEP, Happening::Sweep);
        }
    }
}
