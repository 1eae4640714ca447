//! Golden files of the quota server: its calls, and a state folder with a log, a vote and a snapshot of an earlier version.
//!
//! After an intended change of a format, record them with
//! `GOLDEN_RECORD=1 cargo test -p shorepath-quota-server --test golden`.

#[path = "../../rig/src/addresses.rs"]
mod addresses;

use addresses::allocate_address;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use openraft::storage::{RaftLogStorage, RaftStateMachine};
use openraft::{RaftLogReader, RaftSnapshotBuilder};
use serde_json::{json, Value};
use shorepath_quota::allocator::Allocator;
use shorepath_quota::config::{read, Plan};
use shorepath_quota::messages::{BudgetClaim, BudgetGrant, Message, Status};
use shorepath_quota::{ClockSkew, NodeId, NodeIncarnation};
use shorepath_quota_server::clock::Clock;
use shorepath_quota_server::raft_storage::{StateMachine, Store};
use shorepath_quota_server::rpc::{Call, Caller, Reply};
use std::fs::File;
use std::io;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_shorepath-divider");
/// The timeout of each wait.
const TIMEOUT: Duration = Duration::from_secs(30);

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn is_recording() -> bool {
    std::env::var_os("GOLDEN_RECORD").is_some()
}

/// Asserts that the text equals the golden file, which is written first while recording.
fn assert_matches_golden(name: &str, found: &str) {
    if is_recording() {
        std::fs::write(golden_path(name), found).unwrap();
    }
    let text = std::fs::read_to_string(golden_path(name)).unwrap();
    for (golden, found) in text.lines().zip(found.lines()) {
        assert_eq!(found, golden, "{name}");
    }
    assert_eq!(found.lines().count(), text.lines().count(), "{name}");
}

fn calls() -> Vec<Value> {
    let vote = json!({"leader_id": {"term": 3, "node_id": 77}, "committed": true});
    let log_id = json!({"leader_id": {"term": 3, "node_id": 77}, "index": 9});
    let membership =
        json!({"log_id": log_id, "membership": {"configs": [[77]], "nodes": {"77": {"addr": "d0"}}}});
    let meta = json!({"last_log_id": log_id, "last_membership": membership, "snapshot_id": "9"});
    vec![
        json!("Hello"),
        json!({"Join": {"name": "d1", "disk": null}}),
        json!({"Join": {"name": "d1", "disk": 2}}),
        json!("Status"),
        json!({"Vote": {"to": 77, "rpc": {"vote": vote, "last_log_id": log_id}}}),
        json!({"Append": {"to": 77, "rpc": {"vote": vote, "prev_log_id": log_id, "entries": [], "leader_commit": null}}}),
        json!({"Snapshot": {"to": 77, "rpc": {"vote": vote, "meta": meta, "offset": 0, "data": [1, 2], "done": true}}}),
    ]
}

fn replies() -> Vec<Value> {
    let vote = json!({"leader_id": {"term": 3, "node_id": 77}, "committed": false});
    let mut all: Vec<Value> = ["Fresh", "Ready", "Founded"]
        .iter()
        .map(|readiness| json!({"Hello": {"stand": readiness, "leader": "d0"}}))
        .collect();
    all.extend([
        json!({"Joins": 2}),
        json!({"No": "this divider does not lead"}),
        json!({"Append": {"Ok": "Success"}}),
        json!({"Vote": {"Ok": {"vote": vote, "vote_granted": true, "last_log_id": null}}}),
        json!({"Snapshot": {"Ok": {"vote": vote}}}),
        json!({"Status": serde_json::to_value(Status { allocator: "d0".into(), ..Status::default() }).unwrap()}),
    ]);
    all
}

/// Guards against changes of the encoding of calls and replies.
#[test]
fn calls_and_replies_match_the_golden_file() {
    let mut found = String::new();
    for call in calls() {
        let read: Call = serde_json::from_value(call.clone()).unwrap_or_else(|e| panic!("{e}: {call}"));
        assert_eq!(serde_json::to_value(&read).unwrap(), call);
        found += &format!("call {}\n", serde_json::to_string(&read).unwrap());
    }
    for reply in replies() {
        let read: Reply = serde_json::from_value(reply.clone()).unwrap_or_else(|e| panic!("{e}: {reply}"));
        assert_eq!(serde_json::to_value(&read).unwrap(), reply);
        found += &format!("reply {}\n", serde_json::to_string(&read).unwrap());
    }
    assert_matches_golden("calls.txt", &found);
}

/// A quota server process and the socket of a simulated node.
struct Fleet {
    folder: tempfile::TempDir,
    plan: Plan,
    child: Option<Child>,
    socket: UdpSocket,
}

