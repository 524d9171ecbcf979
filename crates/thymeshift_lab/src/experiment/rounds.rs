//! The rounds of the users' bench, read from the journal that it leaves in the repository.

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

/// Rounds that could not be shown.
#[derive(Debug, Display, Error)]
pub enum RoundsError {
    /// The folder or a file cannot be read.
    #[display("{}: {source}", path.display())]
    Read {
        /// Which.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is not an entry of the journal.
    #[display("{}: {source}", path.display())]
    Entry {
        /// Which.
        path: PathBuf,
        /// Why, with the place.
        source: serde_json::Error,
    },
    /// The plot cannot be drawn.
    #[display("{source}")]
    Plot {
        /// Why.
        source: PlotError,
    },
}

/// Begin of the reason of a run that switches one mechanism off; the rest names it.
const ABLATION: &str = "ablation on the final code: ";
/// The rest for the runs with nothing switched off.
const NOTHING_OFF: &str = "nothing switched off";
/// Digits of a commit that are shown.
const COMMIT_SHOWN: usize = 7;

/// One entry of the journal, as far as it is shown.
#[derive(Debug, Clone, Deserialize)]
struct Entry {
    /// When it began and ended.
    at: Vec<String>,
    cmd: String,
    /// The commit that the copy played was made from.
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
    /// What the day was worth, as a share of all that was owed.
    #[serde(rename = "G")]
    worth: Option<f64>,
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

/// Reads the journal in `folder`, draws each site's scores into `plot`, and returns tables of
/// scores, hunts and ablations in Markdown.
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
    // Names begin with the moment.
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

/// Runs with one mechanism switched off, of copies of one commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ablation<'a> {
    site: &'a str,
    commit: &'a str,
    off: &'a str,
}

/// One day with one seed.
type Played<'a> = (&'a str, Option<u64>);

/// Mean worth of the runs of each site with one mechanism switched off, and the mean difference
/// to the runs of the same commit, day and seed with all of them.
fn ablations(entries: &[Entry], text: &mut String) {
    let mut worths: BTreeMap<Ablation<'_>, BTreeMap<Played<'_>, Vec<f64>>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.cmd == "run") {
        let off = entry.why.as_deref().and_then(|why| why.strip_prefix(ABLATION));
        let (Some(site), Some(off)) = (entry.site.as_deref(), off) else {
            continue;
        };
        let commit = entry.head.get(..COMMIT_SHOWN).unwrap_or(&entry.head);
        let ablation = Ablation { site, commit, off };
        for day in &entry.days {
            if let Some(worth) = day.worth {
                let played = worths.entry(ablation).or_default();
                played.entry((&day.name, day.seed)).or_default().push(worth);
            }
        }
    }
    text.push_str(
        "\n| commit | site | switched off | runs | mean worth | difference |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for (ablation, played) in &worths {
        let Ablation { site, commit, off } = ablation;
        let whole = worths.get(&Ablation { off: NOTHING_OFF, ..*ablation });
        let difference = whole.and_then(|whole| difference(played, whole));
        let difference = difference.map_or("–".to_owned(), |worth| format!("{worth:+.3}"));
        let all: Vec<f64> = played.values().flatten().copied().collect();
        let (runs, worth) = (all.len(), mean(&all));
        let line = format!("| {commit} | {site} | {off} | {runs} | {worth:.3} | {difference} |");
        add_line(text, &line);
    }
}

/// The mean difference over the days and seeds that both have played; none if there is none.
fn difference(
    off: &BTreeMap<Played<'_>, Vec<f64>>,
    whole: &BTreeMap<Played<'_>, Vec<f64>>,
) -> Option<f64> {
    let pairs = off.iter().filter_map(|(played, worths)| Some((worths, whole.get(played)?)));
    let differences: Vec<f64> = pairs.map(|(off, whole)| mean(off) - mean(whole)).collect();
    (!differences.is_empty()).then(|| mean(&differences))
}

/// The mean of values of which there is at least one.
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
