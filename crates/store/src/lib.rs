//! Persistent storage of a node, for installations with a disk.
//!
//! - **intents**: requests that must not run twice, committed before the first byte is sent to a server;
//! - **answers**: final answers, so that a repeated request gets the same answer, up to a limit of bytes;
//! - **facts**: other values, each under a name;
//! - **journals**: numbered records, each journal under a name, read by range and truncated from the start.
//!
//! The store is a `redb` database. Operations of a commit are applied atomically and are durable when [`Store::commit`] returns.
//! After a failed commit the content of the disk is unknown, so all further commits are rejected until [`Store::reopen`] and
//! [`Store::resume`]. A store that is opened on a full disk is readable and rejects commits in the same way. Each record has a
//! checksum, so that a flipped bit is detected and reported with its record.
//!
//! [`group_commit::GroupCommit`] combines concurrent commits; [`fault_injection::FaultyDisk`] is a disk for tests that loses and
//! tears writes and returns errors.

pub mod fault_injection;
pub mod group_commit;
mod overlay;

use redb::backends::FileBackend;
use redb::{
    Builder, Database, ReadTransaction, ReadableDatabase, ReadableTable, ReadableTableMetadata,
    StorageBackend, TableDefinition,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{PoisonError, RwLock};

const INTENTS: TableDefinition<&str, &[u8]> = TableDefinition::new("intents");
const ANSWERS: TableDefinition<&str, &[u8]> = TableDefinition::new("answers");
/// Answers in the order in which they were given; the value is the id of the request and the size of the record in bytes.
const ANSWER_ORDER: TableDefinition<u64, (&str, u64)> = TableDefinition::new("given");
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Records by journal and number.
const JOURNALS: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("journals");
/// Journal and record size, in bytes, of the write that checks for free space on the disk.
const CAPACITY_PROBE: (&str, usize) = ("room", 64 << 10);
/// Version of the storage format. A store in another format is rejected.
pub const FORMAT: u32 = 1;
/// Name of the database file in the store's folder.
pub const FILE: &str = "kept.redb";
/// Name of the database file until it is complete.
pub const TEMPORARY_FILE: &str = "kept.new";

/// Why a store can't be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("another process has the store open")]
    Locked,
    /// The store has another format than [`FORMAT`].
    #[error("the store has format {found}; this program supports format {FORMAT}")]
    Format {
        /// The format of the store.
        found: u32,
    },
    /// The stored data is corrupted; the text names the damaged record or describes the damage of the file.
    #[error("the stored data is damaged: {0}")]
    Damaged(String),
    /// The disk is full.
    #[error("the disk is full")]
    Full,
    /// The process has no permission to write the store.
    #[error("the process may not write to the store; check the owner and the mode of its files")]
    ReadOnly,
    /// An I/O error of the disk.
    #[error("the disk failed: {0}")]
    Disk(String),
    /// An earlier commit failed, so the content of the disk is unknown until [`Store::reopen`].
    #[error("an earlier write failed; the store has to be reopened")]
    ReopenRequired,
}

fn from_io_error(e: &std::io::Error) -> StoreError {
    match e.kind() {
        std::io::ErrorKind::StorageFull
        | std::io::ErrorKind::QuotaExceeded
        | std::io::ErrorKind::FileTooLarge => StoreError::Full,
        std::io::ErrorKind::PermissionDenied | std::io::ErrorKind::ReadOnlyFilesystem => StoreError::ReadOnly,
        std::io::ErrorKind::InvalidData => StoreError::Damaged(e.to_string()),
        _ => StoreError::Disk(e.to_string()),
    }
}

impl From<redb::Error> for StoreError {
    fn from(e: redb::Error) -> Self {
        match &e {
            redb::Error::DatabaseAlreadyOpen => StoreError::Locked,
            redb::Error::Corrupted(text) => StoreError::Damaged(text.clone()),
            redb::Error::Io(io) => from_io_error(io),
            _ => StoreError::Disk(e.to_string()),
        }
    }
}

macro_rules! from_redb {
    ($($kind:ident),*) => {$(
        impl From<redb::$kind> for StoreError {
            fn from(e: redb::$kind) -> Self {
                redb::Error::from(e).into()
            }
        }
    )*};
}
from_redb!(DatabaseError, TransactionError, TableError, StorageError, CommitError, SetDurabilityError);

