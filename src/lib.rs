#![doc = include_str!("../README.md")]

pub mod net;
pub mod wire;

pub use shorepath_core::{api, balance, settings};
pub use shorepath_core::{Action, Balancer, Event, Settings};
