//! Two events that happen at once: each test forces the order in which they would do harm.

use crate::operators::wait_for_handover_socket;
use crate::support::*;
use crate::{accept_watch, config_with_discovery, node_with_server, serve_complete_list, server_list, HEAD};
use rstest::rstest;
use serde_json::{json, Value};
use shorepath::net::deadlines::Deadlines;
use shorepath::net::exchange::Exchange;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A named pipe in place of a node's configuration file: a reload blocks until the configuration is written to it.
struct ConfigPipe(std::fs::File);

impl ConfigPipe {
    fn install(node: &Node) {
        std::fs::remove_file(node.config_path()).unwrap();
        assert!(std::process::Command::new("mkfifo").arg(node.config_path()).status().unwrap().success());
    }

    /// Returns once the node has opened the pipe, and so blocks in the reload.
    fn wait_for_reload(node: &Node) -> ConfigPipe {
        ConfigPipe(std::fs::OpenOptions::new().write(true).open(node.config_path()).unwrap())
    }

    /// Lets the node finish the reload with this configuration.
    fn write(mut self, config: &Value) {
        self.0.write_all(config.to_string().as_bytes()).unwrap();
    }
}

/// Guards against judging a pipelined job by two sets of settings when a reload comes between parsing and accepting it. Two reloads
/// that change nothing hold the node until the job is readable and the signal for the third reload is pending.
#[rstest]
#[case::class_becomes_keyed("zone-plan", "guarded", 400)]
#[case::class_is_removed("vent-plan", "single_shot", 404)]
fn job_read_during_a_reload_is_judged_by_the_new_settings(
    #[case] name: &str,
    #[case] semantics: &str,
    #[case] status: u16,
) {
    let server = TestServer::new();
    let mut before = config(&[server.address]);
    // No attempt is cancelled, however long the signals take.
    before["settings"]["allowed"]["cancel"] = json!(false);
    let mut after = before.clone();
    after["settings"]["classes"][0]["name"] = json!(name);
    after["settings"]["classes"][0]["semantics"] = json!(semantics);
    let node = Node::start(&before);
    let mut client = node.send_job("first", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    ConfigPipe::install(&node);
    node.reload();
    let first = ConfigPipe::wait_for_reload(&node);
    backend.serve("first", "1");
    client.send(&job("early", "/zone-plan", "1000m", ""));
    node.reload();
    ConfigPipe::install(&node);
    first.write(&before);
    let second = ConfigPipe::wait_for_reload(&node);
    node.reload();
    std::fs::remove_file(node.config_path()).unwrap();
    node.replace_config(&after.to_string());
    second.write(&before);
    let lines = node.logs_until("new settings are in force");
    assert_eq!(client.message().body, "1");
    assert_eq!(client.message().status(), status, "{lines:#?}");
    assert!(
        backend.ends_without_data() && server.has_no_connection(),
        "the job was sent by another class's settings"
    );
}

/// A client sends a job on an idle connection and disconnects, both after the node was notified of the bytes and before it reads
/// them. Guards against writing the job on an idle connection to the server.
#[rstest]
fn job_is_not_forwarded_if_its_client_leaves_before_it_is_read(#[values(false, true)] resets: bool) {
    let server = TestServer::new();
    let config = config(&[server.address]);
    let node = Node::start(&config);
    let mut client = node.send_job("first", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    backend.serve("first", "1");
    assert_eq!(client.message().body, "1");
    ConfigPipe::install(&node);
    node.reload();
    let first = ConfigPipe::wait_for_reload(&node);
    client.send(&job("gone", "/zone-plan", "5000m", ""));
    node.reload();
    ConfigPipe::install(&node);
    first.write(&config);
    let second = ConfigPipe::wait_for_reload(&node);
    let disconnected = client.into_stream();
    if resets {
        rustix::net::connect_unspec(&disconnected).unwrap();
    } else {
        disconnected.shutdown(std::net::Shutdown::Both).unwrap();
    }
    std::fs::remove_file(node.config_path()).unwrap();
    node.replace_config(&config.to_string());
    second.write(&config);
    node.logs("end frontend");
    let mut next = node.send_job("next", "/zone-plan");
    assert_eq!(backend.id(), "next");
    backend.serve("next", "2");
    assert_eq!(next.message().body, "2");
    assert!(server.has_no_connection());
}

/// Two reloads in a row name two other discovery addresses. Guards against using a list of the earlier ones.
#[rstest]
fn two_discovery_changes_in_a_row_end_at_the_last_one() {
    let (server, other, last) = (TestServer::new(), TestServer::new(), TestServer::new());
    let (first, second, third) = (TestServer::new(), TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[server.address], &first);
    let node = Node::start(&config);
    let (mut before, _) = accept_watch(&first);
    before.line(&server_list(42, true, &[entry("s-0", server.address, "active")]));
    node.logs("server table 42");
    ConfigPipe::install(&node);
    node.reload();
    let pipe = ConfigPipe::wait_for_reload(&node);
    let other_list = server_list(50, true, &[entry("s-other", other.address, "active")]);
    before.line(&other_list);
    node.reload();
    config["discovery"] = json!(second.address.to_string());
    let moved = config.clone();
    config["discovery"] = json!(third.address.to_string());
    std::fs::remove_file(node.config_path()).unwrap();
    node.replace_config(&config.to_string());
    pipe.write(&moved);
    second.handle_connections(move |mut peer| {
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{other_list}", other_list.len());
        while peer.try_send(&response) && peer.receives_data() {
            peer.message();
        }
    });
    let mut new_watch =
        serve_complete_list(&third, &server_list(7, true, &[entry("s-last", last.address, "active")]));
    assert_eq!(new_watch.message().first, "GET /catalog/members?watch=1&from=7 HTTP/1.1");
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = last.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(other.has_no_connection() && first.has_no_connection());
}

/// A future that is polled in one task and moved to another must wake the latter.
#[rstest]
fn deadline_wakes_the_task_that_polled_it_last() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let all = Rc::new(Deadlines::default());
        let sweeping = all.clone();
        tokio::task::spawn_local(async move { sweeping.sweep().await });
        for ahead in [0, 1, 30] {
            let mut due = Box::pin(all.after(ms(ahead)));
            let mut polled = Some(&mut due);
            std::future::poll_fn(|cx| {
                let _ = polled.take().map(|due| due.as_mut().poll(cx));
                std::task::Poll::Ready(())
            })
            .await;
            let late = all.after(Duration::from_secs(9));
            tokio::task::spawn_local(async move {
                tokio::select! {
                    () = due => {}
                    () = late => panic!("the task was never woken"),
                }
            })
            .await
            .unwrap();
        }
    });
}

