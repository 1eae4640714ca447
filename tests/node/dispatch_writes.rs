//! Changes between the decision to dispatch a job and the write of its first byte: a job is not written once its client has
//! disconnected, its server has moved, or its deduplication window is over, and is judged by the settings it was sent with.

use crate::sites::accept_job;
use crate::support::*;
use crate::{
    accept_watch, config_with_discovery, enable_probing, load_report, node_with_server, server_list,
};
use rstest::rstest;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A server that can be made to stop completing connects, so that connections to it are established late.
pub struct StallableServer {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Connections that fill the accept backlog while connects are stalled.
    backlog_fillers: Vec<TcpStream>,
}

impl StallableServer {
    pub fn new() -> StallableServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        StallableServer { address: listener.local_addr().unwrap(), listener, backlog_fillers: Vec::new() }
    }

    /// Fills the accept backlog, so that no further connect completes. Two timeouts in a row are needed, as a single one may
    /// come from a delay in this process.
    pub fn stall_connects(&mut self) {
        let mut late = 0;
        while late < 2 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(300)) {
                Ok(stream) => {
                    self.backlog_fillers.push(stream);
                    late = 0;
                }
                Err(_) => late += 1,
            }
        }
    }

    /// Accepts a connection that has been established, skipping those that fill the backlog. Connects complete again from the
    /// first call on: a pending one does when the system retransmits its SYN, one second after the first.
    pub fn try_accept(&self) -> Option<Connection> {
        loop {
            let (stream, from) = self.listener.accept().ok()?;
            if !self.backlog_fillers.iter().any(|f| f.local_addr().is_ok_and(|own| own == from)) {
                stream.set_nonblocking(false).unwrap();
                return Some(Connection::new(stream));
            }
        }
    }

    /// Waits until the system's table has a connect to this server in the SYN_SENT state.
    pub fn wait_for_pending_connect(&self) {
        wait_for_tcp_entry(&format!(":{:04X} 02 ", self.address.port()));
    }

    pub fn accept(&self) -> Connection {
        let begin = Instant::now();
        loop {
            if let Some(peer) = self.try_accept() {
                return peer;
            }
            assert!(begin.elapsed() < TEST_TIMEOUT, "no connection arrived");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns the connection on which the next request arrives: a new one, or `idle`.
    pub fn accept_or_reuse(&self, mut idle: Option<Connection>) -> Connection {
        let begin = Instant::now();
        loop {
            if let Some(peer) = self.try_accept() {
                return peer;
            }
            if let Some(mut peer) = idle.take_if(|p| !p.is_silent_for(Duration::from_millis(1))) {
                if peer.receives_data() {
                    return peer;
                }
            }
            assert!(begin.elapsed() < TEST_TIMEOUT, "no connection arrived");
        }
    }
}

/// Closes a client's connection and waits until the system has delivered its FIN to the node.
fn disconnect_and_wait(node: &Node, client: Connection) {
    let from = client.address();
    drop(client);
    wait_for_tcp_entry(&format!(":{:04X} 0100007F:{:04X} 05 ", from.port(), node.address.port()));
}

/// Returns a configuration of one server with long connect timeouts and deadlines, and with cancellation of attempts on or off.
pub fn long_timeout_config(server: SocketAddr, cancel: bool) -> Value {
    let mut config = config(&[server]);
    let settings = &mut config["settings"];
    (0..2).for_each(|class| settings["classes"][class]["deadline_ms"] = json!(30_000.0));
    settings["allowed"]["connect_timeout_ms"] = json!(20_000.0);
    settings["allowed"]["cancel"] = json!(cancel);
    config
}

/// Shortens the time after which idle connections are closed.
fn with_short_idle_timeout(mut config: Value) -> Value {
    config["settings"]["allowed"]["conn_idle_ms"] = json!(500.0);
    config
}

/// Sends a job with a timeout of 30 s on a new connection.
fn send_job(node: &Node, id: &str, target: &str) -> Connection {
    let mut client = node.client();
    client.send(&job(id, target, "30000m", ""));
    client
}

/// Formats a request with an idempotency key.
pub fn keyed_job(id: &str) -> String {
    let key_and_tenant_fields = "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nTenant:";
    job(id, "/actuator-cmd", "30000m", "").replace("Tenant:", key_and_tenant_fields)
}

/// A response that rejects a job before it was started, and ends the connection.
pub const NOT_STARTED_AND_CLOSE: &str =
    "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Asserts that a dispatch for a disconnected client was ended unsent, and that neither it nor its pending connection delays the
/// next job: the first connection that the server accepts carries that one.
fn assert_dispatch_slot_is_free(node: &Node, server: &StallableServer, dispatch: &str) {
    let lines = node.logs_until("reason=cancelled messages=0");
    let ended = lines.iter().find(|l| l.contains(&format!("{dispatch} ended")));
    assert!(ended.is_some_and(|l| l.contains("NotSent")), "{lines:?}");
    let mut next = send_job(node, "next", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "next", "a job was written after its client had disconnected");
    backend.serve("next", "1");
    assert_eq!(next.message().body, "1");
    assert!(server.try_accept().is_none());
}

/// Guards against writing a job whose client disconnected while the connection to the server was being established.
#[rstest]
fn job_is_not_written_if_its_client_leaves_while_connecting(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] cancel: bool,
) {
    let mut server = StallableServer::new();
    server.stall_connects();
    let node = Node::start(&long_timeout_config(server.address, cancel));
    let client = send_job(&node, "a", target);
    node.logs("dispatch 1.0 to");
    drop(client);
    assert_dispatch_slot_is_free(&node, &server, "dispatch 1.0");
}

