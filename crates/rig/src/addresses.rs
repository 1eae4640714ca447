//! Addresses for processes that are started later, or again: what is found by binding a socket and dropping it may be taken
//! before they listen, by whoever asks the system for any port, or stay taken by a process that is just being started and holds
//! a copy of that socket until its program runs.

use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::TcpSocket;

/// Where this process's own listen: a loopback address that no other process's do.
pub fn home() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + a % 250, b, c)
}

/// The ports that the system gives to sockets that ask for none, from the first to the last.
pub fn ephemeral() -> Result<(u16, u16)> {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range")?;
    let mut words = text.split_whitespace().map(str::parse);
    match (words.next(), words.next()) {
        (Some(Ok(first)), Some(Ok(last))) => Ok((first, last)),
        _ => Err(Error::new(ErrorKind::InvalidData, format!("no range of ports: {text:?}"))),
    }
}

/// An address that is free for connections and datagrams. Nobody else gets it: it is of this process's own, the system gives its
/// port to nobody, and here it comes again only once all others have been given.
pub fn fresh() -> Result<SocketAddr> {
    static GIVEN: AtomicUsize = AtomicUsize::new(0);
    let (first, last) = ephemeral()?;
    let (below, above) = (usize::from(first.saturating_sub(1024)), usize::from(u16::MAX - last));
    for _ in 0..below + above {
        let number = GIVEN.fetch_add(1, Ordering::Relaxed) % (below + above);
        // From just below that range down: well-known services are far from there.
        let port = match number.checked_sub(below) {
            None => first - 1 - number as u16,
            Some(number) => last + 1 + number as u16,
        };
        let address = (home(), port).into();
        if !taken(address)? {
            return Ok(address);
        }
    }
    Err(Error::new(ErrorKind::AddrInUse, "no port is left beside those of the system"))
}

/// Whether another socket is in the way of one there, as one does that has the port at all addresses.
fn taken(address: SocketAddr) -> Result<bool> {
    // It doesn't listen, and lets others have the address: a copy of it in a process that is being started keeps nobody from there.
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    if socket.bind(address).is_err() {
        return Ok(true);
    }
    // A copy of one for datagrams would be in the way: these are looked up. A protocol that the system doesn't have takes none.
    let own = |line: &str| {
        let (_, digits) = line.split_whitespace().nth(1)?.rsplit_once(':')?;
        u16::from_str_radix(digits, 16).ok()
    };
    let lists = ["udp", "udp6"].map(|name| std::fs::read_to_string(format!("/proc/net/{name}")));
    Ok(lists.into_iter().flatten().any(|list| list.lines().any(|line| own(line) == Some(address.port()))))
}
