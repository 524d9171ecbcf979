//! Tests of context and load headers: encoding, decoding and malformed values.
#![allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::ReportedState;
use thymeshift_types::Incarnation;
use thymeshift_wire::CallContext;
use thymeshift_wire::headers;
use thymeshift_wire::load_header;

#[test]
fn a_call_context_is_read_as_it_was_written() {
    let contexts = [
        CallContext::default(),
        CallContext { timeout: Some(Duration::from_millis(350)), attempts_left: Some(2), depth: 8 },
    ];
    for context in contexts {
        let mut map = HeaderMap::new();
        map.insert(headers::TIMEOUT_MS, HeaderValue::from_static("9"));
        context.write(&mut map);
        assert_eq!(CallContext::read(&map), Ok(context), "the caller's headers are replaced");
    }
}

#[test]
fn malformed_numbers_are_refused() {
    for text in ["", " 1", "+1", "-1", "1.5", "0x1", "99999999999999999999", "86400001"] {
        for name in [headers::TIMEOUT_MS, headers::ATTEMPTS_LEFT, headers::DEPTH] {
            let mut map = HeaderMap::new();
            map.insert(name.clone(), HeaderValue::from_static(text));
            let error = CallContext::read(&map).expect_err(text);
            assert_eq!(error.name, name, "{text}");
        }
    }
}

fn report(text: &'static str) -> Option<LoadReport> {
    let mut map = HeaderMap::new();
    map.insert(headers::LOAD, HeaderValue::from_static(text));
    load_header::read(&map)
}

#[test]
fn a_load_report_is_read_as_it_was_written() {
    for state in [ReportedState::Serving, ReportedState::Draining] {
        for incarnation in [None, Some(Incarnation::new(7))] {
            for cold_for_ms in [None, Some(0), Some(2_500)] {
                let written = LoadReport {
                    running: 3,
                    queued: 12,
                    incarnation,
                    state,
                    pace_percent: 250,
                    cold_for_ms,
                };
                let mut map = HeaderMap::new();
                map.insert(headers::LOAD, load_header::write(&written));
                assert_eq!(load_header::read(&map), Some(written));
            }
        }
    }
}

#[test]
fn malformed_load_reports_are_ignored() {
    let cases = [
        "",
        "JSON {}",
        "TEXT ",
        "TEXT cpu_utilization=0.3",
        "TEXT named_metrics.running",
        "TEXT named_metrics.running=many",
        "TEXT named_metrics.running=-1",
        "TEXT named_metrics.running=NaN",
        "TEXT named_metrics.running=1, named_metrics.queued=inf",
    ];
    for text in cases {
        assert_eq!(report(text), None, "{text}");
    }
    let known = report("TEXT cpu_utilization=0.9, named_metrics.running=2");
    assert_eq!(known.map(|report| (report.running, report.queued)), Some((2, 0)));
}

#[test]
fn any_header_value_is_handled_without_panic() {
    fn is_handled(bytes: Vec<u8>) -> bool {
        let text: Vec<u8> = b"TEXT ".iter().copied().chain(bytes).collect();
        if let Ok(value) = HeaderValue::from_bytes(&text) {
            let mut map = HeaderMap::new();
            map.insert(headers::LOAD, value.clone());
            map.insert(headers::TIMEOUT_MS, value);
            load_header::read(&map);
            return CallContext::read(&map).is_err();
        }
        true
    }
    QuickCheck::new()
        .tests(5_000)
        .rng(Gen::from_size_and_seed(40, 8))
        .quickcheck(is_handled as fn(Vec<u8>) -> bool);
}
