//! Identifiers of what the scheduler deals with. The caller chooses them; only sameness and, for keys, the hash matter.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A request. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A backend endpoint. Ids start at 0 and leave few gaps; the id of an endpoint never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// Index into [`crate::Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`crate::Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The subject of a request. Requests with one key have the same id at every scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

impl KeyId {
    /// The rank that this key gives an endpoint, by the hash of the endpoint's name (rendezvous hashing). It is the same at every
    /// scheduler, and another one for each key.
    pub fn rank(self, name_hash: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.0, 0);
        hasher.write_u64(name_hash);
        hasher.finish()
    }
}

/// A zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// A kind of endpoint; a class may require one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub u32);
