//! All that two sites can do, one of them cut off and healed, with files handed to either, crashes with the disk kept and lost, and
//! jobs that are new or repeated, in every order: what is begun on unconfirmed standing stays within the credit, nothing new
//! of an account is taken by a node that was told that it is closing, and its running work is always finished. The same search
//! finds each planted fault.

use shorepath_accounts::admission::{decide, restrictions, AdmissionDecision, CreditBalances, Now};
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::credit::{divide, Credit, CreditBalance, CreditRecord, NodeCredit, SiteShare};
use shorepath_accounts::in_flight::{AcceptedRequests, Key};
use shorepath_accounts::registry::AccountRegistry;
use shorepath_accounts::{AccountStatus, Change};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::sync::{Arc, LazyLock};

const ACME: &str = "acme";
/// Node 0 is a site of its own that can confirm standing; nodes 1 and 2 are the one that is cut off.
const NODES: usize = 3;
const CREDIT: Credit = Credit { total: 2, reserve: 0, shrink_after: 1_000 };
/// What the authority's files say, one after the other: closing, named no more, closing again.
const FILES: [Option<AccountStatus>; 3] = [Some(AccountStatus::Closing), None, Some(AccountStatus::Closing)];
/// So many are searched.
const STATES: usize = 5_000_000;
const JOBS: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A file that is heard replaces what is known, whatever its number.
    OlderWins,
    /// A node that starts takes its credit for unspent.
    Refill,
    /// A request is remembered as taken before it is ruled on.
    RefusedRuns,
    /// What was taken is forgotten as its account closes.
    Dropped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    book: AccountRegistry,
    balance: CreditBalance,
    note: Option<CreditRecord>,
    taken: AcceptedRequests,
    /// Jobs that were taken here and have no answer yet; on the disk, as the node's log has them.
    running: BTreeSet<u8>,
    /// The greatest number that it was told.
    known_number: u64,
    /// Jobs begun on credit since standing was last confirmed here.
    begun: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Arc<Node>>,
    issued: usize,
    cut: bool,
    cuts: u32,
    crashes: u32,
    /// New requests so far.
    asked: u8,
    /// One that was refused, where.
    refused: Option<(usize, u8)>,
    /// Something new was taken by a node that was told that it must not.
    wrong: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The authority hands its next file to a node.
    Issue(usize),
    Reply(usize, usize),
    /// An old file is handed to a node once more.
    Again(usize, usize),
    Cut,
    Heal,
    Crash(usize, bool),
    /// The disk takes the note that the purse wants.
    Write(usize),
    New(usize),
    /// A client repeats a job that was refused.
    Repeat(usize),
    Finish(usize, u8),
}

struct World(Fault);

fn key(job: u8) -> Key {
    Key::Idempotency(job.to_string())
}

fn file(number: usize) -> AccountsFile {
    let change = |standing| Change { number: number as u64, standing, from: 0, reason: String::new() };
    let named = FILES[number - 1].map(|s| (ACME.to_string(), change(s)));
    AccountsFile::new(number as u64, named.into_iter().collect())
}

/// Whether the file of that number bars new work; none was told by 0.
fn rejection(number: u64) -> bool {
    number > 0 && FILES[number as usize - 1].is_some()
}

/// The part of each node: none for the one that can always confirm standing.
static PARTS: LazyLock<Vec<NodeCredit>> = LazyLock::new(|| {
    let share = |nodes, weight| SiteShare { site: String::new(), nodes, weight };
    divide(&CREDIT, &[share(1, Some(0)), share(2, Some(1))]).unwrap().concat()
});

impl State {
    fn now(&self, node: usize) -> Now {
        Now { unix: 1, steady: 1, unconfirmed_since: (self.cut && node > 0).then_some(0) }
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        !self.cut || (a > 0 && b > 0)
    }

    /// What a client's request is answered with, and what the node does then.
    fn ask(&mut self, fault: Fault, at: usize, job: u8) {
        let now = self.now(at);
        let node = Arc::make_mut(&mut self.nodes[at]);
        // The disk of the node that does not crash follows at once.
        if let Some(note) = node.balance.record_to_write().filter(|_| at == 2) {
            node.balance.record_written(note);
        }
        if fault == Fault::RefusedRuns {
            node.taken.record(ACME, Some(&key(job)), 1);
        }
        match decide(&node.book, Some(&mut node.balance), &node.taken, ACME, Some(&key(job)), now) {
            AdmissionDecision::Refuse(_) => self.refused = Some((at, job)),
            admission => {
                self.wrong |= rejection(node.known_number);
                node.begun += u64::from(admission == AdmissionDecision::AdmitOnCredit);
                node.taken.record(ACME, Some(&key(job)), 1);
                node.running.insert(job);
                self.refused = self.refused.filter(|refused| *refused != (at, job));
            }
        }
    }