/// Guards against writing the second attempt of a job whose client disconnected while that attempt was connecting.
#[rstest]
fn retry_is_not_written_if_its_client_leaves_while_connecting(#[values(false, true)] cancel: bool) {
    let mut server = StallableServer::new();
    let node = Node::start(&long_timeout_config(server.address, cancel));
    let client = send_job(&node, "a", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    server.stall_connects();
    backend.send(NOT_STARTED_AND_CLOSE);
    node.logs("dispatch 1.1 to");
    drop(client);
    assert_dispatch_slot_is_free(&node, &server, "dispatch 1.1");
}

/// The node is paused while the connection is established and the client disconnects, so that it handles both events in one turn
/// of its event loop, the connection first.
#[rstest]
fn job_is_not_written_if_its_client_leaves_in_the_turn_that_connects(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
) {
    let mut server = StallableServer::new();
    server.stall_connects();
    let node = Node::start(&with_short_idle_timeout(long_timeout_config(server.address, false)));
    let client = send_job(&node, "a", target);
    server.wait_for_pending_connect();
    node.set_paused(true);
    let mut backend = server.accept();
    disconnect_and_wait(&node, client);
    node.set_paused(false);
    assert!(backend.ends_without_data(), "a job was written after its client had disconnected");
    assert!(node.logs("dispatch 1.0 ended").contains("NotSent"));
}

/// The client of a queued job disconnects while the server is busy with another job, or in the event-loop turn in which that job's
/// response has arrived.
#[rstest]
fn queued_job_is_not_written_on_an_idle_connection_if_its_client_leaves(
    #[values(false, true)] same_turn: bool,
) {
    let server = TestServer::new();
    let node = Node::start(&long_timeout_config(server.address, false));
    let mut first = send_job(&node, "first", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    let disconnected = send_job(&node, "gone", "/zone-plan");
    // The answer to the health check shows that the second job was read and queued.
    let mut health = node.client();
    health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(health.message().status(), 200);
    node.set_paused(same_turn);
    if same_turn {
        backend.serve("first", "1");
        disconnect_and_wait(&node, disconnected);
    } else {
        drop(disconnected);
        node.logs("reason=peer-broke");
        backend.serve("first", "1");
    }
    node.set_paused(false);
    assert_eq!(first.message().body, "1");
    // The next request on the connection is the last job's: the queued one was not written.
    let mut last = send_job(&node, "last", "/zone-plan");
    assert_eq!(backend.id(), "last", "a job was written after its client had disconnected");
    backend.serve("last", "2");
    assert_eq!(last.message().body, "2");
    assert!(server.has_no_connection());
}

/// Asserts that the server receives nothing of a disconnected client, on `backend` or on a new connection, before the next job.
fn assert_only_next_job_arrives(node: &Node, server: &TestServer, backend: Connection) {
    let mut next = send_job(node, "next", "/zone-plan");
    let mut backend = accept_job(server, Some(backend));
    if !backend.receives_data() {
        // The earlier probe timed out, which closed its connection.
        backend = server.accept();
    }
    let mut request = backend.message();
    if request.first == "GET /_load HTTP/1.1" {
        backend.send(&load_report(1, 0));
        request = backend.message();
    }
    assert_eq!(
        request.field("Request-Id"),
        Some("next"),
        "a job was written after its client had disconnected"
    );
    backend.serve("next", "1");
    assert_eq!(next.message().body, "1");
    assert!(server.has_no_connection());
}

/// Guards against retrying a job, rejected by the server, whose client has disconnected.
#[rstest]
fn rejected_job_is_not_retried_if_its_client_leaves(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] same_turn: bool,
) {
    let server = TestServer::new();
    let node = Node::start(&long_timeout_config(server.address, false));
    let client = send_job(&node, "a", target);
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    node.set_paused(same_turn);
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    if same_turn {
        disconnect_and_wait(&node, client);
    } else {
        node.logs("dispatch 1.0 ended Overloaded");
        drop(client);
    }
    node.set_paused(false);
    node.logs("reason=peer-broke");
    assert_only_next_job_arrives(&node, &server, backend);
}

/// The client disconnects while the server is probed for a free slot, or in the event-loop turn in which the probe is answered.
#[rstest]
fn job_is_not_written_if_its_client_leaves_during_a_probe(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] same_turn: bool,
) {
    let server = TestServer::new();
    let mut config = long_timeout_config(server.address, false);
    enable_probing(&mut config);
    let node = Node::start(&config);
    let client = send_job(&node, "a", target);
    let mut backend = server.accept();
    assert_eq!(backend.message().first, "GET /_load HTTP/1.1");
    node.set_paused(same_turn);
    if same_turn {
        backend.send(&load_report(1, 0));
        disconnect_and_wait(&node, client);
    } else {
        drop(client);
        node.logs("reason=peer-broke");
        backend.send(&load_report(1, 0));
    }
    node.set_paused(false);
    node.logs("probe of 0 ended");
    assert_only_next_job_arrives(&node, &server, backend);
}

