//! Events: the caller's reports to the scheduler.

use crate::endpoint::{Endpoint, LoadReport};
use crate::ids::{ClassId, EndpointId, KeyId, RequestId, TenantId};
use crate::quota::QuotaShare;
use crate::settings::Reconfiguration;
use shorepath_types::Micros;

/// Whether a request starts new work of its tenant or repeats work that was accepted before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkState {
    /// Work that was not accepted before.
    #[default]
    New,
    /// A repeat of work that was accepted before.
    InProgress,
    /// Work that belongs to another node and must not be accepted here.
    Misdirected,
}

/// A newly arrived request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id, which is never reused.
    pub id: RequestId,
    /// The class, whose settings decide objective, deadline and idempotency.
    pub class: ClassId,
    /// The tenant, or `None` where the deployment has no tenants.
    pub tenant: Option<TenantId>,
    /// The key, or `None` for a request without one.
    pub key: Option<KeyId>,
    /// Time until the client gives up on this try.
    pub time_remaining: Micros,
    /// Expected work on a standard core, or `None` where the client gives no estimate.
    pub work_hint: Option<Micros>,
    /// Number of slots that the request occupies at an endpoint.
    pub slots: u32,
    /// The client marked the request as a retry.
    pub is_retry: bool,
    /// Whether the request is new work or a repeat.
    pub work_state: WorkState,
    /// The client belongs to another site.
    pub is_remote: bool,
}

/// The outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The request was served.
    Ok,
    /// The endpoint answered with an error; the request may have run.
    Error,
    /// The endpoint answered that the request is unusable, through a fault of either; it may have run.
    BadRequest,
    /// The endpoint rejected the request for lack of capacity. [`crate::Settings::overloaded_may_have_run`]
    /// states whether it may have run.
    Overloaded,
    /// No answer came in time; the request may still run.
    Timeout,
    /// No connection could be made; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The request was never sent.
    NotSent,
}

impl AttemptStatus {
    /// Returns whether the endpoint answered, which leaves its connection reusable.
    pub fn has_response(self) -> bool {
        use AttemptStatus::{BadRequest, Error, Ok, Overloaded};
        matches!(self, Ok | Overloaded | Error | BadRequest)
    }
}

/// An event that the scheduler is to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// The full endpoint list, either current or, at startup, the last known one.
    EndpointList(Vec<Endpoint>),
    /// The changed entries of the endpoint list.
    EndpointUpdate(Vec<Endpoint>),
    /// The endpoint list could not be fetched, or the subscription to it broke.
    EndpointListFailed,
    /// A request has arrived.
    RequestArrived(Request),
    /// The endpoint has started to run an attempt.
    AttemptStarted {
        /// The request of the attempt.
        id: RequestId,
        /// The attempt's number, counted from 0 for each request.
        attempt: u32,
    },
    /// The endpoint reports the progress of an attempt.
    AttemptProgress {
        /// The request of the attempt.
        id: RequestId,
        /// The attempt's number, counted from 0 for each request.
        attempt: u32,
        /// Fraction of the job that is done, from 0 to 1.
        done: f64,
    },
    /// A streamed answer has started; its deadline no longer applies.
    StreamStarted {
        /// The request of the attempt.
        id: RequestId,
        /// The attempt's number, counted from 0 for each request.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request of the attempt.
        id: RequestId,
        /// The attempt's number, counted from 0 for each request.
        attempt: u32,
        /// The outcome of the attempt.
        status: AttemptStatus,
        /// The client has received a final answer, so the request is over.
        is_final: bool,
    },
    /// The client has disconnected, so the request is over.
    ClientLeft(RequestId),
    /// An idle connection to an endpoint has closed without [`crate::Action::CloseIdleConnections`].
    IdleConnectionClosed {
        /// The endpoint at the other end.
        endpoint: EndpointId,
        /// Its index among the idle connections to that endpoint, sorted from the longest idle.
        position: usize,
    },
    /// A probe has ended, with [`AttemptStatus::Ok`] if the endpoint served it and
    /// [`AttemptStatus::Overloaded`] if the endpoint rejected it.
    ProbeEnded {
        /// The probed endpoint.
        endpoint: EndpointId,
        /// The outcome of the probe.
        status: AttemptStatus,
        /// The load that the endpoint reported.
        report: LoadReport,
    },
    /// This scheduler's shares of the quotas that all schedulers divide. A quota without an entry does not
    /// limit anything.
    QuotaShares(Vec<QuotaShare>),
    /// Replaces the settings.
    Reconfigure(Box<Reconfiguration>),
    /// The delay of [`crate::Action::WakeAfter`] is over.
    Wake,
}
