//! Which pipelined requests are yielded, and that they equal the requests that hyper parses.

use std::fmt::Write;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::request::Parts;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;
use thymeshift_pipeline::Pipeline;
use thymeshift_pipeline::RequestMatch;

const BYTES_MAX: usize = 16 * 1_024;

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nx-request-id: {path}\r\n\r\n")
}

fn parts(method: Method, path: &str, headers: &[(&str, &str)]) -> Parts {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("a request").into_parts().0
}

fn get_parts(path: &str) -> Parts {
    parts(Method::GET, path, &[("host", "a"), ("x-request-id", path)])
}

fn is_get(parts: &Parts) -> bool {
    parts.method == Method::GET
}

/// Yields all available requests and returns their paths.
fn yielded_paths(pipeline: &mut Pipeline) -> Vec<String> {
    let mut paths = Vec::new();
    while let Some(parts) = pipeline.next_request(is_get) {
        paths.push(parts.uri.to_string());
    }
    paths
}

#[test]
fn pipelined_requests_are_yielded_once_the_request_before_is_parsed() {
    let mut pipeline = Pipeline::new(BYTES_MAX);
    pipeline.push_bytes(format!("{}{}{}", get("/1"), get("/2"), get("/3")).as_bytes());
    assert!(yielded_paths(&mut pipeline).is_empty());
    assert_eq!(pipeline.match_request(&get_parts("/1")), RequestMatch::NotYielded);
    assert_eq!(yielded_paths(&mut pipeline), ["/2", "/3"]);
    assert_eq!(pipeline.match_request(&get_parts("/2")), RequestMatch::Yielded);
    pipeline.push_bytes(&get("/4").as_bytes()[..10]);
    assert!(yielded_paths(&mut pipeline).is_empty());
    pipeline.push_bytes(&get("/4").as_bytes()[10..]);
    assert_eq!(yielded_paths(&mut pipeline), ["/4"]);
    assert_eq!(pipeline.match_request(&get_parts("/3")), RequestMatch::Yielded);
    assert_eq!(pipeline.match_request(&get_parts("/4")), RequestMatch::Yielded);
    assert!(!pipeline.has_more());
}

#[test]
fn another_request_than_the_yielded_one_stops_the_pipeline() {
    let mut pipeline = Pipeline::new(BYTES_MAX);
    pipeline.push_bytes(format!("{}{}", get("/1"), get("/2")).as_bytes());
    assert_eq!(pipeline.match_request(&get_parts("/1")), RequestMatch::NotYielded);
    assert_eq!(yielded_paths(&mut pipeline), ["/2"]);
    assert_eq!(pipeline.match_request(&get_parts("/other")), RequestMatch::Mismatch);
    assert!(pipeline.is_stopped());
}

#[test]
fn nothing_is_yielded_after_a_request_that_cannot_be_skipped() {
    struct Case {
        note: &'static str,
        /// Bytes after a first request that hyper has parsed.
        behind: String,
        yielded: &'static [&'static str],
    }
    let cases = [
        Case {
            note: "a request that may not be repeated",
            behind: format!("POST /p HTTP/1.1\r\nhost: a\r\n\r\n{}", get("/3")),
            yielded: &[],
        },
        Case {
            note: "a body that looks like a request",
            behind: format!(
                "GET /b HTTP/1.1\r\ncontent-length: {}\r\n\r\n{}",
                get("/in").len(),
                get("/in")
            ),
            yielded: &[],
        },
        Case {
            note: "chunks",
            behind: format!(
                "GET /b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{}",
                get("/3")
            ),
            yielded: &[],
        },
        Case {
            note: "the caller's last request",
            behind: format!("GET /l HTTP/1.1\r\nconnection: close\r\n\r\n{}", get("/3")),
            yielded: &[],
        },
        Case {
            note: "an older HTTP version",
            behind: format!("GET /o HTTP/1.0\r\n\r\n{}", get("/3")),
            yielded: &[],
        },
        Case { note: "not a request", behind: "GET\u{1} / x\r\n\r\n".to_owned(), yielded: &[] },
        Case {
            note: "a protocol upgrade",
            behind: format!("GET /u HTTP/1.1\r\nupgrade: x\r\n\r\n{}", get("/3")),
            yielded: &[],
        },
        Case {
            note: "an empty line before the request",
            behind: format!("\r\n{}", get("/3")),
            yielded: &["/3"],
        },
        Case {
            note: "line ends without a carriage return",
            behind: format!("GET /n HTTP/1.1\nhost: a\n\n{}", get("/3")),
            yielded: &["/n", "/3"],
        },
    ];
    for Case { note, behind, yielded: expected } in cases {
        let mut pipeline = Pipeline::new(BYTES_MAX);
        pipeline.push_bytes(format!("{}{behind}", get("/1")).as_bytes());
        assert_eq!(pipeline.match_request(&get_parts("/1")), RequestMatch::NotYielded, "{note}");
        assert_eq!(yielded_paths(&mut pipeline), expected, "{note}");
    }
}

