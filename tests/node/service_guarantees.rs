//! The operators' standing terms, on the real program: restarts, lists that are pushed, and servers that spoil
//! answers, come up late or hang.

use crate::support::*;
use crate::{node_with_server, server_list};
use rstest::rstest;
use serde_json::json;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What came to a server, and when.
type Ledger = Arc<Mutex<Vec<(String, Instant)>>>;

/// Serve whatever comes with its own id as its result, and write it down.
fn serving(server: TestServer) -> Ledger {
    let ledger = Ledger::default();
    let written = ledger.clone();
    server.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let id = peer.id();
            written.lock().unwrap().push((id.clone(), Instant::now()));
            peer.serve(&id, &id);
        }
    });
    ledger
}

fn came(ledger: &Ledger) -> HashSet<String> {
    ledger.lock().unwrap().iter().map(|(id, _)| id.clone()).collect()
}

/// A result of its own, or a refusal.
fn is_final(answer: &Message, id: &str) -> bool {
    answer.status() == 503 || (answer.status() == 200 && answer.body == id)
}

/// Requests that come in the last moments before a node that was told to stop closes its connections, by ones and
/// by threes: each has its one answer. The node stands still over that moment, so that they are surely there.
#[rstest]
fn what_comes_before_the_close_is_answered() {
    let (mut node, server) = node_with_server();
    let _ledger = serving(server);
    let mut clients: Vec<Connection> = (0..8).map(|_| node.client()).collect();
    for client in &mut clients {
        client.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(client.message().status(), 200);
    }
    node.terminate();
    node.logs("new connections are refused");
    node.set_paused(true);
    let ids = |k: usize| (0..if k.is_multiple_of(2) { 1 } else { 3 }).map(move |n| format!("{k}-{n}"));
    for (k, client) in clients.iter_mut().enumerate() {
        client.send(&ids(k).map(|id| job(&id, "/zone-plan", "5000m", "")).collect::<String>());
    }
    assert!(clients[0].is_silent_for(Duration::from_millis(1_500)));
    node.set_paused(false);
    for (k, client) in clients.iter_mut().enumerate() {
        for id in ids(k) {
            let answer = client.message();
            assert!(is_final(&answer, &id), "{id}: {answer:?}");
        }
        assert!(client.is_closed());
    }
    assert!(node.exit().success());
}

/// Clients that go on sending for as long as their connections stay open are answered each time. A connection may
/// end between requests; one that crosses that end has gone to no server.
#[rstest]
fn clients_that_go_on_sending_after_sigterm_are_answered() {
    let (mut node, server) = node_with_server();
    let ledger = serving(server);
    let clients: Vec<Connection> = (0..6).map(|_| node.client()).collect();
    node.terminate();
    let notified = Instant::now();
    let going_on = |(k, mut client): (usize, Connection)| {
        std::thread::spawn(move || {
            for n in 0.. {
                let id = format!("{k}-{n}");
                client.send(&job(&id, "/zone-plan", "3000m", ""));
                if !client.receives_data() {
                    return (n, Some(id));
                }
                let answer = client.message();
                assert!(
                    answer.status() == 503 || (answer.status() == 200 && answer.body == id),
                    "{answer:?}"
                );
                if answer.field("Connection") == Some("close") {
                    assert!(client.is_closed());
                    return (n, None);
                }
                assert!(client.is_silent_for(Duration::from_millis(5)) || !client.receives_data());
            }
            unreachable!()
        })
    };
    let threads: Vec<_> = clients.into_iter().enumerate().map(going_on).collect();
    for thread in threads {
        let (answered, crossed) = thread.join().unwrap();
        assert!(answered > 0 && crossed.is_none_or(|id| !came(&ledger).contains(&id)));
    }
    assert!(notified.elapsed() > Duration::from_millis(1_900), "they may go on for a while");
    assert!(node.exit().success());
}

/// Attend an agent's calls: whoever watches is told that list, and that nothing changes.
fn report(mut peer: Connection, list: &str) {
    while peer.receives_data() {
        if peer.message().first.starts_with("GET /catalog/members HTTP") {
            peer.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
            continue;
        }
        peer.begin();
        peer.line(list);
        while peer.is_silent_for(Duration::from_millis(500)) {
            peer.line("");
        }
    }
}

