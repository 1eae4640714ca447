//! Takes part in a fleet whose nodes share quotas.
//!
//! Carries datagrams between this node, the quota allocators and the other members, and applies the granted quotas to the
//! scheduler. The protocols themselves are in `shorepath-quota` and `shorepath-membership`. Inactive when no budgets file is
//! configured.

mod config;
mod list_calls;
mod sockets;

use super::deadlines::Deadlines;
use super::exchange::{Exchange, QuotaSource};
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
use shorepath_quota::log_limit::LogLimit;
use shorepath_quota::messages::Message;
use shorepath_quota::source_limits::SourceLimits;
use shorepath_quota::{ClockSkew, Micros, NodeId, NodeIncarnation};
use shorepath_scheduler::QuotaShare;
use sockets::{Sockets, BIND_RETRY_INTERVAL};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

/// First byte of a membership datagram; a quota message is JSON and never starts with it.
const MEMBERSHIP_TAG: u8 = b'm';
/// Most datagrams that are dropped at once before other work gets its turn.
const MAX_DROPPED_BATCH: usize = 512;
/// Interval between usage reports while quota is being used.
const BUSY_TICK: Duration = Duration::from_millis(50);
/// Interval between usage reports while no quota is being used.
const IDLE_TICK: Duration = Duration::from_millis(250);
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Returns the current Unix time in microseconds. The start time identifies this run of the process in message authentication
/// and membership, so it must grow over restarts: the clock must not be set back across one.
fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// This node as a member of the fleet.
#[derive(Debug)]
pub struct Fleet {
    name: String,
    settings: RefCell<FleetSettings>,
    exchange: Rc<Exchange<Job>>,
    frontend: Rc<Frontend>,
    deadlines: Rc<Deadlines>,
    discovery_limit: Rc<DiscoveryCallLimit>,
    origin: Instant,
    quota_client: RefCell<QuotaClient>,
    membership: RefCell<Membership>,
    /// Leases of key ranges; `None` without sites or without quotas for key ranges.
    key_leases: RefCell<Option<Rc<KeyLeases>>>,
    channel: RefCell<Channel>,
    source_limits: RefCell<SourceLimits>,
    /// Limits the lines about what others send.
    log_limit: RefCell<LogLimit>,
    /// The quota shares that the scheduler was last given.
    applied_shares: RefCell<Vec<QuotaShare>>,
    /// Names of the quotas without a valid grant.
    ungranted: RefCell<Vec<String>>,
    /// Some quota was used or requested since the last tick.
    recently_used: Cell<bool>,
    leave_requested: Notify,
    leave_done: Notify,
}

impl Fleet {
    /// Creates the fleet member `name` and applies the reserves, which are all that may be used before the first grant.
    ///
    /// # Errors
    /// Fails if the operating system provides no random number.
    pub fn new(
        name: &str,
        settings: FleetSettings,
        exchange: Rc<Exchange<Job>>,
        frontend: Rc<Frontend>,
        deadlines: Rc<Deadlines>,
        discovery_limit: Rc<DiscoveryCallLimit>,
    ) -> Result<Rc<Self>, FleetError> {
        let seed = getrandom::u64().map_err(FleetError::Chance)?;
        let node = NodeId::of(name);
        let now = settings.skew.at(0);
        let client = NodeIncarnation { node, incarnation: seed };
        let plan = &settings.plan;
        let quota_client = QuotaClient::new(client, plan.clone(), seed as usize, now);
        let started_at = unix_micros();
        let peer = Peer { node: node.0, incarnation: started_at };
        let channel = Channel::new(node.0, started_at, &plan.fleet, settings.keys.as_ref());
        let others = plan.others(node).map(|other| other.0).collect();
        let membership = Membership::new(peer, others, seed, now);
        let fleet = Rc::new(Fleet {
            name: name.to_string(),
            exchange,
            frontend,
            deadlines,
            discovery_limit,
            origin: Instant::now(),
            quota_client: RefCell::new(quota_client),
            membership: RefCell::new(membership),
            key_leases: RefCell::default(),
            channel: RefCell::new(channel),
            source_limits: RefCell::new(SourceLimits::new(now)),
            log_limit: RefCell::new(LogLimit::new(now)),
            applied_shares: RefCell::default(),
            ungranted: RefCell::default(),
            recently_used: Cell::new(false),
            leave_requested: Notify::new(),
            leave_done: Notify::new(),
            settings: RefCell::new(settings),
        });
        // Runs before the first client is accepted, so that no ungranted quota is used.
        fleet.apply_quotas(now);
        Ok(fleet)
    }

