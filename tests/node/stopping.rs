//! Signals, and the moments in which they come: a node that is told to stop, or to read its configuration again.

use crate::operators::{start_replacement, wait_for_handover_socket};
use crate::support::*;
use crate::{accept_watch, config_with_discovery, node_with_server, serve_complete_list, server_list};
use rstest::rstest;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ids that came to a server.
type Ids = Arc<Mutex<HashSet<String>>>;

/// Take whatever comes and answer none of it.
fn hanging(server: TestServer) -> Ids {
    let ids = Ids::default();
    let written = ids.clone();
    server.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let id = peer.id();
            written.lock().unwrap().insert(id);
        }
    });
    ids
}

/// Serve whatever comes with its own id, once nobody holds the gate.
fn serving_behind(server: TestServer, gate: &Arc<Mutex<()>>) {
    let gate = gate.clone();
    server.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let id = peer.id();
            drop(gate.lock());
            peer.serve(&id, &id);
        }
    });
}

/// Let the classes of a configuration have these deadlines, in milliseconds.
fn deadlines(config: &mut Value, all: [u64; 2]) {
    for (class, ms) in config["settings"]["classes"].as_array_mut().unwrap().iter_mut().zip(all) {
        class["deadline_ms"] = json!(ms as f64);
        class["target_ms"] = json!(ms as f64 * 0.4);
    }
}

/// Clients with a connection on which they have had an answer.
fn known_clients(node: &Node, number: usize) -> Vec<Connection> {
    let mut all: Vec<Connection> = (0..number).map(|_| node.client()).collect();
    for client in &mut all {
        client.send(HEALTH);
        assert_eq!(client.message().status(), 200);
    }
    all
}

/// Wait until that moment, on a connection on which nothing comes meanwhile.
pub fn until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Whoever sends on an open connection after SIGTERM has an answer before the node may be killed, which the longest
/// deadline says; where it says so by the settings that were read last, by these. A connection may have ended instead,
/// which the client sees before any server has its request.
#[rstest]
#[case::short([1_200, 1_800], None)]
#[case::shorter([1_200, 900], None)]
#[case::tiny([300, 200], None)]
#[case::long([4_000, 6_000], None)]
#[case::after_sighup([4_000, 6_000], Some([1_500, 1_800]))]
fn what_comes_after_sigterm_is_answered_before_the_kill(
    #[case] old: [u64; 2],
    #[case] new: Option<[u64; 2]>,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    deadlines(&mut config, old);
    let node = Node::start(&config);
    let ids = hanging(server);
    if let Some(new) = new {
        deadlines(&mut config, new);
        node.replace_config(&config.to_string());
        node.reload();
        node.logs("new settings hold");
    }
    let counted = new.unwrap_or(old);
    let kill = ms(700 + counted.iter().max().unwrap().min(&3_000));
    let clients = known_clients(&node, 16);
    let notified = Instant::now();
    node.terminate();
    node.logs("told to stop");
    // One after the other from the time of new connections on, up to the kill.
    let step = (kill - ms(750)) / 16;
    let asking = |(k, mut client): (usize, Connection)| {
        let ids = ids.clone();
        std::thread::spawn(move || {
            until(notified + ms(750) + step * k as u32);
            let (id, class) = (format!("r-{k}"), k % 2);
            let text = job(&id, ["/zone-plan", "/actuator-cmd"][class], &format!("{}m", counted[class]), "");
            let _ = client.try_send(&text);
            if !client.receives_data() {
                assert!(
                    !ids.lock().unwrap().contains(&id),
                    "{id} was sent on, and its connection was closed"
                );
                return (id, false, notified.elapsed());
            }
            client.message();
            (id, true, notified.elapsed())
        })
    };
    let threads: Vec<_> = clients.into_iter().enumerate().map(asking).collect();
    let all: Vec<_> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    assert!(all.iter().any(|(_, answered, _)| *answered), "connections stay open for a while: {all:?}");
    // One whose connection had ended is late by its own doing: nobody has its request.
    let late: Vec<_> = all.iter().filter(|(_, answered, at)| *answered && *at >= kill).collect();
    assert!(late.is_empty(), "the kill may come after {kill:?}: {late:?}");
}

