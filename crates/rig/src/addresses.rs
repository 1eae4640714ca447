//! Allocates addresses for processes that are started later or restarted.
//!
//! A port that was found by binding a socket and closing it again is not safe: before the process listens, the system may
//! give the port to another socket, or a child process between `fork` and `exec` may still hold a copy of the closed socket.

use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::TcpSocket;

/// Returns the loopback address for the children of this process. It is derived from the process id, so that test clusters of
/// concurrent processes do not share an address.
pub fn process_loopback() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + a % 250, b, c)
}

/// Returns the first and the last port of the range from which the system assigns ports to sockets.
///
/// # Errors
/// Returns an error if the range can't be read.
pub fn ephemeral_port_range() -> Result<(u16, u16)> {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range")?;
    let mut ports = text.split_whitespace().map(str::parse);
    match (ports.next(), ports.next()) {
        (Some(Ok(first)), Some(Ok(last))) => Ok((first, last)),
        _ => Err(Error::new(ErrorKind::InvalidData, format!("not a port range: {text:?}"))),
    }
}

/// Allocates an address that is free for TCP and UDP.
///
/// Its IP address belongs to this process, its port is outside of the system's ephemeral range, and it is allocated again only
/// after all others.
///
/// # Errors
/// Returns an error if no port is free, or if the ephemeral range can't be read.
pub fn allocate_address() -> Result<SocketAddr> {
    static NEXT_INDEX: AtomicUsize = AtomicUsize::new(0);
    let (first, last) = ephemeral_port_range()?;
    let (below, above) = (usize::from(first.saturating_sub(1024)), usize::from(u16::MAX - last));
    for _ in 0..below + above {
        let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed) % (below + above);
        // Downwards from the ephemeral range, away from the ports of well-known services, and then upwards from its end.
        let port = match index.checked_sub(below) {
            None => first - 1 - index as u16,
            Some(index) => last + 1 + index as u16,
        };
        let address = (process_loopback(), port).into();
        if !is_taken(address)? {
            return Ok(address);
        }
    }
    Err(Error::new(ErrorKind::AddrInUse, "no free port outside of the ephemeral range"))
}

/// Returns whether another socket uses the address, also by its port on all addresses.
fn is_taken(address: SocketAddr) -> Result<bool> {
    // With SO_REUSEADDR and without `listen`, a copy of this socket in a child process doesn't block the address.
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    if socket.bind(address).is_err() {
        return Ok(true);
    }
    // A copy of a UDP socket would block the address, so the system's tables are read instead. A table is missing if the
    // system lacks the protocol.
    let local_port = |line: &str| {
        let (_, digits) = line.split_whitespace().nth(1)?.rsplit_once(':')?;
        u16::from_str_radix(digits, 16).ok()
    };
    let tables = ["udp", "udp6"].map(|name| std::fs::read_to_string(format!("/proc/net/{name}")));
    Ok(tables
        .into_iter()
        .flatten()
        .any(|table| table.lines().any(|line| local_port(line) == Some(address.port()))))
}
