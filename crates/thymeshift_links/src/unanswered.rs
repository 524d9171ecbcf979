//! Requests that were sent over this process's own connections since anything last arrived.

use std::net::SocketAddr;
use std::time::Duration;

use thymeshift_types::Timestamp;

/// Minimum time for which a request must wait before its missing answer counts. Most answers take
/// less, and a shorter silence ends by itself.
pub(crate) const UNANSWERED_MIN: Duration = Duration::from_millis(300);
/// Number of usual answer times for which a request must wait, so that a slow service does not count.
const ANSWER_TIMES_MIN: u32 = 3;
/// Number of targets that must not answer. One target may have stopped.
const SILENT_TARGETS_MIN: usize = 2;
/// Maximum number of targets that are remembered; some more than needed, as requests are given up.
const TARGETS_MAX: usize = 4;
/// Upper bound of each measured answer time, so that one stalled answer does not delay the judgement
/// for long.
const ANSWER_TIME_MAX: Duration = Duration::from_secs(10);
/// Reciprocal weight of the newest answer time in the mean.
const MEAN_WEIGHT: u32 = 8;
/// Time beyond twice the required silence after which a request is forgotten. Without newer requests,
/// a missing answer says nothing about the links now.
const MEMORY_MARGIN: Duration = Duration::from_secs(1);

/// Request that was sent over one of this process's own connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentRequest {
    /// Address of the target.
    pub target: SocketAddr,
    /// Time at which the request was sent.
    pub sent_at: Timestamp,
    /// Time in which this target is expected to answer.
    pub expected: Duration,
}

/// Requests without an answer since the last arrival, the oldest of each target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Unanswered {
    sent: Vec<SentRequest>,
    /// Time at which the first request since the last arrival was sent, however long ago.
    pub(crate) first_sent_at: Option<Timestamp>,
    /// Exponential mean of the answer times; zero until an answer has arrived.
    usual_answer: Duration,
}

impl Unanswered {
    pub(crate) fn record_sent(&mut self, request: SentRequest, silence: Duration) {
        self.first_sent_at.get_or_insert(request.sent_at);
        self.forget_old(silence, request.sent_at);
        let is_known = self.sent.iter().any(|sent| sent.target == request.target);
        if !is_known && self.sent.len() < TARGETS_MAX {
            self.sent.push(request);
        }
    }

    /// Records that a request ended without an answer. It counts only if it waited for as long as
    /// answers usually take.
    pub(crate) fn record_given_up(&mut self, request: &SentRequest, now: Timestamp) {
        let usual = self.usual_answer.max(request.expected).max(UNANSWERED_MIN);
        if now.since(request.sent_at) < usual {
            self.sent.retain(|sent| sent != request);
        }
    }

    pub(crate) fn record_answer_time(&mut self, took: Duration) {
        let took = took.min(ANSWER_TIME_MAX);
        let is_first = self.usual_answer.is_zero();
        let mean = (self.usual_answer * (MEAN_WEIGHT - 1) + took) / MEAN_WEIGHT;
        self.usual_answer = if is_first { took } else { mean };
    }

    /// Forgets requests that say nothing about the links now, if `silence` is the required silence.
    pub(crate) fn forget_old(&mut self, silence: Duration, now: Timestamp) {
        let memory = silence * 2 + MEMORY_MARGIN;
        self.sent.retain(|sent| now.since(sent.sent_at) <= memory);
    }

    pub(crate) fn clear(&mut self) {
        self.sent.clear();
        self.first_sent_at = None;
    }

    /// Returns the time after which the answer to a request counts as missing.
    pub(crate) fn patience(&self) -> Duration {
        let expected = self.sent.iter().map(|sent| sent.expected).max().unwrap_or_default();
        (self.usual_answer.max(expected) * ANSWER_TIMES_MIN).max(UNANSWERED_MIN)
    }

    /// Returns the requests whose answers are missing.
    pub(crate) fn late(&self, now: Timestamp) -> impl Iterator<Item = &SentRequest> {
        let patience = self.patience();
        self.sent.iter().filter(move |sent| now.since(sent.sent_at) >= patience)
    }

    /// Returns when the first request was sent, if the answers of enough targets are missing.
    pub(crate) fn silent_since(&self, now: Timestamp) -> Option<Timestamp> {
        let is_silent = self.late(now).count() >= SILENT_TARGETS_MIN;
        self.sent.iter().map(|sent| sent.sent_at).min().filter(|_| is_silent)
    }
}
