//! Guarded keys have one owner each: sites with a node each, and a quota server in the test's process that grants the key leases.

use crate::sites::{refusal, SiteFiles};
use crate::support::quota_server::run_quota_server;
use crate::support::*;
use rstest::rstest;
use serde_json::json;
use shorepath_quota::allocator::Allocator;
use shorepath_sites::key_ownership::{KeyOwnership, PersistedOwnership};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A fleet with a quota server that runs until it is dropped.
struct Fleet {
    files: SiteFiles,
    budgets: PathBuf,
    /// While set, the quota server ignores messages and sends none.
    silent: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl Fleet {
    fn new(name: &str) -> Fleet {
        Fleet::of(name, &["west/n0", "east/n1"])
    }

    /// Creates a fleet with a key lease for each of these owners.
    fn of(name: &str, owners: &[&str]) -> Fleet {
        let mut files = SiteFiles::new(&format!("homes-{name}"));
        files.timeouts = "(confirm 1 s) (alone 1 s) (hold 1 s)";
        (0..2).for_each(|node| files.write_sites(node, 1, ""));
        let addresses: Vec<SocketAddr> = owners.iter().map(|_| unused_address()).collect();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let server_address = socket.local_addr().unwrap();
        let mut text = format!("(budgets (version 1) (term 1 s) (divider d0 \"{server_address}\")");
        for (k, (owner, address)) in owners.iter().zip(&addresses).enumerate() {
            text += &format!(" (node n{k} \"{address}\")");
            text += &format!(" (budget home:{owner} (per moment) (whole 1) (longest 500 ms))");
        }
        text += ")";
        let budgets = files.node_folder(0).join("budgets.sexp");
        std::fs::write(&budgets, &text).unwrap();
        let plan = shorepath_quota::config::read("t", &text).unwrap();
        let (silent, stopped) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let flags = (silent.clone(), stopped.clone());
        std::thread::spawn(move || run_quota_server(&socket, Allocator::new("d0", plan, 7), &flags));
        Fleet { files, budgets, silent, stopped }
    }

    fn start(&self, node: usize, config: serde_json::Value) -> Node {
        self.files.start_with(node, config, &["--budgets", self.budgets.to_str().unwrap()])
    }

    /// Returns keys that the node owns.
    fn keys(&self, node: usize) -> impl Iterator<Item = String> {
        let text = std::fs::read_to_string(self.files.node_folder(0).join("sites.sexp")).unwrap();
        let plan = shorepath_sites::config::read("t", &text).unwrap();
        let ownership = KeyOwnership::new(0, &plan, &PersistedOwnership::default());
        let owner = ["west/n0", "east/n1", "north/n2"][node];
        (0..).map(|k| format!("key{k}")).filter(move |key| ownership.home(key) == owner)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn ask(node: &Node, key: &str) -> Connection {
    static COUNT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let id = format!("{key}-{}", COUNT.fetch_add(1, Ordering::Relaxed));
    let mut client = node.client();
    let tenant = format!("Idempotency-Key: {key}\r\nTenant:");
    client.send(&job(&id, "/actuator-cmd", "5000m", "").replace("Tenant:", &tenant));
    client
}

/// Sends a job with the key and serves it from the backend connection.
fn expect_served(node: &Node, backend: &mut Connection, key: &str) {
    let mut client = ask(node, key);
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
}

/// Retries a key until it is rejected with the wanted status and reason; it must not be served.
fn expect_rejected(node: &Node, key: &str, wanted: (u16, &str)) {
    let begin = Instant::now();
    loop {
        let mut client = ask(node, key);
        let answer = client.message();
        let (status, reason) = refusal(&answer);
        if (status, reason) == (wanted.0, Some(wanted.1)) {
            assert_eq!(answer.field("Retry-After").is_some(), status == 503);
            return;
        }
        assert!(
            status != 200 && begin.elapsed() < TEST_TIMEOUT,
            "{key}: {status} {reason:?}, not {wanted:?}"
        );
        client.is_silent_for(Duration::from_millis(20));
    }
}

/// Retries a key until it is served; only 503 may come before.
fn expect_placed(node: &Node, key: &str) {
    let begin = Instant::now();
    loop {
        let answer = ask(node, key).message();
        match answer.status() {
            200 => return,
            status => assert!(status == 503 && begin.elapsed() < TEST_TIMEOUT, "{key}: {answer:?}"),
        }
    }
}

/// Logged when a node has all placements of its key range.
const CAUGHT_UP: &str = "all placements are known";

/// Only the node with the key lease places keys of a range; other nodes reject them with the owner's name. Without a lease nobody
/// places them.
#[rstest]
fn only_the_lease_holder_places_keys_of_its_range() {
    let (fleet, servers) = (Fleet::new("holder"), [TestServer::new(), TestServer::new()]);
    let nodes = [0, 1].map(|k| {
        let mut config = config(&[servers[k].address]);
        // The last request is expected on the connection of the one before, however long the new lease takes.
        config["settings"]["allowed"]["conn_idle_ms"] = json!(60_000.0);
        fleet.start(k, config)
    });
    nodes[0].logs("a guarded key is placed by the node that holds its range");
    for (k, owner) in ["west/n0", "east/n1"].iter().enumerate() {
        assert!(nodes[k].logs(CAUGHT_UP).contains(&format!("key range {owner} is held")));
    }
    let mut keys = fleet.keys(0);
    let mut key = || keys.next().unwrap();
    let first = key();
    expect_rejected(&nodes[1], &first, (421, "home west/n0"));
    let mut client = ask(&nodes[0], &first);
    let mut backend = servers[0].accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
    expect_rejected(&nodes[0], &first, (409, "served before"));
    expect_rejected(&nodes[1], &first, (409, "served before"));
    // A job that runs when the lease expires goes on and is answered.
    let running = key();
    let mut client = ask(&nodes[0], &running);
    let id = backend.id();
    fleet.silent.store(true, Ordering::Relaxed);
    nodes[0].logs("key range west/n0 is no longer held");
    expect_rejected(&nodes[0], &key(), (503, "no lease of west/n0"));
    expect_rejected(&nodes[0], &running, (502, "may have run"));
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
    expect_rejected(&nodes[0], &running, (409, "served before"));
    assert!(servers[1].has_no_connection());
    fleet.silent.store(false, Ordering::Relaxed);
    nodes[0].logs(CAUGHT_UP);
    expect_served(&nodes[0], &mut backend, &key());
}

/// The node that takes over a lost node's range places none of the keys that the lost node may have placed; the lost node owns the
/// range again when it returns.
#[rstest]
fn successor_rejects_keys_that_a_lost_node_may_have_placed() {
    let (fleet, servers) = (Fleet::new("lost"), [TestServer::new(), TestServer::new()]);
    let [west, east] = [0, 1].map(|k| fleet.start(k, config(&[servers[k].address])));
    west.logs(CAUGHT_UP);
    let mut keys = fleet.keys(0);
    let mut key = || keys.next().unwrap();
    let (known, unknown) = (key(), key());
    let mut client = ask(&west, &known);
    let mut backend = servers[0].accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
    expect_rejected(&east, &known, (409, "served before"));
    drop(west);
    let lines = east.logs_until("key range west/n0 is held");
    assert!(lines.iter().any(|l| l.contains("site west Lost")), "{lines:?}");
    expect_rejected(&east, &known, (409, "served before"));
    expect_rejected(&east, &unknown, (502, "may have run"));
    assert!(servers[1].has_no_connection());
    let west = fleet.start(0, config(&[servers[0].address]));
    // While both nodes claim the lease it alternates between them, and the current holder places keys.
    east.logs("this node asks for home:east/n1");
    expect_rejected(&east, &unknown, (421, "home west/n0"));
    west.logs(CAUGHT_UP);
    let mut client = ask(&west, &unknown);
    let mut backend = servers[0].accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
    assert!(servers[1].has_no_connection());
}

/// A running site that an operator declares lost hands its range over with all its placements, so that its successor can place new keys.
#[rstest]
fn site_declared_lost_hands_over_its_range() {
    let (fleet, servers) = (Fleet::new("declared"), [TestServer::new(), TestServer::new()]);
    let nodes = [0, 1].map(|k| fleet.start(k, config(&[servers[k].address])));
    nodes.iter().for_each(|n| drop(n.logs(CAUGHT_UP)));
    let mut keys = fleet.keys(0);
    let mut key = || keys.next().unwrap();
    let known = key();
    let mut client = ask(&nodes[0], &known);
    let mut backend = servers[0].accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
    for (k, node) in nodes.iter().enumerate() {
        fleet.files.write_sites(k, 2, "(lost west (number 1))");
        node.reload();
    }
    nodes[0].logs("key range west/n0 is no longer held");
    let begin = Instant::now();
    while !nodes[1].logs(CAUGHT_UP).contains("west/n0") {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    expect_rejected(&nodes[0], &key(), (421, "home east/n1"));
    expect_rejected(&nodes[1], &known, (409, "served before"));
    let mut client = ask(&nodes[1], &key());
    let mut backend = servers[1].accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
}

/// A process that is paused past the end of its lease does not send a guarded job that was waiting for its connection.
#[rstest]
fn paused_process_sends_nothing_after_its_lease_expired() {
    let fleet = Fleet::new("still");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let filling: Vec<TcpStream> = std::iter::from_fn(connect).collect();
    let filling_addresses: Vec<SocketAddr> = filling.iter().map(|s| s.local_addr().unwrap()).collect();
    let mut settings = config(&[address]);
    settings["settings"]["allowed"]["connect_timeout_ms"] = 4_000.0.into();
    let _other = fleet.start(1, config(&[refusing_address()]));
    let node = fleet.start(0, settings);
    node.logs(CAUGHT_UP);
    let mut client = ask(&node, &fleet.keys(0).next().unwrap());
    let begin = Instant::now();
    let placement_recorded = || {
        let mut operator = node.operator();
        operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        operator.message().body.contains("placements own=1 ")
    };
    while !placement_recorded() {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    // The connection attempt is pending (SYN_SENT): the listener's backlog is full.
    let to = format!(":{:04X} 02 ", address.port());
    while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&to) {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    node.signal(Signal::STOP);
    fleet.silent.store(true, Ordering::Relaxed);
    // The kernel completes the connection while the process is paused.
    listener.set_nonblocking(true).unwrap();
    let mut backend = loop {
        assert!(begin.elapsed() < 2 * TEST_TIMEOUT, "no connection came up");
        let Ok((stream, from)) = listener.accept() else { continue };
        stream.set_nonblocking(false).unwrap();
        if !filling_addresses.contains(&from) {
            break Connection::new(stream);
        }
    };
    assert!(backend.is_silent_for(Duration::from_millis(1_500)), "longer than a lease");
    node.signal(Signal::CONT);
    assert!(backend.is_closed(), "a job was sent after the lease");
    assert_eq!(client.message().status(), 503);
    for mut further in listener.incoming().map_while(Result::ok).map(Connection::new) {
        assert!(further.is_closed());
    }
}

/// `check` requires a key lease budget for each owner in the sites file.
#[rstest]
#[case::matching("west/n0", true, "would serve")]
#[case::unknown_node("west/n7", false, "no budget for home:west/n0")]
fn check_reports_owners_without_a_lease_budget(
    #[case] owner: &str,
    #[case] is_valid: bool,
    #[case] expected: &str,
) {
    let fleet = Fleet::new(&format!("check-{is_valid}"));
    let text = std::fs::read_to_string(&fleet.budgets).unwrap().replace("west/n0", owner);
    std::fs::write(&fleet.budgets, text).unwrap();
    let (sites, budgets) = (fleet.files.node_folder(0).join("sites.sexp"), fleet.budgets.to_str().unwrap());
    let arguments = [PROGRAM, "check", "--sites", sites.to_str().unwrap(), "--budgets", budgets];
    let out = command(&arguments, &config(&[]).to_string()).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success() == is_valid && text.contains(expected), "{text}");
}

/// A third node joins under load by a new sites file that reaches one node after the other: keys that move to it are placed nowhere
/// until all nodes use the file, other keys stay available, and no key runs twice.
#[rstest]
fn keys_move_to_a_new_node_and_none_runs_twice() {
    let fleet = Fleet::of("moves", &["west/n0", "east/n1", "north/n2"]);
    let ran = Arc::new(Mutex::new(Vec::new()));
    let servers: Vec<SocketAddr> = (0..3)
        .map(|k| {
            let (party, ran) = (TestServer::new(), ran.clone());
            let address = party.address;
            party.handle_connections(move |mut peer| {
                while peer.receives_data() {
                    let id = peer.id();
                    ran.lock().unwrap().push((k, id.clone()));
                    peer.serve(&id, "1");
                }
            });
            address
        })
        .collect();
    let start = |k: usize| fleet.start(k, config(&[servers[k]]));
    let mut nodes = vec![start(0), start(1)];
    nodes.iter().for_each(|n| drop(n.logs(CAUGHT_UP)));
    let third = fleet.files.third_site();
    // Clients send every key to every node concurrently.
    let is_done = Arc::new(AtomicBool::new(false));
    let next_key = Arc::new(AtomicUsize::new(0));
    let load = |node: &Node, offset: usize| {
        let (is_done, next_key, address) = (is_done.clone(), next_key.clone(), node.address);
        std::thread::spawn(move || {
            let mut count = 0;
            while !is_done.load(Ordering::Relaxed) {
                let key = next_key.fetch_add(1, Ordering::Relaxed).saturating_sub(offset);
                let Ok(stream) = TcpStream::connect(address) else { continue };
                let mut client = Connection::new(stream);
                let tenant = format!("Idempotency-Key: load{key}\r\nTenant:");
                let id = format!("load{key}-{address}-{count}");
                client.send(&job(&id, "/actuator-cmd", "5000m", "").replace("Tenant:", &tenant));
                if !client.ends_without_data() {
                    client.message();
                }
                count += 1;
                // Limits the load.
                std::thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let mut clients = vec![load(&nodes[0], 0), load(&nodes[1], 0), load(&nodes[0], 3), load(&nodes[1], 3)];
    fleet.files.write_sites(2, 2, &third);
    nodes.push(start(2));
    clients.extend([load(&nodes[2], 0), load(&nodes[2], 6)]);
    fleet.files.write_sites(0, 2, &third);
    nodes[0].reload();
    nodes[0].logs("read again: version 2");
    let mut moved_keys = fleet.keys(2);
    let key = moved_keys.next().unwrap();
    expect_rejected(&nodes[2], &key, (503, "home becomes north/n2"));
    expect_rejected(&nodes[0], &key, (421, "home north/n2"));
    let unmoved_key = fleet.keys(0).next().unwrap();
    // The node owns this key under both files.
    expect_placed(&nodes[0], &unmoved_key);
    assert!(ran.lock().unwrap().iter().all(|(server, _)| *server != 2));
    fleet.files.write_sites(1, 2, &third);
    nodes[1].reload();
    expect_placed(&nodes[2], &key);
    for key in moved_keys.take(5) {
        expect_rejected(&nodes[1], &key, (421, "home north/n2"));
        expect_placed(&nodes[2], &key);
        expect_rejected(&nodes[0], &key, (409, "served before"));
    }
    is_done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    let mut servers_by_key: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (server, id) in ran.lock().unwrap().iter() {
        servers_by_key.entry(id.split('-').next().unwrap().to_string()).or_default().push(*server);
    }
    let repeated: Vec<_> = servers_by_key.iter().filter(|(_, servers)| servers.len() > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
    assert!((0..3).all(|k| servers_by_key.values().any(|servers| servers == &[k])), "{servers_by_key:?}");
}
