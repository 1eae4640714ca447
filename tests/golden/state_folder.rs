//! State folders of an earlier version: the program opens them and reads all stored data.
//!
//! The folders belong to two nodes of two sites that used accounts, credit, key leases, placements, stored answers, recovery and audit.
//! In recording mode the test writes them first.

use crate::files::{assert_golden, is_recording, masked, path};
use crate::support::quota_server::run_quota_server;
use crate::support::site_files::SiteFiles;
use crate::support::*;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use rstest::rstest;
use serde_json::Value;
use shorepath_quota::allocator::Allocator;
use shorepath_quota::NodeId;
use shorepath_store::Store;
use std::fs::File;
use std::io;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CLAUSES: &str = "(home actuator-cmd) (credit acme (jobs 8) (reserve 2) (shrink 1 h))
    (audit (one-in 1) (sum 100 ms)) (recover (outlive 1 s) (peers 1 s) (catch-up 1 s))";
/// Fields that differ between runs.
const VARIABLE_FIELDS: &[&str] = &["for_ms=", "heard_ms=", "ms=", "age_ms=", "until_ms="];

/// A quota server that grants the key leases until it is dropped.
struct KeyLeaseServer {
    file: PathBuf,
    stopped: Arc<AtomicBool>,
}

impl KeyLeaseServer {
    fn new(files: &SiteFiles) -> KeyLeaseServer {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let server_address = socket.local_addr().unwrap();
        let mut text = format!("(budgets (version 1) (term 1 s) (divider d0 \"{server_address}\")");
        for (k, owner) in ["west/n0", "east/n1"].iter().enumerate() {
            text += &format!(" (node n{k} \"{}\")", unused_address());
            text += &format!(" (budget home:{owner} (per moment) (whole 1) (longest 500 ms))");
        }
        text += ")";
        let file = files.node_folder(0).join("budgets.sexp");
        std::fs::write(&file, &text).unwrap();
        let plan = shorepath_quota::config::read("b", &text).unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let flags = (Arc::new(AtomicBool::new(false)), stopped.clone());
        std::thread::spawn(move || run_quota_server(&socket, Allocator::new("d0", plan, 7), &flags));
        KeyLeaseServer { file, stopped }
    }
}

impl Drop for KeyLeaseServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn operator_page(node: &Node, path: &str) -> String {
    let mut operator = node.operator();
    operator.send(&format!("GET {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"));
    operator.message().body
}