    fn receive(
        &mut self,
        fault: Fault,
        at: usize,
        known_number: u64,
        what: impl FnOnce(&mut AccountRegistry),
    ) {
        let node = Arc::make_mut(&mut self.nodes[at]);
        if fault == Fault::OlderWins {
            node.book = AccountRegistry::new();
        }
        what(&mut node.book);
        node.known_number = node.known_number.max(known_number);
        if fault == Fault::Dropped && node.book.standing_at(ACME, 1).rejects_new_work() {
            node.taken = AcceptedRequests::new(8, 100);
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = |k| {
            Arc::new(Node {
                book: AccountRegistry::new(),
                balance: CreditBalance::restore(
                    PARTS[k],
                    CREDIT.shrink_after,
                    1,
                    Some(CreditRecord::default()),
                ),
                note: Some(CreditRecord::default()),
                taken: AcceptedRequests::new(8, 100),
                running: BTreeSet::new(),
                known_number: 0,
                begun: 0,
            })
        };
        let nodes = (0..NODES).map(node).collect();
        let (issued, cut, cuts, crashes, asked) = (0, false, 0, 0, 0);
        vec![State { nodes, issued, cut, cuts, crashes, asked, refused: None, wrong: false }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        for a in 0..NODES {
            if s.issued < FILES.len() && a < 2 {
                actions.push(Step::Issue(a));
            }
            let peers = (0..NODES).filter(|b| {
                a.abs_diff(*b) == 1 && s.linked(a, *b) && s.nodes[a].book.hash() != s.nodes[*b].book.hash()
            });
            actions.extend(peers.map(|b| Step::Reply(a, b)));
            if s.asked < JOBS && a > 0 {
                actions.push(Step::New(a));
            }
            if s.crashes < 1 && a == 1 {
                actions.extend([Step::Crash(a, true), Step::Crash(a, false)]);
            }
            if s.cut && a == 1 && s.nodes[a].balance.record_to_write().is_some() {
                actions.push(Step::Write(a));
            }
            actions.extend(s.nodes[a].running.iter().map(|job| Step::Finish(a, *job)));
        }
        if s.issued > 1 {
            actions.push(Step::Again(1, 1));
        }
        actions.extend(s.refused.map(|(at, _)| Step::Repeat(at)));
        if s.cut {
            actions.push(Step::Heal);
        } else if s.cuts < 1 {
            actions.push(Step::Cut);
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let (mut s, fault) = (before.clone(), self.0);
        match step {
            Step::Issue(at) => {
                s.issued += 1;
                let number = s.issued;
                s.receive(fault, at, number as u64, |book| drop(book.add_file(&file(number))));
            }
            Step::Again(at, number) => {
                s.receive(fault, at, number as u64, |book| drop(book.add_file(&file(number))))
            }
            Step::Reply(from, to) => {
                let (book, known_number) = (s.nodes[from].book.clone(), s.nodes[from].known_number);
                s.receive(fault, to, known_number, |known| drop(known.merge(&book)));
            }
            Step::Cut => (s.cut, s.cuts) = (true, s.cuts + 1),
            Step::Heal => {
                s.cut = false;
                // Standing counts as confirmed once the other side's book was heard.
                for at in 1..NODES {
                    let (book, known_number) = (s.nodes[0].book.clone(), s.nodes[0].known_number);
                    s.receive(fault, at, known_number, |known| drop(known.merge(&book)));
                    let node = Arc::make_mut(&mut s.nodes[at]);
                    let change = node.book.change_at(ACME, 1);
                    let (spent, owed) =
                        (node.balance.current_record().spent, node.balance.confirmed(&change));
                    // What was begun before a file that bars is owed; for the rest of the search the debt is paid.
                    assert!(owed <= spent && node.balance.pay_debt(owed) == 0);
                    node.begun = 0;
                }
            }
            Step::Crash(at, disk) => {
                s.crashes += 1;
                let node = Arc::make_mut(&mut s.nodes[at]);
                if !disk {
                    (node.book, node.note, node.known_number) = (AccountRegistry::new(), None, 0);
                    node.running.clear();
                }
                let note = if fault == Fault::Refill { Some(CreditRecord::default()) } else { node.note };
                node.balance = CreditBalance::restore(PARTS[at], CREDIT.shrink_after, 1, note);
                node.taken = AcceptedRequests::new(8, 100);
                let keys: Vec<Key> = node.running.iter().map(|job| key(*job)).collect();
                node.taken.restore(keys.iter().map(|key| (ACME, key, 0)), 1);
            }
            Step::Write(at) => {
                let node = Arc::make_mut(&mut s.nodes[at]);
                node.note = node.balance.record_to_write();
                node.note.into_iter().for_each(|note| node.balance.record_written(note));
            }
            Step::New(at) => {
                s.asked += 1;
                let job = s.asked;
                s.ask(fault, at, job);
            }
            Step::Repeat(at) => {
                let (_, job) = s.refused?;
                s.ask(fault, at, job);
            }
            Step::Finish(at, job) => {
                Arc::make_mut(&mut s.nodes[at]).running.remove(&job);
            }
        }
        let same = |(a, b): (&Arc<Node>, &Arc<Node>)| Arc::ptr_eq(a, b) || a == b;
        let nodes = s.nodes.iter().zip(&before.nodes).all(same);
        let rest = |s: &State| (s.issued, s.cut, s.crashes, s.asked, s.refused, s.wrong);
        (!nodes || rest(&s) != rest(before)).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("begun on credit within the whole", |_, s: &State| {
                s.nodes.iter().enumerate().all(|(at, n)| n.begun <= PARTS[at].total)
            }),
            Property::always("nothing new after it was told", |_, s: &State| !s.wrong),
            Property::always("running work goes on", |_, s: &State| {
                s.nodes.iter().enumerate().all(|(at, node)| {
                    let sent = restrictions(&node.book, &mut CreditBalances::new(), s.now(at))
                        .get(ACME)
                        .is_none_or(|restriction| restriction.may_send);
                    let repeat = |job: &u8| {
                        decide(&node.book, None, &node.taken, ACME, Some(&key(*job)), s.now(at))
                            == AdmissionDecision::Admit
                    };
                    sent && node.running.iter().all(repeat)
                })
            }),
            Property::sometimes("all of the credit is used", |_, s: &State| {
                s.nodes.iter().map(|n| n.begun).sum::<u64>() == CREDIT.total
            }),
            Property::sometimes("work ends after the closing", |_, s: &State| {
                s.nodes.iter().any(|n| n.known_number == 3 && n.running.is_empty() && !n.taken.is_empty())
            }),
            Property::sometimes("taken again after it was reopened", |_, s: &State| {
                s.nodes[1].known_number == 2 && !s.nodes[1].running.is_empty()
            }),
        ]
    }
}

/// All states that can be reached, or so many of them, the fewest steps first.
fn searched(fault: Fault) -> impl Checker<World> {
    let least = if fault == Fault::None { HasDiscoveries::All } else { HasDiscoveries::AnyFailures };
    World(fault).checker().threads(2).finish_when(least).target_state_count(STATES).spawn_bfs().join()
}

const ALWAYS: [&str; 3] =
    ["begun on credit within the whole", "nothing new after it was told", "running work goes on"];

#[test]
fn credit_holds_nothing_new_is_taken_and_running_work_goes_on() {
    let search = searched(Fault::None);
    ALWAYS.iter().for_each(|name| search.assert_no_discovery(name));
    search.assert_any_discovery("all of the credit is used");
    search.assert_any_discovery("work ends after the closing");
    search.assert_any_discovery("taken again after it was reopened");
    assert!(search.state_count() < STATES, "not all were searched");
    println!("{} states, depth {}", search.unique_state_count(), search.max_depth());
}

#[test]
fn each_planted_fault_is_found() {
    for (fault, name) in [
        (Fault::Refill, ALWAYS[0]),
        (Fault::OlderWins, ALWAYS[1]),
        (Fault::RefusedRuns, ALWAYS[1]),
        (Fault::Dropped, ALWAYS[2]),
    ] {
        assert!(searched(fault).discovery(name).is_some(), "{fault:?} was not found");
    }
}
