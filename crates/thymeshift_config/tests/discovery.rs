//! Tests of the list of discovered targets: parsing of successive revisions,
//! and retention of targets that are missing after an outage of the source.

use quickcheck::QuickCheck;
use thymeshift_config::Discovery;
use thymeshift_config::DiscoveryReader;

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
        previous: &'static [(&'static str, u16, &'static str)],
        listed: &'static [(&'static str, u16, &'static str)],
        kept: &'static [&'static str],
    }
    let cases = [
        Case {
            note: "all are still listed",
            previous: &[("t1", 1, "serving"), ("t2", 2, "serving")],
            listed: &[("t1", 1, "serving"), ("t2", 2, "serving")],
            kept: &[],
        },
        Case {
            note: "one is missing",
            previous: &[("t1", 1, "serving"), ("t2", 2, "serving")],
            listed: &[("t2", 2, "serving")],
            kept: &["t1"],
        },
        Case {
            note: "a missing one was leaving",
            previous: &[("t1", 1, "leaving"), ("t2", 2, "serving")],
            listed: &[("t2", 2, "serving")],
            kept: &[],
        },
        Case {
            note: "the address of a missing one belongs to another",
            previous: &[("t1", 1, "serving")],
            listed: &[("t9", 1, "serving")],
            kept: &[],
        },
        Case {
            note: "one is listed as leaving",
            previous: &[("t1", 1, "serving")],
            listed: &[("t1", 1, "leaving")],
            kept: &[],
        },
        Case {
            note: "nothing is listed",
            previous: &[("t1", 1, "serving"), ("t2", 2, "serving")],
            listed: &[],
            kept: &["t1", "t2"],
        },
    ];
    for Case { note, previous, listed, kept } in cases {
        let listed = if listed.is_empty() { Discovery::default() } else { discovery(listed) };
        let (joined, count) = listed.retaining_missing(&discovery(previous));
        assert_eq!(count, kept.len(), "{note}");
        let names: Vec<&str> = joined.targets[listed.targets.len()..]
            .iter()
            .map(|found| found.target.name.as_str())
            .collect();
        assert_eq!(names, kept, "{note}");
        assert_eq!(joined.targets[..listed.targets.len()], listed.targets[..], "{note}");
    }
}

/// Returns one of several valid and invalid lines of a list.
fn line(seed: u8) -> &'static str {
    let lines = [
        "- {service: s, name: a, address: '10.0.0.1:1', data_hall: h, state: serving}",
        "- {service: s, name: b, address: '10.0.0.1:2', data_hall: h, state: serving}",
        "- {service: s, name: b, address: '10.0.0.1:2', data_hall: h, state: leaving}",
        r#"- {"service":"t","slots":6,"name":"c","address":"10.0.0.2:3","data_hall":"h","state":"serving"}"#,
        "- {service: s, name: d, address: nowhere, data_hall: h, state: serving}",
        "- service: s",
        "  name: e",
        "  address: '10.0.0.1:5'",
        "  data_hall: h",
        "- {service: s, name: f,",
        "  address: '10.0.0.1:6', data_hall: h}",
        "# a remark }",
        "",
        "- [1, 2}",
    ];
    lines[seed as usize % lines.len()]
}

/// Lists with mistakes are included: both parsers must
/// report the same mistakes at the same locations.
#[test]
fn successive_lists_are_read_as_if_each_was_parsed_separately() {
    fn property(lists: Vec<Vec<u8>>) -> bool {
        let mut reader = DiscoveryReader::default();
        lists.into_iter().all(|seeds| {
            let lines: Vec<&str> = seeds.iter().map(|seed| line(*seed)).collect();
            let text = lines.join("\n");
            reader.parse(&text) == Discovery::parse(&text)
        })
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<Vec<u8>>) -> bool);
}

#[test]
fn a_rejected_list_does_not_affect_later_lists() {
    let good = format!("{}\n{}\n", line(0), line(1));
    let changed = format!("{}\n{}\n{}\n", line(0), line(2), line(3));
    let bad = format!("{}\n{}\n", line(0), line(4));
    let mut reader = DiscoveryReader::default();
    for text in [&good, &bad, &changed, &good, &bad, &good] {
        assert_eq!(reader.parse(text), Discovery::parse(text), "{text}");
    }
}

/// After an outage of the source, the new list is compared with the previous one. The comparison
/// must visit each entry only once; a quadratic comparison exceeds the time limit for long lists.
#[test]
fn a_long_list_is_compared_with_the_one_before_in_time() {
    const TARGETS: usize = 20_000;
    const TIME_LIMIT: std::time::Duration = std::time::Duration::from_secs(2);
    let list = |from: usize| {
        let line = |index: usize| {
            let (high, low) = (index / 250, index % 250);
            format!(
                "- {{\"service\":\"s\",\"name\":\"t{index}\",\"address\":\"10.1.{high}.{low}:80\",\
                 \"data_hall\":\"a\"}}\n"
            )
        };
        let text: String = (from..from + TARGETS).map(line).collect();
        thymeshift_config::DiscoveryReader::default().parse(&text).expect("a list")
    };
    let (previous, after) = (list(0), list(10));
    let started_at = std::time::Instant::now();
    let (kept, count) = after.retaining_missing(&previous);
    let elapsed = started_at.elapsed();
    assert!(elapsed < TIME_LIMIT, "{elapsed:?}");
    assert_eq!(count, 10);
    assert_eq!(kept.targets.len(), TARGETS + 10);
}
