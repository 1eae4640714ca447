//! The storage of the replicated log: entries, vote and last snapshot, in a `redb` database. Each write is durable before it is
//! acknowledged.

use crate::clock::Clock;
use crate::raft::TypeConfig;
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
const METADATA: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// The version of the database's format; a database with another one is rejected.
const FORMAT: u32 = 1;

/// Reports a state folder that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder or the database file can't be accessed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The database failed, for example because another process has it open.
    #[error("{0}")]
    Database(#[from] redb::Error),
    /// A stored value is not valid.
    #[error("a stored value can't be decoded: {0}")]
    Decode(#[from] serde_json::Error),
    /// Another version of this program wrote the database.
    #[error(
        "the database has format {0}, this program needs format {FORMAT}; start the version that wrote it"
    )]
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

/// The database of an allocator.
#[derive(Clone, Debug)]
pub struct Store {
    database: Arc<Database>,
}

impl Store {
    /// Opens the database in this folder, and creates both where they don't exist.
    ///
    /// # Errors
    /// The database can't be read, another process has it open, or it has another format.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder)?;
        let store = Store { database: Arc::new(Database::create(folder.join("divider.redb"))?) };
        match store.read_value::<u32>("format")? {
            None => store.write_value("format", &FORMAT)?,
            Some(FORMAT) => {}
            Some(found) => return Err(StoreError::Format(found)),
        }
        Ok(store)
    }

    /// Returns the value of a name; `None` where nothing was written.
    ///
    /// # Errors
    /// The value can't be read or decoded.
    pub fn read_value<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, StoreError> {
        let read = self.database.begin_read()?;
        let table = match read.open_table(METADATA) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            table => table?,
        };
        let found = table.get(name)?;
        Ok(found.map(|v| serde_json::from_slice(v.value())).transpose()?)
    }

    /// Writes the value of a name; it is durable when this returns.
    ///
    /// # Errors
    /// The value can't be encoded or written.
    pub fn write_value<T: Serialize>(&self, name: &str, value: &T) -> Result<(), StoreError> {
        self.write_transaction(|_, metadata| {
            metadata.insert(name, serde_json::to_vec(value)?.as_slice())?;
            Ok(())
        })
    }

    /// Changes both tables in one transaction, which is durable when this returns.
    fn write_transaction(
        &self,
        operation: impl FnOnce(
            &mut redb::Table<u64, &[u8]>,
            &mut redb::Table<&str, &[u8]>,
        ) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let write = self.database.begin_write()?;
        {
            let (mut log, mut metadata) = (write.open_table(LOG)?, write.open_table(METADATA)?);
            operation(&mut log, &mut metadata)?;
        }
        write.commit()?;
        Ok(())
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<TypeConfig>>, StoreError> {
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

    /// Runs an operation on another thread, so that disk access does not block the event loop.
    async fn run_blocking<T: Send + 'static>(
        &self,
        operation: impl FnOnce(&Store) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let store = self.clone();
        let result = tokio::task::spawn_blocking(move || operation(&store)).await;
        result.unwrap_or_else(|e| Err(StoreError::Io(std::io::Error::other(e))))
    }
}

type RaftStorageError = StorageError<u64>;

fn read_error(e: StoreError) -> RaftStorageError {
    StorageIOError::read_logs(&e).into()
}

fn write_error(e: StoreError) -> RaftStorageError {
    StorageIOError::write_logs(&e).into()
}

impl RaftLogReader<TypeConfig> for Store {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + Send>(
        &mut self,
        range: R,
    ) -> Result<Vec<Entry<TypeConfig>>, RaftStorageError> {
        self.entries(range).map_err(read_error)
    }
}

