//! The simulated systems. To add one, write a [`crate::scenario::Scenario`] in a file here, and list it in `main.rs` and in `tests/mutants.rs`.

pub mod accounts;
pub mod key_ownership;
pub mod load_shifting;
pub mod membership;
pub mod placements;
pub mod quota;
pub mod site_health;
