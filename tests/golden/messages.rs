//! Messages between processes and records on disks, as each package encodes them: one line a value, with its kind.

use crate::files::{hex, matches, text, unhex};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::Serialize;
use shorepath_accounts::book::Book;
use shorepath_accounts::credit::Note;
use shorepath_accounts::file::Decree;
use shorepath_accounts::spread::{self, Telling};
use shorepath_accounts::{Change, Standing};
use shorepath_audit::meter::tag;
use shorepath_audit::peers::Story;
use shorepath_audit::record::{self, Decision, Why};
use shorepath_audit::version::{BackError, Content, Item, Vector};
use shorepath_audit::{peers as audit, record::Point};
use shorepath_budgets::divider::{Divider, Entry, Kept};
use shorepath_budgets::words::{self as budgets, BudgetStatus, Claiming, Granting, PartStatus, Status};
use shorepath_budgets::{Grant, Life, NodeId};
use shorepath_envelope::keys::Keys;
use shorepath_envelope::line::Line;
use shorepath_membership::{Effect, Membership, Peer};
use shorepath_placements::chain::{self, Digest, Piece};
use shorepath_placements::exchange::{self, Known};
use shorepath_placements::history::{Base, History, Remembered};
use shorepath_placements::{End, Placement, Timed, Writer};
use shorepath_recovery::peers::{self as recovery, Tell};
use shorepath_scheduler::KeyId;
use shorepath_sites::homes::{Fence, Homes, Kept as KeptHomes};
use shorepath_sites::proof;
use shorepath_sites::seeing::{self, Load, Told};
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

/// The values of one golden file, encoded.
#[derive(Default)]
struct Samples {
    lines: Vec<(String, String)>,
    /// What reads a line of the golden file and fails unless it finds the value.
    readers: Vec<Box<dyn Fn(&str)>>,
}

