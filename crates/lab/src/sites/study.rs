//! What runs come to, in figures: each beside the program without sites and, where that is asked, beside the same seed without an event.

use super::file::{Scenario, What};
use super::world::{run, Outcome};
use super::{Micros, MS, S};
use crate::plot::{Plot, Series};
use rayon::prelude::*;
use serde::Serialize;
use shorepath_sexp::ParseErrors;
use shorepath_sites::SiteState;
use std::collections::BTreeMap;
use std::fmt;

/// A site serves as before where it serves this part of what it did, over this long.
const AS_BEFORE: f64 = 0.9;
const LOOK: Micros = 2 * S;

/// What one scenario came to; means over seeds, but the most where that is said. NaN stands for what there is nothing of.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The part of the home load of sites that nothing strikes that is served in time.
    pub home: f64,
    /// Guests of lost sites that are served in time, of what is spare for them and wanted.
    pub spare: f64,
    /// The part of the refused that hear so within 10 ms.
    pub at_once: f64,
    /// The part of the requests of struck sites' clients that is served at all, while they are counted.
    pub struck: f64,
    /// Seconds until the last site that came back serves 90% of what it served before, the most.
    pub back: f64,
    /// The part of the runs in which that is reached.
    pub is_back: f64,
    /// Cold servers felled, in all runs.
    pub felled: u32,
    /// How often a node of a site that nothing strikes saw one that something does come to that, the most.
    pub changes: BTreeMap<String, u32>,
    /// How often any node saw a site that nothing strikes doubtful or worse, while none strikes its own, in all runs.
    pub wrongly: u32,
    /// From a file's arrival at one node until another linked one acts on it: the half and the hundredth slowest, in milliseconds.
    pub closing: [f64; 2],
    /// The part of the linked nodes that acted on files.
    pub closed: f64,
    /// New jobs begun on credit, the most.
    pub on_credit: u64,
    /// Words a node and second, about sites and about accounts.
    pub words: [f64; 2],
    /// Bytes of one, as JSON.
    pub bytes: [f64; 2],
}

fn mean(all: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<f64> = all.filter(|x| x.is_finite()).collect();
    all.iter().sum::<f64>() / all.len() as f64
}

fn part(of: impl Iterator<Item = bool>) -> f64 {
    mean(of.map(|yes| f64::from(u8::from(yes))))
}

/// What is spare for guests and wanted by them while requests are counted.
fn spare(of: &Scenario) -> f64 {
    let step = 100 * MS;
    let steps = (of.counted.0..of.counted.1).step_by(step as usize);
    let each = steps.map(|at| {
        let lost = (0..of.sites).filter(|s| of.is_lost(*s, at)).count() as f64;
        let free = (1.0 - of.load).max(f64::from(of.lent) / 100.0) * of.bears as f64;
        (free * (of.sites as f64 - lost)).min(lost * of.rate())
    });
    each.sum::<f64>() * step as f64 / S as f64
}

/// The part of a site's requests within a time that were served there.
fn at_home(out: &Outcome, site: usize, (from, to): (Micros, Micros)) -> f64 {
    let own = out.jobs.iter().filter(|j| usize::from(j.home) == site && (from..to).contains(&j.at));
    part(own.map(|j| j.served_by == Some(j.home)))
}

