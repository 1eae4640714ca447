//! The server table: discovery's list of backend servers, followed over a watch that is kept open.

use super::backoff::{Backoff, Watched, NOTIFIED_AFTER, SILENCE};
use super::close_reason::{CloseReason, Side};
use super::codec::{ClientCodec, OutgoingRequest, ReadError, ResponsePart};
use super::deadlines::Deadlines;
use super::exchange::{Exchange, ServerEntry};
use super::fleet::DiscoveryCallLimit;
use super::objects::Objects;
use super::pool::Pool;
use super::{turn, Job};
use futures_util::FutureExt;
use serde::{Deserialize, Serialize};
use shorepath_scheduler::micros_from_ms;
use shorepath_scheduler::EndpointState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::Framed;
use tracing::{info, warn};

/// A list, whole or of changes, holds this much at most, in bytes.
const LONGEST: usize = 8 * 1024 * 1024;

/// A list, or changes of it, in discovery's form.
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
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Active,
    Leaving,
    Left,
}

/// An entry can't be used.
#[derive(Debug, Error)]
#[error("server '{id}' has no address with a port: '{address}'")]
pub struct EntryError {
    id: String,
    address: String,
}

impl Listing {
    /// Whether it names nobody.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether every entry can be used.
    pub fn check(&self) -> Result<(), EntryError> {
        self.members.iter().try_for_each(|e| e.server().map(drop))
    }
}

