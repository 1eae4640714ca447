//! The sockets of a node of a fleet.

use std::future::pending;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Interval between attempts to bind the node's address while another process of this node still owns it.
pub(super) const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The sockets that a node exchanges datagrams with.
#[derive(Debug, Default)]
pub(super) struct Sockets {
    /// Sends requests to the allocators and receives their answers. Its port is in no file, so a sender that fills the socket of the
    /// listed address costs the node no grants.
    requests: Option<UdpSocket>,
    /// Bound to the node's listed address while this process owns it.
    listed: Option<UdpSocket>,
    /// The time of the last attempt to bind the listed address.
    last_bind: Option<Instant>,
}

impl Sockets {
    /// Returns the socket for requests, after binding it if that was not possible before. `address` is the node's listed address.
    pub(super) async fn bind_requests(&mut self, address: Option<SocketAddr>) -> Option<&UdpSocket> {
        if self.requests.is_none() {
            let ip = address.map_or(IpAddr::from([127, 0, 0, 1]), |address| address.ip());
            self.requests = UdpSocket::bind((ip, 0)).await.ok();
        }
        self.requests.as_ref()
    }

    /// Tries to bind the listed address, unless the last attempt was a short time ago. Returns whether it is bound now and was not
    /// before.
    pub(super) async fn try_bind_listed(&mut self, address: Option<SocketAddr>) -> bool {
        let is_due = self.last_bind.is_none_or(|at| at.elapsed() >= BIND_RETRY_INTERVAL);
        if self.listed.is_some() || !is_due {
            return false;
        }
        self.last_bind = Some(Instant::now());
        let Some(address) = address else { return false };
        self.listed = UdpSocket::bind(address).await.ok();
        self.listed.is_some()
    }

    /// Gives up the listed address for the next process. Returns whether this process owned it.
    pub(super) fn close_listed(&mut self) -> bool {
        self.listed.take().is_some()
    }

    pub(super) fn requests(&self) -> Option<&UdpSocket> {
        self.requests.as_ref()
    }

    /// Returns the socket of the listed address, if this process owns it.
    pub(super) fn listed(&self) -> Option<&UdpSocket> {
        self.listed.as_ref()
    }

    /// Waits until a datagram can be received, and returns the socket that it waits at.
    pub(super) async fn readable(&self) -> &UdpSocket {
        tokio::select! {
            biased;
            socket = wait_until_readable(self.requests()) => socket,
            socket = wait_until_readable(self.listed()) => socket,
        }
    }
}

async fn wait_until_readable(socket: Option<&UdpSocket>) -> &UdpSocket {
    let Some(socket) = socket else { return pending().await };
    // An error is returned by the call that receives.
    let _ = socket.readable().await;
    socket
}