/// Seconds from the last return until its site serves at home what it did before anything happened.
fn back(of: &Scenario, out: &Outcome) -> Option<f64> {
    let lost = of.events.iter().filter(|e| e.what == What::Lose && e.back < of.length);
    let last = lost.max_by_key(|e| e.back)?;
    let first = of.events.first()?.at;
    let before = at_home(out, last.site, (first / 4, first));
    let mut from = last.back;
    while from + LOOK <= of.length {
        if at_home(out, last.site, (from, from + LOOK)) >= AS_BEFORE * before {
            return Some((from + LOOK - last.back) as f64 / S as f64);
        }
        from += 250 * MS;
    }
    Some(f64::INFINITY)
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((q * last as f64).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Figures of runs of one scenario, which differ in their seeds.
pub fn figures(runs: &[(Scenario, Outcome)]) -> Figures {
    let mut f = Figures::default();
    let counted = |of: &Scenario, at: Micros| (of.counted.0..of.counted.1).contains(&at);
    let each = |g: &dyn Fn(&Scenario, &Outcome) -> f64| mean(runs.iter().map(|(of, out)| g(of, out)));
    f.home = each(&|of, out| {
        let own = out.jobs.iter().filter(|j| counted(of, j.at) && !of.strikes(usize::from(j.home)));
        part(own.map(|j| j.served_by.is_some() && j.took <= of.wanted))
    });
    f.spare = each(&|of, out| {
        let guests = out.jobs.iter().filter(|j| counted(of, j.at) && of.is_lost(usize::from(j.home), j.at));
        guests.filter(|j| j.served_by.is_some() && j.took <= of.wanted).count() as f64 / spare(of)
    });
    f.at_once = each(&|_, out| part(out.jobs.iter().filter_map(|j| Some(j.refused? <= 10 * MS))));
    f.struck = each(&|of, out| {
        let own = out.jobs.iter().filter(|j| counted(of, j.at) && of.strikes(usize::from(j.home)));
        part(own.map(|j| j.served_by.is_some()))
    });
    let returns: Vec<f64> = runs.iter().filter_map(|(of, out)| back(of, out)).collect();
    f.back = returns.iter().copied().filter(|t| t.is_finite()).fold(f64::NAN, f64::max);
    f.is_back = part(returns.iter().map(|t| t.is_finite()));
    f.felled = runs.iter().map(|(_, out)| out.felled).sum();
    for (of, out) in runs {
        for ((from, to, seen), nodes) in &out.changes {
            let most = nodes.values().copied().max().unwrap_or(0);
            if of.strikes(*to) && !of.strikes(*from) {
                let known = f.changes.entry(format!("{seen:?}")).or_default();
                *known = most.max(*known);
            }
            let bad = matches!(seen, SiteState::Doubtful | SiteState::Alone | SiteState::Lost);
            if bad && !of.strikes(*to) && !of.strikes(*from) {
                f.wrongly += nodes.values().sum::<u32>();
            }
        }
        f.on_credit = f.on_credit.max(out.on_credit);
    }
    let mut took: Vec<f64> = Vec::new();
    let (mut acted, mut all) = (0, 0);
    for (of, out) in runs {
        // Each second file opens the account again.
        for (_, (_, nodes)) in out.closings.iter().filter(|(number, _)| *number % 2 == 1) {
            took.extend(nodes.iter().map(|t| *t as f64 / 1e3));
            acted += nodes.len();
            all += of.nodes;
        }
    }
    took.sort_by(f64::total_cmp);
    f.closing = [quantile(&took, 0.5), quantile(&took, 0.99)];
    f.closed = acted as f64 / all as f64;
    f.words = [0, 1].map(|k| each(&|_, out| out.words[k].0 as f64 / out.node_seconds));
    f.bytes = [0, 1].map(|k| each(&|_, out| out.words[k].1 as f64 / out.words[k].0 as f64));
    f
}

/// One scenario over seeds: with sites, without them, and with sites but without what happens.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// With sites.
    pub with: Figures,
    /// The program without them.
    pub without: Figures,
    /// With sites, and nothing happens.
    pub calm: Figures,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Row { with, without, calm } = self;
        let mut all: Vec<String> = Vec::new();
        let mut line = |name: &str, of: &dyn Fn(&Figures) -> f64, beside: [bool; 2]| {
            if of(with).is_nan() {
                return;
            }
            let mut text = format!("  {name:<46} {:>9.3}", of(with));
            if beside[0] && !of(without).is_nan() {
                text += &format!("   without sites {:>9.3}", of(without));
            }
            if beside[1] && !of(calm).is_nan() {
                text += &format!("   nothing happens {:>7.3}", of(calm));
            }
            all.push(text);
        };
        line("home load of sites that nothing strikes", &|f| f.home, [true, true]);
        line("guests in time, of what is spare and wanted", &|f| f.spare, [true, false]);
        line("refused within 10 ms, of those refused", &|f| f.at_once, [false, false]);
        line("struck sites' clients served", &|f| f.struck, [true, true]);
        line("seconds to 90% at home again, the most", &|f| f.back, [true, false]);
        line("runs in which that is reached", &|f| f.is_back, [true, false]);
        line("cold servers felled", &|f| f64::from(f.felled), [true, true]);
        line("wrongly doubtful or worse", &|f| f64::from(f.wrongly), [false, true]);
        line("a closing's way, ms: p50", &|f| f.closing[0], [false, false]);
        line("p99", &|f| f.closing[1], [false, false]);
        line("part of the nodes that closed", &|f| f.closed, [false, false]);
        line("begun on credit, the most", &|f| f.on_credit as f64, [false, false]);
        line("words about sites, a node and second", &|f| f.words[0], [false, true]);
        line("words about accounts", &|f| f.words[1], [false, true]);
        line("bytes of a word about sites", &|f| f.bytes[0], [false, false]);
        line("of one about accounts", &|f| f.bytes[1], [false, false]);
        let changes: Vec<String> = with.changes.iter().map(|(seen, n)| format!("{seen} {n}")).collect();
        if !changes.is_empty() {
            all.push(format!("  changes of a struck site, the most at a node      {}", changes.join(", ")));
        }
        write!(f, "{}", all.join("\n"))
    }
}

