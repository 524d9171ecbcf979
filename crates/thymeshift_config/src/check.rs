//! Checks across several fields: unique names, references to existing names, and consistent values.

use std::collections::HashMap;
use std::collections::HashSet;

use thymeshift_types::DataHallName;

use crate::Configuration;
use crate::Kind;
use crate::KindMatch;
use crate::Mistake;
use crate::Mistakes;
use crate::Repeat;
use crate::Service;
use crate::configuration::TEXT_BYTES_MAX;
use crate::decode::add_mistake;
use crate::tree::Node;

struct Checker<'a> {
    node: &'a Node,
    mistakes: &'a mut Mistakes,
}

impl Checker<'_> {
    fn report(&mut self, path: &str, found: impl Into<String>, expected: impl Into<String>) {
        add_mistake(
            self.node.location_of(path),
            path,
            found.into(),
            expected.into(),
            self.mistakes,
        );
    }

    fn check_unique<'n>(&mut self, list: &str, field: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = HashSet::new();
        for (index, name) in names.enumerate() {
            if !seen.insert(name) {
                let path = format!("{list}[{index}]{field}");
                self.report(&path, format!("'{name}' a second time"), "a unique name");
            }
        }
    }
}

pub(crate) fn check(configuration: &Configuration, node: &Node, mistakes: &mut Mistakes) {
    let mut checker = Checker { node, mistakes };
    let halls = configuration.data_halls.iter().map(DataHallName::as_str);
    checker.check_unique("data_halls", "", halls);
    check_drained_halls(configuration, &mut checker);
    let services = configuration.services.iter().map(|service| service.name.as_str());
    checker.check_unique("services", ".name", services);
    let kinds = configuration.kinds.iter().map(|kind| kind.name.as_str());
    checker.check_unique("kinds", ".name", kinds);
    for (index, service) in configuration.services.iter().enumerate() {
        check_service(configuration, service, &format!("services[{index}]"), &mut checker);
    }
    for (index, kind) in configuration.kinds.iter().enumerate() {
        check_kind(configuration, kind, &format!("kinds[{index}]"), &mut checker);
    }
    check_reachable(configuration, &mut checker);
    check_organisations(configuration, &mut checker);
}

fn check_drained_halls(configuration: &Configuration, checker: &mut Checker<'_>) {
    let names = configuration.drained_halls.iter().map(DataHallName::as_str);
    checker.check_unique("drained_halls", "", names);
    for (index, hall) in configuration.drained_halls.iter().enumerate() {
        if !configuration.data_halls.contains(hall) {
            let path = format!("drained_halls[{index}]");
            checker.report(&path, format!("'{hall}'"), "a name from data_halls");
        }
    }
}

fn check_service(
    configuration: &Configuration,
    service: &Service,
    path: &str,
    checker: &mut Checker<'_>,
) {
    let names = service.targets.iter().map(|target| target.name.as_str());
    checker.check_unique(&format!("{path}.targets"), ".name", names);
    for (index, target) in service.targets.iter().enumerate() {
        if !configuration.data_halls.contains(&target.data_hall) {
            let path = format!("{path}.targets[{index}].data_hall");
            checker.report(&path, format!("'{}'", target.data_hall), "a name from data_halls");
        }
    }
    if service.connections_per_target < configuration.entry_vms_max {
        let found = format!("'{}'", service.connections_per_target);
        let expected = format!(
            "at least one connection for each of {} entry VMs",
            configuration.entry_vms_max
        );
        checker.report(&format!("{path}.connections_per_target"), found, expected);
    }
    if service.measuring_budget_us_per_s > 0 && service.probe.is_none() {
        let path = format!("{path}.measuring_budget_us_per_s");
        let found = format!("'{}' without a probe", service.measuring_budget_us_per_s);
        checker.report(&path, found, "the field 'probe', or a budget of 0");
    }
}

fn check_kind(configuration: &Configuration, kind: &Kind, path: &str, checker: &mut Checker<'_>) {
    if configuration.service_index(kind.service.as_str()).is_none() {
        checker.report(&format!("{path}.service"), format!("'{}'", kind.service), "a service");
    }
    for (index, part) in kind.split.iter().enumerate() {
        if configuration.service_index(part.service.as_str()).is_none() {
            let path = format!("{path}.split[{index}].service");
            checker.report(&path, format!("'{}'", part.service), "a service");
        }
    }
    if !kind.split.is_empty() && kind.split.iter().all(|part| part.weight == 0) {
        checker.report(&format!("{path}.split"), "weights of 0 only", "a weight above 0");
    }
    if kind.wait_max_ms > kind.deadline_ms {
        let found = format!("'{}'", kind.wait_max_ms);
        let expected = format!("at most deadline_ms ({})", kind.deadline_ms);
        checker.report(&format!("{path}.wait_max_ms"), found, expected);
    }
    if kind.repeat == Repeat::Unsafe && kind.hedge_after_ms > 0 {
        let found = format!("'{}'", kind.hedge_after_ms);
        checker.report(&format!("{path}.hedge_after_ms"), found, "0: an unsafe kind runs once");
    }
    if let Some(prefix) = &kind.rules.path_prefix
        && !prefix.starts_with('/')
    {
        let path = format!("{path}.match.path_prefix");
        checker.report(&path, format!("'{}'", prefix.escape_debug()), "a path that starts with /");
    }
}

/// Checks that no kind has the same rules as an earlier one,
/// because no request would ever match the later kind.
fn check_reachable(configuration: &Configuration, checker: &mut Checker<'_>) {
    let mut earlier: HashMap<&KindMatch, &Kind> = HashMap::new();
    for (index, kind) in configuration.kinds.iter().enumerate() {
        let earliest = *earlier.entry(&kind.rules).or_insert(kind);
        if earliest.name != kind.name {
            let found = format!("the rules of '{}' again", earliest.name);
            checker.report(&format!("kinds[{index}].match"), found, "rules of its own");
        }
    }
}

/// Checks that organisation names are unique and that each key belongs to only one organisation.
fn check_organisations(configuration: &Configuration, checker: &mut Checker<'_>) {
    let organisations = &configuration.organisations;
    let names = organisations.iter().map(|organisation| organisation.name.as_str());
    checker.check_unique("organisations", ".name", names);
    let mut owners = HashMap::new();
    for (index, organisation) in organisations.iter().enumerate() {
        for (place, digest) in organisation.key_digests.iter().enumerate() {
            let owner = *owners.entry(digest).or_insert(&organisation.name);
            if *owner != organisation.name {
                let path = format!("organisations[{index}].key_digests[{place}]");
                let found = format!("a key of '{owner}' again");
                checker.report(&path, found, "a key of its own");
            }
        }
    }
}

pub(crate) fn text_too_long(length: usize) -> Mistake {
    Mistake {
        line: 1,
        column: 1,
        field: String::new(),
        found: format!("a text of {length} bytes"),
        expected: format!("at most {TEXT_BYTES_MAX} bytes"),
    }
}
