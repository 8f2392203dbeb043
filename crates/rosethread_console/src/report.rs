//! The report on the burn rates of service-level objectives, from the nodes' metrics.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use serde::Serialize;

use crate::{args::ReportFormat, settings::ConsoleSettings, stream::ConfigStream};

/// How long to wait for a node's metrics.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// The nodes' metric that counts events by objective, window, subject and result.
const OBJECTIVE_METRIC: &str = "rosethread_objective_events";

/// The time windows of burn rates, from short to long.
const WINDOWS: [&str; 3] = ["5m", "1h", "6h"];

/// The maximum number of members, classes and targets listed as worst for each objective.
const MAX_WORST: usize = 3;

/// Counts of events that met an objective and of events that missed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct EventCounts {
    good: f64,
    bad: f64,
}

/// How fast one objective uses up its error budget.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ObjectiveBurn {
    objective: String,
    target: f64,
    /// Burn rates by window: the share of bad events relative to the allowed share.
    rates: BTreeMap<String, f64>,
    /// The share of the longest window's error budget that is left; negative if overspent.
    budget_left: f64,
    /// The subjects with the largest shares of bad events: kind and name, and the share.
    worst: Vec<(String, f64)>,
}

/// One sample of a metric: its labels and value.
struct Sample {
    labels: BTreeMap<String, String>,
    value: f64,
}

/// Builds the report in the given format from the metrics of all reachable nodes.
pub(crate) async fn report(
    settings: &ConsoleSettings,
    format: ReportFormat,
) -> Result<String, String> {
    let state = ConfigStream::new(settings).read(None).await.map_err(|it| it.to_string())?;
    let mut samples = Vec::new();
    let mut unreachable = Vec::new();
    for node in &settings.nodes {
        let url = format!("http://{node}/metrics");
        let request = reqwest::Client::new().get(url).timeout(NODE_TIMEOUT);
        match request.send().await {
            Ok(reply) => samples.extend(parse_samples(&reply.text().await.unwrap_or_default())),
            Err(_) => unreachable.push(node.to_string()),
        }
    }
    let objectives = state.in_force.document.objectives.iter();
    let burns: Vec<ObjectiveBurn> =
        objectives.map(|it| compute_burn(&it.name, it.target, &samples)).collect();
    match format {
        ReportFormat::Text => Ok(render_text(&burns, &unreachable)),
        ReportFormat::Json => serde_json::to_string_pretty(&burns).map_err(|it| it.to_string()),
        ReportFormat::Html => Ok(render_html(&burns, &unreachable)),
    }
}

/// Parses the samples of [`OBJECTIVE_METRIC`] from a metrics page in Prometheus text format.
fn parse_samples(text: &str) -> Vec<Sample> {
    text.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<Sample> {
    let rest = line.strip_prefix(OBJECTIVE_METRIC)?.strip_prefix('{')?;
    let (labels, value) = rest.rsplit_once("} ")?;
    let labels = labels.split("\",").filter_map(|it| {
        let (name, value) = it.split_once("=\"")?;
        Some((name.to_owned(), value.trim_end_matches('"').to_owned()))
    });
    Some(Sample { labels: labels.collect(), value: value.parse().ok()? })
}

impl EventCounts {
    fn add(&mut self, sample: &Sample) {
        match sample.labels.get("result").map(String::as_str) {
            Some("good") => self.good += sample.value,
            _ => self.bad += sample.value,
        }
    }

    fn bad_share(&self) -> f64 {
        let total = self.good + self.bad;
        if total == 0.0 { 0.0 } else { self.bad / total }
    }
}

fn compute_burn(objective: &str, target: f64, samples: &[Sample]) -> ObjectiveBurn {
    let mut windows: BTreeMap<&str, EventCounts> = BTreeMap::new();
    let mut labels: BTreeMap<String, EventCounts> = BTreeMap::new();
    for sample in
        samples.iter().filter(|it| it.labels.get("objective").is_some_and(|it| it == objective))
    {
        let Some(window) = sample.labels.get("window") else {
            continue;
        };
        match (sample.labels.get("kind"), sample.labels.get("name")) {
            (Some(kind), Some(name)) if kind != "all" => {
                labels.entry(format!("{kind} {name}")).or_default().add(sample);
            }
            _ => windows.entry(window).or_default().add(sample),
        }
    }
    let allowed = 1.0 - target;
    let rate = |window: &str| windows.get(window).map_or(0.0, EventCounts::bad_share) / allowed;
    let rates = WINDOWS.iter().map(|it| ((*it).to_owned(), rate(it))).collect();
    let mut worst: Vec<(String, f64)> =
        labels.into_iter().map(|(label, it)| (label, it.bad_share())).collect();
    worst.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    worst.retain(|(_, share)| 0.0 < *share);
    worst.truncate(MAX_WORST);
    let budget_left = 1.0 - rate(WINDOWS[WINDOWS.len() - 1]);
    ObjectiveBurn { objective: objective.to_owned(), target, rates, budget_left, worst }
}

fn render_text(burns: &[ObjectiveBurn], unreachable: &[String]) -> String {
    let mut text = format!(
        "{:<24} {:>8} {:>9} {:>9} {:>9} {:>12}  worst\n",
        "objective", "target", "burn 5m", "burn 1h", "burn 6h", "budget left"
    );
    for it in burns {
        let worst: Vec<String> = it
            .worst
            .iter()
            .map(|(label, share)| format!("{label} {:.1}%", share * 100.0))
            .collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<24} {:>7.2}% {:>9.2} {:>9.2} {:>9.2} {:>11.1}%  {}",
            it.objective,
            it.target * 100.0,
            it.rates["5m"],
            it.rates["1h"],
            it.rates["6h"],
            it.budget_left * 100.0,
            worst.join(", ")
        );
    }
    for node in unreachable {
        let _ = writeln!(text, "{node} gave no metrics");
    }
    text
}

