//! Recovery after a power loss of several nodes: real processes that are killed and restarted, with a state folder each.

use crate::sites::refusal;
use crate::support::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const KEY: &str = "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677";
const RECOVERY_CLAUSE: &str = "(recover (outlive 1 s) (peers 1 s) (catch-up 1 s))";

/// A backend server that serves every request at once and counts the runs of each idempotency key.
pub struct CountingBackend {
    pub address: SocketAddr,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl CountingBackend {
    pub fn new() -> CountingBackend {
        let (party, runs) = (TestServer::new(), Arc::new(Mutex::new(BTreeMap::new())));
        let backend = CountingBackend { address: party.address, runs: runs.clone() };
        party.handle_connections(move |mut peer| {
            while peer.receives_data() {
                let request = peer.message();
                let key = request.field("Idempotency-Key").unwrap_or("none").to_string();
                *runs.lock().unwrap().entry(key.clone()).or_default() += 1;
                peer.serve(request.field("Request-Id").unwrap(), &format!("did {key}"));
            }
        });
        backend
    }

    pub fn runs(&self, key: &str) -> u32 {
        self.runs.lock().unwrap().get(key).copied().unwrap_or(0)
    }

    /// Returns the keys that ran more than once, with their counts.
    pub fn repeated(&self) -> Vec<(String, u32)> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(key, n)| **n > 1 && *key != "none").map(|(k, n)| (k.clone(), *n)).collect()
    }
}

/// Nodes of one site, each with its own state folder.
pub struct Fleet {
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
}

