//! Figures of runs, optionally compared with runs without sites and with runs of the same seeds without
//! events.

use super::file::{EventKind, Scenario};
use super::simulation::{run, Outcome};
use super::{Micros, MS, S};
use crate::plot::{Plot, Series};
use rayon::prelude::*;
use serde::Serialize;
use shorepath_sexp::ParseErrors;
use shorepath_sites::SiteState;
use std::collections::BTreeMap;
use std::fmt;

/// A recovered site serves this fraction of its earlier requests over this window.
const RECOVERED_FRACTION: f64 = 0.9;
const RECOVERY_WINDOW: Micros = 2 * S;

/// Figures of one scenario: means over its seeds, unless stated otherwise. NaN means that there are no data.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Fraction of the requests of unaffected sites' own clients that is served in time.
    #[serde(rename = "home")]
    pub own_in_time: f64,
    /// Requests of lost sites' clients that are served in time, as a fraction of those that the spare
    /// capacity could serve.
    #[serde(rename = "spare")]
    pub remote_in_time: f64,
    /// Fraction of the rejections that arrive within 10 ms.
    #[serde(rename = "at_once")]
    pub fast_rejections: f64,
    /// Fraction of the requests of affected sites' clients that is served at all within the measured window.
    #[serde(rename = "struck")]
    pub affected_served: f64,
    /// Seconds until the last site that returned serves 90% of its earlier requests; the maximum over the
    /// seeds.
    #[serde(rename = "back")]
    pub recovery_s: f64,
    /// Fraction of the runs with a returning site in which it recovers.
    #[serde(rename = "is_back")]
    pub recovered_runs: f64,
    /// Overloads of servers in slow start, over all runs.
    #[serde(rename = "felled")]
    pub overloaded_servers: u32,
    /// By state: the most changes of an affected site to the state that one node of an unaffected site saw.
    #[serde(rename = "changes")]
    pub state_changes: BTreeMap<String, u32>,
    /// Changes of unaffected sites to a doubtful or worse state, as seen by nodes of unaffected sites, over
    /// all runs.
    #[serde(rename = "wrongly")]
    pub false_alarms: u32,
    /// Milliseconds from the submission of an accounts file until a node applies its closing: median and 99th
    /// percentile.
    #[serde(rename = "closing")]
    pub closing_ms: [f64; 2],
    /// Fraction of the nodes that applied the closings.
    #[serde(rename = "closed")]
    pub closed_nodes: f64,
    /// New jobs counted against the credit; the maximum over the seeds.
    #[serde(rename = "on_credit")]
    pub jobs_on_credit: u64,
    /// Messages per node and second: on site health, and on accounts.
    #[serde(rename = "words")]
    pub messages: [f64; 2],
    /// Bytes of a message as JSON: on site health, and on accounts.
    #[serde(rename = "bytes")]
    pub message_bytes: [f64; 2],
}

fn mean(all: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<f64> = all.filter(|x| x.is_finite()).collect();
    all.iter().sum::<f64>() / all.len() as f64
}

fn fraction(values: impl Iterator<Item = bool>) -> f64 {
    mean(values.map(|yes| f64::from(u8::from(yes))))
}

/// Returns the number of requests of lost sites' clients in the measured window that the spare capacity of
/// the other sites can serve.
fn usable_spare_requests(scenario: &Scenario) -> f64 {
    let step = 100 * MS;
    let steps = (scenario.measured_window.0..scenario.measured_window.1).step_by(step as usize);
    let each = steps.map(|at| {
        let lost = (0..scenario.sites).filter(|s| scenario.is_lost(*s, at)).count() as f64;
        let spare = (1.0 - scenario.load).max(f64::from(scenario.spillover_percent) / 100.0)
            * scenario.site_capacity as f64;
        (spare * (scenario.sites as f64 - lost)).min(lost * scenario.request_rate())
    });
    each.sum::<f64>() * step as f64 / S as f64
}

/// Returns the fraction of a site's requests within a time window that the site itself served.
fn served_by_own_site(out: &Outcome, site: usize, (from, to): (Micros, Micros)) -> f64 {
    let own =
        out.requests.iter().filter(|j| usize::from(j.client_site) == site && (from..to).contains(&j.sent_at));
    fraction(own.map(|j| j.served_by == Some(j.client_site)))
}

