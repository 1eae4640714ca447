//! Simulator and test bench for the load balancer `shorepath`, with the tools to run and evaluate
//! experiments.
//!
//! [`sim`], [`policy`], [`rules`] and [`scenario`] are deterministic and do no I/O: they use neither the
//! system clock nor files nor threads. `docs/lab.md` describes the command line and `docs/design/lab.md` the
//! design.

pub mod budgets;
pub mod clients;
pub mod compare;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod plot;
pub mod policy;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod sim;
pub mod sites;
pub mod stats;
pub mod sweep;
pub mod theory;
