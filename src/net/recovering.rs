//! A node's way back from a loss of power: what `shorepath-recovery` decides, between the disk, the other nodes, the operators' door and
//! the log. Off where the file of sites has no `(recover ...)`.

use super::server_table::{LastList, Listing};
use serde::{Deserialize, Serialize};
use shorepath_quota::Micros;
use shorepath_recovery::disk_trust::{
    classify_disk, outage, trust_level, DiskState, Identity, StoredItem, TrustLevel,
};
use shorepath_recovery::incarnations::{DiskIncarnation, Message, PeerState, Peers, Reply};
use shorepath_recovery::phases::{Admits, Observation, Phase, Recovery, Transition};
use shorepath_sites::recovery_config::RecoveryConfig;
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Op, Store, StoreError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Partners are asked this often until all of them count.
const ASKS: Micros = 250_000;
/// Afterwards they hear this often that this life goes on.
const NOTIFY_INTERVAL: Micros = 2_000_000;
/// A life that was heard within this goes on.
const LIVES: Micros = 5_000_000;
/// The disk is told this often that the node has power.
const MARKS: Micros = 2_000_000;
/// The facts that are kept: whose disk it is, when it was written last, each other node's last life, and discovery's last list.
const IDENTITY: &str = "recovery/identity";
const WRITTEN: &str = "recovery/written";
const PEER: &str = "recovery/peer/";
const LIST: &str = "recovery/list";
const LIST_AT: &str = "recovery/list at";

/// Whose disk it is, as it is kept.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Own {
    node: String,
    disk: u64,
    boots: u64,
    /// It was this node's whole disk once.
    whole: bool,
}

/// What the steps go by beside the disk and the peers.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// There are servers to send to.
    pub servers: bool,
    /// Partners have said what they know of this node's own log, as far as is waited for.
    pub asked: bool,
    /// Every partner has.
    pub complete: bool,
    /// They know entries of it that the disk does not.
    pub refounded: bool,
    /// Something guarded may be placed under a lease of this life, or there are no leases.
    pub epoch: bool,
}

/// Another node's life that this one was asked to remember.
#[derive(Debug)]
pub struct Claimed {
    node: u32,
    life: DiskIncarnation,
    done: Result<(), Arc<StoreError>>,
}

/// A node on its way back.
#[derive(Debug)]
pub struct Recovering {
    name: String,
    me: DiskIncarnation,
    back: RefCell<Recovery>,
    since: Cell<Micros>,
    disk: Cell<DiskState>,
    /// The disk can be acted by: it is whole, or what is missing was excused.
    whole: Cell<bool>,
    /// An operator has excused what may be missing.
    excused: Cell<bool>,
    /// This start is on the disk.
    counted: bool,
    /// When the disk was written last, in Unix time, and how long ago that is, where the clock can be believed.
    written: Option<Micros>,
    outage: Option<Micros>,
    peers: RefCell<Peers>,
    /// The last life of each other node, and when it was heard.
    lives: RefCell<BTreeMap<u32, (DiskIncarnation, Option<Micros>)>>,
    outgoing_messages: RefCell<Vec<(u32, Message)>>,
    asks_at: Cell<Micros>,
    marks_at: Cell<Micros>,
    /// All lost power; unknown until peers have answered.
    all_lost: Cell<Option<bool>>,
    group_commit: Arc<GroupCommit>,
    claims: mpsc::UnboundedSender<Claimed>,
    /// Discovery's list as it stands, and how old the one is that the disk had and this life began with.
    list: Rc<LastList>,
    begins_with: Cell<Option<Micros>>,
    /// The disk has a list of this life.
    marked: Arc<AtomicBool>,
}