/// Returns the seconds from the last return of a site until it has recovered: `None` without a return,
/// infinity without a recovery.
fn recovery_seconds(scenario: &Scenario, out: &Outcome) -> Option<f64> {
    let lost =
        scenario.events.iter().filter(|e| e.kind == EventKind::SiteLoss && e.until < scenario.duration);
    let last = lost.max_by_key(|e| e.until)?;
    let first = scenario.events.first()?.at;
    let before = served_by_own_site(out, last.site, (first / 4, first));
    let mut from = last.until;
    while from + RECOVERY_WINDOW <= scenario.duration {
        if served_by_own_site(out, last.site, (from, from + RECOVERY_WINDOW)) >= RECOVERED_FRACTION * before {
            return Some((from + RECOVERY_WINDOW - last.until) as f64 / S as f64);
        }
        from += 250 * MS;
    }
    Some(f64::INFINITY)
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((q * last as f64).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Returns the figures of runs of one scenario with different seeds.
pub fn figures(runs: &[(Scenario, Outcome)]) -> Figures {
    let mut f = Figures::default();
    let is_measured = |scenario: &Scenario, at: Micros| {
        (scenario.measured_window.0..scenario.measured_window.1).contains(&at)
    };
    let mean_over_runs =
        |g: &dyn Fn(&Scenario, &Outcome) -> f64| mean(runs.iter().map(|(scenario, out)| g(scenario, out)));
    f.own_in_time = mean_over_runs(&|scenario, out| {
        let own = out.requests.iter().filter(|j| {
            is_measured(scenario, j.sent_at) && !scenario.is_affected(usize::from(j.client_site))
        });
        fraction(own.map(|j| j.served_by.is_some() && j.latency <= scenario.latency_objective))
    });
    f.remote_in_time = mean_over_runs(&|scenario, out| {
        let remote = out.requests.iter().filter(|j| {
            is_measured(scenario, j.sent_at) && scenario.is_lost(usize::from(j.client_site), j.sent_at)
        });
        remote.filter(|j| j.served_by.is_some() && j.latency <= scenario.latency_objective).count() as f64
            / usable_spare_requests(scenario)
    });
    f.fast_rejections = mean_over_runs(&|_, out| {
        fraction(out.requests.iter().filter_map(|j| Some(j.rejected_after? <= 10 * MS)))
    });
    f.affected_served = mean_over_runs(&|scenario, out| {
        let own = out
            .requests
            .iter()
            .filter(|j| is_measured(scenario, j.sent_at) && scenario.is_affected(usize::from(j.client_site)));
        fraction(own.map(|j| j.served_by.is_some()))
    });
    let returns: Vec<f64> =
        runs.iter().filter_map(|(scenario, out)| recovery_seconds(scenario, out)).collect();
    f.recovery_s = returns.iter().copied().filter(|t| t.is_finite()).fold(f64::NAN, f64::max);
    f.recovered_runs = fraction(returns.iter().map(|t| t.is_finite()));
    f.overloaded_servers = runs.iter().map(|(_, out)| out.overloaded_servers).sum();
    for (scenario, out) in runs {
        for ((from, to, state), nodes) in &out.state_changes {
            let most = nodes.values().copied().max().unwrap_or(0);
            if scenario.is_affected(*to) && !scenario.is_affected(*from) {
                let max_changes = f.state_changes.entry(format!("{state:?}")).or_default();
                *max_changes = most.max(*max_changes);
            }
            let is_bad = matches!(state, SiteState::Doubtful | SiteState::Alone | SiteState::Lost);
            if is_bad && !scenario.is_affected(*to) && !scenario.is_affected(*from) {
                f.false_alarms += nodes.values().sum::<u32>();
            }
        }
        f.jobs_on_credit = f.jobs_on_credit.max(out.jobs_on_credit);
    }
    let mut delays: Vec<f64> = Vec::new();
    let (mut closed_count, mut all) = (0, 0);
    for (scenario, out) in runs {
        // Every second file reopens the account.
        for (_, (_, nodes)) in out.closings.iter().filter(|(number, _)| *number % 2 == 1) {
            delays.extend(nodes.iter().map(|t| *t as f64 / 1e3));
            closed_count += nodes.len();
            all += scenario.nodes;
        }
    }
    delays.sort_by(f64::total_cmp);
    f.closing_ms = [quantile(&delays, 0.5), quantile(&delays, 0.99)];
    f.closed_nodes = closed_count as f64 / all as f64;
    f.messages = [0, 1].map(|k| mean_over_runs(&|_, out| out.messages[k].0 as f64 / out.node_seconds));
    f.message_bytes =
        [0, 1].map(|k| mean_over_runs(&|_, out| out.messages[k].1 as f64 / out.messages[k].0 as f64));
    f
}

/// Figures of one scenario and of its baselines, over the same seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// With sites and with the events.
    #[serde(rename = "with")]
    pub with_sites: Figures,
    /// Without the modules for several sites.
    #[serde(rename = "without")]
    pub without_sites: Figures,
    /// With sites, but without the events.
    #[serde(rename = "calm")]
    pub without_events: Figures,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Row { with_sites, without_sites, without_events } = self;
        let mut all: Vec<String> = Vec::new();
        let mut line = |name: &str, value: &dyn Fn(&Figures) -> f64, baselines: [bool; 2]| {
            if value(with_sites).is_nan() {
                return;
            }
            let mut text = format!("  {name:<46} {:>9.3}", value(with_sites));
            if baselines[0] && !value(without_sites).is_nan() {
                text += &format!("   without sites {:>9.3}", value(without_sites));
            }
            if baselines[1] && !value(without_events).is_nan() {
                text += &format!("   nothing happens {:>7.3}", value(without_events));
            }
            all.push(text);
        };
        line("home load of sites that nothing strikes", &|f| f.own_in_time, [true, true]);
        line("guests in time, of what is spare and wanted", &|f| f.remote_in_time, [true, false]);
        line("refused within 10 ms, of those refused", &|f| f.fast_rejections, [false, false]);
        line("struck sites' clients served", &|f| f.affected_served, [true, true]);
        line("seconds to 90% at home again, the most", &|f| f.recovery_s, [true, false]);
        line("runs in which that is reached", &|f| f.recovered_runs, [true, false]);
        line("cold servers felled", &|f| f64::from(f.overloaded_servers), [true, true]);
        line("wrongly doubtful or worse", &|f| f64::from(f.false_alarms), [false, true]);
        line("a closing's way, ms: p50", &|f| f.closing_ms[0], [false, false]);
        line("p99", &|f| f.closing_ms[1], [false, false]);
        line("part of the nodes that closed", &|f| f.closed_nodes, [false, false]);
        line("begun on credit, the most", &|f| f.jobs_on_credit as f64, [false, false]);
        line("words about sites, a node and second", &|f| f.messages[0], [false, true]);
        line("words about accounts", &|f| f.messages[1], [false, true]);
        line("bytes of a word about sites", &|f| f.message_bytes[0], [false, false]);
        line("of one about accounts", &|f| f.message_bytes[1], [false, false]);
        let state_changes: Vec<String> =
            with_sites.state_changes.iter().map(|(state, n)| format!("{state} {n}")).collect();
        if !state_changes.is_empty() {
            all.push(format!(
                "  changes of a struck site, the most at a node      {}",
                state_changes.join(", ")
            ));
        }
        write!(f, "{}", all.join("\n"))
    }
}