/// A server that leaves, one that stays, a configuration that holds the first alone as one of 300 nodes to whom
/// lists are pushed, and what the agent has.
fn pushed(discovery: SocketAddr) -> (serde_json::Value, Ledger, Ledger, String) {
    let (old, new) = (TestServer::new(), TestServer::new());
    let mut config = config(&[old.address]);
    config["discovery"] = json!(discovery.to_string());
    config["settings"]["replicas_of_me"] = json!(300);
    let members = [entry("s-0", old.address, "leaving"), entry("s-new", new.address, "active")];
    (config, serving(old), serving(new), server_list(43, true, &members))
}

/// Nothing new goes to a server half a second after its leaving counts as told; one job after the other is handed
/// in for so long.
fn keeps_away(node: &Node, (old, new): (&Ledger, &Ledger), notified: Instant) {
    let due = notified + Duration::from_millis(550);
    let mut client = node.client();
    let mut n = 0;
    while Instant::now() < due + Duration::from_millis(250) {
        client.send(&job(&format!("a-{n}"), "/zone-plan", "5000m", ""));
        assert_eq!(client.message().status(), 200);
        n += 1;
    }
    let last = old.lock().unwrap().iter().map(|(_, at)| *at).max();
    assert!(last.is_none_or(|at| at <= due), "{:?} too late", last.map(|at| at - due));
    assert!(!came(new).is_empty());
}

/// What the agent has counts from the first moment of a process.
#[rstest]
fn a_pushed_list_counts_from_the_first_moment() {
    let agent = TestServer::new();
    let (config, old, new, list) = pushed(agent.address);
    agent.handle_connections(move |peer| report(peer, &list));
    let node = Node::start(&config);
    keeps_away(&node, (&old, &new), Instant::now());
}

/// And at once after an outage of the agent.
#[rstest]
fn a_pushed_list_counts_at_once_after_an_outage() {
    let address = refusing_address();
    let (config, old, new, list) = pushed(address);
    let node = Node::start(&config);
    (0..6).for_each(|_| drop(node.logs("end server-table")));
    let listener = TcpListener::bind(address).unwrap();
    let notified = Instant::now();
    TestServer::from_listener(listener).handle_connections(move |peer| report(peer, &list));
    keeps_away(&node, (&old, &new), notified);
}

/// And 4 s after SIGHUP, although the first call of the agent that it names is not answered.
#[rstest]
fn a_pushed_list_counts_four_seconds_after_sighup() {
    let (first, second) = (TestServer::new(), TestServer::new());
    let (mut config, old, new, list) = pushed(first.address);
    let node = Node::start(&config);
    let _before = first.accept();
    config["discovery"] = json!(second.address.to_string());
    node.replace_config(&config.to_string());
    node.reload();
    let notified = Instant::now() + Duration::from_secs(4);
    let _silent = second.accept();
    second.handle_connections(move |peer| report(peer, &list));
    node.logs("server table 43");
    keeps_away(&node, (&old, &new), notified.min(Instant::now()));
    assert!(Instant::now() < notified + Duration::from_secs(2));
}

/// A server that answers a job twice, the second time when the connection is idle: it is not used again, and the
/// next job has its own answer.
#[rstest]
#[case::the_same("200 OK", "{\"id\":\"a\",\"from\":\"s\",\"state\":\"done\",\"result\":\"again\"}\n")]
#[case::error("500 Oh", "")]
#[case::unstarted("503 Full\r\nNot-Started: 1", "")]
fn a_second_answer_ends_an_idle_connection(#[case] status: &str, #[case] body: &str) {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    backend.send(&format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    node.logs("end backend");
    client.send(&job("b", "/actuator-cmd", "5000m", ""));
    let mut other = server.accept();
    assert_eq!(other.id(), "b");
    other.serve("b", "2");
    assert_eq!(client.message().body, "2");
}

