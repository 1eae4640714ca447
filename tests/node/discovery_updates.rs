//! Tests of when discovery's lists are in force: watches that end or stall, requests that fail for long, malformed and
//! replaced lists, and reloads that name another discovery.

use crate::support::*;
use crate::{accept_watch, config_with_discovery, serve_complete_list, server_list};
use rstest::rstest;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A change is in force within this time from when discovery has it and can be reached.
const UPDATE_LIMIT: Duration = Duration::from_secs(6);
/// Each request to discovery has to begin within this time: discovery may queue it for 2 s, and its list is in force 0.2 s
/// later.
const REQUEST_LIMIT: Duration = Duration::from_millis(3_800);

/// Returns the configuration of one of `replicas` nodes that request their lists, whose random delays depend on `seed`.
fn config_on_request(server: &TestServer, discovery: &TestServer, replicas: u32, seed: u64) -> Value {
    let mut config = config_with_discovery(&[server.address], discovery);
    config["seed"] = json!(format!("{seed:x}"));
    config["settings"]["replicas_of_me"] = json!(replicas);
    config["settings"]["discovery"] = json!("on_request");
    config
}

/// How a request to discovery fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// Rejected at once.
    Busy,
    /// Rejected after two seconds.
    BusyAfterDelay,
    /// The connection is reset with the request unread.
    Reset,
    /// Read, and not responded to until the node gives up.
    NoResponse,
}

impl Failure {
    /// Plays discovery on one connection.
    pub fn play(self, mut connection: Connection) {
        match self {
            Failure::Busy | Failure::BusyAfterDelay => {
                connection.message();
                if self == Failure::BusyAfterDelay {
                    connection.assert_silent_for(Duration::from_secs(2));
                }
                connection.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                assert!(connection.is_closed());
            }
            Failure::Reset => connection.reset_after_data(),
            Failure::NoResponse => {
                connection.message();
                assert!(connection.is_closed());
            }
        }
    }
}

/// A change that discovery has from the last failed request on is in force in time. Requests fail as `first` until the
/// limit since the start has passed, and then some `times` as `then`.
#[rstest]
#[case::busy(Failure::Busy, Failure::Busy, 4)]
#[case::busy_after_delay(Failure::Busy, Failure::BusyAfterDelay, 2)]
#[case::reset(Failure::Reset, Failure::Reset, 2)]
#[case::no_response(Failure::Reset, Failure::NoResponse, 1)]
fn a_change_after_failed_requests_is_in_force_in_time(
    #[case] first: Failure,
    #[case] then: Failure,
    #[case] times: u32,
) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_on_request(&server, &discovery, 300, 1));
    let begun = Instant::now();
    let mut last = None;
    let mut fail_next = |failure: Failure| {
        let connection = discovery.accept();
        let apart = last.replace(Instant::now()).map_or(Duration::ZERO, |at: Instant| at.elapsed());
        assert!(apart < REQUEST_LIMIT, "{apart:?} between two requests");
        failure.play(connection);
    };
    while begun.elapsed() < UPDATE_LIMIT {
        fail_next(first);
    }
    (0..times).for_each(|_| fail_next(then));
    // The next request could reach discovery right after the last one that failed began.
    let available = last.unwrap();
    let (mut watch, request) = accept_watch(&discovery);
    assert!(available.elapsed() < REQUEST_LIMIT, "requested after {:?}", available.elapsed());
    assert_eq!(request, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    watch.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
    assert!(available.elapsed() < UPDATE_LIMIT, "{:?}", available.elapsed());
}

/// The limit runs from the start of the silence, not from a request that discovery rejects after a delay.
#[rstest]
#[case::short_delay(1)]
#[case::long_delay(2060)]
fn a_change_after_silence_and_a_late_rejection_is_in_force_in_time(#[case] seed: u64) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_on_request(&server, &discovery, 300, seed));
    let (mut first, _) = accept_watch(&discovery);
    first.line(&server_list(41, true, &[entry("s-0", server.address, "active")]));
    let silent = Instant::now();
    Failure::BusyAfterDelay.play(discovery.accept());
    let (mut second, _) = accept_watch(&discovery);
    second.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
    assert!(silent.elapsed() < UPDATE_LIMIT, "{:?}", silent.elapsed());
}

