//! What a node keeps on its disk, for installations that have one.
//!
//! - **intents**: what is about to be done and must not be done twice, on the disk before the first byte of a send;
//! - **answers**: final answers that were given, so that each keeps being the one, within a stated memory;
//! - **facts**: whatever else is to be remembered, each under a name;
//! - **journals**: records in the order of their numbers, each journal under a name, read by range and dropped from below.
//!
//! The file is `redb`'s (why: `docs/design/recovery.md`). Ops are committed together or not at all, and are on the disk when
//! [`Store::commit`] returns. After a commit that failed nothing more is taken: what the disk holds is not known until it is
//! opened again ([`Store::reopen`]). One that is opened on a full disk can be read, and takes nothing until then either. Each record carries a checksum of its own, so that a flipped bit is found and named.
//!
//! [`group_commit::GroupCommit`] commits what many ask for at once; [`fault_injection::FaultyDisk`] is a disk that loses, tears and refuses on purpose.

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
/// Answers in the order in which they were given; the value is the id and the record's size.
const GIVEN: TableDefinition<u64, (&str, u64)> = TableDefinition::new("given");
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Records by journal and number.
const JOURNALS: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("journals");
/// What is written to see whether there is room: that journal, with a record of so many bytes.
const CAPACITY: (&str, usize) = ("room", 64 << 10);
/// The format of what is kept. Another one is refused, not guessed at.
pub const FORMAT: u32 = 1;
/// The name of the file in the store's folder.
pub const FILE: &str = "kept.redb";
/// Its name while it is made.
pub const TEMPORARY_FILE: &str = "kept.new";

/// Why a store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has it.
    #[error("another process has it")]
    Locked,
    /// It was written in another format.
    #[error("it is kept in format {found}; this program has format {FORMAT}")]
    Format {
        /// Its format.
        found: u32,
    },
    /// What is kept was changed by something else than this program; which record, or that it is the file as a whole.
    #[error("what is kept is damaged: {0}")]
    Damaged(String),
    /// There is no room on the disk.
    #[error("the disk is full")]
    Full,
    /// It may only be read.
    #[error("it may not be written")]
    ReadOnly,
    /// The disk failed.
    #[error("the disk failed: {0}")]
    Disk(String),
    /// An earlier commit failed: what the disk holds is not known until it is opened again.
    #[error("an earlier write failed; it has to be opened again")]
    ReopenRequired,
}

fn of_io(e: &std::io::Error) -> StoreError {
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
            redb::Error::Io(io) => of_io(io),
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

/// What is about to be done, and must not be done twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The class.
    pub class: String,
    /// What it is about, or what repeats are known by, where the request says so.
    pub key: Option<String>,
    /// The server that it is sent to.
    pub server: String,
    /// The epoch under which it is sent.
    pub epoch: u64,
    /// When, in microseconds of Unix time by the node's clock.
    pub at: i64,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// When it was given, in microseconds of Unix time by the node's clock.
    pub at: i64,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// That request is about to be sent.
    AddIntent(String, Intent),
    /// What became of it is known: it is not open any more.
    RemoveIntent(String),
    /// That request has its final answer.
    Answer(String, Answer),
    /// Remember that under that name; nothing is kept of what was there.
    SetFact(String, Vec<u8>),
    /// Keep that record in that journal under that number; whoever writes the journal counts, and a record of that number gives way.
    Append(String, u64, Vec<u8>),
    /// Nothing of that journal below that number is needed any more.
    Drop(String, u64),
}

impl Op {
    /// Remember a value under a name, as JSON.
    ///
    /// # Panics
    /// JSON can't write the value. It can write structs, strings, numbers and maps with keys that are one of these.
    pub fn set_fact<T: Serialize>(name: impl Into<String>, value: &T) -> Op {
        let json = serde_json::to_vec(value).expect("JSON writes structs, strings, numbers and maps");
        Op::SetFact(name.into(), json)
    }
}

/// How much is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Open intents.
    pub intents: u64,
    /// Final answers.
    pub answers: u64,
    /// Facts.
    pub facts: u64,
}

/// A node's store.
pub struct Store {
    /// None only where it could not be opened again.
    database: RwLock<Option<Database>>,
    /// Where it is; none for one on a disk of another kind.
    folder: Option<PathBuf>,
    /// Answers hold this much at most, in bytes; the oldest give way.
    most: u64,
    /// What they hold now, in bytes.
    held: AtomicU64,
    unsure: AtomicBool,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").field("most", &self.most).finish()
    }
}

