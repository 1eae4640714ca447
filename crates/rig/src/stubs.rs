//! Stubs of the backend servers and of discovery, which speak the platform's protocols to the nodes under test.

use crate::history::{Event, History};
use crate::http::{chunk, Message, Reader};
use crate::relay::ArrivalTimes;
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

/// Jobs that a server runs at once.
const CONCURRENT_JOBS: usize = 3;
/// Jobs that wait at a server beyond those that run; it rejects further ones.
const QUEUED_JOBS: usize = 12;
/// Least duration of a job, and the range that its id adds to it.
const JOB_DURATION_MS: (u64, u64) = (10, 50);
/// Interval of the empty lines on a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A stub backend server, which records in the history what reaches it.
#[derive(Debug)]
pub struct BackendServer {
    number: u32,
    history: Rc<History>,
    arrival_times: ArrivalTimes,
    slots: Semaphore,
    /// Jobs that run or wait.
    jobs: Cell<usize>,
    /// Whether the server rejects new jobs.
    pub draining: Cell<bool>,
    /// Number of crashes; an increase drops all connections with their jobs.
    crashes: watch::Sender<u32>,
}

impl BackendServer {
    /// Starts a server on a free port; returns it with its address.
    pub async fn listen(
        number: u32,
        history: Rc<History>,
        arrival_times: ArrivalTimes,
    ) -> std::io::Result<(Rc<BackendServer>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = Rc::new(BackendServer {
            number,
            history,
            arrival_times,
            slots: Semaphore::new(CONCURRENT_JOBS),
            jobs: Cell::new(0),
            draining: Cell::new(false),
            crashes: watch::channel(0).0,
        });
        let accepting = server.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                spawn_local(async move {
                    let mut crashes = server.crashes.subscribe();
                    tokio::select! {
                        // A broken connection is the client's to handle.
                        _ = server.serve_connection(stream) => {}
                        _ = crashes.changed() => {}
                    }
                });
            }
        });
        Ok((server, address))
    }

    /// Drops all connections and jobs, as when the process dies.
    pub fn crash(&self) {
        self.crashes.send_modify(|n| *n += 1);
    }

    async fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        let greeting = reader.read_line().await?;
        let mut fields = greeting.split(' ').map(str::parse::<u64>);
        let (Some(Ok(node)), Some(Ok(connection))) = (fields.next(), fields.next()) else { return Ok(()) };
        while let Some(request) = reader.next(false).await? {
            let sent = self
                .arrival_times
                .arrival(connection, request.stream_offset)
                .map_or(self.history.now(), |m| self.history.timestamp(m));
            if request.start_line.1 == "/_load" {
                self.history.record(Event::Probed { server: self.number, sent });
                let jobs = self.jobs.get();
                let text = format!("TEXT x0={}, concurrent={jobs}", CONCURRENT_JOBS.saturating_sub(jobs));
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                write.write_all(format!("{head}{text}").as_bytes()).await?;
                continue;
            }
            self.run_job(&request, node as u32, sent, &mut write).await?;
        }
        Ok(())
    }

    async fn run_job(
        &self,
        request: &Message,
        node: u32,
        sent: i64,
        write: &mut OwnedWriteHalf,
    ) -> std::io::Result<()> {
        let request_id = request.field("request-id").unwrap_or("");
        // Repeats of a request may share a `Request-Id`; the body identifies each of them.
        let own_id = request.body.strip_prefix("rig ").unwrap_or(request_id);
        let Ok(id) = u64::from_str_radix(own_id, 16) else {
            return write.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
        };
        let (server, history) = (self.number, &self.history);
        history.record(Event::Arrived { id, server, node, sent });
        let _departure = RecordDeparture { history, id, server };
        if self.draining.get() || self.jobs.get() >= CONCURRENT_JOBS + QUEUED_JOBS {
            history.record(Event::RejectedByServer { id, server });
            let rejection =
                b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
            return write.write_all(rejection).await;
        }
        let _job = JobGuard::new(&self.jobs);
        write.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        // The semaphore is never closed.
        let Ok(_slot) = self.slots.acquire().await else { return Ok(()) };
        history.record(Event::JobStarted { id, server });
        let state = |state: &str| json!({"id": request_id, "from": format!("s-{server}"), "state": state});
        write.write_all(chunk(&state("started").to_string()).as_bytes()).await?;
        sleep(Duration::from_millis(JOB_DURATION_MS.0 + id.wrapping_mul(0x9e37_79b9) % JOB_DURATION_MS.1))
            .await;
        let mut done = state("done");
        done["result"] = json!(request_id);
        write.write_all(format!("{}0\r\n\r\n", chunk(&done.to_string())).as_bytes()).await
    }
}

