//! Outlier detection: which endpoints, zones, kinds, keys, classes and tenants are suspected, and left alone for how long.

use super::Scheduler;
use crate::endpoint_table::TrackedEndpoint;
use crate::ids::EndpointId;
use crate::outlier::{FailureCause, Subject, Suspicion};
use crate::request::{Attempt, Job};
use crate::settings::Idempotency;
use shorepath_types::Micros;

/// Suspicions at a time, at most, by failures of keys, classes and tenants.
const MAX_SUSPICIONS: usize = 4096;
/// Failures in a row in a zone or kind that make it suspected.
const GROUP_FAILURES: u32 = 3;
/// Failures of a key at endpoints in turn that make it suspected.
const KEY_FAILURES: u32 = 3;
/// Failures of a class or tenant that make it suspected, and jobs served meanwhile.
const CLASS_FAILURES: u32 = 6;

/// How a failure is counted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// The endpoint, zone and kind may be out of reach or faulty.
    Fault {
        /// It was an answer.
        is_error: bool,
    },
    /// The endpoint rejected the job for lack of capacity: that is about this subject alone.
    Rejection(Subject),
}

impl Scheduler {
    /// Whether an endpoint is left alone for a job. What is not idempotent waits for twice as long.
    pub(super) fn is_suspected(&self, tracked: &TrackedEndpoint, job: &Job) -> bool {
        if self.suspicions.is_empty() {
            return false;
        }
        let class = &self.settings.classes[job.class.0];
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        let extra = |suspicion: &Suspicion| if is_idempotent { 0 } else { suspicion.pause };
        let applies = |s: &Suspicion| !s.is_cleared && self.now < s.until + extra(s);
        let is_open = |subject: &Subject| self.suspicions.get(subject).is_some_and(applies);
        Subject::of_endpoint(&tracked.endpoint, job).iter().any(is_open)
    }

    /// A failure. The endpoint, or a class or tenant failing alone there, is left alone for the longest objective, doubling up to
    /// the longest deadline. Three in a row in a zone or kind: that is out of reach.
    pub(super) fn record_failure(&mut self, endpoint: EndpointId, job: &Job, is_error: bool) {
        self.record(endpoint, job, Failure::Fault { is_error });
    }

    /// A job was rejected for lack of capacity, which is counted against that subject.
    pub(super) fn record_rejection(&mut self, endpoint: EndpointId, job: &Job, subject: Subject) {
        self.record(endpoint, job, Failure::Rejection(subject));
    }

    fn record(&mut self, endpoint: EndpointId, job: &Job, failure: Failure) {
        let (now, longest) = (self.now, self.settings.recent_window() as Micros);
        self.suspicions.retain(|_, suspicion| now < suspicion.until + longest);
        let Some(tracked) = self.endpoints.get(endpoint) else { return };
        let last_success_at = tracked.last_success_at;
        let subjects = Subject::of_endpoint(&tracked.endpoint, job);
        match failure {
            Failure::Rejection(subject) => {
                if self.count_failure(subject, endpoint, false).needs_other_success(last_success_at) {
                    return;
                }
                self.suspect(subject, endpoint, job, false, 0);
            }
            Failure::Fault { is_error } => {
                let had_pause = |s: &Subject| self.suspicions.get(s).is_some_and(|s| s.pause > 0);
                let narrower = subjects[..2].iter().copied().find(had_pause);
                let subject = narrower.unwrap_or(subjects[2]);
                self.count_failure(subject, endpoint, false);
                self.suspect(subject, endpoint, job, is_error, 0);
                for group in &subjects[3..] {
                    self.count_failure(*group, endpoint, true);
                    self.suspect(*group, endpoint, job, is_error, GROUP_FAILURES);
                }
                self.demote(endpoint, job.queue);
            }
        }
    }

    /// Count a failure of a subject. Those of a group count once for each endpoint in a row.
    fn count_failure(&mut self, subject: Subject, endpoint: EndpointId, is_group: bool) -> &Suspicion {
        let now = self.now;
        let suspicion = self.suspicions.entry(subject).or_insert(Suspicion::new(now, endpoint));
        if suspicion.streak == 0 || suspicion.endpoint != endpoint || !is_group {
            suspicion.streak += 1;
        }
        if suspicion.streak == 1 {
            suspicion.since = now;
        }
        suspicion
    }

    /// Leave a subject alone after a failure that was counted, once there are so many in a row.
    fn suspect(
        &mut self,
        subject: Subject,
        endpoint: EndpointId,
        job: &Job,
        is_error: bool,
        min_failures: u32,
    ) {
        let (now, shortest) = (self.now, self.settings.longest_objective() as Micros);
        let longest = self.settings.recent_window() as Micros;
        let Some(suspicion) = self.suspicions.get_mut(&subject) else { return };
        suspicion.cause = FailureCause { class: job.class.0, tenant: job.tenant, key: job.key };
        suspicion.endpoint = endpoint;
        suspicion.is_error = is_error;
        let is_paused = now < suspicion.until && !suspicion.is_cleared;
        if suspicion.streak >= min_failures && !is_paused {
            suspicion.pause(now, shortest, longest);
        }
    }

