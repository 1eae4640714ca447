//! The interface of the decision module: what it is told and what it may ask for.
//!
//! Nothing here knows of any wire. Time is integer microseconds on the caller's clock.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A point in time or a length of time, in microseconds.
pub type Micros = i64;

/// A request, as the caller names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A worker, as the caller numbers it. The number of a worker never changes meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The subject of a request; requests of one key have the same number at every scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

impl KeyId {
    /// How this key ranks a worker by its mark: the same at every scheduler, and another for each key.
    pub fn rank(self, mark: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.0, 0);
        hasher.write_u64(mark);
        hasher.finish()
    }
}

/// A zone; only sameness matters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// A kind of worker; only sameness matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub u32);

/// The workers that together drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every worker knows what any of them has run.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are dropped inside a scope, for a time after the first attempt that may have run.
    Keyed {
        /// Who drops repeats.
        scope: Scope,
        /// For how long.
        memory: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

impl Effect {
    /// For how long after the first attempt that may have run another one does no harm.
    pub fn repeatable(self) -> Micros {
        match self {
            Effect::Safe => Micros::MAX,
            Effect::Keyed { memory, .. } => memory,
            Effect::Unsafe => 0,
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Wanted within this time plus `stretch` times the request's own work.
    pub aim: Micros,
    /// See `aim`.
    pub stretch: f64,
    /// How long a client waits in all, over all its tries.
    pub deadline: Micros,
    /// Share of the worth that a late answer still has.
    pub late_worth: f64,
    /// What a request in time is worth, or a unit of its work (see [`Settings::by_work`]).
    pub worth: f64,
    /// What a repeat would do.
    pub effect: Effect,
    /// The only kind of worker that runs it, if there is just one.
    pub kind: Option<KindId>,
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            aim: 0,
            stretch: 0.0,
            deadline: 0,
            late_worth: 0.0,
            worth: 0.0,
            effect: Effect::Unsafe,
            kind: None,
        }
    }
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// Its portion of the service.
    pub share: f64,
    /// Requests a second inside its share, over all schedulers; 0 where unknown.
    pub quota_per_s: f64,
}

impl Status {
    /// The worker has answered, so its connection can be used again.
    pub fn answered(self) -> bool {
        matches!(self, Status::Ok | Status::Full | Status::Error | Status::Rejected)
    }
}

/// A ration of attempts beyond each request's first, counted over a sliding span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ration {
    /// The span over which requests taken and further attempts are counted.
    pub span: Micros,
    /// Further attempts allowed however few requests were taken.
    pub free: f64,
    /// Further attempts allowed for each request taken.
    pub share: f64,
}

/// All that an instance knows when it starts. The default allows and assumes as little as it can.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Schedulers of this tier, this one included.
    pub instances: u32,
    /// The number of this one among them, from 0, where it is told.
    pub rank: Option<u32>,
    /// Processes that are this scheduler at present, which share its rations; 0 counts as 1.
    pub parts: u32,
    /// The zone of this scheduler.
    pub zone: ZoneId,
    /// Events are handed over at most this often.
    pub tick: Micros,
    /// Classes, indexed by [`ClassId`].
    pub classes: Vec<ClassSettings>,
    /// Tenants, indexed by [`TenantId`]; empty where there are none.
    pub tenants: Vec<TenantSettings>,
    /// Worth is counted for each unit of work instead of each request.
    pub by_work: bool,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// The list of workers must be subscribed to.
    pub must_subscribe: bool,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// Attempts can be called off.
    pub cancel: bool,
    /// [`Member::scale`] is a worker's capacity, its speed counted; otherwise only its size, roughly.
    pub scale_is_capacity: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// The longest stay away that a client heeds.
    pub max_retry_after: Micros,
    /// Most attempts for one request; 0 for no limit.
    pub max_attempts: u32,
    /// Nothing new goes to a leaving worker later than this after it was told.
    pub drain_grace: Micros,
    /// Share of its capacity that a just started worker has at least.
    pub cold_share: f64,
    /// A started worker is warm after this at most.
    pub cold_time: Micros,
    /// A cold worker sent more than this many times what it can do falls over.
    pub fall_multiple: f64,
    /// The window over which that is counted.
    pub fall_time: Micros,
    /// Workers may turn away work that they had begun, so [`Status::Full`] proves nothing.
    pub full_may_have_run: bool,
    /// Price of an attempt that crosses zones, in parts of a request's worth.
    pub cross_zone_price: f64,
    /// Workers may be probed.
    pub probes: bool,
    /// Price of a probe, in parts of a request's worth.
    pub probe_price: f64,
    /// Further attempts are rationed.
    pub ration: Option<Ration>,
    /// Only a worker listed as draining is closed to new work; one that is gone or left out of the
    /// list without having drained may be sent to.
    pub only_draining_binds: bool,
}

