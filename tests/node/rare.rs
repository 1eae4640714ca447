//! Orderings that come up once in thousands of requests, each made to come up every time.

use crate::discovery_updates::Failure;
use crate::sites::comes;
use crate::stopping::until;
use crate::support::*;
use crate::written::{keyed, patient, seconds, AdminServer, FULL};
use crate::{accept_watch, config_with_discovery, server_list};
use rstest::rstest;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Milliseconds of Unix time.
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1e3
}

/// A client that has had an answer on its connection.
fn known_client(node: &Node) -> Connection {
    let mut client = node.client();
    client.send(HEALTH);
    assert_eq!(client.message().status(), 200);
    client
}

/// The mean work of a request to a cold server, in milliseconds.
const WORK: u64 = 100;
/// How a cold server warms up: the part of a core that it begins with, the time, both in milliseconds, after which it is warm
/// and within which it falls when it is sent more than so many times what it can do.
const WARMING: (f64, f64, f64, f64) = (0.25, 40_000.0, 1_000.0, 3.0);

/// How many requests of mean work a server bears of that age in milliseconds. Beyond N only twice the root of N and two are
/// chance; N is 7.5 at the start, and 8.6 after 2 s.
fn bears(age: f64) -> f64 {
    let (share, warm, fall, multiple) = WARMING;
    let n = multiple * (share + (1.0 - share) * (age / warm).min(1.0)) * fall / WORK as f64;
    n + 2.0 * n.sqrt() + 2.0
}

/// Numbers that are the same each time.
fn numbers(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |below| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state % below
    }
}

/// A server that counts the work of the requests whose last byte has come, in requests of mean work, and serves each in the
/// time that its id names.
fn counting(server: TestServer) -> Arc<Mutex<Vec<(f64, f64)>>> {
    let came = Arc::new(Mutex::new(Vec::new()));
    let count = came.clone();
    server.handle_connections(move |mut peer| {
        while peer.receives_data() {
            let id = peer.id();
            let work: u64 = id.rsplit('-').next().unwrap().parse().unwrap();
            count.lock().unwrap().push((unix_ms(), work as f64 / WORK as f64));
            peer.begin();
            peer.state(&id, "started");
            if peer.is_silent_for(ms(work)) {
                peer.finish(&id, &id);
            }
        }
    });
    came
}