impl Entry {
    fn server(&self) -> Result<ServerEntry, EntryError> {
        let wrong = || EntryError { id: self.id.clone(), address: self.host_port.clone() };
        let address = match self.phase {
            Phase::Left => None,
            _ => Some(self.host_port.parse().map_err(|_| wrong())?),
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

/// Discovery's list as it stands, for whoever keeps it.
#[derive(Debug, Default)]
pub struct LastList {
    entries: RefCell<BTreeMap<String, Entry>>,
    /// It has changed, and discovery has said that it holds, since that was last asked.
    changed: Cell<bool>,
    holds: Cell<bool>,
    /// Discovery has told something in this life.
    notified: Cell<bool>,
}

impl LastList {
    fn hold(&self) {
        self.holds.set(true);
        self.notified.set(true);
    }

    /// Whether discovery has told in this life, and what it told names nobody.
    pub fn is_notified_empty(&self) -> bool {
        self.notified.get() && self.entries.borrow().is_empty()
    }

    fn take(&self, listing: &Listing) {
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

    /// Whether discovery has told it, or that nothing of it has changed, since that was last asked; and all of it, where it has changed.
    /// It has no revision: discovery may count from anew after a loss of power.
    pub fn take_updates(&self) -> Option<Option<Listing>> {
        let members = || self.entries.borrow().values().cloned().collect();
        let listing = || Listing { revision: 0, complete: true, members: members() };
        self.holds.take().then(|| self.changed.take().then(listing))
    }
}

/// Follows discovery.
#[derive(Debug)]
pub struct ServerTable {
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    pool: Rc<Pool>,
    discovery: watch::Receiver<SocketAddr>,
    backoff: Backoff,
    calls: Rc<DiscoveryCallLimit>,
    /// Where the list as it stands is noted, if it is kept.
    last: Option<Rc<LastList>>,
    /// It has begun with one that was kept.
    begins: bool,
}

type Connection = Framed<TcpStream, ClientCodec>;

/// What a watch left to build on.
struct Held {
    /// Changes after this one are asked for; `None` where only the whole list will do.
    revision: Option<u64>,
    /// Lists that have come over this connection.
    lines: u64,
    /// When the call began, with its connection, if one was made.
    begun: Option<Instant>,
    /// When it told something for the last time, over this connection: a list, or that nothing has changed.
    received: Option<Instant>,
    /// What came last, which only something whole puts off: silence counts from then.
    since: Instant,
}

impl ServerTable {
    /// One that follows the discovery at that address, and at the next one that it is told.
    pub fn new(
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        pool: Rc<Pool>,
        discovery: watch::Receiver<SocketAddr>,
        backoff: Backoff,
        calls: Rc<DiscoveryCallLimit>,
    ) -> Self {
        ServerTable { exchange, deadlines, pool, discovery, backoff, calls, last: None, begins: false }
    }

    /// Begin with a list that the disk has, if any, which another discovery may have told; and note there what comes.
    pub fn keep(&mut self, last: Rc<LastList>, kept: Option<Listing>) {
        let servers = kept.map(|kept| kept.members.iter().map(Entry::server).collect::<Result<Vec<_>, _>>());
        match servers {
            Some(Ok(servers)) => {
                self.exchange.update_servers(servers, true);
                self.begins = true;
            }
            Some(Err(e)) => warn!("the list that was kept: {e}"),
            None => {}
        }
        self.last = Some(last);
    }

    /// Start from the list as last held and keep a watch open for as long as the node runs.
    pub async fn follow(mut self, known: Listing) {
        let since = Instant::now();
        let mut held = Held { revision: Some(known.revision), lines: 0, begun: None, received: None, since };
        // Guards against building on revisions of a discovery that has lost power, too: only its whole list will do.
        if self.begins {
            held.revision = None;
        } else if let Err(e) = self.apply(Listing { complete: true, ..known }, &mut held) {
            warn!("the list as last held: {e}");
        }
        let mut notified = self.discovery.clone();
        let (nodes, grace) = self.exchange.discovery_timing();
        self.backoff.keep_to(nodes, grace);
        let mut pause = self.backoff.pause(Watched::Never, None, since);
        // By then what was missed counted as told, as the log has it.
        let mut overdue = None;
        let mut moves = false;
        loop {
            // Also before the first call: the list that the node starts with is another discovery's, too.
            if !moves {
                tokio::select! {
                    biased;
                    () = moved(&mut notified) => moves = true,
                    () = self.deadlines.after(pause) => {}
                }
            }
            if moves {
                self.backoff.moved(Instant::now());
                // Guards against building on another discovery's revisions: they mean nothing here.
                // Until its list has come, the one we hold stays.
                held.revision = None;
            }
            (held.lines, held.begun, held.received) = (0, None, None);
            let discovery = *notified.borrow_and_update();
            let close_reason = tokio::select! {
                biased;
                () = moved(&mut notified) => CloseReason::Moved,
                close_reason = self.watch(discovery, &mut held) => close_reason,
            };
            close_reason.log(Side::ServerTable, discovery, held.lines);
            let now = Instant::now();
            held.received.into_iter().for_each(|at| self.backoff.received(at));
            let watched = match close_reason {
                CloseReason::Busy => Watched::Busy,
                _ if held.received.is_some() => Watched::Notified,
                _ => Watched::Nothing,
            };
            moves = close_reason == CloseReason::Moved;
            if !moves {
                let (nodes, grace) = self.exchange.discovery_timing();
                self.backoff.keep_to(nodes, grace);
                pause = self.backoff.pause(watched, held.begun, now);
                let due = self.backoff.due();
                if due <= now && overdue.replace(due) != Some(due) {
                    warn!("discovery has confirmed nothing for {NOTIFIED_AFTER:?}: the list held stays in force");
                }
            }
            // The same changes would come again: ask for the whole list.
            if close_reason == CloseReason::Malformed {
                held.revision = None;
            }
        }
    }

    async fn watch(&self, discovery: SocketAddr, held: &mut Held) -> CloseReason {
        self.calls.acquire(&self.deadlines).await;
        held.begun = Some(Instant::now());
        let stream = tokio::select! {
            biased;
            stream = TcpStream::connect(discovery) => stream,
            () = self.deadlines.after(self.backoff.connect()) => return CloseReason::ConnectTimeout,
        };
        let Ok(stream) = stream else { return CloseReason::Refused };
        let mut connection =
            self.pool.framed::<OutgoingRequest, _>(stream, ClientCodec::streaming(&self.pool));
        let Err(close_reason) = self.listen(&mut connection, discovery, held).await;
        self.pool.release(connection);
        close_reason
    }

    /// Take in what comes over a connection until it ends.
    async fn listen(
        &self,
        connection: &mut Connection,
        discovery: SocketAddr,
        held: &mut Held,
    ) -> Result<Infallible, CloseReason> {
        if held.revision.is_none() {
            self.ask(connection, discovery, "/catalog/members", held).await?;
            let mut list = Objects::new(&self.pool, LONGEST);
            let before = held.lines;
            loop {
                match self.next(connection, held).await? {
                    ResponsePart::Data(part) => self.take(&part, &mut list, held)?,
                    ResponsePart::Head { .. } | ResponsePart::Line(_) => {}
                    ResponsePart::End { .. } if !list.is_between() || held.lines == before => {
                        warn!("discovery's list ends before it is whole");
                        return Err(CloseReason::Malformed);
                    }
                    ResponsePart::End { reusable: false } => return Err(CloseReason::LastMessage),
                    ResponsePart::End { reusable: true } => break,
                }
            }
        }
        let from = held.revision.unwrap_or(0);
        self.ask(connection, discovery, &format!("/catalog/members?watch=1&from={from}"), held).await?;
        let mut changes = Objects::new(&self.pool, LONGEST);
        loop {
            // Guards against a watch that is cut off: nothing else would ever tell.
            match self.next(connection, held).await? {
                ResponsePart::Data(part) => {
                    self.take(&part, &mut changes, held)?;
                    // Space tells that nothing has changed. Guards against an answer to a call for the whole list that never
                    // ends: after that it tells nothing, and no watch would be opened.
                    if changes.is_between() {
                        self.received(held);
                    }
                }
                ResponsePart::Head { .. } | ResponsePart::Line(_) => {}
                ResponsePart::End { .. } => return Err(CloseReason::PeerClosed),
            }
        }
    }

    async fn ask(
        &self,
        connection: &mut Connection,
        discovery: SocketAddr,
        target: &str,
        held: &mut Held,
    ) -> Result<(), CloseReason> {
        held.since = Instant::now();
        let fields = format!("Host: {discovery}\r\n");
        let request = OutgoingRequest { method: "GET", target, fields, body: None };
        self.pool.send(connection, request).await.map_err(|_| CloseReason::PeerBroke)
    }

    /// The next piece of an answer, or why nothing more comes. An object of which parts come and come puts
    /// nothing off.
    async fn next(&self, connection: &mut Connection, held: &mut Held) -> Result<ResponsePart, CloseReason> {
        let piece = tokio::select! {
            biased;
            piece = self.pool.next(connection) => piece,
            () = self.deadlines.at(held.since + SILENCE) => {
                // Guards what has come by now: the clock may have been looked at before the sockets were, as where the
                // process stood still. What discovery has written is told.
                turn().await;
                match self.pool.next(connection).now_or_never() {
                    Some(piece) => piece,
                    None => return Err(CloseReason::Silent),
                }
            }
        };
        match piece {
            // Not ours to blame: the list held stays what the next watch builds on.
            Some(Ok(ResponsePart::Head { status: 429 | 503, .. })) => Err(CloseReason::Busy),
            Some(Ok(ResponsePart::Head { status, .. })) if status != 200 => {
                warn!("discovery answered with {status}");
                Err(CloseReason::Malformed)
            }
            Some(Ok(piece)) => {
                if matches!(piece, ResponsePart::Head { .. }) {
                    held.since = Instant::now();
                }
                Ok(piece)
            }
            None => Err(CloseReason::PeerClosed),
            Some(Err(ReadError::Io(_))) => Err(CloseReason::PeerBroke),
            Some(Err(ReadError::Malformed { reason, .. })) => {
                warn!("discovery makes no sense: {reason}");
                Err(CloseReason::Malformed)
            }
        }
    }

    /// Take in the lists, or changes, that are whole with this part.
    fn take(&self, part: &[u8], objects: &mut Objects, held: &mut Held) -> Result<(), CloseReason> {
        let mut whole = objects.add(part).map_err(|e| e.to_string());
        loop {
            let next = whole.and_then(|()| objects.whole::<Listing>().map_err(|e| e.to_string()));
            let Some(listing) = next.map_err(wrong)? else { return Ok(()) };
            whole = self.apply(listing, held).map_err(|e| e.to_string());
            // Guards against a list that can't be used: it confirms nothing.
            if whole.is_ok() {
                held.lines += 1;
                self.received(held);
            }
        }
    }

    /// Discovery has told something that is in force, or that nothing has changed.
    fn received(&self, held: &mut Held) {
        held.since = Instant::now();
        held.received = Some(held.since);
        self.last.iter().for_each(|last| last.hold());
    }

    fn apply(&self, listing: Listing, held: &mut Held) -> Result<(), EntryError> {
        let servers = listing.members.iter().map(Entry::server).collect::<Result<Vec<_>, _>>()?;
        if let Some(last) = &self.last {
            last.take(&listing);
        }
        info!("server table {}: {} entries, whole={}", listing.revision, servers.len(), listing.complete);
        held.revision = Some(listing.revision);
        self.exchange.update_servers(servers, listing.complete);
        self.exchange.list_applied(listing.revision);
        Ok(())
    }
}

/// What came can't be used: only the whole list will do.
fn wrong(reason: String) -> CloseReason {
    warn!("discovery's answer can't be used: {reason}");
    CloseReason::Malformed
}

/// Ready once another discovery is to be followed.
async fn moved(notified: &mut watch::Receiver<SocketAddr>) {
    if notified.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
