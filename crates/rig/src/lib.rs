//! The rig: several processes of the real program on loopback, started from one seeded script, with every link between
//! them, their discovery and their backend servers led through relays that delay, cut, hold back and break; a history of
//! all that happened, and checkers that read nothing but the history.

pub mod addresses;
pub mod check;
mod disks;
pub mod fleet;
pub mod history;
mod http;
pub mod measure;
pub mod placement_checks;
pub mod play;
mod process;
pub mod relay;
pub mod script;
pub mod shrink;
pub mod site_checks;
pub mod sites;
mod stand;

pub use play::{play, PlayError};