/// Twenty processes know one server, which is cold. They are told of it in the same moment, are quiet until each has saved what it
/// can, and get more than it can take in the same moment. What comes to it in the time in which it falls stays within what it
/// bears; that twice, each time with another server in the place of the one before.
#[rstest]
#[case::of_equal_work(1, false)]
#[case::of_hinted_work(2, true)]
#[case::of_equal_work_again(3, false)]
fn twenty_processes_together_do_not_fell_a_cold_server(#[case] seed: u64, #[case] hinted: bool) {
    let discovery = TestServer::new();
    let (share, warm, fall, multiple) = WARMING;
    let nodes: Vec<Node> = (0..20)
        .map(|k| {
            let mut config = config_with_discovery(&[], &discovery);
            config["name"] = json!(format!("n{k}"));
            config["seed"] = json!(format!("{:x}", seed * 100 + k));
            let settings = &mut config["settings"];
            (settings["replicas_of_me"], settings["rank"]) = (json!(20), json!(k));
            settings["rules"]["cold_share"] = json!(share);
            settings["rules"]["cold_ms"] = json!(warm);
            settings["rules"]["fall_ms"] = json!(fall);
            settings["rules"]["tip_multiple"] = json!(multiple);
            settings["projects"][0]["quota_rps"] = json!(1000.0);
            for class in 0..2 {
                // Until one has ended a job is held to be three quarters of this.
                settings["classes"][class]["target_ms"] = json!(WORK as f64 * 4.0 / 3.0);
            }
            Node::start(&config)
        })
        .collect();
    let mut watches: Vec<Connection> = nodes.iter().map(|_| accept_watch(&discovery).0).collect();
    // A watch on which nothing comes has fallen silent.
    let pass = |watches: &mut Vec<Connection>, time: Duration| {
        let end = Instant::now() + time;
        while Instant::now() < end {
            watches.iter_mut().for_each(|w| w.line(""));
            until(end.min(Instant::now() + ms(500)));
        }
    };
    let mut next = numbers(seed);
    let (mut before, mut all): (Vec<Value>, Vec<f64>) = Default::default();
    for round in 0..2 {
        let server = TestServer::new();
        let mut cold = entry(&format!("s-{round}"), server.address, "active");
        let started = unix_ms();
        cold["up_since_ms"] = json!(started);
        let came = counting(server);
        let revision = 42 + round;
        let members = [before.as_slice(), &[cold.clone()]].concat();
        watches.iter_mut().for_each(|w| w.line(&server_list(revision, false, &members)));
        nodes.iter().for_each(|node| drop(node.logs(&format!("server table {revision}"))));
        cold["phase"] = json!("left");
        before = vec![cold];
        // In that time each could save a request at half of what the server is allowed.
        pass(&mut watches, ms(4_000));
        let mut clients: Vec<(usize, Connection)> = nodes
            .iter()
            .enumerate()
            .flat_map(|(k, node)| (0..6).map(move |_| (k, known_client(node))))
            .collect();
        for (n, (k, client)) in clients.iter_mut().enumerate() {
            let work = if hinted { 20 + next(161) } else { WORK };
            let id = format!("{round}-{k}-{n}-{work}");
            let hint = format!("Work-Hint: {}\r\nTenant:", work * 1_000);
            let text = job(&id, "/zone-plan", "5000m", "");
            client.send(&if hinted { text.replace("Tenant:", &hint) } else { text });
        }
        pass(&mut watches, ms(fall as u64));
        let came = came.lock().unwrap().clone();
        let load = |end: f64| -> f64 {
            came.iter().filter(|(at, _)| *at > end - fall && *at <= end).map(|(_, work)| work).sum()
        };
        let over = |at: f64| load(at) - bears(at - started);
        let worst = came.iter().map(|(at, _)| over(*at)).fold(f64::MIN, f64::max);
        println!("seed {seed}, round {round}: {} came, at worst {worst:+.1} requests over", came.len());
        assert!(!came.is_empty(), "nothing was sent");
        all.push(worst);
    }
    assert!(
        all.iter().all(|over| *over <= 0.0),
        "servers fall, by so many requests over what they bear: {all:?}"
    );
}

/// An address that is taken, and at which nobody listens: connections are refused until somebody does.
struct Reserved {
    socket: Socket,
    address: SocketAddr,
}

impl Reserved {
    fn new() -> Reserved {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Reserved { socket, address }
    }

    /// From now on they come up.
    fn listens(self) -> TestServer {
        self.socket.listen(100).unwrap();
        TestServer::from_listener(self.socket.into())
    }
}

