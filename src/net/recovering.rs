//! Recovers a node after a loss of power.
//!
//! Connects the rules of `shorepath-recovery` with the disk, the peers, the operators' commands and the placement log. Inactive
//! if the sites file has no `(recover ...)`.

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

/// Interval between questions to the peers until all of them have confirmed this incarnation, in microseconds.
const ASK_INTERVAL: Micros = 250_000;
/// Interval between messages that keep this incarnation alive at the peers afterwards, in microseconds.
const NOTIFY_INTERVAL: Micros = 2_000_000;
/// Microseconds since its last message for which an incarnation is considered alive.
const ALIVE_TIMEOUT: Micros = 5_000_000;
/// Interval at which the disk records that the node has power, in microseconds.
const POWER_RECORD_INTERVAL: Micros = 2_000_000;
/// Stored facts: the identity of the disk, the time of its last write, each other node's incarnation, and discovery's last list.
const IDENTITY_FACT: &str = "recovery/identity";
const LAST_WRITTEN_FACT: &str = "recovery/written";
const PEER_FACT_PREFIX: &str = "recovery/peer/";
const LIST_FACT: &str = "recovery/list";
const LIST_TIME_FACT: &str = "recovery/list at";

/// The stored identity of a disk.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredIdentity {
    node: String,
    disk: u64,
    boots: u64,
    /// Whether the disk was once known to hold all records of this node.
    #[serde(rename = "whole")]
    complete: bool,
}

/// Conditions for the recovery phases besides the disk and the peers.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryInputs {
    /// Whether there are backend servers.
    pub has_servers: bool,
    /// Whether the peers have sent what they know of this node's log, as far as the node waits for them.
    pub peers_answered: bool,
    /// Whether every peer has sent all that it knows.
    pub exchanges_complete: bool,
    /// Whether the peers know entries of this node's log that the disk lacks.
    pub log_replaced: bool,
    /// Whether guarded requests may be placed under a lease of this incarnation, or no leases are used.
    pub has_epoch: bool,
}

/// Result of storing another node's incarnation on its request.
#[derive(Debug)]
pub struct SavedIncarnation {
    node: u32,
    incarnation: DiskIncarnation,
    result: Result<(), Arc<StoreError>>,
}

/// The recovery of this node after a loss of power.
#[derive(Debug)]
pub struct NodeRecovery {
    name: String,
    me: DiskIncarnation,
    phases: RefCell<Recovery>,
    phase_since: Cell<Micros>,
    disk: Cell<DiskState>,
    /// Whether the disk may be relied on: its records are complete, or an operator has accepted that some are missing.
    disk_usable: Cell<bool>,
    /// Whether an operator has accepted that records may be missing.
    excused: Cell<bool>,
    /// Whether this start was recorded on the disk.
    start_recorded: bool,
    /// Unix time of the last write before this start, and the time since then if the clock is plausible, in microseconds.
    last_write_at: Option<Micros>,
    outage: Option<Micros>,
    peers: RefCell<Peers>,
    /// Last known incarnation of each other node, and when a message of it arrived.
    incarnations: RefCell<BTreeMap<u32, (DiskIncarnation, Option<Micros>)>>,
    outgoing_messages: RefCell<Vec<(u32, Message)>>,
    ask_at: Cell<Micros>,
    record_power_at: Cell<Micros>,
    /// Whether all nodes lost power; `None` until the peers have answered.
    all_lost_power: Cell<Option<bool>>,
    group_commit: Arc<GroupCommit>,
    saved_sender: mpsc::UnboundedSender<SavedIncarnation>,
    /// Discovery's current list, and the age in microseconds of the stored list that this process started with.
    list: Rc<LastList>,
    initial_list_age: Cell<Option<Micros>>,
    /// Whether a list of this process is on the disk.
    list_stored: Arc<AtomicBool>,
}

