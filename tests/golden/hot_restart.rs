//! The lines that two processes of one node exchange during a hot restart; the test takes the role of one of them.

use crate::support::*;
use rstest::rstest;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde_json::json;
use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::Instant;

/// Returns the path of the socket on which the serving process accepts its successor.
fn socket_path(address: SocketAddr) -> PathBuf {
    handover_directory().join(format!("shorepath-{address}.sock"))
}

/// Returns a configuration with a listening address and an operator address.
fn hot_restart_config(servers: &[SocketAddr], listen: SocketAddr) -> serde_json::Value {
    let mut config = config(servers);
    config["mgmt"] = json!("127.0.0.1:0");
    config["listen"] = json!(listen.to_string());
    config
}

/// Receives the listening socket, which comes with the first byte.
fn receive_listener(link: &UnixStream) -> OwnedFd {
    let (mut space, mut byte) = ([MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))], [0]);
    let mut control = RecvAncillaryBuffer::new(&mut space);
    recvmsg(link, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC).unwrap();
    assert_eq!(&byte, b"L");
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let all: Vec<OwnedFd> = descriptors.flatten().collect();
    all.into_iter().next().unwrap()
}

/// Serves every request on a connection.
fn serve_all(mut peer: Connection) {
    while peer.receives_data() {
        let id = peer.id();
        peer.serve(&id, "1");
    }
}

fn read_line(lines: &mut BufReader<UnixStream>) -> String {
    let mut line = String::new();
    lines.read_line(&mut line).unwrap();
    line.trim_end().to_string()
}

/// The serving process hands its socket to its successor, the test, and sends each job id that it takes and frees.
#[rstest]
fn serving_process_hands_over_its_socket_and_job_ids() {
    let server = TestServer::new();
    let node = Node::start(&hot_restart_config(&[server.address], unused_address()));
    let path = socket_path(node.address);
    let begin = Instant::now();
    let link = loop {
        match UnixStream::connect(&path) {
            Ok(link) => break link,
            Err(e) => assert!(begin.elapsed() < TEST_TIMEOUT, "{e}"),
        }
    };
    link.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let listener = TcpListener::from(receive_listener(&link));
    assert_eq!(listener.local_addr().unwrap(), node.address);
    let mut lines = BufReader::new(link.try_clone().unwrap());
    let mut client = node.send_job("job 1", "/actuator-cmd");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "job 1");
    assert_eq!(read_line(&mut lines), "take job 1");
    backend.serve("job 1", "1");
    assert_eq!(client.message().body, "1");
    assert_eq!(read_line(&mut lines), "free job 1");
    // A job id in use by the successor is rejected until the successor frees it.
    std::thread::spawn(move || serve_all(backend));
    server.handle_connections(serve_all);
    for (sent, status) in [("take theirs\n", 409), ("free theirs\n", 200)] {
        (&link).write_all(sent.as_bytes()).unwrap();
        let begin = Instant::now();
        while node.send_job("theirs", "/zone-plan").message().status() != status {
            assert!(begin.elapsed() < TEST_TIMEOUT, "{sent}");
        }
    }
    (&link).write_all(b"serving\n").unwrap();
    let begin = Instant::now();
    while node.call("GET", "/ops/readiness") != 503 {
        assert!(begin.elapsed() < TEST_TIMEOUT, "the process still accepts clients");
    }
    (&link).write_all(b"leaving\n").unwrap();
    let begin = Instant::now();
    while node.call("GET", "/ops/readiness") != 200 {
        assert!(begin.elapsed() < TEST_TIMEOUT, "the process does not accept clients again");
    }
}

/// The next process takes the socket of the serving one, the test, and reports when it serves and when it leaves.
#[rstest]
fn next_process_takes_the_socket_and_reports_its_state() {
    let server = TestServer::new();
    let listening = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listening.local_addr().unwrap();
    let path = socket_path(address);
    let socket = UnixListener::bind(&path).unwrap();
    let config = hot_restart_config(&[server.address], address);
    let serving = std::thread::spawn(move || {
        let (link, _) = socket.accept().unwrap();
        let descriptors = [listening.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        sendmsg(&link, &[IoSlice::new(b"L")], &mut control, SendFlags::empty()).unwrap();
        link.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        link
    });
    let node = Node::start(&config);
    let link = serving.join().unwrap();
    let mut lines = BufReader::new(link.try_clone().unwrap());
    assert_eq!(read_line(&mut lines), "serving");
    assert_eq!(node.address, address);
    let mut client = node.send_job("job 2", "/zone-plan");
    let mut backend = server.accept();
    assert_eq!(backend.id(), "job 2");
    assert_eq!(read_line(&mut lines), "take job 2");
    backend.serve("job 2", "1");
    assert_eq!(client.message().body, "1");
    assert_eq!(read_line(&mut lines), "free job 2");
    node.terminate();
    assert_eq!(read_line(&mut lines), "leaving");
}