/// Runs a scenario with consecutive seeds from its own, on request together with its baselines. Returns the
/// figures, and a plot of the first seed.
///
/// # Errors
/// See [`run`].
pub fn study(scenario: &Scenario, seeds: u64, with_baselines: bool) -> Result<(Row, Plot), ParseErrors> {
    let variants: &[(bool, bool)] =
        if with_baselines { &[(true, true), (false, true), (true, false)] } else { &[(true, true)] };
    let all: Vec<(u64, usize)> =
        (0..seeds).flat_map(|s| (0..variants.len()).map(move |variant| (s, variant))).collect();
    let results: Result<Vec<_>, ParseErrors> = all
        .par_iter()
        .map(|(s, variant)| {
            let (with_sites, with_events) = variants[*variant];
            let seeded = Scenario { seed: scenario.seed + s, ..scenario.clone() };
            // Without events, the figures still treat the same sites as affected.
            let out = run(&if with_events { seeded.clone() } else { seeded.without_events() }, with_sites)?;
            Ok((*variant, (seeded, out)))
        })
        .collect();
    let mut runs = vec![Vec::new(); 3];
    results?.into_iter().for_each(|(variant, one)| runs[variant].push(one));
    let row = Row {
        with_sites: figures(&runs[0]),
        without_sites: figures(&runs[1]),
        without_events: figures(&runs[2]),
    };
    let plot = Plot {
        title: format!(
            "{}: {} sites, {} nodes, load {:.0}%",
            scenario.name,
            scenario.sites,
            scenario.nodes,
            scenario.load * 100.0
        ),
        x: "seconds".into(),
        y: "fraction of requests served in time".into(),
        y_range: Some((0.0, 1.05)),
        series: [("with sites", 0), ("without", 1)]
            .iter()
            .flat_map(|(n, variant)| plot_series(n, &runs[*variant]))
            .collect(),
        ..Plot::default()
    };
    Ok((row, plot))
}

fn plot_series(name: &str, runs: &[(Scenario, Outcome)]) -> Vec<Series> {
    let Some((scenario, out)) = runs.first() else { return Vec::new() };
    let line = |is_affected: bool| {
        let mut by_second = BTreeMap::<Micros, (u32, u32)>::new();
        for j in
            out.requests.iter().filter(|j| scenario.is_affected(usize::from(j.client_site)) == is_affected)
        {
            let (asked, served) = by_second.entry(j.sent_at / S).or_default();
            *asked += 1;
            *served += u32::from(j.served_by.is_some() && j.latency <= scenario.latency_objective);
        }
        by_second
            .into_iter()
            .map(|(s, (asked, served))| (s as f64 + 0.5, f64::from(served) / f64::from(asked), None))
            .collect()
    };
    vec![
        Series { name: format!("clients of unaffected sites, {name}"), points: line(false) },
        Series { name: format!("clients of affected sites, {name}"), points: line(true) },
    ]
}
