//! The node as its operators see it: the door, and what it does to clients.

use crate::support::*;
use rstest::rstest;
use serde_json::{json, Value};
use std::os::unix::fs::PermissionsExt;
use std::time::{Duration, Instant};

const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
const READY: (&str, &str) = ("GET", "/ops/readiness");
const DRAIN: (&str, &str) = ("POST", "/ops/drain/start");
const RETURN: (&str, &str) = ("POST", "/ops/drain/stop");

/// A node with a door, one backend server and an empty table of troubles.
fn attended() -> (Node, TestServer) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    (Node::start(&config), server)
}

fn call(node: &Node, (method, path): (&str, &str)) -> u16 {
    node.call(method, path)
}

#[rstest]
fn the_door_says_whether_clients_are_taken() {
    let (node, _server) = attended();
    assert_eq!(call(&node, READY), 200);
    for (method, path, status) in
        [("POST", READY.1, 405), ("GET", DRAIN.1, 405), ("GET", "/ops/other", 404), ("GET", "/_health", 404)]
    {
        assert_eq!(node.call(method, path), status, "{method} {path}");
    }
    assert_eq!((call(&node, DRAIN), call(&node, READY)), (200, 503));
    assert_eq!((call(&node, RETURN), call(&node, READY)), (200, 200));
    node.terminate();
    node.logs("told to stop");
    assert_eq!((call(&node, READY), call(&node, DRAIN), call(&node, RETURN)), (503, 409, 409));
}

/// Not constant: without anyone to dispatch to the node is not ready.
#[rstest]
fn a_node_without_a_server_table_is_not_ready() {
    let mut config = config(&[]);
    config["mgmt"] = json!("127.0.0.1:1");
    let node = Node::start_with(&config, |c| {
        c.env("ROUTER_MGMT", "127.0.0.1:0");
    });
    assert_eq!(call(&node, READY), 503);
}

/// Callers that finish no call, and clients that fill the frontend, keep no operator waiting.
#[rstest]
fn idle_callers_and_a_full_frontend_hold_no_call_up() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    config["limits"]["sockets"] = json!(70);
    let node = Node::start(&config);
    let _clients: Vec<Connection> = (0..60).map(|_| node.client()).collect();
    let mut idle: Vec<Connection> = (0..20).map(|_| node.operator()).collect();
    idle.iter_mut().for_each(|c| c.send("GET /ops/readiness HTTP/1.1\r\nHost"));
    let began = Instant::now();
    assert_eq!(call(&node, READY), 200);
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    assert!(node.logs("end door").contains("reason=evicted"));
    while !node.logs("end door").contains("reason=too-slow") {}
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    assert!(node.descriptors() <= 70);
}

