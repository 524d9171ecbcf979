//! Tests that the example settings and configurations are valid without changes.

use thymeshift_config::Configuration;
use thymeshift_config::Settings;

struct Example {
    name: &'static str,
    settings: &'static str,
    configuration: &'static str,
    targets: &'static [(&'static str, usize)],
}

const EXAMPLES: [Example; 2] = [
    Example {
        name: "tariff",
        settings: include_str!("../../../examples/tariff/settings.yaml"),
        configuration: include_str!("../../../examples/tariff/configuration.yaml"),
        targets: &[("calculator", 10), ("switching", 8), ("archive", 20)],
    },
    Example {
        name: "agency",
        settings: include_str!("../../../examples/agency/settings.yaml"),
        configuration: include_str!("../../../examples/agency/configuration.yaml"),
        targets: &[("roster", 7), ("signup", 6), ("directory", 14)],
    },
];

#[test]
fn examples_are_valid_and_have_the_sizes_of_the_deployments() {
    for example in EXAMPLES {
        let name = example.name;
        Settings::parse(example.settings).unwrap_or_else(|mistakes| panic!("{name}: {mistakes}"));
        let configuration = Configuration::parse(example.configuration)
            .unwrap_or_else(|mistakes| panic!("{name}: {mistakes}"));
        for (service, count) in example.targets {
            let index = configuration.service_index(service).expect(service);
            assert_eq!(configuration.services[index].targets.len(), *count, "{name}: {service}");
        }
    }
}

#[test]
fn a_configuration_written_as_json_reads_the_same() {
    for example in EXAMPLES {
        let configuration = Configuration::parse(example.configuration).expect(example.name);
        let json = serde_json::to_string(&configuration).expect(example.name);
        assert_eq!(Configuration::parse(&json).as_ref(), Ok(&configuration), "{}", example.name);
    }
}
