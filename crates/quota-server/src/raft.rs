//! What openraft needs to know of us: the types, and how one divider calls another.

use crate::rpc::{Call, Caller, Reply};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{BasicNode, Config, SnapshotPolicy};
use shorepath_quota::allocator::Entry;
use shorepath_quota::NodeId;
use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

openraft::declare_raft_types!(
    /// Entries of dividers; the answer to one is whether it changed anything.
    pub Types:
        D = Entry,
        R = bool,
        NodeId = u64,
        Node = BasicNode,
        SnapshotData = Cursor<Vec<u8>>,
);

/// The agreement of one divider.
pub type Raft = openraft::Raft<Types>;

/// What a divider is called among those that agree: its number, and which of its disks this is. One that has lost its disk
/// may have voted, so it comes back as another.
pub fn voter(name: &str, disk: u32) -> u64 {
    u64::from(NodeId::of(name).0) << 32 | u64::from(disk)
}

/// The divider's number, and which of its disks.
pub fn parts_of(voter: u64) -> (NodeId, u32) {
    (NodeId((voter >> 32) as u32), voter as u32)
}

/// How fast a lost leader is missed.
pub fn config() -> Arc<Config> {
    Arc::new(Config {
        cluster_name: "budgets".into(),
        heartbeat_interval: 150,
        election_timeout_min: 600,
        election_timeout_max: 1_200,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(2_000),
        max_in_snapshot_log_to_keep: 200,
        ..Config::default()
    })
}

/// Calls other dividers, wherever the operator's file says that they are.
#[derive(Clone, Debug)]
pub struct Peers(pub Caller);

impl RaftNetworkFactory<Types> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, target: u64, _: &BasicNode) -> Peer {
        Peer { caller: self.0.clone(), target }
    }
}

/// Calls one of them.
#[derive(Debug)]
pub struct Peer {
    caller: Caller,
    target: u64,
}

type Failed<E> = RPCError<u64, BasicNode, RaftError<u64, E>>;

impl Peer {
    async fn call<T, E: std::error::Error>(
        &self,
        call: Call,
        option: &RPCOption,
        read: impl FnOnce(Reply) -> Option<Result<T, RaftError<u64, E>>>,
    ) -> Result<T, Failed<E>> {
        let timeout = option.hard_ttl().min(Duration::from_secs(2));
        let answer = self.caller.call(parts_of(self.target).0, &call, timeout).await;
        let reply = answer.map_err(|e| RPCError::Unreachable(Unreachable::new(&e)))?;
        match read(reply) {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(e)) => Err(RPCError::RemoteError(RemoteError::new(self.target, e))),
            None => {
                let odd = std::io::Error::other("it answers something else");
                Err(RPCError::Network(NetworkError::new(&odd)))
            }
        }
    }
}

impl RaftNetwork<Types> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, Failed<openraft::error::Infallible>> {
        let to = self.target;
        let read = |r| if let Reply::Append(a) = r { Some(a) } else { None };
        self.call(Call::Append { to, rpc }, &option, read).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failed<InstallSnapshotError>> {
        let to = self.target;
        let read = |r| if let Reply::Snapshot(a) = r { Some(a) } else { None };
        self.call(Call::Snapshot { to, rpc }, &option, read).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, Failed<openraft::error::Infallible>> {
        let to = self.target;
        let read = |r| if let Reply::Vote(a) = r { Some(a) } else { None };
        self.call(Call::Vote { to, rpc }, &option, read).await
    }
}
