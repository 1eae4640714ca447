//! What is believed of what the disk holds. The table with the reasons is in `docs/design/recovery.md`.

use crate::Micros;
use std::fmt;

const DAY: Micros = 86_400_000_000;
/// Learned speeds and windows say something about servers for so long.
const SPEEDS: Micros = DAY;
/// A list tells whom to ask first for so long.
const LIST: Micros = 10 * 60_000_000;
/// Debts of tenants are forgotten after so long.
const DEBTS: Micros = 60_000_000;
/// An outage longer than this is taken for a clock that is wrong.
const LONGEST: Micros = 90 * DAY;
/// A clock that shows less than what was written last by more than this went backwards.
const LEEWAY: Micros = 2_000_000;

/// Something that is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoredItem {
    /// Intents of requests that must not run twice.
    Intents,
    /// Final answers.
    Answers,
    /// The greatest epoch that this node acted under.
    Epoch,
    /// Grants and leases held.
    Leases,
    /// Discovery's list.
    List,
    /// Learned speeds and windows.
    Speeds,
    /// Debts of tenants.
    Debts,
    /// Which servers were well.
    Health,
}

/// How far something is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrustLevel {
    /// It holds.
    AsIs,
    /// It is a beginning, until something newer is learned.
    AsInitial,
    /// Only if a peer or discovery says the same.
    IfConfirmed,
    /// It means nothing any more.
    Never,
}

/// As operators are shown it.
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

/// Whose disk this is, as it says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The node that wrote it.
    pub node: String,
    /// Drawn when it was made; a copy has the same.
    pub disk: u64,
    /// How often a process has begun with it.
    pub boots: u64,
}

/// What there is to say about a disk before anything on it is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DiskState {
    /// It is this node's, and the last one that it wrote.
    Own,
    /// There is none, or nothing on it, or it can't be read.
    Lost,
    /// Another node wrote it.
    Strange,
    /// It is older than what peers remember of it: what came later is not on it.
    Old,
    /// Another process lives with the same disk.
    Copied,
}

/// Judge a disk: by the node's own name, and what peers remember of it (how often a process began with it, and whether one lives
/// with it now that is not this one).
pub fn classify_disk(
    disk: Option<&Identity>,
    name: &str,
    remembered: Option<u64>,
    lives_elsewhere: bool,
) -> DiskState {
    match disk {
        None => DiskState::Lost,
        Some(d) if d.node != name => DiskState::Strange,
        Some(_) if lives_elsewhere => DiskState::Copied,
        Some(d) if remembered.is_some_and(|boots| boots > d.boots) => DiskState::Old,
        Some(_) => DiskState::Own,
    }
}

impl DiskState {
    /// Whether all intents that this node ever wrote are on it.
    pub fn is_complete(self) -> bool {
        self == DiskState::Own
    }
}

/// How long the outage was, by the node's clock; `None` where that clock can't be believed: it shows less than what was written
/// last, or an outage that nobody would have waited out.
pub fn outage(written: Micros, now: Micros) -> Option<Micros> {
    let gone = now - written;
    (-LEEWAY..=LONGEST).contains(&gone).then_some(gone.max(0))
}

/// How far something on a disk is believed after an outage.
pub fn trust_level(item: StoredItem, disk: DiskState, outage: Option<Micros>) -> TrustLevel {
    if matches!(disk, DiskState::Lost | DiskState::Strange) {
        return TrustLevel::Never;
    }
    let within = |most: Micros| outage.is_some_and(|gone| gone <= most);
    match item {
        // They are about what was done, which no time undoes, and a copy's or an old disk's are as true.
        StoredItem::Intents | StoredItem::Answers => TrustLevel::AsIs,
        // It only bounds from below what may be acted under now.
        StoredItem::Epoch => TrustLevel::AsIs,
        // Their time ran on; nobody knows for how long.
        StoredItem::Leases | StoredItem::Health => TrustLevel::Never,
        StoredItem::List if within(LIST) => TrustLevel::AsInitial,
        StoredItem::List => TrustLevel::IfConfirmed,
        StoredItem::Speeds if within(SPEEDS) => TrustLevel::AsInitial,
        StoredItem::Debts if within(DEBTS) && disk == DiskState::Own => TrustLevel::AsInitial,
        StoredItem::Speeds | StoredItem::Debts => TrustLevel::Never,
    }
}
