//! Distributes accounts files among all nodes by gossip, with a number of messages per node that doesn't grow with the fleet.
//!
//! A node that learns something sends it to [`FANOUT`] random peers at once (rumour mongering), and every [`DIGEST_INTERVAL`] sends
//! a digest of its registry to one random peer (anti-entropy); see "Epidemic algorithms for replicated database maintenance", Demers
//! et al., 1987. Replies carry only what the peer is missing: the accounts whose standing differs from a file that both nodes have,
//! split into pieces that fit a datagram.
//!
//! Messages may be lost, duplicated, delayed and reordered. Their size and their rate are bounded. The caller authenticates them.

use crate::config::{is_valid_text, AccountsFile, MAX_NAME_BYTES, MAX_NUMBER, MAX_REASON_BYTES};
use crate::registry::{
    AccountRegistry, Line, MergedFile, RegistryUpdate, MAX_ACCOUNTS_PER_NUMBER, MAX_FILES,
};
use crate::{AccountStatus, Micros};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Time between two digests, each sent to one random peer, in microseconds.
pub const DIGEST_INTERVAL: Micros = 200_000;
/// Random peers that are sent a change as soon as it is learned.
pub const FANOUT: usize = 3;
/// Largest encoded message in bytes, as postcard or JSON.
pub const MAX_MESSAGE_BYTES: usize = 1_200;
/// Upper bound on the JSON bytes of a [`Message::Piece`] apart from its lines.
const PIECE_HEADER_BYTES: usize = 420;
/// Rate limit for sent messages; also the burst that is allowed after a pause.
pub const MAX_MESSAGES_PER_SECOND: u32 = 200;
/// Most pieces sent in reply to one message; the peer requests the others.
const MAX_PIECES_PER_REPLY: usize = 32;
/// Most pieces sent without a request; for more, the peer is sent a digest and requests the pieces.
const MAX_UNSOLICITED_PIECES: usize = 6;
/// Most files that may be partly received at one time.
const MAX_PARTIAL_FILES: usize = 4;
/// Most missing pieces that one received message may request.
const MAX_MISSING_PIECES: usize = 64;
/// Most pieces of one file: one line per piece, with a line for each of an account's five standings.
const MAX_PIECES_PER_FILE: u32 = 5 * MAX_ACCOUNTS_PER_NUMBER as u32;
/// Most [`RegistryUpdate`]s kept until [`Gossip::take_updates`] is called; later ones are dropped and counted.
const MAX_PENDING_UPDATES: usize = 16_384;

/// One account's standing in a [`Message::Piece`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountLine {
    /// The account that the line is about.
    #[serde(rename = "a")]
    pub account: String,
    /// The account's standing; `None` removes the account, which the base file lists and the transferred one doesn't.
    #[serde(rename = "s", default)]
    pub standing: Option<AccountStatus>,
    /// Unix time in microseconds from which the standing applies.
    #[serde(rename = "f", default)]
    pub from: Micros,
    /// The operator's reason for the standing.
    #[serde(rename = "r", default)]
    pub reason: String,
}

/// Identifies a file that is sent in pieces, and the base file that the pieces are a difference to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FileTransfer {
    /// The number and digest of the transferred file.
    #[serde(rename = "p")]
    pub file: (u64, u64),
    /// The number and digest of the base file, which the receiver must have; zeros where the complete file is sent.
    #[serde(rename = "b", default)]
    pub base: (u64, u64),
    /// The number of pieces that the file is split into.
    #[serde(rename = "o")]
    pub piece_count: u32,
}

/// A gossip message. Unknown fields are ignored, and a message of an unknown kind is read as [`Message::Unknown`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Raw", into = "Raw")]
pub enum Message {
    /// A summary of the sender's registry.
    Digest {
        /// The number and digest of the sender's newest file; zeros where it has none.
        newest: (u64, u64),
        /// The hash of the sender's registry, [`AccountRegistry::hash`].
        hash: u64,
    },
    /// Lists the files that the sender has.
    Have {
        /// The number and digest of each file, newest first.
        files: Vec<(u64, u64)>,
        /// The sender requests the receiver's list if the receiver is missing one of these files.
        wants_reply: bool,
        /// Requests pieces of a partly received file by their indices.
        missing: Option<(FileTransfer, Vec<u32>)>,
    },
    /// One of the pieces that a file was split into.
    Piece {
        /// The file that the piece belongs to.
        transfer: FileTransfer,
        /// The index of the piece, from 0.
        index: u32,
        /// Different files with this number exist.
        conflicting: bool,
        /// No more pieces follow in this reply, so the receiver may request those that it is missing.
        last: bool,
        /// The entries in this piece.
        lines: Vec<AccountLine>,
    },
    /// A message of an unknown kind, with the number of the kind.
    Unknown(u32),
}

