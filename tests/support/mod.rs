//! The real program as a process, and the parties round it: clients, backend servers, discovery.

/// One owner gives out addresses to all tests that start processes.
#[path = "../../crates/rig/src/addresses.rs"]
mod addresses;
pub mod allocator;
pub mod site_files;

pub use rustix::process::Signal;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nothing that works takes this long.
pub const LONG: Duration = Duration::from_secs(10);

pub fn settings() -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "target_ms": 2000.0, "deadline_ms": 5000.0,
               "late_worth": 0.3, "worth": 3.0, "stream": false, "group": "all", "dedup_window_ms": 5000.0})
    };
    json!({
        "allowed": {"cancel": true, "conn_idle_ms": 5000.0, "connect_timeout_ms": 1000.0,
                    "max_retry_after_ms": 2000.0, "retry_after": true, "try_limit": 3, "probing": true},
        "classes": [class("zone-plan", "free"), class("actuator-cmd", "single_shot")],
        "family_info": {"tells_start": true, "class_kind": [-1, -1], "class_stretch": [2.0, 2.0]},
        "kinds": ["standard"], "projects": [{"name": "acme", "portion": 1.0, "quota_rps": 50.0}],
        "rules": {"drain_grace_ms": 500.0, "cold_share": 0.2, "cold_ms": 10000.0, "tip_multiple": 4.0,
                  "fall_ms": 2000.0, "answer_slack_ms": 16.0},
        "granularity_ms": 4.0, "over_share_worth": 0.2, "rank": 0, "replicas_of_me": 2,
        "discovery": "pushed", "weights": "nominal", "zone": "a", "azs": ["a"]
    })
}

pub fn entry(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "standard", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// A configuration with those backend servers, which nothing listens behind as discovery.
pub fn config(servers: &[SocketAddr]) -> Value {
    let known: Vec<Value> =
        servers.iter().enumerate().map(|(k, s)| entry(&format!("s-{k}"), *s, "active")).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": {"revision": 41, "complete": true, "members": known}, "settings": settings()})
}

/// Write a configuration down and name it in a command for the program.
pub fn command(messages: &[&str], config: &str) -> Command {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}-{number}.json", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(messages[0]);
    command.args(&messages[1..]).env("ROUTER_CONFIG", path).stdout(Stdio::piped()).stderr(Stdio::piped());
    command.env("TMPDIR", meeting_place());
    command
}

/// Where processes find each other, by a path that may not be long. This run's own: a name that an earlier one has left
/// behind would be taken for a new process's.
pub fn meeting_place() -> PathBuf {
    static PLACE: LazyLock<PathBuf> = LazyLock::new(|| {
        let usual = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let usual = Some(usual).filter(|path| path.as_os_str().len() < 40);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let name = format!("{}-{:x}", std::process::id(), since.as_nanos() as u32);
        let place = usual.unwrap_or_else(std::env::temp_dir).join(name);
        std::fs::create_dir_all(&place).unwrap();
        place
    });
    PLACE.clone()
}

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_shorepath");

/// The program, serving; killed when dropped.
pub struct Node {
    child: Child,
    file: PathBuf,
    pub address: SocketAddr,
    /// Where operators call, if the configuration names such an address.
    admin: Option<SocketAddr>,
    log: Receiver<String>,
    stall: Sender<()>,
}

impl Node {
    pub fn start(config: &Value) -> Node {
        Node::start_as(&[PROGRAM, "serve", "-v"], config)
    }

    pub fn start_as(messages: &[&str], config: &Value) -> Node {
        Node::spawn(command(messages, &config.to_string()))
    }

    /// With more in its environment.
    pub fn start_with(config: &Value, prepare: impl Fn(&mut Command)) -> Node {
        Node::start_with_words(&[PROGRAM, "serve", "-v"], config, prepare)
    }

    /// By other words, with more in its environment.
    pub fn start_with_words(messages: &[&str], config: &Value, prepare: impl Fn(&mut Command)) -> Node {
        let mut command = command(messages, &config.to_string());
        prepare(&mut command);
        Node::spawn(command)
    }

    fn spawn(command: Command) -> Node {
        Node::starting(command).serving()
    }

    /// The program as it starts, whether or not it comes to serve.
    pub fn starting(mut command: Command) -> Node {
        let named = command.get_envs().find(|(name, _)| *name == "ROUTER_CONFIG").and_then(|(_, file)| file);
        let file = PathBuf::from(named.unwrap());
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (sender, log) = channel();
        let (stall, stalled) = channel();
        std::thread::spawn(move || {
            while lines.next().and_then(Result::ok).is_some_and(|l| sender.send(l).is_ok()) {}
            if stalled.try_recv().is_ok() {
                std::mem::forget(lines);
            }
        });
        Node { child, file, address: ([127, 0, 0, 1], 1).into(), admin: None, log, stall }
    }

