//! Which requests behind the one under way are named, and that they are the ones hyper reads.

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

/// The paths of all requests that are named now.
fn named(pipeline: &mut Pipeline) -> Vec<String> {
    let mut paths = Vec::new();
    while let Some(parts) = pipeline.next_request(is_get) {
        paths.push(parts.uri.to_string());
    }
    paths
}

#[test]
fn what_stands_behind_a_request_is_named_once_that_one_is_read() {
    let mut pipeline = Pipeline::new(BYTES_MAX);
    pipeline.push_bytes(format!("{}{}{}", get("/1"), get("/2"), get("/3")).as_bytes());
    assert!(named(&mut pipeline).is_empty());
    assert_eq!(pipeline.match_request(&get_parts("/1")), RequestMatch::NotYielded);
    assert_eq!(named(&mut pipeline), ["/2", "/3"]);
    assert_eq!(pipeline.match_request(&get_parts("/2")), RequestMatch::Yielded);
    pipeline.push_bytes(&get("/4").as_bytes()[..10]);
    assert!(named(&mut pipeline).is_empty());
    pipeline.push_bytes(&get("/4").as_bytes()[10..]);
    assert_eq!(named(&mut pipeline), ["/4"]);
    assert_eq!(pipeline.match_request(&get_parts("/3")), RequestMatch::Yielded);
    assert_eq!(pipeline.match_request(&get_parts("/4")), RequestMatch::Yielded);
    assert!(!pipeline.has_more());
}

#[test]
fn another_request_than_the_one_named_ends_it() {
    let mut pipeline = Pipeline::new(BYTES_MAX);
    pipeline.push_bytes(format!("{}{}", get("/1"), get("/2")).as_bytes());
    assert_eq!(pipeline.match_request(&get_parts("/1")), RequestMatch::NotYielded);
    assert_eq!(named(&mut pipeline), ["/2"]);
    assert_eq!(pipeline.match_request(&get_parts("/other")), RequestMatch::Mismatch);
    assert!(pipeline.is_stopped());
}

#[test]
fn nothing_is_named_behind_what_may_not_be_passed() {
    struct Case {
        note: &'static str,
        /// Behind a first request that is read.
        behind: String,
        named: &'static [&'static str],
    }
    let cases = [
        Case {
            note: "a request that may not be repeated",
            behind: format!("POST /p HTTP/1.1\r\nhost: a\r\n\r\n{}", get("/3")),
            named: &[],
        },
        Case {
            note: "a body that reads like a request",
            behind: format!(
                "GET /b HTTP/1.1\r\ncontent-length: {}\r\n\r\n{}",
                get("/in").len(),
                get("/in")
            ),
            named: &[],
        },
        Case {
            note: "chunks",
            behind: format!(
                "GET /b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{}",
                get("/3")
            ),
            named: &[],
        },
        Case {
            note: "the caller's last request",
            behind: format!("GET /l HTTP/1.1\r\nconnection: close\r\n\r\n{}", get("/3")),
            named: &[],
        },
        Case {
            note: "an older version",
            behind: format!("GET /o HTTP/1.0\r\n\r\n{}", get("/3")),
            named: &[],
        },
        Case { note: "no request", behind: "GET\u{1} / x\r\n\r\n".to_owned(), named: &[] },
        Case {
            note: "another protocol",
            behind: format!("GET /u HTTP/1.1\r\nupgrade: x\r\n\r\n{}", get("/3")),
            named: &[],
        },
        Case {
            note: "empty lines between two",
            behind: format!("\r\n{}", get("/3")),
            named: &["/3"],
        },
        Case {
            note: "lines without a carriage return",
            behind: format!("GET /n HTTP/1.1\nhost: a\n\n{}", get("/3")),
            named: &["/n", "/3"],
        },
    ];
    for Case { note, behind, named: expected } in cases {
        let mut pipeline = Pipeline::new(BYTES_MAX);
        pipeline.push_bytes(format!("{}{behind}", get("/1")).as_bytes());
        assert_eq!(pipeline.match_request(&get_parts("/1")), RequestMatch::NotYielded, "{note}");
        assert_eq!(named(&mut pipeline), expected, "{note}");
    }
}

