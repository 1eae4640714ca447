//! One divider at work: datagrams of nodes in and out, calls of other dividers and of operators, and the agreement between.

use crate::clock::Clock;
use crate::raft::{config, parts_of, voter, Peers, Raft};
use crate::raft_storage::{Machine, Store, StoreError};
use crate::rpc::{codec, Call, Caller, Readiness, Reply};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use openraft::{BasicNode, ChangeMembers, ServerState};
use shorepath_membership::{Effect, MemberState, Membership, Peer};
use shorepath_message_auth::channel::{Channel, Dropped};
use shorepath_message_auth::keyring::Keys;
use shorepath_quota::allocator::{Allocator, Entry, Outgoing};
use shorepath_quota::config::Plan;
use shorepath_quota::messages::Message;
use shorepath_quota::{Micros, NodeId, NodeIncarnation};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, MissedTickBehavior};
use tokio_util::codec::Framed;
use tracing::{info, warn};

/// A datagram of the membership begins with this; one of the budgets with JSON.
pub const MEMBERS: u8 = b'm';
/// How often it looks whether something is to be proposed.
const LOOK: Duration = Duration::from_millis(20);
/// How often a fresh divider asks the others how they stand.
const ASKS: Duration = Duration::from_millis(300);
/// How long a divider may take to answer that.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Addresses of lives that are kept, for each node listed.
const KEPT: usize = 8;

/// What a divider is told.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name in the file.
    pub name: String,
    /// Where it listens, if not at its address in the file.
    pub listen: Option<SocketAddr>,
    /// Its folder.
    pub state: PathBuf,
    /// The operator's file, as it was read.
    pub plan: Plan,
    /// The keys that the file names, under which datagrams go. What dividers say to each other over connections carries no code.
    pub keys: Option<Keys>,
    /// Its clock; only tests have it wrong.
    pub clock: Clock,
}

/// Why a divider can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The file does not list it.
    #[error("{0} is no (divider ...) of the file")]
    Unlisted(String),
    /// A socket or the system.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Its disk.
    #[error("its folder can't be used: {0}")]
    Store(#[from] StoreError),
    /// The agreement has ended, as it does when a write fails.
    #[error("the agreement has ended: {0}")]
    Agreement(String),
}

struct Shared {
    name: String,
    plan: RefCell<Plan>,
    clock: Clock,
    caller: Caller,
    allocator: Arc<Mutex<Allocator>>,
    raft: RefCell<Option<(u64, Raft)>>,
    members: RefCell<Membership>,
    line: RefCell<Channel>,
}

impl Shared {
    fn allocator(&self) -> MutexGuard<'_, Allocator> {
        self.allocator.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn raft(&self) -> Option<(u64, Raft)> {
        self.raft.borrow().clone()
    }

    fn name_of(&self, voter: u64) -> Option<String> {
        self.plan.borrow().name_of(parts_of(voter).0).map(str::to_string)
    }

