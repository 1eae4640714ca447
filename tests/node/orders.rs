//! Two things in one moment, in the order in which they harm: each test forces that order, with nothing left to chance.

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

/// A pipe in place of a node's configuration: the node waits in a reload until it is told what the file says.
struct Gate(std::fs::File);

impl Gate {
    fn put(node: &Node) {
        std::fs::remove_file(node.config_path()).unwrap();
        assert!(std::process::Command::new("mkfifo").arg(node.config_path()).status().unwrap().success());
    }

    /// The node is in the reload once this returns.
    fn reached(node: &Node) -> Gate {
        Gate(std::fs::OpenOptions::new().write(true).open(node.config_path()).unwrap())
    }

    /// It reads this, and goes on.
    fn opens(mut self, config: &Value) {
        self.0.write_all(config.to_string().as_bytes()).unwrap();
    }
}

/// A reload of the configuration between the moment in which a job is read and the one in which it is taken. The job was sent
/// early, behind one that is out. The node waits in a first reload, which changes nothing, until the answer to the one before, the job
/// and the signal for a second reload are there: so it waits in that one before it reads the job, and the signal for the third is
/// found right after it has.
#[rstest]
#[case::keyed_from_now_on("zone-plan", "guarded", 400)]
#[case::left_out("vent-plan", "single_shot", 404)]
fn a_job_is_judged_by_one_set_of_settings(#[case] name: &str, #[case] semantics: &str, #[case] status: u16) {
    let server = TestServer::new();
    let mut before = config(&[server.address]);
    // Nothing is called off, however long the signals take.
    before["settings"]["allowed"]["cancel"] = json!(false);
    let mut after = before.clone();
    after["settings"]["classes"][0]["name"] = json!(name);
    after["settings"]["classes"][0]["semantics"] = json!(semantics);
    let node = Node::start(&before);
    let mut client = node.send_job("first", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    Gate::put(&node);
    node.reload();
    let first = Gate::reached(&node);
    backend.serve("first", "1");
    client.send(&job("early", "/zone-plan", "1000m", ""));
    node.reload();
    Gate::put(&node);
    first.opens(&before);
    let second = Gate::reached(&node);
    node.reload();
    std::fs::remove_file(node.config_path()).unwrap();
    node.replace_config(&after.to_string());
    second.opens(&before);
    let lines = node.logs_until("new settings hold");
    assert_eq!(client.message().body, "1");
    assert_eq!(client.message().status(), status, "{lines:#?}");
    assert!(
        backend.ends_without_data() && server.has_no_connection(),
        "it was sent by the rules of another class"
    );
}

/// A client hands a job in on a resting connection and leaves, both while the process stands between hearing of the job and reading
/// it: the job is not sent on, although an idle connection to the server is there at once.
#[rstest]
fn a_client_that_leaves_before_its_job_is_read_has_gone(#[values(false, true)] resets: bool) {
    let server = TestServer::new();
    let config = config(&[server.address]);
    let node = Node::start(&config);
    let mut client = node.send_job("first", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "first");
    backend.serve("first", "1");
    assert_eq!(client.message().body, "1");
    Gate::put(&node);
    node.reload();
    let first = Gate::reached(&node);
    client.send(&job("gone", "/zone-plan", "5000m", ""));
    node.reload();
    Gate::put(&node);
    first.opens(&config);
    let second = Gate::reached(&node);
    let gone = client.into_stream();
    if resets {
        rustix::net::connect_unspec(&gone).unwrap();
    } else {
        gone.shutdown(std::net::Shutdown::Both).unwrap();
    }
    std::fs::remove_file(node.config_path()).unwrap();
    node.replace_config(&config.to_string());
    second.opens(&config);
    node.logs("end frontend");
    let mut next = node.send_job("next", "/zone-plan");
    assert_eq!(backend.id(), "next");
    backend.serve("next", "2");
    assert_eq!(next.message().body, "2");
    assert!(server.has_no_connection());
}

/// Two other discoveries in a row, by two reloads that are found in two turns: the last one's whole list is in force, and nothing
/// that another one says.
#[rstest]
fn two_moves_in_a_row_end_at_the_last_discovery() {
    let (server, other, last) = (TestServer::new(), TestServer::new(), TestServer::new());
    let (first, second, third) = (TestServer::new(), TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[server.address], &first);
    let node = Node::start(&config);
    let (mut before, _) = accept_watch(&first);
    before.line(&server_list(42, true, &[entry("s-0", server.address, "active")]));
    node.logs("server table 42");
    Gate::put(&node);
    node.reload();
    let gate = Gate::reached(&node);
    let wrong = server_list(50, true, &[entry("s-other", other.address, "active")]);
    before.line(&wrong);
    node.reload();
    config["discovery"] = json!(second.address.to_string());
    let moved = config.clone();
    config["discovery"] = json!(third.address.to_string());
    std::fs::remove_file(node.config_path()).unwrap();
    node.replace_config(&config.to_string());
    gate.opens(&moved);
    second.handle_connections(move |mut peer| {
        let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{wrong}", wrong.len());
        while peer.try_send(&whole) && peer.receives_data() {
            peer.message();
        }
    });
    let mut notified =
        serve_complete_list(&third, &server_list(7, true, &[entry("s-last", last.address, "active")]));
    assert_eq!(notified.message().first, "GET /catalog/members?watch=1&from=7 HTTP/1.1");
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = last.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(other.has_no_connection() && first.has_no_connection());
}

/// A time that one task has waited for and that another goes on waiting for wakes the other one.
#[rstest]
fn a_time_wakes_whoever_waits_for_it_last() {
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
                    () = late => panic!("it was never woken"),
                }
            })
            .await
            .unwrap();
        }
    });
}

