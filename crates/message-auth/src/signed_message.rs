//! Words under a code.
//!
//! A word is, in bytes, numbers with the highest byte first:
//!
//! | bytes | what |
//! |---|---|
//! | 1 | [`VERSION`] |
//! | 8 | the fleet: the first bytes of its name's SHA-256 |
//! | 4 | the sender's number |
//! | 8 | the sender's life |
//! | 8 | the word's number in this life, from 1 |
//! | any | the body |
//! | 16 | the code: the first half of HMAC-SHA256 over the version, the fleet's name with its length, and all of the above |
//!
//! Half of the code is kept: RFC 2104, section 5, asks for at least half and 80 bits. Who tries codes has no key to try them on at home, and
//! one chance in 2^128 for each word.
//!
//! What a word's code does not say is to whom it goes and when: whoever holds the network may hand it late, or to another process of the fleet,
//! once each. And a process that was just started has heard nothing, so all that was said before to it, in the lives that it knows of, may be
//! handed to it once more. Nothing is asked of the sender to rule that out (a challenge would cost a round before the first word). So
//! **what is said under an envelope has to bear being heard late, again and elsewhere**: it is a join (accounts, placements, the states of sites)
//! or is numbered by its own authority and meant for one life (grants of budgets, membership's incarnations, keys that are adopted). It
//! must not be a command such as "one more".

use crate::keyring::{Code, Keys};
use hmac::Mac;
use miette::Diagnostic;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// The first byte of each word. No UTF-8 text holds it: a word is never taken for a file under the same key, nor the other way round.
pub const VERSION: u8 = 0xF8;
/// Bytes before the body.
pub const HEADER_BYTES: usize = 29;
/// Bytes of the code after it.
pub const MAC_BYTES: usize = 16;
/// What an envelope adds to a body, in bytes.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + MAC_BYTES;
/// Numbers below the highest one heard that are still taken, each once (the window of RFC 4303, section 3.4.3).
pub const REPLAY_WINDOW: u64 = 1024;
/// Senders that are remembered, at most; each needs some 200 bytes. Only those with a key count.
pub const MAX_SENDERS: usize = 65_536;
/// Senders that are told of for one reason, at most.
const MAX_LOGGED_SENDERS: usize = 256;

/// Why a word is not believed.
#[derive(Clone, Copy, Debug, Diagnostic, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VerifyError {
    /// There is no room for head and code.
    #[error("a word too short for a code")]
    #[diagnostic(help(
        "see that its sender reads a file that names the key, and that nothing cuts datagrams on the way"
    ))]
    TooShort,
    /// It begins otherwise.
    #[error("a word without a code, or of another version")]
    #[diagnostic(help(
        "give its sender the key, or bring it to this program's version; until then it is not heard"
    ))]
    UnknownVersion,
    /// It is meant for another fleet.
    #[error("a word of another fleet")]
    #[diagnostic(help(
        "see that its sender's file lists this fleet's addresses, and that both files name the fleet alike"
    ))]
    OtherFleet,
    /// The code is not of this word under a key that is believed.
    #[error("a word under another key, or changed on its way")]
    #[diagnostic(help(
        "compare the sender's file of keys with this one's; while keys are changed each file holds both"
    ))]
    WrongCode,
    /// The sender has begun a newer life.
    #[error("a word of a incarnation that its sender has left behind")]
    #[diagnostic(help(
        "if the sender runs now, its clock was set back before it was started: set it right and start it again, or start this process again; if two processes run under one name, end one; otherwise somebody plays old words again"
    ))]
    OldIncarnation,
    /// Its number was heard.
    #[error("a word that was heard before")]
    #[diagnostic(help("a few are datagrams that the network doubled; many: somebody plays words again"))]
    Replayed,
    /// Its number is so far back that it can't be told whether it was heard.
    #[error("a word too far behind the newest of its sender")]
    #[diagnostic(help("a few are datagrams that came late; many: look for a way with a long queue, or somebody who plays words again"))]
    TooOld,
    /// So many others are remembered that it could not be told from a repeated one later.
    #[error("a word of one sender too many")]
    #[diagnostic(help("start this process again to forget senders that are no more; if they come back, somebody with the key makes them up: change the key"))]
    TooManySenders,
}

/// The states of the code that a fleet's name leads to, the newest key first.
fn begun(fleet: &str, keys: &Keys) -> Vec<Code> {
    let length = (fleet.len() as u64).to_be_bytes();
    keys.codes().map(|c| c.chain_update([VERSION]).chain_update(length).chain_update(fleet)).collect()
}

fn short(fleet: &str) -> [u8; 8] {
    let whole: [u8; 32] = Sha256::digest(fleet.as_bytes()).into();
    std::array::from_fn(|i| whole.get(i).copied().unwrap_or_default())
}

