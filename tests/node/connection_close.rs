//! How client connections close, from either side: clients that disconnect after pipelining requests, and bytes that arrive while
//! the node closes a connection.

use crate::support::*;
use crate::{node_with_server, HEAD};
use rstest::rstest;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{connect, connect_unspec, socket_with, AddressFamily, SocketFlags, SocketType};
use serde_json::json;
use shorepath::net::close_reason::CloseReason;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const HEALTH_REQUEST: &str = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";

/// Formats a job with a timeout of 60 s.
fn long_timeout_job(id: &str, body: &str) -> String {
    job(id, "/zone-plan", "60000m", body)
}

fn pipelined_jobs(count: usize) -> String {
    (0..count).map(|k| long_timeout_job(&format!("early-{k}"), "")).collect()
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    /// Shuts down its sending side and keeps the connection open for reading.
    StopSending,
    Reset,
    /// Closes without reading an answer, which resets the connection.
    CloseWithUnreadAnswer,
}

impl Disconnect {
    /// Disconnects the client at once. Dropping the stream is not enough where a process that another test is starting still holds
    /// the socket. Returns the stream if the client stays connected for reading, which the caller must keep.
    fn apply(self, client: TcpStream) -> Option<TcpStream> {
        match self {
            Disconnect::Close => client.shutdown(Shutdown::Both).unwrap(),
            Disconnect::StopSending => client.shutdown(Shutdown::Write).unwrap(),
            Disconnect::Reset => connect_unspec(&client).unwrap(),
            Disconnect::CloseWithUnreadAnswer => {}
        }
        matches!(self, Disconnect::StopSending).then_some(client)
    }
}

/// Asserts that the node notices the client's disconnect, and does not retry its job once the attempt in flight is rejected.
fn assert_disconnect_prevents_retry(node: &Node, mut backend: Connection) {
    assert_client_close_logged(node);
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    assert_unused_until_closed(node, backend);
}

fn assert_client_close_logged(node: &Node) {
    let line = node.logs("end frontend");
    assert!(line.contains("reason=peer-broke"), "{line}");
}

/// Asserts that no further request arrives over a connection to the server, and closes it.
fn assert_unused_until_closed(node: &Node, mut backend: Connection) {
    assert!(backend.is_silent_for(Duration::from_millis(20)));
    drop(backend);
    node.logs("end backend");
}

/// Asserts that the next request that reaches the server is that of a new client: nothing of the earlier ones was forwarded.
fn assert_only_next_job_arrives(node: &Node, server: &TestServer) {
    let mut client = node.send_job("next", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "next");
    backend.serve("next", "1");
    assert_eq!(client.message().body, "1");
    assert!(server.has_no_connection());
}

/// A client disconnects while its first job is in flight and more input behind it has been read. Guards against retrying that job
/// and forwarding the others.
#[rstest]
#[case::one(pipelined_jobs(1))]
#[case::two(pipelined_jobs(2))]
#[case::two_hundred(pipelined_jobs(200))]
#[case::half_a_request(pipelined_jobs(1) + "POST /zone-plan HTT")]
#[case::half_a_body(pipelined_jobs(1) + long_timeout_job("half", "0123456789").trim_end_matches("89"))]
#[case::malformed("hello\r\n\r\n".to_string())]
#[case::malformed_later(pipelined_jobs(3) + "hello\r\n\r\n")]
#[case::expects(format!("POST /zone-plan HTTP/1.1\r\n{HEAD}Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"))]
fn disconnect_is_noticed_behind_pipelined_requests(
    #[case] pipelined: String,
    #[values(
        Disconnect::Close,
        Disconnect::StopSending,
        Disconnect::Reset,
        Disconnect::CloseWithUnreadAnswer
    )]
    disconnect: Disconnect,
) {
    let (node, server) = node_with_server();
    let mut client = TcpStream::connect(node.address).unwrap();
    let first_request =
        if matches!(disconnect, Disconnect::CloseWithUnreadAnswer) { HEALTH_REQUEST } else { "" };
    client
        .write_all(format!("{first_request}{}{pipelined}", long_timeout_job("first", "")).as_bytes())
        .unwrap();
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    let _half_open = disconnect.apply(client);
    assert_disconnect_prevents_retry(&node, backend);
    assert_only_next_job_arrives(&node, &server);
}

