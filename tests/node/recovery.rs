//! Nodes that lose power together and come back: several processes of the program, killed, with disks of their own.

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
const CLAUSE: &str = "(recover (outlive 1 s) (peers 1 s) (catch-up 1 s))";

/// A backend server that serves all it is sent at once, and counts by key what it ran.
pub struct Stand {
    pub address: SocketAddr,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Stand {
    pub fn new() -> Stand {
        let (party, runs) = (TestServer::new(), Arc::new(Mutex::new(BTreeMap::new())));
        let stand = Stand { address: party.address, runs: runs.clone() };
        party.handle_connections(move |mut peer| {
            while peer.receives_data() {
                let request = peer.message();
                let key = request.field("Idempotency-Key").unwrap_or("none").to_string();
                *runs.lock().unwrap().entry(key.clone()).or_default() += 1;
                peer.serve(request.field("Request-Id").unwrap(), &format!("did {key}"));
            }
        });
        stand
    }

    pub fn runs(&self, key: &str) -> u32 {
        self.runs.lock().unwrap().get(key).copied().unwrap_or(0)
    }

    /// All keys that ran more than once.
    pub fn twice(&self) -> Vec<(String, u32)> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(key, n)| **n > 1 && *key != "none").map(|(k, n)| (k.clone(), *n)).collect()
    }
}

