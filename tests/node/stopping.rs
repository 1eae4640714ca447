//! Signals that stop a node or reload its configuration, and the times at which they arrive.

use crate::operators::{start_replacement, wait_for_handover_socket};
use crate::support::*;
use crate::{accept_watch, config_with_discovery, node_with_server, serve_complete_list, server_list};
use rstest::rstest;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HEALTH_REQUEST: &str = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The ids of the requests that a server has received.
type RequestIds = Arc<Mutex<HashSet<String>>>;

/// Reads every request that reaches the server, records its id, and never answers.
fn accept_without_answering(server: TestServer) -> RequestIds {
    let ids = RequestIds::default();
    let written = ids.clone();
    server.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let id = peer.id();
            written.lock().unwrap().insert(id);
        }
    });
    ids
}

/// Serves every request with its id as the result, once the lock of `gate` is free.
fn serve_once_unlocked(server: TestServer, response_gate: &Arc<Mutex<()>>) {
    let response_gate = response_gate.clone();
    server.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let id = peer.id();
            drop(response_gate.lock());
            peer.serve(&id, &id);
        }
    });
}

/// Sets the deadlines of both classes, in milliseconds, and their target times to 0.4 of that.
fn set_deadlines(config: &mut Value, all: [u64; 2]) {
    for (class, ms) in config["settings"]["classes"].as_array_mut().unwrap().iter_mut().zip(all) {
        class["deadline_ms"] = json!(ms as f64);
        class["target_ms"] = json!(ms as f64 * 0.4);
    }
}

/// Connects clients and completes a health check on each connection.
fn clients_with_answered_request(node: &Node, number: usize) -> Vec<Connection> {
    let mut all: Vec<Connection> = (0..number).map(|_| node.client()).collect();
    for client in &mut all {
        client.send(HEALTH_REQUEST);
        assert_eq!(client.message().status(), 200);
    }
    all
}

/// Sleeps until `at`, or returns at once if it is past.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Guards against leaving a request that arrives after SIGTERM unanswered when the node may be killed, a time that follows from the
/// longest deadline of the current settings. A connection may be closed instead, but only if no server receives the request.
#[rstest]
#[case::short([1_200, 1_800], None)]
#[case::shorter([1_200, 900], None)]
#[case::tiny([300, 200], None)]
#[case::long([4_000, 6_000], None)]
#[case::after_sighup([4_000, 6_000], Some([1_500, 1_800]))]
fn requests_after_sigterm_are_answered_before_the_kill(#[case] old: [u64; 2], #[case] new: Option<[u64; 2]>) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    set_deadlines(&mut config, old);
    let node = Node::start(&config);
    let ids = accept_without_answering(server);
    if let Some(new) = new {
        set_deadlines(&mut config, new);
        node.replace_config(&config.to_string());
        node.reload();
        node.logs("new settings are in force");
    }
    let current_deadlines = new.unwrap_or(old);
    let kill_after = ms(700 + current_deadlines.iter().max().unwrap().min(&3_000));
    let clients = clients_with_answered_request(&node, 16);
    let signalled_at = Instant::now();
    node.terminate();
    node.logs("shutting down");
    // One request after the other, from the refusal of new connections up to the kill.
    let step = (kill_after - ms(750)) / 16;
    let send_late_job = |(k, mut client): (usize, Connection)| {
        let ids = ids.clone();
        std::thread::spawn(move || {
            sleep_until(signalled_at + ms(750) + step * k as u32);
            let (id, class) = (format!("r-{k}"), k % 2);
            let text = job(
                &id,
                ["/zone-plan", "/actuator-cmd"][class],
                &format!("{}m", current_deadlines[class]),
                "",
            );
            let _ = client.try_send(&text);
            if !client.receives_data() {
                assert!(
                    !ids.lock().unwrap().contains(&id),
                    "{id} was forwarded, and its connection was closed"
                );
                return (id, false, signalled_at.elapsed());
            }
            client.message();
            (id, true, signalled_at.elapsed())
        })
    };
    let threads: Vec<_> = clients.into_iter().enumerate().map(send_late_job).collect();
    let all: Vec<_> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    assert!(all.iter().any(|(_, answered, _)| *answered), "every connection was closed at once: {all:?}");
    // Requests on closed connections don't count: no server has received them.
    let late: Vec<_> = all.iter().filter(|(_, answered, at)| *answered && *at >= kill_after).collect();
    assert!(late.is_empty(), "the kill may come after {kill_after:?}: {late:?}");
}