/// Records the end of a job when it is dropped.
struct RecordDeparture<'a> {
    history: &'a History,
    id: u64,
    server: u32,
}

impl Drop for RecordDeparture<'_> {
    fn drop(&mut self) {
        self.history.record(Event::JobReleased { id: self.id, server: self.server });
    }
}

/// Counts a job of a server until it is dropped.
struct JobGuard<'a>(&'a Cell<usize>);

impl<'a> JobGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        JobGuard(count)
    }
}

impl Drop for JobGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The phase of a server in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// The server takes new work.
    Active,
    /// The server is draining: it finishes its jobs and takes no new ones.
    Leaving,
    /// The server has left.
    Left,
}

/// The phase and start time (milliseconds since the epoch) of each server, and the revision of the list.
type ReportedList = (Vec<(ServerPhase, u64)>, usize);

/// A stub of discovery. It listens on a separate address for each node, like an agent on each host.
#[derive(Debug)]
pub struct Discovery {
    history: Rc<History>,
    /// By node and server: the address under which the node reaches the server.
    addresses: RefCell<Vec<Vec<SocketAddr>>>,
    /// By node: the servers on its list.
    own_servers: RefCell<Vec<Range<u32>>>,
    phases: RefCell<Vec<(ServerPhase, u64)>>,
    /// By node: the list that was last sent to it.
    reported: RefCell<Vec<ReportedList>>,
    /// The server that each revision changed.
    changes: RefCell<Vec<u32>>,
    revision: watch::Sender<usize>,
    /// By node: whether nothing is sent to it.
    muted: RefCell<Vec<watch::Sender<bool>>>,
    /// Whether all connections are closed.
    closing: watch::Sender<bool>,
}

impl Discovery {
    /// Creates a discovery with `servers` active servers.
    pub fn new(history: Rc<History>, servers: u32) -> Rc<Discovery> {
        Rc::new(Discovery {
            history,
            addresses: RefCell::default(),
            own_servers: RefCell::default(),
            phases: RefCell::new(vec![(ServerPhase::Active, 0); servers as usize]),
            reported: RefCell::default(),
            changes: RefCell::default(),
            revision: watch::channel(0).0,
            muted: RefCell::default(),
            closing: watch::channel(false).0,
        })
    }