impl NodeRecovery {
    /// Starts the recovery of the node `name` from its store. `random` identifies this process, and a new disk. `saved_sender`
    /// gets the results of storing other nodes' incarnations.
    ///
    /// # Errors
    /// Fails if the disk can't be read.
    pub fn open(
        name: &str,
        clause: &RecoveryConfig,
        (store, group_commit): (&Store, Arc<GroupCommit>),
        (random, now, unix): (u64, Micros, Micros),
        saved_sender: mpsc::UnboundedSender<SavedIncarnation>,
    ) -> Result<NodeRecovery, StoreError> {
        let stored = store.fact::<StoredIdentity>(IDENTITY_FACT)?;
        let last_write_at = store.fact::<Micros>(LAST_WRITTEN_FACT)?;
        let mut own_identity = stored.clone().unwrap_or(StoredIdentity {
            node: name.to_string(),
            disk: random,
            boots: 0,
            complete: false,
        });
        let identity = |stored: &StoredIdentity| Identity {
            node: stored.node.clone(),
            disk: stored.disk,
            boots: stored.boots,
        };
        let complete_identity = stored.as_ref().filter(|stored| stored.complete).map(identity);
        let disk = classify_disk(complete_identity.as_ref(), name, None, false);
        // Records of another node describe its clients; from now on the disk belongs to this node.
        if disk == DiskState::Strange {
            own_identity = StoredIdentity { node: name.to_string(), disk: random, boots: 0, complete: false };
        }
        own_identity.boots += 1;
        // A full disk must not stop requests that may be repeated. A start that is not recorded can't be distinguished from the
        // one before, so requests that must run at most once wait.
        let recorded = store
            .commit(&[Op::set_fact(IDENTITY_FACT, &own_identity), Op::set_fact(LAST_WRITTEN_FACT, &unix)]);
        if let Err(e) = &recorded {
            warn!("recovery: this start could not be recorded: {e}; guarded requests wait, free disk space and restart the node");
        }
        let me = DiskIncarnation { disk: own_identity.disk, boots: own_identity.boots, process: random };
        let mut phases = Recovery::new(clause.limits(), now);
        let transitions = phases.observe(Observation::DiskRead(disk), now);
        let recovery = NodeRecovery {
            name: name.to_string(),
            me,
            phases: RefCell::new(phases),
            phase_since: Cell::new(now),
            disk: Cell::new(disk),
            disk_usable: Cell::new(false),
            excused: Cell::new(false),
            start_recorded: recorded.is_ok(),
            last_write_at,
            outage: last_write_at.and_then(|at| outage(at, unix)),
            peers: RefCell::new(Peers::new(me, !own_identity.complete)),
            incarnations: RefCell::default(),
            outgoing_messages: RefCell::default(),
            ask_at: Cell::new(now),
            record_power_at: Cell::new(now + POWER_RECORD_INTERVAL),
            all_lost_power: Cell::new(None),
            group_commit,
            saved_sender,
            list: Rc::default(),
            initial_list_age: Cell::new(None),
            list_stored: Arc::default(),
        };
        let outage_text = match (last_write_at, recovery.outage) {
            (None, _) => "unknown: the disk is new".to_string(),
            (Some(_), None) => "unknown: the clock went backwards, or months on".to_string(),
            (_, Some(duration)) => format!("{} ms", duration / 1_000),
        };
        info!("recovery disk={disk:?} boots={} outage={outage_text}", me.boots);
        recovery.log_transitions(transitions, now);
        Ok(recovery)
    }

    /// Loads the stored incarnations of the given nodes.
    ///
    /// # Errors
    /// Fails if the disk can't be read.
    pub fn load_incarnations(
        &self,
        store: &Store,
        nodes: impl IntoIterator<Item = u32>,
    ) -> Result<(), StoreError> {
        for node in nodes {
            if let Some(incarnation) = store.fact::<DiskIncarnation>(&format!("{PEER_FACT_PREFIX}{node}"))? {
                self.incarnations.borrow_mut().insert(node, (incarnation, None));
            }
        }
        Ok(())
    }

