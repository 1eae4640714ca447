//! Identifiers of requests, endpoints, classes, tenants, keys, zones and kinds. The caller assigns them.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Identifies a request. An id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a backend endpoint. Ids start at 0 and are dense; an id always refers to the same endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// Index into [`crate::Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`crate::Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The key of a request, which names the data that it works on. A key has the same id at every scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

impl KeyId {
    /// Returns the rendezvous-hashing rank of an endpoint for this key, given the hash of the endpoint's
    /// name. All schedulers compute the same rank.
    pub fn rank(self, name_hash: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.0, 0);
        hasher.write_u64(name_hash);
        hasher.finish()
    }
}

/// Identifies an availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// Identifies a kind of endpoint. A class may require one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub u32);
