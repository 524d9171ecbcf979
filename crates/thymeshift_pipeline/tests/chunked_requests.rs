//! Which bytes behind a chunked request belong to another request, and that nothing is yielded
//! there before hyper has parsed the next request.

use std::fmt::Write;
use std::ops::Range;

use http::Method;
use http::Request;
use http::Version;
use http::request::Parts;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;
use thymeshift_pipeline::Pipeline;
use thymeshift_pipeline::RequestMatch;

const BYTES_MAX: usize = 1 << 20;
/// Length of a size line or trailer line, including its line end, that is still accepted.
const LINE_BYTES_MAX: usize = 8 * 1_024;
const CHUNKED: &[(&str, &str)] = &[("host", "a"), ("transfer-encoding", "chunked")];

/// A request head, as the caller sends it and as hyper parses it.
#[derive(Debug, Clone)]
struct Head {
    text: String,
    parts: Parts,
}

fn head(method: &Method, path: &str, version: Version, headers: &[(&str, &str)]) -> Head {
    let mut text = format!("{method} {path} {version:?}\r\n");
    let mut request = Request::builder().method(method).uri(path).version(version);
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
        request = request.header(*name, *value);
    }
    text.push_str("\r\n");
    Head { text, parts: request.body(()).expect("a request").into_parts().0 }
}

fn get(path: &str) -> Head {
    head(&Method::GET, path, Version::HTTP_11, &[("host", "a")])
}

fn chunked_post() -> Head {
    head(&Method::POST, "/c", Version::HTTP_11, CHUNKED)
}

/// Returns the pipeline after hyper has parsed `head`, whose body has not arrived.
fn pipeline_behind(head: &Head) -> Pipeline {
    let mut pipeline = Pipeline::new(BYTES_MAX);
    pipeline.push_bytes(head.text.as_bytes());
    assert_eq!(pipeline.match_request(&head.parts), RequestMatch::NotYielded);
    pipeline
}

/// What an observer sees of a pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct View {
    has_more: bool,
    is_between_requests: bool,
    is_stopped: bool,
}

const INSIDE: View = View { has_more: false, is_between_requests: false, is_stopped: false };
const BETWEEN: View = View { has_more: false, is_between_requests: true, is_stopped: false };
const MORE: View = View { has_more: true, is_between_requests: true, is_stopped: false };
const STOPPED: View = View { has_more: false, is_between_requests: false, is_stopped: true };

fn view(pipeline: &Pipeline) -> View {
    View {
        has_more: pipeline.has_more(),
        is_between_requests: pipeline.is_between_requests(),
        is_stopped: pipeline.is_stopped(),
    }
}

fn yielded_path(pipeline: &mut Pipeline) -> Option<String> {
    pipeline.next_request(|_| true).map(|parts| parts.uri.to_string())
}

