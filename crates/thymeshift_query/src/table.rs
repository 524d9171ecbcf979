//! Tables of plain cells.

use std::cmp::Ordering;
use std::fmt;

use derive_more::Display;

/// A value in a table.
#[derive(Debug, Clone, PartialEq)]
pub enum Cell {
    /// A text.
    Text(String),
    /// A number.
    Number(f64),
    /// Yes or no.
    Bool(bool),
    /// Not known.
    Missing,
}

impl Cell {
    /// A text of anything that can be shown.
    pub(crate) fn text(value: impl fmt::Display) -> Self {
        Self::Text(value.to_string())
    }

    /// A number, or missing.
    pub(crate) fn number_or_missing(value: Option<u64>) -> Self {
        value.map_or(Self::Missing, |value| Self::Number(value as f64))
    }

    /// Order for sorting: missing last, then by kind, then by value.
    pub(crate) fn compare(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Text(a), Self::Text(b)) => a.cmp(b),
            (Self::Number(a), Self::Number(b)) => a.total_cmp(b),
            (Self::Bool(a), Self::Bool(b)) => a.cmp(b),
            _ => self.type_rank().cmp(&other.type_rank()),
        }
    }

    fn type_rank(&self) -> u8 {
        match self {
            Self::Bool(_) => 0,
            Self::Number(_) => 1,
            Self::Text(_) => 2,
            Self::Missing => 3,
        }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.pad(text),
            Self::Number(number) if number.fract() == 0.0 => f.pad(&format!("{number:.0}")),
            Self::Number(number) => f.pad(&format!("{number:.2}")),
            Self::Bool(true) => f.pad("yes"),
            Self::Bool(false) => f.pad("no"),
            Self::Missing => f.pad("-"),
        }
    }
}

/// The tables of a dump.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum TableName {
    /// The process as a whole, one row.
    #[display("process")]
    Process,
    /// The configuration in force, one row.
    #[display("configuration")]
    Configuration,
    /// Data halls.
    #[display("halls")]
    Halls,
    /// Services.
    #[display("services")]
    Services,
    /// Targets.
    #[display("targets")]
    Targets,
    /// Targets in need, with the limits that they have named.
    #[display("limits")]
    Limits,
    /// Waiting requests by service and rank.
    #[display("queues")]
    Queues,
    /// Request kinds.
    #[display("kinds")]
    Kinds,
    /// Organisations.
    #[display("organisations")]
    Organisations,
    /// Keys of organisations, by digest.
    #[display("keys")]
    Keys,
    /// Other entry processes.
    #[display("members")]
    Members,
    /// Who watches the platform.
    #[display("watchers")]
    Watchers,
    /// Targets that are leaving.
    #[display("leaving")]
    Leaving,
    /// Operators' orders.
    #[display("orders")]
    Orders,
    /// Requests that crash the targets which run them.
    #[display("suspects")]
    Suspects,
    /// Entries of the list of targets that cannot be used.
    #[display("left_out")]
    LeftOut,
    /// Tasks of the process.
    #[display("tasks")]
    Tasks,
}

/// Columns of the table of targets in need.
const LIMIT_COLUMNS: [&str; 10] = [
    "vm",
    "service",
    "target",
    "per_s",
    "limited_ms",
    "age_ms",
    "view",
    "share",
    "granted",
    "usability",
];

/// Columns of the table of organisations.
const ORGANISATION_COLUMNS: [&str; 9] = [
    "vm",
    "organisation",
    "rank",
    "rate_per_s",
    "burst",
    "keys",
    "tokens",
    "demand_per_s",
    "counted_per_s",
];

impl TableName {
    /// All tables.
    pub const ALL: [Self; 17] = [
        Self::Process,
        Self::Configuration,
        Self::Halls,
        Self::Services,
        Self::Targets,
        Self::Limits,
        Self::Queues,
        Self::Kinds,
        Self::Organisations,
        Self::Keys,
        Self::Members,
        Self::Watchers,
        Self::Leaving,
        Self::Orders,
        Self::Suspects,
        Self::LeftOut,
        Self::Tasks,
    ];

    /// Its columns.
    pub fn columns(self) -> &'static [&'static str] {
        match self {
            Self::Process => &[
                "vm",
                "data_hall",
                "version",
                "phase",
                "uptime_ms",
                "in_flight",
                "callers",
                "watching",
                "platform_calls",
                "platform_answer_ms",
                "peer_received",
                "peer_sent",
            ],
            Self::Configuration => {
                &["vm", "revision", "digest", "in_force_ms", "conflict", "rejected", "mistakes"]
            }
            Self::Halls => &["vm", "hall", "drained", "targets", "members"],
            Self::Services => &[
                "vm",
                "service",
                "strategy",
                "view",
                "targets",
                "open",
                "retry_reserve",
                "wait_us",
            ],
            Self::Targets => &[
                "vm",
                "service",
                "target",
                "address",
                "incarnation",
                "usability",
                "in_flight",
                "limit",
                "load",
                "running",
                "queued",
                "age",
                "latency_us",
                "expected_us",
                "failure_rate",
                "ejected_ms",
                "backoff_ms",
                "connections",
            ],
            Self::Limits => &LIMIT_COLUMNS,
            Self::Queues => &["vm", "service", "priority", "waiting"],
            Self::Kinds => &[
                "vm", "kind", "service", "priority", "accepted", "answered", "not_run", "unknown",
                "failed", "retries", "waited",
            ],
            Self::Organisations => &ORGANISATION_COLUMNS,
            Self::Keys => &["vm", "key", "organisation"],
            Self::Members => &[
                "vm",
                "member",
                "liveness",
                "phase",
                "data_hall",
                "processors",
                "revision",
                "silent_ms",
                "peer",
                "control",
            ],
            Self::Watchers => &["vm", "watcher", "age_ms"],
            Self::Leaving => &["vm", "service", "target", "incarnation"],
            Self::Suspects => &[
                "vm",
                "fingerprint",
                "strikes",
                "refused_ms",
                "first_crash_ms",
                "last_crash_ms",
                "targets",
            ],
            Self::LeftOut => &["vm", "entry", "mistake"],
            Self::Orders => &[
                "vm",
                "subject",
                "change",
                "operator",
                "counter",
                "taken_at",
                "revision",
                "expires_ms",
            ],
            Self::Tasks => &["vm", "task", "running", "restarts"],
        }
    }

    /// Its column called `name`.
    pub(crate) fn find_column(self, name: &str) -> Option<&'static str> {
        self.columns().iter().find(|column| **column == name).copied()
    }
}

/// Rows under columns.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<&'static str>,
    /// Each row has one cell for each column.
    pub rows: Vec<Vec<Cell>>,
}
