//! Three nodes and two dividers. A node is killed and starts again, another one divides, a budget goes and comes back, a node
//! leaves and comes back, and one is cut off for longer than a term.
//!
//! The dividers' agreement is a log in memory: what the one that leads proposes is agreed on at once, and the other one learns of it
//! some time later. Clocks begin anywhere and are off by up to 400 millionths.

use crate::change::{Change, Form};
use crate::core::{Actor, Broken, Said, System};
use crate::Micros;
use shorepath_quota::allocator::{Allocator, Entry, ReplicatedState};
use shorepath_quota::client::{QuotaClient, Usage};
use shorepath_quota::config::{read, Per, Plan};
use shorepath_quota::messages::Message;
use shorepath_quota::{ClockSkew, NodeId, NodeIncarnation};
use std::collections::{BTreeMap, VecDeque};
use std::sync::OnceLock;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// The budgets and their wholes, the same in all files that name them.
const WHOLES: [(&str, u64); 3] = [("flight:v", 16), ("probes", 30), ("quota:a", 90)];
const NODES: usize = 3;
const DIVIDERS: usize = 2;
/// Shells look at their cores this often.
const TICK: Micros = 25 * MS;
/// A job of a budget that is counted at once lasts so long, within what the file says is the longest.
const JOB: Micros = 700 * MS;

/// Around the real cores, for tests: what a fault would make of what they hear and let be used.
pub trait Around: Default + Clone {
    /// A divider with that book hears a word; what it is told in its place.
    fn to_divider(&mut self, word: Message, _book: &ReplicatedState) -> Vec<Message> {
        vec![word]
    }

    /// A node has heard a word, at that time of its clock.
    fn at_node(&mut self, _life: NodeIncarnation, _word: &Message, _now: Micros) {}

    /// What a node uses of a budget, where the real core says so much.
    fn usable(&self, _life: NodeIncarnation, _budget: &str, real: u64, _now: Micros) -> u64 {
        real
    }
}

/// Nothing is around the cores.
impl Around for () {}

/// What happens.
#[derive(Clone, Copy, Debug)]
enum Deed {
    Kill(usize),
    Leave(usize),
    Start(usize),
    /// Nobody divides.
    Nobody,
    Leads(usize),
    /// That version's file is put into service at the dividers.
    File(u64),
    /// It is put into service at a node.
    Plan(usize, u64),
    /// A node is cut off from all dividers, or no more.
    Cut(usize, bool),
}

/// When what happens; drawn a little by the seed.
fn deeds(seed: u64) -> Vec<(Micros, Deed)> {
    let late = |k: u64| ((seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (8 * k)) % 400) as Micros * MS;
    use Deed::*;
    let mut all = vec![
        (4_500 * MS + late(0), Kill(0)),
        (5 * S + late(0), Start(0)),
        (6_500 * MS + late(1), Nobody),
        (6_700 * MS + late(1), Leads(1)),
        (7_800 * MS + late(2), File(2)),
        (8_100 * MS + late(2), Plan(0, 2)),
        (8_150 * MS + late(3), Plan(1, 2)),
        (8_300 * MS + late(4), Plan(2, 2)),
        (9_300 * MS + late(2), File(3)),
        (9_600 * MS + late(2), Plan(0, 3)),
        (9_700 * MS + late(5), Plan(1, 3)),
        (9_900 * MS + late(1), Plan(2, 3)),
        (11_500 * MS + late(3), Leave(2)),
        (12_300 * MS + late(4), Start(2)),
        (13_300 * MS + late(5), Cut(1, true)),
        (15_900 * MS, Cut(1, false)),
    ];
    all.sort_by_key(|d| d.0);
    all
}

/// The file of a version, read once: one names no `probes`, which the next names again.
fn plan(version: u64) -> &'static Plan {
    static PLANS: OnceLock<[Plan; 3]> = OnceLock::new();
    let [first, second, third] = PLANS.get_or_init(|| [1, 2, 3].map(written));
    match version {
        1 => first,
        2 => second,
        _ => third,
    }
}

