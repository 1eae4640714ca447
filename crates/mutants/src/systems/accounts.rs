//! Four nodes of two sites exchange the status of an account, and admit jobs of it continuously.
//!
//! A file closes the account. While the sites are partitioned, each receives a different file with the same number. Later files reopen
//! the account and close it for good, during a partition in one direction. One node restarts with its disk, one without. Jobs that a
//! node admits without confirmation of the status count against the account's credit.

use crate::change::Encoding;
use crate::scenario::{parse_json, Action, Process, Scenario};
use crate::simulation::{Actor, Violation};
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
/// Unix time at the start of a run.
const START_UNIX: Micros = 1_764_633_600 * S;
const NODES: usize = 4;
const TICK: Micros = 50 * MS;
const CREDIT: Credit = Credit { total: 13, reserve: 4, shrink_after: 1_500 * MS };
/// The time after which a message of the other site no longer confirms the status.
const CONTACT_TIMEOUT: Micros = 1_200 * MS;
const ACCOUNT: &str = "acme";

/// The number of each file and the account's status in it, in the order of distribution. Two files have the same number.
const FILES: [(u64, AccountStatus); 6] = [
    (1, AccountStatus::Warned),
    (2, AccountStatus::Closing),
    (3, AccountStatus::Warned),
    (3, AccountStatus::Closing),
    (4, AccountStatus::Reopened),
    (5, AccountStatus::Closed),
];

fn accounts_file(index: usize) -> Option<AccountsFile> {
    let (number, standing) = *FILES.get(index)?;
    let change = |standing, reason: &str| {
        let reason = reason.to_string();
        shorepath_accounts::Change { number, standing, from: START_UNIX, reason }
    };
    let mut all = BTreeMap::from([(ACCOUNT.to_string(), change(standing, "by the books"))]);
    if number % 2 == 1 {
        all.insert("fyn".into(), change(AccountStatus::Good, "paid \u{e6}"));
    }
    Some(AccountsFile::new(number, all))
}

/// Returns whether a node that knows the file with this number must reject new jobs, computed without the cores under test.
/// `conflicting` is true if it knows two different files with the number.
fn rejects_new_jobs(number: u64, conflicting: bool) -> bool {
    matches!((number, conflicting), (2, _) | (3, true) | (5, _))
}

/// One incarnation of a node. With the fault `OLDER_FILE_WINS`, a duplicated piece of a file puts that file in force in place of a
/// newer one.
#[derive(Clone, Debug)]
pub struct Node<const OLDER_FILE_WINS: bool> {
    me: usize,
    incarnation: u64,
    gossip: Gossip,
    confirmation: Confirmation,
    balances: CreditBalances,
    accepted: AcceptedRequests,
    /// What the disk holds in addition to the registry.
    disk: Option<CreditRecord>,
    /// The greatest known number of a file, and whether two different files with it are known.
    known: (u64, bool),
    /// When the last message of the other site arrived.
    contact_at: Option<Micros>,
    next: Micros,
    requests: u64,
    /// The last admitted new job and the time of its admission.
    last_admitted: Option<(Micros, Key)>,
    /// Jobs admitted on credit since the status was last confirmed, by all incarnations of this node.
    jobs_on_credit: u64,
    violation: Option<Violation>,
    /// Messages received, for the fault.
    received: BTreeSet<(Actor, Vec<u8>)>,
    /// The registry with the older file that the fault puts in force.
    older: Option<AccountRegistry>,
}

