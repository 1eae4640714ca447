//! Four nodes of two sites tell each other where an account stands, and begin jobs of it all the time.
//!
//! A file closes it; the sites are cut from each other, and each is handed another file of one number; it is opened again and closed
//! for good while one way is cut. One node restarts with its disk, one without. What a node begins alone is out of the account's credit.

use crate::change::Form;
use crate::core::{Actor, Broken};
use crate::troupe::{word, Deed, Part, Script};
use crate::Micros;
use shorepath_accounts::admission::{decide, restrictions, AdmissionDecision, CreditBalances, Now};
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::credit::{divide, Credit, CreditBalance, CreditRecord, SiteShare};
use shorepath_accounts::freshness::Confirmation;
use shorepath_accounts::gossip::{Gossip, Message};
use shorepath_accounts::in_flight::{AcceptedRequests, Key};
use shorepath_accounts::registry::{AccountRegistry, RegistryUpdate};
use shorepath_accounts::AccountStatus;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Unix time at the beginning.
const UNIX: Micros = 1_764_633_600 * S;
const NODES: usize = 4;
const TICK: Micros = 50 * MS;
const CREDIT: Credit = Credit { total: 13, reserve: 4, shrink_after: 1_500 * MS };
/// The other site counts as heard for so long.
const HEARD: Micros = 1_200 * MS;
/// Whom the files are about.
const ACCOUNT: &str = "acme";

/// The files in the order in which they are handed out: their numbers, and how the account stands. Two have one number.
const FILES: [(u64, AccountStatus); 6] = [
    (1, AccountStatus::Warned),
    (2, AccountStatus::Closing),
    (3, AccountStatus::Warned),
    (3, AccountStatus::Closing),
    (4, AccountStatus::Reopened),
    (5, AccountStatus::Closed),
];

fn file(at: usize) -> Option<AccountsFile> {
    let (number, standing) = *FILES.get(at)?;
    let change = |standing, reason: &str| {
        let reason = reason.to_string();
        shorepath_accounts::Change { number, standing, from: UNIX, reason }
    };
    let mut all = BTreeMap::from([(ACCOUNT.to_string(), change(standing, "by the books"))]);
    if number % 2 == 1 {
        all.insert("fyn".into(), change(AccountStatus::Good, "paid \u{e6}"));
    }
    Some(AccountsFile::new(number, all))
}

/// Whether a node that knows that file, and whether there were two of it, may begin nothing new: said apart from the cores.
fn barred(number: u64, two: bool) -> bool {
    matches!((number, two), (2, _) | (3, true) | (5, _))
}

/// One life of a node. `OLDER` is a fault: a piece that comes once more has its file hold, though a newer one is known.
#[derive(Clone, Debug)]
pub struct Node<const OLDER: bool> {
    me: usize,
    life: u64,
    spread: Gossip,
    confirmation: Confirmation,
    purses: CreditBalances,
    taken: AcceptedRequests,
    /// What is on its disk beside the book.
    disk: Option<CreditRecord>,
    /// The greatest number of a file that it knew, and whether there were two of it.
    knew: (u64, bool),
    /// When a word of the other site last came.
    heard: Option<Micros>,
    next: Micros,
    asked: u64,
    last: Option<(Micros, Key)>,
    /// Jobs begun since standing was last confirmed here, over all lives of this node.
    alone: u64,
    broken: Option<Broken>,
    /// Of the fault: pieces that came, and the one that holds.
    came: BTreeSet<(Actor, Vec<u8>)>,
    older: Option<AccountRegistry>,
}

impl<const OLDER: bool> Node<OLDER> {
    fn new(
        seed: u64,
        me: usize,
        life: u64,
        now: Micros,
        book: Option<&AccountRegistry>,
        disk: Option<CreditRecord>,
    ) -> Self {
        let others = (0..NODES as u32).collect();
        let mut spread = Gossip::new(me as u32, others, seed ^ (me as u64) << 16 ^ life << 32, now);
        book.into_iter().for_each(|book| spread.restore(book));
        let sites = ["a", "b"].map(|s| SiteShare { site: s.into(), nodes: NODES as u32 / 2, weight: None });
        let part = divide(&CREDIT, &sites).ok().and_then(|all| all.into_iter().flatten().nth(me));
        let purse = CreditBalance::restore(part.unwrap_or_default(), CREDIT.shrink_after, 2, disk);
        Node {
            me,
            life,
            spread,
            confirmation: Confirmation::new(now),
            purses: CreditBalances::from([(ACCOUNT.to_string(), purse)]),
            taken: AcceptedRequests::new(256, 60 * S),
            disk,
            knew: (0, false),
            heard: None,
            next: now,
            asked: 0,
            last: None,
            alone: 0,
            broken: None,
            came: BTreeSet::new(),
            older: None,
        }
    }

