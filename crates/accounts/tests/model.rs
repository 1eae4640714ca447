//! Model check of account standing and credit over two sites, with a partition, submitted files, crashes with and without the disk, and
//! new and repeated requests in every order. Guards against overspent credit, against new work of an account that a node
//! knows to be closing, and against stopped accepted work; the same search must find each injected fault.

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
/// Node 0 is the site that can always confirm standing; nodes 1 and 2 are the site that a partition cuts off.
const NODES: usize = 3;
const CREDIT: Credit = Credit { total: 2, reserve: 0, shrink_after: 1_000 };
/// The account's standing in each file; `None` where the file doesn't list the account.
const FILES: [Option<AccountStatus>; 3] = [Some(AccountStatus::Closing), None, Some(AccountStatus::Closing)];
/// Most states that the search may visit; it must end before that.
const MAX_STATES: usize = 5_000_000;
const JOBS: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A received file replaces all known files, whatever its number.
    OlderFileWins,
    /// A node that starts assumes that its credit is unspent.
    CreditRestored,
    /// A request is recorded as accepted before the decision.
    RefusedRecorded,
    /// Accepted requests are forgotten when their account closes.
    AcceptedForgotten,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    registry: AccountRegistry,
    balance: CreditBalance,
    record: Option<CreditRecord>,
    accepted: AcceptedRequests,
    /// Accepted jobs without an answer; they are also in the log on disk.
    running: BTreeSet<u8>,
    /// The greatest number of a file that the node received.
    known_number: u64,
    /// Jobs started on credit since standing was last confirmed on this node.
    started_on_credit: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Arc<Node>>,
    submitted_files: usize,
    partitioned: bool,
    partitions: u32,
    crashes: u32,
    /// The number of new requests so far.
    request_count: u8,
    /// The node and the job of the request that was refused last.
    refused: Option<(usize, u8)>,
    /// A node admitted new work although it knows that the account is closing.
    admitted_while_closing: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The operators submit the next file to this node.
    SubmitFile(usize),
    /// The first node sends its registry to the second.
    SendRegistry(usize, usize),
    /// An old file is submitted to this node again, by its number.
    ResubmitFile(usize, usize),
    Partition,
    Heal,
    /// The node restarts; its disk is kept if the flag is true.
    Crash(usize, bool),
    /// The credit record that is due is written to disk.
    WriteRecord(usize),
    NewRequest(usize),
    /// A client repeats the refused request.
    RepeatRefused(usize),
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

/// Whether the file with this number refuses new work; number 0 means no file.
fn refuses_new_work(number: u64) -> bool {
    number > 0 && FILES[number as usize - 1].is_some()
}

/// The credit of each node: none for node 0, which can always confirm standing.
static PARTS: LazyLock<Vec<NodeCredit>> = LazyLock::new(|| {
    let share = |nodes, weight| SiteShare { site: String::new(), nodes, weight };
    divide(&CREDIT, &[share(1, Some(0)), share(2, Some(1))]).unwrap().concat()
});

impl State {
    fn now(&self, node: usize) -> Now {
        Now { unix: 1, steady: 1, unconfirmed_since: (self.partitioned && node > 0).then_some(0) }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        !self.partitioned || (a > 0 && b > 0)
    }