/// Nodes of one site, each with a folder of its own.
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

    pub fn start(&self, node: usize, servers: &[SocketAddr], more: &[&str]) -> Node {
        self.start_as(node, servers, more, |_| {})
    }

    fn command(
        &self,
        node: usize,
        servers: &[SocketAddr],
        more: &[&str],
        change: impl Fn(&mut serde_json::Value),
    ) -> (Vec<String>, serde_json::Value) {
        let mut config = config(servers);
        config["name"] = format!("n{node}").into();
        config["mgmt"] = "127.0.0.1:0".into();
        config["settings"]["projects"][0]["quota_rps"] = 2000.0.into();
        change(&mut config);
        let (file, state) = (self.folder.join("sites.sexp"), self.state(node));
        let messages =
            [PROGRAM, "serve", "-v", "--sites", file.to_str().unwrap(), "--state", state.to_str().unwrap()];
        (messages.iter().chain(more).map(|w| w.to_string()).collect(), config)
    }

    pub fn start_as(
        &self,
        node: usize,
        servers: &[SocketAddr],
        more: &[&str],
        change: impl Fn(&mut serde_json::Value),
    ) -> Node {
        let (messages, config) = self.command(node, servers, more, change);
        Node::start_command(&messages.iter().map(String::as_str).collect::<Vec<_>>(), &config)
    }

    /// What it says where it does not start.
    fn fails(&self, node: usize, name: &str) -> String {
        let (messages, config) = self.command(node, &[], &[], |c| c["name"] = name.into());
        let messages: Vec<&str> = messages.iter().map(String::as_str).collect();
        let out = command(&messages, &config.to_string()).output().unwrap();
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).into_owned()
    }

    /// Start all, in that order; the nodes by their numbers.
    pub fn start_all(&self, order: &[usize], servers: &[SocketAddr]) -> Vec<Node> {
        let mut nodes: Vec<(usize, Node)> =
            order.iter().map(|k| (*k, self.start(*k, servers, &[]))).collect();
        nodes.sort_by_key(|(k, _)| *k);
        nodes.into_iter().map(|(_, node)| node).collect()
    }

    /// A fleet that begins: an operator says at one node that nothing is missing.
    pub fn founded(&self, servers: &[SocketAddr]) -> Vec<Node> {
        let order: Vec<usize> = (0..self.addresses.len()).collect();
        let nodes = self.start_all(&order, servers);
        until(&nodes[0], "step \"guarded\"");
        assert_eq!(nodes[0].call("POST", "/ops/recovery/release"), 200);
        nodes.iter().for_each(|n| until(n, "step \"serving\""));
        nodes
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What an operator is told of a node's way back.
pub fn notified(node: &Node) -> String {
    let mut operator = node.operator();
    operator.send("GET /ops/recovery HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    operator.message().body
}

/// Wait until operators are told that, or that.
pub fn until(node: &Node, text: &str) {
    let begin = Instant::now();
    loop {
        let notified = notified(node);
        if text.split('|').any(|t| notified.contains(t)) {
            return;
        }
        assert!(begin.elapsed() < 2 * TEST_TIMEOUT, "no {text} in:\n{notified}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// How many placements a node knows of, its own and others'.
fn placements(node: &Node) -> u64 {
    let mut operator = node.operator();
    operator.send("GET /ops/sites HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    let notified = operator.message().body;
    let all = notified.split_whitespace().find_map(|message| message.strip_prefix("all="));
    all.unwrap_or_else(|| panic!("{notified}")).parse().unwrap()
}

/// Ask for a guarded job under a key, by a request of its own.
pub fn guarded(node: &Node, key: &str) -> Message {
    static COUNT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let mut client = node.client();
    let text = job(&format!("{key}-{number}"), "/actuator-cmd", "5000m", "");
    client.send(&text.replace("Tenant:", &format!("Idempotency-Key: {key}\r\nTenant:")));
    client.message()
}

/// A fleet that begins can't be told from one that lost all disks: what may be repeated is served, the rest waits for an operator's word, which one
/// node is told for all. Then all are killed at once, and come back in another order without anybody's help.
#[rstest]
fn a_fleet_begins_by_an_operators_word_and_returns_without_one() {
    let (fleet, server) = (Fleet::new("steps", 3, CLAUSE), Stand::new());
    let mut nodes = fleet.start_all(&[0, 1, 2], &[server.address]);
    for node in &nodes {
        until(node, "step \"guarded\"");
        assert_eq!(node.call("GET", "/ops/readiness"), 200);
        assert_eq!(node.send_job("free", "/zone-plan").message().status(), 200);
        let refused = guarded(node, "early");
        assert_eq!(refused.status(), 503);
        assert!(refusal(&refused).1.unwrap().starts_with("recovering: waits for an operator"));
        assert!(refused.field("Retry-After").is_some());
    }
    assert_eq!(nodes[1].call("POST", "/ops/recovery/release"), 200);
    nodes[1].logs("an operator releases step=\"guarded\"");
    nodes[1].logs("why=\"an operator accepted that records may be missing\" by_hand=true");
    nodes.iter().for_each(|n| until(n, "step \"serving\""));
    // What is served needs nobody's word any more.
    assert_eq!(nodes[1].call("POST", "/ops/recovery/release"), 409);
    assert_eq!(guarded(&nodes[0], "early").status(), 200);
    // All are killed before any is back.
    nodes.clear();
    let nodes = fleet.start_all(&[2, 0, 1], &[server.address]);
    for node in &nodes {
        for step in ["catching up", "guarded", "serving"] {
            node.logs(&format!("recovery step=\"{step}\""));
        }
        let notified = notified(node);
        assert!(notified.contains("disk Own") && notified.contains("boots=2 excused=false"), "{notified}");
        assert!(notified.contains("loss \"of all\""), "{notified}");
    }
    // The node that gave the answer gives it again; the others say that it was served, or may have been where they were not told.
    let answer = guarded(&nodes[0], "early");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "did early"));
    let notified = guarded(&nodes[1], "early");
    assert!([(409, Some("served before")), (502, Some("may have run"))].contains(&refusal(&notified)));
    assert_eq!(guarded(&nodes[2], "later").status(), 200);
    assert_eq!((server.runs("early"), server.twice()), (1, Vec::new()));
}

/// One node of several loses its power, and its disk too: others lived on and remember it, so it does not take up guarded work by itself.
#[rstest]
fn a_node_whose_disk_is_gone_waits_for_an_operator_and_says_so() {
    let (fleet, server) = (Fleet::new("gone", 3, CLAUSE), Stand::new());
    let mut nodes = fleet.founded(&[server.address]);
    drop(nodes.remove(0));
    std::fs::remove_dir_all(fleet.state(0)).unwrap();
    let node = fleet.start(0, &[server.address], &[]);
    until(&node, "step \"guarded\"");
    until(&node, "disk Lost");
    let notified = notified(&node);
    assert!(notified.contains("loss \"of this node: others had power\""), "{notified}");
    assert!(
        notified.contains("waits_for \"an operator: what must not run twice may be missing"),
        "{notified}"
    );
    assert_eq!(node.send_job("free", "/zone-plan").message().status(), 200);
    assert_eq!(guarded(&node, "k").status(), 503);
    // Those that lived on serve all the while.
    assert_eq!(guarded(&nodes[0], "k").status(), 200);
    assert_eq!(node.call("POST", "/ops/recovery/release"), 200);
    until(&node, "step \"serving\"");
    assert_eq!(server.runs("k"), 1);
}

/// A disk of some time ago is known by what others remember of its node.
#[rstest]
fn an_older_disk_is_not_believed_whole() {
    let (fleet, server) = (Fleet::new("old", 2, CLAUSE), Stand::new());
    let mut nodes = fleet.founded(&[server.address]);
    drop(nodes.remove(0));
    let (file, copy) = (fleet.state(0).join("kept.redb"), fleet.state(0).join("copy"));
    std::fs::copy(&file, &copy).unwrap();
    let node = fleet.start(0, &[server.address], &[]);
    until(&node, "step \"serving\"");
    assert_eq!(guarded(&node, "k").status(), 200);
    drop(node);
    std::fs::copy(&copy, &file).unwrap();
    let node = fleet.start(0, &[server.address], &[]);
    until(&node, "disk Old");
    assert_eq!(guarded(&node, "new").status(), 503);
    assert!(guarded(&node, "k").status() != 200);
    assert_eq!((server.runs("k"), server.runs("new")), (1, 0));
}

/// What was answered once is answered in the same way: to the same tenant, while it is kept, also by the next process.
#[rstest]
fn a_final_answer_stays_the_one() {
    let clause = "(recover (remember 1 KiB) (answer 100 B) (outlive 1 s) (peers 1 s))";
    let (fleet, server) = (Fleet::new("answers", 2, clause), TestServer::new());
    let mut nodes = fleet.founded(&[server.address]);
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
    let stand = Stand::new();
    let node = fleet.start(0, &[stand.address], &[]);
    // Also before it serves anything else of that class.
    until(&node, "step \"guarded\"");
    let again = |id: &str, key: &str| {
        let answer = ask(&node, id, key).message();
        (answer.status(), answer.body)
    };
    assert_eq!(again("d", "short"), (200, "done".to_string()));
    assert_eq!(again("e", "long").0, 409);
    assert_eq!(again("f", "broken"), (502, "failed\n".to_string()));
    until(&node, "step \"serving\"");
    // It gives way to newer ones: a kibibyte holds a few. One that is denied for the ramp is asked for again.
    for k in 0..20 {
        let begin = Instant::now();
        while guarded(&node, &format!("newer{k}")).status() != 200 {
            assert!(begin.elapsed() < TEST_TIMEOUT, "newer{k} is not served");
        }
    }
    assert_eq!(again("h", "short").0, 409);
    assert_eq!(again("i", "newer19"), (200, "did newer19".to_string()));
}

/// Without a list of servers nothing is sent, and the node says what it waits for; peers that are not there hold up guarded work alone.
#[rstest]
fn a_step_says_what_it_waits_for() {
    let (fleet, server) = (Fleet::new("waits", 2, CLAUSE), Stand::new());
    let node = fleet.start(0, &[], &[]);
    until(&node, "waits_for \"discovery's list\"");
    assert_eq!(node.call("GET", "/ops/readiness"), 503);
    let refused = node.send_job("a", "/zone-plan").message();
    assert_eq!(refusal(&refused), (503, Some("recovering: waits for discovery's list")));
    drop(node);
    let node = fleet.start(0, &[server.address], &[]);
    node.logs("why=\"peers did not reply in time\"");
    until(&node, "peer n1 Silent");
    until(&node, "step \"guarded\"");
    assert_eq!(node.send_job("a", "/zone-plan").message().status(), 200);
    assert_eq!(guarded(&node, "k").status(), 503);
}

/// Discovery that answers one watch, tells that list and then nothing.
fn discovery(revision: u64, members: &[serde_json::Value]) -> SocketAddr {
    let party = TestServer::new();
    let address = party.address;
    let list = serde_json::json!({"revision": revision, "complete": true, "members": members}).to_string();
    party.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let whole = !peer.message().first.contains("watch=1");
            peer.begin();
            peer.line(if whole { &list } else { "" });
            if whole {
                peer.send("0\r\n\r\n");
            }
        }
    });
    address
}

/// Discovery comes back last: the last list is a beginning, with its age. Its own word is what holds, also where that is an empty list.
#[rstest]
fn the_last_list_is_a_beginning_until_discovery_answers() {
    let (fleet, server) = (Fleet::new("list", 2, CLAUSE), Stand::new());
    let start = |node: usize, discovery: SocketAddr| {
        let change = |config: &mut serde_json::Value| {
            config["discovery"] = discovery.to_string().into();
            config["known"] = serde_json::json!({"revision": 0, "complete": true, "members": []});
        };
        fleet.start_as(node, &[], &[], change)
    };
    let notified = discovery(7, &[entry("s-0", server.address, "active")]);
    // One that begins has no revision to ask for changes of.
    let first = [0, 1].map(|k| {
        fleet.start_as(k, &[], &[], |config| {
            config["discovery"] = notified.to_string().into();
            config["known"] = serde_json::json!({"revision": 0, "complete": true, "members": [entry("s-0", server.address, "active")]});
        })
    });
    until(&first[0], "step \"guarded\"");
    assert_eq!(first[0].call("POST", "/ops/recovery/release"), 200);
    first.iter().for_each(|n| until(n, "step \"serving\""));
    // The disk has it once its file tells of it.
    first.iter().for_each(|n| until(n, "list kept"));
    drop(first);
    let nodes = [0, 1].map(|k| start(k, refusing_address()));
    for node in &nodes {
        until(node, "step \"serving\"");
        until(node, "list \"as a beginning\" age_ms=");
        assert_eq!(node.send_job("a", "/zone-plan").message().status(), 200);
    }
    drop(nodes);
    let nodes = [0, 1].map(|k| start(k, discovery(1, &[])));
    for node in &nodes {
        until(node, "waits_for \"servers: discovery's list is empty\"");
        assert_eq!(node.call("GET", "/ops/readiness"), 503);
        assert_eq!(node.send_job("b", "/zone-plan").message().status(), 503);
    }
}

/// What an operator lets go lifts neither the wait for an earlier life nor the epoch.
#[rstest]
fn nobody_can_release_the_wait_for_an_earlier_life() {
    let (fleet, server) = (Fleet::new("outlive", 2, "(recover (outlive 1 h) (peers 1 s))"), Stand::new());
    let nodes = fleet.start_all(&[0, 1], &[server.address]);
    until(&nodes[0], "step \"guarded\"");
    assert_eq!(nodes[0].call("POST", "/ops/recovery/release"), 200);
    until(&nodes[0], "waits_for \"what an earlier life may still act under to be over\"");
    until(&nodes[0], "peer n1 Counts");
    assert_eq!(nodes[0].call("POST", "/ops/recovery/release"), 409);
    assert_eq!(guarded(&nodes[0], "k").status(), 503);
    assert_eq!(server.runs("k"), 0);
}

/// A store that another process has, a copy of another node's disk, and one that may not be written: each ends the start with one line.
#[rstest]
fn a_disk_that_can_not_be_had_ends_the_start() {
    let (fleet, server) = (Fleet::new("store", 2, CLAUSE), Stand::new());
    let mut nodes = fleet.founded(&[server.address]);
    assert!(fleet.fails(0, "n0").contains("another process has it"));
    nodes.clear();
    let notified = fleet.fails(0, "n1");
    assert!(notified.contains("the log belongs to node n0"), "{notified}");
    // Whoever may do anything is not hindered by the mode.
    let file = fleet.state(0).join("kept.redb");
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o400)).unwrap();
    if std::fs::OpenOptions::new().write(true).open(&file).is_err() {
        let notified = fleet.fails(0, "n0");
        assert!(notified.contains("may not be written"), "{notified}");
    }
}