/// A client's requests and its disconnect arrive before the node reads any of them. Guards against forwarding those requests.
#[rstest]
#[case::nothing(String::new())]
#[case::one(pipelined_jobs(1))]
#[case::two_hundred(pipelined_jobs(200))]
#[case::half_a_request("POST /zone-plan HTT".to_string())]
#[case::malformed("hello\r\n\r\n".to_string())]
fn disconnect_read_together_with_requests_drops_them(
    #[case] pipelined: String,
    #[values(Disconnect::Close, Disconnect::StopSending, Disconnect::Reset)] disconnect: Disconnect,
    #[values(false, true)] opened_before: bool,
) {
    let (node, server) = node_with_server();
    let open = || TcpStream::connect(node.address).unwrap();
    let mut earlier = opened_before.then(|| Connection::new(open()));
    if let Some(client) = &mut earlier {
        client.send(HEALTH_REQUEST);
        assert_eq!(client.message().status(), 200);
    }
    node.set_paused(true);
    let mut client = earlier.map_or_else(open, Connection::into_stream);
    client.write_all(format!("{}{pipelined}", long_timeout_job("first", "")).as_bytes()).unwrap();
    let _half_open = disconnect.apply(client);
    node.set_paused(false);
    assert_client_close_logged(&node);
    assert_only_next_job_arrives(&node, &server);
}

/// A client pipelines more input behind its first job than one read or the sockets' buffers take. Guards against missing the
/// disconnect after it, and retrying the job of a client that has gone.
#[rstest]
#[case::three_large_requests(&[60_000, 60_000, 30_000])]
#[case::hundreds_of_requests(&[1_000; 300])]
#[case::many_large_requests(&[60_000; 14])]
fn disconnect_is_noticed_behind_more_than_is_read_ahead(
    #[case] bodies: &[usize],
    #[values(Disconnect::Close, Disconnect::StopSending, Disconnect::Reset)] disconnect: Disconnect,
    #[values(false, true)] at_once: bool,
) {
    let (node, server) = node_with_server();
    let bodies = bodies.iter().map(|length| "x".repeat(*length));
    let pipelined: String =
        bodies.enumerate().map(|(k, b)| long_timeout_job(&format!("early-{k}"), &b)).collect();
    let mut client = TcpStream::connect(node.address).unwrap();
    client.write_all(long_timeout_job("first", "").as_bytes()).unwrap();
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    node.set_paused(at_once);
    client.write_all(pipelined.as_bytes()).unwrap();
    if !at_once {
        // Gives the node time to read as much as it does ahead.
        assert!(backend.is_silent_for(Duration::from_millis(100)));
    }
    let _half_open = disconnect.apply(client);
    node.set_paused(false);
    assert_disconnect_prevents_retry(&node, backend);
    assert_only_next_job_arrives(&node, &server);
}

/// A client sends more behind a job than the node holds, so that its end can't be noticed. Guards against further attempts of the
/// job, and against a client that waits for its answers. With `at_once` everything arrives before the job is read.
#[rstest]
fn client_that_sends_more_than_is_held_gets_one_answer_and_no_retry(#[values(false, true)] at_once: bool) {
    let (node, server) = node_with_server();
    let pipelined: String =
        (0..50).map(|k| long_timeout_job(&format!("early-{k}"), &"x".repeat(60_000))).collect();
    let stream = TcpStream::connect(node.address).unwrap();
    let mut writes = stream.try_clone().unwrap();
    let mut client = Connection::new(stream);
    node.set_paused(at_once);
    client.send(&long_timeout_job("first", ""));
    let backend = (!at_once).then(|| server.accept());
    std::thread::spawn(move || writes.write_all(pipelined.as_bytes()));
    if at_once {
        std::thread::sleep(Duration::from_millis(100));
        node.set_paused(false);
    }
    let answer = client.message();
    // The job may have run once it was sent.
    let status = if at_once { 503 } else { 502 };
    assert_eq!((answer.status(), answer.field("Connection")), (status, Some("close")));
    assert!(client.is_closed());
    let line = node.logs("end frontend");
    assert!(line.contains("reason=overrun messages=1"), "{line}");
    if let Some(mut backend) = backend {
        assert_eq!(backend.id(), "first");
        backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        assert_unused_until_closed(&node, backend);
    }
    assert_only_next_job_arrives(&node, &server);
}

