//! How a file reaches every node, with words per node that don't grow with the fleet: who learns something tells three others at once,
//! and each tells one other now and then what it knows ("Epidemic algorithms for replicated database maintenance", Demers et
//! al., 1987: rumours and anti-entropy). Answers bring only what the other missing: the accounts that stand otherwise than in a file that
//! both have, in pieces that fit a datagram.
//!
//! Words may be lost, doubled, late and out of order. Each is bounded, as is how much is said in a second. Who sent a word,
//! and that it is believed, is the caller's to say.

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

/// One other is told what is known this often, in microseconds.
pub const DIGEST_INTERVAL: Micros = 200_000;
/// Others that are told at once of what was learned.
pub const FANOUT: usize = 3;
/// A word has this many bytes at most, as postcard or JSON.
pub const MAX_MESSAGE_BYTES: usize = 1_200;
/// Bytes of a piece that are not its lines, as JSON, at most.
const PIECE_HEADER_BYTES: usize = 420;
/// Words that are said in a second at most, and at once.
pub const MAX_MESSAGES_PER_SECOND: u32 = 200;
/// Pieces that one word is answered with at most; the rest is asked for.
const MAX_PIECES_PER_REPLY: usize = 32;
/// Pieces that are told unasked; where there are more, it is told that there is something.
const MAX_UNSOLICITED_PIECES: usize = 6;
/// Files that come in pieces at the same time, at most.
const MAX_PARTIAL_FILES: usize = 4;
/// Pieces that one word asks for.
const MAX_MISSING_PIECES: usize = 64;
/// Pieces of one file at most: each account's five lines alone in one.
const MAX_PIECES_PER_FILE: u32 = 5 * MAX_ACCOUNTS_PER_NUMBER as u32;
/// News that wait to be fetched, at most.
const MAX_PENDING_UPDATES: usize = 16_384;

/// Lines of one account in a piece.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountLine {
    /// The account.
    #[serde(rename = "a")]
    pub account: String,
    /// Where it stands; none where the file does not name it and the one that both have does.
    #[serde(rename = "s", default)]
    pub standing: Option<AccountStatus>,
    /// From when on, in Unix time.
    #[serde(rename = "f", default)]
    pub from: Micros,
    /// Why.
    #[serde(rename = "r", default)]
    pub reason: String,
}

/// Which file is told in pieces, and over which other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FileTransfer {
    /// The number and digest of the file.
    #[serde(rename = "p")]
    pub file: (u64, u64),
    /// The number and digest of one that the hearer has: only differences are told. Zeros for none.
    #[serde(rename = "b", default)]
    pub base: (u64, u64),
    /// How many pieces there are.
    #[serde(rename = "o")]
    pub piece_count: u32,
}

/// One word. Fields that a program doesn't know are passed over, and a word that it doesn't know is [`Message::Unknown`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Raw", into = "Raw")]
pub enum Message {
    /// What the sender knows, in short.
    Digest {
        /// The number and digest of its newest file; zeros for none.
        newest: (u64, u64),
        /// Of its whole registry.
        hash: u64,
    },
    /// The files that the sender has.
    Have {
        /// Numbers and digests.
        files: Vec<(u64, u64)>,
        /// It wants to hear what the hearer has.
        wants_reply: bool,
        /// A file of which it missing pieces, and which.
        missing: Option<(FileTransfer, Vec<u32>)>,
    },
    /// A piece of a file.
    Piece {
        /// Of which.
        transfer: FileTransfer,
        /// Which one, from 0.
        index: u32,
        /// There were two files of that number.
        conflicting: bool,
        /// For now it is the last that the sender says.
        last: bool,
        /// What it says.
        lines: Vec<AccountLine>,
    },
    /// A word of a kind that this program doesn't know.
    Unknown(u32),
}

/// How words are written: one shape for all, so that what is unknown can be passed over, in formats that name fields and in those
/// that don't.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Raw {
    w: u32,
    n: (u64, u64),
    h: u64,
    p: Vec<(u64, u64)>,
    q: bool,
    t: FileTransfer,
    k: Vec<u32>,
    i: u32,
    l: Vec<AccountLine>,
}

impl From<Message> for Raw {
    fn from(message: Message) -> Raw {
        let raw = Raw::default();
        match message {
            Message::Digest { newest, hash } => Raw { w: 1, n: newest, h: hash, ..raw },
            Message::Have { files, wants_reply, missing } => {
                let (t, k) = missing.unwrap_or_default();
                Raw { w: 2, p: files, q: wants_reply, t, k, ..raw }
            }
            Message::Piece { transfer, index, conflicting, last, lines } => {
                Raw { w: 3, t: transfer, i: index, q: last, h: u64::from(conflicting), l: lines, ..raw }
            }
            Message::Unknown(w) => Raw { w, ..raw },
        }
    }
}

