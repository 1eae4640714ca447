//! The node as its neighbours see it: each test starts the program and speaks with it over sockets.

#[path = "node/audit.rs"]
mod audit;
#[path = "node/deployments.rs"]
mod deployments;
#[path = "node/discovery_streams.rs"]
mod discovery_streams;
#[path = "node/discovery_updates.rs"]
mod discovery_updates;
#[path = "node/fleet.rs"]
mod fleet;
#[path = "node/gone.rs"]
mod gone;

#[path = "node/lending.rs"]
mod load_shifting;

#[path = "node/operators.rs"]
mod operators;
#[path = "node/orders.rs"]
mod orders;
#[path = "node/homes.rs"]
mod ownership;
#[path = "node/rare.rs"]
mod rare;
#[path = "node/recovery.rs"]
mod recovery;
#[path = "node/service_guarantees.rs"]
mod service_guarantees;
#[path = "node/sites.rs"]
mod sites;
#[path = "node/stopping.rs"]
mod stopping;
mod support;

#[path = "node/written.rs"]
mod written;

use rstest::rstest;
use serde_json::json;
use std::time::{Duration, Instant};
use support::*;

/// A node with one backend server and an empty table of troubles.
fn node_with_server() -> (Node, TestServer) {
    let server = TestServer::new();
    (Node::start(&config(&[server.address])), server)
}

#[rstest]
fn a_job_goes_on_unchanged_and_its_result_comes_back() {
    let (node, server) = node_with_server();
    let mut client = node.client();
    client.send(&job("9b1f03aa5c7e2d41", "/zone-plan/x%20y?obj=7f3a&b=%2F", "5000m", "a body"));
    let mut backend = server.accept();
    let request = backend.message();
    assert_eq!(request.first, "POST /zone-plan/x%20y?obj=7f3a&b=%2F HTTP/1.1");
    assert_eq!(request.field("Request-Id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(request.body, "a body");
    let timeout = request.field("Request-Timeout").and_then(|t| t.strip_suffix('u')).unwrap();
    assert!((4_000_000..=5_000_000).contains(&timeout.parse::<u64>().unwrap()));
    backend.serve("9b1f03aa5c7e2d41", "the \"result\"\n");
    let answer = client.message();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "the \"result\"\n"));
    // Both connections are used again.
    client.send(&job("b", "/zone-plan", "5000m", ""));
    assert_eq!(backend.message().field("Request-Id"), Some("b"));
    backend.serve("b", "2");
    assert_eq!(client.message().body, "2");
    assert!(server.has_no_connection());
}

/// What may have run is never dispatched again where that does harm.
#[rstest]
#[case::failed("{\"id\":\"a\",\"from\":\"s\",\"state\":\"failed\"}", "")]
#[case::lost("{\"id\":\"a\",\"from\":\"s\",\"state\":\"lost\"}", "")]
#[case::anothers("{\"id\":\"z\",\"from\":\"s\",\"state\":\"done\",\"result\":\"theirs\"}", "makes no sense")]
#[case::no_result("{\"id\":\"a\",\"from\":\"s\",\"state\":\"done\"}", "makes no sense")]
#[case::nonsense("{]", "makes no sense")]
#[case::unknown_state("{\"id\":\"a\",\"from\":\"s\",\"state\":\"asleep\"}", "makes no sense")]
fn a_line_that_is_no_result_fails_the_job(#[case] line: &str, #[case] logged: &str) {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    backend.message();
    backend.begin();
    backend.line(line);
    assert_eq!(client.message().status(), 502);
    if !logged.is_empty() {
        node.logs(logged);
        assert!(backend.is_closed());
    }
    assert!(server.has_no_connection());
}

#[rstest]
#[case::error("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")]
#[case::busy_but_silent_on_it("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")]
#[case::head_of_nonsense("SMTP ready\r\n\r\n")]
#[case::ends_early("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::bad_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n")]
#[case::breaks("")]
fn an_answer_that_proves_nothing_fails_the_job(#[case] answer: &str) {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    backend.message();
    backend.send(answer);
    drop(backend);
    assert_eq!(client.message().status(), 502);
    assert!(server.has_no_connection());
}

/// What a backend server can't use is no sign that it, or the class, is ill: the next jobs go through.
#[rstest]
fn a_job_that_is_turned_away_as_malformed_fails_alone() {
    let (node, server) = node_with_server();
    let mut client = node.client();
    let mut backend = None;
    for k in 0..12 {
        client.send(&job(&format!("bad-{k}"), "/zone-plan", "5000m", ""));
        let backend = backend.get_or_insert_with(|| server.accept());
        for _ in 0..2 {
            backend.message();
            backend.send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
        }
        assert_eq!(client.message().status(), 502);
        client.send(&job(&format!("good-{k}"), "/zone-plan", "5000m", ""));
        backend.message();
        backend.serve(&format!("good-{k}"), "served");
        assert_eq!(client.message().body, "served");
    }
    assert!(server.has_no_connection());
}