// Bytes behind a chunked request were not counted, and the connection closed without an answer.
#[test]
fn bytes_behind_a_chunked_request_are_lost() {
    let long_extension = format!("0;{}\r\n\r\n", "x".repeat(LINE_BYTES_MAX - 4));
    let long_trailer = format!("0\r\na:{}\r\n\r\n", "x".repeat(LINE_BYTES_MAX - 4));
    let many_trailers = format!("0\r\n{}\r\n", "a: 1\r\n".repeat(LINE_BYTES_MAX));
    let many_chunks = format!("{}0\r\n\r\n", "1\r\nx\r\n".repeat(LINE_BYTES_MAX));
    let large_chunk = format!("20000\r\n{}\r\n0\r\n\r\n", "x".repeat(0x2_0000));
    let cases = [
        ("no data", "0\r\n\r\n"),
        ("several zeros", "000\r\n\r\n"),
        ("one chunk", "3\r\nabc\r\n0\r\n\r\n"),
        ("several chunks", "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"),
        ("upper and lower case digits", "A\r\n0123456789\r\nb\r\n0123456789a\r\n0\r\n\r\n"),
        ("leading zeros", "00000000000000000000000003\r\nabc\r\n0\r\n\r\n"),
        ("an extension", "3;a=b\r\nabc\r\n0;c\r\n\r\n"),
        ("blanks before an extension", "3 \t; a = \"b;c\"\r\nabc\r\n0\r\n\r\n"),
        ("a trailer", "3\r\nabc\r\n0\r\nx-sum: 1\r\n\r\n"),
        ("several trailers, one of them empty", "0\r\na:\r\nb: \t\u{e4}\r\n\r\n"),
        ("data like a last chunk", "5\r\n0\r\n\r\n\r\n0\r\n\r\n"),
        ("data like a request", "12\r\nGET / HTTP/1.1\r\n\r\n\r\n0\r\n\r\n"),
        ("the longest extension", &long_extension),
        ("the longest trailer", &long_trailer),
        ("many trailers", &many_trailers),
        ("many chunks", &many_chunks),
        ("a large chunk", &large_chunk),
    ];
    let next = get("/next");
    for (note, body) in cases {
        for piece_bytes in [1, 2, 3, 7, 4_096, usize::MAX] {
            let mut pipeline = pipeline_behind(&chunked_post());
            let (last, before) = body.as_bytes().split_last().expect("a body");
            for piece in before.chunks(piece_bytes) {
                assert_eq!(view(&pipeline), INSIDE, "{note}, pieces of {piece_bytes}");
                pipeline.push_bytes(piece);
            }
            assert_eq!(view(&pipeline), INSIDE, "{note}, pieces of {piece_bytes}");
            pipeline.push_bytes(&[*last]);
            assert_eq!(view(&pipeline), BETWEEN, "{note}, pieces of {piece_bytes}");
            pipeline.push_bytes(&next.text.as_bytes()[..1]);
            assert_eq!(view(&pipeline), MORE, "{note}, a partial head");
            pipeline.push_bytes(&next.text.as_bytes()[1..]);
            assert_eq!(view(&pipeline), MORE, "{note}, a whole head");
            assert_eq!(pipeline.match_request(&next.parts), RequestMatch::NotYielded, "{note}");
            assert_eq!(view(&pipeline), BETWEEN, "{note}, the next request");
        }
        let mut pipeline = Pipeline::new(BYTES_MAX);
        let post = chunked_post();
        pipeline.push_bytes(format!("{}{body}{}", post.text, next.text).as_bytes());
        assert_eq!(pipeline.match_request(&post.parts), RequestMatch::NotYielded, "{note}");
        assert_eq!(view(&pipeline), MORE, "{note}, all at once");
        assert_eq!(pipeline.match_request(&next.parts), RequestMatch::NotYielded, "{note}");
        assert_eq!(view(&pipeline), BETWEEN, "{note}, all at once");
    }
}

#[test]
fn requests_behind_a_chunked_one_are_yielded_once_hyper_has_parsed_its_successor() {
    let (post, next, third) = (chunked_post(), get("/next"), get("/third"));
    let mut pipeline = pipeline_behind(&post);
    pipeline.push_bytes(format!("1\r\na\r\n0\r\n\r\n{}{}", next.text, third.text).as_bytes());
    assert_eq!(yielded_path(&mut pipeline), None);
    assert_eq!(pipeline.match_request(&next.parts), RequestMatch::NotYielded);
    assert_eq!(yielded_path(&mut pipeline).as_deref(), Some("/third"));
    assert_eq!(pipeline.match_request(&third.parts), RequestMatch::Yielded);
    assert_eq!(view(&pipeline), BETWEEN);
}

#[test]
fn another_head_than_the_one_behind_a_chunked_body_stops_the_pipeline() {
    let mut pipeline = pipeline_behind(&chunked_post());
    pipeline.push_bytes(format!("0\r\n\r\n{}", get("/next").text).as_bytes());
    assert_eq!(pipeline.match_request(&get("/other").parts), RequestMatch::NotYielded);
    assert_eq!(view(&pipeline), STOPPED);
}

#[test]
fn a_request_that_hyper_finds_inside_a_chunked_body_stops_the_pipeline() {
    let mut pipeline = pipeline_behind(&chunked_post());
    let inner = get("/inner");
    pipeline.push_bytes(format!("100\r\n{}", inner.text).as_bytes());
    assert_eq!(view(&pipeline), INSIDE);
    assert_eq!(pipeline.match_request(&inner.parts), RequestMatch::NotYielded);
    assert_eq!(view(&pipeline), STOPPED);
}

