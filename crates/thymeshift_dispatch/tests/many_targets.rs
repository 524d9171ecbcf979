//! Applying a long list of targets takes time linear in the length of the list, not quadratic.

mod support;

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use support::local_hall;
use support::report;
use support::target_name;
use thymeshift_config::Configuration;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Dispatcher;
use thymeshift_types::Timestamp;

const TARGETS: usize = 15_000;
/// Upper bound on the run time. Far above 10 ms per 1,000 targets and list change, and far below the
/// minute that comparing every target with every other one takes in an unoptimised build.
const RUN_TIME_MAX: Duration = Duration::from_secs(8);
const START: Timestamp = Timestamp::from_millis(1_000);

/// Configuration of one service with the targets `from..to`.
fn configuration(from: usize, to: usize) -> Configuration {
    let mut text = String::from(
        "entry_vms_max: 4\ndata_halls: [a]\nservices:\n- name: s\n  connections_per_target: 80\n  \
         targets:\n",
    );
    for index in from..to {
        let (high, low) = (index / 250, index % 250);
        let _ =
            writeln!(text, "  - {{name: t{index}, address: '10.1.{high}.{low}:80', data_hall: a}}");
    }
    text.push_str("kinds: []\n");
    Configuration::parse(&text).unwrap_or_else(|mistakes| panic!("{mistakes}"))
}

#[test]
fn a_long_target_list_is_applied_and_changed_within_the_limit() {
    let (before, after) = (configuration(0, TARGETS), configuration(100, TARGETS + 100));
    let started_at = Instant::now();
    let mut dispatcher: Dispatcher<AnyStrategy> =
        Dispatcher::configured(&before, &before.services[0], &local_hall(), START);
    for step in 0..4 {
        let configuration = if step % 2 == 0 { &after } else { &before };
        dispatcher.reconfigure(configuration, &configuration.services[0], &local_hall(), START);
    }
    for index in 100..TARGETS {
        dispatcher.record_probe(&target_name(index), report(0, 0), START);
    }
    let taken = started_at.elapsed();
    assert!(taken < RUN_TIME_MAX, "{taken:?}");
    assert_eq!(dispatcher.probe_targets(START).count(), TARGETS);
    assert!(dispatcher.index_of(&target_name(0)).is_some());
    assert!(dispatcher.index_of(&target_name(TARGETS)).is_none());
}
