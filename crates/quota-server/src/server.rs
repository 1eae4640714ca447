//! The event loop of an allocator: datagrams of nodes, calls of other allocators and of operators, and the replicated log.

use crate::call_server;
use crate::clock::Clock;
use crate::raft::{config, node_and_disk, voter_id, PeerConnector, Raft};
use crate::raft_storage::{StateMachine, Store, StoreError};
use crate::rpc::{Call, Caller, Readiness, Reply};
use openraft::{BasicNode, ChangeMembers, ServerState};
use shorepath_membership::{Effect, MemberState, Membership, Peer};
use shorepath_message_auth::channel::{Channel, Dropped};
use shorepath_message_auth::keyring::Keys;
use shorepath_quota::allocator::{Allocator, Entry, Outgoing};
use shorepath_quota::config::Plan;
use shorepath_quota::log_limit::LogLimit;
use shorepath_quota::messages::Message;
use shorepath_quota::source_limits::SourceLimits;
use shorepath_quota::{Micros, NodeId, NodeIncarnation};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, MissedTickBehavior};
use tracing::{info, warn};

/// The first byte of a datagram of the membership protocol; other datagrams are JSON of the quota protocol.
pub const MEMBERSHIP_PREFIX: u8 = b'm';
/// The interval of checks for entries to propose.
const PROPOSAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between calls to the other allocators while this one joins.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The timeout of a call to another allocator.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Most datagrams that are dropped at once before other work gets its turn.
const MAX_DROPPED_BATCH: usize = 512;
/// The most addresses of node incarnations that are remembered, on average per node of the fleet.
const MAX_ADDRESSES_PER_NODE: usize = 8;

/// The options of an allocator.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this allocator in the budgets file.
    pub name: String,
    /// The address to listen on; `None` for the one in the budgets file.
    pub listen: Option<SocketAddr>,
    /// The folder for the replicated log.
    pub state: PathBuf,
    /// The configuration from the budgets file.
    pub plan: Plan,
    /// The keys that authenticate datagrams; `None` for no authentication. Calls between allocators are not authenticated.
    pub keys: Option<Keys>,
    /// The clock for lease terms; tests skew it.
    pub clock: Clock,
}

/// Reports why an allocator can't start or continue.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The budgets file does not list the allocator.
    #[error("the budgets file has no (divider {0} ...); add it or correct --name")]
    Unlisted(String),
    /// A socket or a system call failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The state folder failed.
    #[error("the state folder can't be used: {0}")]
    Store(#[from] StoreError),
    /// Raft has stopped, as it does after a failed write.
    #[error("the replicated log has stopped: {0}; check the disk and restart")]
    Raft(String),
}

/// The state that the tasks of an allocator share.
struct Shared {
    name: String,
    plan: RefCell<Plan>,
    clock: Clock,
    caller: Caller,
    allocator: Arc<Mutex<Allocator>>,
    raft: RefCell<Option<(u64, Raft)>>,
    membership: RefCell<Membership>,
    channel: RefCell<Channel>,
    /// Limits the lines about what others send.
    log_limit: RefCell<LogLimit>,
}

impl Shared {
    fn allocator(&self) -> MutexGuard<'_, Allocator> {
        self.allocator.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns whether a line on what others send may be logged; logs how many were left out before it.
    fn may_log(&self) -> bool {
        let admitted = self.log_limit.borrow_mut().admits(self.clock.now());
        if let Some(left_out @ 1..) = admitted {
            warn!("{left_out} lines on messages and members were left out");
        }
        admitted.is_some()
    }

    fn raft(&self) -> Option<(u64, Raft)> {
        self.raft.borrow().clone()
    }

    fn name_of(&self, voter_id: u64) -> Option<String> {
        self.plan.borrow().name_of(node_and_disk(voter_id).0).map(str::to_string)
    }

    /// Sends a datagram. Errors are ignored, since the protocols repeat lost messages.
    async fn send(&self, socket: &UdpSocket, sent: Vec<u8>, to: SocketAddr) {
        let datagram = self.channel.borrow_mut().sign(sent);
        let _ = socket.send_to(&datagram, to).await;
    }