impl Recovering {
    /// Begin with what that store holds of the node of that name; a process's number is `drawn` by chance, and a new disk's as well. What
    /// the disk has written of other nodes is told to them; what it has done is told by `claims`.
    ///
    /// # Errors
    /// The disk can't be read.
    pub fn open(
        name: &str,
        clause: &RecoveryConfig,
        (store, group_commit): (&Store, Arc<GroupCommit>),
        (drawn, now, unix): (u64, Micros, Micros),
        claims: mpsc::UnboundedSender<Claimed>,
    ) -> Result<Recovering, StoreError> {
        let before = store.fact::<Own>(IDENTITY)?;
        let written = store.fact::<Micros>(WRITTEN)?;
        let mut own =
            before.clone().unwrap_or(Own { node: name.to_string(), disk: drawn, boots: 0, whole: false });
        let identity = |o: &Own| Identity { node: o.node.clone(), disk: o.disk, boots: o.boots };
        let kept = before.as_ref().filter(|o| o.whole).map(identity);
        let disk = classify_disk(kept.as_ref(), name, None, false);
        // What another node has written here is about its clients; counted from now on it is this one's.
        if disk == DiskState::Strange {
            own = Own { node: name.to_string(), disk: drawn, boots: 0, whole: false };
        }
        own.boots += 1;
        // Guards against serving nothing where there is no room: what may be repeated needs no disk. A start that is not counted could not
        // be told from the one before, so what must not run twice waits.
        let counted = store.commit(&[Op::remember(IDENTITY, &own), Op::remember(WRITTEN, &unix)]);
        if let Err(e) = &counted {
            warn!("recovery: this start can't be written down, guarded work waits for another one: {e}");
        }
        let me = DiskIncarnation { disk: own.disk, boots: own.boots, process: drawn };
        let mut back = Recovery::new(clause.limits(), now);
        let moved = back.observe(Observation::DiskRead(disk), now);
        let recovering = Recovering {
            name: name.to_string(),
            me,
            back: RefCell::new(back),
            since: Cell::new(now),
            disk: Cell::new(disk),
            whole: Cell::new(false),
            excused: Cell::new(false),
            counted: counted.is_ok(),
            written,
            outage: written.and_then(|at| outage(at, unix)),
            peers: RefCell::new(Peers::new(me, !own.whole)),
            lives: RefCell::default(),
            outgoing_messages: RefCell::default(),
            asks_at: Cell::new(now),
            marks_at: Cell::new(now + MARKS),
            all_lost: Cell::new(None),
            group_commit,
            claims,
            list: Rc::default(),
            begins_with: Cell::new(None),
            marked: Arc::default(),
        };
        let gone = match (written, recovering.outage) {
            (None, _) => "unknown: the disk is new".to_string(),
            (Some(_), None) => "unknown: the clock went backwards, or months on".to_string(),
            (_, Some(gone)) => format!("{} ms", gone / 1_000),
        };
        info!("recovery disk={disk:?} boots={} outage={gone}", me.boots);
        recovering.report(moved, now);
        Ok(recovering)
    }

    /// What the disk has of other nodes' lives, by their numbers.
    ///
    /// # Errors
    /// The disk can't be read.
    pub fn recall(&self, store: &Store, nodes: impl IntoIterator<Item = u32>) -> Result<(), StoreError> {
        for node in nodes {
            if let Some(life) = store.fact::<DiskIncarnation>(&format!("{PEER}{node}"))? {
                self.lives.borrow_mut().insert(node, (life, None));
            }
        }
        Ok(())
    }

    /// The list that the disk has, to begin with until discovery's has come; none that is too old, or of which nobody knows how old it is.
    pub fn last_list(&self, store: &Store, unix: Micros) -> Option<Listing> {
        let notified = store.fact::<Micros>(LIST_AT).ok()??;
        let age = outage(notified, unix)?;
        if trust_level(StoredItem::List, self.disk.get(), Some(age)) != TrustLevel::AsInitial {
            return None;
        }
        let list = store.fact::<Listing>(LIST).unwrap_or_else(|e| {
            warn!("recovery: the last list can't be read: {e}");
            None
        })?;
        self.begins_with.set(Some(age));
        info!("recovery: begins with the last list, {} ms old", age / 1_000);
        Some(list)
    }

    /// Discovery's list as it stands goes here.
    pub fn list(&self) -> Rc<LastList> {
        self.list.clone()
    }

    /// These are asked from now on.
    pub fn meet(&self, peers: &[u32]) {
        self.peers.borrow_mut().set_peers(peers);
    }

    fn report(&self, moved: Vec<Transition>, now: Micros) {
        for Transition { from, to, reason, by_operator } in moved {
            self.since.set(now);
            info!("recovery step=\"{to}\" before=\"{from}\" why=\"{reason}\" by_hand={by_operator}");
        }
    }

    fn learn(&self, updates: Observation, now: Micros) {
        let moved = self.back.borrow_mut().observe(updates, now);
        self.report(moved, now);
    }

    /// Have on the disk whether it can be acted by: one that was not stays so over a restart.
    fn keep_own(&self, whole: bool) {
        let own = Own { node: self.name.clone(), disk: self.me.disk, boots: self.me.boots, whole };
        self.group_commit.commit(vec![Op::remember(IDENTITY, &own)], |done| {
            if let Err(e) = done {
                warn!("recovery: whether the disk is whole is not on it: {e}");
            }
        });
    }

