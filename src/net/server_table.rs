//! The server table: discovery's list of backend servers, followed over a watch that is kept open.

use super::codec::{ClientCodec, Outgoing, Piece, ReadError};
use super::deadlines::Deadlines;
use super::ending::{Ending, Side};
use super::exchange::{Exchange, Server};
use super::pool::Pool;
use super::Job;
use crate::api::Standing;
use crate::settings::micros;
use futures_util::{SinkExt, StreamExt};
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tracing::{info, warn};

/// A line comes every 2 s; without one for this long the watch is taken for dead.
const SILENCE: Duration = Duration::from_millis(3_000);
/// How long the connection may take to come up.
const CONNECT: Duration = Duration::from_millis(500);
/// The first pause before another watch, doubled up to the longest. That stays under the time within
/// which sends to a leaving server have to stop: the agent may know what we don't.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// A line with the whole list holds this much at most.
const LONGEST_LINE: usize = 8 * 1024 * 1024;

/// A list, or changes of it, in discovery's form.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    revision: u64,
    complete: bool,
    members: Vec<Entry>,
}

#[derive(Clone, Debug, Deserialize)]
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

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
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
    /// Whether every entry can be used.
    pub fn check(&self) -> Result<(), EntryError> {
        self.members.iter().try_for_each(|e| e.server().map(drop))
    }
}

impl Entry {
    fn server(&self) -> Result<Server, EntryError> {
        let wrong = || EntryError { id: self.id.clone(), address: self.host_port.clone() };
        let address = match self.phase {
            Phase::Left => None,
            _ => Some(self.host_port.parse().map_err(|_| wrong())?),
        };
        Ok(Server {
            name: self.id.clone(),
            address,
            zone: self.locality.clone(),
            kind: self.flavor.clone(),
            cell: self.cell,
            size: self.size,
            standing: match self.phase {
                Phase::Active => Standing::Live,
                Phase::Leaving => Standing::Draining,
                Phase::Left => Standing::Gone,
            },
            started: micros(self.up_since_ms),
        })
    }
}

/// Follows discovery.
#[derive(Debug)]
pub struct ServerTable {
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    pool: Rc<Pool>,
    discovery: SocketAddr,
}

/// What a watch left to build on.
struct Held {
    revision: u64,
    /// Lines with a list have come over this watch.
    lines: u64,
}

impl ServerTable {
    /// One that follows the discovery at that address.
    pub fn new(
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        pool: Rc<Pool>,
        discovery: SocketAddr,
    ) -> Self {
        ServerTable { exchange, deadlines, pool, discovery }
    }

    /// Start from the list as last held and keep a watch open for as long as the node runs.
    pub async fn follow(self, known: Listing) {
        let mut held = Held { revision: known.revision, lines: 0 };
        if let Err(e) = self.apply(Listing { complete: true, ..known }, &mut held) {
            warn!("the list as last held: {e}");
        }
        let mut pause = FIRST_PAUSE;
        loop {
            held.lines = 0;
            let ending = self.watch(&mut held).await;
            ending.log(Side::ServerTable, self.discovery, held.lines);
            if ending == Ending::Malformed {
                // The same changes would come again: ask for the whole list.
                held.revision = 0;
            }
            if held.lines > 0 {
                pause = FIRST_PAUSE;
            }
            self.deadlines.after(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn watch(&self, held: &mut Held) -> Ending {
        let stream = tokio::select! {
            biased;
            stream = TcpStream::connect(self.discovery) => stream,
            () = self.deadlines.after(CONNECT) => return Ending::ConnectTimeout,
        };
        let Ok(stream) = stream else { return Ending::Refused };
        let mut connection =
            self.pool.framed::<Outgoing, _>(stream, ClientCodec::new(&self.pool, LONGEST_LINE));
        let target = format!("/catalog/members?watch=1&from={}", held.revision);
        let fields = format!("Host: {}\r\n", self.discovery);
        let request = Outgoing { method: "GET", target: &target, fields, body: None };
        if connection.send(request).await.is_err() {
            return Ending::PeerBroke;
        }
        let ending = loop {
            let piece = tokio::select! {
                biased;
                piece = connection.next() => piece,
                // Guards against a watch that is cut off: nothing else would ever tell.
                () = self.deadlines.after(SILENCE) => break Ending::Silent,
            };
            match piece {
                Some(Ok(Piece::Head { status: 200, .. })) => {}
                Some(Ok(Piece::Head { status, .. })) => {
                    warn!("discovery answered a watch with {status}");
                    break Ending::Malformed;
                }
                Some(Ok(Piece::Line(line))) if line.trim_ascii().is_empty() => {}
                Some(Ok(Piece::Line(line))) => {
                    let listing = serde_json::from_slice(&line).map_err(|e| e.to_string());
                    match listing.and_then(|l| self.apply(l, held).map_err(|e| e.to_string())) {
                        Ok(()) => held.lines += 1,
                        Err(e) => {
                            warn!("a line of discovery makes no sense: {e}");
                            break Ending::Malformed;
                        }
                    }
                }
                Some(Ok(Piece::End { .. })) | None => break Ending::PeerClosed,
                Some(Err(ReadError::Io(_))) => break Ending::PeerBroke,
                Some(Err(ReadError::Bad { reason, .. })) => {
                    warn!("discovery makes no sense: {reason}");
                    break Ending::Malformed;
                }
            }
        };
        self.pool.release(connection);
        ending
    }

    fn apply(&self, listing: Listing, held: &mut Held) -> Result<(), EntryError> {
        let servers = listing.members.iter().map(Entry::server).collect::<Result<Vec<_>, _>>()?;
        info!("server table {}: {} entries, whole={}", listing.revision, servers.len(), listing.complete);
        held.revision = listing.revision;
        self.exchange.servers(servers, listing.complete);
        Ok(())
    }
}
