//! What a disk holds that takes no more: its file as it is, and changes beside it in memory, which go with the process.

use redb::backends::FileBackend;
use redb::{BackendError, StorageBackend};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};

const PAGE: u64 = 4096;

#[derive(Debug, Default)]
struct State {
    length: u64,
    /// The file counts up to here; what is beyond was cut off, or never was.
    valid: u64,
    pages: BTreeMap<u64, Vec<u8>>,
}

/// A file that is read and not written; none counts as empty.
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

    /// A page whole, as it stands.
    fn page(&self, state: &State, page: u64) -> Result<Vec<u8>, Error> {
        if let Some(held) = state.pages.get(&page) {
            return Ok(held.clone());
        }
        let mut bytes = vec![0; PAGE as usize];
        let there = state.valid.saturating_sub(page * PAGE).min(PAGE) as usize;
        if let (Some(file), Some(part)) = (&self.file, bytes.get_mut(..there).filter(|p| !p.is_empty())) {
            file.read(page * PAGE, part)?;
        }
        Ok(bytes)
    }

    /// The pieces of a range: page, from where in it, and how many bytes.
    fn pieces(offset: u64, length: usize) -> impl Iterator<Item = (u64, usize, usize)> {
        let end = offset + length as u64;
        let pages = offset / PAGE..end.div_ceil(PAGE);
        pages.map(move |page| {
            let (from, to) = (offset.max(page * PAGE), end.min((page + 1) * PAGE));
            (page, (from - page * PAGE) as usize, (to - from) as usize)
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
            // What is cut off is 0 where it comes back.
            let last = length / PAGE;
            let mut bytes = self.page(&state, last)?;
            bytes.iter_mut().skip((length % PAGE) as usize).for_each(|b| *b = 0);
            state.pages.retain(|page, _| *page < last);
            state.pages.insert(last, bytes);
            state.valid = state.valid.min(last * PAGE);
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

    // Nobody else may have the file meanwhile.
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
    enum Act {
        Write(u64, Vec<u8>),
        Length(u64),
        Read(u64, usize),
    }

    fn act() -> impl Strategy<Value = Act> {
        let place = 0..20_000u64;
        prop_oneof![
            (place.clone(), prop::collection::vec(any::<u8>(), 1..6_000)).prop_map(|(o, d)| Act::Write(o, d)),
            place.clone().prop_map(Act::Length),
            (place, 1..9_000usize).prop_map(|(o, n)| Act::Read(o, n)),
        ]
    }

    proptest! {
        /// It is as the file would be, and the file stays as it was.
        #[test]
        fn it_is_what_the_file_would_be(first in prop::collection::vec(any::<u8>(), 0..12_000), acts in prop::collection::vec(act(), 1..30)) {
            let mut file = tempfile::tempfile().unwrap();
            std::io::Write::write_all(&mut file, &first).unwrap();
            let like = InMemoryBackend::new();
            like.set_len(first.len() as u64).unwrap();
            like.write(0, &first).unwrap();
            let overlay = Overlay::new(Some(FileBackend::new(file.try_clone().unwrap()).unwrap())).unwrap();
            for act in acts {
                let length = like.len().unwrap();
                match act {
                    Act::Write(o, d) if o + d.len() as u64 <= length => {
                        like.write(o, &d).unwrap();
                        overlay.write(o, &d).unwrap();
                    }
                    Act::Read(o, n) if o + n as u64 <= length => {
                        let (mut a, mut b) = (vec![1; n], vec![2; n]);
                        like.read(o, &mut a).unwrap();
                        overlay.read(o, &mut b).unwrap();
                        prop_assert_eq!(a, b);
                    }
                    Act::Length(n) => {
                        like.set_len(n).unwrap();
                        overlay.set_len(n).unwrap();
                    }
                    _ => prop_assert!(overlay.read(length, &mut [0]).is_err()),
                }
                prop_assert_eq!(overlay.len().unwrap(), like.len().unwrap());
            }
            let mut now = Vec::new();
            std::io::Seek::rewind(&mut file).unwrap();
            std::io::Read::read_to_end(&mut file, &mut now).unwrap();
            prop_assert_eq!(now, first);
        }
    }
}
