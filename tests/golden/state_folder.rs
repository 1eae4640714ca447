//! State folders that an earlier version left: the program opens each and finds in it what was there.
//!
//! The folders are those of two nodes of two sites, with accounts, credit, leases of key ranges, placements, kept answers, recovery
//! and audit in use. They are recorded by the first test below.

use crate::files::{masked, matches, path, records};
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
/// What differs from one run to the next: times, and what is counted by time.
const TIMES: &[&str] = &["for_ms=", "heard_ms=", "ms=", "age_ms=", "until_ms="];

/// A divider of the homes of keys that runs until it is dropped.
struct KeyOwnership {
    file: PathBuf,
    over: Arc<AtomicBool>,
}

impl KeyOwnership {
    fn new(files: &SiteFiles) -> KeyOwnership {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let own = socket.local_addr().unwrap();
        let mut text = format!("(budgets (version 1) (term 1 s) (divider d0 \"{own}\")");
        for (k, home) in ["west/n0", "east/n1"].iter().enumerate() {
            text += &format!(" (node n{k} \"{}\")", unused_address());
            text += &format!(" (budget home:{home} (per moment) (whole 1) (longest 500 ms))");
        }
        text += ")";
        let file = files.node_folder(0).join("budgets.sexp");
        std::fs::write(&file, &text).unwrap();
        let plan = shorepath_quota::config::read("b", &text).unwrap();
        let over = Arc::new(AtomicBool::new(false));
        let flags = (Arc::new(AtomicBool::new(false)), over.clone());
        std::thread::spawn(move || run_quota_server(&socket, Allocator::new("d0", plan, 7), &flags));
        KeyOwnership { file, over }
    }
}

impl Drop for KeyOwnership {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn operators(node: &Node, path: &str) -> String {
    let mut operator = node.operator();
    operator.send(&format!("GET {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"));
    operator.message().body
}

fn until(node: &Node, path: &str, text: &str) {
    let begin = Instant::now();
    loop {
        let notified = operators(node, path);
        if notified.contains(text) {
            return;
        }
        assert!(begin.elapsed() < 2 * TEST_TIMEOUT, "no {text} in:\n{notified}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Ask for a guarded job under a key.
fn guarded(node: &Node, id: &str, key: &str) -> Connection {
    let mut client = node.client();
    let text = job(id, "/actuator-cmd", "5000m", "");
    client.send(&text.replace("Tenant:", &format!("Idempotency-Key: {key}\r\nTenant:")));
    client
}

/// Serve what comes to a backend server: keys that begin with `lost` are begun and never finished.
fn serves(mut peer: Connection) {
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

fn start(files: &SiteFiles, ownership: &KeyOwnership, version: u32) -> [Node; 2] {
    let server = TestServer::new();
    let address = server.address;
    server.handle_connections(serves);
    let node = |k: usize| {
        files.write_sites(k, version, CLAUSES);
        files.start_with(k, config(&[address]), &["--budgets", ownership.file.to_str().unwrap()])
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

/// Four keys whose home is the first node: two that are served, and two of which nobody knows whether they ran.
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

/// What a folder holds, by the names under which it is kept.
fn kept(folder: &Path) -> String {
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

/// Have two nodes do all that is kept on disks, and pack their folders.
fn record() {
    let mut files = SiteFiles::new("golden-recording");
    files.timeouts = "(confirm 1 s) (alone 1 s) (hold 1 s)";
    let ownership = KeyOwnership::new(&files);
    files.write_accounts(
        0,
        3,
        "(account bravo (standing closing) (reason \"unpaid\")) (account cato (standing warned))",
    );
    let mut nodes = start(&files, &ownership, 1);
    until(&nodes[0], "/ops/recovery", "step \"guarded\"");
    assert_eq!(nodes[0].call("POST", "/ops/recovery/release"), 200);
    nodes.iter().for_each(|node| until(node, "/ops/recovery", "step \"serving\""));
    for key in keys(&files) {
        let begin = Instant::now();
        while guarded(&nodes[0], &format!("id-{key}"), &key).message().status() == 503 {
            assert!(begin.elapsed() < TEST_TIMEOUT, "{key}");
        }
    }
    assert_eq!(nodes[0].send_job("free", "/zone-plan").message().status(), 200);
    // Alone: what is begun now is begun on credit.
    let [first, second] = &mut nodes;
    until(second, "/ops/sites", "account bravo Closing");
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

/// Both folders are opened under a newer file of sites. What operators are told and what clients of known keys get is what it was.
#[rstest]
fn a_node_finds_what_an_earlier_version_kept() {
    if records() {
        record();
    }
    let mut files = SiteFiles::new("golden-state");
    files.timeouts = "(confirm 1 s) (alone 1 s) (hold 1 s)";
    let ownership = KeyOwnership::new(&files);
    let mut found = String::new();
    for k in 0..2 {
        unpack(&path(&format!("node-{k}.redb.gz")), &files.node_folder(k).join("state/kept.redb"));
        found += &format!("# n{k} kept\n{}", kept(&files.node_folder(k).join("state")));
    }
    // The authority's newest file is on the disk, not in the folder of files.
    let nodes = start(&files, &ownership, 9);
    nodes.iter().for_each(|node| until(node, "/ops/recovery", "step \"serving\""));
    for (k, node) in nodes.iter().enumerate() {
        for (path, lines) in [
            ("/ops/sites", ["account ", "credit ", "own ", "standing "].as_slice()),
            ("/ops/recovery", ["disk ", "peer "].as_slice()),
            ("/ops/audit", ["record "].as_slice()),
        ] {
            found += &format!("# n{k} {path}\n");
            let notified = masked(&operators(node, path), TIMES);
            let kept = notified.lines().filter(|line| lines.iter().any(|begin| line.starts_with(begin)));
            kept.for_each(|line| found += &format!("{line}\n"));
        }
    }
    // What was served has the answer that it had, and what may have run still may have.
    for key in keys(&files) {
        let answer = guarded(&nodes[0], &format!("again-{key}"), &key).message();
        found +=
            &format!("{key} {} {:?} {}\n", answer.status(), answer.field("Refused-Because"), answer.body);
    }
    // The audit's record goes on by what was written meanwhile.
    let found =
        masked(&found, &["last=", "on_disk=", "digest=", "bytes=", "vector=", "content=", "unrecorded="]);
    matches("state-folder.txt", &(found + "\n"));
}
