//! Fault injection for tests of persistent data: a disk in memory with power losses that lose or tear unsynced writes, failing syncs,
//! a limited capacity and flipped bits.

use redb::StorageBackend;
use std::sync::{Arc, Mutex, MutexGuard};

/// Size of a sector, which the disk writes atomically, in bytes.
const SECTOR_BYTES: usize = 512;

#[derive(Clone, Debug)]
enum Pending {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct State {
    /// Content at the last sync.
    synced: Vec<u8>,
    /// Current content, including writes that were not synced.
    written: Vec<u8>,
    /// Writes since the last sync.
    pending: Vec<Pending>,
    /// Number of writes, changes of the length and syncs so far.
    calls: u64,
    /// Calls after this number fail as after a power loss.
    power_loss_call: Option<u64>,
    /// Number of the sync that fails, from 0.
    failing_sync: Option<u64>,
    syncs: u64,
    /// Maximum length of the file, in bytes.
    capacity: Option<u64>,
}

/// A disk in memory. Clones share the same content.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Arc<Mutex<State>>);

/// Returns the next number of the generator splitmix64.
fn next_random(seed: &mut u64) -> u64 {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (*seed ^ (*seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn power_loss_error() -> std::io::Error {
    std::io::Error::other("simulated power loss")
}

/// Applies a change to an image, and only those of its sectors for which `keep` returns `true`.
fn apply(image: &mut Vec<u8>, change: &Pending, mut keep: impl FnMut() -> bool) {
    match change {
        Pending::Length(length) => {
            if keep() {
                image.resize(*length as usize, 0);
            }
        }
        Pending::Write(offset, data) => {
            let mut done = 0;
            while done < data.len() {
                let start = *offset as usize + done;
                let count = (SECTOR_BYTES - start % SECTOR_BYTES).min(data.len() - done);
                if keep() {
                    if image.len() < start + count {
                        image.resize(start + count, 0);
                    }
                    image[start..start + count].copy_from_slice(&data[done..done + count]);
                }
                done += count;
            }
        }
    }
}

impl FaultyDisk {
    /// Creates an empty disk.
    pub fn new() -> FaultyDisk {
        FaultyDisk::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the number of writes, changes of the length and syncs so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Makes all calls after the first `call` ones fail, as after a power loss.
    pub fn lose_power_at(&self, call: u64) {
        self.state().power_loss_call = Some(call);
    }

    /// Makes the sync of this number fail, from 0.
    pub fn fail_sync(&self, number: u64) {
        self.state().failing_sync = Some(number);
    }

    /// Returns the number of syncs so far.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Limits the length of the file, in bytes.
    pub fn set_capacity(&self, bytes: u64) {
        self.state().capacity = Some(bytes);
    }

    /// Returns the disk after a power loss. Each sector that was not synced is randomly kept or lost.
    pub fn after_power_loss(&self, mut seed: u64) -> FaultyDisk {
        let state = self.state();
        let mut image = state.synced.clone();
        for change in &state.pending {
            apply(&mut image, change, || next_random(&mut seed).is_multiple_of(2));
        }
        FaultyDisk(Arc::new(Mutex::new(State { synced: image.clone(), written: image, ..State::default() })))
    }

    /// Returns a copy of the disk with one bit flipped.
    pub fn with_flipped_bit(&self, bit: u64) -> FaultyDisk {
        let mut image = self.state().written.clone();
        let index = (bit / 8) as usize % image.len().max(1);
        image[index] ^= 1 << (bit % 8);
        FaultyDisk(Arc::new(Mutex::new(State { synced: image.clone(), written: image, ..State::default() })))
    }

    /// Returns the current content.
    pub fn image(&self) -> Vec<u8> {
        self.state().written.clone()
    }

    fn change(&self, change: Pending) -> Result<(), std::io::Error> {
        let mut state = self.state();
        state.calls += 1;
        if state.power_loss_call.is_some_and(|power_loss_call| state.calls > power_loss_call) {
            return Err(power_loss_error());
        }
        let end = match &change {
            Pending::Write(offset, data) => offset + data.len() as u64,
            Pending::Length(length) => *length,
        };
        if state.capacity.is_some_and(|capacity| end > capacity) {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        apply(&mut state.written, &change, || true);
        state.pending.push(change);
        Ok(())
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.state().written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let state = self.state();
        let from = offset as usize;
        let found = state.written.get(from..from + out.len());
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
        if state.power_loss_call.is_some_and(|power_loss_call| state.calls > power_loss_call) {
            return Err(power_loss_error());
        }
        if state.failing_sync == Some(state.syncs - 1) {
            return Err(std::io::Error::other("sync failed"));
        }
        state.pending.clear();
        state.synced = state.written.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.change(Pending::Write(offset, data.to_vec()))
    }
}
