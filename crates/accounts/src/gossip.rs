//! How a file reaches every node, with words per node that don't grow with the fleet: who learns something tells three others at once,
//! and each tells one other now and then what it knows ("Epidemic algorithms for replicated database maintenance", Demers et
//! al., 1987: rumours and anti-entropy). Answers bring only what the other lacks: the accounts that stand otherwise than in a file that
//! both have, in pieces that fit a datagram.
//!
//! Words may be lost, doubled, late and out of order. Each is bounded, as is how much is said in a second. Who sent a word,
//! and that it is believed, is the caller's to say.

use crate::config::{fits, AccountsFile, NAME, NUMBERS, REASON};
use crate::registry::{Book, Line, Page, RegistryUpdate, NAMES, PAGES};
use crate::{AccountStatus, Micros};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// One other is told what is known this often, in microseconds.
pub const DIGEST: Micros = 200_000;
/// Others that are told at once of what was learned.
pub const FANOUT: usize = 3;
/// A word has this many bytes at most, as postcard or JSON.
pub const LARGEST: usize = 1_200;
/// Bytes of a piece that are not its lines, as JSON, at most.
const HEAD: usize = 420;
/// Words that are said in a second at most, and at once.
pub const MESSAGES: u32 = 200;
/// Pieces that one word is answered with at most; the rest is asked for.
const BURST: usize = 32;
/// Pieces that are told unasked; where there are more, it is told that there is something.
const RUMOUR: usize = 6;
/// Files that come in pieces at the same time, at most.
const PARTIALS: usize = 4;
/// Pieces that one word asks for.
const ASKED: usize = 64;
/// Pieces of one file at most: each account's five lines alone in one.
const PIECES: u32 = 5 * NAMES as u32;
/// News that wait to be fetched, at most.
const WAITING: usize = 16_384;

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
pub struct Telling {
    /// The number and digest of the file.
    #[serde(rename = "p")]
    pub page: (u64, u64),
    /// The number and digest of one that the hearer has: only differences are told. Zeros for none.
    #[serde(rename = "b", default)]
    pub base: (u64, u64),
    /// How many pieces there are.
    #[serde(rename = "o")]
    pub of: u32,
}

/// One word. Fields that a program doesn't know are passed over, and a word that it doesn't know is [`Message::Other`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Raw", into = "Raw")]
pub enum Message {
    /// What the sender knows, in short.
    Digest {
        /// The number and digest of its newest file; zeros for none.
        newest: (u64, u64),
        /// Of its whole book.
        hash: u64,
    },
    /// The files that the sender has.
    Have {
        /// Numbers and digests.
        pages: Vec<(u64, u64)>,
        /// It wants to hear what the hearer has.
        ask: bool,
        /// A file of which it lacks pieces, and which.
        lacks: Option<(Telling, Vec<u32>)>,
    },
    /// A piece of a file.
    Piece {
        /// Of which.
        telling: Telling,
        /// Which one, from 0.
        at: u32,
        /// There were two files of that number.
        two: bool,
        /// For now it is the last that the sender says.
        last: bool,
        /// What it says.
        account_lines: Vec<AccountLine>,
    },
    /// A word of a kind that this program doesn't know.
    Other(u32),
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
    t: Telling,
    k: Vec<u32>,
    i: u32,
    l: Vec<AccountLine>,
}

impl From<Message> for Raw {
    fn from(message: Message) -> Raw {
        let raw = Raw::default();
        match message {
            Message::Digest { newest, hash } => Raw { w: 1, n: newest, h: hash, ..raw },
            Message::Have { pages, ask, lacks } => {
                let (t, k) = lacks.unwrap_or_default();
                Raw { w: 2, p: pages, q: ask, t, k, ..raw }
            }
            Message::Piece { telling, at, two, last, account_lines } => {
                Raw { w: 3, t: telling, i: at, q: last, h: u64::from(two), l: account_lines, ..raw }
            }
            Message::Other(w) => Raw { w, ..raw },
        }
    }
}

