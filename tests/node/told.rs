//! What discovery tells and when it counts as told: lists and watches that end, stall or come to nothing, calls that fail
//! for long, and another discovery in the middle of it.

use crate::support::*;
use crate::{following, listing, watch};
use rstest::rstest;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A change counts as told this long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// A call waits its turn for 2 s at most, and what it brings is in force 0.2 s later: by then the call has to begin.
const CALLED: Duration = Duration::from_millis(3_800);

/// A node among so many that ask for their lists, with pauses from that seed.
fn asking(server: &Party, discovery: &Party, replicas: u32, seed: u64) -> Value {
    let mut config = following(&[server.address], discovery);
    config["seed"] = json!(format!("{seed:x}"));
    config["settings"]["replicas_of_me"] = json!(replicas);
    config["settings"]["discovery"] = json!("on_request");
    config
}

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
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
    fn play(self, mut peer: Peer) {
        match self {
            Failure::Busy | Failure::WaitedInVain => {
                peer.message();
                if self == Failure::WaitedInVain {
                    peer.stays_silent(Duration::from_secs(2));
                }
                peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                assert!(peer.ended());
            }
            Failure::Reset => peer.reset(),
            Failure::Mute => {
                peer.message();
                assert!(peer.ended());
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
    let (server, discovery) = (Party::new(), Party::new());
    let node = Node::start(&asking(&server, &discovery, 300, 1));
    let begun = Instant::now();
    let mut last = None;
    let mut called = |failure: Failure| {
        let peer = discovery.accept();
        let apart = last.replace(Instant::now()).map_or(Duration::ZERO, |at: Instant| at.elapsed());
        assert!(apart < CALLED, "{apart:?} between two calls");
        failure.play(peer);
    };
    while begun.elapsed() < TOLD {
        called(first);
    }
    (0..times).for_each(|_| called(then));
    // From here on discovery could be reached.
    let had = last.unwrap();
    let (mut watch, request) = watch(&discovery);
    assert!(had.elapsed() < CALLED, "called after {:?}", had.elapsed());
    assert_eq!(request, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    watch.line(&listing(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
    assert!(had.elapsed() < TOLD, "{:?}", had.elapsed());
}

/// A call that waited its turn in vain does not put off the clock of the silence before it.
#[rstest]
#[case::soon(1)]
#[case::late(2060)]
fn a_call_that_waited_in_vain_does_not_put_the_clock_off(#[case] seed: u64) {
    let (server, discovery) = (Party::new(), Party::new());
    let node = Node::start(&asking(&server, &discovery, 300, seed));
    let (mut first, _) = watch(&discovery);
    first.line(&listing(41, true, &[entry("s-0", server.address, "active")]));
    let silent = Instant::now();
    Failure::WaitedInVain.play(discovery.accept());
    let (mut second, _) = watch(&discovery);
    second.line(&listing(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
    assert!(silent.elapsed() < TOLD, "{:?}", silent.elapsed());
}

/// A watch that is reset after it has been silent may have fallen silent with the last that it told: the clock runs from there.
#[rstest]
#[case::soon(1)]
#[case::late(2060)]
fn a_reset_after_silence_does_not_put_the_clock_off(#[case] seed: u64) {
    let (server, discovery) = (Party::new(), Party::new());
    let node = Node::start(&asking(&server, &discovery, 300, seed));
    let (mut first, _) = watch(&discovery);
    first.line(&listing(41, true, &[entry("s-0", server.address, "active")]));
    let silent = Instant::now();
    first.stays_silent(Duration::from_millis(1_500));
    drop(first);
    let (mut second, _) = watch(&discovery);
    assert!(silent.elapsed() < CALLED, "called after {:?}", silent.elapsed());
    second.line(&listing(42, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 42");
}

/// Lists that name a server without an address confirm nothing of the one that is held, however often they come.
#[rstest]
fn lists_that_cannot_be_used_confirm_nothing() {
    let (server, agent) = (Party::new(), Party::new());
    let node = Node::start(&following(&[server.address], &agent));
    let list = listing(44, true, &[json!({"id": "s-0", "host_port": "here", "phase": "active"})]);
    agent.attended(move |mut peer| {
        peer.message();
        peer.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
        assert!(peer.ended());
    });
    node.logs("server 's-0' has no address with a port: 'here'");
    node.logs("discovery has confirmed nothing");
}

/// The answer to a call for the whole list goes on after it and never ends: only a watch tells changes, so one is opened.
#[rstest]
#[case::empty_lines("1\r\n\n\r\n")]
#[case::nothing("")]
fn an_answer_that_never_ends_is_no_watch(#[case] more: &str) {
    let (server, discovery) = (Party::new(), Party::new());
    let node = Node::start(&asking(&server, &discovery, 300, 1));
    let (mut first, _) = watch(&discovery);
    first.line("nonsense");
    let mut poll = discovery.accept();
    assert_eq!(poll.message().first, "GET /catalog/members HTTP/1.1");
    poll.begin();
    poll.line(&listing(50, true, &[entry("s-0", server.address, "active")]));
    let told = Instant::now();
    node.logs("server table 50");
    if more.is_empty() {
        assert!(poll.ended());
    } else {
        poll.trickle_until_over(more);
    }
    let (mut second, request) = watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=50 HTTP/1.1");
    second.line(&listing(51, false, &[entry("s-0", server.address, "leaving")]));
    node.logs("server table 51");
    assert!(told.elapsed() < TOLD, "{:?}", told.elapsed());
}

/// Another discovery comes with SIGHUP before the first call, for which the node waits a part of its spread: the revision
/// that it started with means nothing there, so the whole list is asked for.
#[rstest]
fn a_move_before_the_first_call_asks_for_the_whole_list() {
    let (server, first, second) = (Party::new(), Party::new(), Party::new());
    let mut config = asking(&server, &first, 300, 1);
    let node = Node::start(&config);
    config["discovery"] = json!(second.address.to_string());
    node.replace(&config.to_string());
    node.hang_up();
    node.logs("configuration read again");
    let mut poll = second.accept();
    assert_eq!(poll.message().first, "GET /catalog/members HTTP/1.1");
    assert!(first.is_left_alone(), "the seed has it wait longer than that");
}