/// Guards against leaving a request that is partly received when the stopping node closes its connections unanswered at the kill,
/// whether it is completed or not, on a used or a new connection, or on a node that was draining before.
#[rstest]
fn partial_request_at_the_close_is_answered_before_the_kill(
    #[values([300, 400], [1_000, 600], [1_500, 1_500], [6_000, 4_000])] all: [u64; 2],
    #[values("known", "new", "drained")] connection: &str,
    #[values(false, true)] completed: bool,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    set_deadlines(&mut config, all);
    let mut node = Node::start(&config);
    serve_once_unlocked(server, &Arc::default());
    let mut client =
        if connection == "new" { node.client() } else { clients_with_answered_request(&node, 1).remove(0) };
    let text = job("a", "/zone-plan", "5000m", "0123456789");
    let (begin, end) = text.split_at(text.len() - 1);
    if connection == "drained" {
        client.send(begin);
        // The node has read the partial request once it closes an idle connection and keeps this one.
        let mut idle_client = clients_with_answered_request(&node, 1).remove(0);
        assert_eq!(node.call("POST", "/ops/drain/start"), 200);
        assert!(idle_client.is_closed());
    }
    let signalled_at = Instant::now();
    node.terminate();
    node.logs("shutting down");
    if connection != "drained" {
        client.send(begin);
    }
    let longest = ms(*all.iter().max().unwrap().min(&3_000));
    let kill_after = ms(700) + longest;
    let mut in_time = completed;
    if completed {
        // A request that has begun keeps its usual timeout.
        let usual = ms(if connection == "drained" { 1_000 } else { 1_800 });
        let at = signalled_at + (kill_after - longest * 3 / 5).min(usual);
        sleep_until(at);
        client.send(end);
        in_time = at.elapsed() < ms(20);
    }
    let status = client.message().status();
    assert!(
        signalled_at.elapsed() < kill_after,
        "{status} after {:?}, the kill may come after {kill_after:?}",
        signalled_at.elapsed()
    );
    assert!(if in_time { [200, 503].contains(&status) } else { completed || status == 408 }, "{status}");
    assert!(client.is_closed());
    drop(client);
    assert!(node.exit().success());
}

/// Requests that arrive around 0.7 s after SIGTERM, just before new connections are refused, must be answered in time for the kill,
/// too. Checked by the timeouts that the node forwards to the server.
#[rstest]
fn requests_just_before_connections_are_refused_are_answered_before_the_kill() {
    let (node, server) = node_with_server();
    let forwarded_timeouts = Arc::new(Mutex::new(Vec::new()));
    let times = forwarded_timeouts.clone();
    server.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let request = peer.message();
            let id = request.field("Request-Id").unwrap().to_string();
            let left = request.field("Request-Timeout").and_then(|t| t.strip_suffix('u')).unwrap();
            times.lock().unwrap().push((id.clone(), Duration::from_micros(left.parse().unwrap())));
            peer.serve(&id, &id);
        }
    });
    let mut clients = clients_with_answered_request(&node, 8);
    node.terminate();
    node.logs("shutting down");
    let (signalled_at, mut sent) = (Instant::now(), Vec::new());
    for (k, client) in clients.iter_mut().enumerate() {
        sleep_until(signalled_at + ms(655 + 10 * k as u64));
        sent.push(signalled_at.elapsed());
        client.send(&job(&k.to_string(), "/zone-plan", "5000m", ""));
    }
    for (k, client) in clients.iter_mut().enumerate() {
        let answer = client.message();
        assert!(answer.status() == 503 || answer.body == k.to_string(), "{answer:?}");
    }
    let all: Vec<_> = forwarded_timeouts
        .lock()
        .unwrap()
        .iter()
        .map(|(id, left)| (sent[id.parse::<usize>().unwrap()], *left))
        .collect();
    assert!(!all.is_empty());
    let late: Vec<_> = all.iter().filter(|(sent, left)| *sent + *left > ms(3_700)).collect();
    assert!(late.is_empty(), "times after SIGTERM, and timeouts forwarded then: {late:?}");
}

