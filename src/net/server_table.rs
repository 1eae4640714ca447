//! The server table: keeps discovery's list of backend servers up to date over a long-lived watch request.

use super::backoff::{Backoff, WatchOutcome, PROPAGATION_LIMIT, SILENCE_TIMEOUT};
use super::close_reason::{CloseReason, Side};
use super::codec::{ClientCodec, OutgoingRequest, ReadError, ResponsePart};
use super::connection::Peer;
use super::deadlines::Deadlines;
use super::exchange::{Exchange, ServerEntry};
use super::fleet::DiscoveryCallLimit;
use super::objects::JsonObjects;
use super::pool::Pool;
use super::{poll_sockets, Job};
use futures_util::FutureExt;
use serde::{Deserialize, Serialize};
use shorepath_scheduler::micros_from_ms;
use shorepath_scheduler::EndpointState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tracing::{info, warn};

/// Maximum size of a list or of one set of changes, in bytes.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// How long a list or a set of changes may take from its request, or from the object or heartbeat before it, until it is complete.
const FIRST_LIST_TIMEOUT: Duration = PROPAGATION_LIMIT;
/// The same timeout after lists that were not complete in time: each of them doubles it up to this.
const MAX_LIST_TIMEOUT: Duration = Duration::from_secs(96);

/// A complete list of backend servers, or changes to one, in discovery's JSON format.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Listing {
    revision: u64,
    complete: bool,
    members: Vec<Entry>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u32,
    phase: Phase,
    #[serde(default = "default_size")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn default_size() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Active,
    Leaving,
    Left,
}

/// A list has an entry without a valid address.
#[derive(Debug, Error)]
#[error("server '{id}' has no address with a port: '{address}'")]
pub struct EntryError {
    id: String,
    address: String,
}

impl Listing {
    /// Returns whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Checks all entries.
    ///
    /// # Errors
    /// Fails at the first entry without a valid address.
    pub fn check(&self) -> Result<(), EntryError> {
        self.members.iter().try_for_each(|e| e.server().map(drop))
    }
}

impl Entry {
    fn server(&self) -> Result<ServerEntry, EntryError> {
        let invalid = || EntryError { id: self.id.clone(), address: self.host_port.clone() };
        let address = match self.phase {
            Phase::Left => None,
            _ => Some(self.host_port.parse().map_err(|_| invalid())?),
        };
        Ok(ServerEntry {
            name: self.id.clone(),
            address,
            zone: self.locality.clone(),
            kind: self.flavor.clone(),
            cell: self.cell,
            capacity: self.size,
            state: match self.phase {
                Phase::Active => EndpointState::Live,
                Phase::Leaving => EndpointState::Draining,
                Phase::Left => EndpointState::Removed,
            },
            started_at: micros_from_ms(self.up_since_ms),
        })
    }
}

/// Discovery's current list, from which the recovery stores it on the disk.
#[derive(Debug, Default)]
pub struct LastList {
    entries: RefCell<BTreeMap<String, Entry>>,
    /// The list has changed since the last call of [`LastList::take_updates`].
    changed: Cell<bool>,
    /// Discovery has sent or confirmed the list since the last call of [`LastList::take_updates`].
    confirmed: Cell<bool>,
    /// Discovery has sent or confirmed the list since the process started.
    ever_confirmed: Cell<bool>,
}

impl LastList {
    fn confirm(&self) {
        self.confirmed.set(true);
        self.ever_confirmed.set(true);
    }

    /// Returns whether discovery has sent a list since the process started and that list is empty.
    pub fn is_confirmed_empty(&self) -> bool {
        self.ever_confirmed.get() && self.entries.borrow().is_empty()
    }

    fn apply(&self, listing: &Listing) {
        let mut entries = self.entries.borrow_mut();
        if listing.complete {
            entries.clear();
        }
        for entry in &listing.members {
            match entry.phase {
                Phase::Left => drop(entries.remove(&entry.id)),
                _ => drop(entries.insert(entry.id.clone(), entry.clone())),
            }
        }
        self.changed.set(true);
    }

    /// Returns `Some` if discovery has sent or confirmed the list since the last call, with the complete list if it has changed.
    /// Its revision is 0, because discovery may restart its revision numbers after a power loss.
    pub fn take_updates(&self) -> Option<Option<Listing>> {
        let members = || self.entries.borrow().values().cloned().collect();
        let listing = || Listing { revision: 0, complete: true, members: members() };
        self.confirmed.take().then(|| self.changed.take().then(listing))
    }
}

