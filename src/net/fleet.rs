//! This node's place in a fleet that shares budgets: datagrams to and from dividers and other members, and the parts that
//! follow from them for the module. What is said, when, and what may be used is decided in `shorepath-quota` and
//! `shorepath-membership`; off where the operator names no file of budgets.

mod config;
mod list_calls;

use super::deadlines::Deadlines;
use super::exchange::{Exchange, Source};
use super::frontend::Frontend;
use super::key_leases::KeyLeases;
use super::Job;
pub use config::{FleetError, FleetSettings};
pub use list_calls::DiscoveryCallLimit;
use shorepath_audit::version::ContentHash;
use shorepath_membership::{Effect, MemberState, Membership, Peer};
use shorepath_message_auth::advice;
use shorepath_message_auth::channel::{Channel, Dropped};
use shorepath_quota::client::{QuotaClient, Usage};
use shorepath_quota::config::{Budget, BudgetKind, Per, ProcessAddress};
use shorepath_quota::messages::Message;
use shorepath_quota::{ClockSkew, Micros, NodeId, NodeIncarnation};
use shorepath_scheduler::QuotaShare;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

/// A datagram of the membership begins with this; one of the budgets with JSON.
const MEMBERS: u8 = b'm';
/// How often it looks at what was used, while anything is; and while nothing is.
const LOOK: Duration = Duration::from_millis(50);
/// See [`LOOK`].
const IDLE: Duration = Duration::from_millis(250);
/// How often it tries for its address while another process of this node has it.
const BIND: Duration = Duration::from_millis(200);
/// The largest datagram, in bytes.
const LARGEST: usize = 64 * 1024;

/// Which life of its name a process is, for its envelopes and the membership: Unix microseconds at its start. It grows over restarts as long as the
/// clock is not set back over one.
fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// This node among the others.
#[derive(Debug)]
pub struct Fleet {
    name: String,
    sharing: RefCell<FleetSettings>,
    exchange: Rc<Exchange<Job>>,
    frontend: Rc<Frontend>,
    deadlines: Rc<Deadlines>,
    lists: Rc<DiscoveryCallLimit>,
    origin: Instant,
    quota_client: RefCell<QuotaClient>,
    members: RefCell<Membership>,
    /// Who is home to keys, where the file has budgets for that and there are sites.
    key_leases: RefCell<Option<Rc<KeyLeases>>>,
    line: RefCell<Channel>,
    /// The parts that the module was told.
    notified: RefCell<Vec<QuotaShare>>,
    /// Budgets of which there is no grant.
    bare: RefCell<Vec<String>>,
    /// Something was used or wanted since it last looked.
    busy: Cell<bool>,
    leaves: Notify,
    left: Notify,
}

impl Fleet {
    /// Take part as the node of that name.
    pub fn new(
        name: &str,
        sharing: FleetSettings,
        exchange: Rc<Exchange<Job>>,
        frontend: Rc<Frontend>,
        deadlines: Rc<Deadlines>,
        lists: Rc<DiscoveryCallLimit>,
    ) -> Result<Rc<Self>, FleetError> {
        let chance = getrandom::u64().map_err(FleetError::Chance)?;
        let node = NodeId::of(name);
        let now = sharing.skew.at(0);
        let life = NodeIncarnation { node, incarnation: chance };
        let plan = &sharing.plan;
        let quota_client = QuotaClient::new(life, plan.clone(), chance as usize, now);
        let begun = unix();
        let peer = Peer { node: node.0, incarnation: begun };
        let line = Channel::new(node.0, begun, &plan.fleet, sharing.keys.as_ref());
        let all = plan.allocators.iter().chain(&plan.members).map(|p| NodeId::of(&p.name).0);
        let members = Membership::new(peer, all.filter(|n| *n != node.0).collect(), chance, now);
        let fleet = Rc::new(Fleet {
            name: name.to_string(),
            exchange,
            frontend,
            deadlines,
            lists,
            origin: Instant::now(),
            quota_client: RefCell::new(quota_client),
            members: RefCell::new(members),
            key_leases: RefCell::default(),
            line: RefCell::new(line),
            notified: RefCell::default(),
            bare: RefCell::default(),
            busy: Cell::new(false),
            leaves: Notify::new(),
            left: Notify::new(),
            sharing: RefCell::new(sharing),
        });
        // Before the first client: nothing is used that was not granted.
        fleet.hold(now);
        Ok(fleet)
    }

    fn now(&self) -> Micros {
        self.sharing.borrow().skew.at(self.origin.elapsed().as_micros() as Micros)
    }

    /// The clock that grants are counted by.
    pub fn clock(&self) -> (Instant, ClockSkew) {
        (self.origin, self.sharing.borrow().skew)
    }

    /// Whether the file has budgets of homes.
    pub fn has_ownership_quotas(&self) -> bool {
        super::key_leases::named(&self.sharing.borrow().plan)
    }

