//! Tests of invalid settings and configurations: each mistake is reported with its location,
//! the value found and the value expected, and all mistakes of a text are reported at once.

use thymeshift_config::Configuration;
use thymeshift_config::Settings;
use thymeshift_config::TEXT_BYTES_MAX;

const SETTINGS: &str = "vm: entry-01
data_hall: a
caller_address: 127.0.0.1:8080
peer_address: 127.0.0.1:8081
control_address: 127.0.0.1:8082
observe_address: 127.0.0.1:8083
platform_address: 127.0.0.1:7000
";

const CONFIGURATION: &str = "entry_vms_max: 4
data_halls: [a, b]
services:
  - name: calc
    slots_per_target: 3
    connections_per_target: 40
    targets:
      - { name: c1, address: 127.0.0.1:1, data_hall: a }
      - { name: c2, address: 127.0.0.1:2, data_hall: b }
kinds:
  - name: lookup
    match: { methods: [GET], path_prefix: /t }
    service: calc
    priority: 1
    deadline_ms: 400
    repeat: safe
";

/// Change to a valid text and the mistake that it must cause.
struct Case {
    name: &'static str,
    replace: &'static str,
    with: &'static str,
    mistake: &'static str,
}

fn check(cases: &[Case], valid: &str, parse: fn(&str) -> Result<(), String>) {
    assert_eq!(parse(valid), Ok(()), "the valid text");
    for case in cases {
        assert!(valid.contains(case.replace), "{}: nothing to replace", case.name);
        let invalid = valid.replacen(case.replace, case.with, 1);
        let mistakes = parse(&invalid).expect_err(case.name);
        assert!(mistakes.contains(case.mistake), "{}: {mistakes}", case.name);
    }
}

const SETTINGS_CASES: [Case; 15] = [
    Case {
        name: "missing field",
        replace: "vm: entry-01\n",
        with: "",
        mistake: "line 1, column 1: vm: found nothing, expected the field 'vm'",
    },
    Case {
        name: "unknown field",
        replace: "data_hall: a",
        with: "data_hall: a\ncaler_address: x",
        mistake: "line 3, column 1: caler_address: found the unknown field 'caler_address', \
                  expected a known field (did you mean 'caller_address'?)",
    },
    Case {
        name: "host name in place of an IP number",
        replace: "127.0.0.1:8080",
        with: "localhost:8080",
        mistake: "line 3, column 17: caller_address: found 'localhost:8080', expected an IP \
                  number and port",
    },
    Case {
        name: "port out of range",
        replace: "127.0.0.1:8081",
        with: "127.0.0.1:80810",
        mistake: "line 4, column 15: peer_address",
    },
    Case {
        name: "name with a space",
        replace: "entry-01",
        with: "entry 01",
        mistake: "found 'entry 01', expected a name holds only a-z",
    },
    Case {
        name: "empty name",
        replace: "vm: entry-01",
        with: "vm: ''",
        mistake: "a name must not be empty",
    },
    Case {
        name: "unknown keyword",
        replace: "data_hall: a",
        with: "data_hall: a\nlog_level: loud",
        mistake: "found 'loud', expected one of: error, warn, info, debug",
    },
    Case {
        name: "number out of range",
        replace: "data_hall: a",
        with: "data_hall: a\nworker_threads: 5000",
        mistake: "found '5000', expected a number from 0 to 1024",
    },
    Case {
        name: "negative number",
        replace: "data_hall: a",
        with: "data_hall: a\nstop_bound_ms: -1",
        mistake: "found '-1', expected a whole number",
    },
    Case {
        name: "fraction out of range",
        replace: "data_hall: a",
        with: "data_hall: a\nretry_ratio_max: 1.5",
        mistake: "retry_ratio_max: found '1.5', expected a number from 0 to 1",
    },
    Case {
        name: "text in place of a fraction",
        replace: "data_hall: a",
        with: "data_hall: a\nstop_grace_s: soon",
        mistake: "stop_grace_s: found 'soon', expected a number",
    },
    Case {
        name: "text in place of a truth value",
        replace: "data_hall: a",
        with: "data_hall: a\nfair_callers: often",
        mistake: "fair_callers: found 'often', expected true or false",
    },
    Case {
        name: "text in place of a list",
        replace: "data_hall: a",
        with: "data_hall: a\npeers: 127.0.0.1:1",
        mistake: "peers: found '127.0.0.1:1', expected a list",
    },
    Case {
        name: "field twice",
        replace: "data_hall: a",
        with: "data_hall: a\ndata_hall: b",
        mistake: "line 3, column 1: (top): found 'data_hall' a second time",
    },
    Case {
        name: "not YAML",
        replace: "data_hall: a",
        with: "data_hall: [a",
        mistake: "text that is not YAML",
    },
];

#[test]
fn settings() {
    check(&SETTINGS_CASES, SETTINGS, |text| {
        Settings::parse(text).map(|_| ()).map_err(|mistakes| mistakes.to_string())
    });
}

