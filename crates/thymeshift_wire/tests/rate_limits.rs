//! Tests of rate limits in answers of targets, with valid and invalid header values.

use http::HeaderMap;
use http::HeaderValue;
use thymeshift_wire::Dialect;
use thymeshift_wire::Native;
use thymeshift_wire::headers;

#[test]
fn rate_limits_in_answers_are_parsed() {
    struct Case {
        values: &'static [&'static str],
        /// Requests per 1,000 seconds; `Err` if the header cannot be parsed.
        read: Result<Option<u64>, ()>,
    }
    const LONG: &str = "0000000000000000000000000000000000000003.4";
    let cases = [
        Case { values: &[], read: Ok(None) },
        Case { values: &["3.4"], read: Ok(Some(3_400)) },
        Case { values: &[" 3.4 "], read: Ok(Some(3_400)) },
        Case { values: &["0"], read: Ok(Some(0)) },
        Case { values: &["1e-9"], read: Ok(Some(1)) },
        Case { values: &["1e300"], read: Ok(Some(u64::MAX)) },
        Case { values: &["3.4", "1.5"], read: Ok(Some(1_500)) },
        Case { values: &["3.4", "x"], read: Err(()) },
        Case { values: &[""], read: Err(()) },
        Case { values: &["-1"], read: Err(()) },
        Case { values: &["nan"], read: Err(()) },
        Case { values: &["inf"], read: Err(()) },
        Case { values: &["many"], read: Err(()) },
        Case { values: &["3,4"], read: Err(()) },
        Case { values: &[LONG], read: Err(()) },
    ];
    for Case { values, read } in cases {
        let mut map = HeaderMap::new();
        for value in values {
            map.append(headers::RATE_LIMIT, HeaderValue::from_static(value));
        }
        let found = Native::rate_limit(&map);
        let found = found.map(|rate| rate.map(thymeshift_config::RequestRate::in_1000_s));
        assert_eq!(found.map_err(drop), read, "{values:?}");
    }
}
