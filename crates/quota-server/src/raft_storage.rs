//! What a divider keeps on its disk: the log of the agreement, its vote and its last snapshot, by redb; each write is on the disk
//! before it is said to be.

use crate::clock::Clock;
use crate::raft::Types;
use openraft::storage::{LogFlushed, LogState, RaftLogStorage, RaftStateMachine, Snapshot};
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, RaftLogReader, RaftSnapshotBuilder, SnapshotMeta, StorageError,
    StorageIOError, StoredMembership, Vote,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shorepath_quota::allocator::{Allocator, StateSnapshot};
use std::fmt::Debug;
use std::io::Cursor;
use std::ops::RangeBounds;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// The format of what is kept; another one is refused.
const FORMAT: u32 = 1;

/// Why a divider's disk can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder or the file.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The database; among others where another process has it.
    #[error("{0}")]
    Database(#[from] redb::Error),
    /// What is kept there makes no sense.
    #[error("{0}")]
    Odd(#[from] serde_json::Error),
    /// It was written by another version of this program.
    #[error("it is kept in format {0}; this program has format {FORMAT}")]
    Format(u32),
}

macro_rules! from_redb {
    ($($kind:ident),*) => {$(
        impl From<redb::$kind> for StoreError {
            fn from(e: redb::$kind) -> Self {
                StoreError::Database(e.into())
            }
        }
    )*};
}
from_redb!(DatabaseError, TransactionError, TableError, StorageError, CommitError);

/// A divider's disk.
#[derive(Clone, Debug)]
pub struct Store {
    database: Arc<Database>,
}

impl Store {
    /// The one in that folder, made where there is none.
    ///
    /// # Errors
    /// It can't be read, another process has it, or another version wrote it.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder)?;
        let store = Store { database: Arc::new(Database::create(folder.join("divider.redb"))?) };
        match store.fact::<u32>("format")? {
            None => store.keep("format", &FORMAT)?,
            Some(FORMAT) => {}
            Some(other) => return Err(StoreError::Format(other)),
        }
        Ok(store)
    }

    /// Something that was kept under a name.
    ///
    /// # Errors
    /// It can't be read.
    pub fn fact<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, StoreError> {
        let read = self.database.begin_read()?;
        let table = match read.open_table(FACTS) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            table => table?,
        };
        let found = table.get(name)?;
        Ok(found.map(|v| serde_json::from_slice(v.value())).transpose()?)
    }

    /// Keep something under a name; it is on the disk when this returns.
    ///
    /// # Errors
    /// It can't be written.
    pub fn keep<T: Serialize>(&self, name: &str, what: &T) -> Result<(), StoreError> {
        self.change(|_, facts| {
            facts.insert(name, serde_json::to_vec(what)?.as_slice())?;
            Ok(())
        })
    }

    fn change(
        &self,
        what: impl FnOnce(&mut redb::Table<u64, &[u8]>, &mut redb::Table<&str, &[u8]>) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let write = self.database.begin_write()?;
        {
            let (mut log, mut facts) = (write.open_table(LOG)?, write.open_table(FACTS)?);
            what(&mut log, &mut facts)?;
        }
        write.commit()?;
        Ok(())
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<Types>>, StoreError> {
        let read = self.database.begin_read()?;
        let table = match read.open_table(LOG) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            table => table?,
        };
        let mut all = Vec::new();
        for found in table.range(range)? {
            all.push(serde_json::from_slice(found?.1.value())?);
        }
        Ok(all)
    }

    /// Where other threads write: the disk must not keep the sockets waiting.
    async fn aside<T: Send + 'static>(
        &self,
        what: impl FnOnce(&Store) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let store = self.clone();
        let done = tokio::task::spawn_blocking(move || what(&store)).await;
        done.unwrap_or_else(|e| Err(StoreError::Io(std::io::Error::other(e))))
    }
}

type Failed = StorageError<u64>;

fn reads(e: StoreError) -> Failed {
    StorageIOError::read_logs(&e).into()
}