    /// Say it to whoever is there. Lost is lost: what matters is said again.
    async fn send(&self, socket: &UdpSocket, sent: Vec<u8>, to: SocketAddr) {
        let datagram = self.line.borrow_mut().seal(sent);
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

/// A number by chance, from the system.
fn chance() -> Result<u64, ServeError> {
    getrandom::u64().map_err(|e| ServeError::Io(std::io::Error::other(e.to_string())))
}

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Divide until told to stop; `again` reads the operator's file and its keys once more.
///
/// # Errors
/// It can't start, or the agreement has ended.
pub async fn serve(
    options: Options,
    again: impl Fn() -> Option<(Plan, Option<Keys>)>,
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
    let all = plan.allocators.iter().chain(&plan.members).map(|p| NodeId::of(&p.name).0);
    let others: Vec<u32> = all.filter(|n| *n != me.0).collect();
    // Grows over restarts as long as the clock is not set back over one; see the envelope's words.
    let begun = unix();
    let peer = Peer { node: me.0, incarnation: begun };
    let shared = Rc::new(Shared {
        name: name.clone(),
        clock,
        caller: Caller::default(),
        allocator: Arc::new(Mutex::new(Allocator::new(&name, plan.clone(), chance()? as u32))),
        raft: RefCell::default(),
        members: RefCell::new(Membership::new(peer, others, chance()?, clock.now())),
        line: RefCell::new(Channel::new(me.0, begun, &plan.fleet, keys.as_ref())),
        plan: RefCell::new(plan.clone()),
    });
    shared.caller.follow(&plan);
    info!("{name} divides at {address}");
    let calling = spawn_local(answer_calls(calls, shared.clone()));
    let mut joining = spawn_local(join(shared.clone(), store));
    let (done, mut agreed) = mpsc::unbounded_channel();
    let (leads, mut led) = mpsc::unbounded_channel();
    let mut addresses: HashMap<NodeIncarnation, SocketAddr> = HashMap::new();
    let mut look = interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut buffer, mut term, mut joined) = (vec![0; 64 * 1024], None, false);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            Some(()) = hangup.recv() => match again() {
                Some((newer, keys)) => {
                    info!("file of version {} read again", newer.version);
                    shared.line.borrow_mut().set(unix(), &newer.fleet, keys.as_ref());
                    shared.caller.follow(&newer);
                    shared.allocator().set_plan(newer.clone());
                    shared.plan.replace(newer);
                }
                None => warn!("the old file stays"),
            },
            ended = &mut joining, if !joined => match ended {
                Ok(Ok(())) => joined = true,
                Ok(Err(e)) => return Err(e),
                Err(e) => return Err(ServeError::Agreement(e.to_string())),
            },
            came = socket.recv_from(&mut buffer) => {
                // An error is somebody's closed port, told late.
                let Ok((n, from)) = came else { continue };
                receive(&shared, &socket, &buffer[..n], from, &mut addresses).await;
            }
            Some((entry, changed)) = agreed.recv() => {
                let entry: Entry = entry;
                let now = clock.now();
                let outgoing_messages = shared.allocator().complete_proposal(&entry, changed, now);
                log_entry(&shared, &entry, changed);
                send_all(&shared, &socket, outgoing_messages, &addresses).await;
            }
            Some((in_term, ready)) = led.recv() => {
                if term == Some(in_term) && ready {
                    info!("{name} leads in term {in_term}");
                    shared.allocator().set_leader(true);
                } else if term == Some(in_term) {
                    term = None; // asked again at the next look
                }
            }
            _ = look.tick() => {
                let now = clock.now();
                shared.members.borrow_mut().pass(now);
                send_membership(&shared, &socket).await;
                let Some((id, raft)) = shared.raft() else { continue };
                let leading = {
                    let metrics = raft.metrics();
                    let metrics = metrics.borrow();
                    if let Err(e) = &metrics.running_state {
                        return Err(ServeError::Agreement(e.to_string()));
                    }
                    (metrics.state == ServerState::Leader && metrics.current_leader == Some(id))
                        .then_some(metrics.current_term)
                };
                if leading != term {
                    term = leading;
                    shared.allocator().set_leader(false);
                    if let Some(in_term) = leading {
                        let (leads, raft) = (leads.clone(), raft.clone());
                        spawn_local(async move {
                            // Until all that was agreed on before is known here, nothing may be offered.
                            let ready = raft.ensure_linearizable().await.is_ok();
                            let _ = leads.send((in_term, ready));
                        });
                    } else {
                        info!("{name} does not lead");
                    }
                }
                let proposed = shared.allocator().propose(now);
                if let Some(entry) = proposed {
                    let done = done.clone();
                    spawn_local(async move {
                        let changed = raft.client_write(entry.clone()).await.is_ok_and(|w| w.data);
                        let _ = done.send((entry, changed));
                    });
                }
            }
        }
    }
    info!("{name} stops");
    shared.members.borrow_mut().leave(clock.now());
    send_membership(&shared, &socket).await;
    calling.abort();
    if let Some((_, raft)) = shared.raft() {
        let _ = raft.shutdown().await;
    }
    Ok(())
}