impl Fleet {
    pub fn new(name: &str, nodes: usize, clause: &str) -> Fleet {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("recovery-{}-{name}", std::process::id()));
        let addresses: Vec<SocketAddr> = (0..nodes).map(|_| unused_address()).collect();
        let listed: String =
            addresses.iter().enumerate().map(|(k, a)| format!("(node n{k} \"{a}\")")).collect();
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("fleet.key"), KEY).unwrap();
        std::fs::set_permissions(folder.join("fleet.key"), std::fs::Permissions::from_mode(0o600)).unwrap();
        let text = format!(
            "(sites (version 1) (fleet \"odense\") (key \"fleet.key\") (alone 1 s) (hold 1 s)\n\
             (site west {listed} (bears 2000))\n{clause})"
        );
        std::fs::write(folder.join("sites.sexp"), text).unwrap();
        Fleet { folder, addresses }
    }

    pub fn state(&self, node: usize) -> PathBuf {
        self.folder.join(format!("state{node}"))
    }

    pub fn start(&self, node: usize, servers: &[SocketAddr], options: &[&str]) -> Node {
        self.start_with_change(node, servers, options, |_| {})
    }

    fn command(
        &self,
        node: usize,
        servers: &[SocketAddr],
        options: &[&str],
        change: impl Fn(&mut serde_json::Value),
    ) -> (Vec<String>, serde_json::Value) {
        let mut config = config(servers);
        config["name"] = format!("n{node}").into();
        config["mgmt"] = "127.0.0.1:0".into();
        config["settings"]["projects"][0]["quota_rps"] = 2000.0.into();
        change(&mut config);
        let (file, state) = (self.folder.join("sites.sexp"), self.state(node));
        let arguments =
            [PROGRAM, "serve", "-v", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
        (arguments.iter().chain(options).map(|argument| argument.to_string()).collect(), config)
    }

    /// Starts a node with the configuration that `change` has edited.
    pub fn start_with_change(
        &self,
        node: usize,
        servers: &[SocketAddr],
        options: &[&str],
        change: impl Fn(&mut serde_json::Value),
    ) -> Node {
        let (arguments, config) = self.command(node, servers, options, change);
        Node::start_command(&arguments.iter().map(String::as_str).collect::<Vec<_>>(), &config)
    }

    /// Starts a node that must fail, and returns its stderr.
    fn start_error(&self, node: usize, name: &str) -> String {
        let (arguments, config) = self.command(node, &[], &[], |c| c["name"] = name.into());
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let out = command(&arguments, &config.to_string()).output().unwrap();
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).into_owned()
    }

    /// Starts the nodes in that order and returns them sorted by number.
    pub fn start_all(&self, order: &[usize], servers: &[SocketAddr]) -> Vec<Node> {
        let mut nodes: Vec<(usize, Node)> =
            order.iter().map(|k| (*k, self.start(*k, servers, &[]))).collect();
        nodes.sort_by_key(|(k, _)| *k);
        nodes.into_iter().map(|(_, node)| node).collect()
    }

    /// Starts a new fleet, whose guarded work an operator has to release at one node.
    pub fn start_new(&self, servers: &[SocketAddr]) -> Vec<Node> {
        let order: Vec<usize> = (0..self.addresses.len()).collect();
        let nodes = self.start_all(&order, servers);
        wait_for_recovery_page(&nodes[0], "step \"guarded\"");
        assert_eq!(nodes[0].call("POST", "/ops/recovery/release"), 200);
        nodes.iter().for_each(|n| wait_for_recovery_page(n, "step \"serving\""));
        nodes
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the page `/ops/recovery`.
pub fn recovery_page(node: &Node) -> String {
    let mut operator = node.operator();
    operator.send("GET /ops/recovery HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    operator.message().body
}

/// Waits until `/ops/recovery` contains one of the texts, which are separated by `|`.
pub fn wait_for_recovery_page(node: &Node, text: &str) {
    let begin = Instant::now();
    loop {
        let page = recovery_page(node);
        if text.split('|').any(|t| page.contains(t)) {
            return;
        }
        assert!(begin.elapsed() < 2 * TEST_TIMEOUT, "no {text} in:\n{page}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns how many placements a node knows, its own and those of other nodes.
fn placement_count(node: &Node) -> u64 {
    let mut operator = node.operator();
    operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    let page = operator.message().body;
    let count = page.split_whitespace().find_map(|field| field.strip_prefix("all="));
    count.unwrap_or_else(|| panic!("{page}")).parse().unwrap()
}

/// Sends a guarded job with the key under a new request id and returns the response.
pub fn send_guarded(node: &Node, key: &str) -> Message {
    static COUNT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let mut client = node.client();
    let text = job(&format!("{key}-{number}"), "/actuator-cmd", "5000m", "");
    client.send(&text.replace("Tenant:", &format!("Idempotency-Key: {key}\r\nTenant:")));
    client.message()
}

/// A new fleet, which looks like one that lost all its disks, serves guarded work after an operator's release at one node. After a kill
/// of all nodes it recovers without an operator.
#[rstest]
fn new_fleet_needs_an_operator_and_a_restarted_one_does_not() {
    let (fleet, server) = (Fleet::new("steps", 3, RECOVERY_CLAUSE), CountingBackend::new());
    let mut nodes = fleet.start_all(&[0, 1, 2], &[server.address]);
    for node in &nodes {
        wait_for_recovery_page(node, "step \"guarded\"");
        assert_eq!(node.call("GET", "/ops/readiness"), 200);
        assert_eq!(node.send_job("free", "/zone-plan").message().status(), 200);
        let refused = send_guarded(node, "early");
        assert_eq!(refused.status(), 503);
        assert!(refusal(&refused).1.unwrap().starts_with("recovering: waits for an operator"));
        assert!(refused.field("Retry-After").is_some());
    }
    assert_eq!(nodes[1].call("POST", "/ops/recovery/release"), 200);
    nodes[1].logs("an operator releases step=\"guarded\"");
    nodes[1].logs("why=\"an operator accepted that records may be missing\" by_hand=true");
    nodes.iter().for_each(|n| wait_for_recovery_page(n, "step \"serving\""));
    // There is nothing left to release.
    assert_eq!(nodes[1].call("POST", "/ops/recovery/release"), 409);
    assert_eq!(send_guarded(&nodes[0], "early").status(), 200);
    // Kills all nodes before the first restart.
    nodes.clear();
    let nodes = fleet.start_all(&[2, 0, 1], &[server.address]);
    for node in &nodes {
        for step in ["catching up", "guarded", "serving"] {
            node.logs(&format!("recovery step=\"{step}\""));
        }
        let page = recovery_page(node);
        assert!(page.contains("disk Own") && page.contains("boots=2 excused=false"), "{page}");
        assert!(page.contains("loss \"of all\""), "{page}");
    }
    // The node that served the job repeats its answer; the others know that it was served or may have run.
    let answer = send_guarded(&nodes[0], "early");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "did early"));
    let elsewhere = send_guarded(&nodes[1], "early");
    assert!([(409, Some("served before")), (502, Some("may have run"))].contains(&refusal(&elsewhere)));
    assert_eq!(send_guarded(&nodes[2], "later").status(), 200);
    assert_eq!((server.runs("early"), server.repeated()), (1, Vec::new()));
}

/// A node that restarts without its disk while its peers run must not take guarded work before an operator releases it.
#[rstest]
fn node_with_a_lost_disk_waits_for_an_operator() {
    let (fleet, server) = (Fleet::new("gone", 3, RECOVERY_CLAUSE), CountingBackend::new());
    let mut nodes = fleet.start_new(&[server.address]);
    drop(nodes.remove(0));
    std::fs::remove_dir_all(fleet.state(0)).unwrap();
    let node = fleet.start(0, &[server.address], &[]);
    wait_for_recovery_page(&node, "step \"guarded\"");
    wait_for_recovery_page(&node, "disk Lost");
    let page = recovery_page(&node);
    assert!(page.contains("loss \"of this node: others had power\""), "{page}");
    assert!(page.contains("waits_for \"an operator: what must not run twice may be missing"), "{page}");
    assert_eq!(node.send_job("free", "/zone-plan").message().status(), 200);
    assert_eq!(send_guarded(&node, "k").status(), 503);
    // The running peers keep serving.
    assert_eq!(send_guarded(&nodes[0], "k").status(), 200);
    assert_eq!(node.call("POST", "/ops/recovery/release"), 200);
    wait_for_recovery_page(&node, "step \"serving\"");
    assert_eq!(server.runs("k"), 1);
}

/// Peers recognize a node that restarts with an older copy of its disk; it does not place guarded keys.
#[rstest]
fn node_with_an_older_disk_rejects_guarded_work() {
    let (fleet, server) = (Fleet::new("old", 2, RECOVERY_CLAUSE), CountingBackend::new());
    let mut nodes = fleet.start_new(&[server.address]);
    drop(nodes.remove(0));
    let (file, copy) = (fleet.state(0).join("kept.redb"), fleet.state(0).join("copy"));
    std::fs::copy(&file, &copy).unwrap();
    let node = fleet.start(0, &[server.address], &[]);
    wait_for_recovery_page(&node, "step \"serving\"");
    assert_eq!(send_guarded(&node, "k").status(), 200);
    drop(node);
    std::fs::copy(&copy, &file).unwrap();
    let node = fleet.start(0, &[server.address], &[]);
    wait_for_recovery_page(&node, "disk Old");
    assert_eq!(send_guarded(&node, "new").status(), 503);
    assert!(send_guarded(&node, "k").status() != 200);
    assert_eq!((server.runs("k"), server.runs("new")), (1, 0));
}

/// A stored final answer is repeated for its key, also after a restart, until newer answers displace it.
#[rstest]
fn final_answer_is_repeated_across_a_restart() {
    let clause = "(recover (remember 1 KiB) (answer 100 B) (outlive 1 s) (peers 1 s))";
    let (fleet, server) = (Fleet::new("answers", 2, clause), TestServer::new());
    let mut nodes = fleet.start_new(&[server.address]);
    let ask = |node: &Node, id: &str, key: &str| {
        let mut client = node.client();
        let text = job(id, "/actuator-cmd", "5000m", "");
        client.send(&text.replace("Tenant:", &format!("Idempotency-Key: {key}\r\nTenant:")));
        client
    };
    for (id, key, body) in [("a", "short", "done".to_string()), ("b", "long", "x".repeat(101))] {
        let mut client = ask(&nodes[0], id, key);
        let mut backend = server.accept();
        backend.message();
        backend.serve(id, &body);
        assert_eq!(client.message().body, body);
    }
    let mut client = ask(&nodes[0], "c", "broken");
    let mut backend = server.accept();
    backend.message();
    backend.begin();
    backend.state("c", "failed");
    assert_eq!(client.message().status(), 502);
    drop(nodes.remove(0));
    let backend = CountingBackend::new();
    let node = fleet.start(0, &[backend.address], &[]);
    // Stored answers are available before guarded work is.
    wait_for_recovery_page(&node, "step \"guarded\"");
    let again = |id: &str, key: &str| {
        let answer = ask(&node, id, key).message();
        (answer.status(), answer.body)
    };
    assert_eq!(again("d", "short"), (200, "done".to_string()));
    assert_eq!(again("e", "long").0, 409);
    assert_eq!(again("f", "broken"), (502, "failed\n".to_string()));
    wait_for_recovery_page(&node, "step \"serving\"");
    // Newer answers displace it from the store of 1 KiB. Jobs that the recovery ramp rejects are retried.
    for k in 0..20 {
        let begin = Instant::now();
        while send_guarded(&node, &format!("newer{k}")).status() != 200 {
            assert!(begin.elapsed() < TEST_TIMEOUT, "newer{k} is not served");
        }
    }
    assert_eq!(again("h", "short").0, 409);
    assert_eq!(again("i", "newer19"), (200, "did newer19".to_string()));
}

/// A recovering node without an endpoint list rejects all jobs and names what it waits for; missing peers delay guarded work only.
#[rstest]
fn recovery_step_names_what_it_waits_for() {
    let (fleet, server) = (Fleet::new("waits", 2, RECOVERY_CLAUSE), CountingBackend::new());
    let node = fleet.start(0, &[], &[]);
    wait_for_recovery_page(&node, "waits_for \"discovery's list\"");
    assert_eq!(node.call("GET", "/ops/readiness"), 503);
    let refused = node.send_job("a", "/zone-plan").message();
    assert_eq!(refusal(&refused), (503, Some("recovering: waits for discovery's list")));
    drop(node);
    let node = fleet.start(0, &[server.address], &[]);
    node.logs("why=\"peers did not reply in time\"");
    wait_for_recovery_page(&node, "peer n1 Silent");
    wait_for_recovery_page(&node, "step \"guarded\"");
    assert_eq!(node.send_job("a", "/zone-plan").message().status(), 200);
    assert_eq!(send_guarded(&node, "k").status(), 503);
}

/// Starts a discovery service that returns one list and then no changes.
fn start_discovery(revision: u64, members: &[serde_json::Value]) -> SocketAddr {
    let party = TestServer::new();
    let address = party.address;
    let list = serde_json::json!({"revision": revision, "complete": true, "members": members}).to_string();
    party.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let wants_list = !peer.message().first.contains("watch=1");
            peer.begin();
            peer.line(if wants_list { &list } else { "" });
            if wants_list {
                peer.send("0\r\n\r\n");
            }
        }
    });
    address
}