#[test]
fn a_malformed_chunked_body_stops_the_pipeline() {
    let long_extension = format!("0;{}\r\n\r\n", "x".repeat(LINE_BYTES_MAX - 3));
    let long_size = format!("{}\r\n\r\n", "0".repeat(LINE_BYTES_MAX - 1));
    let long_trailer_name = format!("0\r\n{}:\r\n\r\n", "a".repeat(LINE_BYTES_MAX - 2));
    let long_trailer = format!("0\r\na:{}\r\n\r\n", "x".repeat(LINE_BYTES_MAX - 3));
    let cases = [
        ("no size", "\r\n"),
        ("an extension without a size", ";a\r\n"),
        ("a blank before the size", " 3\r\nabc\r\n0\r\n\r\n"),
        ("a blank behind the size", "3 \r\nabc\r\n0\r\n\r\n"),
        ("a sign", "+3\r\nabc\r\n0\r\n\r\n"),
        ("a negative size", "-1\r\n"),
        ("a prefix", "0x3\r\nabc\r\n0\r\n\r\n"),
        ("not a digit", "g\r\n"),
        ("a blank between digits", "1 0\r\n"),
        ("a size above 64 bits", "10000000000000000\r\n"),
        ("a size line without a carriage return", "3\nabc\r\n0\r\n\r\n"),
        ("a size line without a line feed", "3\rabc\r\n0\r\n\r\n"),
        ("an extension with a line feed", "3;a\nabc\r\n0\r\n\r\n"),
        ("an extension with a carriage return", "3;a\rb\r\nabc\r\n0\r\n\r\n"),
        ("an extension with a control byte", "3;\u{0}\r\nabc\r\n0\r\n\r\n"),
        ("an extension with a delete byte", "3;\u{7f}\r\nabc\r\n0\r\n\r\n"),
        ("more data than stated", "3\r\nabcd\r\n0\r\n\r\n"),
        ("less data than stated", "3\r\nab\r\n0\r\n\r\n"),
        ("data without a line end", "3\r\nabc0\r\n\r\n"),
        ("data with a line feed only", "3\r\nabc\n0\r\n\r\n"),
        ("data with a carriage return only", "3\r\nabc\r0\r\n\r\n"),
        ("another byte instead of a carriage return", "3\r\nabcd\n0\r\n\r\n"),
        ("another byte instead of a line feed", "3\r\nabc\rd0\r\n\r\n"),
        ("an empty line between chunks", "3\r\nabc\r\n\r\n0\r\n\r\n"),
        ("a last chunk that ends in a line feed", "0\n\n"),
        ("a last line that ends in a line feed", "0\r\n\n"),
        ("a last line without a line feed", "0\r\n\rG"),
        ("a request instead of the last line", "0\r\nGET / HTTP/1.1\r\n\r\n"),
        ("a trailer without a colon", "0\r\na\r\n\r\n"),
        ("a trailer without a name", "0\r\n: 1\r\n\r\n"),
        ("a blank before a trailer's colon", "0\r\na : 1\r\n\r\n"),
        ("a folded trailer", "0\r\na: 1\r\n 2\r\n\r\n"),
        ("a trailer with a line feed only", "0\r\na: 1\n\r\n"),
        ("a trailer with a carriage return", "0\r\na: 1\r2\r\n\r\n"),
        ("a trailer with a control byte", "0\r\na: \u{0}\r\n\r\n"),
        ("a longer extension than allowed", &long_extension),
        ("more digits than allowed", &long_size),
        ("a longer trailer name than allowed", &long_trailer_name),
        ("a longer trailer than allowed", &long_trailer),
    ];
    for (note, body) in cases {
        for piece_bytes in [1, 2, 3, 7, usize::MAX] {
            let mut pipeline = pipeline_behind(&chunked_post());
            for piece in body.as_bytes().chunks(piece_bytes) {
                pipeline.push_bytes(piece);
            }
            assert_eq!(view(&pipeline), STOPPED, "{note}, pieces of {piece_bytes}");
            pipeline.push_bytes(get("/next").text.as_bytes());
            assert_eq!(view(&pipeline), STOPPED, "{note}, bytes behind it");
        }
        let mut pipeline = Pipeline::new(BYTES_MAX);
        let post = chunked_post();
        pipeline.push_bytes(format!("{}{body}{}", post.text, get("/next").text).as_bytes());
        assert_eq!(pipeline.match_request(&post.parts), RequestMatch::NotYielded, "{note}");
        assert_eq!(view(&pipeline), STOPPED, "{note}, all at once");
        assert_eq!(yielded_path(&mut pipeline), None, "{note}");
    }
}