/// A request that has begun when connections close is answered before the kill, also where it never comes whole: on a connection that
/// has been used, on a new one, and on one of a node that was being emptied before. One whose last byte comes in between is, too.
#[rstest]
fn half_a_request_at_the_close_is_answered_before_the_kill(
    #[values([300, 400], [1_000, 600], [1_500, 1_500], [6_000, 4_000])] all: [u64; 2],
    #[values("known", "new", "drained")] connection: &str,
    #[values(false, true)] completed: bool,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    deadlines(&mut config, all);
    let mut node = Node::start(&config);
    serving_behind(server, &Arc::default());
    let mut client = if connection == "new" { node.client() } else { known_clients(&node, 1).remove(0) };
    let text = job("a", "/zone-plan", "5000m", "0123456789");
    let (begin, end) = text.split_at(text.len() - 1);
    if connection == "drained" {
        client.send(begin);
        // It is known to have begun: it does not end with the others.
        let mut rests = known_clients(&node, 1).remove(0);
        assert_eq!(node.call("POST", "/ops/drain/start"), 200);
        assert!(rests.is_closed());
    }
    let notified = Instant::now();
    node.terminate();
    node.logs("told to stop");
    if connection != "drained" {
        client.send(begin);
    }
    let longest = ms(*all.iter().max().unwrap().min(&3_000));
    let kill = ms(700) + longest;
    let mut in_time = completed;
    if completed {
        // What has begun has its usual time still.
        let usual = ms(if connection == "drained" { 1_000 } else { 1_800 });
        let at = notified + (kill - longest * 3 / 5).min(usual);
        until(at);
        client.send(end);
        in_time = at.elapsed() < ms(20);
    }
    let status = client.message().status();
    assert!(
        notified.elapsed() < kill,
        "{status} after {:?}, the kill may come after {kill:?}",
        notified.elapsed()
    );
    assert!(if in_time { [200, 503].contains(&status) } else { completed || status == 408 }, "{status}");
    assert!(client.is_closed());
    drop(client);
    assert!(node.exit().success());
}

/// What comes in the moment between the pages' 0.7 s, less their slack, and the time at which new connections are refused is
/// bound to the last answer, too. The time that a server is told shows it.
#[rstest]
fn what_comes_right_before_the_refusal_is_answered_before_the_kill() {
    let (node, server) = node_with_server();
    let told_times = Arc::new(Mutex::new(Vec::new()));
    let times = told_times.clone();
    server.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let request = peer.message();
            let id = request.field("Request-Id").unwrap().to_string();
            let left = request.field("Request-Timeout").and_then(|t| t.strip_suffix('u')).unwrap();
            times.lock().unwrap().push((id.clone(), Duration::from_micros(left.parse().unwrap())));
            peer.serve(&id, &id);
        }
    });
    let mut clients = known_clients(&node, 8);
    node.terminate();
    node.logs("told to stop");
    let (notified, mut sent) = (Instant::now(), Vec::new());
    for (k, client) in clients.iter_mut().enumerate() {
        until(notified + ms(655 + 10 * k as u64));
        sent.push(notified.elapsed());
        client.send(&job(&k.to_string(), "/zone-plan", "5000m", ""));
    }
    for (k, client) in clients.iter_mut().enumerate() {
        let answer = client.message();
        assert!(answer.status() == 503 || answer.body == k.to_string(), "{answer:?}");
    }
    let all: Vec<_> = told_times
        .lock()
        .unwrap()
        .iter()
        .map(|(id, left)| (sent[id.parse::<usize>().unwrap()], *left))
        .collect();
    assert!(!all.is_empty());
    let late: Vec<_> = all.iter().filter(|(sent, left)| *sent + *left > ms(3_700)).collect();
    assert!(late.is_empty(), "sent so long after SIGTERM, with so much left: {late:?}");
}

/// Clients that have connected and asked while a full node could not accept them are taken as room comes, also after
/// the time of new connections; the listener does not close over them.
#[rstest]
fn what_waits_at_a_full_node_is_answered_after_sigterm() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(70);
    config["settings"]["projects"][0]["quota_rps"] = json!(1000.0);
    let mut node = Node::start(&config);
    let gate = Arc::new(Mutex::new(()));
    let shut = gate.lock().unwrap();
    serving_behind(server, &gate);
    // One more than the 19 that are allowed, each with a job that is not answered yet.
    let mut busy: Vec<Connection> =
        (0..20).map(|k| node.send_job(&format!("busy-{k}"), "/zone-plan")).collect();
    let mut health = node.client();
    health.send(HEALTH);
    assert!(health.is_silent_for(ms(200)), "it is full");
    let mut waiting: Vec<Connection> =
        (0..6).map(|k| node.send_job(&format!("waiting-{k}"), "/zone-plan")).collect();
    node.terminate();
    node.logs("told to stop");
    assert!(waiting[5].is_silent_for(ms(900)), "nobody has ended it");
    drop(shut);
    let all = busy.iter_mut().chain(&mut waiting);
    for (k, client) in all.enumerate() {
        let answer = client.message();
        assert!([200, 503].contains(&answer.status()), "{k}: {answer:?}");
    }
    assert_eq!(health.message().status(), 503);
    assert!(node.exit().success());
}