/// The id of an open job is its own, whoever sends it again; once it is answered the id is free.
#[rstest]
fn the_id_of_an_open_job_is_not_taken_again() {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    backend.message();
    for target in ["/actuator-cmd", "/zone-plan?obj=1"] {
        assert_eq!(node.send_job("a", target).message().status(), 409);
    }
    backend.serve("a", "mine");
    assert_eq!(client.message().body, "mine");
    client.send(&job("a", "/zone-plan", "5000m", ""));
    backend.message();
    backend.serve("a", "again");
    assert_eq!(client.message().body, "again");
    assert!(server.has_no_connection());
}

/// What never ran may be dispatched again, whatever it does.
#[rstest]
#[case::status_503("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 2\r\n\r\nno")]
#[case::status_504("HTTP/1.1 504 Late\r\nnot-started: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::returned(
    "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"id\":\"a\",\"from\":\"s\",\"state\":\"returned\"}"
)]
fn a_job_turned_away_is_tried_again(#[case] answer: &str) {
    let (node, server) = node_with_server();
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    backend.message();
    backend.send(answer);
    assert_eq!(backend.message().field("Request-Id"), Some("a"), "on the same connection");
    backend.serve("a", "done");
    assert_eq!(client.message().body, "done");
}

#[rstest]
fn a_refused_connection_is_told_and_logged() {
    let server = TestServer::new();
    let node = Node::start(&config(&[refusing_address(), server.address]));
    // Of so many at least one comes to the server that is not there, and none is lost by that.
    for k in 0..12 {
        let mut client = node.send_job(&k.to_string(), "/actuator-cmd");
        let mut backend = server.accept();
        backend.message();
        backend.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        backend.send(&format!("{}\n", json!({"id": k.to_string(), "state": "done", "result": "r"})));
        drop(backend);
        assert_eq!(client.message().status(), 200);
    }
    node.logs("reason=refused");
}

const HEAD: &str = "Host: h\r\nRequest-Id: a\r\nTenant: acme\r\nRequest-Timeout: 900m\r\n";

#[rstest]
#[case::no_http("hello\r\n\r\n", 400)]
#[case::bad_header("POST /zone-plan HTTP/1.1\r\nHost h\r\n\r\n", 400)]
#[case::no_host("GET /_health HTTP/1.1\r\n\r\n", 400)]
#[case::two_lengths("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400)]
#[case::both_framings(
    "POST /zone-plan HTTP/1.1\r\n{H}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    400
)]
#[case::signed_length("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: +1\r\n\r\nx", 400)]
#[case::bad_chunk("POST /zone-plan HTTP/1.1\r\n{H}Transfer-Encoding: chunked\r\n\r\nq\r\n", 400)]
#[case::unknown_coding("POST /zone-plan HTTP/1.1\r\n{H}Transfer-Encoding: gzip, chunked\r\n\r\n", 501)]
#[case::too_long("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: 65537\r\n\r\n", 413)]
#[case::huge_length("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: 99999999999999999999999\r\n\r\n", 413)]
#[case::huge_chunk("POST /zone-plan HTTP/1.1\r\n{H}Transfer-Encoding: chunked\r\n\r\nfffff\r\n{X}{X}", 413)]
#[case::large_head("POST /zone-plan HTTP/1.1\r\n{H}X: {X}\r\n\r\n", 431)]
#[case::endless_head("POST /zone-plan?{X}", 431)]
#[case::unknown_class("POST /zone-plans HTTP/1.1\r\n{H}\r\n", 404)]
#[case::no_class("POST / HTTP/1.1\r\n{H}\r\n", 404)]
#[case::wrong_method("GET /zone-plan HTTP/1.1\r\n{H}\r\n", 405)]
#[case::wrong_method_for_health("POST /_health HTTP/1.1\r\n{H}\r\n", 405)]
#[case::no_id("POST /zone-plan HTTP/1.1\r\nHost: h\r\nTenant: acme\r\nRequest-Timeout: 9m\r\n\r\n", 400)]
#[case::no_timeout("POST /zone-plan HTTP/1.1\r\nHost: h\r\nTenant: acme\r\nRequest-Id: a\r\n\r\n", 400)]
#[case::bad_timeout("POST /zone-plan HTTP/1.1\r\n{H}Request-Timeout: 9m\r\n\r\n", 400)]
#[case::unit_missing(
    "POST /zone-plan HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nTenant: acme\r\nRequest-Timeout: 9\r\n\r\n",
    400
)]
#[case::not_a_time(
    "POST /zone-plan HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nTenant: acme\r\nRequest-Timeout: NaNm\r\n\r\n",
    400
)]
#[case::stranger(
    "POST /zone-plan HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nTenant: x\r\nRequest-Timeout: 9m\r\n\r\n",
    400
)]
fn bad_input_is_answered_and_harms_nobody(#[case] input: &str, #[case] status: u16) {
    let (node, server) = node_with_server();
    let input = input.replace("{H}", HEAD).replace("{X}", &"x".repeat(40_000));
    let mut client = node.client();
    client.send(&input);
    assert_eq!(client.message().status(), status);
    let mut health = node.client();
    health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(health.message().status(), 200);
    assert!(server.has_no_connection());
}

