//! The stand-ins: backend servers and discovery, as the platform's page describes them.

use crate::history::{Event, History};
use crate::http::{chunk, Message, Reader};
use crate::relay::Marks;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep};

/// Jobs in work at a server at once, and jobs that wait there beyond them.
const SLOTS: usize = 3;
const QUEUE: usize = 12;
/// How long a job runs: from the first figure on, by its id.
const RUNS: (u64, u64) = (10, 50);
/// A watch that has nothing to say says an empty line this often.
const BEAT: Duration = Duration::from_secs(2);

/// A backend server.
#[derive(Debug)]
pub struct Server {
    number: u32,
    history: Rc<History>,
    marks: Marks,
    slots: Semaphore,
    held: Cell<usize>,
    /// It turns new jobs away.
    pub drains: Cell<bool>,
    /// Grows when its process dies: all that it holds is lost.
    deaths: watch::Sender<u32>,
}

impl Server {
    /// One that listens at the address that comes with it.
    pub async fn listen(
        number: u32,
        history: Rc<History>,
        marks: Marks,
    ) -> std::io::Result<(Rc<Server>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = Rc::new(Server {
            number,
            history,
            marks,
            slots: Semaphore::new(SLOTS),
            held: Cell::new(0),
            drains: Cell::new(false),
            deaths: watch::channel(0).0,
        });
        let accepts = server.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepts.clone();
                spawn_local(async move {
                    let mut deaths = server.deaths.subscribe();
                    tokio::select! {
                        // A connection that breaks is no concern of anyone here.
                        _ = server.connection(stream) => {}
                        _ = deaths.changed() => {}
                    }
                });
            }
        });
        Ok((server, address))
    }

    /// Its process dies.
    pub fn die(&self) {
        self.deaths.send_modify(|n| *n += 1);
    }

    async fn connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        let greeting = reader.line().await?;
        let mut words = greeting.split(' ').map(str::parse::<u64>);
        let (Some(Ok(node)), Some(Ok(connection))) = (words.next(), words.next()) else { return Ok(()) };
        while let Some(request) = reader.next(false).await? {
            let sent = self
                .marks
                .of(connection, request.place)
                .map_or(self.history.now(), |m| self.history.timestamp(m));
            if request.first.1 == "/_load" {
                self.history.record(Event::Probed { server: self.number, sent });
                let held = self.held.get();
                let text = format!("TEXT x0={}, concurrent={held}", SLOTS.saturating_sub(held));
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                write.write_all(format!("{head}{text}").as_bytes()).await?;
                continue;
            }
            self.job(&request, node as u32, sent, &mut write).await?;
        }
        Ok(())
    }

    async fn job(
        &self,
        request: &Message,
        node: u32,
        sent: i64,
        write: &mut OwnedWriteHalf,
    ) -> std::io::Result<()> {
        let text = request.field("request-id").unwrap_or("");
        // A client that repeats under one id says in the body which of its requests that is.
        let own = request.body.strip_prefix("rig ").unwrap_or(text);
        let Ok(id) = u64::from_str_radix(own, 16) else {
            return write.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
        };
        let (server, history) = (self.number, &self.history);
        history.record(Event::Arrived { id, server, node, sent });
        let _leaves = Leaves { history, id, server };
        if self.drains.get() || self.held.get() >= SLOTS + QUEUE {
            history.record(Event::RejectedByServer { id, server });
            let full = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
            return write.write_all(full).await;
        }
        let _held = Held::one(&self.held);
        write.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        // Never closed.
        let Ok(_slot) = self.slots.acquire().await else { return Ok(()) };
        history.record(Event::JobStarted { id, server });
        let state = |state: &str| json!({"id": text, "from": format!("s-{server}"), "state": state});
        write.write_all(chunk(&state("started").to_string()).as_bytes()).await?;
        sleep(Duration::from_millis(RUNS.0 + id.wrapping_mul(0x9e37_79b9) % RUNS.1)).await;
        let mut done = state("done");
        done["result"] = json!(text);
        write.write_all(format!("{}0\r\n\r\n", chunk(&done.to_string())).as_bytes()).await
    }
}