/// Half of a second response arrives on an idle connection, before or together with the next job. Guards against sending that job on
/// this connection, where the rest of the response would be taken for its own.
#[rstest]
fn half_a_second_response_is_not_taken_for_the_next_jobs(#[values(false, true)] at_once: bool) {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    // Long enough that the connection counts as idle.
    assert!(client.is_silent_for(ms(60)));
    node.set_paused(true);
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nX-No");
    if !at_once {
        node.set_paused(false);
        let mut health = node.client();
        health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(health.message().status(), 200);
    }
    client.send(&job("b", "/actuator-cmd", "5000m", ""));
    node.set_paused(false);
    let mut other = server.accept();
    assert_eq!(other.id(), "b");
    assert!(!backend.receives_data(), "the job was written on the connection with half a response");
    other.serve("b", "2");
    assert_eq!(client.message().body, "2");
    node.logs("reason=malformed messages=1");
    assert!(server.has_no_connection());
}

/// Returns a configuration of one of `replicas` nodes, which requests its lists from discovery.
fn replicated_node_config(server: SocketAddr, discovery: &TestServer, replicas: u32) -> Value {
    let mut config = config_with_discovery(&[server], discovery);
    config["settings"]["replicas_of_me"] = json!(replicas);
    config["settings"]["discovery"] = json!("on_request");
    config
}

/// Discovery sends a list while the node is paused for longer than the watch's timeout. Guards against closing the watch before the
/// list is read.
#[rstest]
fn list_received_while_paused_is_read_before_the_watch_times_out(#[values(1, 20, 300)] replicas: u32) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&replicated_node_config(server.address, &discovery, replicas));
    let (mut watch, _) = accept_watch(&discovery);
    watch.line(&server_list(42, true, &[entry("s-0", server.address, "active")]));
    node.logs("server table 42");
    node.set_paused(true);
    watch.line(&server_list(43, false, &[entry("s-0", server.address, "leaving")]));
    std::thread::sleep(ms(2_600));
    node.set_paused(false);
    let lines = node.logs_until("server table 43");
    assert!(lines.iter().all(|l| !l.contains("end server-table")), "{lines:?}");
    // The watch stays open.
    watch.line(&server_list(44, false, &[entry("s-0", server.address, "active")]));
    let lines = node.logs_until("server table 44");
    assert!(lines.iter().all(|l| !l.contains("end server-table")), "{lines:?}");
}

