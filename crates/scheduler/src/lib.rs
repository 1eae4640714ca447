//! The scheduling decisions of shorepath, without I/O: events in, actions out.
//!
//! [`Scheduler`] decides when each request starts, at which endpoint, what is retried and what is shed. It
//! uses no sockets, clock or wire format. Its caller (the node, the simulator's adapter or the test
//! simulator) passes in the time and a seed for its random numbers, and carries out the actions.
//!
//! ```
//! use shorepath_scheduler::{Action, Event, Scheduler, Settings};
//!
//! let mut scheduler = Scheduler::new(Settings::default(), 7);
//! let mut actions: Vec<Action> = Vec::new();
//! scheduler.handle(0, Event::EndpointList(Vec::new()), &mut actions);
//! assert!(actions.is_empty());
//! ```
//!
//! Requests are ordered by Redemptive Fair Queuing (Gulati and Varman, sections 3 and 4). A paragraph that
//! begins with `Departure:` explains where the code differs from the paper, and why.

#![warn(
    clippy::cognitive_complexity,
    clippy::fn_params_excessive_bools,
    clippy::match_bool,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]

mod abandonment;
mod action;
mod concurrency_limit;
mod decaying_sum;
mod endpoint;
mod endpoint_order;
mod endpoint_table;
mod event;
mod fair_queue;
mod ids;
mod names;
mod outlier;
mod quota;
mod request;
mod retry_history;
mod scheduler;
mod settings;
mod settings_object;
mod stale_connections;
mod timer;
mod zone_loss;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointState, LoadReport};
pub use event::{AttemptStatus, Event, Request, WorkState};
pub use ids::{ClassId, EndpointId, KeyId, KindId, RequestId, TenantId, ZoneId};
pub use names::{name_hash, Catalog, NameTable};
pub use quota::{QuotaKind, QuotaShare, QuotaUsage};
pub use scheduler::Scheduler;
pub use settings::{
    ClassSettings, DedupScope, Idempotency, ReassignedClass, Reconfiguration, RetryBudget, Settings,
    TenantSettings,
};
pub use settings_object::{micros_from_ms, SettingsError, SettingsObject};
pub use shorepath_types::Micros;
