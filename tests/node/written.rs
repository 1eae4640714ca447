//! What may have changed between the order to dispatch and the first byte of it: nothing is written that is no longer wanted, that
//! is too late to be a repeat, or that other settings than its own would allow.

use crate::sites::comes;
use crate::support::*;
use crate::{
    accept_watch, config_with_discovery, enable_probing, load_report, node_with_server, server_list,
};
use rstest::rstest;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A server that can be shut, so that connections to it come up late.
pub struct AdminServer {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Those that fill its queue while it is shut.
    filled: Vec<TcpStream>,
}

impl AdminServer {
    pub fn new() -> AdminServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        AdminServer { address: listener.local_addr().unwrap(), listener, filled: Vec::new() }
    }

    /// From now on no connection comes up. Twice in a row: one that is late alone may be this process's own fault.
    pub fn shut(&mut self) {
        let mut late = 0;
        while late < 2 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(300)) {
                Ok(stream) => {
                    self.filled.push(stream);
                    late = 0;
                }
                Err(_) => late += 1,
            }
        }
    }

    /// Whoever has connected. From the first call on connections come up again: whoever began to connect meanwhile comes once the
    /// system tries again, a second after the first time.
    pub fn came(&self) -> Option<Connection> {
        loop {
            let (stream, from) = self.listener.accept().ok()?;
            if !self.filled.iter().any(|f| f.local_addr().is_ok_and(|own| own == from)) {
                stream.set_nonblocking(false).unwrap();
                return Some(Connection::new(stream));
            }
        }
    }

    /// Wait until somebody has begun to connect, as the system sees it, and doesn't come up.
    pub fn waits_for_one(&self) {
        wait_for_tcp_entry(&format!(":{:04X} 02 ", self.address.port()));
    }

    pub fn accept(&self) -> Connection {
        let begin = Instant::now();
        loop {
            if let Some(peer) = self.came() {
                return peer;
            }
            assert!(begin.elapsed() < TEST_TIMEOUT, "nobody came");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Whatever comes next, over the connection that is kept or over another one.
    pub fn comes(&self, mut kept: Option<Connection>) -> Connection {
        let begin = Instant::now();
        loop {
            if let Some(peer) = self.came() {
                return peer;
            }
            if let Some(mut peer) = kept.take_if(|p| !p.is_silent_for(Duration::from_millis(1))) {
                if peer.receives_data() {
                    return peer;
                }
            }
            assert!(begin.elapsed() < TEST_TIMEOUT, "nobody came");
        }
    }
}

/// A client that leaves, which the node's machine knows by the end of this.
fn leaves_surely(node: &Node, client: Connection) {
    let from = client.address();
    drop(client);
    wait_for_tcp_entry(&format!(":{:04X} 0100007F:{:04X} 05 ", from.port(), node.address.port()));
}

/// A configuration with that server, whose connections and jobs may take long, and where attempts can or can't be called off.
pub fn patient(server: SocketAddr, cancel: bool) -> Value {
    let mut config = config(&[server]);
    let settings = &mut config["settings"];
    (0..2).for_each(|class| settings["classes"][class]["deadline_ms"] = json!(30_000.0));
    settings["allowed"]["connect_timeout_ms"] = json!(20_000.0);
    settings["allowed"]["cancel"] = json!(cancel);
    config
}

/// Connections that have stood idle end soon.
fn hasty(mut config: Value) -> Value {
    config["settings"]["allowed"]["conn_idle_ms"] = json!(500.0);
    config
}

/// A client with much time.
fn ask(node: &Node, id: &str, target: &str) -> Connection {
    let mut client = node.client();
    client.send(&job(id, target, "30000m", ""));
    client
}

/// The head of a keyed job.
pub fn keyed(id: &str) -> String {
    let key = "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nTenant:";
    job(id, "/actuator-cmd", "30000m", "").replace("Tenant:", key)
}

pub const FULL: &str =
    "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What was ordered for a client that has gone holds no place any more, neither as an attempt nor as a connection, while the server's
/// connections still don't come up; the first to come up is that of the next job.
fn its_place_is_free(node: &Node, admin: &AdminServer, dispatch: &str) {
    let lines = node.logs_until("reason=cancelled messages=0");
    let ended = lines.iter().find(|l| l.contains(&format!("{dispatch} ended")));
    assert!(ended.is_some_and(|l| l.contains("NotSent")), "{lines:?}");
    let mut next = ask(node, "next", "/zone-plan");
    let mut backend = admin.accept();
    assert_eq!(backend.id(), "next", "a job was written after its client had gone");
    backend.serve("next", "1");
    assert_eq!(next.message().body, "1");
    assert!(admin.came().is_none());
}

/// A client that leaves while its job's connection comes up: nothing of it is written, and it is not waited for.
#[rstest]
fn nothing_is_written_for_a_client_that_has_gone(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] cancel: bool,
) {
    let mut admin = AdminServer::new();
    admin.shut();
    let node = Node::start(&patient(admin.address, cancel));
    let client = ask(&node, "a", target);
    node.logs("dispatch 1.0 to");
    drop(client);
    its_place_is_free(&node, &admin, "dispatch 1.0");
}