/// Notes that a job has left its server, whatever ends it.
struct Leaves<'a> {
    history: &'a History,
    id: u64,
    server: u32,
}

impl Drop for Leaves<'_> {
    fn drop(&mut self) {
        self.history.record(Event::JobReleased { id: self.id, server: self.server });
    }
}

/// One more job at a server, for as long as this is kept.
struct Held<'a>(&'a Cell<usize>);

impl<'a> Held<'a> {
    fn one(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Held(count)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Where a server stands by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is gone.
    Left,
}

/// Where servers stand, and of which revision that is.
type Told = (Vec<(Phase, u64)>, usize);

/// Discovery: every node has an address of its own there, as with an agent beside each.
#[derive(Debug)]
pub struct Discovery {
    history: Rc<History>,
    /// Where each node reaches each server.
    addresses: RefCell<Vec<Vec<SocketAddr>>>,
    /// The servers of which each node is told.
    own: RefCell<Vec<Range<u32>>>,
    phases: RefCell<Vec<(Phase, u64)>>,
    /// Where each node was last told that each server stands, and of which revision that was.
    told: RefCell<Vec<Told>>,
    changes: RefCell<Vec<u32>>,
    revision: watch::Sender<usize>,
    /// Nodes that hear nothing for now.
    deaf: RefCell<Vec<watch::Sender<bool>>>,
    /// All calls are ended as they come.
    ends: watch::Sender<bool>,
}

impl Discovery {
    /// One that lists so many servers, active for long.
    pub fn new(history: Rc<History>, servers: u32) -> Rc<Discovery> {
        Rc::new(Discovery {
            history,
            addresses: RefCell::default(),
            own: RefCell::default(),
            phases: RefCell::new(vec![(Phase::Active, 0); servers as usize]),
            told: RefCell::default(),
            changes: RefCell::default(),
            revision: watch::channel(0).0,
            deaf: RefCell::default(),
            ends: watch::channel(false).0,
        })
    }