/// A restarted node uses its stored endpoint list until discovery answers; discovery's list replaces it, even an empty one.
#[rstest]
fn stored_endpoint_list_is_used_until_discovery_answers() {
    let (fleet, server) = (Fleet::new("list", 2, RECOVERY_CLAUSE), CountingBackend::new());
    let start = |node: usize, discovery: SocketAddr| {
        let change = |config: &mut serde_json::Value| {
            config["discovery"] = discovery.to_string().into();
            config["known"] = serde_json::json!({"revision": 0, "complete": true, "members": []});
        };
        fleet.start_with_change(node, &[], &[], change)
    };
    let discovery_address = start_discovery(7, &[entry("s-0", server.address, "active")]);
    // A new node has no revision from which to watch for changes.
    let first = [0, 1].map(|k| {
        fleet.start_with_change(k, &[], &[], |config| {
            config["discovery"] = discovery_address.to_string().into();
            config["known"] = serde_json::json!({"revision": 0, "complete": true, "members": [entry("s-0", server.address, "active")]});
        })
    });
    wait_for_recovery_page(&first[0], "step \"guarded\"");
    assert_eq!(first[0].call("POST", "/ops/recovery/release"), 200);
    first.iter().for_each(|n| wait_for_recovery_page(n, "step \"serving\""));
    // The page reports the list once it is on the disk.
    first.iter().for_each(|n| wait_for_recovery_page(n, "list kept"));
    drop(first);
    let nodes = [0, 1].map(|k| start(k, refusing_address()));
    for node in &nodes {
        wait_for_recovery_page(node, "step \"serving\"");
        wait_for_recovery_page(node, "list \"as a beginning\" age_ms=");
        assert_eq!(node.send_job("a", "/zone-plan").message().status(), 200);
    }
    drop(nodes);
    let nodes = [0, 1].map(|k| start(k, start_discovery(1, &[])));
    for node in &nodes {
        wait_for_recovery_page(node, "waits_for \"servers: discovery's list is empty\"");
        assert_eq!(node.call("GET", "/ops/readiness"), 503);
        assert_eq!(node.send_job("b", "/zone-plan").message().status(), 503);
    }
}

