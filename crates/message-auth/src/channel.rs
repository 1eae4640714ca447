//! A process's datagrams, under a code where the operators name a key, and as they are where they don't.

use crate::keyring::Keys;
use crate::signed_message::{Opener, Refused, Sealer};
use std::collections::BTreeMap;

/// Lives of a sender that are heard at once: a process that was replaced goes on for as long as its work lasts, and so may the one
/// before it.
pub const LIVES: usize = 4;

/// A datagram that is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received<'a> {
    /// Who says it, where a code proves that.
    pub sender: Option<u32>,
    /// What is said.
    pub sent: &'a [u8],
}

/// A datagram that is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Why.
    pub refused: Refused,
    /// It is to be told: once for each reason and sender.
    pub first: bool,
}

/// Both ways of one process's datagrams.
#[derive(Debug)]
pub struct Channel {
    sender: u32,
    fleet: String,
    coded: Option<(Sealer, Opener)>,
}

impl Channel {
    /// For the sender of that number. Without keys nothing is sealed and everything is taken, byte for byte. For lives see
    /// [`Sealer::new`].
    pub fn new(sender: u32, life: u64, fleet: &str, keys: Option<&Keys>) -> Channel {
        let mut line = Channel { sender, fleet: fleet.to_string(), coded: None };
        line.set(life, fleet, keys);
        line
    }

    /// Go by these from now on. While the fleet's name stays, what was heard stays heard; else a new life begins, which is that one.
    pub fn set(&mut self, life: u64, fleet: &str, keys: Option<&Keys>) {
        match (&mut self.coded, keys) {
            (_, None) => self.coded = None,
            (Some((sealer, opener)), Some(keys)) if self.fleet == fleet => {
                sealer.rekey(keys);
                opener.rekey(keys);
            }
            (_, Some(keys)) => {
                let opener = Opener::new(fleet, keys).lives(LIVES);
                self.coded = Some((Sealer::new(fleet, self.sender, life, keys), opener));
            }
        }
        self.fleet = fleet.to_string();
    }

    /// The datagram that says it.
    pub fn seal(&mut self, sent: Vec<u8>) -> Vec<u8> {
        match &mut self.coded {
            Some((sealer, _)) => sealer.seal(&sent),
            None => sent,
        }
    }

    /// What a datagram says. `seems` is who it comes from by its address, 0 for strangers.
    ///
    /// # Errors
    /// Why it has to be dropped.
    pub fn open<'a>(&mut self, bytes: &'a [u8], seems: u32) -> Result<Received<'a>, Dropped> {
        let Some((_, opener)) = &mut self.coded else { return Ok(Received { sender: None, sent: bytes }) };
        match opener.open(bytes) {
            Ok(opened) => Ok(Received { sender: Some(opened.sender), sent: opened.body }),
            Err(refused) => Err(Dropped { refused, first: opener.first(refused, seems) }),
        }
    }

    /// How many were dropped, by reason.
    pub fn counts(&self) -> BTreeMap<Refused, u64> {
        self.coded.as_ref().map(|(_, opener)| opener.counts().clone()).unwrap_or_default()
    }
}
