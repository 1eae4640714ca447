//! The quota server: one, three or five processes replicate grants by Raft and send them to nodes.
//!
//! The decisions are made in `shorepath-quota`. This package has the sockets, the replicated log (`openraft`) and its storage
//! (`redb`). `docs/design/budgets.md` explains the design, `docs/budgets.md` the operation.

pub mod call_server;
pub mod clock;
pub mod raft;
pub mod raft_storage;
pub mod rpc;
pub mod server;
