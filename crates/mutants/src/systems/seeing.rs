//! Three sites of two nodes see each other.
//!
//! The third site is lost and comes back; a node of the first stands still for a while; later words from the first site to the
//! second are lost, one way.

use crate::change::Form;
use crate::core::{Actor, Broken};
use crate::troupe::{word, Deed, Part, Script};
use crate::Micros;
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::health::{Message, SiteHealth};
use shorepath_sites::SiteState;
use std::collections::BTreeMap;
use std::sync::OnceLock;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const NODES: usize = 6;
const TICK: Micros = 50 * MS;
/// So many changes of what a node sees of a site, at most: a loss and a return are five, a cut and its end as many.
const CHANGES: usize = 12;
/// After a site's return, or the end of a cut, it is as before.
const CALM: Micros = 4 * S;

fn plan() -> &'static SitesConfig {
    static PLAN: OnceLock<SitesConfig> = OnceLock::new();
    PLAN.get_or_init(|| {
        let mut text =
            String::from("(sites (fleet \"f\") (key \"k\") (confirm 400 ms) (alone 1 s) (hold 1 s)");
        for s in 0..NODES / 2 {
            let node = |n: usize| format!("(node s{s}n{n} \"10.0.{s}.{}:1\")", n + 1);
            text += &format!("(site s{s} (bears 100) (server-prefix \"s{s}-\"){}{})", node(0), node(1));
        }
        // One that can't be read has no nodes, and no run settles.
        read("s.sexp", &(text + ")")).unwrap_or_default()
    })
}

fn number(actor: Actor) -> u32 {
    plan().nodes().nth(actor).map_or(0, |(_, n)| n.number)
}

/// When the third site is gone, and when words from the first to the second are lost.
fn times(seed: u64) -> ([Micros; 2], [Micros; 2]) {
    let late = |k: u64| ((seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (8 * k)) % 300) as Micros * MS;
    ([2 * S + late(0), 7 * S + late(1)], [11 * S + late(2), 12_700 * MS + late(3)])
}

/// One life of a node. `ARRIVAL` is a fault: an old sign of life counts as a new one, and is as old as its arrival.
#[derive(Debug)]
pub struct Node<const ARRIVAL: bool> {
    seed: u64,
    me: usize,
    seeing: SiteHealth,
    next: Micros,
    /// Changes of each site, and the greatest number that came from it.
    changes: BTreeMap<String, usize>,
    greatest: BTreeMap<u32, u64>,
    broken: Option<Broken>,
}

impl<const ARRIVAL: bool> Node<ARRIVAL> {
    /// The word as the fault has it.
    fn renewed(&mut self, mut word: Message) -> Message {
        let own = plan().sites.get(self.me / 2).map_or(0, |s| s.number);
        let greatest = self.greatest.entry(word.site).or_default();
        if ARRIVAL && word.heartbeat < *greatest && word.site != own {
            word.heartbeat = *greatest + 1;
            // What it echoes is as new as can be: nobody can tell how long it was on its way.
            let newest = self.greatest.get(&own).copied().unwrap_or(0);
            for told in word.others.iter_mut().filter(|t| t.site == own) {
                (told.direct, told.direct_age) = (newest.max(told.direct) + 1, 0);
            }
        }
        let greatest = self.greatest.entry(word.site).or_default();
        *greatest = word.heartbeat.max(*greatest);
        word
    }

    fn look(&mut self, now: Micros) {
        let (gone, cut) = times(self.seed);
        for change in self.seeing.take_changes() {
            let count = self.changes.entry(change.site.clone()).or_default();
            *count += 1;
            let story = format!("{} at {now}: {change:?}, change {count}", self.me);
            let mine = self.me / 2;
            let site = plan().sites.iter().position(|s| s.name == change.site).unwrap_or(0);
            let during = |[from, to]: [Micros; 2]| now >= from && now < to + CALM;
            let hurt =
                (site == 2 && during(gone)) || (site.min(mine), site.max(mine)) == (0, 1) && during(cut);
            let rule = match change.to {
                _ if *count > CHANGES => "few changes",
                SiteState::Linked | SiteState::Doubtful => continue,
                SiteState::Lost if site != 2 => "who answers is never lost",
                SiteState::Returning if site == 2 && now >= gone[0] && now < gone[1] => {
                    "who is gone does not return"
                }
                _ if !hurt => "doubtful at most",
                _ => continue,
            };
            self.broken.get_or_insert(Broken::new(rule, story));
        }
    }
}

