//! One HTML page that stands alone: no script, no file beside it.

use crate::compare::{paired, Verdict};
use crate::plot::{of_rows, of_run, PlotError};
use crate::sim::tally::Report;
use crate::stats::Interval;
use crate::sweep::{Row, Rows};
use std::collections::BTreeMap;
use std::fmt::Write;

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;
color:#222}table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .7rem;border-bottom:1px solid #ddd;
text-align:right}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}
.broken{color:#a00;font-weight:bold}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn page(title: &str, body: &str) -> String {
    let title = escape(title);
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head>\n<body><h1>{title}</h1>\n{body}</body></html>\n"
    )
}

fn table(head: &[String], lines: &[Vec<String>]) -> String {
    let row = |cells: &[String], tag: &str| {
        let cells: String = cells.iter().map(|c| format!("<{tag}>{}</{tag}>", escape(c))).collect();
        format!("<tr>{cells}</tr>\n")
    };
    let body: String = lines.iter().map(|l| row(l, "td")).collect();
    format!("<table>{}{body}</table>\n", row(head, "th"))
}

fn words(all: &[&str]) -> Vec<String> {
    all.iter().map(|w| w.to_string()).collect()
}

/// The page of runs of one scenario, a policy each.
///
/// # Errors
/// A plot could not be drawn.
pub fn of_runs(reports: &[Report]) -> Result<String, PlotError> {
    let Some(first) = reports.first() else { return Err(PlotError::Empty("no runs".into())) };
    let head = words(&[
        "policy",
        "score",
        "service",
        "worst window",
        "worst class",
        "worst tenant",
        "waste",
        "attempts",
        "median s",
        "99% s",
        "refused",
        "broken rules",
    ]);
    let line = |r: &Report| {
        let f = |x: f64| format!("{x:.3}");
        let refused = r.counts.refused as f64 / r.counts.asked.max(1) as f64;
        vec![
            r.policy.clone(),
            f(r.score),
            f(r.service),
            f(r.worst_window),
            f(r.worst_class),
            f(r.worst_tenant),
            f(r.waste),
            format!("{:.2}", r.attempts),
            f(r.latency[0]),
            f(r.latency[2]),
            f(refused),
            r.violation_count.to_string(),
        ]
    };
    let mut body = format!(
        "<p>Seed {}, load {:.2} of what the fleet can do, {} requests.</p>\n",
        first.seed, first.load, first.counts.asked
    );
    body += &table(&head, &reports.iter().map(line).collect::<Vec<_>>());
    for r in reports.iter().filter(|r| r.violation_count > 0) {
        let list: String = r.violations.iter().map(|v| format!("<li>{}</li>", escape(v))).collect();
        let _ = write!(
            body,
            "<p class=\"broken\">{} broke {} rules:</p><ul>{list}</ul>",
            r.policy, r.violation_count
        );
    }
    for (_, plot) in of_run(reports) {
        body += &plot.svg()?;
    }
    let named = |what: &str, of: fn(&Report) -> &[crate::sim::tally::NamedValue]| {
        let head = [what.to_string()].into_iter().chain(reports.iter().map(|r| r.policy.clone()));
        let lines = of(first).iter().enumerate().map(|(k, n)| {
            let cells = reports.iter().map(|r| format!("{:.3}", of(r)[k].value));
            [n.name.clone()].into_iter().chain(cells).collect()
        });
        table(&head.collect::<Vec<_>>(), &lines.collect::<Vec<_>>())
    };
    body += "<h2>Service by class and tenant</h2>\n";
    body += &named("class", |r| &r.classes);
    body += &named("tenant", |r| &r.tenants);
    Ok(page(&format!("{}: one run", first.name), &body))
}

/// The page of an experiment.
///
/// # Errors
/// A plot could not be drawn although there is something to draw.
pub fn of_experiment(rows: &Rows, show: &[String]) -> Result<String, PlotError> {
    let mut body = String::new();
    let broken: Vec<&Row> = rows.rows.iter().filter(|r| r.figure("broken").unwrap_or(0.0) > 0.0).collect();
    let _ = write!(
        body,
        "<p>{} runs. Figures are means with 95% intervals over seeds; differences are against the first line, \
         by pairs of one seed.</p>",
        rows.rows.len()
    );
    let mut groups: BTreeMap<usize, Vec<&Row>> = BTreeMap::new();
    let mut order: Vec<&Vec<String>> = Vec::new();
    for row in &rows.rows {
        let k = order.iter().position(|v| **v == row.values).unwrap_or_else(|| {
            order.push(&row.values);
            order.len() - 1
        });
        groups.entry(k).or_default().push(row);
    }
    for figure in show {
        if let Ok(plot) = of_rows(rows, figure) {
            body += &plot.svg()?;
        }
    }
    let mut head: Vec<String> = rows.varied.clone();
    for figure in show {
        head.push(figure.clone());
        head.push("against the first".into());
    }
    let first = groups.get(&0).cloned().unwrap_or_default();
    let line = |(k, group): (&usize, &Vec<&Row>)| {
        let mut cells = order[*k].clone();
        for figure in show {
            let of = |rows: &[&Row]| rows.iter().filter_map(|r| r.figure(figure)).collect::<Vec<f64>>();
            let own = of(group);
            let mean = Interval::of(&own, 0.95).map_or(String::new(), |i| match i.half.is_finite() {
                true => format!("{:.3} ± {:.3}", i.mean, i.half),
                false => format!("{:.3}", i.mean),
            });
            cells.push(mean);
            let against = paired(figure, &of(&first), &own, 0.95).filter(|_| *k > 0);
            cells.push(against.map_or(String::new(), |d| match d.verdict {
                Verdict::NoDifferenceShown => "no difference shown".into(),
                _ => format!("{:+.3} ± {:.3}", d.difference.mean, d.difference.half),
            }));
        }
        cells
    };
    body += &table(&head, &groups.iter().map(line).collect::<Vec<_>>());
    if !broken.is_empty() {
        let _ = write!(body, "<p class=\"broken\">{} runs broke rules:</p><ul>", broken.len());
        for row in broken.iter().take(20) {
            let what = format!("{} seed {}: {}", row.values.join(" "), row.seed, row.violations.join("; "));
            let _ = write!(body, "<li>{}</li>", escape(&what));
        }
        body += "</ul>\n";
    }
    Ok(page(&format!("Experiment: {}", rows.name), &body))
}
