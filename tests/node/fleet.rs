//! A node of a fleet with shared quotas; the test acts as the quota server.

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

/// A quota server that the test controls, and the budgets file that lists it.
struct TestQuotaServer {
    socket: UdpSocket,
    node_address: SocketAddr,
    budgets_file: PathBuf,
    grant_count: u64,
    /// Signs and verifies messages; without a key at first.
    channel: RefCell<Channel>,
    /// The clauses of the budgets file that name the fleet and its key, or nothing.
    key_clauses: String,
}

impl TestQuotaServer {
    fn new(name: &str) -> TestQuotaServer {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let node_address = unused_address();
        let budgets_file =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}.sexp", std::process::id()));
        let channel = RefCell::new(Channel::new(NodeId::of("d0").0, 1, "tidal", None));
        let quota_server = TestQuotaServer {
            socket,
            node_address,
            budgets_file,
            grant_count: 0,
            channel,
            key_clauses: String::new(),
        };
        quota_server.write(1, "(budget quota:acme (whole 50) (reserve 2))");
        quota_server
    }

    fn write(&self, version: u64, budgets: &str) {
        let server_address = self.socket.local_addr().unwrap();
        let text = format!(
            "(budgets (version {version}) (term 1 s) {} (divider d0 \"{server_address}\") (node n0 \"{}\") {budgets})",
            self.key_clauses, self.node_address
        );
        std::fs::write(&self.budgets_file, text).unwrap();
    }

    fn start(&self, config: &serde_json::Value) -> Node {
        let budgets_file = self.budgets_file.to_str().unwrap();
        Node::start_command(&[PROGRAM, "serve", "-v", "--budgets", budgets_file], config)
    }

    /// Waits for the next message that `read` accepts; returns its value and its sender.
    fn receive_matching<T>(&self, read: impl Fn(Message) -> Option<T>) -> (T, SocketAddr) {
        let begin = Instant::now();
        let mut buffer = [0; 4_000];
        while begin.elapsed() < TEST_TIMEOUT {
            let (n, from) = self.socket.recv_from(&mut buffer).unwrap();
            // Datagrams of the membership protocol arrive here, too.
            let mut channel = self.channel.borrow_mut();
            let Ok(received) = channel.verify(&buffer[..n], 0) else { continue };
            if let Some(found) = Message::read(received.body).ok().and_then(&read) {
                return (found, from);
            }
        }
        panic!("no such message arrived");
    }

    fn receive_claim(&self) -> (NodeIncarnation, u64, BudgetClaim, SocketAddr) {
        let read_claim = |message| {
            if let Message::Ask { holder: incarnation, plan, mut claims } = message {
                Some((incarnation, plan, claims.remove(0)))
            } else {
                None
            }
        };
        let ((incarnation, plan, claim), from) = self.receive_matching(read_claim);
        (incarnation, plan, claim, from)
    }

    /// Answers the next claim with a grant and returns the incarnation that holds it.
    fn grant(&mut self, amount: u64) -> NodeIncarnation {
        self.grant_and_keep_datagram(amount).0
    }

    /// Answers the next claim with a grant; returns its holder, the signed datagram and the address it was sent to.
    fn grant_and_keep_datagram(&mut self, amount: u64) -> (NodeIncarnation, Vec<u8>, SocketAddr) {
        // Drops claims that are already queued: an answer to one of them would be too old.
        self.socket.set_nonblocking(true).unwrap();
        while self.socket.recv_from(&mut [0; 4_000]).is_ok() {}
        self.socket.set_nonblocking(false).unwrap();
        let (incarnation, plan, claim, from) = self.receive_claim();
        self.grant_count += 1;
        let grant = BudgetGrant {
            budget: claim.budget,
            epoch: 7,
            number: self.grant_count,
            amount,
            answers: claim.request_number,
            length: 1_000_000,
        };
        let message = Message::Grants { holder: incarnation, plan, grants: vec![grant] };
        let datagram = self.channel.borrow_mut().sign(message.bytes());
        self.socket.send_to(&datagram, from).unwrap();
        (incarnation, datagram, from)
    }
}

