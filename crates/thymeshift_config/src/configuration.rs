//! Configuration that the platform publishes for the whole fleet.

use std::sync::Arc;

use serde::Serialize;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;

use crate::Adjustment;
use crate::DiscoveredTarget;
use crate::Discovery;
use crate::Kind;
use crate::Limits;
use crate::Mistakes;
use crate::Organisation;
use crate::RequestHead;
use crate::RequestRate;
use crate::Service;
use crate::Settings;
use crate::TargetState;
use crate::check;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::decode::add_mistake;
use crate::published::Completion;
use crate::published::LeftOutPart;
use crate::tree::Node;
use crate::tree::json_lines;

/// Share of the platform's retry limit that the processes use together, in tenths.
/// The remaining tenth is a margin, because each process counts only its own requests
/// and the counting windows of processes differ.
const RETRY_LIMIT_USED_TENTHS: u64 = 9;

/// Maximum size of a published text, in bytes. A source may store values of 1 MiB in another
/// language, and the text that they are translated to is several times as long: up to eight times for
/// the shortest services, six times for the shortest keys, two times for the shortest routes.
pub const TEXT_BYTES_MAX: usize = 8 * 1_024 * 1_024;

/// Complete configuration that passed all checks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Configuration {
    /// Maximum number of entry VMs that run at one time, including VMs that are being replaced.
    /// Budgets and connections are divided by this maximum and not by the number of live VMs,
    /// because VMs may disagree about which VMs are alive.
    pub entry_vms_max: u64,
    /// Names of all data halls.
    pub data_halls: Vec<DataHallName>,
    /// Drained data halls, whose targets receive no new requests
    /// until the data hall is removed from this list.
    pub drained_halls: Vec<DataHallName>,
    /// One-way network latency between two data halls, in microseconds.
    pub data_hall_one_way_us: u64,
    /// Additional response time that is accepted to avoid traffic between data halls,
    /// in microseconds. Traffic between data halls may be charged by volume.
    pub data_hall_detour_us: u64,
    /// Time that a request may wait for a target in its own data hall for each KiB of its answer
    /// that would otherwise cross between halls, in microseconds; 0 disables these waits.
    /// A value above 0 also enables the reserve of a hall's targets for long answers.
    pub hall_crossing_us_per_kib: u64,
    /// Limits for the requests and connections of callers.
    pub limits: Limits,
    /// Services with their targets.
    pub services: Vec<Service>,
    /// Request kinds in order of precedence: the first kind whose rules match applies.
    pub kinds: Vec<Kind>,
    /// Organisations (customers).
    /// If any are configured, each request needs an API key, unless its kind is public.
    pub organisations: Arc<[Organisation]>,
}

impl Configuration {
    /// Parses and checks a configuration from YAML; returns all mistakes if the text is invalid.
    pub fn parse(text: &str) -> Result<Self, Mistakes> {
        check_length(text)?;
        // A text with a mistake is parsed again
        // by the general reader, which knows the exact locations.
        let fast_result = json_lines::parse(text).map(|node| Self::decode_and_check(&node));
        if let Some(Ok(configuration)) = fast_result {
            return Ok(configuration);
        }
        match Node::parse(text) {
            Ok(node) => Self::decode_and_check(&node),
            Err(mistake) => Err(Mistakes::from(mistake)),
        }
    }

    /// Parses a configuration that its source has validated, so that it must take effect. Values that
    /// this program cannot use are adjusted, and what a part that cannot be read names keeps its form
    /// in `previous`.
    ///
    /// # Errors
    ///
    /// Returns the mistakes of a text that is no map of services and kinds, or that is too long.
    pub fn parse_published(
        text: &str,
        previous: Option<&Self>,
    ) -> Result<(Self, Vec<Adjustment>), Mistakes> {
        check_length(text)?;
        let node = json_lines::parse(text).map_or_else(|| Node::parse(text), Ok);
        let node = node.map_err(Mistakes::from)?;
        let mut mistakes = Mistakes::with_adjustments();
        let decoded = Self::decode(&node, "", &mut mistakes);
        let adjustments = mistakes.take_adjustments();
        match decoded {
            Some(mut configuration) if mistakes.is_empty() => {
                let completion = Completion::new(&mut configuration, previous, adjustments);
                let adjustments = completion.complete();
                Ok((configuration, adjustments))
            }
            _ => Err(mistakes),
        }
    }

    fn decode_and_check(node: &Node) -> Result<Self, Mistakes> {
        let mut mistakes = Mistakes::default();
        let decoded = Self::decode(node, "", &mut mistakes);
        if let Some(configuration) = &decoded {
            check::check(configuration, node, &mut mistakes);
        }
        match decoded {
            Some(configuration) if mistakes.is_empty() => Ok(configuration),
            _ => Err(mistakes),
        }
    }