/// The same for a further attempt, which is made because the first one never ran.
#[rstest]
fn no_further_attempt_is_written_for_a_client_that_has_gone(#[values(false, true)] cancel: bool) {
    let mut admin = AdminServer::new();
    let node = Node::start(&patient(admin.address, cancel));
    let client = ask(&node, "a", "/actuator-cmd");
    let mut backend = admin.accept();
    assert_eq!(backend.id(), "a");
    admin.shut();
    backend.send(FULL);
    node.logs("dispatch 1.1 to");
    drop(client);
    its_place_is_free(&node, &admin, "dispatch 1.1");
}

/// The connection comes up while the node stands still, and then the client leaves: both are seen in one turn, the connection first.
#[rstest]
fn nothing_is_written_for_a_client_that_goes_in_the_same_turn(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
) {
    let mut admin = AdminServer::new();
    admin.shut();
    let node = Node::start(&hasty(patient(admin.address, false)));
    let client = ask(&node, "a", target);
    admin.waits_for_one();
    node.set_paused(true);
    let mut backend = admin.accept();
    leaves_surely(&node, client);
    node.set_paused(false);
    assert!(backend.ends_without_data(), "a job was written after its client had gone");
    assert!(node.logs("dispatch 1.0 ended").contains("NotSent"));
}

/// A job waits for the one before it, and its client leaves meanwhile, or in the turn in which that one is answered, after that.
#[rstest]
fn nothing_is_written_on_an_idle_connection_for_a_client_that_has_gone(
    #[values(false, true)] same_turn: bool,
) {
    let server = TestServer::new();
    let node = Node::start(&patient(server.address, false));
    let mut first = ask(&node, "first", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    let gone = ask(&node, "gone", "/zone-plan");
    // It was read after the one before, and is held.
    let mut health = node.client();
    health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(health.message().status(), 200);
    node.set_paused(same_turn);
    if same_turn {
        backend.serve("first", "1");
        leaves_surely(&node, gone);
    } else {
        drop(gone);
        node.logs("reason=peer-broke");
        backend.serve("first", "1");
    }
    node.set_paused(false);
    assert_eq!(first.message().body, "1");
    // On the same connection: nothing was written there.
    let mut last = ask(&node, "last", "/zone-plan");
    assert_eq!(backend.id(), "last", "a job was written after its client had gone");
    backend.serve("last", "2");
    assert_eq!(last.message().body, "2");
    assert!(server.has_no_connection());
}

/// Nothing of a client that has gone comes over that connection to the server, nor over another: the next job does.
fn only_the_next_comes(node: &Node, server: &TestServer, backend: Connection) {
    let mut next = ask(node, "next", "/zone-plan");
    let mut backend = comes(server, Some(backend));
    if !backend.receives_data() {
        // The probe before had waited too long for its answer, which ends its connection.
        backend = server.accept();
    }
    let mut request = backend.message();
    if request.first == "GET /_load HTTP/1.1" {
        backend.send(&load_report(1, 0));
        request = backend.message();
    }
    assert_eq!(request.field("Request-Id"), Some("next"), "a job was written after its client had gone");
    backend.serve("next", "1");
    assert_eq!(next.message().body, "1");
    assert!(server.has_no_connection());
}

/// A client leaves between two attempts of its job, which the server had turned away: it is not tried again.
#[rstest]
fn nothing_is_written_for_a_client_that_goes_between_attempts(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] same_turn: bool,
) {
    let server = TestServer::new();
    let node = Node::start(&patient(server.address, false));
    let client = ask(&node, "a", target);
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    node.set_paused(same_turn);
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    if same_turn {
        leaves_surely(&node, client);
    } else {
        node.logs("dispatch 1.0 ended Overloaded");
        drop(client);
    }
    node.set_paused(false);
    node.logs("reason=peer-broke");
    only_the_next_comes(&node, &server, backend);
}