/// Nor does it close over those that came while the process stood still over that time, or over the one at which it
/// closes connections, too, however many.
#[rstest]
#[case::refusing(1_000)]
#[case::closing(2_300)]
fn what_came_while_the_process_stood_still_is_answered_after_sigterm(#[case] still: u64) {
    let (mut node, server) = node_with_server();
    serving_behind(server, &Arc::default());
    node.terminate();
    node.logs("told to stop");
    let notified = Instant::now();
    node.set_paused(true);
    let mut clients: Vec<Connection> =
        (0..100).map(|k| node.send_job(&k.to_string(), "/zone-plan")).collect();
    assert!(notified.elapsed() < ms(700), "they come in time");
    until(notified + ms(still));
    node.set_paused(false);
    for (k, client) in clients.iter_mut().enumerate() {
        let answer = client.message();
        assert!(answer.status() == 503 || answer.body == k.to_string(), "{k}: {answer:?}");
    }
    drop(clients);
    assert!(node.exit().success());
}

/// Whichever signals tell it, and however often: what is held has its one answer, and the program ends well.
#[rstest]
#[case::twice(&[Signal::TERM, Signal::TERM])]
#[case::interrupted(&[Signal::INT])]
#[case::both(&[Signal::INT, Signal::TERM, Signal::INT])]
#[case::then_reload(&[Signal::TERM, Signal::HUP, Signal::HUP])]
#[case::after_reload(&[Signal::HUP, Signal::TERM])]
fn signals_that_stop_a_node_cost_no_answer(#[case] signals: &[Signal], #[values(false, true)] at_once: bool) {
    let (mut node, server) = node_with_server();
    let mut held = node.send_job("held", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "held");
    node.set_paused(at_once);
    signals.iter().for_each(|s| node.signal(*s));
    node.set_paused(false);
    node.logs("told to stop");
    signals.iter().for_each(|s| node.signal(*s));
    backend.serve("held", "1");
    assert_eq!(held.message().body, "1");
    assert!(held.is_closed(), "one answer");
    assert!(node.exit().success());
    assert!(server.has_no_connection());
}

/// A reload that comes with the stop, in whatever order the system hands both over, or right after it: the settings with
/// the shorter deadlines say when the node may be killed.
#[rstest]
#[case::with_the_stop([5_000, 5_000], [900, 1_800], false)]
#[case::after_it([5_000, 5_000], [900, 1_800], true)]
#[case::to_longer_deadlines([900, 1_800], [5_000, 5_000], true)]
fn a_reload_beside_the_stop_delays_no_answer(
    #[case] old: [u64; 2],
    #[case] new: [u64; 2],
    #[case] after: bool,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    deadlines(&mut config, old);
    let node = Node::start(&config);
    let mut clients = known_clients(&node, 1);
    deadlines(&mut config, new);
    node.replace_config(&config.to_string());
    node.set_paused(!after);
    node.signal(Signal::TERM);
    let mut lines = if after { node.logs_until("told to stop") } else { Vec::new() };
    node.signal(Signal::HUP);
    node.set_paused(false);
    let notified = Instant::now();
    for text in ["told to stop", "new settings hold"] {
        if !lines.iter().any(|l| l.contains(text)) {
            lines.extend(node.logs_until(text));
        }
    }
    until(notified + ms(1_000));
    clients[0].send(&job("a", "/zone-plan", "5000m", ""));
    let mut backend = server.accept();
    let request = backend.message();
    let left = request.field("Request-Timeout").and_then(|t| t.strip_suffix('u')).unwrap();
    assert!(left.parse::<u64>().unwrap() < 1_350_000, "{left}");
    backend.serve("a", "1");
    assert_eq!(clients[0].message().body, "1");
}