#[rstest]
#[case::chunked("POST /zone-plan HTTP/1.1\r\n{H}Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: t\r\n\r\n")]
#[case::counted("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: 5\r\n\r\nabcde")]
fn split_and_pipelined_input_works(#[case] request: &str) {
    let (node, server) = node_with_server();
    let request = request.replace("{H}", HEAD);
    let mut client = node.client();
    for byte in request.chars() {
        client.send(&byte.to_string());
    }
    // Two more before the first is answered.
    client.send(&format!("{request}{request}"));
    let mut backend = server.accept();
    for result in ["1", "2", "3"] {
        let got = backend.message();
        assert_eq!((got.body.as_str(), got.field("Content-Length")), ("abcde", Some("5")));
        backend.serve("a", result);
        assert_eq!(client.message().body, result);
    }
}

#[rstest]
fn a_client_that_expects_to_be_told_to_go_on_is() {
    let (node, server) = node_with_server();
    let mut client = node.client();
    client.send(&format!(
        "POST /zone-plan HTTP/1.1\r\n{HEAD}Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    ));
    assert_eq!(client.message().status(), 100);
    client.send("ok");
    let mut backend = server.accept();
    assert_eq!(backend.message().body, "ok");
    backend.serve("a", "fine");
    assert_eq!(client.message().body, "fine");
}

/// The one server has a job that has not started, so the next ones are held.
#[rstest]
fn a_client_that_closes_is_gone() {
    let (node, server) = node_with_server();
    let mut first = node.send_job("first", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    drop(node.send_job("gone", "/zone-plan"));
    node.logs("reason=peer-broke");
    let mut third = node.send_job("third", "/zone-plan");
    backend.serve("first", "1");
    assert_eq!(first.message().body, "1");
    assert_eq!(backend.message().field("Request-Id"), Some("third"));
    backend.serve("third", "3");
    assert_eq!(third.message().body, "3");
}

#[rstest]
#[case::milliseconds("300m", "/actuator-cmd", 502)]
#[case::microseconds("300000u", "/actuator-cmd", 502)]
#[case::harmless("300m", "/zone-plan", 503)]
fn an_answer_comes_before_the_client_gives_up(#[case] time: &str, #[case] path: &str, #[case] status: u16) {
    let (node, server) = node_with_server();
    let mut client = node.client();
    let sent = Instant::now();
    client.send(&job("a", path, time, ""));
    let mut backend = server.accept();
    backend.message();
    assert_eq!(client.message().status(), status);
    let took = sent.elapsed();
    assert!(took > Duration::from_millis(200) && took < Duration::from_millis(350), "{took:?}");
    assert!(backend.is_closed(), "the attempt is given up");
    node.logs("reason=timed-out");
}

#[rstest]
fn a_deny_is_sent_at_once_and_advises() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["settings"]["allowed"]["try_limit"] = json!(1);
    let node = Node::start(&config);
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    backend.message();
    let turned_away = Instant::now();
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    let answer = client.message();
    assert_eq!(answer.status(), 503);
    assert!(turned_away.elapsed() < Duration::from_secs(1));
    let seconds: f64 = answer.field("Retry-After").unwrap().parse().unwrap();
    assert!(seconds > 0.0 && seconds <= 2.0);
}

#[rstest]
fn idle_connections_close_in_time_and_dead_ones_are_not_used() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["settings"]["allowed"]["conn_idle_ms"] = json!(1000.0);
    let node = Node::start(&config);
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    drop(backend);
    assert!(node.logs("end backend").contains("reason=peer-closed messages=1"));
    client.send(&job("b", "/actuator-cmd", "5000m", ""));
    let mut backend = server.accept();
    backend.message();
    backend.serve("b", "2");
    let idle = Instant::now();
    assert_eq!(client.message().body, "2");
    assert!(backend.is_closed());
    assert!(idle.elapsed() < Duration::from_millis(950));
    node.logs("reason=idle");
}

#[rstest]
fn a_connection_that_does_not_come_up_has_its_time() {
    let (address, _kept) = saturated_listener();
    let mut config = config(&[address]);
    config["settings"]["allowed"]["connect_timeout_ms"] = json!(150.0);
    let node = Node::start(&config);
    let mut client = node.send_job("a", "/actuator-cmd");
    node.logs("reason=connect-timeout messages=0");
    assert_eq!(client.message().status(), 503, "it never ran, so a deny is true");
}

/// A configuration with those backend servers and that discovery.
fn config_with_discovery(servers: &[std::net::SocketAddr], discovery: &TestServer) -> serde_json::Value {
    let mut config = config(servers);
    config["discovery"] = json!(discovery.address.to_string());
    config
}

/// Let a configuration be that of one node among a hundred that may probe.
fn enable_probing(config: &mut serde_json::Value) {
    let settings = &mut config["settings"];
    settings["replicas_of_me"] = json!(100);
    settings["report"] = json!({"how": "probe", "fields": ["x0", "err_ps", "concurrent"]});
    settings["family_info"]["report_x0"] = json!("free slots");
    settings["costs"] = json!({"probe": 0.01});
}

/// The answer to a probe.
fn load_report(free: u32, held: u32) -> String {
    let text = format!("TEXT x0={free}, err_ps=nonsense, concurrent={held}");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

/// Discovery's side of a watch, up to the list that it begins with.
fn accept_watch(discovery: &TestServer) -> (Connection, String) {
    let mut watch = discovery.accept();
    let request = watch.message();
    watch.begin();
    (watch, request.first)
}

/// Discovery is asked for its whole list and gives it.
fn serve_complete_list(discovery: &TestServer, list: &str) -> Connection {
    let mut peer = discovery.accept();
    assert_eq!(peer.message().first, "GET /catalog/members HTTP/1.1");
    peer.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    peer
}

fn server_list(revision: u64, complete: bool, members: &[serde_json::Value]) -> String {
    json!({"revision": revision, "complete": complete, "members": members}).to_string()
}

#[rstest]
#[case::leaving("leaving")]
#[case::gone("left")]
fn nothing_is_written_to_a_server_known_to_leave(#[case] phase: &str) {
    let ((address, _kept), discovery) = (saturated_listener(), TestServer::new());
    let mut config = config(&[address]);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["allowed"]["connect_timeout_ms"] = json!(9000.0);
    let node = Node::start(&config);
    let (mut watch, _) = accept_watch(&discovery);
    let mut client = node.client();
    client.send(&job("a", "/actuator-cmd", "1000m", ""));
    node.logs("dispatch 1.0 to");
    watch.line(&server_list(42, false, &[entry("s-0", address, phase)]));
    node.logs("reason=server-left messages=0");
    assert_eq!(client.message().status(), 503);
}

#[rstest]
fn the_watch_goes_on_from_the_last_revision_and_lists_replace() {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[old.address], &discovery));
    let (mut first, request) = accept_watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    first.line("");
    first.line(&server_list(43, true, &[entry("s-new", new.address, "active")]));
    node.logs("server table 43");
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = new.accept();
    backend.message();
    backend.serve("a", "from the new one");
    assert_eq!(client.message().body, "from the new one");
    assert!(old.has_no_connection());
    drop(first);
    let (mut second, request) = accept_watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=43 HTTP/1.1");
    // A line of nonsense ends the watch, and the whole list is asked for.
    second.line("{\"revision\": 44}");
    node.logs("reason=malformed");
    let mut third = serve_complete_list(&discovery, &server_list(44, true, &[]));
    assert_eq!(third.message().first, "GET /catalog/members?watch=1&from=44 HTTP/1.1");
    third.begin();
    third.line(&server_list(45, true, &[entry("s-new", new.address, "active")]));
    node.logs("server table 45");
    // Then it says nothing more, as when it is cut off.
    node.logs("reason=silent");
    let (_fourth, request) = accept_watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=45 HTTP/1.1");
}

