//! Tables, their columns and their cells.

use std::cmp::Ordering;
use std::fmt;

use derive_more::Display;

/// Columns of the table `configuration`.
const CONFIGURATION_COLUMNS: [&str; 13] = [
    "vm",
    "revision",
    "epoch",
    "digest",
    "in_force_ms",
    "conflict",
    "rejected",
    "mistakes",
    "targets_revision",
    "targets_epoch",
    "missing",
    "behind_ms",
    "targets_behind_ms",
];

/// Value of one column in one row of a table.
#[derive(Debug, Clone, PartialEq)]
pub enum Cell {
    /// Text, such as a name or an address.
    Text(String),
    /// Number, such as a count, a ratio or a duration in milliseconds.
    Number(f64),
    /// Boolean, printed as `yes` or `no`.
    Bool(bool),
    /// Unknown or absent value, printed as `-`, in JSON as `null`.
    Missing,
}

impl Cell {
    /// Returns a text cell that holds the `Display` output of `value`.
    pub(crate) fn text(value: impl fmt::Display) -> Self {
        Self::Text(value.to_string())
    }

    /// Returns a number cell, or a missing cell for `None`.
    pub(crate) fn number_or_missing(value: Option<u64>) -> Self {
        value.map_or(Self::Missing, |value| Self::Number(value as f64))
    }

    /// Compares two cells for sorting: booleans first, then numbers, texts and missing cells. Cells
    /// of the same type are compared by value.
    pub(crate) fn compare(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Text(a), Self::Text(b)) => a.cmp(b),
            (Self::Number(a), Self::Number(b)) => a.total_cmp(b),
            (Self::Bool(a), Self::Bool(b)) => a.cmp(b),
            _ => self.type_rank().cmp(&other.type_rank()),
        }
    }

    /// Rank of the cell's type when cells of different types are sorted.
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

/// Names of the tables that a query can show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum TableName {
    /// State of the entry process, one row per process.
    #[display("process")]
    Process,
    /// Configuration in force and the last rejected one, one row per process.
    #[display("configuration")]
    Configuration,
    /// Data halls with their drain state, targets and entry processes.
    #[display("halls")]
    Halls,
    /// Services with their balancing strategy and expected wait.
    #[display("services")]
    Services,
    /// Targets with their load, latency and usability.
    #[display("targets")]
    Targets,
    /// Rate-limited targets with the limits that they have stated.
    #[display("limits")]
    Limits,
    /// Queued requests by service and priority.
    #[display("queues")]
    Queues,
    /// Reserves of data halls' groups for requests with long answers, by class of answer length.
    #[display("reserves")]
    Reserves,
    /// Request kinds with the counts of their outcomes.
    #[display("kinds")]
    Kinds,
    /// Organisations with their rate limits and demand.
    #[display("organisations")]
    Organisations,
    /// Digests of the keys of organisations.
    #[display("keys")]
    Keys,
    /// Other entry processes that the process knows.
    #[display("members")]
    Members,
    /// Entry processes that watch the platform for new versions of its documents.
    #[display("watchers")]
    Watchers,
    /// Targets that are leaving and get no new requests.
    #[display("leaving")]
    Leaving,
    /// Operators' orders that have not expired.
    #[display("orders")]
    Orders,
    /// Fingerprints of requests during which targets crashed.
    #[display("suspects")]
    Suspects,
    /// Invalid entries of the published target list, each with its first mistake.
    #[display("left_out")]
    LeftOut,
    /// Supervised tasks of the process with their restart counts.
    #[display("tasks")]
    Tasks,
}

/// Columns of the `services` table.
const SERVICE_COLUMNS: [&str; 9] =
    ["vm", "service", "strategy", "view", "targets", "open", "retry_reserve", "wait_us", "at_home"];

/// Columns of the `kinds` table.
const KIND_COLUMNS: [&str; 12] = [
    "vm",
    "kind",
    "service",
    "priority",
    "accepted",
    "answered",
    "not_run",
    "unknown",
    "failed",
    "retries",
    "waited",
    "local_wait_ms",
];

/// Columns of the `limits` table.
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

/// Columns of the `reserves` table.
const RESERVE_COLUMNS: [&str; 8] = [
    "vm",
    "service",
    "group",
    "answer_kib",
    "offered_slots",
    "reserve_above",
    "headroom",
    "redirecting",
];

/// Columns of the `organisations` table.
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
    /// All tables, in the order in which `tables` lists them.
    pub const ALL: [Self; 18] = [
        Self::Process,
        Self::Configuration,
        Self::Halls,
        Self::Services,
        Self::Targets,
        Self::Limits,
        Self::Queues,
        Self::Reserves,
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

    /// Returns the names of the table's columns; the first one is always `vm`.
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
                "links_lost_ms",
                "target_answer_ms",
                "has_path",
                "relays",
            ],
            Self::Configuration => &CONFIGURATION_COLUMNS,
            Self::Halls => &["vm", "hall", "drained", "targets", "members"],
            Self::Services => &SERVICE_COLUMNS,
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
            Self::Queues => &["vm", "service", "priority", "waiting", "at_home"],
            Self::Reserves => &RESERVE_COLUMNS,
            Self::Kinds => &KIND_COLUMNS,
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

    /// Returns the column called `name`, if the table has one.
    pub(crate) fn find_column(self, name: &str) -> Option<&'static str> {
        self.columns().iter().find(|column| **column == name).copied()
    }
}

/// Column names and rows of cells.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// Column names, in display order.
    pub columns: Vec<&'static str>,
    /// Rows; each has one cell per column, in the order of `columns`.
    pub rows: Vec<Vec<Cell>>,
}
