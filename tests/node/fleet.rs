//! The node in a fleet that shares budgets, beside a divider that the test plays.

use crate::support::*;
use rstest::rstest;
use serde_json::json;
use shorepath_message_auth::channel::Channel;
use shorepath_message_auth::keyring::Keys;
use shorepath_quota::messages::{BudgetClaim, BudgetGrant, BudgetStatus, Message, PartStatus, Status};
use shorepath_quota::{NodeId, NodeIncarnation};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// A divider of the test's own, and the file that lists it.
struct Allocator {
    socket: UdpSocket,
    own: SocketAddr,
    file: PathBuf,
    count: u64,
    /// Its own code, if any.
    line: RefCell<Channel>,
    /// What the file says of keys.
    key: String,
}

impl Allocator {
    fn new(name: &str) -> Allocator {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let own = unused_address();
        let file =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}.sexp", std::process::id()));
        let line = RefCell::new(Channel::new(NodeId::of("d0").0, 1, "tidal", None));
        let allocator = Allocator { socket, own, file, count: 0, line, key: String::new() };
        allocator.write(1, "(budget quota:acme (whole 50) (reserve 2))");
        allocator
    }

    fn write(&self, version: u64, budgets: &str) {
        let allocator = self.socket.local_addr().unwrap();
        let text = format!(
            "(budgets (version {version}) (term 1 s) {} (divider d0 \"{allocator}\") (node n0 \"{}\") {budgets})",
            self.key, self.own
        );
        std::fs::write(&self.file, text).unwrap();
    }

    fn start(&self, config: &serde_json::Value) -> Node {
        let file = self.file.to_str().unwrap();
        Node::start_command(&[PROGRAM, "serve", "-v", "--budgets", file], config)
    }

    /// The next word of a kind, and who said it.
    fn hears<T>(&self, read: impl Fn(Message) -> Option<T>) -> (T, SocketAddr) {
        let begin = Instant::now();
        let mut buffer = [0; 4_000];
        while begin.elapsed() < TEST_TIMEOUT {
            let (n, from) = self.socket.recv_from(&mut buffer).unwrap();
            // The membership speaks, too.
            let mut line = self.line.borrow_mut();
            let Ok(received) = line.verify(&buffer[..n], 0) else { continue };
            if let Some(found) = Message::read(received.body).ok().and_then(&read) {
                return (found, from);
            }
        }
        panic!("no such word");
    }

    fn asked(&self) -> (NodeIncarnation, u64, BudgetClaim, SocketAddr) {
        let ask = |w| {
            if let Message::Ask { holder: life, plan, mut claims } = w {
                Some((life, plan, claims.remove(0)))
            } else {
                None
            }
        };
        let ((life, plan, claim), from) = self.hears(ask);
        (life, plan, claim, from)
    }

    /// Answer the next asking of a life with a grant.
    fn grant(&mut self, amount: u64) -> NodeIncarnation {
        self.grants(amount).0
    }

    /// As before; the life, the datagram, and where it went.
    fn grants(&mut self, amount: u64) -> (NodeIncarnation, Vec<u8>, SocketAddr) {
        // What was asked before is too old to be answered.
        self.socket.set_nonblocking(true).unwrap();
        while self.socket.recv_from(&mut [0; 4_000]).is_ok() {}
        self.socket.set_nonblocking(false).unwrap();
        let (life, plan, claim, from) = self.asked();
        self.count += 1;
        let grant = BudgetGrant {
            budget: claim.budget,
            epoch: 7,
            number: self.count,
            amount,
            answers: claim.request_number,
            length: 1_000_000,
        };
        let message = Message::Grants { holder: life, plan, grants: vec![grant] };
        let datagram = self.line.borrow_mut().sign(message.bytes());
        self.socket.send_to(&datagram, from).unwrap();
        (life, datagram, from)
    }
}

