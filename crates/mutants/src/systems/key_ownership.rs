//! Three sites of two nodes lease key ranges from one allocator, and place guarded keys, each of which must be placed once.
//!
//! A node of the third site is killed and restarted with its disk, while the other node of its site takes over its range. The first
//! site is partitioned for longer than its leases last: its ranges are taken over and returned. Clients request each key repeatedly
//! and at any node. Clocks have any offset, and a drift of up to 400 parts per million. The log of the allocator is in memory.

use crate::change::{Change, Encoding};
use crate::scenario::{parse_json, Action, Process, Scenario};
use crate::simulation::{Actor, Violation};
use crate::Micros;
use serde::{Deserialize, Serialize};
use shorepath_placements::anti_entropy::{Exchange, Message as HistoryMessage, Settings};
use shorepath_placements::hash_chain::{encode, next_digest, origin, Piece, Point};
use shorepath_placements::history::History;
use shorepath_placements::idempotency_index::{IdempotencyIndex, KeyState};
use shorepath_placements::{End, Entry, Placement, Timed, Writer};
use shorepath_quota::allocator::Allocator;
use shorepath_quota::client::{QuotaClient, Usage};
use shorepath_quota::config::{self as quota_config, Plan as QuotaPlan};
use shorepath_quota::messages::Message as QuotaMessage;
use shorepath_quota::{ClockSkew, NodeId, NodeIncarnation};
use shorepath_sites::catch_up::{self, CatchUp};
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::health::{Message as HealthMessage, SiteHealth};
use shorepath_sites::key_ownership::{AbsentMembers, Fence, KeyOwnership, PersistedOwnership, Proof};
use shorepath_sites::peer_selection::selected_peers;
use shorepath_sites::SiteState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::OnceLock;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const NODES: usize = 6;
const ALLOCATOR: Actor = NODES;
const TICK: Micros = 50 * MS;
/// The number of ticks between client requests at a node.
const REQUEST_TICKS: u64 = 3;
/// The number of keys. Clients begin to request another one after each [`NEW_KEY_INTERVAL`].
const KEYS: u64 = 64;
const NEW_KEY_INTERVAL: Micros = 140 * MS;
const CLASS: &str = "valve";
const SETTINGS: Settings = Settings {
    bytes_per_second: 200_000,
    window_bytes: 16 << 10,
    resend_after: 500 * MS,
    full_summary_interval: 800 * MS,
    summary_delay: 100 * MS,
};
/// The start and the end of the first site's partition.
const PARTITION: [Micros; 2] = [5 * S, 7_600 * MS];

/// Faults that can be planted into every node.
pub mod fault {
    /// No fault.
    pub const NONE: u8 = 0;
    /// The term of a lease starts when the grant arrives.
    pub const LEASE_FROM_ARRIVAL: u8 = 1;
    /// A duplicated catch-up reply counts as the replies of all other nodes.
    pub const REPLY_FOR_OTHERS: u8 = 2;
}

fn sites_config() -> &'static SitesConfig {
    static CONFIG: OnceLock<SitesConfig> = OnceLock::new();
    CONFIG.get_or_init(|| {
        let mut config_text = String::from(
            "(sites (fleet \"f\") (key \"k\") (confirm 300 ms) (alone 600 ms) (hold 600 ms) (home valve)",
        );
        for s in 0..NODES / 2 {
            let node = |n: usize| format!("(node s{s}n{n} \"10.0.{s}.{}:1\")", n + 1);
            config_text += &format!("(site s{s} (bears 100){}{})", node(0), node(1));
        }
        // An invalid configuration would have no nodes, and every run would fail its final check.
        read("s.sexp", &(config_text + ")")).unwrap_or_default()
    })
}

fn quota_plan() -> &'static QuotaPlan {
    static PLAN: OnceLock<QuotaPlan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let mut config_text =
            String::from("(budgets (term 1 s) (drift-ppm 500) (divider d0 \"127.0.0.1:1\")");
        for (index, (site, node)) in sites_config().nodes().enumerate() {
            config_text += &format!(
                "(node {} \"127.0.0.1:{}\")(budget home:{}/{} (per moment) (whole 1) (longest 100 ms))",
                node.name,
                index + 2,
                site.name,
                node.name
            );
        }
        quota_config::read("b.sexp", &(config_text + ")")).unwrap_or_default()
    })
}