    /// Leases of ranges of keys follow from its budgets from now on.
    pub fn set_key_leases(&self, key_leases: Rc<KeyLeases>) {
        self.key_leases.replace(Some(key_leases));
    }

    /// What the seat goes by may have changed.
    fn leased(&self) {
        if let Some(key_leases) = &*self.key_leases.borrow() {
            key_leases.leased(&self.quota_client.borrow());
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        let sharing = self.sharing.borrow();
        sharing.plan.members.iter().find(|m| m.name == self.name).map(|m| m.address)
    }

    /// Which file of budgets is in force.
    pub fn version(&self) -> (u64, ContentHash) {
        let sharing = self.sharing.borrow();
        (sharing.plan.version, sharing.content)
    }

    /// Read the operator's file again. One that can't be used changes nothing.
    pub fn reload(&self) -> Result<u64, FleetError> {
        let (path, skew) = {
            let sharing = self.sharing.borrow();
            (sharing.path.clone(), sharing.skew)
        };
        let newer = FleetSettings::read(path, &self.name, skew)?;
        if newer.plan.drift_ppm != self.sharing.borrow().plan.drift_ppm {
            return Err(FleetError::Drift { path: newer.path });
        }
        let version = newer.plan.version;
        self.log_rejected();
        self.line.borrow_mut().set(unix(), &newer.plan.fleet, newer.keys.as_ref());
        self.quota_client.borrow_mut().replan(newer.plan.clone(), self.now());
        self.leased();
        self.sharing.replace(newer);
        Ok(version)
    }

    /// How many datagrams were dropped, if any were.
    fn log_rejected(&self) {
        for (why, count) in self.line.borrow().counts() {
            info!("{count} datagrams dropped so far: {why}");
        }
    }

    /// Take part for as long as the node runs.
    pub async fn run(self: Rc<Self>) {
        let mut socket: Option<UdpSocket> = None;
        let (mut owns, mut tried) = (false, None::<Instant>);
        let mut buffer = vec![0; LARGEST];
        loop {
            let replaced = self.frontend.ready() == Err("replaced");
            if owns && replaced {
                // The next process takes the address, and the reserve with it; what this one has it serves by its grants.
                (socket, owns) = (None, false);
                self.quota_client.borrow_mut().set_owns_address(false, self.now());
            }
            if !owns && !replaced && tried.is_none_or(|at| at.elapsed() >= BIND) {
                tried = Some(Instant::now());
                if let Some(address) = self.address() {
                    if let Ok(own) = UdpSocket::bind(address).await {
                        info!("this process is {} of the fleet, at {address}", self.name);
                        (socket, owns) = (Some(own), true);
                        self.quota_client.borrow_mut().set_owns_address(true, self.now());
                    }
                }
            }
            if socket.is_none() {
                let ip = self.address().map_or(IpAddr::from([127, 0, 0, 1]), |a| a.ip());
                socket = UdpSocket::bind((ip, 0)).await.ok();
            }
            let Some(line) = &socket else {
                self.deadlines.after(BIND).await;
                continue;
            };
            self.turn(line, owns).await;
            let client_due = self.quota_client.borrow().due(self.now()) - self.now();
            let look = if self.busy.take() { LOOK } else { IDLE };
            let wait = look.min(Duration::from_micros(client_due.max(1_000) as u64));
            tokio::select! {
                biased;
                () = self.leaves.notified() => {
                    self.part(line, owns).await;
                    self.left.notify_one();
                    return std::future::pending().await;
                }
                came = line.recv_from(&mut buffer) => {
                    // An error is somebody's closed port, told late.
                    if let Ok((n, from)) = came {
                        self.receive(&buffer[..n], from);
                    }
                }
                () = self.deadlines.after(wait) => {}
            }
        }
    }

    /// Hand back what is not in use, and say that this node leaves.
    pub async fn leave(&self) {
        self.leaves.notify_one();
        tokio::select! {
            () = self.left.notified() => {}
            () = self.deadlines.after(BIND) => {}
        }
    }

    async fn part(&self, line: &UdpSocket, owns: bool) {
        let now = self.now();
        self.count();
        self.log_rejected();
        self.quota_client.borrow_mut().leave(now);
        self.key_leases.borrow().iter().for_each(|h| h.leaves());
        self.members.borrow_mut().leave(now);
        self.speak(line, owns).await;
    }

    /// Tell the seat what was used.
    fn count(&self) {
        let used = self.exchange.parts_used();
        let lists = self.lists.done();
        let mut quota_client = self.quota_client.borrow_mut();
        let names: Vec<String> = quota_client.plan().budgets.iter().map(|b| b.name.clone()).collect();
        for name in names {
            let of = self.exchange.bound(&name);
            let found = used.iter().find(|(bound, _)| Some(*bound) == of);
            let what = match found {
                Some((_, what)) => Usage { wanted: what.demand, used: what.used },
                None if name == "lists" => lists,
                None => match self.key_leases.borrow().as_ref().and_then(|h| h.wants(&name)) {
                    Some(wanted) => {
                        quota_client.record_usage(&name, Usage { wanted, used: 0 });
                        continue;
                    }
                    None => continue,
                },
            };
            self.busy.set(self.busy.get() || what != Usage::default());
            quota_client.record_usage(&name, what);
        }
    }

    async fn turn(&self, line: &UdpSocket, owns: bool) {
        self.count();
        let now = self.now();
        self.quota_client.borrow_mut().pass(now);
        self.leased();
        if owns {
            self.members.borrow_mut().pass(now);
        }
        self.hold(now);
        self.speak(line, owns).await;
    }

    /// Bring the module's parts in line with what may be used now.
    fn hold(&self, now: Micros) {
        let quota_client = self.quota_client.borrow();
        let (mut parts, mut bare, mut lists) = (Vec::new(), Vec::new(), None);
        for (budget, units) in quota_client.all_usable(now) {
            let Budget { name, per, total, .. } = budget;
            let span = match per {
                Per::Second { burst } => *burst,
                Per::Moment { longest } => *longest,
            };
            if name == "lists" {
                lists = Some((units, span));
            } else if let Some(of) = self.exchange.bound(name) {
                parts.push(QuotaShare { kind: of, units, total: *total, window: span });
            }
            let home = matches!(BudgetKind::of(name), Some(BudgetKind::Home(_)));
            if !home && !quota_client.is_granted(name, now) {
                bare.push(name.clone());
            }
        }
        drop(quota_client);
        match lists {
            Some((rate, burst)) => self.lists.hold(rate, burst),
            None => self.lists.free(),
        }
        if bare != *self.bare.borrow() {
            match bare.is_empty() {
                true => info!("budgets: all are granted"),
                false => warn!("budgets: no grant of {}: the reserve alone is used", bare.join(", ")),
            }
            self.bare.replace(bare);
        }
        if parts != *self.notified.borrow() {
            debug!("budgets: {parts:?}");
            self.notified.replace(parts.clone());
            self.exchange.parts_hold(Source::Budgets, parts);
        }
    }

    async fn speak(&self, line: &UdpSocket, owns: bool) {
        let (outgoing_messages, effects) =
            (self.quota_client.borrow_mut().take_outgoing(), self.members.borrow_mut().effects());
        if outgoing_messages.is_empty() && effects.is_empty() {
            return;
        }
        let plan = self.sharing.borrow().plan.clone();
        for outgoing in outgoing_messages {
            if let Some(allocator) = plan.allocators.get(outgoing.to) {
                // Lost is lost: it asks again.
                let datagram = self.line.borrow_mut().seal(outgoing.message.bytes());
                let _ = line.send_to(&datagram, allocator.address).await;
            }
        }
        for effect in effects {
            match effect {
                Effect::Outgoing { to, bytes } if owns => {
                    let mut all = plan.allocators.iter().chain(&plan.members);
                    if let Some(place) = all.find(|p| NodeId::of(&p.name).0 == to) {
                        let sent = [&[MEMBERS], bytes.as_slice()].concat();
                        let datagram = self.line.borrow_mut().seal(sent);
                        let _ = line.send_to(&datagram, place.address).await;
                    }
                }
                Effect::Outgoing { .. } => {}
                Effect::Changed(m) => {
                    let gone = matches!(m.standing, MemberState::Gone | MemberState::Left);
                    self.key_leases.borrow().iter().for_each(|h| h.member(NodeId(m.peer.node), gone));
                    let name = plan.name_of(NodeId(m.peer.node)).unwrap_or("?");
                    info!("member {name} {:?} incarnation={}", m.standing, m.peer.incarnation);
                }
            }
        }
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let now = self.now();
        let seems = self.sharing.borrow().plan.node_at(from).map_or(0, |n| n.0);
        let opened = self.line.borrow_mut().open(bytes, seems);
        let (sender, bytes) = match opened {
            Ok(received) => (received.sender, received.sent),
            Err(Dropped { refused, first }) => {
                if first {
                    warn!("from {from}: {}; told once, counted from now on", advice(&refused));
                }
                return;
            }
        };
        if let Some((&MEMBERS, rest)) = bytes.split_first() {
            let mut members = self.members.borrow_mut();
            if let Err(e) = members.receive(now, rest).map_err(|e| e.to_string()) {
                debug!("from {from}: {e}");
            }
            return;
        }
        let divides =
            |d: &ProcessAddress| d.address == from && sender.is_none_or(|s| s == NodeId::of(&d.name).0);
        let place = self.sharing.borrow().plan.allocators.iter().position(divides);
        match (place, Message::read(bytes)) {
            (Some(place), Ok(message)) => {
                // What is in use is known before anything is said of it.
                self.count();
                self.quota_client.borrow_mut().receive(place, &message, now);
                // Before anything is said: what is given up is free for others from then on.
                self.leased();
            }
            (None, _) => warn!("a word from {from}, which is no divider"),
            (_, Err(e)) => warn!("from {from}: {e}"),
        }
    }
}
