//! Signed messages: a body with its sender, incarnation and sequence number under a message authentication code (MAC).
//!
//! The layout in bytes; integers are big-endian:
//!
//! | bytes | content |
//! |---|---|
//! | 1 | [`VERSION`] |
//! | 8 | the fleet: the first bytes of the SHA-256 of its name |
//! | 4 | the number of the sender |
//! | 8 | the incarnation of the sender |
//! | 8 | the sequence number of the message in this incarnation, from 1 |
//! | any | the body |
//! | 16 | the MAC: the first half of HMAC-SHA256 over the version, the length and the name of the fleet, and all fields above |
//!
//! The MAC is truncated to half of its length; RFC 2104, section 5, asks for at least half of it and 80 bits. A forged message is
//! accepted with a probability of 2^-128.
//!
//! A MAC proves neither the receiver of a message nor the time at which it was sent. An attacker who controls the network may
//! deliver a message late, and once to each other process of the fleet. A process that has just started has no record of received
//! messages, so earlier messages can be replayed to it once. A challenge would prevent this at the cost of one round trip before
//! the first message. Instead, **the receiver of a message must tolerate late, repeated and misdirected delivery**: the message is
//! merged by a join (accounts, placements, states of sites), or it carries a number of its own authority and belongs to one
//! incarnation (grants of budgets, incarnations of members, adopted keys). It must not be a relative command such as an increment.

use crate::keyring::{HmacSha256, Keys};
use hmac::Mac;
use miette::Diagnostic;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// First byte of each signed message. UTF-8 text never contains it, so the MAC of a message is never valid for a text file under the
/// same key, nor the reverse.
pub const VERSION: u8 = 0xF8;
/// Length of the fields before the body, in bytes.
pub const HEADER_BYTES: usize = 29;
/// Length of the MAC after the body, in bytes.
pub const MAC_BYTES: usize = 16;
/// Difference between the lengths of a signed message and its body, in bytes.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + MAC_BYTES;
/// Size of the anti-replay window (RFC 4303, section 3.4.3), in messages: sequence numbers that are at least this far below the
/// highest received one are rejected.
pub const REPLAY_WINDOW: u64 = 1024;
/// Default maximum number of senders with an anti-replay window; each takes about 200 bytes of memory.
pub const MAX_SENDERS: usize = 65_536;
/// Maximum number of senders that are logged for each reason.
const MAX_LOGGED_SENDERS: usize = 256;

/// Why a message was rejected. The error texts are labels in status replies and therefore stay.
#[derive(Clone, Copy, Debug, Diagnostic, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VerifyError {
    /// The message is shorter than its header and its MAC.
    #[error("a word too short for a code")]
    #[diagnostic(help(
        "check that the configuration of the sender names the key, and that the network does not truncate datagrams"
    ))]
    TooShort,
    /// The first byte is not [`VERSION`].
    #[error("a word without a code, or of another version")]
    #[diagnostic(help(
        "give the sender the key, or upgrade it to the version of this program; until then its messages are dropped"
    ))]
    UnknownVersion,
    /// The message belongs to another fleet.
    #[error("a word of another fleet")]
    #[diagnostic(help(
        "check that the configuration of the sender lists the addresses of this fleet, and that both configurations have the same name of the fleet"
    ))]
    OtherFleet,
    /// The MAC is not valid under any of the keys.
    #[error("a word under another key, or changed on its way")]
    #[diagnostic(help(
        "compare the key file of the sender with the one of this process; while keys are rotated, each file has to hold both keys"
    ))]
    WrongMac,
    /// The sender has a newer incarnation.
    #[error("a word of a life that its sender has left behind")]
    #[diagnostic(help(
        "if the sender is running, its clock was set back before it started: correct the clock and restart the sender, or restart this process; if two processes run under one name, stop one of them; otherwise somebody replays old messages"
    ))]
    OldIncarnation,
    /// The sequence number was received before.
    #[error("a word that was heard before")]
    #[diagnostic(help(
        "a few are datagrams that the network duplicated; many mean that somebody replays messages"
    ))]
    Replayed,
    /// The sequence number is below the anti-replay window, so the message may be a replay.
    #[error("a word too far behind the newest of its sender")]
    #[diagnostic(help("a few are delayed datagrams; if there are many, look for a network path with a long queue, or for somebody who replays messages"))]
    TooOld,
    /// There is no capacity for an anti-replay window of another sender.
    #[error("a word of one sender too many")]
    #[diagnostic(help("restart this process to forget senders that no longer exist; if the limit is reached again, somebody who has the key invents senders: change the key"))]
    TooManySenders,
}