/// Discovery is down, and idle clients take whatever descriptors they can get, over and over. Whoever has a request has a place at
/// any time; the call that finds discovery again has its descriptor, and what it brings is in force by the clock. Once the crowd
/// has gone all is as before.
#[rstest]
fn idle_clients_that_fill_the_descriptors_while_discovery_is_down_keep_nobody_out(
    #[values("pushed", "on_request")] lists: &str,
    #[values("exec \"$0\" serve -v", "ulimit -n 70; exec \"$0\" serve -v")] messages: &str,
) {
    let (old, new, discovery) = (TestServer::new(), TestServer::new(), Reserved::new());
    let mut config = config(&[old.address]);
    config["discovery"] = json!(discovery.address.to_string());
    config["limits"]["sockets"] = json!(70);
    config["settings"]["discovery"] = json!(lists);
    let node = Node::start_command(&["sh", "-c", messages, PROGRAM], &config);
    let (address, over, opened) =
        (node.address, Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let (is_over, count) = (over.clone(), opened.clone());
    // Some have had an answer, the others never say a word. What the node ends is opened again.
    let crowd = std::thread::spawn(move || {
        let mut all: VecDeque<TcpStream> = VecDeque::new();
        while !is_over.load(Ordering::Relaxed) {
            if let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(200)) {
                if count.fetch_add(1, Ordering::Relaxed).is_multiple_of(3) {
                    let _ = stream.write_all(HEALTH.as_bytes());
                }
                all.push_back(stream);
            }
            all.drain(..all.len().saturating_sub(200));
        }
    });
    let fills_again = || {
        let before = opened.load(Ordering::Relaxed);
        while opened.load(Ordering::Relaxed) < before + 50 {
            std::thread::yield_now();
        }
    };
    // Each needs a connection of its own to the server, and all descriptors are taken by then.
    let served = |id: &str, server: &TestServer| {
        fills_again();
        let mut client = node.send_job(id, "/zone-plan");
        fills_again();
        let mut backend = server.accept();
        assert_eq!(backend.id(), id);
        backend.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        backend.send(&format!("{}\n", json!({"id": id, "state": "done", "result": "1"})));
        drop(backend);
        let answer = client.message();
        assert_eq!((answer.status(), answer.body.as_str()), (200, "1"), "{id}");
    };
    node.logs("reason=evicted");
    for k in 0..8 {
        served(&format!("down-{k}"), &old);
        assert!(node.descriptors() <= 70);
    }
    let discovery = discovery.listens();
    let back = Instant::now();
    let (mut watch, request) = accept_watch(&discovery);
    assert_eq!(request, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    watch.line(&server_list(42, true, &[entry("s-new", new.address, "active")]));
    node.logs("server table 42");
    assert!(back.elapsed() < Duration::from_secs(6), "{:?}", back.elapsed());
    served("back", &new);
    over.store(true, Ordering::Relaxed);
    println!("{opened:?} connections of the crowd");
    crowd.join().unwrap();
    let mut client = node.send_job("after", "/zone-plan");
    let mut backend = new.accept();
    assert_eq!(backend.id(), "after");
    backend.serve("after", "1");
    assert_eq!(client.message().body, "1");
}

/// More silent clients than there are descriptors for come in the moment in which a job does, whether the configuration or the system
/// says how many there are: the job has a connection to its server all the same.
#[rstest]
#[case::configured("exec \"$0\" serve -v")]
#[case::the_same_by_the_system("ulimit -n 70; exec \"$0\" serve -v")]
#[case::fewer_by_the_system("ulimit -n 48; exec \"$0\" serve -v")]
fn silent_clients_that_come_with_a_job_leave_it_a_descriptor(#[case] messages: &str) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(70);
    let node = Node::start_command(&["sh", "-c", messages, PROGRAM], &config);
    server.handle_connections(|mut peer| {
        let id = peer.id();
        peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        peer.send(&format!("{}\n", json!({"id": id, "state": "done", "result": "1"})));
    });
    let mut client = known_client(&node);
    node.set_paused(true);
    // Less than the queue of those that wait holds.
    let _crowd: Vec<Connection> = (0..90).map(|_| node.client()).collect();
    client.send(&job("a", "/actuator-cmd", "5000m", ""));
    node.set_paused(false);
    let answer = client.message();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "1"));
}

/// The system gives the node fewer descriptors than the configuration says, and silent clients hold as many as they can get: the
/// node keeps to what there is, so that each job has a connection to its server.
#[rstest]
fn clients_leave_servers_the_descriptors_that_the_system_gives(#[values(50, 60, 90)] most: usize) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(1024);
    let messages = format!("ulimit -n {most}; exec \"$0\" serve -v");
    let node = Node::start_command(&["sh", "-c", &messages, PROGRAM], &config);
    server.handle_connections(|mut peer| {
        let id = peer.id();
        peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        peer.send(&format!("{}\n", json!({"id": id, "state": "done", "result": "1"})));
    });
    // One that has handed in a job before is spared.
    let mut client = node.send_job("before", "/actuator-cmd");
    assert_eq!(client.message().status(), 200);
    // All of them are accepted, and most are made to go again.
    let mut crowd: Vec<Connection> = (0..200).map(|_| node.client()).collect();
    let left = |crowd: &mut Vec<Connection>| crowd.retain_mut(|peer| peer.is_silent_for(ms(1)));
    while crowd.len() >= most {
        left(&mut crowd);
    }
    for n in 0..8 {
        client.send(&job(&n.to_string(), "/actuator-cmd", "5000m", ""));
        let answer = client.message();
        assert_eq!(
            (answer.status(), answer.body.as_str()),
            (200, "1"),
            "{n}, with {} of the crowd",
            crowd.len()
        );
        assert!(node.descriptors() <= most);
    }
}