/// Guards against losing, reordering or changing pipelined requests, however many and large they are.
#[rstest]
#[case::many_without_body(200, 0)]
#[case::few_with_large_bodies(8, 60_000)]
#[case::some_with_medium_bodies(40, 5_000)]
fn pipelined_requests_are_answered_in_order(#[case] count: usize, #[case] length: usize) {
    let (node, server) = node_with_server();
    let body = |k: usize| format!("{k:05}").chars().cycle().take(length).collect::<String>();
    let text: String = (0..count).map(|k| long_timeout_job(&format!("early-{k}"), &body(k))).collect();
    let stream = TcpStream::connect(node.address).unwrap();
    let mut writes = stream.try_clone().unwrap();
    std::thread::spawn(move || text.as_bytes().chunks(7_001).try_for_each(|chunk| writes.write_all(chunk)));
    let mut client = Connection::new(stream);
    let mut backend = server.accept();
    for k in 0..count {
        let request = backend.message();
        assert_eq!(request.field("Request-Id"), Some(format!("early-{k}").as_str()));
        assert!(request.body == body(k), "the body of {k} has changed");
        if k % 7 == 0 {
            // Gives the node time to read further requests.
            assert!(client.is_silent_for(Duration::from_millis(20)));
        }
        backend.serve(&format!("early-{k}"), &k.to_string());
        assert_eq!(client.message().body, k.to_string());
    }
    assert!(server.has_no_connection());
}

/// Input that cannot be parsed closes its connection, after the answers to the requests before it.
#[rstest]
#[case::malformed("hello\r\n\r\n", 400)]
#[case::unknown("GET /other HTTP/1.1\r\nHost: h\r\n\r\n", 404)]
#[case::too_long("POST /zone-plan HTTP/1.1\r\nHost: h\r\nContent-Length: 65537\r\n\r\n", 413)]
fn bad_input_after_a_job_is_answered_after_its_result(#[case] pipelined: &str, #[case] status: u16) {
    let (node, server) = node_with_server();
    let mut client = node.client();
    client.send(&format!("{}{pipelined}{}", long_timeout_job("good", ""), long_timeout_job("never", "")));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "good");
    backend.serve("good", "1");
    assert_eq!(client.message().body, "1");
    let answer = client.message();
    assert_eq!((answer.status(), answer.field("Connection")), (status, Some("close")));
    assert!(client.is_closed());
    assert_unused_until_closed(&node, backend);
    assert_only_next_job_arrives(&node, &server);
}

/// Guards against forwarding requests that follow the one whose answer carries `Connection: close`, pipelined or sent after the
/// close.
#[rstest]
#[case::close("HTTP/1.1", "Connection: close\r\n")]
#[case::older("HTTP/1.0", "")]
fn requests_after_the_last_answer_are_dropped(
    #[case] version: &str,
    #[case] field: &str,
    #[values(false, true)] pipelined: bool,
) {
    let (node, server) = node_with_server();
    let mut client = node.client();
    let last = long_timeout_job("last", "").replace("HTTP/1.1\r\n", &format!("{version}\r\n{field}"));
    client.send(&(last + if pipelined { long_timeout_job("behind", "") } else { String::new() }.as_str()));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "last");
    backend.serve("last", "1");
    let answer = client.message();
    assert_eq!((answer.body.as_str(), answer.field("Connection")), ("1", Some("close")));
    assert!(client.is_closed());
    client.send(&long_timeout_job("after", ""));
    drop(client);
    node.logs("reason=last-message messages=1");
    assert_unused_until_closed(&node, backend);
    assert_only_next_job_arrives(&node, &server);
}

/// Connects a client with a small receive buffer, so that most of an unread answer stays at the node.
fn client_with_small_receive_buffer(address: SocketAddr) -> Connection {
    let flags = SocketFlags::CLOEXEC;
    let socket = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None).unwrap();
    set_socket_recv_buffer_size(&socket, 4_096).unwrap();
    connect(&socket, &address).unwrap();
    Connection::new(TcpStream::from(socket))
}