/// Opens clients with incomplete request bodies, large ones first, until not even a small request is accepted for lack of memory.
fn fill_body_memory(node: &Node) -> Vec<Connection> {
    let lengths = std::iter::successors(Some(65_500), |length| Some(length / 2).filter(|length| *length > 4));
    let mut held = Vec::new();
    for length in lengths.flat_map(|length| [length; 3]) {
        let mut client = node.client();
        let head = HEAD.replace("Request-Id: a", &format!("Request-Id: held-{}", held.len()));
        let body = "x".repeat(length);
        client.send(&format!("POST /zone-plan HTTP/1.1\r\n{head}Content-Length: 65536\r\n\r\n{body}"));
        held.push(client);
        let mut one_more = node.client();
        one_more.send(&job("more", "/no-such-class", "400m", "x"));
        if one_more.message().status() == 503 {
            return held;
        }
    }
    panic!("the memory is not full");
}

/// Guards against rejecting a server's response while incomplete request bodies take all memory meant for them.
#[rstest]
fn partial_bodies_leave_memory_for_responses() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["memory_mb"] = json!(1);
    let node = Node::start(&config);
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    let _held = fill_body_memory(&node);
    let result = "y".repeat(50_000);
    backend.serve("a", &result);
    let answer = client.message();
    assert!((answer.status(), answer.body.len()) == (200, result.len()), "{}", answer.status());
}

/// Guards against rejecting a discovery list while incomplete request bodies and responses take all memory meant for them.
#[rstest]
fn partial_bodies_and_responses_leave_memory_for_discovery() {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[server.address], &discovery);
    config["limits"]["memory_mb"] = json!(1);
    let node = Node::start(&config);
    let (mut watch, _) = accept_watch(&discovery);
    let _client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    let _held = fill_body_memory(&node);
    // Half a line: with the bodies it leaves less than one list of the quarter of 1 MiB that partial input may take.
    backend.begin();
    backend.send(&format!("ffff\r\n{}", "y".repeat(65_500)));
    let mut health = node.client();
    health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(health.message().status(), 200);
    watch.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    let lines = node.logs_until("server table 42");
    assert!(lines.iter().all(|l| !l.contains("no memory is left for a part")), "{lines:?}");
}

/// Idle clients take all descriptors while discovery is down and jobs are in flight. Guards against losing the reconnect to
/// discovery, operators' calls, or the connections for new jobs.
#[rstest]
fn idle_clients_leave_descriptors_while_discovery_is_down(#[values("pushed", "on_request")] lists: &str) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let other = TestServer::new();
    let mut config = config_with_discovery(&[server.address], &discovery);
    let members = [entry("s-0", server.address, "leaving"), entry("s-new", other.address, "active")];
    let discovery_is_up = Arc::new(AtomicBool::new(false));
    discovery.handle_connections({
        let (discovery_is_up, list) = (discovery_is_up.clone(), server_list(42, true, &members));
        move |mut peer| {
            if !discovery_is_up.load(Ordering::Relaxed) {
                return peer.reset_after_data();
            }
            peer.message();
            peer.begin();
            peer.line(&list);
            while peer.is_silent_for(ms(500)) {
                peer.line("");
            }
        }
    });
    config["settings"]["discovery"] = json!(lists);
    config["settings"]["allowed"]["cancel"] = json!(false);
    config["mgmt"] = json!("127.0.0.1:0");
    config["limits"]["sockets"] = json!(70);
    let node = Node::start_command(&["prlimit", "--nofile=70:70", PROGRAM, "serve", "-v"], &config);
    let mut idle: Vec<Connection> = (0..60).map(|_| node.client()).collect();
    let mut held: Vec<(Connection, Connection)> = (0..4)
        .map(|k| {
            let mut client = node.client();
            client.send(&job(&format!("held-{k}"), "/zone-plan", "60000m", ""));
            (client, server.accept())
        })
        .collect();
    idle.extend((0..60).map(|_| node.client()));
    (0..3).for_each(|_| drop(node.logs("end server-table")));
    assert_eq!(node.call("GET", "/ops/readiness"), 200);
    let recovered_at = Instant::now();
    discovery_is_up.store(true, Ordering::Relaxed);
    let lines = node.logs_until("server table 42");
    assert!(
        lines.iter().all(|l| !l.contains("no-sockets") && !l.contains("could not accept a connection")),
        "{lines:?}"
    );
    assert!(recovered_at.elapsed() < Duration::from_secs(4), "{:?}", recovered_at.elapsed());
    let mut client = node.send_job("new", "/zone-plan");
    let mut backend = other.accept();
    assert_eq!(backend.id(), "new");
    backend.serve("new", "1");
    assert_eq!(client.message().body, "1");
    for (k, (client, backend)) in held.iter_mut().enumerate() {
        let id = backend.id();
        backend.serve(&id, &id);
        assert_eq!(client.message().body, format!("held-{k}"));
    }
    assert!(node.descriptors() <= 70);
    drop(idle);
}