fn log_entry(shared: &Shared, entry: &Entry, changed: bool) {
    match entry {
        Entry::Plan(plan) => info!("file of version {} agreed on: {changed}", plan.version),
        Entry::Open(epoch) => info!("fleet {epoch} gives grants from now on: {changed}"),
        Entry::Settled(version) => info!("all go by version {version}: {changed}"),
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
        Entry::Grants { grants, .. } => warn!("{} grants were not agreed on", grants.len()),
    }
}

async fn send_all(
    shared: &Shared,
    socket: &UdpSocket,
    outgoing_messages: Vec<Outgoing>,
    addresses: &HashMap<NodeIncarnation, SocketAddr>,
) {
    for outgoing in outgoing_messages {
        if let Some(to) = addresses.get(&outgoing.to) {
            shared.send(socket, outgoing.message.bytes(), *to).await;
        }
    }
}

async fn send_membership(shared: &Shared, socket: &UdpSocket) {
    let effects = shared.members.borrow_mut().effects();
    for effect in effects {
        match effect {
            Effect::Outgoing { to, bytes } => {
                let address = {
                    let plan = shared.plan.borrow();
                    let mut all = plan.allocators.iter().chain(&plan.members);
                    all.find(|p| NodeId::of(&p.name).0 == to).map(|p| p.address)
                };
                if let Some(address) = address {
                    shared.send(socket, [&[MEMBERS], bytes.as_slice()].concat(), address).await;
                }
            }
            Effect::Changed(member) => {
                let plan = shared.plan.borrow();
                let node = NodeId(member.peer.node);
                info!("member {} {:?}", plan.name_of(node).unwrap_or("?"), member.standing);
                if matches!(member.standing, MemberState::Left | MemberState::Gone) {
                    shared.allocator().remove_node(node);
                }
            }
        }
    }
}

async fn receive(
    shared: &Shared,
    socket: &UdpSocket,
    bytes: &[u8],
    from: SocketAddr,
    addresses: &mut HashMap<NodeIncarnation, SocketAddr>,
) {
    let seems = shared.plan.borrow().node_at(from).map_or(0, |n| n.0);
    let opened = shared.line.borrow_mut().open(bytes, seems);
    let (sender, bytes) = match opened {
        Ok(received) => (received.sender, received.sent),
        Err(Dropped { refused, first }) => {
            if first {
                warn!(
                    "from {from}: {}; told once, counted from now on",
                    shorepath_message_auth::advice(&refused)
                );
            }
            return;
        }
    };
    if let Some((&MEMBERS, rest)) = bytes.split_first() {
        if let Err(e) = shared.members.borrow_mut().receive(shared.clock.now(), rest) {
            tracing::debug!("from {from}: {e}");
        }
        return send_membership(shared, socket).await;
    }
    let message = match Message::read(bytes) {
        Ok(message) => message,
        Err(e) => return warn!("from {from}: {e}"),
    };
    if let (
        Some(sender),
        Message::Ask { holder, .. } | Message::Acknowledge { holder, .. } | Message::Returns { holder, .. },
    ) = (sender, &message)
    {
        if holder.node.0 != sender {
            return warn!("from {from}: a word in another's name");
        }
    }
    if let Message::Ask { holder, .. } = &message {
        let leads = shared.allocator().is_leader();
        if !leads {
            let leader = shared.leader().filter(|l| *l != shared.name);
            return shared.send(socket, Message::NotLeader { leader }.bytes(), from).await;
        }
        // Guards against lives without number: those that come and go, and those that somebody makes up.
        if addresses.len() > KEPT * shared.plan.borrow().nodes.max(8) as usize {
            addresses.clear();
        }
        addresses.insert(*holder, from);
    }
    let now: Micros = shared.clock.now();
    shared.allocator().receive(&message, now);
}

// ---------------------------------------------------------------- calls

async fn answer_calls(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                spawn_local(async move {
                    // A caller that goes away in the middle is no concern of anyone.
                    let _ = answer(stream, &shared).await;
                });
            }
            Err(e) => {
                warn!("accepting a call: {e}");
                sleep(ASKS).await;
            }
        }
    }
}