/// Opens discovery's watch and sends heartbeats on it, so that it does not time out however slow the test runs.
fn watch_with_heartbeats(discovery: &TestServer) -> Connection {
    let stream = accept_watch(discovery).0.into_stream();
    let mut heartbeats = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while heartbeats.write_all(b"1\r\n\n\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    Connection::new(stream)
}

/// A server moves while a connection to its old address is being established. Guards against writing the job there, where another
/// server may listen by now. A paused node handles both events in one turn of its event loop.
#[rstest]
fn job_is_not_written_to_the_old_address_of_a_moved_server(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] paused: bool,
) {
    let (mut server, new, discovery) = (StallableServer::new(), TestServer::new(), TestServer::new());
    server.stall_connects();
    let mut config = long_timeout_config(server.address, false);
    config["discovery"] = json!(discovery.address.to_string());
    let node = Node::start(&config);
    let mut watch = watch_with_heartbeats(&discovery);
    let mut client = send_job(&node, "a", target);
    node.logs("dispatch 1.0 to");
    server.wait_for_pending_connect();
    let mut old = None;
    if paused {
        node.set_paused(true);
        old = Some(server.accept());
    }
    watch.line(&server_list(42, false, &[entry("s-0", new.address, "active")]));
    node.set_paused(false);
    assert!(node.logs("dispatch 1.0 ended").contains("NotSent"));
    let mut backend = new.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(
        old.is_none_or(|mut old| old.ends_without_data()),
        "a job was written to the server's old address"
    );
}

/// A job arrives in the event-loop turn in which its server moves. Guards against writing it on the idle connection to the
/// server's old address.
#[rstest]
fn job_is_not_written_on_an_idle_connection_to_a_moved_server(#[values(false, true)] job_first: bool) {
    let (server, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[server.address], &discovery));
    let mut watch = watch_with_heartbeats(&discovery);
    let mut client = send_job(&node, "first", "/zone-plan");
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

