//! Reading of configurations that a source has validated.
//!
//! Such a configuration must take effect: a value beyond what this program can do is replaced by the
//! nearest one it can, and a part that cannot be read is left out alone. What a part that was left out
//! names keeps its previous form, if there is one. A text is refused as a whole only if its parts
//! cannot be separated, or if it exceeds the maximum size.

use std::collections::HashMap;
use std::collections::HashSet;

use thymeshift_types::KeyDigest;
use thymeshift_types::OrganisationName;
use thymeshift_types::ServiceName;

use crate::Adjustment;
use crate::Configuration;
use crate::Kind;
use crate::Limits;
use crate::Mistakes;
use crate::Repeat;
use crate::Service;
use crate::decode::Decode;
use crate::decode::LEFT_OUT;
use crate::decode::MapReader;
use crate::tree::Node;

/// Part that the author of the text could not translate.
#[derive(Debug)]
pub(crate) struct LeftOutPart {
    /// List or field that the part belongs to, such as `kinds`.
    list: String,
    /// Name of the part in the list.
    name: String,
    mistake: String,
}

impl Decode for LeftOutPart {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let list = map.required("list");
        let name = map.required("name");
        let mistake = map.required("mistake");
        map.finish();
        Some(Self { list: list?, name: name?, mistake: mistake? })
    }
}

impl LeftOutPart {
    pub(crate) fn adjustment(&self) -> Adjustment {
        adjustment(&format!("{}.{}", self.list, self.name), &self.mistake, LEFT_OUT)
    }
}

fn adjustment(place: &str, found: &str, used: &str) -> Adjustment {
    Adjustment { place: place.to_owned(), found: found.to_owned(), used: used.to_owned() }
}

/// Completes a configuration whose parts were read one by one, so that it is consistent.
pub(crate) struct Completion<'a> {
    configuration: &'a mut Configuration,
    previous: Option<&'a Configuration>,
    adjustments: Vec<Adjustment>,
}

impl<'a> Completion<'a> {
    /// `adjustments` tells which parts were left out.
    pub(crate) fn new(
        configuration: &'a mut Configuration,
        previous: Option<&'a Configuration>,
        adjustments: Vec<Adjustment>,
    ) -> Self {
        Self { configuration, previous, adjustments }
    }

    /// Returns all adjustments.
    pub(crate) fn complete(mut self) -> Vec<Adjustment> {
        self.remove_repeated_names();
        self.keep_previous_limits();
        self.keep_previous_services();
        self.keep_previous_kinds();
        self.keep_previous_organisations();
        self.add_missing_services();
        self.drop_shared_keys();
        self.adjust_kinds();
        self.adjust_services();
        self.adjustments
    }

    fn adjust(&mut self, place: &str, found: &str, used: &str) {
        self.adjustments.push(adjustment(place, found, used));
    }

    fn remove_repeated_names(&mut self) {
        let Configuration { services, kinds, organisations, .. } = &mut *self.configuration;
        let mut repeated = Vec::new();
        let mut names = HashSet::new();
        services.retain(|service| {
            is_first(&mut names, "services", service.name.as_str(), &mut repeated)
        });
        names.clear();
        kinds.retain(|kind| is_first(&mut names, "kinds", kind.name.as_str(), &mut repeated));
        names.clear();
        let mut own: Vec<_> = organisations.to_vec();
        own.retain(|known| {
            is_first(&mut names, "organisations", known.name.as_str(), &mut repeated)
        });
        *organisations = own.into();
        for place in repeated {
            self.adjust(&place, "the name a second time", "ignored");
        }
    }

