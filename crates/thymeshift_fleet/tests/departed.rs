//! Targets that a restored copy of the source lists although they have left.

use std::time::Duration;

use thymeshift_fleet::DepartedTargets;
use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

/// Change of the list of targets, with its time in seconds where it counts.
#[derive(Clone, Copy)]
enum Event {
    /// The target leaves the list.
    Leaves(u64),
    /// A list of the same history contains the incarnation, or does not contain the target.
    Listed(Option<u64>),
    /// The first list of a restored copy contains the incarnation, or does not contain the target.
    Restored(u64, Option<u64>),
}

#[test]
fn an_entry_that_a_copy_brings_back_is_withheld_until_it_has_outlived_silence() {
    struct Case {
        note: &'static str,
        events: &'static [Event],
        /// Time of the question in seconds.
        at: u64,
        is_withheld: bool,
    }
    use Event::Leaves;
    use Event::Listed;
    use Event::Restored;
    let cases = [
        Case { note: "never left", events: &[Restored(10, Some(3))], at: 10, is_withheld: false },
        Case {
            note: "left, listed by the copy",
            events: &[Leaves(8), Restored(10, Some(3))],
            at: 10,
            is_withheld: true,
        },
        Case {
            note: "still listed",
            events: &[Leaves(8), Restored(10, Some(3)), Listed(Some(3))],
            at: 12,
            is_withheld: true,
        },
        Case {
            note: "not removed",
            events: &[Leaves(8), Restored(10, Some(3))],
            at: 16,
            is_withheld: false,
        },
        Case {
            note: "removed, then written",
            events: &[Leaves(8), Restored(10, Some(3)), Listed(None), Listed(Some(3))],
            at: 13,
            is_withheld: false,
        },
        Case {
            note: "a later incarnation",
            events: &[Leaves(8), Restored(10, Some(4))],
            at: 10,
            is_withheld: false,
        },
        Case {
            note: "an earlier incarnation",
            events: &[Leaves(8), Restored(10, Some(2))],
            at: 10,
            is_withheld: true,
        },
        Case {
            note: "written again before the copy",
            events: &[Leaves(8), Listed(Some(3)), Restored(10, Some(3))],
            at: 10,
            is_withheld: false,
        },
        Case {
            note: "left long ago",
            events: &[Leaves(8), Restored(80, Some(3))],
            at: 80,
            is_withheld: false,
        },
        Case {
            note: "restored twice",
            events: &[Leaves(8), Restored(10, Some(3)), Restored(13, Some(3))],
            at: 17,
            is_withheld: true,
        },
        Case {
            note: "restored twice, missing in the second copy",
            events: &[Leaves(8), Restored(10, Some(3)), Restored(13, None)],
            at: 13,
            is_withheld: false,
        },
    ];
    let at = |seconds: u64| Timestamp::from_millis(seconds * 1_000);
    let name = TargetName::new("t").expect("a name");
    for Case { note, events, at: asked_at, is_withheld } in cases {
        let mut departed = DepartedTargets::default();
        let listed = |incarnation: Option<u64>| {
            incarnation.map(|number| (&name, Incarnation::new(number))).into_iter()
        };
        for event in events {
            match *event {
                Leaves(when) => departed.record((&name, Incarnation::new(3)), at(when)),
                Listed(incarnation) => departed.record_listed(listed(incarnation)),
                Restored(when, incarnation) => {
                    departed.record_restored(listed(incarnation), at(when));
                }
            }
        }
        assert_eq!(departed.is_withheld(&name, at(asked_at)), is_withheld, "{note}");
        departed.end_doubts(at(asked_at) + Duration::from_secs(6));
        assert!(!departed.withholds_any(), "{note}: every doubt ends");
    }
}
