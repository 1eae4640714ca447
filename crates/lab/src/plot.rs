//! SVG plots of reports and of the rows of experiments.

use crate::sim::tally::Report;
use crate::stats::Interval;
use crate::sweep::Rows;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// The plot with this title or description has no points.
    #[error("nothing to draw: {0}")]
    Empty(String),
    /// The plotting library reported an error.
    #[error("drawing failed: {0}")]
    Drawing(String),
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (860, 420);

/// Colors of the series, in turn; they remain distinguishable in grayscale print.
const COLORS: [RGBColor; 8] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 20),
    RGBColor(30, 130, 70),
    RGBColor(150, 50, 130),
    RGBColor(120, 120, 120),
    RGBColor(190, 150, 0),
    RGBColor(0, 150, 170),
    RGBColor(110, 70, 30),
];

fn drawing_error(e: impl std::fmt::Display) -> PlotError {
    PlotError::Drawing(e.to_string())
}

/// One line of a plot, with optional error bars.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points in ascending order of x: x, y, and half the length of the error bar.
    pub points: Vec<(f64, f64, Option<f64>)>,
}

/// A line plot.
#[derive(Clone, Debug, Default)]
pub struct Plot {
    /// Caption above the plot.
    pub title: String,
    /// Label of the x axis.
    pub x: String,
    /// Label of the y axis.
    pub y: String,
    /// Whether the x axis is logarithmic.
    pub log_x: bool,
    /// Range of the y axis; `None` to fit it to the points.
    pub y_range: Option<(f64, f64)>,
    /// The lines of the plot.
    pub series: Vec<Series>,
}

impl Plot {
    /// Renders the plot as an SVG document.
    ///
    /// # Errors
    /// There are no points, or the plotting library fails.
    pub fn svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            self.draw(&area)?;
            area.present().map_err(drawing_error)?;
        }
        Ok(svg)
    }

    /// Returns the position on the x axis, before scaling.
    fn axis_position(&self, x: f64) -> f64 {
        if self.log_x {
            x.max(1e-9).log10()
        } else {
            x
        }
    }

    fn draw(&self, area: &Area) -> Result<(), PlotError> {
        let points = || self.series.iter().flat_map(|s| &s.points);
        let finite = points().filter(|p| p.0.is_finite() && p.1.is_finite());
        let bounds = finite.fold(None, |b: Option<(f64, f64, f64, f64)>, p| {
            let (x, half_width) = (self.axis_position(p.0), p.2.filter(|h| h.is_finite()).unwrap_or(0.0));
            let (low, high) = (p.1 - half_width, p.1 + half_width);
            Some(b.map_or((x, x, low, high), |b| (b.0.min(x), b.1.max(x), b.2.min(low), b.3.max(high))))
        });
        let (x0, mut x1, low, high) = bounds.ok_or_else(|| PlotError::Empty(self.title.clone()))?;
        if x1 <= x0 {
            x1 = x0 + 1.0;
        }
        let margin = ((high - low) * 0.05).max(1e-3);
        let (y0, y1) = self.y_range.unwrap_or((low.min(0.0), high + margin));
        area.fill(&WHITE).map_err(drawing_error)?;
        let mut chart: Chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(38)
            .y_label_area_size(58)
            .build_cartesian_2d(x0..x1, y0..y1)
            .map_err(drawing_error)?;
        let log = self.log_x;
        let label = move |x: &f64| {
            let x = if log { 10f64.powf(*x) } else { *x };
            match x.abs() {
                a if a >= 100.0 || x.fract() == 0.0 => format!("{x:.0}"),
                a if a >= 1.0 => format!("{x:.1}"),
                _ => format!("{x:.3}"),
            }
        };
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc(&self.x)
            .y_desc(&self.y)
            .x_label_formatter(&label)
            .draw()
            .map_err(drawing_error)?;
        for (k, series) in self.series.iter().enumerate() {
            let color = COLORS[k % COLORS.len()];
            let line = series.points.iter().map(|p| (self.axis_position(p.0), p.1));
            chart
                .draw_series(LineSeries::new(line, color.stroke_width(2)))
                .map_err(drawing_error)?
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
            let bars = series.points.iter().filter_map(|p| Some((self.axis_position(p.0), p.1, p.2?)));
            let bars = bars.filter(|b| b.2.is_finite());
            chart
                .draw_series(bars.map(|(x, y, h)| PathElement::new([(x, y - h), (x, y + h)], color)))
                .map_err(drawing_error)?;
        }
        if self.series.len() > 1 {
            chart
                .configure_series_labels()
                .position(if self.log_x {
                    SeriesLabelPosition::UpperLeft
                } else {
                    SeriesLabelPosition::LowerLeft
                })
                .background_style(WHITE.mix(0.85))
                .border_style(BLACK.mix(0.2))
                .draw()
                .map_err(drawing_error)?;
        }
        Ok(())
    }
}