/// A client leaves while the server is asked whether it has room for its job, or in the turn in which it says that it has.
#[rstest]
fn nothing_is_written_for_a_client_that_goes_beside_a_probe(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] same_turn: bool,
) {
    let server = TestServer::new();
    let mut config = patient(server.address, false);
    enable_probing(&mut config);
    let node = Node::start(&config);
    let client = ask(&node, "a", target);
    let mut backend = server.accept();
    assert_eq!(backend.message().first, "GET /_load HTTP/1.1");
    node.set_paused(same_turn);
    if same_turn {
        backend.send(&load_report(1, 0));
        leaves_surely(&node, client);
    } else {
        drop(client);
        node.logs("reason=peer-broke");
        backend.send(&load_report(1, 0));
    }
    node.set_paused(false);
    node.logs("probe of 0 ended");
    only_the_next_comes(&node, &server, backend);
}

/// A watch on which the usual empty lines come: beside much load a test may take longer than one may be silent.
fn kept_watch(discovery: &TestServer) -> Connection {
    let stream = accept_watch(discovery).0.into_stream();
    let mut beats = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while beats.write_all(b"1\r\n\n\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    Connection::new(stream)
}

/// A server moves while the connection to where it was comes up: nothing is written there, whoever has that address now, and the job
/// goes to the new one. Where the node stands still meanwhile it sees both in one turn.
#[rstest]
fn nothing_is_written_where_a_server_was(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] stands_still: bool,
) {
    let (mut admin, new, discovery) = (AdminServer::new(), TestServer::new(), TestServer::new());
    admin.shut();
    let mut config = patient(admin.address, false);
    config["discovery"] = json!(discovery.address.to_string());
    let node = Node::start(&config);
    let mut watch = kept_watch(&discovery);
    let mut client = ask(&node, "a", target);
    node.logs("dispatch 1.0 to");
    admin.waits_for_one();
    let mut old = None;
    if stands_still {
        node.set_paused(true);
        old = Some(admin.accept());
    }
    watch.line(&server_list(42, false, &[entry("s-0", new.address, "active")]));
    node.set_paused(false);
    assert!(node.logs("dispatch 1.0 ended").contains("NotSent"));
    let mut backend = new.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(old.is_none_or(|mut old| old.ends_without_data()), "a job was written where the server had been");
}

/// The same for an idle connection, to which a job is handed in the turn in which the server moves.
#[rstest]
fn nothing_is_written_on_an_idle_connection_to_where_a_server_was(#[values(false, true)] job_first: bool) {
    let (server, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[server.address], &discovery));
    let mut watch = kept_watch(&discovery);
    let mut client = ask(&node, "first", "/zone-plan");
    let mut old = server.accept();
    assert_eq!(old.id(), "first");
    old.serve("first", "1");
    assert_eq!(client.message().body, "1");
    node.set_paused(true);
    let text = job("a", "/actuator-cmd", "5000m", "");
    let moved = server_list(42, false, &[entry("s-0", new.address, "active")]);
    if job_first {
        client.send(&text);
        watch.line(&moved);
    } else {
        watch.line(&moved);
        client.send(&text);
    }
    node.set_paused(false);
    let mut backend = new.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "2");
    assert_eq!(client.message().body, "2");
    assert!(old.ends_without_data() && server.has_no_connection());
}

