//! Stores the final answers of requests that must run at most once before clients get them, so that a repeat of the idempotency
//! key gets the same answer.

use super::deadlines::Deadlines;
use shorepath_quota::Micros;
use shorepath_sites::recovery_config::RecoveryConfig;
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Answer, Op, Store};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tracing::warn;

/// Longest wait for an answer to be stored. The client then gets it anyway; a repeat of the key learns only that it was served.
const MAX_WRITE_WAIT: Duration = Duration::from_secs(2);
/// Longest wait past the client's deadline. An answer that arrives half a second late is lost, and it still has to travel.
const MAX_DELAY_PAST_DEADLINE: Duration = Duration::from_millis(300);

/// Stored final answers.
#[derive(Debug)]
pub struct Answers {
    store: Arc<Store>,
    group_commit: Arc<GroupCommit>,
    /// Longest body that is stored, in bytes.
    max_body_bytes: u64,
}

/// An answer whose write is in progress.
#[derive(Debug)]
pub struct PendingAnswer(oneshot::Receiver<()>);

impl PendingAnswer {
    /// Waits until the answer is stored or its write has failed, for at most 2 s and no longer than 300 ms past `deadline`.
    pub async fn stored(self, deadlines: &Rc<Deadlines>, deadline: Instant) {
        tokio::select! {
            biased;
            _ = self.0 => {}
            () = deadlines.at((Instant::now() + MAX_WRITE_WAIT).min(deadline + MAX_DELAY_PAST_DEADLINE)) => warn!("storing an answer takes too long; sending it before it is on the disk"),
        }
    }
}

/// Returns the storage key of an answer. Tenants that use the same idempotency key don't share answers.
fn answer_key(class: &str, tenant: Option<&str>, key: &str) -> String {
    serde_json::to_string(&(class, tenant, key)).expect("JSON writes strings")
}

impl Answers {
    /// Opens the answers in `store`.
    pub fn new(store: Arc<Store>, group_commit: Arc<GroupCommit>, clause: &RecoveryConfig) -> Answers {
        Answers { store, group_commit, max_body_bytes: clause.answer }
    }

    /// Returns the status and body of a stored answer; `None` if there is none or it can't be read.
    pub fn get(&self, class: &str, tenant: Option<&str>, key: &str) -> Option<(u16, Vec<u8>)> {
        match self.store.answer(&answer_key(class, tenant, key)) {
            Ok(found) => found.map(|a| (a.status, a.body)),
            Err(e) => {
                warn!("a stored answer can't be read: {e}");
                None
            }
        }
    }

    /// Starts storing an answer that was given at the Unix time `at`. `None` if its body is too long. The first answer for a key
    /// stays.
    pub fn put(
        &self,
        (class, tenant, key): (&str, Option<&str>, &str),
        (status, body): (u16, &[u8]),
        at: Micros,
    ) -> Option<PendingAnswer> {
        if body.len() as u64 > self.max_body_bytes {
            return None;
        }
        let answer = Answer { status, body: body.to_vec(), at };
        let (stored_sender, stored) = oneshot::channel();
        self.group_commit.commit(vec![Op::Answer(answer_key(class, tenant, key), answer)], move |written| {
            if let Err(e) = written {
                warn!("an answer could not be stored: {e}");
            }
            // The client may have disconnected.
            let _ = stored_sender.send(());
        });
        Some(PendingAnswer(stored))
    }
}