/// Follows discovery and passes its list on to the exchange.
#[derive(Debug)]
pub struct ServerTable {
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    pool: Rc<Pool>,
    discovery_address: watch::Receiver<SocketAddr>,
    backoff: Backoff,
    call_limit: Rc<DiscoveryCallLimit>,
    /// Where the current list is recorded to be stored; `None` if it isn't stored.
    last_list: Option<Rc<LastList>>,
    /// A stored list is in use.
    is_restored: bool,
}

type Connection = super::connection::Connection<ClientCodec>;

/// The state of a watch, from which the next watch continues.
struct WatchState {
    /// Revision after which changes are requested; `None` if the complete list is needed.
    revision: Option<u64>,
    /// Number of lists and changes received over this connection.
    lists: u64,
    /// When the call to discovery for this watch started, including its connection setup; `None` before that.
    call_started_at: Option<Instant>,
    /// When discovery last sent a list, changes or a heartbeat over this connection; `None` before the first.
    confirmed_at: Option<Instant>,
    /// Start of the current silence: the last request, the last bytes of a response head or of an object, or the last heartbeat.
    silent_since: Instant,
    /// When the last request was sent, or the last complete object or heartbeat arrived.
    waiting_since: Instant,
    /// How long after `waiting_since` the next object has to be complete.
    list_timeout: Duration,
}

impl WatchState {
    /// Creates the state before the first watch of a node that has the list of `revision`.
    fn new(revision: u64, now: Instant) -> Self {
        WatchState {
            revision: Some(revision),
            lists: 0,
            call_started_at: None,
            confirmed_at: None,
            silent_since: now,
            waiting_since: now,
            list_timeout: FIRST_LIST_TIMEOUT,
        }
    }

    /// Returns when the wait for more of a response ends if nothing arrives, and the reason.
    fn response_due(&self) -> (Instant, CloseReason) {
        let silence_ends = self.silent_since + SILENCE_TIMEOUT;
        let list_due = self.waiting_since + self.list_timeout;
        match silence_ends <= list_due {
            true => (silence_ends, CloseReason::Silent),
            false => (list_due, CloseReason::TooSlow),
        }
    }
}

impl ServerTable {
    /// Creates a server table that follows the discovery at the latest value of `discovery_address`.
    pub fn new(
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        pool: Rc<Pool>,
        discovery_address: watch::Receiver<SocketAddr>,
        backoff: Backoff,
        call_limit: Rc<DiscoveryCallLimit>,
    ) -> Self {
        ServerTable {
            exchange,
            deadlines,
            pool,
            discovery_address,
            backoff,
            call_limit,
            last_list: None,
            is_restored: false,
        }
    }

    /// Puts a list that was stored before the restart into use, if there is one, and records discovery's lists in `last_list` from
    /// now on.
    pub fn restore(&mut self, last_list: Rc<LastList>, stored: Option<Listing>) {
        let servers =
            stored.map(|stored| stored.members.iter().map(Entry::server).collect::<Result<Vec<_>, _>>());
        match servers {
            Some(Ok(servers)) => {
                self.exchange.update_servers(servers, true);
                self.is_restored = true;
            }
            Some(Err(e)) => warn!("the stored server list can't be used: {e}"),
            None => {}
        }
        self.last_list = Some(last_list);
    }