#[test]
fn behind_a_body_of_stated_length_it_goes_on() {
    let mut pipeline = Pipeline::new(BYTES_MAX);
    let body = get("/in");
    let length = body.len().to_string();
    let head = format!("POST /p HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    pipeline.push_bytes(format!("{head}{}", &body[..20]).as_bytes());
    let post = parts(Method::POST, "/p", &[("host", "a"), ("content-length", &length)]);
    assert_eq!(pipeline.match_request(&post), RequestMatch::NotYielded);
    assert!(named(&mut pipeline).is_empty());
    pipeline.push_bytes(format!("{}{}", &body[20..], get("/2")).as_bytes());
    assert_eq!(named(&mut pipeline), ["/2"]);
}

#[test]
fn more_bytes_than_allowed_end_it() {
    let mut pipeline = Pipeline::new(1_000);
    pipeline.push_bytes(get("/1").as_bytes());
    assert_eq!(pipeline.match_request(&get_parts("/1")), RequestMatch::NotYielded);
    pipeline.push_bytes(&vec![b'x'; 1_001]);
    assert!(pipeline.is_stopped());
    assert!(named(&mut pipeline).is_empty());
}

/// One request of a row: how it is written, and its body.
#[derive(Debug, Clone)]
struct Sent {
    is_post: bool,
    body: Vec<u8>,
    spelling: u8,
}

#[derive(Debug, Clone)]
struct Row {
    sent: Vec<Sent>,
    cuts: Vec<u8>,
}

impl Arbitrary for Row {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 12 + 1;
        let sent = (0..count).map(|_| {
            let is_post = u8::arbitrary(g) % 4 == 0;
            // Bodies may read like requests.
            let text =
                if bool::arbitrary(g) { get("/smuggled").into_bytes() } else { Vec::arbitrary(g) };
            let body = if is_post { text } else { Vec::new() };
            Sent { is_post, body, spelling: u8::arbitrary(g) }
        });
        Self { sent: sent.collect(), cuts: Vec::arbitrary(g) }
    }
}

impl Sent {
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
    /// Rows of requests in pieces of any size: what is named is a request of the row, in its order,
    /// never one of a body, and never behind a request that may not be repeated.
    fn only_requests_of_the_row_are_named_and_in_order(row: Row) -> bool {
        let mut pipeline = Pipeline::new(1 << 20);
        let whole: Vec<u8> = row.sent.iter().enumerate().flat_map(|(n, sent)| sent.bytes(n)).collect();
        let mut rest = whole.as_slice();
        let mut cuts = row.cuts.iter().cycle();
        let mut read = 0;
        let mut next_named = 0;
        let mut ends = Vec::new();
        let mut end = 0;
        for (number, sent) in row.sent.iter().enumerate() {
            end += sent.bytes(number).len();
            ends.push(end);
        }
        while !rest.is_empty() || read < row.sent.len() {
            let size = usize::from(*cuts.next().unwrap_or(&50)).max(1).min(rest.len());
            pipeline.push_bytes(&rest[..size]);
            rest = &rest[size..];
            let arrived = whole.len() - rest.len();
            // hyper reads the next request once it is there, now and then.
            if read < row.sent.len() && arrived >= ends[read] && (size.is_multiple_of(3) || rest.is_empty()) {
                let delivery = pipeline.match_request(&row.sent[read].parts(read));
                let expected = if read < next_named { RequestMatch::Yielded } else { RequestMatch::NotYielded };
                if delivery != expected {
                    return false;
                }
                read += 1;
                next_named = next_named.max(read);
            }
            while let Some(found) = pipeline.next_request(is_get) {
                let is_expected = found.uri.path() == format!("/{next_named}")
                    && next_named < row.sent.len()
                    && row.sent[next_named..=next_named].iter().all(|sent| !sent.is_post)
                    && row.sent[read..next_named].iter().all(|sent| !sent.is_post);
                if !is_expected {
                    return false;
                }
                next_named += 1;
            }
        }
        true
    }
}