#[test]
fn parsing_continues_after_a_body_of_stated_length() {
    let mut pipeline = Pipeline::new(BYTES_MAX);
    let body = get("/in");
    let length = body.len().to_string();
    let head = format!("POST /p HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    pipeline.push_bytes(format!("{head}{}", &body[..20]).as_bytes());
    let post = parts(Method::POST, "/p", &[("host", "a"), ("content-length", &length)]);
    assert_eq!(pipeline.match_request(&post), RequestMatch::NotYielded);
    assert!(yielded_paths(&mut pipeline).is_empty());
    pipeline.push_bytes(format!("{}{}", &body[20..], get("/2")).as_bytes());
    assert_eq!(yielded_paths(&mut pipeline), ["/2"]);
}

#[test]
fn more_bytes_than_allowed_stop_the_pipeline() {
    let mut pipeline = Pipeline::new(1_000);
    pipeline.push_bytes(get("/1").as_bytes());
    assert_eq!(pipeline.match_request(&get_parts("/1")), RequestMatch::NotYielded);
    pipeline.push_bytes(&vec![b'x'; 1_001]);
    assert!(pipeline.is_stopped());
    assert!(yielded_paths(&mut pipeline).is_empty());
}

/// One request of a pipelined sequence.
#[derive(Debug, Clone)]
struct SentRequest {
    is_post: bool,
    body: Vec<u8>,
    /// Selects the case of a header name and the number of spaces before its value.
    spelling: u8,
}

/// Pipelined requests, and the sizes of the pieces in which their bytes arrive.
#[derive(Debug, Clone)]
struct Sequence {
    sent: Vec<SentRequest>,
    cuts: Vec<u8>,
}

impl Arbitrary for Sequence {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 12 + 1;
        let sent = (0..count).map(|_| {
            let is_post = u8::arbitrary(g) % 4 == 0;
            // Half of the bodies look like requests.
            let text =
                if bool::arbitrary(g) { get("/smuggled").into_bytes() } else { Vec::arbitrary(g) };
            let body = if is_post { text } else { Vec::new() };
            SentRequest { is_post, body, spelling: u8::arbitrary(g) }
        });
        Self { sent: sent.collect(), cuts: Vec::arbitrary(g) }
    }
}

impl SentRequest {
    fn bytes(&self, number: usize) -> Bytes {
        let name = if self.spelling.is_multiple_of(2) { "X-Id" } else { "x-id" };
        let blank = if self.spelling.is_multiple_of(5) { "  " } else { " " };
        let method = if self.is_post { "POST" } else { "GET" };
        let mut text =
            format!("{method} /{number} HTTP/1.1\r\nhost: a\r\n{name}:{blank}{number}\r\n");
        if self.is_post {
            let _ = write!(text, "content-length: {}\r\n", self.body.len());
        }
        text.push_str("\r\n");
        [text.as_bytes(), self.body.as_slice()].concat().into()
    }