impl Samples {
    fn add(&mut self, kind: &str, encoded: String, reader: impl Fn(&str) + 'static) {
        self.lines.push((kind.to_string(), encoded));
        self.readers.push(Box::new(reader));
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

    /// A value that is only ever computed: a hash, a number that stands for a name.
    fn computed(&mut self, kind: &str, value: impl Debug) {
        self.add(kind, format!("{value:?}"), |_| {});
    }

    fn check(self, file: &str) {
        let found: String = self.lines.iter().map(|(kind, line)| format!("{kind} {line}\n")).collect();
        let golden = text(file, &found);
        matches(file, &found);
        for (line, read) in golden.lines().zip(&self.readers) {
            read(line.split_once(' ').unwrap().1);
        }
    }
}

fn life() -> Life {
    Life { node: NodeId::of("n0"), incarnation: 0x1234_5678_9abc_def0 }
}

fn plan() -> shorepath_budgets::file::Plan {
    shorepath_budgets::file::read("b.sexp", BUDGETS).unwrap()
}

fn sites() -> shorepath_sites::file::Plan {
    shorepath_sites::file::read("s.sexp", SITES).unwrap()
}

fn budget_messages() -> Vec<budgets::Word> {
    let claim = Claiming { budget: "quota:acme".into(), answers: 9, demand: 70, used: 55, goes_by: (7, 12) };
    let granting = Granting {
        budget: "quota:acme".into(),
        epoch: 7,
        number: 13,
        amount: 60,
        answers: 9,
        length: 1_500_000,
    };
    let held = vec![("quota:acme".to_string(), 7, 13), ("flight:valve".to_string(), 7, 4)];
    vec![
        budgets::Word::Ask { life: life(), plan: 3, claims: vec![claim] },
        budgets::Word::Goes { life: life(), by: held.clone() },
        budgets::Word::Returns { life: life(), of: held },
        budgets::Word::Grants { life: life(), plan: 3, grants: vec![granting] },
        budgets::Word::Hurry { life: life() },
        budgets::Word::Elsewhere { leader: Some("d1".into()) },
        budgets::Word::Elsewhere { leader: None },
    ]
}

fn grant() -> Grant {
    Grant { life: life(), epoch: 7, number: 13, amount: 60, answers: 9, length: 1_500_000 }
}

/// What a divider has agreed on after a file, its opening and a grant.
fn divider() -> Divider {
    let mut divider = Divider::new("d0", plan(), 7);
    divider.apply(&Entry::Plan(Box::new(plan())), 1_000);
    divider.apply(&Entry::Open(7), 20_000_000);
    let grants = vec![("quota:acme".to_string(), Grant { number: 1, ..grant() })];
    let base = BTreeMap::from([("quota:acme".to_string(), 0)]);
    assert!(divider.apply(&Entry::Grants { base, grants }, 21_000_000));
    divider
}

fn status() -> Status {
    let part = PartStatus {
        node: "n0".into(),
        incarnation: 5,
        amount: 60,
        demand: 70,
        used: 55,
        number: 13,
        heard: Some(250_000),
        doubted: false,
    };
    let budget = BudgetStatus {
        name: "quota:acme".into(),
        whole: 100,
        reserved: 10,
        granted: 60,
        lent: 5,
        in_doubt: 3,
        free: 27,
        debt: 1,
        used: 55,
        number: 13,
        parts: vec![part],
    };
    Status {
        divider: "d0".into(),
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
fn budgets_between_nodes_and_dividers() {
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
    samples.json("snapshot", divider().book().kept());
    samples.json("empty-snapshot", Kept::default());
    for name in ["n0", "n1", "d0", "en-node"] {
        samples.computed("node", NodeId::of(name).0);
    }
    samples.check("budgets.txt");
}

/// Three members that greet each other; one leaves. The transcript is the same for the same seeds, and each datagram is taken.
#[rstest]
fn membership_between_members() {
    let me = |node| Peer { node, incarnation: 1_000 + u64::from(node) };
    let others = |node: u32| (1..=3).filter(|n| *n != node).collect();
    let mut members: Vec<Membership> =
        (1..=3).map(|n| Membership::new(me(n), others(n), u64::from(n), 0)).collect();
    let mut samples = Samples::default();
    for step in 0..40i64 {
        let now = step * 100_000;
        let mut said = Vec::new();
        for member in &mut members {
            member.pass(now);
            if step == 35 && member.me().node == 3 {
                member.leave(now);
            }
            let from = member.me().node;
            for effect in member.effects() {
                if let Effect::Say { to, bytes } = effect {
                    said.push((from, to, bytes));
                }
            }
        }
        for (from, to, bytes) in said {
            members[to as usize - 1].hear(now, &bytes).unwrap();
            samples.add(&format!("{from}-{to}"), hex(&bytes), |_| {});
        }
    }
    samples.check("membership.txt");
}

fn account_messages() -> Vec<spread::Word> {
    let telling = Telling { page: (8, 0xabcd), base: (7, 0x1234), of: 2 };
    let told = vec![
        spread::Told {
            account: "acme".into(),
            standing: Some(Standing::Closing),
            from: 1_700_000_000_000_000,
            reason: "unpaid".into(),
        },
        spread::Told { account: "bravo".into(), standing: None, from: 0, reason: String::new() },
    ];
    vec![
        spread::Word::Digest { newest: (8, 0xabcd), hash: 0x77 },
        spread::Word::Have { pages: vec![(8, 0xabcd), (7, 0x1234)], ask: true, lacks: None },
        spread::Word::Have { pages: vec![], ask: false, lacks: Some((telling, vec![0, 1])) },
        spread::Word::Piece { telling, at: 1, two: true, last: true, told },
        spread::Word::Other(9),
    ]
}

fn decree(number: u64, standing: Standing) -> Decree {
    let change = Change { number, standing, from: 5_000_000, reason: "unpaid".into() };
    Decree::new(number, BTreeMap::from([("acme".to_string(), change)]))
}

fn book() -> Book {
    let mut book = Book::new();
    for (number, standing) in [
        (1, Standing::Good),
        (2, Standing::Warned),
        (3, Standing::Closing),
        (4, Standing::Closed),
        (5, Standing::Reopened),
    ] {
        book.learn(&decree(number, standing));
    }
    // Two files of one number.
    book.learn(&decree(5, Standing::Closed));
    book
}

#[rstest]
fn accounts_between_nodes_and_on_disks() {
    let mut samples = Samples::default();
    for message in account_messages() {
        samples.json("message", message.clone());
        samples.postcard("packed", message);
    }
    samples.json("book", book());
    samples.computed("hash", book().hash());
    samples.json("decree", decree(4, Standing::Closed));
    samples.json("note", Note { spent: 3, debt: 2, shrunk: true });
    samples.check("accounts.txt");
}

fn site_message() -> seeing::Word {
    let told = Told { site: 11, sign: 500, sign_age: 20, direct: 499, direct_age: 30, back_age: 40 };
    let load = Load { part: 60, bears: 100, demand: vec![(seeing::class_number("valve"), 12)] };
    seeing::Word { site: 10, number: 501, version: 4, digest: 77, others: vec![told], load: Some(load) }
}

fn fence() -> Fence {
    Fence { epoch: 7, number: 3 }
}

fn proof_messages() -> Vec<proof::Word> {
    vec![
        proof::Word::Ask { home: "west/n0".into(), fence: fence() },
        proof::Word::Tell { home: "west/n0".into(), fence: fence(), log: 0xfeed, last: 12 },
    ]
}

#[rstest]
fn sites_between_nodes_and_on_disks() {
    let mut samples = Samples::default();
    samples.json("health", site_message());
    samples.json("health", seeing::Word { load: None, digest: 0, ..site_message() });
    proof_messages().into_iter().for_each(|message| samples.json("proof", message));
    samples.json(
        "homes",
        KeptHomes {
            fences: BTreeMap::from([("west/n0".to_string(), fence())]),
            nodes: BTreeSet::from([1, 2]),
            by: BTreeSet::from([1, 2, 3]),
        },
    );
    let mut used = shorepath_sites::used::Used::default();
    let lost = SITES.replace("(home valve)", "(lost east (number 6))");
    used.holds(&shorepath_sites::file::read("s.sexp", &lost).unwrap());
    samples.json("used", used);
    samples.computed("digest", sites().digest());
    samples.computed("fence", fence().word());
    let homes = Homes::new(sites().node_named("n0").unwrap().number, &sites(), &KeptHomes::default());
    for key in ["key1", "key2", "key3", "valve-7", "x"] {
        samples.computed("home", homes.home(key));
    }
    samples.check("sites.txt");
}

fn recovery_messages() -> Vec<recovery::Word> {
    let me = recovery::Life { disk: 9, boots: 4, life: 0x55 };
    let tell = Tell { to: 0x55, known: Some(me), lives: true, whole: true, outlived: false };
    vec![
        recovery::Word::Ask { me, claims: true },
        recovery::Word::Tell(tell),
        recovery::Word::Tell(Tell { known: None, lives: false, whole: false, outlived: true, ..tell_of(me) }),
    ]
}

fn tell_of(me: recovery::Life) -> Tell {
    Tell { to: me.life, known: Some(me), lives: false, whole: false, outlived: false }
}

#[rstest]
fn recovery_between_nodes() {
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
        fence: fence().word(),
    };
    Timed { at: 1_700_000_000_000_100, entry: shorepath_placements::Entry::Placed(placement) }
}

fn ended(how: End) -> Timed {
    Timed { at: 1_700_000_000_000_200, entry: shorepath_placements::Entry::Ended { of: 1, how } }
}

fn remembered() -> Remembered {
    Remembered {
        class: "valve".into(),
        key: "valve-7".into(),
        number: 1,
        at: 1_700_000_000_000_100,
        server: "s-1".into(),
        fence: fence().word(),
        how: End::Unknown,
    }
}

fn piece() -> Piece {
    let (after, before) = chain::origin(&writer());
    let entries = vec![chain::encode(&placed()).unwrap(), chain::encode(&ended(End::Served)).unwrap()];
    let head = entries.iter().fold(before, |before, entry| chain::follow(&before, entry));
    Piece { writer: writer(), after, before, entries, head }
}

fn placement_messages() -> Vec<exchange::Word> {
    let point = (2, Digest([3; 32]));
    let known = Known {
        writer: writer(),
        sealed: (1, Digest([1; 32])),
        points: vec![point],
        taking: Some((point, 4)),
    };
    vec![
        exchange::Word::Have { life: 0x77, number: 3, part: 0, parts: 1, of: vec![known] },
        exchange::Word::Piece { piece: piece() },
        exchange::Word::Sealed {
            writer: writer(),
            point,
            from: 0,
            total: 1,
            remembered: vec![remembered()],
            check: Digest([9; 32]),
        },
    ]
}

#[rstest]
fn placements_between_nodes_and_on_disks() {
    let mut samples = Samples::default();
    for message in placement_messages() {
        assert_eq!(message.encode(), postcard::to_stdvec(&message).unwrap());
        samples.postcard("message", message);
    }
    samples.postcard("entry", placed());
    for how in [End::Served, End::NeverRan, End::Unknown] {
        samples.postcard("entry", ended(how));
    }
    assert_eq!(chain::encode(&placed()).unwrap(), postcard::to_stdvec(&placed()).unwrap());
    samples.json("base", Base { point: (2, Digest([3; 32])), remembered: vec![remembered()] });
    samples.json("writer", writer());
    samples.json("piece", piece());
    samples.computed("origin", hex(&chain::origin(&writer()).1 .0));
    samples.computed("head", hex(&piece().head.0));
    let mut history = History::new();
    assert_eq!(history.take(&piece()), Ok(2));
    samples.computed("history", hex(&history.bytes()));
    history.seal(&writer(), 2).unwrap();
    samples.computed("sealed-history", hex(&history.bytes()));
    samples.check("placements.txt");
}

fn vector() -> Vector {
    let mut vector = Vector::default();
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
        vector.put(item, Content::of(item.name().as_bytes()), number);
    }
    vector
}

fn audit_message() -> audit::Word {
    let head = Point::origin("n0", 0x42).follow(b"entry");
    let story = Story { node: 5, at: 1_700_000_000_000_000, life: 0x42, head, content: vector().content() };
    audit::Word { stories: vec![story], vectors: vec![vector().told()], disputed: vec![(0x42, head)] }
}

fn records() -> Vec<record::Entry> {
    let taken = vector().put(Item::Sites, Content::of_number(9), Some(9)).unwrap();
    let decision = Decision {
        request: 77,
        class: "valve".into(),
        server: Some("s-1".into()),
        reason: "dispatched".into(),
    };
    let mut all = vec![record::Entry::Began { vector: vector() }];
    for why in [Why::Start, Why::Operator, Why::Discovery, Why::Peers, Why::Agreement] {
        all.push(record::Entry::Took { taken, why });
    }
    for because in [BackError::Older { held: 5, offered: 4 }, BackError::Two(5)] {
        all.push(record::Entry::Back { item: Item::Accounts, because, why: Why::Operator });
    }
    all.push(record::Entry::Sum { vector: 2, counts: BTreeMap::from([("served".to_string(), 4)]) });
    all.push(record::Entry::Decided { vector: 2, decision: decision.clone() });
    all.push(record::Entry::Decided { vector: 2, decision: Decision { server: None, ..decision } });
    all.push(record::Entry::Dropped { count: 6 });
    all
}

#[rstest]
fn audit_between_nodes_and_on_disks() {
    let mut samples = Samples::default();
    samples.postcard("message", audit_message());
    for entry in records() {
        let timed = record::Timed { at: 1_700_000_000_000_000, entry };
        let encoded = record::encode(&timed).unwrap();
        let kept = timed.clone();
        samples.add("entry", hex(&encoded), move |line| {
            assert_eq!(record::decode(1, &unhex(line)).unwrap(), kept);
        });
    }
    samples.json("vector", vector());
    samples.computed("content", vector().content());
    samples.computed("origin", hex(&Point::origin("n0", 0x42).digest.0));
    samples.computed("follow", hex(&Point::origin("n0", 0x42).follow(b"entry").digest.0));
    samples.computed("tag", tag(&[7; 16], "r1"));
    samples.check("audit.txt");
}

#[rstest]
fn numbers_that_stand_for_keys_and_servers() {
    let mut samples = Samples::default();
    for text in ["s-0", "s-1", "valve-7"] {
        let mark = shorepath_scheduler::name_hash(text);
        samples.computed("mark", mark);
        samples.computed("rank", KeyId(mark).rank(1));
    }
    samples.check("numbers.txt");
}

/// Every datagram above, under a key: sealed to the same bytes, opened by whoever has the key and by nobody else.
#[rstest]
fn datagrams_under_a_key() {
    let as_json = |message: &dyn erased::Json| message.json();
    let mut bodies: Vec<(&str, Vec<u8>)> = Vec::new();
    bodies.extend(budget_messages().iter().map(|m| ("budgets", m.bytes())));
    bodies.extend(account_messages().iter().map(|m| ("accounts", as_json(m))));
    bodies.push(("health", as_json(&site_message())));
    bodies.extend(proof_messages().iter().map(|m| ("proof", as_json(m))));
    bodies.extend(recovery_messages().iter().map(|m| ("recovery", as_json(m))));
    bodies.extend(placement_messages().iter().map(|m| ("placements", m.encode())));
    bodies.push(("audit", postcard::to_stdvec(&audit_message()).unwrap()));
    let keys = Keys::read(KEY).unwrap();
    let other = Keys::read(&KEY.replace('5', "6")).unwrap();
    fn line(sender: u32, keys: &Keys) -> Line {
        Line::new(sender, 1_700_000_000_000_000, "tidal", Some(keys))
    }
    let mut samples = Samples::default();
    let mut sender = line(7, &keys);
    for (kind, body) in bodies {
        let plain = Line::new(7, 1, "tidal", None).seal(body.clone());
        assert_eq!(plain, body, "without a key datagrams go as they are");
        let sealed = sender.seal(body.clone());
        let (keys, other) = (keys.clone(), other.clone());
        samples.add(kind, hex(&sealed), move |golden| {
            let golden = unhex(golden);
            let mut receiver = line(8, &keys);
            let opened = receiver.open(&golden, 0).unwrap();
            assert_eq!((opened.sender, opened.said), (Some(7), body.as_slice()));
            assert!(line(8, &other).open(&golden, 0).is_err(), "another key");
            let mut changed = golden.clone();
            changed[40] ^= 1;
            assert!(line(8, &keys).open(&changed, 0).is_err(), "a changed byte");
        });
    }
    samples.check("datagrams.txt");
}

/// JSON of values of different types.
mod erased {
    pub trait Json {
        fn json(&self) -> Vec<u8>;
    }

    impl<T: serde::Serialize> Json for T {
        fn json(&self) -> Vec<u8> {
            serde_json::to_vec(self).unwrap()
        }
    }
}
