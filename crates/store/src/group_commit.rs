//! Group commit: one thread writes to the store, and commits that are requested during a write are combined into the next one. This
//! spreads the latency of the disk over many concurrent requests.

use crate::{Op, Store, StoreError};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Number of operations at which a group is full.
const MAX_GROUP_OPS: usize = 512;

type Callback = Box<dyn FnOnce(Result<(), Arc<StoreError>>) + Send>;

/// A request to the committing thread.
enum Request {
    Commit(Vec<Op>, Callback),
    Reopen(Callback),
    Resume(Vec<Op>, Callback),
}

/// Commits in groups, in the order of the requests. Dropping it waits until all requests are done.
pub struct GroupCommit {
    requests: Option<Sender<Request>>,
    thread: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for GroupCommit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GroupCommit").finish()
    }
}

fn run(store: &Store, receiver: &Receiver<Request>) {
    let mut next = None;
    while let Some(request) = next.take().or_else(|| receiver.recv().ok()) {
        let (mut ops, done) = match request {
            Request::Commit(ops, done) => (ops, done),
            Request::Reopen(done) => {
                done(store.reopen().map_err(Arc::new));
                continue;
            }
            Request::Resume(ops, done) => {
                store.resume();
                done(store.commit(&ops).map_err(Arc::new));
                continue;
            }
        };
        let mut group = vec![done];
        while ops.len() < MAX_GROUP_OPS {
            match receiver.try_recv() {
                Ok(Request::Commit(more, done)) => {
                    ops.extend(more);
                    group.push(done);
                }
                other => {
                    next = other.ok();
                    break;
                }
            }
        }
        let done = store.commit(&ops).map_err(Arc::new);
        group.into_iter().for_each(|reply| reply(done.clone()));
    }
}

impl GroupCommit {
    /// Starts the thread that commits to a store.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn new(store: Arc<Store>) -> std::io::Result<GroupCommit> {
        let (requests, receiver) = channel();
        let thread =
            std::thread::Builder::new().name("store".into()).spawn(move || run(&store, &receiver))?;
        Ok(GroupCommit { requests: Some(requests), thread: Some(thread) })
    }

    fn send(&self, request: Request) {
        let sent = self.requests.as_ref().map(|requests| requests.send(request));
        // The thread has ended only if it panicked.
        if let Some(Err(unsent)) = sent {
            let (Request::Commit(_, done) | Request::Reopen(done) | Request::Resume(_, done)) = unsent.0;
            done(Err(Arc::new(StoreError::ReopenRequired)));
        }
    }

    /// Commits operations. The thread calls `done` with the result once they are durable or have failed.
    pub fn commit(&self, ops: Vec<Op>, done: impl FnOnce(Result<(), Arc<StoreError>>) + Send + 'static) {
        self.send(Request::Commit(ops, Box::new(done)));
    }

    /// Calls [`Store::reopen`]. Later commits are rejected until [`GroupCommit::resume`].
    pub fn reopen(&self, done: impl FnOnce(Result<(), Arc<StoreError>>) + Send + 'static) {
        self.send(Request::Reopen(Box::new(done)));
    }

    /// Accepts commits again, starting with these operations. Commits that were requested earlier are rejected, and later ones follow.
    pub fn resume(&self, ops: Vec<Op>, done: impl FnOnce(Result<(), Arc<StoreError>>) + Send + 'static) {
        self.send(Request::Resume(ops, Box::new(done)));
    }
}

impl Drop for GroupCommit {
    fn drop(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