/// An operator's release does not skip the wait for what an earlier incarnation may still do.
#[rstest]
fn release_does_not_skip_the_wait_for_an_earlier_incarnation() {
    let (fleet, server) =
        (Fleet::new("outlive", 2, "(recover (outlive 1 h) (peers 1 s))"), CountingBackend::new());
    let nodes = fleet.start_all(&[0, 1], &[server.address]);
    wait_for_recovery_page(&nodes[0], "step \"guarded\"");
    assert_eq!(nodes[0].call("POST", "/ops/recovery/release"), 200);
    wait_for_recovery_page(&nodes[0], "waits_for \"what an earlier life may still act under to be over\"");
    wait_for_recovery_page(&nodes[0], "peer n1 Counts");
    assert_eq!(nodes[0].call("POST", "/ops/recovery/release"), 409);
    assert_eq!(send_guarded(&nodes[0], "k").status(), 503);
    assert_eq!(server.runs("k"), 0);
}

/// A store in use by another process, one that belongs to another node and a read-only one fail the start.
#[rstest]
fn unusable_store_fails_the_start() {
    let (fleet, server) = (Fleet::new("store", 2, RECOVERY_CLAUSE), CountingBackend::new());
    let mut nodes = fleet.start_new(&[server.address]);
    assert!(fleet.start_error(0, "n0").contains("another process has the store open"));
    nodes.clear();
    let error = fleet.start_error(0, "n1");
    assert!(error.contains("the log belongs to node n0"), "{error}");
    // The mode does not restrict a privileged user.
    let file = fleet.state(0).join("kept.redb");
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o400)).unwrap();
    if std::fs::OpenOptions::new().write(true).open(&file).is_err() {
        let error = fleet.start_error(0, "n0");
        assert!(error.contains("may not write to the store"), "{error}");
    }
}

