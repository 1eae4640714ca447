#![doc = include_str!("../README.md")]

pub mod api;
pub mod balance;
pub mod net;
pub mod settings;
mod state;
pub mod wire;

pub use api::{Action, Event, Settings};
pub use balance::Balancer;