/// What discovery does while a node starts.
#[derive(Clone, Copy, Debug)]
enum Discovery {
    /// Its connections never come up.
    Deaf,
    /// They are refused.
    Refuses,
    /// It does this with each call.
    Fails(Failure),
    /// It sends a byte of a list now and then.
    Trickles,
}

/// A restarted node serves by the list as last held, whatever discovery does, and whether it is asked or pushes its lists: its
/// first health is good, and a job is served, well within the 10 s of a restart.
#[rstest]
fn a_restart_is_ready_whatever_discovery_does(
    #[values("pushed", "on_request")] lists: &str,
    #[values(
        Discovery::Deaf,
        Discovery::Refuses,
        Discovery::Fails(Failure::Busy),
        Discovery::Fails(Failure::BusyAfterDelay),
        Discovery::Fails(Failure::Reset),
        Discovery::Fails(Failure::NoResponse),
        Discovery::Trickles
    )]
    discovery: Discovery,
) {
    let (server, agent, refusing, (deaf, _kept)) =
        (TestServer::new(), TestServer::new(), Reserved::new(), saturated_listener());
    let mut config = config(&[server.address]);
    let address = match discovery {
        Discovery::Deaf => deaf,
        Discovery::Refuses => refusing.address,
        Discovery::Fails(_) | Discovery::Trickles => agent.address,
    };
    agent.handle_connections(move |mut peer| match discovery {
        Discovery::Fails(failure) => failure.play(peer),
        _ => {
            peer.message();
            peer.begin();
            peer.trickle_until_closed("1\r\n{\r\n");
        }
    });
    config["discovery"] = json!(address.to_string());
    config["settings"]["discovery"] = json!(lists);
    config["settings"]["replicas_of_me"] = json!(300);
    for start in 0..2 {
        let begun = Instant::now();
        let mut node = Node::start(&config);
        let mut client = known_client(&node);
        client.send(&job("a", "/actuator-cmd", "5000m", ""));
        let mut backend = server.accept();
        assert_eq!(backend.id(), "a");
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
        assert!(begun.elapsed() < Duration::from_secs(5), "start {start}: {:?}", begun.elapsed());
        drop((backend, client));
        node.terminate();
        assert!(node.exit().success());
    }
}

/// How all servers of a node are lost to it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lost {
    /// They turn everything away.
    Full,
    /// They refuse connections.
    Refusing,
    /// They take connections and jobs, and say nothing.
    Silent,
}