/// Sends `count` jobs at once and returns how many are served; the others must be rejected with 503.
fn count_served(node: &Node, server: &mut TestServer, name: &str, count: usize) -> usize {
    let done = AtomicBool::new(false);
    let is_done = &done;
    std::thread::scope(|scope| {
        let server = &mut *server;
        scope.spawn(move || {
            while !is_done.load(Ordering::Relaxed) {
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

/// A node serves up to its grant, falls back to its reserve when the grant expires, and returns the grant when it stops.
#[rstest]
fn node_uses_its_grant_then_its_reserve_and_returns_the_grant_on_shutdown() {
    let (mut quota_server, mut server) = (TestQuotaServer::new("keeps"), TestServer::new());
    let mut node = quota_server.start(&config(&[server.address]));
    let incarnation = quota_server.grant(40);
    assert_eq!(incarnation.node, NodeId::of("n0"));
    node.logs("all are granted");
    assert_eq!(count_served(&node, &mut server, "a", 4), 4);
    let ((), _) = quota_server.receive_matching(|message| match message {
        Message::Ask { claims, .. } if claims[0].in_force == (7, 1) && claims[0].demand > 0 => Some(()),
        _ => None,
    });
    // Without an answer for a term, only the reserve of two requests per second is left.
    node.logs("no grant for quota:acme");
    let served_count = count_served(&node, &mut server, "b", 30);
    assert!((1..=8).contains(&served_count), "{served_count} of 30");
    quota_server.grant(30);
    node.logs("all are granted");
    node.terminate();
    let (returned, _) = quota_server.receive_matching(|message| {
        if let Message::Returns { grants: returned, .. } = message {
            Some(returned)
        } else {
            None
        }
    });
    assert_eq!(returned, [("quota:acme".to_string(), 7, 2)]);
    assert!(node.exit().success());
}

/// Writes the key file beside the budgets file; each key repeats one byte.
fn write_keys(quota_server: &TestQuotaServer, keys: &[&str], mode: u32) {
    let path = quota_server.budgets_file.with_extension("key");
    std::fs::write(&path, keys.iter().map(|k| k.repeat(32) + "\n").collect::<String>()).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
}

/// Returns the channel of a quota server of that incarnation that signs with that key.
fn signing_channel(incarnation: u64, key: &str) -> Channel {
    Channel::new(NodeId::of("d0").0, incarnation, "tidal", Some(&Keys::read(&key.repeat(32)).unwrap()))
}

/// With a configured key, unsigned, foreign and replayed messages are ignored, counted and logged once; SIGHUP replaces the key
/// without losing a grant.
#[rstest]
fn node_ignores_messages_without_a_valid_signature() {
    const QUOTA: &str = "(budget quota:acme (whole 50) (reserve 2))";
    let (mut quota_server, server) = (TestQuotaServer::new("keyed"), TestServer::new());
    let name = quota_server.budgets_file.with_extension("key");
    quota_server.key_clauses =
        format!("(fleet tidal) (key \"{}\")", name.file_name().unwrap().to_str().unwrap());
    quota_server.write(1, QUOTA);
    let config_json = config(&[server.address]);
    write_keys(&quota_server, &["4b"], 0o604);
    let file = quota_server.budgets_file.to_str().unwrap().to_string();
    for subcommand in ["check", "serve"] {
        let output =
            command(&[PROGRAM, subcommand, "--budgets", &file], &config_json.to_string()).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && stderr.contains("0604") && stderr.contains("chmod 0600"),
            "{stderr}"
        );
    }
    write_keys(&quota_server, &["4b"], 0o600);
    quota_server.channel.replace(signing_channel(2, "4b"));
    let mut node = quota_server.start(&config_json);
    quota_server.grant(40);
    node.logs("all are granted");
    let (incarnation, replayed, node_address) = quota_server.grant_and_keep_datagram(39);
    // Accepting one of these would put grant 9 in force.
    let grant = BudgetGrant {
        budget: "quota:acme".into(),
        epoch: 7,
        number: 9,
        amount: 1,
        answers: u64::MAX,
        length: 1,
    };
    let message = Message::Grants { holder: incarnation, plan: 1, grants: vec![grant] }.bytes();
    for _ in 0..2 {
        let (foreign, replayed_copy) = (signing_channel(9, "5c").sign(message.clone()), replayed.clone());
        for datagram in [&message, &foreign, &replayed_copy] {
            quota_server.socket.send_to(datagram, node_address).unwrap();
        }
    }
    let expect_in_force = |quota_server: &TestQuotaServer, number| {
        let read_number = |message| match message {
            Message::Ask { claims, .. } if claims[0].in_force.1 >= number => Some(claims[0].in_force.1),
            _ => None,
        };
        assert_eq!(quota_server.receive_matching(read_number).0, number);
    };
    quota_server.grant(38);
    expect_in_force(&quota_server, 3);
    write_keys(&quota_server, &["5c", "4b"], 0o600);
    node.reload();
    let lines = node.logs_until("read again: version 1");
    for reason in ["a word without a code", "a word under another key", "a word that was heard before"] {
        let matching_lines: Vec<&String> = lines.iter().filter(|l| l.contains(reason)).collect();
        assert!(
            matches!(matching_lines[..], [first, count] if first.contains("further ones are only counted") && count.contains("2 datagrams")),
            "{reason}: {lines:?}"
        );
    }
    // The node signs with the new key and accepts both.
    let both = Keys::read(&["5c", "4b"].map(|k| k.repeat(32)).join("\n")).unwrap();
    quota_server.channel.borrow_mut().reconfigure(2, "tidal", Some(&both));
    quota_server.grant(37);
    expect_in_force(&quota_server, 4);
    quota_server.channel.replace(signing_channel(3, "4b"));
    write_keys(&quota_server, &["4b"], 0o640);
    node.reload();
    assert!(node.logs("the old file of budgets stays").contains("0640"));
    node.terminate();
    assert!(node.exit().success());
}

/// SIGHUP loads a new budgets file; an invalid one leaves the old one in force.
#[rstest]
fn sighup_loads_a_valid_budgets_file_and_rejects_an_invalid_one() {
    let (mut quota_server, server) = (TestQuotaServer::new("again"), TestServer::new());
    let node = quota_server.start(&config(&[server.address]));
    quota_server.grant(40);
    node.logs("all are granted");
    quota_server.write(2, "(budget quota:acme (whole 3) (reserve 9))");
    node.reload();
    assert!(node.logs("the old file of budgets stays").contains(":1:"));
    quota_server.grant(40);
    assert_eq!(quota_server.receive_claim().1, 1);
    quota_server.write(2, "(budget quota:acme (whole 30) (reserve 1))");
    node.reload();
    node.logs("version 2");
    let ((), _) = quota_server
        .receive_matching(|message| matches!(message, Message::Ask { plan: 2, .. }).then_some(()));
}

/// In a hot restart the next process claims under its own incarnation while the old one keeps its grant, and takes over the node's
/// address and reserve when the old one releases them.
#[rstest]
fn hot_restart_claims_under_a_new_incarnation() {
    let (mut quota_server, server) = (TestQuotaServer::new("next"), TestServer::new());
    let mut config = config(&[server.address]);
    config["mgmt"] = json!("127.0.0.1:0");
    let mut old_node = quota_server.start(&config);
    old_node.logs("this process is n0");
    let first_incarnation = quota_server.grant(20);
    config["listen"] = json!(old_node.address.to_string());
    let socket_path = handover_directory().join(format!("shorepath-{}.sock", old_node.address));
    let begin = Instant::now();
    while !socket_path.exists() {
        assert!(begin.elapsed() < TEST_TIMEOUT);
    }
    let new_node = quota_server.start(&config);
    let mut incarnations = vec![first_incarnation];
    while incarnations.iter().all(|i| *i == first_incarnation) {
        incarnations.push(quota_server.grant(10));
    }
    old_node.logs("the next process takes clients");
    new_node.logs("this process is n0");
    old_node.terminate();
    assert!(old_node.exit().success());
    assert!(incarnations.iter().all(|i| i.node == first_incarnation.node));
}

#[rstest]
fn invalid_budgets_files_and_unreachable_quota_servers_are_reported() {
    let quota_server = TestQuotaServer::new("line");
    let text = config(&[]).to_string();
    let run = |arguments: &[&str]| {
        let output = command(arguments, &text).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let file = quota_server.budgets_file.to_str().unwrap();
    quota_server.write(1, "(budget quota:nobody (whole 50))");
    let (code, stderr) = run(&[PROGRAM, "check", "--budgets", file]);
    assert!(
        code == Some(1)
            && stderr.contains("the settings have no tenant or class for the budget quota:nobody"),
        "{stderr}"
    );
    let other = text.replace("\"n0\"", "\"n9\"");
    let output = command(&[PROGRAM, "serve", "--budgets", file], &other).output().unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.code() == Some(1) && stderr.contains("n9 is no (node ...)"), "{stderr}");
    let (code, stderr) = run(&[PROGRAM, "budgets", "status", "--budgets", file]);
    assert!(code == Some(1) && stderr.contains("no quota server responds"), "{stderr}");
}

/// `budgets status` and `budgets explain` print where the units of a budget are and why a node has its part.
#[rstest]
fn budgets_commands_print_status_and_explanation() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-seen.sexp", std::process::id()));
    let members = format!("(divider d0 \"{address}\") (node n0 \"127.0.0.1:1\") (node n1 \"127.0.0.1:2\")");
    std::fs::write(&file, format!("(budgets {members} (budget probes (whole 9) (reserve 1)))")).unwrap();
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
    let reply = json!({"Status": status}).to_string();
    let serving = std::thread::spawn(move || {
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = [0; 4];
            stream.read_exact(&mut head).unwrap();
            let mut request = vec![0; u32::from_be_bytes(head) as usize];
            stream.read_exact(&mut request).unwrap();
            assert_eq!(request, b"\"Status\"");
            stream.write_all(&(reply.len() as u32).to_be_bytes()).unwrap();
            stream.write_all(reply.as_bytes()).unwrap();
        }
    });
    let run = |arguments: &[&str]| {
        let mut command = Command::new(PROGRAM);
        command.arg("budgets").args(arguments).arg("--budgets").arg(&file).stderr(Stdio::inherit());
        let output = command.output().unwrap();
        assert!(output.status.success());
        String::from_utf8(output.stdout).unwrap()
    };
    let stdout = run(&["status"]);
    for wanted in [
        "fleet 77",
        "version 3",
        "d0 divides",
        "probes",
        "[2]",
        "n1 suspect for 2.0 s",
        "3 dropped: a word that was heard",
    ] {
        assert!(stdout.contains(wanted), "{wanted}: {stdout}");
    }
    let figures: serde_json::Value = serde_json::from_str(&run(&["status", "--json"])).unwrap();
    assert_eq!(figures["budgets"][0]["in_doubt"], 5);
    let stdout = run(&["explain", "probes"]);
    assert!(stdout.contains("n0/ff: 2 of probes") && stdout.contains("5 are held back"), "{stdout}");
    assert!(stdout.contains("n1/ff") && stdout.contains("until its grants have surely ended"), "{stdout}");
    serving.join().unwrap();
}

/// Guards against a waiting discovery call whose later claims ask for nothing, so that its unit comes with the idle nodes' grants.
#[rstest]
fn waiting_discovery_call_claims_a_unit_until_it_is_made() {
    let (mut quota_server, server, discovery) =
        (TestQuotaServer::new("lists"), TestServer::new(), TestServer::new());
    quota_server.write(1, "(budget lists (whole 2))");
    let node = quota_server.start(&crate::config_with_discovery(&[server.address], &discovery));
    quota_server.receive_matching(|message| {
        matches!(message, Message::Ask { claims, .. } if claims[0].demand > 0).then_some(())
    });
    for k in 0..10 {
        assert!(quota_server.receive_claim().2.demand > 0, "claim {k} after the first one has no demand");
    }
    quota_server.grant(2);
    node.logs("all are granted");
    assert!(discovery.accept().message().first.starts_with("GET /catalog/members"));
}
