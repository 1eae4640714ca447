//! Datagrams between nodes of sites as the real program sends and takes them; the test plays the other site's node.

use crate::files::matches;
use crate::support::site_files::{SiteFiles, KEY};
use crate::support::*;
use rstest::rstest;
use serde_json::Value;
use shorepath_audit::audit_log::ChainPoint;
use shorepath_audit::gossip::NodeReport;
use shorepath_audit::version::ContentHash;
use shorepath_message_auth::channel::Channel;
use shorepath_message_auth::keyring::Keys;
use shorepath_quota::NodeId;
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The other site's node.
struct Other {
    socket: UdpSocket,
    line: Channel,
    to: std::net::SocketAddr,
}

impl Other {
    fn new(files: &SiteFiles) -> Other {
        let socket = UdpSocket::bind(files.address(1)).unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let line = Channel::new(NodeId::of("n1").0, 1, "odense", Some(&Keys::read(KEY).unwrap()));
        Other { socket, line, to: files.address(0) }
    }

    fn send(&mut self, body: &[u8]) {
        let datagram = self.line.sign(body.to_vec());
        self.socket.send_to(&datagram, self.to).unwrap();
    }

    fn receive(&mut self) -> Vec<u8> {
        let mut buffer = [0; 4_000];
        let (n, _) = self.socket.recv_from(&mut buffer).unwrap();
        self.line.verify(&buffer[..n], 0).unwrap().body.to_vec()
    }

    /// Send a message until one in JSON of that kind comes for which something is found: datagrams may be lost, above all those
    /// that come before the node listens.
    fn answered<T>(&mut self, message: &[u8], kind: &str, found: impl Fn(&Value) -> Option<T>) -> T {
        let begin = Instant::now();
        loop {
            assert!(begin.elapsed() < TEST_TIMEOUT, "no such {kind}");
            self.send(message);
            let Ok(message) = serde_json::from_slice::<Value>(&self.receive()) else { continue };
            if let Some(found) = message.get(kind).and_then(&found) {
                return found;
            }
        }
    }
}

/// The form of a message: its fields and the kinds of their values.
fn form(value: &Value) -> Value {
    match value {
        Value::Object(fields) => fields.iter().map(|(name, value)| (name.clone(), form(value))).collect(),
        Value::Array(all) => all.first().map(form).into_iter().collect(),
        Value::Number(_) => "number".into(),
        Value::String(_) => "text".into(),
        Value::Bool(_) => "yes or no".into(),
        Value::Null => Value::Null,
    }
}

fn placed(node: &Node, server: &TestServer) {
    let mut client = node.send_job("k1", "/actuator-cmd");
    let mut backend = server.accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
}

fn operators(node: &Node, path: &str) -> String {
    let mut operator = node.operator();
    operator.send(&format!("GET {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"));
    operator.message().body
}

/// What a node says unasked, by kind: JSON in its form, binary by its first byte.
#[rstest]
fn what_a_node_says() {
    let (files, server) = (SiteFiles::new("golden-says"), TestServer::new());
    files.write_sites(
        0,
        1,
        "(audit (one-in 1) (sum 100 ms)) (recover (outlive 1 s) (peers 1 s) (catch-up 1 s))",
    );
    let mut other = Other::new(&files);
    let _node = files.start(0, &server);
    let mut forms: BTreeMap<String, String> = BTreeMap::new();
    let begin = Instant::now();
    while forms.len() < 5 {
        assert!(begin.elapsed() < TEST_TIMEOUT, "only {forms:?}");
        let body = other.receive();
        let (kind, form) = match serde_json::from_slice::<Value>(&body) {
            Ok(message) => {
                (message.as_object().unwrap().keys().next().unwrap().clone(), form(&message).to_string())
            }
            Err(_) => (char::from(body[0]).to_string(), "binary".to_string()),
        };
        // What it bears is told once it is known.
        if !form.contains("null") {
            forms.insert(kind, form);
        }
    }
    let found: String = forms.iter().map(|(kind, form)| format!("{kind} {form}\n")).collect();
    matches("site-datagrams.txt", &found);
}