/// The encoding of [`Message`]: a single struct for all kinds, so that unknown kinds can be decoded by formats with field names (JSON)
/// and without them (postcard).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Raw {
    #[serde(rename = "w")]
    kind: u32,
    #[serde(rename = "n")]
    newest: (u64, u64),
    /// The hash of a digest; for a piece, 1 if files conflict and 0 otherwise.
    #[serde(rename = "h")]
    hash: u64,
    #[serde(rename = "p")]
    files: Vec<(u64, u64)>,
    /// Whether a list of files wants a reply; for a piece, whether it is the last one.
    #[serde(rename = "q")]
    flag: bool,
    #[serde(rename = "t")]
    transfer: FileTransfer,
    #[serde(rename = "k")]
    missing: Vec<u32>,
    #[serde(rename = "i")]
    index: u32,
    #[serde(rename = "l")]
    lines: Vec<AccountLine>,
}

impl From<Message> for Raw {
    fn from(message: Message) -> Raw {
        let raw = Raw::default();
        match message {
            Message::Digest { newest, hash } => Raw { kind: 1, newest, hash, ..raw },
            Message::Have { files, wants_reply, missing } => {
                let (transfer, missing) = missing.unwrap_or_default();
                Raw { kind: 2, files, flag: wants_reply, transfer, missing, ..raw }
            }
            Message::Piece { transfer, index, conflicting, last, lines } => {
                Raw { kind: 3, transfer, index, flag: last, hash: u64::from(conflicting), lines, ..raw }
            }
            Message::Unknown(kind) => Raw { kind, ..raw },
        }
    }
}

impl From<Raw> for Message {
    fn from(raw: Raw) -> Message {
        let Raw { kind, newest, hash, files, flag, transfer, missing, index, lines } = raw;
        match kind {
            1 => Message::Digest { newest, hash },
            2 => Message::Have {
                files,
                wants_reply: flag,
                missing: (!missing.is_empty()).then_some((transfer, missing)),
            },
            3 => Message::Piece { transfer, index, conflicting: hash != 0, last: flag, lines },
            _ => Message::Unknown(kind),
        }
    }
}

/// Monotonic message counters for the operators' status page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// Messages sent.
    #[serde(rename = "said")]
    pub sent: u64,
    /// Messages received.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Received messages of an unknown kind.
    pub unknown: u64,
    /// Received messages that were invalid: sizes or numbers out of range, or contents that don't match the file's digest.
    pub refused: u64,
    /// Messages not sent because of the rate limit; a later digest makes up for them.
    pub held_back: u64,
    /// Registry updates dropped because the caller didn't fetch them in time.
    #[serde(rename = "untold")]
    pub dropped_updates: u64,
}

/// A file of which some pieces are still missing.
#[derive(Clone, Debug, PartialEq)]
struct PartialFile {
    transfer: FileTransfer,
    conflicting: bool,
    received: BTreeMap<u32, Vec<AccountLine>>,
    line_count: usize,
}

/// The gossip state of one node.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: u32,
    peers: Vec<u32>,
    random: Rand64,
    registry: AccountRegistry,
    next_digest: Micros,
    tokens: u32,
    refilled_at: Micros,
    outgoing: VecDeque<(u32, Message)>,
    partial_files: VecDeque<PartialFile>,
    /// The pieces of the file that was sent last, as several peers usually request the same file.
    cached_pieces: Option<(FileTransfer, Arc<[Vec<AccountLine>]>)>,
    updates: Vec<RegistryUpdate>,
    message_counts: Counts,
}

/// Returns the size of `text` in JSON, without the quotes.
fn json_bytes(text: &str) -> usize {
    text.chars().map(|c| if c == '"' || c == '\\' { 2 } else { c.len_utf8() }).sum()
}

/// Returns an upper bound on the encoded size of a line in bytes, for JSON and postcard.
fn max_line_bytes(line: &AccountLine) -> usize {
    64 + json_bytes(&line.account) + json_bytes(&line.reason)
}

fn all_lines(file: &MergedFile) -> impl Iterator<Item = AccountLine> + '_ {
    file.accounts.iter().flat_map(|(account, lines)| lines_of(account, lines))
}

