//! Short soaks over real processes with fixed seeds, including all seeds that have failed before,
//! and tests of the soak's own parts.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use thymeshift_lab::experiment::PostFaultLoad;
use thymeshift_lab::experiment::ProcessorTime;
use thymeshift_lab::experiment::SoakPlan;
use thymeshift_lab::experiment::TempFolder;
use thymeshift_lab::experiment::draw_faults;
use thymeshift_lab::experiment::soak;
use thymeshift_lab::experiment::tariff_configuration;
use thymeshift_lab::load::CallResult;
use thymeshift_lab::load::KindResult;
use thymeshift_lab::load::LoadResult;
use thymeshift_lab::standin::Proxy;
use thymeshift_lab::standin::ProxyMode;
use thymeshift_types::Outcome;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Soak that CI runs.
struct Case {
    /// Faults that the seed covers, or the cause of its earlier failure.
    note: &'static str,
    seed: u64,
    entries: usize,
    seconds: u64,
}

/// Cause of the failures of seeds 34, 37, 43 and 46: a request was reported as not run because its
/// last attempt did not run, although an earlier attempt had begun at a target.
const LAST_ATTEMPT_DECIDED: &str = "reported as not run, but an earlier attempt ran";

const CASES: [Case; 10] = [
    Case { note: "planned operations only", seed: 3, entries: 3, seconds: 4 },
    Case { note: "any fault", seed: 4, entries: 3, seconds: 4 },
    Case { note: "any fault, rate-limited targets", seed: 5, entries: 4, seconds: 9 },
    Case {
        note: "planned operations only, rate-limited targets",
        seed: 15,
        entries: 4,
        seconds: 9,
    },
    Case { note: "any fault, targets that leave or refuse", seed: 7, entries: 4, seconds: 9 },
    Case {
        note: "planned operations only, targets that leave or refuse",
        seed: 12,
        entries: 4,
        seconds: 9,
    },
    Case { note: LAST_ATTEMPT_DECIDED, seed: 34, entries: 4, seconds: 6 },
    Case { note: LAST_ATTEMPT_DECIDED, seed: 37, entries: 4, seconds: 6 },
    Case { note: LAST_ATTEMPT_DECIDED, seed: 43, entries: 4, seconds: 6 },
    Case { note: LAST_ATTEMPT_DECIDED, seed: 46, entries: 4, seconds: 6 },
];
/// Time within which no byte may arrive while the proxy withholds answers.
const NO_ANSWER_WAIT: Duration = Duration::from_millis(150);
const LIMIT: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn the_promises_hold_under_seeded_faults() {
    for Case { note, seed, entries, seconds } in CASES {
        let folder = TempFolder::new().expect("a folder");
        let duration = Duration::from_secs(seconds);
        let plan = SoakPlan { seed, entries, duration, folder: folder.path().to_owned() };
        let run = soak(plan).await.unwrap_or_else(|error| panic!("{note}: seed {seed}: {error}"));
        assert!(run.is_clean(), "{note}: {run}");
    }
}

/// Returns the results of a kind with these numbers of requests answered, reported as not run and
/// reported as possibly run.
fn results(name: &str, answered: usize, not_run: usize, unknown: usize) -> KindResult {
    let mut kind = KindResult::new(name);
    let counts = [
        (CallResult::Answered, answered),
        (CallResult::Outcome(Outcome::NotRun), not_run),
        (CallResult::Outcome(Outcome::Unknown), unknown),
    ];
    for (result, count) in counts {
        for _ in 0..count {
            kind.record(format!("{name}-{}", kind.sent), result, Duration::from_millis(9), 100);
        }
    }
    kind
}

#[test]
fn a_starved_machine_excuses_refused_look_ups_and_nothing_else() {
    struct Case {
        note: &'static str,
        pressure: f64,
        /// Numbers of look-ups answered, reported as not run and reported as possibly run.
        look_ups: (usize, usize, usize),
        /// The same numbers for price sheets, which must be answered even on a starved machine.
        price_sheets: (usize, usize, usize),
        is_served: bool,
    }
    const ALL: (usize, usize, usize) = (100, 0, 0);
    const REFUSED: (usize, usize, usize) = (70, 30, 0);
    let case = |note, pressure, look_ups, price_sheets, is_served| Case {
        note,
        pressure,
        look_ups,
        price_sheets,
        is_served,
    };
    let cases = [
        case("all answered", 0.1, ALL, ALL, true),
        case("all answered, starved", 0.9, ALL, ALL, true),
        case("refused with processors to spare", 0.5, REFUSED, ALL, false),
        case("refused, starved", 0.8, REFUSED, ALL, true),
        case("price sheets refused, starved", 0.8, REFUSED, (90, 10, 0), false),
        case("price sheets alone refused, starved", 0.8, ALL, REFUSED, false),
        case("look-ups lost, starved", 0.8, (70, 29, 1), ALL, false),
    ];
    let configuration = tariff_configuration().expect("the example");
    for Case { note, pressure, look_ups, price_sheets, is_served } in cases {
        let (answered, not_run, unknown) = look_ups;
        let look_ups = results("tariff-lookup", answered, not_run, unknown);
        let (answered, not_run, unknown) = price_sheets;
        let price_sheets = results("price-sheet", answered, not_run, unknown);
        let result =
            LoadResult { kinds: vec![look_ups, price_sheets], elapsed: Duration::from_secs(2) };
        let closing = PostFaultLoad::new(result, &configuration.kinds, pressure);
        assert_eq!(closing.is_served(), is_served, "{note}");
    }
}

