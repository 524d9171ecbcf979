//! How targets are divided into groups, and where a request goes that finds no room.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use thymeshift_allocation::Group;
use thymeshift_allocation::GroupHeadroom;
use thymeshift_allocation::Grouping;
use thymeshift_config::Target;
use thymeshift_config::TargetState;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

fn hall(name: &str) -> DataHallName {
    DataHallName::new(name).expect("a name")
}

fn group(name: &str) -> Group {
    Group::Hall(hall(name))
}

/// Targets in halls `a`, `b` and so on, as many as `counts` says, and leaving ones in `a`.
fn targets(counts: &[usize], leaving: usize) -> Vec<Target> {
    let target = |name: String, hall_name: &str, state| Target {
        name: TargetName::new(&name).expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        data_hall: hall(hall_name),
        incarnation: Incarnation::default(),
        state,
        cold_for_ms: None,
    };
    let mut all = Vec::new();
    for (hall_name, count) in ["a", "b", "c", "d"].iter().zip(counts) {
        let names = (0..*count).map(|number| format!("{hall_name}-{number}"));
        all.extend(names.map(|name| target(name, hall_name, TargetState::Serving)));
    }
    let names = (0..leaving).map(|number| format!("leaving-{number}"));
    all.extend(names.map(|name| target(name, "a", TargetState::Leaving)));
    all
}

#[test]
fn only_services_with_many_targets_in_each_hall_are_divided() {
    struct Case {
        note: &'static str,
        counts: &'static [usize],
        leaving: usize,
        groups: usize,
    }
    let cases = [
        Case { note: "no target", counts: &[], leaving: 0, groups: 1 },
        Case { note: "few in each hall", counts: &[3, 2, 2, 3], leaving: 0, groups: 1 },
        Case { note: "many, but in one hall", counts: &[90], leaving: 0, groups: 1 },
        Case { note: "eight in each in the mean", counts: &[4, 12, 8], leaving: 0, groups: 3 },
        Case { note: "one less", counts: &[4, 12, 7], leaving: 0, groups: 1 },
        Case { note: "leaving ones do not count", counts: &[4, 12, 7], leaving: 9, groups: 1 },
    ];
    for Case { note, counts, leaving, groups } in cases {
        let targets = targets(counts, leaving);
        let grouping = Grouping::of(&targets, |_| false);
        assert_eq!(grouping.iter().count(), groups, "{note}");
        assert_eq!(grouping.is_divided(), groups > 1, "{note}");
        for target in targets.iter().filter(|target| target.state == TargetState::Serving) {
            let holding = grouping.iter().filter(|group| group.contains(target)).count();
            assert_eq!(holding, 1, "{note}: {} is in one group", target.name);
        }
    }
}

#[test]
fn a_request_goes_to_its_own_hall_or_is_spread_by_size() {
    let grouping = Grouping::of(&targets(&[10, 30], 0), |_| false);
    for draw in 0..40 {
        assert_eq!(*grouping.preferred_group(&hall("b"), draw), group("b"));
    }
    let from_elsewhere = (0..4_000).filter(|draw| {
        let first = grouping.preferred_group(&hall("z"), *draw);
        *first == group("a")
    });
    assert_eq!(from_elsewhere.count(), 1_000, "a quarter of the targets is in a");
}

#[test]
fn no_more_requests_are_sent_on_than_there_is_room_for() {
    let now = Timestamp::from_millis(5_000);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut rooms = GroupHeadroom::default();
    rooms.record(group("a"), 50, now);
    rooms.record(group("b"), 12, now);
    rooms.record(group("c"), 4, now);
    rooms.record(group("d"), 0, now);
    let mut taken: BTreeMap<Group, u32> = BTreeMap::new();
    while let Some(group) = rooms.reserve(&group("a"), now, &mut rng) {
        *taken.entry(group).or_default() += 1;
    }
    assert_eq!(taken, BTreeMap::from([(group("b"), 12), (group("c"), 4)]), "not its own");
    rooms.record(group("b"), 1, now);
    let late = now + Duration::from_secs(3);
    assert_eq!(rooms.reserve(&group("a"), late, &mut rng), None, "what was told has aged");
}

#[test]
fn a_drained_hall_is_in_no_group_and_its_callers_go_to_the_others() {
    struct Case {
        note: &'static str,
        drained: &'static [&'static str],
        groups: &'static [&'static str],
    }
    let cases = [
        Case { note: "none", drained: &[], groups: &["a", "b", "c"] },
        Case { note: "one", drained: &["b"], groups: &["a", "c"] },
        Case { note: "all but one", drained: &["a", "b"], groups: &["all"] },
        Case { note: "one that has no targets", drained: &["z"], groups: &["a", "b", "c"] },
    ];
    let targets = targets(&[10, 10, 10], 0);
    for Case { note, drained, groups } in cases {
        let grouping = Grouping::of(&targets, |hall| drained.contains(&hall.as_str()));
        let found: Vec<String> = grouping.iter().map(ToString::to_string).collect();
        assert_eq!(found, groups, "{note}");
        for draw in 0..100 {
            let first = grouping.preferred_group(&hall("b"), draw);
            assert!(groups.contains(&first.to_string().as_str()), "{note}: {first}");
        }
    }
}

#[test]
fn another_group_is_drawn_by_size_and_never_the_same() {
    let grouping = Grouping::of(&targets(&[10, 10, 30], 0), |_| false);
    let mut drawn: BTreeMap<Group, u32> = BTreeMap::new();
    for draw in 0..4_000 {
        let other = grouping.alternative_group(&group("a"), draw).expect("there are two others");
        *drawn.entry(other.clone()).or_default() += 1;
    }
    assert_eq!(drawn, BTreeMap::from([(group("b"), 1_000), (group("c"), 3_000)]));
    let single = Grouping::of(&targets(&[9], 0), |_| false);
    assert_eq!(single.alternative_group(&Group::All, 1), None);
}
