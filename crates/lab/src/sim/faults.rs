//! What goes wrong, and what discovery tells of it.

use super::draw::{between, stream, Purpose};
use super::{Happening, World, START, WARMING};
use crate::scenario::{Fault, Trouble};
use rand::RngExt;
use shorepath_core::api::*;

/// A moment of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It begins.
    Begins,
    /// What drained is gone.
    Drained,
    /// It goes on or off, by its own period.
    Turns,
    /// It ends.
    Ends,
}

impl World<'_> {
    /// Draw whom each fault strikes and schedule its steps.
    pub(super) fn plan_faults(&mut self) {
        for (index, f) in self.sc.faults.iter().enumerate() {
            let mut rng = stream(self.sc.seed, Purpose::Fault(index as u32));
            let there = |s: &u32| f.zone.is_none_or(|z| self.servers[*s as usize].make.zone as usize == z);
            let mut all: Vec<u32> = (0..self.servers.len() as u32).filter(there).collect();
            for k in (1..all.len()).rev() {
                all.swap(k, rng.random_range(0..=k));
            }
            let count = (f.part * all.len() as f64).round() as usize;
            all.truncate(count.max(usize::from(f.part > 0.0)));
            all.sort_unstable();
            self.struck.push(all);
            let index = index as u32;
            self.at(START + f.at, Happening::Fault { index, step: Step::Begins });
            self.at(START + f.at.saturating_add(f.length), Happening::Fault { index, step: Step::Ends });
        }
    }

    pub(super) fn fault(&mut self, index: u32, step: Step) {
        let sc = self.sc;
        let f = &sc.faults[index as usize];
        let struck = self.struck[index as usize].clone();
        match (f.trouble, step) {
            (Trouble::Silence, Step::Begins) => {
                self.silent_until = self.silent_until.max(self.now + f.length);
            }
            (Trouble::Neighbour, Step::Begins | Step::Turns) => {
                self.neighbour(index, f, &struck);
            }
            (Trouble::Neighbour, Step::Ends) => {
                struck.iter().for_each(|s| self.factor(*s, index, None));
            }
            (Trouble::Shrink, Step::Begins) => {
                for &s in &struck {
                    self.servers[s as usize].draining += 1;
                    self.announce(s);
                }
                self.at(self.now + f.drain.min(f.length), Happening::Fault { index, step: Step::Drained });
            }
            (Trouble::Shrink, Step::Drained) => {
                for &s in &struck {
                    self.goes_down(s, false);
                }
            }
            (Trouble::Shrink, Step::Ends) => {
                for &s in &struck {
                    self.servers[s as usize].draining -= 1;
                    self.comes_back(s);
                }
            }
            (_, Step::Begins) => struck.iter().for_each(|s| self.begins(*s, index, f)),
            (_, Step::Ends) => struck.iter().for_each(|s| self.ends(*s, index, f)),
            _ => {}
        }
    }

    fn begins(&mut self, server: u32, index: u32, f: &Fault) {
        match f.trouble {
            Trouble::Crash => self.goes_down(server, false),
            Trouble::ZoneLoss => {
                self.servers[server as usize].cut += 1;
                self.goes_down(server, true);
            }
            Trouble::Cut => self.servers[server as usize].cut += 1,
            Trouble::Pause => {
                self.servers[server as usize].advance(self.now);
                self.servers[server as usize].paused += 1;
                self.work_on(server);
            }
            Trouble::Slow => self.factor(server, index, Some(1.0 / f.size)),
            Trouble::BadRelease => self.servers[server as usize].failing.push((index, f.size)),
            _ => {}
        }
    }

    fn ends(&mut self, server: u32, index: u32, f: &Fault) {
        match f.trouble {
            Trouble::Crash => self.comes_back(server),
            Trouble::ZoneLoss | Trouble::Cut => {
                self.servers[server as usize].cut -= 1;
                if self.servers[server as usize].cut == 0 {
                    self.reset_lost(server);
                }
                if f.trouble == Trouble::ZoneLoss {
                    self.comes_back(server);
                }
            }
            Trouble::Pause => {
                self.servers[server as usize].advance(self.now);
                self.servers[server as usize].paused -= 1;
                self.work_on(server);
            }
            Trouble::Slow => self.factor(server, index, None),
            Trouble::BadRelease => self.servers[server as usize].failing.retain(|f| f.0 != index),
            _ => {}
        }
    }

    /// What a server's side of a cut swallowed is reset when the link is back.
    fn reset_lost(&mut self, server: u32) {
        let lost = |r: &super::Run| r.server == server && r.open && r.stage == super::Stage::Over;
        let keys: Vec<_> = self.runs.iter().filter(|(_, r)| lost(r)).map(|(k, _)| k).collect();
        let s = &mut self.servers[server as usize];
        s.connections = s.connections.saturating_sub(keys.len() as u32);
        for key in keys {
            self.back(key, super::News::Ended(Status::Reset));
        }
    }

    fn neighbour(&mut self, index: u32, f: &Fault, struck: &[u32]) {
        let over = self.now - START >= f.at.saturating_add(f.length);
        let turn = if f.every > 0 { (self.now - START - f.at) / f.every } else { 0 };
        let on = turn % 2 == 0 && !over;
        for &s in struck {
            self.factor(s, index, on.then_some(1.0 - f.size));
        }
        if f.every > 0 && !over {
            self.at(self.now + f.every, Happening::Fault { index, step: Step::Turns });
        }
    }

    /// Set or lift what one fault leaves of a server's speed.
    fn factor(&mut self, server: u32, index: u32, factor: Option<f64>) {
        let s = &mut self.servers[server as usize];
        s.advance(self.now);
        s.factors.retain(|f| f.0 != index);
        s.factors.extend(factor.map(|f| (index, f)));
        self.work_on(server);
    }

    fn goes_down(&mut self, server: u32, silently: bool) {
        self.servers[server as usize].down += 1;
        if self.servers[server as usize].down == 1 {
            self.dies(server, silently);
        }
        self.announce(server);
    }

    /// A cold server was sent too much; it stays down.
    pub(super) fn falls(&mut self, server: u32) {
        self.goes_down(server, false);
    }

    fn comes_back(&mut self, server: u32) {
        let s = &mut self.servers[server as usize];
        s.down -= 1;
        if s.down > 0 {
            return;
        }
        s.born = self.now;
        let born = s.born;
        self.at(self.now + WARMING, Happening::Warming { server, born });
        self.announce(server);
    }

    // ---------------------------------------------------------- discovery

    /// A server's entry in the list.
    pub(super) fn member(&self, server: u32, standing: Standing) -> Member {
        let s = &self.servers[server as usize];
        let kind = &self.sc.servers.kinds[s.make.kind as usize];
        Member {
            worker: WorkerId(server),
            mark: u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            kind: KindId(s.make.kind),
            zone: ZoneId(s.make.zone),
            cell: 0,
            // The registered size: cores at the middle of the kind's speeds.
            scale: f64::from(kind.cores) * (kind.speed.0 + kind.speed.1) / 2.0,
            standing,
            started: s.born,
        }
    }

    /// Every node will be told where a server stands, each in its own time, but in order.
    pub(super) fn announce(&mut self, server: u32) {
        let s = &self.servers[server as usize];
        let standing = match (s.down, s.draining) {
            (0, 0) => Standing::Live,
            (0, _) => Standing::Draining,
            _ => Standing::Gone,
        };
        let news = self.news.len() as u32;
        let member = self.member(server, standing);
        self.news.push(member);
        for node in 0..self.nodes.len() as u32 {
            let lag = between(&mut self.discovery, self.sc.lag);
            let at = (self.now + lag).max(self.silent_until).max(self.nodes[node as usize].told);
            self.nodes[node as usize].told = at;
            self.at(at, Happening::Told { node, news });
        }
    }

    pub(super) fn told(&mut self, node: u32, news: u32) {
        let member = self.news[news as usize].clone();
        let live = member.standing == Standing::Live;
        self.checker.told(node, member.worker.0, live, member.started, self.now);
        self.tell(node, Event::RosterChange(vec![member]));
    }
}
