//! Tables and a plot of the results of the external benchmark, read from the JSON journal that the
//! benchmark writes into the repository.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;

use crate::load::PlotError;
use crate::load::Series;
use crate::load::draw;

/// Error of reading the journal or drawing its plot.
#[derive(Debug, Display, Error)]
pub enum RoundsError {
    /// The folder or a file cannot be read.
    #[display("{}: {source}", path.display())]
    Read {
        /// Path of the folder or file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is not a valid journal entry.
    #[display("{}: {source}", path.display())]
    Entry {
        /// Path of the file.
        path: PathBuf,
        /// Parse error with its line and column.
        source: serde_json::Error,
    },
    /// The plot cannot be drawn.
    #[display("{source}")]
    Plot {
        /// Error of the plot.
        source: PlotError,
    },
}

/// Prefix of the reason of an ablation run; the rest of the reason names the disabled mechanism.
const ABLATION_PREFIX: &str = "ablation on the final code: ";
/// Rest of the reason of the baseline runs, which have all mechanisms enabled.
const NOTHING_OFF: &str = "nothing switched off";
/// Number of digits of a commit hash shown in the tables.
const COMMIT_DIGITS: usize = 7;

/// Journal entry, with the fields that the tables use.
#[derive(Debug, Clone, Deserialize)]
struct Entry {
    /// Start time of the command and, if it has ended, its end time.
    at: Vec<String>,
    cmd: String,
    /// Hash of the benchmarked commit.
    #[serde(default)]
    head: String,
    site: Option<String>,
    score: Option<f64>,
    why: Option<String>,
    #[serde(default)]
    days: Vec<Day>,
}

#[derive(Debug, Clone, Deserialize)]
struct Day {
    name: String,
    seed: Option<u64>,
    score: Option<f64>,
    /// Earned value of the day as a share of the maximum value.
    #[serde(rename = "G")]
    value_share: Option<f64>,
    #[serde(default)]
    rules: serde_json::Value,
}

impl Day {
    fn has_broken_rules(&self) -> bool {
        match &self.rules {
            serde_json::Value::Array(rules) => !rules.is_empty(),
            serde_json::Value::Object(rules) => !rules.is_empty(),
            _ => false,
        }
    }
}

/// Reads the journal in `folder`, plots the scores of each site to the file `plot`, and returns
/// Markdown tables of scores, hunts and ablation runs.
pub fn rounds(folder: &Path, plot: &Path) -> Result<String, RoundsError> {
    let entries = read(folder)?;
    let mut text = String::new();
    scores(&entries, &mut text);
    hunts(&entries, &mut text);
    ablations(&entries, &mut text);
    let lines = series(&entries);
    draw(plot, "Score by round", "round", "score", &lines)
        .map_err(|source| RoundsError::Plot { source })?;
    Ok(text)
}

fn read(folder: &Path) -> Result<Vec<Entry>, RoundsError> {
    let refuse = |path: &Path| {
        let path = path.to_path_buf();
        move |source| RoundsError::Read { path, source }
    };
    let mut paths = Vec::new();
    for file in fs::read_dir(folder).map_err(refuse(folder))? {
        let path = file.map_err(refuse(folder))?.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            paths.push(path);
        }
    }
    // File names start with a timestamp, so that this order is chronological.
    paths.sort();
    let mut entries = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(refuse(&path))?;
        let entry = serde_json::from_str(&text);
        entries.push(entry.map_err(|source| RoundsError::Entry { path, source })?);
    }
    Ok(entries)
}

fn scores(entries: &[Entry], text: &mut String) {
    text.push_str("| at | site | score | days | tried |\n| --- | --- | --- | --- | --- |\n");
    for entry in entries.iter().filter(|entry| entry.cmd == "score") {
        let (Some(site), Some(score)) = (&entry.site, entry.score) else {
            continue;
        };
        let places: Vec<String> = entry
            .days
            .iter()
            .filter(|day| !day.name.starts_with("fresh"))
            .filter_map(|day| Some(format!("{:.2}", day.score?)))
            .collect();
        let at = entry.at.first().map_or("", |at| at.get(11..16).unwrap_or(at));
        let why = entry.why.as_deref().unwrap_or_default();
        add_line(text, &format!("| {at} | {site} | {score:.3} | {} | {why} |", places.join(" ")));
    }
}

