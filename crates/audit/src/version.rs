//! Versions of what steers a node, and the vector of them.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// Stands for a content: the first 16 bytes of its SHA-256.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentHash(pub [u8; 16]);

impl ContentHash {
    /// What stands for those bytes.
    pub fn of(bytes: &[u8]) -> ContentHash {
        let whole: [u8; 32] = Sha256::digest(bytes).into();
        let mut first = [0; 16];
        first.copy_from_slice(&whole[..16]);
        ContentHash(first)
    }

    /// What stands for a number that says all there is to say, such as a list's revision.
    pub fn of_number(number: u64) -> ContentHash {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&number.to_be_bytes());
        ContentHash(bytes)
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// What steers a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Item {
    /// The program's build.
    Program,
    /// The settings of the platform's configuration.
    Settings,
    /// The operators' file of sites.
    Sites,
    /// The operators' file of budgets.
    Budgets,
    /// The authority's file of accounts.
    Accounts,
    /// Discovery's list.
    List,
    /// The epoch of the budgets' agreement.
    Epoch,
    /// Who is in the fleet.
    Members,
}

impl Item {
    /// Whether its numbers come from outside, so that they can be compared between nodes. Others are counted by each node for itself: a
    /// list's revisions begin anew with another discovery.
    pub fn is_numbered(self) -> bool {
        !matches!(self, Item::Program | Item::Settings | Item::List | Item::Members)
    }

    /// Its name in logs and at the door.
    pub fn name(self) -> &'static str {
        match self {
            Item::Program => "program",
            Item::Settings => "settings",
            Item::Sites => "sites",
            Item::Budgets => "budgets",
            Item::Accounts => "accounts",
            Item::List => "list",
            Item::Epoch => "epoch",
            Item::Members => "members",
        }
    }
}

/// One version of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Grows with each version of the item.
    pub number: u64,
    /// What it is.
    pub content: ContentHash,
    /// What the one before it was, at this node; nothing (zeros) where it is the first.
    pub parent: ContentHash,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.number, self.content)
    }
}

/// Why a version was not taken.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error, miette::Diagnostic,
)]
pub enum VersionError {
    /// An older number.
    #[error("version {offered} is older than {held}, which is in force")]
    #[diagnostic(help("a file was restored or handed out twice: to return to an old content, hand it out under a new, greater number"))]
    Older {
        /// The number that is in force.
        held: u64,
        /// The number that was offered.
        offered: u64,
    },
    /// The number that is in force with another content.
    #[error("two contents of version {0}")]
    #[diagnostic(help("two people have handed out different files of one number: settle which is meant, and hand it out under a greater number"))]
    #[serde(rename = "Two")]
    Conflict(u64),
}

/// How a version stands to the one that is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lag {
    /// It is that one.
    Same,
    /// It is newer, by so many numbers.
    Ahead(u64),
    /// It is older, by so many numbers, or missing.
    Behind(u64),
    /// It is another one, and its numbers, each node's own, can't say which is older.
    #[serde(rename = "Other")]
    Different,
    /// It is another content of the same number: one of both is to be called back.
    #[serde(rename = "Apart")]
    Conflict,
}

/// What one change of a vector was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionChange {
    /// Of which item.
    pub item: Item,
    /// The version before, if there was one.
    pub from: Option<Version>,
    /// The version from now on.
    pub to: Version,
}

/// One version for each item that steers a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionVector(BTreeMap<Item, Version>);

impl VersionVector {
    /// The version of an item, if it has one.
    pub fn get(&self, item: Item) -> Option<&Version> {
        self.0.get(&item)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (Item, &Version)> {
        self.0.iter().map(|(item, version)| (*item, version))
    }

    /// Take a content over; `number` is its own where it has one, else it is counted. Nothing is returned where it is in force already.
    ///
    /// # Errors
    /// It is older, or another one of the same number; then nothing changes.
    pub fn apply(
        &mut self,
        item: Item,
        content: ContentHash,
        number: Option<u64>,
    ) -> Result<Option<VersionChange>, VersionError> {
        let from = self.0.get(&item).copied();
        let to = match (from, number) {
            (Some(held), None) if held.content == content => return Ok(None),
            (held, None) => held.map_or(1, |v| v.number.saturating_add(1)),
            (Some(held), Some(offered)) if offered < held.number => {
                return Err(VersionError::Older { held: held.number, offered });
            }
            (Some(held), Some(offered)) if offered == held.number => {
                return match held.content == content {
                    true => Ok(None),
                    false => Err(VersionError::Conflict(offered)),
                };
            }
            (_, Some(offered)) => offered,
        };
        let to =
            Version { number: to, content, parent: from.map_or_else(ContentHash::default, |v| v.content) };
        self.0.insert(item, to);
        Ok(Some(VersionChange { item, from, to }))
    }

    /// This is in force, whatever was before: a process begins with an older file, and must say so. Nothing is returned where it is the same.
    pub fn set(&mut self, item: Item, content: ContentHash, number: Option<u64>) -> Option<VersionChange> {
        let from = self.0.get(&item).copied();
        if from.is_some_and(|held| held.content == content && number.is_none_or(|n| n == held.number)) {
            return None;
        }
        let number = number.unwrap_or_else(|| from.map_or(1, |held| held.number.saturating_add(1)));
        let to = Version { number, content, parent: from.map_or_else(ContentHash::default, |v| v.content) };
        self.0.insert(item, to);
        Some(VersionChange { item, from, to })
    }

    /// What others need to know of it: not the list, which changes all the time, nor what each node counts for itself.
    pub fn shared(&self) -> VersionVector {
        let items = self.0.iter().filter(|(item, _)| **item != Item::List);
        let plain = |item: Item, v: &Version| {
            let number = if item.is_numbered() { v.number } else { 0 };
            Version { number, content: v.content, parent: ContentHash::default() }
        };
        VersionVector(items.map(|(item, version)| (*item, plain(*item, version))).collect())
    }

    /// What stands for all of it, without the history behind: equal at nodes that are steered alike.
    pub fn content_hash(&self) -> ContentHash {
        let mut all = Vec::with_capacity(self.0.len() * 25);
        for (item, version) in &self.0 {
            all.push(*item as u8);
            let number = if item.is_numbered() { version.number } else { 0 };
            all.extend_from_slice(&number.to_be_bytes());
            all.extend_from_slice(&version.content.0);
        }
        ContentHash::of(&all)
    }

    /// How each item that `required` names stands to it.
    pub fn compare(&self, required: &VersionVector) -> BTreeMap<Item, Lag> {
        required.0.iter().map(|(item, wanted)| (*item, lag(*item, self.0.get(item), wanted))).collect()
    }

    /// Whether it acts on something older than `required` says, or on something else where nobody can say which is older.
    pub fn is_behind(&self, required: &VersionVector) -> bool {
        self.compare(required).values().any(|lag| matches!(lag, Lag::Behind(_) | Lag::Different))
    }
}

fn lag(item: Item, held: Option<&Version>, wanted: &Version) -> Lag {
    let Some(held) = held else { return Lag::Behind(wanted.number) };
    if held.content == wanted.content && (held.number == wanted.number || !item.is_numbered()) {
        return Lag::Same;
    }
    if !item.is_numbered() {
        return Lag::Different;
    }
    match held.number.cmp(&wanted.number) {
        std::cmp::Ordering::Less => Lag::Behind(wanted.number - held.number),
        std::cmp::Ordering::Greater => Lag::Ahead(held.number - wanted.number),
        std::cmp::Ordering::Equal => Lag::Conflict,
    }
}