/// A keyed job may have run, and the connection for its further attempt comes up when servers no longer know its key: nothing is
/// written, and it has its answer. The connection comes up a second after that attempt began, the time being over before; where the
/// node stands still meanwhile it sees both at once. With a longer window the attempt is made.
#[rstest]
#[case::late(700.0, false, 503)]
#[case::late_and_standing_still(700.0, true, 503)]
#[case::in_time(20_000.0, false, 200)]
fn a_further_attempt_begins_while_its_key_is_known(
    #[case] window: f64,
    #[case] stands_still: bool,
    #[case] status: u16,
) {
    let mut admin = AdminServer::new();
    let mut config = patient(admin.address, true);
    config["settings"]["classes"][1]["semantics"] = json!("guarded");
    config["settings"]["classes"][1]["dedup_window_ms"] = json!(window);
    let node = Node::start(&config);
    let mut client = ask(&node, "first", "/zone-plan");
    let mut backend = admin.accept();
    assert_eq!(backend.id(), "first");
    backend.serve("first", "1");
    assert_eq!(client.message().body, "1");
    admin.shut();
    client.send(&keyed("a"));
    assert_eq!(backend.id(), "a");
    let begun = Instant::now();
    drop(backend);
    if stands_still {
        admin.waits_for_one();
        node.set_paused(true);
    } else {
        node.logs("dispatch 2.1 to");
    }
    let mut attempts = 0;
    while client.is_silent_for(Duration::from_millis(5)) {
        let Some(mut peer) = admin.came() else { continue };
        while stands_still && begun.elapsed() < Duration::from_millis(window as u64 + 200) {
            std::thread::sleep(Duration::from_millis(10));
        }
        node.set_paused(false);
        if peer.receives_data() {
            attempts += 1;
            let request = peer.message();
            // What it is told to be left was counted after the connection came up.
            let left = request.field("Request-Timeout").and_then(|t| t.strip_suffix('u')).unwrap();
            assert!(left.parse::<u64>().unwrap() < 29_100_000, "{left}");
            peer.serve("a", "1");
        }
    }
    assert_eq!((client.message().status(), attempts), (status, usize::from(status == 200)));
}

/// What comes of an answer that never ends, or stops half-way: the client has its one answer in time, the connection ends, and the next
/// job goes elsewhere.
#[rstest]
#[case::empty_lines("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n\n\r\n")]
#[case::a_line("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "{L}\r\n{X}\r\n")]
#[case::a_slow_line("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")]
#[case::half_a_line("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"id\":\"a\",\"st", "")]
#[case::half_a_line_by_length("HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n{\"id\":\"a\",\"st", "")]
#[case::half_a_head("HTTP/1.1 200 O", "")]
#[case::a_head("HTTP/1.1 200 OK\r\n", "X: {X}\r\n")]
#[case::a_slow_head("HTTP/1.1 200 OK\r\n", "X: y\r\n")]
#[case::heads("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::trailers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: {X}\r\n")]
#[case::slow_trailers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n")]
fn an_answer_without_end_is_a_failure_in_time(#[case] begin: &str, #[case] more: &str) {
    let (node, server) = node_with_server();
    let sent = Instant::now();
    let mut client = node.client();
    client.send(&job("a", "/actuator-cmd", "700m", ""));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.send(begin);
    let filler = "x".repeat(4_000);
    backend
        .trickle_until_closed(&more.replace("{L}", &format!("{:x}", filler.len())).replace("{X}", &filler));
    assert_eq!(client.message().status(), 502);
    assert!(sent.elapsed() < Duration::from_millis(900), "{:?}", sent.elapsed());
    assert!(client.is_silent_for(Duration::from_millis(20)), "one answer");
    client.send(&job("b", "/zone-plan", "5000m", ""));
    let mut other = server.accept();
    assert_eq!(other.id(), "b");
    other.serve("b", "2");
    assert_eq!(client.message().body, "2");
}

