//! Tests that run with the settings of two different deployments.

use super::*;
use rstest::rstest;
use serde_json::{json, Value};

/// Returns the settings of a large deployment: discovery pushes its list, and no class needs an idempotency key.
fn large() -> Value {
    settings()
}

/// Returns the settings of a small deployment: nodes request discovery's list, there are four zones, one class needs an
/// idempotency key, nothing is probed, and servers' weights are rough.
fn small() -> Value {
    let class = |name: &str, semantics: &str, group: &str| {
        json!({"name": name, "semantics": semantics, "group": group, "target_ms": 2500.0, "deadline_ms": 9000.0,
               "dedup_window_ms": 40000.0, "late_worth": 0.3, "worth": 8.0, "stream": false})
    };
    json!({
        "allowed": {"cancel": true, "conn_idle_ms": 60000.0, "connect_timeout_ms": 250.0, "try_limit": 5,
                    "max_retry_after_ms": 2000.0, "retry_after": true, "probing": false},
        "classes": [class("zone-plan", "guarded", "zone"), class("actuator-cmd", "single_shot", "all")],
        "family_info": {"tells_start": true, "class_kind": [-1, -1], "class_stretch": [2.5, 1.75],
                        "progress_ms": 1000.0},
        "kinds": ["standard"], "projects": [{"name": "acme", "portion": 1.0, "quota_rps": 12.0}],
        "rules": {"drain_grace_ms": 1500.0, "cold_share": 0.12, "cold_ms": 24000.0, "tip_multiple": 3.0,
                  "fall_ms": 1500.0, "answer_slack_ms": 8.0, "ask_within_ms": 10000.0},
        "granularity_ms": 2.0, "over_share_worth": 0.05, "rank": 0, "replicas_of_me": 9, "value_by": "work",
        "discovery": "on_request", "weights": "rough", "zone": "a", "azs": ["a", "b", "c", "d"]
    })
}

/// Returns a request for a job of the first class, with an idempotency key and a work hint.
fn keyed_job(id: &str) -> String {
    let head = "Request-Timeout: 5000m\r\nIdempotency-Key: k1\r\nWork-Hint: 20000";
    job(id, "/zone-plan", "5000m", "").replace("Request-Timeout: 5000m", head)
}

/// Asserts that a job goes to `server` and that its result is returned.
fn assert_served_by(node: &Node, server: &TestServer) {
    let mut client = node.client();
    client.send(&keyed_job("a"));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
}

fn configured(settings: Value, servers: &[std::net::SocketAddr]) -> Value {
    let mut config = config(servers);
    config["settings"] = settings;
    config
}

/// Guards against progress of a finished attempt that is counted for the next job on the connection.
#[rstest]
fn progress_after_the_result_is_ignored(#[values(large(), small())] settings: Value) {
    let server = TestServer::new();
    let node = Node::start(&configured(settings, &[server.address]));
    let mut client = node.client();
    client.send(&keyed_job("a"));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.begin();
    backend.state("a", "started");
    backend.line(&json!({"id": "a", "from": "s", "state": "done", "result": "1"}).to_string());
    backend.line(&json!({"id": "a", "from": "s", "state": "running", "share": 0.5}).to_string());
    backend.send("0\r\n\r\n");
    assert_eq!(client.message().body, "1");
    client.send(&keyed_job("b"));
    assert_eq!(backend.id(), "b", "the connection is used again");
    backend.serve("b", "2");
    assert_eq!(client.message().body, "2");
}

/// A server is used although its zone and its kind are missing from the settings.
#[rstest]
fn a_server_of_an_unknown_zone_and_kind_gets_jobs(#[values(large(), small())] settings: Value) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = configured(settings, &[]);
    config["discovery"] = json!(discovery.address.to_string());
    let node = Node::start(&config);
    let mut watch = discovery.accept();
    watch.message();
    watch.begin();
    let mut unknown_zone_server = entry("s-0", server.address, "active");
    (unknown_zone_server["locality"], unknown_zone_server["flavor"]) = (json!("atlantis"), json!("abacus"));
    watch.line(&json!({"revision": 42, "complete": true, "members": [unknown_zone_server]}).to_string());
    node.logs("server table 42: 1 entries");
    assert_served_by(&node, &server);
}

/// The server table stays, and the next watch resumes from its revision.
#[rstest]
fn an_incomplete_line_of_a_watch_changes_nothing(#[values(large(), small())] settings: Value) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = configured(settings, &[server.address]);
    config["discovery"] = json!(discovery.address.to_string());
    let node = Node::start(&config);
    let mut watch = discovery.accept();
    watch.message();
    watch.begin();
    let change =
        json!({"revision": 43, "complete": false, "members": [entry("s-0", server.address, "left")]});
    let text = change.to_string();
    watch.send(&format!("{:x}\r\n{}", text.len() + 1, &text[..text.len() / 2]));
    drop(watch);
    node.logs("end server-table");
    assert_served_by(&node, &server);
    let mut again = discovery.accept();
    assert!(again.message().first.contains("from=41"), "the next watch requests the incomplete change again");
}

/// `Retry-After` is sent only to clients that follow it.
#[rstest]
fn a_rejection_has_retry_after_where_the_settings_allow_it(
    #[values(large(), small())] mut settings: Value,
    #[values(true, false)] allowed: bool,
) {
    settings["allowed"]["retry_after"] = json!(allowed);
    let node = Node::start(&configured(settings, &[refusing_address()]));
    let mut client = node.client();
    client.send(&keyed_job("a").replace("5000m", "400m"));
    let answer = client.message();
    assert_eq!((answer.status(), answer.field("Retry-After").is_some()), (503, allowed));
}

/// Backend servers drop repeated jobs by key within their zone only, so a keyed job that may have run is retried there.
#[rstest]
#[case::same_zone("a", true)]
#[case::another_zone("b", false)]
fn a_keyed_job_that_may_have_run_is_retried_only_in_its_zone(#[case] zone: &str, #[case] again: bool) {
    let servers = [TestServer::new(), TestServer::new()];
    let mut config = configured(small(), &[servers[0].address, servers[1].address]);
    config["known"]["members"][1]["locality"] = json!(zone);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&keyed_job("a"));
    // The first server closes the connection after the job has started.
    let (first, mut backend) = accept_from_any(&servers);
    assert_eq!(backend.id(), "a");
    backend.begin();
    backend.state("a", "started");
    drop(backend);
    if again {
        let (_, mut backend) = accept_from_any(&servers);
        let request = backend.message();
        assert_eq!((request.field("Request-Id"), request.field("Idempotency-Key")), (Some("a"), Some("k1")));
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
    } else {
        // The first server answers a retry; without one the node reports that the job failed.
        let pause = Duration::from_millis(10);
        let begun = Instant::now();
        while client.is_silent_for(pause) && begun.elapsed() < TEST_TIMEOUT {
            if let Some(mut backend) = servers[first].try_accept() {
                backend.message();
                backend.serve("a", "1");
            }
        }
        assert!([200, 502].contains(&client.message().status()));
        assert!(servers[1 - first].has_no_connection());
    }
}

/// Waits for a connection to any of `servers` and returns the server's index with it.
fn accept_from_any(servers: &[TestServer]) -> (usize, Connection) {
    let begun = Instant::now();
    loop {
        if let Some(found) = servers.iter().enumerate().find_map(|(k, s)| Some((k, s.try_accept()?))) {
            return found;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "no connection arrived");
        std::thread::yield_now();
    }
}