/// How many of so many jobs, handed in at once, are served; the others are denied.
fn served(node: &Node, server: &mut TestServer, name: &str, count: usize) -> usize {
    let done = AtomicBool::new(false);
    let over = &done;
    std::thread::scope(|scope| {
        let server = &mut *server;
        scope.spawn(move || {
            while !over.load(Ordering::Relaxed) {
                if let Some(mut backend) = server.try_accept() {
                    let id = backend.id();
                    backend.serve(&id, "1");
                }
            }
        });
        let clients: Vec<Connection> =
            (0..count).map(|k| node.send_job(&format!("{name}{k}"), "/zone-plan")).collect();
        let statuses: Vec<u16> = clients.into_iter().map(|mut c| c.message().status()).collect();
        done.store(true, Ordering::Relaxed);
        assert!(statuses.iter().all(|s| *s == 200 || *s == 503), "{statuses:?}");
        statuses.iter().filter(|s| **s == 200).count()
    })
}

/// It serves by its grant, falls back to its reserve once that is over, and hands back what it has as it leaves.
#[rstest]
fn a_node_keeps_to_its_grant_and_hands_it_back() {
    let (mut allocator, mut server) = (Allocator::new("keeps"), TestServer::new());
    let mut node = allocator.start(&config(&[server.address]));
    let life = allocator.grant(40);
    assert_eq!(life.node, NodeId::of("n0"));
    node.logs("all are granted");
    assert_eq!(served(&node, &mut server, "a", 4), 4);
    let ((), _) = allocator.hears(|w| match w {
        Message::Ask { claims, .. } if claims[0].in_force == (7, 1) && claims[0].demand > 0 => Some(()),
        _ => None,
    });
    // No answer comes any more: a term later the reserve is all, two a second.
    node.logs("no grant for quota:acme");
    let few = served(&node, &mut server, "b", 30);
    assert!((1..=8).contains(&few), "{few} of 30");
    allocator.grant(30);
    node.logs("all are granted");
    node.terminate();
    let (of, _) =
        allocator.hears(|w| if let Message::Returns { grants: of, .. } = w { Some(of) } else { None });
    assert_eq!(of, [("quota:acme".to_string(), 7, 2)]);
    assert!(node.exit().success());
}

/// The file of keys beside a file of budgets, each key made of one byte.
fn write_keys(allocator: &Allocator, keys: &[&str], mode: u32) {
    let path = allocator.file.with_extension("key");
    std::fs::write(&path, keys.iter().map(|k| k.repeat(32) + "\n").collect::<String>()).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
}

/// What a divider of that life says, under that key.
fn coded(life: u64, key: &str) -> Channel {
    Channel::new(NodeId::of("d0").0, life, "tidal", Some(&Keys::read(&key.repeat(32)).unwrap()))
}