impl From<Raw> for Message {
    fn from(raw: Raw) -> Message {
        let Raw { w, n, h, p, q, t, k, i, l } = raw;
        match w {
            1 => Message::Digest { newest: n, hash: h },
            2 => Message::Have { files: p, wants_reply: q, missing: (!k.is_empty()).then_some((t, k)) },
            3 => Message::Piece { transfer: t, index: i, conflicting: h != 0, last: q, lines: l },
            _ => Message::Unknown(w),
        }
    }
}

/// What was heard and said, for the door; all grow only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// Words said.
    #[serde(rename = "said")]
    pub sent: u64,
    /// Words heard.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Of these, words of a kind that is not known.
    pub unknown: u64,
    /// Of these, words that can't be: too long, numbers out of range, a file that is not what its digest says.
    pub refused: u64,
    /// Words not said because too many were within the second; the next digest makes up for it.
    pub held_back: u64,
    /// News that nobody fetched in time.
    #[serde(rename = "untold")]
    pub dropped_updates: u64,
}

/// A file of which not all pieces were heard yet.
#[derive(Clone, Debug, PartialEq)]
struct PartialFile {
    transfer: FileTransfer,
    conflicting: bool,
    received: BTreeMap<u32, Vec<AccountLine>>,
    line_count: usize,
}

/// One node's part in transfer everybody.
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
    partials: VecDeque<PartialFile>,
    /// What was told last, in pieces; many ask for the same.
    cached_pieces: Option<(FileTransfer, Arc<[Vec<AccountLine>]>)>,
    updates: Vec<RegistryUpdate>,
    counts: Counts,
}

/// Bytes of a text as JSON.
fn json_bytes(text: &str) -> usize {
    text.chars().map(|c| if c == '"' || c == '\\' { 2 } else { c.len_utf8() }).sum()
}

/// Bytes of a line in a piece at most, in either format.
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

