//! Guarded keys have one home: two sites with a node each, and a divider of the test's own, which divides as a real one does.

use crate::sites::{refusal, SiteFiles};
use crate::support::quota_server::run_quota_server;
use crate::support::*;
use rstest::rstest;
use shorepath_quota::allocator::Allocator;
use shorepath_sites::key_ownership::{KeyOwnership, PersistedOwnership};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A fleet with a divider that runs until it is dropped.
struct Fleet {
    files: SiteFiles,
    budgets: PathBuf,
    /// It hears nothing and says nothing.
    silent: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
}

impl Fleet {
    fn new(name: &str) -> Fleet {
        Fleet::of(name, &["west/n0", "east/n1"])
    }

    /// With a budget for each of those homes.
    fn of(name: &str, ownership: &[&str]) -> Fleet {
        let mut files = SiteFiles::new(&format!("homes-{name}"));
        files.timeouts = "(confirm 1 s) (alone 1 s) (hold 1 s)";
        (0..2).for_each(|node| files.write_sites(node, 1, ""));
        let addresses: Vec<SocketAddr> = ownership.iter().map(|_| unused_address()).collect();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let own = socket.local_addr().unwrap();
        let mut text = format!("(budgets (version 1) (term 1 s) (divider d0 \"{own}\")");
        for (k, (home, address)) in ownership.iter().zip(&addresses).enumerate() {
            text += &format!(" (node n{k} \"{address}\")");
            text += &format!(" (budget home:{home} (per moment) (whole 1) (longest 500 ms))");
        }
        text += ")";
        let budgets = files.node_folder(0).join("budgets.sexp");
        std::fs::write(&budgets, &text).unwrap();
        let plan = shorepath_quota::config::read("t", &text).unwrap();
        let (silent, over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let flags = (silent.clone(), over.clone());
        std::thread::spawn(move || run_quota_server(&socket, Allocator::new("d0", plan, 7), &flags));
        Fleet { files, budgets, silent, over }
    }

    fn start(&self, node: usize, config: serde_json::Value) -> Node {
        self.files.start_with(node, config, &["--budgets", self.budgets.to_str().unwrap()])
    }

    /// Keys whose home is that node.
    fn keys(&self, node: usize) -> impl Iterator<Item = String> {
        let text = std::fs::read_to_string(self.files.node_folder(0).join("sites.sexp")).unwrap();
        let plan = shorepath_sites::config::read("t", &text).unwrap();
        let ownership = KeyOwnership::new(0, &plan, &PersistedOwnership::default());
        let home = ["west/n0", "east/n1", "north/n2"][node];
        (0..).map(|k| format!("key{k}")).filter(move |key| ownership.home(key) == home)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
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

/// Hand a key in, which a backend server serves.
fn served(node: &Node, backend: &mut Connection, key: &str) {
    let mut client = ask(node, key);
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
}

/// Ask until a refusal is that one; others than those that pass by themselves must not come.
fn refused(node: &Node, key: &str, wanted: (u16, &str)) {
    let begin = Instant::now();
    loop {
        let mut client = ask(node, key);
        let answer = client.message();
        let (status, why) = refusal(&answer);
        if (status, why) == (wanted.0, Some(wanted.1)) {
            assert_eq!(answer.field("Retry-After").is_some(), status == 503);
            return;
        }
        assert!(status != 200 && begin.elapsed() < TEST_TIMEOUT, "{key}: {status} {why:?}, not {wanted:?}");
        client.is_silent_for(Duration::from_millis(20));
    }
}

/// Ask until it is served; refusals that pass by themselves may come before.
fn placed(node: &Node, key: &str) {
    let begin = Instant::now();
    loop {
        let answer = ask(node, key).message();
        match answer.status() {
            200 => return,
            status => assert!(status == 503 && begin.elapsed() < TEST_TIMEOUT, "{key}: {answer:?}"),
        }
    }
}

const PROVED: &str = "all placements are known";

/// The holder places; the other refuses, with the home's name. Once its lease is over, so does the holder, and places again under the next.
#[rstest]
fn only_the_holder_of_a_range_places_its_keys() {
    let (fleet, servers) = (Fleet::new("holder"), [TestServer::new(), TestServer::new()]);
    let nodes = [0, 1].map(|k| fleet.start(k, config(&[servers[k].address])));
    nodes[0].logs("a guarded key is placed by the node that holds its range");
    for (k, home) in ["west/n0", "east/n1"].iter().enumerate() {
        assert!(nodes[k].logs(PROVED).contains(&format!("home {home} is held")));
    }
    let mut keys = fleet.keys(0);
    let mut key = || keys.next().unwrap();
    let first = key();
    refused(&nodes[1], &first, (421, "home west/n0"));
    let mut client = ask(&nodes[0], &first);
    let mut backend = servers[0].accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
    refused(&nodes[0], &first, (409, "served before"));
    refused(&nodes[1], &first, (409, "served before"));
    // What runs when the lease ends is not broken off, and has its one answer.
    let running = key();
    let mut client = ask(&nodes[0], &running);
    let id = backend.id();
    fleet.silent.store(true, Ordering::Relaxed);
    nodes[0].logs("home west/n0 is not held any more");
    refused(&nodes[0], &key(), (503, "no lease of west/n0"));
    refused(&nodes[0], &running, (502, "may have run"));
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
    refused(&nodes[0], &running, (409, "served before"));
    assert!(servers[1].has_no_connection());
    fleet.silent.store(false, Ordering::Relaxed);
    nodes[0].logs(PROVED);
    served(&nodes[0], &mut backend, &key());
}

/// A node that is lost: its heir places nothing of it before its lease is over, and nothing afterwards that it may have placed. On its return it
/// is home again.
#[rstest]
fn keys_of_a_lost_node_may_have_run_at_its_heir() {
    let (fleet, servers) = (Fleet::new("lost"), [TestServer::new(), TestServer::new()]);
    let [west, east] = [0, 1].map(|k| fleet.start(k, config(&[servers[k].address])));
    west.logs(PROVED);
    let mut keys = fleet.keys(0);
    let mut key = || keys.next().unwrap();
    let (known, unknown) = (key(), key());
    let mut client = ask(&west, &known);
    let mut backend = servers[0].accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
    refused(&east, &known, (409, "served before"));
    drop(west);
    let lines = east.logs_until("home west/n0 is held");
    assert!(lines.iter().any(|l| l.contains("site west Lost")), "{lines:?}");
    refused(&east, &known, (409, "served before"));
    refused(&east, &unknown, (502, "may have run"));
    assert!(servers[1].has_no_connection());
    let west = fleet.start(0, config(&[servers[0].address]));
    // While both ask for it the unit goes round between them; whoever has it places by it.
    east.logs("this node asks for home:east/n1");
    refused(&east, &unknown, (421, "home west/n0"));
    west.logs(PROVED);
    let mut client = ask(&west, &unknown);
    let mut backend = servers[0].accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
    assert!(servers[1].has_no_connection());
}

/// A site that an operator declares lost, and that lives, hands its range over; its heir is told all that was placed, and places what was not.
#[rstest]
fn a_site_declared_lost_hands_its_keys_over() {
    let (fleet, servers) = (Fleet::new("declared"), [TestServer::new(), TestServer::new()]);
    let nodes = [0, 1].map(|k| fleet.start(k, config(&[servers[k].address])));
    nodes.iter().for_each(|n| drop(n.logs(PROVED)));
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
    nodes[0].logs("home west/n0 is not held any more");
    let begin = Instant::now();
    while !nodes[1].logs(PROVED).contains("west/n0") {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    refused(&nodes[0], &key(), (421, "home east/n1"));
    refused(&nodes[1], &known, (409, "served before"));
    let mut client = ask(&nodes[1], &key());
    let mut backend = servers[1].accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
}

/// A process that stands still across the end of its lease, while a guarded job waits for its connection, sends nothing of it afterwards.
#[rstest]
fn nothing_is_sent_once_a_lease_has_ended_in_standstill() {
    let fleet = Fleet::new("still");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let more = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let full: Vec<TcpStream> = std::iter::from_fn(more).collect();
    let own: Vec<SocketAddr> = full.iter().map(|s| s.local_addr().unwrap()).collect();
    let mut settings = config(&[address]);
    settings["settings"]["allowed"]["connect_timeout_ms"] = 4_000.0.into();
    let _other = fleet.start(1, config(&[refusing_address()]));
    let node = fleet.start(0, settings);
    node.logs(PROVED);
    let mut client = ask(&node, &fleet.keys(0).next().unwrap());
    let begin = Instant::now();
    let written = || {
        let mut operator = node.operator();
        operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        operator.message().body.contains("placements own=1 ")
    };
    while !written() {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    // Its connection is on the way: the system knows of it, and nobody takes it.
    let to = format!(":{:04X} 02 ", address.port());
    while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&to) {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    node.signal(Signal::STOP);
    fleet.silent.store(true, Ordering::Relaxed);
    // The system makes the connection meanwhile.
    listener.set_nonblocking(true).unwrap();
    let mut backend = loop {
        assert!(begin.elapsed() < 2 * TEST_TIMEOUT, "no connection came up");
        let Ok((stream, from)) = listener.accept() else { continue };
        stream.set_nonblocking(false).unwrap();
        if !own.contains(&from) {
            break Connection::new(stream);
        }
    };
    assert!(backend.is_silent_for(Duration::from_millis(1_500)), "longer than a lease");
    node.signal(Signal::CONT);
    assert!(backend.is_closed(), "a job was sent after the lease");
    assert_eq!(client.message().status(), 503);
    for mut again in listener.incoming().map_while(Result::ok).map(Connection::new) {
        assert!(again.is_closed());
    }
}

/// Homes and budgets have to name the same nodes, before they are put into service.
#[rstest]
#[case::good("west/n0", true, "would serve")]
#[case::strange("west/n7", false, "no budget for home:west/n0")]
fn check_tells_where_homes_and_budgets_differ(
    #[case] home: &str,
    #[case] good: bool,
    #[case] notified: &str,
) {
    let fleet = Fleet::new(&format!("check-{good}"));
    let text = std::fs::read_to_string(&fleet.budgets).unwrap().replace("west/n0", home);
    std::fs::write(&fleet.budgets, text).unwrap();
    let (sites, budgets) = (fleet.files.node_folder(0).join("sites.sexp"), fleet.budgets.to_str().unwrap());
    let messages = [PROGRAM, "check", "--sites", sites.to_str().unwrap(), "--budgets", budgets];
    let out = command(&messages, &config(&[]).to_string()).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success() == good && text.contains(notified), "{text}");
}

/// A third node joins by a new file of sites, which the nodes are handed one after the other under load: its keys are placed nowhere until
/// all go by it, all others go on, and none runs twice, whoever is asked for it.
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
    nodes.iter().for_each(|n| drop(n.logs(PROVED)));
    let third = fleet.files.third_site();
    // Clients ask every node for every key, at once.
    let over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicUsize::new(0));
    let load = |node: &Node, behind: usize| {
        let (over, next, address) = (over.clone(), next.clone(), node.address);
        std::thread::spawn(move || {
            let mut count = 0;
            while !over.load(Ordering::Relaxed) {
                let key = next.fetch_add(1, Ordering::Relaxed).saturating_sub(behind);
                let Ok(stream) = TcpStream::connect(address) else { continue };
                let mut client = Connection::new(stream);
                let tenant = format!("Idempotency-Key: load{key}\r\nTenant:");
                let id = format!("load{key}-{address}-{count}");
                client.send(&job(&id, "/actuator-cmd", "5000m", "").replace("Tenant:", &tenant));
                if !client.ends_without_data() {
                    client.message();
                }
                count += 1;
                // Not all that the machine can do.
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
    let mut moved = fleet.keys(2);
    let key = moved.next().unwrap();
    refused(&nodes[2], &key, (503, "home becomes north/n2"));
    refused(&nodes[0], &key, (421, "home north/n2"));
    let stays = fleet.keys(0).next().unwrap();
    // It is home by both files.
    placed(&nodes[0], &stays);
    assert!(ran.lock().unwrap().iter().all(|(server, _)| *server != 2));
    fleet.files.write_sites(1, 2, &third);
    nodes[1].reload();
    placed(&nodes[2], &key);
    for key in moved.take(5) {
        refused(&nodes[1], &key, (421, "home north/n2"));
        placed(&nodes[2], &key);
        refused(&nodes[0], &key, (409, "served before"));
    }
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    let mut times: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (server, id) in ran.lock().unwrap().iter() {
        times.entry(id.split('-').next().unwrap().to_string()).or_default().push(*server);
    }
    let twice: Vec<_> = times.iter().filter(|(_, servers)| servers.len() > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
    assert!((0..3).all(|k| times.values().any(|servers| servers == &[k])), "{times:?}");
}