#[test]
fn a_chunked_body_is_followed_only_if_its_end_is_unambiguous() {
    const CODING: &str = "transfer-encoding";
    let version = Version::HTTP_11;
    let followed: [(&str, &[(&str, &str)]); 2] =
        [("one coding", CHUNKED), ("other case", &[("Transfer-Encoding", "ChunKED")])];
    for (note, headers) in followed {
        let head = head(&Method::POST, "/c", version, headers);
        assert_eq!(view(&pipeline_behind(&head)), INSIDE, "{note}");
    }
    let ambiguous: [(&str, &[(&str, &str)]); 14] = [
        ("a length besides", &[(CODING, "chunked"), ("content-length", "5")]),
        ("a length of zero before", &[("content-length", "0"), (CODING, "chunked")]),
        ("two headers", &[(CODING, "chunked"), (CODING, "chunked")]),
        ("an empty header before", &[(CODING, ""), (CODING, "chunked")]),
        ("another coding before", &[(CODING, "gzip, chunked")]),
        ("chunked twice", &[(CODING, "chunked, chunked")]),
        ("a list with an empty element", &[(CODING, "chunked,")]),
        ("a parameter", &[(CODING, "chunked;a=b")]),
        ("quotes", &[(CODING, "\"chunked\"")]),
        ("another coding", &[(CODING, "identity")]),
        ("an empty value", &[(CODING, "")]),
        ("a longer word", &[(CODING, "xchunked")]),
        ("a protocol upgrade", &[(CODING, "chunked"), ("upgrade", "x")]),
        ("the caller's last request", &[(CODING, "chunked"), ("connection", "close")]),
    ];
    for (note, headers) in ambiguous {
        let head = head(&Method::POST, "/c", version, headers);
        assert_eq!(view(&pipeline_behind(&head)), STOPPED, "{note}");
    }
    let older = head(&Method::POST, "/c", Version::HTTP_10, CHUNKED);
    assert_eq!(view(&pipeline_behind(&older)), STOPPED, "an older version");
}

#[test]
fn the_bytes_of_a_chunked_body_are_not_kept() {
    let post = chunked_post();
    let mut pipeline = Pipeline::new(200);
    pipeline.push_bytes(post.text.as_bytes());
    assert_eq!(pipeline.match_request(&post.parts), RequestMatch::NotYielded);
    pipeline.push_bytes(format!("800\r\n{}\r\n0\r\n\r\n", "x".repeat(0x800)).as_bytes());
    assert_eq!(view(&pipeline), BETWEEN);
    pipeline.push_bytes(&[b'x'; 200]);
    assert_eq!(view(&pipeline), MORE);
    pipeline.push_bytes(b"x");
    assert_eq!(view(&pipeline), STOPPED);
}

/// Body of a request of a sequence.
#[derive(Debug, Clone)]
enum SentBody {
    Empty,
    Sized(Vec<u8>),
    /// Chunks with their extensions, and the trailers.
    Chunked(Vec<(Vec<u8>, String)>, String),
}

/// Requests of one connection, and the sizes of the pieces in which their bytes arrive.
#[derive(Debug, Clone)]
struct Sequence {
    bodies: Vec<SentBody>,
    cuts: Vec<u8>,
}

fn arbitrary_data(g: &mut Gen) -> Vec<u8> {
    match u8::arbitrary(g) % 4 {
        0 => b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
        1 => vec![b'\r'; usize::from(u8::arbitrary(g))],
        _ => Vec::arbitrary(g),
    }
}

fn arbitrary_body(g: &mut Gen) -> SentBody {
    match u8::arbitrary(g) % 4 {
        0 => SentBody::Sized(arbitrary_data(g)),
        1 | 2 => {
            let extensions = ["", "", ";a", ";a=1;b", " ; a=\"0; x\""];
            let trailers = ["", "", "a: 1\r\n", "a:\r\nx-sum: 0; GET / HTTP/1.1\r\n"];
            let count = usize::arbitrary(g) % 5;
            let mut chunks: Vec<(Vec<u8>, String)> = Vec::new();
            for _ in 0..count {
                let extension = *g.choose(&extensions).expect("an extension");
                chunks.push((arbitrary_data(g), extension.to_owned()));
            }
            // A chunk without data would be the last one.
            chunks.retain(|(data, _)| !data.is_empty());
            let trailer = *g.choose(&trailers).expect("a trailer");
            SentBody::Chunked(chunks, trailer.to_owned())
        }
        _ => SentBody::Empty,
    }
}

