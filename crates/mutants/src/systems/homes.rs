//! Three sites of two nodes lease ranges of keys from one divider, and place keys that must not repeat.
//!
//! A node of the third site is killed and starts again with its disk, while its mate has its range; the first site is cut off for longer
//! than its leases, its ranges are adopted and given back. Clients ask for each key at any node, over and over, also where it was placed.
//! Clocks begin anywhere and are off by up to 400 millionths. The divider's agreement is a log in memory.

use crate::change::{Change, Form};
use crate::core::{Actor, Broken};
use crate::troupe::{word, Deed, Part, Script};
use crate::Micros;
use serde::{Deserialize, Serialize};
use shorepath_placements::anti_entropy::{Exchange, Message as Pieces, Settings};
use shorepath_placements::hash_chain::{encode, next_digest, origin, Piece, Point};
use shorepath_placements::history::History;
use shorepath_placements::idempotency_index::{IdempotencyIndex, KeyState};
use shorepath_placements::{End, Entry, Placement, Timed, Writer};
use shorepath_quota::allocator::Allocator;
use shorepath_quota::client::{QuotaClient, Usage};
use shorepath_quota::config::{self as budgets, Plan as Budgets};
use shorepath_quota::messages::Message as Grants;
use shorepath_quota::{ClockSkew, NodeId, NodeIncarnation};
use shorepath_sites::catch_up::{self, CatchUp};
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::health::{Message as Sees, SiteHealth};
use shorepath_sites::key_ownership::{AbsentMembers, Fence, KeyOwnership, PersistedOwnership, Proof};
use shorepath_sites::peer_selection::selected_peers;
use shorepath_sites::SiteState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::OnceLock;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const NODES: usize = 6;
const DIVIDER: Actor = NODES;
const TICK: Micros = 50 * MS;
/// Clients ask each node for something every so many ticks.
const ASKS: u64 = 3;
/// Keys, each asked for from some time on.
const KEYS: u64 = 64;
const FIRST_ASKED: Micros = 140 * MS;
const CLASS: &str = "valve";
const SETTINGS: Settings = Settings {
    bytes_per_second: 200_000,
    window_bytes: 16 << 10,
    resend_after: 500 * MS,
    full_summary_interval: 800 * MS,
    summary_delay: 100 * MS,
};
/// The cut, and when all others know that the killed node is gone, and back.
const CUT: [Micros; 2] = [5 * S, 7_600 * MS];

/// A fault that is put into each node.
pub mod fault {
    /// None.
    pub const NONE: u8 = 0;
    /// A lease counts from the grant's arrival.
    pub const FROM_ARRIVAL: u8 = 1;
    /// An answer that comes twice stands for all that have not answered.
    pub const TOLD_TWICE: u8 = 2;
}

fn plan() -> &'static SitesConfig {
    static PLAN: OnceLock<SitesConfig> = OnceLock::new();
    PLAN.get_or_init(|| {
        let mut text = String::from(
            "(sites (fleet \"f\") (key \"k\") (confirm 300 ms) (alone 600 ms) (hold 600 ms) (home valve)",
        );
        for s in 0..NODES / 2 {
            let node = |n: usize| format!("(node s{s}n{n} \"10.0.{s}.{}:1\")", n + 1);
            text += &format!("(site s{s} (bears 100){}{})", node(0), node(1));
        }
        // One that can't be read has no nodes, and no run settles.
        read("s.sexp", &(text + ")")).unwrap_or_default()
    })
}

fn divided() -> &'static Budgets {
    static PLAN: OnceLock<Budgets> = OnceLock::new();
    PLAN.get_or_init(|| {
        let mut text = String::from("(budgets (term 1 s) (drift-ppm 500) (divider d0 \"127.0.0.1:1\")");
        for (place, (site, node)) in plan().nodes().enumerate() {
            text += &format!(
                "(node {} \"127.0.0.1:{}\")(budget home:{}/{} (per moment) (whole 1) (longest 100 ms))",
                node.name,
                place + 2,
                site.name,
                node.name
            );
        }
        budgets::read("b.sexp", &(text + ")")).unwrap_or_default()
    })
}

fn number(actor: Actor) -> u32 {
    plan().nodes().nth(actor).map_or(0, |(_, n)| n.number)
}

fn place(number: u32) -> Option<Actor> {
    plan().nodes().position(|(_, n)| n.number == number)
}