fn lines_of<'a>(account: &'a str, lines: &'a [Line]) -> impl Iterator<Item = AccountLine> + 'a {
    lines.iter().map(|l| AccountLine {
        account: account.to_string(),
        standing: Some(l.standing),
        from: l.from.0,
        reason: l.reason.clone(),
    })
}

/// Splits a file, or its difference to `base`, into pieces. Every node gets the same pieces, so a receiver may combine pieces from
/// several senders.
fn split_into_pieces(file: &MergedFile, base: Option<&MergedFile>) -> Vec<Vec<AccountLine>> {
    let lines: Vec<AccountLine> = match base {
        None => all_lines(file).collect(),
        Some(base) => {
            let removed = base.accounts.keys().filter(|a| !file.accounts.contains_key(*a));
            let removed = removed.map(|a| AccountLine {
                account: a.clone(),
                standing: None,
                from: 0,
                reason: String::new(),
            });
            let changed = file.accounts.iter().filter(|(a, lines)| base.accounts.get(*a) != Some(lines));
            removed.chain(changed.flat_map(|(a, lines)| lines_of(a, lines))).collect()
        }
    };
    let (mut pieces, mut left) = (vec![Vec::new()], MAX_MESSAGE_BYTES - PIECE_HEADER_BYTES);
    for line in lines {
        let size = max_line_bytes(&line);
        if size > left {
            pieces.push(Vec::new());
            left = MAX_MESSAGE_BYTES - PIECE_HEADER_BYTES;
        }
        left = left.saturating_sub(size);
        pieces.iter_mut().last().into_iter().for_each(|piece| piece.push(line.clone()));
    }
    pieces
}

impl Gossip {
    /// Creates the state of a node with an empty registry. `me` and `peers` are node numbers; `me` is removed from the peers.
    ///
    /// `seed` must differ between restarts of a node; `now` is monotonic time.
    pub fn new(me: u32, mut peers: Vec<u32>, seed: u64, now: Micros) -> Gossip {
        peers.retain(|p| *p != me);
        peers.sort_unstable();
        peers.dedup();
        let mut random = Rand64::new(u128::from(seed));
        // A random offset spreads the digests of all nodes over the interval.
        let next_digest = now.saturating_add(random.rand_range(0..DIGEST_INTERVAL as u64) as Micros);
        Gossip {
            me,
            peers,
            random,
            registry: AccountRegistry::new(),
            next_digest,
            tokens: MAX_MESSAGES_PER_SECOND,
            refilled_at: now,
            outgoing: VecDeque::new(),
            partial_files: VecDeque::new(),
            cached_pieces: None,
            updates: Vec::new(),
            message_counts: Counts::default(),
        }
    }

    /// Replaces the peers. The node's own number is removed from them.
    pub fn set_peers(&mut self, mut peers: Vec<u32>) {
        peers.retain(|p| *p != self.me);
        peers.sort_unstable();
        peers.dedup();
        self.peers = peers;
    }

    /// Merges the registry read from disk at startup, without reporting updates or sending messages.
    pub fn restore(&mut self, registry: &AccountRegistry) {
        drop(self.registry.merge(registry));
    }

    /// Adds a verified accounts file that this node received from an operator, and announces it if it changed the registry.
    pub fn add_file(&mut self, accounts_file: &AccountsFile, now: Micros) {
        let hash_before = self.registry.hash();
        let updates = self.registry.add_file(accounts_file);
        self.queue_updates(updates);
        if self.registry.hash() != hash_before {
            self.announce(accounts_file.number, now);
        }
    }

    fn queue_updates(&mut self, updates: Vec<RegistryUpdate>) {
        for update in updates {
            if self.updates.len() < MAX_PENDING_UPDATES {
                self.updates.push(update);
            } else {
                self.message_counts.dropped_updates = self.message_counts.dropped_updates.saturating_add(1);
            }
        }
    }