/// All servers are lost and then there again. While that lasts the node goes on trying: it turns away no more than 4 s on end
/// without one attempt in between, and serves within that time of their return.
#[rstest]
fn a_node_that_has_lost_all_servers_goes_on_trying(
    #[values(Lost::Full, Lost::Refusing, Lost::Silent)] lost: Lost,
    #[values(false, true)] sheds: bool,
) {
    const AWAY: Duration = Duration::from_secs(9);
    const ON_END: f64 = 4.0;
    let reserved: Vec<Reserved> = (0..3).map(|_| Reserved::new()).collect();
    let mut config = config(&reserved.iter().map(|r| r.address).collect::<Vec<_>>());
    config["settings"]["rules"]["shed_after_start"] = json!(sheds);
    config["settings"]["projects"][0]["quota_rps"] = json!(1000.0);
    let mut node = Node::start(&config);
    let back = Arc::new(AtomicBool::new(false));
    let listen = |reserved: Vec<Reserved>| {
        for server in reserved.into_iter().map(Reserved::listens) {
            let back = back.clone();
            server.handle_connections(move |mut peer| {
                while peer.receives_data() {
                    let id = peer.id();
                    if back.load(Ordering::Relaxed) {
                        peer.serve(&id, &id);
                    } else if lost == Lost::Full {
                        peer.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
                    }
                }
            });
        }
    };
    let mut away = Some(reserved);
    if lost != Lost::Refusing {
        listen(away.take().unwrap());
    }
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..24)
        .map(|k| {
            let (mut client, over) = (node.client(), over.clone());
            std::thread::spawn(move || {
                let mut answers = Vec::new();
                for n in 0.. {
                    if over.load(Ordering::Relaxed) {
                        break;
                    }
                    let target = if k % 2 == 0 { "/zone-plan" } else { "/actuator-cmd" };
                    client.send(&job(&format!("{k}-{n}"), target, "5000m", ""));
                    let status = client.message().status();
                    answers.push((unix_ms() / 1e3, status));
                    assert!(client.is_silent_for(ms(50)));
                }
                answers
            })
        })
        .collect();
    std::thread::sleep(AWAY);
    let returned = unix_ms() / 1e3;
    back.store(true, Ordering::Relaxed);
    away.into_iter().for_each(listen);
    std::thread::sleep(Duration::from_secs_f64(ON_END + 0.5));
    over.store(true, Ordering::Relaxed);
    let mut answers: Vec<(f64, u16)> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    answers.sort_by(|a, b| a.0.total_cmp(&b.0));
    node.terminate();
    let lines = node.logs_until("told to stop");
    assert!(node.exit().success());
    let tries: Vec<f64> = lines.iter().filter(|l| l.contains(" to 127.0.0.1:")).map(|l| seconds(l)).collect();
    // Both within their minute.
    let apart = |from: f64, to: f64| (to - from).rem_euclid(60.0);
    // How long the node made no attempt, and how many it turned away in that time.
    let gap = |w: &[f64]| {
        let turned =
            answers.iter().filter(|(at, status)| *status != 200 && apart(w[0], *at) < apart(w[0], w[1]));
        (apart(w[0], w[1]), turned.count())
    };
    let gaps: Vec<(f64, usize)> = tries.windows(2).map(gap).collect();
    let longest = gaps.iter().max_by(|a, b| a.0.total_cmp(&b.0)).expect("attempts");
    let served = answers.iter().find(|(at, status)| *at > returned && *status == 200);
    let after = served.map(|(at, _)| at - returned);
    println!(
        "{} attempts, {} answers; at most {longest:?} s without an attempt and turned away in it; served {after:?} s after",
        tries.len(),
        answers.len()
    );
    let bad: Vec<_> = gaps.iter().filter(|(gap, turned)| *gap >= ON_END && *turned >= 15).collect();
    assert!(bad.is_empty(), "so long without an attempt, and so many turned away: {bad:?}");
    assert!(after.is_some_and(|t| t < ON_END), "served {after:?} s after the servers were back");
}

/// How an answer is framed.
#[derive(Clone, Copy, Debug)]
enum Framed {
    /// In chunks of so many bytes.
    Chunks(usize),
    Length,
    /// Up to the end of the connection.
    Ends,
}