    fn leader(&self) -> Option<String> {
        let (_, raft) = self.raft()?;
        let leader = raft.metrics().borrow().current_leader?;
        self.name_of(leader)
    }

    async fn readiness(&self) -> Readiness {
        match self.raft() {
            None => Readiness::Fresh,
            Some((_, raft)) if raft.is_initialized().await.unwrap_or(false) => Readiness::Founded,
            Some(_) => Readiness::Ready,
        }
    }
}

/// Returns a random number from the operating system.
fn random_number() -> Result<u64, ServeError> {
    getrandom::u64().map_err(|e| ServeError::Io(std::io::Error::other(e.to_string())))
}

/// Returns the microseconds since the Unix epoch.
fn unix_time() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Runs an allocator until a signal stops it; `reload` reads the configuration and its keys again and returns `None` where
/// they can't be used.
///
/// # Errors
/// The allocator can't start, or its replica of the log has stopped.
pub async fn serve(
    options: Options,
    reload: impl Fn() -> Option<(Plan, Option<Keys>)>,
) -> Result<(), ServeError> {
    let Options { name, listen, state, plan, keys, clock } = options;
    let own = plan.allocators.iter().find(|d| d.name == name).ok_or(ServeError::Unlisted(name.clone()))?;
    let address = listen.unwrap_or(own.address);
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let store = Store::open(&state)?;
    let calls = TcpListener::bind(address).await?;
    let socket = UdpSocket::bind(address).await?;
    let me = NodeId::of(&name);
    let others = plan.others(me).map(|node| node.0).collect();
    // Increases over restarts, unless the clock is set back by more than the time between two starts.
    let started_at = unix_time();
    let peer = Peer { node: me.0, incarnation: started_at };
    let shared = Rc::new(Shared {
        name: name.clone(),
        clock,
        caller: Caller::default(),
        allocator: Arc::new(Mutex::new(Allocator::new(&name, plan.clone(), random_number()? as u32))),
        raft: RefCell::default(),
        membership: RefCell::new(Membership::new(peer, others, random_number()?, clock.now())),
        channel: RefCell::new(Channel::new(me.0, started_at, &plan.fleet, keys.as_ref())),
        log_limit: RefCell::new(LogLimit::new(clock.now())),
        plan: RefCell::new(plan.clone()),
    });
    shared.caller.set_addresses(&plan);
    info!("{name} listens on {address}");
    let call_server = spawn_local(call_server::serve(calls, {
        let shared = shared.clone();
        move |call| {
            let shared = shared.clone();
            async move { reply(call, &shared).await }
        }
    }));
    let mut joining = spawn_local(join(shared.clone(), store));
    let (completion_sender, mut completions) = mpsc::unbounded_channel();
    let (ready_sender, mut ready_receiver) = mpsc::unbounded_channel();
    let mut addresses: HashMap<NodeIncarnation, SocketAddr> = HashMap::new();
    let mut source_limits = SourceLimits::new(clock.now());
    let mut proposal_check = interval(PROPOSAL_CHECK_INTERVAL);
    proposal_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut buffer, mut term, mut joined) = (vec![0; 64 * 1024], None, false);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            Some(()) = hangup.recv() => match reload() {
                Some((newer, keys)) => {
                    info!("budgets file read again: version {}", newer.version);
                    shared.channel.borrow_mut().reconfigure(unix_time(), &newer.fleet, keys.as_ref());
                    shared.caller.set_addresses(&newer);
                    shared.allocator().set_plan(newer.clone());
                    shared.membership.borrow_mut().set_others(newer.others(me).map(|node| node.0).collect());
                    shared.plan.replace(newer);
                }
                None => warn!("the previous budgets file stays in use; correct the file and send SIGHUP again"),
            },
            join_result = &mut joining, if !joined => match join_result {
                Ok(Ok(())) => joined = true,
                Ok(Err(e)) => return Err(e),
                Err(e) => return Err(ServeError::Raft(e.to_string())),
            },
            // An error is returned by the call that receives.
            _ = socket.readable() => {
                let next = next_admitted(&shared, &socket, &mut buffer, &mut source_limits);
                if let Some((length, from)) = next {
                    receive(&shared, &socket, &buffer[..length], from, &mut addresses).await;
                }
            }
            Some((entry, changed)) = completions.recv() => {
                let entry: Entry = entry;
                let now = clock.now();
                let messages = shared.allocator().complete_proposal(&entry, changed, now);
                log_entry(&shared, &entry, changed);
                send_all(&shared, &socket, messages, &addresses).await;
            }
            Some((in_term, ready)) = ready_receiver.recv() => {
                if term == Some(in_term) && ready {
                    info!("{name} is the leader in term {in_term}");
                    shared.allocator().set_leader(true);
                } else if term == Some(in_term) {
                    term = None; // repeated at the next check
                }
            }
            _ = proposal_check.tick() => {
                let now = clock.now();
                shared.membership.borrow_mut().advance(now);
                send_membership(&shared, &socket).await;
                let Some((id, raft)) = shared.raft() else { continue };
                let leader_term = {
                    let metrics = raft.metrics();
                    let metrics = metrics.borrow();
                    if let Err(e) = &metrics.running_state {
                        return Err(ServeError::Raft(e.to_string()));
                    }
                    (metrics.state == ServerState::Leader && metrics.current_leader == Some(id))
                        .then_some(metrics.current_term)
                };
                if leader_term != term {
                    term = leader_term;
                    shared.allocator().set_leader(false);
                    if let Some(in_term) = leader_term {
                        let (ready_sender, raft) = (ready_sender.clone(), raft.clone());
                        spawn_local(async move {
                            // A new leader grants nothing before it has applied all committed entries.
                            let ready = raft.ensure_linearizable().await.is_ok();
                            let _ = ready_sender.send((in_term, ready));
                        });
                    } else {
                        info!("{name} is not the leader");
                    }
                }
                let proposed = shared.allocator().propose(now);
                if let Some(entry) = proposed {
                    let completion_sender = completion_sender.clone();
                    spawn_local(async move {
                        let changed = raft.client_write(entry.clone()).await.is_ok_and(|w| w.data);
                        let _ = completion_sender.send((entry, changed));
                    });
                }
            }
        }
    }
    info!("{name} shuts down");
    shared.membership.borrow_mut().leave(clock.now());
    send_membership(&shared, &socket).await;
    call_server.abort();
    if let Some((_, raft)) = shared.raft() {
        let _ = raft.shutdown().await;
    }
    Ok(())
}

