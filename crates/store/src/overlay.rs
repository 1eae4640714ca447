//! A storage backend for full disks: reads the file, and keeps changes in memory until the process ends.

use redb::backends::FileBackend;
use redb::{BackendError, StorageBackend};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Size of a page in memory, in bytes.
const PAGE_BYTES: u64 = 4096;

#[derive(Debug, Default)]
struct State {
    length: u64,
    /// Length of the part of the file that is still valid, in bytes; the rest was truncated.
    valid: u64,
    /// Changed pages by their number.
    pages: BTreeMap<u64, Vec<u8>>,
}

/// A file that is only read, with changes in memory. Without a file the content is empty.
#[derive(Debug)]
pub(crate) struct Overlay {
    file: Option<FileBackend>,
    state: Mutex<State>,
}

impl Overlay {
    pub(crate) fn new(file: Option<FileBackend>) -> Result<Overlay, Error> {
        let length = file.as_ref().map_or(Ok(0), StorageBackend::len)?;
        let state = State { length, valid: length, pages: BTreeMap::new() };
        Ok(Overlay { file, state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current content of a page.
    fn page(&self, state: &State, page: u64) -> Result<Vec<u8>, Error> {
        if let Some(bytes) = state.pages.get(&page) {
            return Ok(bytes.clone());
        }
        let mut bytes = vec![0; PAGE_BYTES as usize];
        let available = state.valid.saturating_sub(page * PAGE_BYTES).min(PAGE_BYTES) as usize;
        if let (Some(file), Some(part)) = (&self.file, bytes.get_mut(..available).filter(|p| !p.is_empty())) {
            file.read(page * PAGE_BYTES, part)?;
        }
        Ok(bytes)
    }

    /// Splits a range of bytes by pages: the page, the offset in it and the number of bytes.
    fn pieces(offset: u64, length: usize) -> impl Iterator<Item = (u64, usize, usize)> {
        let end = offset + length as u64;
        let pages = offset / PAGE_BYTES..end.div_ceil(PAGE_BYTES);
        pages.map(move |page| {
            let (from, to) = (offset.max(page * PAGE_BYTES), end.min((page + 1) * PAGE_BYTES));
            (page, (from - page * PAGE_BYTES) as usize, (to - from) as usize)
        })
    }
}

impl StorageBackend for Overlay {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.state().length)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let state = self.state();
        if offset.saturating_add(out.len() as u64) > state.length {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let mut done = 0;
        for (page, from, count) in Overlay::pieces(offset, out.len()) {
            let bytes = self.page(&state, page)?;
            if let (Some(to), Some(part)) = (out.get_mut(done..done + count), bytes.get(from..from + count)) {
                to.copy_from_slice(part);
            }
            done += count;
        }
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        let mut state = self.state();
        if length < state.length {
            // Truncated bytes read as 0 if the file grows again.
            let last = length / PAGE_BYTES;
            let mut bytes = self.page(&state, last)?;
            bytes.iter_mut().skip((length % PAGE_BYTES) as usize).for_each(|b| *b = 0);
            state.pages.retain(|page, _| *page < last);
            state.pages.insert(last, bytes);
            state.valid = state.valid.min(last * PAGE_BYTES);
        }
        state.length = length;
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut state = self.state();
        if offset.saturating_add(data.len() as u64) > state.length {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let mut done = 0;
        for (page, from, count) in Overlay::pieces(offset, data.len()) {
            let mut bytes = self.page(&state, page)?;
            if let (Some(to), Some(part)) = (bytes.get_mut(from..from + count), data.get(done..done + count))
            {
                to.copy_from_slice(part);
            }
            state.pages.insert(page, bytes);
            done += count;
        }
        Ok(())
    }

    fn close(&self) -> Result<(), Error> {
        self.file.as_ref().map_or(Ok(()), StorageBackend::close)
    }

    // Locks apply to the file, since no other process may open it.
    fn try_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.file.as_ref().map_or(Ok(true), |f| f.try_lock_range(start, end))
    }

    fn try_lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.file.as_ref().map_or(Ok(true), |f| f.try_lock_shared_range(start, end))
    }

    fn lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.file.as_ref().map_or(Ok(()), |f| f.lock_range(start, end))
    }

    fn lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.file.as_ref().map_or(Ok(()), |f| f.lock_shared_range(start, end))
    }

    fn unlock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.file.as_ref().map_or(Ok(()), |f| f.unlock_range(start, end))
    }

    fn query_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.file.as_ref().map_or(Ok(false), |f| f.query_lock_range(start, end))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use redb::backends::InMemoryBackend;

    #[derive(Clone, Debug)]
    enum Operation {
        Write(u64, Vec<u8>),
        Length(u64),
        Read(u64, usize),
    }

    fn operation() -> impl Strategy<Value = Operation> {
        let offset = 0..20_000u64;
        prop_oneof![
            (offset.clone(), prop::collection::vec(any::<u8>(), 1..6_000))
                .prop_map(|(o, d)| Operation::Write(o, d)),
            offset.clone().prop_map(Operation::Length),
            (offset, 1..9_000usize).prop_map(|(o, n)| Operation::Read(o, n)),
        ]
    }

    proptest! {
        /// Compares an overlay with an ordinary backend under random operations.
        #[test]
        fn an_overlay_behaves_as_the_file_and_leaves_it_unchanged(initial in prop::collection::vec(any::<u8>(), 0..12_000), operations in prop::collection::vec(operation(), 1..30)) {
            let mut file = tempfile::tempfile().unwrap();
            std::io::Write::write_all(&mut file, &initial).unwrap();
            let reference = InMemoryBackend::new();
            reference.set_len(initial.len() as u64).unwrap();
            reference.write(0, &initial).unwrap();
            let overlay = Overlay::new(Some(FileBackend::new(file.try_clone().unwrap()).unwrap())).unwrap();
            for operation in operations {
                let length = reference.len().unwrap();
                match operation {
                    Operation::Write(o, d) if o + d.len() as u64 <= length => {
                        reference.write(o, &d).unwrap();
                        overlay.write(o, &d).unwrap();
                    }
                    Operation::Read(o, n) if o + n as u64 <= length => {
                        let (mut a, mut b) = (vec![1; n], vec![2; n]);
                        reference.read(o, &mut a).unwrap();
                        overlay.read(o, &mut b).unwrap();
                        prop_assert_eq!(a, b);
                    }
                    Operation::Length(n) => {
                        reference.set_len(n).unwrap();
                        overlay.set_len(n).unwrap();
                    }
                    _ => prop_assert!(overlay.read(length, &mut [0]).is_err()),
                }
                prop_assert_eq!(overlay.len().unwrap(), reference.len().unwrap());
            }
            let mut content = Vec::new();
            std::io::Seek::rewind(&mut file).unwrap();
            std::io::Read::read_to_end(&mut file, &mut content).unwrap();
            prop_assert_eq!(content, initial);
        }
    }
}