/// A server writes its answer byte by byte or in pieces, its lines cut by chunks anywhere: each job has its whole result, also
/// the next one on that connection.
#[rstest]
fn an_answer_may_come_in_pieces_cut_anywhere(
    #[values(Framed::Chunks(1), Framed::Chunks(7), Framed::Chunks(64), Framed::Length, Framed::Ends)]
    framed: Framed,
    #[values(1, 3, 50)] piece: usize,
) {
    let server = TestServer::new();
    let node = Node::start(&patient(server.address, false));
    let mut client = node.client();
    let mut kept = None;
    for id in ["a", "b"] {
        let result = format!("{id}: \"é\u{1f600}\\\n\" {}", "0123456789".repeat(5));
        client.send(&job(id, "/zone-plan", "30000m", ""));
        let mut backend = comes(&server, kept.take());
        assert_eq!(backend.id(), id);
        let lines = [
            json!({"id": id, "from": "s", "state": "started"}),
            json!({"id": id, "from": "s", "state": "running", "share": 0.5}),
            json!({"id": id, "from": "s", "state": "done", "result": result}),
        ];
        let body: Vec<u8> = lines.iter().flat_map(|line| format!("{line}\n").into_bytes()).collect();
        let mut text = b"HTTP/1.1 200 OK\r\nServer-Load: TEXT inflight=7\r\n".to_vec();
        match framed {
            Framed::Chunks(size) => {
                text.extend(b"Transfer-Encoding: chunked\r\n\r\n");
                for chunk in body.chunks(size) {
                    text.extend(format!("{:x};x=y\r\n", chunk.len()).bytes().chain(chunk.iter().copied()));
                    text.extend(b"\r\n");
                }
                text.extend(b"0\r\nT: t\r\n\r\n");
            }
            Framed::Length => {
                text.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
                text.extend(body);
            }
            Framed::Ends => {
                text.extend(b"Connection: close\r\n\r\n");
                text.extend(body);
            }
        }
        for part in text.chunks(piece) {
            backend.send_bytes(part);
            // It is read by itself.
            if piece == 1 {
                std::thread::yield_now();
            } else {
                backend.is_silent_for(ms(1));
            }
        }
        if !matches!(framed, Framed::Ends) {
            kept = Some(backend);
        }
        let answer = client.message();
        assert_eq!((answer.status(), answer.body), (200, result));
    }
    assert!(server.has_no_connection());
}

/// How much of what was written to that address the writer's system holds, and the reader's.
fn queued(server: SocketAddr) -> u64 {
    let port = format!(":{:04X}", server.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let of = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (tx, rx) = fields[4].split_once(':')?;
        let count = |hex: &str| u64::from_str_radix(hex, 16).ok();
        // Open connections only: a listener's figures are others.
        match fields[3] {
            "01" if fields[1].ends_with(&port) => count(rx),
            "01" if fields[2].ends_with(&port) => count(tx),
            _ => None,
        }
    };
    table.lines().skip(1).filter_map(of).sum()
}

/// When a server resets the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ResetAt {
    /// The node could not write all of the request yet.
    Before,
    /// The node has written all of it, and the server has read nothing.
    Written,
    /// The server has read it to the last byte.
    Read,
}

/// A reset before the last byte of a request is written proves that it never ran, and it is tried again whatever it does; once
/// that byte is written nothing is proven, and what may not run twice fails.
#[rstest]
fn a_reset_tells_by_the_last_byte_whether_a_request_may_have_run(
    #[values(ResetAt::Before, ResetAt::Written, ResetAt::Read)] when: ResetAt,
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
) {
    let server = Reserved::new();
    if when == ResetAt::Before {
        // Small segments, so that the writer's system has a small buffer, too.
        server.socket.set_recv_buffer_size(2_048).unwrap();
        server.socket.set_tcp_mss(536).unwrap();
    }
    let address = server.address;
    let server = server.listens();
    let node = Node::start(&config(&[address]));
    let body = "x".repeat(65_536);
    let mut client = node.client();
    client.send(&job("a", target, "5000m", &body));
    let mut backend = server.accept();
    match when {
        ResetAt::Before => {
            assert!(backend.has_unread_data(), "nothing came");
            std::thread::sleep(ms(100));
            // The buffers are full, and the last byte is still to be written.
            let before = queued(address);
            assert!(before < body.len() as u64, "all of it is written: {before}");
        }
        ResetAt::Written => {
            while queued(address) <= body.len() as u64 {
                std::thread::yield_now();
            }
        }
        ResetAt::Read => assert!(backend.message().body == body),
    }
    backend.reset_now();
    if when == ResetAt::Before || target == "/zone-plan" {
        let mut backend = server.accept();
        let request = backend.message();
        assert!(request.field("Request-Id") == Some("a") && request.body == body, "the same once more");
        backend.serve("a", "1");
        assert_eq!(client.message().body, "1");
    } else {
        assert_eq!(client.message().status(), 502);
    }
    assert!(client.is_silent_for(ms(20)), "one answer");
    assert!(server.has_no_connection());
}

