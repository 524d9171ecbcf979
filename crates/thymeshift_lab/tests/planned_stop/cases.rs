//! Cases of planned stops and idle timeouts, each with the order of events that it forces.

use crate::forced::Case;
use crate::forced::Step;
use crate::forced::read_of;
use crate::forced::write_of;

pub(crate) const READ_1: &str = "GET /r?nonce=1&bytes=20 HTTP/1.1\r\nhost: x\r\n\r\n";
pub(crate) const READ_1_PATH: &str = "/r?nonce=1&bytes=20";
const READ_2: &str = "GET /r?nonce=2&bytes=20 HTTP/1.1\r\nhost: x\r\n\r\n";
pub(crate) const READ_2_PATH: &str = "/r?nonce=2&bytes=20";
const READ_3: &str = "GET /r?nonce=3&bytes=20 HTTP/1.1\r\nhost: x\r\n\r\n";
const READ_3_PATH: &str = "/r?nonce=3&bytes=20";
const READ_LARGE: &str = "GET /r?nonce=4&bytes=1000000 HTTP/1.1\r\nhost: x\r\n\r\n";
const READ_LARGE_PATH: &str = "/r?nonce=4&bytes=1000000";
const WRITE_1: &str =
    "POST /w?nonce=5&bytes=20 HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n\r\nabcdef";
const WRITE_1_HEAD: &str =
    "POST /w?nonce=5&bytes=20 HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n\r\n";
const WRITE_1_EXPECT: &str = "POST /w?nonce=5&bytes=20 HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n\
                              expect: 100-continue\r\n\r\n";
const WRITE_1_PATH: &str = "/w?nonce=5&bytes=20";
const WRITE_2: &str = "POST /w?nonce=6&bytes=20 HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\ngh";
const WRITE_2_PATH: &str = "/w?nonce=6&bytes=20";
const WRITE_CHUNKED: &str = "POST /w?nonce=7&bytes=20 HTTP/1.1\r\nhost: x\r\n\
                             transfer-encoding: chunked\r\n\r\n2\r\ngh\r\n0\r\n\r\n";
const WRITE_CHUNKED_PATH: &str = "/w?nonce=7&bytes=20";

/// Connections that wait to be accepted when the process stops accepting, or come later.
pub(crate) const ACCEPT_QUEUE: &[Case] = &[
    Case {
        name: "c1 accept queue",
        note: "connected and sent while suspended; the lag passes",
        service_ms: 1,
        steps: &[Step::Stop, Step::Suspend, Step::Connect, Step::Send(READ_1), Step::Resume],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "c2 connect after accepting ended",
        note: "a request in progress holds the process; a caller connects and sends",
        service_ms: 1_500,
        steps: &[Step::Hold, Step::Stop, Step::AwaitClosing, Step::Connect, Step::Send(READ_1)],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: true,
    },
];

