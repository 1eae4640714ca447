//! What a client does with an answer, without any I/O.

use crate::rules::Answer;
use crate::scenario::Scenario;
use crate::sim::draw::between;
use crate::sim::tally::Outcome;
use rand_chacha::ChaCha8Rng;
use shorepath_core::api::{Effect, Micros};

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
        Answer::Served if took <= class.wanted + (class.stretch * work) as Micros => Outcome::Timely,
        Answer::Served => Outcome::Late,
        Answer::Refused => Outcome::Refused,
        Answer::Failed => Outcome::Failed,
    };
    if answer == Answer::Served {
        return Next::Settled(outcome);
    }
    let wait = between(rng, sc.clients.wait);
    let wait = retry_after.filter(|_| sc.clients.heed).map_or(wait, |r| r.max(wait));
    let harmless = answer == Answer::Refused || class.effect == Effect::Safe;
    if harmless && tries <= sc.clients.retries && took + wait < class.give_up {
        Next::Retry(wait)
    } else {
        Next::Settled(outcome)
    }
}