fn written(version: u64) -> Plan {
    let probes = if version == 2 { "" } else { "(budget probes (whole 30) (reserve 1))" };
    let text = format!(
        "(budgets (version {version}) (term 2 s) (drift-ppm 500) (divider d0 \"127.0.0.1:1\") (divider d1 \"127.0.0.1:2\")
           (node n0 \"127.0.0.1:3\") (node n1 \"127.0.0.1:4\") (node n2 \"127.0.0.1:5\")
           (budget quota:a (whole 90) (floor 2) (reserve {version}))
           (budget flight:v (per moment) (whole 16) (reserve 1) (longest 800 ms)) {probes})"
    );
    // One that can't be read has no dividers, and no run settles.
    read("b.sexp", &text).unwrap_or_default()
}

#[derive(Clone)]
struct Node {
    name: String,
    skew: ClockSkew,
    cut: bool,
    plan: u64,
    lives: u64,
    seat: Option<QuotaClient>,
    /// Attempts out: of which life, of which budget, and when they end in real time.
    jobs: Vec<(u64, &'static str, Micros)>,
    /// Askings that may be answered, and the greatest grant heard, by budget: for telling why a grant is refused.
    asked: BTreeMap<String, VecDeque<u64>>,
    heard: BTreeMap<String, (u32, u64)>,
    /// What it has said that it goes by.
    went: BTreeMap<String, (u32, u64)>,
}

#[derive(Clone)]
struct Council {
    skew: ClockSkew,
    divider: Allocator,
    /// How much of the log it has applied.
    applied: usize,
    addresses: BTreeMap<NodeIncarnation, Actor>,
    /// The greatest asking heard of a life and budget.
    asked: BTreeMap<(NodeIncarnation, String), u64>,
}

/// See [`crate::systems::budgets`].
#[derive(Clone)]
pub struct Budgets<A: Around = ()> {
    seed: u64,
    nodes: Vec<Node>,
    dividers: Vec<Council>,
    leader: Option<usize>,
    log: Vec<Entry>,
    deeds: VecDeque<(Micros, Deed)>,
    tick: Micros,
    out: Vec<Said>,
    broken: Option<Broken>,
    last: BTreeMap<&'static str, u64>,
    around: A,
}

fn life(name: &str, count: u64) -> NodeIncarnation {
    NodeIncarnation { node: NodeId::of(name), incarnation: 7_000 + count }
}

impl<A: Around> Budgets<A> {
    fn begin(&mut self, n: usize, now: Micros) {
        let seed = self.seed;
        let node = &mut self.nodes[n];
        node.lives += 1;
        let at = node.skew.at(now);
        let mut seat =
            QuotaClient::new(life(&node.name, node.lives), plan(node.plan).clone(), seed as usize + n, at);
        seat.set_owns_address(true, at);
        node.seat = Some(seat);
        node.asked.clear();
        node.heard.clear();
        node.went.clear();
    }

    /// What a node wants of a budget at that time: all want all while one is cut off, and what there is for each in the end.
    fn wants(&self, n: usize, budget: &str, now: Micros) -> u64 {
        if now > 14 * S {
            let all = now < Self::LENGTH - Self::SETTLES;
            let each = |(name, whole): &(&str, u64)| {
                (*name == budget).then_some(if all { whole * 2 } else { whole / 3 })
            };
            return WHOLES.iter().find_map(each).unwrap_or(0);
        }
        let spell = (now / (1_100 * MS)) as u64;
        let mixed = (self.seed ^ spell << 20 ^ (n as u64) << 40 ^ (budget.len() as u64) << 50)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let most = if budget == "flight:v" { 14 } else { 90 };
        (mixed >> 33) % most
    }