/// Bytes arrive on a connection that the node has just closed, while its last answer is not delivered yet. Guards against a reset
/// that truncates that answer, and against forwarding the bytes.
#[rstest]
fn bytes_after_a_close_do_not_truncate_the_last_answer(
    #[values(
        CloseReason::LastMessage,
        CloseReason::Malformed,
        CloseReason::TooSlow,
        CloseReason::Drained,
        CloseReason::Shutdown
    )]
    close_reason: CloseReason,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let node = Node::start(&config);
    let mut client = client_with_small_receive_buffer(node.address);
    let (first, pipelined) = match close_reason {
        CloseReason::LastMessage => {
            (long_timeout_job("a", "").replace("Host:", "Connection: close\r\nHost:"), "")
        }
        CloseReason::Malformed => (long_timeout_job("a", ""), "hello\r\n\r\n"),
        CloseReason::TooSlow => (long_timeout_job("a", ""), "POST /zone-plan HTT"),
        _ => (long_timeout_job("a", ""), ""),
    };
    client.send(&(first + pipelined));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    let result = "0123456789".repeat(6_000);
    backend.serve("a", &result);
    // The client has received part of the answer, and its buffer is full.
    assert!(!client.is_silent_for(TEST_TIMEOUT));
    let mut idle_client = node.client();
    if close_reason == CloseReason::TooSlow {
        idle_client.send(pipelined);
    }
    match close_reason {
        CloseReason::Drained => assert_eq!(node.call("POST", "/ops/drain/start"), 200),
        CloseReason::Shutdown => node.terminate(),
        _ => {}
    }
    // The close of another idle connection shows that the node has closed this one, too.
    match close_reason {
        CloseReason::TooSlow => assert_eq!(idle_client.message().status(), 408),
        CloseReason::Drained | CloseReason::Shutdown => assert!(idle_client.is_closed()),
        _ => {}
    }
    for _ in 0..20 {
        let _ = client.try_send(&long_timeout_job("behind", ""));
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(client.message().body == result, "the answer is not complete");
    match close_reason {
        CloseReason::Malformed => assert_eq!(client.message().status(), 400),
        CloseReason::TooSlow => assert_eq!(client.message().status(), 408),
        _ => {}
    }
    assert!(client.is_closed());
    assert!(backend.is_silent_for(Duration::from_millis(20)) && server.has_no_connection());
}

/// A full node evicts a connection whose last answer is mostly undelivered, idle or with half a request on it. Guards against a
/// truncated answer.
#[rstest]
#[case::idle("")]
#[case::half_a_request("POST /zone-plan HTT")]
fn evicted_connection_delivers_its_complete_answer(#[case] pipelined: &str) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(70);
    config["settings"]["projects"][0]["quota_rps"] = json!(1000.0);
    let node = Node::start(&config);
    let mut client = client_with_small_receive_buffer(node.address);
    client.send(&(long_timeout_job("a", "") + pipelined));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    let result = "0123456789".repeat(6_000);
    backend.serve("a", &result);
    assert!(!client.is_silent_for(TEST_TIMEOUT));
    // All other connections have pending jobs, so this one is evicted.
    let _held: Vec<Connection> = (0..20).map(|k| node.send_job(&format!("held-{k}"), "/zone-plan")).collect();
    node.logs("reason=evicted messages=1");
    assert!(client.message().body == result, "the answer is not complete");
    assert!(client.is_closed());
}

/// Starts a node with an operators' address and one backend server.
fn node_with_admin_address() -> (Node, TestServer) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    (Node::start(&config), server)
}

/// A request arrives on an idle connection at the moment the drain closes it: a complete one is served, and a partial one gets the
/// usual request timeout.
#[rstest]
fn request_arriving_as_the_drain_closes_its_connection_is_answered(#[values(false, true)] complete: bool) {
    let (node, server) = node_with_admin_address();
    let mut client = node.client();
    client.send(HEALTH_REQUEST);
    assert_eq!(client.message().status(), 200);
    assert_eq!(node.call("POST", "/ops/drain/start"), 200);
    node.set_paused(true);
    let text = long_timeout_job("a", "");
    client.send(if complete { &text } else { &text[..40] });
    // The drain's time for closing idle connections passes.
    assert!(client.is_silent_for(Duration::from_millis(900)));
    node.set_paused(false);
    let resumed_at = Instant::now();
    if complete {
        let mut backend = server.accept();
        assert_eq!(backend.id(), "a");
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
    } else {
        assert_eq!(client.message().status(), 408);
        assert!(resumed_at.elapsed() < Duration::from_secs(3), "{:?}", resumed_at.elapsed());
    }
    assert!(client.is_closed());
}

