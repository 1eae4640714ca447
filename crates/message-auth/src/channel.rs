//! The datagrams that a process sends and receives: signed if the operators configure a key, otherwise unchanged.

use crate::keyring::Keys;
use crate::signed_message::{Signer, Verifier, VerifyError};
use std::collections::BTreeMap;

/// Maximum number of incarnations of a sender that are accepted at once: a replaced process runs until its work is done, and so may
/// the process before it.
pub const MAX_INCARNATIONS: usize = 4;

/// A received datagram that is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received<'a> {
    /// The verified number of the sender, or `None` without keys.
    pub sender: Option<u32>,
    /// The content of the datagram, without its signature.
    pub body: &'a [u8],
}

/// A received datagram that was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// The reason of the rejection.
    pub refused: VerifyError,
    /// Whether this is the first rejection for this reason and sender, which has to be logged.
    pub first: bool,
}

/// Signs the outgoing and verifies the incoming datagrams of a process.
#[derive(Debug)]
pub struct Channel {
    sender: u32,
    fleet: String,
    signing: Option<(Signer, Verifier)>,
}

impl Channel {
    /// Creates the channel of a sender. Without keys, datagrams are neither signed nor verified. For `incarnation` see
    /// [`Signer::new`].
    pub fn new(sender: u32, incarnation: u64, fleet: &str, keys: Option<&Keys>) -> Channel {
        let mut channel = Channel { sender, fleet: fleet.to_string(), signing: None };
        channel.reconfigure(incarnation, fleet, keys);
        channel
    }

    /// Replaces the keys and the fleet's name. If only the keys change, sequence numbers and anti-replay windows continue; if the name
    /// changes, or there were no keys before, they restart under this incarnation.
    pub fn reconfigure(&mut self, incarnation: u64, fleet: &str, keys: Option<&Keys>) {
        match (&mut self.signing, keys) {
            (_, None) => self.signing = None,
            (Some((signer, verifier)), Some(keys)) if self.fleet == fleet => {
                signer.rekey(keys);
                verifier.rekey(keys);
            }
            (_, Some(keys)) => {
                let verifier = Verifier::new(fleet, keys).max_incarnations(MAX_INCARNATIONS);
                self.signing = Some((Signer::new(fleet, self.sender, incarnation, keys), verifier));
            }
        }
        self.fleet = fleet.to_string();
    }

    /// Returns the datagram for a body, signed if there are keys.
    pub fn sign(&mut self, body: Vec<u8>) -> Vec<u8> {
        match &mut self.signing {
            Some((signer, _)) => signer.sign(&body),
            None => body,
        }
    }

    /// Verifies a received datagram. `claimed_sender` is the sender by the datagram's address, 0 if unknown; rejections are logged
    /// under it.
    ///
    /// # Errors
    /// The datagram is not valid and has to be dropped.
    pub fn verify<'a>(&mut self, bytes: &'a [u8], claimed_sender: u32) -> Result<Received<'a>, Dropped> {
        let Some((_, verifier)) = &mut self.signing else {
            return Ok(Received { sender: None, body: bytes });
        };
        match verifier.verify(bytes) {
            Ok(message) => Ok(Received { sender: Some(message.sender), body: message.body }),
            Err(refused) => Err(Dropped { refused, first: verifier.is_first(refused, claimed_sender) }),
        }
    }

    /// Returns the number of rejected datagrams by reason. Empty without keys.
    pub fn counts(&self) -> BTreeMap<VerifyError, u64> {
        self.signing.as_ref().map(|(_, verifier)| verifier.counts().clone()).unwrap_or_default()
    }
}
