//! Faults put around the real cores: each is found by a mutant, and that mutant finds nothing without the fault.

use shorepath_mutants::campaign::{run, Campaign};
use shorepath_mutants::change::Change;
use shorepath_mutants::core::{play, End, Mutant, Record, System};
use shorepath_mutants::systems::accounts::Accounts;
use shorepath_mutants::systems::budgets::{Around, Budgets};
use shorepath_mutants::systems::homes::{fault, Homed};
use shorepath_mutants::systems::lending::Lent;
use shorepath_mutants::systems::placements::{Placements, HASTY, TWICE};
use shorepath_mutants::systems::seeing::Sites;
use shorepath_mutants::troupe::Troupe;
use shorepath_mutants::Micros;
use shorepath_quota::allocator::ReplicatedState;
use shorepath_quota::messages::Message;
use shorepath_quota::NodeIncarnation;
use std::collections::{BTreeMap, BTreeSet};

/// What a node was granted last: of which number, how much, and until when it goes by that.
type Granted = BTreeMap<(NodeIncarnation, String), (u64, u64, Micros)>;

fn granted(all: &Granted, life: NodeIncarnation, budget: &str, now: Micros) -> Option<u64> {
    all.get(&(life, budget.to_string())).filter(|g| now < g.2).map(|g| g.1)
}

/// The grant that came last is used, whatever its number.
#[derive(Clone, Default)]
struct OlderWins(Granted);

impl Around for OlderWins {
    fn at_node(&mut self, life: NodeIncarnation, word: &Message, now: Micros) {
        let Message::Grants { holder: to, grants, .. } = word else { return };
        for g in grants.iter().filter(|_| *to == life) {
            let held = self.0.entry((life, g.budget.clone())).or_default();
            // Only an older one is used otherwise than the core does.
            *held = if g.number < held.0 { (held.0, g.amount, now + g.length / 2) } else { (g.number, 0, 0) };
        }
    }

    fn usable(&self, life: NodeIncarnation, budget: &str, real: u64, now: Micros) -> u64 {
        granted(&self.0, life, budget, now).unwrap_or(real)
    }
}

/// A grant holds for its length from its arrival, with a margin for clocks and for the way that most words take.
#[derive(Clone, Default)]
struct FromArrival(Granted);

impl Around for FromArrival {
    fn at_node(&mut self, life: NodeIncarnation, word: &Message, now: Micros) {
        let Message::Grants { holder: to, grants, .. } = word else { return };
        for g in grants.iter().filter(|_| *to == life) {
            let held = self.0.entry((life, g.budget.clone())).or_default();
            if g.number > held.0 {
                *held = (g.number, g.amount, now + g.length * 19 / 20);
            }
        }
    }

    fn usable(&self, life: NodeIncarnation, budget: &str, real: u64, now: Micros) -> u64 {
        granted(&self.0, life, budget, now).map_or(real, |amount| real.max(amount))
    }
}

/// A return that comes twice frees as much again, of somebody else's.
#[derive(Clone, Default)]
struct TwiceFreed(BTreeSet<Vec<u8>>);

impl Around for TwiceFreed {
    fn to_divider(&mut self, word: Message, book: &ReplicatedState) -> Vec<Message> {
        let Message::Returns { holder: life, grants: of } = &word else { return vec![word] };
        if self.0.insert(word.bytes()) {
            return vec![word];
        }
        let mut all = Vec::new();
        for (budget, epoch, _) in of {
            let ledger = book.ledger(budget).unwrap();
            for other in ledger.holders().filter(|l| l != life) {
                let of = vec![(budget.clone(), *epoch, ledger.newest_number(other))];
                all.push(Message::Returns { holder: other, grants: of });
            }
        }
        all
    }
}

/// The first mutant that finds the fault, in the first run that doesn't show it by itself. It finds nothing in the real cores.
fn found<A: Around>(kind: &str, most: usize) {
    let holds = |seed: &u64| play::<Budgets<A>>(*seed, None, false).end == End::Held;
    let seed = (0..20).find(holds).unwrap_or_else(|| panic!("each run shows it without a mutant"));
    let (kinds, most) = (vec![kind.to_string()], Some(most));
    let campaign = Campaign { seeds: seed..seed + 1, most, sealed: true, kinds, threads: 3 };
    let report = run::<Budgets<A>>(&campaign);
    let first = report.first.clone().unwrap_or_else(|| panic!("nothing was found: {report}"));
    assert!(matches!(&first.end, End::Broke(_, b) if b.rule == "never above the whole"), "{first}");
    println!("{} of {} find it; {first}", report.failed, report.played());
    let words = play::<Budgets>(seed, None, false).words;
    let mutant = Mutant { word: &words[first.word], change: first.change.as_ref().unwrap() };
    assert_eq!(play::<Budgets>(seed, Some(mutant), false).end, End::Held, "{first}");
}

#[test]
fn an_older_grant_that_wins_is_found() {
    found::<OlderWins>("late by many", 60);
}

#[test]
fn a_return_that_frees_twice_is_found() {
    found::<TwiceFreed>("doubled", 600);
}

#[test]
fn a_lease_from_its_arrival_is_found() {
    found::<FromArrival>("late by many", 300);
}