/// Where the file names a key: a word without its code, under another or heard before changes nothing, is counted and told once; keys are
/// changed by SIGHUP without a grant lost.
#[rstest]
fn only_words_under_the_key_are_heard() {
    const QUOTA: &str = "(budget quota:acme (whole 50) (reserve 2))";
    let (mut allocator, server) = (Allocator::new("keyed"), TestServer::new());
    let name = allocator.file.with_extension("key");
    allocator.key = format!("(fleet tidal) (key \"{}\")", name.file_name().unwrap().to_str().unwrap());
    allocator.write(1, QUOTA);
    let text = config(&[server.address]);
    write_keys(&allocator, &["4b"], 0o604);
    let file = allocator.file.to_str().unwrap().to_string();
    for verb in ["check", "serve"] {
        let output = command(&[PROGRAM, verb, "--budgets", &file], &text.to_string()).output().unwrap();
        let notified = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && notified.contains("0604") && notified.contains("chmod 0600"),
            "{notified}"
        );
    }
    write_keys(&allocator, &["4b"], 0o600);
    allocator.line.replace(coded(2, "4b"));
    let mut node = allocator.start(&text);
    allocator.grant(40);
    node.logs("all are granted");
    let (life, received, to) = allocator.grants(39);
    // Were one of these believed, it would go by grant 9.
    let grant = BudgetGrant {
        budget: "quota:acme".into(),
        epoch: 7,
        number: 9,
        amount: 1,
        answers: u64::MAX,
        length: 1,
    };
    let message = Message::Grants { holder: life, plan: 1, grants: vec![grant] }.bytes();
    for _ in 0..2 {
        let (stranger, earlier) = (coded(9, "5c").sign(message.clone()), received.clone());
        for datagram in [&message, &stranger, &earlier] {
            allocator.socket.send_to(datagram, to).unwrap();
        }
    }
    let in_force = |allocator: &Allocator, number| {
        let goes = |w| match w {
            Message::Ask { claims, .. } if claims[0].in_force.1 >= number => Some(claims[0].in_force.1),
            _ => None,
        };
        assert_eq!(allocator.hears(goes).0, number);
    };
    allocator.grant(38);
    in_force(&allocator, 3);
    write_keys(&allocator, &["5c", "4b"], 0o600);
    node.reload();
    let lines = node.logs_until("read again: version 1");
    for why in ["a word without a code", "a word under another key", "a word that was heard before"] {
        let notified: Vec<&String> = lines.iter().filter(|l| l.contains(why)).collect();
        assert!(
            matches!(notified[..], [first, count] if first.contains("further ones are only counted") && count.contains("2 datagrams")),
            "{why}: {lines:?}"
        );
    }
    // The node says what it says under the new key, and believes both.
    let both = Keys::read(&["5c", "4b"].map(|k| k.repeat(32)).join("\n")).unwrap();
    allocator.line.borrow_mut().reconfigure(2, "tidal", Some(&both));
    allocator.grant(37);
    in_force(&allocator, 4);
    allocator.line.replace(coded(3, "4b"));
    write_keys(&allocator, &["4b"], 0o640);
    node.reload();
    assert!(node.logs("the old file of budgets stays").contains("0640"));
    node.terminate();
    assert!(node.exit().success());
}

/// Another file is in force after SIGHUP; one that can't be used changes nothing.
#[rstest]
fn a_file_is_read_again_and_a_bad_one_is_not() {
    let (mut allocator, server) = (Allocator::new("again"), TestServer::new());
    let node = allocator.start(&config(&[server.address]));
    allocator.grant(40);
    node.logs("all are granted");
    allocator.write(2, "(budget quota:acme (whole 3) (reserve 9))");
    node.reload();
    assert!(node.logs("the old file of budgets stays").contains(":1:"));
    allocator.grant(40);
    assert_eq!(allocator.asked().1, 1);
    allocator.write(2, "(budget quota:acme (whole 30) (reserve 1))");
    node.reload();
    node.logs("version 2");
    let ((), _) = allocator.hears(|w| matches!(w, Message::Ask { plan: 2, .. }).then_some(()));
}