/// A request that is about to be sent to a server and must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The class of the request.
    pub class: String,
    /// The object that the request changes or the idempotency key, if the request has one.
    pub key: Option<String>,
    /// The server that receives the request.
    pub server: String,
    /// The epoch under which the request is sent.
    pub epoch: u64,
    /// Time of the intent, in microseconds of Unix time by the node's clock.
    pub at: i64,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Body of the HTTP response to the client.
    pub body: Vec<u8>,
    /// Time of the answer, in microseconds of Unix time by the node's clock.
    pub at: i64,
}

/// An operation of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Stores an intent under the id of its request.
    AddIntent(String, Intent),
    /// Removes the intent of a request whose outcome is known.
    RemoveIntent(String),
    /// Stores the final answer under the id of its request.
    Answer(String, Answer),
    /// Stores a value under a name and replaces the earlier one.
    SetFact(String, Vec<u8>),
    /// Stores a record in a journal under a number that the caller assigns, and replaces an earlier record of this number.
    Append(String, u64, Vec<u8>),
    /// Removes the records of a journal below a number.
    TrimJournal(String, u64),
}

impl Op {
    /// Returns the operation that stores a value under a name, as JSON.
    ///
    /// # Panics
    /// The value can't be serialized as JSON. Structs, strings, numbers and maps with string or number keys can.
    pub fn set_fact<T: Serialize>(name: impl Into<String>, value: &T) -> Op {
        let json = serde_json::to_vec(value).expect("JSON writes structs, strings, numbers and maps");
        Op::SetFact(name.into(), json)
    }
}

/// Numbers of stored records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Intents whose outcome is unknown.
    pub intents: u64,
    /// Stored final answers.
    pub answers: u64,
    /// Stored facts, including the format.
    pub facts: u64,
}

/// The persistent store of a node.
pub struct Store {
    /// `None` only after a failed [`Store::reopen`].
    database: RwLock<Option<Database>>,
    /// The folder, or `None` for a store on another storage backend.
    folder: Option<PathBuf>,
    /// Maximum size of all answers; the oldest ones are evicted.
    max_answer_bytes: u64,
    /// Current size of all answers.
    answer_bytes: AtomicU64,
    reopen_required: AtomicBool,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").field("max_answer_bytes", &self.max_answer_bytes).finish()
    }
}

/// Encodes a value as JSON after its checksum.
fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    let text = serde_json::to_vec(value).map_err(|e| StoreError::Disk(e.to_string()))?;
    Ok([&crc32fast::hash(&text).to_be_bytes(), text.as_slice()].concat())
}

/// Decodes a value that [`encode`] has written.
///
/// # Errors
/// The record is damaged.
fn decode<T: DeserializeOwned>(table: &str, key: &str, record: &[u8]) -> Result<T, StoreError> {
    let damaged = |reason: &str| StoreError::Damaged(format!("{table} {key:?}: {reason}"));
    let (checksum, text) =
        record.split_first_chunk::<4>().ok_or_else(|| damaged("the record is too short"))?;
    if u32::from_be_bytes(*checksum) != crc32fast::hash(text) {
        return Err(damaged("the checksum does not match"));
    }
    serde_json::from_slice(text).map_err(|e| damaged(&e.to_string()))
}

/// Returns the checksum of a journal's record. It covers the journal and the number, so that a misplaced record is detected.
fn journal_checksum(journal: &str, number: u64, record: &[u8]) -> [u8; 4] {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(journal.as_bytes());
    checksum.update(&number.to_be_bytes());
    checksum.update(record);
    checksum.finalize().to_be_bytes()
}

/// Returns a table and opens it on first use, since each open table makes a commit more expensive.
fn table<'t, 'w, K: redb::Key, V: redb::Value>(
    slot: &'t mut Option<redb::Table<'w, K, V>>,
    write: &'w redb::WriteTransaction,
    definition: TableDefinition<'_, K, V>,
) -> Result<&'t mut redb::Table<'w, K, V>, StoreError> {
    let table = match slot.take() {
        Some(table) => table,
        None => write.open_table(definition)?,
    };
    Ok(slot.insert(table))
}