/// Pauses a node with an operators' address and starts its successor, which waits for the handover of the listening socket. Returns
/// the old process and the new one.
fn successor_waiting_for_handover(config: &mut Value) -> (Node, Node) {
    config["mgmt"] = json!("127.0.0.1:0");
    let old = Node::start(config);
    wait_for_handover_socket(&old);
    config["listen"] = json!(old.address.to_string());
    old.set_paused(true);
    let new = Node::spawn(command(&[PROGRAM, "serve", "-v"], &config.to_string()));
    while !new.handles_sighup() {
        std::thread::yield_now();
    }
    (old, new)
}

/// The old process is killed before it has handed over its listening socket: its successor binds the address itself.
#[rstest]
fn successor_binds_the_address_of_a_process_killed_before_the_handover() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    let (mut old, new) = successor_waiting_for_handover(&mut config);
    old.signal(Signal::KILL);
    old.exit();
    let new = new.wait_until_serving();
    assert_eq!(new.address, old.address);
    let mut client = new.send_job("a", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
}

/// A simulated old process ends while its successor waits for the handover, or just before that starts. Its listening socket closes
/// last. Guards against giving up while the address is still in use.
#[rstest]
fn successor_waits_until_the_listening_socket_of_the_old_process_closes(
    #[values(false, true)] accepted_first: bool,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let clients = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = clients.local_addr().unwrap();
    config["listen"] = json!(address.to_string());
    let handover_path = handover_directory().join(format!("shorepath-{address}.sock"));
    // An earlier node may have left it.
    let _ = std::fs::remove_file(&handover_path);
    let handover_listener = std::os::unix::net::UnixListener::bind(&handover_path).unwrap();
    let new = if accepted_first {
        let new = Node::spawn(command(&[PROGRAM, "serve", "-v"], &config.to_string()));
        drop(handover_listener.accept().unwrap());
        new.logs("hands nothing over");
        drop(handover_listener);
        new
    } else {
        drop(handover_listener);
        Node::spawn(command(&[PROGRAM, "serve", "-v"], &config.to_string()))
    };
    new.logs("is not free yet");
    drop(clients);
    let new = new.wait_until_serving();
    assert_eq!((new.address, new.call("GET", "/ops/readiness")), (address, 200));
}

/// The old process is killed after the handover of its listening socket and before its successor accepts clients. Guards against
/// refusing or losing the clients that connect in between.
#[rstest]
fn clients_connecting_after_the_old_process_is_killed_are_served() {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let mut old = Node::start(&config);
    wait_for_handover_socket(&old);
    config["listen"] = json!(old.address.to_string());
    config["discovery"] = json!(discovery.address.to_string());
    let new = Node::start(&config);
    // The successor waits for the list before it accepts clients.
    let mut silent = discovery.accept();
    silent.message();
    old.signal(Signal::KILL);
    old.exit();
    let mut client = new.send_job("a", "/zone-plan");
    silent.begin();
    silent.line(&server_list(42, true, &[entry("s-0", server.address, "active")]));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    new.logs("this process is the only one of the node");
}

/// The successor is killed before it accepts clients: the old process goes on serving, and can be replaced again.
#[rstest]
fn old_process_goes_on_after_its_successor_is_killed() {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let old = Node::start(&config);
    wait_for_handover_socket(&old);
    config["listen"] = json!(old.address.to_string());
    config["discovery"] = json!(discovery.address.to_string());
    for k in 0..3 {
        let new = Node::start(&config);
        let _silent = discovery.accept();
        old.logs("another process is going to take over");
        drop(new);
        old.logs("this one takes clients");
        let id = format!("{k}");
        let mut client = old.send_job(&id, "/zone-plan");
        let mut backend = server.accept();
        assert_eq!(backend.id(), id);
        backend.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        backend.send(&format!("{}\n", json!({"id": id, "state": "done", "result": "1"})));
        drop(backend);
        let answer = client.message();
        assert_eq!((answer.status(), answer.field("Connection")), (200, None));
    }
}