    /// Starts to listen for a node and returns the address. `servers` are the addresses under which the node reaches the servers;
    /// its list holds those in `own_servers`.
    pub async fn listen(
        self: &Rc<Self>,
        node: u32,
        servers: Vec<SocketAddr>,
        own_servers: Range<u32>,
    ) -> std::io::Result<SocketAddr> {
        self.own_servers.borrow_mut().push(own_servers);
        self.reported.borrow_mut().push((vec![(ServerPhase::Active, 0); servers.len()], 0));
        self.addresses.borrow_mut().push(servers);
        self.muted.borrow_mut().push(watch::channel(false).0);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let discovery = discovery.clone();
                discovery.history.record(Event::DiscoveryConnected { node });
                spawn_local(async move {
                    let mut closing = discovery.closing.subscribe();
                    tokio::select! {
                        biased;
                        // The sender lives as long as discovery.
                        _ = closing.wait_for(|closing| *closing) => {}
                        // An error means that the node closed the connection.
                        _ = discovery.serve_connection(node, stream) => {}
                    }
                });
            }
        });
        Ok(address)
    }

    /// Starts or stops withholding all data from a node.
    pub fn set_muted(&self, node: u32, muted: bool) {
        self.muted.borrow()[node as usize].send_replace(muted);
    }

    /// Starts or stops closing all connections, open and new ones.
    pub fn set_closing(&self, closing: bool) {
        self.closing.send_replace(closing);
    }

    /// Waits until data may be sent to a node.
    async fn wait_until_unmuted(&self, node: u32) {
        let mut muted = self.muted.borrow()[node as usize].subscribe();
        // The sender lives as long as discovery.
        let _ = muted.wait_for(|muted| !muted).await;
    }

    /// Changes the phase of a server and publishes that.
    pub fn announce(&self, server: u32, phase: ServerPhase) {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let (previous, started) = self.phases.borrow()[server as usize];
        let started =
            if phase == ServerPhase::Active && previous != phase { now.as_millis() as u64 } else { started };
        self.phases.borrow_mut()[server as usize] = (phase, started);
        self.changes.borrow_mut().push(server);
        self.revision.send_modify(|r| *r += 1);
    }

    fn member(&self, node: u32, server: u32, (phase, started): (ServerPhase, u64)) -> Value {
        let phase = match phase {
            ServerPhase::Active => "active",
            ServerPhase::Leaving => "leaving",
            ServerPhase::Left => "left",
        };
        let address = self.addresses.borrow()[node as usize][server as usize];
        json!({"id": format!("s-{server}"), "host_port": address.to_string(), "locality": "a",
               "flavor": "standard", "cell": 0, "phase": phase, "size": 4.0, "up_since_ms": started})
    }

    fn list_message(&self, node: u32, complete: bool, servers: &[u32]) -> String {
        let phases = self.phases.borrow().clone();
        let members: Vec<Value> =
            servers.iter().map(|s| self.member(node, *s, phases[*s as usize])).collect();
        for s in servers {
            let reported_phase = self.phases.borrow()[*s as usize];
            self.reported.borrow_mut()[node as usize].0[*s as usize] = reported_phase;
            let is_active = reported_phase.0 == ServerPhase::Active;
            self.history.record(Event::ServerListed { node, server: *s, live: is_active });
        }
        self.reported.borrow_mut()[node as usize].1 = *self.revision.borrow();
        json!({"revision": *self.revision.borrow(), "complete": complete, "members": members}).to_string()
    }

    /// Returns the server table that was last sent to a node, without servers that have left. The node restarts with this table.
    pub fn known(&self, node: u32) -> Value {
        let (reported, revision) = self.reported.borrow()[node as usize].clone();
        let own_servers = self.own_servers.borrow()[node as usize].clone();
        let listed = reported.iter().enumerate().filter(|(_, (phase, _))| *phase != ServerPhase::Left);
        let listed = listed.filter(|(s, _)| own_servers.contains(&(*s as u32)));
        let members: Vec<Value> =
            listed.map(|(s, reported_phase)| self.member(node, s as u32, *reported_phase)).collect();
        json!({"revision": revision, "complete": true, "members": members})
    }

    async fn serve_connection(&self, node: u32, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        while let Some(request) = reader.next(false).await? {
            let query = request.start_line.1.split_once('?').map_or("", |(_, query)| query);
            let from = query.split('&').find_map(|pair| pair.strip_prefix("from=")?.parse::<usize>().ok());
            if query.contains("watch=1") {
                return tokio::select! {
                    done = self.watch(node, from.unwrap_or(0), &mut write) => done,
                    // The node has closed the connection; nothing written from now on reaches it.
                    _ = reader.next(false) => Ok(()),
                };
            }
            self.wait_until_unmuted(node).await;
            let servers: Vec<u32> = self.own_servers.borrow()[node as usize].clone().collect();
            let text = self.list_message(node, true, &servers);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            write.write_all(format!("{head}{text}").as_bytes()).await?;
        }
        Ok(())
    }

    async fn watch(&self, node: u32, from: usize, write: &mut OwnedWriteHalf) -> std::io::Result<()> {
        let (mut sent_revision, mut revisions, mut heartbeat) =
            (from, self.revision.subscribe(), interval(HEARTBEAT_INTERVAL));
        write.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            self.wait_until_unmuted(node).await;
            let revision = *revisions.borrow_and_update();
            let mut changed: Vec<u32> = self.changes.borrow().iter().skip(sent_revision).copied().collect();
            sent_revision = revision;
            changed.sort_unstable();
            changed.dedup();
            changed.retain(|s| self.own_servers.borrow()[node as usize].contains(s));
            if !changed.is_empty() {
                let text = self.list_message(node, false, &changed);
                write.write_all(chunk(&text).as_bytes()).await?;
            }
            tokio::select! {
                changed = revisions.changed() => if changed.is_err() { return Ok(()) },
                _ = heartbeat.tick() => {
                    self.wait_until_unmuted(node).await;
                    write.write_all(chunk("").as_bytes()).await?;
                }
            }
        }
    }
}