fn hunts(entries: &[Entry], text: &mut String) {
    text.push_str(
        "\n| at | site | days hunted | with a rule broken |\n| --- | --- | --- | --- |\n",
    );
    for entry in entries.iter().filter(|entry| entry.cmd == "hunt") {
        let broken: Vec<&str> = entry
            .days
            .iter()
            .filter(|day| day.has_broken_rules())
            .map(|day| day.name.as_str())
            .collect();
        let broken = if broken.is_empty() { "none".to_owned() } else { broken.join(", ") };
        let at = entry.at.first().map_or("", |at| at.get(11..16).unwrap_or(at));
        let Some(site) = entry.site.as_deref() else {
            add_line(text, &format!("| {at} | (ended before its end) | – | – |"));
            continue;
        };
        add_line(text, &format!("| {at} | {site} | {} | {broken} |", entry.days.len()));
    }
}

/// Group of runs of one commit at one site with the same mechanism disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ablation<'a> {
    site: &'a str,
    commit: &'a str,
    off: &'a str,
}

/// Name and seed of a simulated day.
type DayAndSeed<'a> = (&'a str, Option<u64>);

/// Writes a table with the mean value of each ablation, and its mean difference from the baseline
/// runs of the same commit, day and seed.
fn ablations(entries: &[Entry], text: &mut String) {
    let mut values: BTreeMap<Ablation<'_>, BTreeMap<DayAndSeed<'_>, Vec<f64>>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.cmd == "run") {
        let off = entry.why.as_deref().and_then(|why| why.strip_prefix(ABLATION_PREFIX));
        let (Some(site), Some(off)) = (entry.site.as_deref(), off) else {
            continue;
        };
        let commit = entry.head.get(..COMMIT_DIGITS).unwrap_or(&entry.head);
        let ablation = Ablation { site, commit, off };
        for day in &entry.days {
            if let Some(value) = day.value_share {
                let values_by_day = values.entry(ablation).or_default();
                values_by_day.entry((&day.name, day.seed)).or_default().push(value);
            }
        }
    }
    text.push_str(
        "\n| commit | site | switched off | runs | mean worth | difference |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for (ablation, values_by_day) in &values {
        let Ablation { site, commit, off } = ablation;
        let baseline = values.get(&Ablation { off: NOTHING_OFF, ..*ablation });
        let difference = baseline.and_then(|baseline| difference(values_by_day, baseline));
        let difference = difference.map_or("–".to_owned(), |value| format!("{value:+.3}"));
        let all: Vec<f64> = values_by_day.values().flatten().copied().collect();
        let (runs, value) = (all.len(), mean(&all));
        let line = format!("| {commit} | {site} | {off} | {runs} | {value:.3} | {difference} |");
        add_line(text, &line);
    }
}

/// Returns the mean difference over the days and seeds that both groups have run; none if they have
/// no day and seed in common.
fn difference(
    off: &BTreeMap<DayAndSeed<'_>, Vec<f64>>,
    baseline: &BTreeMap<DayAndSeed<'_>, Vec<f64>>,
) -> Option<f64> {
    let pairs = off.iter().filter_map(|(day, values)| Some((values, baseline.get(day)?)));
    let differences: Vec<f64> = pairs.map(|(off, baseline)| mean(off) - mean(baseline)).collect();
    (!differences.is_empty()).then(|| mean(&differences))
}

/// Returns the mean of a non-empty list.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn add_line(text: &mut String, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{line}");
}

fn series(entries: &[Entry]) -> Vec<Series> {
    let mut by_site: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.cmd == "score") {
        if let (Some(site), Some(score)) = (entry.site.as_deref(), entry.score) {
            let points = by_site.entry(site).or_default();
            points.push((points.len() as f64 + 1.0, score));
        }
    }
    let line = |(site, points): (&str, Vec<(f64, f64)>)| Series { name: site.to_owned(), points };
    by_site.into_iter().map(line).collect()
}