    /// Starts with the configured list and keeps a watch open for as long as the node runs.
    pub async fn follow(mut self, known: Listing) {
        let silent_since = Instant::now();
        let mut state = WatchState::new(known.revision, silent_since);
        // The stored list may be of a discovery that has restarted its revision numbers since, so the complete list is requested.
        if self.is_restored {
            state.revision = None;
        } else if let Err(e) = self.apply(Listing { complete: true, ..known }, &mut state) {
            warn!("the configured list of known servers can't be used: {e}");
        }
        let mut address = self.discovery_address.clone();
        let (nodes, grace) = self.exchange.discovery_timing();
        self.backoff.configure(nodes, grace);
        let mut pause = self.backoff.pause(WatchOutcome::NotTried, None, silent_since);
        // Expired propagation deadline of the last warning, so that each one is logged once.
        let mut last_warned_deadline = None;
        let mut has_moved = false;
        loop {
            // A new address also counts before the first call: the initial list is then another discovery's.
            if !has_moved {
                tokio::select! {
                    biased;
                    () = address_changed(&mut address) => has_moved = true,
                    () = self.deadlines.after(pause) => {}
                }
            }
            if has_moved {
                self.backoff.discovery_changed(Instant::now());
                // The revisions of another discovery mean nothing to the new one. The list in use stays until the new one sends its own.
                state.revision = None;
                state.list_timeout = FIRST_LIST_TIMEOUT;
            }
            (state.lists, state.call_started_at, state.confirmed_at) = (0, None, None);
            let discovery = *address.borrow_and_update();
            let close_reason = tokio::select! {
                biased;
                () = address_changed(&mut address) => CloseReason::Moved,
                close_reason = self.watch(discovery, &mut state) => close_reason,
            };
            close_reason.log(Side::ServerTable, discovery, state.lists);
            let now = Instant::now();
            state.confirmed_at.into_iter().for_each(|at| self.backoff.confirmed(at));
            let outcome = match close_reason {
                CloseReason::Busy => WatchOutcome::Busy,
                _ if state.confirmed_at.is_some() => WatchOutcome::Confirmed,
                _ => WatchOutcome::Unanswered,
            };
            has_moved = close_reason == CloseReason::Moved;
            if !has_moved {
                let (nodes, grace) = self.exchange.discovery_timing();
                self.backoff.configure(nodes, grace);
                pause = self.backoff.pause(outcome, state.call_started_at, now);
                let deadline = self.backoff.deadline();
                if deadline <= now && last_warned_deadline.replace(deadline) != Some(deadline) {
                    warn!(
                        "discovery has confirmed nothing for {PROPAGATION_LIMIT:?}: the last list stays in use"
                    );
                }
            }
            // Guards against a loop: the same slow list would be given up again.
            if close_reason == CloseReason::TooSlow {
                state.list_timeout = (2 * state.list_timeout).min(MAX_LIST_TIMEOUT);
            }
            // Guards against a loop: the same malformed changes would come again, so the complete list is requested.
            if close_reason == CloseReason::Malformed {
                state.revision = None;
            }
        }
    }

    /// Requests the list, if needed, and its changes until the connection ends.
    async fn watch(&self, discovery: SocketAddr, state: &mut WatchState) -> CloseReason {
        self.call_limit.acquire(&self.deadlines).await;
        state.call_started_at = Some(Instant::now());
        let stream = tokio::select! {
            biased;
            stream = TcpStream::connect(discovery) => stream,
            () = self.deadlines.after(self.backoff.connect_timeout()) => return CloseReason::ConnectTimeout,
        };
        let Ok(stream) = stream else { return CloseReason::Refused };
        let codec = ClientCodec::streaming(&self.pool);
        let mut connection = Connection::new::<OutgoingRequest>(stream, codec, Peer::Server, &self.pool);
        let Err(close_reason) = self.receive(&mut connection, discovery, state).await;
        close_reason
    }

    /// Applies the lists and changes that arrive over a connection until it ends.
    async fn receive(
        &self,
        connection: &mut Connection,
        discovery: SocketAddr,
        state: &mut WatchState,
    ) -> Result<Infallible, CloseReason> {
        if state.revision.is_none() {
            self.send_request(connection, discovery, "/catalog/members", state).await?;
            let mut objects = JsonObjects::new(&self.pool, MAX_LIST_BYTES);
            let lists_before = state.lists;
            loop {
                match self.next_piece(connection, state).await? {
                    ResponsePart::Data(part) => self.apply_part(&part, &mut objects, state)?,
                    ResponsePart::Head { .. } | ResponsePart::Line(_) => {}
                    ResponsePart::End { .. } if !objects.is_at_boundary() || state.lists == lists_before => {
                        warn!("discovery's response ends before the list is complete");
                        return Err(CloseReason::Malformed);
                    }
                    ResponsePart::End { reusable: false } => return Err(CloseReason::LastMessage),
                    ResponsePart::End { reusable: true } => break,
                }
            }
        }
        let from = state.revision.unwrap_or(0);
        self.send_request(connection, discovery, &format!("/catalog/members?watch=1&from={from}"), state)
            .await?;
        let mut changes = JsonObjects::new(&self.pool, MAX_LIST_BYTES);
        loop {
            // Ends after a silence, which is the only sign that the network lost the connection.
            match self.next_piece(connection, state).await? {
                ResponsePart::Data(part) => {
                    self.apply_part(&part, &mut changes, state)?;
                    // White space between objects is a heartbeat: nothing has changed. It counts only in a watch: a response with
                    // the complete list that never ends must not delay the watch for ever.
                    if changes.is_at_boundary() {
                        self.mark_confirmed(state);
                    }
                }
                ResponsePart::Head { .. } | ResponsePart::Line(_) => {}
                ResponsePart::End { .. } => return Err(CloseReason::PeerClosed),
            }
        }
    }

