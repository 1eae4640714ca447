//! Discovery as it may be: lists that come indented and in pieces, and watches that fall silent.

use super::*;
use serde_json::{json, Value};

/// A change that takes the server out of use, on lines of its own.
fn leaving(server: &TestServer, revision: u64) -> String {
    let change = json!({"revision": revision, "complete": false, "members": [entry("s-0", server.address, "leaving")]});
    format!("{change:#}")
}

/// A chunk for each part of so many bytes.
fn chunks(text: &str, size: usize) -> Vec<String> {
    let parts = text.as_bytes().chunks(size).map(|p| String::from_utf8(p.to_vec()).unwrap());
    parts.map(|p| format!("{:x}\r\n{p}\r\n", p.len())).collect()
}

/// A change is in force at once and the watch goes on, however it is laid out and cut, with the next heartbeat or a
/// line end to come or not.
#[rstest]
#[case::every_byte(1, "\n")]
#[case::some_bytes(13, "\n\n")]
#[case::whole(10_000, "")]
fn an_indented_change_is_in_force_without_a_further_call(#[case] size: usize, #[case] end: &str) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[server.address], &discovery));
    let (mut watch, _) = accept_watch(&discovery);
    for revision in 42..45 {
        watch.line("");
        let chunks = chunks(&(leaving(&server, revision) + end), size);
        let (last, first) = chunks.split_last().unwrap();
        first.iter().for_each(|c| watch.send(c));
        let sent = Instant::now();
        watch.send(last);
        node.logs(&format!("server table {revision}: 1 entries, whole=false"));
        // Well under a heartbeat, and loose enough for a busy machine; an ignored test measures the time itself.
        assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
    }
    assert!(discovery.has_no_connection());
}

/// A change that is broken is told with its byte, the whole list is asked for, and that may be indented too.
#[rstest]
fn a_broken_change_is_followed_by_the_whole_list() {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[server.address], &discovery));
    let (mut watch, _) = accept_watch(&discovery);
    watch.line("");
    watch.line("{\n \"revision\": ?");
    node.logs("makes no sense at byte 17: expected value");
    let mut peer = discovery.accept();
    assert_eq!(peer.message().first, "GET /catalog/members HTTP/1.1");
    let list: Value =
        serde_json::from_str(&server_list(50, true, &[entry("s-0", server.address, "active")])).unwrap();
    peer.begin();
    chunks(&format!("{list:#}"), 1).iter().for_each(|c| peer.send(c));
    node.logs("server table 50: 1 entries, whole=true");
    peer.send("0\r\n\r\n");
    assert_eq!(peer.message().first, "GET /catalog/members?watch=1&from=50 HTTP/1.1");
}

/// A node among 300 that ask for their lists, and one to whose agent they are pushed.
fn one_of(replicas: u32, asked: bool, server: &TestServer, discovery: &TestServer, seed: u64) -> Node {
    let mut config = config_with_discovery(&[server.address], discovery);
    config["seed"] = json!(format!("{seed:x}"));
    config["settings"]["replicas_of_me"] = json!(replicas);
    config["settings"]["discovery"] = json!(if asked { "on_request" } else { "pushed" });
    Node::start(&config)
}

/// What becomes of the first call after a silence.
#[derive(Clone, Copy, Debug)]
enum Call {
    Answered,
    /// Turned away, so often, at once.
    Busy(u32),
    /// Not a byte comes.
    Mute,
    /// A head, and no more.
    Head,
    /// Half of a change, of which bytes go on coming.
    Half,
}

impl Call {
    fn play(self, discovery: &TestServer) {
        let times =
            if let Call::Busy(times) = self { times } else { u32::from(!matches!(self, Call::Answered)) };
        for _ in 0..times {
            let mut peer = discovery.accept();
            peer.message();
            match self {
                Call::Busy(_) => peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
                Call::Head | Call::Half => peer.begin(),
                _ => {}
            }
            if let Call::Half = self {
                chunks("{\n \"revision\":", 1).iter().for_each(|c| peer.send(c));
                peer.trickle_until_closed("1\r\n \r\n");
            } else {
                peer.is_closed();
            }
        }
    }
}

/// How long after an open watch has fallen silent a change is in force, after a call of that kind.
fn silence(node: &Node, server: &TestServer, discovery: &TestServer, call: Call) -> Duration {
    let (mut first, _) = accept_watch(discovery);
    first.line(&server_list(41, true, &[entry("s-0", server.address, "active")]));
    let silent = Instant::now();
    call.play(discovery);
    let (mut second, request) = accept_watch(discovery);
    assert!(request.contains("watch=1&from=41"), "{request}");
    second.line(&leaving(server, 42));
    node.logs("server table 42");
    silent.elapsed()
}

