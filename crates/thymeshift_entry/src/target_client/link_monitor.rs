//! Records how this process's own connections to targets fare, and logs when it reaches no target.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use parking_lot::Mutex;
use spdlog::warn;
use thymeshift_links::AnswerTrial;
use thymeshift_links::FailedConnect;
use thymeshift_links::LinkChange;
use thymeshift_links::LinkSnapshot;
use thymeshift_links::LossEvidence;
use thymeshift_links::PeerAnswer;
use thymeshift_links::SentRequest;
use thymeshift_links::TargetLinks;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::ServiceName;
use thymeshift_types::Timestamp;
use tokio::sync::watch;

use crate::target_client::connector::ConnectError;

/// Time for which requests are refused at once after no peer helped. Short, as a peer under load may
/// answer the next request.
const NO_PATH_TTL: Duration = Duration::from_millis(50);

/// State of the links that waiting tasks react to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum LinkState {
    /// Targets accept connections of this process, as far as it knows.
    #[default]
    Connected,
    /// New connections fail; open ones may live on.
    Lost,
    /// New connections fail, and nothing arrives on open ones.
    Silent,
}

/// Request that waits for its answer over one of this process's own connections.
pub(super) struct SentGuard<'a> {
    monitor: &'a LinkMonitor,
    request: SentRequest,
}

impl Drop for SentGuard<'_> {
    fn drop(&mut self) {
        self.monitor.links.lock().record_given_up(&self.request, BootClock.now());
    }
}

/// Links of this process to the targets of all services.
#[derive(Default)]
pub(crate) struct LinkMonitor {
    links: Mutex<TargetLinks>,
    state: watch::Sender<LinkState>,
    /// Whether a target also left a check unanswered when the links were judged lost.
    is_checked: AtomicBool,
    /// Time until which no path to a target is expected to exist.
    no_path_until: Mutex<Option<Timestamp>>,
}

impl LinkMonitor {
    /// Records that a connection to a target was not opened or did not last.
    pub(super) fn record_missed(
        &self,
        service: &ServiceName,
        connect: &FailedConnect,
        error: &ConnectError,
    ) {
        let (service, reason) = (service.as_str().to_owned(), error.kind());
        counter!(metric::TARGET_CONNECTS_FAILED, "service" => service, "reason" => reason)
            .increment(1);
        let change = self.links.lock().record_missed(connect, BootClock.now());
        self.apply(change);
    }

    /// Records that a target uses a new connection. Returns whether this restored the links.
    pub(super) fn record_connected(&self) -> bool {
        let change = self.links.lock().record_connected(BootClock.now());
        self.apply(change);
        change.is_some()
    }

    /// Records that a peer reached a target that did not accept the own connection.
    pub(super) fn record_reached_by_peer(&self, connect: &FailedConnect, answer: PeerAnswer) {
        let now = BootClock.now();
        let change = self.links.lock().record_reached_by_peer(connect, answer, now);
        self.apply(change);
    }

    /// Records that a peer did not answer in time.
    pub(super) fn record_late_peer(&self) {
        self.links.lock().record_late_peer();
    }

    /// Judges the links again, because a silence may have become long enough.
    pub(super) fn judge(&self) {
        let change = self.links.lock().judge(BootClock.now());
        self.apply(change);
    }

