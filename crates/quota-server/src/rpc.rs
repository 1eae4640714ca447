//! Calls between allocators and from operators: one request and one reply, each a length-prefixed frame of JSON.

use crate::raft::TypeConfig;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use openraft::error::{Infallible, InstallSnapshotError, RaftError};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};
use shorepath_quota::config::Plan;
use shorepath_quota::messages::Status;
use shorepath_quota::NodeId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The greatest size of a frame.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A request to an allocator.
#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    /// Raft: appends entries to the log.
    Append {
        /// The Raft id of the receiver; an allocator that has lost its disk since has another one.
        to: u64,
        /// The entries, as `openraft` encodes the request.
        rpc: AppendEntriesRequest<TypeConfig>,
    },
    /// Raft: requests a vote.
    Vote {
        /// The Raft id of the receiver, as in [`Call::Append`].
        to: u64,
        /// The candidate, as `openraft` encodes the request.
        rpc: VoteRequest<u64>,
    },
    /// Raft: installs a part of a snapshot.
    Snapshot {
        /// The Raft id of the receiver, as in [`Call::Append`].
        to: u64,
        /// The part of the snapshot, as `openraft` encodes the request.
        rpc: InstallSnapshotRequest<TypeConfig>,
    },
    /// Asks for the [`Readiness`] and the leader.
    Hello,
    /// Asks the leader to add an allocator whose state folder was empty at its start.
    Join {
        /// The name of the allocator in the configuration.
        name: String,
        /// The disk number that an earlier reply assigned, if any.
        disk: Option<u32>,
    },
    /// Asks for the status of all budgets; sent by operators' tools.
    Status,
}

/// How far an allocator has started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// The state folder is empty, and the allocator waits for the readiness of the others.
    Fresh,
    /// The allocator uses disk number 0, and waits for the log to be initialized.
    Ready,
    /// The replicated log is initialized.
    Founded,
}

/// A reply to a [`Call`].
#[derive(Debug, Serialize, Deserialize)]
#[allow(clippy::large_enum_variant)]
pub enum Reply {
    /// The reply to [`Call::Append`].
    Append(Result<AppendEntriesResponse<u64>, RaftError<u64, Infallible>>),
    /// The reply to [`Call::Vote`].
    Vote(Result<VoteResponse<u64>, RaftError<u64, Infallible>>),
    /// The reply to [`Call::Snapshot`].
    Snapshot(Result<InstallSnapshotResponse<u64>, RaftError<u64, InstallSnapshotError>>),
    /// The reply to [`Call::Hello`].
    Hello {
        /// How far the allocator has started.
        #[serde(rename = "stand")]
        readiness: Readiness,
        /// The name of the leader, if the allocator knows it.
        leader: Option<String>,
    },
    /// The reply to [`Call::Join`]: the disk number that the allocator has to use.
    Joins(u32),
    /// The reply to [`Call::Status`].
    Status(Box<Status>),
    /// The allocator can't serve the call, with the reason.
    No(String),
}

/// Reports a call without a valid reply.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The configuration lists no allocator with this id.
    #[error("the budgets file lists no allocator with the id {0}")]
    Unlisted(u32),
    /// The connection could not be established or was lost.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The reply did not arrive before the timeout.
    #[error("no reply before the timeout")]
    Timeout,
    /// The frame is not a valid reply.
    #[error("the reply can't be decoded: {0}")]
    Decode(#[from] serde_json::Error),
}

type Slot = Arc<Mutex<Option<Connection>>>;
type Connection = Framed<TcpStream, LengthDelimitedCodec>;

/// Returns the codec that separates frames by their length.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// A client for calls to the listed allocators, which keeps one connection to each.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    addresses: Arc<RwLock<HashMap<NodeId, SocketAddr>>>,
    connections: Arc<Mutex<HashMap<NodeId, Slot>>>,
}

impl Caller {
    /// Takes the addresses of the allocators from a configuration.
    pub fn set_addresses(&self, plan: &Plan) {
        let listed = plan.allocators.iter().map(|d| (NodeId::of(&d.name), d.address)).collect();
        // The lock is never poisoned: no code that holds it panics.
        if let Ok(mut addresses) = self.addresses.write() {
            *addresses = listed;
        }
    }

    /// Sends a call to an allocator and returns its reply.
    ///
    /// # Errors
    /// The allocator is not listed, the connection failed, or no valid reply arrived before the timeout.
    pub async fn call(&self, to: NodeId, call: &Call, timeout: Duration) -> Result<Reply, CallError> {
        let address = self.addresses.read().ok().and_then(|a| a.get(&to).copied());
        let address = address.ok_or(CallError::Unlisted(to.0))?;
        let slot = self.connections.lock().await.entry(to).or_default().clone();
        let exchange = async {
            let mut slot = slot.lock().await;
            // The connection is put back only after a complete reply, so one that timed out is never reused.
            let mut connection = match slot.take() {
                Some(connection) => connection,
                None => {
                    let stream = TcpStream::connect(address).await?;
                    stream.set_nodelay(true)?;
                    Framed::new(stream, codec())
                }
            };
            let reply = ask(&mut connection, call).await?;
            *slot = Some(connection);
            Ok(reply)
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::Timeout))
    }
}

async fn ask(connection: &mut Connection, call: &Call) -> Result<Reply, CallError> {
    connection.send(Bytes::from(serde_json::to_vec(call)?)).await?;
    let frame =
        connection.next().await.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))??;
    Ok(serde_json::from_slice(&frame)?)
}