    /// Returns the names of the parts of a list that were left out, and marks those for which
    /// `has_previous` returns true as kept.
    fn take_left_out(&mut self, list: &str, has_previous: impl Fn(&str) -> bool) -> Vec<String> {
        let mut names = Vec::new();
        for adjustment in self.adjustments.iter_mut().filter(|known| known.used == LEFT_OUT) {
            let Some(name) = adjustment.place.strip_prefix(list).and_then(|n| n.strip_prefix('.'))
            else {
                continue;
            };
            if has_previous(name) {
                names.push(name.to_owned());
                "kept its previous form".clone_into(&mut adjustment.used);
            }
        }
        names
    }

    fn keep_previous_limits(&mut self) {
        let Some(previous) = self.previous else {
            return;
        };
        let is_known = |name: &str| limit(&mut previous.limits.clone(), name).is_some();
        for name in self.take_left_out("limits", is_known) {
            let mut previous = previous.limits.clone();
            let known = limit(&mut previous, &name).map(|value| *value);
            if let (Some(own), Some(known)) = (limit(&mut self.configuration.limits, &name), known)
            {
                *own = known;
            }
        }
    }

    fn keep_previous_services(&mut self) {
        let Some(previous) = self.previous else {
            return;
        };
        let find = |name: &str| previous.services.iter().find(|known| known.name.as_str() == name);
        for name in self.take_left_out("services", |name| find(name).is_some()) {
            let is_listed = self.configuration.service_index(&name).is_some();
            self.configuration.services.extend(find(&name).filter(|_| !is_listed).cloned());
        }
    }

    fn keep_previous_kinds(&mut self) {
        let Some(previous) = self.previous else {
            return;
        };
        let find = |name: &str| previous.kinds.iter().find(|known| known.name.as_str() == name);
        for name in self.take_left_out("kinds", |name| find(name).is_some()) {
            let kinds = &mut self.configuration.kinds;
            // The author may have listed the rules of the part, which it could read.
            kinds.retain(|kind| kind.name.as_str() != name);
            if let Some(kind) = find(&name) {
                kinds.insert(place_among(kinds, kind), kind.clone());
            }
        }
    }

    fn keep_previous_organisations(&mut self) {
        let Some(previous) = self.previous else {
            return;
        };
        let find =
            |name: &str| previous.organisations.iter().find(|known| known.name.as_str() == name);
        let names = self.take_left_out("organisations", |name| find(name).is_some());
        let kept = names.iter().filter_map(|name| find(name)).cloned();
        let all = self.configuration.organisations.iter().cloned().chain(kept);
        self.configuration.organisations = all.collect();
    }

    /// Adds a service in its default form for each name that a kind refers to and that is not listed.
    /// Its discovered targets serve; without any, its requests are refused at once.
    fn add_missing_services(&mut self) {
        let Configuration { services, kinds, entry_vms_max, .. } = &mut *self.configuration;
        let parts =
            |kind: &Kind| kind.split.iter().map(|part| part.service.clone()).collect::<Vec<_>>();
        let named =
            kinds.iter().flat_map(|kind| [vec![kind.service.clone()], parts(kind)].concat());
        let mut missing = Vec::new();
        for name in named {
            let is_listed = services.iter().any(|service| service.name == name);
            if !is_listed && let Some(service) = default_service(&name, *entry_vms_max) {
                services.push(service);
                missing.push(name);
            }
        }
        for name in missing {
            self.adjust(&format!("services.{name}"), "nothing", "used the defaults");
        }
    }