impl Arbitrary for Sequence {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 8 + 1;
        let bodies = (0..count).map(|_| arbitrary_body(g)).collect();
        Self { bodies, cuts: Vec::arbitrary(g) }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let shorter = (0..whole.bodies.len()).rev().filter_map(move |removed| {
            let mut sequence = whole.clone();
            sequence.bodies.remove(removed);
            (!sequence.bodies.is_empty()).then_some(sequence)
        });
        Box::new(shorter)
    }
}

impl SentBody {
    fn is_chunked(&self) -> bool {
        matches!(self, Self::Chunked(..))
    }

    /// Whether the request has no body, or one whose stated length is zero.
    fn has_no_bytes(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Sized(data) => data.is_empty(),
            Self::Chunked(..) => false,
        }
    }

    fn head(&self, number: usize) -> Head {
        let path = format!("/{number}");
        match self {
            Self::Empty => get(&path),
            Self::Sized(data) => {
                let length = data.len().to_string();
                let headers = [("host", "a"), ("content-length", length.as_str())];
                head(&Method::POST, &path, Version::HTTP_11, &headers)
            }
            Self::Chunked(chunks, _) => {
                let method = if chunks.len() % 2 == 0 { Method::POST } else { Method::GET };
                head(&method, &path, Version::HTTP_11, CHUNKED)
            }
        }
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        match self {
            Self::Empty => {}
            Self::Sized(data) => bytes.extend_from_slice(data),
            Self::Chunked(chunks, trailer) => {
                for (data, extension) in chunks {
                    bytes.extend_from_slice(format!("{:x}{extension}\r\n", data.len()).as_bytes());
                    bytes.extend_from_slice(data);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(format!("0\r\n{trailer}\r\n").as_bytes());
            }
        }
        bytes
    }
}

/// Replay of a sequence, compared with what is known of its bytes.
struct Replay {
    bodies: Vec<SentBody>,
    heads: Vec<Head>,
    /// Where each head and its body end.
    head_ends: Vec<usize>,
    ends: Vec<usize>,
    bytes: Vec<u8>,
    pipeline: Pipeline,
    arrived: usize,
    /// Number of requests that hyper has parsed.
    parsed: usize,
    next_yielded: usize,
}

impl Replay {
    fn new(bodies: Vec<SentBody>) -> Self {
        let heads: Vec<Head> =
            bodies.iter().enumerate().map(|(number, body)| body.head(number)).collect();
        let (mut bytes, mut head_ends, mut ends) = (Vec::new(), Vec::new(), Vec::new());
        for (head, body) in heads.iter().zip(&bodies) {
            bytes.extend_from_slice(head.text.as_bytes());
            head_ends.push(bytes.len());
            bytes.extend(body.bytes());
            ends.push(bytes.len());
        }
        Self {
            bodies,
            heads,
            head_ends,
            ends,
            bytes,
            pipeline: Pipeline::new(BYTES_MAX),
            arrived: 0,
            parsed: 0,
            next_yielded: 0,
        }
    }

    fn is_complete(&self) -> bool {
        self.arrived == self.bytes.len() && self.parsed == self.heads.len()
    }

    fn push(&mut self, size: usize) {
        let piece: Range<usize> = self.arrived..(self.arrived + size).min(self.bytes.len());
        self.pipeline.push_bytes(&self.bytes[piece.clone()]);
        self.arrived = piece.end;
    }

    fn can_parse(&self) -> bool {
        self.head_ends.get(self.parsed).is_some_and(|end| self.arrived >= *end)
    }

    fn parse(&mut self) {
        let matched = self.pipeline.match_request(&self.heads[self.parsed].parts);
        let is_yielded = self.parsed < self.next_yielded;
        let expected = if is_yielded { RequestMatch::Yielded } else { RequestMatch::NotYielded };
        assert_eq!(matched, expected);
        self.parsed += 1;
        self.next_yielded = self.next_yielded.max(self.parsed);
    }

    /// Whether the next request follows the current one without a body in between that keeps it
    /// from being yielded.
    fn is_yield_expected(&self) -> bool {
        let Some(current) = self.parsed.checked_sub(1) else { return false };
        let is_complete = self.ends.get(self.next_yielded).is_some_and(|end| self.arrived >= *end);
        is_complete
            && !self.bodies[current].is_chunked()
            && self.bodies[self.parsed..=self.next_yielded].iter().all(SentBody::has_no_bytes)
    }

