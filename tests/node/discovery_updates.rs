//! What discovery tells and when it counts as told: lists and watches that end, stall or come to nothing, calls that fail
//! for long, and another discovery in the middle of it.

use crate::support::*;
use crate::{accept_watch, config_with_discovery, serve_complete_list, server_list};
use rstest::rstest;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A change counts as told this long after discovery had it and could be reached.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// A call waits its turn for 2 s at most, and what it brings is in force 0.2 s later: by then the call has to begin.
const CALLED: Duration = Duration::from_millis(3_800);

/// A node among so many that ask for their lists, with pauses from that seed.
fn asking(server: &TestServer, discovery: &TestServer, replicas: u32, seed: u64) -> Value {
    let mut config = config_with_discovery(&[server.address], discovery);
    config["seed"] = json!(format!("{seed:x}"));
    config["settings"]["replicas_of_me"] = json!(replicas);
    config["settings"]["discovery"] = json!("on_request");
    config
}

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// Turned away at once.
    Busy,
    /// Turned away after it has waited its turn.
    WaitedInVain,
    /// Reset with its request unread.
    Reset,
    /// Taken, and not a byte comes until the node gives it up.
    Mute,
}

impl Failure {
    pub fn play(self, mut peer: Connection) {
        match self {
            Failure::Busy | Failure::WaitedInVain => {
                peer.message();
                if self == Failure::WaitedInVain {
                    peer.assert_silent_for(Duration::from_secs(2));
                }
                peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                assert!(peer.is_closed());
            }
            Failure::Reset => peer.reset_after_data(),
            Failure::Mute => {
                peer.message();
                assert!(peer.is_closed());
            }
        }
    }
}

/// However long calls fail, a change that discovery has, and can be asked for, from just after one of them began is in
/// force within 6 s. Calls fail in one way until the clock since the start has run out, and a few times more in another.
#[rstest]
#[case::busy(Failure::Busy, Failure::Busy, 4)]
#[case::waited_in_vain(Failure::Busy, Failure::WaitedInVain, 2)]
#[case::reset(Failure::Reset, Failure::Reset, 2)]
#[case::mute(Failure::Reset, Failure::Mute, 1)]
fn a_change_while_calls_fail_is_in_force_by_the_clock(
    #[case] first: Failure,
    #[case] then: Failure,
    #[case] times: u32,
) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&asking(&server, &discovery, 300, 1));
    let begun = Instant::now();
    let mut last = None;
    let mut called = |failure: Failure| {
        let peer = discovery.accept();
        let apart = last.replace(Instant::now()).map_or(Duration::ZERO, |at: Instant| at.elapsed());
        assert!(apart < CALLED, "{apart:?} between two calls");
        failure.play(peer);
    };
    while begun.elapsed() < NOTIFIED_AFTER {
        called(first);
    }
    (0..times).for_each(|_| called(then));
    // From here on discovery could be reached.
    let had = last.unwrap();
    let (mut watch, request) = accept_watch(&discovery);
    assert!(had.elapsed() < CALLED, "called after {:?}", had.elapsed());
    assert_eq!(request, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    watch.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
    assert!(had.elapsed() < NOTIFIED_AFTER, "{:?}", had.elapsed());
}

/// A call that waited its turn in vain does not put off the clock of the silence before it.
#[rstest]
#[case::soon(1)]
#[case::late(2060)]
fn a_call_that_waited_in_vain_does_not_put_the_clock_off(#[case] seed: u64) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&asking(&server, &discovery, 300, seed));
    let (mut first, _) = accept_watch(&discovery);
    first.line(&server_list(41, true, &[entry("s-0", server.address, "active")]));
    let silent = Instant::now();
    Failure::WaitedInVain.play(discovery.accept());
    let (mut second, _) = accept_watch(&discovery);
    second.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
    assert!(silent.elapsed() < NOTIFIED_AFTER, "{:?}", silent.elapsed());
}