/// On SIGHUP the discovery that the file names now is followed, whatever the environment named, and its
/// list replaces the old one, although its revisions are lower; jobs that are out stay where they are.
#[rstest]
fn a_replaced_configuration_is_followed() {
    let (old, kept, new) = (TestServer::new(), TestServer::new(), TestServer::new());
    let (first, second) = (TestServer::new(), TestServer::new());
    let mut config = config(&[]);
    config["discovery"] = json!(first.address.to_string());
    let node = Node::start_with(&config, |c| {
        c.env("ROUTER_DISCOVERY", first.address.to_string());
    });
    let (mut before, _) = accept_watch(&first);
    let servers = [entry("s-old", old.address, "active"), entry("s-kept", kept.address, "active")];
    before.line(&server_list(43, true, &servers));
    node.logs("server table 43");
    let mut clients: Vec<Connection> =
        ["a", "b"].map(|id| node.send_job(id, "/zone-plan")).into_iter().collect();
    let (mut on_old, mut on_kept) = (old.accept(), kept.accept());
    let (id_old, id_kept) = (on_old.id(), on_kept.id());
    // Bad files first, more than one: each is one line of the log, and nothing changes.
    for bad in ["{", "{\"listen\": \"here\"}"] {
        node.replace_config(bad);
        node.reload();
        node.logs("the old configuration stays");
    }
    config["discovery"] = json!(second.address.to_string());
    config["limits"]["memory_mb"] = json!(100);
    node.replace_config(&config.to_string());
    node.reload();
    node.logs("a restart is needed for what has changed in: limits");
    let list = server_list(
        2,
        true,
        &[entry("s-kept", kept.address, "active"), entry("s-new", new.address, "active")],
    );
    let mut after = serve_complete_list(&second, &list);
    assert_eq!(after.message().first, "GET /catalog/members?watch=1&from=2 HTTP/1.1");
    assert!(before.is_closed());
    // Once more, with nothing changed: the watch stays.
    node.reload();
    node.logs("configuration read again");
    on_old.serve(&id_old, "served");
    on_kept.serve(&id_kept, "served");
    clients.iter_mut().for_each(|c| assert_eq!(c.message().body, "served"));
    assert!(on_old.is_closed(), "nothing more goes to a server that the new list does not hold");
    let mut more: Vec<Connection> =
        ["c", "d"].map(|id| node.send_job(id, "/zone-plan")).into_iter().collect();
    let mut on_new = new.accept();
    let (id_new, id_kept) = (on_new.id(), on_kept.id());
    on_new.serve(&id_new, "served");
    on_kept.serve(&id_kept, "served");
    more.iter_mut().for_each(|c| assert_eq!(c.message().body, "served"));
    assert!(old.has_no_connection() && kept.has_no_connection() && second.has_no_connection());
}