/// Logs a completed proposal.
fn log_entry(shared: &Shared, entry: &Entry, changed: bool) {
    match entry {
        Entry::Plan(plan) => info!("proposed configuration version {}, applied={changed}", plan.version),
        Entry::Open(epoch) => info!("epoch {epoch} gives grants from now on, applied={changed}"),
        Entry::Settled(version) => info!("all nodes use configuration version {version}, applied={changed}"),
        Entry::Grants { grants, .. } if changed => {
            for (budget, g) in grants {
                let plan = shared.plan.borrow();
                let node = plan.name_of(g.holder.node).unwrap_or("?");
                let (epoch, number) = (g.epoch, g.number);
                tracing::debug!(
                    "grant {budget} to {node}/{} amount={} {epoch}/{number}",
                    g.holder.incarnation,
                    g.amount
                );
            }
        }
        Entry::Grants { grants, .. } => {
            warn!("{} grants were not committed; the nodes ask again", grants.len())
        }
    }
}

async fn send_all(
    shared: &Shared,
    socket: &UdpSocket,
    messages: Vec<Outgoing>,
    addresses: &HashMap<NodeIncarnation, SocketAddr>,
) {
    for outgoing in messages {
        if let Some(to) = addresses.get(&outgoing.to) {
            shared.send(socket, outgoing.message.bytes(), *to).await;
        }
    }
}