/// Play a scenario over so many seeds from its own on, three ways each; beside the figures lines for a plot of the first seed.
///
/// # Errors
/// As [`run`].
pub fn study(of: &Scenario, seeds: u64, beside: bool) -> Result<(Row, Plot), ParseErrors> {
    let ways: &[(bool, bool)] =
        if beside { &[(true, true), (false, true), (true, false)] } else { &[(true, true)] };
    let all: Vec<(u64, usize)> = (0..seeds).flat_map(|s| (0..ways.len()).map(move |w| (s, w))).collect();
    let played: Result<Vec<_>, ParseErrors> = all
        .par_iter()
        .map(|(s, w)| {
            let (with, strikes) = ways[*w];
            let seeded = Scenario { seed: of.seed + s, ..of.clone() };
            // Without an event the same sites are counted as struck.
            let out = run(&if strikes { seeded.clone() } else { seeded.calm() }, with)?;
            Ok((*w, (seeded, out)))
        })
        .collect();
    let mut runs = vec![Vec::new(); 3];
    played?.into_iter().for_each(|(w, one)| runs[w].push(one));
    let row = Row { with: figures(&runs[0]), without: figures(&runs[1]), calm: figures(&runs[2]) };
    let plot = Plot {
        title: format!("{}: {} sites, {} nodes, load {:.0}%", of.name, of.sites, of.nodes, of.load * 100.0),
        x: "seconds".into(),
        y: "served in time / asked".into(),
        y_range: Some((0.0, 1.05)),
        series: [("with sites", 0), ("without", 1)].iter().flat_map(|(n, w)| lines(n, &runs[*w])).collect(),
        ..Plot::default()
    };
    Ok((row, plot))
}

fn lines(name: &str, runs: &[(Scenario, Outcome)]) -> Vec<Series> {
    let Some((of, out)) = runs.first() else { return Vec::new() };
    let line = |struck: bool| {
        let mut by = BTreeMap::<Micros, (u32, u32)>::new();
        for j in out.jobs.iter().filter(|j| of.strikes(usize::from(j.home)) == struck) {
            let (asked, served) = by.entry(j.at / S).or_default();
            *asked += 1;
            *served += u32::from(j.served_by.is_some() && j.took <= of.wanted);
        }
        by.into_iter()
            .map(|(s, (asked, served))| (s as f64 + 0.5, f64::from(served) / f64::from(asked), None))
            .collect()
    };
    vec![
        Series { name: format!("others' own clients, {name}"), points: line(false) },
        Series { name: format!("struck sites' clients, {name}"), points: line(true) },
    ]
}