impl<const OLDER_FILE_WINS: bool> Node<OLDER_FILE_WINS> {
    fn new(
        seed: u64,
        me: usize,
        incarnation: u64,
        now: Micros,
        registry: Option<&AccountRegistry>,
        disk: Option<CreditRecord>,
    ) -> Self {
        let all_nodes = (0..NODES as u32).collect();
        let mut gossip = Gossip::new(me as u32, all_nodes, seed ^ (me as u64) << 16 ^ incarnation << 32, now);
        registry.into_iter().for_each(|registry| gossip.restore(registry));
        let sites = ["a", "b"].map(|s| SiteShare { site: s.into(), nodes: NODES as u32 / 2, weight: None });
        let part = divide(&CREDIT, &sites).ok().and_then(|all| all.into_iter().flatten().nth(me));
        let balance = CreditBalance::restore(part.unwrap_or_default(), CREDIT.shrink_after, 2, disk);
        Node {
            me,
            incarnation,
            gossip,
            confirmation: Confirmation::new(now),
            balances: CreditBalances::from([(ACCOUNT.to_string(), balance)]),
            accepted: AcceptedRequests::new(256, 60 * S),
            disk,
            known: (0, false),
            contact_at: None,
            next: now,
            requests: 0,
            last_admitted: None,
            jobs_on_credit: 0,
            violation: None,
            received: BTreeSet::new(),
            older: None,
        }
    }

    fn report_violation(&mut self, rule: &'static str, details: String) {
        self.violation.get_or_insert(Violation::new(rule, details));
    }

    fn registry(&self) -> &AccountRegistry {
        self.older.as_ref().unwrap_or(self.gossip.registry())
    }

    /// Checks that the registry doesn't go back to an older file, and notes what is known now.
    fn check_registry(&mut self) {
        let number = self.registry().newest_number();
        if number < self.known.0 {
            let details = format!("{} knew file {} and uses file {number}", self.me, self.known.0);
            self.report_violation("the file number never decreases", details);
        }
        let conflicting = self.gossip.take_updates().contains(&RegistryUpdate::ConflictingFiles { number });
        self.known = if number > self.known.0 {
            (number, conflicting)
        } else {
            (self.known.0, self.known.1 || conflicting)
        };
    }

    /// Requests the admission of a new job and of one that is running.
    fn request_jobs(&mut self, now: Micros) {
        let contact_at = self.contact_at.filter(|at| now - at < CONTACT_TIMEOUT);
        let times = Now { unix: START_UNIX + now, steady: now, unconfirmed_since: None };
        let confirmed = self.confirmation.update(contact_at, now) == Some(false);
        let times = Now { unconfirmed_since: self.confirmation.unconfirmed_since(), ..times };
        let registry = self.older.as_ref().unwrap_or(self.gossip.registry());
        let status = registry.standing_at(ACCOUNT, times.unix);
        let Some(balance) = self.balances.get_mut(ACCOUNT) else { return };
        if confirmed {
            balance.confirmed(&registry.change_at(ACCOUNT, times.unix));
            self.jobs_on_credit = 0;
        }
        balance.pay_debt(1);
        if let Some(record) = balance.record_to_write() {
            balance.record_written(record);
            self.disk = Some(record);
        }
        let restriction = restrictions(registry, &mut self.balances, times).get(ACCOUNT).copied();
        let Some(balance) = self.balances.get_mut(ACCOUNT) else { return };
        self.requests += 1;
        let key = Key::Request(format!("{}-{}-{}", self.me, self.incarnation, self.requests));
        let decision = decide(registry, Some(balance), &self.accepted, ACCOUNT, Some(&key), times);
        self.jobs_on_credit += u64::from(decision == AdmissionDecision::AdmitOnCredit);
        if !matches!(decision, AdmissionDecision::Refuse(_)) {
            self.accepted.record(ACCOUNT, Some(&key), now);
            if rejects_new_jobs(self.known.0, self.known.1)
                || restriction.is_some_and(|r| r.max_new_jobs == Some(0))
            {
                let details = format!(
                    "node {} knows {:?} as the newest file and whether it conflicts, has restriction {restriction:?}, and admits {key:?}",
                    self.me, self.known
                );
                let violation = Violation::new("no new job of a closing account", details);
                self.violation.get_or_insert(violation);
                return;
            }
        }
        let previous_job = self.last_admitted.take();
        self.last_admitted = if matches!(decision, AdmissionDecision::Refuse(_)) {
            previous_job.clone()
        } else {
            Some((now, key))
        };
        if let Some((_, key)) = previous_job.filter(|_| status != AccountStatus::Closed) {
            let Some(balance) = self.balances.get_mut(ACCOUNT) else { return };
            let decision = decide(registry, Some(balance), &self.accepted, ACCOUNT, Some(&key), times);
            if decision != AdmissionDecision::Admit {
                self.report_violation(
                    "running jobs are admitted",
                    format!("node {} decides {decision:?} for the running job {key:?}", self.me),
                );
            }
        }
    }
}