async fn send_membership(shared: &Shared, socket: &UdpSocket) {
    let effects = shared.membership.borrow_mut().take_effects();
    for effect in effects {
        match effect {
            Effect::Outgoing { to, bytes } => {
                let address = {
                    let plan = shared.plan.borrow();
                    let mut all = plan.allocators.iter().chain(&plan.members);
                    all.find(|p| NodeId::of(&p.name).0 == to).map(|p| p.address)
                };
                if let Some(address) = address {
                    shared.send(socket, [&[MEMBERSHIP_PREFIX], bytes.as_slice()].concat(), address).await;
                }
            }
            Effect::Changed(member) => {
                let plan = shared.plan.borrow();
                let node = NodeId(member.peer.node);
                if shared.may_log() {
                    info!(
                        "node {} changed its membership state to {:?}",
                        plan.name_of(node).unwrap_or("?"),
                        member.state
                    );
                }
                if matches!(member.state, MemberState::Left | MemberState::Gone) {
                    shared.allocator().remove_node(node);
                }
            }
        }
    }
}

/// Receives the next datagram that waits at the socket, without those whose sources have sent too many: dropped one after another, they
/// leave more of the others.
fn next_admitted(
    shared: &Shared,
    socket: &UdpSocket,
    buffer: &mut [u8],
    source_limits: &mut SourceLimits,
) -> Option<(usize, SocketAddr)> {
    for _ in 0..MAX_DROPPED_BATCH {
        // An error reports that nothing waits, or that an earlier datagram reached a closed port.
        let (length, from) = socket.try_recv_from(buffer).ok()?;
        if source_limits.admits(from, &shared.plan.borrow(), shared.clock.now()) {
            return Some((length, from));
        }
    }
    None
}

async fn receive(
    shared: &Shared,
    socket: &UdpSocket,
    bytes: &[u8],
    from: SocketAddr,
    addresses: &mut HashMap<NodeIncarnation, SocketAddr>,
) {
    let claimed_sender = shared.plan.borrow().node_at(from).map_or(0, |n| n.0);
    let verified = shared.channel.borrow_mut().verify(bytes, claimed_sender);
    let (sender, bytes) = match verified {
        Ok(received) => (received.sender, received.body),
        Err(Dropped { refused, first }) => {
            if first {
                warn!(
                    "datagram from {from} dropped: {}; further ones are only counted",
                    shorepath_message_auth::advice(&refused)
                );
            }
            return;
        }
    };
    if let Some((&MEMBERSHIP_PREFIX, rest)) = bytes.split_first() {
        if let Err(e) = shared.membership.borrow_mut().receive(shared.clock.now(), rest) {
            tracing::debug!("datagram from {from} dropped: {e}");
        }
        return send_membership(shared, socket).await;
    }
    let message = match Message::read(bytes) {
        Ok(message) => message,
        Err(e) => {
            if shared.may_log() {
                warn!("datagram from {from} dropped: {e}");
            }
            return;
        }
    };
    if let (
        Some(sender),
        Message::Ask { holder, .. } | Message::Acknowledge { holder, .. } | Message::Returns { holder, .. },
    ) = (sender, &message)
    {
        if holder.node.0 != sender {
            if shared.may_log() {
                warn!("datagram from {from} dropped: it names another node than its sender");
            }
            return;
        }
    }
    if let Message::Ask { .. } = &message {
        let is_leader = shared.allocator().is_leader();
        if !is_leader {
            let leader = shared.leader().filter(|l| *l != shared.name);
            return shared.send(socket, Message::NotLeader { leader }.bytes(), from).await;
        }
    }
    let now: Micros = shared.clock.now();
    shared.allocator().receive(&message, now);
    if let Message::Ask { holder, .. } = &message {
        remember_address(shared, *holder, from, addresses);
    }
}

/// Remembers where a node incarnation awaits its grants, for as long as the allocator processes its requests.
fn remember_address(
    shared: &Shared,
    holder: NodeIncarnation,
    from: SocketAddr,
    addresses: &mut HashMap<NodeIncarnation, SocketAddr>,
) {
    let allocator = shared.allocator();
    if !allocator.is_requester(&holder) {
        return;
    }
    // Guards against unbounded memory through many restarts or forged incarnations.
    if addresses.len() > MAX_ADDRESSES_PER_NODE * shared.plan.borrow().nodes.max(8) as usize {
        addresses.retain(|known, _| allocator.is_requester(known));
    }
    addresses.insert(holder, from);
}