    fn breaks(&mut self, rule: &'static str, story: String) {
        self.broken.get_or_insert(Broken::new(rule, story));
    }

    fn book(&self) -> &AccountRegistry {
        self.older.as_ref().unwrap_or(self.spread.registry())
    }

    /// Look at what was learned.
    fn look(&mut self) {
        let number = self.book().newest_number();
        if number < self.knew.0 {
            let story = format!("{} knew file {} and goes by {number}", self.me, self.knew.0);
            self.breaks("never an older number", story);
        }
        let two = self.spread.take_updates().contains(&RegistryUpdate::ConflictingFiles { number });
        self.knew = if number > self.knew.0 { (number, two) } else { (self.knew.0, self.knew.1 || two) };
    }

    /// Ask for a new job and for one that runs.
    fn ask(&mut self, now: Micros) {
        let heard = self.heard.filter(|at| now - at < HEARD);
        let times = Now { unix: UNIX + now, steady: now, unconfirmed_since: None };
        let confirmed = self.confirmation.update(heard, now) == Some(false);
        let times = Now { unconfirmed_since: self.confirmation.unconfirmed_since(), ..times };
        let book = self.older.as_ref().unwrap_or(self.spread.registry());
        let standing = book.standing_at(ACCOUNT, times.unix);
        let Some(purse) = self.purses.get_mut(ACCOUNT) else { return };
        if confirmed {
            purse.confirmed(&book.change_at(ACCOUNT, times.unix));
            self.alone = 0;
        }
        purse.pay_debt(1);
        if let Some(note) = purse.record_to_write() {
            purse.record_written(note);
            self.disk = Some(note);
        }
        let bar = restrictions(book, &mut self.purses, times).get(ACCOUNT).copied();
        let Some(purse) = self.purses.get_mut(ACCOUNT) else { return };
        self.asked += 1;
        let key = Key::Request(format!("{}-{}-{}", self.me, self.life, self.asked));
        let ruling = decide(book, Some(purse), &self.taken, ACCOUNT, Some(&key), times);
        self.alone += u64::from(ruling == AdmissionDecision::AdmitOnCredit);
        if !matches!(ruling, AdmissionDecision::Refuse(_)) {
            self.taken.record(ACCOUNT, Some(&key), now);
            if barred(self.knew.0, self.knew.1) || bar.is_some_and(|b| b.max_new_jobs == Some(0)) {
                let story = format!("{} knows {:?}, bars {bar:?}, and begins {key:?}", self.me, self.knew);
                let broken = Broken::new("nothing new of one that is closing", story);
                self.broken.get_or_insert(broken);
                return;
            }
        }
        let runs = self.last.take();
        self.last =
            if matches!(ruling, AdmissionDecision::Refuse(_)) { runs.clone() } else { Some((now, key)) };
        if let Some((_, key)) = runs.filter(|_| standing != AccountStatus::Closed) {
            let Some(purse) = self.purses.get_mut(ACCOUNT) else { return };
            let ruling = decide(book, Some(purse), &self.taken, ACCOUNT, Some(&key), times);
            if ruling != AdmissionDecision::Admit {
                self.breaks("what runs is finished", format!("{} has {ruling:?} for {key:?}", self.me));
            }
        }
    }
}

impl<const OLDER: bool> Part for Node<OLDER> {
    fn hear(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        let word: Message = word(bytes)?;
        if (from < NODES / 2) != (self.me < NODES / 2) {
            self.heard = Some(now);
        }
        let before = self.spread.counts();
        self.spread.receive(from as u32, &word, now);
        if let (true, Message::Piece { transfer, .. }) = (OLDER, &word) {
            let again = !self.came.insert((from, bytes.to_vec()));
            self.older = (0..FILES.len())
                .filter_map(file)
                .find(|decree| decree.number == transfer.file.0)
                .filter(|d| again && d.number < self.spread.registry().newest_number())
                .map(|decree| {
                    let mut book = AccountRegistry::new();
                    book.add_file(&decree);
                    book
                });
        }
        self.look();
        let after = self.spread.counts();
        match (after.refused > before.refused, after.unknown > before.unknown) {
            (true, _) => Err("can't be".into()),
            (_, true) => Err("unknown word".into()),
            _ => Ok(()),
        }
    }

    fn pass(&mut self, now: Micros) {
        self.next = now + TICK;
        self.spread.tick(now);
        self.ask(now);
    }

    fn due(&self) -> Option<Micros> {
        Some(self.next)
    }

    fn says(&mut self) -> Vec<(Actor, Vec<u8>)> {
        let said = self.spread.take_outgoing().into_iter();
        said.filter_map(|(to, word)| Some((to as Actor, serde_json::to_vec(&word).ok()?))).collect()
    }