/// Clients have connected and sent requests that a full node could not accept yet. Guards against closing the listener on them after
/// SIGTERM instead of accepting them as connections become free.
#[rstest]
fn clients_waiting_at_a_full_node_are_answered_after_sigterm() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(70);
    config["settings"]["projects"][0]["quota_rps"] = json!(1000.0);
    let mut node = Node::start(&config);
    let response_gate = Arc::new(Mutex::new(()));
    let gate_guard = response_gate.lock().unwrap();
    serve_once_unlocked(server, &response_gate);
    // One more than the 19 connections that are allowed, each with an unanswered job.
    let mut busy: Vec<Connection> =
        (0..20).map(|k| node.send_job(&format!("busy-{k}"), "/zone-plan")).collect();
    let mut health = node.client();
    health.send(HEALTH_REQUEST);
    assert!(health.is_silent_for(ms(200)), "the node is not full");
    let mut waiting: Vec<Connection> =
        (0..6).map(|k| node.send_job(&format!("waiting-{k}"), "/zone-plan")).collect();
    node.terminate();
    node.logs("shutting down");
    assert!(waiting[5].is_silent_for(ms(900)), "a waiting connection was closed");
    drop(gate_guard);
    let all = busy.iter_mut().chain(&mut waiting);
    for (k, client) in all.enumerate() {
        let answer = client.message();
        assert!([200, 503].contains(&answer.status()), "{k}: {answer:?}");
    }
    assert_eq!(health.message().status(), 503);
    assert!(node.exit().success());
}

/// Clients connect while the process is paused past the time at which it refuses new connections, or also past the one at which it
/// closes connections. Guards against closing the listener on them.
#[rstest]
#[case::paused_past_refusing_connections(1_000)]
#[case::paused_past_closing_connections(2_300)]
fn clients_arriving_during_a_pause_are_answered_after_sigterm(#[case] pause_ms: u64) {
    let (mut node, server) = node_with_server();
    serve_once_unlocked(server, &Arc::default());
    node.terminate();
    node.logs("shutting down");
    let signalled_at = Instant::now();
    node.set_paused(true);
    let mut clients: Vec<Connection> =
        (0..100).map(|k| node.send_job(&k.to_string(), "/zone-plan")).collect();
    assert!(signalled_at.elapsed() < ms(700), "the clients connected too late");
    sleep_until(signalled_at + ms(pause_ms));
    node.set_paused(false);
    for (k, client) in clients.iter_mut().enumerate() {
        let answer = client.message();
        assert!(answer.status() == 503 || answer.body == k.to_string(), "{k}: {answer:?}");
    }
    drop(clients);
    assert!(node.exit().success());
}

/// Guards against losing or repeating the answer to an open request whichever signals stop the node, and however often they arrive.
#[rstest]
#[case::twice(&[Signal::TERM, Signal::TERM])]
#[case::interrupted(&[Signal::INT])]
#[case::both(&[Signal::INT, Signal::TERM, Signal::INT])]
#[case::then_reload(&[Signal::TERM, Signal::HUP, Signal::HUP])]
#[case::after_reload(&[Signal::HUP, Signal::TERM])]
fn repeated_stop_signals_lose_no_answer(
    #[case] signals: &[Signal],
    #[values(false, true)] while_paused: bool,
) {
    let (mut node, server) = node_with_server();
    let mut held = node.send_job("held", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "held");
    node.set_paused(while_paused);
    signals.iter().for_each(|s| node.signal(*s));
    node.set_paused(false);
    node.logs("shutting down");
    signals.iter().for_each(|s| node.signal(*s));
    backend.serve("held", "1");
    assert_eq!(held.message().body, "1");
    assert!(held.is_closed(), "one answer");
    assert!(node.exit().success());
    assert!(server.has_no_connection());
}