async fn reply(call: Call, shared: &Rc<Shared>) -> Reply {
    let raft = shared.raft();
    // Raft calls to the id that this allocator had before it lost its disk are rejected.
    let addressed_raft = |to: u64| raft.as_ref().filter(|(id, _)| *id == to).map(|(_, r)| r.clone());
    let wrong_voter = || Reply::No("no such voter here".into());
    match call {
        Call::Append { to, rpc } => match addressed_raft(to) {
            Some(raft) => Reply::Append(raft.append_entries(rpc).await),
            None => wrong_voter(),
        },
        Call::Vote { to, rpc } => match addressed_raft(to) {
            Some(raft) => Reply::Vote(raft.vote(rpc).await),
            None => wrong_voter(),
        },
        Call::Snapshot { to, rpc } => match addressed_raft(to) {
            Some(raft) => Reply::Snapshot(raft.install_snapshot(rpc).await),
            None => wrong_voter(),
        },
        Call::Hello => Reply::Hello { readiness: shared.readiness().await, leader: shared.leader() },
        Call::Join { name, disk } => add_voter(shared, &name, disk),
        Call::Status => {
            let now = shared.clock.now();
            let mut status = shared.allocator().status(shared.leader(), now);
            let plan = shared.plan.borrow();
            let named = |n: u32| plan.name_of(NodeId(n)).map_or_else(|| format!("?{n}"), str::to_string);
            let members = shared.membership.borrow();
            status.members = members
                .members()
                .map(|m| {
                    let standing = format!("{:?}", m.state).to_lowercase();
                    (named(m.peer.node), standing, now - m.since)
                })
                .collect();
            let rejections = shared.channel.borrow().counts();
            status.refused = rejections.into_iter().map(|(why, n)| (why.to_string(), n)).collect();
            Reply::Status(Box::new(status))
        }
    }
}

/// Replaces the Raft id of an allocator that has lost its disk by a new one, and returns its disk number.
fn add_voter(shared: &Rc<Shared>, name: &str, disk: Option<u32>) -> Reply {
    let Some((id, raft)) = shared.raft() else {
        return Reply::No("not founded".into());
    };
    let metrics = raft.metrics().borrow().clone();
    if metrics.current_leader != Some(id) || metrics.state != ServerState::Leader {
        return Reply::No("does not lead".into());
    }
    let node = NodeId::of(name);
    if shared.plan.borrow().allocators.iter().all(|d| d.name != name) {
        return Reply::No(format!("{name} is not listed here"));
    }
    let membership = metrics.membership_config.membership();
    let known: BTreeSet<u64> = membership.nodes().map(|(id, _)| *id).collect();
    let previous_ids: Vec<u64> = known.iter().copied().filter(|v| node_and_disk(*v).0 == node).collect();
    let newest = previous_ids.iter().map(|v| node_and_disk(*v).1).max();
    let disk = disk.unwrap_or_else(|| newest.map_or(1, |n| n + 1));
    let joining = voter_id(name, disk);
    if membership.voter_ids().any(|v| v == joining) {
        return Reply::Joins(disk);
    }
    let name = name.to_string();
    spawn_local(async move {
        // Each step fails while another membership change is pending; the joining allocator calls again.
        if let Err(e) = raft.add_learner(joining, BasicNode::new(&name), true).await {
            return warn!("{name} could not be added as a learner, it will ask again: {e}");
        }
        let mut voters: BTreeSet<u64> = {
            let metrics = raft.metrics().borrow().clone();
            metrics.membership_config.membership().voter_ids().collect()
        };
        voters.retain(|v| node_and_disk(*v).0 != node);
        voters.insert(joining);
        match raft.change_membership(ChangeMembers::ReplaceAllVoters(voters), false).await {
            Ok(_) => info!("{name} is a voter again, with disk number {disk}"),
            Err(e) => warn!("{name} could not become a voter, it will ask again: {e}"),
        }
    });
    Reply::Joins(disk)
}

