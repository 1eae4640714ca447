//! Versions of the configuration items that a node acts on, and the vector of them.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// Hash of an item's content: the first 16 bytes of its SHA-256.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentHash(pub [u8; 16]);

impl ContentHash {
    /// Returns the hash of the bytes.
    pub fn of(bytes: &[u8]) -> ContentHash {
        let digest: [u8; 32] = Sha256::digest(bytes).into();
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        ContentHash(first)
    }

    /// Returns a value for content that its number identifies, such as a list revision; nothing is hashed.
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

/// A configuration item that a node acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Item {
    /// Build of the program.
    Program,
    /// Settings from the platform's configuration.
    Settings,
    /// The operators' sites file.
    Sites,
    /// The operators' budgets file.
    Budgets,
    /// The authority's accounts file.
    Accounts,
    /// Server list from discovery.
    List,
    /// Epoch of the budget consensus.
    Epoch,
    /// Member list of the fleet.
    Members,
}

impl Item {
    /// Whether version numbers of the item are comparable between nodes.
    ///
    /// Otherwise each node counts the versions itself; revisions of a list, for example, restart with another discovery service.
    pub fn is_numbered(self) -> bool {
        !matches!(self, Item::Program | Item::Settings | Item::List | Item::Members)
    }

    /// Returns the name used in logs and on the operators' pages.
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

/// A version of a configuration item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Grows with each version of the item.
    pub number: u64,
    /// Hash of the item's content.
    pub content: ContentHash,
    /// Hash of the previous version at this node; zeros for the first one.
    pub parent: ContentHash,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.number, self.content)
    }
}

/// Why a version was rejected.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error, miette::Diagnostic,
)]
pub enum VersionError {
    /// The number is lower than the current one.
    #[error("version {offered} is older than the current version {held}")]
    #[diagnostic(help("an old file was restored or distributed again: to return to old content, distribute it under a new, greater number"))]
    Older {
        /// The current version number.
        held: u64,
        /// The rejected version number.
        offered: u64,
    },
    /// The current number with different content.
    #[error("version {0} exists with two different contents")]
    #[diagnostic(help("two different files were distributed under the same number: decide which one is valid, and distribute it under a greater number"))]
    #[serde(rename = "Two")]
    Conflict(u64),
}

/// A held version compared to the required one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lag {
    /// Equal to the required version.
    Same,
    /// Newer, by this many versions.
    Ahead(u64),
    /// Older by this many versions; for a missing item, the required number itself.
    Behind(u64),
    /// Different content of an item whose numbers are not comparable between nodes.
    #[serde(rename = "Other")]
    Different,
    /// Different content under the same number: one of the two has to be withdrawn.
    #[serde(rename = "Apart")]
    Conflict,
}

/// A change of one item in a [`VersionVector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionChange {
    /// The changed item.
    pub item: Item,
    /// The previous version; `None` if the item had none.
    pub from: Option<Version>,
    /// The new version.
    pub to: Version,
}

/// The current version of each configuration item of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionVector(BTreeMap<Item, Version>);

impl VersionVector {
    /// Returns the version of an item; `None` if it has none.
    pub fn get(&self, item: Item) -> Option<&Version> {
        self.0.get(&item)
    }

    /// Returns the items with their versions, in the order of [`Item`].
    pub fn iter(&self) -> impl Iterator<Item = (Item, &Version)> {
        self.0.iter().map(|(item, version)| (*item, version))
    }

    /// Replaces the version of an item unless the new one is older; `None` if the content is current already.
    ///
    /// `number` is the number that the content carries; without one, the next number is assigned.
    ///
    /// # Errors
    /// The number is lower than the current one, or equal with different content; the vector stays unchanged.
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

    /// Replaces the version of an item even by an older one, such as a file found at the start; `None` if nothing changes.
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

    /// Returns the part that nodes exchange and compare: without the server list, which changes often, without numbers that each
    /// node assigns itself, and without parents.
    pub fn shared(&self) -> VersionVector {
        let items = self.0.iter().filter(|(item, _)| **item != Item::List);
        let without_history = |item: Item, v: &Version| {
            let number = if item.is_numbered() { v.number } else { 0 };
            Version { number, content: v.content, parent: ContentHash::default() }
        };
        VersionVector(items.map(|(item, version)| (*item, without_history(*item, version))).collect())
    }

    /// Returns a hash of all versions without their parents, equal at nodes that act on the same configuration.
    pub fn content_hash(&self) -> ContentHash {
        let mut bytes = Vec::with_capacity(self.0.len() * 25);
        for (item, version) in &self.0 {
            bytes.push(*item as u8);
            let number = if item.is_numbered() { version.number } else { 0 };
            bytes.extend_from_slice(&number.to_be_bytes());
            bytes.extend_from_slice(&version.content.0);
        }
        ContentHash::of(&bytes)
    }

    /// Compares each item in `required` to the version held here.
    pub fn compare(&self, required: &VersionVector) -> BTreeMap<Item, Lag> {
        required.0.iter().map(|(item, required)| (*item, lag(*item, self.0.get(item), required))).collect()
    }

    /// Whether any item is older than in `required`, or differs from it without a comparable number.
    pub fn is_behind(&self, required: &VersionVector) -> bool {
        self.compare(required).values().any(|lag| matches!(lag, Lag::Behind(_) | Lag::Different))
    }
}

fn lag(item: Item, held: Option<&Version>, required: &Version) -> Lag {
    let Some(held) = held else { return Lag::Behind(required.number) };
    if held.content == required.content && (held.number == required.number || !item.is_numbered()) {
        return Lag::Same;
    }
    if !item.is_numbered() {
        return Lag::Different;
    }
    match held.number.cmp(&required.number) {
        std::cmp::Ordering::Less => Lag::Behind(required.number - held.number),
        std::cmp::Ordering::Greater => Lag::Ahead(held.number - required.number),
        std::cmp::Ordering::Equal => Lag::Conflict,
    }
}