/// A keyed job may have run, and the connection for its second attempt is established one second later. Guards against writing that
/// attempt after the servers' deduplication window: the client is answered instead. With a longer window the attempt is made.
#[rstest]
#[case::late(700.0, false, 503)]
#[case::late_while_paused(700.0, true, 503)]
#[case::in_time(20_000.0, false, 200)]
fn retry_is_written_only_within_the_dedup_window(
    #[case] window: f64,
    #[case] paused: bool,
    #[case] status: u16,
) {
    let mut server = StallableServer::new();
    let mut config = long_timeout_config(server.address, true);
    config["settings"]["classes"][1]["semantics"] = json!("guarded");
    config["settings"]["classes"][1]["dedup_window_ms"] = json!(window);
    let node = Node::start(&config);
    let mut client = send_job(&node, "first", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    backend.serve("first", "1");
    assert_eq!(client.message().body, "1");
    server.stall_connects();
    client.send(&keyed_job("a"));
    assert_eq!(backend.id(), "a");
    let begun = Instant::now();
    drop(backend);
    if paused {
        server.wait_for_pending_connect();
        node.set_paused(true);
    } else {
        node.logs("dispatch 2.1 to");
    }
    let mut attempts = 0;
    while client.is_silent_for(Duration::from_millis(5)) {
        let Some(mut peer) = server.try_accept() else { continue };
        while paused && begun.elapsed() < Duration::from_millis(window as u64 + 200) {
            std::thread::sleep(Duration::from_millis(10));
        }
        node.set_paused(false);
        if peer.receives_data() {
            attempts += 1;
            let request = peer.message();
            // The forwarded timeout was computed after the connection was established.
            let left = request.field("Request-Timeout").and_then(|t| t.strip_suffix('u')).unwrap();
            assert!(left.parse::<u64>().unwrap() < 29_100_000, "{left}");
            peer.serve("a", "1");
        }
    }
    assert_eq!((client.message().status(), attempts), (status, usize::from(status == 200)));
}

/// A server's response never ends, or stops half-way: the client gets one answer within its timeout, the connection is closed, and
/// the next job goes over a new one.
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
fn unfinished_response_fails_the_job_by_its_timeout(#[case] begin: &str, #[case] repeated_part: &str) {
    let (node, server) = node_with_server();
    let sent = Instant::now();
    let mut client = node.client();
    client.send(&job("a", "/actuator-cmd", "700m", ""));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.send(begin);
    let filler = "x".repeat(4_000);
    backend.trickle_until_closed(
        &repeated_part.replace("{L}", &format!("{:x}", filler.len())).replace("{X}", &filler),
    );
    assert_eq!(client.message().status(), 502);
    assert!(sent.elapsed() < Duration::from_millis(900), "{:?}", sent.elapsed());
    assert!(client.is_silent_for(Duration::from_millis(20)), "one answer");
    client.send(&job("b", "/zone-plan", "5000m", ""));
    let mut other = server.accept();
    assert_eq!(other.id(), "b");
    other.serve("b", "2");
    assert_eq!(client.message().body, "2");
}

/// A server's response goes on after the line that completes the job: the client is answered at once, and the next job goes over
/// another connection.
#[rstest]
#[case::lines("1\r\n\n\r\n")]
#[case::trailers("0\r\n")]
#[case::nothing("")]
fn unfinished_response_after_a_result_closes_the_connection(#[case] repeated_part: &str) {
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
    backend.send(repeated_part);
    backend.trickle_until_closed("X: y\r\n");
}

/// A job and the close of the idle connection that would carry it arrive while the node is paused, in either order. Guards against
/// a lost or doubled job.
#[rstest]
fn job_for_a_just_closed_connection_is_written_once(#[values(false, true)] job_first: bool) {
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

/// The response and the request's timeout, or the client's disconnect, arrive while the node is paused. Guards against a second
/// answer and a second attempt.
#[rstest]
fn response_at_the_timeout_or_disconnect_is_sent_at_most_once(
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
    #[values(false, true)] client_leaves: bool,
) {
    let (node, server) = node_with_server();
    let mut client = node.client();
    client.send(&job("a", target, "400m", ""));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    node.set_paused(true);
    if client_leaves {
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
    let mut backend = accept_job(&server, Some(backend));
    assert_eq!(backend.id(), "b");
    backend.serve("b", "2");
    assert_eq!(next.message().body, "2");
    assert!(server.has_no_connection());
}

/// An attempt that has not started is cancelled after a quarter of the deadline; here its response arrives while the node is paused
/// over that time. The response is used, or dropped and the job, which is safe to repeat, attempted once more.
#[rstest]
fn response_at_the_cancellation_is_sent_once() {
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

/// Returns the seconds within the minute of a log line's timestamp.
pub fn log_seconds(line: &str) -> f64 {
    line[17..26].parse().unwrap()
}

/// A second response to a job arrives just after a keyed job was written on the same connection. Guards against taking it as proof
/// that the keyed job never ran. Rounds repeat until the node has read both responses close enough together to confuse them.
#[rstest]
fn second_response_does_not_prove_that_a_keyed_job_never_ran() {
    let window = Duration::from_millis(300);
    for round in 0..50 {
        let server = TestServer::new();
        let mut config = long_timeout_config(server.address, false);
        config["settings"]["classes"][1]["semantics"] = json!("guarded");
        config["settings"]["classes"][1]["dedup_window_ms"] = json!(window.as_millis() as f64);
        let node = Node::start(&config);
        let mut first = send_job(&node, "a", "/zone-plan");
        let mut backend = server.accept();
        assert_eq!(backend.id(), "a");
        let mut client = node.client();
        client.send(&keyed_job("b"));
        // The answer to the health check shows that the keyed job was read; it is queued, as the server has a job not started.
        let mut health = node.client();
        health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(health.message().status(), 200);
        // No report that the first job started, which would dispatch the keyed one on another connection.
        backend.begin();
        backend.finish("a", "1");
        assert_eq!(backend.id(), "b");
        let written = Instant::now();
        backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(first.message().body, "1");
        let lines = ["dispatch 1.0 ended", "dispatch 2.0 ended"].map(|text| node.logs(text));
        if (log_seconds(&lines[1]) - log_seconds(&lines[0])).rem_euclid(60.0) > 0.025 {
            continue;
        }
        let mut open_connection = Some(backend);
        while client.is_silent_for(Duration::from_millis(5)) {
            let Some(peer) = &mut open_connection else {
                open_connection = server.try_accept();
                continue;
            };
            if peer.is_silent_for(Duration::from_millis(1)) {
                continue;
            }
            if !peer.receives_data() {
                open_connection = None;
                continue;
            }
            assert_eq!(peer.id(), "b");
            assert!(written.elapsed() < window, "retried after {:?}", written.elapsed());
            peer.serve("b", "2");
        }
        println!("round {round}");
        return;
    }
    panic!("no round produced the order of events");
}

/// A server reports that it did not serve a job. One returned unstarted is always retried; one lost, only if it is free to repeat
/// or servers deduplicate it by its key. `Not-Started` is honoured only with status 503.
#[rstest]
fn unserved_job_is_retried_only_if_it_is_safe_to_repeat(
    #[values("free", "guarded", "single_shot")] semantics: &str,
    #[values("returned", "lost", "503", "200")] outcome: &str,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["settings"]["classes"][1]["semantics"] = json!(semantics);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&keyed_job("a"));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    match outcome {
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
    let never_ran = ["returned", "503"].contains(&outcome);
    if never_ran || semantics != "single_shot" {
        let mut backend = accept_job(&server, Some(backend));
        assert_eq!(backend.id(), "a");
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
    } else {
        assert_eq!(client.message().status(), 502);
        assert!(backend.is_silent_for(Duration::from_millis(20)) && server.has_no_connection());
    }
}

/// The setting that lets servers return jobs they had started is changed while an attempt is in flight. Guards against a retry of a
/// returned job where that setting held when the attempt was sent, or holds now.
#[rstest]
#[case::no_longer(true, false)]
#[case::from_now_on(false, true)]
fn job_returned_after_a_reload_is_not_retried(#[case] before: bool, #[case] after: bool) {
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
    node.logs("new settings are in force");
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    while client.is_silent_for(Duration::from_millis(5)) {
        assert!(server.has_no_connection(), "a job that may have run was sent again");
    }
    assert_eq!(client.message().status(), 502);
}