    /// The same once it serves.
    pub fn serving(mut self) -> Node {
        loop {
            let line = self.logs("");
            let address = line.rsplit(' ').next().and_then(|a| a.parse().ok());
            if line.contains("operators call at ") {
                self.admin = address;
            } else if line.contains("serves on ") {
                self.address = address.unwrap();
                return self;
            }
        }
    }

    /// The next line of the log that holds the text.
    pub fn logs(&self, text: &str) -> String {
        self.logs_until(text).pop().unwrap()
    }

    /// All lines of its log up to the one with that text.
    pub fn logs_until(&self, text: &str) -> Vec<String> {
        let end = Instant::now() + LONG;
        let mut lines = Vec::new();
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left).unwrap_or_else(|e| panic!("no '{text}' in the log: {e}"));
            lines.push(line);
            if lines.last().unwrap().contains(text) {
                return lines;
            }
        }
    }

    /// Read its log no more: its standard error is closed, or stays open and fills up.
    pub fn without_log(mut self, stalls: bool) -> Node {
        if stalls {
            self.stall.send(()).unwrap();
        }
        self.log = channel().1;
        // More lines than a pipe holds, and one at least for the reader to notice by.
        (0..1_000).for_each(|_| drop(self.client()));
        self
    }

    pub fn client(&self) -> Peer {
        Peer::new(TcpStream::connect(self.address).unwrap())
    }

    /// An operator who has connected.
    pub fn operator(&self) -> Peer {
        Peer::new(TcpStream::connect(self.admin.unwrap()).unwrap())
    }

    /// The status that an operator's call brings.
    pub fn call(&self, method: &str, path: &str) -> u16 {
        let mut operator = self.operator();
        operator.send(&format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"));
        let status = operator.message().status();
        assert!(operator.ended(), "one call to a connection");
        status
    }

    pub fn client_refused(&self) -> bool {
        TcpStream::connect(self.address).is_err()
    }

    /// Hand a job in on a new connection.
    pub fn ask(&self, id: &str, target: &str) -> Peer {
        let mut client = self.client();
        client.send(&job(id, target, "5000m", ""));
        client
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Have it read its configuration again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether it handles SIGHUP, as the system has it.
    pub fn handles_hang_up(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let handled = status.lines().find_map(|l| l.strip_prefix("SigCgt:")).unwrap().trim();
        u64::from_str_radix(handled, 16).unwrap() & 1 == 1
    }

    /// Let the process stand still, or go on. It does stand still once this returns.
    pub fn stand_still(&self, still: bool) {
        self.signal(if still { Signal::STOP } else { Signal::CONT });
        let end = Instant::now() + LONG;
        while still && !self.stands_still() {
            assert!(Instant::now() < end, "it does not stop");
            std::thread::yield_now();
        }
    }

    /// Whether each of its threads is stopped.
    fn stands_still(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let stat = |thread: std::fs::DirEntry| std::fs::read_to_string(thread.path().join("stat")).ok();
        let states = threads.flatten().filter_map(stat);
        // The state comes after the name, which is in brackets; it is a small letter under a tracer.
        states.into_iter().all(|stat| stat.rsplit(')').next().unwrap().trim_start().starts_with(['T', 't']))
    }

    /// Lift the bound on its files, which it was started with.
    pub fn frees_its_disk(&self) {
        let id = self.child.id().to_string();
        let lifts = ["--pid", &id, "--fsize=unlimited:unlimited"];
        assert!(Command::new("prlimit").args(lifts).status().unwrap().success());
    }

    /// The system gives it no more descriptors than that from now on.
    pub fn may_have_descriptors(&self, most: u64) {
        let limit = Rlimit { current: Some(most), maximum: Some(most) };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Nofile, limit).unwrap();
    }

    /// Sent from here, and there as this returns: a program that sends it may be late, and times are counted from now.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Replace its configuration.
    pub fn replace(&self, config: &str) {
        std::fs::write(&self.file, config).unwrap();
    }

    /// Where its configuration is.
    pub fn file(&self) -> &std::path::Path {
        &self.file
    }

    /// How many descriptors it has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    pub fn exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.log.iter().for_each(|line| eprintln!("{line}"));
        }
    }
}