#[rstest]
fn a_node_told_to_stop_is_not_ended_by_a_reload() {
    let (mut node, server) = node_with_server();
    let mut held = node.send_job("held", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    node.reload();
    node.terminate();
    node.reload();
    node.logs("told to stop");
    node.reload();
    backend.serve("held", "1");
    assert_eq!(held.message().body, "1");
    assert!(node.exit().success());
}

#[rstest]
fn a_node_told_to_stop_answers_all_it_takes() {
    let (mut node, server) = node_with_server();
    let mut held = node.send_job("held", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    let mut idle = node.client();
    idle.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(idle.message().status(), 200);
    node.terminate();
    node.logs("told to stop");
    let mut late = node.send_job("late", "/zone-plan");
    // In one piece: the job that is late has to come on this connection.
    backend.serve_at_once("held", "1");
    assert_eq!(held.message().body, "1");
    assert_eq!(backend.id(), "late");
    // A job that has started is not called off, however long this test takes from here on.
    backend.begin();
    backend.state("late", "started");
    // New connections end first; those that clients have go on for a while, with answers in time.
    node.logs("new connections are refused");
    assert!(node.refuses_connections());
    idle.send(&job("later", "/zone-plan", "60000m", ""));
    let mut other = server.accept();
    let request = other.message();
    assert_eq!(request.field("Request-Id"), Some("later"));
    let timeout = request.field("Request-Timeout").and_then(|t| t.strip_suffix('u')).unwrap();
    assert!(timeout.parse::<u64>().unwrap() < 3_000_000);
    other.serve("later", "3");
    assert_eq!(idle.message().body, "3");
    backend.finish("late", "2");
    assert_eq!(late.message().body, "2");
    assert!(idle.is_closed(), "an idle connection is closed in order");
    assert!(node.exit().success());
    node.logs("end backend");
    node.logs("stopped");
}

/// More clients than the limit allows: idle ones give way, and no answer is lost.
#[rstest]
#[case::own_limit(&[PROGRAM, "serve"], 70)]
#[case::systems_limit(&["sh", "-c", "ulimit -n 32; exec \"$0\" serve", PROGRAM], 1024)]
fn limits_on_sockets_hold(#[case] messages: &[&str], #[case] sockets: usize) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(sockets);
    let node = Node::start_command(messages, &config);
    let mut clients: Vec<Connection> = (0..60).map(|_| node.client()).collect();
    let last = clients.last_mut().unwrap();
    last.send(&job("a", "/zone-plan", "5000m", ""));
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "served");
    assert_eq!(last.message().body, "served");
    node.logs("reason=evicted");
}

/// Requests that are never completed keep their places for a second at most, and none beyond the limit.
#[rstest]
fn requests_that_never_come_whole_take_no_more_than_their_places() {
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(70);
    let node = Node::start(&config);
    let mut clients: Vec<Connection> = (0..60).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|c| c.send("POST /zone-plan HTTP/1.1\r\nHost: h\r\n"));
    node.logs("reason=too-slow");
    assert!(node.descriptors() <= 70);
    let mut health = node.client();
    health.send("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
    drop(clients);
    assert_eq!(health.message().status(), 200);
}

/// A slow request comes whole although many others began after it and stand still: those make room.
#[rstest]
fn a_slow_request_is_not_evicted_for_those_that_stand_still() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(70);
    let node = Node::start(&config);
    let text = job("slow", "/zone-plan", "5000m", "");
    let mut slow = node.client();
    slow.send(&text[..4]);
    let _half: Vec<Connection> = (0..60)
        .map(|_| {
            let mut client = node.client();
            client.send("POST /zone-plan HTTP/1.1\r\nHost: h\r\n");
            client
        })
        .collect();
    for piece in text.as_bytes()[4..18].chunks(1) {
        assert!(slow.is_silent_for(Duration::from_millis(100)));
        slow.send(std::str::from_utf8(piece).unwrap());
    }
    slow.send(&text[18..]);
    let mut backend = server.accept();
    assert_eq!(backend.id(), "slow");
    backend.serve("slow", "1");
    assert_eq!(slow.message().body, "1");
    node.logs("reason=evicted messages=0");
    assert!(node.descriptors() <= 70);
}