impl Settings {
    /// A tenant's quota, requests a second over all schedulers, by its number; `None` where there is none.
    pub fn quota(&self, tenant: usize) -> Option<f64> {
        self.tenants.get(tenant).map(|t| t.quota_per_s).filter(|q| *q > 0.0)
    }
}

/// Settings that take the place of others. A class keeps its number while its rules stay; one that no
/// request or attempt holds (see [`crate::Balancer::uses`]) may stand for another class. Tenants keep
/// theirs.
#[derive(Clone, Debug)]
pub struct Retuned {
    /// The settings; rules of classes that are no longer asked for stay in their places.
    pub settings: Settings,
    /// The numbers that stand for other rules than before, each with the class that it follows.
    pub fresh: Vec<(ClassId, Option<ClassId>)>,
}

/// Where a worker stands, by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes work.
    Live,
    /// Finishes what it has; gets nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of workers.
#[derive(Clone, Debug)]
pub struct Member {
    /// The worker.
    pub worker: WorkerId,
    /// What stands for its name, the same at every scheduler.
    pub mark: u64,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: u32,
    /// A figure to compare with other workers' size.
    pub scale: f64,
    /// Where it stands.
    pub standing: Standing,
    /// When it last started; 0 for long ago.
    pub started: Micros,
}

/// What a request is to the work of its tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Entry {
    /// New work.
    #[default]
    New,
    /// A repeat of what was taken before: running work.
    Begun,
    /// It must not be taken here.
    Elsewhere,
}

/// A request that the scheduler has taken.
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
    pub time_left: Micros,
    /// Expected work on a standard core, where told.
    pub hint: Option<Micros>,
    /// Slots that it takes.
    pub slots: u32,
    /// A client's repeat, where clients mark it.
    pub repeat: bool,
    /// What it is to its tenant's work.
    pub entry: Entry,
    /// Its client belongs to another site.
    pub guest: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// The worker answered that it can't use the request, whose fault that may be; it may have run.
    Rejected,
    /// Turned away; whether unseen, see [`Settings::full_may_have_run`].
    Full,
    /// No answer in time; it may run still.
    Timeout,
    /// No connection could be made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never dispatched.
    Moot,
}

/// What a worker tells of itself: late, and a little noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Slots that are free.
    pub free: Option<f64>,
    /// Jobs it has, in work or queued.
    pub held: Option<f64>,
}

/// Something that the scheduler learned.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list of workers, current or (at the start) as last held.
    Roster(Vec<Member>),
    /// Changed entries of the list.
    RosterChange(Vec<Member>),
    /// The list could not be had, or the subscription broke.
    RosterFailed,
    /// A request was taken.
    Request(Request),
    /// An attempt's job has started.
    Started {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt's job has got this far.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// Share done, 0 to 1.
        done: f64,
    },
    /// A streamed answer has begun; its deadline no longer runs.
    StreamBegan {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        status: Status,
        /// The request has its final answer.
        settled: bool,
    },
    /// The client left; the request is over.
    Gone(RequestId),
    /// An idle connection to a worker has ended unasked; those left are younger or older than it by
    /// their place, the one idle for longest first.
    IdleClosed {
        /// The worker.
        worker: WorkerId,
        /// Its place.
        place: usize,
    },
    /// A probe has ended: [`Status::Ok`] where the worker has served it, [`Status::Full`] where it turned
    /// it away.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        status: Status,
        /// What the worker holds, where it tells.
        report: Report,
    },
    /// These parts of budgets that all schedulers share may be used from now on; what is not named is not bounded.
    Parts(Vec<crate::parts::Part>),
    /// Other settings hold from now on.
    Retune(Box<Retuned>),
    /// A wake-up asked for by [`Action::Wake`].
    Wake,
}

/// Something that the scheduler is to do. Attempts of a request count from 0 in the order sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt, to run until the client gives up.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        worker: WorkerId,
    },
    /// Final answer: turned away, trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away, if advised.
        retry_after: Option<Micros>,
    },
    /// Final answer: not taken here, as a part is used up that it needs from the start, or as it belongs elsewhere.
    Bar {
        /// The request.
        id: RequestId,
        /// What it needs a part of; `None` for one that belongs elsewhere.
        of: Option<crate::parts::Bound>,
    },
    /// Final answer: failed, no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Hand in [`Event::Wake`] after this time.
    Wake {
        /// From now.
        after: Micros,
    },
    /// Ask a worker how busy it is; [`Event::Probed`] brings its answer.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close the idle connections to a worker.
    CloseIdle {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to the list of workers.
    Subscribe,
}
