//! Encoded messages between processes and stored records of each package, one value with its kind per line.

use crate::files::{assert_golden, hex, text, unhex};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::Serialize;
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::credit::CreditRecord;
use shorepath_accounts::gossip::{self, FileTransfer};
use shorepath_accounts::registry::AccountRegistry;
use shorepath_accounts::{AccountStatus, Change};
use shorepath_audit::audit_log::{self, ChainPoint, ChangeSource, Decision};
use shorepath_audit::decision_counters::request_tag;
use shorepath_audit::gossip as audit;
use shorepath_audit::gossip::NodeReport;
use shorepath_audit::version::{ContentHash, Item, VersionError, VersionVector};
use shorepath_membership::{Effect, Membership, Peer};
use shorepath_message_auth::channel::Channel;
use shorepath_message_auth::keyring::Keys;
use shorepath_placements::anti_entropy::{self, LogSummary};
use shorepath_placements::hash_chain::{self, Digest, Piece};
use shorepath_placements::history::{Base, History, RetainedKey};
use shorepath_placements::{End, Placement, Timed, Writer};
use shorepath_quota::allocator::{Allocator, Entry, StateSnapshot};
use shorepath_quota::messages::{
    self as budgets, BudgetClaim, BudgetGrant, BudgetStatus, PartStatus, Status,
};
use shorepath_quota::{Grant, NodeId, NodeIncarnation};
use shorepath_recovery::incarnations::{self as recovery, Reply};
use shorepath_scheduler::KeyId;
use shorepath_sites::catch_up;
use shorepath_sites::health::{self, Load, SiteReport};
use shorepath_sites::key_ownership::{Fence, KeyOwnership, PersistedOwnership};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

const KEY: &str = "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677";

