//! The checkers of the rules. They see observations with their times and nothing else, so that the same
//! ones serve for the emulator and for sockets.

use rustc_hash::FxHashMap;
use serde::Serialize;
use shorepath_core::api::{Effect, Micros, Scope};

/// Violations that are kept whole; more are only counted.
const KEPT: usize = 20;

/// Which rule was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request had no final answer in time.
    Unanswered,
    /// A request had two final answers.
    AnsweredTwice,
    /// Something was sent for a request that was over.
    SentAfterEnd,
    /// A class that must not repeat was sent again although it may have run; a keyed one, where or when nobody
    /// drops the repeat.
    SentAgain,
    /// A job of a class that must not repeat was begun twice; a keyed one, where nobody drops the repeat.
    RanTwice,
    /// A request was refused, so that its client may repeat it, although it may have run.
    RefusedAfterRun,
    /// A server was sent something new too long after the node was told that it leaves.
    Drain,
    /// A cold server fell over, and those who had been told of its start sent most of it.
    Felled,
}

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When, on the caller's clock.
    pub at: Micros,
    /// The request, where it is about one.
    pub request: Option<u64>,
    /// The server, where it is about one.
    pub server: Option<u32>,
}

/// The rules' figures.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long past its deadline a final answer still counts.
    pub slack: Micros,
    /// Nothing new to a leaving server later than this after the node was told.
    pub drain_grace: Micros,
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// By a server's result.
    Served,
    /// Turned away.
    Refused,
    /// Failed, no promise.
    Failed,
}

#[derive(Debug)]
struct Life {
    effect: Effect,
    deadline: Micros,
    /// Attempts out, and those that may have run among all.
    out: u32,
    may_have_run: u32,
    over: bool,
    /// The first attempt that may have run, and the first that was begun: at which server, and when.
    first: Option<(u32, Micros)>,
    first_begun: Option<(u32, Micros)>,
}

/// All rules over all nodes.
#[derive(Debug)]
pub struct Checker {
    limits: Limits,
    /// So many violations are kept whole.
    most: usize,
    lives: FxHashMap<u64, Life>,
    /// When each node was told that a server leaves, and of which start it was told last.
    leaving: FxHashMap<(u32, u32), Micros>,
    starts: FxHashMap<(u32, u32), Micros>,
    zones: FxHashMap<u32, u32>,
    kept: Vec<Violation>,
    count: u64,
}

impl Checker {
    /// Nothing seen yet.
    pub fn new(limits: Limits) -> Self {
        Checker::keeping(limits, KEPT)
    }

    /// Nothing seen yet, and so many violations are to be kept whole: for one who passes some of them over.
    pub fn keeping(limits: Limits, most: usize) -> Self {
        Checker {
            limits,
            most,
            lives: FxHashMap::default(),
            leaving: FxHashMap::default(),
            starts: FxHashMap::default(),
            zones: FxHashMap::default(),
            kept: Vec::new(),
            count: 0,
        }
    }

    /// The first violations, and how many there were.
    pub fn violations(&self) -> (&[Violation], u64) {
        (&self.kept, self.count)
    }

    fn broken(&mut self, rule: Rule, at: Micros, request: Option<u64>, server: Option<u32>) {
        self.count += 1;
        if self.kept.len() < self.most {
            self.kept.push(Violation { rule, at, request, server });
        }
    }

    /// A server stands in that zone.
    pub fn stands(&mut self, server: u32, zone: u32) {
        self.zones.insert(server, zone);
    }

    /// Whether a repeat there and then does harm, after the first attempt that may have run.
    fn harms(&self, effect: Effect, first: Option<(u32, Micros)>, server: u32, at: Micros) -> bool {
        let Some((before, since)) = first else { return false };
        match effect {
            Effect::Safe => false,
            Effect::Unsafe => true,
            Effect::Keyed { scope, memory } => {
                let zone = |s: u32| self.zones.get(&s);
                at - since >= memory || (scope != Scope::All && zone(before) != zone(server))
            }
        }
    }

    /// A node has taken a request.
    pub fn taken(&mut self, id: u64, deadline: Micros, effect: Effect) {
        let (first, first_begun) = (None, None);
        let life = Life { effect, deadline, out: 0, may_have_run: 0, over: false, first, first_begun };
        self.lives.insert(id, life);
    }