/// A clock that is a year off, and one that went backwards: how long the outage was is not known then, and the list is not believed; what
/// must not run twice does not go by clocks.
#[rstest]
fn a_clock_a_year_off_changes_nothing_of_guarded_work() {
    let (fleet, server) = (Fleet::new("clock", 2, CLAUSE), Stand::new());
    let nodes = fleet.founded(&[server.address]);
    assert_eq!(guarded(&nodes[0], "k").status(), 200);
    drop(nodes);
    for offset in ["31536000", "0"] {
        let more = ["--test-clock-offset", offset];
        let nodes = [0, 1].map(|k| fleet.start(k, &[server.address], &more));
        for node in &nodes {
            until(node, "step \"serving\"");
            assert!(notified(node).contains("outage unknown"), "{}", notified(node));
        }
        assert_eq!(guarded(&nodes[0], "k").body, "did k");
        assert_ne!(guarded(&nodes[1], "k").status(), 200);
    }
    assert_eq!(server.twice(), []);
}

/// A client asks for so many keys at most.
const MOST_KEYS: u32 = 12;

/// Clients that each ask one node for guarded jobs, each key twice, and note what came.
struct Load {
    ends: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<Asked>>,
}

/// Keys with the node that was asked and the answer that came whole, if one did.
type Asked = Vec<(String, usize, Option<(u16, String)>)>;