/// Joins the replicated log: with the stored disk number, or as an initial voter, or as a replacement after a lost disk.
async fn join(shared: Rc<Shared>, store: Store) -> Result<(), ServeError> {
    let disk: Option<u32> = store.read_value("disk")?;
    let disk = match disk {
        Some(disk) => disk,
        None => choose_disk(&shared, &store).await?,
    };
    let id = voter_id(&shared.name, disk);
    let machine = StateMachine::new(store.clone(), shared.clock, shared.allocator.clone())?;
    let raft = Raft::new(id, config(), PeerConnector(shared.caller.clone()), store, machine).await;
    let raft = raft.map_err(|e| ServeError::Raft(e.to_string()))?;
    shared.raft.replace(Some((id, raft.clone())));
    if disk == 0 {
        return initialize_log(&shared, &raft).await;
    }
    // Repeats the call until this allocator is a voter, since a leader may fail before it has added it.
    loop {
        let is_voter = raft.metrics().borrow().membership_config.membership().voter_ids().any(|v| v == id);
        if is_voter {
            return Ok(());
        }
        ask_others(&shared, || Call::Join { name: shared.name.clone(), disk: Some(disk) }).await;
        sleep(RETRY_INTERVAL * 3).await;
    }
}

/// Calls all other allocators and returns their replies by name; `None` for calls that failed.
async fn ask_others(shared: &Rc<Shared>, call: impl Fn() -> Call) -> BTreeMap<String, Option<Reply>> {
    let names: Vec<String> = shared.plan.borrow().allocators.iter().map(|d| d.name.clone()).collect();
    let mut tasks = Vec::new();
    for name in names.into_iter().filter(|n| *n != shared.name) {
        let (shared, call) = (shared.clone(), call());
        tasks.push(spawn_local(async move {
            let reply = shared.caller.call(NodeId::of(&name), &call, CALL_TIMEOUT).await;
            (name, reply.ok())
        }));
    }
    let mut all = BTreeMap::new();
    for task in tasks {
        all.extend(task.await.ok());
    }
    all
}

/// Determines the disk number of an empty state folder: 0 if no log is initialized yet, else the number that the leader assigns.
async fn choose_disk(shared: &Rc<Shared>, store: &Store) -> Result<u32, ServeError> {
    loop {
        let replies = ask_others(shared, || Call::Hello).await;
        let readiness = |r: &Option<Reply>| match r {
            Some(Reply::Hello { readiness, .. }) => Some(readiness.clone()),
            _ => None,
        };
        if replies.values().all(|r| matches!(readiness(r), Some(Readiness::Fresh | Readiness::Ready))) {
            // No allocator has voted yet, so this one may use its initial Raft id.
            store.write_value("disk", &0u32)?;
            return Ok(0);
        }
        if replies.values().any(|r| readiness(r) == Some(Readiness::Founded)) {
            let join_replies =
                ask_others(shared, || Call::Join { name: shared.name.clone(), disk: None }).await;
            let disk =
                join_replies
                    .values()
                    .find_map(|r| if let Some(Reply::Joins(d)) = r { Some(*d) } else { None });
            if let Some(disk) = disk {
                info!("{} has an empty state folder and joins again with disk number {disk}", shared.name);
                store.write_value("disk", &disk)?;
                return Ok(disk);
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Waits until the log is initialized. The first listed allocator initializes it once all others are ready. New grants start
/// only after all grants of an earlier log have expired.
async fn initialize_log(shared: &Rc<Shared>, raft: &Raft) -> Result<(), ServeError> {
    let allocators = shared.plan.borrow().allocators.clone();
    while !raft.is_initialized().await.unwrap_or(true) {
        if allocators.first().is_some_and(|d| d.name == shared.name) {
            let replies = ask_others(shared, || Call::Hello).await;
            let ready =
                |r: &Option<Reply>| matches!(r, Some(Reply::Hello { readiness: Readiness::Ready, .. }));
            if replies.values().all(ready) {
                let all: BTreeMap<u64, BasicNode> =
                    allocators.iter().map(|d| (voter_id(&d.name, 0), BasicNode::new(&d.name))).collect();
                info!("{} initializes the replicated log with {} allocators", shared.name, all.len());
                // An error means that the log is already initialized.
                let _ = raft.initialize(all).await;
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
    Ok(())
}