    /// Say where a node reaches the servers, and listen for it. It is told of its `own` alone.
    pub async fn listen(
        self: &Rc<Self>,
        node: u32,
        servers: Vec<SocketAddr>,
        own: Range<u32>,
    ) -> std::io::Result<SocketAddr> {
        self.own.borrow_mut().push(own);
        self.told.borrow_mut().push((vec![(Phase::Active, 0); servers.len()], 0));
        self.addresses.borrow_mut().push(servers);
        self.deaf.borrow_mut().push(watch::channel(false).0);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let discovery = discovery.clone();
                discovery.history.record(Event::DiscoveryConnected { node });
                spawn_local(async move {
                    let mut ends = discovery.ends.subscribe();
                    tokio::select! {
                        biased;
                        // Never without a sender.
                        _ = ends.wait_for(|ends| *ends) => {}
                        // A node that goes away ends it, which is no concern of anyone.
                        _ = discovery.connection(node, stream) => {}
                    }
                });
            }
        });
        Ok(address)
    }

    /// A node hears nothing from now on, or hears again.
    pub fn deafen(&self, node: u32, deaf: bool) {
        self.deaf.borrow()[node as usize].send_replace(deaf);
    }

    /// All calls end now, and as they come, from now on; or they are answered again.
    pub fn end_calls(&self, ends: bool) {
        self.ends.send_replace(ends);
    }

    /// Ready while that node can hear.
    async fn heard(&self, node: u32) {
        let mut deaf = self.deaf.borrow()[node as usize].subscribe();
        // It never ends before discovery does.
        let _ = deaf.wait_for(|deaf| !deaf).await;
    }

    /// A server stands so from now on.
    pub fn announce(&self, server: u32, phase: Phase) {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let (was, started) = self.phases.borrow()[server as usize];
        let started = if phase == Phase::Active && was != phase { since.as_millis() as u64 } else { started };
        self.phases.borrow_mut()[server as usize] = (phase, started);
        self.changes.borrow_mut().push(server);
        self.revision.send_modify(|r| *r += 1);
    }

    fn entry(&self, node: u32, server: u32, (phase, started): (Phase, u64)) -> Value {
        let phase = match phase {
            Phase::Active => "active",
            Phase::Leaving => "leaving",
            Phase::Left => "left",
        };
        let address = self.addresses.borrow()[node as usize][server as usize];
        json!({"id": format!("s-{server}"), "host_port": address.to_string(), "locality": "a",
               "flavor": "standard", "cell": 0, "phase": phase, "size": 4.0, "up_since_ms": started})
    }

    fn line(&self, node: u32, complete: bool, servers: &[u32]) -> String {
        let phases = self.phases.borrow().clone();
        let members: Vec<Value> = servers.iter().map(|s| self.entry(node, *s, phases[*s as usize])).collect();
        for s in servers {
            let stands = self.phases.borrow()[*s as usize];
            self.told.borrow_mut()[node as usize].0[*s as usize] = stands;
            let live = stands.0 == Phase::Active;
            self.history.record(Event::ServerListed { node, server: *s, live });
        }
        self.told.borrow_mut()[node as usize].1 = *self.revision.borrow();
        json!({"revision": *self.revision.borrow(), "complete": complete, "members": members}).to_string()
    }

    /// The list as a node last held it, which is what it starts with: what it was told that leaves stays so, who has left is not on it.
    pub fn known(&self, node: u32) -> Value {
        let (told, revision) = self.told.borrow()[node as usize].clone();
        let own = self.own.borrow()[node as usize].clone();
        let listed = told.iter().enumerate().filter(|(_, (phase, _))| *phase != Phase::Left);
        let listed = listed.filter(|(s, _)| own.contains(&(*s as u32)));
        let members: Vec<Value> = listed.map(|(s, stands)| self.entry(node, s as u32, *stands)).collect();
        json!({"revision": revision, "complete": true, "members": members})
    }

    async fn connection(&self, node: u32, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        while let Some(request) = reader.next(false).await? {
            let query = request.first.1.split_once('?').map_or("", |(_, query)| query);
            let from = query.split('&').find_map(|pair| pair.strip_prefix("from=")?.parse::<usize>().ok());
            if query.contains("watch=1") {
                return tokio::select! {
                    done = self.watch(node, from.unwrap_or(0), &mut write) => done,
                    // The node has closed it: what is written into it now nobody is told.
                    _ = reader.next(false) => Ok(()),
                };
            }
            self.heard(node).await;
            let all: Vec<u32> = self.own.borrow()[node as usize].clone().collect();
            let text = self.line(node, true, &all);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            write.write_all(format!("{head}{text}").as_bytes()).await?;
        }
        Ok(())
    }

    async fn watch(&self, node: u32, from: usize, write: &mut OwnedWriteHalf) -> std::io::Result<()> {
        let (mut seen, mut news, mut beat) = (from, self.revision.subscribe(), interval(BEAT));
        write.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            self.heard(node).await;
            let revision = *news.borrow_and_update();
            let mut changed: Vec<u32> = self.changes.borrow().iter().skip(seen).copied().collect();
            seen = revision;
            changed.sort_unstable();
            changed.dedup();
            changed.retain(|s| self.own.borrow()[node as usize].contains(s));
            if !changed.is_empty() {
                let text = self.line(node, false, &changed);
                write.write_all(chunk(&text).as_bytes()).await?;
            }
            tokio::select! {
                changed = news.changed() => if changed.is_err() { return Ok(()) },
                _ = beat.tick() => {
                    self.heard(node).await;
                    write.write_all(chunk("").as_bytes()).await?;
                }
            }
        }
    }
}