/// A request of a client.
pub fn job(id: &str, target: &str, timeout: &str, body: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nTenant: acme\r\n\
         Request-Timeout: {timeout}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Somebody who listens: a backend server or discovery.
pub struct Party {
    pub address: SocketAddr,
    came: Receiver<TcpStream>,
}

impl Party {
    pub fn new() -> Party {
        Party::behind(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn behind(listener: TcpListener) -> Party {
        let address = listener.local_addr().unwrap();
        let (sender, came) = channel();
        std::thread::spawn(move || listener.incoming().flatten().try_for_each(|s| sender.send(s)));
        Party { address, came }
    }

    pub fn accept(&self) -> Peer {
        Peer::new(self.came.recv_timeout(LONG).expect("nobody came"))
    }

    /// Let each connection that comes be attended by a thread of its own, for as long as the test runs.
    pub fn attended(self, attend: impl Fn(Peer) + Clone + Send + 'static) {
        std::thread::spawn(move || {
            for stream in self.came {
                let attend = attend.clone();
                std::thread::spawn(move || attend(Peer::new(stream)));
            }
        });
    }

    /// Whoever has connected already.
    pub fn came(&self) -> Option<Peer> {
        self.came.try_recv().ok().map(Peer::new)
    }

    pub fn is_left_alone(&self) -> bool {
        self.came.try_recv().is_err()
    }
}

/// An address behind which no connection comes up, for as long as this is kept: it accepts nothing,
/// and the queue of those that wait is full.
pub fn deaf() -> (SocketAddr, impl Sized) {
    deaf_listener()
}

fn deaf_listener() -> (SocketAddr, (TcpListener, Vec<TcpStream>)) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let more = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let filled: Vec<_> = std::iter::from_fn(more).collect();
    (address, (listener, filled))
}

/// The same for that long: whoever began to connect within it comes up once the system tries again, after a
/// second.
pub fn deaf_for(time: Duration) -> (SocketAddr, Party) {
    let (address, kept) = deaf_listener();
    let (sender, came) = channel();
    std::thread::spawn(move || {
        let (listener, filled) = kept;
        std::thread::sleep(time);
        // Those that filled the queue come first, and have nothing to say.
        for _ in &filled {
            drop(listener.accept());
        }
        drop(filled);
        listener.incoming().flatten().try_for_each(|s| sender.send(s))
    });
    (address, Party { address, came })
}

/// An address that refuses connections.
pub fn closed() -> SocketAddr {
    fresh()
}

/// An address for somebody who listens later, or again. Until then it refuses connections, and nobody else gets it.
pub fn fresh() -> SocketAddr {
    addresses::allocate_address().unwrap()
}

/// Wait until the system has a connection like that.
pub fn system_has(text: &str) {
    let begin = Instant::now();
    while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(text) {
        assert!(begin.elapsed() < LONG, "no connection {text}");
    }
}

/// A connection, from either side.
pub struct Peer {
    stream: BufReader<TcpStream>,
}

/// A request or an answer.
#[derive(Debug)]
pub struct Message {
    pub first: String,
    pub head: String,
    pub body: String,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v).next()
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer { stream: BufReader::new(stream) }
    }

    /// The bare connection; what of it is read ahead is lost.
    pub fn into_stream(self) -> TcpStream {
        self.stream.into_inner()
    }

    pub fn send(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).unwrap();
    }

    /// Whether the other side still takes it.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.stream.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Where this side of it is.
    pub fn address(&self) -> SocketAddr {
        self.stream.get_ref().local_addr().unwrap()
    }

    /// Wait until something has come: how much there is. Guards against signals, which cut such a wait short.
    fn comes(&mut self) -> std::io::Result<usize> {
        loop {
            match self.stream.fill_buf() {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                came => return came.map(<[u8]>::len),
            }
        }
    }

    /// The same, for so long at most.
    fn comes_within(&mut self, time: Duration) -> std::io::Result<usize> {
        let end = Instant::now() + time;
        let came = loop {
            // No time at all would be no limit.
            let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            self.stream.get_ref().set_read_timeout(Some(left)).unwrap();
            match self.stream.fill_buf() {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                came => break came.map(<[u8]>::len),
            }
        };
        self.stream.get_ref().set_read_timeout(Some(LONG)).unwrap();
        came
    }

    /// Whether nothing comes for that time.
    pub fn hears_nothing(&mut self, time: Duration) -> bool {
        self.comes_within(time).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Nothing comes for that time, or this says what does.
    pub fn stays_silent(&mut self, time: Duration) {
        let begun = Instant::now();
        match self.comes_within(time) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            came => {
                let text = String::from_utf8_lossy(self.stream.buffer());
                panic!("after {:?}: {came:?} {text}", begun.elapsed());
            }
        }
    }

    /// Send this over and over until something comes back.
    pub fn trickle_until_answered(&mut self, text: &str) {
        let pause = Some(Duration::from_millis(100));
        self.stream.get_ref().set_read_timeout(pause).unwrap();
        while self.stream.fill_buf().is_err() {
            self.send(text);
        }
        self.stream.get_ref().set_read_timeout(Some(LONG)).unwrap();
    }

    /// Send this over and over until the other side ends the connection.
    pub fn trickle_until_over(&mut self, text: &str) {
        let (begun, pause) = (Instant::now(), Some(Duration::from_millis(100)));
        self.stream.get_ref().set_read_timeout(pause).unwrap();
        while self.comes().is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
            assert!(begun.elapsed() < LONG, "it goes on waiting");
            let _ = self.stream.get_mut().write_all(text.as_bytes());
        }
    }

    /// Whether the other side has ended it before it wrote anything.
    pub fn ended_early(&mut self) -> bool {
        !self.comes().is_ok_and(|came| came > 0)
    }

    /// Wait until something has come and close over it unread, which resets the connection.
    pub fn reset(self) {
        assert!(self.has_come(), "nothing came");
    }

    /// Reset the connection, whatever has come over it.
    pub fn resets(self) {
        rustix::net::connect_unspec(self.stream.get_ref()).unwrap();
    }

    /// Whether something comes, which stays unread in the system.
    pub fn has_come(&self) -> bool {
        self.stream.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0)
    }

    /// Send this so many times, or until the other side reads no more.
    pub fn flood(&mut self, times: usize, text: &str) {
        let mut stream = self.stream.get_ref().try_clone().unwrap();
        let text = text.to_string();
        std::thread::spawn(move || (0..times).try_for_each(|_| stream.write_all(text.as_bytes())));
    }

    /// A message with its body by `Content-Length`.
    pub fn message(&mut self) -> Message {
        let (mut first, mut head) = (String::new(), String::new());
        self.stream.read_line(&mut first).unwrap();
        assert!(!first.is_empty(), "the connection ended before a message");
        while !head.ends_with("\r\n\r\n") && head != "\r\n" {
            assert!(self.stream.read_line(&mut head).unwrap() > 0, "the connection ended in a head");
        }
        let mut message = Message { first: first.trim_end().to_string(), head, body: String::new() };
        let length = message.field("Content-Length").map_or(0, |l| l.parse().unwrap());
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).unwrap();
        message.body = String::from_utf8(body).unwrap();
        message
    }

    /// Whether something more comes before the connection ends.
    pub fn goes_on(&mut self) -> bool {
        self.comes().is_ok_and(|came| came > 0)
    }

    /// The id of the request that comes.
    pub fn id(&mut self) -> String {
        self.message().field("Request-Id").unwrap().to_string()
    }

    /// The other side has ended the connection without another byte.
    pub fn ended(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
            || self.stream.get_ref().take_error().is_ok_and(|e| e.is_some())
    }

    /// The same, or has reset it, as where it closed over what it had not read.
    pub fn ended_or_reset(&mut self) -> bool {
        match self.comes() {
            Ok(came) => came == 0,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Wait until the other side, on this machine too, has read all that was sent.
    pub fn is_read(&self) {
        let stream = self.stream.get_ref();
        let [own, other] = [stream.local_addr(), stream.peer_addr()].map(|a| a.unwrap().port());
        // Nothing waits there to be sent or to be read.
        system_has(&format!(":{other:04X} 0100007F:{own:04X} 01 00000000:00000000 "));
    }

    /// Begin an answer in chunks.
    pub fn begin(&mut self) {
        self.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /// A line of an answer in chunks.
    pub fn line(&mut self, text: &str) {
        self.send(&format!("{:x}\r\n{text}\n\r\n", text.len() + 1));
    }

    pub fn state(&mut self, id: &str, state: &str) {
        self.line(&json!({"id": id, "from": "s", "state": state}).to_string());
    }

    /// Serve a job to its end.
    pub fn serve(&mut self, id: &str, result: &str) {
        self.begin();
        self.state(id, "started");
        self.finish(id, result);
    }

    /// The same in one piece: between a start and an end that come apart the node may send the next job on a connection of its own.
    pub fn serve_at_once(&mut self, id: &str, result: &str) {
        let line = |value: Value| format!("{:x}\r\n{value}\n\r\n", value.to_string().len() + 1);
        let started = line(json!({"id": id, "from": "s", "state": "started"}));
        let done = line(json!({"id": id, "from": "s", "state": "done", "result": result}));
        self.send(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{started}{done}0\r\n\r\n"));
    }

    pub fn finish(&mut self, id: &str, result: &str) {
        let text = json!({"id": id, "from": "s", "state": "done", "result": result}).to_string();
        // In one piece, so that the connection is free before the client can ask again.
        self.send(&format!("{:x}\r\n{text}\n\r\n0\r\n\r\n", text.len() + 1));
    }
}