/// Requests that arrive on open connections around the moment at which the process closes them.
pub(crate) const OPEN_CONNECTIONS: &[Case] = &[
    Case {
        name: "a1 idle, request during the lag",
        note: "served one request; the next arrives while suspended, the lag passes, both are seen",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Serve,
            Step::Stop,
            Step::Suspend,
            Step::Send(READ_1),
            Step::Resume,
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "a2 idle, two signals at once",
        note: "the second signal, which skips the lag, and the request arrive while suspended",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Serve,
            Step::Stop,
            Step::Suspend,
            Step::Terminate,
            Step::Send(READ_1),
            Step::Resume,
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "b1 fresh, request during the lag",
        note: "accepted, no byte read; the request arrives while suspended",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Wait(50),
            Step::Stop,
            Step::Suspend,
            Step::Send(READ_1),
            Step::Resume,
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "b2 fresh, two signals at once",
        note: "as a2, on a connection without an earlier request",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Wait(50),
            Step::Stop,
            Step::Suspend,
            Step::Terminate,
            Step::Send(READ_1),
            Step::Resume,
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "b3 fresh, connected in the lag",
        note: "the request arrives together with the second signal, right after the connection",
        service_ms: 1,
        steps: &[
            Step::Stop,
            Step::Connect,
            Step::Suspend,
            Step::Terminate,
            Step::Send(READ_1),
            Step::Resume,
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "b5 fresh, request after closing began",
        note: "connected in the lag; the request follows when the process closes connections",
        service_ms: 1,
        steps: &[
            Step::Stop,
            Step::Wait(50),
            Step::Connect,
            Step::AwaitClosing,
            Step::Wait(50),
            Step::Send(READ_1),
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: true,
    },
    Case {
        name: "d1 head in two parts, idle",
        note: "the first part is read before the stop, the rest after closing began",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Serve,
            Step::Send("GET /r?nonce=1&bytes=20 HTTP/1.1\r\nho"),
            Step::Wait(20),
            Step::Stop,
            Step::AwaitClosing,
            Step::Wait(20),
            Step::Send("st: x\r\n\r\n"),
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "d2 head in two parts, fresh",
        note: "as d1, as the first request of its connection",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Send("GET /r?nonce=1&bytes=20 HTTP/1.1\r\nho"),
            Step::Wait(20),
            Step::Stop,
            Step::AwaitClosing,
            Step::Wait(20),
            Step::Send("st: x\r\n\r\n"),
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "d3 head in two parts, first byte only",
        note: "as d2, with the protocol not detected by the bytes that arrived",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Send("P"),
            Step::Wait(20),
            Step::Stop,
            Step::AwaitClosing,
            Step::Wait(20),
            Step::Send(
                "OST /w?nonce=5&bytes=20 HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n\r\nabcdef",
            ),
        ],
        expected: &[write_of(WRITE_1_PATH, "abcdef")],
        may_refuse: false,
    },
    Case {
        name: "d4 body in pieces",
        note: "the head is read before the stop, the body comes in two pieces after closing began",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Serve,
            Step::Send(WRITE_1_HEAD),
            Step::Wait(20),
            Step::Stop,
            Step::AwaitClosing,
            Step::Send("abc"),
            Step::Wait(50),
            Step::Send("def"),
        ],
        expected: &[write_of(WRITE_1_PATH, "abcdef")],
        may_refuse: false,
    },
    Case {
        name: "d5 body in pieces, first piece while suspended",
        note: "as d4, with the head and the first piece arriving while suspended",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Serve,
            Step::Stop,
            Step::Suspend,
            Step::Send(WRITE_1_HEAD),
            Step::Send("abc"),
            Step::Resume,
            Step::Wait(50),
            Step::Send("def"),
        ],
        expected: &[write_of(WRITE_1_PATH, "abcdef")],
        may_refuse: false,
    },
    Case {
        name: "d6 expectation",
        note: "a head with `expect: 100-continue` is read before the stop, the body comes after it",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Serve,
            Step::Send(WRITE_1_EXPECT),
            Step::Wait(20),
            Step::Stop,
            Step::AwaitClosing,
            Step::Send("abcdef"),
        ],
        expected: &[write_of(WRITE_1_PATH, "abcdef")],
        may_refuse: false,
    },
    Case {
        name: "e1 row of safe requests",
        note: "the first is in progress; two more arrive while suspended, the lag passes",
        service_ms: 300,
        steps: &[
            Step::Connect,
            Step::Send(READ_1),
            Step::Wait(50),
            Step::Stop,
            Step::Suspend,
            Step::SendBeforeAnswer(READ_2),
            Step::SendBeforeAnswer(READ_3),
            Step::Resume,
        ],
        expected: &[read_of(READ_1_PATH, 20), read_of(READ_2_PATH, 20), read_of(READ_3_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "e2 row of unsafe requests",
        note: "as e1, with unsafe requests, whose row is not read ahead",
        service_ms: 300,
        steps: &[
            Step::Connect,
            Step::Send(WRITE_1),
            Step::Wait(50),
            Step::Stop,
            Step::Suspend,
            Step::SendBeforeAnswer(WRITE_2),
            Step::SendBeforeAnswer(READ_3),
            Step::Resume,
        ],
        expected: &[
            write_of(WRITE_1_PATH, "abcdef"),
            write_of(WRITE_2_PATH, "gh"),
            read_of(READ_3_PATH, 20),
        ],
        may_refuse: false,
    },
    Case {
        name: "e3 row behind an unsafe request, after closing began",
        note: "the second and third request arrive in two steps while the first is in progress",
        service_ms: 400,
        steps: &[
            Step::Connect,
            Step::Send(WRITE_1),
            Step::Stop,
            Step::AwaitClosing,
            Step::SendBeforeAnswer(WRITE_2),
            Step::Wait(50),
            Step::SendBeforeAnswer(READ_3),
        ],
        expected: &[
            write_of(WRITE_1_PATH, "abcdef"),
            write_of(WRITE_2_PATH, "gh"),
            read_of(READ_3_PATH, 20),
        ],
        may_refuse: false,
    },
    Case {
        name: "e4 row behind a safe request, after closing began",
        note: "as e3, with safe requests only",
        service_ms: 400,
        steps: &[
            Step::Connect,
            Step::Send(READ_1),
            Step::Stop,
            Step::AwaitClosing,
            Step::SendBeforeAnswer(READ_2),
            Step::Wait(50),
            Step::SendBeforeAnswer(READ_3),
        ],
        expected: &[read_of(READ_1_PATH, 20), read_of(READ_2_PATH, 20), read_of(READ_3_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "e5 row whose last request arrives with the first answer",
        note: "the answer of the first and the arrival of the second happen while suspended",
        service_ms: 250,
        steps: &[
            Step::Connect,
            Step::Send(WRITE_1),
            Step::Wait(20),
            Step::Stop,
            Step::Suspend,
            Step::Wait(150),
            Step::SendBeforeAnswer(READ_2),
            Step::Resume,
        ],
        expected: &[write_of(WRITE_1_PATH, "abcdef"), read_of(READ_2_PATH, 20)],
        may_refuse: false,
    },
];

/// Requests behind a chunked request on the same connection.
pub(crate) const BEHIND_CHUNKED: &[Case] = &[
    Case {
        name: "d7 head in two parts behind a chunked request",
        note: "as d1, where the connection has served a request that ends the parsing ahead",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Send(WRITE_CHUNKED),
            Step::Wait(50),
            Step::Send("GET /r?nonce=1&bytes=20 HTTP/1.1\r\nho"),
            Step::Wait(20),
            Step::Stop,
            Step::AwaitClosing,
            Step::Wait(20),
            Step::Send("st: x\r\n\r\n"),
        ],
        expected: &[write_of(WRITE_CHUNKED_PATH, "gh"), read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "e6 row behind a chunked request",
        note: "the second request arrives long before the stop, while the first is in progress",
        service_ms: 400,
        steps: &[
            Step::Connect,
            Step::Send(WRITE_CHUNKED),
            Step::Wait(50),
            Step::SendBeforeAnswer(READ_2),
            Step::Wait(50),
            Step::Stop,
        ],
        expected: &[write_of(WRITE_CHUNKED_PATH, "gh"), read_of(READ_2_PATH, 20)],
        may_refuse: false,
    },
];

/// Answers that are being sent while bytes behind their request arrive.
pub(crate) const ANSWERS_IN_PROGRESS: &[Case] = &[
    Case {
        name: "g1 large answer to a slow caller, next request unread",
        note: "the answer is being sent when the next request arrives; closing begins",
        service_ms: 1,
        steps: &[
            Step::ConnectSlow,
            Step::Send(READ_LARGE),
            Step::Wait(50),
            Step::Stop,
            Step::Suspend,
            Step::Send(READ_2),
            Step::Resume,
        ],
        expected: &[read_of(READ_LARGE_PATH, 1_000_000), read_of(READ_2_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "g2 large answer begun during the lag, next request unread",
        note: "the answer with `connection: close` is being sent when the next request arrives",
        service_ms: 1,
        steps: &[
            Step::ConnectSlow,
            Step::Serve,
            Step::Stop,
            Step::Send(READ_LARGE),
            Step::Wait(50),
            Step::Send(READ_2),
        ],
        expected: &[read_of(READ_LARGE_PATH, 1_000_000)],
        may_refuse: false,
    },
];

/// Requests that arrive before an idle timeout and are not read when it passes.
pub(crate) const IDLE_TIMEOUTS: &[Case] = &[
    Case {
        name: "h1 idle timeout, keep-alive",
        note: "outside a stop: the request arrives while suspended, the idle timer fires meanwhile",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Serve,
            Step::Wait(380),
            Step::Suspend,
            Step::Send(READ_1),
            Step::Resume,
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "h2 idle timeout, fresh",
        note: "as h1, before the first request",
        service_ms: 1,
        steps: &[Step::Connect, Step::Wait(380), Step::Suspend, Step::Send(READ_1), Step::Resume],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
    Case {
        name: "h3 idle timeout, half a head",
        note: "the first half is read shortly before the idle time ends, the rest while suspended",
        service_ms: 1,
        steps: &[
            Step::Connect,
            Step::Serve,
            Step::Wait(420),
            Step::Send("GET /r?nonce=1&bytes=20 HTTP/1.1\r\nho"),
            Step::Wait(20),
            Step::Suspend,
            Step::Send("st: x\r\n\r\n"),
            Step::ResumeAfter(120),
        ],
        expected: &[read_of(READ_1_PATH, 20)],
        may_refuse: false,
    },
];
