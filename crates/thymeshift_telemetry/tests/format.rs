//! Tests that each event is formatted as exactly one log line, whatever its values contain.

use std::sync::Arc;

use spdlog::Logger;
use spdlog::info;
use spdlog::sink::WriteSink;
use thymeshift_telemetry::KeyValueFormatter;

fn line(value: &str) -> String {
    let sink = Arc::new(
        WriteSink::builder()
            .formatter(KeyValueFormatter)
            .target(Vec::new())
            .build()
            .expect("a sink"),
    );
    let logger = Logger::builder().sink(sink.clone()).build().expect("a logger");
    info!(logger: logger, "answered", kv: { value, status = 200 });
    String::from_utf8(sink.clone_target()).expect("text")
}

#[test]
fn values_cannot_end_a_line_or_add_a_pair() {
    let cases = [
        ("plain-1/2", "value=plain-1/2"),
        ("", "value=\"\""),
        ("a b", "value=\"a b\""),
        ("a=b", "value=\"a=b\""),
        ("say \"x\"", "value=\"say \\\"x\\\"\""),
        ("back\\slash", "value=\"back\\\\slash\""),
        ("a\nlevel=error event=forged", "value=\"a\\u{a}level=error event=forged\""),
        ("tab\tbell\u{7}", "value=\"tab\\u{9}bell\\u{7}\""),
        ("line\u{2028}sep", "value=\"line\\u{2028}sep\""),
    ];
    for (value, expected) in cases {
        let line = line(value);
        assert!(line.starts_with("time="), "{line}");
        let (_, rest) = line.split_once(' ').expect("a second pair");
        assert_eq!(rest, format!("level=info event=answered {expected} status=200\n"));
        assert_eq!(line.lines().count(), 1, "{line}");
    }
}