impl Load {
    fn begin(doors: &[SocketAddr], round: u32) -> Load {
        let ends = Arc::new(AtomicBool::new(false));
        let client = |c: usize| {
            let (ends, node) = (ends.clone(), c % doors.len());
            let admin = doors[node];
            std::thread::spawn(move || {
                let mut all = Asked::new();
                for n in 0..MOST_KEYS {
                    let key = format!("r{round}c{c}n{n}");
                    for time in 0..2 {
                        let answer = ask_once(admin, &key, time);
                        let ended = answer.is_none() || ends.load(Ordering::Relaxed);
                        all.push((key.clone(), node, answer));
                        if ended {
                            return all;
                        }
                    }
                }
                all
            })
        };
        let clients = (0..2 * doors.len()).map(client).collect();
        Load { ends, clients }
    }

    fn end(self) -> Asked {
        self.ends.store(true, Ordering::Relaxed);
        self.clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
    }
}

/// The answer, if one came whole.
fn ask_once(admin: SocketAddr, key: &str, time: u32) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(admin).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    let text = job(&format!("{key}-{time}"), "/actuator-cmd", "5000m", "");
    let text = text.replace("Tenant:", &format!("Connection: close\r\nIdempotency-Key: {key}\r\nTenant:"));
    stream.write_all(text.as_bytes()).ok()?;
    let mut came = String::new();
    stream.read_to_string(&mut came).ok()?;
    let (head, body) = came.split_once("\r\n\r\n")?;
    let length: usize = head.lines().find_map(|l| l.strip_prefix("Content-Length: "))?.parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    (body.len() == length).then(|| (status, body.to_string()))
}