/// What tells a file to one who has the base, in pieces; the same at every node.
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
    /// A node that knows nothing yet, with the numbers of all others. `seed` is drawn anew for each life; `now` is on the steady clock.
    pub fn new(me: u32, mut peers: Vec<u32>, seed: u64, now: Micros) -> Gossip {
        peers.retain(|p| *p != me);
        peers.sort_unstable();
        peers.dedup();
        let mut random = Rand64::new(u128::from(seed));
        // Not all at the same time.
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
            partials: VecDeque::new(),
            cached_pieces: None,
            updates: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Who else is there from now on.
    pub fn set_peers(&mut self, mut peers: Vec<u32>) {
        peers.retain(|p| *p != self.me);
        peers.sort_unstable();
        peers.dedup();
        self.peers = peers;
    }

    /// Take in what the disk says, as a node starts; that is no news, and nobody is told at once.
    pub fn restore(&mut self, book: &AccountRegistry) {
        drop(self.registry.merge(book));
    }

    /// A file was handed to this node.
    pub fn add_file(&mut self, accounts_file: &AccountsFile, now: Micros) {
        let before = self.registry.hash();
        let updates = self.registry.add_file(accounts_file);
        self.queue_updates(updates);
        if self.registry.hash() != before {
            self.announce(accounts_file.number, now);
        }
    }

    fn queue_updates(&mut self, updates: Vec<RegistryUpdate>) {
        for update in updates {
            if self.updates.len() < MAX_PENDING_UPDATES {
                self.updates.push(update);
            } else {
                self.counts.dropped_updates = self.counts.dropped_updates.saturating_add(1);
            }
        }
    }

    /// Somebody else said that.
    pub fn receive(&mut self, from: u32, message: &Message, now: Micros) {
        self.counts.received = self.counts.received.saturating_add(1);
        let valid = match message {
            Message::Digest { newest, .. } => newest.0 <= MAX_NUMBER,
            Message::Have { files, missing, .. } => {
                files.len() <= MAX_FILES
                    && missing.as_ref().is_none_or(|(_, k)| k.len() <= MAX_MISSING_PIECES)
            }
            Message::Piece { transfer, index, lines, .. } => is_valid_piece(transfer, *index, lines),
            Message::Unknown(_) => {
                self.counts.unknown = self.counts.unknown.saturating_add(1);
                return;
            }
        };
        if !valid || from == self.me {
            self.counts.refused = self.counts.refused.saturating_add(1);
            return;
        }
        match message {
            Message::Digest { newest, hash } => self.receive_digest(from, *newest, *hash, now),
            Message::Have { files, wants_reply, missing } => {
                let mut max_pieces = MAX_PIECES_PER_REPLY;
                let mut skipped = files.clone();
                if let Some((transfer, which)) = missing {
                    let sent = self.send_pieces(from, *transfer, which, now);
                    max_pieces = max_pieces.saturating_sub(sent);
                    skipped.extend((sent > 0).then_some(transfer.file));
                }
                self.send_missing(from, files, &skipped, max_pieces, now);
                if *wants_reply && files.iter().any(|(n, d)| self.registry.is_missing(*n, *d)) {
                    self.send_have(from, false, now);
                }
            }
            Message::Piece { transfer, index, conflicting, last, lines } => {
                self.receive_piece(from, *transfer, *index, *conflicting, lines, now);
                if *last && self.partials.iter().any(|p| p.transfer == *transfer) {
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
        // One that has what this node had before missing only what is newer; otherwise it has to say what it has.
        let sender_is_behind =
            newest.0 < self.registry.newest_number() && (newest.0 == 0 || self.has(newest));
        let newer: Vec<(u64, u64)> =
            self.registry.file_ids().into_iter().filter(|p| p.0 > newest.0).collect();
        let piece_count = |pieces: Option<Arc<[Vec<AccountLine>]>>| {
            pieces.map_or(MAX_PIECES_PER_REPLY, |pieces| pieces.len())
        };
        let few = newer.len() <= MAX_UNSOLICITED_PIECES
            && newer.iter().map(|p| piece_count(self.pieces_of(*p, newest))).sum::<usize>()
                <= MAX_UNSOLICITED_PIECES;
        if !sender_is_behind || !few {
            return self.send_have(from, true, now);
        }
        for file in newer {
            self.send_file(from, file, newest, MAX_UNSOLICITED_PIECES, now);
        }
    }

    /// Whether this node has that file.
    fn has(&self, file: (u64, u64)) -> bool {
        self.registry.file(file.0).is_some_and(|p| p.digest == file.1)
    }

    fn pieces_of(&mut self, file: (u64, u64), base: (u64, u64)) -> Option<Arc<[Vec<AccountLine>]>> {
        if let Some((_, pieces)) =
            self.cached_pieces.as_ref().filter(|(t, _)| (t.file, t.base) == (file, base))
        {
            return Some(pieces.clone());
        }
        let of = |file: (u64, u64)| self.registry.file(file.0).filter(|p| p.digest == file.1);
        let base_page = if base.0 == 0 { None } else { Some(of(base)?) };
        let pieces: Arc<[Vec<AccountLine>]> = split_into_pieces(of(file)?, base_page).into();
        self.cached_pieces =
            Some((FileTransfer { file, base, piece_count: pieces.len() as u32 }, pieces.clone()));
        Some(pieces)
    }

    /// What another missing that has those, the newest first; `told` are those that it has or is told already.
    fn send_missing(
        &mut self,
        to: u32,
        theirs: &[(u64, u64)],
        skipped: &[(u64, u64)],
        mut max_pieces: usize,
        now: Micros,
    ) {
        let min_number =
            if theirs.len() < MAX_FILES { 0 } else { theirs.iter().map(|p| p.0).min().unwrap_or(0) };
        let own = self.registry.file_ids();
        let common: Vec<(u64, u64)> = own.iter().filter(|p| theirs.contains(p)).copied().collect();
        for file in own.into_iter().filter(|p| p.0 >= min_number && !skipped.contains(p)) {
            let nearest = common.iter().min_by_key(|b| b.0.abs_diff(file.0)).copied();
            if max_pieces == 0 || !self.has_token(now) {
                return;
            }
            max_pieces = max_pieces.saturating_sub(self.send_file(
                to,
                file,
                nearest.unwrap_or_default(),
                max_pieces,
                now,
            ));
        }
    }

    /// Tell a file, as much as there is room for; returns how many pieces were said.
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
        let which: Vec<u32> = (0..transfer.piece_count).take(max_pieces).collect();
        self.send_pieces(to, transfer, &which, now)
    }

    fn send_pieces(&mut self, to: u32, transfer: FileTransfer, which: &[u32], now: Micros) -> usize {
        let all = self.pieces_of(transfer.file, transfer.base).unwrap_or_default();
        if all.len() != transfer.piece_count as usize {
            return 0;
        }
        let conflicting = self.registry.file(transfer.file.0).is_some_and(|p| p.conflicting);
        let which: Vec<u32> = which
            .iter()
            .copied()
            .filter(|index| *index < transfer.piece_count)
            .take(MAX_PIECES_PER_REPLY)
            .collect();
        for index in &which {
            let lines = all.get(*index as usize).cloned().unwrap_or_default();
            let last = which.last() == Some(index);
            self.send(to, Message::Piece { transfer, index: *index, conflicting, last, lines }, now);
        }
        which.len()
    }

    fn send_have(&mut self, to: u32, wants_reply: bool, now: Micros) {
        let registry = &self.registry;
        self.partials.retain(|p| registry.is_missing(p.transfer.file.0, p.transfer.file.1));
        let missing = self.partials.back().map(|p| {
            let missing = (0..p.transfer.piece_count)
                .filter(|index| !p.received.contains_key(index))
                .take(MAX_PIECES_PER_REPLY);
            (p.transfer, missing.collect())
        });
        self.send(to, Message::Have { files: self.registry.file_ids(), wants_reply, missing }, now);
    }

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
            self.partials.iter().position(|p| p.transfer == transfer && p.conflicting == conflicting);
        let mut partial = position.and_then(|k| self.partials.remove(k)).unwrap_or(PartialFile {
            transfer,
            conflicting,
            received: BTreeMap::new(),
            line_count: 0,
        });
        if partial.received.insert(index, lines.to_vec()).is_none() {
            partial.line_count += lines.len();
        }
        if partial.line_count > MAX_PIECES_PER_FILE as usize + 2 * MAX_ACCOUNTS_PER_NUMBER {
            self.counts.refused = self.counts.refused.saturating_add(1);
            return;
        }
        if partial.received.len() < piece_count as usize {
            self.partials.push_back(partial);
            if self.partials.len() > MAX_PARTIAL_FILES {
                self.partials.pop_front();
            }
            return;
        }
        self.partials.retain(|p| p.transfer.file != (number, digest));
        let mut accounts = match self.registry.file(base.0) {
            Some(file) if base.0 != 0 => file.accounts.clone(),
            _ => BTreeMap::new(),
        };
        let all: Vec<&AccountLine> = partial.received.values().flatten().collect();
        let named: BTreeSet<&str> = all.iter().map(|t| t.account.as_str()).collect();
        accounts.retain(|a, _| !named.contains(a.as_str()));
        for line in all {
            if let Some(standing) = line.standing {
                let entry = Line { standing, from: Reverse(line.from), reason: line.reason.clone() };
                accounts.entry(line.account.clone()).or_default().push(entry);
            }
        }
        let file = MergedFile::new(number, accounts, conflicting);
        if file.digest != digest {
            self.counts.refused = self.counts.refused.saturating_add(1);
            return;
        }
        let before = self.registry.hash();
        let updates = self.registry.merge_file(number, &file);
        self.queue_updates(updates);
        if self.registry.hash() != before {
            self.announce(number, now);
        }
    }

    /// Tell some others at once.
    fn announce(&mut self, number: u64, now: Micros) {
        let listed = self.registry.file_ids();
        let Some(file) = listed.iter().find(|p| p.0 == number).copied() else { return };
        let base = listed.iter().find(|p| p.0 < number).copied().unwrap_or_default();
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

    /// Some others, by chance.
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

    /// Whether a word may be said now: so many a second, a whole second's at once.
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
            self.counts.held_back = self.counts.held_back.saturating_add(1);
            return;
        }
        self.tokens -= 1;
        self.counts.sent = self.counts.sent.saturating_add(1);
        self.outgoing.push_back((to, message));
    }

    /// Time passes: tell one other what is known, when that is due.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_digest {
            return;
        }
        self.next_digest = now.saturating_add(DIGEST_INTERVAL);
        for to in self.random_peers(1) {
            self.send_digest(to, now);
        }
    }

    /// How long after `now` [`Gossip::tick`] has to be called at the latest, in microseconds.
    pub fn due(&self, now: Micros) -> Micros {
        self.next_digest.saturating_sub(now).max(0)
    }

    /// What is to be said, and to whom. What is not fetched is said later, not lost.
    pub fn take_outgoing(&mut self) -> Vec<(u32, Message)> {
        self.outgoing.drain(..).collect()
    }

    /// What is known.
    pub fn registry(&self) -> &AccountRegistry {
        &self.registry
    }

    /// What was learned since this was last asked.
    pub fn take_updates(&mut self) -> Vec<RegistryUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// What was heard and said.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}

/// Whether a piece can be one that a node says.
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
