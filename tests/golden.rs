//! Golden files: what an earlier version of the program wrote to disks, sockets and terminals, kept byte for byte.
//!
//! Names in the code may change; what processes of two versions say to each other and what lies on disks may not. To take the
//! files anew, after a change of a format that was meant: `GOLDEN_RECORD=1 cargo test --test golden`, and say why in the commit.

#[path = "golden/command_line.rs"]
mod command_line;
#[path = "golden/files.rs"]
mod files;
#[path = "golden/hot_restart.rs"]
mod hot_restart;
#[path = "golden/messages.rs"]
mod messages;
#[path = "golden/site_datagrams.rs"]
mod site_datagrams;
#[path = "golden/state_folder.rs"]
mod state_folder;
// The node's own tests use the rest of it.
#[allow(dead_code)]
mod support;