/// The limit runs from the last data of a watch, not from its reset: changes may have been lost in between.
#[rstest]
#[case::short_delay(1)]
#[case::long_delay(2060)]
fn a_watch_that_is_reset_after_silence_is_resumed_in_time(#[case] seed: u64) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_on_request(&server, &discovery, 300, seed));
    let (mut first, _) = accept_watch(&discovery);
    first.line(&server_list(41, true, &[entry("s-0", server.address, "active")]));
    let silent = Instant::now();
    first.assert_silent_for(Duration::from_millis(1_500));
    drop(first);
    let (mut second, _) = accept_watch(&discovery);
    assert!(silent.elapsed() < REQUEST_LIMIT, "requested after {:?}", silent.elapsed());
    second.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
}

/// The watch follows a complete list on the same connection, and resumes from the last revision received.
#[rstest]
#[case::without_any_byte(false)]
#[case::after_its_first_list(true)]
fn a_silent_watch_after_a_complete_list_is_resumed_in_time(#[case] sends_list: bool) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_on_request(&server, &discovery, 300, 1));
    let (mut first, _) = accept_watch(&discovery);
    first.line("nonsense");
    let mut poll =
        serve_complete_list(&discovery, &server_list(50, true, &[entry("s-0", server.address, "active")]));
    let mut silent = Instant::now();
    assert_eq!(poll.message().first, "GET /catalog/members?watch=1&from=50 HTTP/1.1");
    let from = if sends_list {
        poll.begin();
        poll.line(&server_list(51, true, &[entry("s-0", server.address, "active")]));
        silent = Instant::now();
        51
    } else {
        50
    };
    let (mut second, request) = accept_watch(&discovery);
    assert_eq!(request, format!("GET /catalog/members?watch=1&from={from} HTTP/1.1"));
    second.line(&server_list(52, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 52");
    assert!(silent.elapsed() < UPDATE_LIMIT, "{:?}", silent.elapsed());
    assert!(poll.is_closed());
}

/// Discovery may send a complete list on a watch that requested changes since a revision. Servers that are missing from it
/// get no more jobs.
#[rstest]
fn a_complete_list_on_a_watch_replaces_the_table() {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[old.address, old.address], &discovery));
    let (mut first, _) = accept_watch(&discovery);
    first.line(&server_list(42, false, &[entry("s-1", old.address, "left")]));
    node.logs("server table 42");
    drop(first);
    let (mut second, request) = accept_watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=42 HTTP/1.1");
    second.line(&server_list(60, true, &[entry("s-new", new.address, "active")]));
    node.logs("server table 60: 1 entries, whole=true");
    // The next change is applied to the complete list.
    second.line(&server_list(61, false, &[entry("s-1", new.address, "active")]));
    node.logs("server table 61: 1 entries, whole=false");
    for k in 0..6 {
        let mut client = node.send_job(&k.to_string(), "/zone-plan");
        let mut backend = new.accept();
        assert_eq!(backend.id(), k.to_string());
        backend.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        backend.send(&format!("{}\n", json!({"id": k.to_string(), "state": "done", "result": "r"})));
        drop(backend);
        assert_eq!(client.message().status(), 200);
    }
    assert!(old.has_no_connection());
}

/// Discovery's revisions restart when it loses its data. The list is applied, and the next watch resumes from it.
#[rstest]
#[case::complete_list(true)]
#[case::changes(false)]
fn a_list_with_a_lower_revision_is_applied(#[case] complete: bool) {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[old.address], &discovery));
    let (mut first, _) = accept_watch(&discovery);
    let members = [entry("s-0", old.address, "leaving"), entry("s-new", new.address, "active")];
    first.line(&server_list(3, complete, &members));
    node.logs("server table 3: 2 entries");
    drop(first);
    let (_second, request) = accept_watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=3 HTTP/1.1");
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = new.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(old.has_no_connection());
}