/// A reload that comes late in the stop brings the times that are still to come forward: when connections close, and by when a
/// request that has begun then has to be whole.
#[rstest]
#[case::before_the_close([6_000, 6_000], [400, 300], false)]
#[case::after_the_close([3_000, 3_000], [2_000, 2_000], true)]
fn a_reload_late_in_the_stop_brings_its_end_forward(
    #[case] old: [u64; 2],
    #[case] new: [u64; 2],
    #[case] closed: bool,
) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    deadlines(&mut config, old);
    let mut node = Node::start(&config);
    let mut rests = known_clients(&node, 1).remove(0);
    let mut client = known_clients(&node, 1).remove(0);
    deadlines(&mut config, new);
    node.replace_config(&config.to_string());
    let notified = Instant::now();
    node.terminate();
    node.logs("new connections are refused");
    client.send("POST /zone-plan HTT");
    if closed {
        assert!(rests.is_closed());
    }
    node.reload();
    node.logs("new settings hold");
    assert!(closed || rests.is_closed());
    assert_eq!(client.message().status(), 408);
    let (took, kill) = (notified.elapsed(), ms(700 + new[0]));
    assert!(took < kill, "{took:?}, and the kill may come after {kill:?}");
    drop((client, rests));
    assert!(node.exit().success());
}

/// A node that is still starting: it waits for its configuration.
fn starting(config: &Value) -> (Node, std::path::PathBuf) {
    let command = command(&[PROGRAM, "serve", "-v"], &config.to_string());
    let named = command.get_envs().find(|(name, _)| *name == "ROUTER_CONFIG").and_then(|(_, file)| file);
    let file = std::path::PathBuf::from(named.unwrap());
    std::fs::remove_file(&file).unwrap();
    assert!(std::process::Command::new("mkfifo").arg(&file).status().unwrap().success());
    (Node::spawn(command), file)
}

/// Signals that come while a node starts don't end it: it serves, by the configuration as it is by then, or stops in
/// order.
#[rstest]
#[case::reload(Signal::HUP)]
#[case::stop(Signal::TERM)]
#[case::interrupt(Signal::INT)]
fn a_signal_during_the_start_ends_no_node_out_of_order(#[case] signal: Signal) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    let (node, file) = starting(&config);
    // It is open once the node reads it, and the node goes on only once all of it has come.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    node.signal(signal);
    std::io::Write::write_all(&mut pipe, config.to_string().as_bytes()).unwrap();
    std::fs::remove_file(&file).unwrap();
    config["settings"]["classes"][1]["name"] = json!("vent-plan");
    node.replace_config(&config.to_string());
    drop(pipe);
    let mut node = node.wait_until_serving();
    if signal == Signal::HUP {
        node.logs("new settings hold");
        node.terminate();
    }
    node.logs("told to stop");
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(node.exit().success());
}

/// Told to stop before any list has come: whoever asks is denied, and the program ends well.
#[rstest]
fn a_node_without_a_list_stops_in_order() {
    let discovery = TestServer::new();
    let mut node = Node::start(&config_with_discovery(&[], &discovery));
    let _silent = discovery.accept();
    let mut clients: Vec<Connection> = (0..3).map(|k| node.send_job(&k.to_string(), "/zone-plan")).collect();
    node.terminate();
    node.logs("told to stop");
    clients.push(node.send_job("late", "/actuator-cmd"));
    for client in &mut clients {
        assert_eq!(client.message().status(), 503);
        assert!(client.is_closed());
    }
    assert!(node.exit().success());
}

/// A list of which half has come when another discovery is named is not taken in, and neither is its rest; also when the
/// node is told to stop right then, and a job goes where the new list says.
#[rstest]
#[case::serving(false)]
#[case::stopping(true)]
fn half_a_list_is_dropped_when_discovery_moves(#[case] stops: bool) {
    let (known, wrong, right) = (TestServer::new(), TestServer::new(), TestServer::new());
    let (first, second) = (TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[known.address], &first);
    let mut node = Node::start(&config);
    let (mut before, _) = accept_watch(&first);
    let list = server_list(42, true, &[entry("s-wrong", wrong.address, "active")]);
    before.send(&format!("{:x}\r\n{}", list.len() + 1, &list[..list.len() / 2]));
    before.wait_until_read();
    config["discovery"] = json!(second.address.to_string());
    node.replace_config(&config.to_string());
    node.reload();
    if stops {
        node.terminate();
    }
    let rest = format!("{}\n\r\n", &list[list.len() / 2..]);
    node.logs("configuration read again");
    let _ = before.try_send(&rest);
    let mut after =
        serve_complete_list(&second, &server_list(7, true, &[entry("s-right", right.address, "active")]));
    assert_eq!(after.message().first, "GET /catalog/members?watch=1&from=7 HTTP/1.1");
    // The rest may have come before the node closed it.
    assert!(before.is_closed_or_reset());
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = right.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(known.has_no_connection() && wrong.has_no_connection());
    if stops {
        assert!(node.exit().success());
    }
}

