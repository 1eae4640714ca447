//! The behaviour of clients, without any I/O: quota accounting and retries.

use crate::rules::Answer;
use crate::scenario::Scenario;
use crate::sim::draw::between;
use crate::sim::tally::Outcome;
use rand_chacha::ChaCha8Rng;
use shorepath_scheduler::{Idempotency, Micros};

/// Token bucket that detects the requests beyond a tenant's quota. Its burst is one second of the quota.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    per_second: f64,
    tokens: f64,
    at: Micros,
}

impl Quota {
    /// Returns a full bucket at the time `at`; a rate of 0 means that there is no quota.
    pub fn new(per_second: f64, at: Micros) -> Self {
        Quota { per_second, tokens: per_second, at }
    }

    /// Counts a request and returns whether it exceeds the quota.
    pub fn exceeded(&mut self, now: Micros) -> bool {
        self.tokens =
            (self.tokens + self.per_second * (now - self.at) as f64 / 1e6).min(self.per_second.max(1.0));
        self.at = now;
        let within = self.per_second <= 0.0 || self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(self.per_second > 0.0 && within));
        !within
    }
}

/// What a client does after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// It retries after this delay.
    Retry(Micros),
    /// The request is over, with this result.
    Settled(Outcome),
}

/// Decides what a client does after an answer.
///
/// `work` is the request's work in microseconds on a core of speed 1, `elapsed` the time since its first submission,
/// and `submissions` the number of tries, the answered one included.
pub fn after_answer(
    sc: &Scenario,
    class: usize,
    work: f64,
    (answer, retry_after): (Answer, Option<Micros>),
    (elapsed, submissions): (Micros, u32),
    rng: &mut ChaCha8Rng,
) -> NextStep {
    let class = &sc.classes[class];
    let outcome = match answer {
        Answer::Served if elapsed <= class.latency_objective + (class.work_factor * work) as Micros => {
            Outcome::Timely
        }
        Answer::Served => Outcome::Late,
        Answer::Refused => Outcome::Refused,
        Answer::Failed => Outcome::Failed,
    };
    if answer == Answer::Served {
        return NextStep::Settled(outcome);
    }
    let delay = between(rng, sc.clients.retry_wait);
    let delay = retry_after.filter(|_| sc.clients.honors_retry_after).map_or(delay, |r| r.max(delay));
    // A retry has a new id, by which servers can't recognize it as a duplicate: a keyed request is only
    // repeated after a refusal.
    let may_repeat = answer == Answer::Refused || class.idempotency == Idempotency::Idempotent;
    if may_repeat && submissions <= sc.clients.retries && elapsed + delay < class.deadline {
        NextStep::Retry(delay)
    } else {
        NextStep::Settled(outcome)
    }
}