/// While it is emptied, health says no at once, on kept connections too; jobs are served, and their
/// connections and idle ones end well within four seconds; a request that has begun is not cut off.
#[rstest]
fn a_drained_node_sends_clients_away_and_takes_them_again() {
    let (node, server) = attended();
    let [mut front, mut idle, mut slow] = [0, 1, 2].map(|_| node.client());
    for client in [&mut front, &mut idle] {
        client.send(HEALTH);
        assert_eq!(client.message().status(), 200);
    }
    let mut held = node.send_job("held", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    let text = job("slow", "/zone-plan", "5000m", "");
    slow.send(&text[..40]);
    let began = Instant::now();
    assert_eq!((call(&node, DRAIN), call(&node, DRAIN)), (200, 200));
    front.send(HEALTH);
    let answer = front.message();
    assert_eq!((answer.status(), answer.field("Connection")), (503, Some("close")));
    backend.serve("held", "1");
    let answer = held.message();
    assert_eq!((answer.body.as_str(), answer.field("Connection")), ("1", Some("close")));
    // New connections still come for a moment, and are served.
    let mut late = node.send_job("late", "/zone-plan");
    assert_eq!(backend.id(), "late");
    backend.serve("late", "2");
    let answer = late.message();
    assert_eq!((answer.body.as_str(), answer.field("Connection")), ("2", Some("close")));
    assert!(idle.is_closed() && held.is_closed() && late.is_closed());
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
    slow.send(&text[40..]);
    assert_eq!(backend.id(), "slow");
    backend.serve("slow", "3");
    assert_eq!(slow.message().body, "3");
    node.logs("reason=drained");
    assert_eq!(call(&node, RETURN), 200);
    let mut client = node.client();
    client.send(HEALTH);
    assert_eq!(client.message().status(), 200);
    client.send(&job("after", "/zone-plan", "5000m", ""));
    backend.message();
    backend.serve("after", "4");
    assert_eq!(client.message().field("Connection"), None);
}

/// A configuration with other settings, of which the open job knows nothing: it is tried again by the
/// rules that it came under, while new ones come under the new rules.
#[rstest]
fn new_settings_hold_for_what_comes_and_old_ones_for_what_is_open() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    let node = Node::start(&config);
    let mut open = node.send_job("open", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    let classes = &mut config["settings"]["classes"];
    classes[1]["name"] = json!("vent-plan");
    classes[1]["semantics"] = json!("free");
    classes[0]["semantics"] = json!("single_shot");
    config["settings"]["allowed"]["try_limit"] = json!(2);
    node.replace_config(&config.to_string());
    node.reload();
    node.logs("new settings hold");
    assert_eq!(node.send_job("x", "/actuator-cmd").message().status(), 404);
    // Twice it may have run, and a third time it is tried: it was free, and had three attempts.
    for _ in 0..2 {
        backend.send("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(backend.id(), "open");
    }
    backend.serve("open", "1");
    assert_eq!(open.message().body, "1");
    // A new one of that class may not run twice, and one of the new class may, but has two attempts.
    for (target, attempts, status) in [("/zone-plan", 1, 502), ("/vent-plan", 2, 503)] {
        let mut client = node.send_job("new", target);
        if attempts == 1 {
            // What must not run twice is not put where an answer has just come.
            backend = server.accept();
        }
        for _ in 0..attempts {
            assert_eq!(backend.id(), "new");
            backend.send("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
        }
        assert_eq!(client.message().status(), status, "{target}");
    }
    assert!(server.has_no_connection());
}

/// A file that can't be used changes nothing: neither classes nor where discovery is.
#[rstest]
#[case::empty("", "", Some("0"), "EOF")]
#[case::cut_off("", "", Some("400"), "EOF")]
#[case::no_deadline("/settings/classes/0", "deadline_ms", Some("0.0"), "deadline")]
#[case::no_attempts("/settings/allowed", "try_limit", Some("0"), "attempts")]
#[case::negative("/settings/allowed", "try_limit", Some("-1"), "invalid value")]
#[case::short_of_rules("/settings", "rules", None, "'settings.rules")]
#[case::short_of_semantics("/settings/classes/1", "semantics", None, "'settings.classes.semantics'")]
#[case::short_of_a_name("", "name", None, "'name'")]
fn a_broken_file_changes_nothing(
    #[case] place: &str,
    #[case] key: &str,
    #[case] value: Option<&str>,
    #[case] outgoing_messages: &str,
) {
    let (server, first, second) = (TestServer::new(), TestServer::new(), TestServer::new());
    let mut config = config(&[server.address]);
    config["discovery"] = json!(first.address.to_string());
    let node = Node::start(&config);
    let mut watch = first.accept();
    watch.message();
    config["discovery"] = json!(second.address.to_string());
    config["settings"]["classes"][1]["name"] = json!("vent-plan");
    let object = config.pointer_mut(place).and_then(Value::as_object_mut).unwrap();
    let text = match value {
        Some(length) if key.is_empty() => config.to_string()[..length.parse().unwrap()].to_string(),
        Some(value) => {
            object[key] = value.parse().unwrap();
            config.to_string()
        }
        None => {
            assert!(object.remove(key).is_some());
            config.to_string()
        }
    };
    node.replace_config(&text);
    node.reload();
    assert!(node.logs("the old configuration stays").contains(outgoing_messages));
    assert_eq!(node.send_job("x", "/vent-plan").message().status(), 404);
    let mut client = node.send_job("a", "/actuator-cmd");
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "1");
    assert_eq!(client.message().body, "1");
    assert!(second.has_no_connection());
}

/// Requests that stand still while the node is emptied make room for others as at any time.
#[rstest]
fn a_full_node_that_is_emptied_still_has_room() {
    let mut config = config(&[]);
    config["mgmt"] = json!("127.0.0.1:0");
    config["limits"]["sockets"] = json!(70);
    let node = Node::start(&config);
    assert_eq!(call(&node, DRAIN), 200);
    let begin = |_| {
        let mut client = node.client();
        client.send("POST /zone-plan HTTP/1.1\r\n");
        client
    };
    let mut half: Vec<Connection> = (0..19).map(begin).collect();
    assert!(half[18].is_silent_for(Duration::from_millis(1_000)));
    let _one_more = begin(19);
    let began = Instant::now();
    let mut client = node.client();
    client.send(HEALTH);
    assert_eq!(client.message().status(), 503);
    assert!(began.elapsed() < Duration::from_millis(700), "{:?}", began.elapsed());
}

/// Wait until the next process can find this one, by a name to which others have no access.
pub fn wait_for_handover_socket(old: &Node) {
    let place = handover_directory().join(format!("shorepath-{}.sock", old.address));
    while !place.exists() {
        std::thread::yield_now();
    }
    assert_eq!(std::fs::metadata(&place).unwrap().permissions().mode() & 0o777, 0o600);
}

/// A process with a door, and its backend server, and another one started in its place.
pub fn start_replacement() -> (Node, Node, TestServer, Value) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    config["listen"] = json!(unused_address().to_string());
    let old = Node::start(&config);
    wait_for_handover_socket(&old);
    let new = Node::start(&config);
    (old, new, server, config)
}

/// The old process serves what it has and sends its clients over; the new one takes all that connect,
/// and knows which ids are open. Nobody hears that the address is gone.
#[rstest]
fn a_process_is_replaced_without_a_client_noticing() {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let mut old = Node::start(&config);
    let [mut front, mut kept] = [0, 1].map(|_| old.client());
    for client in [&mut front, &mut kept] {
        client.send(HEALTH);
        assert_eq!(client.message().status(), 200);
    }
    let mut held = old.send_job("held", "/zone-plan");
    let mut on_old = server.accept();
    on_old.message();
    config["listen"] = json!(old.address.to_string());
    wait_for_handover_socket(&old);
    let new = Node::start(&config);
    old.logs("the next process takes clients");
    assert_eq!((call(&new, READY), call(&old, READY), call(&old, DRAIN)), (200, 503, 409));
    assert_eq!(new.send_job("held", "/zone-plan").message().status(), 409, "the id is open");
    let mut on_new = None;
    for k in 0..20 {
        let id = format!("new-{k}");
        let mut client = new.send_job(&id, "/zone-plan");
        let backend = on_new.get_or_insert_with(|| server.accept());
        assert_eq!(backend.id(), id);
        backend.serve(&id, "1");
        assert_eq!(client.message().field("Connection"), None, "the old one accepts no more");
    }
    old.terminate();
    old.logs("told to stop");
    front.send(HEALTH);
    let answer = front.message();
    assert_eq!((answer.status(), answer.field("Connection")), (200, Some("close")));
    kept.send(&job("kept", "/zone-plan", "5000m", ""));
    on_old.serve("held", "2");
    assert_eq!(held.message().field("Connection"), Some("close"));
    assert_eq!(on_old.id(), "kept");
    on_old.serve("kept", "3");
    assert_eq!(kept.message().body, "3");
    assert!(old.exit().success());
    new.logs("this process is the only one of the node");
    let mut again = new.send_job("held", "/zone-plan");
    let mut backend = on_new.unwrap();
    assert_eq!(backend.id(), "held");
    backend.serve("held", "4");
    assert_eq!(again.message().body, "4");
}

/// Whoever dies, the other goes on: the old process takes clients again, and can be replaced once more;
/// the new one is whole, and so is one that finds nothing but the name of a process that was killed.
#[rstest]
fn a_process_that_dies_leaves_the_node_to_the_other() {
    let (old, new, server, config) = start_replacement();
    old.logs("the next process takes clients");
    let third = command(&[PROGRAM, "serve"], &config.to_string()).output().unwrap();
    assert!(String::from_utf8(third.stderr).unwrap().contains("can't listen"), "two are enough");
    drop(new);
    old.logs("this one takes clients");
    assert_eq!(call(&old, READY), 200);
    let mut client = old.send_job("a", "/zone-plan");
    let mut backend = server.accept();
    backend.message();
    backend.serve("a", "1");
    assert_eq!(client.message().field("Connection"), None);
    let new = Node::start(&config);
    old.logs("the next process takes clients");
    drop(old);
    new.logs("this process is the only one of the node");
    assert_eq!(call(&new, READY), 200);
    drop(new);
    assert_eq!(call(&Node::start(&config), READY), 200);
}

/// Without an operators' address, or with `--no-handover`, no Unix socket is opened: nothing is published
/// in `TMPDIR`, and a second process at a busy address fails to listen instead of taking over.
#[rstest]
#[case::by_the_flag(&["--no-handover"], Some("127.0.0.1:0"))]
#[case::without_a_door(&[], None)]
fn without_handover_no_unix_socket_is_opened(#[case] flags: &[&str], #[case] admin: Option<&str>) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    let place = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
        "alone-{}-{}",
        flags.len(),
        std::process::id()
    ));
    std::fs::create_dir_all(&place).unwrap();
    let free = unused_address();
    config["listen"] = json!(free.to_string());
    if let Some(admin) = admin {
        config["mgmt"] = json!(admin);
    }
    let messages = [&[PROGRAM, "serve"], flags].concat();
    let node = Node::start_command_with(&messages, &config, |command| {
        command.env("TMPDIR", &place);
    });
    assert_eq!(node.address, free);
    let mut client = node.client();
    client.send(HEALTH);
    assert_eq!(client.message().status(), 200);
    assert_eq!(std::fs::read_dir(&place).unwrap().count(), 0, "nothing is published");
    let second = command(&messages, &config.to_string()).env("TMPDIR", &place).output().unwrap();
    assert!(!second.status.success());
    assert!(String::from_utf8_lossy(&second.stderr).contains(&free.to_string()));
    client.send(HEALTH);
    assert_eq!(client.message().status(), 200, "the first one serves on");
}