    /// Tell a seat what was done with its budgets, and begin what may be begun.
    fn count(&mut self, n: usize, now: Micros, span: Micros) {
        let wanted = WHOLES.map(|(budget, _)| (budget, self.wants(n, budget, now)));
        let node = &mut self.nodes[n];
        node.jobs.retain(|j| j.2 > now);
        let Some(seat) = &mut node.seat else { return };
        let (me, at) = (seat.incarnation(), node.skew.at(now));
        for (budget, wanted) in wanted {
            let Some(real) = seat.usable(budget, at) else { continue };
            let usable = self.around.usable(me, budget, real, at);
            let moment = budget == "flight:v";
            if moment {
                let mine = node.jobs.iter().filter(|j| j.0 == node.lives).count() as u64;
                let begun = wanted.min(usable).saturating_sub(mine);
                node.jobs.extend((0..begun).map(|_| (node.lives, budget, now + JOB)));
                seat.record_usage(budget, Usage { wanted, used: mine + begun });
            } else {
                let units = |rate: u64| (rate as i64 * now / S - rate as i64 * (now - span) / S) as u64;
                seat.record_usage(budget, Usage { wanted: units(wanted), used: units(wanted.min(usable)) });
            }
        }
    }

    fn speak(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let Some(seat) = &mut node.seat else { return };
        for say in seat.take_outgoing() {
            if let Message::Ask { claims, .. } = &say.message {
                for c in claims {
                    let asked = node.asked.entry(c.budget.clone()).or_default();
                    asked.push_back(c.request_number);
                    if asked.len() > 8 {
                        asked.pop_front();
                    }
                    let went = node.went.entry(c.budget.clone()).or_default();
                    if went.0 == c.in_force.0 && c.in_force.1 < went.1 {
                        let story = format!(
                            "{} went by {went:?} of {} and then {:?}",
                            node.name, c.budget, c.in_force
                        );
                        self.broken.get_or_insert(Broken::new("numbers never go back", story));
                    }
                    *went = if c.in_force.1 > 0 { c.in_force } else { *went };
                }
            }
            if say.to < DIVIDERS {
                self.out.push(Said { from: n, to: NODES + say.to, bytes: say.message.bytes() });
            }
        }
    }

    /// Let a divider know of all that was agreed on.
    fn learn(&mut self, d: usize, now: Micros) {
        let council = &mut self.dividers[d];
        let at = council.skew.at(now);
        for entry in self.log.iter().skip(council.applied) {
            council.divider.apply(entry, at);
        }
        council.applied = self.log.len();
    }

    fn divide(&mut self, d: usize, now: Micros) {
        let at = self.dividers[d].skew.at(now);
        let Some(entry) = self.dividers[d].divider.propose(at) else { return };
        self.log.push(entry.clone());
        let council = &mut self.dividers[d];
        let changed = council.divider.apply(&entry, at);
        council.applied = self.log.len();
        let says = council.divider.complete_proposal(&entry, changed, at);
        for say in says {
            if let Some(to) = council.addresses.get(&say.to) {
                self.out.push(Said { from: NODES + d, to: *to, bytes: say.message.bytes() });
            }
        }
        for (budget, _) in WHOLES {
            let number = council.divider.state().ledger(budget).map_or(0, |l| l.last_number());
            let last = self.last.entry(budget).or_default();
            if number < *last {
                let story = format!("{budget} after {last} has {number}");
                self.broken.get_or_insert(Broken::new("numbers never go back", story));
            }
            *last = number;
        }
    }

    fn act(&mut self, deed: Deed, now: Micros) {
        match deed {
            Deed::Kill(n) => self.nodes[n].seat = None,
            Deed::Leave(n) => {
                self.count(n, now, 0);
                let at = self.nodes[n].skew.at(now);
                self.nodes[n].seat.iter_mut().for_each(|s| s.leave(at));
                self.speak(n);
                self.nodes[n].seat = None;
                // The members' words are not played here; the divider that leads learns of it so.
                let node = NodeId::of(&self.nodes[n].name);
                self.leader.into_iter().for_each(|d| self.dividers[d].divider.remove_node(node));
            }
            Deed::Start(n) => self.begin(n, now),
            Deed::Nobody => {
                self.leader.take().into_iter().for_each(|d| self.dividers[d].divider.set_leader(false));
            }
            Deed::Leads(d) => {
                self.learn(d, now);
                self.dividers[d].divider.set_leader(true);
                self.leader = Some(d);
            }
            Deed::File(version) => {
                for council in &mut self.dividers {
                    council.divider.set_plan(plan(version).clone());
                }
            }
            Deed::Cut(n, cut) => self.nodes[n].cut = cut,
            Deed::Plan(n, version) => {
                self.count(n, now, 0);
                let node = &mut self.nodes[n];
                node.plan = version;
                let at = node.skew.at(now);
                node.seat.iter_mut().for_each(|s| s.replan(plan(version).clone(), at));
                self.speak(n);
            }
        }
    }