/// Puts words under a code, for one life of one sender.
#[derive(Clone)]
pub struct Signer {
    fleet: String,
    short: [u8; 8],
    sender: u32,
    incarnation: u64,
    number: u64,
    codes: Vec<Code>,
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Signer { fleet, sender, incarnation, number, .. } = self;
        write!(f, "Signer({fleet:?} {sender}/{incarnation}/{number})")
    }
}

impl Signer {
    /// For the sender of that number. Its lives have to grow: Unix microseconds at its start will do. After a clock was set back, words of
    /// the next start are refused as [`VerifyError::OldIncarnation`] where the earlier life was heard, until the clock has caught up at a start.
    pub fn new(fleet: &str, sender: u32, incarnation: u64, keys: &Keys) -> Signer {
        let codes = begun(fleet, keys);
        Signer { fleet: fleet.to_string(), short: short(fleet), sender, incarnation, number: 0, codes }
    }

    /// Seal with the first of these from now on. Life and numbers go on.
    pub fn rekey(&mut self, keys: &Keys) {
        self.codes = begun(&self.fleet, keys);
    }

    /// The word with that body. Each has a number of its own, so what is said to several may be sealed once.
    pub fn sign(&mut self, body: &[u8]) -> Vec<u8> {
        self.number = self.number.saturating_add(1);
        let mut message = Vec::with_capacity(body.len() + OVERHEAD_BYTES);
        message.push(VERSION);
        message.extend_from_slice(&self.short);
        message.extend_from_slice(&self.sender.to_be_bytes());
        message.extend_from_slice(&self.incarnation.to_be_bytes());
        message.extend_from_slice(&self.number.to_be_bytes());
        message.extend_from_slice(body);
        if let Some(code) = self.codes.first() {
            let whole = code.clone().chain_update(&message).finalize().into_bytes();
            message.extend(whole.iter().take(MAC_BYTES));
        }
        message
    }
}

/// A word that is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedMessage<'a> {
    /// Who says it.
    pub sender: u32,
    /// In which life.
    pub incarnation: u64,
    /// Its number in that life.
    pub number: u64,
    /// What is said.
    pub body: &'a [u8],
}

/// Which numbers of a life were heard: the highest one, and those within [`REPLAY_WINDOW`] below it, a bit each at its number modulo the window.
#[derive(Clone, Debug)]
struct Received {
    incarnation: u64,
    highest: u64,
    bits: [u64; (REPLAY_WINDOW / 64) as usize],
}

impl Received {
    fn new(incarnation: u64, number: u64) -> Received {
        let mut received =
            Received { incarnation, highest: number, bits: [0; (REPLAY_WINDOW / 64) as usize] };
        received.mark(number, true);
        received
    }

    fn mark(&mut self, number: u64, received: bool) {
        let (at, bit) = ((number % REPLAY_WINDOW / 64) as usize, 1 << (number % 64));
        if let Some(bits) = self.bits.get_mut(at) {
            *bits = if received { *bits | bit } else { *bits & !bit };
        }
    }

    fn has(&self, number: u64) -> bool {
        self.bits
            .get((number % REPLAY_WINDOW / 64) as usize)
            .is_none_or(|bits| bits & (1 << (number % 64)) != 0)
    }

    fn receive(&mut self, number: u64) -> Result<(), VerifyError> {
        if number > self.highest {
            if number - self.highest >= REPLAY_WINDOW {
                self.bits = [0; (REPLAY_WINDOW / 64) as usize];
            } else {
                (self.highest + 1..number).for_each(|skipped| self.mark(skipped, false));
            }
            self.highest = number;
        } else if self.highest - number >= REPLAY_WINDOW {
            return Err(VerifyError::TooOld);
        } else if self.has(number) {
            return Err(VerifyError::Replayed);
        }
        self.mark(number, true);
        Ok(())
    }
}

/// Believes words that have a code, each once.
#[derive(Clone)]
pub struct Verifier {
    fleet: String,
    short: [u8; 8],
    codes: Vec<Code>,
    /// The newest lives of each sender, the newest last.
    senders: BTreeMap<u32, Vec<Received>>,
    /// Lives of a sender that are remembered.
    max_incarnations: usize,
    /// Senders that are remembered.
    bound: usize,
    counts: BTreeMap<VerifyError, u64>,
    notified: BTreeMap<VerifyError, BTreeSet<u32>>,
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Verifier({:?}, {} senders, refused {:?})", self.fleet, self.senders.len(), self.counts)
    }
}