impl Store {
    /// Opens the store in a folder, and creates it if there is none. Answers take `max_answer_bytes` at most. On a full disk the store
    /// is readable and rejects commits ([`Store::accepts_commits`]) until [`Store::reopen`] and [`Store::resume`].
    ///
    /// # Errors
    /// Another process has the store open, it has another format, it is damaged, or the disk failed.
    pub fn open(folder: &Path, max_answer_bytes: u64) -> Result<Store, StoreError> {
        let store = Store::open_writable(folder, max_answer_bytes);
        let store = match store {
            Err(StoreError::Full) => Store::open_overlay(folder, max_answer_bytes)?,
            store => store?,
        };
        Ok(Store { folder: Some(folder.to_path_buf()), ..store })
    }

    fn open_writable(folder: &Path, max_answer_bytes: u64) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder).map_err(|e| from_io_error(&e))?;
        let file = folder.join(FILE);
        if !file.exists() {
            Store::create(folder, &file, max_answer_bytes)?;
        }
        Store::verified(Builder::new().create(file)?, max_answer_bytes)
    }

    /// Opens the store in a folder without writing to the disk.
    fn open_overlay(folder: &Path, max_answer_bytes: u64) -> Result<Store, StoreError> {
        let file = std::fs::OpenOptions::new().read(true).write(true).open(folder.join(FILE));
        let file = match file {
            Ok(file) => Some(FileBackend::new(file)?),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => None,
            Err(e) => return Err(from_io_error(&e)),
        };
        let overlay = overlay::Overlay::new(file).map_err(|e| from_io_error(&e))?;
        let store = Store::verified(Builder::new().create_with_backend(overlay)?, max_answer_bytes)?;
        store.reopen_required.store(true, Ordering::Release);
        Ok(store)
    }

    /// Opens the store again after a failed commit, or after it was opened on a full disk, and checks for free space. Commits are
    /// rejected until [`Store::resume`], so that the caller can compare its state with the disk first. Reads wait meanwhile.
    ///
    /// # Errors
    /// As for [`Store::open`], or the disk is still full. The call can be repeated, and the store stays readable if the disk is.
    pub fn reopen(&self) -> Result<(), StoreError> {
        let Some(folder) = &self.folder else { return Err(StoreError::ReopenRequired) };
        let mut database = self.database.write().unwrap_or_else(PoisonError::into_inner);
        self.reopen_required.store(true, Ordering::Release);
        // The database has to be closed first, since it can be open only once.
        *database = None;
        let open_with_capacity = || {
            let store = Store::open_writable(folder, self.max_answer_bytes)?;
            store.commit(&[Op::Append(CAPACITY_PROBE.0.to_string(), 0, vec![0; CAPACITY_PROBE.1])])?;
            store.commit(&[Op::TrimJournal(CAPACITY_PROBE.0.to_string(), 1)])?;
            Ok(store)
        };
        let opened = open_with_capacity();
        let (store, result) = match opened {
            Ok(store) => (store, Ok(())),
            Err(e) => (Store::open_overlay(folder, self.max_answer_bytes)?, Err(e)),
        };
        self.answer_bytes.store(store.answer_bytes.into_inner(), Ordering::Release);
        *database = store.database.into_inner().unwrap_or_else(PoisonError::into_inner);
        result
    }

    /// Accepts commits again after [`Store::reopen`].
    pub fn resume(&self) {
        self.reopen_required.store(false, Ordering::Release);
    }

    /// Returns whether commits are accepted: none has failed, and the disk was not full when the store was opened.
    pub fn accepts_commits(&self) -> bool {
        !self.reopen_required.load(Ordering::Acquire)
    }

    /// Creates an empty database under a temporary name and renames it, so that an interrupted creation leaves no incomplete file.
    fn create(folder: &Path, file: &Path, max_answer_bytes: u64) -> Result<(), StoreError> {
        let temporary = folder.join(TEMPORARY_FILE);
        match std::fs::remove_file(&temporary) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(from_io_error(&e)),
            _ => {}
        }
        drop(Store::verified(Builder::new().create(&temporary)?, max_answer_bytes)?);
        let renamed =
            std::fs::rename(&temporary, file).and_then(|()| std::fs::File::open(folder)?.sync_all());
        renamed.map_err(|e| from_io_error(&e))
    }

    /// Opens the store on a storage backend. An interrupted creation leaves a damaged store.
    ///
    /// # Errors
    /// See [`Store::open`].
    pub fn with_backend(disk: impl StorageBackend, max_answer_bytes: u64) -> Result<Store, StoreError> {
        Store::verified(Builder::new().create_with_backend(disk)?, max_answer_bytes)
    }

    fn verified(mut database: Database, max_answer_bytes: u64) -> Result<Store, StoreError> {
        // The library discards an incomplete transaction. The remaining data is checked completely once.
        database.check_integrity()?;
        let (answer_bytes, reopen_required) = (AtomicU64::new(0), AtomicBool::new(false));
        let store = Store {
            database: RwLock::new(Some(database)),
            folder: None,
            max_answer_bytes,
            answer_bytes,
            reopen_required,
        };
        store.answer_bytes.store(store.sum_answer_bytes()?, Ordering::Release);
        match store.fact::<u32>("format")? {
            None => store.commit(&[Op::SetFact("format".into(), FORMAT.to_string().into_bytes())])?,
            Some(FORMAT) => {}
            Some(found) => return Err(StoreError::Format { found }),
        }
        Ok(store)
    }

    /// Applies all operations atomically and durably.
    ///
    /// # Errors
    /// The write failed. Whether the operations are on the disk is unknown, and all further commits are rejected.
    pub fn commit(&self, ops: &[Op]) -> Result<(), StoreError> {
        if self.reopen_required.load(Ordering::Acquire) {
            return Err(StoreError::ReopenRequired);
        }
        self.write(ops).inspect_err(|_| self.reopen_required.store(true, Ordering::Release))
    }

    fn begin_read_transaction(&self) -> Result<ReadTransaction, StoreError> {
        let database = self.database.read().unwrap_or_else(PoisonError::into_inner);
        Ok(database.as_ref().ok_or(StoreError::ReopenRequired)?.begin_read()?)
    }

    /// Returns the size of all answers, in bytes.
    fn sum_answer_bytes(&self) -> Result<u64, StoreError> {
        let read = self.begin_read_transaction()?;
        let given = match read.open_table(ANSWER_ORDER) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(0),
            table => table?,
        };
        let mut answer_bytes = 0;
        for entry in given.iter()? {
            answer_bytes += entry?.1.value().1;
        }
        Ok(answer_bytes)
    }

    fn write(&self, ops: &[Op]) -> Result<(), StoreError> {
        let mut answer_bytes = self.answer_bytes.load(Ordering::Acquire);
        let database = self.database.read().unwrap_or_else(PoisonError::into_inner);
        let write = database.as_ref().ok_or(StoreError::ReopenRequired)?.begin_write()?;
        {
            let (mut intents, mut facts, mut answers, mut given, mut journals) =
                (None, None, None, None, None);
            for op in ops {
                match op {
                    Op::AddIntent(id, intent) => {
                        let intents = table(&mut intents, &write, INTENTS)?;
                        intents.insert(id.as_str(), encode(intent)?.as_slice())?;
                    }
                    Op::RemoveIntent(id) => drop(table(&mut intents, &write, INTENTS)?.remove(id.as_str())?),
                    Op::SetFact(name, bytes) => {
                        let checksum = crc32fast::hash(bytes).to_be_bytes();
                        let facts = table(&mut facts, &write, FACTS)?;
                        facts.insert(name.as_str(), [&checksum, bytes.as_slice()].concat().as_slice())?;
                    }
                    Op::Append(journal, number, record) => {
                        let checksum = journal_checksum(journal, *number, record);
                        let record = [&checksum, record.as_slice()].concat();
                        let journals = table(&mut journals, &write, JOURNALS)?;
                        journals.insert((journal.as_str(), *number), record.as_slice())?;
                    }
                    Op::TrimJournal(journal, below) => {
                        let name = journal.as_str();
                        let journals = table(&mut journals, &write, JOURNALS)?;
                        journals.retain_in((name, 0)..(name, *below), |_, _| false)?;
                    }
                    Op::Answer(id, answer) => {
                        let record = encode(answer)?;
                        let answers = table(&mut answers, &write, ANSWERS)?;
                        let was_known = answers.insert(id.as_str(), record.as_slice())?.is_some();
                        // A repeated answer keeps its place in the order of eviction.
                        if !was_known {
                            let given = table(&mut given, &write, ANSWER_ORDER)?;
                            let next = given.last()?.map_or(0, |(k, _)| k.value() + 1);
                            given.insert(next, (id.as_str(), record.len() as u64))?;
                            answer_bytes += record.len() as u64;
                        }
                    }
                }
            }
            // Evicts the oldest answers.
            while answer_bytes > self.max_answer_bytes {
                let Some((_, value)) = table(&mut given, &write, ANSWER_ORDER)?.pop_first()? else { break };
                let (id, size) = value.value();
                table(&mut answers, &write, ANSWERS)?.remove(id)?;
                answer_bytes -= size;
            }
        }
        write.commit()?;
        self.answer_bytes.store(answer_bytes, Ordering::Release);
        Ok(())
    }

    fn read_all<T: DeserializeOwned>(
        &self,
        table: TableDefinition<&str, &[u8]>,
        name: &str,
    ) -> Result<Vec<(String, T)>, StoreError> {
        let read = self.begin_read_transaction()?;
        let table = match read.open_table(table) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            table => table?,
        };
        let mut all = Vec::new();
        for entry in table.iter()? {
            let (key, record) = entry?;
            all.push((key.value().to_string(), decode(name, key.value(), record.value())?));
        }
        Ok(all)
    }

    fn read_one<T>(
        &self,
        table: TableDefinition<&str, &[u8]>,
        key: &str,
        read: impl FnOnce(&[u8]) -> Result<T, StoreError>,
    ) -> Result<Option<T>, StoreError> {
        let reading = self.begin_read_transaction()?;
        let table = match reading.open_table(table) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            table => table?,
        };
        table.get(key)?.map(|record| read(record.value())).transpose()
    }

    /// Returns all intents whose outcome is unknown, with the ids of their requests.
    ///
    /// # Errors
    /// A record is damaged, or the disk failed.
    pub fn intents(&self) -> Result<Vec<(String, Intent)>, StoreError> {
        self.read_all(INTENTS, "intent")
    }

    /// Returns the final answer to a request, or `None` if there is none or it was evicted.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn answer(&self, id: &str) -> Result<Option<Answer>, StoreError> {
        self.read_one(ANSWERS, id, |record| decode("answer", id, record))
    }

    /// Returns all stored final answers, with the ids of their requests.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn answers(&self) -> Result<Vec<(String, Answer)>, StoreError> {
        self.read_all(ANSWERS, "answer")
    }

    /// Returns the value under a name, or `None` if there is none.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn fact<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, StoreError> {
        self.read_one(FACTS, name, |record| decode("fact", name, record))
    }

    /// Returns the records of a journal from a number on, in ascending order with their numbers: as many as fit into `max_bytes`, but
    /// at least one if there is one.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn journal(
        &self,
        name: &str,
        from: u64,
        max_bytes: usize,
    ) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
        let read = self.begin_read_transaction()?;
        let table = match read.open_table(JOURNALS) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            table => table?,
        };
        let (mut all, mut bytes) = (Vec::new(), 0);
        for entry in table.range((name, from)..=(name, u64::MAX))? {
            let (key, record) = entry?;
            let number = key.value().1;
            let damaged = |reason: &str| StoreError::Damaged(format!("journal {name:?} {number}: {reason}"));
            let (found, record) =
                record.value().split_first_chunk::<4>().ok_or_else(|| damaged("the record is too short"))?;
            if *found != journal_checksum(name, number, record) {
                return Err(damaged("the checksum does not match"));
            }
            bytes += record.len();
            if bytes > max_bytes && !all.is_empty() {
                break;
            }
            all.push((number, record.to_vec()));
        }
        Ok(all)
    }

    /// Returns the first and the last number of a journal, or `None` if it is empty.
    ///
    /// # Errors
    /// The disk failed.
    pub fn journal_ends(&self, name: &str) -> Result<Option<(u64, u64)>, StoreError> {
        let read = self.begin_read_transaction()?;
        let table = match read.open_table(JOURNALS) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            table => table?,
        };
        let mut range = table.range((name, 0)..=(name, u64::MAX))?;
        let Some(first) = range.next().transpose()?.map(|(key, _)| key.value().1) else { return Ok(None) };
        let last = range.next_back().transpose()?.map_or(first, |(key, _)| key.value().1);
        Ok(Some((first, last)))
    }

    /// Returns the numbers of stored records.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn stats(&self) -> Result<Stats, StoreError> {
        let read = self.begin_read_transaction()?;
        let count = |table| -> Result<u64, StoreError> {
            match read.open_table(table) {
                Err(redb::TableError::TableDoesNotExist(_)) => Ok(0),
                table => Ok(table?.len()?),
            }
        };
        Ok(Stats { intents: count(INTENTS)?, answers: count(ANSWERS)?, facts: count(FACTS)? })
    }
}