/// A silent watch is taken up again within the 6 s after which a change counts as told, also where the call that follows
/// is turned away, or answered with silence or the half of a change: by any number of nodes, asked for or pushed.
#[rstest]
fn a_change_missed_in_silence_is_in_force_by_the_clock(
    #[values((4, true), (300, true), (300, false))] (replicas, asked): (u32, bool),
    #[values(Call::Answered, Call::Busy(2), Call::Mute, Call::Head, Call::Half)] call: Call,
) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = one_of(replicas, asked, &server, &discovery, 1);
    let took = silence(&node, &server, &discovery, call);
    assert!(took < Duration::from_secs(6), "{took:?}");
    assert!(discovery.has_no_connection());
}

/// A whole list that never comes, or stops half-way, is asked for again by the same clock.
#[rstest]
#[case::nothing("")]
#[case::half("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\n \"revision\": 42,")]
fn a_silent_poll_is_made_again_by_the_clock(#[case] begins: &str) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = one_of(300, true, &server, &discovery, 7);
    let (mut first, _) = accept_watch(&discovery);
    first.line("nonsense");
    let mut poll = discovery.accept();
    let asked = Instant::now();
    poll.message();
    poll.send(begins);
    serve_complete_list(&discovery, &server_list(42, true, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
    assert!(asked.elapsed() < Duration::from_secs(6), "{:?}", asked.elapsed());
}

/// Nor does a connection that never comes up put it off.
#[rstest]
fn a_connection_that_never_comes_up_keeps_to_the_clock() {
    let server = TestServer::new();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config(&[server.address]);
    config["discovery"] = json!(listener.local_addr().unwrap().to_string());
    (config["settings"]["replicas_of_me"], config["settings"]["discovery"]) =
        (json!(300), json!("on_request"));
    let node = Node::start(&config);
    let mut first = Connection::new(listener.accept().unwrap().0);
    first.message();
    first.begin();
    first.line(&server_list(41, true, &[entry("s-0", server.address, "active")]));
    let silent = Instant::now();
    let address = listener.local_addr().unwrap();
    let more = || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let filled: Vec<_> = std::iter::from_fn(more).collect();
    node.logs("reason=connect-timeout");
    let ours: Vec<_> = filled.iter().map(|s| s.local_addr().unwrap()).collect();
    // The one that was given up may come up late; the next one asks.
    let (sender, asks) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let came = std::iter::from_fn(|| listener.accept().ok()).filter(|(_, from)| !ours.contains(from));
        came.map(|(s, _)| Connection::new(s))
            .find_map(|mut p| (!p.ends_without_data()).then(|| sender.send(p)))
    });
    let mut peer = asks.recv_timeout(TEST_TIMEOUT).expect("nobody asks");
    peer.message();
    peer.begin();
    peer.line(&leaving(&server, 42));
    node.logs("server table 42");
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
}

/// The figures of `docs/fleet.md`: `cargo test --release --test node measure -- --ignored --nocapture`.
#[rstest]
#[ignore = "prints figures"]
fn measure_silence_and_indented_changes() {
    let play = |replicas: u32, asked: bool, seed: u64| {
        let (server, discovery) = (TestServer::new(), TestServer::new());
        let node = one_of(replicas, asked, &server, &discovery, seed);
        let took = silence(&node, &server, &discovery, Call::Answered);
        println!("{replicas} replicas, asked {asked}, seed {seed}: in force after {took:?}");
    };
    std::thread::scope(|all| {
        for seed in 1..=6 {
            for (replicas, asked) in [(4, true), (100, true), (300, true), (300, false)] {
                all.spawn(move || play(replicas, asked, seed));
            }
        }
    });
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = one_of(300, true, &server, &discovery, 1);
    let (mut watch, _) = accept_watch(&discovery);
    for revision in 42..48 {
        let chunks = chunks(&leaving(&server, revision), 1);
        chunks.iter().for_each(|c| watch.send(c));
        let sent = Instant::now();
        node.logs(&format!("server table {revision}"));
        println!(
            "indented change in force after {:?}, calls: {}",
            sent.elapsed(),
            u32::from(!discovery.has_no_connection())
        );
    }
}
