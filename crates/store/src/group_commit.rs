//! One thread that commits what many ask for at once: while one commit is on its way to the disk the next ones gather, and go
//! together. So a commit that takes long costs each of many little.

use crate::{Op, Store, StoreError};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Changes that go together at most.
const MOST: usize = 512;

type Done = Box<dyn FnOnce(Result<(), Arc<StoreError>>) + Send>;

/// What it is asked for.
enum Ask {
    Commit(Vec<Op>, Done),
    Reopen(Done),
    Resume(Vec<Op>, Done),
}

/// Commits in groups, in the order in which it was asked. It ends with this, after what it was asked for.
pub struct GroupCommit {
    asks: Option<Sender<Ask>>,
    thread: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for GroupCommit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keeper").finish()
    }
}

fn work(store: &Store, asked: &Receiver<Ask>) {
    let mut next = None;
    while let Some(ask) = next.take().or_else(|| asked.recv().ok()) {
        let (mut ops, done) = match ask {
            Ask::Commit(ops, done) => (ops, done),
            Ask::Reopen(done) => {
                done(store.reopen().map_err(Arc::new));
                continue;
            }
            Ask::Resume(ops, done) => {
                store.resume();
                done(store.commit(&ops).map_err(Arc::new));
                continue;
            }
        };
        let mut group = vec![done];
        while ops.len() < MOST {
            match asked.try_recv() {
                Ok(Ask::Commit(more, done)) => {
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
    /// One that commits to that store.
    ///
    /// # Errors
    /// There is no thread to be had.
    pub fn new(store: Arc<Store>) -> std::io::Result<GroupCommit> {
        let (asks, asked) = channel();
        let thread = std::thread::Builder::new().name("store".into()).spawn(move || work(&store, &asked))?;
        Ok(GroupCommit { asks: Some(asks), thread: Some(thread) })
    }

    fn ask(&self, ask: Ask) {
        let asked = self.asks.as_ref().map(|asks| asks.send(ask));
        // Its thread ends before this only by a panic.
        if let Some(Err(unsent)) = asked {
            let (Ask::Commit(_, done) | Ask::Reopen(done) | Ask::Resume(_, done)) = unsent.0;
            done(Err(Arc::new(StoreError::ReopenRequired)));
        }
    }

    /// Have that on the disk; `done` is told from the keeper's thread once it is, or why it is not.
    pub fn commit(&self, ops: Vec<Op>, done: impl FnOnce(Result<(), Arc<StoreError>>) + Send + 'static) {
        self.ask(Ask::Commit(ops, Box::new(done)));
    }

    /// See [`Store::reopen`]: all that is asked for from now on is refused until [`GroupCommit::resume`].
    pub fn reopen(&self, done: impl FnOnce(Result<(), Arc<StoreError>>) + Send + 'static) {
        self.ask(Ask::Reopen(Box::new(done)));
    }

    /// Take commits again, those first: what was asked for before is refused, and what is asked for afterwards comes after them.
    pub fn resume(&self, ops: Vec<Op>, done: impl FnOnce(Result<(), Arc<StoreError>>) + Send + 'static) {
        self.ask(Ask::Resume(ops, Box::new(done)));
    }
}

impl Drop for GroupCommit {
    fn drop(&mut self) {
        self.asks = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