/// Half of a second answer comes while a connection is idle, and the next job with it or later: that job goes over another
/// connection, as the rest of that answer would be taken for its own.
#[rstest]
fn half_a_second_answer_is_not_the_next_jobs(#[values(false, true)] at_once: bool) {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    // Long enough that the connection counts as quiet.
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
    assert!(!backend.receives_data(), "nothing is written behind half an answer");
    other.serve("b", "2");
    assert_eq!(client.message().body, "2");
    node.logs("reason=malformed messages=1");
    assert!(server.has_no_connection());
}

/// One of so many nodes that ask for their lists.
fn asking(server: SocketAddr, discovery: &TestServer, replicas: u32) -> Value {
    let mut config = config_with_discovery(&[server], discovery);
    config["settings"]["replicas_of_me"] = json!(replicas);
    config["settings"]["discovery"] = json!("on_request");
    config
}

/// A list that discovery wrote while the process stood still has been told: it is in force at once as the process goes on,
/// although nothing was heard for longer than a watch may be silent.
#[rstest]
fn what_came_while_the_process_stood_still_is_heard_before_silence_is(#[values(1, 20, 300)] replicas: u32) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&asking(server.address, &discovery, replicas));
    let (mut watch, _) = accept_watch(&discovery);
    watch.line(&server_list(42, true, &[entry("s-0", server.address, "active")]));
    node.logs("server table 42");
    node.set_paused(true);
    watch.line(&server_list(43, false, &[entry("s-0", server.address, "leaving")]));
    std::thread::sleep(ms(2_600));
    node.set_paused(false);
    let lines = node.logs_until("server table 43");
    assert!(lines.iter().all(|l| !l.contains("end server-table")), "{lines:?}");
    // And the watch goes on.
    watch.line(&server_list(44, false, &[entry("s-0", server.address, "active")]));
    let lines = node.logs_until("server table 44");
    assert!(lines.iter().all(|l| !l.contains("end server-table")), "{lines:?}");
}

/// Clients that hold so much of bodies which never come whole that one more is refused for want of memory.
fn holding(node: &Node) -> Vec<Connection> {
    let body = "x".repeat(65_500);
    let mut held = Vec::new();
    loop {
        let mut client = node.client();
        let head = HEAD.replace("Request-Id: a", &format!("Request-Id: held-{}", held.len()));
        client.send(&format!("POST /zone-plan HTTP/1.1\r\n{head}Content-Length: 65536\r\n\r\n{body}"));
        held.push(client);
        let mut one_more = node.client();
        one_more.send(&job("more", "/no-such-class", "400m", &"x".repeat(1_000)));
        if one_more.message().status() == 503 {
            return held;
        }
    }
}

/// However much clients hold of bodies, an answer that another one waits for can be taken in.
#[rstest]
fn clients_that_hold_all_memory_keep_no_answer_out() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["memory_mb"] = json!(1);
    let node = Node::start(&config);
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    let _held = holding(&node);
    let result = "y".repeat(50_000);
    backend.serve("a", &result);
    let answer = client.message();
    assert!((answer.status(), answer.body.len()) == (200, result.len()), "{}", answer.status());
}

/// However much clients and servers hold together of what has not come whole, a list of discovery comes in.
#[rstest]
fn what_clients_and_servers_hold_keeps_no_list_out() {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[server.address], &discovery);
    config["limits"]["memory_mb"] = json!(1);
    let node = Node::start(&config);
    let (mut watch, _) = accept_watch(&discovery);
    let _client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    let _held = holding(&node);
    // Half a line: with the bodies all that there is, a quarter of 1 MiB, but for less than a list.
    backend.begin();
    backend.send(&format!("ffff\r\n{}", "y".repeat(65_500)));
    let mut health = node.client();
    health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(health.message().status(), 200);
    watch.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    let lines = node.logs_until("server table 42");
    assert!(lines.iter().all(|l| !l.contains("no memory is left for a part")), "{lines:?}");
}

