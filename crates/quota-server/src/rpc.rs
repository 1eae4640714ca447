//! Calls between dividers, and those of operators: one question, one answer, each a piece of JSON with its length before it.

use crate::raft::Types;
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

/// A piece holds this much at most, in bytes.
const LARGEST: usize = 16 * 1024 * 1024;

/// A question.
#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    /// Of the agreement: take these entries.
    Append {
        /// For which voter this is meant: one that has lost its disk since is another.
        to: u64,
        /// See openraft.
        rpc: AppendEntriesRequest<Types>,
    },
    /// Of the agreement: vote.
    Vote {
        /// See [`Call::Append`].
        to: u64,
        /// See openraft.
        rpc: VoteRequest<u64>,
    },
    /// Of the agreement: take this piece of a snapshot.
    Snapshot {
        /// See [`Call::Append`].
        to: u64,
        /// See openraft.
        rpc: InstallSnapshotRequest<Types>,
    },
    /// How do you stand?
    Hello,
    /// Let me take part: a divider that has begun with an empty disk, as that voter if it is one already.
    Join {
        /// Its name.
        name: String,
        /// Which of its disks it has been told to be, if it has.
        disk: Option<u32>,
    },
    /// Where is everything? For operators.
    Status,
}

/// How a divider stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It has an empty disk, and waits to hear how the others stand.
    Fresh,
    /// It has taken its first disk's number, and waits for the fleet to be founded.
    Ready,
    /// It takes part in a fleet that was founded.
    Founded,
}

/// An answer.
#[derive(Debug, Serialize, Deserialize)]
#[allow(clippy::large_enum_variant)]
pub enum Reply {
    /// To [`Call::Append`].
    Append(Result<AppendEntriesResponse<u64>, RaftError<u64, Infallible>>),
    /// To [`Call::Vote`].
    Vote(Result<VoteResponse<u64>, RaftError<u64, Infallible>>),
    /// To [`Call::Snapshot`].
    Snapshot(Result<InstallSnapshotResponse<u64>, RaftError<u64, InstallSnapshotError>>),
    /// To [`Call::Hello`].
    Hello {
        /// How it stands.
        #[serde(rename = "stand")]
        readiness: Readiness,
        /// Who leads, as far as it knows.
        leader: Option<String>,
    },
    /// To [`Call::Join`]: which of its disks the divider is from now on.
    Joins(u32),
    /// To [`Call::Status`].
    Status(Box<Status>),
    /// Not by this divider, or not now.
    No(String),
}

/// Why a call brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nobody of that number is listed.
    #[error("nobody of the number {0} is listed")]
    Unlisted(u32),
    /// It could not be reached, or the connection broke.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It took too long.
    #[error("no answer in time")]
    Late,
    /// What came was no answer.
    #[error("no answer: {0}")]
    Odd(#[from] serde_json::Error),
}

type Slot = Arc<Mutex<Option<Line>>>;
type Line = Framed<TcpStream, LengthDelimitedCodec>;

/// How pieces are told apart.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(LARGEST).new_codec()
}

/// Calls the dividers that a file lists; keeps a connection to each.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    addresses: Arc<RwLock<HashMap<NodeId, SocketAddr>>>,
    lines: Arc<Mutex<HashMap<NodeId, Slot>>>,
}

impl Caller {
    /// The dividers are where that file says.
    pub fn follow(&self, plan: &Plan) {
        let all = plan.allocators.iter().map(|d| (NodeId::of(&d.name), d.address)).collect();
        // Nobody panics while holding it.
        if let Ok(mut addresses) = self.addresses.write() {
            *addresses = all;
        }
    }

    /// Ask a divider.
    ///
    /// # Errors
    /// There was no answer in that time.
    pub async fn call(&self, to: NodeId, call: &Call, timeout: Duration) -> Result<Reply, CallError> {
        let address = self.addresses.read().ok().and_then(|a| a.get(&to).copied());
        let address = address.ok_or(CallError::Unlisted(to.0))?;
        let slot = self.lines.lock().await.entry(to).or_default().clone();
        let asked = async {
            let mut slot = slot.lock().await;
            // Taken out: one that was given up in the middle of an answer is never used again.
            let mut line = match slot.take() {
                Some(line) => line,
                None => {
                    let stream = TcpStream::connect(address).await?;
                    stream.set_nodelay(true)?;
                    Framed::new(stream, codec())
                }
            };
            let reply = ask(&mut line, call).await?;
            *slot = Some(line);
            Ok(reply)
        };
        tokio::time::timeout(timeout, asked).await.unwrap_or(Err(CallError::Late))
    }
}

async fn ask(line: &mut Line, call: &Call) -> Result<Reply, CallError> {
    line.send(Bytes::from(serde_json::to_vec(call)?)).await?;
    let piece =
        line.next().await.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))??;
    Ok(serde_json::from_slice(&piece)?)
}