    /// Returns the stored server list, to use until discovery sends one; `None` if its age is too great or unknown.
    pub fn last_list(&self, store: &Store, unix: Micros) -> Option<Listing> {
        let stored_at = store.fact::<Micros>(LIST_TIME_FACT).ok()??;
        let age = outage(stored_at, unix)?;
        if trust_level(StoredItem::List, self.disk.get(), Some(age)) != TrustLevel::AsInitial {
            return None;
        }
        let list = store.fact::<Listing>(LIST_FACT).unwrap_or_else(|e| {
            warn!("recovery: the stored server list can't be read: {e}");
            None
        })?;
        self.initial_list_age.set(Some(age));
        info!(
            "recovery: using the stored server list, which is {} ms old, until discovery sends one",
            age / 1_000
        );
        Some(list)
    }

    /// Returns where to put discovery's current list so that it is stored.
    pub fn list_store(&self) -> Rc<LastList> {
        self.list.clone()
    }

    /// Sets the peers to ask.
    pub fn set_peers(&self, peers: &[u32]) {
        self.peers.borrow_mut().set_peers(peers);
    }

    fn log_transitions(&self, transitions: Vec<Transition>, now: Micros) {
        for Transition { from, to, reason, by_operator } in transitions {
            self.phase_since.set(now);
            info!("recovery step=\"{to}\" before=\"{from}\" why=\"{reason}\" by_hand={by_operator}");
        }
    }

    fn observe(&self, updates: Observation, now: Micros) {
        let transitions = self.phases.borrow_mut().observe(updates, now);
        self.log_transitions(transitions, now);
    }

    /// Stores whether the disk's records are complete, so that the result survives a restart.
    fn store_identity(&self, complete: bool) {
        let own_identity =
            StoredIdentity { node: self.name.clone(), disk: self.me.disk, boots: self.me.boots, complete };
        self.group_commit.commit(vec![Op::set_fact(IDENTITY_FACT, &own_identity)], |result| {
            if let Err(e) = result {
                warn!("recovery: the state of the disk could not be recorded: {e}");
            }
        });
    }

    fn update_disk_state(&self, inputs: RecoveryInputs, now: Micros) {
        if self.excused.get() || !self.start_recorded {
            return;
        }
        let Some(mut disk) = self.peers.borrow().classify_disk() else { return };
        // Guards against a copy of the disk made while its process ran: the boot count can't show it, but the peers' knowledge of
        // the log can.
        if inputs.log_replaced && disk.is_complete() {
            disk = DiskState::Old;
        }
        if disk != self.disk.replace(disk) {
            warn!("recovery disk={disk:?}: the state of this node's disk was determined from the reports of other nodes");
            if !disk.is_complete() {
                self.store_identity(false);
            }
            self.observe(Observation::DiskRead(disk), now);
        }
        let complete = disk.is_complete() && inputs.peers_answered;
        if complete && !self.disk_usable.replace(complete) {
            self.store_identity(true);
            self.ask_at.set(now);
        }
        self.disk_usable.set(complete);
    }