fn node_number(actor: Actor) -> u32 {
    sites_config().nodes().nth(actor).map_or(0, |(_, n)| n.number)
}

fn actor_of(number: u32) -> Option<Actor> {
    sites_config().nodes().position(|(_, n)| n.number == number)
}

fn hash(seed: u64, value: u64) -> u64 {
    let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ value.wrapping_mul(0xd6e8_feb8_6659_fd93);
    (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 20
}

fn clock_skew(seed: u64, actor: Actor) -> ClockSkew {
    let random = hash(seed, 7_000 + actor as u64);
    ClockSkew { offset: (random % 1_000) as i64 * S + 5 * S, drift_ppm: (random >> 12) as i64 % 801 - 400 }
}

/// A message between two nodes. Messages between a node and the allocator are [`QuotaMessage`]s.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "w")]
enum Wire {
    #[serde(rename = "sees")]
    Health {
        #[serde(rename = "of")]
        message: HealthMessage,
    },
    #[serde(rename = "home")]
    CatchUp {
        #[serde(rename = "of")]
        message: catch_up::Message,
    },
    /// A message of the anti-entropy protocol, in hexadecimal.
    #[serde(rename = "log")]
    History {
        #[serde(rename = "x")]
        hex: String,
    },
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |c: &u8| char::from(*c).to_digit(16).map(|d| d as u8);
    text.as_bytes().chunks(2).map(|c| Some(digit(c.first()?)? << 4 | digit(c.get(1)?)?)).collect()
}

/// One incarnation of a node. `FAULT` is a constant of [`fault`].
#[derive(Clone, Debug)]
pub struct Node<const FAULT: u8> {
    seed: u64,
    me: usize,
    skew: ClockSkew,
    quota_client: QuotaClient,
    ownership: KeyOwnership,
    catch_up: CatchUp,
    site_health: SiteHealth,
    /// The budgets of the ranges that it claims.
    claimed: BTreeSet<String>,
    /// When this node learned of the failure of each other node, by node number.
    absent: BTreeMap<u32, Micros>,
    history: History,
    keys: IdempotencyIndex,
    exchanges: Vec<(Actor, Exchange)>,
    writer: Writer,
    head: Point,
    /// The state of `ownership` on the disk.
    persisted: PersistedOwnership,
    next: Micros,
    ticks: u64,
    /// Placements written to the disk in this tick: the key, the number of the log entry and the fence.
    placed: Vec<(u64, u64, Fence)>,
    /// Placements in progress: the number of the log entry and when it was sent.
    in_progress: Vec<(u64, Micros)>,
    /// The keys sent by any incarnation of this node, as a bit set.
    sent_keys: u64,
    outgoing: Vec<(Actor, Vec<u8>)>,
    /// The newest grant by budget and its arrival, for [`fault::LEASE_FROM_ARRIVAL`].
    arrivals: BTreeMap<String, (u64, Micros)>,
    /// Catch-up replies received, for [`fault::REPLY_FOR_OTHERS`].
    received: BTreeSet<(Actor, Vec<u8>)>,
    violation: Option<Violation>,
}

impl<const FAULT: u8> Node<FAULT> {
    fn local_time(&self, now: Micros) -> Micros {
        self.skew.at(now)
    }

    fn report_violation(&mut self, rule: &'static str, details: String) {
        self.violation.get_or_insert(Violation::new(rule, details));
    }

    /// Starts an incarnation with what is on the disk.
    fn start_incarnation(&mut self, incarnation: u64, now: Micros) {
        let (seed, me, at) = (self.seed, self.me, self.skew.at(now));
        let named = NodeIncarnation {
            node: NodeId(node_number(me)),
            incarnation: KeyOwnershipScenario::<FAULT>::wire_incarnation(incarnation),
        };
        self.quota_client = QuotaClient::new(named, quota_plan().clone(), 0, at);
        self.quota_client.set_owns_address(true, at);
        self.ownership = KeyOwnership::new(node_number(me), sites_config(), &self.persisted);
        self.catch_up = CatchUp::default();
        let site_health = SiteHealth::new(
            node_number(me),
            sites_config(),
            seed ^ (me as u64) << 16 ^ incarnation << 32,
            at,
        );
        // The configuration lists every node.
        self.site_health = site_health.unwrap_or_else(|e| unreachable!("{e}"));
        let others = selected_peers(sites_config(), node_number(me)).into_iter().filter_map(actor_of);
        self.exchanges = others
            .map(|o| {
                (o, Exchange::new(SETTINGS, KeyOwnershipScenario::<FAULT>::wire_incarnation(incarnation), at))
            })
            .collect();
        (self.next, self.ticks) = (now, 0);
        self.claimed.clear();
        self.absent.clear();
        self.placed.clear();
        self.in_progress.clear();
        self.arrivals.clear();
    }

    /// Passes the leases of the quota client on to the key ownership.
    fn update_leases(&mut self, now: Micros) {
        for budget in &self.quota_client.plan().budgets {
            let name = &budget.name;
            let mut lease = self.quota_client.lease(name, now).filter(|_| self.claimed.contains(name));
            let term = self.quota_client.plan().lease_period(budget);
            if FAULT == fault::LEASE_FROM_ARRIVAL {
                let arrival = self.arrivals.get(name).copied();
                if let (Some((grant, _)), Some((_, at))) =
                    (lease, arrival.filter(|(n, _)| Some(*n) == lease.map(|l| l.0.number)))
                {
                    lease = Some((grant, at));
                }
                if lease.is_none() && arrival.is_some_and(|(_, at)| now < at + term.for_holder()) {
                    continue;
                }
            }
            match lease {
                Some((grant, asked)) => drop(self.ownership.apply_grant(name, &grant, asked, term, now)),
                None => self.ownership.lease_ended(name),
            }
        }
    }

    fn record_usage(&mut self) {
        for budget in &quota_plan().budgets {
            let wanted = u64::from(self.claimed.contains(&budget.name));
            self.quota_client.record_usage(&budget.name, Usage { wanted, used: 0 });
        }
    }

    fn send(&mut self, to: Actor, wire: &Wire) {
        if let Ok(bytes) = serde_json::to_vec(wire) {
            self.outgoing.push((to, bytes));
        }
    }

    /// Sends the outgoing messages of all cores.
    fn collect_outgoing(&mut self) {
        let requests = self.quota_client.take_outgoing().into_iter().map(|m| (ALLOCATOR, m.message.bytes()));
        self.outgoing.extend(requests.collect::<Vec<_>>());
        for (to, message) in self.site_health.take_outgoing() {
            if let Some(to) = actor_of(to) {
                self.send(to, &Wire::Health { message });
            }
        }
        let messages =
            self.exchanges.iter_mut().flat_map(|(o, e)| e.take_outgoing().into_iter().map(|m| (*o, m)));
        for (to, message) in messages.collect::<Vec<_>>() {
            self.send(to, &Wire::History { hex: to_hex(&message.encode()) });
        }
    }

    /// Claims key ranges, and catches up with what others may have placed in them.
    fn update_claims(&mut self, now: Micros) {
        if self.site_health.all_nodes_use_config() {
            self.ownership.mark_settled();
        }
        let sites = self.site_health.states().into_iter().map(|(site, state, since)| (site, (state, since)));
        let absent = AbsentMembers { sites: sites.collect(), nodes: self.absent.clone() };
        let claims: BTreeSet<String> =
            self.ownership.claims(sites_config(), &absent, now).into_iter().collect();
        let ownership = &mut self.ownership;
        self.claimed.difference(&claims).for_each(|budget| ownership.lease_ended(budget));
        self.claimed = claims;
        let unproven = self.ownership.unproven(now);
        let own = (node_number(self.me), (self.writer.log, self.head.0));
        let (messages, proved) = self.catch_up.tick(sites_config(), own, &unproven, &self.history, now);
        proved.iter().for_each(|(home, fence)| self.ownership.mark_proved(home, *fence));
        for (to, message) in messages {
            if let Some(to) = actor_of(to) {
                self.send(to, &Wire::CatchUp { message });
            }
        }
        self.persisted = self.ownership.persisted();
    }

    /// Appends an entry to the node's own log. Returns its number, or 0 if it can't be encoded.
    fn append(&mut self, now: Micros, entry: Entry) -> u64 {
        let Ok(bytes) = encode(&Timed { at: now, entry: entry.clone() }) else { return 0 };
        let ((after, before), writer) = (self.head, self.writer.clone());
        self.head = (after + 1, next_digest(&before, &bytes));
        let piece = Piece { writer, after, before, entries: vec![bytes], head: self.head.1 };
        if let Err(e) = self.history.insert(&piece) {
            self.report_violation("a node can extend its own log", e.to_string());
        }
        self.keys.apply_entry(&self.writer, self.head.0, &entry);
        self.exchanges.iter_mut().for_each(|(_, e)| e.note_update(&self.writer));
        self.head.0
    }

    /// Sends the requests whose placements are on the disk, if their leases are still held, and ends those sent a while ago.
    fn send_placed(&mut self, now: Micros) {
        for (key, of, fence) in std::mem::take(&mut self.placed) {
            if !self.ownership.is_still_held(&format!("k{key}"), fence, now) {
                self.append(now, Entry::Ended { of, how: End::NeverRan });
                continue;
            }
            if self.sent_keys >> key & 1 == 1 {
                self.report_violation(
                    "a key is placed once",
                    format!("k{key} was sent twice by node {}", self.me),
                );
            }
            self.sent_keys |= 1 << key;
            self.in_progress.push((of, now));
        }
        let (ended, in_progress) = self.in_progress.iter().partition(|(_, at)| now - at > 300 * MS);
        self.in_progress = in_progress;
        let ended: Vec<(u64, Micros)> = ended;
        for (of, _) in ended {
            let how = if of.is_multiple_of(5) { End::Unknown } else { End::Served };
            self.append(now, Entry::Ended { of, how });
        }
    }

    /// Receives a client's request, and places its key if that is permitted.
    fn receive_request(&mut self, key: u64, now: Micros) {
        let name = format!("k{key}");
        if self.keys.state(CLASS, &name) != KeyState::Free {
            return;
        }
        // The catch-up proves ranges; no proof for a single key is available here.
        let Ok(fence) = self.ownership.may_place(&name, now, |_| Proof::Unknown) else { return };
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
        let of = self.append(now, Entry::Placed(placement));
        self.placed.push((key, of, fence));
    }

    fn receive_catch_up(
        &mut self,
        from: Actor,
        bytes: &[u8],
        message: catch_up::Message,
    ) -> Result<(), String> {
        match message {
            catch_up::Message::Ask { home, fence } => {
                let (log, last) = (self.writer.log, self.head.0);
                let (site, node) = (&self.writer.site, &self.writer.node);
                if !catch_up::has_complete_log(&self.history, site, node, (log, 0)) {
                    return Err("own log is incomplete".into());
                }
                self.send(
                    from,
                    &Wire::CatchUp { message: catch_up::Message::Reply { home, fence, log, last } },
                );
            }
            catch_up::Message::Reply { home, fence, log, last } => {
                let duplicate = !self.received.insert((from, bytes.to_vec()));
                self.catch_up.record_reply(node_number(from), &home, fence, log, last);
                if FAULT == fault::REPLY_FOR_OTHERS && duplicate {
                    for (site, node) in sites_config().nodes().filter(|(_, n)| n.number != node_number(from))
                    {
                        let written_there = |w: &&Writer| w.site == site.name && w.node == node.name;
                        let log = self.history.writers().find(written_there).cloned();
                        let last = log.iter().flat_map(|w| self.history.heads(w)).map(|p| p.0).max();
                        let log = log.map_or(0, |w| w.log);
                        self.catch_up.record_reply(node.number, &home, fence, log, last.unwrap_or(0));
                    }
                }
            }
        }
        Ok(())
    }

    fn receive_history(&mut self, from: Actor, hex: &str, now: Micros) -> Result<(), String> {
        let message = from_hex(hex)
            .and_then(|bytes| HistoryMessage::decode(&bytes).ok())
            .ok_or("unreadable history message")?;
        let found = self.exchanges.iter_mut().find(|(o, _)| *o == from);
        let (_, exchange) = found.ok_or("sender is not a peer")?;
        let received = exchange
            .receive(&mut self.history, message, now)
            .map_err(|_| "entries can't be added to the history")?;
        for piece in &received.pieces {
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

    fn receive_grants(&mut self, bytes: &[u8], now: Micros) -> Result<(), String> {
        let message = QuotaMessage::read(bytes).map_err(|_| "unreadable message")?;
        self.record_usage();
        if let QuotaMessage::Grants { holder, grants, .. } = &message {
            if *holder != self.quota_client.incarnation() {
                return Err("message is for another incarnation".into());
            }
            for g in grants {
                let last = self.arrivals.entry(g.budget.clone()).or_insert((0, now));
                *last = if g.number > last.0 { (g.number, now) } else { *last };
            }
        }
        let newer = self.quota_client.receive(0, &message, now);
        // The ownership must know of a lost lease before the client releases the lease with a message.
        self.update_leases(now);
        if newer {
            Ok(())
        } else {
            Err("no newer grant".into())
        }
    }

    /// Returns the ranges whose keys the node may place now, as a bit set.
    fn held_ranges(&self, now: Micros) -> u64 {
        let bit =
            |home: &str| quota_plan().budgets.iter().position(|b| b.name.strip_prefix("home:") == Some(home));
        self.ownership
            .held(self.local_time(now))
            .iter()
            .filter_map(|h| bit(h.0))
            .fold(0, |bits, b| bits | 1 << b)
    }
}

/// The only allocator.
#[derive(Clone, Debug)]
pub struct AllocatorActor {
    skew: ClockSkew,
    allocator: Allocator,
    addresses: BTreeMap<NodeIncarnation, Actor>,
    next: Micros,
    outgoing: Vec<(Actor, Vec<u8>)>,
}

/// The process of an actor: a node or the allocator.
#[derive(Clone, Debug)]
#[allow(clippy::large_enum_variant)]
pub enum Participant<const FAULT: u8> {
    /// A node of a site.
    Node(Node<FAULT>),
    /// The allocator, which is never killed.
    Allocator(AllocatorActor),
}

impl<const FAULT: u8> Process for Participant<FAULT> {
    fn receive(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        match self {
            Participant::Node(node) => {
                let at = node.local_time(now);
                let received = match from {
                    ALLOCATOR => node.receive_grants(bytes, at),
                    _ => match parse_json(bytes)? {
                        Wire::Health { message } => {
                            let received = node.site_health.receive(node_number(from), &message, at);
                            received
                                .map_err(|e| e.to_string().chars().filter(|c| !c.is_ascii_digit()).collect())
                        }
                        Wire::CatchUp { message } => node.receive_catch_up(from, bytes, message),
                        Wire::History { hex } => node.receive_history(from, &hex, at),
                    },
                };
                node.collect_outgoing();
                received
            }
            Participant::Allocator(actor) => {
                let at = actor.skew.at(now);
                let message = QuotaMessage::read(bytes).map_err(|_| "unreadable message")?;
                if let QuotaMessage::Ask { holder, .. } = &message {
                    actor.addresses.insert(*holder, from);
                }
                actor.allocator.receive(&message, at);
                Ok(())
            }
        }
    }

    fn advance(&mut self, now: Micros) {
        match self {
            Participant::Node(node) => {
                let at = node.local_time(now);
                for (o, exchange) in &mut node.exchanges {
                    exchange.poll(&node.history, at, hash(now as u64, *o as u64));
                }
                if now >= node.next {
                    (node.next, node.ticks) = (now + TICK, node.ticks + 1);
                    node.site_health.tick(at);
                    for (site, state, since) in node.site_health.states() {
                        if state == SiteState::Returning && at - since >= 200 * MS {
                            node.site_health.mark_recovered(&site, at);
                        }
                    }
                    node.site_health.take_changes();
                    node.record_usage();
                    node.quota_client.pass(at);
                    node.update_leases(at);
                    node.update_claims(at);
                    node.send_placed(at);
                    if node.ticks.is_multiple_of(REQUEST_TICKS) {
                        let newest = (now / NEW_KEY_INTERVAL) as u64;
                        let any = hash(node.seed, (node.me as u64) << 32 | now as u64) % (newest + 1);
                        for key in [newest, any].into_iter().filter(|k| *k < KEYS) {
                            node.receive_request(key, at);
                        }
                    }
                }
                node.collect_outgoing();
            }
            Participant::Allocator(actor) => {
                let at = actor.skew.at(now);
                actor.next = now + TICK / 2;
                let Some(entry) = actor.allocator.propose(at) else { return };
                let changed = actor.allocator.apply(&entry, at);
                for outgoing in actor.allocator.complete_proposal(&entry, changed, at) {
                    if let Some(to) = actor.addresses.get(&outgoing.to) {
                        actor.outgoing.push((*to, outgoing.message.bytes()));
                    }
                }
            }
        }
    }

    fn next_due(&self) -> Option<Micros> {
        Some(match self {
            // Exchanges are polled with every tick, whenever they are due.
            Participant::Node(node) => node.next,
            Participant::Allocator(actor) => actor.next,
        })
    }

    fn take_outgoing(&mut self) -> Vec<(Actor, Vec<u8>)> {
        match self {
            Participant::Node(node) => std::mem::take(&mut node.outgoing),
            Participant::Allocator(actor) => std::mem::take(&mut actor.outgoing),
        }
    }

    /// Simulates reports of the membership protocol: an even command `2 * n` reports the failure of actor `n`, and `2 * n + 1` its return.
    fn perform(&mut self, now: Micros, command: u32) {
        let Participant::Node(node) = self else { return };
        let (other, at) = (node_number(command as usize / 2), node.local_time(now));
        if command.is_multiple_of(2) {
            node.absent.insert(other, at);
        } else {
            node.absent.remove(&other);
        }
    }

    fn try_clone(&self) -> Option<Self> {
        Some(self.clone())
    }
}

/// The scenario of [`crate::systems::key_ownership`]. `FAULT` is a constant of [`fault`].
#[derive(Debug)]
pub struct KeyOwnershipScenario<const FAULT: u8 = 0>;

fn nodes<const FAULT: u8>(processes: &[Option<Participant<FAULT>>]) -> impl Iterator<Item = &Node<FAULT>> {
    processes.iter().flatten().filter_map(|p| match p {
        Participant::Node(node) => Some(node),
        Participant::Allocator(_) => None,
    })
}

impl<const FAULT: u8> Scenario for KeyOwnershipScenario<FAULT> {
    type Process = Participant<FAULT>;
    const NAME: &'static str = "homes";
    const ENCODING: Encoding = Encoding::Json("w");
    const DURATION: Micros = 11 * S;
    const DELAYS: [Micros; 3] = [700 * MS, 1_500 * MS, 4 * S];
    const SETTLE_TIME: Micros = 2_500 * MS;
    const CLONEABLE: bool = true;
    const ACTOR_COUNT: usize = NODES + 1;

    fn start(seed: u64, actor: Actor, incarnation: u64, now: Micros) -> Self::Process {
        let skew = clock_skew(seed, actor);
        if actor == ALLOCATOR {
            let mut allocator = Allocator::new("d0", quota_plan().clone(), 40);
            allocator.set_leader(true);
            let (addresses, outgoing) = (BTreeMap::new(), Vec::new());
            return Participant::Allocator(AllocatorActor {
                skew,
                allocator,
                addresses,
                next: now,
                outgoing,
            });
        }
        let name = |of: Option<&str>| of.unwrap_or_default().to_string();
        let listed = sites_config().nodes().nth(actor);
        let writer = Writer {
            site: name(listed.map(|(s, _)| s.name.as_str())),
            node: name(listed.map(|(_, n)| n.name.as_str())),
            log: seed << 8 | actor as u64 | 1 << 40,
        };
        let me = NodeIncarnation { node: NodeId(node_number(actor)), incarnation: 0 };
        let mut node = Node {
            seed,
            me: actor,
            skew,
            quota_client: QuotaClient::new(me, quota_plan().clone(), 0, 0),
            ownership: KeyOwnership::new(node_number(actor), sites_config(), &PersistedOwnership::default()),
            catch_up: CatchUp::default(),
            site_health: SiteHealth::new(node_number(actor), sites_config(), 0, 0)
                .unwrap_or_else(|e| unreachable!("{e}")),
            claimed: BTreeSet::new(),
            absent: BTreeMap::new(),
            history: History::new(),
            keys: IdempotencyIndex::default(),
            exchanges: Vec::new(),
            head: origin(&writer),
            writer,
            persisted: PersistedOwnership::default(),
            next: now,
            ticks: 0,
            placed: Vec::new(),
            in_progress: Vec::new(),
            sent_keys: 0,
            outgoing: Vec::new(),
            arrivals: BTreeMap::new(),
            received: BTreeSet::new(),
            violation: None,
        };
        node.start_incarnation(incarnation, now);
        Participant::Node(node)
    }

    fn restart(
        seed: u64,
        actor: Actor,
        incarnation: u64,
        now: Micros,
        last: Option<Self::Process>,
    ) -> Self::Process {
        let Some(Participant::Node(mut node)) = last else {
            return Self::start(seed, actor, incarnation, now);
        };
        node.start_incarnation(incarnation, now);
        Participant::Node(node)
    }

    fn wire_incarnation(incarnation: u64) -> u64 {
        incarnation * 1_000_000
    }

    fn actions(seed: u64) -> Vec<(Micros, Action)> {
        let jitter = |k: u64| (hash(seed, 90 + k) % 300) as Micros * MS;
        let (killed, restarted) = (1_500 * MS + jitter(0), 3_300 * MS + jitter(1));
        let mut all = vec![(killed, Action::Kill(4)), (restarted, Action::Start(4))];
        for other in (0..NODES).filter(|n| *n != 4) {
            all.push((killed + 500 * MS + 20 * MS * other as Micros, Action::Perform(other, 8)));
            all.push((restarted + 60 * MS + 20 * MS * other as Micros, Action::Perform(other, 9)));
        }
        let (from, to) = (PARTITION[0] + jitter(2), PARTITION[1] + jitter(3));
        for partitioned in 0..2 {
            for other in 2..=ALLOCATOR {
                for (a, b) in [(partitioned, other), (other, partitioned)] {
                    all.push((from, Action::Partition(a, b, true)));
                    all.push((to, Action::Partition(a, b, false)));
                }
            }
        }
        all.sort_by_key(|a| a.0);
        all
    }

    fn check_invariants(processes: &[Option<Self::Process>], now: Micros) -> Result<(), Violation> {
        let (mut held, mut sent) = (0, 0);
        for node in nodes(processes) {
            if let Some(violation) = &node.violation {
                return Err(violation.clone());
            }
            let ranges = node.held_ranges(now);
            if held & ranges != 0 {
                let details = format!(
                    "node {} and another node hold the ranges with the bits {:b} at {now}",
                    node.me,
                    held & ranges
                );
                return Err(Violation::new("one holder at a time", details));
            }
            if sent & node.sent_keys != 0 {
                let details = format!(
                    "node {} and another node sent the keys with the bits {:b}",
                    node.me,
                    sent & node.sent_keys
                );
                return Err(Violation::new("a key is placed once", details));
            }
            (held, sent) = (held | ranges, sent | node.sent_keys);
        }
        Ok(())
    }

    fn check_final_state(processes: &[Option<Self::Process>], now: Micros) -> Result<(), Violation> {
        let mut sent = 0;
        for node in nodes(processes) {
            sent |= node.sent_keys;
            if node.held_ranges(now) != 1 << node.me
                || !node.ownership.unproven(node.local_time(now)).is_empty()
            {
                let held = node.ownership.held(node.local_time(now));
                return Err(Violation::new(
                    "each range is held by its home",
                    format!("node {} holds {held:?}", node.me),
                ));
            }
        }
        if sent.count_ones() < KEYS as u32 / 2 {
            return Err(Violation::new("keys are placed", format!("{sent:b}")));
        }
        Ok(())
    }

    fn forgery_exemption(_message: &[u8], _change: &Change, _violation: &Violation) -> Option<&'static str> {
        None
    }
}