    /// Handles a client's request for a job.
    fn request(&mut self, fault: Fault, at: usize, job: u8) {
        let now = self.now(at);
        let node = Arc::make_mut(&mut self.nodes[at]);
        // Writes of node 2, which never crashes, succeed at once.
        if let Some(record) = node.balance.record_to_write().filter(|_| at == 2) {
            node.balance.record_written(record);
        }
        if fault == Fault::RefusedRecorded {
            node.accepted.record(ACME, Some(&key(job)), 1);
        }
        match decide(&node.registry, Some(&mut node.balance), &node.accepted, ACME, Some(&key(job)), now) {
            AdmissionDecision::Refuse(_) => self.refused = Some((at, job)),
            decision => {
                self.admitted_while_closing |= refuses_new_work(node.known_number);
                node.started_on_credit += u64::from(decision == AdmissionDecision::AdmitOnCredit);
                node.accepted.record(ACME, Some(&key(job)), 1);
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
        update: impl FnOnce(&mut AccountRegistry),
    ) {
        let node = Arc::make_mut(&mut self.nodes[at]);
        if fault == Fault::OlderFileWins {
            node.registry = AccountRegistry::new();
        }
        update(&mut node.registry);
        node.known_number = node.known_number.max(known_number);
        if fault == Fault::AcceptedForgotten && node.registry.standing_at(ACME, 1).rejects_new_work() {
            node.accepted = AcceptedRequests::new(8, 100);
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = |k| {
            Arc::new(Node {
                registry: AccountRegistry::new(),
                balance: CreditBalance::restore(
                    PARTS[k],
                    CREDIT.shrink_after,
                    1,
                    Some(CreditRecord::default()),
                ),
                record: Some(CreditRecord::default()),
                accepted: AcceptedRequests::new(8, 100),
                running: BTreeSet::new(),
                known_number: 0,
                started_on_credit: 0,
            })
        };
        let nodes = (0..NODES).map(node).collect();
        let (submitted_files, partitioned, partitions, crashes, request_count) = (0, false, 0, 0, 0);
        vec![State {
            nodes,
            submitted_files,
            partitioned,
            partitions,
            crashes,
            request_count,
            refused: None,
            admitted_while_closing: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        for a in 0..NODES {
            if s.submitted_files < FILES.len() && a < 2 {
                actions.push(Step::SubmitFile(a));
            }
            let peers = (0..NODES).filter(|b| {
                a.abs_diff(*b) == 1
                    && s.connected(a, *b)
                    && s.nodes[a].registry.hash() != s.nodes[*b].registry.hash()
            });
            actions.extend(peers.map(|b| Step::SendRegistry(a, b)));
            if s.request_count < JOBS && a > 0 {
                actions.push(Step::NewRequest(a));
            }
            if s.crashes < 1 && a == 1 {
                actions.extend([Step::Crash(a, true), Step::Crash(a, false)]);
            }
            if s.partitioned && a == 1 && s.nodes[a].balance.record_to_write().is_some() {
                actions.push(Step::WriteRecord(a));
            }
            actions.extend(s.nodes[a].running.iter().map(|job| Step::Finish(a, *job)));
        }
        if s.submitted_files > 1 {
            actions.push(Step::ResubmitFile(1, 1));
        }
        actions.extend(s.refused.map(|(at, _)| Step::RepeatRefused(at)));
        if s.partitioned {
            actions.push(Step::Heal);
        } else if s.partitions < 1 {
            actions.push(Step::Partition);
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let (mut s, fault) = (before.clone(), self.0);
        match step {
            Step::SubmitFile(at) => {
                s.submitted_files += 1;
                let number = s.submitted_files;
                s.receive(fault, at, number as u64, |registry| drop(registry.add_file(&file(number))));
            }
            Step::ResubmitFile(at, number) => {
                s.receive(fault, at, number as u64, |registry| drop(registry.add_file(&file(number))))
            }
            Step::SendRegistry(from, to) => {
                let (registry, known_number) = (s.nodes[from].registry.clone(), s.nodes[from].known_number);
                s.receive(fault, to, known_number, |known| drop(known.merge(&registry)));
            }
            Step::Partition => (s.partitioned, s.partitions) = (true, s.partitions + 1),
            Step::Heal => {
                s.partitioned = false;
                // Standing is confirmed once the registry of the other site was received.
                for at in 1..NODES {
                    let (registry, known_number) = (s.nodes[0].registry.clone(), s.nodes[0].known_number);
                    s.receive(fault, at, known_number, |known| drop(known.merge(&registry)));
                    let node = Arc::make_mut(&mut s.nodes[at]);
                    let change = node.registry.change_at(ACME, 1);
                    let (spent, owed) =
                        (node.balance.current_record().spent, node.balance.confirmed(&change));
                    // Jobs started before the closing file was received become debt, which is paid at once to keep the state space small.
                    assert!(owed <= spent && node.balance.pay_debt(owed) == 0);
                    node.started_on_credit = 0;
                }
            }
            Step::Crash(at, disk) => {
                s.crashes += 1;
                let node = Arc::make_mut(&mut s.nodes[at]);
                if !disk {
                    (node.registry, node.record, node.known_number) = (AccountRegistry::new(), None, 0);
                    node.running.clear();
                }
                let record =
                    if fault == Fault::CreditRestored { Some(CreditRecord::default()) } else { node.record };
                node.balance = CreditBalance::restore(PARTS[at], CREDIT.shrink_after, 1, record);
                node.accepted = AcceptedRequests::new(8, 100);
                let keys: Vec<Key> = node.running.iter().map(|job| key(*job)).collect();
                node.accepted.restore(keys.iter().map(|key| (ACME, key, 0)), 1);
            }
            Step::WriteRecord(at) => {
                let node = Arc::make_mut(&mut s.nodes[at]);
                node.record = node.balance.record_to_write();
                node.record.into_iter().for_each(|record| node.balance.record_written(record));
            }
            Step::NewRequest(at) => {
                s.request_count += 1;
                let job = s.request_count;
                s.request(fault, at, job);
            }
            Step::RepeatRefused(at) => {
                let (_, job) = s.refused?;
                s.request(fault, at, job);
            }
            Step::Finish(at, job) => {
                Arc::make_mut(&mut s.nodes[at]).running.remove(&job);
            }
        }
        let is_equal = |(a, b): (&Arc<Node>, &Arc<Node>)| Arc::ptr_eq(a, b) || a == b;
        let nodes_equal = s.nodes.iter().zip(&before.nodes).all(is_equal);
        let other_fields = |s: &State| {
            (
                s.submitted_files,
                s.partitioned,
                s.crashes,
                s.request_count,
                s.refused,
                s.admitted_while_closing,
            )
        };
        (!nodes_equal || other_fields(&s) != other_fields(before)).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("jobs started on credit stay within the total", |_, s: &State| {
                s.nodes.iter().enumerate().all(|(at, n)| n.started_on_credit <= PARTS[at].total)
            }),
            Property::always("no new work once the closing is known", |_, s: &State| {
                !s.admitted_while_closing
            }),
            Property::always("accepted work continues", |_, s: &State| {
                s.nodes.iter().enumerate().all(|(at, node)| {
                    let may_send = restrictions(&node.registry, &mut CreditBalances::new(), s.now(at))
                        .get(ACME)
                        .is_none_or(|restriction| restriction.may_send);
                    let admits_repeat = |job: &u8| {
                        decide(&node.registry, None, &node.accepted, ACME, Some(&key(*job)), s.now(at))
                            == AdmissionDecision::Admit
                    };
                    may_send && node.running.iter().all(admits_repeat)
                })
            }),
            Property::sometimes("all credit is spent", |_, s: &State| {
                s.nodes.iter().map(|n| n.started_on_credit).sum::<u64>() == CREDIT.total
            }),
            Property::sometimes("accepted work finishes after the closing", |_, s: &State| {
                s.nodes.iter().any(|n| n.known_number == 3 && n.running.is_empty() && !n.accepted.is_empty())
            }),
            Property::sometimes("new work is admitted after the account is reopened", |_, s: &State| {
                s.nodes[1].known_number == 2 && !s.nodes[1].running.is_empty()
            }),
        ]
    }
}

/// Searches the reachable states breadth first, up to the limit.
fn run_search(fault: Fault) -> impl Checker<World> {
    let finish_when = if fault == Fault::None { HasDiscoveries::All } else { HasDiscoveries::AnyFailures };
    World(fault)
        .checker()
        .threads(2)
        .finish_when(finish_when)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join()
}

const ALWAYS: [&str; 3] = [
    "jobs started on credit stay within the total",
    "no new work once the closing is known",
    "accepted work continues",
];

#[test]
fn credit_is_not_exceeded_new_work_is_refused_and_accepted_work_continues() {
    let search = run_search(Fault::None);
    ALWAYS.iter().for_each(|name| search.assert_no_discovery(name));
    search.assert_any_discovery("all credit is spent");
    search.assert_any_discovery("accepted work finishes after the closing");
    search.assert_any_discovery("new work is admitted after the account is reopened");
    assert!(search.state_count() < MAX_STATES, "the search reached the limit");
    println!("{} states, depth {}", search.unique_state_count(), search.max_depth());
}

#[test]
fn the_search_finds_each_injected_fault() {
    for (fault, name) in [
        (Fault::CreditRestored, ALWAYS[0]),
        (Fault::OlderFileWins, ALWAYS[1]),
        (Fault::RefusedRecorded, ALWAYS[1]),
        (Fault::AcceptedForgotten, ALWAYS[2]),
    ] {
        assert!(run_search(fault).discovery(name).is_some(), "{fault:?} was not found");
    }
}
