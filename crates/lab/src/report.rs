//! Self-contained HTML reports, without scripts or external files.

use crate::compare::{compare_pairs, Direction};
use crate::plot::{metric_plot, run_plots, PlotError};
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

fn strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|t| t.to_string()).collect()
}

/// Returns the page that compares runs of one scenario under several policies.
///
/// # Errors
/// There are no runs, or a plot can't be drawn.
pub fn runs_page(reports: &[Report]) -> Result<String, PlotError> {
    let Some(first) = reports.first() else { return Err(PlotError::Empty("no runs".into())) };
    let head = strings(&[
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
        let fixed = |x: f64| format!("{x:.3}");
        let refused = r.counts.refused as f64 / r.counts.asked.max(1) as f64;
        vec![
            r.policy.clone(),
            fixed(r.score),
            fixed(r.service),
            fixed(r.worst_window),
            fixed(r.worst_class),
            fixed(r.worst_tenant),
            fixed(r.waste),
            format!("{:.2}", r.attempts),
            fixed(r.latency[0]),
            fixed(r.latency[2]),
            fixed(refused),
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
    for (_, plot) in run_plots(reports) {
        body += &plot.svg()?;
    }
    let values_table = |label: &str, values: fn(&Report) -> &[crate::sim::tally::NamedValue]| {
        let head = [label.to_string()].into_iter().chain(reports.iter().map(|r| r.policy.clone()));
        let lines = values(first).iter().enumerate().map(|(k, n)| {
            let cells = reports.iter().map(|r| format!("{:.3}", values(r)[k].value));
            [n.name.clone()].into_iter().chain(cells).collect()
        });
        table(&head.collect::<Vec<_>>(), &lines.collect::<Vec<_>>())
    };
    body += "<h2>Service by class and tenant</h2>\n";
    body += &values_table("class", |r| &r.classes);
    body += &values_table("tenant", |r| &r.tenants);
    Ok(page(&format!("{}: one run", first.name), &body))
}

/// Returns the page of an experiment with plots and a table of the metrics named in `show`.
///
/// # Errors
/// A plot can't be drawn although it has points.
pub fn experiment_page(rows: &Rows, show: &[String]) -> Result<String, PlotError> {
    let mut body = String::new();
    let broken: Vec<&Row> = rows.rows.iter().filter(|r| r.metric("broken").unwrap_or(0.0) > 0.0).collect();
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
    for metric in show {
        if let Ok(plot) = metric_plot(rows, metric) {
            body += &plot.svg()?;
        }
    }
    let mut head: Vec<String> = rows.varied.clone();
    for metric in show {
        head.push(metric.clone());
        head.push("against the first".into());
    }
    let first = groups.get(&0).cloned().unwrap_or_default();
    let line = |(k, group): (&usize, &Vec<&Row>)| {
        let mut cells = order[*k].clone();
        for metric in show {
            let samples = |rows: &[&Row]| rows.iter().filter_map(|r| r.metric(metric)).collect::<Vec<f64>>();
            let group_samples = samples(group);
            let mean = Interval::of(&group_samples, 0.95).map_or(String::new(), |i| {
                match i.half_width.is_finite() {
                    true => format!("{:.3} ± {:.3}", i.mean, i.half_width),
                    false => format!("{:.3}", i.mean),
                }
            });
            cells.push(mean);
            let comparison = compare_pairs(metric, &samples(&first), &group_samples, 0.95).filter(|_| *k > 0);
            cells.push(comparison.map_or(String::new(), |d| match d.direction {
                Direction::NoDifferenceShown => "no difference shown".into(),
                _ => format!("{:+.3} ± {:.3}", d.difference.mean, d.difference.half_width),
            }));
        }
        cells
    };
    body += &table(&head, &groups.iter().map(line).collect::<Vec<_>>());
    if !broken.is_empty() {
        let _ = write!(body, "<p class=\"broken\">{} runs broke rules:</p><ul>", broken.len());
        for row in broken.iter().take(20) {
            let text = format!("{} seed {}: {}", row.values.join(" "), row.seed, row.violations.join("; "));
            let _ = write!(body, "<li>{}</li>", escape(&text));
        }
        body += "</ul>\n";
    }
    Ok(page(&format!("Experiment: {}", rows.name), &body))
}