/// A record with its checksum before it.
fn sealed<T: Serialize>(what: &T) -> Result<Vec<u8>, StoreError> {
    let text = serde_json::to_vec(what).map_err(|e| StoreError::Disk(e.to_string()))?;
    Ok([&crc32fast::hash(&text).to_be_bytes(), text.as_slice()].concat())
}

fn opened<T: DeserializeOwned>(table: &str, key: &str, record: &[u8]) -> Result<T, StoreError> {
    let damaged = |why: &str| StoreError::Damaged(format!("{table} {key:?}: {why}"));
    let (sum, text) = record.split_first_chunk::<4>().ok_or_else(|| damaged("too short"))?;
    if u32::from_be_bytes(*sum) != crc32fast::hash(text) {
        return Err(damaged("its checksum does not fit"));
    }
    serde_json::from_slice(text).map_err(|e| damaged(&e.to_string()))
}

/// The checksum of a journal's record: over where it stands, too, so that one in another's place is found.
fn sum(journal: &str, number: u64, record: &[u8]) -> [u8; 4] {
    let mut sum = crc32fast::Hasher::new();
    sum.update(journal.as_bytes());
    sum.update(&number.to_be_bytes());
    sum.update(record);
    sum.finalize().to_be_bytes()
}

/// A table, opened when it is first wanted: a commit costs more with each that is open.
fn table<'t, 'w, K: redb::Key, V: redb::Value>(
    slot: &'t mut Option<redb::Table<'w, K, V>>,
    write: &'w redb::WriteTransaction,
    of: TableDefinition<'_, K, V>,
) -> Result<&'t mut redb::Table<'w, K, V>, StoreError> {
    let table = match slot.take() {
        Some(table) => table,
        None => write.open_table(of)?,
    };
    Ok(slot.insert(table))
}

impl Store {
    /// The one in that folder, made where there is none; answers hold `most` bytes at most. On a full disk it can be read as it is, and takes
    /// nothing ([`Store::accepts_commits`]) before [`Store::reopen`].
    ///
    /// # Errors
    /// Another process has it, another version wrote it, it is damaged, or the disk fails otherwise.
    pub fn open(folder: &Path, most: u64) -> Result<Store, StoreError> {
        let store = Store::writable(folder, most);
        let store = match store {
            Err(StoreError::Full) => Store::overlay(folder, most)?,
            store => store?,
        };
        Ok(Store { folder: Some(folder.to_path_buf()), ..store })
    }