    fn check(&mut self) {
        while self.is_yield_expected() {
            let path = format!("/{}", self.next_yielded);
            assert_eq!(yielded_path(&mut self.pipeline), Some(path));
            self.next_yielded += 1;
        }
        assert_eq!(yielded_path(&mut self.pipeline), None);
        let end = self.parsed.checked_sub(1).map_or(0, |current| self.ends[current]);
        let expected = View {
            has_more: self.arrived > end,
            is_between_requests: self.arrived >= end,
            is_stopped: false,
        };
        assert_eq!(view(&self.pipeline), expected);
    }
}

/// Replays a sequence; hyper parses a request at some time after its head has arrived.
fn replay(sequence: &Sequence) {
    let mut replay = Replay::new(sequence.bodies.clone());
    let mut cuts = sequence.cuts.iter().copied().cycle();
    while !replay.is_complete() {
        let cut = usize::from(cuts.next().unwrap_or(50));
        replay.push(cut % 64 + 1);
        replay.check();
        let is_last_piece = replay.arrived == replay.bytes.len();
        while replay.can_parse() && (cut.is_multiple_of(3) || is_last_piece) {
            replay.parse();
            replay.check();
        }
    }
}

/// Bytes behind the head of a chunked request, and the sizes of the pieces in which they arrive.
#[derive(Debug, Clone)]
struct RandomBody {
    bytes: Vec<u8>,
    cuts: Vec<u8>,
}

impl Arbitrary for RandomBody {
    fn arbitrary(g: &mut Gen) -> Self {
        let parts: [&[u8]; 12] = [
            b"0",
            b"1",
            b"2",
            b"\r\n",
            b"\r\n",
            b"\r",
            b"\n",
            b";",
            b":",
            b"a",
            b" ",
            b"0\r\n\r\n",
        ];
        let is_any = u8::arbitrary(g) % 4 == 0;
        let mut bytes = Vec::new();
        for _ in 0..usize::arbitrary(g) % 64 {
            if is_any {
                bytes.push(u8::arbitrary(g));
            } else {
                bytes.extend_from_slice(g.choose(&parts).expect("a part"));
            }
        }
        Self { bytes, cuts: Vec::arbitrary(g) }
    }
}

quickcheck! {
    /// Checks at every point of a random sequence of requests that bytes behind the current request
    /// are counted exactly if they have arrived, and that nothing is yielded behind a chunked
    /// request before hyper has parsed its successor.
    fn bytes_behind_the_current_request_are_counted(sequence: Sequence) -> bool {
        replay(&sequence);
        true
    }

    /// Checks that random bytes never panic, and that the pieces in which they arrive do not matter.
    fn random_bytes_behind_a_chunked_head_are_read_alike_in_pieces(body: RandomBody) -> bool {
        let mut whole = pipeline_behind(&chunked_post());
        whole.push_bytes(&body.bytes);
        let mut pieces = pipeline_behind(&chunked_post());
        let mut rest = body.bytes.as_slice();
        let mut cuts = body.cuts.iter().cycle();
        while !rest.is_empty() {
            let size = usize::from(cuts.next().copied().unwrap_or(0) % 8 + 1).min(rest.len());
            pieces.push_bytes(&rest[..size]);
            rest = &rest[size..];
        }
        let mut buffered = Pipeline::new(BYTES_MAX);
        let post = chunked_post();
        buffered.push_bytes(&[post.text.as_bytes(), &body.bytes].concat());
        buffered.match_request(&post.parts);
        let views = [view(&whole), view(&pieces), view(&buffered)];
        views.iter().all(|other| *other == views[0])
            && [whole, pieces, buffered].iter_mut().all(|pipeline| {
                yielded_path(pipeline).is_none()
            })
    }

    /// Checks that random bytes never panic, with and without a head before them.
    fn random_bytes_do_not_panic(pieces: Vec<(bool, Vec<u8>)>) -> bool {
        let post = chunked_post();
        let mut pipeline = Pipeline::new(200);
        for (has_head, piece) in pieces {
            if has_head {
                pipeline.push_bytes(post.text.as_bytes());
            }
            pipeline.push_bytes(&piece);
            pipeline.match_request(&post.parts);
            let _ = yielded_path(&mut pipeline);
        }
        true
    }
}
