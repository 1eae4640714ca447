//! Golden files: what an earlier version of the program wrote to disks, sockets and terminals, kept byte for byte.
//!
//! They guard the formats that processes of different versions share. To record them again after an intended change of a format, run
//! `GOLDEN_RECORD=1 cargo test --test golden` and give the reason in the commit.

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
// Other test programs use the rest of this module.
#[allow(dead_code)]
mod support;