    /// Returns the configuration with the discovered targets and drained data halls added.
    /// Targets of services that the configuration does not contain are ignored.
    #[must_use]
    pub fn with_discovered(&self, discovery: &Discovery) -> Self {
        let mut joined = self.clone();
        for service in &mut joined.services {
            let found = discovery.targets.iter().filter(|found| found.service == service.name);
            let found: Vec<&DiscoveredTarget> = found.collect();
            if let Some(slots) = found.iter().map(|found| found.slots).max() {
                service.slots_per_target = slots;
            }
            service.targets.extend(found.into_iter().map(|found| found.target.clone()));
        }
        joined.with_drained(&discovery.drained_halls)
    }

    /// Returns the configuration with further data halls drained.
    #[must_use]
    pub fn with_drained(mut self, halls: &[DataHallName]) -> Self {
        for hall in halls {
            if !self.drained_halls.contains(hall) {
                self.drained_halls.push(hall.clone());
            }
        }
        self
    }

    /// Sets the state of all targets for which `is_leaving` returns true
    /// to [`TargetState::Leaving`], and ignores the state in the documents.
    pub fn mark_leaving(
        &mut self,
        is_leaving: impl Fn(&ServiceName, &TargetName, Incarnation) -> bool,
    ) {
        for service in &mut self.services {
            for target in &mut service.targets {
                if is_leaving(&service.name, &target.name, target.incarnation) {
                    target.state = TargetState::Leaving;
                }
            }
        }
    }

    /// Returns whether a data hall is drained, so that its targets receive no new requests.
    pub fn is_drained(&self, hall: &DataHallName) -> bool {
        self.drained_halls.contains(hall)
    }

    /// Returns the configuration with retry and probe budgets capped at the limits in the settings,
    /// and with the rate bounds of cold targets derived from the settings.
    #[must_use]
    pub fn capped(mut self, settings: &Settings) -> Self {
        let retry_percent_max = settings.retry_percent_max * RETRY_LIMIT_USED_TENTHS / 10;
        for service in &mut self.services {
            service.cold_bound_per_s = cold_bound(service, settings);
            service.retry_budget_percent = service.retry_budget_percent.min(retry_percent_max);
            if let Some(probe) = &service.probe {
                let budget_us_max = settings.probes_per_target_s_max.saturating_mul(probe.cost_us);
                service.measuring_budget_us_per_s =
                    service.measuring_budget_us_per_s.min(budget_us_max);
            }
        }
        self
    }

    /// Returns the index in `kinds` of the first kind that matches a request.
    pub fn kind_of(&self, head: &impl RequestHead) -> Option<usize> {
        self.kinds.iter().position(|kind| kind.rules.is_match(head))
    }

    /// Returns the index in `services` of the service with the given name.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name.as_str() == name)
    }
}

/// Returns the maximum rate of requests to a cold target that the platform tolerates.
fn cold_bound(service: &Service, settings: &Settings) -> RequestRate {
    let rate = service.cold_requests_per_s.unwrap_or_default().in_1000_s();
    let bound_per_1000_s =
        rate * settings.cold_overshoot_percent / 100 + settings.cold_slack_requests * 1_000;
    RequestRate::per_1000_s(bound_per_1000_s)
}

fn check_length(text: &str) -> Result<(), Mistakes> {
    if text.len() > TEXT_BYTES_MAX {
        return Err(Mistakes::from(check::text_too_long(text.len())));
    }
    Ok(())
}

impl Decode for Configuration {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let entry_vms_max = map.number("entry_vms_max", 1..=100_000);
        let data_halls = map.value_or("data_halls", Vec::new());
        let drained_halls = map.value_or("drained_halls", Vec::new());
        let data_hall_one_way_us = map.number_or("data_hall_one_way_us", 0..=1_000_000, 1_500);
        let data_hall_detour_us = map.number_or("data_hall_detour_us", 0..=1_000_000, 0);
        let hall_crossing_us_per_kib = map.number_or("hall_crossing_us_per_kib", 0..=1_000_000, 0);
        let limits = map.value_or("limits", Limits::default());
        let services = map.required_entries("services");
        let kinds = map.required_entries("kinds");
        let organisations = map.entries("organisations");
        let left_out: Option<Vec<LeftOutPart>> = map.entries("left_out");
        map.finish();
        for part in left_out? {
            let Adjustment { place, found, used } = part.adjustment();
            if !mistakes.adjust(&place, &found, &used) {
                add_mistake(
                    node.location,
                    &place,
                    found,
                    "a part that can be read".into(),
                    mistakes,
                );
            }
        }
        Some(Self {
            entry_vms_max: entry_vms_max?,
            data_halls: data_halls?,
            drained_halls: drained_halls?,
            data_hall_one_way_us: data_hall_one_way_us?,
            data_hall_detour_us: data_hall_detour_us?,
            hall_crossing_us_per_kib: hall_crossing_us_per_kib?,
            limits: limits?,
            services: services?,
            kinds: kinds?,
            organisations: organisations?.into(),
        })
    }
}