const CONFIGURATION_CASES: [Case; 20] = [
    Case {
        name: "quoted number",
        replace: "entry_vms_max: 4",
        with: "entry_vms_max: '4'",
        mistake: "line 1, column 16: entry_vms_max: found '4', expected a whole number",
    },
    Case {
        name: "no list",
        replace: "data_halls: [a, b]",
        with: "data_halls: a",
        mistake: "data_halls: found 'a', expected a list",
    },
    Case {
        name: "data hall twice",
        replace: "[a, b]",
        with: "[a, b, a]",
        mistake: "data_halls[2]: found 'a' a second time, expected a unique name",
    },
    Case {
        name: "unknown data hall",
        replace: "data_hall: b",
        with: "data_hall: z",
        mistake: "line 9, column 54: services[0].targets[1].data_hall: found 'z', expected a \
                  name from data_halls",
    },
    Case {
        name: "wait for a home target out of range",
        replace: "data_halls: [a, b]",
        with: "hall_crossing_us_per_kib: 1000001\ndata_halls: [a, b]",
        mistake: "line 2, column 27: hall_crossing_us_per_kib: found '1000001', expected a number \
                  from 0 to 1000000",
    },
    Case {
        name: "target twice",
        replace: "name: c2",
        with: "name: c1",
        mistake: "services[0].targets[1].name: found 'c1' a second time",
    },
    Case {
        name: "no slots",
        replace: "slots_per_target: 3",
        with: "slots_per_target: 0",
        mistake: "services[0].slots_per_target: found '0', expected a number from 1",
    },
    Case {
        name: "fewer connections than VMs",
        replace: "connections_per_target: 40",
        with: "connections_per_target: 3",
        mistake: "expected at least one connection for each of 4 entry VMs",
    },
    Case {
        name: "budget without probe",
        replace: "slots_per_target: 3",
        with: "slots_per_target: 3\n    measuring_budget_us_per_s: 100",
        mistake: "found '100' without a probe",
    },
    Case {
        name: "unknown strategy",
        replace: "slots_per_target: 3",
        with: "slots_per_target: 3\n    strategy: best",
        mistake: "found 'best', expected one of: random",
    },
    Case {
        name: "probe without cost",
        replace: "slots_per_target: 3",
        with: "slots_per_target: 3\n    probe: { path: /p }",
        mistake: "services[0].probe.cost_us: found nothing",
    },
    Case {
        name: "unknown service",
        replace: "service: calc",
        with: "service: calk",
        mistake: "line 13, column 14: kinds[0].service: found 'calk', expected a service",
    },
    Case {
        name: "priority out of range",
        replace: "priority: 1",
        with: "priority: 10",
        mistake: "found '10', expected a number from 1 to 9",
    },
    Case {
        name: "wait beyond deadline",
        replace: "deadline_ms: 400",
        with: "deadline_ms: 400\n    wait_max_ms: 500",
        mistake: "found '500', expected at most deadline_ms (400)",
    },
    Case {
        name: "hedge of an unsafe kind",
        replace: "repeat: safe",
        with: "repeat: unsafe\n    hedge_after_ms: 5",
        mistake: "expected 0: an unsafe kind runs once",
    },
    Case {
        name: "repeat left out",
        replace: "    repeat: safe\n",
        with: "",
        mistake: "kinds[0].repeat: found nothing, expected the field 'repeat'",
    },
    Case {
        name: "path without slash",
        replace: "path_prefix: /t",
        with: "path_prefix: t",
        mistake: "expected a path that starts with /",
    },
    Case {
        name: "alias",
        replace: "data_halls: [a, b]",
        with: "data_halls: &x [a, b]\nlimits: *x",
        mistake: "found an alias, expected the value itself",
    },
    Case {
        name: "tag",
        replace: "entry_vms_max: 4",
        with: "entry_vms_max: !!int 4",
        mistake: "found a tag",
    },
    Case {
        name: "second document",
        replace: "entry_vms_max: 4",
        with: "a: 1\n---\nentry_vms_max: 4",
        mistake: "found a second document",
    },
];

#[test]
fn configuration() {
    check(&CONFIGURATION_CASES, CONFIGURATION, |text| {
        Configuration::parse(text).map(|_| ()).map_err(|mistakes| mistakes.to_string())
    });
}

#[test]
fn all_mistakes_are_reported_at_once() {
    let invalid = CONFIGURATION
        .replace("entry_vms_max: 4", "entry_vms_max: x")
        .replace("priority: 1", "priority: 0")
        .replace("data_hall: b", "data_hal: b");
    let mistakes = Configuration::parse(&invalid).expect_err("three mistakes");
    let fields: Vec<&str> =
        mistakes.listed().iter().map(|mistake| mistake.field.as_str()).collect();
    let expected = [
        "entry_vms_max",
        "services[0].targets[1].data_hall",
        "services[0].targets[1].data_hal",
        "kinds[0].priority",
    ];
    assert_eq!(fields, expected);
}

#[test]
fn texts_that_are_no_configuration_are_refused() {
    let long = format!("# {}\n{CONFIGURATION}", "x".repeat(TEXT_BYTES_MAX));
    let deep = format!("services: {}1{}", "[".repeat(60), "]".repeat(60));
    let cases = [
        ("empty", "", "an empty text"),
        ("a list", "[1, 2]", "found a list of 2, expected a map"),
        ("too long", long.as_str(), "expected at most 8388608 bytes"),
        ("too deep", deep.as_str(), "nesting too deep"),
        ("a list as key", "? [a]\n: 1", "a list or map as a key"),
    ];
    for (name, text, expected) in cases {
        let mistakes = Configuration::parse(text).expect_err(name).to_string();
        assert!(mistakes.contains(expected), "{name}: {mistakes}");
    }
}
