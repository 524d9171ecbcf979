//! Every metric, with its labels and meaning. `docs/OPERATIONS.md` lists the same.

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Requests by `kind` and `result` (`answered`, `not_run`, `unknown`, `failed`).
pub const REQUESTS: &str = "thymeshift_requests_total";
/// Attempts after the first, by `kind`.
pub const RETRIES: &str = "thymeshift_retries_total";
/// Requests that waited for a target, by `kind`.
pub const REQUESTS_WAITED: &str = "thymeshift_waited_total";
/// Time from reading a request's head to the head of its answer, in seconds, by `kind`.
pub const REQUEST_SECONDS: &str = "thymeshift_request_seconds";
/// Requests in flight.
pub const REQUESTS_IN_FLIGHT: &str = "thymeshift_requests_in_flight";
/// Connections from callers.
pub const CALLER_CONNECTIONS: &str = "thymeshift_caller_connections";
/// Connections from callers that were closed at once because there were too many.
pub const CALLER_CONNECTIONS_REJECTED: &str = "thymeshift_callers_turned_away_total";
/// Connections opened to targets, by `service`.
pub const TARGET_CONNECTIONS_OPENED: &str = "thymeshift_target_connections_opened_total";
/// Connections lost while a target had a request, by `service`.
pub const TARGET_CONNECTIONS_LOST: &str = "thymeshift_target_connections_lost_total";
/// Targets that ended while they ran a request of this process, by `service`.
pub const TARGETS_CRASHED: &str = "thymeshift_targets_crashed_total";
/// Headers on answers of targets that this environment gives no meaning to, by `name`.
pub const UNKNOWN_HEADERS: &str = "thymeshift_target_headers_unknown_total";
/// Answers on which a target asked to get no requests for a while, by `service`.
pub const BACKOFFS_ASKED: &str = "thymeshift_target_backoffs_asked_total";
/// Answers of targets whose `Retry-After` cannot be read, by `service`.
pub const BACKOFFS_UNREADABLE: &str = "thymeshift_target_backoffs_unreadable_total";
/// Requests refused because their organisation had used up its limit, by `organisation`.
pub const OVER_QUOTA: &str = "thymeshift_over_quota_total";
/// Requests refused because they carried no known key.
pub const UNKNOWN_KEYS: &str = "thymeshift_unknown_keys_total";
/// Requests begun while one before them on their connection was under way.
pub const PIPELINED_REQUESTS: &str = "thymeshift_requests_ahead_total";
/// Probes sent, by `service`.
pub const PROBES: &str = "thymeshift_probes_total";
/// Target time spent on measuring, in microseconds, by `service`.
pub const MEASURING_US: &str = "thymeshift_measuring_us_total";
/// Revision of the configuration in force.
pub const CONFIGURATION_REVISION: &str = "thymeshift_configuration_revision";
/// Data halls whose targets get no new work.
pub const DRAINED_HALLS: &str = "thymeshift_drained_halls";
/// Entries of the list of targets that cannot be used.
pub const ENTRIES_LEFT_OUT: &str = "thymeshift_entries_left_out";
/// Documents refused, by `offer` (`conflicting`, `rejected`).
pub const DOCUMENTS_REFUSED: &str = "thymeshift_documents_refused_total";
/// Calls to the platform, by `result` (`changed`, `unchanged`, `failed`).
pub const PLATFORM_CALLS: &str = "thymeshift_platform_calls_total";
/// Datagrams to other processes, by `result` (`sent`, `dropped`).
pub const DATAGRAMS: &str = "thymeshift_datagrams_total";
/// Grants that were given back unused: whoever granted did not know of the target's limit.
pub const UNCOUNTED_GRANTS: &str = "thymeshift_uncounted_grants_total";
/// Targets obtained, by `by` (`allocator`, `here`, `alone`, `fallback`).
pub const TARGETS_OBTAINED: &str = "thymeshift_targets_obtained_total";
/// Exchanges with peers, by `result` (`answered`, `failed`).
pub const PEER_EXCHANGES: &str = "thymeshift_peer_exchanges_total";
/// Bytes over links to and from peers since start, by `way` (`received`, `sent`).
pub const PEER_BYTES: &str = "thymeshift_peer_bytes";
/// Longest delay of a tick within the last second, in seconds: how long the process's
/// threads were busy or not running.
pub const TICK_LATE_SECONDS: &str = "thymeshift_tick_late_seconds";
/// Pauses of this process that were noticed.
pub const PAUSES: &str = "thymeshift_pauses_total";
/// Panics, each of which ended only the task it arose in.
pub const PANICS: &str = "thymeshift_panics_total";
/// Tasks that ended unexpectedly, by `task` and `end` (`failed`, `panicked`).
pub const TASK_ENDS: &str = "thymeshift_task_ends_total";

/// The collected metrics as Prometheus text.
#[derive(Clone)]
pub struct MetricsText(PrometheusHandle);

impl MetricsText {
    /// The text at this moment.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Folds what was recorded into the summaries; call it every few seconds, so that
    /// memory stays bounded when nobody reads the text.
    pub fn run_upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Begins to collect metrics. In a process that collects already, the second collection
/// stays empty.
pub fn start_metrics() -> MetricsText {
    let recorder = PrometheusBuilder::new().build_recorder();
    let text = MetricsText(recorder.handle());
    // An error means that another recorder is installed; that one goes on collecting.
    let _ = metrics::set_global_recorder(recorder);
    text
}