/// A request arrives just before the answer that is to be the last on its connection is written. Guards against dropping it.
#[rstest]
fn request_arriving_with_the_last_answer_is_answered(#[values(false, true)] shuts_down: bool) {
    let (node, server) = node_with_admin_address();
    let mut idle_client = node.client();
    idle_client.send(HEALTH_REQUEST);
    assert_eq!(idle_client.message().status(), 200);
    let mut client = node.send_job("first", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    backend.begin();
    backend.state("first", "started");
    if shuts_down {
        node.terminate();
    } else {
        assert_eq!(node.call("POST", "/ops/drain/start"), 200);
    }
    // The close of an idle connection shows that the node closes connections from now on.
    assert!(idle_client.is_closed());
    node.set_paused(true);
    backend.finish("first", "1");
    client.send(&job("second", "/zone-plan", "5000m", ""));
    node.set_paused(false);
    assert_eq!(client.message().body, "1");
    assert_eq!(backend.id(), "second");
    backend.serve("second", "2");
    let answer = client.message();
    assert_eq!((answer.body.as_str(), answer.field("Connection")), ("2", Some("close")));
    assert!(client.is_closed());
}

/// A node without free descriptors is paused beyond the time after which a slow request's connection may be evicted, and more of
/// that request arrives meanwhile. Guards against evicting it.
#[rstest]
#[case::complete(usize::MAX)]
#[case::one_byte(1)]
fn connection_with_new_bytes_is_not_evicted(#[case] resumed_bytes: usize) {
    let server = TestServer::new();
    let node = Node::start(&config(&[server.address]));
    // Set after the start: the node would otherwise limit its connections accordingly and never run out of descriptors.
    node.limit_descriptors(32);
    let mut first = node.client();
    first.send(&long_timeout_job("first", ""));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    let text = long_timeout_job("slow", "");
    let (mut slow_client, mut sent) = (node.client(), 0_usize);
    let mut send_piece = |slow_client: &mut Connection, length: usize| {
        let end = sent.saturating_add(length).min(text.len());
        slow_client.send(&text[sent..end]);
        sent = end;
    };
    send_piece(&mut slow_client, 1);
    // Connections with pending jobs can't be evicted, and there are more of them than descriptors. The jobs stay pending, as the
    // server has one that has not started.
    let _held: Vec<Connection> = (0..32).map(|k| node.send_job(&format!("held-{k}"), "/zone-plan")).collect();
    for _ in 0..4 {
        node.logs("could not accept a connection: ");
        send_piece(&mut slow_client, 1);
        assert!(slow_client.is_silent_for(Duration::from_millis(10)));
    }
    node.set_paused(true);
    send_piece(&mut slow_client, resumed_bytes);
    assert!(slow_client.is_silent_for(Duration::from_millis(600)));
    node.set_paused(false);
    // An eviction would happen within this time.
    assert!(slow_client.is_silent_for(Duration::from_millis(100)), "the connection was evicted");
    send_piece(&mut slow_client, usize::MAX);
    backend.serve("first", "1");
    assert_eq!(first.message().body, "1");
    serve_with_id_as_result(backend, server);
    // The node may lack a descriptor for the connection to the server.
    let answer = slow_client.message();
    assert!((answer.status(), answer.body.as_str()) == (200, "slow") || answer.status() == 503, "{answer:?}");
}

/// Several clients connect to a full node at once, while an eviction takes one more turn of the event loop to look for unread bytes.
/// Guards against evicting more connections than there are newcomers.
#[rstest]
fn one_idle_connection_is_evicted_for_each_newcomer() {
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(70);
    let node = Node::start(&config);
    let answered = |client: &mut Connection| {
        let sent = client.try_send(HEALTH_REQUEST);
        sent && client.receives_data() && client.message().status() == 200
    };
    let mut clients: Vec<Connection> = (0..40).map(|_| node.client()).collect();
    clients.retain_mut(answered);
    // The last connection to be evicted may have to be idle for a moment first.
    assert!(clients.last_mut().unwrap().is_silent_for(Duration::from_millis(100)));
    clients.retain_mut(answered);
    let count_before = clients.len();
    node.set_paused(true);
    let mut newcomers: Vec<Connection> = (0..5).map(|_| node.client()).collect();
    newcomers.iter_mut().for_each(|client| client.send(HEALTH_REQUEST));
    node.set_paused(false);
    for client in &mut newcomers {
        assert_eq!(client.message().status(), 200);
    }
    assert!(newcomers.last_mut().unwrap().is_silent_for(Duration::from_millis(100)));
    clients.retain_mut(answered);
    newcomers.retain_mut(answered);
    assert_eq!(clients.len() + newcomers.len(), count_before);
}

/// Serves every request on `first` and on new connections, with its id as the result.
fn serve_with_id_as_result(first: Connection, server: TestServer) {
    let serve = |mut peer: Connection| {
        while peer.receives_data() {
            let id = peer.id();
            peer.serve(&id, &id);
        }
    };
    std::thread::spawn(move || serve(first));
    server.handle_connections(serve);
}
