//! The program that divides a fleet's budgets: one, three or five of it agree by Raft on grants, and tell nodes of them.
//!
//! What is decided is in `shorepath-quota`; here are the sockets, the disk and the agreement, which are libraries': `openraft`
//! agrees, `redb` keeps. `docs/design/budgets.md` says why; `docs/budgets.md` how to run it.

pub mod clock;
pub mod raft;
pub mod raft_storage;
pub mod rpc;
pub mod server;