    fn writable(folder: &Path, most: u64) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder).map_err(|e| of_io(&e))?;
        let file = folder.join(FILE);
        if !file.exists() {
            Store::make(folder, &file, most)?;
        }
        Store::checked(Builder::new().create(file)?, most)
    }

    /// What is in that folder, read and never written.
    fn overlay(folder: &Path, most: u64) -> Result<Store, StoreError> {
        let file = std::fs::OpenOptions::new().read(true).write(true).open(folder.join(FILE));
        let file = match file {
            Ok(file) => Some(FileBackend::new(file)?),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => None,
            Err(e) => return Err(of_io(&e)),
        };
        let overlay = overlay::Overlay::new(file).map_err(|e| of_io(&e))?;
        let store = Store::checked(Builder::new().create_with_backend(overlay)?, most)?;
        store.unsure.store(true, Ordering::Release);
        Ok(store)
    }

    /// Open it again after a commit that failed, or on a disk that was full, and see whether there is room. It goes on taking nothing
    /// until [`Store::resume`]: whoever keeps something in it has to look first what the disk has. Meanwhile reads wait; it reads all.
    ///
    /// # Errors
    /// As [`Store::open`], or the disk is still full; it can be read as before, and tried again.
    pub fn reopen(&self) -> Result<(), StoreError> {
        let Some(folder) = &self.folder else { return Err(StoreError::ReopenRequired) };
        let mut held = self.database.write().unwrap_or_else(PoisonError::into_inner);
        self.unsure.store(true, Ordering::Release);
        // Closed first: nobody may have it twice.
        *held = None;
        let capacity = || {
            let store = Store::writable(folder, self.most)?;
            store.commit(&[Op::Append(CAPACITY.0.to_string(), 0, vec![0; CAPACITY.1])])?;
            store.commit(&[Op::Drop(CAPACITY.0.to_string(), 1)])?;
            Ok(store)
        };
        let opened = capacity();
        let (store, done) = match opened {
            Ok(store) => (store, Ok(())),
            Err(e) => (Store::overlay(folder, self.most)?, Err(e)),
        };
        self.held.store(store.held.into_inner(), Ordering::Release);
        *held = store.database.into_inner().unwrap_or_else(PoisonError::into_inner);
        done
    }

    /// Take commits again after [`Store::reopen`].
    pub fn resume(&self) {
        self.unsure.store(false, Ordering::Release);
    }

    /// Whether it takes commits: none has failed, and the disk was not full as it was opened.
    pub fn accepts_commits(&self) -> bool {
        !self.unsure.load(Ordering::Acquire)
    }

    /// Make an empty one beside its place, whole, and put it there: one that was cut off while it was made has never been.
    fn make(folder: &Path, file: &Path, most: u64) -> Result<(), StoreError> {
        let draft = folder.join(TEMPORARY_FILE);
        match std::fs::remove_file(&draft) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(of_io(&e)),
            _ => {}
        }
        drop(Store::checked(Builder::new().create(&draft)?, most)?);
        let done = std::fs::rename(&draft, file).and_then(|()| std::fs::File::open(folder)?.sync_all());
        done.map_err(|e| of_io(&e))
    }

    /// The one on that disk. One that was cut off while it was made is damaged.
    ///
    /// # Errors
    /// See [`Store::open`].
    pub fn with_backend(disk: impl StorageBackend, most: u64) -> Result<Store, StoreError> {
        Store::checked(Builder::new().create_with_backend(disk)?, most)
    }

    fn checked(mut database: Database, most: u64) -> Result<Store, StoreError> {
        // A tail that was torn is cut by the library; what is left is read whole once, so that nothing is believed unseen.
        database.check_integrity()?;
        let (held, unsure) = (AtomicU64::new(0), AtomicBool::new(false));
        let store = Store { database: RwLock::new(Some(database)), folder: None, most, held, unsure };
        store.held.store(store.count()?, Ordering::Release);
        match store.fact::<u32>("format")? {
            None => store.commit(&[Op::SetFact("format".into(), FORMAT.to_string().into_bytes())])?,
            Some(FORMAT) => {}
            Some(found) => return Err(StoreError::Format { found }),
        }
        Ok(store)
    }

    /// Have all of that on the disk, or nothing.
    ///
    /// # Errors
    /// It could not be written. Whether it is on the disk is not known then, and nothing more is taken.
    pub fn commit(&self, ops: &[Op]) -> Result<(), StoreError> {
        if self.unsure.load(Ordering::Acquire) {
            return Err(StoreError::ReopenRequired);
        }
        self.write(ops).inspect_err(|_| self.unsure.store(true, Ordering::Release))
    }

    fn reading(&self) -> Result<ReadTransaction, StoreError> {
        let held = self.database.read().unwrap_or_else(PoisonError::into_inner);
        Ok(held.as_ref().ok_or(StoreError::ReopenRequired)?.begin_read()?)
    }

    /// What answers hold.
    fn count(&self) -> Result<u64, StoreError> {
        let read = self.reading()?;
        let given = match read.open_table(GIVEN) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(0),
            table => table?,
        };
        let mut held = 0;
        for entry in given.iter()? {
            held += entry?.1.value().1;
        }
        Ok(held)
    }

    fn write(&self, ops: &[Op]) -> Result<(), StoreError> {
        let mut held = self.held.load(Ordering::Acquire);
        let database = self.database.read().unwrap_or_else(PoisonError::into_inner);
        let write = database.as_ref().ok_or(StoreError::ReopenRequired)?.begin_write()?;
        {
            let (mut intents, mut facts, mut answers, mut given, mut journals) =
                (None, None, None, None, None);
            for op in ops {
                match op {
                    Op::AddIntent(id, intent) => {
                        let intents = table(&mut intents, &write, INTENTS)?;
                        intents.insert(id.as_str(), sealed(intent)?.as_slice())?;
                    }
                    Op::RemoveIntent(id) => drop(table(&mut intents, &write, INTENTS)?.remove(id.as_str())?),
                    Op::SetFact(name, bytes) => {
                        let sum = crc32fast::hash(bytes).to_be_bytes();
                        let facts = table(&mut facts, &write, FACTS)?;
                        facts.insert(name.as_str(), [&sum, bytes.as_slice()].concat().as_slice())?;
                    }
                    Op::Append(journal, number, record) => {
                        let sum = sum(journal, *number, record);
                        let record = [&sum, record.as_slice()].concat();
                        let journals = table(&mut journals, &write, JOURNALS)?;
                        journals.insert((journal.as_str(), *number), record.as_slice())?;
                    }
                    Op::Drop(journal, below) => {
                        let name = journal.as_str();
                        let journals = table(&mut journals, &write, JOURNALS)?;
                        journals.retain_in((name, 0)..(name, *below), |_, _| false)?;
                    }
                    Op::Answer(id, answer) => {
                        let record = sealed(answer)?;
                        let answers = table(&mut answers, &write, ANSWERS)?;
                        let before = answers.insert(id.as_str(), record.as_slice())?.is_some();
                        // Given again it stays in its place: the first one is the one.
                        if !before {
                            let given = table(&mut given, &write, GIVEN)?;
                            let next = given.last()?.map_or(0, |(k, _)| k.value() + 1);
                            given.insert(next, (id.as_str(), record.len() as u64))?;
                            held += record.len() as u64;
                        }
                    }
                }
            }
            // The oldest answers give way.
            while held > self.most {
                let Some((_, value)) = table(&mut given, &write, GIVEN)?.pop_first()? else { break };
                let (id, size) = value.value();
                table(&mut answers, &write, ANSWERS)?.remove(id)?;
                held -= size;
            }
        }
        write.commit()?;
        self.held.store(held, Ordering::Release);
        Ok(())
    }

    fn all<T: DeserializeOwned>(
        &self,
        table: TableDefinition<&str, &[u8]>,
        name: &str,
    ) -> Result<Vec<(String, T)>, StoreError> {
        let read = self.reading()?;
        let table = match read.open_table(table) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            table => table?,
        };
        let mut all = Vec::new();
        for entry in table.iter()? {
            let (key, record) = entry?;
            all.push((key.value().to_string(), opened(name, key.value(), record.value())?));
        }
        Ok(all)
    }

    fn one<T>(
        &self,
        table: TableDefinition<&str, &[u8]>,
        key: &str,
        read: impl FnOnce(&[u8]) -> Result<T, StoreError>,
    ) -> Result<Option<T>, StoreError> {
        let reading = self.reading()?;
        let table = match reading.open_table(table) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            table => table?,
        };
        table.get(key)?.map(|record| read(record.value())).transpose()
    }

    /// All that was about to be done and is not settled.
    ///
    /// # Errors
    /// A record is damaged, or the disk fails.
    pub fn intents(&self) -> Result<Vec<(String, Intent)>, StoreError> {
        self.all(INTENTS, "intent")
    }

    /// The final answer of a request, where it is still remembered.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn answer(&self, id: &str) -> Result<Option<Answer>, StoreError> {
        self.one(ANSWERS, id, |record| opened("answer", id, record))
    }

    /// All final answers that are remembered, by their ids.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn answers(&self) -> Result<Vec<(String, Answer)>, StoreError> {
        self.all(ANSWERS, "answer")
    }

    /// What is remembered under a name.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn fact<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, StoreError> {
        self.one(FACTS, name, |record| opened("fact", name, record))
    }

    /// Records of a journal from that number on, in order, with their numbers: as many as hold `most` bytes, but one at least where
    /// there is one.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn journal(&self, name: &str, from: u64, most: usize) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
        let read = self.reading()?;
        let table = match read.open_table(JOURNALS) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            table => table?,
        };
        let (mut all, mut held) = (Vec::new(), 0);
        for entry in table.range((name, from)..=(name, u64::MAX))? {
            let (key, record) = entry?;
            let number = key.value().1;
            let damaged = |why: &str| StoreError::Damaged(format!("journal {name:?} {number}: {why}"));
            let (found, record) =
                record.value().split_first_chunk::<4>().ok_or_else(|| damaged("too short"))?;
            if *found != sum(name, number, record) {
                return Err(damaged("its checksum does not fit"));
            }
            held += record.len();
            if held > most && !all.is_empty() {
                break;
            }
            all.push((number, record.to_vec()));
        }
        Ok(all)
    }

    /// The first and the last number of a journal, where it holds something.
    ///
    /// # Errors
    /// The disk fails.
    pub fn journal_ends(&self, name: &str) -> Result<Option<(u64, u64)>, StoreError> {
        let read = self.reading()?;
        let table = match read.open_table(JOURNALS) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            table => table?,
        };
        let mut range = table.range((name, 0)..=(name, u64::MAX))?;
        let Some(first) = range.next().transpose()?.map(|(key, _)| key.value().1) else { return Ok(None) };
        let last = range.next_back().transpose()?.map_or(first, |(key, _)| key.value().1);
        Ok(Some((first, last)))
    }

    /// How much is kept.
    ///
    /// # Errors
    /// See [`Store::intents`].
    pub fn stats(&self) -> Result<Stats, StoreError> {
        let read = self.reading()?;
        let count = |table| -> Result<u64, StoreError> {
            match read.open_table(table) {
                Err(redb::TableError::TableDoesNotExist(_)) => Ok(0),
                table => Ok(table?.len()?),
            }
        };
        Ok(Stats { intents: count(INTENTS)?, answers: count(ANSWERS)?, facts: count(FACTS)? })
    }
}