/// Returns the plots of runs of one scenario with their file names: service over time, latency, and for a
/// single run also the numbers of requests in flight, open at nodes and held by servers.
pub fn run_plots(reports: &[Report]) -> Vec<(&'static str, Plot)> {
    let over_time = |name: String, r: &Report, y: &dyn Fn(&crate::sim::tally::TimePoint) -> f64| Series {
        name,
        points: r.time_series.iter().map(|m| (m.at, y(m), None)).collect(),
    };
    let service = Plot {
        title: "Service over time".into(),
        x: "seconds".into(),
        y: "worth got / asked".into(),
        y_range: Some((0.0, 1.05)),
        // Samples are averaged over a second, because a quarter of a second has few requests.
        series: reports
            .iter()
            .map(|r| {
                let seconds = r.time_series.chunks(4);
                let mean = |c: &[crate::sim::tally::TimePoint]| {
                    (c[0].at, c.iter().map(|m| m.service).sum::<f64>() / c.len() as f64, None)
                };
                Series { name: r.policy.clone(), points: seconds.map(mean).collect() }
            })
            .collect(),
        ..Plot::default()
    };
    let latency = Plot {
        title: "Latency of what was served".into(),
        x: "seconds".into(),
        y: "part".into(),
        log_x: true,
        y_range: Some((0.0, 1.02)),
        series: reports
            .iter()
            .map(|r| Series {
                name: r.policy.clone(),
                points: r.cdf.iter().map(|p| (p.0, p.1, None)).collect(),
            })
            .collect(),
    };
    let mut plots = vec![("service", service), ("latency", latency)];
    if let [r] = reports {
        plots.push((
            "queues",
            Plot {
                title: "In flight, open and held by servers".into(),
                x: "seconds".into(),
                y: "jobs".into(),
                series: vec![
                    over_time("in flight from nodes".into(), r, &|m| m.in_flight as f64),
                    over_time("open at nodes".into(), r, &|m| m.open as f64),
                    over_time("held by servers".into(), r, &|m| m.held as f64),
                ],
                ..Plot::default()
            },
        ));
    }
    plots
}

/// Returns the plot of a metric over the first numeric parameter of an experiment, with one series for each
/// combination of the other parameters.
///
/// # Errors
/// There are no rows, or no varied parameter is numeric.
pub fn metric_plot(rows: &Rows, metric: &str) -> Result<Plot, PlotError> {
    let numeric = |k: &usize| rows.rows.iter().all(|r| r.values[*k].parse::<f64>().is_ok());
    let x = (0..rows.varied.len()).find(numeric);
    let Some(x) = x.filter(|_| !rows.rows.is_empty()) else {
        return Err(PlotError::Empty(format!("{metric}: no varied parameter is numeric")));
    };
    let mut lines: BTreeMap<String, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    let mut order = Vec::new();
    for row in &rows.rows {
        let other_values: Vec<&str> =
            row.values.iter().enumerate().filter(|(k, _)| *k != x).map(|(_, v)| v.as_str()).collect();
        let (name, at) = (other_values.join(" "), row.values[x].parse::<f64>().unwrap_or(0.0));
        if !lines.contains_key(&name) {
            order.push(name.clone());
        }
        // The bit patterns of non-negative floats have the same order as their values.
        let points = lines.entry(name).or_default().entry(at.to_bits()).or_default();
        points.extend(row.metric(metric));
    }
    let values: Vec<f64> = rows.rows.iter().filter_map(|r| r.values[x].parse().ok()).collect();
    let (low, high) = values.iter().fold((f64::MAX, 0.0f64), |b, v| (b.0.min(*v), b.1.max(*v)));
    let series = order.iter().map(|name| Series {
        name: name.clone(),
        points: lines[name]
            .iter()
            .filter_map(|(at, samples)| {
                let interval = Interval::of(samples, 0.95)?;
                Some((f64::from_bits(*at), interval.mean, Some(interval.half_width)))
            })
            .collect(),
    });
    Ok(Plot {
        title: format!("{}: {metric} by {}", rows.name, rows.varied[x]),
        x: rows.varied[x].clone(),
        y: metric.to_string(),
        log_x: low > 0.0 && high / low >= 50.0,
        y_range: None,
        series: series.collect(),
    })
}