/// Idle clients fill what descriptors the system gives while discovery is down and jobs are out: it is called all the same, its list
/// comes in as it returns, operators are answered, and new jobs go out.
#[rstest]
fn descriptors_filled_while_discovery_is_down_keep_nobody_out(#[values("pushed", "on_request")] lists: &str) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let other = TestServer::new();
    let mut config = config_with_discovery(&[server.address], &discovery);
    let members = [entry("s-0", server.address, "leaving"), entry("s-new", other.address, "active")];
    let is_back = Arc::new(AtomicBool::new(false));
    discovery.handle_connections({
        let (is_back, list) = (is_back.clone(), server_list(42, true, &members));
        move |mut peer| {
            if !is_back.load(Ordering::Relaxed) {
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
    let back = Instant::now();
    is_back.store(true, Ordering::Relaxed);
    let lines = node.logs_until("server table 42");
    assert!(lines.iter().all(|l| !l.contains("no-sockets") && !l.contains("accepting")), "{lines:?}");
    assert!(back.elapsed() < Duration::from_secs(4), "{:?}", back.elapsed());
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

/// A process with a door and its server; the next one has connected to it, or is about to, while it stands still.
fn standing(config: &mut Value) -> (Node, Node) {
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

/// The process before is killed before it has handed its socket over: the next one binds the address itself.
#[rstest]
fn a_process_killed_before_it_hands_its_socket_over_is_replaced() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    let (mut old, new) = standing(&mut config);
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

/// A stand-in for the process before ends while the next one waits for its socket, or has ended just before that comes. As with any
/// process its sockets close one after another, and the one at which clients connect is the last.
#[rstest]
fn a_process_that_ends_is_replaced_whichever_of_its_sockets_closes_first(#[values(false, true)] found: bool) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let clients = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = clients.local_addr().unwrap();
    config["listen"] = json!(address.to_string());
    let place = handover_directory().join(format!("shorepath-{address}.sock"));
    // Left by a node that was there before, perhaps.
    let _ = std::fs::remove_file(&place);
    let next = std::os::unix::net::UnixListener::bind(&place).unwrap();
    let new = if found {
        let new = Node::spawn(command(&[PROGRAM, "serve", "-v"], &config.to_string()));
        drop(next.accept().unwrap());
        new.logs("hands nothing over");
        drop(next);
        new
    } else {
        drop(next);
        Node::spawn(command(&[PROGRAM, "serve", "-v"], &config.to_string()))
    };
    new.logs("is not free yet");
    drop(clients);
    let new = new.wait_until_serving();
    assert_eq!((new.address, new.call("GET", "/ops/readiness")), (address, 200));
}

/// The process before is killed once it has handed its socket over, before the next one takes clients: those that connect in
/// between are served by that one, and no connection is refused.
#[rstest]
fn a_process_killed_once_it_has_handed_its_socket_over_costs_no_connection() {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let mut old = Node::start(&config);
    wait_for_handover_socket(&old);
    config["listen"] = json!(old.address.to_string());
    config["discovery"] = json!(discovery.address.to_string());
    let new = Node::start(&config);
    // It waits for the list before it takes clients.
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

/// The next process is killed before it takes clients: the one before goes on, and can be replaced.
#[rstest]
fn a_next_process_killed_before_it_serves_costs_nothing() {
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

/// What is no request ends its own connection with its answer, wherever it is cut, and no other one.
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
fn what_is_no_request_ends_its_connection_alone(#[case] text: &str, #[case] status: u16) {
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

/// A request in chunks with extensions and a trailer, cut at every byte, is one request.
#[rstest]
fn a_request_in_chunks_is_read_wherever_it_is_cut() {
    let (node, server) = node_with_server();
    let chunks = "4;a=\"b\"\r\nabcd\r\n1 ;x\r\ne\r\n0;z\r\nX: y\r\n\r\n";
    let begin = format!("POST /zone-plan HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n");
    let text = begin.clone() + chunks;
    let mut backend: Option<Connection> = None;
    let mut client = node.client();
    let mut health = node.client();
    for cut in begin.len() - 4..text.len() {
        client.send(&text[..cut]);
        // What came is read.
        health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(health.message().status(), 200);
        client.send(&text[cut..]);
        let backend = backend.get_or_insert_with(|| server.accept());
        assert_eq!(backend.message().body, "abcde", "cut at {cut}");
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
    }
}

/// Numbers of classes that a reload left out are used again; what has come under one before is never taken for what comes under
/// it now, also where classes are known by their names: in what is written down, and in answers that are kept.
#[rstest]
fn a_class_has_its_own_name_after_each_reload() {
    let class = |name: &str, k: usize| json!({"name": name, "semantics": "single_shot", "deadline_ms": 900.0 + k as f64});
    let setup = |names: &[&str]| {
        let classes: Vec<_> = names.iter().enumerate().map(|(k, name)| class(name, k)).collect();
        serde_json::from_value(json!({ "classes": classes })).unwrap()
    };
    let (exchange, _orders) = Exchange::<()>::new(&setup(&["a", "b"]), 1, Rc::default());
    let (first, second) = (["a", "b"], ["c", "b", "d"]);
    for names in [&first[..], &second, &["d", "c"], &["e", "a", "f", "d"], &first, &["g"], &second] {
        exchange.reconfigure(setup(names));
        for name in names {
            assert_eq!(exchange.class_name(exchange.class(name).unwrap()), *name, "in {names:?}");
        }
    }
}