fn mixed(seed: u64, of: u64) -> u64 {
    let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ of.wrapping_mul(0xd6e8_feb8_6659_fd93);
    (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 20
}

fn skew(seed: u64, actor: Actor) -> ClockSkew {
    let drawn = mixed(seed, 7_000 + actor as u64);
    ClockSkew { offset: (drawn % 1_000) as i64 * S + 5 * S, drift_ppm: (drawn >> 12) as i64 % 801 - 400 }
}

/// A word between two nodes; those of divider and nodes are the budgets' own.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "w")]
enum Wire {
    Sees {
        #[serde(rename = "of")]
        word: Sees,
    },
    Home {
        #[serde(rename = "of")]
        word: catch_up::Message,
    },
    /// A word of the exchange of histories, in hexadecimal figures.
    Log { x: String },
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let figure = |c: &u8| char::from(*c).to_digit(16).map(|d| d as u8);
    text.as_bytes().chunks(2).map(|c| Some(figure(c.first()?)? << 4 | figure(c.get(1)?)?)).collect()
}

/// One life of a node.
#[derive(Clone, Debug)]
pub struct Node<const FAULT: u8> {
    seed: u64,
    me: usize,
    skew: ClockSkew,
    seat: QuotaClient,
    homes: KeyOwnership,
    proving: CatchUp,
    seeing: SiteHealth,
    wanted: BTreeSet<String>,
    gone: BTreeMap<u32, Micros>,
    history: History,
    keys: IdempotencyIndex,
    exchanges: Vec<(Actor, Exchange)>,
    writer: Writer,
    head: Point,
    kept: PersistedOwnership,
    next: Micros,
    ticks: u64,
    /// Placed on the disk in this tick: the key, its number and its fence.
    placed: Vec<(u64, u64, Fence)>,
    /// Sent, by number, with when.
    out: Vec<(u64, Micros)>,
    /// Keys that were sent here, by whichever life, as bits; and that one was twice.
    sent: u64,
    says: Vec<(Actor, Vec<u8>)>,
    /// By a fault: grants that came last, with when.
    arrived: BTreeMap<String, (u64, Micros)>,
    came: BTreeSet<(Actor, Vec<u8>)>,
    broken: Option<Broken>,
}

impl<const FAULT: u8> Node<FAULT> {
    fn at(&self, now: Micros) -> Micros {
        self.skew.at(now)
    }

    fn breaks(&mut self, rule: &'static str, story: String) {
        self.broken.get_or_insert(Broken::new(rule, story));
    }

    fn wake(&mut self, life: u64, now: Micros) {
        let (seed, me, at) = (self.seed, self.me, self.skew.at(now));
        let named = NodeIncarnation { node: NodeId(number(me)), incarnation: Homed::<FAULT>::name(life) };
        self.seat = QuotaClient::new(named, divided().clone(), 0, at);
        self.seat.set_owns_address(true, at);
        self.homes = KeyOwnership::new(number(me), plan(), &self.kept);
        self.proving = CatchUp::default();
        let seeing = SiteHealth::new(number(me), plan(), seed ^ (me as u64) << 16 ^ life << 32, at);
        // Where the file doesn't name it, nobody settles.
        self.seeing = seeing.unwrap_or_else(|e| unreachable!("{e}"));
        let others = selected_peers(plan(), number(me)).into_iter().filter_map(place);
        self.exchanges =
            others.map(|o| (o, Exchange::new(SETTINGS, Homed::<FAULT>::name(life), at))).collect();
        (self.next, self.ticks) = (now, 0);
        self.wanted.clear();
        self.gone.clear();
        self.placed.clear();
        self.out.clear();
        self.arrived.clear();
    }

    /// What the seat goes by may have changed, as the node's shell does it.
    fn leased(&mut self, now: Micros) {
        for budget in &self.seat.plan().budgets {
            let name = &budget.name;
            let mut lease = self.seat.lease(name, now).filter(|_| self.wanted.contains(name));
            let term = self.seat.plan().lease_period(budget);
            if FAULT == fault::FROM_ARRIVAL {
                let arrived = self.arrived.get(name).copied();
                if let (Some((grant, _)), Some((_, at))) =
                    (lease, arrived.filter(|(n, _)| Some(*n) == lease.map(|l| l.0.number)))
                {
                    lease = Some((grant, at));
                }
                if lease.is_none() && arrived.is_some_and(|(_, at)| now < at + term.for_holder()) {
                    continue;
                }
            }
            match lease {
                Some((grant, asked)) => drop(self.homes.apply_grant(name, &grant, asked, term, now)),
                None => self.homes.lease_ended(name),
            }
        }
    }

    fn count(&mut self) {
        for budget in &divided().budgets {
            let wanted = u64::from(self.wanted.contains(&budget.name));
            self.seat.record_usage(&budget.name, Usage { wanted, used: 0 });
        }
    }

    fn say(&mut self, to: Actor, wire: &Wire) {
        if let Ok(bytes) = serde_json::to_vec(wire) {
            self.says.push((to, bytes));
        }
    }

    /// Hand on what the cores have said.
    fn speak(&mut self) {
        let grants = self.seat.take_outgoing().into_iter().map(|s| (DIVIDER, s.message.bytes()));
        self.says.extend(grants.collect::<Vec<_>>());
        for (to, word) in self.seeing.take_outgoing() {
            if let Some(to) = place(to) {
                self.say(to, &Wire::Sees { word });
            }
        }
        let words =
            self.exchanges.iter_mut().flat_map(|(o, e)| e.take_outgoing().into_iter().map(|w| (*o, w)));
        for (to, word) in words.collect::<Vec<_>>() {
            self.say(to, &Wire::Log { x: hex(&word.encode()) });
        }
    }

    /// Claim ranges and prove what was placed in them, as the node's shell does it.
    fn claim(&mut self, now: Micros) {
        if self.seeing.all_nodes_use_config() {
            self.homes.mark_settled();
        }
        let sites = self.seeing.states().into_iter().map(|(site, seen, since)| (site, (seen, since)));
        let gone = AbsentMembers { sites: sites.collect(), nodes: self.gone.clone() };
        let claims: BTreeSet<String> = self.homes.claims(plan(), &gone, now).into_iter().collect();
        let homes = &mut self.homes;
        self.wanted.difference(&claims).for_each(|budget| homes.lease_ended(budget));
        self.wanted = claims;
        let unproven = self.homes.unproven(now);
        let own = (number(self.me), (self.writer.log, self.head.0));
        let (says, proved) = self.proving.tick(plan(), own, &unproven, &self.history, now);
        proved.iter().for_each(|(home, fence)| self.homes.mark_proved(home, *fence));
        for (to, word) in says {
            if let Some(to) = place(to) {
                self.say(to, &Wire::Home { word });
            }
        }
        self.kept = self.homes.persisted();
    }

    fn write(&mut self, now: Micros, entry: Entry) -> u64 {
        let Ok(bytes) = encode(&Timed { at: now, entry: entry.clone() }) else { return 0 };
        let ((after, before), writer) = (self.head, self.writer.clone());
        self.head = (after + 1, next_digest(&before, &bytes));
        let piece = Piece { writer, after, before, entries: vec![bytes], head: self.head.1 };
        if let Err(e) = self.history.insert(&piece) {
            self.breaks("one's own log goes on", e.to_string());
        }
        self.keys.apply_entry(&self.writer, self.head.0, &entry);
        self.exchanges.iter_mut().for_each(|(_, e)| e.note_update(&self.writer));
        self.head.0
    }

    /// What was placed is on the disk by now: send it, if that may be. What was sent ends some time later.
    fn send(&mut self, now: Micros) {
        for (key, of, fence) in std::mem::take(&mut self.placed) {
            if !self.homes.is_still_held(&format!("k{key}"), fence, now) {
                self.write(now, Entry::Ended { of, how: End::NeverRan });
                continue;
            }
            if self.sent >> key & 1 == 1 {
                self.breaks("a key is placed once", format!("k{key} twice at {}", self.me));
            }
            self.sent |= 1 << key;
            self.out.push((of, now));
        }
        let (over, out) = self.out.iter().partition(|(_, at)| now - at > 300 * MS);
        self.out = out;
        let over: Vec<(u64, Micros)> = over;
        for (of, _) in over {
            let how = if of.is_multiple_of(5) { End::Unknown } else { End::Served };
            self.write(now, Entry::Ended { of, how });
        }
    }

    /// A client asks for a key.
    fn ask(&mut self, key: u64, now: Micros) {
        let name = format!("k{key}");
        if self.keys.state(CLASS, &name) != KeyState::Free {
            return;
        }
        // A range is proved as a whole.
        let Ok(fence) = self.homes.may_place(&name, now, |_| Proof::Unknown) else { return };
        let placement = Placement {
            key: Some(name),
            class: CLASS.to_string(),
            guarded: true,
            tenant: None,
            server: "s1".to_string(),
            standing: 0,
            taken: now,
            on_credit: false,
            list: 1,
            fence: fence.as_u64(),
        };
        let of = self.write(now, Entry::Placed(placement));
        self.placed.push((key, of, fence));
    }

    fn hear_proof(&mut self, from: Actor, bytes: &[u8], word: catch_up::Message) -> Result<(), String> {
        match word {
            catch_up::Message::Ask { home, fence } => {
                let (log, last) = (self.writer.log, self.head.0);
                let (site, node) = (&self.writer.site, &self.writer.node);
                if !catch_up::has_complete_log(&self.history, site, node, (log, 0)) {
                    return Err("its disk is not whole".into());
                }
                self.say(from, &Wire::Home { word: catch_up::Message::Reply { home, fence, log, last } });
            }
            catch_up::Message::Reply { home, fence, log, last } => {
                let twice = !self.came.insert((from, bytes.to_vec()));
                self.proving.record_reply(number(from), &home, fence, log, last);
                if FAULT == fault::TOLD_TWICE && twice {
                    for (site, node) in plan().nodes().filter(|(_, n)| n.number != number(from)) {
                        let mine = |w: &&Writer| w.site == site.name && w.node == node.name;
                        let log = self.history.writers().find(mine).cloned();
                        let last = log.iter().flat_map(|w| self.history.heads(w)).map(|p| p.0).max();
                        let log = log.map_or(0, |w| w.log);
                        self.proving.record_reply(node.number, &home, fence, log, last.unwrap_or(0));
                    }
                }
            }
        }
        Ok(())
    }

    fn hear_pieces(&mut self, from: Actor, text: &str, now: Micros) -> Result<(), String> {
        let word = unhex(text).and_then(|bytes| Pieces::decode(&bytes).ok()).ok_or("no piece")?;
        let found = self.exchanges.iter_mut().find(|(o, _)| *o == from);
        let (_, exchange) = found.ok_or("no partner")?;
        let heard = exchange.receive(&mut self.history, word, now).map_err(|_| "not to be taken")?;
        for piece in &heard.pieces {
            for (number, bytes) in (piece.after + 1..).zip(&piece.entries) {
                if let Ok(timed) = shorepath_placements::hash_chain::decode(number, bytes) {
                    self.keys.apply_entry(&piece.writer, number, &timed.entry);
                }
            }
            let others = self.exchanges.iter_mut().filter(|(o, _)| *o != from);
            others.for_each(|(_, e)| e.note_update(&piece.writer));
        }
        Ok(())
    }

    fn hear_grants(&mut self, bytes: &[u8], now: Micros) -> Result<(), String> {
        let word = Grants::read(bytes).map_err(|_| "no word")?;
        self.count();
        if let Grants::Grants { holder: life, grants, .. } = &word {
            if *life != self.seat.incarnation() {
                return Err("another life's".into());
            }
            for g in grants {
                let last = self.arrived.entry(g.budget.clone()).or_insert((0, now));
                *last = if g.number > last.0 { (g.number, now) } else { *last };
            }
        }
        let heard = self.seat.receive(0, &word, now);
        // Before anything is said of it.
        self.leased(now);
        if heard {
            Ok(())
        } else {
            Err("nothing new".into())
        }
    }

    /// Ranges that it may place keys of now, as bits.
    fn holds(&self, now: Micros) -> u64 {
        let bit =
            |home: &str| divided().budgets.iter().position(|b| b.name.strip_prefix("home:") == Some(home));
        self.homes.held(self.at(now)).iter().filter_map(|h| bit(h.0)).fold(0, |bits, b| bits | 1 << b)
    }
}

/// The one divider.
#[derive(Clone, Debug)]
pub struct Council {
    skew: ClockSkew,
    divider: Allocator,
    addresses: BTreeMap<NodeIncarnation, Actor>,
    next: Micros,
    says: Vec<(Actor, Vec<u8>)>,
}

/// Who plays.
#[derive(Clone, Debug)]
#[allow(clippy::large_enum_variant)]
pub enum Player<const FAULT: u8> {
    /// A node.
    Node(Node<FAULT>),
    /// The divider.
    Council(Council),
}

impl<const FAULT: u8> Part for Player<FAULT> {
    fn hear(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        match self {
            Player::Node(node) => {
                let at = node.at(now);
                let heard = match from {
                    DIVIDER => node.hear_grants(bytes, at),
                    _ => match word(bytes)? {
                        Wire::Sees { word } => {
                            let heard = node.seeing.receive(number(from), &word, at);
                            heard.map_err(|e| e.to_string().chars().filter(|c| !c.is_ascii_digit()).collect())
                        }
                        Wire::Home { word } => node.hear_proof(from, bytes, word),
                        Wire::Log { x } => node.hear_pieces(from, &x, at),
                    },
                };
                node.speak();
                heard
            }
            Player::Council(council) => {
                let at = council.skew.at(now);
                let word = Grants::read(bytes).map_err(|_| "no word")?;
                if let Grants::Ask { holder: life, .. } = &word {
                    council.addresses.insert(*life, from);
                }
                council.divider.receive(&word, at);
                Ok(())
            }
        }
    }

    fn pass(&mut self, now: Micros) {
        match self {
            Player::Node(node) => {
                let at = node.at(now);
                for (o, exchange) in &mut node.exchanges {
                    exchange.poll(&node.history, at, mixed(now as u64, *o as u64));
                }
                if now >= node.next {
                    (node.next, node.ticks) = (now + TICK, node.ticks + 1);
                    node.seeing.tick(at);
                    for (site, seen, since) in node.seeing.states() {
                        if seen == SiteState::Returning && at - since >= 200 * MS {
                            node.seeing.mark_recovered(&site, at);
                        }
                    }
                    node.seeing.take_changes();
                    node.count();
                    node.seat.pass(at);
                    node.leased(at);
                    node.claim(at);
                    node.send(at);
                    if node.ticks.is_multiple_of(ASKS) {
                        let newest = (now / FIRST_ASKED) as u64;
                        let any = mixed(node.seed, (node.me as u64) << 32 | now as u64) % (newest + 1);
                        for key in [newest, any].into_iter().filter(|k| *k < KEYS) {
                            node.ask(key, at);
                        }
                    }
                }
                node.speak();
            }
            Player::Council(council) => {
                let at = council.skew.at(now);
                council.next = now + TICK / 2;
                let Some(entry) = council.divider.propose(at) else { return };
                let changed = council.divider.apply(&entry, at);
                for say in council.divider.complete_proposal(&entry, changed, at) {
                    if let Some(to) = council.addresses.get(&say.to) {
                        council.says.push((*to, say.message.bytes()));
                    }
                }
            }
        }
    }

    fn due(&self) -> Option<Micros> {
        Some(match self {
            // Exchanges are looked at as time passes, by a clock of their own.
            Player::Node(node) => node.next,
            Player::Council(council) => council.next,
        })
    }

    fn says(&mut self) -> Vec<(Actor, Vec<u8>)> {
        match self {
            Player::Node(node) => std::mem::take(&mut node.says),
            Player::Council(council) => std::mem::take(&mut council.says),
        }
    }

    /// The fleet's members take a node for gone, or hear it again.
    fn does(&mut self, now: Micros, what: u32) {
        let Player::Node(node) = self else { return };
        let (gone, at) = (number(what as usize / 2), node.at(now));
        if what.is_multiple_of(2) {
            node.gone.insert(gone, at);
        } else {
            node.gone.remove(&gone);
        }
    }

    fn copy(&self) -> Option<Self> {
        Some(self.clone())
    }
}

/// See [`crate::systems::homes`].
#[derive(Debug)]
pub struct Homed<const FAULT: u8 = 0>;

fn nodes<const FAULT: u8>(parts: &[Option<Player<FAULT>>]) -> impl Iterator<Item = &Node<FAULT>> {
    parts.iter().flatten().filter_map(|p| match p {
        Player::Node(node) => Some(node),
        Player::Council(_) => None,
    })
}

impl<const FAULT: u8> Script for Homed<FAULT> {
    type Part = Player<FAULT>;
    const NAME: &'static str = "homes";
    const FORM: Form = Form::Json("w");
    const LENGTH: Micros = 11 * S;
    const LATE: [Micros; 3] = [700 * MS, 1_500 * MS, 4 * S];
    const SETTLES: Micros = 2_500 * MS;
    const FORKS: bool = true;
    const ACTORS: usize = NODES + 1;

    fn start(seed: u64, actor: Actor, life: u64, now: Micros) -> Self::Part {
        let skew = skew(seed, actor);
        if actor == DIVIDER {
            let mut divider = Allocator::new("d0", divided().clone(), 40);
            divider.set_leader(true);
            let (addresses, says) = (BTreeMap::new(), Vec::new());
            return Player::Council(Council { skew, divider, addresses, next: now, says });
        }
        let name = |of: Option<&str>| of.unwrap_or_default().to_string();
        let here = plan().nodes().nth(actor);
        let writer = Writer {
            site: name(here.map(|(s, _)| s.name.as_str())),
            node: name(here.map(|(_, n)| n.name.as_str())),
            log: seed << 8 | actor as u64 | 1 << 40,
        };
        let me = NodeIncarnation { node: NodeId(number(actor)), incarnation: 0 };
        let mut node = Node {
            seed,
            me: actor,
            skew,
            seat: QuotaClient::new(me, divided().clone(), 0, 0),
            homes: KeyOwnership::new(number(actor), plan(), &PersistedOwnership::default()),
            proving: CatchUp::default(),
            seeing: SiteHealth::new(number(actor), plan(), 0, 0).unwrap_or_else(|e| unreachable!("{e}")),
            wanted: BTreeSet::new(),
            gone: BTreeMap::new(),
            history: History::new(),
            keys: IdempotencyIndex::default(),
            exchanges: Vec::new(),
            head: origin(&writer),
            writer,
            kept: PersistedOwnership::default(),
            next: now,
            ticks: 0,
            placed: Vec::new(),
            out: Vec::new(),
            sent: 0,
            says: Vec::new(),
            arrived: BTreeMap::new(),
            came: BTreeSet::new(),
            broken: None,
        };
        node.wake(life, now);
        Player::Node(node)
    }

    fn again(seed: u64, actor: Actor, life: u64, now: Micros, last: Option<Self::Part>) -> Self::Part {
        let Some(Player::Node(mut node)) = last else { return Self::start(seed, actor, life, now) };
        node.wake(life, now);
        Player::Node(node)
    }

    fn name(life: u64) -> u64 {
        life * 1_000_000
    }

    fn deeds(seed: u64) -> Vec<(Micros, Deed)> {
        let late = |k: u64| (mixed(seed, 90 + k) % 300) as Micros * MS;
        let (killed, back) = (1_500 * MS + late(0), 3_300 * MS + late(1));
        let mut all = vec![(killed, Deed::Kill(4)), (back, Deed::Start(4))];
        for other in (0..NODES).filter(|n| *n != 4) {
            all.push((killed + 500 * MS + 20 * MS * other as Micros, Deed::Do(other, 8)));
            all.push((back + 60 * MS + 20 * MS * other as Micros, Deed::Do(other, 9)));
        }
        let (from, to) = (CUT[0] + late(2), CUT[1] + late(3));
        for one in 0..2 {
            for other in 2..=DIVIDER {
                for (a, b) in [(one, other), (other, one)] {
                    all.push((from, Deed::Cut(a, b, true)));
                    all.push((to, Deed::Cut(a, b, false)));
                }
            }
        }
        all.sort_by_key(|d| d.0);
        all
    }

    fn invariants(parts: &[Option<Self::Part>], now: Micros) -> Result<(), Broken> {
        let (mut held, mut sent) = (0, 0);
        for node in nodes(parts) {
            if let Some(broken) = &node.broken {
                return Err(broken.clone());
            }
            let holds = node.holds(now);
            if held & holds != 0 {
                let story = format!("{} and another hold ranges {:b} at {now}", node.me, held & holds);
                return Err(Broken::new("one holder at a time", story));
            }
            if sent & node.sent != 0 {
                let story = format!("{} and another sent {:b}", node.me, sent & node.sent);
                return Err(Broken::new("a key is placed once", story));
            }
            (held, sent) = (held | holds, sent | node.sent);
        }
        Ok(())
    }

    fn settled(parts: &[Option<Self::Part>], now: Micros) -> Result<(), Broken> {
        let mut sent = 0;
        for node in nodes(parts) {
            sent |= node.sent;
            if node.holds(now) != 1 << node.me || !node.homes.unproven(node.at(now)).is_empty() {
                let held = node.homes.held(node.at(now));
                return Err(Broken::new("each home is with its own node", format!("{}: {held:?}", node.me)));
            }
        }
        if sent.count_ones() < KEYS as u32 / 2 {
            return Err(Broken::new("keys are placed", format!("{sent:b}")));
        }
        Ok(())
    }

    fn excuse(_word: &[u8], _change: &Change, _broken: &Broken) -> Option<&'static str> {
        None
    }
}
