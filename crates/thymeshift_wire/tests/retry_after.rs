//! Tests of `Retry-After` parsing and of the intended recipients of answer headers.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use thymeshift_wire::Dialect;
use thymeshift_wire::HeaderAudience;
use thymeshift_wire::Native;
use thymeshift_wire::headers;

#[test]
fn retry_after_values_are_parsed() {
    struct Case {
        values: &'static [&'static str],
        date: Option<&'static str>,
        /// Time in milliseconds; `Err` if the header cannot be parsed.
        read: Result<Option<u64>, ()>,
    }
    const SENT_AT: &str = "Sun, 06 Nov 1994 08:49:37 GMT";
    const THREE_SECONDS_LATER: &str = "Sun, 06 Nov 1994 08:49:40 GMT";
    let long = Box::leak("9".repeat(400).into_boxed_str());
    let undated = |values, read| Case { values, date: None, read };
    let cases = [
        undated(&[], Ok(None)),
        undated(&["3"], Ok(Some(3_000))),
        undated(&[" 3 "], Ok(Some(3_000))),
        undated(&["0.25"], Ok(Some(250))),
        undated(&["0"], Ok(Some(0))),
        undated(&["1e9"], Ok(Some(1_000_000_000_000))),
        undated(&["3", "0.5", "4"], Ok(Some(4_000))),
        undated(&["3", "x"], Err(())),
        undated(&[""], Err(())),
        undated(&["-1"], Err(())),
        undated(&["+3"], Err(())),
        undated(&["nan"], Err(())),
        undated(&["inf"], Err(())),
        undated(&["1e300"], Err(())),
        undated(&["soon"], Err(())),
        undated(Box::leak(Box::new([&*long])), Err(())),
        undated(&[THREE_SECONDS_LATER], Err(())),
        Case { values: &[THREE_SECONDS_LATER], date: Some(SENT_AT), read: Ok(Some(3_000)) },
        Case { values: &[SENT_AT], date: Some(THREE_SECONDS_LATER), read: Ok(Some(0)) },
        Case { values: &[THREE_SECONDS_LATER], date: Some("today"), read: Err(()) },
    ];
    for Case { values, date, read } in cases {
        let mut map = HeaderMap::new();
        for value in values {
            map.append(header::RETRY_AFTER, HeaderValue::from_static(value));
        }
        if let Some(date) = date {
            map.insert(header::DATE, HeaderValue::from_static(date));
        }
        let found = Native::backoff(StatusCode::SERVICE_UNAVAILABLE, &map);
        let found = found.map(|wait| wait.map(|wait| wait.as_millis() as u64));
        assert_eq!(found.map_err(drop), read, "{values:?} {date:?}");
    }
}

#[test]
fn only_a_targets_own_refusal_asks_for_a_backoff() {
    struct Case {
        status: u16,
        is_from_deeper_layer: bool,
        read: Option<Duration>,
    }
    let cases = [
        Case { status: 503, is_from_deeper_layer: false, read: Some(Duration::from_secs(3)) },
        Case { status: 503, is_from_deeper_layer: true, read: None },
        Case { status: 429, is_from_deeper_layer: false, read: None },
        Case { status: 200, is_from_deeper_layer: false, read: None },
        Case { status: 500, is_from_deeper_layer: false, read: None },
    ];
    for Case { status, is_from_deeper_layer, read } in cases {
        let mut map = HeaderMap::new();
        map.insert(header::RETRY_AFTER, HeaderValue::from_static("3"));
        if is_from_deeper_layer {
            map.insert(headers::OUTCOME, HeaderValue::from_static("not_run"));
        }
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(Native::backoff(status, &map), Ok(read), "{status}, {is_from_deeper_layer}");
    }
}

#[test]
fn a_header_that_addresses_proxies_and_is_not_read_is_unknown() {
    struct Case {
        name: HeaderName,
        audience: HeaderAudience,
    }
    let cases = [
        Case { name: header::RETRY_AFTER, audience: HeaderAudience::Proxy },
        Case { name: header::CONNECTION, audience: HeaderAudience::Proxy },
        Case { name: HeaderName::from_static("keep-alive"), audience: HeaderAudience::Proxy },
        Case { name: headers::LOAD, audience: HeaderAudience::Proxy },
        Case { name: header::DATE, audience: HeaderAudience::Caller },
        Case { name: header::WARNING, audience: HeaderAudience::Caller },
        Case { name: header::PROXY_AUTHENTICATE, audience: HeaderAudience::Unknown },
        Case { name: header::UPGRADE, audience: HeaderAudience::Unknown },
        Case { name: HeaderName::from_static("x-new-word"), audience: HeaderAudience::Unknown },
    ];
    for Case { name, audience } in cases {
        assert_eq!(Native::header_audience(&name), audience, "{name}");
    }
}