    async fn send_request(
        &self,
        connection: &mut Connection,
        discovery: SocketAddr,
        target: &str,
        state: &mut WatchState,
    ) -> Result<(), CloseReason> {
        state.silent_since = Instant::now();
        state.waiting_since = state.silent_since;
        let fields = format!("Host: {discovery}\r\n");
        let request = OutgoingRequest { method: "GET", target, fields, body: None };
        connection.send(request).await.map_err(|_| CloseReason::PeerBroke)
    }

    /// Returns the next piece of a response, or why the connection has to be closed.
    ///
    /// Bytes of a head end the silence: discovery may write slowly, and a call that begins again from its start would get no further than this one.
    async fn next_piece(
        &self,
        connection: &mut Connection,
        state: &mut WatchState,
    ) -> Result<ResponsePart, CloseReason> {
        let head_bytes_received = connection.codec().head_bytes_received();
        let piece = loop {
            let (due, close_reason) = state.response_due();
            tokio::select! {
                biased;
                piece = connection.next() => break piece,
                () = head_bytes_received.notified() => state.silent_since = Instant::now(),
                () = self.deadlines.at(due) => {
                    // After the process was suspended the timer may fire before the sockets are polled. What has arrived by now still
                    // counts.
                    poll_sockets().await;
                    match connection.next().now_or_never() {
                        Some(piece) => break piece,
                        None => return Err(close_reason),
                    }
                }
            }
        };
        match piece {
            // An overloaded discovery leaves the revision valid, and the next watch continues from it.
            Some(Ok(ResponsePart::Head { status: 429 | 503, .. })) => Err(CloseReason::Busy),
            Some(Ok(ResponsePart::Head { status, .. })) if status != 200 => {
                warn!("discovery responded with status {status}");
                Err(CloseReason::Malformed)
            }
            Some(Ok(piece)) => {
                if matches!(piece, ResponsePart::Head { .. }) {
                    state.silent_since = Instant::now();
                }
                Ok(piece)
            }
            None => Err(CloseReason::PeerClosed),
            Some(Err(ReadError::Io(_))) => Err(CloseReason::PeerBroke),
            Some(Err(ReadError::Malformed { reason, .. })) => {
                warn!("malformed response from discovery: {reason}");
                Err(CloseReason::Malformed)
            }
        }
    }

    /// Applies the lists or changes that this part of a response completes.
    fn apply_part(
        &self,
        part: &[u8],
        objects: &mut JsonObjects,
        state: &mut WatchState,
    ) -> Result<(), CloseReason> {
        // White space inside an object is no progress: a response that goes on like that would never be given up.
        if !part.trim_ascii().is_empty() {
            state.silent_since = Instant::now();
        }
        let mut result = objects.push(part).map_err(|e| e.to_string());
        loop {
            let next_listing =
                result.and_then(|()| objects.next_object::<Listing>().map_err(|e| e.to_string()));
            let Some(listing) = next_listing.map_err(malformed)? else { return Ok(()) };
            result = self.apply(listing, state).map_err(|e| e.to_string());
            // A list that can't be used does not count as a confirmation.
            if result.is_ok() {
                state.lists += 1;
                self.mark_confirmed(state);
            }
        }
    }

    /// Notes that the list in use was current just now: discovery has sent it, or a heartbeat.
    fn mark_confirmed(&self, state: &mut WatchState) {
        let now = Instant::now();
        (state.silent_since, state.waiting_since, state.confirmed_at) = (now, now, Some(now));
        state.list_timeout = FIRST_LIST_TIMEOUT;
        self.last_list.iter().for_each(|list| list.confirm());
    }

    fn apply(&self, listing: Listing, state: &mut WatchState) -> Result<(), EntryError> {
        let servers = listing.members.iter().map(Entry::server).collect::<Result<Vec<_>, _>>()?;
        if let Some(last_list) = &self.last_list {
            last_list.apply(&listing);
        }
        info!("server table {}: {} entries, whole={}", listing.revision, servers.len(), listing.complete);
        state.revision = Some(listing.revision);
        self.exchange.update_servers(servers, listing.complete);
        self.exchange.list_applied(listing.revision);
        Ok(())
    }
}

/// Logs why a response can't be used.
fn malformed(reason: String) -> CloseReason {
    warn!("discovery's response can't be used: {reason}");
    CloseReason::Malformed
}

/// Waits until the configured address of discovery changes.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