/// No job is dispatched until another list names a server.
#[rstest]
fn an_empty_complete_list_empties_the_table() {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[server.address], &discovery));
    let (mut watch, _) = accept_watch(&discovery);
    watch.line(&server_list(42, true, &[]));
    node.logs("server table 42: 0 entries, whole=true");
    let mut client = node.client();
    client.send(&job("a", "/actuator-cmd", "400m", ""));
    assert_eq!(client.message().status(), 503);
    assert!(server.has_no_connection());
    watch.line(&server_list(43, false, &[entry("s-0", server.address, "active")]));
    node.logs("server table 43");
    client.send(&job("b", "/actuator-cmd", "5000m", ""));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "b");
    backend.serve("b", "1");
    assert_eq!(client.message().body, "1");
}

/// The old table stays in use, and the node requests the complete list until a valid one arrives.
#[rstest]
#[case::no_json("nonsense")]
#[case::no_list("{\"revision\": 44}")]
#[case::no_address("{\"revision\":44,\"complete\":true,\"members\":[{\"id\":\"s-0\",\"host_port\":\"here\",\"phase\":\"active\"}]}")]
fn a_malformed_list_changes_nothing(#[case] malformed: &str) {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[old.address], &discovery));
    let (mut first, _) = accept_watch(&discovery);
    first.line(malformed);
    assert!(first.is_closed());
    // The complete list is malformed, cut off, or empty.
    let list = server_list(45, true, &[entry("s-new", new.address, "active")]);
    for text in [malformed, &list[..list.len() - 1], ""] {
        let mut poll = serve_complete_list(&discovery, text);
        assert!(poll.is_closed());
        node.logs("reason=malformed");
    }
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = old.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "from the old one");
    assert_eq!(client.message().body, "from the old one");
    let mut last = serve_complete_list(&discovery, &list);
    assert_eq!(last.message().first, "GET /catalog/members?watch=1&from=45 HTTP/1.1");
    client.send(&job("b", "/zone-plan", "5000m", ""));
    let mut backend = new.accept();
    assert_eq!(backend.id(), "b");
    backend.serve("b", "from the new one");
    assert_eq!(client.message().body, "from the new one");
}

/// Guards against a list that is rejected for a missing address but counted as a sign that the table is up to date.
#[rstest]
fn a_rejected_list_does_not_confirm_the_table() {
    let (server, agent) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[server.address], &agent));
    let list = server_list(44, true, &[json!({"id": "s-0", "host_port": "here", "phase": "active"})]);
    agent.handle_connections(move |mut connection| {
        connection.message();
        connection.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
        assert!(connection.is_closed());
    });
    node.logs("server 's-0' has no address with a port: 'here'");
    node.logs("discovery has confirmed nothing");
}