fn wait_for_page(node: &Node, path: &str, text: &str) {
    let begin = Instant::now();
    loop {
        let page = operator_page(node, path);
        if page.contains(text) {
            return;
        }
        assert!(begin.elapsed() < 2 * TEST_TIMEOUT, "no {text} in:\n{page}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a guarded job with the key.
fn send_guarded(node: &Node, id: &str, key: &str) -> Connection {
    let mut client = node.client();
    let text = job(id, "/actuator-cmd", "5000m", "");
    client.send(&text.replace("Tenant:", &format!("Idempotency-Key: {key}\r\nTenant:")));
    client
}

/// Serves the requests of a connection; jobs whose key begins with `lost` are started and never finished.
fn serve_or_lose(mut peer: Connection) {
    while peer.receives_data() {
        let request = peer.message();
        let key = request.field("Idempotency-Key").unwrap_or("none").to_string();
        if key.starts_with("lost") {
            peer.begin();
            return;
        }
        peer.serve(request.field("Request-Id").unwrap(), &format!("did {key}"));
    }
}

fn start(files: &SiteFiles, key_lease_server: &KeyLeaseServer, version: u32) -> [Node; 2] {
    let server = TestServer::new();
    let address = server.address;
    server.handle_connections(serve_or_lose);
    let node = |k: usize| {
        files.write_sites(k, version, CLAUSES);
        files.start_with(k, config(&[address]), &["--budgets", key_lease_server.file.to_str().unwrap()])
    };
    [node(0), node(1)]
}

fn pack(from: &Path, to: &Path) {
    let mut packed = GzEncoder::new(File::create(to).unwrap(), Compression::best());
    io::copy(&mut File::open(from).unwrap(), &mut packed).unwrap();
    packed.finish().unwrap();
}

fn unpack(from: &Path, to: &Path) {
    std::fs::create_dir_all(to.parent().unwrap()).unwrap();
    io::copy(&mut GzDecoder::new(File::open(from).unwrap()), &mut File::create(to).unwrap()).unwrap();
}

/// Returns four keys that the first node owns: two that are served and two whose outcome is unknown.
fn keys(files: &SiteFiles) -> Vec<String> {
    let text = std::fs::read_to_string(files.node_folder(0).join("sites.sexp")).unwrap();
    let plan = shorepath_sites::config::read("t", &text).unwrap();
    let ownership = shorepath_sites::key_ownership::KeyOwnership::new(
        0,
        &plan,
        &shorepath_sites::key_ownership::PersistedOwnership::default(),
    );
    let of = |name: &'static str| {
        let all = (0..).map(move |k| format!("{name}{k}"));
        all.filter(|key| ownership.home(key) == "west/n0").take(2).collect::<Vec<_>>()
    };
    [of("key"), of("lost")].concat()
}

/// Returns the facts that a folder holds, one per line with its name.
fn stored_facts(folder: &Path) -> String {
    let store = Store::open(folder, 1 << 20).unwrap();
    let peers = ["n0", "n1"].map(|name| format!("recovery/peer/{}", NodeId::of(name).0));
    let names = [
        "accounts/book",
        "accounts/purse/acme",
        "sites/homes",
        "sites/used",
        "audit/record",
        "recovery/identity",
        "recovery/written",
        "recovery/list",
        "recovery/list at",
        "placements",
        "placements copies",
    ];
    let mut text = String::new();
    for name in names.into_iter().chain(peers.iter().map(String::as_str)) {
        let value: Option<Value> = store.fact(name).unwrap();
        text += &format!("{name} {}\n", value.unwrap_or_default());
    }
    text
}

/// Runs two nodes so that they store each kind of data, and packs their folders.
fn record() {
    let mut files = SiteFiles::new("golden-recording");
    files.timeouts = "(confirm 1 s) (alone 1 s) (hold 1 s)";
    let key_lease_server = KeyLeaseServer::new(&files);
    files.write_accounts(
        0,
        3,
        "(account bravo (standing closing) (reason \"unpaid\")) (account cato (standing warned))",
    );
    let mut nodes = start(&files, &key_lease_server, 1);
    wait_for_page(&nodes[0], "/ops/recovery", "step \"guarded\"");
    assert_eq!(nodes[0].call("POST", "/ops/recovery/release"), 200);
    nodes.iter().for_each(|node| wait_for_page(node, "/ops/recovery", "step \"serving\""));
    for key in keys(&files) {
        let begin = Instant::now();
        while send_guarded(&nodes[0], &format!("id-{key}"), &key).message().status() == 503 {
            assert!(begin.elapsed() < TEST_TIMEOUT, "{key}");
        }
    }
    assert_eq!(nodes[0].send_job("free", "/zone-plan").message().status(), 200);
    // The first node is isolated now and starts jobs on credit.
    let [first, second] = &mut nodes;
    wait_for_page(second, "/ops/sites", "account bravo Closing");
    std::thread::sleep(Duration::from_secs(3));
    second.terminate();
    assert!(second.exit().success());
    first.logs("standing can't be confirmed");
    let credited = first.send_job("credited", "/zone-plan").message();
    assert_eq!(credited.status(), 200);
    std::thread::sleep(Duration::from_secs(3));
    first.terminate();
    assert!(first.exit().success());
    for k in 0..2 {
        pack(&files.node_folder(k).join("state/kept.redb"), &path(&format!("node-{k}.redb.gz")));
    }
}

/// Nodes open the folders of an earlier version: their pages and the answers for known keys are the recorded ones.
#[rstest]
fn state_folders_of_an_earlier_version_are_read() {
    if is_recording() {
        record();
    }
    let mut files = SiteFiles::new("golden-state");
    files.timeouts = "(confirm 1 s) (alone 1 s) (hold 1 s)";
    let key_lease_server = KeyLeaseServer::new(&files);
    let mut found = String::new();
    for k in 0..2 {
        unpack(&path(&format!("node-{k}.redb.gz")), &files.node_folder(k).join("state/kept.redb"));
        found += &format!("# n{k} kept\n{}", stored_facts(&files.node_folder(k).join("state")));
    }
    // The newest accounts file comes from the stored state, not from the folder.
    let nodes = start(&files, &key_lease_server, 9);
    nodes.iter().for_each(|node| wait_for_page(node, "/ops/recovery", "step \"serving\""));
    for (k, node) in nodes.iter().enumerate() {
        for (path, prefixes) in [
            ("/ops/sites", ["account ", "credit ", "own ", "standing "].as_slice()),
            ("/ops/recovery", ["disk ", "peer "].as_slice()),
            ("/ops/audit", ["record "].as_slice()),
        ] {
            found += &format!("# n{k} {path}\n");
            let page = masked(&operator_page(node, path), VARIABLE_FIELDS);
            let lines_to_compare =
                page.lines().filter(|line| prefixes.iter().any(|prefix| line.starts_with(prefix)));
            lines_to_compare.for_each(|line| found += &format!("{line}\n"));
        }
    }
    // Served keys have their stored answers, and keys with an unknown outcome are still rejected.
    for key in keys(&files) {
        let answer = send_guarded(&nodes[0], &format!("again-{key}"), &key).message();
        found +=
            &format!("{key} {} {:?} {}\n", answer.status(), answer.field("Refused-Because"), answer.body);
    }
    // The audit log has grown since it was recorded, so its positions are masked.
    let found =
        masked(&found, &["last=", "on_disk=", "digest=", "bytes=", "vector=", "content=", "unrecorded="]);
    assert_golden("state-folder.txt", &(found + "\n"));
}