/// A connection's first request comes within three seconds, or the connection ends; one that says
/// nothing, sends half a request, or sends one without end.
#[rstest]
#[case::silent("", "", None)]
#[case::half("POST /zone-plan HTTP/1.1\r\nHost: h\r\n", "", Some(408))]
#[case::endless("POST /zone-plan HTTP/1.1\r\nHost: h\r\n", "X: y\r\n", Some(408))]
#[case::half_a_body("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: 9\r\n\r\nx", "", Some(408))]
#[case::pipelined("GET /_health HTTP/1.1\r\nHost: h\r\n\r\nPOST /zone", "", Some(200))]
fn a_request_that_does_not_come_ends_its_connection_in_time(
    #[case] input: &str,
    #[case] more: &str,
    #[case] status: Option<u16>,
) {
    let node = Node::start(&config(&[]));
    let opened = Instant::now();
    let mut client = node.client();
    client.send(&input.replace("{H}", HEAD));
    if let Some(status) = status {
        client.trickle_until_answered(more);
        assert_eq!(client.message().status(), status);
    }
    if status == Some(200) {
        assert_eq!(client.message().status(), 408);
    }
    assert!(client.is_closed());
    assert!(opened.elapsed() < Duration::from_secs(3), "{:?}", opened.elapsed());
}

/// Whoever sends what is no job by hundreds has one answered, and sees that answer however much it sends.
#[rstest]
#[case::large_body("POST /zone-plan HTTP/1.1\r\n{H}Content-Length: 60000000\r\n\r\n", 413)]
#[case::hundreds("POST /no-such HTTP/1.1\r\n{H}Content-Length: 60\r\n\r\n", 404)]
#[case::without_id("POST /zone-plan HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n", 400)]
fn a_refused_client_that_goes_on_sending_sees_one_answer(#[case] input: &str, #[case] status: u16) {
    let (node, server) = node_with_server();
    let mut client = node.client();
    client.send(&input.replace("{H}", HEAD));
    client.flood(400, &"x".repeat(10_000));
    let answer = client.message();
    assert_eq!((answer.status(), answer.field("Connection")), (status, Some("close")));
    assert!(client.is_closed());
    assert!(server.has_no_connection());
}

/// Connections that were opened by hundreds to say nothing make room before those of usual clients.
#[rstest]
fn silent_connections_do_not_push_usual_clients_out() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(100);
    let node = Node::start(&config);
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    let silent: Vec<Connection> = (0..300).map(|_| node.client()).collect();
    node.logs("reason=evicted messages=0");
    client.send(&job("b", "/zone-plan", "5000m", ""));
    backend.message();
    backend.serve("b", "2");
    assert_eq!(client.message().body, "2");
    assert!(node.descriptors() <= 100);
    drop(silent);
}

#[rstest]
#[case::no_json("{", "EOF")]
#[case::no_settings("{\"listen\":\"127.0.0.1:0\"}", "missing field")]
#[case::no_address("{\"listen\":\"here\"}", "here")]
#[case::no_classes("{\"settings\":{}}", "names no classes")]
#[case::bad_seed("{\"seed\":\"xyz\"}", "seed")]
#[case::bad_server(
    "{\"known\":{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s\",\"phase\":\"active\"}]}}",
    "'s' has no address"
)]
#[case::few_sockets("{\"limits\":{\"memory_mb\":1,\"sockets\":9}}", "at least 48")]
fn a_bad_configuration_is_one_clear_line(#[case] changed: &str, #[case] outgoing_messages: &str) {
    let mut text = changed.to_string();
    if let (Ok(serde_json::Value::Object(changes)), false) =
        (serde_json::from_str(changed), outgoing_messages == "missing field")
    {
        let mut whole = config(&[]);
        changes.into_iter().for_each(|(name, value)| whole[name] = value);
        text = whole.to_string();
    }
    for verb in ["serve", "check"] {
        let output = command(&[PROGRAM, verb], &text).output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(error.contains(outgoing_messages) && error.lines().count() == 1, "{error}");
    }
}

