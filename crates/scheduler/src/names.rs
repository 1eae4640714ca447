//! Numbers for the names that the settings, endpoint lists and requests use.

use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;

/// The same number for the same name in every process.
pub fn name_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Names and their numbers, in the order in which they were first seen.
#[derive(Debug, Default)]
pub struct NameTable {
    pub(crate) names: Vec<String>,
    pub(crate) numbers: HashMap<String, u32>,
}

impl NameTable {
    /// Those names, numbered in their order.
    pub(crate) fn from_names<'a>(names: impl Iterator<Item = &'a String>) -> Self {
        let mut table = NameTable::default();
        names.for_each(|name| {
            table.intern(name);
        });
        table
    }

    /// The name of a number.
    pub fn name(&self, number: u32) -> Option<&str> {
        self.names.get(number as usize).map(String::as_str)
    }

    /// The number of a name, if it has one.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The number of a name, which is given the next one when it is first seen.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }
}

/// The names behind the numbers that the scheduler uses.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Endpoints, numbered as [`crate::EndpointId`].
    pub endpoints: NameTable,
    /// Zones, numbered as [`crate::ZoneId`].
    pub zones: NameTable,
    /// Kinds of endpoints, numbered as [`crate::KindId`].
    pub kinds: NameTable,
    /// Classes, numbered as [`crate::ClassId`].
    pub classes: NameTable,
    /// Tenants, numbered as [`crate::TenantId`].
    pub tenants: NameTable,
}
