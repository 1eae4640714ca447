//! Suspicion of endpoints, zones, kinds, keys, classes and tenants: the records of outlier detection.

use crate::endpoint::Endpoint;
use crate::ids::{ClassId, EndpointId, KeyId};
use crate::request::Job;
use shorepath_types::Micros;
use std::collections::BTreeMap;

/// What a suspicion is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// An endpoint.
    Endpoint(EndpointId),
    /// One class at an endpoint, by its index.
    ClassAt(EndpointId, usize),
    /// One tenant at an endpoint, by its index.
    TenantAt(EndpointId, usize),
    /// All endpoints of a zone.
    Zone(u32),
    /// All endpoints of a kind.
    Kind(u32),
    /// Requests of a key, wherever they run.
    Key(KeyId),
    /// Requests of a class, wherever they run.
    Class(usize),
    /// Requests of a tenant, wherever they run.
    Tenant(usize),
}

impl Subject {
    /// What the health of an endpoint depends on for a job, narrowest first: its class there, its tenant there, the endpoint, the
    /// zone, the kind.
    pub fn of_endpoint(endpoint: &Endpoint, job: &Job) -> [Subject; 5] {
        [
            Subject::ClassAt(endpoint.id, job.class.0),
            Subject::TenantAt(endpoint.id, job.tenant),
            Subject::Endpoint(endpoint.id),
            Subject::Zone(endpoint.zone.0),
            Subject::Kind(endpoint.kind.0),
        ]
    }

    /// What a job has in common with others, wherever they run: its key (its class where it has none), class and tenant.
    pub fn of_job(job: &Job) -> [Subject; 3] {
        let class = Subject::Class(job.class.0);
        [job.key.map_or(class, Subject::Key), class, Subject::Tenant(job.tenant)]
    }

    /// The same about another class, where it is about this one.
    fn about_other_class(self, class: ClassId, other: ClassId) -> Option<Subject> {
        match self {
            Subject::ClassAt(endpoint, c) if c == class.0 => Some(Subject::ClassAt(endpoint, other.0)),
            Subject::Class(c) if c == class.0 => Some(Subject::Class(other.0)),
            _ => None,
        }
    }
}

/// Who was involved in the last failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FailureCause {
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    pub key: Option<KeyId>,
}

/// Suspicion of one subject.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// The subject is left alone until then; then it is tried with one idempotent job at a time, with others after as long again.
    pub until: Micros,
    /// For how long it was left alone the last time; 0 while it never was.
    pub pause: Micros,
    /// Of the last failure.
    pub cause: FailureCause,
    /// The endpoint of the last failure.
    pub endpoint: EndpointId,
    /// Failures in a row, at different endpoints.
    pub streak: u32,
    /// When the first of them came.
    pub since: Micros,
    /// Jobs served anywhere before the first of them.
    pub served_before: u64,
    /// The failure was an answer, so a start is no sign of health.
    pub is_error: bool,
    /// A success has come since.
    pub is_cleared: bool,
}

impl Suspicion {
    /// One without ground yet.
    pub fn new(now: Micros, endpoint: EndpointId) -> Self {
        Suspicion {
            until: now,
            pause: 0,
            cause: FailureCause::default(),
            endpoint,
            streak: 0,
            since: now,
            served_before: 0,
            is_error: false,
            is_cleared: false,
        }
    }

    /// Leave the subject alone from now on, for twice as long as the last time within these bounds.
    pub fn pause(&mut self, now: Micros, min: Micros, max: Micros) {
        self.is_cleared = false;
        self.pause = (self.pause * 2).clamp(min, max);
        self.until = now + self.pause;
    }

    /// Whether it has ground and no success has come since.
    pub fn is_open(&self) -> bool {
        self.pause > 0 && !self.is_cleared
    }
}

/// The suspicions of all subjects.
pub(crate) type Suspicions = BTreeMap<Subject, Suspicion>;

/// A class id has other rules from now on; suspicions of the class whose figures it inherits are about it, too.
pub(crate) fn reassign_class(suspicions: &mut Suspicions, class: ClassId, inherits_from: Option<ClassId>) {
    suspicions.retain(|subject, _| subject.about_other_class(class, class).is_none());
    let moved = |(subject, suspicion): (&Subject, &Suspicion)| {
        Some((subject.about_other_class(inherits_from?, class)?, suspicion.clone()))
    };
    let inherited: Vec<_> = suspicions.iter().filter_map(moved).collect();
    suspicions.extend(inherited);
}
