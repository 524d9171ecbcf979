//! Quarantine of requests that crash targets: which crashes count,
//! and that the order of messages does not matter.

use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Crash;
use thymeshift_fleet::CrashId;
use thymeshift_fleet::Quarantine;
use thymeshift_fleet::SuspectReport;
use thymeshift_fleet::Verdict;
use thymeshift_types::Fingerprint;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

/// Time at which the verdict is checked unless a case states another time.
const NOW: Timestamp = Timestamp::from_millis(10_000_000);
const GUILTY: Fingerprint = Fingerprint::from_bytes([7; 16]);

fn fingerprint(number: u32) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&number.to_be_bytes());
    Fingerprint::from_bytes(bytes)
}

/// Creates a run that began `began_ago_ms` before `NOW` and crashed its target
/// `ended_ago_ms` before `NOW`.
fn crash(number: u64, began_ago_ms: u64, ended_ago_ms: u64) -> Crash {
    let vm = VmName::new("vm-1").expect("a name");
    Crash {
        id: CrashId { vm, boot: Boot::new(1), number },
        service: ServiceName::new("s").expect("a name"),
        target: TargetName::new(&format!("t-{number}")).expect("a name"),
        incarnation: Incarnation::new(1),
        began_ago_ms,
        ended_ago_ms,
    }
}

#[test]
fn crashes_count_in_a_row_and_answers_clear() {
    struct Case {
        name: &'static str,
        /// Runs that crashed their targets, as start and end in milliseconds before `NOW`.
        runs_ms: &'static [(u64, u64)],
        answered_ago_ms: Option<u64>,
        refused_for: Option<Duration>,
    }
    let cases = [
        Case {
            name: "one crash",
            runs_ms: &[(1_000, 900)],
            answered_ago_ms: None,
            refused_for: None,
        },
        Case {
            name: "two consecutive crashes",
            runs_ms: &[(1_000, 900), (890, 800)],
            answered_ago_ms: None,
            refused_for: Some(Duration::from_millis(2_200)),
        },
        Case {
            name: "six at the same time, as when a rack loses power",
            runs_ms: &[(1_000, 900), (990, 900), (980, 899), (970, 901), (960, 900), (905, 898)],
            answered_ago_ms: None,
            refused_for: None,
        },
        Case {
            name: "three consecutive crashes, reported in another order",
            runs_ms: &[(500, 400), (1_000, 900), (890, 800)],
            answered_ago_ms: None,
            refused_for: Some(Duration::from_millis(299_600)),
        },
        Case {
            name: "four consecutive crashes",
            runs_ms: &[(1_000, 900), (890, 800), (500, 400), (300, 0)],
            answered_ago_ms: None,
            refused_for: Some(Duration::from_mins(10)),
        },
        Case {
            name: "concurrent copies, and one more crash after them",
            runs_ms: &[(1_000, 900), (990, 890), (880, 800)],
            answered_ago_ms: None,
            refused_for: Some(Duration::from_millis(299_200)),
        },
        Case {
            name: "two crashes, with an answer in between",
            runs_ms: &[(1_000, 900), (500, 400)],
            answered_ago_ms: Some(600),
            refused_for: None,
        },
        Case {
            name: "three crashes, then an answer",
            runs_ms: &[(1_000, 900), (890, 800), (500, 400)],
            answered_ago_ms: Some(300),
            refused_for: None,
        },
        Case {
            name: "two crashes after the answer",
            runs_ms: &[(2_000, 1_900), (1_000, 900), (500, 400)],
            answered_ago_ms: Some(1_500),
            refused_for: Some(Duration::from_millis(2_600)),
        },
        Case {
            name: "two crashes long ago",
            runs_ms: &[(61_000, 60_900), (60_500, 60_000)],
            answered_ago_ms: None,
            refused_for: None,
        },
    ];
    for Case { name, runs_ms, answered_ago_ms, refused_for } in cases {
        let mut quarantine = Quarantine::default();
        let runs = runs_ms.iter().zip(0..);
        let crashes = runs.map(|((began, ended), number)| crash(number, *began, *ended)).collect();
        quarantine.merge(&SuspectReport { fingerprint: GUILTY, crashes, answered_ago_ms }, NOW);
        let left = match quarantine.verdict(GUILTY, NOW) {
            Verdict::Refused(left) => Some(left),
            Verdict::Free | Verdict::Suspected => None,
        };
        assert_eq!(left, refused_for, "{name}");
    }
}