/// The next process asks as another life while the old one serves what it has, and gets the address with the reserve once the
/// old one has let go of it.
#[rstest]
fn a_process_that_takes_over_is_another_life() {
    let (mut allocator, server) = (Allocator::new("next"), TestServer::new());
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let mut old = allocator.start(&config);
    old.logs("this process is n0");
    let first = allocator.grant(20);
    config["listen"] = json!(old.address.to_string());
    let path = handover_directory().join(format!("shorepath-{}.sock", old.address));
    let begin = Instant::now();
    while !path.exists() {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    let new = allocator.start(&config);
    let mut lives = vec![first];
    while lives.iter().all(|l| *l == first) {
        lives.push(allocator.grant(10));
    }
    old.logs("the next process takes clients");
    new.logs("this process is n0");
    old.terminate();
    assert!(old.exit().success());
    assert!(lives.iter().all(|l| l.node == first.node));
}

#[rstest]
fn what_can_not_be_shared_is_said_in_a_line() {
    let allocator = Allocator::new("line");
    let text = config(&[]).to_string();
    let run = |messages: &[&str]| {
        let output = command(messages, &text).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let file = allocator.file.to_str().unwrap();
    allocator.write(1, "(budget quota:nobody (whole 50))");
    let (code, notified) = run(&[PROGRAM, "check", "--budgets", file]);
    assert!(code == Some(1) && notified.contains("nothing here is bounded by quota:nobody"), "{notified}");
    let other = text.replace("\"n0\"", "\"n9\"");
    let output = command(&[PROGRAM, "serve", "--budgets", file], &other).output().unwrap();
    let notified = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.code() == Some(1) && notified.contains("n9 is no (node ...)"), "{notified}");
    let (code, notified) = run(&[PROGRAM, "budgets", "status", "--budgets", file]);
    assert!(code == Some(1) && notified.contains("no divider answers"), "{notified}");
}

/// What operators are told: where units are, and why a node has what it has.
#[rstest]
fn operators_see_where_budgets_are() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-seen.sexp", std::process::id()));
    let places = format!("(divider d0 \"{address}\") (node n0 \"127.0.0.1:1\") (node n1 \"127.0.0.1:2\")");
    std::fs::write(&file, format!("(budgets {places} (budget probes (whole 9) (reserve 1)))")).unwrap();
    let part = |node: &str, amount, demand, is_suspected: bool| PartStatus {
        node: node.into(),
        incarnation: 255,
        amount,
        demand,
        used: 1,
        number: 4,
        received: (!is_suspected).then_some(1_500_000),
        is_suspected,
    };
    let parts = vec![part("n0", 2, 5, false), part("n1", 5, 0, true)];
    let budget = BudgetStatus {
        name: "probes".into(),
        total: 9,
        granted: 2,
        withheld: 5,
        reserved: 2,
        parts,
        ..BudgetStatus::default()
    };
    let status = Status {
        allocator: "d0".into(),
        leader: Some("d0".into()),
        plan: 3,
        epoch: Some(77),
        kept: vec![2],
        budgets: vec![budget],
        members: vec![("n1".into(), "suspect".into(), 2_000_000)],
        refused: vec![("a word that was heard before".into(), 3)],
    };
    let answer = json!({"Status": status}).to_string();
    let serving = std::thread::spawn(move || {
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = [0; 4];
            stream.read_exact(&mut head).unwrap();
            let mut question = vec![0; u32::from_be_bytes(head) as usize];
            stream.read_exact(&mut question).unwrap();
            assert_eq!(question, b"\"Status\"");
            stream.write_all(&(answer.len() as u32).to_be_bytes()).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    let ask = |messages: &[&str]| {
        let mut command = Command::new(PROGRAM);
        command.arg("budgets").args(messages).arg("--budgets").arg(&file).stderr(Stdio::inherit());
        let output = command.output().unwrap();
        assert!(output.status.success());
        String::from_utf8(output.stdout).unwrap()
    };
    let notified = ask(&["status"]);
    for wanted in [
        "fleet 77",
        "version 3",
        "d0 divides",
        "probes",
        "[2]",
        "n1 suspect for 2.0 s",
        "3 dropped: a word that was heard",
    ] {
        assert!(notified.contains(wanted), "{wanted}: {notified}");
    }
    let figures: serde_json::Value = serde_json::from_str(&ask(&["status", "--json"])).unwrap();
    assert_eq!(figures["budgets"][0]["in_doubt"], 5);
    let notified = ask(&["explain", "probes"]);
    assert!(notified.contains("n0/ff: 2 of probes") && notified.contains("5 are held back"), "{notified}");
    assert!(
        notified.contains("n1/ff") && notified.contains("until its grants have surely ended"),
        "{notified}"
    );
    serving.join().unwrap();
}

/// A call to discovery that waits for a unit is wanted until it is made, whatever became of the first asking; in the rig a node without a
/// unit called after nine seconds. Guards against one that waits for the turn of those that want nothing.
#[rstest]
fn a_call_to_discovery_is_wanted_for_as_long_as_it_waits() {
    let (mut allocator, server, discovery) = (Allocator::new("lists"), TestServer::new(), TestServer::new());
    allocator.write(1, "(budget lists (whole 2))");
    let node = allocator.start(&crate::config_with_discovery(&[server.address], &discovery));
    allocator.hears(|w| matches!(w, Message::Ask { claims, .. } if claims[0].demand > 0).then_some(()));
    for k in 0..10 {
        assert!(allocator.asked().2.demand > 0, "asking {k} after the first one wants nothing");
    }
    allocator.grant(2);
    node.logs("all are granted");
    assert!(discovery.accept().message().first.starts_with("GET /catalog/members"));
}