/// What an earlier version said is taken, and answered in its form.
#[rstest]
fn what_a_node_takes() {
    let (files, server) = (SiteFiles::new("golden-takes"), TestServer::new());
    files.write_sites(0, 1, "(audit (one-in 1) (sum 100 ms))");
    files.write_accounts(0, 3, "(account bravo (standing closing) (reason \"unpaid\"))");
    let mut other = Other::new(&files);
    let node = files.start(0, &server);
    // A digest of nothing brings what is known.
    let digest = br#"{"accounts":{"w":1,"n":[0,0],"h":0,"p":[],"q":false,"t":{"p":[0,0],"b":[0,0],"o":0},"k":[],"i":0,"l":[]}}"#;
    let notified =
        other.answered(digest, "accounts", |m| (m["w"] == 3 && m["t"]["p"][0] == 3).then(|| m["l"].clone()));
    assert_eq!(notified.to_string(), r#"[{"a":"bravo","f":0,"r":"unpaid","s":"closing"}]"#);
    // A piece of a newer file is taken over once its digest fits; one whose digest does not is refused.
    other.send(br#"{"accounts":{"w":3,"n":[0,0],"h":0,"p":[],"q":true,"t":{"p":[9,77],"b":[0,0],"o":1},"k":[],"i":0,"l":[]}}"#);
    assert!(operators(&node, "/ops/sites").contains("account bravo Closing number=3 reason=\"unpaid\""));
    // The health of sites, over and over: a message that comes as the process was held up is passed over.
    let (site, to) = (NodeId::of("east").0, files.address(0));
    let is_logged = Arc::new(AtomicBool::new(false));
    let sending = std::thread::spawn({
        let is_logged = is_logged.clone();
        move || {
            let mut channel = Channel::new(NodeId::of("n1").0, 2, "odense", Some(&Keys::read(KEY).unwrap()));
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
            for number in 5.. {
                let health =
                    format!(r#"{{"seeing":{{"s":{site},"n":{number},"v":9,"d":7,"o":[],"l":null}}}}"#);
                socket.send_to(&channel.sign(health.into_bytes()), to).unwrap();
                // Nobody answers there: a pause.
                let _ = socket.recv(&mut [0; 1]);
                if is_logged.load(Ordering::Relaxed) {
                    return;
                }
            }
        }
    });
    node.logs("version 9");
    is_logged.store(true, Ordering::Relaxed);
    sending.join().unwrap();
    // What was placed: a message of nothing brings a piece of the log.
    let nothing = [b'p', 0, 6, 0, 9, 1, 0, 1, 0];
    other.send(&nothing);
    // Its only partner has said all that it has.
    node.logs("peers have answered");
    placed(&node, &server);
    let begin = Instant::now();
    loop {
        assert!(begin.elapsed() < TEST_TIMEOUT, "no piece of a log");
        other.send(&nothing);
        let body = other.receive();
        if body[0] == b'p' && body[3] == 1 {
            assert_eq!(&body[4..12], b"\x04west\x02n0");
            break;
        }
    }
    // Versions of other nodes.
    let head = ChainPoint::origin("n1", 7).successor(b"entry");
    let content = ContentHash::of(b"steers");
    let story = NodeReport { node: NodeId::of("n1").0, at: 1, log_id: 7, head, content };
    let notified = postcard::to_stdvec(&(vec![story], Vec::<u8>::new(), Vec::<u8>::new())).unwrap();
    other.send(&[b"a", notified.as_slice()].concat());
    let begin = Instant::now();
    let wanted = format!("node n1 content={content} last=1 ");
    while !operators(&node, "/ops/audit").contains(&wanted) {
        assert!(begin.elapsed() < TEST_TIMEOUT, "{}", operators(&node, "/ops/audit"));
    }
}

/// A node on its way back is asked who remembers it, and answers.
#[rstest]
fn what_a_returning_node_takes() {
    let (files, server) = (SiteFiles::new("golden-returns"), TestServer::new());
    files.write_sites(0, 1, "(recover (outlive 1 s) (peers 1 s) (catch-up 1 s))");
    let mut other = Other::new(&files);
    let node = files.start(0, &server);
    let ask = r#"{"recovery":{"ask":{"me":{"disk":8,"boots":2,"life":5},"claims":true}}}"#;
    let reply = other.answered(ask.as_bytes(), "recovery", |m| {
        m.get("tell").filter(|reply| reply["known"] != Value::Null).cloned()
    });
    assert_eq!(
        reply.to_string(),
        r#"{"known":{"boots":2,"disk":8,"life":5},"lives":false,"outlived":false,"to":5,"whole":false}"#
    );
    let own = other.answered(ask.as_bytes(), "recovery", |m| m["ask"].get("me").cloned());
    let message = format!(
        r#"{{"recovery":{{"tell":{{"to":{},"known":{own},"lives":false,"whole":true,"outlived":true}}}}}}"#,
        own["life"]
    );
    other.send(message.as_bytes());
    let begin = Instant::now();
    while !operators(&node, "/ops/recovery").contains("peer n1 Counts") {
        assert!(begin.elapsed() < TEST_TIMEOUT, "{}", operators(&node, "/ops/recovery"));
    }
}
