//! An order of endpoints, with a bit for each that waits for a start, so that a pick costs about the same among ten and ten
//! thousand.

use crate::ids::EndpointId;

/// No position.
const NONE: u32 = u32::MAX;
/// Bits in a block of the bit set.
const BLOCK: usize = 64;

/// Endpoints in an order of this scheduler's own, and which of them wait for a job of ours to start.
#[derive(Debug, Default)]
pub(crate) struct EndpointOrder {
    ids: Vec<EndpointId>,
    /// The position of each endpoint, by its id.
    positions: Vec<u32>,
    /// A bit for each position: set where the endpoint waits for a start.
    waiting: Vec<u64>,
}

impl EndpointOrder {
    /// How many.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// All of them, in order.
    pub fn ids(&self) -> &[EndpointId] {
        &self.ids
    }

    /// The position of an endpoint.
    pub fn position(&self, endpoint: EndpointId) -> Option<usize> {
        self.positions.get(endpoint.0 as usize).filter(|p| **p != NONE).map(|p| *p as usize)
    }

    /// Replace the order; `is_waiting` is for endpoints that wait for a start.
    pub fn set(&mut self, ids: Vec<EndpointId>, is_waiting: impl Fn(EndpointId) -> bool) {
        self.positions.clear();
        self.waiting = vec![0; ids.len().div_ceil(BLOCK)];
        self.positions.resize(ids.iter().map(|e| e.0 as usize + 1).max().unwrap_or(0), NONE);
        for (position, endpoint) in ids.iter().enumerate() {
            self.positions[endpoint.0 as usize] = position as u32;
            self.waiting[position / BLOCK] |= u64::from(is_waiting(*endpoint)) << (position % BLOCK);
        }
        self.ids = ids;
    }

    /// An endpoint waits for a start from now on, or no longer.
    pub fn set_waiting(&mut self, endpoint: EndpointId, is_waiting: bool) {
        if let Some(position) = self.position(endpoint) {
            let (block, bit) = (position / BLOCK, position % BLOCK);
            self.waiting[block] = self.waiting[block] & !(1 << bit) | u64::from(is_waiting) << bit;
        }
    }

    /// Exchange the positions of two endpoints.
    pub fn swap(&mut self, a: usize, b: usize) {
        let waiting = [a, b].map(|p| self.waiting[p / BLOCK] >> (p % BLOCK) & 1 == 1);
        let ids = [a, b].map(|p| self.ids[p]);
        self.ids.swap(a, b);
        (self.positions[ids[0].0 as usize], self.positions[ids[1].0 as usize]) = (b as u32, a as u32);
        self.set_waiting(ids[0], waiting[0]);
        self.set_waiting(ids[1], waiting[1]);
    }

    /// Candidates without those that wait for a start.
    pub fn available(&self) -> Candidates<'_> {
        Candidates { ids: &self.ids, waiting: &self.waiting }
    }
}

/// Endpoints to choose among.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidates<'a> {
    ids: &'a [EndpointId],
    waiting: &'a [u64],
}

impl<'a> Candidates<'a> {
    /// All of these, whether they wait for a start or not.
    pub fn all(ids: &'a [EndpointId]) -> Self {
        Candidates { ids, waiting: &[] }
    }

    /// How many, those that wait included.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// The first position from `from` to `to` that does not wait.
    fn next_available(&self, mut from: usize, to: usize) -> Option<usize> {
        while from < to {
            let waiting = self.waiting.get(from / BLOCK).copied().unwrap_or(0) >> (from % BLOCK);
            let skipped = (!waiting).trailing_zeros() as usize;
            // Beyond the end of the block the bits that were shifted in look available.
            if skipped < BLOCK - from % BLOCK {
                return Some(from + skipped).filter(|p| *p < to);
            }
            from = (from / BLOCK + 1) * BLOCK;
        }
        None
    }

    /// From a position among the first `preferred` ones on, round these, and then the others. Each comes with whether it is one of
    /// the others.
    pub fn rotated(self, from: usize, preferred: usize) -> impl Iterator<Item = (bool, EndpointId)> + 'a {
        let ranges = [(from, preferred, false), (0, from, false), (preferred, self.ids.len(), true)];
        ranges.into_iter().flat_map(move |(start, end, is_other)| {
            let mut at = start;
            std::iter::from_fn(move || {
                let position = self.next_available(at, end)?;
                at = position + 1;
                Some((is_other, self.ids[position]))
            })
        })
    }
}