/// After a clock jump of a year, forwards or backwards, the length of the outage is unknown and no guarded key runs twice.
#[rstest]
fn clock_jump_does_not_affect_guarded_work() {
    let (fleet, server) = (Fleet::new("clock", 2, RECOVERY_CLAUSE), CountingBackend::new());
    let nodes = fleet.start_new(&[server.address]);
    assert_eq!(send_guarded(&nodes[0], "k").status(), 200);
    drop(nodes);
    for offset in ["31536000", "0"] {
        let options = ["--test-clock-offset", offset];
        let nodes = [0, 1].map(|k| fleet.start(k, &[server.address], &options));
        for node in &nodes {
            wait_for_recovery_page(node, "step \"serving\"");
            assert!(recovery_page(node).contains("outage unknown"), "{}", recovery_page(node));
        }
        assert_eq!(send_guarded(&nodes[0], "k").body, "did k");
        assert_ne!(send_guarded(&nodes[1], "k").status(), 200);
    }
    assert_eq!(server.repeated(), []);
}

/// Limit of the keys that one client sends.
const MAX_KEYS_PER_CLIENT: u32 = 12;

/// Clients that each send guarded jobs to one node, each key twice, and record the responses.
struct Load {
    stop_requested: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<SentKeys>>,
}

/// Keys with the number of the node they were sent to and the complete response, if there was one.
type SentKeys = Vec<(String, usize, Option<(u16, String)>)>;

impl Load {
    fn begin(addresses: &[SocketAddr], round: u32) -> Load {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let client = |c: usize| {
            let (stop_requested, node) = (stop_requested.clone(), c % addresses.len());
            let address = addresses[node];
            std::thread::spawn(move || {
                let mut sent = SentKeys::new();
                for n in 0..MAX_KEYS_PER_CLIENT {
                    let key = format!("r{round}c{c}n{n}");
                    for attempt in 0..2 {
                        let answer = send_once(address, &key, attempt);
                        let ended = answer.is_none() || stop_requested.load(Ordering::Relaxed);
                        sent.push((key.clone(), node, answer));
                        if ended {
                            return sent;
                        }
                    }
                }
                sent
            })
        };
        let clients = (0..2 * addresses.len()).map(client).collect();
        Load { stop_requested, clients }
    }

    fn end(self) -> SentKeys {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
    }
}

/// Sends a guarded job and returns the status and body of a complete response.
fn send_once(address: SocketAddr, key: &str, attempt: u32) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    let text = job(&format!("{key}-{attempt}"), "/actuator-cmd", "5000m", "");
    let text = text.replace("Tenant:", &format!("Connection: close\r\nIdempotency-Key: {key}\r\nTenant:"));
    stream.write_all(text.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    let length: usize = head.lines().find_map(|l| l.strip_prefix("Content-Length: "))?.parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    (body.len() == length).then(|| (status, body.to_string()))
}

/// The state of a node's disk at its restart.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disk {
    Own,
    Lost,
    Old,
}