    fn hear_at_node(&mut self, now: Micros, from: Actor, to: usize, bytes: &[u8]) -> Result<(), String> {
        let place = from.checked_sub(NODES).filter(|d| *d < DIVIDERS).ok_or("no divider")?;
        let word = Message::read(bytes).map_err(|_| "no word")?;
        self.count(to, now, 0);
        let node = &mut self.nodes[to];
        let at = node.skew.at(now);
        let Some(seat) = &mut node.seat else { return Err("nobody is there".into()) };
        let refused = match &word {
            Message::Grants { holder: life, .. } | Message::AskAgain { holder: life }
                if *life != seat.incarnation() =>
            {
                Some("another life's")
            }
            Message::Ask { .. } | Message::Acknowledge { .. } | Message::Returns { .. } => {
                Some("no word for a node")
            }
            Message::NotLeader { leader } => {
                let known =
                    leader.as_ref().is_none_or(|l| seat.plan().allocators.iter().any(|d| d.name == *l));
                (!known).then_some("no divider of the file")
            }
            Message::Grants { grants, .. } => {
                let mut whys = grants.iter().map(|g| {
                    let asked = node.asked.get(&g.budget).is_some_and(|a| a.contains(&g.answers));
                    let before = node.heard.get(&g.budget).copied().unwrap_or_default();
                    let older = before.0 == g.epoch && g.number <= before.1;
                    let other = before.0 != 0 && before.0 != g.epoch;
                    match (seat.usable(&g.budget, at), asked, older, other) {
                        (None, ..) => Some("no budget of the file"),
                        (_, false, ..) => Some("answers nothing asked"),
                        (_, _, true, _) => Some("no newer number"),
                        (_, _, _, true) => Some("another fleet's"),
                        _ => None,
                    }
                });
                let first = whys.next().flatten();
                let taken = whys.any(|w| w.is_none());
                for g in grants.iter().filter(|_| first.is_none()) {
                    let before = node.heard.entry(g.budget.clone()).or_default();
                    *before = (*before).max((g.epoch, g.number));
                }
                first.filter(|_| !taken)
            }
            Message::AskAgain { .. } => None,
        };
        self.around.at_node(seat.incarnation(), &word, at);
        seat.receive(place, &word, at);
        self.count(to, now, 0);
        self.speak(to);
        refused.map_or(Ok(()), |why| Err(why.into()))
    }

