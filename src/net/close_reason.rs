//! Why connections end. Each ended connection is logged in one line with the code of its reason.

use std::fmt;
use tracing::info;

/// The event or the action of this node that ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed the connection between messages.
    PeerClosed,
    /// The peer closed or reset the connection within a message or while it waited for one.
    PeerBroke,
    /// The connection exceeded the idle timeout.
    Idle,
    /// The connection was closed so that another could be opened.
    Evicted,
    /// This node is shutting down.
    Shutdown,
    /// An operator drains this node.
    Drained,
    /// One side requested the end after this message, as by `Connection: close`.
    LastMessage,
    /// The peer sent a malformed message.
    Malformed,
    /// The peer sent more behind a request than can be held until its answer.
    Overrun,
    /// A message was not fully received or sent in time.
    TooSlow,
    /// The peer refused the connection.
    Refused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// No descriptor or local port was left for the connection.
    NoSockets,
    /// The dispatch on the connection was cancelled.
    Cancelled,
    /// The dispatch on the connection got no answer in time.
    TimedOut,
    /// The server table no longer lists the backend server as active.
    ServerLeft,
    /// The scheduler requested that idle connections be closed.
    ClosedIdle,
    /// The peer sent no data for longer than the silence timeout.
    Silent,
    /// The peer rejected the request because it is overloaded.
    Busy,
    /// The configuration names another discovery address.
    Moved,
}

impl CloseReason {
    /// Returns the reason's code in the log.
    pub fn code(self) -> &'static str {
        match self {
            CloseReason::PeerClosed => "peer-closed",
            CloseReason::PeerBroke => "peer-broke",
            CloseReason::Idle => "idle",
            CloseReason::Evicted => "evicted",
            CloseReason::Shutdown => "shutdown",
            CloseReason::Drained => "drained",
            CloseReason::LastMessage => "last-message",
            CloseReason::Malformed => "malformed",
            CloseReason::Overrun => "overrun",
            CloseReason::TooSlow => "too-slow",
            CloseReason::Refused => "refused",
            CloseReason::ConnectTimeout => "connect-timeout",
            CloseReason::NoSockets => "no-sockets",
            CloseReason::Cancelled => "cancelled",
            CloseReason::TimedOut => "timed-out",
            CloseReason::ServerLeft => "server-left",
            CloseReason::ClosedIdle => "closed-idle",
            CloseReason::Silent => "silent",
            CloseReason::Busy => "busy",
            CloseReason::Moved => "moved",
        }
    }

    /// Logs the end of a connection and the number of messages that were completed on it.
    pub fn log(self, side: Side, peer: impl fmt::Display, messages: u64) {
        info!("end {side} {peer} reason={} messages={messages}", self.code());
    }
}

/// Which component a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Connections from clients.
    Frontend,
    /// Connections from operators.
    AdminServer,
    /// Connections to backend servers.
    Backend,
    /// Connections to discovery.
    ServerTable,
    /// Connections to another process of this node at the same address.
    Handover,
}

impl fmt::Display for Side {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Side::Frontend => "frontend",
            Side::AdminServer => "admin",
            Side::Backend => "backend",
            Side::ServerTable => "server-table",
            Side::Handover => "handover",
        })
    }
}
