//! Datagrams between nodes of different sites, as the real program sends and accepts them; the test acts as the other site's node.

use crate::files::assert_golden;
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

/// A node of another site that the test controls.
struct TestPeer {
    socket: UdpSocket,
    channel: Channel,
    to: std::net::SocketAddr,
}

impl TestPeer {
    fn new(files: &SiteFiles) -> TestPeer {
        let socket = UdpSocket::bind(files.address(1)).unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let channel = Channel::new(NodeId::of("n1").0, 1, "odense", Some(&Keys::read(KEY).unwrap()));
        TestPeer { socket, channel, to: files.address(0) }
    }

    fn send(&mut self, body: &[u8]) {
        let datagram = self.channel.sign(body.to_vec());
        self.socket.send_to(&datagram, self.to).unwrap();
    }

    fn receive(&mut self) -> Vec<u8> {
        let mut buffer = [0; 4_000];
        let (n, _) = self.socket.recv_from(&mut buffer).unwrap();
        self.channel.verify(&buffer[..n], 0).unwrap().body.to_vec()
    }

    /// Sends a message repeatedly until `found` accepts a JSON message of that kind. Datagrams may be lost, in particular before the
    /// node listens.
    fn request<T>(&mut self, message: &[u8], kind: &str, found: impl Fn(&Value) -> Option<T>) -> T {
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

/// Returns the schema of a message: its fields and the types of their values.
fn schema(value: &Value) -> Value {
    match value {
        Value::Object(fields) => fields.iter().map(|(name, value)| (name.clone(), schema(value))).collect(),
        Value::Array(all) => all.first().map(schema).into_iter().collect(),
        Value::Number(_) => "number".into(),
        Value::String(_) => "text".into(),
        Value::Bool(_) => "yes or no".into(),
        Value::Null => Value::Null,
    }
}

fn place_job(node: &Node, server: &TestServer) {
    let mut client = node.send_job("k1", "/actuator-cmd");
    let mut backend = server.accept();
    let id = backend.id();
    backend.serve(&id, "1");
    assert_eq!(client.message().status(), 200);
}

fn operator_page(node: &Node, path: &str) -> String {
    let mut operator = node.operator();
    operator.send(&format!("GET {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"));
    operator.message().body
}

/// The kinds of datagrams that a node sends on its own: JSON by its schema, binary by the first byte.
#[rstest]
fn sent_datagrams_match_the_golden_file() {
    let (files, server) = (SiteFiles::new("golden-says"), TestServer::new());
    files.write_sites(
        0,
        1,
        "(audit (one-in 1) (sum 100 ms)) (recover (outlive 1 s) (peers 1 s) (catch-up 1 s))",
    );
    let mut peer = TestPeer::new(&files);
    let _node = files.start(0, &server);
    let mut schemas: BTreeMap<String, String> = BTreeMap::new();
    let begin = Instant::now();
    while schemas.len() < 5 {
        assert!(begin.elapsed() < TEST_TIMEOUT, "only {schemas:?}");
        let body = peer.receive();
        let (kind, schema) = match serde_json::from_slice::<Value>(&body) {
            Ok(message) => {
                (message.as_object().unwrap().keys().next().unwrap().clone(), schema(&message).to_string())
            }
            Err(_) => (char::from(body[0]).to_string(), "binary".to_string()),
        };
        // The capacity is null until it is known.
        if !schema.contains("null") {
            schemas.insert(kind, schema);
        }
    }
    let found: String = schemas.iter().map(|(kind, schema)| format!("{kind} {schema}\n")).collect();
    assert_golden("site-datagrams.txt", &found);
}

/// A node accepts the datagrams of an earlier version and replies in that format.
#[rstest]
fn datagrams_of_an_earlier_version_are_accepted() {
    let (files, server) = (SiteFiles::new("golden-takes"), TestServer::new());
    files.write_sites(0, 1, "(audit (one-in 1) (sum 100 ms))");
    files.write_accounts(0, 3, "(account bravo (standing closing) (reason \"unpaid\"))");
    let mut peer = TestPeer::new(&files);
    let node = files.start(0, &server);
    // An empty digest is answered with the known account lines.
    let digest = br#"{"accounts":{"w":1,"n":[0,0],"h":0,"p":[],"q":false,"t":{"p":[0,0],"b":[0,0],"o":0},"k":[],"i":0,"l":[]}}"#;
    let lines =
        peer.request(digest, "accounts", |m| (m["w"] == 3 && m["t"]["p"][0] == 3).then(|| m["l"].clone()));
    assert_eq!(lines.to_string(), r#"[{"a":"bravo","f":0,"r":"unpaid","s":"closing"}]"#);
    // A piece of a newer file whose digest does not match is rejected.
    peer.send(br#"{"accounts":{"w":3,"n":[0,0],"h":0,"p":[],"q":true,"t":{"p":[9,77],"b":[0,0],"o":1},"k":[],"i":0,"l":[]}}"#);
    assert!(operator_page(&node, "/ops/sites").contains("account bravo Closing number=3 reason=\"unpaid\""));
    // Site health messages are repeated, because the node skips one that arrives while it was held up.
    let (site, node_address) = (NodeId::of("east").0, files.address(0));
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
                socket.send_to(&channel.sign(health.into_bytes()), node_address).unwrap();
                // A pause: no datagram arrives on this socket.
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
    // An empty log summary is answered with a piece of the placement log.
    let empty_summary = [b'p', 0, 6, 0, 9, 1, 0, 1, 0];
    peer.send(&empty_summary);
    // The node's only peer has sent its summary.
    node.logs("peers have answered");
    place_job(&node, &server);
    let begin = Instant::now();
    loop {
        assert!(begin.elapsed() < TEST_TIMEOUT, "no piece of a log");
        peer.send(&empty_summary);
        let body = peer.receive();
        if body[0] == b'p' && body[3] == 1 {
            assert_eq!(&body[4..12], b"\x04west\x02n0");
            break;
        }
    }
    // A report of a peer's versions shows on the audit page.
    let head = ChainPoint::origin("n1", 7).successor(b"entry");
    let content = ContentHash::of(b"steers");
    let report = NodeReport { node: NodeId::of("n1").0, at: 1, log_id: 7, head, content };
    let encoded = postcard::to_stdvec(&(vec![report], Vec::<u8>::new(), Vec::<u8>::new())).unwrap();
    peer.send(&[b"a", encoded.as_slice()].concat());
    let begin = Instant::now();
    let expected = format!("node n1 content={content} last=1 ");
    while !operator_page(&node, "/ops/audit").contains(&expected) {
        assert!(begin.elapsed() < TEST_TIMEOUT, "{}", operator_page(&node, "/ops/audit"));
    }
}

/// A recovering node accepts the recovery messages of an earlier version and replies in that format.
#[rstest]
fn recovery_messages_of_an_earlier_version_are_accepted() {
    let (files, server) = (SiteFiles::new("golden-returns"), TestServer::new());
    files.write_sites(0, 1, "(recover (outlive 1 s) (peers 1 s) (catch-up 1 s))");
    let mut peer = TestPeer::new(&files);
    let node = files.start(0, &server);
    let ask = r#"{"recovery":{"ask":{"me":{"disk":8,"boots":2,"life":5},"claims":true}}}"#;
    let reply = peer.request(ask.as_bytes(), "recovery", |m| {
        m.get("tell").filter(|reply| reply["known"] != Value::Null).cloned()
    });
    assert_eq!(
        reply.to_string(),
        r#"{"known":{"boots":2,"disk":8,"life":5},"lives":false,"outlived":false,"to":5,"whole":false}"#
    );
    let own = peer.request(ask.as_bytes(), "recovery", |m| m["ask"].get("me").cloned());
    let message = format!(
        r#"{{"recovery":{{"tell":{{"to":{},"known":{own},"lives":false,"whole":true,"outlived":true}}}}}}"#,
        own["life"]
    );
    peer.send(message.as_bytes());
    let begin = Instant::now();
    while !operator_page(&node, "/ops/recovery").contains("peer n1 Counts") {
        assert!(begin.elapsed() < TEST_TIMEOUT, "{}", operator_page(&node, "/ops/recovery"));
    }
}
