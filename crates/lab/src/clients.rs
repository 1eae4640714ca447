//! What a client does with an answer, without any I/O.

use crate::rules::Answer;
use crate::scenario::Scenario;
use crate::sim::draw::between;
use crate::sim::tally::Outcome;
use rand_chacha::ChaCha8Rng;
use shorepath_scheduler::{Idempotency, Micros};

/// What of a tenant's requests lies beyond its quota; a second's worth of that may come at once.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    per_s: f64,
    tokens: f64,
    at: Micros,
}

impl Quota {
    /// A full one at that time; 0 a second is no quota at all.
    pub fn new(per_s: f64, at: Micros) -> Self {
        Quota { per_s, tokens: per_s, at }
    }

    /// A request comes: whether it lies beyond.
    pub fn exceeded(&mut self, now: Micros) -> bool {
        self.tokens = (self.tokens + self.per_s * (now - self.at) as f64 / 1e6).min(self.per_s.max(1.0));
        self.at = now;
        let within = self.per_s <= 0.0 || self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(self.per_s > 0.0 && within));
        !within
    }
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It tries again after this time.
    Retry(Micros),
    /// That was it.
    Settled(Outcome),
}

/// A request of that class and work had this answer, so long after its client first asked, at its `tries`-th try.
pub fn next(
    sc: &Scenario,
    class: usize,
    work: f64,
    (answer, retry_after): (Answer, Option<Micros>),
    (took, tries): (Micros, u32),
    rng: &mut ChaCha8Rng,
) -> Next {
    let class = &sc.classes[class];
    let outcome = match answer {
        Answer::Served if took <= class.latency_objective + (class.work_factor * work) as Micros => {
            Outcome::Timely
        }
        Answer::Served => Outcome::Late,
        Answer::Refused => Outcome::Refused,
        Answer::Failed => Outcome::Failed,
    };
    if answer == Answer::Served {
        return Next::Settled(outcome);
    }
    let wait = between(rng, sc.clients.retry_wait);
    let wait = retry_after.filter(|_| sc.clients.honors_retry_after).map_or(wait, |r| r.max(wait));
    // A keyed request would come under a new id, which no server knows: only a refusal makes that harmless.
    let harmless = answer == Answer::Refused || class.idempotency == Idempotency::Idempotent;
    if harmless && tries <= sc.clients.retries && took + wait < class.deadline {
        Next::Retry(wait)
    } else {
        Next::Settled(outcome)
    }
}