/// The same behind the line that ends the job: that is served at once, and nothing more is put on the connection.
#[rstest]
#[case::lines("1\r\n\n\r\n")]
#[case::trailers("0\r\n")]
#[case::nothing("")]
fn what_never_ends_behind_a_result_costs_the_connection(#[case] more: &str) {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.begin();
    backend.line("{\"id\":\"a\",\"state\":\"done\",\"result\":\"1\"}");
    assert_eq!(client.message().body, "1");
    client.send(&job("b", "/zone-plan", "5000m", ""));
    let mut other = server.accept();
    assert_eq!(other.id(), "b");
    other.serve("b", "2");
    assert_eq!(client.message().body, "2");
    backend.send(more);
    backend.trickle_until_closed("X: y\r\n");
}

/// A job and the end of the idle connection that it is handed to come while the node stands still, in either order: it is written
/// once, on another connection.
#[rstest]
fn a_job_for_a_connection_that_has_just_ended_is_written_once(#[values(false, true)] job_first: bool) {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    node.set_paused(true);
    let text = job("b", "/zone-plan", "5000m", "");
    if job_first {
        client.send(&text);
        drop(backend);
    } else {
        drop(backend);
        client.send(&text);
    }
    node.set_paused(false);
    let mut other = server.accept();
    assert_eq!(other.id(), "b");
    other.serve("b", "2");
    assert_eq!(client.message().body, "2");
    assert!(client.is_silent_for(Duration::from_millis(20)) && server.has_no_connection());
}

/// The answer and the end of the request's time, or the client's leaving, come while the node stands still: there is one answer at
/// most, the job is not made again, and the node goes on.
#[rstest]
fn an_answer_in_the_turn_of_the_end_is_one_answer(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] leaves: bool,
) {
    let (node, server) = node_with_server();
    let mut client = node.client();
    client.send(&job("a", target, "400m", ""));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    node.set_paused(true);
    if leaves {
        backend.serve("a", "1");
        drop(client);
    } else {
        backend.serve("a", "1");
        assert!(client.is_silent_for(Duration::from_millis(500)));
        node.set_paused(false);
        let answer = client.message();
        let failed = if target == "/zone-plan" { 503 } else { 502 };
        assert!(answer.status() == failed || (answer.status(), answer.body.as_str()) == (200, "1"));
        assert!(client.is_silent_for(Duration::from_millis(50)), "one answer");
    }
    node.set_paused(false);
    let mut next = node.send_job("b", "/zone-plan");
    let mut backend = comes(&server, Some(backend));
    assert_eq!(backend.id(), "b");
    backend.serve("b", "2");
    assert_eq!(next.message().body, "2");
    assert!(server.has_no_connection());
}

/// An attempt that has not started is called off after a quarter of the deadline; here its answer is there by then. It is the answer,
/// or it is dropped and the job, which is free to repeat, made once more.
#[rstest]
fn an_answer_in_the_turn_of_a_cancel_is_one_answer() {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    node.set_paused(true);
    assert!(client.is_silent_for(Duration::from_millis(1_400)));
    backend.serve("a", "1");
    node.set_paused(false);
    let mut attempts = 1;
    while client.is_silent_for(Duration::from_millis(5)) {
        if let Some(mut other) = server.try_accept() {
            attempts += 1;
            assert_eq!(other.id(), "a");
            other.serve("a", "1");
        }
    }
    assert_eq!(client.message().body, "1");
    assert!(attempts <= 2 && client.is_silent_for(Duration::from_millis(50)), "one answer");
}

/// The time of a line of the log within its minute.
pub fn seconds(line: &str) -> f64 {
    line[17..26].parse().unwrap()
}