    /// Records that a request is sent over one of this process's own connections, until the guard is
    /// dropped.
    pub(super) fn record_sent(&self, request: SentRequest) -> SentGuard<'_> {
        self.links.lock().record_sent(request);
        SentGuard { monitor: self, request }
    }

    /// Records that the head of an answer arrived over one of this process's own connections, after
    /// this time. Returns whether this restored the links.
    pub(super) fn record_answer(&self, took: Option<Duration>) -> bool {
        let mut links = self.links.lock();
        if let Some(took) = took {
            links.record_answer_time(took);
        }
        let change = links.record_answer(BootClock.now());
        drop(links);
        self.apply(change);
        change.is_some()
    }

    /// Records that bytes of an answer's body arrived over one of this process's own connections.
    /// Returns whether this restored the links.
    pub(super) fn record_body(&self) -> bool {
        let change = self.links.lock().record_body(BootClock.now());
        self.apply(change);
        change.is_some()
    }

    /// Returns a target that a peer should be asked about, because targets do not answer.
    pub(super) fn take_silent_target(&self) -> Option<SocketAddr> {
        self.links.lock().take_silent_target(BootClock.now())
    }

    /// Returns whether targets seem not to answer this process either, so that it proves nothing to a
    /// peer that they do not answer.
    pub(crate) fn may_be_unanswered(&self) -> bool {
        self.links.lock().may_be_unanswered(BootClock.now())
    }

    /// Records that a peer reached a target that does not answer. `is_checked` tells whether the target
    /// left a check unanswered, too.
    pub(super) fn record_silent_target_reached(
        &self,
        target: SocketAddr,
        answer: PeerAnswer,
        is_checked: bool,
    ) {
        let now = BootClock.now();
        self.is_checked.store(is_checked, Ordering::Relaxed);
        let change = self.links.lock().record_silent_target_reached(target, answer, now);
        self.apply(change);
    }

    /// Returns whether a request should try the own links, which were lost for missing answers.
    pub(super) fn take_answer_trial(&self, by: AnswerTrial) -> bool {
        self.is_lost() && self.links.lock().take_answer_trial(by, BootClock.now())
    }

    /// Returns whether an accepted connection restores the links.
    pub(super) fn is_restored_by_connect(&self) -> bool {
        self.links.lock().is_restored_by_connect(BootClock.now())
    }

    /// Records that a peer relays a connection.
    pub(super) fn record_path(&self) {
        *self.no_path_until.lock() = None;
    }

    /// Records that no peer relays a connection, although the own links are lost.
    pub(super) fn record_no_path(&self) {
        *self.no_path_until.lock() = Some(BootClock.now() + NO_PATH_TTL);
    }

    pub(super) fn has_no_path(&self, now: Timestamp) -> bool {
        self.is_lost() && self.no_path_until.lock().is_some_and(|until| now < until)
    }

    /// Returns whether this process has lost its links to the targets.
    pub(crate) fn is_lost(&self) -> bool {
        *self.state.borrow() != LinkState::Connected
    }

    /// Returns whether nothing arrives on open connections either.
    pub(crate) fn is_silent(&self) -> bool {
        *self.state.borrow() == LinkState::Silent
    }

    /// Returns whether requests on open connections are known to wait in vain, from a check and not only
    /// from silence. Open connections may live on while new ones fail.
    pub(super) fn is_silence_checked(&self) -> bool {
        let is_unanswered = self.links.lock().evidence_of_loss() == Some(LossEvidence::Unanswered);
        is_unanswered && self.is_checked.load(Ordering::Relaxed)
    }

    /// Returns the state, which changes are received from.
    pub(crate) fn state(&self) -> watch::Receiver<LinkState> {
        self.state.subscribe()
    }

    /// Judges anew whether open connections are silent, while the links are lost.
    pub(super) fn judge_open_connections(&self) {
        let is_silent = self.links.lock().are_open_silent(BootClock.now());
        let judged = if is_silent { LinkState::Silent } else { LinkState::Lost };
        self.state.send_if_modified(|state| {
            let is_changed = *state != LinkState::Connected && *state != judged;
            if is_changed {
                *state = judged;
            }
            is_changed
        });
    }

    /// Returns what is known of the links, for the state dump.
    pub(crate) fn snapshot(&self, now: Timestamp) -> LinkSnapshot {
        self.links.lock().snapshot(now)
    }

    fn apply(&self, change: Option<LinkChange>) {
        match change {
            None => {}
            Some(LinkChange::Lost { evidence }) => {
                self.state.send_replace(LinkState::Lost);
                gauge!(metric::TARGET_LINKS_LOST).set(1.0);
                self.log_lost(evidence);
            }
            Some(LinkChange::Restored { after }) => {
                self.state.send_replace(LinkState::Connected);
                gauge!(metric::TARGET_LINKS_LOST).set(0.0);
                warn!("target_links_restored", kv: { after_ms = after.as_millis() as u64 });
            }
        }
    }
    fn log_lost(&self, evidence: LossEvidence) {
        let snapshot = self.snapshot(BootClock.now());
        let LinkSnapshot { lost_for, connected_ago, answered_ago, .. } = snapshot;
        let ms = |ago: Option<Duration>| ago.map_or(0, |ago| ago.as_millis() as u64);
        warn!("target_links_lost", kv: {
            evidence: = evidence, failed_connects = snapshot.failed_connects,
            reached_by_peers = snapshot.reached_by_peers, lost_for_ms = ms(lost_for),
            connected_ago_ms = ms(connected_ago), answered_ago_ms = ms(answered_ago),
            usual_interval_ms = ms(Some(snapshot.usual_interval))
        });
    }
}
