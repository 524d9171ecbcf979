//! Fuzz tests of the parsers of untrusted input: each input is either parsed or refused, without a
//! panic and without a hang.
//!
//! The tests parse sample texts and datagrams with random changes. The seed is fixed in CI.
//! `THYMESHIFT_FUZZ_SECONDS=60 cargo test -p thymeshift_lab --test strangers` runs for 60 seconds
//! with a random seed, which the message of a failure contains.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use thymeshift_allocation::Group;
use thymeshift_allocation::LeaseGrant;
use thymeshift_config::Configuration;
use thymeshift_config::Discovery;
use thymeshift_config::Settings;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Member;
use thymeshift_fleet::Phase;
use thymeshift_types::Capacity;
use thymeshift_types::DataHallName;
use thymeshift_types::Reason;
use thymeshift_types::TargetName;
use thymeshift_types::VmName;
use thymeshift_wire::AllocatorAddress;
use thymeshift_wire::Datagram;
use thymeshift_wire::Heads;
use thymeshift_wire::LeaseNumber;
use thymeshift_wire::Message;
use thymeshift_wire::SourceHeartbeat;

const SEED: u64 = 20_261_202;
/// Minimum number of changed inputs that each test parses.
const ROUNDS: usize = 300;
/// Maximum number of changes to one sample.
const CHANGES_MAX: usize = 4;
/// Maximum time to parse one input; a longer time counts as a hang.
const PARSE_LIMIT: Duration = Duration::from_secs(2);
/// Syntax fragments of YAML, which are inserted into the samples.
const FRAGMENTS: [&str; 16] = [
    "- ",
    ": ",
    "\n",
    "\"",
    "'",
    "[",
    "]",
    "{",
    "}",
    "&a",
    "*a",
    "|",
    "\t",
    "\u{0}",
    "9999999999999",
    "!!binary ",
];

/// Calls `read` with randomly changed samples, at least [`ROUNDS`] times and for as long as
/// `THYMESHIFT_FUZZ_SECONDS` requires. Fails on a panic or a hang.
fn read_changed(samples: &[Vec<u8>], read: impl Fn(&[u8])) {
    let seconds = std::env::var("THYMESHIFT_FUZZ_SECONDS").ok().and_then(|text| text.parse().ok());
    let (seed, until) = match seconds {
        Some(seconds) => (rand::rng().random(), Instant::now() + Duration::from_secs(seconds)),
        None => (SEED, Instant::now()),
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut rounds = 0;
    while rounds < ROUNDS || Instant::now() < until {
        let changed = change(samples.choose(&mut rng).expect("a sample"), &mut rng);
        let begun = Instant::now();
        let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| read(&changed)));
        let text = String::from_utf8_lossy(&changed);
        assert!(ended.is_ok(), "seed {seed}, round {rounds} panics: {text}");
        assert!(begun.elapsed() < PARSE_LIMIT, "seed {seed}, round {rounds} hangs: {text}");
        rounds += 1;
    }
    println!("{rounds} inputs parsed, seed {seed}");
}

fn change(sample: &[u8], rng: &mut SmallRng) -> Vec<u8> {
    let mut bytes = sample.to_vec();
    for _ in 0..rng.random_range(1..=CHANGES_MAX) {
        let at = rng.random_range(0..=bytes.len());
        match rng.random_range(0..5) {
            0 => bytes.truncate(at),
            1 => bytes.insert(at, rng.random()),
            2 => {
                let fragment = FRAGMENTS.choose(rng).copied().unwrap_or_default();
                bytes.splice(at..at, fragment.bytes());
            }
            3 => {
                let end = rng.random_range(at..=bytes.len());
                bytes.drain(at..end.min(at + 40));
            }
            _ => {
                let end = bytes.len().min(at + rng.random_range(0..60));
                let copied = bytes[at..end].to_vec();
                let to = rng.random_range(0..=bytes.len());
                bytes.splice(to..to, copied);
            }
        }
    }
    bytes
}

fn example(name: &str) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[test]
fn settings_and_configurations() {
    let samples = [
        example("tariff/settings.yaml"),
        example("tariff/configuration.yaml"),
        example("agency/configuration.yaml"),
        b"- {service: s, name: t, address: '10.0.0.1:80', data_hall: a, state: serving}\n".to_vec(),
    ];
    read_changed(&samples, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        let mistakes = [
            Settings::parse(&text).err(),
            Configuration::parse(&text).err(),
            Discovery::parse(&text).err(),
        ];
        for mistakes in mistakes.into_iter().flatten() {
            assert!(!mistakes.to_string().is_empty(), "an error has a message");
        }
    });
}

#[test]
fn operator_commands() {
    let samples = [
        "show targets where service = calculator and load > 2 sort by age",
        "show kinds where not (priority < 3) or retries >= 9 limit 3",
        "drain target calculator/t1 for 10 minutes",
        "explain GET /tariffs/compare",
    ];
    let samples: Vec<Vec<u8>> = samples.iter().map(|line| line.as_bytes().to_vec()).collect();
    read_changed(&samples, |bytes| {
        if let Err(mistake) = thymeshift_query::parse(&String::from_utf8_lossy(bytes)) {
            assert!(!mistake.to_string().is_empty(), "an error has a message");
        }
    });
}

#[test]
fn datagrams_of_peers() {
    let target = TargetName::new("t-1").expect("a name");
    let heads = Heads { configuration: None, targets: None };
    let address = "10.0.0.1:7000".parse().expect("an address");
    let vm = VmName::new("vm-2").expect("a name");
    let data_hall = DataHallName::new("hall-1").expect("a name");
    let group = Group::Hall(data_hall.clone());
    let allocator = AllocatorAddress { vm: vm.clone(), address };
    let member = Member {
        vm: vm.clone(),
        boot: Boot::new(3),
        heartbeat: 9,
        peer_address: address,
        control_address: address,
        datagram_address: Some(address),
        data_hall: data_hall.clone(),
        capacity: Capacity::default(),
        phase: Phase::Serving,
        revision: None,
    };
    let heartbeat =
        SourceHeartbeat { reader: vm, is_answered: true, heads, data_hall, peer_address: address };
    let messages = [
        Message::Waiting(LeaseNumber(7)),
        Message::Granted(LeaseNumber(7), LeaseGrant { target, concurrency: 3, rate_limit: None }),
        Message::Refused(LeaseNumber(8), Reason::QueueFull, Duration::from_millis(40)),
        Message::SourceHeartbeat(heartbeat),
        Message::News(heads),
        Message::Redirected(LeaseNumber(9), group, allocator),
        Message::AskInstead(LeaseNumber(10), member.clone()),
        Message::Phase(member),
    ];
    let samples = messages.map(|message| {
        let sender = VmName::new("vm-1").expect("a name");
        Datagram { sender, boot: Boot::new(1), message }.encode().expect("a datagram")
    });
    read_changed(&samples, |bytes| {
        if let Ok(datagram) = Datagram::decode(bytes) {
            assert!(datagram.encode().is_ok(), "a decoded datagram can be encoded");
        }
    });
}
