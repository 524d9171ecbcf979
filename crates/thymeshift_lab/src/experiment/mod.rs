//! Real processes put together.

mod children;
mod demo;
mod fleet;
mod ideal;
mod judge;
mod path_cost;
mod scenarios;
mod single;
mod usage;

pub use children::Child;
pub use children::ChildError;
pub use children::sibling_program;
pub use demo::Demo;
pub use demo::demo;
pub use demo::tariff_configuration;
pub use demo::tariff_load;
pub use demo::tariff_service_us;
pub use fleet::Fleet;
pub use fleet::FleetError;
pub use fleet::FleetPlan;
pub use fleet::TargetChild;
pub use fleet::dump;
pub use fleet::wait_ready;
pub use ideal::IdealQueue;
pub use judge::Judgement;
pub use judge::judge;
pub use path_cost::PathCost;
pub use path_cost::path_cost;
pub use scenarios::Row;
pub use scenarios::Scenario;
pub use scenarios::ScenarioPlan;
pub use scenarios::scenarios;
pub use single::Single;
pub use single::TempFolder;
pub use usage::Usage;
pub use usage::usage;