    /// A node has begun to send an attempt.
    pub fn sent(&mut self, id: u64, node: u32, server: u32, at: Micros) {
        let grace = self.limits.drain_grace;
        if self.leaving.get(&(node, server)).is_some_and(|told| at > told + grace) {
            self.broken(Rule::Drain, at, Some(id), Some(server));
        }
        let Some((over, effect, first)) = self.lives.get(&id).map(|l| (l.over, l.effect, l.first)) else {
            return self.broken(Rule::SentAfterEnd, at, Some(id), Some(server));
        };
        let again = self.harms(effect, first, server, at);
        if let Some(life) = self.lives.get_mut(&id) {
            life.out += 1;
            life.may_have_run += 1;
            life.first.get_or_insert((server, at));
        }
        if over {
            self.broken(Rule::SentAfterEnd, at, Some(id), Some(server));
        }
        if again {
            self.broken(Rule::SentAgain, at, Some(id), Some(server));
        }
    }

    /// An attempt has ended as its node sees it.
    pub fn ended(&mut self, id: u64, never_ran: bool) {
        if let Some(life) = self.lives.get_mut(&id) {
            life.out -= 1;
            life.may_have_run -= u32::from(never_ran);
            if life.may_have_run == 0 {
                life.first = None;
            }
        }
    }

    /// A server has begun with a job. It may come after the request is over.
    pub fn begun(&mut self, id: u64, server: u32, at: Micros) {
        let Some((effect, first)) = self.lives.get(&id).map(|l| (l.effect, l.first_begun)) else { return };
        if self.harms(effect, first, server, at) {
            self.broken(Rule::RanTwice, at, Some(id), Some(server));
        }
        if let Some(life) = self.lives.get_mut(&id) {
            life.first_begun.get_or_insert((server, at));
        }
    }

    /// A request was answered.
    pub fn answered(&mut self, id: u64, answer: Answer, at: Micros) {
        let slack = self.limits.slack;
        let Some(life) = self.lives.get_mut(&id) else {
            return self.broken(Rule::AnsweredTwice, at, Some(id), None);
        };
        let twice = std::mem::replace(&mut life.over, true);
        let late = at > life.deadline + slack;
        let tells = matches!(life.effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. });
        let ran = answer == Answer::Refused && !tells && life.may_have_run > 0;
        if twice {
            self.broken(Rule::AnsweredTwice, at, Some(id), None);
        }
        if late && !twice {
            self.broken(Rule::Unanswered, at, Some(id), None);
        }
        if ran {
            self.broken(Rule::RefusedAfterRun, at, Some(id), None);
        }
    }

    /// A client has left before its answer; nothing is owed any more.
    pub fn left(&mut self, id: u64) {
        if let Some(life) = self.lives.get_mut(&id) {
            life.over = true;
        }
    }

    /// The time for a request's answer is over.
    pub fn overdue(&mut self, id: u64, at: Micros) {
        if self.lives.get(&id).is_some_and(|l| !l.over) {
            self.broken(Rule::Unanswered, at, Some(id), None);
            self.left(id);
        }
    }

    /// Nothing more can come of a request.
    pub fn forget(&mut self, id: u64) {
        self.lives.remove(&id);
    }

    /// A node was told where a server stands, and when it started.
    pub fn told(&mut self, node: u32, server: u32, live: bool, started: Micros, at: Micros) {
        if live {
            self.leaving.remove(&(node, server));
            self.starts.insert((node, server), started);
        } else {
            self.leaving.entry((node, server)).or_insert(at);
        }
    }

    /// Whether a node was told of that start of a server.
    pub fn knows_start(&self, node: u32, server: u32, started: Micros) -> bool {
        self.starts.get(&(node, server)).is_some_and(|&s| s >= started)
    }

    /// A cold server fell over; that part of what it was sent came from nodes told of its start.
    pub fn fell(&mut self, server: u32, told: f64, at: Micros) {
        if told >= 2.0 / 3.0 {
            self.broken(Rule::Felled, at, None, Some(server));
        }
    }
}