    /// Updates the recovery. Returns `true` once, when it becomes known that all nodes have lost power.
    pub fn tick(&self, inputs: RecoveryInputs, now: Micros, unix: Micros) -> bool {
        self.update_disk_state(inputs, now);
        if inputs.exchanges_complete && self.peers.borrow().all_confirmed() {
            self.observe(Observation::PeersReplied, now);
        }
        if inputs.peers_answered {
            self.observe(Observation::CaughtUp, now);
        }
        self.observe(Observation::ServersListed(usize::from(inputs.has_servers)), now);
        // A process whose disk was taken over by another must not act under any lease.
        self.observe(Observation::Epoch(inputs.has_epoch && self.disk_usable.get()), now);
        if now >= self.ask_at.get() {
            let peers = self.peers.borrow();
            self.ask_at.set(now + if peers.all_confirmed() { NOTIFY_INTERVAL } else { ASK_INTERVAL });
            let ask = Message::Ask { me: self.me, claims: self.disk_usable.get() };
            self.outgoing_messages.borrow_mut().extend(peers.states().map(|(node, _)| (node, ask.clone())));
        }
        if now >= self.record_power_at.get() {
            self.record_power_at.set(now + POWER_RECORD_INTERVAL);
            let mut ops = vec![Op::set_fact(LAST_WRITTEN_FACT, &unix)];
            if let Some(list) = self.list.take_updates() {
                ops.push(Op::set_fact(LIST_TIME_FACT, &unix));
                ops.extend(list.map(|list| Op::set_fact(LIST_FACT, &list)));
            }
            let (list_stored, has_list) = (self.list_stored.clone(), ops.len() > 1);
            self.group_commit.commit(ops, move |result| match result {
                Ok(()) => drop(list_stored.fetch_or(has_list, Ordering::Relaxed)),
                Err(e) => warn!("recovery: could not record that the node has power: {e}"),
            });
        }
        self.detect_common_outage()
    }

    fn detect_common_outage(&self) -> bool {
        let phase = self.phases.borrow().phase();
        let peers = self.peers.borrow();
        if self.all_lost_power.get().is_some() || !(peers.all_replied() || phase > Phase::Asking) {
            return false;
        }
        let all = !peers.is_local_outage();
        self.all_lost_power.set(Some(all));
        match all {
            true => info!("recovery: most peers lost power too; servers are treated as cold"),
            false => info!("recovery: other nodes kept power"),
        }
        all
    }

    /// Handles a message of another node.
    pub fn receive(&self, from: u32, message: Message, now: Micros) {
        let (incarnation, claims) = match message {
            Message::Reply(reply) => return self.peers.borrow_mut().record_reply(from, reply),
            Message::Ask { me, claims } => (me, claims),
        };
        let known = self.incarnations.borrow().get(&from).copied();
        match known {
            Some((known, _)) if known == incarnation => {
                self.incarnations.borrow_mut().insert(from, (incarnation, Some(now)));
            }
            _ if claims => {
                let saved_sender = self.saved_sender.clone();
                self.group_commit.commit(
                    vec![Op::set_fact(format!("{PEER_FACT_PREFIX}{from}"), &incarnation)],
                    move |result| {
                        // The receiver is dropped when the node stops.
                        let _ = saved_sender.send(SavedIncarnation { node: from, incarnation, result });
                    },
                );
                return;
            }
            _ => {}
        }
        self.reply_to(from, incarnation, now);
    }

    /// Replies to a node once its incarnation was stored, or could not be.
    pub fn on_incarnation_saved(&self, saved: SavedIncarnation, now: Micros) {
        let SavedIncarnation { node, incarnation, result } = saved;
        match result {
            Ok(()) => drop(self.incarnations.borrow_mut().insert(node, (incarnation, Some(now)))),
            Err(e) => warn!("recovery: another node's incarnation could not be recorded: {e}"),
        }
        self.reply_to(node, incarnation, now);
    }

    fn reply_to(&self, to: u32, incarnation: DiskIncarnation, now: Micros) {
        let known = self.incarnations.borrow().get(&to).copied();
        let received = known.and_then(|(_, received)| received);
        let is_other_alive = known.is_some_and(|(known, _)| known.process != incarnation.process)
            && received.is_some_and(|at| now - at < ALIVE_TIMEOUT);
        let has_kept_power = match &known {
            Some((known, received)) => known.process != incarnation.process && received.is_some(),
            None => self.phases.borrow().phase() == Phase::Serving,
        };
        let known = known.map(|(incarnation, _)| incarnation);
        let reply = Reply {
            to: incarnation.process,
            known,
            other_alive: is_other_alive,
            complete: self.disk_usable.get(),
            kept_power: has_kept_power,
        };
        self.outgoing_messages.borrow_mut().push((to, Message::Reply(reply)));
    }