#[test]
fn cpu_pressure_is_the_waiting_share_of_the_runnable_time() {
    let time = |ran_ms, waited_ms| ProcessorTime {
        ran: Duration::from_millis(ran_ms),
        waited: Duration::from_millis(waited_ms),
    };
    let cases = [
        ("nothing to do", time(5, 5), time(5, 5), 0.0),
        ("never waited", time(5, 5), time(25, 5), 0.0),
        ("waited as long as it ran", time(5, 5), time(25, 25), 0.5),
        ("never ran", time(5, 5), time(5, 25), 1.0),
    ];
    for (note, before, after, pressure) in cases {
        assert!((after.pressure_since(before) - pressure).abs() < 1e-9, "{note}");
    }
    let before = ProcessorTime::of([std::process::id()].into_iter()).expect("own time");
    let until = std::time::Instant::now() + Duration::from_millis(30);
    while std::time::Instant::now() < until {
        std::hint::spin_loop();
    }
    let after = ProcessorTime::of([std::process::id()].into_iter()).expect("own time");
    assert!(after.ran + after.waited > before.ran + before.waited, "{before:?} {after:?}");
}

#[test]
fn a_seed_draws_the_same_faults_again_and_a_planned_only_run_planned_work_alone() {
    let draw = |seed, is_planned_only| {
        draw_faults(
            &mut SmallRng::seed_from_u64(seed),
            4,
            30,
            Duration::from_secs(20),
            is_planned_only,
        )
    };
    for seed in 0..20 {
        let faults = draw(seed, false);
        assert_eq!(faults, draw(seed, false), "seed {seed}");
        assert!(faults.len() > 20, "seed {seed}: {} faults", faults.len());
        assert!(faults.iter().any(|timed| !timed.fault.is_planned()), "seed {seed}");
        assert!(faults.is_sorted_by_key(|timed| timed.at), "seed {seed}");
        assert!(draw(seed, true).iter().all(|timed| timed.fault.is_planned()), "seed {seed}");
    }
}

/// Starts a server that echoes all bytes that it receives.
async fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

#[tokio::test]
async fn the_proxy_disturbs_connections_according_to_its_mode() {
    struct Case {
        mode: ProxyMode,
        /// Whether an echo arrives while the mode is set.
        is_answered: bool,
        /// Whether the missing echo arrives on the same connection after the mode has ended.
        is_delivered_later: bool,
    }
    let delay = ProxyMode::Delay(Duration::from_millis(20));
    let cases = [
        Case { mode: ProxyMode::Pass, is_answered: true, is_delivered_later: false },
        Case { mode: delay, is_answered: true, is_delivered_later: false },
        Case { mode: ProxyMode::Silent, is_answered: false, is_delivered_later: true },
        Case { mode: ProxyMode::AnswersLost, is_answered: false, is_delivered_later: false },
        Case { mode: ProxyMode::Reset, is_answered: false, is_delivered_later: false },
    ];
    for Case { mode, is_answered, is_delivered_later } in cases {
        let proxy = Proxy::start(echo().await).await.expect("a proxy");
        let mut stream = TcpStream::connect(proxy.address).await.expect("a connection");
        let mut answer = [0; 4];
        stream.write_all(b"ping").await.expect("sent");
        timeout(LIMIT, stream.read_exact(&mut answer)).await.expect("in time").expect("an echo");
        proxy.set_mode(mode);
        tokio::time::sleep(Duration::from_millis(20)).await;
        let sent = stream.write_all(b"pong").await;
        let got = timeout(NO_ANSWER_WAIT, stream.read_exact(&mut answer)).await;
        assert_eq!(matches!(got, Ok(Ok(_))), is_answered, "{mode}: {sent:?} {got:?}");
        proxy.set_mode(ProxyMode::Pass);
        if !is_answered {
            let got = timeout(NO_ANSWER_WAIT, stream.read_exact(&mut answer)).await;
            assert_eq!(matches!(got, Ok(Ok(_))), is_delivered_later, "{mode}, later: {got:?}");
        }
    }
}