/// What a disk is like when its node comes back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kept {
    Own,
    Lost,
    Old,
}

/// All nodes are killed at once under load, three times, and come back in another order; some without their disk or with an older one. No
/// guarded job runs twice, each answer that came stays the one at its node, and every node serves all or says why not.
#[rstest]
#[case::all_keep_their_disks(1, [Kept::Own; 5])]
#[case::half_of_the_disks_gone(2, [Kept::Lost, Kept::Own, Kept::Lost, Kept::Own, Kept::Own])]
#[case::one_older_disk(3, [Kept::Own, Kept::Own, Kept::Own, Kept::Old, Kept::Own])]
#[case::all_but_one_gone(4, [Kept::Lost, Kept::Lost, Kept::Lost, Kept::Lost, Kept::Own])]
fn a_blackout_under_load_runs_nothing_twice(#[case] seed: u32, #[case] kept: [Kept; 5]) {
    let name = format!("blackout{seed}");
    let (fleet, server) = (Fleet::new(&name, 5, CLAUSE), Stand::new());
    let mut nodes = fleet.founded(&[server.address]);
    for k in 0..5 {
        std::fs::copy(fleet.state(k).join("kept.redb"), fleet.state(k).join("old")).unwrap();
    }
    // An older disk is known by what others have on theirs of what came later: without that it is the last one.
    for (k, _) in kept.iter().enumerate().filter(|(_, kept)| **kept == Kept::Old) {
        let other = &nodes[(k + 1) % 5];
        let (before, begun) = (placements(other), Instant::now());
        assert_eq!(guarded(&nodes[k], "newer").status(), 200);
        while placements(other) == before {
            assert!(begun.elapsed() < TEST_TIMEOUT, "nobody hears of it");
        }
        // With its own next one the other writes down what it has heard.
        assert_eq!(guarded(other, "next").status(), 200);
    }
    let (mut asked, least) = (Asked::new(), server.runs.lock().unwrap().len() + 10);
    for round in 0..3 {
        let load = Load::begin(&nodes.iter().map(|n| n.address).collect::<Vec<_>>(), round);
        // Guards against a load that is none where processes hardly get a processor. Once disks are lost nothing guarded runs.
        let begun = Instant::now();
        while round == 0 && server.runs.lock().unwrap().len() <= least {
            assert!(begun.elapsed() < TEST_TIMEOUT, "the load runs nothing");
            std::thread::sleep(Duration::from_millis(1));
        }
        std::thread::sleep(Duration::from_millis(u64::from(100 + (137 * (seed + round)) % 400)));
        // Power goes for all before the first is back.
        nodes.iter().for_each(|n| n.signal(Signal::KILL));
        nodes.clear();
        asked.extend(load.end());
        let now = if round == 0 { kept } else { [Kept::Own; 5] };
        for (k, kept) in now.iter().enumerate() {
            let (file, old) = (fleet.state(k).join("kept.redb"), fleet.state(k).join("old"));
            match kept {
                Kept::Own => {}
                Kept::Lost => std::fs::remove_dir_all(fleet.state(k)).unwrap(),
                Kept::Old => drop(std::fs::copy(old, file).unwrap()),
            }
        }
        let order: Vec<usize> = (0..5).map(|k| (k * 2 + (seed + round) as usize) % 5).collect();
        nodes = fleet.start_all(&order, &[server.address]);
        nodes.iter().for_each(|n| until(n, "step \"guarded\"|step \"serving\""));
        // Clients ask again while nodes are on their way: at the next node, and at their own, where an answer stays the one.
        for (key, at, answer) in &asked {
            ask_once(nodes[(at + 1) % 5].address, key, 7);
            if answer.as_ref().is_some_and(|a| a.0 == 200) && kept[*at] == Kept::Own {
                assert_eq!(ask_once(nodes[*at].address, key, 8), *answer, "{key} at {at} seed={seed}");
            }
        }
        for (k, node) in nodes.iter().enumerate() {
            // What is lost is told: that disk's node waits for an operator, and the others for it.
            until(
                node,
                match kept[k] {
                    _ if kept == [Kept::Own; 5] => "step \"serving\"",
                    Kept::Own => "waits_for \"its peers: they may know what must not run twice\"",
                    _ => "waits_for \"an operator: what must not run twice may be missing on its disk\"",
                },
            );
        }
        for (key, at, _) in &asked {
            ask_once(nodes[(at + 2) % 5].address, key, 9);
        }
    }
    let ran = server.runs.lock().unwrap().len();
    assert!(ran > least, "{ran} ran, not over {least}: the load was none");
    assert_eq!(server.twice(), [], "seed={seed}");
}