/// A malformed request, split anywhere, is answered with an error and closes its connection. Guards against harm to others.
#[rstest]
#[case::nul("POST /zone-plan HTTP/1.1\r\nHost: h\r\nRequest-Id: a\0b\r\n\r\n", 400)]
#[case::nul_in_target("POST /zone\0plan HTTP/1.1\r\nHost: h\r\n\r\n", 400)]
#[case::folded("POST /zone-plan HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n b\r\n\r\n", 400)]
#[case::space_before_colon("POST /zone-plan HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\nx", 400)]
#[case::absolute("POST http://h/zone-plan HTTP/1.1\r\n{H}Content-Length: 0\r\n\r\n", 404)]
#[case::negative("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: -1\r\n\r\n", 400)]
#[case::list_of_lengths("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: 1, 1\r\n\r\nx", 400)]
#[case::empty_length("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: \r\n\r\n", 400)]
#[case::chunked_twice("POST /zone-plan HTTP/1.1\r\n{H}Transfer-Encoding: chunked, chunked\r\n\r\n", 501)]
#[case::two_codings(
    "POST /zone-plan HTTP/1.1\r\n{H}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    400
)]
#[case::negative_chunk("POST /zone-plan HTTP/1.1\r\n{H}Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400)]
#[case::endless_chunk_size(
    "POST /zone-plan HTTP/1.1\r\n{H}Transfer-Encoding: chunked\r\n\r\n11111111111111111\r\n",
    400
)]
#[case::chunk_without_end("POST /zone-plan HTTP/1.1\r\n{H}Transfer-Encoding: chunked\r\n\r\n1\r\nxyz", 400)]
#[case::coding_in_1_0("POST /zone-plan HTTP/1.0\r\n{H}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400)]
fn malformed_request_closes_only_its_own_connection(#[case] text: &str, #[case] status: u16) {
    let (node, server) = node_with_server();
    let mut other = node.send_job("other", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "other");
    let text = text.replace("{H}", HEAD);
    for cut in [1, text.len() / 2, text.len() - 1, text.len()] {
        let mut client = node.client();
        client.send(&text[..cut]);
        let mut health = node.client();
        health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(health.message().status(), 200);
        let _ = client.try_send(&text[cut..]);
        let answer = client.message();
        assert_eq!((answer.status(), answer.field("Connection")), (status, Some("close")), "cut at {cut}");
        assert!(client.is_closed());
    }
    backend.serve("other", "1");
    assert_eq!(other.message().body, "1");
    assert!(server.has_no_connection());
}

/// Guards against misreading a chunked request with extensions and a trailer that arrives in two parts, split at any byte.
#[rstest]
fn chunked_request_is_read_wherever_it_is_split() {
    let (node, server) = node_with_server();
    let chunks = "4;a=\"b\"\r\nabcd\r\n1 ;x\r\ne\r\n0;z\r\nX: y\r\n\r\n";
    let begin = format!("POST /zone-plan HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n");
    let text = begin.clone() + chunks;
    let mut backend: Option<Connection> = None;
    let mut client = node.client();
    let mut health = node.client();
    for cut in begin.len() - 4..text.len() {
        client.send(&text[..cut]);
        // The answer to the health check shows that the first part was read.
        health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(health.message().status(), 200);
        client.send(&text[cut..]);
        let backend = backend.get_or_insert_with(|| server.accept());
        assert_eq!(backend.message().body, "abcde", "cut at {cut}");
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
    }
}

/// Reloads reuse the numbers of removed classes. Guards against a class number that maps to the name of its earlier owner.
#[rstest]
fn class_names_stay_correct_after_each_reload() {
    let class = |name: &str, k: usize| json!({"name": name, "semantics": "single_shot", "deadline_ms": 900.0 + k as f64});
    let setup = |names: &[&str]| {
        let classes: Vec<_> = names.iter().enumerate().map(|(k, name)| class(name, k)).collect();
        serde_json::from_value(json!({ "classes": classes })).unwrap()
    };
    let (exchange, _dispatches) = Exchange::<()>::new(&setup(&["a", "b"]), 1, Rc::default());
    let (first, second) = (["a", "b"], ["c", "b", "d"]);
    for names in [&first[..], &second, &["d", "c"], &["e", "a", "f", "d"], &first, &["g"], &second] {
        exchange.reconfigure(setup(names));
        for name in names {
            assert_eq!(exchange.class_name(exchange.class(name).unwrap()), *name, "in {names:?}");
        }
    }
}