#[rstest]
fn the_command_line_helps() {
    let text = |messages: &[&str]| {
        let output = command(messages, &config(&[]).to_string()).output().unwrap();
        assert!(output.status.success());
        String::from_utf8(output.stdout).unwrap()
    };
    assert!(text(&[PROGRAM, "--help"]).contains("serve"));
    assert!(text(&[PROGRAM, "version"]).starts_with("shorepath 0."));
    assert!(text(&[PROGRAM, "check"]).contains("would serve on 127.0.0.1:0"));
}

/// Its idle connections and those that are just answering are not used again.
#[rstest]
fn a_server_that_moves_is_reached_at_its_new_address() {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[old.address], &discovery));
    let (mut watch, _) = accept_watch(&discovery);
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = old.accept();
    backend.message();
    watch.line(&server_list(42, false, &[entry("s-0", new.address, "active")]));
    node.logs("server table 42");
    backend.serve("a", "from the old address");
    assert_eq!(client.message().body, "from the old address");
    node.logs("reason=server-left messages=1");
    client.send(&job("b", "/zone-plan", "5000m", ""));
    let mut backend = new.accept();
    backend.message();
    backend.serve("b", "from the new address");
    assert_eq!(client.message().body, "from the new address");
}

#[rstest]
#[case::closed(false)]
#[case::stalled(true)]
fn a_log_that_nobody_reads_any_more_harms_nobody(#[case] stalls: bool) {
    let (node, server) = node_with_server();
    let node = node.with_unread_log(stalls);
    for id in ["a", "b"] {
        let mut client = node.send_job(id, "/zone-plan");
        let mut backend = server.accept();
        backend.message();
        backend.begin();
        backend.finish(id, "fine");
        assert_eq!(client.message().body, "fine");
    }
}

#[rstest]
fn the_largest_body_passes() {
    let (node, server) = node_with_server();
    let body = "x".repeat(65_536);
    let mut client = node.client();
    client.send(&job("a", "/zone-plan", "5000m", &body));
    let mut backend = server.accept();
    assert!(backend.message().body == body);
    let result = "y".repeat(65_000);
    backend.serve("a", &result);
    assert!(client.message().body == result);
}

/// Where many nodes share few servers, a job goes to the one that tells of a free slot, over the connection
/// that the probe has opened.
#[rstest]
fn servers_are_probed_and_the_one_with_a_free_slot_gets_the_job() {
    let servers = [TestServer::new(), TestServer::new()];
    let mut config = config(&[servers[0].address, servers[1].address]);
    enable_probing(&mut config);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&job("a", "/zone-plan", "5000m", ""));
    let mut peers = servers.each_ref().map(TestServer::accept);
    for peer in &mut peers {
        assert_eq!(peer.message().first, "GET /_load HTTP/1.1");
    }
    peers[1].send(&load_report(0, 3));
    peers[0].send(&load_report(1, 1));
    assert_eq!(peers[0].id(), "a");
    peers[0].serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(servers.iter().all(TestServer::has_no_connection));
}

/// A discovery that has too much to do is asked again for changes only, never for its whole list.
#[rstest]
#[case::unavailable(503)]
#[case::too_many(429)]
fn a_busy_discovery_is_asked_for_changes_only(#[case] status: u16) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[server.address], &discovery));
    for _ in 0..3 {
        let mut peer = discovery.accept();
        assert_eq!(peer.message().first, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
        peer.send(&format!("HTTP/1.1 {status} Busy\r\nContent-Length: 0\r\n\r\n"));
        node.logs("reason=busy");
    }
    let (mut watch, request) = accept_watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    watch.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
}

/// A watch that is closed half-way through a line is asked for anew from the last whole one.
#[rstest]
fn a_watch_cut_off_inside_a_line_goes_on_from_the_last_whole_one() {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[old.address], &discovery));
    let (mut first, _) = accept_watch(&discovery);
    first.line(&server_list(42, true, &[entry("s-new", new.address, "active")]));
    node.logs("server table 42");
    let rest = server_list(43, true, &[entry("s-old", old.address, "active")]);
    first.send(&format!("{:x}\r\n{}", rest.len() + 1, &rest[..rest.len() / 2]));
    drop(first);
    let (_second, request) = accept_watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=42 HTTP/1.1");
    let mut client = node.send_job("a", "/zone-plan");
    let mut backend = new.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(old.has_no_connection());
}