    fn now(&self) -> Micros {
        self.settings.borrow().skew.at(self.origin.elapsed().as_micros() as Micros)
    }

    /// Returns the origin and the skew of the clock that grant periods are measured with.
    pub fn clock(&self) -> (Instant, ClockSkew) {
        (self.origin, self.settings.borrow().skew)
    }

    /// Returns whether the budgets file has quotas that lease key ranges.
    pub fn has_ownership_quotas(&self) -> bool {
        super::key_leases::has_home_quotas(&self.settings.borrow().plan)
    }

    /// Keeps `key_leases` up to date with the grants from now on.
    pub fn set_key_leases(&self, key_leases: Rc<KeyLeases>) {
        self.key_leases.replace(Some(key_leases));
    }

    /// Passes the current grants on to the key leases.
    fn update_key_leases(&self) {
        if let Some(key_leases) = &*self.key_leases.borrow() {
            key_leases.update_leases(&self.quota_client.borrow());
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        let settings = self.settings.borrow();
        settings.plan.members.iter().find(|m| m.name == self.name).map(|m| m.address)
    }

    /// Returns the version number and the content hash of the budgets file in use.
    pub fn version(&self) -> (u64, ContentHash) {
        let settings = self.settings.borrow();
        (settings.plan.version, settings.content)
    }

    /// Reads the budgets file again and returns its version.
    ///
    /// # Errors
    /// Fails if the file can't be used or changes `(drift-ppm)`; the previous file then stays in use.
    pub fn reload(&self) -> Result<u64, FleetError> {
        let (path, skew) = {
            let settings = self.settings.borrow();
            (settings.path.clone(), settings.skew)
        };
        let newer = FleetSettings::read(path, &self.name, skew)?;
        if newer.plan.drift_ppm != self.settings.borrow().plan.drift_ppm {
            return Err(FleetError::Drift { path: newer.path });
        }
        let version = newer.plan.version;
        self.log_rejected();
        self.channel.borrow_mut().reconfigure(unix_micros(), &newer.plan.fleet, newer.keys.as_ref());
        self.quota_client.borrow_mut().replan(newer.plan.clone(), self.now());
        let others = newer.plan.others(NodeId::of(&self.name)).map(|other| other.0).collect();
        self.membership.borrow_mut().set_others(others);
        self.update_key_leases();
        self.settings.replace(newer);
        Ok(version)
    }

    /// Logs how many datagrams were dropped so far, by reason.
    fn log_rejected(&self) {
        for (why, count) in self.channel.borrow().counts() {
            info!("{count} datagrams dropped so far: {why}");
        }
    }

    /// Exchanges messages with the allocators and members until the node stops.
    pub async fn run(self: Rc<Self>) {
        let (mut sockets, mut buffer) = (Sockets::default(), vec![0; MAX_DATAGRAM_BYTES]);
        loop {
            self.update_listed_address(&mut sockets).await;
            if sockets.bind_requests(self.address()).await.is_none() {
                self.deadlines.after(BIND_RETRY_INTERVAL).await;
                continue;
            }
            self.tick(&sockets).await;
            let client_due = self.quota_client.borrow().due(self.now()) - self.now();
            let tick = if self.recently_used.take() { BUSY_TICK } else { IDLE_TICK };
            let wait = tick.min(Duration::from_micros(client_due.max(1_000) as u64));
            tokio::select! {
                biased;
                () = self.leave_requested.notified() => {
                    self.announce_leave(&sockets).await;
                    self.leave_done.notify_one();
                    return std::future::pending().await;
                }
                socket = sockets.readable() => self.receive_next_admitted(socket, &mut buffer),
                () = self.deadlines.after(wait) => {}
            }
        }
    }

    /// Binds the node's listed address, or gives it up once this process is replaced.
    async fn update_listed_address(&self, sockets: &mut Sockets) {
        let is_replaced = self.frontend.ready() == Err("replaced");
        if is_replaced {
            // The next process takes over the address and the reserve; this one serves its remaining requests from its grants.
            if sockets.close_listed() {
                self.quota_client.borrow_mut().set_owns_address(false, self.now());
            }
        } else if sockets.try_bind_listed(self.address()).await {
            if let Some(address) = self.address() {
                info!("this process is {} of the fleet, at {address}", self.name);
            }
            self.quota_client.borrow_mut().set_owns_address(true, self.now());
        }
    }

    /// Returns unused quota to the allocators and announces that this node leaves. Gives up after a short time.
    pub async fn leave(&self) {
        self.leave_requested.notify_one();
        tokio::select! {
            () = self.leave_done.notified() => {}
            () = self.deadlines.after(BIND_RETRY_INTERVAL) => {}
        }
    }

    async fn announce_leave(&self, sockets: &Sockets) {
        let now = self.now();
        self.report_usage();
        self.log_rejected();
        self.quota_client.borrow_mut().leave(now);
        self.key_leases.borrow().iter().for_each(|leases| leases.release_all());
        self.membership.borrow_mut().leave(now);
        self.send_outgoing(sockets).await;
    }

    /// Reports the usage since the last call to the quota client.
    fn report_usage(&self) {
        let used = self.exchange.take_quota_usage();
        let discovery_calls = self.discovery_limit.take_usage();
        let mut quota_client = self.quota_client.borrow_mut();
        let names: Vec<String> = quota_client.plan().budgets.iter().map(|b| b.name.clone()).collect();
        for name in names {
            let kind = self.exchange.quota_kind(&name);
            let exchange_usage = used.iter().find(|(bound, _)| Some(*bound) == kind);
            let usage = match exchange_usage {
                Some((_, part)) => Usage { wanted: part.demand, used: part.used },
                None if name == "lists" => discovery_calls,
                None => match self.key_leases.borrow().as_ref().and_then(|leases| leases.wanted_units(&name))
                {
                    Some(wanted) => {
                        quota_client.record_usage(&name, Usage { wanted, used: 0 });
                        continue;
                    }
                    None => continue,
                },
            };
            self.recently_used.set(self.recently_used.get() || usage != Usage::default());
            quota_client.record_usage(&name, usage);
        }
    }

    async fn tick(&self, sockets: &Sockets) {
        self.report_usage();
        let now = self.now();
        self.quota_client.borrow_mut().pass(now);
        self.update_key_leases();
        if sockets.listed().is_some() {
            self.membership.borrow_mut().advance(now);
        }
        self.apply_quotas(now);
        self.send_outgoing(sockets).await;
    }

    /// Applies the quota that may be used now to the scheduler and to discovery calls.
    fn apply_quotas(&self, now: Micros) {
        let quota_client = self.quota_client.borrow();
        let (mut shares, mut ungranted, mut discovery_rate) = (Vec::new(), Vec::new(), None);
        for (budget, units) in quota_client.all_usable(now) {
            let Budget { name, per, total, .. } = budget;
            let window_us = match per {
                Per::Second { burst } => *burst,
                Per::Moment { longest } => *longest,
            };
            if name == "lists" {
                discovery_rate = Some((units, window_us));
            } else if let Some(quota_kind) = self.exchange.quota_kind(name) {
                shares.push(QuotaShare { kind: quota_kind, units, total: *total, window: window_us });
            }
            let is_home = matches!(BudgetKind::of(name), Some(BudgetKind::Home(_)));
            if !is_home && !quota_client.is_granted(name, now) {
                ungranted.push(name.clone());
            }
        }
        drop(quota_client);
        match discovery_rate {
            Some((rate, burst)) => self.discovery_limit.set_rate(rate, burst),
            None => self.discovery_limit.remove_limit(),
        }
        if ungranted != *self.ungranted.borrow() {
            match ungranted.is_empty() {
                true => info!("budgets: all are granted"),
                false => warn!(
                    "budgets: no grant for {}; only the reserve is used until an allocator answers",
                    ungranted.join(", ")
                ),
            }
            self.ungranted.replace(ungranted);
        }
        if shares != *self.applied_shares.borrow() {
            debug!("budgets: new quota shares: {shares:?}");
            self.applied_shares.replace(shares.clone());
            self.exchange.set_quota_shares(QuotaSource::Budgets, shares);
        }
    }

    async fn send_outgoing(&self, sockets: &Sockets) {
        let (outgoing_messages, effects) =
            (self.quota_client.borrow_mut().take_outgoing(), self.membership.borrow_mut().take_effects());
        if outgoing_messages.is_empty() && effects.is_empty() {
            return;
        }
        let plan = self.settings.borrow().plan.clone();
        for outgoing in outgoing_messages {
            if let (Some(allocator), Some(socket)) = (plan.allocators.get(outgoing.to), sockets.requests()) {
                // A lost datagram is not sent again: the client repeats its request.
                let datagram = self.channel.borrow_mut().sign(outgoing.message.bytes());
                let _ = socket.send_to(&datagram, allocator.address).await;
            }
        }
        for effect in effects {
            match effect {
                Effect::Outgoing { to, bytes } => {
                    let Some(socket) = sockets.listed() else { continue };
                    let mut processes = plan.allocators.iter().chain(&plan.members);
                    if let Some(process) = processes.find(|process| NodeId::of(&process.name).0 == to) {
                        let tagged = [&[MEMBERSHIP_TAG], bytes.as_slice()].concat();
                        let datagram = self.channel.borrow_mut().sign(tagged);
                        let _ = socket.send_to(&datagram, process.address).await;
                    }
                }
                Effect::Changed(member) => {
                    let absent = matches!(member.state, MemberState::Gone | MemberState::Left);
                    self.key_leases
                        .borrow()
                        .iter()
                        .for_each(|leases| leases.set_member_absent(NodeId(member.peer.node), absent));
                    let name = plan.name_of(NodeId(member.peer.node)).unwrap_or("?");
                    if self.may_log() {
                        info!("member {name} {:?} incarnation={}", member.state, member.peer.incarnation);
                    }
                }
            }
        }
    }

    /// Returns whether a line on what others send may be logged; logs how many were left out before it.
    fn may_log(&self) -> bool {
        let admitted = self.log_limit.borrow_mut().admits(self.now());
        if let Some(left_out @ 1..) = admitted {
            warn!("{left_out} lines on messages and members were left out");
        }
        admitted.is_some()
    }

    /// Returns whether a datagram from this address is processed.
    fn admits(&self, from: SocketAddr) -> bool {
        let now = self.now();
        self.source_limits.borrow_mut().admits(from, &self.settings.borrow().plan, now)
    }

    /// Handles the next datagram that waits at the socket, without those whose sources have sent too many: without a tick for each
    /// dropped one, fewer of the others are lost.
    fn receive_next_admitted(&self, socket: &UdpSocket, buffer: &mut [u8]) {
        for _ in 0..MAX_DROPPED_BATCH {
            // An error reports that nothing waits, or that an earlier datagram reached a closed port.
            let Ok((length, from)) = socket.try_recv_from(buffer) else { return };
            if self.admits(from) {
                return self.receive(&buffer[..length], from);
            }
        }
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let now = self.now();
        let presumed_sender = self.settings.borrow().plan.node_at(from).map_or(0, |n| n.0);
        let opened = self.channel.borrow_mut().verify(bytes, presumed_sender);
        let (sender, bytes) = match opened {
            Ok(received) => (received.sender, received.body),
            Err(Dropped { refused, first }) => {
                if first {
                    warn!(
                        "datagram from {from} dropped: {}; further ones are only counted",
                        advice(&refused)
                    );
                }
                return;
            }
        };
        if let Some((&MEMBERSHIP_TAG, rest)) = bytes.split_first() {
            let mut membership = self.membership.borrow_mut();
            if let Err(e) = membership.receive(now, rest).map_err(|e| e.to_string()) {
                debug!("a membership message from {from} can't be decoded: {e}");
            }
            return;
        }
        let is_allocator = |process: &ProcessAddress| {
            process.address == from && sender.is_none_or(|s| s == NodeId::of(&process.name).0)
        };
        let allocator = self.settings.borrow().plan.allocators.iter().position(is_allocator);
        match (allocator, Message::read(bytes)) {
            (Some(allocator), Ok(message)) => {
                // The allocator's answer must be judged against the usage up to now.
                self.report_usage();
                self.quota_client.borrow_mut().receive(allocator, &message, now);
                // Must precede the next message: an allocator may grant a returned range to another node at once.
                self.update_key_leases();
            }
            (None, _) => {
                if self.may_log() {
                    warn!("ignoring a message from {from}, which is no allocator in the budgets file");
                }
            }
            (_, Err(e)) => {
                if self.may_log() {
                    warn!("a message from allocator {from} can't be decoded: {e}");
                }
            }
        }
    }
}