/// As [`found`], for the systems of equal parts: their faults are inside, and the real one has none.
fn finds<F: System, R: System>(kind: &str, rules: &[&str], most: usize) {
    let holds = |seed: &u64| play::<F>(*seed, None, false).end == End::Held;
    let seed = (0..20).find(holds).unwrap_or_else(|| panic!("each run shows it without a mutant"));
    let kinds = vec![kind.to_string()];
    let campaign = Campaign { seeds: seed..seed + 1, most: Some(most), sealed: true, kinds, threads: 3 };
    let report = run::<F>(&campaign);
    let first = report.first.clone().unwrap_or_else(|| panic!("nothing was found: {report}"));
    assert!(matches!(&first.end, End::Broke(_, b) if rules.contains(&b.rule)), "{first}");
    println!("seed {seed}: {} of {} find it; {:?}", report.failed, report.played(), first.end);
    let words = play::<R>(seed, None, false).words;
    let mutant = Mutant { word: &words[first.word], change: first.change.as_ref().unwrap() };
    assert_eq!(play::<R>(seed, Some(mutant), false).end, End::Held, "{first}");
}

#[test]
fn an_older_file_that_wins_is_found() {
    finds::<Troupe<Accounts<true>>, Troupe<Accounts>>("doubled", &["never an older number"], 100);
}

#[test]
fn a_piece_that_counts_twice_is_found() {
    let rules = &["each entry counts once"];
    finds::<Troupe<Placements<TWICE>>, Troupe<Placements>>("doubled", rules, 16);
}

/// A log that goes on before partners were asked forks at an older disk, in the course itself: no mutant is needed.
#[test]
fn a_node_that_writes_before_it_has_asked_is_found() {
    for seed in 0..4 {
        let end = play::<Troupe<Placements<HASTY>>>(seed, None, false).end;
        // Of what the other line says of keys its node may hear first.
        let rules = ["one line of each log", "a placed key is not free"];
        assert!(matches!(&end, End::Broke(_, b) if rules.contains(&b.rule)), "seed {seed}: {end:?}");
        assert_eq!(play::<Troupe<Placements>>(seed, None, false).end, End::Held, "seed {seed}");
    }
}

#[test]
fn a_sign_of_life_from_its_arrival_is_found() {
    let rules = &["who is gone does not return"];
    finds::<Troupe<Sites<true>>, Troupe<Sites>>("late by many", rules, 120);
}

/// As [`finds`], by one change of the words that can show the fault: they are few among those of a long run.
fn picks<F: System, R: System>(change: &Change, rules: &[&str], picked: impl Fn(&Record) -> bool) {
    let mut played = 0;
    for seed in 0..6 {
        let run = play::<F>(seed, None, false);
        for word in run.words.iter().filter(|w| run.end == End::Held && w.came.is_some() && picked(w)) {
            played += 1;
            let end = play::<F>(seed, Some(Mutant { word, change }), false).end;
            if !matches!(&end, End::Broke(_, b) if rules.contains(&b.rule)) {
                continue;
            }
            println!("seed {seed}: the {played}th finds it: {end:?}");
            let words = play::<R>(seed, None, false).words;
            let mutant = Mutant { word: &words[word.id], change };
            assert_eq!(play::<R>(seed, Some(mutant), false).end, End::Held, "without the fault");
            return;
        }
    }
    panic!("nothing was found by {played} mutants");
}

const MS: Micros = 1_000;

/// The last grants before the first site is cut off come late: it goes on with them while its heirs have the ranges.
#[test]
fn a_homes_lease_from_its_arrival_is_found() {
    let last = |w: &Record| w.said.from == 6 && w.said.to < 2 && (4_700 * MS..5_300 * MS).contains(&w.sent);
    let rules = ["one holder at a time", "a key is placed once"];
    picks::<Troupe<Homed<{ fault::FROM_ARRIVAL }>>, Troupe<Homed>>(&Change::Late(700 * MS), &rules, last);
}

/// An heir asks how far others' logs go; one answer that comes twice stands for those that are cut off.
#[test]
fn an_answer_that_counts_for_others_is_found() {
    let tells = |w: &Record| {
        let text = String::from_utf8_lossy(&w.said.bytes);
        (5_500 * MS..7_600 * MS).contains(&w.sent) && text.contains("\"tell\"")
    };
    let rules = ["a key is placed once"];
    picks::<Troupe<Homed<{ fault::TOLD_TWICE }>>, Troupe<Homed>>(&Change::Doubled(1), &rules, tells);
}

/// What a site was asked for before it was lost is told twice, and lent for twice.
#[test]
fn a_load_that_counts_twice_is_found() {
    let last = |w: &Record| w.said.from >= 4 && w.said.to < 4 && (3_500 * MS..4_300 * MS).contains(&w.sent);
    let rules = ["no more than file and plan allow"];
    picks::<Troupe<Lent<true>>, Troupe<Lent>>(&Change::Doubled(1), &rules, last);
}

#[test]
#[should_panic(expected = "nothing was found")]
fn nothing_is_found_where_nothing_was_put() {
    found::<()>("doubled", 30);
}