/// Crashes and answers of one request, and an order in which their reports
/// are delivered, some repeatedly.
#[derive(Debug, Clone)]
struct History {
    crashes: Vec<(u64, u64)>,
    answers: Vec<u64>,
    order: Vec<usize>,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let ago = |g: &mut Gen| u64::from(u16::arbitrary(g) % 2_000);
        let crashes = (0..u8::arbitrary(g) % 6).map(|_| {
            let ended = ago(g);
            (ended + ago(g) % 200, ended)
        });
        let crashes = crashes.collect::<Vec<_>>();
        let answers = (0..u8::arbitrary(g) % 3).map(|_| ago(g)).collect::<Vec<_>>();
        let count = crashes.len() + answers.len();
        let order = (0..count * 3).map(|_| usize::arbitrary(g) % count.max(1)).collect();
        Self { crashes, answers, order }
    }
}

impl History {
    fn reports(&self) -> Vec<SuspectReport> {
        let crashes = self.crashes.iter().zip(0..).map(|((began, ended), number)| SuspectReport {
            fingerprint: GUILTY,
            crashes: vec![crash(number, *began, *ended)],
            answered_ago_ms: None,
        });
        let answers = self.answers.iter().map(|ago| SuspectReport {
            fingerprint: GUILTY,
            crashes: Vec::new(),
            answered_ago_ms: Some(*ago),
        });
        crashes.chain(answers).collect()
    }
}

/// Guards against verdicts that depend on lost, delayed, duplicated or relayed messages:
/// every process that has received all reports reaches the same verdict.
#[test]
fn the_order_and_number_of_messages_do_not_matter() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands values over")]
    fn property(history: History) -> bool {
        let reports = history.reports();
        let mut in_order = Quarantine::default();
        for report in &reports {
            in_order.merge(report, NOW);
        }
        let mut shuffled = Quarantine::default();
        let mut relay = Quarantine::default();
        for index in &history.order {
            relay.merge(&reports[*index], NOW);
            if let Some(relayed) = relay.report(GUILTY, NOW) {
                shuffled.merge(&relayed, NOW);
            }
        }
        // Reports that were never drawn are delivered at the end.
        for report in reports.iter().rev() {
            shuffled.merge(report, NOW);
        }
        shuffled.verdict(GUILTY, NOW) == in_order.verdict(GUILTY, NOW)
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(History) -> bool);
}

/// A caller that crashes targets with ever new requests neither exhausts memory nor evicts
/// a request that is currently refused.
#[test]
fn many_suspects_do_not_evict_one_that_is_refused() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(GUILTY, &crash(0, 1_000, 900), NOW);
    quarantine.record_crash(GUILTY, &crash(1, 890, 800), NOW);
    for number in 0..5_000 {
        quarantine.record_crash(fingerprint(number), &crash(u64::from(number) + 2, 700, 600), NOW);
    }
    assert!(quarantine.len() <= 1_024, "{} suspects", quarantine.len());
    assert!(matches!(quarantine.verdict(GUILTY, NOW), Verdict::Refused(_)));
}

#[test]
fn a_request_that_is_let_through_again_and_crashes_another_target_is_refused_for_longer() {
    let mut quarantine = Quarantine::default();
    let mut now = NOW;
    let mut refused_for = Vec::new();
    for number in 0..6 {
        quarantine.record_crash(GUILTY, &crash(number, 50, 0), now);
        match quarantine.verdict(GUILTY, now) {
            Verdict::Refused(left) => {
                refused_for.push(left.as_secs());
                now = now + left + Duration::from_secs(1);
            }
            Verdict::Free | Verdict::Suspected => now = now + Duration::from_secs(1),
        }
        quarantine.forget_old(now);
    }
    assert_eq!(refused_for, [3, 300, 600, 1_200, 2_400]);
}

#[test]
fn suspects_are_forgotten_in_the_end() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(GUILTY, &crash(0, 1_000, 900), NOW);
    quarantine.forget_old(NOW + Duration::from_mins(59));
    assert_eq!(quarantine.verdict(GUILTY, NOW + Duration::from_mins(59)), Verdict::Suspected);
    quarantine.forget_old(NOW + Duration::from_hours(2));
    assert!(quarantine.is_empty());
}