    fn judge(&self, facts: Facts, now: Micros) {
        if self.excused.get() || !self.counted {
            return;
        }
        let Some(mut disk) = self.peers.borrow().classify_disk() else { return };
        // Guards against a copy that was taken while its own process lived: boots don't tell it, what partners have of its log does.
        if facts.refounded && disk.is_complete() {
            disk = DiskState::Old;
        }
        if disk != self.disk.replace(disk) {
            warn!("recovery disk={disk:?}: by what its peers remember");
            if !disk.is_complete() {
                self.keep_own(false);
            }
            self.learn(Observation::DiskRead(disk), now);
        }
        let whole = disk.is_complete() && facts.asked;
        if whole && !self.whole.replace(whole) {
            self.keep_own(true);
            self.asks_at.set(now);
        }
        self.whole.set(whole);
    }

    /// Time has passed, or something has changed. Whether it is known from now on that all have lost power.
    pub fn pass(&self, facts: Facts, now: Micros, unix: Micros) -> bool {
        self.judge(facts, now);
        if facts.complete && self.peers.borrow().all_confirmed() {
            self.learn(Observation::PeersReplied, now);
        }
        if facts.asked {
            self.learn(Observation::CaughtUp, now);
        }
        self.learn(Observation::ServersListed(usize::from(facts.servers)), now);
        // One whose disk another process has taken over acts under nothing any more.
        self.learn(Observation::Epoch(facts.epoch && self.whole.get()), now);
        if now >= self.asks_at.get() {
            let peers = self.peers.borrow();
            self.asks_at.set(now + if peers.all_confirmed() { NOTIFY_INTERVAL } else { ASKS });
            let ask = Message::Ask { me: self.me, claims: self.whole.get() };
            self.outgoing_messages.borrow_mut().extend(peers.states().map(|(node, _)| (node, ask.clone())));
        }
        if now >= self.marks_at.get() {
            self.marks_at.set(now + MARKS);
            let mut ops = vec![Op::remember(WRITTEN, &unix)];
            if let Some(list) = self.list.take_updates() {
                ops.push(Op::remember(LIST_AT, &unix));
                ops.extend(list.map(|list| Op::remember(LIST, &list)));
            }
            let (marked, has_list) = (self.marked.clone(), ops.len() > 1);
            self.group_commit.commit(ops, move |done| match done {
                Ok(()) => drop(marked.fetch_or(has_list, Ordering::Relaxed)),
                Err(e) => warn!("recovery: that the node has power is not on the disk: {e}"),
            });
        }
        self.lost()
    }

    fn lost(&self) -> bool {
        let step = self.back.borrow().phase();
        let peers = self.peers.borrow();
        if self.all_lost.get().is_some() || !(peers.all_replied() || step > Phase::Asking) {
            return false;
        }
        let all = !peers.is_local_outage();
        self.all_lost.set(Some(all));
        match all {
            true => info!("recovery: hardly a peer had power meanwhile, servers are taken for cold"),
            false => info!("recovery: others had power meanwhile"),
        }
        all
    }

    /// Another node says something.
    pub fn receive(&self, from: u32, message: Message, now: Micros) {
        let (life, claims) = match message {
            Message::Reply(reply) => return self.peers.borrow_mut().record_reply(from, reply),
            Message::Ask { me, claims } => (me, claims),
        };
        let known = self.lives.borrow().get(&from).copied();
        match known {
            Some((known, _)) if known == life => {
                self.lives.borrow_mut().insert(from, (life, Some(now)));
            }
            _ if claims => {
                let claims = self.claims.clone();
                self.group_commit.commit(vec![Op::remember(format!("{PEER}{from}"), &life)], move |done| {
                    // Nobody hears it where the node ends.
                    let _ = claims.send(Claimed { node: from, life, done });
                });
                return;
            }
            _ => {}
        }
        self.answer(from, life, now);
    }

    /// The disk has another node's life, or not.
    pub fn claimed(&self, claimed: Claimed, now: Micros) {
        let Claimed { node, life, done } = claimed;
        match done {
            Ok(()) => drop(self.lives.borrow_mut().insert(node, (life, Some(now)))),
            Err(e) => warn!("recovery: another node's life is not on the disk: {e}"),
        }
        self.answer(node, life, now);
    }