    /// Departure: after failures at three endpoints in turn, with none of its key served in between (six of a tenant or class, with
    /// others served as often), the key is at fault, not the endpoints. Guards against requests that may fail anywhere. Harm: a key
    /// that met three faulty endpoints waits for the longest objective. Whether the failure was attributed so.
    pub(super) fn attribute_failure(&mut self, attempt: &Attempt) -> bool {
        let mut is_found = false;
        for subject in Subject::of_job(&attempt.job) {
            if self.suspicions.len() >= MAX_SUSPICIONS && !self.suspicions.contains_key(&subject) {
                continue;
            }
            is_found |= self.count_job_failure(subject, attempt);
        }
        if is_found {
            let key = attempt.job.key;
            let is_innocent = |s: &Suspicion| s.cause.key == key && s.is_error;
            self.suspicions.retain(|subject, s| !matches!(subject, Subject::Endpoint(_)) || !is_innocent(s));
        }
        is_found
    }

    /// Count a failure of what a job has in common with others; whether that is at fault.
    fn count_job_failure(&mut self, subject: Subject, attempt: &Attempt) -> bool {
        let (now, served) = (self.now, self.served);
        let shortest = self.settings.longest_objective() as Micros;
        let longest = self.settings.recent_window() as Micros;
        let endpoint = attempt.endpoint;
        let suspicion = self.suspicions.entry(subject).or_insert(Suspicion::new(now, endpoint));
        if suspicion.streak == 0 {
            (suspicion.since, suspicion.served_before) = (now, served);
        }
        if suspicion.streak == 0 || suspicion.endpoint != endpoint {
            suspicion.streak += 1;
        }
        (suspicion.endpoint, suspicion.is_error) = (endpoint, true);
        let (failures, others_served) = match subject {
            Subject::Key(_) => (KEY_FAILURES, 0),
            _ => (CLASS_FAILURES, u64::from(CLASS_FAILURES)),
        };
        if suspicion.streak < failures || served < suspicion.served_before + others_served {
            return false;
        }
        // Again for twice as long only where this one was let through to find out.
        let was_let_through = attempt.sent_at >= suspicion.until - suspicion.pause;
        if !suspicion.is_open() || was_let_through {
            suspicion.pause(now, shortest, longest);
        }
        true
    }

    /// For how long requests like this job are still at fault; the first after that is let through, others wait.
    pub(super) fn suspicion_wait(&mut self, job: &Job) -> Option<Micros> {
        for subject in Subject::of_job(job) {
            let open = self.suspicions.get_mut(&subject).filter(|suspicion| suspicion.is_open());
            let Some(suspicion) = open else { continue };
            if self.now < suspicion.until {
                return Some(suspicion.until - self.now);
            }
            suspicion.until = self.now + suspicion.pause;
        }
        None
    }

    /// Whether what a job has in common with others is at fault: what fails wherever it runs is not tried again elsewhere.
    pub(super) fn is_job_at_fault(&self, job: &Job) -> bool {
        let is_open = |subject: &Subject| self.suspicions.get(subject).is_some_and(Suspicion::is_open);
        !self.suspicions.is_empty() && Subject::of_job(job).iter().any(is_open)
    }

    /// A job has started, or was served: suspicions about it are cleared, and the subject is left alone half as long next time.
    /// Where another class or tenant had failed, that stays suspected there.
    pub(super) fn record_success(&mut self, endpoint: EndpointId, job: &Job, is_served: bool) {
        let Some(tracked) = self.endpoints.get_mut(endpoint) else { return };
        (tracked.last_success_at, tracked.overloads) = (self.now, 0);
        self.served += u64::from(is_served);
        let subjects = Subject::of_endpoint(&tracked.endpoint, job);
        for subject in subjects.into_iter().chain(Subject::of_job(job)) {
            self.clear_suspicion(subject, job, is_served);
        }
    }

    fn clear_suspicion(&mut self, subject: Subject, job: &Job, is_served: bool) {
        let Some(suspicion) = self.suspicions.get_mut(&subject) else { return };
        if suspicion.is_error && !is_served || suspicion.is_cleared {
            return;
        }
        let before = suspicion.clone();
        (suspicion.is_cleared, suspicion.streak, suspicion.pause) = (true, 0, suspicion.pause / 2);
        let narrower = match subject {
            Subject::Endpoint(endpoint) if before.cause.class != job.class.0 => {
                Subject::ClassAt(endpoint, before.cause.class)
            }
            Subject::Endpoint(endpoint) if before.cause.tenant != job.tenant => {
                Subject::TenantAt(endpoint, before.cause.tenant)
            }
            _ => return,
        };
        self.suspicions.entry(narrower).or_insert(before);
    }
}

impl Suspicion {
    /// Whether a rejection proves nothing yet: it came once, or no other tenant's job has started there meanwhile.
    fn needs_other_success(&self, last_success_at: Micros) -> bool {
        self.streak < 2 || last_success_at <= self.since
    }
}
