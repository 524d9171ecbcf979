//! Crowds of connections that a planned stop closes while requests arrive on them.

use rustix::process::Signal;
use thymeshift_lab::standin::expected_answer;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cases::READ_1;
use crate::cases::READ_1_PATH;
use crate::forced::Missed;
use crate::forced::SETUP_ATTEMPTS;
use crate::forced::SUSPENDED;
use crate::forced::answers;
use crate::forced::has_begun_closing;
use crate::forced::is_closed;
use crate::forced::read_to_end;
use crate::forced::serve_one;
use crate::forced::start_with_head_timeout;
use crate::forced::stop;
use crate::forced::suspend;
use crate::support::LIMIT;

/// Caller connections of a crowd: closing them takes longer than suspending the process.
const CONNECTIONS: usize = 400;
/// Minimum number of requests sent on open connections for a valid run.
const SENT_MIN: usize = 20;

/// Connections of a crowd before the stop.
pub(crate) struct Crowd {
    name: &'static str,
    /// Whether each connection has served a request.
    has_served: bool,
    /// Whether the process is suspended while the requests are sent.
    is_suspended: bool,
}

pub(crate) const CROWDS: &[Crowd] = &[
    Crowd { name: "a3 idle connections, suspended", has_served: true, is_suspended: true },
    Crowd { name: "b4 fresh connections, suspended", has_served: false, is_suspended: true },
    Crowd { name: "j1 idle connections, crossing", has_served: true, is_suspended: false },
    Crowd { name: "j2 fresh connections, crossing", has_served: false, is_suspended: false },
];

/// Runs a crowd, again if the process had closed most connections before a request was sent.
/// Returns what was wrong, or none.
pub(crate) async fn crowd_failure(crowd: &Crowd) -> Option<String> {
    for _ in 0..SETUP_ATTEMPTS {
        if let Ok(failure) = run_crowd(crowd).await {
            return failure;
        }
    }
    Some(format!("{}: not forced in {SETUP_ATTEMPTS} attempts\n", crowd.name))
}

/// Sends a request on each connection of a crowd that is still open while the process closes them.
pub(crate) async fn run_crowd(crowd: &Crowd) -> Result<Option<String>, Missed> {
    let (_stand_in, mut single) = start_with_head_timeout(1, LIMIT).await;
    let caller = single.entry.address("caller").expect("an address");
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.push(TcpStream::connect(caller).await.expect("a connection"));
    }
    if crowd.has_served {
        for stream in &mut streams {
            serve_one(stream).await;
        }
    }
    single.entry.signal(Signal::TERM);
    while !has_begun_closing(&single) {
        tokio::task::yield_now().await;
    }
    if crowd.is_suspended {
        suspend(&single).await?;
    }
    let mut callers = JoinSet::new();
    let mut open_count = 0;
    for mut stream in streams {
        if is_closed(&stream) {
            continue;
        }
        // A failed write shows in the check after it.
        let _ = stream.write_all(READ_1.as_bytes()).await;
        // Only a request that had arrived before the close must be answered. On loopback, a
        // connection that is open after the write was open when the bytes arrived.
        if is_closed(&stream) {
            continue;
        }
        open_count += 1;
        callers.spawn(async move {
            let mut bytes = Vec::new();
            let end = read_to_end(&mut stream, &mut bytes, LIMIT).await;
            let is_answered = answers(&bytes) == [expected_answer(READ_1_PATH, b"", 20)];
            (is_answered, String::from_utf8_lossy(&bytes).into_owned(), end)
        });
    }
    single.entry.signal(Signal::CONT);
    let mut lost = Vec::new();
    while let Some(seen) = callers.join_next().await {
        let (is_answered, text, end) = seen.expect("no panic");
        if !is_answered {
            lost.push((text, end));
        }
    }
    timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
    if open_count < SENT_MIN {
        return Err(Missed);
    }
    let log = single.log().unwrap_or_default();
    let listener = log.lines().find(|line| line.contains("event=accepting_stopped"));
    let unread = log.lines().filter(|line| line.contains("unread_bytes=45"));
    let without_answer = lost.iter().filter(|(text, _)| text.is_empty()).count();
    let summary = format!(
        "{}: {} lost ({without_answer} without a byte) of {open_count} sent on open connections, with most bytes {:?}; {} logged as closed unread\n    {}\n    {}\n",
        crowd.name,
        lost.len(),
        lost.iter().max_by_key(|(text, _)| text.len()),
        unread.clone().count(),
        listener.unwrap_or_default(),
        unread.clone().next().unwrap_or_default()
    );
    eprintln!("{summary}");
    Ok((!lost.is_empty()).then_some(summary))
}

/// Returns what was wrong with the crowds that lost requests; empty if none did.
pub(crate) async fn crowd_failures() -> String {
    let mut failures = String::new();
    for crowd in CROWDS {
        failures.extend(crowd_failure(crowd).await);
    }
    failures
}

/// Returns what was wrong with a crowd that connects and sends its requests while the process is
/// suspended across the end of accepting; none if nothing was.
pub(crate) async fn accept_queue_crowd_failure() -> Option<String> {
    for _ in 0..SETUP_ATTEMPTS {
        if let Ok(failure) = run_accept_queue_crowd().await {
            return failure;
        }
    }
    Some(format!("crowd in the accept queue: not forced in {SETUP_ATTEMPTS} attempts\n"))
}

async fn run_accept_queue_crowd() -> Result<Option<String>, Missed> {
    let (_stand_in, mut single) = start_with_head_timeout(1, LIMIT).await;
    let caller = single.entry.address("caller").expect("an address");
    stop(&single).await;
    suspend(&single).await?;
    if has_begun_closing(&single) {
        return Err(Missed);
    }
    let mut callers = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(caller).await.expect("a connection");
        stream.write_all(READ_1.as_bytes()).await.expect("sent");
        callers.spawn(async move {
            let mut bytes = Vec::new();
            read_to_end(&mut stream, &mut bytes, LIMIT).await;
            answers(&bytes) == [expected_answer(READ_1_PATH, b"", 20)]
        });
    }
    sleep(SUSPENDED).await;
    single.entry.signal(Signal::CONT);
    let answered = callers.join_all().await.into_iter().filter(|is_answered| *is_answered).count();
    timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
    Ok((answered < CONNECTIONS)
        .then(|| format!("crowd in the accept queue: {answered} of {CONNECTIONS} answered\n")))
}