/// A node that an operator has emptied stays so over a reload, and stops in order; jobs are served all the while.
#[rstest]
fn an_emptied_node_stays_so_over_a_reload_and_stops_in_order() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let mut node = Node::start(&config);
    let mut held = node.send_job("held", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "held");
    assert_eq!(node.call("POST", "/ops/drain/start"), 200);
    deadlines(&mut config, [1_200, 1_800]);
    node.replace_config(&config.to_string());
    node.reload();
    node.logs("new settings hold");
    assert_eq!(node.call("GET", "/ops/readiness"), 503);
    let mut emptied = node.send_job("emptied", "/zone-plan");
    backend.serve("held", "1");
    assert_eq!(held.message().body, "1");
    assert_eq!(backend.id(), "emptied");
    node.terminate();
    node.logs("told to stop");
    backend.serve("emptied", "2");
    assert_eq!(emptied.message().body, "2");
    let mut late = node.send_job("late", "/zone-plan");
    assert_eq!(backend.id(), "late");
    backend.serve("late", "3");
    assert_eq!(late.message().body, "3");
    assert!(node.exit().success());
}

/// A restarted node serves by the list as last held, whatever discovery does: its first health is good, and a job is
/// served.
#[rstest]
#[case::silent(true)]
#[case::deaf(false)]
fn a_restart_is_ready_while_discovery_is_slow(#[case] silent: bool) {
    let (server, agent, (deaf, _kept)) = (TestServer::new(), TestServer::new(), saturated_listener());
    let mut config = config(&[server.address]);
    config["discovery"] = json!(if silent { agent.address } else { deaf }.to_string());
    for replicas in [1, 300] {
        config["settings"]["replicas_of_me"] = json!(replicas);
        let begun = Instant::now();
        let mut node = Node::start(&config);
        let mut client = known_clients(&node, 1).remove(0);
        client.send(&job("a", "/zone-plan", "5000m", ""));
        let mut backend = server.accept();
        assert_eq!(backend.id(), "a");
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
        assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
        drop(backend);
        node.terminate();
        assert!(node.exit().success());
    }
}

/// A signal that comes while the next process waits for the listening socket costs it neither that nor its start.
#[rstest]
fn a_signal_while_the_socket_is_handed_over_ends_no_process() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let old = Node::start(&config);
    wait_for_handover_socket(&old);
    config["listen"] = json!(old.address.to_string());
    // It can connect, and is handed nothing yet.
    old.set_paused(true);
    let new = Node::spawn(command(&[PROGRAM, "serve", "-v"], &config.to_string()));
    while !new.handles_sighup() {
        std::thread::yield_now();
    }
    let begun = Instant::now();
    while begun.elapsed() < ms(700) {
        new.signal(Signal::HUP);
    }
    old.set_paused(false);
    let new = new.wait_until_serving();
    old.logs("the next process takes clients");
    assert_eq!((new.call("GET", "/ops/readiness"), old.call("GET", "/ops/readiness")), (200, 503));
}

/// The next process is told to stop while the one before it lives: that one takes clients again at once, and not only
/// when the other has answered all that it had.
#[rstest]
fn the_process_before_takes_clients_again_once_the_next_is_told_to_stop() {
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
    assert!(held.is_silent_for(ms(1)), "the other is still there");
    on_new.finish("held", "2");
    assert_eq!(held.message().body, "2");
    assert!(new.exit().success());
    old.logs("the next process has ended");
    assert_eq!(old.call("GET", "/ops/readiness"), 200);
}

/// A process that is told to stop while it waits for the list, before it takes clients over, ends well; the one before
/// it serves on, and no client hears of it.
#[rstest]
fn a_process_that_stops_before_it_takes_over_costs_nothing() {
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
    new.logs("told to stop");
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