    fn does(&mut self, now: Micros, what: u32) {
        file(what as usize).iter().for_each(|decree| self.spread.add_file(decree, now));
        self.look();
    }

    fn copy(&self) -> Option<Self> {
        Some(self.clone())
    }
}

/// See [`crate::systems::accounts`].
#[derive(Debug)]
pub struct Accounts<const OLDER: bool = false>;

impl<const OLDER: bool> Script for Accounts<OLDER> {
    type Part = Node<OLDER>;
    const NAME: &'static str = "accounts";
    const FORM: Form = Form::Json("w");
    const LENGTH: Micros = 15 * S;
    const LATE: [Micros; 3] = [300 * MS, 2_500 * MS, 6 * S];
    const SETTLES: Micros = 2_500 * MS;
    const FORKS: bool = true;
    const ACTORS: usize = NODES;

    fn start(seed: u64, me: Actor, life: u64, now: Micros) -> Self::Part {
        let note = CreditRecord { spent: 0, debt: 0, shrunk: false };
        Node::new(seed, me, life, now, None, Some(note))
    }

    fn again(seed: u64, me: Actor, life: u64, now: Micros, last: Option<Self::Part>) -> Self::Part {
        let Some(last) = last else { return Self::start(seed, me, life, now) };
        // The one whose disk is lost begins with nothing; what it has begun counts all the same. The fault's keep theirs.
        let kept = me == 1 || OLDER;
        let (book, disk) = if kept { (Some(last.spread.registry()), last.disk) } else { (None, None) };
        let mut node = Node::new(seed, me, life, now, book, disk);
        node.knew = if kept { last.knew } else { node.knew };
        (node.alone, node.broken, node.came) = (last.alone, last.broken, last.came);
        node
    }

    fn deeds(seed: u64) -> Vec<(Micros, Deed)> {
        let late = |k: u64| ((seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (8 * k)) % 300) as Micros * MS;
        let between = |from: [Actor; 2], to: [Actor; 2], at: Micros, cut: bool| {
            let all = from.into_iter().flat_map(move |f| to.into_iter().map(move |t| (f, t)));
            all.map(move |(f, t)| (at, Deed::Cut(f, t, cut)))
        };
        let (a, b) = ([0, 1], [2, 3]);
        let hand = |at: Micros, to: Actor, which: u32| (at, Deed::Do(to, which));
        let mut all = vec![
            hand(500 * MS + late(0), 0, 0),
            hand(2_200 * MS + late(1), 3, 1),
            hand(3_800 * MS + late(2), 1, 2),
            hand(3_900 * MS + late(3), 2, 3),
            (5 * S + late(4), Deed::Kill(1)),
            (5_400 * MS + late(4), Deed::Start(1)),
            (8 * S + late(5), Deed::Kill(2)),
            (8_500 * MS + late(5), Deed::Start(2)),
            hand(9_200 * MS + late(6), 0, 4),
            hand(11 * S + late(1), 3, 5),
        ];
        all.extend(between(a, b, 3_200 * MS, true).chain(between(b, a, 3_200 * MS, true)));
        all.extend(between(a, b, 6_500 * MS, false).chain(between(b, a, 6_500 * MS, false)));
        all.extend(between(a, b, 10 * S, true).chain(between(a, b, 12 * S, false)));
        all.sort_by_key(|d| d.0);
        all
    }

    fn invariants(parts: &[Option<Self::Part>], _: Micros) -> Result<(), Broken> {
        let nodes = || parts.iter().flatten();
        if let Some(broken) = nodes().find_map(|n| n.broken.clone()) {
            return Err(broken);
        }
        let begun: u64 = nodes().map(|n| n.alone).sum();
        if begun > CREDIT.total {
            let each: Vec<u64> = nodes().map(|n| n.alone).collect();
            return Err(Broken::new("never beyond the credit", format!("{each:?} of {CREDIT:?}")));
        }
        Ok(())
    }

    fn settled(parts: &[Option<Self::Part>], now: Micros) -> Result<(), Broken> {
        let all: Vec<(u64, u64, AccountStatus)> = parts
            .iter()
            .flatten()
            .map(|n| (n.book().newest_number(), n.book().hash(), n.book().standing_at(ACCOUNT, UNIX + now)))
            .collect();
        let first = all.first().filter(|f| (f.0, f.2) == (5, AccountStatus::Closed) && all.len() == NODES);
        match first.filter(|first| all.iter().all(|a| a == *first)) {
            Some(_) => Ok(()),
            None => Err(Broken::new("all books are equal", format!("{all:?}"))),
        }
    }
}