    /// Takes the messages to send, by node number.
    pub fn take_outgoing(&self) -> Vec<(u32, Message)> {
        std::mem::take(&mut self.outgoing_messages.borrow_mut())
    }

    /// Returns which requests may be served.
    pub fn admits(&self) -> Admits {
        self.phases.borrow().admits()
    }

    /// Returns what the recovery waits for, for clients and operators; `None` once all requests are served.
    pub fn waits_for(&self, now: Micros) -> Option<&'static str> {
        let phases = self.phases.borrow();
        match phases.phase() {
            Phase::Guarded if !self.start_recorded => {
                Some("a start that can be written down: make room on its disk first")
            }
            Phase::Asking | Phase::Guarded | Phase::Serving if self.list.is_confirmed_empty() => {
                Some("servers: discovery's list is empty")
            }
            _ => phases.waits_for(now),
        }
    }

    /// Lets the recovery go on by an operator's decision, and returns what it does next.
    ///
    /// # Errors
    /// Returns an explanation if an operator can't release the recovery from its current phase.
    pub fn release_phase(&self, now: Micros) -> Result<String, String> {
        let phase = self.phases.borrow().phase();
        let waits = self.waits_for(now).unwrap_or("nothing");
        let can_excuse = !self.disk_usable.get() || !self.peers.borrow().all_confirmed();
        if phase == Phase::Serving || phase == Phase::Guarded && (!can_excuse || !self.start_recorded) {
            return Err(format!("{phase}: it waits for {waits}, which nobody can release"));
        }
        warn!("recovery: an operator releases step=\"{phase}\" waits_for=\"{waits}\"");
        if phase == Phase::Guarded {
            self.excused.set(true);
            self.disk_usable.set(true);
            self.store_identity(true);
            self.ask_at.set(now);
        }
        self.observe(Observation::Release(phase), now);
        Ok(format!("released; it waits for {}", self.waits_for(now).unwrap_or("nothing")))
    }

    /// Returns the recovery status for operators, one item per line. `name` returns the name of a node by its number.
    pub fn status(&self, name: impl Fn(u32) -> String, now: Micros) -> String {
        let (phase, admits) = (self.phases.borrow().phase(), self.admits());
        let mut text =
            format!("step \"{phase}\" for_ms={} admits={admits:?}\n", (now - self.phase_since.get()) / 1_000);
        text += &format!("waits_for \"{}\"\n", self.waits_for(now).unwrap_or("nothing"));
        let (DiskIncarnation { disk, boots, .. }, excused) = (self.me, self.excused.get());
        text += &format!("disk {:?} number={disk:016x} boots={boots} excused={excused}\n", self.disk.get());
        text += &match (self.last_write_at, self.outage) {
            (None, _) => "outage unknown why=\"the disk is new\"\n".to_string(),
            (Some(_), None) => "outage unknown why=\"the clock went backwards, or months on\"\n".to_string(),
            (_, Some(duration)) => format!("outage ms={}\n", duration / 1_000),
        };
        text += match self.all_lost_power.get() {
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
        if let Some(age) = self.initial_list_age.get() {
            text += &format!("list \"as a beginning\" age_ms={}\n", age / 1_000);
        }
        if self.list_stored.load(Ordering::Relaxed) {
            text += "list kept\n";
        }
        for (node, peer) in self.peers.borrow().states() {
            let why = match peer {
                PeerState::Silent => "it has said nothing",
                PeerState::NotWhole => "what must not run twice may be missing on its disk",
                PeerState::Unclaimed => "it does not yet remember this life",
                PeerState::Counts => "it remembers this life",
            };
            text += &format!("peer {} {peer:?} why=\"{why}\"\n", name(node));
        }
        text
    }
}
