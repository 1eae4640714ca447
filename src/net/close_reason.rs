//! Why connections end: each one that does leaves one log line with the code of its reason.

use std::fmt;
use tracing::info;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other side closed it between messages.
    PeerClosed,
    /// The other side closed or broke it inside a message, or while it was owed one.
    PeerBroke,
    /// It had been idle for as long as we keep one.
    Idle,
    /// An idle one had to go so that another could be opened.
    Evicted,
    /// This node is shutting down.
    Shutdown,
    /// An operator has this node emptied.
    Drained,
    /// One side asked for the end after a message.
    LastMessage,
    /// What came was malformed.
    Malformed,
    /// A message was not complete, or not taken, in time.
    TooSlow,
    /// It was refused.
    Refused,
    /// It did not come up in time.
    ConnectTimeout,
    /// There was no descriptor or address left for it.
    NoSockets,
    /// Its dispatch was called off.
    Cancelled,
    /// Its dispatch brought no answer in time.
    TimedOut,
    /// The server table no longer holds its backend server as active.
    ServerLeft,
    /// The decisions asked for idle ones to be closed.
    ClosedIdle,
    /// Nothing came for longer than the other side may be silent.
    Silent,
    /// The other side has too much to do.
    Busy,
    /// The configuration names another discovery now.
    Moved,
}

impl CloseReason {
    /// The code in the log.
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

    /// Leave the one line for a connection that has ended.
    pub fn log(self, side: Side, peer: impl fmt::Display, messages: u64) {
        info!("end {side} {peer} reason={} messages={messages}", self.code());
    }
}

/// Which component a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// To a client.
    Frontend,
    /// To an operator.
    AdminServer,
    /// To a backend server.
    Backend,
    /// To discovery.
    ServerTable,
    /// To another process that serves at the same address.
    Handover,
}

impl fmt::Display for Side {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Side::Frontend => "frontend",
            Side::AdminServer => "door",
            Side::Backend => "backend",
            Side::ServerTable => "server-table",
            Side::Handover => "handover",
        })
    }
}