    fn hear_at_divider(&mut self, now: Micros, from: Actor, d: usize, bytes: &[u8]) -> Result<(), String> {
        let word = Message::read(bytes).map_err(|_| "no word")?;
        let council = &mut self.dividers[d];
        let at = council.skew.at(now);
        let leads = council.divider.is_leader();
        if let Message::Ask { holder: life, .. } = &word {
            if !leads {
                let leader = self.leader.map(|l| format!("d{l}"));
                self.out.push(Said {
                    from: NODES + d,
                    to: from,
                    bytes: Message::NotLeader { leader }.bytes(),
                });
                return Err("does not lead".into());
            }
            council.addresses.insert(*life, from);
        }
        let book = council.divider.state();
        let unknown = |life: &NodeIncarnation, by: &[(String, u32, u64)]| {
            let held = |(b, _, n): &(String, u32, u64)| {
                book.ledger(b).is_some_and(|l| l.newest_number(*life) >= *n && *n > 0)
            };
            !by.iter().any(held)
        };
        let refused = match &word {
            _ if !leads => Some("does not lead"),
            Message::Ask { holder: life, .. }
                if book.plan().is_none_or(|p| p.name_of(life.node).is_none()) =>
            {
                Some("no node of the file")
            }
            Message::Ask { holder: life, claims, .. } => {
                let mut news = claims.is_empty();
                for c in claims {
                    let asked = council.asked.entry((*life, c.budget.clone())).or_default();
                    news |= c.request_number > *asked;
                    *asked = (*asked).max(c.request_number);
                }
                (!news).then_some("no newer asking")
            }
            Message::Acknowledge { holder: life, grants: by } => unknown(life, by).then_some("no such grant"),
            Message::Returns { holder: life, grants: of } => unknown(life, of).then_some("no such grant"),
            _ => Some("no word for a divider"),
        };
        for word in self.around.to_divider(word, council.divider.state()) {
            council.divider.receive(&word, at);
        }
        refused.map_or(Ok(()), |why| Err(why.into()))
    }
}

impl<A: Around> System for Budgets<A> {
    const NAME: &'static str = "budgets";
    const FORM: Form = Form::Json("w");
    const LENGTH: Micros = 20 * S;
    const SETTLES: Micros = 4 * S;
    const LATE: [Micros; 3] = [700 * MS, 2_500 * MS, 6 * S];

    const FORKS: bool = true;

    fn fork(&self) -> Option<Self> {
        Some(self.clone())
    }

    fn start(seed: u64) -> Self {
        let skew = |k: u64| {
            let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(7 * k as u32);
            ClockSkew {
                offset: (mixed % 1_000) as i64 * S + 5 * S,
                drift_ppm: (mixed >> 32) as i64 % 801 - 400,
            }
        };
        let node = |n: usize| Node {
            name: format!("n{n}"),
            skew: skew(n as u64),
            cut: false,
            plan: 1,
            lives: 0,
            seat: None,
            jobs: Vec::new(),
            asked: BTreeMap::new(),
            heard: BTreeMap::new(),
            went: BTreeMap::new(),
        };
        let council = |d: usize| Council {
            skew: skew(5 + d as u64),
            divider: Allocator::new(&format!("d{d}"), plan(1).clone(), 40 + d as u32),
            applied: 0,
            addresses: BTreeMap::new(),
            asked: BTreeMap::new(),
        };
        let mut system = Budgets {
            seed,
            nodes: (0..NODES).map(node).collect(),
            dividers: (0..DIVIDERS).map(council).collect(),
            leader: Some(0),
            log: Vec::new(),
            deeds: deeds(seed).into(),
            tick: 0,
            out: Vec::new(),
            broken: None,
            last: BTreeMap::new(),
            around: A::default(),
        };
        system.dividers[0].divider.set_leader(true);
        (0..NODES).for_each(|n| system.begin(n, 0));
        system
    }

    fn actors(&self) -> usize {
        NODES + DIVIDERS
    }

    fn life(&self, actor: Actor) -> u64 {
        match self.nodes.get(actor) {
            Some(node) => node.seat.as_ref().map_or(0, |s| s.incarnation().incarnation),
            None => 901 + actor as u64,
        }
    }

    fn hear(&mut self, now: Micros, from: Actor, to: Actor, bytes: &[u8]) -> Result<(), String> {
        match to.checked_sub(NODES) {
            None => self.hear_at_node(now, from, to, bytes),
            Some(d) if d < DIVIDERS => self.hear_at_divider(now, from, d, bytes),
            Some(_) => Err("nobody is there".into()),
        }
    }

    fn due(&self, _: Micros) -> Micros {
        self.deeds.front().map_or(self.tick, |d| d.0.min(self.tick))
    }