/// Returns the HMAC state of each key after the fields that all messages of a fleet share, the newest key first.
fn keyed_macs(fleet: &str, keys: &Keys) -> Vec<HmacSha256> {
    let length = (fleet.len() as u64).to_be_bytes();
    keys.macs().map(|mac| mac.chain_update([VERSION]).chain_update(length).chain_update(fleet)).collect()
}

/// Returns the first bytes of the SHA-256 of a fleet's name.
fn fleet_id(fleet: &str) -> [u8; 8] {
    let digest: [u8; 32] = Sha256::digest(fleet.as_bytes()).into();
    std::array::from_fn(|i| digest.get(i).copied().unwrap_or_default())
}

/// Signs the messages of one incarnation of a sender.
#[derive(Clone)]
pub struct Signer {
    fleet: String,
    fleet_id: [u8; 8],
    sender: u32,
    incarnation: u64,
    sequence_number: u64,
    macs: Vec<HmacSha256>,
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Signer { fleet, sender, incarnation, sequence_number, .. } = self;
        write!(f, "Signer({fleet:?} {sender}/{incarnation}/{sequence_number})")
    }
}

impl Signer {
    /// Creates a signer for an incarnation of a sender. Incarnations have to increase; the start time in Unix microseconds does. After
    /// a clock was set back, receivers that saw the earlier incarnation reject messages as [`VerifyError::OldIncarnation`] until the
    /// process starts with a later time.
    pub fn new(fleet: &str, sender: u32, incarnation: u64, keys: &Keys) -> Signer {
        let macs = keyed_macs(fleet, keys);
        Signer {
            fleet: fleet.to_string(),
            fleet_id: fleet_id(fleet),
            sender,
            incarnation,
            sequence_number: 0,
            macs,
        }
    }

    /// Signs with the first of these keys from now on. The incarnation stays, and sequence numbers continue.
    pub fn rekey(&mut self, keys: &Keys) {
        self.macs = keyed_macs(&self.fleet, keys);
    }

    /// Returns the signed message for a body. Each call uses the next sequence number; the result may be sent to several receivers.
    pub fn sign(&mut self, body: &[u8]) -> Vec<u8> {
        self.sequence_number = self.sequence_number.saturating_add(1);
        let mut message = Vec::with_capacity(body.len() + OVERHEAD_BYTES);
        message.push(VERSION);
        message.extend_from_slice(&self.fleet_id);
        message.extend_from_slice(&self.sender.to_be_bytes());
        message.extend_from_slice(&self.incarnation.to_be_bytes());
        message.extend_from_slice(&self.sequence_number.to_be_bytes());
        message.extend_from_slice(body);
        if let Some(mac) = self.macs.first() {
            let digest = mac.clone().chain_update(&message).finalize().into_bytes();
            message.extend(digest.iter().take(MAC_BYTES));
        }
        message
    }
}

/// A message whose MAC and sequence number are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedMessage<'a> {
    /// The number of the sender.
    pub sender: u32,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The sequence number in this incarnation, from 1.
    pub sequence_number: u64,
    /// The content that the sender signed.
    pub body: &'a [u8],
}

