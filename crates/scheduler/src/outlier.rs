//! Outlier detection's records of suspected endpoints, zones, kinds, keys, classes and tenants.

use crate::endpoint::Endpoint;
use crate::ids::{ClassId, EndpointId, KeyId};
use crate::request::Job;
use shorepath_types::Micros;
use std::collections::BTreeMap;

/// The subject of a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Endpoint(EndpointId),
    /// A class at one endpoint, by class index.
    ClassAt(EndpointId, usize),
    /// A tenant at one endpoint, by tenant index.
    TenantAt(EndpointId, usize),
    /// All endpoints of a zone, by zone number.
    Zone(u32),
    /// All endpoints of a kind, by kind number.
    Kind(u32),
    /// Requests of a key, at any endpoint.
    Key(KeyId),
    /// Requests of a class, by class index, at any endpoint.
    Class(usize),
    /// Requests of a tenant, by tenant index, at any endpoint.
    Tenant(usize),
}

impl Subject {
    /// Returns the subjects whose suspicion affects a job at an endpoint, narrowest first: class there,
    /// tenant there, endpoint, zone and kind.
    pub fn of_endpoint(endpoint: &Endpoint, job: &Job) -> [Subject; 5] {
        [
            Subject::ClassAt(endpoint.id, job.class.0),
            Subject::TenantAt(endpoint.id, job.tenant),
            Subject::Endpoint(endpoint.id),
            Subject::Zone(endpoint.zone.0),
            Subject::Kind(endpoint.kind.0),
        ]
    }

    /// Returns the subjects that a job shares with others at any endpoint: key (or class if it has none),
    /// class and tenant.
    pub fn of_job(job: &Job) -> [Subject; 3] {
        let class = Subject::Class(job.class.0);
        [job.key.map_or(class, Subject::Key), class, Subject::Tenant(job.tenant)]
    }

    /// Returns this subject with class `class` replaced by `other`, or `None` if it is not about `class`.
    fn with_class(self, class: ClassId, other: ClassId) -> Option<Subject> {
        match self {
            Subject::ClassAt(endpoint, c) if c == class.0 => Some(Subject::ClassAt(endpoint, other.0)),
            Subject::Class(c) if c == class.0 => Some(Subject::Class(other.0)),
            _ => None,
        }
    }
}

/// Class, tenant and key of the last failed job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FailedJob {
    pub class: usize,
    pub tenant: usize,
    pub key: Option<KeyId>,
}

/// The suspicion of one subject.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// The subject is avoided until this time. After that, idempotent jobs are sent again, and other jobs
    /// once `pause` has passed a second time.
    pub until: Micros,
    /// How long the subject was last avoided; 0 if it never was.
    pub pause: Micros,
    /// The job whose failure came last.
    pub failed_job: FailedJob,
    /// The endpoint of the last failure.
    pub endpoint: EndpointId,
    /// Consecutive failures, at different endpoints where the subject spans several.
    pub streak: u32,
    /// When the first failure of `streak` occurred.
    pub since: Micros,
    /// Number of jobs served at any endpoint before the first failure of `streak`.
    pub served_before: u64,
    /// The last failure was an error answer, so a started job does not prove health.
    pub is_error: bool,
    /// A job has succeeded since the last failure.
    pub is_cleared: bool,
}

impl Suspicion {
    /// Creates a suspicion that is not in force.
    pub fn new(now: Micros, endpoint: EndpointId) -> Self {
        Suspicion {
            until: now,
            pause: 0,
            failed_job: FailedJob::default(),
            endpoint,
            streak: 0,
            since: now,
            served_before: 0,
            is_error: false,
            is_cleared: false,
        }
    }

    /// Starts to avoid the subject, for twice as long as last time within `min` and `max`. If `min` is the
    /// greater one, `max` holds.
    pub fn pause(&mut self, now: Micros, min: Micros, max: Micros) {
        self.is_cleared = false;
        self.pause = (self.pause * 2).max(min).min(max);
        self.until = now + self.pause;
    }

    /// Returns whether the subject has been avoided and has not succeeded since.
    pub fn is_open(&self) -> bool {
        self.pause > 0 && !self.is_cleared
    }
}

/// The suspicions of all subjects.
pub(crate) type Suspicions = BTreeMap<Subject, Suspicion>;

/// Drops the suspicions of a class id that now has other rules, and copies those of the class whose learned
/// values it inherits.
pub(crate) fn reassign_class(suspicions: &mut Suspicions, class: ClassId, inherits_from: Option<ClassId>) {
    suspicions.retain(|subject, _| subject.with_class(class, class).is_none());
    let moved = |(subject, suspicion): (&Subject, &Suspicion)| {
        Some((subject.with_class(inherits_from?, class)?, suspicion.clone()))
    };
    let inherited: Vec<_> = suspicions.iter().filter_map(moved).collect();
    suspicions.extend(inherited);
}