/// What a server is told to be left, in milliseconds.
fn told_left(request: &Message) -> f64 {
    let left = request.field("Request-Timeout").and_then(|t| t.strip_suffix('u')).unwrap();
    left.parse::<f64>().unwrap() / 1e3
}

/// Each attempt tells what is left to the client by then, however long the one before was out, and however late its connection
/// comes up.
#[rstest]
#[case::soon(0, false)]
#[case::late(700, false)]
#[case::late_connection(300, true)]
fn each_attempt_tells_at_most_what_is_left_to_the_client(
    #[case] held: u64,
    #[case] late: bool,
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
) {
    let mut admin = AdminServer::new();
    let mut config = config(&[admin.address]);
    config["settings"]["allowed"]["connect_timeout_ms"] = json!(3_000.0);
    for class in 0..2 {
        // It is not called off while it waits, and has the time for three attempts.
        config["settings"]["classes"][class]["target_ms"] = json!(3_000.0);
        config["settings"]["classes"][class]["deadline_ms"] = json!(20_000.0);
    }
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&job("a", target, "9000m", ""));
    // When the request had come to the node at the latest, and when the next attempt is written at the soonest.
    let (mut come, mut released) = (None, Instant::now());
    for attempt in 0..3 {
        let mut backend = admin.accept();
        let request = backend.message();
        let come = *come.get_or_insert_with(Instant::now);
        let left = 9_000.0 - released.saturating_duration_since(come).as_secs_f64() * 1e3;
        let notified = told_left(&request);
        println!("attempt {attempt}: told {notified:.1} ms, at most {left:.1} are left");
        assert!(notified <= left, "attempt {attempt}: told {notified} ms, {left} are left");
        if attempt == 2 {
            backend.serve("a", "1");
            break;
        }
        if held > 0 {
            backend.assert_silent_for(ms(held));
        }
        if late {
            admin.shut();
        }
        released = Instant::now();
        backend.send(FULL);
        drop(backend);
        if late {
            admin.waits_for_one();
            released = Instant::now();
        }
    }
    assert_eq!(client.message().body, "1");
}

/// A keyed job whose first attempt may have run is turned away at the second until servers have forgotten its key: there is no
/// third, and it is denied where every server drops repeats, so that trying again is harmless, and has failed elsewhere.
#[rstest]
#[case::all("all", 503)]
#[case::zone("zone", 502)]
fn a_window_for_repeats_that_is_used_up_ends_the_attempts(#[case] group: &str, #[case] status: u16) {
    let server = TestServer::new();
    let mut config = config(&[server.address]);
    let class = &mut config["settings"]["classes"][1];
    (class["semantics"], class["group"]) = (json!("guarded"), json!(group));
    class["dedup_window_ms"] = json!(400.0);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&keyed("a"));
    let mut backend = server.accept();
    assert_eq!(backend.id(), "a");
    let first = Instant::now();
    backend.send("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(backend.id(), "a");
    assert!(first.elapsed() < ms(400), "the second is in time");
    // It waits in the server's queue until its key is forgotten.
    backend.assert_silent_for(ms(450));
    backend.send("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(client.message().status(), status);
    assert!(backend.is_silent_for(ms(100)) && server.has_no_connection());
}

/// Where a request is as other settings are read.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// A server has it.
    Out,
    /// It waits for the one before it.
    Queued,
    /// The connection for it is on its way up.
    Connecting,
    /// One attempt never ran, and the next has to wait.
    Between,
}