/// The anti-replay window of an incarnation: the highest received sequence number, and one bit for each of the [`REPLAY_WINDOW`]
/// numbers up to it, at the number modulo the window.
#[derive(Clone, Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    bits: [u64; (REPLAY_WINDOW / 64) as usize],
}

impl ReplayWindow {
    fn new(incarnation: u64, sequence_number: u64) -> ReplayWindow {
        let mut window =
            ReplayWindow { incarnation, highest: sequence_number, bits: [0; (REPLAY_WINDOW / 64) as usize] };
        window.mark(sequence_number, true);
        window
    }

    fn mark(&mut self, sequence_number: u64, received: bool) {
        let (index, bit) = ((sequence_number % REPLAY_WINDOW / 64) as usize, 1 << (sequence_number % 64));
        if let Some(bits) = self.bits.get_mut(index) {
            *bits = if received { *bits | bit } else { *bits & !bit };
        }
    }

    fn contains(&self, sequence_number: u64) -> bool {
        self.bits
            .get((sequence_number % REPLAY_WINDOW / 64) as usize)
            .is_none_or(|bits| bits & (1 << (sequence_number % 64)) != 0)
    }

    fn accept(&mut self, sequence_number: u64) -> Result<(), VerifyError> {
        if sequence_number > self.highest {
            if sequence_number - self.highest >= REPLAY_WINDOW {
                self.bits = [0; (REPLAY_WINDOW / 64) as usize];
            } else {
                (self.highest + 1..sequence_number).for_each(|skipped| self.mark(skipped, false));
            }
            self.highest = sequence_number;
        } else if self.highest - sequence_number >= REPLAY_WINDOW {
            return Err(VerifyError::TooOld);
        } else if self.contains(sequence_number) {
            return Err(VerifyError::Replayed);
        }
        self.mark(sequence_number, true);
        Ok(())
    }
}

/// Verifies signed messages and accepts each of them once.
#[derive(Clone)]
pub struct Verifier {
    fleet: String,
    fleet_id: [u8; 8],
    macs: Vec<HmacSha256>,
    /// The anti-replay windows of each sender, in ascending order of incarnations.
    senders: BTreeMap<u32, Vec<ReplayWindow>>,
    /// Maximum number of incarnations of a sender that are accepted at once.
    max_incarnations: usize,
    /// Maximum number of senders with anti-replay windows.
    max_senders: usize,
    counts: BTreeMap<VerifyError, u64>,
    logged: BTreeMap<VerifyError, BTreeSet<u32>>,
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Verifier({:?}, {} senders, rejected {:?})", self.fleet, self.senders.len(), self.counts)
    }
}

impl Verifier {
    /// Creates a verifier for the messages of a fleet. It accepts [`MAX_SENDERS`] senders and one incarnation of each.
    pub fn new(fleet: &str, keys: &Keys) -> Verifier {
        Verifier {
            fleet: fleet.to_string(),
            fleet_id: fleet_id(fleet),
            macs: keyed_macs(fleet, keys),
            senders: BTreeMap::new(),
            max_incarnations: 1,
            max_senders: MAX_SENDERS,
            counts: BTreeMap::new(),
            logged: BTreeMap::new(),
        }
    }

    /// Sets the maximum number of incarnations of each sender that are accepted at once; the newest ones are kept. Two allow a process
    /// to go on for a while beside its replacement. Each incarnation has an anti-replay window of its own.
    #[must_use]
    pub fn max_incarnations(self, max_incarnations: usize) -> Verifier {
        Verifier { max_incarnations: max_incarnations.max(1), ..self }
    }

    /// Sets the maximum number of senders. Messages of others are rejected as [`VerifyError::TooManySenders`].
    #[must_use]
    pub fn max_senders(self, max_senders: usize) -> Verifier {
        Verifier { max_senders, ..self }
    }

    /// Accepts these keys from now on. The anti-replay windows stay, and rejected messages are logged once more.
    pub fn rekey(&mut self, keys: &Keys) {
        self.macs = keyed_macs(&self.fleet, keys);
        self.logged.clear();
    }

