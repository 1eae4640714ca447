//! Three sites of two nodes tell each other what they bear and are asked for, and lend what a lost one can't take.
//!
//! The third site is lost and comes back in steps. Clients ask as much of each node all the time, so what may be lent is known here without
//! the cores.

use crate::change::Form;
use crate::core::{Actor, Broken};
use crate::troupe::{word, Deed, Part, Script};
use crate::Micros;
use shorepath_recovery::slow_start::SlowStart;
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::health::{Message, SiteHealth};
use shorepath_sites::load_allocation::{allocate as shared, SiteLoad};
use shorepath_sites::load_shifting::{Class, LoadShifting};
use shorepath_sites::SiteState;
use std::collections::BTreeSet;
use std::sync::OnceLock;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const NODES: usize = 6;
const TICK: Micros = 100 * MS;
/// What a site bears, in requests a second.
const BEARS: u64 = 400;
/// Classes: what one is worth, which part is lent in any case, in hundredths, and how many requests come in each tick.
const CLASSES: [(&str, u64, u64, u64); 2] = [("control", 3_000, 10, 8), ("forecast", 1_000, 5, 4)];
const PACE: SlowStart = SlowStart { min_share: 0.3, duration: 2 * S };
/// What is asked for is counted by then.
const COUNTED: Micros = 2_500 * MS;
/// How often what a node lends may turn from more to less or back by a part of [`TURN`] of the most that it lends: up with the loss,
/// down with the return, and as much again for a wrong word in between.
const TURNS: u32 = 4;
const TURN: u64 = 4;

fn plan() -> &'static SitesConfig {
    static PLAN: OnceLock<SitesConfig> = OnceLock::new();
    PLAN.get_or_init(|| {
        let mut text =
            String::from("(sites (fleet \"f\") (key \"k\") (confirm 400 ms) (alone 1 s) (hold 1 s)");
        for s in 0..NODES / 2 {
            let node = |n: usize| format!("(node s{s}n{n} \"10.0.{s}.{}:1\")", n + 1);
            let lends: String =
                CLASSES.iter().map(|(name, _, part, _)| format!("(class {name} (part {part}))")).collect();
            text += &format!("(site s{s} (bears {BEARS}){}{})(lend s{s} {lends})", node(0), node(1));
        }
        // One that can't be read has no nodes, and no run settles.
        read("s.sexp", &(text + ")")).unwrap_or_default()
    })
}

fn classes() -> Vec<Class> {
    CLASSES.iter().map(|(name, worth, ..)| Class { name: name.to_string(), value: *worth }).collect()
}

fn number(actor: Actor) -> u32 {
    plan().nodes().nth(actor).map_or(0, |(_, n)| n.number)
}

/// What a node lends of a class in any case.
fn lent(part: u64) -> u64 {
    BEARS * part / 100 / 2
}

/// What a node may lend of each class at most: by the plan with the third site lost, with the room that guests have beyond it and what
/// counting by the second is off by.
fn most() -> &'static [u64] {
    static MOST: OnceLock<Vec<u64>> = OnceLock::new();
    MOST.get_or_init(|| {
        let demand = |name: &str| {
            let rate = |(class, _, _, each): &(&str, u64, u64, u64)| {
                (class.to_string(), each * 2 * (S / TICK) as u64)
            };
            let state = if name == "s2" { SiteState::Lost } else { SiteState::Linked };
            SiteLoad { state, capacity: BEARS, demand: CLASSES.iter().map(rate).collect(), load_percent: 100 }
        };
        let now = plan().sites.iter().map(|s| (s.name.clone(), demand(&s.name))).collect();
        let worth = CLASSES.iter().map(|(name, worth, ..)| (name.to_string(), *worth)).collect();
        let share = shared(plan(), &now, &worth);
        let each = |(name, _, part, _): &(&str, u64, u64, u64)| {
            let planned = share.rate("s0", name).max(share.rate("s1", name)).div_ceil(2);
            lent(*part).max(planned + planned / 4) * 21 / 20 + 1
        };
        CLASSES.iter().map(each).collect()
    })
}

/// One life of a node. `TWICE` is a fault: a word that comes twice tells of twice as much.
#[derive(Clone, Debug)]
pub struct Node<const TWICE: bool> {
    me: usize,
    began: Micros,
    seeing: SiteHealth,
    lending: LoadShifting,
    next: Micros,
    came: BTreeSet<(Actor, Vec<u8>)>,
    /// What it lends, the greatest since it turned last, the most at all, and how often it turned.
    lends: u64,
    turned: (u64, bool, u32),
    peak: u64,
    broken: Option<Broken>,
}

