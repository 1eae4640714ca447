//! What frontend and backend exchange: requests, outcomes, attempts and orders.

use shorepath_scheduler::{
    ClassId, EndpointId, EndpointState, Idempotency, Micros, QuotaKind, RequestId, TenantId, WorkState,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A request, as far as the decisions need it.
#[derive(Debug)]
pub struct Ask {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// What it is about, where it says so.
    pub key: Option<String>,
    /// When it had come.
    pub arrived: Instant,
    /// How long the client waits from then on.
    pub timeout: Duration,
    /// The client's guess at its work, in microseconds at speed 1.
    pub hint: Option<Micros>,
    /// Slots that it takes.
    pub slots: u32,
    /// A client's repeat.
    pub repeat: bool,
    /// What it is to its tenant's work.
    pub entry: WorkState,
    /// Its client belongs to another site.
    pub guest: bool,
}

/// The final answer to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// A backend server made this result for it.
    Served(Vec<u8>),
    /// Shed: trying again is harmless.
    Shed {
        /// How long the client should stay away.
        retry_after: Option<Duration>,
    },
    /// Not taken here: nothing is left of a part that it needs from the start, or it belongs elsewhere.
    Rejected {
        /// The part.
        of: Option<QuotaKind>,
    },
    /// Failed, no promise.
    Failed,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DispatchId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
}

/// Whether a request still waits for its answer: its client has not gone, and it has none yet.
#[derive(Clone, Debug)]
pub struct Wanted(watch::Receiver<()>);

impl Wanted {
    /// As long as that lasts.
    pub fn by(request: &watch::Sender<()>) -> Self {
        Wanted(request.subscribe())
    }

    /// Whether it does.
    pub fn is_still(&self) -> bool {
        self.0.has_changed().is_ok()
    }

    /// Ready once it does not.
    pub async fn over(&mut self) {
        while self.0.changed().await.is_ok() {}
    }
}

/// What the backend is to do.
#[derive(Debug)]
pub enum Order<P> {
    /// Make one attempt.
    Dispatch {
        /// Which.
        id: DispatchId,
        /// The backend server.
        worker: EndpointId,
        /// What running it twice would do.
        effect: Idempotency,
        /// What to send.
        payload: Rc<P>,
        /// When all of it has to be on its way: at `until` at the latest.
        written_by: Instant,
        /// When to stop waiting.
        until: Instant,
        /// For how long its request waits for an answer.
        wanted: Wanted,
    },
    /// Call an attempt off.
    Cancel(DispatchId),
    /// Ask a backend server whether it would start a job now.
    Probe(EndpointId),
    /// Close the idle connections to a backend server.
    CloseIdle(EndpointId),
    /// Where a backend server is, and whether it may be sent anything new.
    Server {
        /// Which.
        worker: EndpointId,
        /// Where; `None` if that is as before.
        address: Option<SocketAddr>,
        /// Whether it is active.
        active: bool,
    },
}

/// One entry of the server table.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name, the same at every node.
    pub name: String,
    /// Where it is reached; not told of one that is gone.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its size.
    pub size: f64,
    /// Where it stands.
    pub standing: EndpointState,
    /// When it last started, in Unix time; 0 for long ago.
    pub started: Micros,
}

/// What is known of an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It was served.
    Served,
    /// It surely never ran.
    Never,
    /// It may have run.
    Perhaps,
}

/// An attempt, as it is written down.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The name of its class.
    pub class: &'a str,
    /// None of that class may be made twice.
    pub is_unsafe: bool,
    /// The name of the backend server.
    pub server: &'a str,
}

/// Writes down what is given to which backend server.
pub trait Recorder<P>: std::fmt::Debug {
    /// An attempt is to be made. Whether it may go out at once; where not, [`super::Exchange::recorded`] has to be told later. The
    /// exchange must not be asked anything meanwhile.
    fn places(&self, id: DispatchId, attempt: Attempt<'_>, payload: &P) -> bool;
    /// Whether an attempt may still be sent, asked right before its first byte is.
    fn may_send(&self, _id: DispatchId) -> bool {
        true
    }
    /// An attempt that was written down has ended.
    fn ended(&self, id: DispatchId, how: Ran);
}

/// Writes down which decisions were taken.
pub trait Auditor<P>: std::fmt::Debug {
    /// An attempt goes out, the first one or a further one. The exchange must not be asked anything meanwhile.
    fn dispatched(&self, attempt: Attempt<'_>, first: bool, payload: &P);
    /// A request has its final answer: how, and whether it was refused and none of its class may be made twice.
    fn answered(&self, class: &str, how: &'static str, guarded: bool, payload: &P);
    /// A list of that revision is in force.
    fn listed(&self, revision: u64);
}

/// Who tells of parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The budgets of the fleet.
    Budgets,
    /// The accounts and sites.
    Sites,
}