fn writes(e: StoreError) -> Failed {
    StorageIOError::write_logs(&e).into()
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + Send>(
        &mut self,
        range: R,
    ) -> Result<Vec<Entry<Types>>, Failed> {
        self.entries(range).map_err(reads)
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, Failed> {
        let purged: Option<LogId<u64>> = self.fact("purged").map_err(reads)?;
        let last = || -> Result<Option<LogId<u64>>, StoreError> {
            let read = self.database.begin_read()?;
            let table = match read.open_table(LOG) {
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
                table => table?,
            };
            let Some((_, value)) = table.last()? else { return Ok(None) };
            let entry: Entry<Types> = serde_json::from_slice(value.value())?;
            Ok(Some(entry.log_id))
        };
        let last = last().map_err(reads)?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: last.or(purged) })
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), Failed> {
        let vote = *vote;
        self.aside(move |s| s.keep("vote", &vote)).await.map_err(writes)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, Failed> {
        self.fact("vote").map_err(reads)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), Failed>
    where
        I: IntoIterator<Item = Entry<Types>> + Send,
        I::IntoIter: Send,
    {
        let entries: Vec<Entry<Types>> = entries.into_iter().collect();
        let written = self
            .aside(move |s| {
                s.change(|log, _| {
                    for entry in &entries {
                        log.insert(entry.log_id.index, serde_json::to_vec(entry)?.as_slice())?;
                    }
                    Ok(())
                })
            })
            .await;
        match written {
            Ok(()) => {
                callback.log_io_completed(Ok(()));
                Ok(())
            }
            // A write that failed is never tried again as if it had worked: the agreement ends here.
            Err(e) => {
                callback.log_io_completed(Err(std::io::Error::other(e.to_string())));
                Err(writes(e))
            }
        }
    }

    async fn truncate(&mut self, log_id: LogId<u64>) -> Result<(), Failed> {
        let changed = self.aside(move |s| {
            s.change(|log, _| {
                log.retain_in(log_id.index.., |_, _| false)?;
                Ok(())
            })
        });
        changed.await.map_err(writes)
    }

    async fn purge(&mut self, log_id: LogId<u64>) -> Result<(), Failed> {
        let changed = self.aside(move |s| {
            s.change(|log, facts| {
                log.retain_in(..=log_id.index, |_, _| false)?;
                facts.insert("purged", serde_json::to_vec(&log_id)?.as_slice())?;
                Ok(())
            })
        });
        changed.await.map_err(writes)
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Shot {
    meta: SnapshotMeta<u64, BasicNode>,
    kept: StateSnapshot,
}

/// What the agreement is about, as this divider holds it.
#[derive(Debug)]
pub struct Machine {
    store: Store,
    clock: Clock,
    allocator: Arc<Mutex<Allocator>>,
    applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
}

impl Machine {
    /// The divider as its last snapshot left it; what came after is applied again.
    ///
    /// # Errors
    /// The snapshot can't be read.
    pub fn new(store: Store, clock: Clock, allocator: Arc<Mutex<Allocator>>) -> Result<Machine, StoreError> {
        let shot: Option<Shot> = store.fact("snapshot")?;
        let mut machine =
            Machine { store, clock, allocator, applied: None, membership: StoredMembership::default() };
        if let Some(shot) = shot {
            machine.go_on(&shot);
        }
        Ok(machine)
    }

    fn go_on(&mut self, shot: &Shot) {
        let now = self.clock.now();
        self.allocator().restore(&shot.kept, now);
        (self.applied, self.membership) = (shot.meta.last_log_id, shot.meta.last_membership.clone());
    }

    fn allocator(&self) -> MutexGuard<'_, Allocator> {
        // Whoever panicked with it has changed nothing by halves that counts: entries go in whole.
        self.allocator.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A snapshot that was taken between two entries, and is to be kept.
#[derive(Debug)]
pub struct Builder {
    store: Store,
    shot: Shot,
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, Failed> {
        let shot = self.shot.clone();
        let text = serde_json::to_vec(&shot.kept).map_err(|e| writes(e.into()))?;
        let meta = shot.meta.clone();
        self.store.aside(move |s| s.keep("snapshot", &shot)).await.map_err(writes)?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(text)) })
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Builder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), Failed> {
        Ok((self.applied, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<bool>, Failed>
    where
        I: IntoIterator<Item = Entry<Types>> + Send,
        I::IntoIter: Send,
    {
        let now = self.clock.now();
        let mut changed = Vec::new();
        for entry in entries {
            self.applied = Some(entry.log_id);
            changed.push(match entry.payload {
                EntryPayload::Blank => false,
                EntryPayload::Normal(entry) => self.allocator().apply(&entry, now),
                EntryPayload::Membership(m) => {
                    self.membership = StoredMembership::new(Some(entry.log_id), m);
                    true
                }
            });
        }
        Ok(changed)
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        let meta = SnapshotMeta {
            last_log_id: self.applied,
            last_membership: self.membership.clone(),
            snapshot_id: format!("{}", self.applied.map_or(0, |l| l.index)),
        };
        let kept = self.allocator().state().snapshot();
        Builder { store: self.store.clone(), shot: Shot { meta, kept } }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, Failed> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<u64, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), Failed> {
        let kept: StateSnapshot = serde_json::from_slice(snapshot.get_ref()).map_err(|e| reads(e.into()))?;
        let shot = Shot { meta: meta.clone(), kept };
        self.go_on(&shot);
        self.store.aside(move |s| s.keep("snapshot", &shot)).await.map_err(writes)
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, Failed> {
        let shot: Option<Shot> = self.store.fact("snapshot").map_err(reads)?;
        let Some(shot) = shot else { return Ok(None) };
        let text = serde_json::to_vec(&shot.kept).map_err(|e| reads(e.into()))?;
        Ok(Some(Snapshot { meta: shot.meta, snapshot: Box::new(Cursor::new(text)) }))
    }
}