impl From<Raw> for Message {
    fn from(raw: Raw) -> Message {
        let Raw { w, n, h, p, q, t, k, i, l } = raw;
        match w {
            1 => Message::Digest { newest: n, hash: h },
            2 => Message::Have { pages: p, ask: q, lacks: (!k.is_empty()).then_some((t, k)) },
            3 => Message::Piece { telling: t, at: i, two: h != 0, last: q, account_lines: l },
            _ => Message::Other(w),
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
    pub untold: u64,
}

/// A file of which not all pieces were heard yet.
#[derive(Clone, Debug, PartialEq)]
struct Partial {
    telling: Telling,
    two: bool,
    got: BTreeMap<u32, Vec<AccountLine>>,
    accounts: usize,
}

/// One node's part in telling everybody.
#[derive(Clone, Debug)]
pub struct Spread {
    me: u32,
    peers: Vec<u32>,
    random: Rand64,
    book: Book,
    next: Micros,
    tokens: u32,
    filled: Micros,
    out: VecDeque<(u32, Message)>,
    partials: VecDeque<Partial>,
    /// What was told last, in pieces; many ask for the same.
    cut: Option<(Telling, Arc<[Vec<AccountLine>]>)>,
    updates: Vec<RegistryUpdate>,
    counts: Counts,
}

/// Bytes of a text as JSON.
fn width(text: &str) -> usize {
    text.chars().map(|c| if c == '"' || c == '\\' { 2 } else { c.len_utf8() }).sum()
}

/// Bytes of a line in a piece at most, in either format.
fn size(account_lines: &AccountLine) -> usize {
    64 + width(&account_lines.account) + width(&account_lines.reason)
}

fn all_lines(page: &Page) -> impl Iterator<Item = AccountLine> + '_ {
    page.accounts.iter().flat_map(|(account, lines)| lines_of(account, lines))
}

fn lines_of<'a>(account: &'a str, lines: &'a [Line]) -> impl Iterator<Item = AccountLine> + 'a {
    lines.iter().map(|l| AccountLine {
        account: account.to_string(),
        standing: Some(l.standing),
        from: l.from.0,
        reason: l.reason.clone(),
    })
}

/// What tells a page to one who has the base, in pieces; the same at every node.
fn pieces(page: &Page, base: Option<&Page>) -> Vec<Vec<AccountLine>> {
    let lines: Vec<AccountLine> = match base {
        None => all_lines(page).collect(),
        Some(base) => {
            let gone = base.accounts.keys().filter(|a| !page.accounts.contains_key(*a));
            let gone = gone.map(|a| AccountLine {
                account: a.clone(),
                standing: None,
                from: 0,
                reason: String::new(),
            });
            let other = page.accounts.iter().filter(|(a, lines)| base.accounts.get(*a) != Some(lines));
            gone.chain(other.flat_map(|(a, lines)| lines_of(a, lines))).collect()
        }
    };
    let (mut all, mut left) = (vec![Vec::new()], LARGEST - HEAD);
    for account_lines in lines {
        let size = size(&account_lines);
        if size > left {
            all.push(Vec::new());
            left = LARGEST - HEAD;
        }
        left = left.saturating_sub(size);
        all.iter_mut().last().into_iter().for_each(|piece| piece.push(account_lines.clone()));
    }
    all
}

impl Spread {
    /// A node that knows nothing yet, with the numbers of all others. `seed` is drawn anew for each life; `now` is on the steady clock.
    pub fn new(me: u32, mut peers: Vec<u32>, seed: u64, now: Micros) -> Spread {
        peers.retain(|p| *p != me);
        peers.sort_unstable();
        peers.dedup();
        let mut random = Rand64::new(u128::from(seed));
        // Not all at the same time.
        let next = now.saturating_add(random.rand_range(0..DIGEST as u64) as Micros);
        Spread {
            me,
            peers,
            random,
            book: Book::new(),
            next,
            tokens: MESSAGES,
            filled: now,
            out: VecDeque::new(),
            partials: VecDeque::new(),
            cut: None,
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
    pub fn restore(&mut self, book: &Book) {
        drop(self.book.merge(book));
    }

    /// A file was handed to this node.
    pub fn learn(&mut self, accounts_file: &AccountsFile, now: Micros) {
        let before = self.book.hash();
        let updates = self.book.learn(accounts_file);
        self.keep(updates);
        if self.book.hash() != before {
            self.rumour(accounts_file.number, now);
        }
    }

    fn keep(&mut self, updates: Vec<RegistryUpdate>) {
        for one in updates {
            if self.updates.len() < WAITING {
                self.updates.push(one);
            } else {
                self.counts.untold = self.counts.untold.saturating_add(1);
            }
        }
    }

    /// Somebody else said that.
    pub fn receive(&mut self, from: u32, message: &Message, now: Micros) {
        self.counts.received = self.counts.received.saturating_add(1);
        let could_be = match message {
            Message::Digest { newest, .. } => newest.0 <= NUMBERS,
            Message::Have { pages, lacks, .. } => {
                pages.len() <= PAGES && lacks.as_ref().is_none_or(|(_, k)| k.len() <= ASKED)
            }
            Message::Piece { telling, at, account_lines, .. } => could_be(telling, *at, account_lines),
            Message::Other(_) => {
                self.counts.unknown = self.counts.unknown.saturating_add(1);
                return;
            }
        };
        if !could_be || from == self.me {
            self.counts.refused = self.counts.refused.saturating_add(1);
            return;
        }
        match message {
            Message::Digest { newest, hash } => self.receive_digest(from, *newest, *hash, now),
            Message::Have { pages, ask, lacks } => {
                let mut capacity = BURST;
                let mut theirs = pages.clone();
                if let Some((telling, which)) = lacks {
                    let sent = self.send_pieces(from, *telling, which, now);
                    capacity = capacity.saturating_sub(sent);
                    theirs.extend((sent > 0).then_some(telling.page));
                }
                self.bring(from, pages, &theirs, capacity, now);
                if *ask && pages.iter().any(|(n, d)| self.book.lacks(*n, *d)) {
                    self.send_have(from, false, now);
                }
            }
            Message::Piece { telling, at, two, last, account_lines } => {
                self.receive_piece(from, *telling, *at, *two, account_lines, now);
                if *last && self.partials.iter().any(|p| p.telling == *telling) {
                    self.send_have(from, false, now);
                }
            }
            Message::Other(_) => {}
        }
    }

    fn receive_digest(&mut self, from: u32, newest: (u64, u64), hash: u64, now: Micros) {
        if hash == self.book.hash() {
            return;
        }
        // One that has what this node had before lacks only what is newer; otherwise it has to say what it has.
        let behind = newest.0 < self.book.highest() && (newest.0 == 0 || self.has(newest));
        let newer: Vec<(u64, u64)> = self.book.listed().into_iter().filter(|p| p.0 > newest.0).collect();
        let many = |account_lines: Option<Arc<[Vec<AccountLine>]>>| {
            account_lines.map_or(BURST, |pieces| pieces.len())
        };
        let few = newer.len() <= RUMOUR
            && newer.iter().map(|p| many(self.pieces_of(*p, newest))).sum::<usize>() <= RUMOUR;
        if !behind || !few {
            return self.send_have(from, true, now);
        }
        for page in newer {
            self.report(from, page, newest, RUMOUR, now);
        }
    }

    /// Whether this node has that page.
    fn has(&self, page: (u64, u64)) -> bool {
        self.book.page(page.0).is_some_and(|p| p.digest == page.1)
    }

    fn pieces_of(&mut self, page: (u64, u64), base: (u64, u64)) -> Option<Arc<[Vec<AccountLine>]>> {
        if let Some((_, pieces)) = self.cut.as_ref().filter(|(t, _)| (t.page, t.base) == (page, base)) {
            return Some(pieces.clone());
        }
        let of = |page: (u64, u64)| self.book.page(page.0).filter(|p| p.digest == page.1);
        let base_page = if base.0 == 0 { None } else { Some(of(base)?) };
        let pieces: Arc<[Vec<AccountLine>]> = pieces(of(page)?, base_page).into();
        self.cut = Some((Telling { page, base, of: pieces.len() as u32 }, pieces.clone()));
        Some(pieces)
    }

    /// What another lacks that has those, the newest first; `told` are those that it has or is told already.
    fn bring(
        &mut self,
        to: u32,
        theirs: &[(u64, u64)],
        account_lines: &[(u64, u64)],
        mut capacity: usize,
        now: Micros,
    ) {
        let least = if theirs.len() < PAGES { 0 } else { theirs.iter().map(|p| p.0).min().unwrap_or(0) };
        let mine = self.book.listed();
        let common: Vec<(u64, u64)> = mine.iter().filter(|p| theirs.contains(p)).copied().collect();
        for page in mine.into_iter().filter(|p| p.0 >= least && !account_lines.contains(p)) {
            let nearest = common.iter().min_by_key(|b| b.0.abs_diff(page.0)).copied();
            if capacity == 0 || !self.refill(now) {
                return;
            }
            capacity =
                capacity.saturating_sub(self.report(to, page, nearest.unwrap_or_default(), capacity, now));
        }
    }

    /// Tell a page, as much as there is room for; returns how many pieces were said.
    fn report(&mut self, to: u32, page: (u64, u64), base: (u64, u64), capacity: usize, now: Micros) -> usize {
        let Some(pieces) = self.pieces_of(page, base) else { return 0 };
        let telling = Telling { page, base, of: pieces.len() as u32 };
        let which: Vec<u32> = (0..telling.of).take(capacity).collect();
        self.send_pieces(to, telling, &which, now)
    }

    fn send_pieces(&mut self, to: u32, telling: Telling, which: &[u32], now: Micros) -> usize {
        let all = self.pieces_of(telling.page, telling.base).unwrap_or_default();
        if all.len() != telling.of as usize {
            return 0;
        }
        let two = self.book.page(telling.page.0).is_some_and(|p| p.two);
        let which: Vec<u32> = which.iter().copied().filter(|at| *at < telling.of).take(BURST).collect();
        for at in &which {
            let account_lines = all.get(*at as usize).cloned().unwrap_or_default();
            let last = which.last() == Some(at);
            self.send(to, Message::Piece { telling, at: *at, two, last, account_lines }, now);
        }
        which.len()
    }

    fn send_have(&mut self, to: u32, ask: bool, now: Micros) {
        let book = &self.book;
        self.partials.retain(|p| book.lacks(p.telling.page.0, p.telling.page.1));
        let lacks = self.partials.back().map(|p| {
            let missing = (0..p.telling.of).filter(|at| !p.got.contains_key(at)).take(BURST);
            (p.telling, missing.collect())
        });
        self.send(to, Message::Have { pages: self.book.listed(), ask, lacks }, now);
    }

    fn receive_piece(
        &mut self,
        from: u32,
        telling: Telling,
        at: u32,
        two: bool,
        account_lines: &[AccountLine],
        now: Micros,
    ) {
        let Telling { page: (number, digest), base, of } = telling;
        if !self.book.lacks(number, digest) {
            return;
        }
        if base.0 != 0 && !self.has(base) {
            return self.send_have(from, false, now);
        }
        let known = self.partials.iter().position(|p| p.telling == telling && p.two == two);
        let mut partial = known.and_then(|k| self.partials.remove(k)).unwrap_or(Partial {
            telling,
            two,
            got: BTreeMap::new(),
            accounts: 0,
        });
        if partial.got.insert(at, account_lines.to_vec()).is_none() {
            partial.accounts += account_lines.len();
        }
        if partial.accounts > PIECES as usize + 2 * NAMES {
            self.counts.refused = self.counts.refused.saturating_add(1);
            return;
        }
        if partial.got.len() < of as usize {
            self.partials.push_back(partial);
            if self.partials.len() > PARTIALS {
                self.partials.pop_front();
            }
            return;
        }
        self.partials.retain(|p| p.telling.page != (number, digest));
        let mut accounts = match self.book.page(base.0) {
            Some(page) if base.0 != 0 => page.accounts.clone(),
            _ => BTreeMap::new(),
        };
        let all: Vec<&AccountLine> = partial.got.values().flatten().collect();
        let named: BTreeSet<&str> = all.iter().map(|t| t.account.as_str()).collect();
        accounts.retain(|a, _| !named.contains(a.as_str()));
        for account_lines in all {
            if let Some(standing) = account_lines.standing {
                let line = Line {
                    standing,
                    from: Reverse(account_lines.from),
                    reason: account_lines.reason.clone(),
                };
                accounts.entry(account_lines.account.clone()).or_default().push(line);
            }
        }
        let page = Page::new(number, accounts, two);
        if page.digest != digest {
            self.counts.refused = self.counts.refused.saturating_add(1);
            return;
        }
        let before = self.book.hash();
        let updates = self.book.take(number, &page);
        self.keep(updates);
        if self.book.hash() != before {
            self.rumour(number, now);
        }
    }

    /// Tell some others at once.
    fn rumour(&mut self, number: u64, now: Micros) {
        let listed = self.book.listed();
        let Some(page) = listed.iter().find(|p| p.0 == number).copied() else { return };
        let base = listed.iter().find(|p| p.0 < number).copied().unwrap_or_default();
        let short = self.pieces_of(page, base).is_some_and(|pieces| pieces.len() <= RUMOUR);
        for to in self.some(FANOUT) {
            if short {
                self.report(to, page, base, RUMOUR, now);
            } else {
                self.send_digest(to, now);
            }
        }
    }

    /// Some others, by chance.
    fn some(&mut self, count: usize) -> Vec<u32> {
        let mut chosen = BTreeSet::new();
        let all = self.peers.len() as u64;
        while chosen.len() < count.min(self.peers.len()) {
            chosen.insert(self.random.rand_range(0..all));
        }
        chosen.into_iter().filter_map(|k| self.peers.get(k as usize).copied()).collect()
    }

    fn send_digest(&mut self, to: u32, now: Micros) {
        let newest = self.book.listed().first().copied().unwrap_or_default();
        self.send(to, Message::Digest { newest, hash: self.book.hash() }, now);
    }

    /// Whether a word may be said now: so many a second, a whole second's at once.
    fn refill(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.filled).clamp(0, 1_000_000);
        let more = passed as u64 * u64::from(MESSAGES) / 1_000_000;
        if more > 0 {
            self.tokens = (self.tokens + more as u32).min(MESSAGES);
            self.filled = now;
        }
        self.tokens > 0
    }

    fn send(&mut self, to: u32, message: Message, now: Micros) {
        if !self.refill(now) {
            self.counts.held_back = self.counts.held_back.saturating_add(1);
            return;
        }
        self.tokens -= 1;
        self.counts.sent = self.counts.sent.saturating_add(1);
        self.out.push_back((to, message));
    }

    /// Time passes: tell one other what is known, when that is due.
    pub fn pass(&mut self, now: Micros) {
        if now < self.next {
            return;
        }
        self.next = now.saturating_add(DIGEST);
        for to in self.some(1) {
            self.send_digest(to, now);
        }
    }

    /// How long after `now` [`Spread::pass`] has to be called at the latest, in microseconds.
    pub fn due(&self, now: Micros) -> Micros {
        self.next.saturating_sub(now).max(0)
    }

    /// What is to be said, and to whom. What is not fetched is said later, not lost.
    pub fn take_outgoing(&mut self) -> Vec<(u32, Message)> {
        self.out.drain(..).collect()
    }

    /// What is known.
    pub fn book(&self) -> &Book {
        &self.book
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
fn could_be(telling: &Telling, at: u32, account_lines: &[AccountLine]) -> bool {
    let Telling { page, base, of } = *telling;
    let numbers = (1..=NUMBERS).contains(&page.0) && base.0 <= NUMBERS && base.0 != page.0;
    let sizes: usize = account_lines.iter().map(size).sum();
    let fit = |t: &AccountLine| !t.account.is_empty() && fits(&t.account, NAME) && fits(&t.reason, REASON);
    numbers && at < of && of <= PIECES && sizes <= LARGEST && account_lines.iter().all(fit)
}
