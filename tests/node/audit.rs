//! What a node writes down of its versions and decisions: the real program, killed, and its disk read.

use crate::sites::{refusal, SiteFiles, KEY};
use crate::support::*;
use rstest::rstest;
use serde_json::Value;
use shorepath_audit::audit_log::{decode, ChangeSource, Entry};
use shorepath_audit::decision_counters::request_tag;
use shorepath_audit::version::{Item, VersionVector};
use shorepath_message_auth::keyring::Keys;
use shorepath_store::{Op, Store};
use std::collections::BTreeMap;

/// All of a node's record as it lies on its disk, by number; and its journal's name.
fn record(files: &SiteFiles, node: usize) -> (String, Vec<(u64, Vec<u8>)>) {
    let store = Store::open(&files.node_folder(node).join("state"), 1 << 20).unwrap();
    let kept: Value = store.fact("audit/record").unwrap().expect("a record");
    let name = format!("audit {:016x}", kept["life"].as_u64().unwrap());
    let all = store.journal(&name, 0, 1 << 24).unwrap();
    (name, all)
}

fn entries(files: &SiteFiles, node: usize) -> Vec<Entry> {
    let (_, all) = record(files, node);
    all.iter().map(|(n, kept)| decode(*n, &kept[32..]).unwrap().entry).collect()
}

