//! Final answers of jobs that must not run twice, on the disk before their clients have them: a repeat of the key gets the same one.

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

/// A client waits no longer than this for its answer to be on the disk: it then has it, and a repeat of the key is told that it was served.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Nor than this after the client's own time: an answer that comes half a second late is lost, and it still has to arrive.
const LATE: Duration = Duration::from_millis(300);

/// The answers that are kept.
#[derive(Debug)]
pub struct Answers {
    store: Arc<Store>,
    group_commit: Arc<GroupCommit>,
    /// A body that is kept is no longer than this, in bytes.
    longest: u64,
}

/// An answer on its way to the disk.
#[derive(Debug)]
pub struct PendingAnswer(oneshot::Receiver<()>);

impl PendingAnswer {
    /// Ready once it is there, or for good is not, or after a time; the client's own is up then.
    pub async fn stored(self, deadlines: &Rc<Deadlines>, up: Instant) {
        tokio::select! {
            biased;
            _ = self.0 => {}
            () = deadlines.at((Instant::now() + TIMEOUT).min(up + LATE)) => warn!("an answer is sent before it is on the disk, which takes too long"),
        }
    }
}

/// Answers are one tenant's, whoever else uses the same key.
fn name(class: &str, tenant: Option<&str>, key: &str) -> String {
    serde_json::to_string(&(class, tenant, key)).expect("JSON writes strings")
}

impl Answers {
    /// Those in that store.
    pub fn new(store: Arc<Store>, group_commit: Arc<GroupCommit>, clause: &RecoveryConfig) -> Answers {
        Answers { store, group_commit, longest: clause.answer }
    }

    /// The status and the body that were given, where they are still kept.
    pub fn get(&self, class: &str, tenant: Option<&str>, key: &str) -> Option<(u16, Vec<u8>)> {
        match self.store.answer(&name(class, tenant, key)) {
            Ok(found) => found.map(|a| (a.status, a.body)),
            Err(e) => {
                warn!("an answer that was kept can't be read: {e}");
                None
            }
        }
    }

    /// Keep that one, given at a Unix time; nothing of one that is too long. The first one for a key stays.
    pub fn put(
        &self,
        (class, tenant, key): (&str, Option<&str>, &str),
        (status, body): (u16, &[u8]),
        at: Micros,
    ) -> Option<PendingAnswer> {
        if body.len() as u64 > self.longest {
            return None;
        }
        let answer = Answer { status, body: body.to_vec(), at };
        let (done, kept) = oneshot::channel();
        self.group_commit.commit(vec![Op::Answer(name(class, tenant, key), answer)], move |written| {
            if let Err(e) = written {
                warn!("an answer is not kept: {e}");
            }
            // Its client may have gone.
            let _ = done.send(());
        });
        Some(PendingAnswer(kept))
    }
}
