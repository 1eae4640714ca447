#![doc = include_str!("../README.md")]

pub mod net;
pub mod wire;

pub use shorepath_scheduler::{Action, Event, Scheduler, Settings};
