//! A request that waits for its answer.

use super::types::ResponseOutcome;
use super::Exchange;
use shorepath_scheduler::RequestId;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tracing::warn;

/// A request that was taken.
#[derive(Debug)]
pub struct Ticket<P> {
    pub(super) exchange: Rc<Exchange<P>>,
    pub(super) id: RequestId,
    pub(super) answered: oneshot::Receiver<ResponseOutcome>,
    pub(super) overdue: Instant,
}

impl<P> Ticket<P> {
    /// Whether it was turned away at once: its answer is there already.
    pub fn is_answered(&self) -> bool {
        !self.exchange.inner.borrow().open.contains_key(&self.id)
    }

    /// When its client's time is up, less what an answer needs to arrive.
    pub fn overdue(&self) -> Instant {
        self.overdue
    }

    /// Its final answer, in time.
    pub async fn outcome(&mut self) -> ResponseOutcome {
        tokio::select! {
            biased;
            outcome = &mut self.answered => outcome.unwrap_or(ResponseOutcome::Failed),
            // Guards against a request that the module has lost: the client is answered all the same.
            () = self.exchange.deadlines.at(self.overdue) => {
                warn!("request {} was overdue", self.id.0);
                ResponseOutcome::Failed
            }
        }
    }
}

impl<P> Drop for Ticket<P> {
    fn drop(&mut self) {
        self.exchange.abandon(self.id);
    }
}
