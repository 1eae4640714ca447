//! Events: what the caller reports to the scheduler.

use crate::endpoint::{Endpoint, LoadReport};
use crate::ids::{ClassId, EndpointId, KeyId, RequestId, TenantId};
use crate::quota::QuotaShare;
use crate::settings::Reconfiguration;
use shorepath_types::Micros;

/// How a request relates to work that its tenant has begun.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkState {
    /// New work.
    #[default]
    New,
    /// A repeat of what was accepted before.
    InProgress,
    /// It belongs to another node and must not be accepted here.
    Misdirected,
}

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id; never used twice.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Its key, where requests have one.
    pub key: Option<KeyId>,
    /// Time until the client abandons this try.
    pub time_remaining: Micros,
    /// Expected work on a standard core, where the client gives it.
    pub work_hint: Option<Micros>,
    /// Slots that it takes.
    pub slots: u32,
    /// A client's retry, where clients mark it.
    pub is_retry: bool,
    /// How it relates to its tenant's work.
    pub work_state: WorkState,
    /// Its client belongs to another site.
    pub is_remote: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// The endpoint answered that it can't use the request, whose fault that may be; it may have run.
    BadRequest,
    /// The endpoint rejected it for lack of capacity; whether it may have run, see
    /// [`crate::Settings::overloaded_may_have_run`].
    Overloaded,
    /// No answer in time; it may run still.
    Timeout,
    /// No connection could be made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptStatus {
    /// The endpoint has answered, so its connection can be used again.
    pub fn has_response(self) -> bool {
        use AttemptStatus::{BadRequest, Error, Ok, Overloaded};
        matches!(self, Ok | Overloaded | Error | BadRequest)
    }
}

/// Something that the scheduler learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The full endpoint list, current or (at the start) as last known.
    EndpointList(Vec<Endpoint>),
    /// Changed entries of the endpoint list.
    EndpointUpdate(Vec<Endpoint>),
    /// The endpoint list could not be fetched, or the subscription broke.
    EndpointListFailed,
    /// A request has arrived.
    RequestArrived(Request),
    /// An attempt's job has started.
    AttemptStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt's job has got this far.
    AttemptProgress {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// Share done, 0 to 1.
        done: f64,
    },
    /// A streamed answer has begun; its deadline no longer runs.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        status: AttemptStatus,
        /// The request has its final answer.
        is_final: bool,
    },
    /// The client has left; the request is over.
    ClientLeft(RequestId),
    /// An idle connection to an endpoint has ended by itself.
    IdleConnectionClosed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its position among the idle ones, the one idle for longest first.
        position: usize,
    },
    /// A probe has ended: [`AttemptStatus::Ok`] where the endpoint has served it, [`AttemptStatus::Overloaded`] where it rejected
    /// it.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        status: AttemptStatus,
        /// The load of the endpoint, where it reports it.
        report: LoadReport,
    },
    /// These shares of quotas that all schedulers divide may be used from now on; what is not listed is not limited.
    QuotaShares(Vec<QuotaShare>),
    /// Other settings apply from now on.
    Reconfigure(Box<Reconfiguration>),
    /// The delay of [`crate::Action::WakeAfter`] is over.
    Wake,
}