impl<const ARRIVAL: bool> Part for Node<ARRIVAL> {
    fn hear(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        let word = word(bytes)?;
        let word = self.renewed(word);
        let heard = self.seeing.receive(number(from), &word, now);
        heard.map_err(|e| e.to_string().chars().filter(|c| !c.is_ascii_digit()).collect())
    }

    fn pass(&mut self, now: Micros) {
        self.next = now + TICK;
        self.seeing.tick(now);
        // The load of one that returns comes back in steps, which take a while.
        for (site, seen, since) in self.seeing.states() {
            if seen == SiteState::Returning && now - since >= 300 * MS {
                self.seeing.mark_recovered(&site, now);
            }
        }
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
        Some(Node {
            seeing: self.seeing.clone(),
            changes: self.changes.clone(),
            greatest: self.greatest.clone(),
            broken: self.broken.clone(),
            ..*self
        })
    }
}

/// See [`crate::systems::seeing`].
#[derive(Debug)]
pub struct Sites<const ARRIVAL: bool = false>;

impl<const ARRIVAL: bool> Script for Sites<ARRIVAL> {
    type Part = Node<ARRIVAL>;
    const NAME: &'static str = "seeing";
    /// Its words have no tag; an unknown word is one of an unknown site.
    const FORM: Form = Form::Json("s");
    const LENGTH: Micros = 17 * S;
    const LATE: [Micros; 3] = [300 * MS, 1_500 * MS, 4 * S];
    const SETTLES: Micros = 3 * S;
    const FORKS: bool = true;
    const ACTORS: usize = NODES;

    fn start(seed: u64, me: Actor, life: u64, now: Micros) -> Self::Part {
        let drawn = seed ^ (me as u64) << 16 ^ life << 32;
        // Where the file doesn't name it, nobody settles.
        let seeing = SiteHealth::new(number(me), plan(), drawn, now);
        let seeing = seeing.unwrap_or_else(|e| unreachable!("{e}"));
        let (changes, greatest) = (BTreeMap::new(), BTreeMap::new());
        Node { seed, me, seeing, next: now, changes, greatest, broken: None }
    }

    fn deeds(seed: u64) -> Vec<(Micros, Deed)> {
        let (gone, cut) = times(seed);
        let mut all = vec![
            (gone[0], Deed::Kill(4)),
            (gone[0], Deed::Kill(5)),
            (gone[1], Deed::Start(4)),
            (gone[1] + 100 * MS, Deed::Start(5)),
            (9_300 * MS, Deed::Halt(1, true)),
            (10_400 * MS, Deed::Halt(1, false)),
        ];
        for (from, to) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            all.push((cut[0], Deed::Cut(from, to, true)));
            all.push((cut[1], Deed::Cut(from, to, false)));
        }
        all.sort_by_key(|d| d.0);
        all
    }

    fn invariants(parts: &[Option<Self::Part>], _: Micros) -> Result<(), Broken> {
        parts.iter().flatten().find_map(|n| n.broken.clone()).map_or(Ok(()), Err)
    }

    fn settled(parts: &[Option<Self::Part>], _: Micros) -> Result<(), Broken> {
        for node in parts.iter().flatten() {
            let odd = node.seeing.states().into_iter().find(|(_, seen, _)| *seen != SiteState::Linked);
            if let Some(odd) = odd {
                return Err(Broken::new("all are linked again", format!("{} sees {odd:?}", node.me)));
            }
        }
        Ok(())
    }
}