/// New settings, with classes that have changed their places, names, deadlines and effects, and without the tenant of an open
/// request, change nothing about that: it keeps the time that it came with, is tried as often as its own class was, and goes on as that
/// tenant's.
#[rstest]
fn a_request_keeps_its_own_settings_at_every_stage(
    #[values(Stage::Out, Stage::Queued, Stage::Connecting, Stage::Between)] stage: Stage,
    #[values("/zone-plan", "/actuator-cmd")] target: &str,
) {
    let mut admin = AdminServer::new();
    let mut config = patient(admin.address, false);
    let settings = &mut config["settings"];
    settings["projects"] = json!([
        {"name": "acme", "portion": 0.5, "quota_rps": 50.0}, {"name": "first", "portion": 0.5, "quota_rps": 50.0}
    ]);
    let node = Node::start(&config);
    let mut client = node.client();
    let text = job("a", target, "4500m", "").replace("Tenant: acme", "Tenant: first");
    let mut kept = None;
    let mut before = None;
    match stage {
        Stage::Out => {
            client.send(&text);
            let mut backend = admin.accept();
            assert_eq!(backend.id(), "a");
            kept = Some(backend);
        }
        Stage::Queued => {
            let held = node.send_job("before", "/zone-plan");
            let mut backend = admin.accept();
            assert_eq!(backend.id(), "before");
            client.send(&text);
            assert!(backend.is_silent_for(ms(50)), "it is queued");
            before = Some((held, backend));
        }
        Stage::Connecting => {
            admin.shut();
            client.send(&text);
            admin.waits_for_one();
        }
        Stage::Between => {
            client.send(&text);
            let mut backend = admin.accept();
            assert_eq!(backend.id(), "a");
            backend.send(FULL);
            node.logs("dispatch 1.0 ended Overloaded");
        }
    }
    let settings = &mut config["settings"];
    let [mut plan, mut command] = [0, 1].map(|class| settings["classes"][class].clone());
    // Both names stand for what the other one did, the first in its place, and a third comes between them.
    (plan["name"], command["name"]) = (json!("actuator-cmd"), json!("zone-plan"));
    (plan["deadline_ms"], command["deadline_ms"]) = (json!(700.0), json!(700.0));
    let mut third = plan.clone();
    third["name"] = json!("vent-plan");
    settings["classes"] = json!([command, third, plan]);
    settings["family_info"]["class_kind"] = json!([-1, -1, -1]);
    settings["family_info"]["class_stretch"] = json!([2.0, 2.0, 2.0]);
    settings["allowed"]["try_limit"] = json!(1);
    settings["projects"] = json!([
        {"name": "second", "portion": 0.5, "quota_rps": 50.0}, {"name": "acme", "portion": 0.5, "quota_rps": 50.0}
    ]);
    node.replace_config(&config.to_string());
    node.reload();
    let lines = node.logs_until("new settings hold");
    assert!(stage != Stage::Between || lines.iter().all(|l| !l.contains("dispatch 1.1")), "{lines:?}");
    if let Some((mut held, mut backend)) = before {
        backend.serve("before", "0");
        assert_eq!(held.message().body, "0");
        kept = Some(backend);
    }
    let mut attempts = u32::from(stage == Stage::Between);
    let mut has_it = kept.take_if(|_| stage == Stage::Out);
    // What may not run twice is tried until it may have run, the other one three times in all.
    let most = if target == "/zone-plan" { 3 } else { attempts + 1 };
    while attempts < most {
        let mut backend = has_it.take().unwrap_or_else(|| {
            let mut backend = admin.comes(kept.take());
            let request = backend.message();
            assert_eq!((request.field("Request-Id"), request.field("Tenant")), (Some("a"), Some("first")));
            assert!(told_left(&request) > 1_000.0, "{}", told_left(&request));
            backend
        });
        backend.send("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
        attempts += 1;
        kept = Some(backend);
    }
    assert_eq!(client.message().status(), if target == "/zone-plan" { 503 } else { 502 });
    assert!(kept.unwrap().is_silent_for(ms(20)) && admin.came().is_none(), "no attempt more");
    // Whoever comes now comes under the new ones.
    client.send(&text.replace("Request-Id: a", "Request-Id: b"));
    assert_eq!(client.message().status(), 400, "there is no such tenant");
}
