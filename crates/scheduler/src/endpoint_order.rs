//! An ordered list of endpoints with a bit set of those that await a start, so that a selection costs about
//! the same for ten endpoints and for ten thousand.

use crate::ids::EndpointId;

/// Marks an endpoint that is not in the order.
const NO_POSITION: u32 = u32::MAX;
/// Bits in a block of the bit set `waiting`.
const BLOCK_BITS: usize = 64;

/// Endpoints in an order private to this scheduler, and which of them have a job that must start before they
/// get another.
#[derive(Debug, Default)]
pub(crate) struct EndpointOrder {
    ids: Vec<EndpointId>,
    /// The position of each endpoint, indexed by its id.
    positions: Vec<u32>,
    /// A bit for each position, set while the endpoint awaits a start.
    waiting: Vec<u64>,
}

impl EndpointOrder {
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    pub fn ids(&self) -> &[EndpointId] {
        &self.ids
    }

    /// Returns the position of an endpoint, or `None` if it is not in the order.
    pub fn position(&self, endpoint: EndpointId) -> Option<usize> {
        self.positions.get(endpoint.0 as usize).filter(|p| **p != NO_POSITION).map(|p| *p as usize)
    }

    /// Replaces the order. `is_waiting` returns whether an endpoint awaits a start.
    pub fn set(&mut self, ids: Vec<EndpointId>, is_waiting: impl Fn(EndpointId) -> bool) {
        self.positions.clear();
        self.waiting = vec![0; ids.len().div_ceil(BLOCK_BITS)];
        self.positions.resize(ids.iter().map(|e| e.0 as usize + 1).max().unwrap_or(0), NO_POSITION);
        for (position, endpoint) in ids.iter().enumerate() {
            self.positions[endpoint.0 as usize] = position as u32;
            self.waiting[position / BLOCK_BITS] |=
                u64::from(is_waiting(*endpoint)) << (position % BLOCK_BITS);
        }
        self.ids = ids;
    }

    /// Sets whether an endpoint awaits a start.
    pub fn set_waiting(&mut self, endpoint: EndpointId, is_waiting: bool) {
        if let Some(position) = self.position(endpoint) {
            let (block, bit) = (position / BLOCK_BITS, position % BLOCK_BITS);
            self.waiting[block] = self.waiting[block] & !(1 << bit) | u64::from(is_waiting) << bit;
        }
    }

    /// Exchanges the endpoints at two positions.
    pub fn swap(&mut self, a: usize, b: usize) {
        let waiting = [a, b].map(|p| self.waiting[p / BLOCK_BITS] >> (p % BLOCK_BITS) & 1 == 1);
        let ids = [a, b].map(|p| self.ids[p]);
        self.ids.swap(a, b);
        (self.positions[ids[0].0 as usize], self.positions[ids[1].0 as usize]) = (b as u32, a as u32);
        self.set_waiting(ids[0], waiting[0]);
        self.set_waiting(ids[1], waiting[1]);
    }

    /// Returns candidates that skip endpoints awaiting a start.
    pub fn available(&self) -> Candidates<'_> {
        Candidates { ids: &self.ids, waiting: &self.waiting }
    }
}

/// Endpoints to select from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidates<'a> {
    ids: &'a [EndpointId],
    waiting: &'a [u64],
}

impl<'a> Candidates<'a> {
    /// Creates candidates that include endpoints awaiting a start.
    pub fn all(ids: &'a [EndpointId]) -> Self {
        Candidates { ids, waiting: &[] }
    }

    /// Returns the number of endpoints, including those that are skipped.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns the first position in `from..to` whose endpoint is not skipped.
    fn next_available(&self, mut from: usize, to: usize) -> Option<usize> {
        while from < to {
            let waiting = self.waiting.get(from / BLOCK_BITS).copied().unwrap_or(0) >> (from % BLOCK_BITS);
            let skipped = (!waiting).trailing_zeros() as usize;
            // The bits shifted in beyond the end of the block look available.
            if skipped < BLOCK_BITS - from % BLOCK_BITS {
                return Some(from + skipped).filter(|p| *p < to);
            }
            from = (from / BLOCK_BITS + 1) * BLOCK_BITS;
        }
        None
    }

    /// Iterates over the first `preferred` endpoints, starting at position `from` and wrapping around, and
    /// then over the others. Each endpoint comes with whether it is one of the others.
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
