//! The types and the network of `openraft`.

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
    /// The types of the replicated log. The response to an entry is whether it changed the state.
    pub TypeConfig:
        D = Entry,
        R = bool,
        NodeId = u64,
        Node = BasicNode,
        SnapshotData = Cursor<Vec<u8>>,
);

/// The replica of the log in one allocator.
pub type Raft = openraft::Raft<TypeConfig>;

/// Returns the Raft id of an allocator: the id of its name, and the number of its disk. An allocator that has lost its disk may
/// have voted, so it has to join again with a new id.
pub fn voter_id(name: &str, disk: u32) -> u64 {
    u64::from(NodeId::of(name).0) << 32 | u64::from(disk)
}

/// Returns the node id and the disk number of a Raft id.
pub fn node_and_disk(voter_id: u64) -> (NodeId, u32) {
    (NodeId((voter_id >> 32) as u32), voter_id as u32)
}

/// Returns the configuration of Raft: timeouts and the snapshot policy.
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

/// Creates connections to other allocators, at the addresses of the configuration.
#[derive(Clone, Debug)]
pub struct PeerConnector(pub Caller);

impl RaftNetworkFactory<TypeConfig> for PeerConnector {
    type Network = Peer;

    async fn new_client(&mut self, target: u64, _: &BasicNode) -> Peer {
        Peer { caller: self.0.clone(), target }
    }
}

/// Calls one other allocator.
#[derive(Debug)]
pub struct Peer {
    caller: Caller,
    target: u64,
}

type CallFailure<E> = RPCError<u64, BasicNode, RaftError<u64, E>>;

impl Peer {
    async fn call<T, E: std::error::Error>(
        &self,
        call: Call,
        option: &RPCOption,
        read: impl FnOnce(Reply) -> Option<Result<T, RaftError<u64, E>>>,
    ) -> Result<T, CallFailure<E>> {
        let timeout = option.hard_ttl().min(Duration::from_secs(2));
        let response = self.caller.call(node_and_disk(self.target).0, &call, timeout).await;
        let reply = response.map_err(|e| RPCError::Unreachable(Unreachable::new(&e)))?;
        match read(reply) {
            Some(Ok(response)) => Ok(response),
            Some(Err(e)) => Err(RPCError::RemoteError(RemoteError::new(self.target, e))),
            None => {
                let unexpected = std::io::Error::other("the reply is of another kind than the call");
                Err(RPCError::Network(NetworkError::new(&unexpected)))
            }
        }
    }
}

impl RaftNetwork<TypeConfig> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, CallFailure<openraft::error::Infallible>> {
        let to = self.target;
        let read = |r| if let Reply::Append(a) = r { Some(a) } else { None };
        self.call(Call::Append { to, rpc }, &option, read).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, CallFailure<InstallSnapshotError>> {
        let to = self.target;
        let read = |r| if let Reply::Snapshot(a) = r { Some(a) } else { None };
        self.call(Call::Snapshot { to, rpc }, &option, read).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, CallFailure<openraft::error::Infallible>> {
        let to = self.target;
        let read = |r| if let Reply::Vote(a) = r { Some(a) } else { None };
        self.call(Call::Vote { to, rpc }, &option, read).await
    }
}