/// The length of a bar at a burn rate of one, in pixels.
const BAR_PX_PER_RATE: f64 = 60.0;

/// The maximum length of a bar, in pixels.
const MAX_BAR_PX: f64 = 300.0;

fn render_html(burns: &[ObjectiveBurn], unreachable: &[String]) -> String {
    let mut rows = String::new();
    for it in burns {
        let bars: String =
            WINDOWS.iter().map(|window| bar_svg(window, it.rates[*window])).collect();
        let worst: String = it
            .worst
            .iter()
            .map(|(label, share)| format!("{} {:.1}%<br>", escape(label), share * 100.0))
            .collect();
        let _ = write!(
            rows,
            "<tr><td>{}</td><td>{:.2}%</td><td>{bars}</td><td>{:.1}%</td><td>{worst}</td></tr>",
            escape(&it.objective),
            it.target * 100.0,
            it.budget_left * 100.0
        );
    }
    let unreachable: String =
        unreachable.iter().map(|it| format!("<p>{} gave no metrics</p>", escape(it))).collect();
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>{STYLE}</style><h1>Service-level burn</h1><p>A burn rate of 1 spends the budget of \
         bad events exactly; the line marks it.</p><table><tr><th>Objective<th>Target<th>Burn \
         rate<th>Budget left (6 h)<th>Worst</tr>{rows}</table>{unreachable}</html>\n"
    )
}

const STYLE: &str = "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}\
td,th{padding:.4em .8em;border-bottom:1px solid #ccc;text-align:left;vertical-align:top}\
svg{display:block}";

/// Returns an SVG bar for a burn rate, with a vertical line at a rate of one.
fn bar_svg(window: &str, rate: f64) -> String {
    let width = (rate * BAR_PX_PER_RATE).clamp(0.0, MAX_BAR_PX);
    let colour = if rate <= 1.0 { "#4a8" } else { "#c44" };
    format!(
        "<svg width=\"420\" height=\"18\"><text x=\"0\" y=\"13\" font-size=\"12\">{window}</text>\
         <rect x=\"30\" y=\"3\" width=\"{width:.0}\" height=\"12\" fill=\"{colour}\"/>\
         <line x1=\"{one:.0}\" x2=\"{one:.0}\" y1=\"0\" y2=\"18\" stroke=\"#333\"/>\
         <text x=\"{label:.0}\" y=\"13\" font-size=\"12\">{rate:.2}</text></svg>",
        one = 30.0 + BAR_PX_PER_RATE,
        label = 36.0 + width.max(BAR_PX_PER_RATE)
    )
}

/// Escapes the special characters of HTML.
pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