/// Only a watch brings changes, so the node opens one although the response with the complete list doesn't end.
#[rstest]
#[case::empty_lines("1\r\n\n\r\n")]
#[case::nothing("")]
fn an_endless_complete_list_is_followed_by_a_watch(#[case] more: &str) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_on_request(&server, &discovery, 300, 1));
    let (mut first, _) = accept_watch(&discovery);
    first.line("nonsense");
    let mut poll = discovery.accept();
    assert_eq!(poll.message().first, "GET /catalog/members HTTP/1.1");
    poll.begin();
    poll.line(&server_list(50, true, &[entry("s-0", server.address, "active")]));
    let received = Instant::now();
    node.logs("server table 50");
    if more.is_empty() {
        assert!(poll.is_closed());
    } else {
        poll.trickle_until_closed(more);
    }
    let (mut second, request) = accept_watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=50 HTTP/1.1");
    second.line(&server_list(51, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 51");
    assert!(received.elapsed() < UPDATE_LIMIT, "{:?}", received.elapsed());
}

/// SIGHUP names another discovery after half of a list, whose other half arrives with the signal. Guards against a list of
/// the old discovery that is applied after the reload.
#[rstest]
#[case::on_a_watch(false)]
#[case::complete_list(true)]
fn lists_of_the_old_discovery_are_ignored_after_a_reload(#[case] polls: bool) {
    let (server, other) = (TestServer::new(), TestServer::new());
    let (first, second) = (TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[server.address], &first);
    let node = Node::start(&config);
    let (mut before, _) = accept_watch(&first);
    if polls {
        before.line("nonsense");
        before = first.accept();
        before.message();
        before.begin();
    }
    let list = server_list(43, true, &[entry("s-other", other.address, "active")]) + "\n";
    let (half, rest) = list.split_at(list.len() / 2);
    before.send(&format!("{:x}\r\n{half}\r\n", half.len()));
    node.set_paused(true);
    config["discovery"] = json!(second.address.to_string());
    node.replace_config(&config.to_string());
    node.reload();
    before.send(&format!("{:x}\r\n{rest}\r\n", rest.len()));
    node.set_paused(false);
    node.logs("configuration read again");
    // The old discovery's list may have been applied before the reload, but not after it.
    let (mut poll, list) = (second.accept(), server_list(2, true, &[entry("s-0", server.address, "active")]));
    assert_eq!(poll.message().first, "GET /catalog/members HTTP/1.1");
    let _ = before.receives_data();
    poll.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    let after = node.logs_until("server table 2:");
    assert!(after.iter().all(|l| !l.contains("server table 43")), "{after:?}");
    assert_eq!(poll.message().first, "GET /catalog/members?watch=1&from=2 HTTP/1.1");
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(other.has_no_connection() && second.has_no_connection());
}

/// Revisions of one discovery mean nothing to another one, so the node requests the complete list after a reload, even
/// while the first request still waits for its random delay.
#[rstest]
fn a_reload_before_the_first_request_leads_to_a_complete_list() {
    let (server, first, second) = (TestServer::new(), TestServer::new(), TestServer::new());
    let mut config = config_on_request(&server, &first, 300, 1);
    let node = Node::start(&config);
    config["discovery"] = json!(second.address.to_string());
    node.replace_config(&config.to_string());
    node.reload();
    node.logs("configuration read again");
    let mut poll = second.accept();
    assert_eq!(poll.message().first, "GET /catalog/members HTTP/1.1");
    assert!(first.has_no_connection(), "with this seed the first request is delayed for longer");
}

/// An agent accepts requests while discovery is down and responds when it returns. The list is in force within the drain
/// grace, on whichever request is open then.
#[rstest]
fn a_request_that_is_open_when_an_agent_recovers_brings_the_list_at_once() {
    let (server, agent) = (TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[server.address], &agent);
    config["settings"]["replicas_of_me"] = json!(300);
    let node = Node::start(&config);
    // The first request times out; the second one is open when discovery returns.
    Failure::NoResponse.play(agent.accept());
    let mut open = agent.accept();
    assert_eq!(open.message().first, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    let recovered = Instant::now();
    open.begin();
    open.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
    assert!(recovered.elapsed() < Duration::from_millis(250), "{:?}", recovered.elapsed());
}

/// After a reload by which lists are pushed, the node retries a failing agent within the new drain grace, as the agent may
/// know of a leaving server.
#[rstest]
#[case::short(150)]
#[case::default(500)]
fn a_failing_agent_is_retried_within_the_drain_grace_in_force(#[case] grace: u64) {
    const REQUESTS: u32 = 12;
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = config_on_request(&server, &discovery, 300, 1);
    let node = Node::start(&config);
    // Requests of one of 300 nodes are seconds apart.
    (0..3).for_each(|_| discovery.accept().reset_after_data());
    config["settings"]["discovery"] = json!("pushed");
    config["settings"]["rules"]["drain_grace_ms"] = json!(grace);
    node.replace_config(&config.to_string());
    node.reload();
    node.logs("new settings are in force");
    // The backoff that has begun may still be long.
    discovery.accept().reset_after_data();
    let begun = Instant::now();
    (0..REQUESTS).for_each(|_| discovery.accept().reset_after_data());
    let limit = Duration::from_millis(grace) * REQUESTS;
    println!("{REQUESTS} requests in {:?}, of {limit:?}", begun.elapsed());
    assert!(begun.elapsed() < limit, "{REQUESTS} requests in {:?}", begun.elapsed());
}
