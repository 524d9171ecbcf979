//! Taking in a configuration of the service.

use std::time::Duration;

use thymeshift_config::Configuration;
use thymeshift_config::Service;
use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;

use crate::AnyStrategy;
use crate::Dispatcher;
use crate::Strategy;
use crate::table::FleetSettings;

impl Dispatcher<AnyStrategy> {
    /// A dispatcher for a configured service, with the strategy it names.
    pub fn configured(
        configuration: &Configuration,
        service: &Service,
        own_data_hall: &DataHallName,
        now: Timestamp,
    ) -> Self {
        let strategy = AnyStrategy::new(service.strategy);
        let mut dispatcher = Self::new(service.name.clone(), strategy, now);
        dispatcher.update(configuration, service, own_data_hall, now);
        dispatcher
    }

    /// Takes in a new configuration of the service, the strategy included.
    pub fn reconfigure(
        &mut self,
        configuration: &Configuration,
        service: &Service,
        own_data_hall: &DataHallName,
        now: Timestamp,
    ) {
        if self.strategy.name() != service.strategy {
            self.strategy = AnyStrategy::new(service.strategy);
        }
        self.update(configuration, service, own_data_hall, now);
    }
}

impl<S: Strategy> Dispatcher<S> {
    /// Takes in a new configuration of the service.
    pub fn update(
        &mut self,
        configuration: &Configuration,
        service: &Service,
        own_data_hall: &DataHallName,
        now: Timestamp,
    ) {
        let surroundings = FleetSettings {
            own_data_hall: own_data_hall.clone(),
            one_way: Duration::from_micros(configuration.data_hall_one_way_us),
            detour: Duration::from_micros(configuration.data_hall_detour_us),
            entry_vms_max: configuration.entry_vms_max,
            drained_halls: configuration.drained_halls.clone(),
        };
        self.table.update(service, &surroundings, now);
        self.ejection = service.ejection.clone();
        self.retry.set_percent(service.retry_budget_percent);
        self.retry.set_reserve_max(service.retry_reserve);
    }
}
