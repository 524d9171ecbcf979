//! Tests that the limits of the platform, which the settings state, override the configuration.

use std::time::Duration;

use thymeshift_config::Configuration;
use thymeshift_config::Settings;

const SETTINGS: &str = include_str!("../../../examples/tariff/settings.yaml");
const CONFIGURATION: &str = include_str!("../../../examples/tariff/configuration.yaml");

fn settings(added: &str) -> Settings {
    let text = format!("{SETTINGS}\n{added}\n");
    Settings::parse(&text).unwrap_or_else(|mistakes| panic!("{added}: {mistakes}"))
}

#[test]
fn a_stop_ends_before_the_platform_kills_the_process() {
    struct Case {
        note: &'static str,
        added: &'static str,
        wait_ms: u64,
    }
    let cases = [
        Case { note: "no limit stated", added: "", wait_ms: 60_000 },
        Case { note: "empty field", added: "stop_grace_s:", wait_ms: 60_000 },
        Case { note: "ten seconds", added: "stop_grace_s: 10", wait_ms: 4_300 },
        Case { note: "a fraction", added: "stop_grace_s: 6.5", wait_ms: 800 },
        Case {
            note: "longer than the configured bound",
            added: "stop_grace_s: 900",
            wait_ms: 60_000,
        },
        Case { note: "shorter than the lag", added: "stop_grace_s: 2", wait_ms: 0 },
    ];
    for Case { note, added, wait_ms } in cases {
        let settings = settings(added);
        assert_eq!(settings.stop_readiness_lag_ms, 5_000, "the example's lag");
        assert_eq!(settings.stop_wait(), Duration::from_millis(wait_ms), "{note}");
    }
}

#[test]
fn retries_and_probes_stay_within_the_limits_of_the_platform() {
    struct Case {
        note: &'static str,
        added: &'static str,
        retry_percent_max: u64,
        probes_per_s_max: u64,
    }
    let cases = [
        Case {
            note: "few retries",
            added: "retry_ratio_max: 0.05",
            retry_percent_max: 4,
            probes_per_s_max: 10_000,
        },
        Case {
            note: "no retries",
            added: "retry_ratio_max: 0",
            retry_percent_max: 0,
            probes_per_s_max: 10_000,
        },
        Case {
            note: "few probes",
            added: "probes_per_target_s_max: 3",
            retry_percent_max: 100,
            probes_per_s_max: 3,
        },
    ];
    let configured = Configuration::parse(CONFIGURATION).expect("the example");
    for Case { note, added, retry_percent_max, probes_per_s_max } in cases {
        let capped = configured.clone().capped(&settings(added));
        for (service, before) in capped.services.iter().zip(&configured.services) {
            let percent = before.retry_budget_percent.min(retry_percent_max);
            assert_eq!(service.retry_budget_percent, percent, "{note}: {}", service.name);
            let Some(probe) = &service.probe else { continue };
            let budget_us_max =
                before.measuring_budget_us_per_s.min(probes_per_s_max * probe.cost_us);
            assert_eq!(
                service.measuring_budget_us_per_s, budget_us_max,
                "{note}: {}",
                service.name
            );
        }
        assert_ne!(capped, configured, "{note}: the example exceeds the limit");
    }
}