fn at_the_door(node: &Node) -> String {
    let mut operator = node.operator();
    operator.send("GET /ops/audit HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    operator.message().body
}

/// Wait until the door says so.
fn until(node: &Node, holds: impl Fn(&str) -> bool) -> String {
    let since = std::time::Instant::now();
    loop {
        let text = at_the_door(node);
        if holds(&text) {
            return text;
        }
        assert!(since.elapsed().as_secs() < 20, "{text}");
        std::thread::yield_now();
    }
}

/// All that there is to be written down is on the disk, so many entries at least.
fn is_on_disk(text: &str, least: u64) -> bool {
    let of = |name: &str| text.split(' ').find_map(|w| w.strip_prefix(name)?.parse::<u64>().ok());
    of("last=") == of("on_disk=") && of("on_disk=").is_some_and(|n| n >= least)
}

const AUDIT: &str = "(audit (one-in 1) (sum 100 ms))";

/// A node serves a job, is handed another file of sites and another list, serves a job, refuses one, and is killed. What steered it and each decision stand on its
/// disk, the decisions under the vector that was in force. Started anew, its record goes on.
#[rstest]
fn what_steered_a_node_and_what_it_decided_under_that_is_on_its_disk_after_a_kill() {
    let (files, server) = (SiteFiles::new("audit"), TestServer::new());
    files.write_sites(0, 1, AUDIT);
    let mut node = files.start(0, &server);
    let mut client = node.send_job("r1", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    backend.serve("r1", "1");
    client.message();
    files.write_sites(0, 2, AUDIT);
    node.reload();
    until(&node, |text| text.lines().any(|l| l.starts_with("sites 2/")));
    let mut client = node.send_job("r2", "/zone-plan");
    backend.message();
    backend.serve("r2", "2");
    client.message();
    files.write_accounts(0, 7, "(account acme (standing closed))");
    node.reload();
    node.logs("account acme Closed number=7");
    assert_eq!(refusal(&node.send_job("r3", "/zone-plan").message()), (403, Some("account closed")));
    // What was counted is written down before the next change is.
    files.write_sites(0, 3, AUDIT);
    node.reload();
    until(&node, |text| text.contains("\nsites 3/") && is_on_disk(text, 1));
    node.signal(Signal::KILL);
    node.exit();

    let key = Keys::read(KEY).unwrap().mac(b"audit");
    let key: [u8; 16] = key[..16].try_into().unwrap();
    let (mut vectors, mut vector, mut decided) = (BTreeMap::new(), VersionVector::default(), Vec::new());
    let (mut number, mut summed) = (0, 0);
    for entry in entries(&files, 0) {
        match entry {
            Entry::ProcessStarted { vector: began } => vector = began,
            Entry::VersionChanged { change: taken, source: why } => {
                assert_eq!(taken.from.map(|v| v.content), vector.get(taken.item).map(|v| v.content));
                assert!(taken.item != Item::Sites || why == ChangeSource::Operator);
                vector.set(taken.item, taken.to.content, Some(taken.to.number));
            }
            Entry::SampledDecision { vector, decision } => {
                let name =
                    ["r1", "r2", "r3"].into_iter().find(|id| request_tag(&key, id) == decision.request);
                decided.push((name.unwrap(), vector, decision.server, decision.reason));
                continue;
            }
            Entry::DecisionCounts { vector, counts } => {
                assert!(vector == number, "a sum of {vector} after {number}");
                summed += counts.values().sum::<u64>();
                continue;
            }
            other => panic!("{other:?}"),
        }
        number += 1;
        vectors.insert(number, vector.clone());
    }
    for item in [Item::Program, Item::Settings, Item::Sites, Item::Accounts, Item::List] {
        assert!(vector.get(item).is_some(), "{item:?}");
    }
    let of = |id: &str| decided.iter().filter(|d| d.0 == id).collect::<Vec<_>>();
    let (file, accounts) = (
        |n: u64| vectors[&n].get(Item::Sites).unwrap().number,
        |n: u64| vectors[&n].get(Item::Accounts).unwrap().number,
    );
    for (id, version) in [("r1", 1), ("r2", 2)] {
        let [sent, served] = of(id)[..] else { panic!("{decided:?}") };
        assert_eq!((sent.3.as_str(), served.3.as_str()), ("dispatched", "served"));
        assert!(sent.2.is_some());
        assert_eq!((file(sent.1), file(served.1), accounts(sent.1)), (version, version, 1));
    }
    let [refused] = of("r3")[..] else { panic!("{decided:?}") };
    assert_eq!((refused.3.as_str(), accounts(refused.1)), ("barred", 7));
    assert_eq!(summed, 5, "two dispatches and three answers");

    let (name, before) = record(&files, 0);
    let node = files.start(0, &server);
    let text = until(&node, |text| is_on_disk(text, before.len() as u64 + 1));
    assert!(text.starts_with(&name.replace("audit", "record")) && text.contains("\nsites 3/"), "{text}");
    assert!(!text.contains("broken"), "{text}");
}

/// An entry of the record is changed on the disk, with a checksum that fits. The node names it as it starts, and begins another record.
#[rstest]
fn an_entry_that_was_changed_on_the_disk_is_named_at_the_next_start() {
    let (files, server) = (SiteFiles::new("tampered"), TestServer::new());
    files.write_sites(0, 1, AUDIT);
    let mut node = files.start(0, &server);
    until(&node, |text| is_on_disk(text, 2));
    node.signal(Signal::KILL);
    node.exit();
    let (name, all) = record(&files, 0);
    let (number, mut kept) = all[all.len() / 2].clone();
    let end = kept.len() - 1;
    kept[end] ^= 1;
    {
        let store = Store::open(&files.node_folder(0).join("state"), 1 << 20).unwrap();
        store.commit(&[Op::Append(name.clone(), number, kept)]).unwrap();
    }
    let node = files.start(0, &server);
    let text = at_the_door(&node);
    let notified = format!("broken {} entry {number} was changed", name.trim_start_matches("audit "));
    assert!(text.contains(&notified) && !text.starts_with(&name.replace("audit", "record")), "{text}");
}

/// Both nodes say at their doors where the other stands. One is killed and comes back with a copy of its disk that is older than what it
/// has told: it learns that from the other, and begins another record; the other has named it.
#[rstest]
fn nodes_know_where_others_stand_and_that_a_record_went_back() {
    let (files, servers) = (SiteFiles::new("audits"), [TestServer::new(), TestServer::new()]);
    (0..2).for_each(|k| files.write_sites(k, 1, AUDIT));
    let mut nodes = [0, 1].map(|k| files.start(k, &servers[k]));
    let of = |text: &str, node: &str, version: &str| {
        text.lines()
            .any(|l| l.starts_with(&format!("node {node} ")) && l.contains(&format!(" sites={version}/")))
    };
    until(&nodes[1], |text| of(text, "n0", "1"));
    until(&nodes[0], |text| of(text, "n1", "1"));
    nodes[0].signal(Signal::KILL);
    nodes[0].exit();
    let (state, copy) = (files.node_folder(0).join("state"), files.node_folder(0).join("copy"));
    std::fs::create_dir(&copy).unwrap();
    for file in std::fs::read_dir(&state).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), copy.join(file.file_name())).unwrap();
    }
    nodes[0] = files.start(0, &servers[0]);
    (0..2).for_each(|k| files.write_sites(k, 2, AUDIT));
    nodes.iter().for_each(|n| n.reload());
    let notified = until(&nodes[0], |text| of(text, "n0", "2") && is_on_disk(text, 1));
    let last = notified
        .lines()
        .find(|l| l.starts_with("node n0 "))
        .unwrap()
        .split(' ')
        .find(|w| w.starts_with("last="));
    let last = last.unwrap().to_string();
    until(&nodes[1], |text| of(text, "n0", "2") && text.contains(&last));
    nodes[0].signal(Signal::KILL);
    nodes[0].exit();
    std::fs::remove_dir_all(&state).unwrap();
    std::fs::rename(&copy, &state).unwrap();
    nodes[0] = files.start(0, &servers[0]);
    let text = until(&nodes[0], |text| text.contains("\nbroken "));
    assert!(text.contains("older disk") || text.contains("another one than others were told"), "{text}");
    nodes[1].logs("has started a new log");
}

/// Without the clause in its file a node has no record and no such door.
#[rstest]
fn without_the_clause_nothing_is_written_down() {
    let (files, server) = (SiteFiles::new("unaudited"), TestServer::new());
    let mut node = files.start(0, &server);
    assert_eq!(node.call("GET", "/ops/audit"), 404);
    node.signal(Signal::KILL);
    node.exit();
    let store = Store::open(&files.node_folder(0).join("state"), 1 << 20).unwrap();
    assert_eq!(store.fact::<Value>("audit/record").unwrap(), None);
}