    /// Handles a message from the node with number `from`, which the caller has authenticated. `now` is monotonic time.
    pub fn receive(&mut self, from: u32, message: &Message, now: Micros) {
        self.message_counts.received = self.message_counts.received.saturating_add(1);
        let valid = match message {
            Message::Digest { newest, .. } => newest.0 <= MAX_NUMBER,
            Message::Have { files, missing, .. } => {
                files.len() <= MAX_FILES
                    && missing.as_ref().is_none_or(|(_, k)| k.len() <= MAX_MISSING_PIECES)
            }
            Message::Piece { transfer, index, lines, .. } => is_valid_piece(transfer, *index, lines),
            Message::Unknown(_) => {
                self.message_counts.unknown = self.message_counts.unknown.saturating_add(1);
                return;
            }
        };
        if !valid || from == self.me {
            self.message_counts.refused = self.message_counts.refused.saturating_add(1);
            return;
        }
        match message {
            Message::Digest { newest, hash } => self.receive_digest(from, *newest, *hash, now),
            Message::Have { files, wants_reply, missing } => {
                let mut max_pieces = MAX_PIECES_PER_REPLY;
                let mut known_or_sent = files.clone();
                if let Some((transfer, indices)) = missing {
                    let sent = self.send_pieces(from, *transfer, indices, now);
                    max_pieces = max_pieces.saturating_sub(sent);
                    known_or_sent.extend((sent > 0).then_some(transfer.file));
                }
                self.send_missing(from, files, &known_or_sent, max_pieces, now);
                if *wants_reply && files.iter().any(|(n, d)| self.registry.is_missing(*n, *d)) {
                    self.send_have(from, false, now);
                }
            }
            Message::Piece { transfer, index, conflicting, last, lines } => {
                self.receive_piece(from, *transfer, *index, *conflicting, lines, now);
                if *last && self.partial_files.iter().any(|p| p.transfer == *transfer) {
                    self.send_have(from, false, now);
                }
            }
            Message::Unknown(_) => {}
        }
    }

    fn receive_digest(&mut self, from: u32, newest: (u64, u64), hash: u64, now: Micros) {
        if hash == self.registry.hash() {
            return;
        }
        // A sender whose newest file is known here, or that has none, needs only newer files; any other has to list its files first.
        let sender_is_behind =
            newest.0 < self.registry.newest_number() && (newest.0 == 0 || self.has(newest));
        let newer: Vec<(u64, u64)> =
            self.registry.file_ids().into_iter().filter(|p| p.0 > newest.0).collect();
        let count_or_max = |pieces: Option<Arc<[Vec<AccountLine>]>>| {
            pieces.map_or(MAX_PIECES_PER_REPLY, |pieces| pieces.len())
        };
        let few = newer.len() <= MAX_UNSOLICITED_PIECES
            && newer.iter().map(|p| count_or_max(self.pieces_of(*p, newest))).sum::<usize>()
                <= MAX_UNSOLICITED_PIECES;
        if !sender_is_behind || !few {
            return self.send_have(from, true, now);
        }
        for file in newer {
            self.send_file(from, file, newest, MAX_UNSOLICITED_PIECES, now);
        }
    }

    /// Whether the registry has the file with this number and digest.
    fn has(&self, file: (u64, u64)) -> bool {
        self.registry.file(file.0).is_some_and(|p| p.digest == file.1)
    }

    /// Returns the pieces of a file relative to `base`; `None` if this node is missing either file.
    fn pieces_of(&mut self, file: (u64, u64), base: (u64, u64)) -> Option<Arc<[Vec<AccountLine>]>> {
        if let Some((_, pieces)) =
            self.cached_pieces.as_ref().filter(|(t, _)| (t.file, t.base) == (file, base))
        {
            return Some(pieces.clone());
        }
        let find_file = |file: (u64, u64)| self.registry.file(file.0).filter(|p| p.digest == file.1);
        let base_file = if base.0 == 0 { None } else { Some(find_file(base)?) };
        let pieces: Arc<[Vec<AccountLine>]> = split_into_pieces(find_file(file)?, base_file).into();
        self.cached_pieces =
            Some((FileTransfer { file, base, piece_count: pieces.len() as u32 }, pieces.clone()));
        Some(pieces)
    }

    /// Sends the files that a peer with the files `peer_files` is missing, newest first, except for those in `skipped`.
    fn send_missing(
        &mut self,
        to: u32,
        peer_files: &[(u64, u64)],
        skipped: &[(u64, u64)],
        mut max_pieces: usize,
        now: Micros,
    ) {
        let min_number =
            if peer_files.len() < MAX_FILES { 0 } else { peer_files.iter().map(|p| p.0).min().unwrap_or(0) };
        let own_files = self.registry.file_ids();
        let common: Vec<(u64, u64)> = own_files.iter().filter(|p| peer_files.contains(p)).copied().collect();
        for file in own_files.into_iter().filter(|p| p.0 >= min_number && !skipped.contains(p)) {
            let nearest_common = common.iter().min_by_key(|b| b.0.abs_diff(file.0)).copied();
            if max_pieces == 0 || !self.has_token(now) {
                return;
            }
            max_pieces = max_pieces.saturating_sub(self.send_file(
                to,
                file,
                nearest_common.unwrap_or_default(),
                max_pieces,
                now,
            ));
        }
    }