/// A second answer to the job before comes when a keyed job has just been written on its connection. It proves nothing about that
/// one: it may have run, and is made again only while its key is known. Until the node has seen both answers soon enough after each
/// other to take one for the other's.
#[rstest]
fn a_second_answer_does_not_prove_that_a_keyed_job_never_ran() {
    let window = Duration::from_millis(300);
    for round in 0..50 {
        let server = TestServer::new();
        let mut config = patient(server.address, false);
        config["settings"]["classes"][1]["semantics"] = json!("guarded");
        config["settings"]["classes"][1]["dedup_window_ms"] = json!(window.as_millis() as f64);
        let node = Node::start(&config);
        let mut first = ask(&node, "a", "/zone-plan");
        let mut backend = server.accept();
        assert_eq!(backend.id(), "a");
        let mut client = node.client();
        client.send(&keyed("b"));
        // It is read and held: the server has a job that has not started.
        let mut health = node.client();
        health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(health.message().status(), 200);
        // No word of its start before: that one would be sent on at once, over another connection.
        backend.begin();
        backend.finish("a", "1");
        assert_eq!(backend.id(), "b");
        let written = Instant::now();
        backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(first.message().body, "1");
        let lines = ["dispatch 1.0 ended", "dispatch 2.0 ended"].map(|text| node.logs(text));
        if (seconds(&lines[1]) - seconds(&lines[0])).rem_euclid(60.0) > 0.025 {
            continue;
        }
        let mut kept = Some(backend);
        while client.is_silent_for(Duration::from_millis(5)) {
            let Some(peer) = &mut kept else {
                kept = server.try_accept();
                continue;
            };
            if peer.is_silent_for(Duration::from_millis(1)) {
                continue;
            }
            if !peer.receives_data() {
                kept = None;
                continue;
            }
            assert_eq!(peer.id(), "b");
            assert!(written.elapsed() < window, "written again after {:?}", written.elapsed());
            peer.serve("b", "2");
        }
        println!("round {round}");
        return;
    }
    panic!("the order was never forced");
}

/// What a server says of a job that it did not serve: handed back unstarted it is tried again whatever it does; killed, only where a
/// repeat does no harm, which servers see to by the key for the one kind. `Not-Started` counts with 503 alone.
#[rstest]
fn what_was_not_served_is_tried_again_where_that_does_no_harm(
    #[values("free", "guarded", "single_shot")] semantics: &str,
    #[values("returned", "lost", "503", "200")] notified: &str,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["settings"]["classes"][1]["semantics"] = json!(semantics);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&keyed("a"));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    match notified {
        "503" => backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"),
        "200" => {
            let line = "{\"id\":\"a\",\"state\":\"lost\"}\n";
            let length = line.len();
            backend.send(&format!(
                "HTTP/1.1 200 OK\r\nNot-Started: 1\r\nContent-Length: {length}\r\n\r\n{line}"
            ));
        }
        state => {
            backend.begin();
            backend.line(&json!({"id": "a", "state": state}).to_string());
            backend.send("0\r\n\r\n");
        }
    }
    let never = ["returned", "503"].contains(&notified);
    if never || semantics != "single_shot" {
        let mut backend = comes(&server, Some(backend));
        assert_eq!(backend.id(), "a");
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
    } else {
        assert_eq!(client.message().status(), 502);
        assert!(backend.is_silent_for(Duration::from_millis(20)) && server.has_no_connection());
    }
}

/// Settings that are read while an attempt is out don't judge what comes of it: one that was sent where servers may hand back what
/// they had begun may have run, whatever holds now, and so may one that is handed back where they may now.
#[rstest]
#[case::no_longer(true, false)]
#[case::from_now_on(false, true)]
fn what_is_handed_back_after_a_reload_is_not_sent_again(#[case] before: bool, #[case] after: bool) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["settings"]["rules"]["shed_after_start"] = json!(before);
    let node = Node::start(&config);
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    config["settings"]["rules"]["shed_after_start"] = json!(after);
    node.replace_config(&config.to_string());
    node.reload();
    node.logs("new settings hold");
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    while client.is_silent_for(Duration::from_millis(5)) {
        assert!(server.has_no_connection(), "a job that may have run was sent again");
    }
    assert_eq!(client.message().status(), 502);
}
