//! Tables and plot of benchmark results, read from a journal.

use std::fs;
use std::path::PathBuf;

use thymeshift_lab::experiment::rounds;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("rounds-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn scores_hunts_and_ablations_are_listed_and_drawn() {
    let folder = folder("good");
    let score = r#"{"at":["2026-12-02T11:31:17Z","2026-12-02T11:31:40Z"],"cmd":"score",
      "site":"one","score":0.7134,"why":"first","days":[
        {"name":"quiet-1","score":0.56,"rules":{}},{"name":"fresh-1","score":0.1,"rules":{}}]}"#;
    let hunt = r#"{"at":["2026-12-02T12:04:00Z"],"cmd":"hunt","site":"one","score":null,
      "why":null,"days":[{"name":"mix 1","score":null,"rules":{}},
        {"name":"mix 2","score":null,"rules":{"LOST":2}}]}"#;
    fs::write(folder.join("1.json"), score).expect("an entry");
    fs::write(folder.join("2.json"), hunt).expect("an entry");
    let ended = r#"{"at":["2026-12-02T13:29:00Z"],"cmd":"hunt","site":null,"score":null,
      "why":null,"days":[]}"#;
    fs::write(folder.join("3.json"), ended).expect("an entry");
    let run = |head: &str, why: &str, seed: u64, worth: f64| {
        format!(
            r#"{{"at":["2026-12-02T16:00:00Z"],"cmd":"run","site":"one","score":null,
              "head":"{head}","why":"{why}","days":[
                {{"name":"scale-1","seed":{seed},"score":0.5,"G":{worth},"rules":{{}}}}]}}"#
        )
    };
    let nothing_off = "ablation on the final code: nothing switched off";
    let no_probes = "ablation on the final code: no probes";
    let runs = [
        run("1234567890", nothing_off, 1, 0.70),
        run("1234567890", nothing_off, 1, 0.72),
        run("1234567890", nothing_off, 2, 0.40),
        run("1234567890", no_probes, 1, 0.61),
        run("1234567890", no_probes, 3, 0.90),
        run("abc", no_probes, 1, 0.50),
        run("abc", "trial: something else", 1, 0.1),
    ];
    for (index, run) in runs.iter().enumerate() {
        fs::write(folder.join(format!("4{index}.json")), run).expect("an entry");
    }
    fs::write(folder.join("notes.txt"), "not an entry").expect("a file");
    let plot = folder.join("plot.svg");
    let text = rounds(&folder, &plot).unwrap_or_else(|error| panic!("{error}"));
    assert!(text.contains("| 11:31 | one | 0.713 | 0.56 | first |"), "{text}");
    assert!(text.contains("| 12:04 | one | 2 | mix 2 |"), "{text}");
    assert!(text.contains("| 13:29 | (ended before its end) | – | – |"), "{text}");
    for line in [
        "| 1234567 | one | nothing switched off | 3 | 0.607 | +0.000 |",
        // The difference covers only days and seeds that the baseline has run too.
        "| 1234567 | one | no probes | 2 | 0.755 | -0.100 |",
        // Baseline runs of another commit are not compared.
        "| abc | one | no probes | 1 | 0.500 | – |",
    ] {
        assert!(text.contains(line), "{line}\n{text}");
    }
    assert!(!text.contains("something else"), "{text}");
    assert!(fs::read_to_string(plot).expect("a plot").contains("<svg"));
}

#[test]
fn a_broken_entry_is_named_with_its_place() {
    let folder = folder("broken");
    fs::write(folder.join("3.json"), "{\n  \"cmd\": 7 }").expect("an entry");
    let error = rounds(&folder, &folder.join("plot.svg")).expect_err("a mistake").to_string();
    assert!(error.contains("3.json") && error.contains("line 2"), "{error}");
}