    /// Removes each key that two organisations claim: it does not tell whose request carries it. An
    /// owner in the previous configuration keeps the key.
    fn drop_shared_keys(&mut self) {
        let mut owners: HashMap<KeyDigest, Vec<OrganisationName>> = HashMap::new();
        for organisation in self.configuration.organisations.iter() {
            for digest in &organisation.key_digests {
                let owners = owners.entry(*digest).or_default();
                if !owners.contains(&organisation.name) {
                    owners.push(organisation.name.clone());
                }
            }
        }
        owners.retain(|_, owners| owners.len() > 1);
        if owners.is_empty() {
            return;
        }
        let previous = self.previous;
        let keeps = |name: &OrganisationName, digest: &KeyDigest| {
            let known = previous.into_iter().flat_map(|known| known.organisations.iter());
            let mut known = known.filter(|known| known.name == *name);
            known.any(|known| known.key_digests.contains(digest))
        };
        let mut own: Vec<_> = self.configuration.organisations.to_vec();
        for organisation in &mut own {
            let name = organisation.name.clone();
            organisation
                .key_digests
                .retain(|digest| !owners.contains_key(digest) || keeps(&name, digest));
        }
        self.configuration.organisations = own.into();
        for names in owners.into_values() {
            let names: Vec<&str> = names.iter().map(OrganisationName::as_str).collect();
            let found = format!("one key of {}", names.join(" and "));
            self.adjust("organisations.key_digests", &found, "left to its previous owner, if any");
        }
    }

    fn adjust_kinds(&mut self) {
        let mut adjusted = Vec::new();
        for kind in &mut self.configuration.kinds {
            let place = |field: &str| format!("kinds.{}.{field}", kind.name);
            if kind.is_refused() {
                adjusted.push(adjustment(
                    &format!("kinds.{}", kind.name),
                    "no more than its rules",
                    "refuses its requests",
                ));
            }
            if !kind.split.is_empty() && kind.split.iter().all(|part| part.weight == 0) {
                kind.split.iter_mut().for_each(|part| part.weight = 1);
                adjusted.push(adjustment(
                    &place("split"),
                    "weights of 0 only",
                    "used equal weights",
                ));
            }
            if kind.wait_max_ms > kind.deadline_ms {
                kind.wait_max_ms = kind.deadline_ms;
            }
            if kind.repeat == Repeat::Unsafe && kind.hedge_after_ms > 0 {
                kind.hedge_after_ms = 0;
                adjusted.push(adjustment(&place("hedge_after_ms"), "an unsafe kind", "used 0"));
            }
        }
        self.adjustments.extend(adjusted);
    }

    fn adjust_services(&mut self) {
        let Configuration { services, entry_vms_max, .. } = &mut *self.configuration;
        for service in services {
            service.connections_per_target = service.connections_per_target.max(*entry_vms_max);
            if service.probe.is_none() {
                service.measuring_budget_us_per_s = 0;
            }
        }
    }
}

/// Returns whether `name` is new; otherwise adds its place to `repeated`.
fn is_first(
    names: &mut HashSet<String>,
    list: &str,
    name: &str,
    repeated: &mut Vec<String>,
) -> bool {
    let is_new = names.insert(name.to_owned());
    if !is_new {
        repeated.push(format!("{list}.{name}"));
    }
    is_new
}

/// Returns the limit that a published configuration may change.
fn limit<'l>(limits: &'l mut Limits, name: &str) -> Option<&'l mut u64> {
    match name {
        "header_bytes_max" => Some(&mut limits.header_bytes_max),
        "header_read_timeout_ms" => Some(&mut limits.header_read_timeout_ms),
        "idle_timeout_ms" => Some(&mut limits.idle_timeout_ms),
        "body_bytes_max" => Some(&mut limits.body_bytes_max),
        "body_stall_timeout_ms" => Some(&mut limits.body_stall_timeout_ms),
        _ => None,
    }
}

/// Returns where a kept kind goes: before the first kind with a shorter path prefix, which would
/// otherwise take its requests.
fn place_among(kinds: &[Kind], kept: &Kind) -> usize {
    let length = |kind: &Kind| kind.rules.path_prefix.as_ref().map_or(0, String::len);
    kinds.iter().position(|kind| length(kind) < length(kept)).unwrap_or(kinds.len())
}

fn default_service(name: &ServiceName, connections: u64) -> Option<Service> {
    let text = format!("{{\"name\":\"{name}\",\"connections_per_target\":{connections}}}");
    let mut mistakes = Mistakes::default();
    Service::decode(&Node::parse(&text).ok()?, "", &mut mistakes)
}