impl<const OLDER_FILE_WINS: bool> Process for Node<OLDER_FILE_WINS> {
    fn receive(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        let message: Message = parse_json(bytes)?;
        if (from < NODES / 2) != (self.me < NODES / 2) {
            self.contact_at = Some(now);
        }
        let before = self.gossip.counts();
        self.gossip.receive(from as u32, &message, now);
        if let (true, Message::Piece { transfer, .. }) = (OLDER_FILE_WINS, &message) {
            let duplicate = !self.received.insert((from, bytes.to_vec()));
            self.older = (0..FILES.len())
                .filter_map(accounts_file)
                .find(|file| file.number == transfer.file.0)
                .filter(|f| duplicate && f.number < self.gossip.registry().newest_number())
                .map(|file| {
                    let mut registry = AccountRegistry::new();
                    registry.add_file(&file);
                    registry
                });
        }
        self.check_registry();
        let after = self.gossip.counts();
        match (after.refused > before.refused, after.unknown > before.unknown) {
            (true, _) => Err("invalid message".into()),
            (_, true) => Err("unknown message type".into()),
            _ => Ok(()),
        }
    }

    fn advance(&mut self, now: Micros) {
        self.next = now + TICK;
        self.gossip.tick(now);
        self.request_jobs(now);
    }

    fn next_due(&self) -> Option<Micros> {
        Some(self.next)
    }

    fn take_outgoing(&mut self) -> Vec<(Actor, Vec<u8>)> {
        let outgoing = self.gossip.take_outgoing().into_iter();
        outgoing.filter_map(|(to, message)| Some((to as Actor, serde_json::to_vec(&message).ok()?))).collect()
    }

    /// Hands an accounts file to the node; `command` is its index in the order of distribution.
    fn perform(&mut self, now: Micros, command: u32) {
        accounts_file(command as usize).iter().for_each(|file| self.gossip.add_file(file, now));
        self.check_registry();
    }

    fn try_clone(&self) -> Option<Self> {
        Some(self.clone())
    }
}

/// The scenario of [`crate::systems::accounts`]; for the fault see [`Node`].
#[derive(Debug)]
pub struct AccountsScenario<const OLDER_FILE_WINS: bool = false>;

impl<const OLDER_FILE_WINS: bool> Scenario for AccountsScenario<OLDER_FILE_WINS> {
    type Process = Node<OLDER_FILE_WINS>;
    const NAME: &'static str = "accounts";
    const ENCODING: Encoding = Encoding::Json("w");
    const DURATION: Micros = 15 * S;
    const DELAYS: [Micros; 3] = [300 * MS, 2_500 * MS, 6 * S];
    const SETTLE_TIME: Micros = 2_500 * MS;
    const CLONEABLE: bool = true;
    const ACTOR_COUNT: usize = NODES;

    fn start(seed: u64, me: Actor, incarnation: u64, now: Micros) -> Self::Process {
        let record = CreditRecord { spent: 0, debt: 0, shrunk: false };
        Node::new(seed, me, incarnation, now, None, Some(record))
    }

