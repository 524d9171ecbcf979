//! Targets that the source lists no longer after an outage.

use thymeshift_config::Discovery;

fn discovery(lines: &[(&str, u16, &str)]) -> Discovery {
    let line = |(name, port, state): &(&str, u16, &str)| {
        format!(
            "- {{service: s, name: {name}, address: '10.0.0.1:{port}', data_hall: a, state: {state}}}\n"
        )
    };
    Discovery::parse(&lines.iter().map(line).collect::<String>()).expect("targets")
}

#[test]
fn missing_targets_are_kept_unless_they_were_leaving_or_their_address_is_in_use() {
    struct Case {
        note: &'static str,
        before: &'static [(&'static str, u16, &'static str)],
        listed: &'static [(&'static str, u16, &'static str)],
        kept: &'static [&'static str],
    }
    let cases = [
        Case {
            note: "all are still listed",
            before: &[("t1", 1, "serving"), ("t2", 2, "serving")],
            listed: &[("t1", 1, "serving"), ("t2", 2, "serving")],
            kept: &[],
        },
        Case {
            note: "one is missing",
            before: &[("t1", 1, "serving"), ("t2", 2, "serving")],
            listed: &[("t2", 2, "serving")],
            kept: &["t1"],
        },
        Case {
            note: "a missing one was leaving",
            before: &[("t1", 1, "leaving"), ("t2", 2, "serving")],
            listed: &[("t2", 2, "serving")],
            kept: &[],
        },
        Case {
            note: "the address of a missing one belongs to another",
            before: &[("t1", 1, "serving")],
            listed: &[("t9", 1, "serving")],
            kept: &[],
        },
        Case {
            note: "one is listed as leaving",
            before: &[("t1", 1, "serving")],
            listed: &[("t1", 1, "leaving")],
            kept: &[],
        },
        Case {
            note: "nothing is listed",
            before: &[("t1", 1, "serving"), ("t2", 2, "serving")],
            listed: &[],
            kept: &["t1", "t2"],
        },
    ];
    for Case { note, before, listed, kept } in cases {
        let listed = if listed.is_empty() { Discovery::default() } else { discovery(listed) };
        let (joined, count) = listed.keeping(&discovery(before));
        assert_eq!(count, kept.len(), "{note}");
        let names: Vec<&str> = joined.targets[listed.targets.len()..]
            .iter()
            .map(|found| found.target.name.as_str())
            .collect();
        assert_eq!(names, kept, "{note}");
        assert_eq!(joined.targets[..listed.targets.len()], listed.targets[..], "{note}");
    }
}