    /// Sends the first `max_pieces` pieces of a file and returns how many there were.
    fn send_file(
        &mut self,
        to: u32,
        file: (u64, u64),
        base: (u64, u64),
        max_pieces: usize,
        now: Micros,
    ) -> usize {
        let Some(pieces) = self.pieces_of(file, base) else { return 0 };
        let transfer = FileTransfer { file, base, piece_count: pieces.len() as u32 };
        let indices: Vec<u32> = (0..transfer.piece_count).take(max_pieces).collect();
        self.send_pieces(to, transfer, &indices, now)
    }

    fn send_pieces(&mut self, to: u32, transfer: FileTransfer, indices: &[u32], now: Micros) -> usize {
        let all = self.pieces_of(transfer.file, transfer.base).unwrap_or_default();
        if all.len() != transfer.piece_count as usize {
            return 0;
        }
        let conflicting = self.registry.file(transfer.file.0).is_some_and(|p| p.conflicting);
        let indices: Vec<u32> = indices
            .iter()
            .copied()
            .filter(|index| *index < transfer.piece_count)
            .take(MAX_PIECES_PER_REPLY)
            .collect();
        for index in &indices {
            let lines = all.get(*index as usize).cloned().unwrap_or_default();
            let last = indices.last() == Some(index);
            self.send(to, Message::Piece { transfer, index: *index, conflicting, last, lines }, now);
        }
        indices.len()
    }

    fn send_have(&mut self, to: u32, wants_reply: bool, now: Micros) {
        let registry = &self.registry;
        self.partial_files.retain(|p| registry.is_missing(p.transfer.file.0, p.transfer.file.1));
        let missing = self.partial_files.back().map(|p| {
            let missing = (0..p.transfer.piece_count)
                .filter(|index| !p.received.contains_key(index))
                .take(MAX_PIECES_PER_REPLY);
            (p.transfer, missing.collect())
        });
        self.send(to, Message::Have { files: self.registry.file_ids(), wants_reply, missing }, now);
    }

    /// Stores a piece, and merges the file into the registry once all of its pieces are here.
    fn receive_piece(
        &mut self,
        from: u32,
        transfer: FileTransfer,
        index: u32,
        conflicting: bool,
        lines: &[AccountLine],
        now: Micros,
    ) {
        let FileTransfer { file: (number, digest), base, piece_count } = transfer;
        if !self.registry.is_missing(number, digest) {
            return;
        }
        if base.0 != 0 && !self.has(base) {
            return self.send_have(from, false, now);
        }
        let position =
            self.partial_files.iter().position(|p| p.transfer == transfer && p.conflicting == conflicting);
        let mut partial = position.and_then(|k| self.partial_files.remove(k)).unwrap_or(PartialFile {
            transfer,
            conflicting,
            received: BTreeMap::new(),
            line_count: 0,
        });
        if partial.received.insert(index, lines.to_vec()).is_none() {
            partial.line_count += lines.len();
        }
        if partial.line_count > MAX_PIECES_PER_FILE as usize + 2 * MAX_ACCOUNTS_PER_NUMBER {
            self.message_counts.refused = self.message_counts.refused.saturating_add(1);
            return;
        }
        if partial.received.len() < piece_count as usize {
            self.partial_files.push_back(partial);
            if self.partial_files.len() > MAX_PARTIAL_FILES {
                self.partial_files.pop_front();
            }
            return;
        }
        self.partial_files.retain(|p| p.transfer.file != (number, digest));
        let mut accounts = match self.registry.file(base.0) {
            Some(file) if base.0 != 0 => file.accounts.clone(),
            _ => BTreeMap::new(),
        };
        let received_lines: Vec<&AccountLine> = partial.received.values().flatten().collect();
        let listed: BTreeSet<&str> = received_lines.iter().map(|t| t.account.as_str()).collect();
        accounts.retain(|a, _| !listed.contains(a.as_str()));
        for line in received_lines {
            if let Some(standing) = line.standing {
                let entry = Line { standing, from: Reverse(line.from), reason: line.reason.clone() };
                accounts.entry(line.account.clone()).or_default().push(entry);
            }
        }
        let file = MergedFile::new(number, accounts, conflicting);
        if file.digest != digest {
            self.message_counts.refused = self.message_counts.refused.saturating_add(1);
            return;
        }
        let hash_before = self.registry.hash();
        let updates = self.registry.merge_file(number, &file);
        self.queue_updates(updates);
        if self.registry.hash() != hash_before {
            self.announce(number, now);
        }
    }