    fn answer(&self, to: u32, life: DiskIncarnation, now: Micros) {
        let known = self.lives.borrow().get(&to).copied();
        let received = known.and_then(|(_, received)| received);
        let lives = known.is_some_and(|(l, _)| l.process != life.process)
            && received.is_some_and(|at| now - at < LIVES);
        let outlived = match &known {
            Some((known, received)) => known.process != life.process && received.is_some(),
            None => self.back.borrow().phase() == Phase::Serving,
        };
        let known = known.map(|(life, _)| life);
        let reply = Reply {
            to: life.process,
            known,
            other_alive: lives,
            complete: self.whole.get(),
            kept_power: outlived,
        };
        self.outgoing_messages.borrow_mut().push((to, Message::Reply(reply)));
    }

    /// What is to be said, to whom.
    pub fn take_outgoing(&self) -> Vec<(u32, Message)> {
        std::mem::take(&mut self.outgoing_messages.borrow_mut())
    }

    /// What may be served.
    pub fn admits(&self) -> Admits {
        self.back.borrow().admits()
    }

    /// What it waits for, for clients and operators; nothing once it serves all.
    pub fn waits_for(&self, now: Micros) -> Option<&'static str> {
        let back = self.back.borrow();
        match back.phase() {
            Phase::Guarded if !self.counted => {
                Some("a start that can be written down: make room on its disk first")
            }
            Phase::Asking | Phase::Guarded | Phase::Serving if self.list.is_notified_empty() => {
                Some("servers: discovery's list is empty")
            }
            _ => back.waits_for(now),
        }
    }

    /// An operator lets it go on. What it does now.
    ///
    /// # Errors
    /// Nobody can let it go on from there, and why.
    pub fn release(&self, now: Micros) -> Result<String, String> {
        let step = self.back.borrow().phase();
        let waits = self.waits_for(now).unwrap_or("nothing");
        let excuses = !self.whole.get() || !self.peers.borrow().all_confirmed();
        if step == Phase::Serving || step == Phase::Guarded && (!excuses || !self.counted) {
            return Err(format!("{step}: it waits for {waits}, which nobody can release"));
        }
        warn!("recovery: an operator releases step=\"{step}\" waits_for=\"{waits}\"");
        if step == Phase::Guarded {
            self.excused.set(true);
            self.whole.set(true);
            self.keep_own(true);
            self.asks_at.set(now);
        }
        self.learn(Observation::Release(step), now);
        Ok(format!("released; it waits for {}", self.waits_for(now).unwrap_or("nothing")))
    }

    /// For operators, a line each; `name` tells a node's name by its number.
    pub fn state(&self, name: impl Fn(u32) -> String, now: Micros) -> String {
        let (step, admits) = (self.back.borrow().phase(), self.admits());
        let mut text =
            format!("step \"{step}\" for_ms={} admits={admits:?}\n", (now - self.since.get()) / 1_000);
        text += &format!("waits_for \"{}\"\n", self.waits_for(now).unwrap_or("nothing"));
        let (DiskIncarnation { disk, boots, .. }, excused) = (self.me, self.excused.get());
        text += &format!("disk {:?} number={disk:016x} boots={boots} excused={excused}\n", self.disk.get());
        text += &match (self.written, self.outage) {
            (None, _) => "outage unknown why=\"the disk is new\"\n".to_string(),
            (Some(_), None) => "outage unknown why=\"the clock went backwards, or months on\"\n".to_string(),
            (_, Some(gone)) => format!("outage ms={}\n", gone / 1_000),
        };
        text += match self.all_lost.get() {
            None => "loss \"peers have not told yet\"\n",
            Some(true) => "loss \"of all\"\n",
            Some(false) => "loss \"of this node: others had power\"\n",
        };
        for item in [
            StoredItem::Intents,
            StoredItem::Answers,
            StoredItem::Epoch,
            StoredItem::Leases,
            StoredItem::List,
            StoredItem::Health,
        ] {
            text += &format!("trust {item:?} {}\n", trust_level(item, self.disk.get(), self.outage));
        }
        if let Some(age) = self.begins_with.get() {
            text += &format!("list \"as a beginning\" age_ms={}\n", age / 1_000);
        }
        if self.marked.load(Ordering::Relaxed) {
            text += "list kept\n";
        }
        for (node, peer) in self.peers.borrow().states() {
            let (state, why) = match peer {
                PeerState::Silent => ("Silent", "it has said nothing"),
                PeerState::Incomplete => ("NotWhole", "what must not run twice may be missing on its disk"),
                PeerState::Unclaimed => ("Unclaimed", "it does not yet remember this life"),
                PeerState::Counts => ("Counts", "it remembers this life"),
            };
            text += &format!("peer {} {state} why=\"{why}\"\n", name(node));
        }
        text
    }
}