async fn answer(stream: TcpStream, shared: &Rc<Shared>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut line = Framed::new(stream, codec());
    while let Some(piece) = line.next().await {
        let reply = match serde_json::from_slice::<Call>(&piece?) {
            Ok(call) => reply(call, shared).await,
            Err(e) => Reply::No(format!("no call: {e}")),
        };
        let text = serde_json::to_vec(&reply).map_err(std::io::Error::other)?;
        line.send(Bytes::from(text)).await?;
    }
    Ok(())
}

async fn reply(call: Call, shared: &Rc<Shared>) -> Reply {
    let raft = shared.raft();
    // What is meant for the voter that this one was before it lost its disk is not for it.
    let meant = |to: u64| raft.as_ref().filter(|(id, _)| *id == to).map(|(_, r)| r.clone());
    let none = || Reply::No("no such voter here".into());
    match call {
        Call::Append { to, rpc } => match meant(to) {
            Some(raft) => Reply::Append(raft.append_entries(rpc).await),
            None => none(),
        },
        Call::Vote { to, rpc } => match meant(to) {
            Some(raft) => Reply::Vote(raft.vote(rpc).await),
            None => none(),
        },
        Call::Snapshot { to, rpc } => match meant(to) {
            Some(raft) => Reply::Snapshot(raft.install_snapshot(rpc).await),
            None => none(),
        },
        Call::Hello => Reply::Hello { readiness: shared.readiness().await, leader: shared.leader() },
        Call::Join { name, disk } => take_in(shared, &name, disk),
        Call::Status => {
            let now = shared.clock.now();
            let mut status = shared.allocator().status(shared.leader(), now);
            let plan = shared.plan.borrow();
            let named = |n: u32| plan.name_of(NodeId(n)).map_or_else(|| format!("?{n}"), str::to_string);
            let members = shared.members.borrow();
            status.members = members
                .members()
                .map(|m| {
                    let standing = format!("{:?}", m.standing).to_lowercase();
                    (named(m.peer.node), standing, now - m.since)
                })
                .collect();
            let counts = shared.line.borrow().counts();
            status.refused = counts.into_iter().map(|(why, n)| (why.to_string(), n)).collect();
            Reply::Status(Box::new(status))
        }
    }
}

/// A divider that has begun with an empty disk takes the place of what it was before.
fn take_in(shared: &Rc<Shared>, name: &str, disk: Option<u32>) -> Reply {
    let Some((id, raft)) = shared.raft() else { return Reply::No("not founded".into()) };
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
    let own: Vec<u64> = known.iter().copied().filter(|v| parts_of(*v).0 == node).collect();
    let newest = own.iter().map(|v| parts_of(*v).1).max();
    let disk = disk.unwrap_or_else(|| newest.map_or(1, |n| n + 1));
    let joins = voter(name, disk);
    if membership.voter_ids().any(|v| v == joins) {
        return Reply::Joins(disk);
    }
    let name = name.to_string();
    spawn_local(async move {
        // Each step may fail where another change is under way; the one who joins calls again.
        if let Err(e) = raft.add_learner(joins, BasicNode::new(&name), true).await {
            return warn!("{name} could not be taken in: {e}");
        }
        let mut voters: BTreeSet<u64> = {
            let metrics = raft.metrics().borrow().clone();
            metrics.membership_config.membership().voter_ids().collect()
        };
        voters.retain(|v| parts_of(*v).0 != node);
        voters.insert(joins);
        match raft.change_membership(ChangeMembers::ReplaceAllVoters(voters), false).await {
            Ok(_) => info!("{name} takes part again, with its disk {disk}"),
            Err(e) => warn!("{name} could not become a voter: {e}"),
        }
    });
    Reply::Joins(disk)
}

// ------------------------------------------------------------ beginning

