//! The memory of a node whose clients make it hold as much as they can. The platform kills a node over its limit.

use crate::support::*;
use rstest::rstest;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{connect, socket_with, AddressFamily, SocketFlags, SocketType};
use serde_json::{json, Value};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The least memory of a node, in MiB, and the most descriptors.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Clients that load the node; it accepts most of them.
const CLIENTS: usize = 600;
/// How long the memory is watched; it grows within the first half second.
const DURATION: Duration = Duration::from_millis(2_500);

fn small_node(servers: &[SocketAddr]) -> Node {
    let mut config: Value = config(servers);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    config["settings"]["projects"][0]["quota_rps"] = json!(10_000.0);
    Node::start_command(&[PROGRAM, "serve"], &config)
}

/// A client that sends `text` as fast as the node takes it, and reads nothing.
struct GreedyClient {
    stream: TcpStream,
    text: String,
    sent: usize,
}

impl GreedyClient {
    /// Connects with a small receive buffer, so that answers stay at the node.
    fn connect(address: SocketAddr, text: String) -> GreedyClient {
        let socket =
            socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None).unwrap();
        set_socket_recv_buffer_size(&socket, 4_096).unwrap();
        connect(&socket, &address).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_nonblocking(true).unwrap();
        GreedyClient { stream, text, sent: 0 }
    }

    /// Writes what the connection takes. Returns whether it is still open.
    fn advance(&mut self) -> bool {
        while self.sent < self.text.len() {
            match self.stream.write(&self.text.as_bytes()[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }
}

/// Returns the most private memory that the node uses while the clients send, in KiB.
fn peak_memory_kib(node: &Node, text: impl Fn(usize) -> String) -> u64 {
    let mut clients: Vec<_> =
        (0..CLIENTS).map(|number| GreedyClient::connect(node.address, text(number))).collect();
    let (end, mut peak) = (Instant::now() + DURATION, 0);
    while Instant::now() < end {
        clients.retain_mut(GreedyClient::advance);
        peak = peak.max(node.private_memory_kib());
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(node.private_memory_kib() > 0, "the node has ended");
    peak
}

fn jobs(client: usize, bodies: &[usize], count: usize) -> String {
    let lengths = bodies.iter().cycle().take(count).enumerate();
    lengths
        .map(|(k, length)| job(&format!("{client}-{k}"), "/zone-plan", "60000m", &"x".repeat(*length)))
        .collect()
}

/// Hundreds of clients send requests at once while no backend server answers. Guards against buffers that count against no limit.
#[rstest]
#[case::small_requests(&[100], 300)]
#[case::medium_requests(&[5_000], 40)]
#[case::large_requests(&[60_000], 10)]
#[case::large_and_small_requests(&[60_000, 2_000], 40)]
fn requests_at_once_do_not_exceed_the_memory(#[case] bodies: &[usize], #[case] count: usize) {
    let silent_server = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = small_node(&[silent_server.local_addr().unwrap()]);
    let peak = peak_memory_kib(&node, |client| jobs(client, bodies, count));
    assert!(peak < MEMORY_MB * 1024, "{peak} KiB of {MEMORY_MB} MiB");
}

/// Hundreds of clients send a part of a request, after a whole one. Guards against unfinished requests that count against no limit.
#[rstest]
#[case::head(|head: &str| format!("{head}Padding: {}", "x".repeat(7_000)))]
#[case::body(|head: &str| format!("{head}Content-Length: 64000\r\n\r\n{}", "x".repeat(60_000)))]
fn unfinished_requests_do_not_exceed_the_memory(#[case] part: fn(&str) -> String) {
    let silent_server = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = small_node(&[silent_server.local_addr().unwrap()]);
    let peak = peak_memory_kib(&node, |client| {
        jobs(client, &[2_000], 1) + &part("POST /zone-plan HTTP/1.1\r\nHost: h\r\n")
    });
    assert!(peak < MEMORY_MB * 1024, "{peak} KiB of {MEMORY_MB} MiB");
}

/// Hundreds of clients don't read large answers. Guards against unsent answers that count against no limit.
#[test]
fn unread_answers_do_not_exceed_the_memory() {
    let server = TestServer::new();
    let node = small_node(&[server.address]);
    server.handle_connections(|mut peer| {
        let result = "0123456789".repeat(6_000);
        while peer.receives_data() {
            let id = peer.id();
            peer.serve(&id, &result);
        }
    });
    let peak = peak_memory_kib(&node, |client| jobs(client, &[10], 20));
    assert!(peak < MEMORY_MB * 1024, "{peak} KiB of {MEMORY_MB} MiB");
}
