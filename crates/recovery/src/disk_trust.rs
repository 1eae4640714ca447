//! How far data found on the disk is trusted after an outage. `docs/design/recovery.md` has the table with the reasons.

use crate::Micros;
use std::fmt;

/// Microseconds in a day.
const DAY: Micros = 86_400_000_000;
/// Learned speeds and concurrency windows are used up to this age, in microseconds.
const SPEEDS_MAX_AGE: Micros = DAY;
/// A stored server list is used up to this age, in microseconds.
const LIST_MAX_AGE: Micros = 10 * 60_000_000;
/// Token debts of tenants are kept up to this age, in microseconds.
const DEBTS_MAX_AGE: Micros = 60_000_000;
/// A longer outage, in microseconds, is attributed to a wrong clock.
const MAX_OUTAGE: Micros = 90 * DAY;
/// Clock steps backwards up to this size, in microseconds, count as an outage of zero.
const CLOCK_TOLERANCE: Micros = 2_000_000;

/// A kind of data on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoredItem {
    /// Intents to send requests that must not run twice.
    Intents,
    /// Final answers to such requests.
    Answers,
    /// The greatest epoch that this node has acted under.
    Epoch,
    /// Grants and leases that the node held.
    Leases,
    /// The server list of discovery.
    List,
    /// Learned speeds and concurrency windows of servers.
    Speeds,
    /// Token debts of tenants.
    Debts,
    /// Health states of servers.
    Health,
}

/// How far a stored item is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrustLevel {
    /// Still valid, used without a check.
    AsIs,
    /// Used as an initial value until a newer one is learned.
    AsInitial,
    /// Used only if a peer or discovery confirms it.
    IfConfirmed,
    /// Discarded.
    Never,
}

/// The names on the operators' status page.
impl fmt::Display for TrustLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TrustLevel::AsIs => "AsIs",
            TrustLevel::AsInitial => "AsBeginning",
            TrustLevel::IfConfirmed => "IfConfirmed",
            TrustLevel::Never => "Never",
        })
    }
}

/// The identity that a disk claims for itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the node that wrote the disk.
    pub node: String,
    /// Random number drawn when the disk was initialized; a copy of the disk has the same one.
    pub disk: u64,
    /// How many processes have started with the disk.
    pub boots: u64,
}

/// Whose data a disk holds, and whether anything is missing from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DiskState {
    /// The last disk that this node wrote, complete.
    Own,
    /// Absent, empty or unreadable.
    Lost,
    /// Written by another node.
    Strange,
    /// Older than the disk that peers remember: later writes are missing.
    Old,
    /// Also in use by another running process.
    Copied,
}

/// Classifies a disk by the node's name and by what peers report.
///
/// `remembered_boots` is the boot count that peers remember for the disk, `used_elsewhere` whether another process uses the same
/// disk now.
pub fn classify_disk(
    disk: Option<&Identity>,
    name: &str,
    remembered_boots: Option<u64>,
    used_elsewhere: bool,
) -> DiskState {
    match disk {
        None => DiskState::Lost,
        Some(d) if d.node != name => DiskState::Strange,
        Some(_) if used_elsewhere => DiskState::Copied,
        Some(d) if remembered_boots.is_some_and(|boots| boots > d.boots) => DiskState::Old,
        Some(_) => DiskState::Own,
    }
}

impl DiskState {
    /// Whether the disk holds every intent that this node has written.
    pub fn is_complete(self) -> bool {
        self == DiskState::Own
    }
}

/// Returns the length of the outage in microseconds, by the node's clock.
///
/// `None` if the clock can't be trusted: it is behind the time of the last write, or the outage would be longer than 90 days.
pub fn outage(written: Micros, now: Micros) -> Option<Micros> {
    let elapsed = now - written;
    (-CLOCK_TOLERANCE..=MAX_OUTAGE).contains(&elapsed).then_some(elapsed.max(0))
}

/// Returns how far an item on a disk is trusted after an outage; an `outage` of `None` is of unknown length.
pub fn trust_level(item: StoredItem, disk: DiskState, outage: Option<Micros>) -> TrustLevel {
    if matches!(disk, DiskState::Lost | DiskState::Strange) {
        return TrustLevel::Never;
    }
    let within = |max_age: Micros| outage.is_some_and(|elapsed| elapsed <= max_age);
    match item {
        // Records of past requests stay true at any age, also on a copied or outdated disk.
        StoredItem::Intents | StoredItem::Answers => TrustLevel::AsIs,
        // The stored epoch is only a lower bound for the epochs that the node may act under.
        StoredItem::Epoch => TrustLevel::AsIs,
        // Leases and health checks went out of date during the outage.
        StoredItem::Leases | StoredItem::Health => TrustLevel::Never,
        StoredItem::List if within(LIST_MAX_AGE) => TrustLevel::AsInitial,
        StoredItem::List => TrustLevel::IfConfirmed,
        StoredItem::Speeds if within(SPEEDS_MAX_AGE) => TrustLevel::AsInitial,
        StoredItem::Debts if within(DEBTS_MAX_AGE) && disk == DiskState::Own => TrustLevel::AsInitial,
        StoredItem::Speeds | StoredItem::Debts => TrustLevel::Never,
    }
}