impl Verifier {
    /// For words of that fleet. It remembers [`MAX_SENDERS`] and one life of each.
    pub fn new(fleet: &str, keys: &Keys) -> Verifier {
        Verifier {
            fleet: fleet.to_string(),
            short: short(fleet),
            codes: begun(fleet, keys),
            senders: BTreeMap::new(),
            max_incarnations: 1,
            bound: MAX_SENDERS,
            counts: BTreeMap::new(),
            notified: BTreeMap::new(),
        }
    }

    /// Hear that many lives of each sender at once, its newest ones: 2 where a process goes on for a while beside the one that takes its place.
    /// Each has numbers of its own, so nothing is heard twice by that.
    #[must_use]
    pub fn max_incarnations(self, max_incarnations: usize) -> Verifier {
        Verifier { max_incarnations: max_incarnations.max(1), ..self }
    }

    /// Remember that many senders; words of others are refused as [`VerifyError::TooManySenders`].
    #[must_use]
    pub fn max_senders(self, bound: usize) -> Verifier {
        Verifier { bound, ..self }
    }

    /// Believe these from now on. What was heard stays heard; what was told may be told again.
    pub fn rekey(&mut self, keys: &Keys) {
        self.codes = begun(&self.fleet, keys);
        self.notified.clear();
    }

    /// What a word says, if it is believed. One that isn't changes nothing but the counts.
    ///
    /// # Errors
    /// Why it has to be dropped.
    pub fn verify<'a>(&mut self, bytes: &'a [u8]) -> Result<VerifiedMessage<'a>, VerifyError> {
        let opened = self.believe(bytes).and_then(|message| self.receive(&message).map(|()| message));
        if let Err(refused) = opened {
            *self.counts.entry(refused).or_default() += 1;
        }
        opened
    }

    fn believe<'a>(&self, bytes: &'a [u8]) -> Result<VerifiedMessage<'a>, VerifyError> {
        // The version first: a short word of an earlier program is told as what it is.
        let (version, rest) = bytes.split_first().ok_or(VerifyError::TooShort)?;
        if *version != VERSION {
            return Err(VerifyError::UnknownVersion);
        }
        let (sent, code) = bytes.split_last_chunk::<MAC_BYTES>().ok_or(VerifyError::TooShort)?;
        let (fleet, rest) = rest.split_first_chunk::<8>().ok_or(VerifyError::TooShort)?;
        let (sender, rest) = rest.split_first_chunk::<4>().ok_or(VerifyError::TooShort)?;
        let (incarnation, rest) = rest.split_first_chunk::<8>().ok_or(VerifyError::TooShort)?;
        let (number, rest) = rest.split_first_chunk::<8>().ok_or(VerifyError::TooShort)?;
        let (body, _) = rest.split_last_chunk::<MAC_BYTES>().ok_or(VerifyError::TooShort)?;
        if *fleet != self.short {
            return Err(VerifyError::OtherFleet);
        }
        let is = |own: &Code| own.clone().chain_update(sent).verify_truncated_left(code).is_ok();
        if !self.codes.iter().any(is) {
            return Err(VerifyError::WrongCode);
        }
        let (sender, incarnation) = (u32::from_be_bytes(*sender), u64::from_be_bytes(*incarnation));
        Ok(VerifiedMessage { sender, incarnation, number: u64::from_be_bytes(*number), body })
    }

    fn receive(&mut self, message: &VerifiedMessage<'_>) -> Result<(), VerifyError> {
        let crowded = self.senders.len() >= self.bound;
        if crowded && !self.senders.contains_key(&message.sender) {
            return Err(VerifyError::TooManySenders);
        }
        let known = self.senders.entry(message.sender).or_default();
        match known.binary_search_by_key(&message.incarnation, |received| received.incarnation) {
            Ok(at) => known
                .get_mut(at)
                .map_or(Err(VerifyError::OldIncarnation), |received| received.receive(message.number)),
            // Older than all that are remembered, and there is no room for more.
            Err(0) if known.len() >= self.max_incarnations => Err(VerifyError::OldIncarnation),
            Err(at) => {
                known.insert(at, Received::new(message.incarnation, message.number));
                if known.len() > self.max_incarnations {
                    known.remove(0);
                }
                Ok(())
            }
        }
    }

    /// How many words were refused, by reason.
    pub fn counts(&self) -> &BTreeMap<VerifyError, u64> {
        &self.counts
    }

    /// Whether nobody was told yet of that reason with that sender: so a log has one line for each. The sender is who it seems to be, 0
    /// for strangers: a word that isn't believed proves none. For one reason 256 are told of; the others are counted alone.
    pub fn is_first(&mut self, reason: VerifyError, sender: u32) -> bool {
        let notified = self.notified.entry(reason).or_default();
        notified.len() < MAX_LOGGED_SENDERS && notified.insert(sender)
    }
}