/// A small node among a hundred, before sixty servers that are all replaced at once: it probes and serves at
/// the new ones, and sends nothing more to the old.
#[rstest]
fn sixty_servers_are_replaced_at_once_before_a_small_node() {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[old.address; 60], &discovery);
    config["limits"] = json!({"cores": 0.2, "memory_mb": 24, "sockets": 128});
    enable_probing(&mut config);
    let node = Node::start(&config);
    let (mut watch, _) = accept_watch(&discovery);
    let members: Vec<_> = (0..60).map(|n| entry(&format!("s-new-{n}"), new.address, "active")).collect();
    watch.line(&server_list(42, true, &members));
    node.logs("server table 42: 60 entries");
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut peers = [new.accept(), new.accept()];
    for peer in &mut peers {
        assert_eq!(peer.message().first, "GET /_load HTTP/1.1");
    }
    peers[1].send(&load_report(2, 0));
    assert_eq!(peers[1].id(), "a");
    peers[1].serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(old.has_no_connection());
}

/// A file of budgets is checked by itself: what is left to divide, or where it is wrong.
#[rstest]
fn a_file_of_budgets_is_checked() {
    let check = |file: &std::path::Path| {
        let mut command = std::process::Command::new(PROGRAM);
        command.args(["check", "--budgets"]).arg(file).env_remove("ROUTER_CONFIG").output().unwrap()
    };
    let example = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/budgets.sexp");
    let notified = check(&example);
    assert!(notified.status.success());
    let text = String::from_utf8_lossy(&notified.stdout);
    assert!(
        text.contains("flight:actuator-cmd: 1200 at once: 300 floors, 300 reserves, 600 by demand"),
        "{text}"
    );
    let wrong = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("wrong-budgets.sexp");
    std::fs::write(&wrong, "(budgets (nodes 3)\n (budget probes (whole 5) (floor 2)))").unwrap();
    let notified = check(&wrong);
    let text = String::from_utf8_lossy(&notified.stderr);
    assert!(
        !notified.status.success() && text.contains(":2:2") && text.contains("exceed the total of 5"),
        "{text}"
    );
}

/// Settings of a deployment whose second class is keyed, as far as they differ from the usual ones.
fn node_with_keyed_class() -> (Node, TestServer) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["settings"]["classes"][1]["semantics"] = json!("guarded");
    config["settings"]["classes"][1]["group"] = json!("zone");
    (Node::start(&config), server)
}

/// What backend servers drop repeats by goes on as it came, with further dispatches too, and also where
/// the class needs none. Guards against a keyed job that runs twice.
#[rstest]
#[case::keyed("/actuator-cmd")]
#[case::not_keyed("/zone-plan")]
fn the_key_of_repeats_goes_on_unchanged(#[case] target: &str) {
    let (node, server) = node_with_keyed_class();
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    let mut client = node.client();
    let head = format!("Request-Timeout: 5000m\r\nIdempotency-Key: {key}");
    client.send(&job("a", target, "5000m", "").replace("Request-Timeout: 5000m", &head));
    let mut backend = server.accept();
    assert_eq!(backend.message().field("Idempotency-Key"), Some(key));
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(backend.message().field("Idempotency-Key"), Some(key));
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
}

/// Without its key nobody could drop a repeat: such a job is none, and the node says why. A class that
/// has none needs none.
#[rstest]
fn a_keyed_job_without_its_key_is_told_so() {
    let (node, server) = node_with_keyed_class();
    let answer = node.send_job("a", "/actuator-cmd").message();
    assert_eq!((answer.status(), answer.body.contains("Idempotency-Key")), (400, true));
    let mut client = node.send_job("b", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.message().field("Idempotency-Key"), None);
    backend.serve("b", "1");
    assert_eq!(client.message().body, "1");
}

/// A guess at the work that makes no sense is none: it leaves a line in the log, and the job is served.
#[rstest]
#[case::no_number("soon")]
#[case::negative("-5")]
#[case::huge("18446744073709551616")]
#[case::not_a_number("NaN")]
fn a_guess_that_makes_no_sense_costs_no_job(#[case] guess: &str) {
    let (node, server) = node_with_server();
    let mut client = node.client();
    let head = format!("Request-Timeout: 5000m\r\nWork-Hint: {guess}");
    client.send(&job("a", "/zone-plan", "5000m", "").replace("Request-Timeout: 5000m", &head));
    server.accept().serve("a", "1");
    assert_eq!(client.message().body, "1");
    node.logs("Work-Hint is no time");
}

/// A guess is heeded: a job that by it can't be in time any more is denied at once, one without is sent.
#[rstest]
fn a_job_is_judged_by_the_guess_at_its_work() {
    let (node, server) = node_with_server();
    let mut client = node.client();
    let head = "Request-Timeout: 5000m\r\nWork-Hint: 60000000";
    client.send(&job("a", "/zone-plan", "5000m", "").replace("Request-Timeout: 5000m", head));
    assert_eq!(client.message().status(), 503);
    assert!(server.has_no_connection());
}
