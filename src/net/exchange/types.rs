//! Types that the frontend, the exchange and the backend share: requests, outcomes, attempts and commands.

use shorepath_scheduler::{
    ClassId, EndpointId, EndpointState, Idempotency, Micros, QuotaKind, RequestId, TenantId, WorkState,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The properties of a request on which scheduling decisions depend.
#[derive(Debug)]
pub struct RequestParams {
    /// The class, whose settings decide objective, deadline and idempotency.
    pub class: ClassId,
    /// The tenant, or `None` where the settings name no tenants.
    pub tenant: Option<TenantId>,
    /// The object that the request is about, or `None` if it names none.
    pub key: Option<String>,
    /// Time at which the last byte of the request was received.
    pub arrived: Instant,
    /// How long the client waits for the answer, counted from `arrived`.
    pub timeout: Duration,
    /// The client's estimate of the work in microseconds on a standard core, or `None` without an estimate.
    pub work_hint: Option<Micros>,
    /// Number of slots that the request occupies at a backend server.
    pub slots: u32,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Whether the request is new work, a repeat of accepted work, or work that this node must not accept.
    pub work_state: WorkState,
    /// Whether the client belongs to another site.
    pub is_remote: bool,
}

/// The final answer to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// A backend server returned this result.
    Served(Vec<u8>),
    /// The request was shed. It never ran, so the client may retry it.
    Shed {
        /// How long the client should wait before it retries; `None` to state no time.
        retry_after: Option<Duration>,
    },
    /// The request was not accepted: a quota is exhausted, or the request belongs to another node.
    Rejected {
        /// The exhausted quota, or `None` if no quota is the reason.
        of: Option<QuotaKind>,
    },
    /// The request failed and may have run.
    Failed,
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DispatchId {
    /// The request that the attempt is for.
    pub request: RequestId,
    /// The attempt's number, counted from 0 for each request.
    pub attempt: u32,
}

/// Watches whether a request is open: its client is connected and it has no final answer.
#[derive(Clone, Debug)]
pub struct OpenWatch(watch::Receiver<()>);

impl OpenWatch {
    /// Creates a watch on a request that is open until `request` is dropped.
    pub fn new(request: &watch::Sender<()>) -> Self {
        OpenWatch(request.subscribe())
    }

    /// Returns whether the request is still open.
    pub fn is_open(&self) -> bool {
        self.0.has_changed().is_ok()
    }

    /// Waits until the request is no longer open.
    pub async fn closed(&mut self) {
        while self.0.changed().await.is_ok() {}
    }
}

/// A command of the exchange to the backend.
#[derive(Debug)]
pub enum Command<P> {
    /// Makes one attempt of a request.
    Dispatch {
        /// The attempt.
        id: DispatchId,
        /// The backend server to send it to.
        endpoint: EndpointId,
        /// Whether the request may run more than once.
        idempotency: Idempotency,
        /// The request to send.
        payload: Rc<P>,
        /// Time by which its last byte must be written; not after `deadline`.
        write_by: Instant,
        /// Time at which the attempt is given up.
        deadline: Instant,
        /// Whether the request still needs an answer.
        open: OpenWatch,
    },
    /// Cancels an attempt, if it has not ended.
    Cancel(DispatchId),
    /// Probes whether a backend server would start a job now.
    Probe(EndpointId),
    /// Closes the idle connections to a backend server.
    CloseIdle(EndpointId),
    /// Updates the address and the state of a backend server.
    Server {
        /// The backend server.
        endpoint: EndpointId,
        /// The address, or `None` if it is unchanged.
        address: Option<SocketAddr>,
        /// Whether new requests may be sent to the server.
        active: bool,
    },
}

/// One entry of the server table.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Name of the backend server, the same at every node.
    pub name: String,
    /// Address of the backend server, or `None` if the server has left.
    pub address: Option<SocketAddr>,
    /// Name of the zone in which the backend server runs.
    pub zone: String,
    /// Name of the server kind, which decides which classes the backend server runs.
    pub kind: String,
    /// Number of the cell to which the backend server belongs.
    pub cell: u32,
    /// Capacity of the backend server relative to the other servers.
    pub capacity: f64,
    /// Whether the backend server is live, draining or removed.
    pub state: EndpointState,
    /// Unix time of the backend server's last start in microseconds; 0 for a start long ago.
    pub started_at: Micros,
}

/// Whether the request of an attempt that has ended was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request was served.
    Served,
    /// The request certainly never ran.
    NeverRan,
    /// The request may have run.
    MayHaveRun,
}

/// The description of an attempt that a [`Recorder`] or an [`Auditor`] writes.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Name of the request's class.
    pub class: &'a str,
    /// Whether no request of the class may run twice.
    pub is_non_idempotent: bool,
    /// Name of the backend server.
    pub server: &'a str,
}

/// Records which attempts are sent to which backend server, before they are sent.
pub trait Recorder<P>: std::fmt::Debug {
    /// Records an attempt and returns whether it may be sent at once. If not, [`super::Exchange::attempt_recorded`] must be
    /// called later.
    ///
    /// Must not call the exchange, which is borrowed meanwhile.
    fn record_attempt(&self, id: DispatchId, attempt: Attempt<'_>, payload: &P) -> bool;
    /// Returns whether an attempt may still be sent. Called right before its first byte is written.
    fn may_send(&self, _id: DispatchId) -> bool {
        true
    }
    /// Records the end of an attempt.
    fn attempt_ended(&self, id: DispatchId, outcome: RunOutcome);
}

/// Records scheduling decisions in the audit log.
pub trait Auditor<P>: std::fmt::Debug {
    /// Records that an attempt is sent; `first` is false for further attempts of a request.
    ///
    /// Must not call the exchange, which is borrowed meanwhile.
    fn dispatched(&self, attempt: Attempt<'_>, first: bool, payload: &P);
    /// Records the final answer of a request; `guarded` is set if a request that must not run twice was not served.
    fn answered(&self, class: &str, outcome: &'static str, guarded: bool, payload: &P);
    /// Records that the endpoint list with that revision is in use.
    fn list_applied(&self, revision: u64);
}

/// The component that sets quota shares; each one's shares are replaced separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuotaSource {
    /// The budgets of the fleet.
    Budgets,
    /// The accounts and the load shifting between sites.
    Sites,
}