    /// Sends the file with this number to some random peers, or a digest if the file has too many pieces.
    fn announce(&mut self, number: u64, now: Micros) {
        let file_ids = self.registry.file_ids();
        let Some(file) = file_ids.iter().find(|p| p.0 == number).copied() else { return };
        let base = file_ids.iter().find(|p| p.0 < number).copied().unwrap_or_default();
        let short_enough =
            self.pieces_of(file, base).is_some_and(|pieces| pieces.len() <= MAX_UNSOLICITED_PIECES);
        for to in self.random_peers(FANOUT) {
            if short_enough {
                self.send_file(to, file, base, MAX_UNSOLICITED_PIECES, now);
            } else {
                self.send_digest(to, now);
            }
        }
    }

    /// Returns up to `count` different random peers.
    fn random_peers(&mut self, count: usize) -> Vec<u32> {
        let mut indices = BTreeSet::new();
        let all = self.peers.len() as u64;
        while indices.len() < count.min(self.peers.len()) {
            indices.insert(self.random.rand_range(0..all));
        }
        indices.into_iter().filter_map(|k| self.peers.get(k as usize).copied()).collect()
    }

    fn send_digest(&mut self, to: u32, now: Micros) {
        let newest = self.registry.file_ids().first().copied().unwrap_or_default();
        self.send(to, Message::Digest { newest, hash: self.registry.hash() }, now);
    }

    /// Refills the token bucket of the rate limit and returns whether a message may be sent.
    fn has_token(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.refilled_at).clamp(0, 1_000_000);
        let new_tokens = passed as u64 * u64::from(MAX_MESSAGES_PER_SECOND) / 1_000_000;
        if new_tokens > 0 {
            self.tokens = (self.tokens + new_tokens as u32).min(MAX_MESSAGES_PER_SECOND);
            self.refilled_at = now;
        }
        self.tokens > 0
    }

    fn send(&mut self, to: u32, message: Message, now: Micros) {
        if !self.has_token(now) {
            self.message_counts.held_back = self.message_counts.held_back.saturating_add(1);
            return;
        }
        self.tokens -= 1;
        self.message_counts.sent = self.message_counts.sent.saturating_add(1);
        self.outgoing.push_back((to, message));
    }

    /// Sends a digest to one random peer if one is due. `now` is monotonic time.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_digest {
            return;
        }
        self.next_digest = now.saturating_add(DIGEST_INTERVAL);
        for to in self.random_peers(1) {
            self.send_digest(to, now);
        }
    }

    /// Returns the time after `now`, in microseconds, by which [`Gossip::tick`] must be called.
    pub fn due(&self, now: Micros) -> Micros {
        self.next_digest.saturating_sub(now).max(0)
    }

    /// Drains the queued messages, each with the number of the node to send it to.
    pub fn take_outgoing(&mut self) -> Vec<(u32, Message)> {
        self.outgoing.drain(..).collect()
    }

    /// Returns this node's registry.
    pub fn registry(&self) -> &AccountRegistry {
        &self.registry
    }

    /// Drains the registry updates since the last call.
    pub fn take_updates(&mut self) -> Vec<RegistryUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Returns the message counters.
    pub fn counts(&self) -> Counts {
        self.message_counts
    }
}

/// Whether the numbers, sizes and texts of a piece are within their bounds.
fn is_valid_piece(transfer: &FileTransfer, index: u32, lines: &[AccountLine]) -> bool {
    let FileTransfer { file, base, piece_count } = *transfer;
    let numbers_valid = (1..=MAX_NUMBER).contains(&file.0) && base.0 <= MAX_NUMBER && base.0 != file.0;
    let bytes: usize = lines.iter().map(max_line_bytes).sum();
    let line_valid = |t: &AccountLine| {
        !t.account.is_empty()
            && is_valid_text(&t.account, MAX_NAME_BYTES)
            && is_valid_text(&t.reason, MAX_REASON_BYTES)
    };
    numbers_valid
        && index < piece_count
        && piece_count <= MAX_PIECES_PER_FILE
        && bytes <= MAX_MESSAGE_BYTES
        && lines.iter().all(line_valid)
}