impl Fleet {
    fn new(version: u64) -> Fleet {
        let folder = tempfile::tempdir().unwrap();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        let own = socket.local_addr().unwrap();
        let text = format!(
            "(budgets (version {version}) (term 1 s) (divider d0 \"{}\") (node n0 \"{own}\")
               (budget quota:a (whole 100) (reserve 5)))",
            allocate_address().unwrap()
        );
        std::fs::write(folder.path().join("b.sexp"), &text).unwrap();
        Fleet { plan: read("b.sexp", &text).unwrap(), folder, child: None, socket }
    }

    fn state(&self) -> PathBuf {
        self.folder.path().join("d0")
    }

    fn start(&mut self) {
        let log = File::create(self.folder.path().join("log")).unwrap();
        let mut command = Command::new(PROGRAM);
        command.arg("--budgets").arg(self.folder.path().join("b.sexp")).arg("--state").arg(self.state());
        self.child = Some(command.args(["--name", "d0"]).stderr(log).spawn().unwrap());
    }

    fn stop(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends requests until a grant arrives.
    fn request_grant(&self, plan: u64, incarnation: u64) -> BudgetGrant {
        let (started, holder) = (Instant::now(), NodeIncarnation { node: NodeId::of("n0"), incarnation });
        for request_number in 1.. {
            assert!(started.elapsed() < TIMEOUT, "no grant");
            let claim = BudgetClaim {
                budget: "quota:a".into(),
                request_number,
                demand: 30,
                used: 0,
                in_force: (0, 0),
            };
            let ask = Message::Ask { holder, plan, claims: vec![claim] };
            let _ = self.socket.send_to(&ask.bytes(), self.plan.allocators[0].address);
            let mut buffer = [0; 2_000];
            while let Ok((n, _)) = self.socket.recv_from(&mut buffer) {
                let Ok(Message::Grants { grants, .. }) = Message::read(&buffer[..n]) else { continue };
                if let Some(grant) = grants.into_iter().find(|g| g.amount > 0) {
                    return grant;
                }
            }
        }
        unreachable!()
    }

    fn status(&self) -> Option<Status> {
        let caller = Caller::default();
        caller.set_addresses(&self.plan);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let call = caller.call(NodeId::of("d0"), &Call::Status, Duration::from_secs(1));
        match runtime.block_on(call) {
            Ok(Reply::Status(status)) => Some(*status),
            _ => None,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = (child.kill(), child.wait());
        }
    }
}

/// Writes a snapshot to the state folder of a stopped server and removes the first half of its log.
fn take_snapshot(folder: &Path) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut store = Store::open(folder).unwrap();
        let clock = Clock::new(ClockSkew::default());
        let text = "(budgets (version 1) (divider d0 \"127.0.0.1:1\") (node n0 \"127.0.0.1:2\") (budget probes (whole 9)))";
        let allocator = Arc::new(Mutex::new(Allocator::new("d0", read("b", text).unwrap(), 1)));
        let mut machine = StateMachine::new(store.clone(), clock, allocator).unwrap();
        let entries = store.try_get_log_entries(..).await.unwrap();
        let middle = entries[entries.len() / 2].log_id;
        machine.apply(entries).await.unwrap();
        machine.get_snapshot_builder().await.build_snapshot().await.unwrap();
        store.purge(middle).await.unwrap();
    });
}

fn compress(from: &Path, to: &Path) {
    let mut encoder = GzEncoder::new(File::create(to).unwrap(), Compression::best());
    io::copy(&mut File::open(from).unwrap(), &mut encoder).unwrap();
    encoder.finish().unwrap();
}

fn decompress(from: &Path, to: &Path) {
    std::fs::create_dir_all(to.parent().unwrap()).unwrap();
    io::copy(&mut GzDecoder::new(File::open(from).unwrap()), &mut File::create(to).unwrap()).unwrap();
}

/// Records the state folder of a server that has granted to two incarnations of a node.
fn record_state_folder() {
    let mut fleet = Fleet::new(1);
    fleet.start();
    fleet.request_grant(1, 1);
    fleet.request_grant(1, 2);
    fleet.stop();
    take_snapshot(&fleet.state());
    compress(&fleet.state().join("divider.redb"), &golden_path("divider.redb.gz"));
}

/// Returns the stored values and log entries of a state folder as text.
fn describe_state_folder(folder: &Path) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut store = Store::open(folder).unwrap();
    let mut text = String::new();
    for name in ["format", "disk", "vote", "purged", "snapshot"] {
        let value: Option<Value> = store.read_value(name).unwrap();
        text += &format!("{name} {}\n", value.unwrap_or_default());
    }
    for entry in runtime.block_on(store.try_get_log_entries(..)).unwrap() {
        text += &format!("entry {}\n", serde_json::to_string(&entry).unwrap());
    }
    text
}

/// Guards against a new epoch or reused grant numbers after an upgrade.
#[test]
fn an_allocator_continues_from_the_state_folder_of_an_earlier_version() {
    if is_recording() {
        record_state_folder();
    }
    let mut fleet = Fleet::new(2);
    decompress(&golden_path("divider.redb.gz"), &fleet.state().join("divider.redb"));
    let text = describe_state_folder(&fleet.state());
    assert_matches_golden("state-folder.txt", &text);
    let snapshot = text.lines().find_map(|line| line.strip_prefix("snapshot ")).unwrap();
    let snapshot: Value = serde_json::from_str(snapshot).unwrap();
    let number = snapshot["kept"]["ledgers"]["quota:a"][0].as_u64().unwrap();
    fleet.start();
    let grant = fleet.request_grant(2, 3);
    assert_eq!(u64::from(grant.epoch), snapshot["kept"]["epoch"].as_u64().unwrap());
    assert!(grant.number > number && number > 0, "{} after {number}", grant.number);
    let started = Instant::now();
    while fleet.status().is_none_or(|status| status.plan != 2) {
        assert!(started.elapsed() < TIMEOUT, "{:?}", fleet.status());
    }
}