/// A watch that is reset after it has been silent may have fallen silent with the last that it told: the clock runs from there.
#[rstest]
#[case::soon(1)]
#[case::late(2060)]
fn a_reset_after_silence_does_not_put_the_clock_off(#[case] seed: u64) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&asking(&server, &discovery, 300, seed));
    let (mut first, _) = accept_watch(&discovery);
    first.line(&server_list(41, true, &[entry("s-0", server.address, "active")]));
    let silent = Instant::now();
    first.assert_silent_for(Duration::from_millis(1_500));
    drop(first);
    let (mut second, _) = accept_watch(&discovery);
    assert!(silent.elapsed() < CALLED, "called after {:?}", silent.elapsed());
    second.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
}

/// A watch that is silent from its first byte, after a whole list that came over the same connection, and one that is
/// silent right after it has told a list: each is given up and taken up from the last that came.
#[rstest]
#[case::from_the_first_byte(false)]
#[case::after_its_first_list(true)]
fn a_watch_that_says_nothing_after_the_whole_list_is_taken_up_from_there(#[case] notifies: bool) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&asking(&server, &discovery, 300, 1));
    let (mut first, _) = accept_watch(&discovery);
    first.line("nonsense");
    let mut poll =
        serve_complete_list(&discovery, &server_list(50, true, &[entry("s-0", server.address, "active")]));
    let mut silent = Instant::now();
    assert_eq!(poll.message().first, "GET /catalog/members?watch=1&from=50 HTTP/1.1");
    let from = if notifies {
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
    assert!(silent.elapsed() < NOTIFIED_AFTER, "{:?}", silent.elapsed());
    assert!(poll.is_closed());
}

/// Where the changes since a revision were asked for, a whole list takes their place: who is not in it has gone.
#[rstest]
fn a_whole_list_in_place_of_changes_replaces_all() {
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
    // And changes build on it.
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

/// Revisions that go backwards, as after discovery has lost what it knew: what it says holds, and the next watch goes on
/// from there.
#[rstest]
#[case::whole(true)]
#[case::changes(false)]
fn revisions_that_go_backwards_are_followed(#[case] whole: bool) {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[old.address], &discovery));
    let (mut first, _) = accept_watch(&discovery);
    let members = [entry("s-0", old.address, "leaving"), entry("s-new", new.address, "active")];
    first.line(&server_list(3, whole, &members));
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

/// An empty whole list holds: nothing is sent to the servers that were, until another list names some.
#[rstest]
fn an_empty_whole_list_leaves_nobody_to_send_to() {
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

/// What makes no sense, in a watch or in place of the whole list, changes nothing: the old list serves on until the whole
/// one has come, which is asked for each time.
#[rstest]
#[case::no_json("nonsense")]
#[case::no_list("{\"revision\": 44}")]
#[case::no_address("{\"revision\":44,\"complete\":true,\"members\":[{\"id\":\"s-0\",\"host_port\":\"here\",\"phase\":\"active\"}]}")]
fn nonsense_keeps_the_old_list_and_asks_for_the_whole_one(#[case] nonsense: &str) {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[old.address], &discovery));
    let (mut first, _) = accept_watch(&discovery);
    first.line(nonsense);
    assert!(first.is_closed());
    // The whole list is nonsense, too, or stops before it is whole.
    let list = server_list(45, true, &[entry("s-new", new.address, "active")]);
    for text in [nonsense, &list[..list.len() - 1], ""] {
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

/// Lists that name a server without an address confirm nothing of the one that is held, however often they come.
#[rstest]
fn lists_that_cannot_be_used_confirm_nothing() {
    let (server, agent) = (TestServer::new(), TestServer::new());
    let node = Node::start(&config_with_discovery(&[server.address], &agent));
    let list = server_list(44, true, &[json!({"id": "s-0", "host_port": "here", "phase": "active"})]);
    agent.handle_connections(move |mut peer| {
        peer.message();
        peer.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
        assert!(peer.is_closed());
    });
    node.logs("server 's-0' has no address with a port: 'here'");
    node.logs("discovery has confirmed nothing");
}

/// The answer to a call for the whole list goes on after it and never ends: only a watch tells changes, so one is opened.
#[rstest]
#[case::empty_lines("1\r\n\n\r\n")]
#[case::nothing("")]
fn an_answer_that_never_ends_is_no_watch(#[case] more: &str) {
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let node = Node::start(&asking(&server, &discovery, 300, 1));
    let (mut first, _) = accept_watch(&discovery);
    first.line("nonsense");
    let mut poll = discovery.accept();
    assert_eq!(poll.message().first, "GET /catalog/members HTTP/1.1");
    poll.begin();
    poll.line(&server_list(50, true, &[entry("s-0", server.address, "active")]));
    let notified = Instant::now();
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
    assert!(notified.elapsed() < NOTIFIED_AFTER, "{:?}", notified.elapsed());
}

/// Another discovery comes with SIGHUP while the old one's list is half-way; its rest comes in the same moment, and later. Nothing
/// of it is in force after the move, and the new one is asked for its whole list.
#[rstest]
#[case::on_a_watch(false)]
#[case::whole_list(true)]
fn nothing_of_the_old_discovery_comes_in_after_the_move(#[case] asked: bool) {
    let (server, other) = (TestServer::new(), TestServer::new());
    let (first, second) = (TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[server.address], &first);
    let node = Node::start(&config);
    let (mut before, _) = accept_watch(&first);
    if asked {
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
    // It may have been in force before the move, but not after it.
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

/// Another discovery comes with SIGHUP before the first call, for which the node waits a part of its spread: the revision
/// that it started with means nothing there, so the whole list is asked for.
#[rstest]
fn a_move_before_the_first_call_asks_for_the_whole_list() {
    let (server, first, second) = (TestServer::new(), TestServer::new(), TestServer::new());
    let mut config = asking(&server, &first, 300, 1);
    let node = Node::start(&config);
    config["discovery"] = json!(second.address.to_string());
    node.replace_config(&config.to_string());
    node.reload();
    node.logs("configuration read again");
    let mut poll = second.accept();
    assert_eq!(poll.message().first, "GET /catalog/members HTTP/1.1");
    assert!(first.has_no_connection(), "the seed has it wait longer than that");
}

/// An agent that is silent while discovery is down takes calls and answers the one that is open as discovery returns: that is
/// in force well within the drains' grace, over whichever call.
#[rstest]
fn a_call_that_waits_out_an_agents_silence_brings_the_list_at_once() {
    let (server, agent) = (TestServer::new(), TestServer::new());
    let mut config = config_with_discovery(&[server.address], &agent);
    config["settings"]["replicas_of_me"] = json!(300);
    let node = Node::start(&config);
    // The first is given up, the second is open as discovery returns.
    Failure::Mute.play(agent.accept());
    let mut open = agent.accept();
    assert_eq!(open.message().first, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    let back = Instant::now();
    open.begin();
    open.line(&server_list(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
    assert!(back.elapsed() < Duration::from_millis(250), "{:?}", back.elapsed());
}

/// Other settings say that lists are pushed from now on, and how soon nothing new may go to a server that leaves: the agent, which
/// resets its calls, is called again within that from then on, as it may know of one.
#[rstest]
#[case::short(150)]
#[case::usual(500)]
fn an_agent_is_called_again_within_the_grace_of_the_settings_in_force(#[case] grace: u64) {
    const CALLS: u32 = 12;
    let (server, discovery) = (TestServer::new(), TestServer::new());
    let mut config = asking(&server, &discovery, 300, 1);
    let node = Node::start(&config);
    // Three calls of a node among 300, which lie seconds apart.
    (0..3).for_each(|_| discovery.accept().reset_after_data());
    config["settings"]["discovery"] = json!("pushed");
    config["settings"]["rules"]["drain_grace_ms"] = json!(grace);
    node.replace_config(&config.to_string());
    node.reload();
    node.logs("new settings hold");
    // The pause that has begun may be a long one still.
    discovery.accept().reset_after_data();
    let begun = Instant::now();
    (0..CALLS).for_each(|_| discovery.accept().reset_after_data());
    let all = Duration::from_millis(grace) * CALLS;
    println!("{CALLS} calls in {:?}, of {all:?}", begun.elapsed());
    assert!(begun.elapsed() < all, "{CALLS} calls in {:?}", begun.elapsed());
}