/// Take part: as the voter that the disk says, or as a founder, or as one that has lost its disk.
async fn join(shared: Rc<Shared>, store: Store) -> Result<(), ServeError> {
    let disk: Option<u32> = store.fact("disk")?;
    let disk = match disk {
        Some(disk) => disk,
        None => fresh(&shared, &store).await?,
    };
    let id = voter(&shared.name, disk);
    let machine = Machine::new(store.clone(), shared.clock, shared.allocator.clone())?;
    let raft = Raft::new(id, config(), Peers(shared.caller.clone()), store, machine).await;
    let raft = raft.map_err(|e| ServeError::Agreement(e.to_string()))?;
    shared.raft.replace(Some((id, raft.clone())));
    if disk == 0 {
        return found(&shared, &raft).await;
    }
    // Until it is a voter it asks to be one: the one that took it in may have ended in the middle of it.
    loop {
        let votes = raft.metrics().borrow().membership_config.membership().voter_ids().any(|v| v == id);
        if votes {
            return Ok(());
        }
        ask_others(&shared, || Call::Join { name: shared.name.clone(), disk: Some(disk) }).await;
        sleep(ASKS * 3).await;
    }
}

/// The answers of all other dividers, by name; `None` for those that gave none.
async fn ask_others(shared: &Rc<Shared>, call: impl Fn() -> Call) -> BTreeMap<String, Option<Reply>> {
    let names: Vec<String> = shared.plan.borrow().allocators.iter().map(|d| d.name.clone()).collect();
    let mut asked = Vec::new();
    for name in names.into_iter().filter(|n| *n != shared.name) {
        let (shared, call) = (shared.clone(), call());
        asked.push(spawn_local(async move {
            let reply = shared.caller.call(NodeId::of(&name), &call, TIMEOUT).await;
            (name, reply.ok())
        }));
    }
    let mut all = BTreeMap::new();
    for task in asked {
        all.extend(task.await.ok());
    }
    all
}

/// With an empty disk: nothing is done before it is known whether there is a fleet. Which of its disks this is.
async fn fresh(shared: &Rc<Shared>, store: &Store) -> Result<u32, ServeError> {
    loop {
        let replies = ask_others(shared, || Call::Hello).await;
        let readiness = |r: &Option<Reply>| match r {
            Some(Reply::Hello { readiness, .. }) => Some(readiness.clone()),
            _ => None,
        };
        if replies.values().all(|r| matches!(readiness(r), Some(Readiness::Fresh | Readiness::Ready))) {
            // Nobody has ever voted: it may be what the file calls it.
            store.keep("disk", &0u32)?;
            return Ok(0);
        }
        if replies.values().any(|r| readiness(r) == Some(Readiness::Founded)) {
            let notified = ask_others(shared, || Call::Join { name: shared.name.clone(), disk: None }).await;
            let disk =
                notified.values().find_map(|r| if let Some(Reply::Joins(d)) = r { Some(*d) } else { None });
            if let Some(disk) = disk {
                info!("{} has lost its disk; it comes back as its disk {disk}", shared.name);
                store.keep("disk", &disk)?;
                return Ok(disk);
            }
        }
        sleep(ASKS).await;
    }
}

/// Found the fleet, if this divider is the one to do so: once all are ready. What grants an earlier one gave end before this
/// one gives any.
async fn found(shared: &Rc<Shared>, raft: &Raft) -> Result<(), ServeError> {
    let allocators = shared.plan.borrow().allocators.clone();
    while !raft.is_initialized().await.unwrap_or(true) {
        if allocators.first().is_some_and(|d| d.name == shared.name) {
            let replies = ask_others(shared, || Call::Hello).await;
            let ready =
                |r: &Option<Reply>| matches!(r, Some(Reply::Hello { readiness: Readiness::Ready, .. }));
            if replies.values().all(ready) {
                let all: BTreeMap<u64, BasicNode> =
                    allocators.iter().map(|d| (voter(&d.name, 0), BasicNode::new(&d.name))).collect();
                info!("{} founds the fleet with {} dividers", shared.name, all.len());
                // Who was faster has founded it.
                let _ = raft.initialize(all).await;
            }
        }
        sleep(ASKS).await;
    }
    Ok(())
}