const BUDGETS: &str = "(budgets (version 3) (term 1500 ms) (drift-ppm 300)
  (divider d0 \"127.0.0.1:7001\") (divider d1 \"127.0.0.1:7002\")
  (node n0 \"127.0.0.1:7003\") (node n1 \"127.0.0.1:7004\")
  (budget quota:acme (whole 100) (reserve 5) (floor 2))
  (budget flight:valve (per moment) (whole 40) (longest 3 s)))";

const SITES: &str = "(sites (version 4) (fleet odense) (key \"fleet.key\") (home valve)
  (site west (node n0 \"127.0.0.1:7101\") (node n1 \"127.0.0.1:7102\") (bears 100))
  (site east (node n2 \"127.0.0.1:7103\") (bears 50)))";

/// Decodes a line of the golden file and asserts that it yields the value.
type DecodeCheck = Box<dyn Fn(&str)>;

/// The encoded values of one golden file.
#[derive(Default)]
struct Samples {
    lines: Vec<(String, String)>,
    decode_checks: Vec<DecodeCheck>,
}

impl Samples {
    fn add(&mut self, kind: &str, encoded: String, decode_check: impl Fn(&str) + 'static) {
        self.lines.push((kind.to_string(), encoded));
        self.decode_checks.push(Box::new(decode_check));
    }

    fn json<T: Serialize + DeserializeOwned + PartialEq + Debug + 'static>(&mut self, kind: &str, value: T) {
        let encoded = serde_json::to_string(&value).unwrap();
        self.add(kind, encoded, move |line| assert_eq!(serde_json::from_str::<T>(line).unwrap(), value));
    }

    fn postcard<T: Serialize + DeserializeOwned + PartialEq + Debug + 'static>(
        &mut self,
        kind: &str,
        value: T,
    ) {
        let encoded = hex(&postcard::to_stdvec(&value).unwrap());
        self.add(kind, encoded, move |line| {
            assert_eq!(postcard::from_bytes::<T>(&unhex(line)).unwrap(), value);
        });
    }

    /// Adds a value that is never decoded, such as a hash.
    fn computed(&mut self, kind: &str, value: impl Debug) {
        self.add(kind, format!("{value:?}"), |_| {});
    }

    fn check(self, file: &str) {
        let found: String = self.lines.iter().map(|(kind, line)| format!("{kind} {line}\n")).collect();
        let golden = text(file, &found);
        assert_golden(file, &found);
        for (line, check) in golden.lines().zip(&self.decode_checks) {
            check(line.split_once(' ').unwrap().1);
        }
    }
}

fn incarnation() -> NodeIncarnation {
    NodeIncarnation { node: NodeId::of("n0"), incarnation: 0x1234_5678_9abc_def0 }
}

fn plan() -> shorepath_quota::config::Plan {
    shorepath_quota::config::read("b.sexp", BUDGETS).unwrap()
}

fn sites() -> shorepath_sites::config::SitesConfig {
    shorepath_sites::config::read("s.sexp", SITES).unwrap()
}

fn budget_messages() -> Vec<budgets::Message> {
    let claim = BudgetClaim {
        budget: "quota:acme".into(),
        request_number: 9,
        demand: 70,
        used: 55,
        in_force: (7, 12),
    };
    let grant = BudgetGrant {
        budget: "quota:acme".into(),
        epoch: 7,
        number: 13,
        amount: 60,
        answers: 9,
        length: 1_500_000,
    };
    let held_grants = vec![("quota:acme".to_string(), 7, 13), ("flight:valve".to_string(), 7, 4)];
    vec![
        budgets::Message::Ask { holder: incarnation(), plan: 3, claims: vec![claim] },
        budgets::Message::Acknowledge { holder: incarnation(), grants: held_grants.clone() },
        budgets::Message::Returns { holder: incarnation(), grants: held_grants },
        budgets::Message::Grants { holder: incarnation(), plan: 3, grants: vec![grant] },
        budgets::Message::AskAgain { holder: incarnation() },
        budgets::Message::NotLeader { leader: Some("d1".into()) },
        budgets::Message::NotLeader { leader: None },
    ]
}

fn grant() -> Grant {
    Grant { holder: incarnation(), epoch: 7, number: 13, amount: 60, answers: 9, length: 1_500_000 }
}

/// Returns the replicated state of a quota server after a plan, the start of its leadership and a grant.
fn allocator() -> Allocator {
    let mut allocator = Allocator::new("d0", plan(), 7);
    allocator.apply(&Entry::Plan(Box::new(plan())), 1_000);
    allocator.apply(&Entry::Open(7), 20_000_000);
    let grants = vec![("quota:acme".to_string(), Grant { number: 1, ..grant() })];
    let base = BTreeMap::from([("quota:acme".to_string(), 0)]);
    assert!(allocator.apply(&Entry::Grants { base, grants }, 21_000_000));
    allocator
}

fn status() -> Status {
    let part = PartStatus {
        node: "n0".into(),
        incarnation: 5,
        amount: 60,
        demand: 70,
        used: 55,
        number: 13,
        received: Some(250_000),
        is_suspected: false,
    };
    let budget = BudgetStatus {
        name: "quota:acme".into(),
        total: 100,
        reserved: 10,
        granted: 60,
        surplus: 5,
        withheld: 3,
        free: 27,
        debt: 1,
        used: 55,
        number: 13,
        parts: vec![part],
    };
    Status {
        allocator: "d0".into(),
        leader: Some("d0".into()),
        plan: 3,
        epoch: Some(7),
        kept: vec![1, 2],
        budgets: vec![budget],
        members: vec![("n0".into(), "alive".into(), 4_000_000)],
        refused: vec![("a word of another fleet".into(), 2)],
    }
}

#[rstest]
fn quota_messages_and_state_match_the_golden_file() {
    let mut samples = Samples::default();
    budget_messages().into_iter().for_each(|message| samples.json("message", message));
    samples.json("status", status());
    for entry in [
        Entry::Plan(Box::new(plan())),
        Entry::Open(7),
        Entry::Settled(3),
        Entry::Grants {
            base: BTreeMap::from([("quota:acme".to_string(), 12)]),
            grants: vec![("quota:acme".to_string(), grant())],
        },
    ] {
        samples.json("agreed", entry);
    }
    samples.json("snapshot", allocator().state().snapshot());
    samples.json("empty-snapshot", StateSnapshot::default());
    for name in ["n0", "n1", "d0", "en-node"] {
        samples.computed("node", NodeId::of(name).0);
    }
    samples.check("budgets.txt");
}

/// Three members join and one leaves: the datagrams are the same for the same seeds, and each is accepted.
#[rstest]
fn membership_datagrams_match_the_golden_file() {
    let peer = |node| Peer { node, incarnation: 1_000 + u64::from(node) };
    let others = |node: u32| (1..=3).filter(|n| *n != node).collect();
    let mut members: Vec<Membership> =
        (1..=3).map(|n| Membership::new(peer(n), others(n), u64::from(n), 0)).collect();
    let mut samples = Samples::default();
    for step in 0..40i64 {
        let now = step * 100_000;
        let mut sent = Vec::new();
        for member in &mut members {
            member.advance(now);
            if step == 35 && member.me().node == 3 {
                member.leave(now);
            }
            let from = member.me().node;
            for effect in member.take_effects() {
                if let Effect::Outgoing { to, bytes } = effect {
                    sent.push((from, to, bytes));
                }
            }
        }
        for (from, to, bytes) in sent {
            members[to as usize - 1].receive(now, &bytes).unwrap();
            samples.add(&format!("{from}-{to}"), hex(&bytes), |_| {});
        }
    }
    samples.check("membership.txt");
}

fn account_messages() -> Vec<gossip::Message> {
    let transfer = FileTransfer { file: (8, 0xabcd), base: (7, 0x1234), piece_count: 2 };
    let account_lines = vec![
        gossip::AccountLine {
            account: "acme".into(),
            standing: Some(AccountStatus::Closing),
            from: 1_700_000_000_000_000,
            reason: "unpaid".into(),
        },
        gossip::AccountLine { account: "bravo".into(), standing: None, from: 0, reason: String::new() },
    ];
    vec![
        gossip::Message::Digest { newest: (8, 0xabcd), hash: 0x77 },
        gossip::Message::Have { files: vec![(8, 0xabcd), (7, 0x1234)], wants_reply: true, missing: None },
        gossip::Message::Have { files: vec![], wants_reply: false, missing: Some((transfer, vec![0, 1])) },
        gossip::Message::Piece { transfer, index: 1, conflicting: true, last: true, lines: account_lines },
        gossip::Message::Unknown(9),
    ]
}

fn accounts_file(number: u64, standing: AccountStatus) -> AccountsFile {
    let change = Change { number, standing, from: 5_000_000, reason: "unpaid".into() };
    AccountsFile::new(number, BTreeMap::from([("acme".to_string(), change)]))
}

fn registry() -> AccountRegistry {
    let mut registry = AccountRegistry::new();
    for (number, standing) in [
        (1, AccountStatus::Good),
        (2, AccountStatus::Warned),
        (3, AccountStatus::Closing),
        (4, AccountStatus::Closed),
        (5, AccountStatus::Reopened),
    ] {
        registry.add_file(&accounts_file(number, standing));
    }
    // A second, conflicting file with number 5.
    registry.add_file(&accounts_file(5, AccountStatus::Closed));
    registry
}

#[rstest]
fn account_messages_and_records_match_the_golden_file() {
    let mut samples = Samples::default();
    for message in account_messages() {
        samples.json("message", message.clone());
        samples.postcard("packed", message);
    }
    samples.json("book", registry());
    samples.computed("hash", registry().hash());
    samples.json("decree", accounts_file(4, AccountStatus::Closed));
    samples.json("note", CreditRecord { spent: 3, debt: 2, shrunk: true });
    samples.check("accounts.txt");
}

fn site_message() -> health::Message {
    let report =
        SiteReport { site: 11, heartbeat: 500, heartbeat_age: 20, direct: 499, direct_age: 30, echo_age: 40 };
    let load = Load { load_percent: 60, capacity: 100, demand: vec![(health::class_number("valve"), 12)] };
    health::Message {
        site: 10,
        heartbeat: 501,
        version: 4,
        digest: 77,
        others: vec![report],
        load: Some(load),
    }
}

fn fence() -> Fence {
    Fence { epoch: 7, number: 3 }
}

fn catch_up_messages() -> Vec<catch_up::Message> {
    vec![
        catch_up::Message::Ask { home: "west/n0".into(), fence: fence() },
        catch_up::Message::Reply { home: "west/n0".into(), fence: fence(), log: 0xfeed, last: 12 },
    ]
}

#[rstest]
fn site_messages_and_records_match_the_golden_file() {
    let mut samples = Samples::default();
    samples.json("health", site_message());
    samples.json("health", health::Message { load: None, digest: 0, ..site_message() });
    catch_up_messages().into_iter().for_each(|message| samples.json("proof", message));
    samples.json(
        "homes",
        PersistedOwnership {
            fences: BTreeMap::from([("west/n0".to_string(), fence())]),
            settled_nodes: BTreeSet::from([1, 2]),
            current_nodes: BTreeSet::from([1, 2, 3]),
        },
    );
    let mut used = shorepath_sites::config_history::ConfigHistory::default();
    let lost = SITES.replace("(home valve)", "(lost east (number 6))");
    used.record(&shorepath_sites::config::read("s.sexp", &lost).unwrap());
    samples.json("used", used);
    samples.computed("digest", sites().digest());
    samples.computed("fence", fence().as_u64());
    let ownership =
        KeyOwnership::new(sites().node_named("n0").unwrap().number, &sites(), &PersistedOwnership::default());
    for key in ["key1", "key2", "key3", "valve-7", "x"] {
        samples.computed("home", ownership.home(key));
    }
    samples.check("sites.txt");
}

fn recovery_messages() -> Vec<recovery::Message> {
    let me = recovery::DiskIncarnation { disk: 9, boots: 4, process: 0x55 };
    let reply = Reply { to: 0x55, known: Some(me), other_alive: true, complete: true, kept_power: false };
    vec![
        recovery::Message::Ask { me, claims: true },
        recovery::Message::Reply(reply),
        recovery::Message::Reply(Reply {
            known: None,
            other_alive: false,
            complete: false,
            kept_power: true,
            ..reply_to(me)
        }),
    ]
}

fn reply_to(me: recovery::DiskIncarnation) -> Reply {
    Reply { to: me.process, known: Some(me), other_alive: false, complete: false, kept_power: false }
}

#[rstest]
fn recovery_messages_match_the_golden_file() {
    let mut samples = Samples::default();
    recovery_messages().into_iter().for_each(|message| samples.json("message", message));
    samples.check("recovery.txt");
}

fn writer() -> Writer {
    Writer { site: "west".into(), node: "n0".into(), log: 0xfeed }
}

fn placed() -> Timed {
    let placement = Placement {
        key: Some("valve-7".into()),
        class: "valve".into(),
        guarded: true,
        tenant: Some("acme".into()),
        server: "s-1".into(),
        standing: 5,
        taken: 1_700_000_000_000_000,
        on_credit: true,
        list: 41,
        fence: fence().as_u64(),
    };
    Timed { at: 1_700_000_000_000_100, entry: shorepath_placements::Entry::Placed(placement) }
}

fn ended(how: End) -> Timed {
    Timed { at: 1_700_000_000_000_200, entry: shorepath_placements::Entry::Ended { of: 1, how } }
}

fn retained_key() -> RetainedKey {
    RetainedKey {
        class: "valve".into(),
        key: "valve-7".into(),
        number: 1,
        at: 1_700_000_000_000_100,
        server: "s-1".into(),
        fence: fence().as_u64(),
        how: End::Unknown,
    }
}

fn piece() -> Piece {
    let (after, before) = hash_chain::origin(&writer());
    let entries =
        vec![hash_chain::encode(&placed()).unwrap(), hash_chain::encode(&ended(End::Served)).unwrap()];
    let head = entries.iter().fold(before, |before, entry| hash_chain::next_digest(&before, entry));
    Piece { writer: writer(), after, before, entries, head }
}

fn placement_messages() -> Vec<anti_entropy::Message> {
    let point = (2, Digest([3; 32]));
    let summary = LogSummary {
        writer: writer(),
        sealed: (1, Digest([1; 32])),
        points: vec![point],
        receiving: Some((point, 4)),
    };
    vec![
        anti_entropy::Message::Have {
            incarnation: 0x77,
            summary_number: 3,
            part: 0,
            parts: 1,
            logs: vec![summary],
        },
        anti_entropy::Message::Piece { piece: piece() },
        anti_entropy::Message::Sealed {
            writer: writer(),
            point,
            from: 0,
            total: 1,
            retained_keys: vec![retained_key()],
            check: Digest([9; 32]),
        },
    ]
}

#[rstest]
fn placement_messages_and_records_match_the_golden_file() {
    let mut samples = Samples::default();
    for message in placement_messages() {
        assert_eq!(message.encode(), postcard::to_stdvec(&message).unwrap());
        samples.postcard("message", message);
    }
    samples.postcard("entry", placed());
    for how in [End::Served, End::NeverRan, End::Unknown] {
        samples.postcard("entry", ended(how));
    }
    assert_eq!(hash_chain::encode(&placed()).unwrap(), postcard::to_stdvec(&placed()).unwrap());
    samples.json("base", Base { point: (2, Digest([3; 32])), retained_keys: vec![retained_key()] });
    samples.json("writer", writer());
    samples.json("piece", piece());
    samples.computed("origin", hex(&hash_chain::origin(&writer()).1 .0));
    samples.computed("head", hex(&piece().head.0));
    let mut history = History::new();
    assert_eq!(history.insert(&piece()), Ok(2));
    samples.computed("history", hex(&history.canonical_bytes()));
    history.seal(&writer(), 2).unwrap();
    samples.computed("sealed-history", hex(&history.canonical_bytes()));
    samples.check("placements.txt");
}

fn vector() -> VersionVector {
    let mut vector = VersionVector::default();
    for (item, number) in [
        (Item::Program, None),
        (Item::Settings, None),
        (Item::Sites, Some(4)),
        (Item::Budgets, Some(3)),
        (Item::Accounts, Some(5)),
        (Item::List, None),
        (Item::Epoch, Some(7)),
        (Item::Members, None),
    ] {
        vector.set(item, ContentHash::of(item.name().as_bytes()), number);
    }
    vector
}

fn audit_message() -> audit::Message {
    let head = ChainPoint::origin("n0", 0x42).successor(b"entry");
    let report = NodeReport {
        node: 5,
        at: 1_700_000_000_000_000,
        log_id: 0x42,
        head,
        content: vector().content_hash(),
    };
    audit::Message { reports: vec![report], vectors: vec![vector().shared()], disputed: vec![(0x42, head)] }
}

fn audit_entries() -> Vec<audit_log::Entry> {
    let change = vector().set(Item::Sites, ContentHash::of_number(9), Some(9)).unwrap();
    let decision = Decision {
        request: 77,
        class: "valve".into(),
        server: Some("s-1".into()),
        reason: "dispatched".into(),
    };
    let mut all = vec![audit_log::Entry::ProcessStarted { vector: vector() }];
    for source in [
        ChangeSource::Start,
        ChangeSource::Operator,
        ChangeSource::Discovery,
        ChangeSource::Peers,
        ChangeSource::Agreement,
    ] {
        all.push(audit_log::Entry::VersionChanged { change, source });
    }
    for error in [VersionError::Older { held: 5, offered: 4 }, VersionError::Conflict(5)] {
        all.push(audit_log::Entry::VersionRejected {
            item: Item::Accounts,
            error,
            source: ChangeSource::Operator,
        });
    }
    all.push(audit_log::Entry::DecisionCounts {
        vector: 2,
        counts: BTreeMap::from([("served".to_string(), 4)]),
    });
    all.push(audit_log::Entry::SampledDecision { vector: 2, decision: decision.clone() });
    all.push(audit_log::Entry::SampledDecision {
        vector: 2,
        decision: Decision { server: None, ..decision },
    });
    all.push(audit_log::Entry::DecisionsDropped { count: 6 });
    all
}

#[rstest]
fn audit_messages_and_records_match_the_golden_file() {
    let mut samples = Samples::default();
    samples.postcard("message", audit_message());
    for entry in audit_entries() {
        let timed = audit_log::Timed { at: 1_700_000_000_000_000, entry };
        let encoded = audit_log::encode(&timed).unwrap();
        let kept = timed.clone();
        samples.add("entry", hex(&encoded), move |line| {
            assert_eq!(audit_log::decode(1, &unhex(line)).unwrap(), kept);
        });
    }
    samples.json("vector", vector());
    samples.computed("content", vector().content_hash());
    samples.computed("origin", hex(&ChainPoint::origin("n0", 0x42).digest.0));
    samples.computed("follow", hex(&ChainPoint::origin("n0", 0x42).successor(b"entry").digest.0));
    samples.computed("tag", request_tag(&[7; 16], "r1"));
    samples.check("audit.txt");
}

#[rstest]
fn key_and_server_hashes_match_the_golden_file() {
    let mut samples = Samples::default();
    for text in ["s-0", "s-1", "valve-7"] {
        let hash = shorepath_scheduler::name_hash(text);
        samples.computed("mark", hash);
        samples.computed("rank", KeyId(hash).rank(1));
    }
    samples.check("numbers.txt");
}

/// Messages signed with a key yield the same bytes; only a receiver with that key accepts them.
#[rstest]
fn signed_datagrams_match_the_golden_file() {
    let as_json = |message: &dyn type_erased::Json| message.json();
    let mut bodies: Vec<(&str, Vec<u8>)> = Vec::new();
    bodies.extend(budget_messages().iter().map(|m| ("budgets", m.bytes())));
    bodies.extend(account_messages().iter().map(|m| ("accounts", as_json(m))));
    bodies.push(("health", as_json(&site_message())));
    bodies.extend(catch_up_messages().iter().map(|m| ("proof", as_json(m))));
    bodies.extend(recovery_messages().iter().map(|m| ("recovery", as_json(m))));
    bodies.extend(placement_messages().iter().map(|m| ("placements", m.encode())));
    bodies.push(("audit", postcard::to_stdvec(&audit_message()).unwrap()));
    let keys = Keys::read(KEY).unwrap();
    let other = Keys::read(&KEY.replace('5', "6")).unwrap();
    fn channel(sender: u32, keys: &Keys) -> Channel {
        Channel::new(sender, 1_700_000_000_000_000, "tidal", Some(keys))
    }
    let mut samples = Samples::default();
    let mut sender = channel(7, &keys);
    for (kind, body) in bodies {
        let plain = Channel::new(7, 1, "tidal", None).sign(body.clone());
        assert_eq!(plain, body, "messages are sent unchanged without a key");
        let signed = sender.sign(body.clone());
        let (keys, other) = (keys.clone(), other.clone());
        samples.add(kind, hex(&signed), move |golden| {
            let golden = unhex(golden);
            let mut receiver = channel(8, &keys);
            let verified = receiver.verify(&golden, 0).unwrap();
            assert_eq!((verified.sender, verified.body), (Some(7), body.as_slice()));
            assert!(channel(8, &other).verify(&golden, 0).is_err(), "another key");
            let mut changed = golden.clone();
            changed[40] ^= 1;
            assert!(channel(8, &keys).verify(&changed, 0).is_err(), "a changed byte");
        });
    }
    samples.check("datagrams.txt");
}

/// JSON encoding of values of different types behind one trait object.
mod type_erased {
    pub trait Json {
        fn json(&self) -> Vec<u8>;
    }

    impl<T: serde::Serialize> Json for T {
        fn json(&self) -> Vec<u8> {
            serde_json::to_vec(self).unwrap()
        }
    }
}