    fn restart(
        seed: u64,
        me: Actor,
        incarnation: u64,
        now: Micros,
        last: Option<Self::Process>,
    ) -> Self::Process {
        let Some(last) = last else { return Self::start(seed, me, incarnation, now) };
        // Node 2 loses its disk, but the jobs that it admitted still count. With the fault, no node loses its disk.
        let has_disk = me == 1 || OLDER_FILE_WINS;
        let (registry, disk) =
            if has_disk { (Some(last.gossip.registry()), last.disk) } else { (None, None) };
        let mut node = Node::new(seed, me, incarnation, now, registry, disk);
        node.known = if has_disk { last.known } else { node.known };
        (node.jobs_on_credit, node.violation, node.received) =
            (last.jobs_on_credit, last.violation, last.received);
        node
    }

    fn actions(seed: u64) -> Vec<(Micros, Action)> {
        let jitter = |k: u64| ((seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (8 * k)) % 300) as Micros * MS;
        let partition = |from: [Actor; 2], to: [Actor; 2], at: Micros, begins: bool| {
            let all = from.into_iter().flat_map(move |f| to.into_iter().map(move |t| (f, t)));
            all.map(move |(f, t)| (at, Action::Partition(f, t, begins)))
        };
        let (a, b) = ([0, 1], [2, 3]);
        let add_file = |at: Micros, to: Actor, index: u32| (at, Action::Perform(to, index));
        let mut all = vec![
            add_file(500 * MS + jitter(0), 0, 0),
            add_file(2_200 * MS + jitter(1), 3, 1),
            add_file(3_800 * MS + jitter(2), 1, 2),
            add_file(3_900 * MS + jitter(3), 2, 3),
            (5 * S + jitter(4), Action::Kill(1)),
            (5_400 * MS + jitter(4), Action::Start(1)),
            (8 * S + jitter(5), Action::Kill(2)),
            (8_500 * MS + jitter(5), Action::Start(2)),
            add_file(9_200 * MS + jitter(6), 0, 4),
            add_file(11 * S + jitter(1), 3, 5),
        ];
        all.extend(partition(a, b, 3_200 * MS, true).chain(partition(b, a, 3_200 * MS, true)));
        all.extend(partition(a, b, 6_500 * MS, false).chain(partition(b, a, 6_500 * MS, false)));
        all.extend(partition(a, b, 10 * S, true).chain(partition(a, b, 12 * S, false)));
        all.sort_by_key(|a| a.0);
        all
    }

    fn check_invariants(processes: &[Option<Self::Process>], _: Micros) -> Result<(), Violation> {
        let nodes = || processes.iter().flatten();
        if let Some(violation) = nodes().find_map(|n| n.violation.clone()) {
            return Err(violation);
        }
        let jobs_on_credit: u64 = nodes().map(|n| n.jobs_on_credit).sum();
        if jobs_on_credit > CREDIT.total {
            let by_node: Vec<u64> = nodes().map(|n| n.jobs_on_credit).collect();
            return Err(Violation::new(
                "unconfirmed admissions never exceed the credit",
                format!("the nodes admitted {by_node:?} jobs on credit, with the credit {CREDIT:?}"),
            ));
        }
        Ok(())
    }

    fn check_final_state(processes: &[Option<Self::Process>], now: Micros) -> Result<(), Violation> {
        let all: Vec<(u64, u64, AccountStatus)> = processes
            .iter()
            .flatten()
            .map(|n| {
                (
                    n.registry().newest_number(),
                    n.registry().hash(),
                    n.registry().standing_at(ACCOUNT, START_UNIX + now),
                )
            })
            .collect();
        let first = all.first().filter(|f| (f.0, f.2) == (5, AccountStatus::Closed) && all.len() == NODES);
        match first.filter(|first| all.iter().all(|a| a == *first)) {
            Some(_) => Ok(()),
            None => Err(Violation::new("all registries are equal", format!("{all:?}"))),
        }
    }
}