/// A reload arrives together with SIGTERM, in either order, or right after it: of the old and the new settings, the shorter deadlines
/// bound the time until the kill.
#[rstest]
#[case::with_the_stop([5_000, 5_000], [900, 1_800], false)]
#[case::after_it([5_000, 5_000], [900, 1_800], true)]
#[case::to_longer_deadlines([900, 1_800], [5_000, 5_000], true)]
fn reload_during_the_stop_keeps_the_shorter_deadlines(
    #[case] old: [u64; 2],
    #[case] new: [u64; 2],
    #[case] after: bool,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    set_deadlines(&mut config, old);
    let node = Node::start(&config);
    let mut clients = clients_with_answered_request(&node, 1);
    set_deadlines(&mut config, new);
    node.replace_config(&config.to_string());
    node.set_paused(!after);
    node.signal(Signal::TERM);
    let mut lines = if after { node.logs_until("shutting down") } else { Vec::new() };
    node.signal(Signal::HUP);
    node.set_paused(false);
    let resumed_at = Instant::now();
    for text in ["shutting down", "new settings are in force"] {
        if !lines.iter().any(|l| l.contains(text)) {
            lines.extend(node.logs_until(text));
        }
    }
    sleep_until(resumed_at + ms(1_000));
    clients[0].send(&job("a", "/zone-plan", "5000m", ""));
    let mut backend = server.accept();
    let request = backend.message();
    let left = request.field("Request-Timeout").and_then(|t| t.strip_suffix('u')).unwrap();
    assert!(left.parse::<u64>().unwrap() < 1_350_000, "{left}");
    backend.serve("a", "1");
    assert_eq!(clients[0].message().body, "1");
}

/// A reload late in the stop shortens what is left of it: the time until connections are closed, and the one in which a partial
/// request must be completed.
#[rstest]
#[case::before_the_close([6_000, 6_000], [400, 300], false)]
#[case::after_the_close([3_000, 3_000], [2_000, 2_000], true)]
fn reload_late_in_the_stop_shortens_it(
    #[case] old: [u64; 2],
    #[case] new: [u64; 2],
    #[case] connections_closed: bool,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    set_deadlines(&mut config, old);
    let mut node = Node::start(&config);
    let mut idle_client = clients_with_answered_request(&node, 1).remove(0);
    let mut client = clients_with_answered_request(&node, 1).remove(0);
    set_deadlines(&mut config, new);
    node.replace_config(&config.to_string());
    let signalled_at = Instant::now();
    node.terminate();
    node.logs("new connections are refused");
    client.send("POST /zone-plan HTT");
    if connections_closed {
        assert!(idle_client.is_closed());
    }
    node.reload();
    node.logs("new settings are in force");
    assert!(connections_closed || idle_client.is_closed());
    assert_eq!(client.message().status(), 408);
    let (took, kill_after) = (signalled_at.elapsed(), ms(700 + new[0]));
    assert!(took < kill_after, "{took:?}, and the kill may come after {kill_after:?}");
    drop((client, idle_client));
    assert!(node.exit().success());
}

/// Starts a node that blocks on reading its configuration from a named pipe, and returns the pipe's path.
fn node_waiting_for_configuration(config: &Value) -> (Node, std::path::PathBuf) {
    let command = command(&[PROGRAM, "serve", "-v"], &config.to_string());
    let named = command.get_envs().find(|(name, _)| *name == "ROUTER_CONFIG").and_then(|(_, file)| file);
    let file = std::path::PathBuf::from(named.unwrap());
    std::fs::remove_file(&file).unwrap();
    assert!(std::process::Command::new("mkfifo").arg(&file).status().unwrap().success());
    (Node::spawn(command), file)
}