impl RaftLogStorage<TypeConfig> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, RaftStorageError> {
        let purged: Option<LogId<u64>> = self.read_value("purged").map_err(read_error)?;
        let last = || -> Result<Option<LogId<u64>>, StoreError> {
            let read = self.database.begin_read()?;
            let table = match read.open_table(LOG) {
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
                table => table?,
            };
            let Some((_, value)) = table.last()? else { return Ok(None) };
            let entry: Entry<TypeConfig> = serde_json::from_slice(value.value())?;
            Ok(Some(entry.log_id))
        };
        let last = last().map_err(read_error)?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: last.or(purged) })
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), RaftStorageError> {
        let vote = *vote;
        self.run_blocking(move |s| s.write_value("vote", &vote)).await.map_err(write_error)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, RaftStorageError> {
        self.read_value("vote").map_err(read_error)
    }

    async fn append<I>(
        &mut self,
        entries: I,
        callback: LogFlushed<TypeConfig>,
    ) -> Result<(), RaftStorageError>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + Send,
        I::IntoIter: Send,
    {
        let entries: Vec<Entry<TypeConfig>> = entries.into_iter().collect();
        let written = self
            .run_blocking(move |s| {
                s.write_transaction(|log, _| {
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
            // A failed write may have left any part of the data, so it is not repeated: this replica stops.
            Err(e) => {
                callback.log_io_completed(Err(std::io::Error::other(e.to_string())));
                Err(write_error(e))
            }
        }
    }

    async fn truncate(&mut self, log_id: LogId<u64>) -> Result<(), RaftStorageError> {
        let changed = self.run_blocking(move |s| {
            s.write_transaction(|log, _| {
                log.retain_in(log_id.index.., |_, _| false)?;
                Ok(())
            })
        });
        changed.await.map_err(write_error)
    }

    async fn purge(&mut self, log_id: LogId<u64>) -> Result<(), RaftStorageError> {
        let changed = self.run_blocking(move |s| {
            s.write_transaction(|log, metadata| {
                log.retain_in(..=log_id.index, |_, _| false)?;
                metadata.insert("purged", serde_json::to_vec(&log_id)?.as_slice())?;
                Ok(())
            })
        });
        changed.await.map_err(write_error)
    }
}

/// A snapshot as it is stored in the database.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredSnapshot {
    meta: SnapshotMeta<u64, BasicNode>,
    #[serde(rename = "kept")]
    state: StateSnapshot,
}

/// The state machine of the replicated log: it applies entries to the allocator.
#[derive(Debug)]
pub struct StateMachine {
    store: Store,
    clock: Clock,
    allocator: Arc<Mutex<Allocator>>,
    applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
}

impl StateMachine {
    /// Restores the last snapshot; Raft applies the later entries again.
    ///
    /// # Errors
    /// The snapshot can't be read or decoded.
    pub fn new(
        store: Store,
        clock: Clock,
        allocator: Arc<Mutex<Allocator>>,
    ) -> Result<StateMachine, StoreError> {
        let snapshot: Option<StoredSnapshot> = store.read_value("snapshot")?;
        let mut machine =
            StateMachine { store, clock, allocator, applied: None, membership: StoredMembership::default() };
        if let Some(snapshot) = snapshot {
            machine.restore(&snapshot);
        }
        Ok(machine)
    }

    fn restore(&mut self, snapshot: &StoredSnapshot) {
        let now = self.clock.now();
        self.allocator().restore(&snapshot.state, now);
        (self.applied, self.membership) = (snapshot.meta.last_log_id, snapshot.meta.last_membership.clone());
    }

    fn allocator(&self) -> MutexGuard<'_, Allocator> {
        // A panic while the lock was held leaves no entry partly applied.
        self.allocator.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Writes a snapshot that was taken between two entries.
#[derive(Debug)]
pub struct SnapshotBuilder {
    store: Store,
    snapshot: StoredSnapshot,
}

impl RaftSnapshotBuilder<TypeConfig> for SnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, RaftStorageError> {
        let snapshot = self.snapshot.clone();
        let text = serde_json::to_vec(&snapshot.state).map_err(|e| write_error(e.into()))?;
        let meta = snapshot.meta.clone();
        self.store.run_blocking(move |s| s.write_value("snapshot", &snapshot)).await.map_err(write_error)?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(text)) })
    }
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = SnapshotBuilder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), RaftStorageError> {
        Ok((self.applied, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<bool>, RaftStorageError>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + Send,
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

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder {
        let meta = SnapshotMeta {
            last_log_id: self.applied,
            last_membership: self.membership.clone(),
            snapshot_id: format!("{}", self.applied.map_or(0, |l| l.index)),
        };
        let state = self.allocator().state().snapshot();
        SnapshotBuilder { store: self.store.clone(), snapshot: StoredSnapshot { meta, state } }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, RaftStorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<u64, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), RaftStorageError> {
        let state: StateSnapshot =
            serde_json::from_slice(snapshot.get_ref()).map_err(|e| read_error(e.into()))?;
        let snapshot = StoredSnapshot { meta: meta.clone(), state };
        self.restore(&snapshot);
        self.store.run_blocking(move |s| s.write_value("snapshot", &snapshot)).await.map_err(write_error)
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, RaftStorageError> {
        let snapshot: Option<StoredSnapshot> = self.store.read_value("snapshot").map_err(read_error)?;
        let Some(snapshot) = snapshot else { return Ok(None) };
        let text = serde_json::to_vec(&snapshot.state).map_err(|e| read_error(e.into()))?;
        Ok(Some(Snapshot { meta: snapshot.meta, snapshot: Box::new(Cursor::new(text)) }))
    }
}
