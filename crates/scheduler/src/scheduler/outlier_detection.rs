//! Outlier detection: which endpoints, zones, kinds, keys, classes and tenants are suspected, and how long
//! they are avoided.

use super::Scheduler;
use crate::endpoint_table::TrackedEndpoint;
use crate::ids::EndpointId;
use crate::outlier::{FailedJob, Subject, Suspicion};
use crate::request::{Attempt, Job};
use crate::settings::Idempotency;
use shorepath_types::Micros;

/// Upper bound of the number of suspicions, above which none is added for a key, class or tenant.
const MAX_SUSPICIONS: usize = 4096;
/// Consecutive failures in a zone or of a kind, at different endpoints, that make it suspected.
const GROUP_FAILURES: u32 = 3;
/// Consecutive failures of a key at different endpoints that make it suspected.
const KEY_FAILURES: u32 = 3;
/// Consecutive failures of a class or tenant that make it suspected, provided that as many jobs were served
/// meanwhile.
const CLASS_FAILURES: u32 = 6;

/// The subject that a failure counts against.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// The endpoint, zone and kind, which may be unreachable or faulty.
    Fault {
        /// The endpoint answered with an error.
        is_error: bool,
    },
    /// Only this subject, because the endpoint rejected the job for lack of capacity.
    Rejection(Subject),
}

impl Scheduler {
    /// Returns whether an endpoint is avoided for a job. A job that is not idempotent avoids it twice as
    /// long.
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

    /// Records a failure. The endpoint, or a class or tenant that fails alone there, is avoided for the
    /// longest objective, and longer after each further failure, up to the longest deadline. Three
    /// consecutive failures in a zone or of a kind make all of it suspected.
    pub(super) fn record_failure(&mut self, endpoint: EndpointId, job: &Job, is_error: bool) {
        self.record(endpoint, job, Failure::Fault { is_error });
    }

    /// Records an overload rejection against one subject.
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
                let was_paused = |s: &Subject| self.suspicions.get(s).is_some_and(|s| s.pause > 0);
                let narrower = subjects[..2].iter().copied().find(was_paused);
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

    /// Counts a failure of a subject. For a group of endpoints, consecutive failures of one endpoint count
    /// once.
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

    /// Records the cause of a counted failure, and avoids the subject once it has had `min_failures` in a
    /// row.
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
        suspicion.failed_job = FailedJob { class: job.class.0, tenant: job.tenant, key: job.key };
        suspicion.endpoint = endpoint;
        suspicion.is_error = is_error;
        let is_paused = now < suspicion.until && !suspicion.is_cleared;
        if suspicion.streak >= min_failures && !is_paused {
            suspicion.pause(now, shortest, longest);
        }
    }

    /// Counts a failure against the job's key, class and tenant, and returns whether one of them is at fault
    /// rather than the endpoint. Guards against requests that fail at any endpoint.
    ///
    /// Departure: a key is at fault after failures at three endpoints in a row with none of its jobs served
    /// in between. A class or tenant is at fault after six, if as many other jobs were served meanwhile.
    /// Harm: a key whose jobs met three faulty endpoints is shed for the longest objective.
    pub(super) fn attribute_failure(&mut self, attempt: &Attempt) -> bool {
        let mut is_attributed = false;
        for subject in Subject::of_job(&attempt.job) {
            if self.suspicions.len() >= MAX_SUSPICIONS && !self.suspicions.contains_key(&subject) {
                continue;
            }
            is_attributed |= self.count_job_failure(subject, attempt);
        }
        if is_attributed {
            // Endpoints that were suspected because of the same key are no longer avoided.
            let key = attempt.job.key;
            let has_same_key = |s: &Suspicion| s.failed_job.key == key && s.is_error;
            self.suspicions.retain(|subject, s| !matches!(subject, Subject::Endpoint(_)) || !has_same_key(s));
        }
        is_attributed
    }

    /// Counts a failure of a subject that a job shares with others, and returns whether that subject is at
    /// fault.
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
        // The pause doubles only after a failure of a job that was admitted to test whether the subject has
        // recovered.
        let was_test = attempt.sent_at >= suspicion.until - suspicion.pause;
        if !suspicion.is_open() || was_test {
            suspicion.pause(now, shortest, longest);
        }
        true
    }

    /// Returns how long jobs like this one are still shed, or `None` if the job is admitted. After a pause,
    /// one job is admitted as a test, and others are shed for as long again.
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

    /// Returns whether the job's key, class or tenant is at fault. Such a job is not retried, because it
    /// would fail at any endpoint.
    pub(super) fn is_job_at_fault(&self, job: &Job) -> bool {
        let is_open = |subject: &Subject| self.suspicions.get(subject).is_some_and(Suspicion::is_open);
        !self.suspicions.is_empty() && Subject::of_job(job).iter().any(is_open)
    }

    /// Records that a job has started or was served. Suspicions about it are cleared, and their next pause
    /// is half as long. If another class or tenant had failed at the endpoint, it stays suspected there.
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
            Subject::Endpoint(endpoint) if before.failed_job.class != job.class.0 => {
                Subject::ClassAt(endpoint, before.failed_job.class)
            }
            Subject::Endpoint(endpoint) if before.failed_job.tenant != job.tenant => {
                Subject::TenantAt(endpoint, before.failed_job.tenant)
            }
            _ => return,
        };
        self.suspicions.entry(narrower).or_insert(before);
    }
}

impl Suspicion {
    /// Returns whether rejections prove nothing yet: there was only one, or no other job has started at the
    /// endpoint since the first.
    fn needs_other_success(&self, last_success_at: Micros) -> bool {
        self.streak < 2 || last_success_at <= self.since
    }
}