/// Guards against a signal that kills a node while it starts: it serves with its latest configuration, or shuts down cleanly.
#[rstest]
#[case::reload(Signal::HUP)]
#[case::stop(Signal::TERM)]
#[case::interrupt(Signal::INT)]
fn signal_during_the_start_is_handled_in_order(#[case] signal: Signal) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    let (node, file) = node_waiting_for_configuration(&config);
    // Opening the pipe waits for the node to open it, and the node goes on once it has read all of it.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    node.signal(signal);
    std::io::Write::write_all(&mut pipe, config.to_string().as_bytes()).unwrap();
    std::fs::remove_file(&file).unwrap();
    config["settings"]["classes"][1]["name"] = json!("vent-plan");
    node.replace_config(&config.to_string());
    drop(pipe);
    let mut node = node.wait_until_serving();
    if signal == Signal::HUP {
        node.logs("new settings are in force");
        node.terminate();
    }
    node.logs("shutting down");
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(node.exit().success());
}

/// A node is stopped before it has a server list: open requests are rejected, and the program exits successfully.
#[rstest]
fn node_without_a_server_list_shuts_down_cleanly() {
    let discovery = TestServer::new();
    let mut node = Node::start(&config_with_discovery(&[], &discovery));
    let _silent = discovery.accept();
    let mut clients: Vec<Connection> = (0..3).map(|k| node.send_job(&k.to_string(), "/zone-plan")).collect();
    node.terminate();
    node.logs("shutting down");
    clients.push(node.send_job("late", "/actuator-cmd"));
    for client in &mut clients {
        assert_eq!(client.message().status(), 503);
        assert!(client.is_closed());
    }
    assert!(node.exit().success());
}

/// A reload names another discovery address when half a list has arrived. Guards against using that list, also while the node is
/// shutting down.
#[rstest]
#[case::serving(false)]
#[case::shutting_down(true)]
fn partial_list_is_dropped_when_the_discovery_address_changes(#[case] shuts_down: bool) {
    let (listed_server, dropped_list_server, new_list_server) =
        (TestServer::new(), TestServer::new(), TestServer::new());
    let (first, second) = (TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[listed_server.address], &first);
    let mut node = Node::start(&config);
    let (mut before, _) = accept_watch(&first);
    let list = server_list(42, true, &[entry("s-wrong", dropped_list_server.address, "active")]);
    before.send(&format!("{:x}\r\n{}", list.len() + 1, &list[..list.len() / 2]));
    before.wait_until_read();
    config["discovery"] = json!(second.address.to_string());
    node.replace_config(&config.to_string());
    node.reload();
    if shuts_down {
        node.terminate();
    }
    let rest = format!("{}\n\r\n", &list[list.len() / 2..]);
    node.logs("configuration read again");
    let _ = before.try_send(&rest);
    let mut after = serve_complete_list(
        &second,
        &server_list(7, true, &[entry("s-right", new_list_server.address, "active")]),
    );
    assert_eq!(after.message().first, "GET /catalog/members?watch=1&from=7 HTTP/1.1");
    // The rest of the list may have arrived before the node closed the connection.
    assert!(before.is_closed_or_reset());
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = new_list_server.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(listed_server.has_no_connection() && dropped_list_server.has_no_connection());
    if shuts_down {
        assert!(node.exit().success());
    }
}

/// A node that an operator has drained stays drained over a reload and shuts down cleanly, serving the jobs that still arrive.
#[rstest]
fn drained_node_stays_drained_over_a_reload_and_shuts_down_cleanly() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let mut node = Node::start(&config);
    let mut held = node.send_job("held", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "held");
    assert_eq!(node.call("POST", "/ops/drain/start"), 200);
    set_deadlines(&mut config, [1_200, 1_800]);
    node.replace_config(&config.to_string());
    node.reload();
    node.logs("new settings are in force");
    assert_eq!(node.call("GET", "/ops/readiness"), 503);
    let mut client_during_drain = node.send_job("emptied", "/zone-plan");
    backend.serve("held", "1");
    assert_eq!(held.message().body, "1");
    assert_eq!(backend.id(), "emptied");
    node.terminate();
    node.logs("shutting down");
    backend.serve("emptied", "2");
    assert_eq!(client_during_drain.message().body, "2");
    let mut late = node.send_job("late", "/zone-plan");
    assert_eq!(backend.id(), "late");
    backend.serve("late", "3");
    assert_eq!(late.message().body, "3");
    assert!(node.exit().success());
}

