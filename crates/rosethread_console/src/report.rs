//! The report on service-level burn, from the nodes' metrics.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use serde::Serialize;

use crate::{args::ReportFormat, settings::ConsoleSettings, stream::ConfigStream};

/// How long a node may take to give its metrics.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// The metric that the nodes give for each objective, window, label and result.
const METRIC: &str = "rosethread_objective_events";

/// The windows, from short to long.
const WINDOWS: [&str; 3] = ["5m", "1h", "6h"];

/// The worst members, classes and targets shown for each objective.
const WORST: usize = 3;

/// Good and bad events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Events {
    good: f64,
    bad: f64,
}

/// The state of one objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Burn {
    objective: String,
    target: f64,
    /// How many times faster than allowed bad events come, by window.
    rates: BTreeMap<String, f64>,
    /// The share of the longest window's budget of bad events that is left.
    budget_left: f64,
    /// Those with the largest shares of bad events: label and share.
    worst: Vec<(String, f64)>,
}

/// The labels and value of one line of metrics.
struct Sample {
    labels: BTreeMap<String, String>,
    value: f64,
}

/// Builds the report in the wanted form.
pub(crate) async fn report(
    settings: &ConsoleSettings,
    format: ReportFormat,
) -> Result<String, String> {
    let state = ConfigStream::new(settings).read(None).await.map_err(|it| it.to_string())?;
    let mut samples = Vec::new();
    let mut silent = Vec::new();
    for node in &settings.nodes {
        let url = format!("http://{node}/metrics");
        let request = reqwest::Client::new().get(url).timeout(NODE_TIMEOUT);
        match request.send().await {
            Ok(reply) => samples.extend(parse(&reply.text().await.unwrap_or_default())),
            Err(_) => silent.push(node.to_string()),
        }
    }
    let objectives = state.in_force.document.objectives.iter();
    let burns: Vec<Burn> = objectives.map(|it| burn(&it.name, it.target, &samples)).collect();
    match format {
        ReportFormat::Text => Ok(text(&burns, &silent)),
        ReportFormat::Json => serde_json::to_string_pretty(&burns).map_err(|it| it.to_string()),
        ReportFormat::Html => Ok(html(&burns, &silent)),
    }
}

/// Returns the samples of the objectives' metric.
fn parse(text: &str) -> Vec<Sample> {
    text.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<Sample> {
    let rest = line.strip_prefix(METRIC)?.strip_prefix('{')?;
    let (labels, value) = rest.rsplit_once("} ")?;
    let labels = labels.split("\",").filter_map(|it| {
        let (name, value) = it.split_once("=\"")?;
        Some((name.to_owned(), value.trim_end_matches('"').to_owned()))
    });
    Some(Sample { labels: labels.collect(), value: value.parse().ok()? })
}

impl Events {
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

fn burn(objective: &str, target: f64, samples: &[Sample]) -> Burn {
    let mut windows: BTreeMap<&str, Events> = BTreeMap::new();
    let mut labels: BTreeMap<String, Events> = BTreeMap::new();
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
    let rate = |window: &str| windows.get(window).map_or(0.0, Events::bad_share) / allowed;
    let rates = WINDOWS.iter().map(|it| ((*it).to_owned(), rate(it))).collect();
    let mut worst: Vec<(String, f64)> =
        labels.into_iter().map(|(label, it)| (label, it.bad_share())).collect();
    worst.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    worst.retain(|(_, share)| 0.0 < *share);
    worst.truncate(WORST);
    let budget_left = 1.0 - rate(WINDOWS[WINDOWS.len() - 1]);
    Burn { objective: objective.to_owned(), target, rates, budget_left, worst }
}

fn text(burns: &[Burn], silent: &[String]) -> String {
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
        // Writing to a string does not fail.
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
    for node in silent {
        let _ = writeln!(text, "{node} gave no metrics");
    }
    text
}

/// The length of a bar for a burn rate of one, in pixels.
const BAR_UNIT_PX: f64 = 60.0;

/// The longest bar, in pixels.
const BAR_MAX_PX: f64 = 300.0;

fn html(burns: &[Burn], silent: &[String]) -> String {
    let mut rows = String::new();
    for it in burns {
        let bars: String = WINDOWS.iter().map(|window| bar(window, it.rates[*window])).collect();
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
    let silent: String =
        silent.iter().map(|it| format!("<p>{} gave no metrics</p>", escape(it))).collect();
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>{STYLE}</style><h1>Service-level burn</h1><p>A burn rate of 1 spends the budget of \
         bad events exactly; the line marks it.</p><table><tr><th>Objective<th>Target<th>Burn \
         rate<th>Budget left (6 h)<th>Worst</tr>{rows}</table>{silent}</html>\n"
    )
}

const STYLE: &str = "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}\
td,th{padding:.4em .8em;border-bottom:1px solid #ccc;text-align:left;vertical-align:top}\
svg{display:block}";

/// Returns a bar as SVG, with a line at a burn rate of one.
fn bar(window: &str, rate: f64) -> String {
    let width = (rate * BAR_UNIT_PX).clamp(0.0, BAR_MAX_PX);
    let colour = if rate <= 1.0 { "#4a8" } else { "#c44" };
    format!(
        "<svg width=\"420\" height=\"18\"><text x=\"0\" y=\"13\" font-size=\"12\">{window}</text>\
         <rect x=\"30\" y=\"3\" width=\"{width:.0}\" height=\"12\" fill=\"{colour}\"/>\
         <line x1=\"{one:.0}\" x2=\"{one:.0}\" y1=\"0\" y2=\"18\" stroke=\"#333\"/>\
         <text x=\"{label:.0}\" y=\"13\" font-size=\"12\">{rate:.2}</text></svg>",
        one = 30.0 + BAR_UNIT_PX,
        label = 36.0 + width.max(BAR_UNIT_PX)
    )
}

/// Replaces the characters that have a meaning in HTML.
pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
