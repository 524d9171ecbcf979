//! Typed settings and configuration. Every mistake in a text is reported with its location.
//!
//! * [`Settings`] belong to one VM and are read from a local YAML file.
//! * [`Configuration`] belongs to the whole fleet and is published by the platform as YAML.
//!   JSON is accepted too, because it is a subset of YAML.
//!
//! Both parsers reject unknown fields and report all mistakes of a text at once, each
//! with its line, column, field, the value found and the value expected. The result depends only
//! on the bytes of the text, so that every VM accepts or rejects the same revision.

mod check;
mod configuration;
mod decode;
mod discovery;
mod kind;
mod limits;
mod mistake;
mod organisation;
mod published;
mod service;
mod settings;
mod tree;

pub use configuration::Configuration;
pub use configuration::TEXT_BYTES_MAX;
pub use discovery::DiscoveredTarget;
pub use discovery::Discovery;
pub use discovery::DiscoveryReader;
pub use discovery::SkippedEntry;
pub use kind::HeaderRule;
pub use kind::Kind;
pub use kind::KindMatch;
pub use kind::Repeat;
pub use kind::RequestHead;
pub use kind::SplitPart;
pub use limits::Limits;
pub use mistake::Adjustment;
pub use mistake::Mistake;
pub use mistake::Mistakes;
pub use organisation::Organisation;
pub use service::Ejection;
pub use service::Probe;
pub use service::RequestRate;
pub use service::Service;
pub use service::StrategyName;
pub use service::Target;
pub use service::TargetState;
pub use settings::LogLevel;
pub use settings::Settings;