/// Discovery does not answer or can't be connected to. Guards against a restarted node that waits for it instead of serving from the
/// server list in its configuration.
#[rstest]
#[case::silent(true)]
#[case::never_connects(false)]
fn restarted_node_is_ready_while_discovery_is_slow(#[case] silent: bool) {
    let (server, silent_discovery, (unreachable, _kept)) =
        (TestServer::new(), TestServer::new(), saturated_listener());
    let mut config = config(&[server.address]);
    config["discovery"] = json!(if silent { silent_discovery.address } else { unreachable }.to_string());
    for replicas in [1, 300] {
        config["settings"]["replicas_of_me"] = json!(replicas);
        let started_at = Instant::now();
        let mut node = Node::start(&config);
        let mut client = clients_with_answered_request(&node, 1).remove(0);
        client.send(&job("a", "/zone-plan", "5000m", ""));
        let mut backend = server.accept();
        assert_eq!(backend.id(), "a");
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
        assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
        drop(backend);
        node.terminate();
        assert!(node.exit().success());
    }
}

/// Guards against a signal that interrupts a successor while it waits for the listening socket.
#[rstest]
fn signal_during_the_socket_handover_ends_no_process() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let old = Node::start(&config);
    wait_for_handover_socket(&old);
    config["listen"] = json!(old.address.to_string());
    // The successor can connect to the paused process, which does not hand over its socket yet.
    old.set_paused(true);
    let new = Node::spawn(command(&[PROGRAM, "serve", "-v"], &config.to_string()));
    while !new.handles_sighup() {
        std::thread::yield_now();
    }
    let started_at = Instant::now();
    while started_at.elapsed() < ms(700) {
        new.signal(Signal::HUP);
    }
    old.set_paused(false);
    let new = new.wait_until_serving();
    old.logs("the next process takes clients");
    assert_eq!((new.call("GET", "/ops/readiness"), old.call("GET", "/ops/readiness")), (200, 503));
}

/// The successor is stopped while the old process still runs. Guards against an old process that accepts clients again only after
/// the successor has answered all its requests.
#[rstest]
fn old_process_accepts_clients_again_once_its_successor_is_stopped() {
    let (old, mut new, server, _) = start_replacement();
    old.logs("the next process takes clients");
    let mut held = new.send_job("held", "/zone-plan");
    let mut on_new = server.accept();
    assert_eq!(on_new.id(), "held");
    on_new.begin();
    on_new.state("held", "started");
    new.terminate();
    new.logs("new connections are refused");
    let mut client = old.send_job("a", "/actuator-cmd");
    let mut on_old = server.accept();
    assert_eq!(on_old.id(), "a");
    on_old.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(held.is_silent_for(ms(1)), "the successor's request is no longer open");
    on_new.finish("held", "2");
    assert_eq!(held.message().body, "2");
    assert!(new.exit().success());
    old.logs("the next process has ended");
    assert_eq!(old.call("GET", "/ops/readiness"), 200);
}

/// The successor is stopped while it waits for its first server list: it exits successfully, and the old process serves on without
/// any effect on its clients.
#[rstest]
fn successor_stopped_before_it_takes_over_affects_no_client() {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[server.address], &discovery);
    config["mgmt"] = json!("127.0.0.1:0");
    let old = Node::start(&config);
    let _watched = discovery.accept();
    wait_for_handover_socket(&old);
    config["listen"] = json!(old.address.to_string());
    let mut new = Node::start(&config);
    let _silent = discovery.accept();
    new.terminate();
    new.logs("shutting down");
    for k in 0..20 {
        let id = k.to_string();
        let mut client = old.send_job(&id, "/actuator-cmd");
        let mut backend = server.accept();
        assert_eq!(backend.id(), id);
        backend.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        backend.send(&format!("{}\n", json!({"id": id, "state": "done", "result": "1"})));
        drop(backend);
        let answer = client.message();
        assert_eq!((answer.status(), answer.field("Connection")), (200, None));
    }
    assert!(new.exit().success());
    old.logs("the next process has ended");
    assert_eq!(old.call("GET", "/ops/readiness"), 200);
}