impl<const TWICE: bool> Node<TWICE> {
    fn look(&mut self, now: Micros) {
        let Some(guests) = self.lending.limits().remote.clone() else { return };
        self.lends = guests.iter().sum();
        self.peak = self.peak.max(self.lends);
        // A node that begins counts what is asked for; until then it takes all for spare.
        if now - self.began < COUNTED {
            (self.turned, self.peak) = ((self.lends, true, 0), 0);
            return;
        }
        if let Some(k) = (0..guests.len()).find(|k| guests.get(*k) > most().get(*k)) {
            let story = format!("{} at {now} lends {guests:?}, {:?} is the most: {k}", self.me, most());
            self.broken.get_or_insert(Broken::new("no more than file and plan allow", story));
        }
        let (mark, rising, turns) = self.turned;
        let enough = most().iter().sum::<u64>() / TURN;
        self.turned = match rising {
            true if self.lends + enough <= mark => (self.lends, false, turns + 1),
            true => (mark.max(self.lends), true, turns),
            false if self.lends >= mark + enough => (self.lends, true, turns + 1),
            false => (mark.min(self.lends), false, turns),
        };
        if self.turned.2 > TURNS {
            let story = format!("{} at {now} lends {guests:?}, and turned {} times", self.me, self.turned.2);
            self.broken.get_or_insert(Broken::new("no swinging", story));
        }
    }
}

impl<const TWICE: bool> Part for Node<TWICE> {
    fn hear(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        let mut word: Message = word(bytes)?;
        if TWICE && !self.came.insert((from, bytes.to_vec())) {
            let demand = word.load.iter_mut().flat_map(|l| l.demand.iter_mut());
            demand.for_each(|(_, rate)| *rate *= 2);
        }
        let from = number(from);
        let heard = self.seeing.receive(from, &word, now);
        heard.map_err(|e| e.to_string().chars().filter(|c| !c.is_ascii_digit()).collect::<String>())?;
        self.lending.receive(&self.seeing, from, &word, now);
        Ok(())
    }

    fn pass(&mut self, now: Micros) {
        self.next = now + TICK;
        for (k, (.., each)) in CLASSES.iter().enumerate() {
            (0..*each).for_each(|_| self.lending.record_request(k));
        }
        self.seeing.tick(now);
        self.lending.tick(&mut self.seeing, &classes(), (20, 0), true, now);
        self.seeing.take_changes();
        self.look(now);
    }

    fn due(&self) -> Option<Micros> {
        Some(self.next)
    }

    fn says(&mut self) -> Vec<(Actor, Vec<u8>)> {
        let place = |to: u32| plan().nodes().position(|(_, n)| n.number == to);
        let said = self.seeing.take_outgoing().into_iter();
        said.filter_map(|(to, word)| Some((place(to)?, serde_json::to_vec(&word).ok()?))).collect()
    }

    fn copy(&self) -> Option<Self> {
        Some(self.clone())
    }
}

/// See [`crate::systems::lending`].
#[derive(Debug)]
pub struct Lent<const TWICE: bool = false>;

impl<const TWICE: bool> Script for Lent<TWICE> {
    type Part = Node<TWICE>;
    const NAME: &'static str = "lending";
    const FORM: Form = Form::Json("s");
    const LENGTH: Micros = 17 * S;
    const LATE: [Micros; 3] = [700 * MS, 1_500 * MS, 5 * S];
    const SETTLES: Micros = 4 * S;
    const FORKS: bool = true;
    const ACTORS: usize = NODES;

    fn start(seed: u64, me: Actor, life: u64, now: Micros) -> Self::Part {
        let seeing = SiteHealth::new(number(me), plan(), seed ^ (me as u64) << 16 ^ life << 32, now);
        // Where the file doesn't name it, nobody settles.
        let seeing = seeing.unwrap_or_else(|e| unreachable!("{e}"));
        let (lending, came) = (LoadShifting::new(PACE, now), BTreeSet::new());
        let turned = (0, true, 0);
        Node { me, began: now, seeing, lending, next: now, came, lends: 0, turned, peak: 0, broken: None }
    }

    fn deeds(seed: u64) -> Vec<(Micros, Deed)> {
        let late = |k: u64| ((seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (8 * k)) % 300) as Micros * MS;
        vec![
            (4 * S + late(0), Deed::Kill(4)),
            (4 * S + late(0), Deed::Kill(5)),
            (7_500 * MS + late(1), Deed::Start(4)),
            (7_600 * MS + late(1), Deed::Start(5)),
        ]
    }

    fn invariants(parts: &[Option<Self::Part>], _: Micros) -> Result<(), Broken> {
        parts.iter().flatten().find_map(|n| n.broken.clone()).map_or(Ok(()), Err)
    }

    fn settled(parts: &[Option<Self::Part>], _: Micros) -> Result<(), Broken> {
        let file: u64 = CLASSES.iter().map(|(_, _, part, _)| lent(*part)).sum();
        for node in parts.iter().flatten() {
            if node.lends != file {
                let story = format!("{} lends {} and not {file}", node.me, node.lends);
                return Err(Broken::new("nothing is lent beyond the file in the end", story));
            }
            if node.me < 4 && node.peak < 2 * file {
                let story = format!("{} lent {} at most", node.me, node.peak);
                return Err(Broken::new("a lost site's load is taken", story));
            }
        }
        Ok(())
    }
}