    fn pass(&mut self, now: Micros) {
        while let Some((_, deed)) = self.deeds.front().copied().filter(|d| d.0 <= now) {
            self.deeds.pop_front();
            self.act(deed, now);
        }
        if now < self.tick {
            return;
        }
        self.tick = now + TICK;
        for n in 0..NODES {
            self.count(n, now, TICK);
            let at = self.nodes[n].skew.at(now);
            self.nodes[n].seat.iter_mut().for_each(|s| s.pass(at));
            self.speak(n);
        }
        if let Some(d) = self.leader {
            self.divide(d, now);
        }
        // The one that doesn't lead is behind by a tick.
        for d in (0..DIVIDERS).filter(|d| Some(*d) != self.leader).collect::<Vec<_>>() {
            self.learn(d, now);
        }
    }

    fn says(&mut self) -> Vec<Said> {
        let cut = |a: usize| self.nodes.get(a).is_some_and(|n| n.cut);
        let all = std::mem::take(&mut self.out);
        all.into_iter().filter(|s| !cut(s.from) && !cut(s.to)).collect()
    }

    fn invariants(&self, now: Micros) -> Result<(), Broken> {
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        for (budget, whole) in WHOLES {
            let mut parts = [0; NODES];
            for (part, node) in parts.iter_mut().zip(&self.nodes) {
                let out = |mine: bool| {
                    let of =
                        |j: &&(u64, &str, Micros)| j.1 == budget && j.2 > now && (j.0 == node.lives) == mine;
                    node.jobs.iter().filter(of).count() as u64
                };
                let at = node.skew.at(now);
                let usable = node.seat.as_ref().and_then(|s| {
                    let real = s.usable(budget, at)?;
                    Some(self.around.usable(s.incarnation(), budget, real, at))
                });
                // What a life that is over has begun is out until it ends.
                *part = usable.unwrap_or(0).max(out(true)).saturating_add(out(false));
            }
            let sum = parts.iter().fold(0u64, |sum, p| sum.saturating_add(*p));
            if sum > whole {
                let story = format!("{budget}: {parts:?} may be used of {whole}");
                return Err(Broken::new("never above the whole", story));
            }
        }
        Ok(())
    }

    fn settled(&self, now: Micros) -> Result<(), Broken> {
        for budget in &plan(3).budgets {
            let mut sum = 0;
            for node in &self.nodes {
                let at = node.skew.at(now);
                let Some(seat) = node.seat.as_ref().filter(|s| s.is_granted(&budget.name, at)) else {
                    let story = format!("{} has no grant of {}", node.name, budget.name);
                    return Err(Broken::new("all is granted again", story));
                };
                sum += seat.usable(&budget.name, at).unwrap_or(0);
            }
            // Where all want much, no more is held back than by bands and turns.
            let least = if matches!(budget.per, Per::Moment { .. }) {
                budget.total / 2
            } else {
                budget.total * 3 / 4
            };
            if sum < least {
                let story = format!("{}: {sum} of {} are granted", budget.name, budget.total);
                return Err(Broken::new("all is granted again", story));
            }
        }
        Ok(())
    }

    fn excuse(word: &[u8], change: &Change, broken: &Broken) -> Option<&'static str> {
        let tag = serde_json::from_slice::<serde_json::Value>(word).ok()?.get("w")?.as_str()?.to_string();
        match (tag.as_str(), change.field().as_str(), broken.rule) {
            ("grants", "g.m", _) => Some("how much is granted only the word says"),
            ("grants", "g.l", "never above the whole") => {
                Some("for how long it is granted only the word says")
            }
            ("grants", "g.n", "never above the whole") => {
                Some("the node says that it goes by another grant than it does")
            }
            ("grants", "g.n", "all is granted again") => {
                Some("nothing that is granted later has a greater number")
            }
            ("ask", "c.a", "never above the whole") | ("grants", "g.a", "never above the whole") => {
                Some("a grant is counted from the asking that it names")
            }
            ("grants", "plan", "never above the whole") => {
                Some("which reserves are counted only the word says")
            }
            ("ask", "plan", "never above the whole") => Some("which file a node goes by only the word says"),
            ("ask", "c.a", "all is granted again") => {
                Some("all that this life asks later is taken for older")
            }
            _ => None,
        }
    }
}