    /// Verifies a signed message. A rejected message changes only the counts.
    ///
    /// # Errors
    /// The MAC is not valid, or the message may be a replay; it has to be dropped.
    pub fn verify<'a>(&mut self, bytes: &'a [u8]) -> Result<VerifiedMessage<'a>, VerifyError> {
        let verified =
            self.authenticate(bytes).and_then(|message| self.check_replay(&message).map(|()| message));
        if let Err(refused) = verified {
            *self.counts.entry(refused).or_default() += 1;
        }
        verified
    }

    fn authenticate<'a>(&self, bytes: &'a [u8]) -> Result<VerifiedMessage<'a>, VerifyError> {
        // The version is checked first, so that a short message of an earlier program version is reported as such.
        let (version, rest) = bytes.split_first().ok_or(VerifyError::TooShort)?;
        if *version != VERSION {
            return Err(VerifyError::UnknownVersion);
        }
        let (signed, mac) = bytes.split_last_chunk::<MAC_BYTES>().ok_or(VerifyError::TooShort)?;
        let (fleet, rest) = rest.split_first_chunk::<8>().ok_or(VerifyError::TooShort)?;
        let (sender, rest) = rest.split_first_chunk::<4>().ok_or(VerifyError::TooShort)?;
        let (incarnation, rest) = rest.split_first_chunk::<8>().ok_or(VerifyError::TooShort)?;
        let (sequence_number, rest) = rest.split_first_chunk::<8>().ok_or(VerifyError::TooShort)?;
        let (body, _) = rest.split_last_chunk::<MAC_BYTES>().ok_or(VerifyError::TooShort)?;
        if *fleet != self.fleet_id {
            return Err(VerifyError::OtherFleet);
        }
        let matches =
            |state: &HmacSha256| state.clone().chain_update(signed).verify_truncated_left(mac).is_ok();
        if !self.macs.iter().any(matches) {
            return Err(VerifyError::WrongMac);
        }
        let (sender, incarnation) = (u32::from_be_bytes(*sender), u64::from_be_bytes(*incarnation));
        Ok(VerifiedMessage {
            sender,
            incarnation,
            sequence_number: u64::from_be_bytes(*sequence_number),
            body,
        })
    }

    fn check_replay(&mut self, message: &VerifiedMessage<'_>) -> Result<(), VerifyError> {
        let is_full = self.senders.len() >= self.max_senders;
        if is_full && !self.senders.contains_key(&message.sender) {
            return Err(VerifyError::TooManySenders);
        }
        let windows = self.senders.entry(message.sender).or_default();
        match windows.binary_search_by_key(&message.incarnation, |window| window.incarnation) {
            Ok(index) => windows
                .get_mut(index)
                .map_or(Err(VerifyError::OldIncarnation), |window| window.accept(message.sequence_number)),
            // Older than all accepted incarnations, whose maximum number is reached.
            Err(0) if windows.len() >= self.max_incarnations => Err(VerifyError::OldIncarnation),
            Err(index) => {
                windows.insert(index, ReplayWindow::new(message.incarnation, message.sequence_number));
                if windows.len() > self.max_incarnations {
                    windows.remove(0);
                }
                Ok(())
            }
        }
    }

    /// Returns the number of rejected messages by reason.
    pub fn counts(&self) -> &BTreeMap<VerifyError, u64> {
        &self.counts
    }

    /// Returns whether a rejection for this reason is the first one of a sender, so that each is logged once. `sender` is the claimed
    /// sender, 0 if unknown. Returns `false` once 256 senders were logged for a reason.
    pub fn is_first(&mut self, reason: VerifyError, sender: u32) -> bool {
        let logged = self.logged.entry(reason).or_default();
        logged.len() < MAX_LOGGED_SENDERS && logged.insert(sender)
    }
}
