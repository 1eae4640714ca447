//! A process's datagrams, under a code where the operators name a key, and as they are where they don't.

use crate::keyring::Keys;
use crate::signed_message::{Signer, Verifier, VerifyError};
use std::collections::BTreeMap;

/// Lives of a sender that are heard at once: a process that was replaced goes on for as long as its work lasts, and so may the one
/// before it.
pub const MAX_INCARNATIONS: usize = 4;

/// A datagram that is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received<'a> {
    /// Who says it, where a code proves that.
    pub sender: Option<u32>,
    /// What is said.
    pub body: &'a [u8],
}

/// A datagram that is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Why.
    pub refused: VerifyError,
    /// It is to be told: once for each reason and sender.
    pub first: bool,
}

/// Both ways of one process's datagrams.
#[derive(Debug)]
pub struct Channel {
    sender: u32,
    fleet: String,
    coded: Option<(Signer, Verifier)>,
}

impl Channel {
    /// For the sender of that number. Without keys nothing is sealed and everything is taken, byte for byte. For lives see
    /// [`Signer::new`].
    pub fn new(sender: u32, incarnation: u64, fleet: &str, keys: Option<&Keys>) -> Channel {
        let mut line = Channel { sender, fleet: fleet.to_string(), coded: None };
        line.reconfigure(incarnation, fleet, keys);
        line
    }

    /// Go by these from now on. While the fleet's name stays, what was heard stays heard; else a new life begins, which is that one.
    pub fn reconfigure(&mut self, incarnation: u64, fleet: &str, keys: Option<&Keys>) {
        match (&mut self.coded, keys) {
            (_, None) => self.coded = None,
            (Some((signer, verifier)), Some(keys)) if self.fleet == fleet => {
                signer.rekey(keys);
                verifier.rekey(keys);
            }
            (_, Some(keys)) => {
                let verifier = Verifier::new(fleet, keys).max_incarnations(MAX_INCARNATIONS);
                self.coded = Some((Signer::new(fleet, self.sender, incarnation, keys), verifier));
            }
        }
        self.fleet = fleet.to_string();
    }

    /// The datagram that says it.
    pub fn sign(&mut self, sent: Vec<u8>) -> Vec<u8> {
        match &mut self.coded {
            Some((signer, _)) => signer.sign(&sent),
            None => sent,
        }
    }

    /// What a datagram says. `seems` is who it comes from by its address, 0 for strangers.
    ///
    /// # Errors
    /// Why it has to be dropped.
    pub fn verify<'a>(&mut self, bytes: &'a [u8], seems: u32) -> Result<Received<'a>, Dropped> {
        let Some((_, verifier)) = &mut self.coded else { return Ok(Received { sender: None, body: bytes }) };
        match verifier.verify(bytes) {
            Ok(opened) => Ok(Received { sender: Some(opened.sender), body: opened.body }),
            Err(refused) => Err(Dropped { refused, first: verifier.is_first(refused, seems) }),
        }
    }

    /// How many were dropped, by reason.
    pub fn counts(&self) -> BTreeMap<VerifyError, u64> {
        self.coded.as_ref().map(|(_, verifier)| verifier.counts().clone()).unwrap_or_default()
    }
}
