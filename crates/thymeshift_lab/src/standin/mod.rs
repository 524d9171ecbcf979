//! Stand-ins for the external systems of the load balancer: platform, targets and network links.

mod answer;
mod behaviour;
mod exact_sleep;
mod ledger;
mod link_cuts;
mod platform;
mod proxy;
mod server;
mod slots;
mod stated_limit;
mod statements;
mod target;

pub use answer::expected_answer;
pub use behaviour::Behaviour;
pub use behaviour::Fault;
pub use behaviour::ReportMode;
pub use ledger::Ledger;
pub use ledger::LedgerEntry;
pub use link_cuts::CutMode;
pub use link_cuts::CutSources;
pub use link_cuts::LinkCuts;
pub use platform::DocumentName;
pub use platform::Platform;
pub use platform::PlatformMode;
pub use proxy::Proxy;
pub use proxy::ProxyMode;
pub use server::ServerHandle;
pub use statements::CALLED_PROCESS_HEADER;
pub use statements::StatementViolations;
pub use target::Target;
pub use target::TargetSettings;
