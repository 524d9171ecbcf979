//! Malformed and invalid requests: each is answered with its error status or its connection is
//! closed, no part of it runs as another request, and the process serves the next caller.

mod support;

use std::time::Duration;

use thymeshift_lab::experiment::SingleEntry;
use thymeshift_lab::http_client::send_raw;

use crate::support::assert_serves;
use crate::support::configuration;
use crate::support::quick_target;

/// Time after which an exchange ends and the bytes received so far count as the answer.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(5);

struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    /// Texts that the answer must contain; if empty, no byte of an answer may arrive.
    expected_texts: &'static [&'static str],
}

fn text(name: &'static str, bytes: &str, expected_texts: &'static [&'static str]) -> Case {
    Case { name, bytes: bytes.as_bytes().to_vec(), expected_texts }
}

fn cases() -> Vec<Case> {
    let long = format!("GET /r HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n", "y".repeat(70_000));
    let chunked = "POST /w?nonce=big HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = format!("1f400\r\n{}\r\n0\r\n\r\n", "z".repeat(128_000));
    vec![
        text(
            "two different lengths",
            "POST /w HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
            &["400"],
        ),
        text(
            "a length with a sign",
            "POST /w HTTP/1.1\r\nhost: x\r\ncontent-length: +3\r\n\r\nabc",
            &["400"],
        ),
        text(
            "an encoding that does not end in chunked",
            "POST /w HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip\r\n\r\nabc",
            &["400"],
        ),
        text(
            "length and encoding, with a request hidden behind the chunks",
            "POST /w?nonce=outer HTTP/1.1\r\nhost: x\r\ncontent-length: 60\r\n\
             transfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n\
             POST /w?nonce=smuggled HTTP/1.1\r\nhost: x\r\n\r\n",
            &["HTTP/1.1 200"],
        ),
        text(
            "a chunk size that is no number",
            "POST /w HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n",
            &["400", "caller_lost"],
        ),
        text("a head that breaks off", "GET /r HTTP/1.1\r\nhost: x\r\nhalf", &[]),
        text("a name with a blank", "GET /r HTTP/1.1\r\nhost : x\r\n\r\n", &["400"]),
        text("a folded header", "GET /r HTTP/1.1\r\nhost: x\r\na: b\r\n c\r\n\r\n", &["400"]),
        text("a zero byte", "GET /r HTTP/1.1\r\nhost: x\r\na: \0\r\n\r\n", &["400"]),
        text("a method of blanks", " / HTTP/1.1\r\nhost: x\r\n\r\n", &["400"]),
        text("no host", "GET /r HTTP/1.1\r\n\r\n", &["400", "bad_header", "not_run"]),
        text("two hosts", "GET /r HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", &["400", "bad_header"]),
        Case { name: "a head too large", bytes: long.into_bytes(), expected_texts: &["431"] },
        text(
            "a kind that does not exist",
            "GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n",
            &["404", "thymeshift-outcome: not_run", "unknown_kind", "thymeshift-step: match"],
        ),
        text("a tunnel", "CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n", &["404", "not_run"]),
        text(
            "a deadline that is no number",
            "GET /r HTTP/1.1\r\nhost: x\r\nthymeshift-timeout-ms: soon\r\n\r\n",
            &["400", "bad_header"],
        ),
        text(
            "two deadlines",
            "GET /r HTTP/1.1\r\nhost: x\r\nthymeshift-timeout-ms: 1\r\n\
             thymeshift-timeout-ms: 2\r\n\r\n",
            &["400", "bad_header"],
        ),
        text(
            "a call forwarded too often",
            "GET /r HTTP/1.1\r\nhost: x\r\nthymeshift-depth: 9\r\n\r\n",
            &["508", "too_deep", "not_run"],
        ),
        text(
            "a body that is announced too large",
            "POST /w HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\nabc",
            &["413", "body_too_large", "not_run"],
        ),
        Case {
            name: "a chunked body that grows too large",
            bytes: [chunked.as_bytes(), chunks.as_bytes()].concat(),
            expected_texts: &["413", "body_too_large", "unknown"],
        },
        text(
            "a body that stops arriving",
            "POST /w HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc",
            &["400", "caller_lost", "not_run"],
        ),
        text("the first half of the HTTP/2 connection preface", "PRI * HTTP/2.0\r\n", &[]),
        Case {
            name: "bytes of another protocol",
            bytes: vec![0x16, 3, 1, 0, 9],
            expected_texts: &["400"],
        },
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_requests_are_answered_and_the_next_caller_is_served() {
    let target = quick_target().await;
    let configuration = configuration(&[target.ports.address], "", "");
    let single = SingleEntry::start(&configuration).await.expect("an entry process");
    let caller = single.entry.address("caller").expect("an address");
    for case in cases() {
        let answer = send_raw(caller, &case.bytes, EXCHANGE_LIMIT).await.expect(case.name);
        let answer = String::from_utf8_lossy(&answer);
        if case.expected_texts.is_empty() {
            assert_eq!(answer, "", "{}", case.name);
        }
        for part in case.expected_texts {
            assert!(answer.contains(part), "{}: no {part} in: {answer}", case.name);
        }
        assert_serves(caller, case.name).await;
    }
    let ledger = target.target.ledger.entries();
    assert!(ledger.contains_key("outer"), "the outer request is run");
    assert!(!ledger.contains_key("smuggled"), "the hidden request is not");
}
