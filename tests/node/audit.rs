//! The audit log of a node: configuration versions and decisions on its disk after a kill.

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

/// Returns the name of the journal on a node's disk that holds its audit log, and its numbered entries.
fn stored_log(files: &SiteFiles, node: usize) -> (String, Vec<(u64, Vec<u8>)>) {
    let store = Store::open(&files.node_folder(node).join("state"), 1 << 20).unwrap();
    let position: Value = store.fact("audit/record").unwrap().expect("an audit log");
    let journal_name = format!("audit {:016x}", position["life"].as_u64().unwrap());
    let all = store.journal(&journal_name, 0, 1 << 24).unwrap();
    (journal_name, all)
}

fn entries(files: &SiteFiles, node: usize) -> Vec<Entry> {
    let (_, all) = stored_log(files, node);
    all.iter().map(|(n, bytes)| decode(*n, &bytes[32..]).unwrap().entry).collect()
}

fn audit_page(node: &Node) -> String {
    let mut operator = node.operator();
    operator.send("GET /ops/audit HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    operator.message().body
}

/// Waits until the page `/ops/audit` satisfies the condition, and returns it.
fn wait_for_audit_page(node: &Node, condition: impl Fn(&str) -> bool) -> String {
    let since = std::time::Instant::now();
    loop {
        let text = audit_page(node);
        if condition(&text) {
            return text;
        }
        assert!(since.elapsed().as_secs() < 20, "{text}");
        std::thread::yield_now();
    }
}

/// Returns whether all entries are on the disk, and at least `least` of them.
fn is_on_disk(text: &str, least: u64) -> bool {
    let figure = |name: &str| text.split(' ').find_map(|field| field.strip_prefix(name)?.parse::<u64>().ok());
    figure("last=") == figure("on_disk=") && figure("on_disk=").is_some_and(|n| n >= least)
}

const AUDIT_CLAUSE: &str = "(audit (one-in 1) (sum 100 ms))";

/// After a kill the disk holds each configuration change and each decision with the version vector in force; the next process continues
/// the log.
#[rstest]
fn audit_log_survives_a_kill_with_changes_and_decisions() {
    let (files, server) = (SiteFiles::new("audit"), TestServer::new());
    files.write_sites(0, 1, AUDIT_CLAUSE);
    let mut node = files.start(0, &server);
    let mut client = node.send_job("r1", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    backend.serve("r1", "1");
    client.message();
    files.write_sites(0, 2, AUDIT_CLAUSE);
    node.reload();
    wait_for_audit_page(&node, |text| text.lines().any(|l| l.starts_with("sites 2/")));
    let mut client = node.send_job("r2", "/zone-plan");
    backend.message();
    backend.serve("r2", "2");
    client.message();
    files.write_accounts(0, 7, "(account acme (standing closed))");
    node.reload();
    node.logs("account acme Closed number=7");
    assert_eq!(refusal(&node.send_job("r3", "/zone-plan").message()), (403, Some("account closed")));
    // Decision counts are written before the next change.
    files.write_sites(0, 3, AUDIT_CLAUSE);
    node.reload();
    wait_for_audit_page(&node, |text| text.contains("\nsites 3/") && is_on_disk(text, 1));
    node.signal(Signal::KILL);
    node.exit();

    let key = Keys::read(KEY).unwrap().mac(b"audit");
    let key: [u8; 16] = key[..16].try_into().unwrap();
    let (mut vectors, mut vector, mut decisions) = (BTreeMap::new(), VersionVector::default(), Vec::new());
    let (mut number, mut counted) = (0, 0);
    for entry in entries(&files, 0) {
        match entry {
            Entry::ProcessStarted { vector: initial } => vector = initial,
            Entry::VersionChanged { change, source } => {
                assert_eq!(change.from.map(|v| v.content), vector.get(change.item).map(|v| v.content));
                assert!(change.item != Item::Sites || source == ChangeSource::Operator);
                vector.set(change.item, change.to.content, Some(change.to.number));
            }
            Entry::SampledDecision { vector, decision } => {
                let name =
                    ["r1", "r2", "r3"].into_iter().find(|id| request_tag(&key, id) == decision.request);
                decisions.push((name.unwrap(), vector, decision.server, decision.reason));
                continue;
            }
            Entry::DecisionCounts { vector, counts } => {
                assert!(
                    vector == number,
                    "decision counts are of version vector {vector}, but the last one recorded is {number}"
                );
                counted += counts.values().sum::<u64>();
                continue;
            }
            unexpected => panic!("{unexpected:?}"),
        }
        number += 1;
        vectors.insert(number, vector.clone());
    }
    for item in [Item::Program, Item::Settings, Item::Sites, Item::Accounts, Item::List] {
        assert!(vector.get(item).is_some(), "{item:?}");
    }
    let decisions_of = |id: &str| decisions.iter().filter(|d| d.0 == id).collect::<Vec<_>>();
    let (sites_version, accounts_number) = (
        |n: u64| vectors[&n].get(Item::Sites).unwrap().number,
        |n: u64| vectors[&n].get(Item::Accounts).unwrap().number,
    );
    for (id, version) in [("r1", 1), ("r2", 2)] {
        let [sent, served] = decisions_of(id)[..] else { panic!("{decisions:?}") };
        assert_eq!((sent.3.as_str(), served.3.as_str()), ("dispatched", "served"));
        assert!(sent.2.is_some());
        assert_eq!(
            (sites_version(sent.1), sites_version(served.1), accounts_number(sent.1)),
            (version, version, 1)
        );
    }
    let [refused] = decisions_of("r3")[..] else { panic!("{decisions:?}") };
    assert_eq!((refused.3.as_str(), accounts_number(refused.1)), ("barred", 7));
    assert_eq!(counted, 5, "two dispatches and three answers");

    let (name, before) = stored_log(&files, 0);
    let node = files.start(0, &server);
    let text = wait_for_audit_page(&node, |text| is_on_disk(text, before.len() as u64 + 1));
    assert!(text.starts_with(&name.replace("audit", "record")) && text.contains("\nsites 3/"), "{text}");
    assert!(!text.contains("broken"), "{text}");
}

/// A tampered entry with a valid checksum is reported at the next start, and the node starts a new log.
#[rstest]
fn tampered_entry_is_reported_at_the_next_start() {
    let (files, server) = (SiteFiles::new("tampered"), TestServer::new());
    files.write_sites(0, 1, AUDIT_CLAUSE);
    let mut node = files.start(0, &server);
    wait_for_audit_page(&node, |text| is_on_disk(text, 2));
    node.signal(Signal::KILL);
    node.exit();
    let (name, all) = stored_log(&files, 0);
    let (number, mut bytes) = all[all.len() / 2].clone();
    let end = bytes.len() - 1;
    bytes[end] ^= 1;
    {
        let store = Store::open(&files.node_folder(0).join("state"), 1 << 20).unwrap();
        store.commit(&[Op::Append(name.clone(), number, bytes)]).unwrap();
    }
    let node = files.start(0, &server);
    let text = audit_page(&node);
    let expected = format!("broken {} entry {number} was changed", name.trim_start_matches("audit "));
    assert!(text.contains(&expected) && !text.starts_with(&name.replace("audit", "record")), "{text}");
}

/// Nodes report the log position and versions of their peers. A node that restarts with an older disk learns it from its peer and starts
/// a new log.
#[rstest]
fn peers_detect_that_a_log_was_rolled_back() {
    let (files, servers) = (SiteFiles::new("audits"), [TestServer::new(), TestServer::new()]);
    (0..2).for_each(|k| files.write_sites(k, 1, AUDIT_CLAUSE));
    let mut nodes = [0, 1].map(|k| files.start(k, &servers[k]));
    let reports_version = |text: &str, node: &str, version: &str| {
        text.lines()
            .any(|l| l.starts_with(&format!("node {node} ")) && l.contains(&format!(" sites={version}/")))
    };
    wait_for_audit_page(&nodes[1], |text| reports_version(text, "n0", "1"));
    wait_for_audit_page(&nodes[0], |text| reports_version(text, "n1", "1"));
    nodes[0].signal(Signal::KILL);
    nodes[0].exit();
    let (state, copy) = (files.node_folder(0).join("state"), files.node_folder(0).join("copy"));
    std::fs::create_dir(&copy).unwrap();
    for file in std::fs::read_dir(&state).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), copy.join(file.file_name())).unwrap();
    }
    nodes[0] = files.start(0, &servers[0]);
    (0..2).for_each(|k| files.write_sites(k, 2, AUDIT_CLAUSE));
    nodes.iter().for_each(|n| n.reload());
    let page = wait_for_audit_page(&nodes[0], |text| reports_version(text, "n0", "2") && is_on_disk(text, 1));
    let last =
        page.lines().find(|l| l.starts_with("node n0 ")).unwrap().split(' ').find(|w| w.starts_with("last="));
    let last = last.unwrap().to_string();
    wait_for_audit_page(&nodes[1], |text| reports_version(text, "n0", "2") && text.contains(&last));
    nodes[0].signal(Signal::KILL);
    nodes[0].exit();
    std::fs::remove_dir_all(&state).unwrap();
    std::fs::rename(&copy, &state).unwrap();
    nodes[0] = files.start(0, &servers[0]);
    let text = wait_for_audit_page(&nodes[0], |text| text.contains("\nbroken "));
    assert!(text.contains("older disk") || text.contains("another one than others were told"), "{text}");
    nodes[1].logs("has started a new log");
}

/// Without the audit clause a node has neither an audit log nor the page `/ops/audit`.
#[rstest]
fn without_the_audit_clause_nothing_is_logged() {
    let (files, server) = (SiteFiles::new("unaudited"), TestServer::new());
    let mut node = files.start(0, &server);
    assert_eq!(node.call("GET", "/ops/audit"), 404);
    node.signal(Signal::KILL);
    node.exit();
    let store = Store::open(&files.node_folder(0).join("state"), 1 << 20).unwrap();
    assert_eq!(store.fact::<Value>("audit/record").unwrap(), None);
}
