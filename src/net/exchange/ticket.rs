//! The handle of a submitted request, which yields its final answer.

use super::types::ResponseOutcome;
use super::Exchange;
use shorepath_scheduler::RequestId;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tracing::warn;

/// A submitted request. Dropping the ticket before the answer abandons the request, as when its client disconnects.
#[derive(Debug)]
pub struct Ticket<P> {
    pub(super) exchange: Rc<Exchange<P>>,
    pub(super) id: RequestId,
    pub(super) answer_receiver: oneshot::Receiver<ResponseOutcome>,
    pub(super) deadline: Instant,
}

impl<P> Ticket<P> {
    /// Returns whether the request has its final answer, as when it was rejected on submission.
    pub fn is_answered(&self) -> bool {
        !self.exchange.inner.borrow().open.contains_key(&self.id)
    }

    /// Returns the time by which the answer must be sent, slightly before the client gives up.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Waits for the final answer, at most until the deadline.
    pub async fn outcome(&mut self) -> ResponseOutcome {
        tokio::select! {
            biased;
            outcome = &mut self.answer_receiver => outcome.unwrap_or(ResponseOutcome::Failed),
            // Guards against a request that the scheduler has lost.
            () = self.exchange.deadlines.at(self.deadline) => {
                warn!("request {} got no answer from the scheduler by its deadline", self.id.0);
                ResponseOutcome::Failed
            }
        }
    }

    /// Gives the request up and returns its final answer: shed if no attempt of it was made, and failed if it may have run.
    pub fn withdraw(&mut self) -> ResponseOutcome {
        match self.exchange.withdraw(self.id) {
            Some(outcome) => outcome,
            // The answer was given before and has not been received yet.
            None => self.answer_receiver.try_recv().unwrap_or(ResponseOutcome::Failed),
        }
    }
}

impl<P> Drop for Ticket<P> {
    fn drop(&mut self) {
        self.exchange.abandon(self.id);
    }
}
