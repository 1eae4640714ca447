//! A disk that fails on purpose, in memory: the power goes at any point, what was not synced is lost or torn, a sync fails, there is no
//! more room, a bit flips. For tests of whatever keeps things.

use redb::StorageBackend;
use std::sync::{Arc, Mutex, MutexGuard};

/// What the disk writes whole or not at all, in bytes.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Pending {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct State {
    /// What would be read after the power had gone, and what the program reads.
    synced: Vec<u8>,
    seen: Vec<u8>,
    pending: Vec<Pending>,
    /// How many calls that change something there were.
    calls: u64,
    /// The power goes at that call.
    cut: Option<u64>,
    /// That sync fails.
    bad_sync: Option<u64>,
    syncs: u64,
    /// No file is longer than this.
    capacity: Option<u64>,
}

/// A disk in memory; its copies are the same disk.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Arc<Mutex<State>>);

/// A source of chance that needs nothing: splitmix64.
fn chance(seed: &mut u64) -> u64 {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (*seed ^ (*seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn no_power() -> std::io::Error {
    std::io::Error::other("no power")
}

fn apply(image: &mut Vec<u8>, change: &Pending, mut keep: impl FnMut() -> bool) {
    match change {
        Pending::Length(length) => {
            if keep() {
                image.resize(*length as usize, 0);
            }
        }
        Pending::Write(offset, data) => {
            let mut at = 0;
            while at < data.len() {
                let start = *offset as usize + at;
                let n = (SECTOR - start % SECTOR).min(data.len() - at);
                if keep() {
                    if image.len() < start + n {
                        image.resize(start + n, 0);
                    }
                    image[start..start + n].copy_from_slice(&data[at..at + n]);
                }
                at += n;
            }
        }
    }
}

impl FaultyDisk {
    /// One that holds nothing.
    pub fn new() -> FaultyDisk {
        FaultyDisk::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// How many calls have changed something so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// The power goes at that call: it and all later ones fail.
    pub fn cut_at(&self, call: u64) {
        self.state().cut = Some(call);
    }

    /// The sync of that number fails, from 0.
    pub fn fail_sync(&self, number: u64) {
        self.state().bad_sync = Some(number);
    }

    /// How many syncs there were.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// There is room for so many bytes.
    pub fn set_capacity(&self, bytes: u64) {
        self.state().capacity = Some(bytes);
    }

    /// The disk as it is found once the power is back: of what was not synced each sector is there or not, by chance.
    pub fn after_power_loss(&self, mut seed: u64) -> FaultyDisk {
        let state = self.state();
        let mut image = state.synced.clone();
        for change in &state.pending {
            apply(&mut image, change, || chance(&mut seed).is_multiple_of(2));
        }
        FaultyDisk(Arc::new(Mutex::new(State { synced: image.clone(), seen: image, ..State::default() })))
    }

    /// The same disk with one bit flipped.
    pub fn flipped(&self, bit: u64) -> FaultyDisk {
        let mut image = self.state().seen.clone();
        let at = (bit / 8) as usize % image.len().max(1);
        image[at] ^= 1 << (bit % 8);
        FaultyDisk(Arc::new(Mutex::new(State { synced: image.clone(), seen: image, ..State::default() })))
    }

    /// All that it holds.
    pub fn image(&self) -> Vec<u8> {
        self.state().seen.clone()
    }

    fn change(&self, change: Pending) -> Result<(), std::io::Error> {
        let mut state = self.state();
        state.calls += 1;
        if state.cut.is_some_and(|cut| state.calls > cut) {
            return Err(no_power());
        }
        let end = match &change {
            Pending::Write(offset, data) => offset + data.len() as u64,
            Pending::Length(length) => *length,
        };
        if state.capacity.is_some_and(|capacity| end > capacity) {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        apply(&mut state.seen, &change, || true);
        state.pending.push(change);
        Ok(())
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.state().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let state = self.state();
        let from = offset as usize;
        let found = state.seen.get(from..from + out.len());
        let found = found.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        out.copy_from_slice(found);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.change(Pending::Length(len))
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        let mut state = self.state();
        state.calls += 1;
        state.syncs += 1;
        if state.cut.is_some_and(|cut| state.calls > cut) {
            return Err(no_power());
        }
        if state.bad_sync == Some(state.syncs - 1) {
            return Err(std::io::Error::other("sync failed"));
        }
        state.pending.clear();
        state.synced = state.seen.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.change(Pending::Write(offset, data.to_vec()))
    }
}
