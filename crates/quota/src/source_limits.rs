//! Limits how many datagrams of each source are processed, so that one which sends at full speed does not take the time of the others.

use crate::config::Plan;
use crate::rate_limiter::TokenBucket;
use crate::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Most datagrams in a second of an address that is listed as an allocator's or a node's. A node sends some tens.
const MAX_PER_LISTED: u64 = 1_000;
/// Most datagrams in a second of another address.
const MAX_PER_UNLISTED: u64 = 200;
/// Most datagrams in a second of all addresses that are not listed, in a small fleet.
const MIN_FOR_ALL_UNLISTED: u64 = 1_000;
/// Most datagrams in a second of all addresses that are not listed, for each node: nodes send their requests from such addresses.
const UNLISTED_PER_NODE: u64 = 50;
/// How long a source may send at its rate before it is limited.
const BURST: Micros = 200_000;

/// Returns a bucket that has all tokens of a burst once it is refilled.
fn full_bucket(now: Micros) -> TokenBucket {
    TokenBucket::new(BURST, now - BURST)
}

/// The limit of one address.
#[derive(Debug)]
struct Source {
    bucket: TokenBucket,
    admitted_at: Micros,
}

impl Source {
    fn new(now: Micros) -> Self {
        Source { bucket: full_bucket(now), admitted_at: now }
    }

    fn has_token(&mut self, now: Micros, rate: u64) -> bool {
        self.bucket.refill(now, rate);
        self.bucket.has_token()
    }

    fn take(&mut self, now: Micros) {
        self.bucket.take();
        self.admitted_at = now;
    }

    /// Returns whether the bucket is full by now, so that a new one is the same.
    fn is_full(&self, now: Micros) -> bool {
        now - self.admitted_at > BURST
    }
}

/// The limits of all sources.
#[derive(Debug)]
pub struct SourceLimits {
    sources: HashMap<SocketAddr, Source>,
    all_unlisted: TokenBucket,
}

impl SourceLimits {
    /// Creates limits under which each source may send a burst at once.
    pub fn new(now: Micros) -> Self {
        SourceLimits { sources: HashMap::new(), all_unlisted: full_bucket(now) }
    }

    /// Returns whether a datagram that came from this address at `now` is processed.
    pub fn admits(&mut self, from: SocketAddr, plan: &Plan, now: Micros) -> bool {
        let is_listed = plan.node_at(from).is_some();
        let rate = if is_listed { MAX_PER_LISTED } else { MAX_PER_UNLISTED };
        if self.sources.get_mut(&from).is_some_and(|source| !source.has_token(now, rate)) {
            return false;
        }
        if !is_listed && !self.take_unlisted(plan.nodes, now) {
            return false;
        }
        let source = self.sources.entry(from).or_insert_with(|| Source::new(now));
        source.has_token(now, rate);
        source.take(now);
        self.forget_full_buckets(plan, now);
        true
    }

    fn take_unlisted(&mut self, nodes: u32, now: Micros) -> bool {
        let rate = MIN_FOR_ALL_UNLISTED.max(UNLISTED_PER_NODE * u64::from(nodes));
        self.all_unlisted.refill(now, rate);
        self.all_unlisted.take()
    }

    /// Bounds the memory that addresses which sent once take.
    fn forget_full_buckets(&mut self, plan: &Plan, now: Micros) {
        let most = MIN_FOR_ALL_UNLISTED.max(UNLISTED_PER_NODE * u64::from(plan.nodes)) as usize;
        if self.sources.len() > most {
            self.sources.retain(|_, source| !source.is_full(now));
        }
    }
}
