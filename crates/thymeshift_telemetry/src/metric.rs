//! Names of all metrics, with their labels and meaning.
//! `docs/OPERATIONS.md` lists the same metrics.

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Requests, by `kind` and `result` (`answered`, `not_run`, `unknown`, `failed`).
pub const REQUESTS: &str = "thymeshift_requests_total";
/// Attempts after the first attempt of a request, by `kind`.
pub const RETRIES: &str = "thymeshift_retries_total";
/// Requests that waited for a target, by `kind`.
pub const REQUESTS_WAITED: &str = "thymeshift_waited_total";
/// Requests that asked for a target with a local wait, by `kind` and `result`.
///
/// * `home`: the target is in the data hall of the process.
/// * `crossed`: the target is in another data hall.
/// * `refused`: the request got no target.
pub const LOCAL_WAITS: &str = "thymeshift_local_waits_total";
/// Bytes of answers that came from another data hall, by `kind` and `cause`.
///
/// * `local_wait_ended`: the request waited for a home target until its local wait had ended.
/// * `no_home_target`: the home hall could not serve the request within its local wait.
/// * `no_wait`: the request or the further attempt had no local wait.
pub const HALL_CROSSING_BYTES: &str = "thymeshift_hall_crossing_bytes_total";
/// Requests that an allocator refused while callers are served fairly, by `share` (`over`: the
/// caller asks for more than four times the mean; `within`).
pub const CALLERS_REFUSED: &str = "thymeshift_callers_refused_total";
/// Time from reading the head of a request to the head of its answer, in seconds, by `kind`.
pub const REQUEST_SECONDS: &str = "thymeshift_request_seconds";
/// Number of requests in flight.
pub const REQUESTS_IN_FLIGHT: &str = "thymeshift_requests_in_flight";
/// Number of open connections from callers.
pub const CALLER_CONNECTIONS: &str = "thymeshift_caller_connections";
/// Connections from callers that were closed immediately because the connection limit was reached.
pub const CALLER_CONNECTIONS_REJECTED: &str = "thymeshift_callers_turned_away_total";
/// Connections that were closed while bytes from their callers had arrived and were not read.
pub const CALLER_CONNECTIONS_CLOSED_UNREAD: &str = "thymeshift_caller_closed_unread_total";
/// Connections that a planned stop took from the accept queue when it ended accepting.
pub const CALLERS_ACCEPTED_LATE: &str = "thymeshift_callers_accepted_late_total";
/// Requests that a planned stop served after it had ended accepting.
pub const REQUESTS_SERVED_LATE: &str = "thymeshift_requests_served_late_total";
/// Connections opened to targets, by `service`.
pub const TARGET_CONNECTIONS_OPENED: &str = "thymeshift_target_connections_opened_total";
/// Connections to targets that could not be opened, by `service` and `reason` (`refused`, `reset`,
/// `timed_out`, `failed`, `handshake`).
pub const TARGET_CONNECTS_FAILED: &str = "thymeshift_target_connects_failed_total";
/// Whether this process reaches no target over its own links: 1 while it does not, else 0.
pub const TARGET_LINKS_LOST: &str = "thymeshift_target_links_lost";
/// Peers asked to relay a connection to a target, by `result` (`opened`, `refused`, `timed_out`,
/// `links_lost`, `busy`, `stopping`, `unknown_target`, `no_answer`).
pub const RELAYS_ASKED: &str = "thymeshift_relays_asked_total";
/// Connections to targets that peers asked this process to relay, by `result` as above.
pub const RELAYS_SERVED: &str = "thymeshift_relays_served_total";
/// Number of connections to targets that this process relays for peers.
pub const RELAYS_IN_PROGRESS: &str = "thymeshift_relays_in_progress";
/// Connections to targets that were lost while a request was in flight on them, by `service`.
pub const TARGET_CONNECTIONS_LOST: &str = "thymeshift_target_connections_lost_total";
/// Answers that were broken off after their start had been forwarded, by `reason` (`deadline`, `stalled`,
/// `broken`).
pub const ANSWERS_BROKEN_OFF: &str = "thymeshift_answers_broken_off_total";
/// Targets that crashed while they ran a request of this process, by `service`.
pub const TARGETS_CRASHED: &str = "thymeshift_targets_crashed_total";
/// Headers in answers of targets that are unknown in this environment, by `name`.
pub const UNKNOWN_HEADERS: &str = "thymeshift_target_headers_unknown_total";
/// Answers in which a target asked for no requests for some time, by `service`.
pub const BACKOFFS_ASKED: &str = "thymeshift_target_backoffs_asked_total";
/// Answers of targets with a `Retry-After` header that cannot be parsed, by `service`.
pub const BACKOFFS_UNREADABLE: &str = "thymeshift_target_backoffs_unreadable_total";
/// Requests refused because their organisation had exceeded its rate limit, by `organisation`.
pub const OVER_QUOTA: &str = "thymeshift_over_quota_total";
/// Requests refused because they carried no known key.
pub const UNKNOWN_KEYS: &str = "thymeshift_unknown_keys_total";
/// Pipelined requests, started while an earlier request on their connection was in flight.
pub const PIPELINED_REQUESTS: &str = "thymeshift_requests_ahead_total";
/// Probes sent to targets, by `service`.
pub const PROBES: &str = "thymeshift_probes_total";
/// Target time spent on measuring, in microseconds, by `service`.
pub const MEASURING_US: &str = "thymeshift_measuring_us_total";
/// Revision of the configuration in force.
pub const CONFIGURATION_REVISION: &str = "thymeshift_configuration_revision";
/// Number of values of the configuration in force that are not as published.
pub const CONFIGURATION_ADJUSTMENTS: &str = "thymeshift_configuration_adjustments";
/// Number of drained data halls, whose targets receive no new requests.
pub const DRAINED_HALLS: &str = "thymeshift_drained_halls";
/// Number of invalid entries in the list of discovered targets; such entries are skipped.
pub const ENTRIES_LEFT_OUT: &str = "thymeshift_entries_left_out";
/// Time for which a newer document than the one in force has been known, in seconds, by `document`
/// (`configuration`, `targets`).
pub const DOCUMENTS_BEHIND_SECONDS: &str = "thymeshift_documents_behind_seconds";
/// Documents refused, by `offer` (`conflicting`, `older`, `rejected`).
pub const DOCUMENTS_REFUSED: &str = "thymeshift_documents_refused_total";
/// Answers of the source whose epoch cannot be read.
pub const SOURCE_EPOCHS_UNREADABLE: &str = "thymeshift_source_epochs_unreadable_total";
/// Calls to the platform, by `result` (`changed`, `unchanged`, `failed`).
pub const PLATFORM_CALLS: &str = "thymeshift_platform_calls_total";
/// Datagrams to other processes, by `result` (`sent`, `dropped`).
pub const DATAGRAMS: &str = "thymeshift_datagrams_total";
/// Grants returned unused because the allocator did not know the target's rate limit.
pub const UNCOUNTED_GRANTS: &str = "thymeshift_uncounted_grants_total";
/// Targets obtained for requests, by `by`.
///
/// * `allocator`: the allocator in another process.
/// * `here`: the allocator in this process.
/// * `alone`: the local dispatcher of a process without a datagram socket.
/// * `fallback`: the local dispatcher, because no allocator provided a target.
pub const TARGETS_OBTAINED: &str = "thymeshift_targets_obtained_total";
/// Requests that the group of a data hall redirected to another group, by `cause`.
///
/// * `no_room`: the group has no spare capacity.
/// * `reserved`: the spare capacity is reserved for requests with longer answers.
pub const REDIRECTS: &str = "thymeshift_redirects_total";
/// State exchanges with peers, by `result` (`answered`, `failed`).
pub const PEER_EXCHANGES: &str = "thymeshift_peer_exchanges_total";
/// Bytes transferred over peer connections since the start, by `way` (`received`, `sent`).
pub const PEER_BYTES: &str = "thymeshift_peer_bytes";
/// Maximum delay of a tick in the last second, in seconds.
/// A delay shows that the threads of the process were busy or not scheduled.
pub const TICK_LATE_SECONDS: &str = "thymeshift_tick_late_seconds";
/// Detected pauses of this process.
pub const PAUSES: &str = "thymeshift_pauses_total";
/// Panics, each of which ended only the task that it occurred in.
pub const PANICS: &str = "thymeshift_panics_total";
/// Tasks that ended unexpectedly, by `task` and `end` (`failed`, `panicked`).
pub const TASK_ENDS: &str = "thymeshift_task_ends_total";

/// Collected metrics in the text format of Prometheus.
#[derive(Clone)]
pub struct MetricsText(PrometheusHandle);

impl MetricsText {
    /// Renders the current values of all metrics.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Merges recorded samples into the summaries.
    /// Must run every few seconds to bound memory while no client scrapes the metrics.
    pub fn run_upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Installs the metrics recorder of the process.
/// If the process already has a recorder, the returned text stays empty.
pub fn start_metrics() -> MetricsText {
    let recorder = PrometheusBuilder::new().build_recorder();
    let text = MetricsText(recorder.handle());
    // An error means that another recorder is already installed, which stays in use.
    let _ = metrics::set_global_recorder(recorder);
    text
}