    fn parts(&self, number: usize) -> Parts {
        let id = number.to_string();
        let length = self.body.len().to_string();
        let mut headers = vec![("host", "a"), ("x-id", id.as_str())];
        if self.is_post {
            headers.push(("content-length", &length));
        }
        let method = if self.is_post { Method::POST } else { Method::GET };
        parts(method, &format!("/{number}"), &headers)
    }
}

quickcheck! {
    /// Checks pipelined requests whose bytes arrive in pieces of any size: only requests of the
    /// sequence are yielded, in order, none from a body, and none after a request that is not safe
    /// to repeat.
    fn only_requests_of_the_sequence_are_yielded_and_in_order(sequence: Sequence) -> bool {
        let mut pipeline = Pipeline::new(1 << 20);
        let whole: Vec<u8> =
            sequence.sent.iter().enumerate().flat_map(|(n, sent)| sent.bytes(n)).collect();
        let mut rest = whole.as_slice();
        let mut cuts = sequence.cuts.iter().cycle();
        let mut read = 0;
        let mut next_yielded = 0;
        let mut ends = Vec::new();
        let mut end = 0;
        for (number, sent) in sequence.sent.iter().enumerate() {
            end += sent.bytes(number).len();
            ends.push(end);
        }
        while !rest.is_empty() || read < sequence.sent.len() {
            let size = usize::from(*cuts.next().unwrap_or(&50)).max(1).min(rest.len());
            pipeline.push_bytes(&rest[..size]);
            rest = &rest[size..];
            let arrived = whole.len() - rest.len();
            // hyper parses the next request at some time after it has arrived.
            if read < sequence.sent.len()
                && arrived >= ends[read]
                && (size.is_multiple_of(3) || rest.is_empty())
            {
                let matched = pipeline.match_request(&sequence.sent[read].parts(read));
                let expected = if read < next_yielded {
                    RequestMatch::Yielded
                } else {
                    RequestMatch::NotYielded
                };
                if matched != expected {
                    return false;
                }
                read += 1;
                next_yielded = next_yielded.max(read);
            }
            while let Some(found) = pipeline.next_request(is_get) {
                let is_expected = found.uri.path() == format!("/{next_yielded}")
                    && next_yielded < sequence.sent.len()
                    && sequence.sent[next_yielded..=next_yielded].iter().all(|sent| !sent.is_post)
                    && sequence.sent[read..next_yielded].iter().all(|sent| !sent.is_post);
                if !is_expected {
                    return false;
                }
                next_yielded += 1;
            }
        }
        true
    }
}

#[test]
fn the_end_of_a_whole_request_is_found_behind_any_number_of_requests() {
    struct Case {
        note: &'static str,
        /// Bytes behind a first request that hyper has parsed.
        bytes: String,
        is_whole: bool,
    }
    let post = "POST /p HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
    let chunked = "POST /p HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
                   4\r\nbody\r\n0\r\n\r\n";
    let cases = [
        Case { note: "nothing", bytes: String::new(), is_whole: true },
        Case { note: "an empty line", bytes: "\r\n".to_owned(), is_whole: true },
        Case { note: "two", bytes: get("/2") + &get("/3"), is_whole: true },
        Case { note: "a body", bytes: get("/2") + post, is_whole: true },
        Case { note: "chunks", bytes: chunked.to_owned() + &get("/3"), is_whole: true },
        Case { note: "a part of a head", bytes: get("/2") + "GET /3", is_whole: false },
        Case {
            note: "a part of a body",
            bytes: post[..post.len() - 1].to_owned(),
            is_whole: false,
        },
        Case {
            note: "a part of the chunks",
            bytes: chunked[..chunked.len() - 2].to_owned(),
            is_whole: false,
        },
    ];
    for Case { note, bytes, is_whole } in cases {
        let mut pipeline = Pipeline::new(BYTES_MAX);
        pipeline.push_bytes(get("/1").as_bytes());
        assert_eq!(pipeline.match_request(&get_parts("/1")), RequestMatch::NotYielded);
        pipeline.push_bytes(bytes.as_bytes());
        assert_eq!(pipeline.ends_with_whole_request(), is_whole, "{note}");
    }
}