/// The second time when the next job that must not run twice has come: that one is not put on a connection which has just been
/// answered on, so what comes there is nobody's, whatever it says.
#[rstest]
#[case::the_same("200 OK", "{\"id\":\"a\",\"from\":\"s\",\"state\":\"done\",\"result\":\"again\"}\n")]
#[case::error("500 Oh", "")]
#[case::unstarted("503 Full\r\nNot-Started: 1", "")]
fn a_second_answer_is_not_the_next_jobs(#[case] status: &str, #[case] body: &str) {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    client.send(&job("b", "/actuator-cmd", "5000m", ""));
    let mut other = server.accept();
    assert_eq!(other.id(), "b");
    backend.send(&format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    node.logs("end backend");
    other.serve("b", "2");
    assert_eq!(client.message().body, "2");
    assert!(server.has_no_connection());
}

/// A safe job goes over that connection at once; one that such an answer ends is made again.
#[rstest]
fn a_second_answer_costs_a_safe_job_another_attempt_at_most() {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    client.send(&job("b", "/zone-plan", "5000m", ""));
    assert_eq!(backend.id(), "b");
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    let ledger = serving(server);
    if backend.receives_data() {
        let id = backend.id();
        backend.serve(&id, &id);
    }
    let answer = client.message();
    assert!(
        (answer.status(), answer.body.as_str()) == (200, "b") || answer.status() == 503,
        "{}",
        answer.status()
    );
    drop(ledger);
}

/// A connection that comes up after a second: a job that can wait for it is written once and served; one that
/// can't has its answer in time, and nothing of it is written.
#[rstest]
#[case::waited_for("5000m", 3_000.0, Some(200))]
#[case::given_up("5000m", 150.0, Some(503))]
#[case::too_late("500m", 3_000.0, None)]
fn a_connection_that_comes_up_late(#[case] time: &str, #[case] connect: f64, #[case] status: Option<u16>) {
    let (address, late) = saturated_listener_for(Duration::from_millis(600));
    let mut config = config(&[address]);
    config["settings"]["allowed"]["connect_timeout_ms"] = json!(connect);
    let node = Node::start(&config);
    let begun = Instant::now();
    let mut client = node.client();
    client.send(&job("a", "/actuator-cmd", time, ""));
    let ledger = serving(late);
    let answer = client.message();
    match status {
        Some(status) => assert_eq!(answer.status(), status),
        None => assert!(answer.status() != 200 && begun.elapsed() < Duration::from_millis(900)),
    }
    assert!(client.is_silent_for(Duration::from_millis(1_500)), "one answer");
    assert_eq!(ledger.lock().unwrap().len(), usize::from(status == Some(200)));
}

/// One of twenty servers hangs: it takes connections and jobs and says nothing. Each job has its one answer in
/// time, what may not be repeated runs nowhere else, and most are served.
#[rstest]
fn a_server_that_hangs_costs_no_answer() {
    let all: Vec<TestServer> = (0..20).map(|_| TestServer::new()).collect();
    let mut config = config(&all.iter().map(|s| s.address).collect::<Vec<_>>());
    config["settings"]["projects"][0]["quota_rps"] = json!(1000.0);
    let node = Node::start(&config);
    let (ledger, hung) = (Ledger::default(), Ledger::default());
    for (k, server) in all.into_iter().enumerate() {
        let ledger = if k == 7 { hung.clone() } else { ledger.clone() };
        server.handle_connections(move |mut peer| {
            while peer.receives_data() {
                let id = peer.id();
                ledger.lock().unwrap().push((id.clone(), Instant::now()));
                if k != 7 {
                    peer.serve(&id, &id);
                }
            }
        });
    }
    let ask = |k: usize| {
        let class = if k.is_multiple_of(2) { "/zone-plan" } else { "/actuator-cmd" };
        let mut client = node.client();
        client.send(&job(&format!("j-{k}"), class, "1000m", ""));
        client
    };
    let mut served = 0;
    for round in 0..5 {
        let clients: Vec<Connection> = (0..24).map(|k| ask(round * 24 + k)).collect();
        for (k, mut client) in clients.into_iter().enumerate() {
            let (id, answer) = (format!("j-{}", round * 24 + k), client.message());
            served += usize::from(answer.status() == 200);
            let once = k % 2 == 1 && came(&hung).contains(&id);
            assert!(answer.status() != 200 || answer.body == id);
            assert!(!once || (answer.status() == 502 && !came(&ledger).contains(&id)), "{id}: {answer:?}");
            assert!(client.is_silent_for(Duration::from_millis(1)), "one answer");
        }
    }
    let (hung, ids) = (hung.lock().unwrap().len(), ledger.lock().unwrap().len());
    assert!(
        hung > 0 && served >= 60,
        "{served} of 120 served, {hung} at the one that hangs, {ids} elsewhere"
    );
}
