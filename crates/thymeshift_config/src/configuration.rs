//! What the platform publishes for the whole fleet.

use std::sync::Arc;

use serde::Serialize;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;

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
use crate::tree::Node;
use crate::tree::json_lines;

/// Part of the retries that the platform bears, in tenths, which processes use together: each
/// counts its own requests, and their windows differ.
const RETRY_CAP_TENTHS: u64 = 9;

/// Largest published text, in bytes: the platform holds values up to a megabyte.
pub(crate) const TEXT_BYTES_MAX: usize = 1_024 * 1_024;

/// A whole configuration that passed every check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Configuration {
    /// Most entry VMs that may run at one time, those being replaced included. Shares
    /// of budgets and connections are divided by it and not by a count of live VMs,
    /// because VMs may disagree about who is alive.
    pub entry_vms_max: u64,
    /// All data halls.
    pub data_halls: Vec<DataHallName>,
    /// Data halls whose targets get no new work until they are taken off this list.
    pub drained_halls: Vec<DataHallName>,
    /// Time of one way between two data halls, in microseconds.
    pub data_hall_one_way_us: u64,
    /// How much longer an answer may take, in microseconds, to spare the way between two data
    /// halls: bytes on that way may have a price.
    pub data_hall_detour_us: u64,
    /// Limits on callers.
    pub limits: Limits,
    /// Services, each with its targets.
    pub services: Vec<Service>,
    /// Request kinds; the first whose rules match is a request's kind.
    pub kinds: Vec<Kind>,
    /// Organisations. If there are any, each request needs a key, unless its kind is public.
    pub organisations: Arc<[Organisation]>,
}

impl Configuration {
    /// Reads and checks a configuration from YAML.
    pub fn parse(text: &str) -> Result<Self, Mistakes> {
        let mut mistakes = Mistakes::default();
        if text.len() > TEXT_BYTES_MAX {
            mistakes.add(check::text_too_long(text.len()));
            return Err(mistakes);
        }
        // With a mistake in it the text is read again: the general reader tells the place.
        let quick = json_lines::parse(text).map(|node| Self::checked(&node));
        if let Some(Ok(configuration)) = quick {
            return Ok(configuration);
        }
        match Node::parse(text) {
            Ok(node) => Self::checked(&node),
            Err(mistake) => {
                mistakes.add(mistake);
                Err(mistakes)
            }
        }
    }

    fn checked(node: &Node) -> Result<Self, Mistakes> {
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

    /// The configuration with what was discovered apart from it. Discovered targets of services
    /// that it does not name are left out.
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

    /// The configuration with further data halls drained.
    #[must_use]
    pub fn with_drained(mut self, halls: &[DataHallName]) -> Self {
        for hall in halls {
            if !self.drained_halls.contains(hall) {
                self.drained_halls.push(hall.clone());
            }
        }
        self
    }

    /// Sets the state of targets that leave whatever the documents say.
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

    /// Whether the targets of a data hall get no new work.
    pub fn is_drained(&self, hall: &DataHallName) -> bool {
        self.drained_halls.contains(hall)
    }

    /// The configuration within the limits that a process's settings state.
    #[must_use]
    pub fn capped(mut self, settings: &Settings) -> Self {
        let retry_percent_max = settings.retry_percent_max * RETRY_CAP_TENTHS / 10;
        for service in &mut self.services {
            service.cold_bound_per_s = cold_bound(service, settings);
            service.retry_budget_percent = service.retry_budget_percent.min(retry_percent_max);
            if let Some(probe) = &service.probe {
                let most = settings.probes_per_target_s_max.saturating_mul(probe.cost_us);
                service.measuring_budget_us_per_s = service.measuring_budget_us_per_s.min(most);
            }
        }
        self
    }

    /// Index in `kinds` of the kind of a request.
    pub fn kind_of(&self, head: &impl RequestHead) -> Option<usize> {
        self.kinds.iter().position(|kind| kind.rules.is_match(head))
    }

    /// Index in `services` of the service called `name`.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name.as_str() == name)
    }
}

/// Requests a second that the platform bears at a cold target.
fn cold_bound(service: &Service, settings: &Settings) -> RequestRate {
    let rate = service.cold_requests_per_s.unwrap_or_default().in_1000_s();
    let most = rate * settings.cold_overshoot_percent / 100 + settings.cold_slack_requests * 1_000;
    RequestRate::per_1000_s(most)
}

impl Decode for Configuration {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let entry_vms_max = map.number("entry_vms_max", 1..=100_000);
        let data_halls = map.value_or("data_halls", Vec::new());
        let drained_halls = map.value_or("drained_halls", Vec::new());
        let data_hall_one_way_us = map.number_or("data_hall_one_way_us", 0..=1_000_000, 1_500);
        let data_hall_detour_us = map.number_or("data_hall_detour_us", 0..=1_000_000, 0);
        let limits = map.value_or("limits", Limits::default());
        let services = map.required("services");
        let kinds = map.required("kinds");
        let organisations = map.value_or("organisations", Vec::new());
        map.finish();
        Some(Self {
            entry_vms_max: entry_vms_max?,
            data_halls: data_halls?,
            drained_halls: drained_halls?,
            data_hall_one_way_us: data_hall_one_way_us?,
            data_hall_detour_us: data_hall_detour_us?,
            limits: limits?,
            services: services?,
            kinds: kinds?,
            organisations: organisations?.into(),
        })
    }
}