/// All nodes are killed under load three times and restart in another order, some with a lost or older disk: no guarded job runs twice,
/// answers are repeated unchanged, and each node serves or reports what it waits for.
#[rstest]
#[case::all_disks_intact(1, [Disk::Own; 5])]
#[case::two_disks_lost(2, [Disk::Lost, Disk::Own, Disk::Lost, Disk::Own, Disk::Own])]
#[case::one_disk_older(3, [Disk::Own, Disk::Own, Disk::Own, Disk::Old, Disk::Own])]
#[case::four_disks_lost(4, [Disk::Lost, Disk::Lost, Disk::Lost, Disk::Lost, Disk::Own])]
fn power_loss_under_load_runs_no_key_twice(#[case] seed: u32, #[case] disks: [Disk; 5]) {
    let name = format!("blackout{seed}");
    let (fleet, server) = (Fleet::new(&name, 5, RECOVERY_CLAUSE), CountingBackend::new());
    let mut nodes = fleet.start_new(&[server.address]);
    for k in 0..5 {
        std::fs::copy(fleet.state(k).join("kept.redb"), fleet.state(k).join("old")).unwrap();
    }
    // A peer must have stored a later placement of the node; otherwise the copy counts as its newest disk.
    for (k, _) in disks.iter().enumerate().filter(|(_, disk)| **disk == Disk::Old) {
        let other = &nodes[(k + 1) % 5];
        let (before, begin) = (placement_count(other), Instant::now());
        assert_eq!(send_guarded(&nodes[k], "newer").status(), 200);
        while placement_count(other) == before {
            assert!(begin.elapsed() < TEST_TIMEOUT, "the placement does not reach the other node");
        }
        // The other node writes what it received together with its own next placement.
        assert_eq!(send_guarded(other, "next").status(), 200);
    }
    let (mut sent, expected_runs) = (SentKeys::new(), server.runs.lock().unwrap().len() + 10);
    for round in 0..3 {
        let load = Load::begin(&nodes.iter().map(|n| n.address).collect::<Vec<_>>(), round);
        // Guards against rounds without load on a busy machine. Nothing guarded runs after disks were lost.
        let begin = Instant::now();
        while round == 0 && server.runs.lock().unwrap().len() <= expected_runs {
            assert!(begin.elapsed() < TEST_TIMEOUT, "no job of the load has run");
            std::thread::sleep(Duration::from_millis(1));
        }
        std::thread::sleep(Duration::from_millis(u64::from(100 + (137 * (seed + round)) % 400)));
        // Kills all nodes before the first restart.
        nodes.iter().for_each(|n| n.signal(Signal::KILL));
        nodes.clear();
        sent.extend(load.end());
        let round_disks = if round == 0 { disks } else { [Disk::Own; 5] };
        for (k, disk) in round_disks.iter().enumerate() {
            let (file, old) = (fleet.state(k).join("kept.redb"), fleet.state(k).join("old"));
            match disk {
                Disk::Own => {}
                Disk::Lost => std::fs::remove_dir_all(fleet.state(k)).unwrap(),
                Disk::Old => drop(std::fs::copy(old, file).unwrap()),
            }
        }
        let order: Vec<usize> = (0..5).map(|k| (k * 2 + (seed + round) as usize) % 5).collect();
        nodes = fleet.start_all(&order, &[server.address]);
        nodes.iter().for_each(|n| wait_for_recovery_page(n, "step \"guarded\"|step \"serving\""));
        // Clients retry while nodes recover: at another node, and at the first one, which must repeat its answer.
        for (key, node_number, answer) in &sent {
            send_once(nodes[(node_number + 1) % 5].address, key, 7);
            if answer.as_ref().is_some_and(|a| a.0 == 200) && disks[*node_number] == Disk::Own {
                assert_eq!(
                    send_once(nodes[*node_number].address, key, 8),
                    *answer,
                    "{key} at {node_number} seed={seed}"
                );
            }
        }
        for (k, node) in nodes.iter().enumerate() {
            // A node with a lost or older disk waits for an operator, and its peers wait for it.
            wait_for_recovery_page(
                node,
                match disks[k] {
                    _ if disks == [Disk::Own; 5] => "step \"serving\"",
                    Disk::Own => "waits_for \"its peers: they may know what must not run twice\"",
                    _ => "waits_for \"an operator: what must not run twice may be missing on its disk\"",
                },
            );
        }
        for (key, node_number, _) in &sent {
            send_once(nodes[(node_number + 2) % 5].address, key, 9);
        }
    }
    let ran = server.runs.lock().unwrap().len();
    assert!(ran > expected_runs, "{ran} keys ran, {expected_runs} or fewer: the load was missing");
    assert_eq!(server.repeated(), [], "seed={seed}");
}
