//! Dense numbers for the names in settings, endpoint lists and requests.

use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;

/// Returns a hash of the name that is the same in every process and on every node.
pub fn name_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A two-way map between names and numbers, which are given out from 0 in the order of first use.
#[derive(Debug, Default)]
pub struct NameTable {
    pub(crate) names: Vec<String>,
    pub(crate) numbers: HashMap<String, u32>,
}

impl NameTable {
    /// Builds a table of the names, numbered in iteration order.
    pub(crate) fn from_names<'a>(names: impl Iterator<Item = &'a String>) -> Self {
        let mut table = NameTable::default();
        names.for_each(|name| {
            table.intern(name);
        });
        table
    }

    /// Returns the name with this number, or `None` if the number was never given out.
    pub fn name(&self, number: u32) -> Option<&str> {
        self.names.get(number as usize).map(String::as_str)
    }

    /// Returns the number of a name, or `None` if the name is not in the table.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Returns the number of a name, and adds the name with the next free number if it is new.
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

/// The names of the entities that the scheduler knows by number.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Endpoint names, numbered as [`crate::EndpointId`].
    pub endpoints: NameTable,
    /// Zone names, numbered as [`crate::ZoneId`].
    pub zones: NameTable,
    /// Names of endpoint kinds, numbered as [`crate::KindId`].
    pub kinds: NameTable,
    /// Class names, numbered as [`crate::ClassId`].
    pub classes: NameTable,
    /// Tenant names, numbered as [`crate::TenantId`].
    pub tenants: NameTable,
}
