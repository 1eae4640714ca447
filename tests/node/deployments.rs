//! The same program for deployments that differ: each test runs by the settings of both.

use super::*;
use rstest::rstest;
use serde_json::{json, Value};

/// Large and fast: lists are pushed, all jobs of one slot, none keyed, no hints.
fn large() -> Value {
    settings()
}

/// Small and slow: lists are asked for, four zones, keyed jobs, no probes, a late grace, rough weights.
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

/// A job of the first class with the key that it may need.
fn asked(id: &str) -> String {
    let head = "Request-Timeout: 5000m\r\nIdempotency-Key: k1\r\nWork-Hint: 20000";
    job(id, "/zone-plan", "5000m", "").replace("Request-Timeout: 5000m", head)
}

/// A job goes to that server, and its result comes back.
fn serves(node: &Node, server: &TestServer) {
    let mut client = node.client();
    client.send(&asked("a"));
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

/// Progress of a job that was never sent, or of one that has ended, changes nothing: it makes no sense to the node, or
/// comes after the end of the answer, and the next job is served.
#[rstest]
fn news_of_an_attempt_that_ended_harms_no_other(#[values(large(), small())] settings: Value) {
    let server = TestServer::new();
    let node = Node::start(&configured(settings, &[server.address]));
    let mut client = node.client();
    client.send(&asked("a"));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    backend.begin();
    backend.state("a", "started");
    backend.line(&json!({"id": "a", "from": "s", "state": "done", "result": "1"}).to_string());
    backend.line(&json!({"id": "a", "from": "s", "state": "running", "share": 0.5}).to_string());
    backend.send("0\r\n\r\n");
    assert_eq!(client.message().body, "1");
    client.send(&asked("b"));
    assert_eq!(backend.id(), "b", "the connection goes on");
    backend.serve("b", "2");
    assert_eq!(client.message().body, "2");
}

/// A zone and a kind that the settings do not name are a zone and a kind like others.
#[rstest]
fn a_list_may_name_what_the_settings_do_not(#[values(large(), small())] settings: Value) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = configured(settings, &[]);
    config["discovery"] = json!(discovery.address.to_string());
    let node = Node::start(&config);
    let mut watch = discovery.accept();
    watch.message();
    watch.begin();
    let mut strange = entry("s-0", server.address, "active");
    (strange["locality"], strange["flavor"]) = (json!("atlantis"), json!("abacus"));
    watch.line(&json!({"revision": 42, "complete": true, "members": [strange]}).to_string());
    node.logs("server table 42: 1 entries");
    serves(&node, &server);
}

/// A watch that is cut half-way through a line leaves the list in force; the next one brings the rest.
#[rstest]
fn a_watch_cut_half_way_changes_nothing(#[values(large(), small())] settings: Value) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = configured(settings, &[server.address]);
    config["discovery"] = json!(discovery.address.to_string());
    let node = Node::start(&config);
    let mut watch = discovery.accept();
    watch.message();
    watch.begin();
    let gone = json!({"revision": 43, "complete": false, "members": [entry("s-0", server.address, "left")]});
    let text = gone.to_string();
    watch.send(&format!("{:x}\r\n{}", text.len() + 1, &text[..text.len() / 2]));
    drop(watch);
    node.logs("end server-table");
    serves(&node, &server);
    let mut again = discovery.accept();
    assert!(again.message().first.contains("from=41"), "what was cut off is asked for again");
}

/// A denied client is told when to come back where clients heed it, and only there.
#[rstest]
fn a_denial_says_when_to_come_back_where_that_is_allowed(
    #[values(large(), small())] mut settings: Value,
    #[values(true, false)] allowed: bool,
) {
    settings["allowed"]["retry_after"] = json!(allowed);
    let node = Node::start(&configured(settings, &[refusing_address()]));
    let mut client = node.client();
    client.send(&asked("a").replace("5000m", "400m"));
    let answer = client.message();
    assert_eq!((answer.status(), answer.field("Retry-After").is_some()), (503, allowed));
}

/// What never ran is tried elsewhere; a keyed job that may have run only in the zone that saw it first.
#[rstest]
#[case::same_zone("a", true)]
#[case::another_zone("b", false)]
fn a_keyed_job_that_may_have_run_stays_in_its_zone(#[case] zone: &str, #[case] again: bool) {
    let servers = [TestServer::new(), TestServer::new()];
    let mut config = configured(small(), &[servers[0].address, servers[1].address]);
    config["known"]["members"][1]["locality"] = json!(zone);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&asked("a"));
    // Whoever gets it first breaks the connection after the start.
    let (first, mut backend) = whoever_came(&servers);
    assert_eq!(backend.id(), "a");
    backend.begin();
    backend.state("a", "started");
    drop(backend);
    if again {
        let (_, mut backend) = whoever_came(&servers);
        let request = backend.message();
        assert_eq!((request.field("Request-Id"), request.field("Idempotency-Key")), (Some("a"), Some("k1")));
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
    } else {
        // It has its answer, from the one that saw it first or without service.
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

/// The first of these to whom a connection comes.
fn whoever_came(servers: &[TestServer]) -> (usize, Connection) {
    let begun = Instant::now();
    loop {
        if let Some(found) = servers.iter().enumerate().find_map(|(k, s)| Some((k, s.try_accept()?))) {
            return found;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "nobody came");
        std::thread::yield_now();
    }
}
