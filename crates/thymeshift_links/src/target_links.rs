//! Judgement whether this process reaches any target.
//!
//! One target that accepts no connection may have ended, and so may many. That a peer connects to a
//! target at the moment at which this process does not tells the two apart: then this process has
//! lost its own links. If no peer reaches the targets either, the links count as lost only after
//! several targets in a row accepted no connection and no target has answered for a while.
//!
//! A refused or reset connection is strong evidence. A slow one is weak, because a full link delays
//! connections as well: it counts only if nothing at all arrives meanwhile, for a time that is unusual
//! for this process.
//!
//! A path may also accept connections and answer nothing. The links count as lost, too, if no target
//! answers the requests sent to it, nothing at all arrives, and a peer reaches such a target. A process
//! without other traffic hears nothing either while targets work on slow requests, so the caller of this
//! judgement first checks that the target answers no probe. Then only an answer restores the links,
//! because connections are accepted all the time.
//!
//! Open connections may live on while new ones fail, so they are judged separately, by answers.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use thymeshift_types::Timestamp;

use crate::arrivals::Arrivals;
use crate::connect_evidence::CONTRADICTED_MIN;
use crate::connect_evidence::ConnectFailure;
use crate::connect_evidence::FailedConnect;
use crate::connect_evidence::FailedConnects;
use crate::connect_evidence::MISSED_MIN;
use crate::connect_evidence::PeerAnswer;
use crate::connect_evidence::count_distinct;
use crate::unanswered::SentRequest;
use crate::unanswered::UNANSWERED_MIN;
use crate::unanswered::Unanswered;

/// Time without an answer of any target that must have passed, too. The targets of a data hall may
/// end at once, but then others answer.
const SILENCE_MIN: Duration = Duration::from_millis(300);
/// Minimum time without an arrival after which slow connections that peers contradict count. Twice
/// the time for which one long answer fills a narrow link (72 ms at 10 Mbit/s).
const SLOW_SILENCE_MIN: Duration = Duration::from_millis(150);
/// Time without an answer, while the links are lost, after which open connections count as dead.
/// Under usual load, a process receives several answers in this time.
const OPEN_SILENCE_MIN: Duration = Duration::from_millis(150);

/// Minimum time between two questions to peers about targets that do not answer. A question takes
/// some 300 bytes, and control messages may take 2 KB a second.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two requests that try links which were lost for missing answers. Each may
/// wait in vain.
const ANSWER_TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which requests leave the trial to a probe of their service, whose probes may be stopped.
const PROBE_PRECEDENCE: Duration = Duration::from_secs(1);
/// Time after which a connection counts as proof although answers were missing, because no request
/// and no probe has tried the links: callers may send nothing that may be repeated.
const ANSWER_TRIAL_OVERDUE: Duration = Duration::from_secs(5);

/// What tries links that were lost for missing answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerTrial {
    /// A probe, or a request that may be repeated to a service without probes.
    Preferred,
    /// A request that may be repeated to a service with probes.
    InsteadOfProbe,
}

impl AnswerTrial {
    fn delay(self) -> Duration {
        match self {
            Self::Preferred => Duration::ZERO,
            Self::InsteadOfProbe => PROBE_PRECEDENCE,
        }
    }
}

/// What decided that the links are lost.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum LossEvidence {
    /// Targets refused or reset connections.
    #[display("refused")]
    Refused,
    /// Connections were slow while nothing arrived.
    #[display("slow_connects")]
    SlowConnects,
    /// Connections were accepted, but no target answered a request.
    #[display("unanswered")]
    Unanswered,
}

/// Change of the judgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// The links count as lost from now on.
    Lost {
        /// What decided.
        evidence: LossEvidence,
    },
    /// A target accepted a connection again, this long after the first failed one.
    Restored {
        /// Time since the first connection that failed.
        after: Duration,
    },
}

/// What this process knows of its links to the targets, for the state dump.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkSnapshot {
    /// Time since the first failed connection, if the links count as lost.
    pub lost_for: Option<Duration>,
    /// Time since a target last accepted a connection.
    pub connected_ago: Option<Duration>,
    /// Time since a target last answered over one of this process's own connections.
    pub answered_ago: Option<Duration>,
    /// Number of connections that failed since a target last accepted one.
    pub failed_connects: u64,
    /// Number of targets that peers reached meanwhile, up to the number that is needed.
    pub reached_by_peers: usize,
    /// What decided that the links are lost, if they count as lost.
    pub evidence: Option<LossEvidence>,
    /// Usual time between two answers, bounded.
    pub usual_interval: Duration,
}

/// Loss that the links have not recovered from.
#[derive(Debug, Clone, Copy)]
struct Loss {
    /// Start of the first failed connection or unanswered request.
    since: Timestamp,
    evidence: LossEvidence,
    /// Time from which a request may try links that were lost for missing answers.
    trial_due_at: Timestamp,
}

/// Links of this process to all targets.
#[derive(Debug, Clone, Default)]
pub struct TargetLinks {
    connected_at: Option<Timestamp>,
    arrivals: Arrivals,
    /// Refused and reset connections since `connected_at`.
    refused: FailedConnects,
    /// Slow connections since `connected_at` and since the last arrival.
    slow: FailedConnects,
    /// Requests since the last arrival.
    unanswered: Unanswered,
    /// Time from which a peer may be asked about targets that do not answer.
    ask_due_at: Timestamp,
    /// Number of these questions, by which the targets are asked about in turn.
    asked: usize,
    failed_connects: u64,
    loss: Option<Loss>,
}

impl TargetLinks {
    /// Records that a target accepted a connection. That does not restore links that were lost for
    /// missing answers.
    pub fn record_connected(&mut self, now: Timestamp) -> Option<LinkChange> {
        self.connected_at = Some(now);
        self.failed_connects = 0;
        self.refused.clear();
        self.slow.clear();
        if !self.is_restored_by_connect(now) {
            return None;
        }
        let loss = self.loss.take()?;
        Some(LinkChange::Restored { after: now.since(loss.since) })
    }

    /// Records that a connection was not opened.
    pub fn record_missed(&mut self, connect: &FailedConnect, now: Timestamp) -> Option<LinkChange> {
        if self.is_outdated(connect) {
            return None;
        }
        self.failed_connects += 1;
        self.failed(connect.failure).add_missed(connect);
        self.judge(now)
    }

    /// Records that a peer connected to the target of a connection that was not opened.
    pub fn record_reached_by_peer(
        &mut self,
        connect: &FailedConnect,
        answer: PeerAnswer,
        now: Timestamp,
    ) -> Option<LinkChange> {
        if self.is_outdated(connect) {
            return None;
        }
        if connect.failure == ConnectFailure::Slow && !answer.is_in_time() {
            self.record_late_peer();
            return None;
        }
        self.failed(connect.failure).add_contradicted(connect);
        self.judge(now)
    }

    /// Records that a peer did not answer in time. The link to everything may be full.
    pub fn record_late_peer(&mut self) {
        self.slow.has_late_peer = true;
    }

    /// Records that a request was sent over one of this process's own connections.
    pub fn record_sent(&mut self, request: SentRequest) {
        let silence = self.unanswered_silence();
        self.unanswered.record_sent(request, silence);
    }

    /// Records that a request ended without an answer.
    pub fn record_given_up(&mut self, request: &SentRequest, now: Timestamp) {
        self.unanswered.record_given_up(request, now);
    }

    /// Records the time from a request over one of this process's own connections to its answer.
    pub fn record_answer_time(&mut self, took: Duration) {
        self.unanswered.record_answer_time(took);
    }

    /// Records that the head of an answer arrived over one of this process's own connections.
    pub fn record_answer(&mut self, now: Timestamp) -> Option<LinkChange> {
        self.arrivals.record_head(now);
        let change = self.record_arrival(now);
        if self.is_lost() {
            self.arrivals.record_loss();
        }
        change
    }

    /// Records that bytes of an answer's body arrived over one of this process's own connections.
    pub fn record_body(&mut self, now: Timestamp) -> Option<LinkChange> {
        self.arrivals.record_bytes(now);
        self.record_arrival(now)
    }

    /// Returns a target that should now be checked with a probe and that a peer should be asked about,
    /// because targets do not answer. If the peer reaches it and it does not answer the probe,
    /// [`TargetLinks::record_silent_target_reached`] decides.
    pub fn take_silent_target(&mut self, now: Timestamp) -> Option<SocketAddr> {
        if now < self.ask_due_at {
            return None;
        }
        let silence = self.unanswered_silence();
        self.unanswered.forget_old(silence, now);
        self.silent_since(now)?;
        self.ask_due_at = now + ASK_INTERVAL;
        self.asked = self.asked.wrapping_add(1);
        let count = self.unanswered.late(now).count();
        self.unanswered.late(now).nth(self.asked % count).map(|request| request.target)
    }

    /// Returns whether targets may not answer this process either: nothing has arrived since a request
    /// was sent, for half of the silence by which its own links would be judged. All processes notice
    /// targets that hang within some tens of milliseconds.
    pub fn may_be_unanswered(&self, now: Timestamp) -> bool {
        let silence = self.unanswered_silence() / 2;
        self.unanswered.first_sent_at.is_some_and(|sent_at| now.since(sent_at) >= silence)
    }

    /// Records that a peer, asked because targets do not answer, connected to one of them.
    pub fn record_silent_target_reached(
        &mut self,
        target: SocketAddr,
        answer: PeerAnswer,
        now: Timestamp,
    ) -> Option<LinkChange> {
        let since = self.silent_since(now)?;
        let is_late = self.unanswered.late(now).any(|request| request.target == target);
        if !answer.is_in_time() || !is_late {
            return None;
        }
        Some(self.lose(since, LossEvidence::Unanswered, now))
    }

    /// Returns whether a request or a probe should now try the own links, which were lost for missing
    /// answers.
    pub fn take_answer_trial(&mut self, by: AnswerTrial, now: Timestamp) -> bool {
        let is_due = |loss: &&mut Loss| {
            loss.evidence == LossEvidence::Unanswered && now >= loss.trial_due_at + by.delay()
        };
        let Some(loss) = self.loss.as_mut().filter(is_due) else {
            return false;
        };
        loss.trial_due_at = now + ANSWER_TRIAL_INTERVAL;
        true
    }

    /// Returns whether an accepted connection restores the links. Links that were lost for missing
    /// answers are restored by it only if nothing has tried them for long.
    pub fn is_restored_by_connect(&self, now: Timestamp) -> bool {
        self.loss.is_some_and(|loss| {
            loss.evidence != LossEvidence::Unanswered
                || now >= loss.trial_due_at + ANSWER_TRIAL_OVERDUE
        })
    }

    /// Judges the links again, because a silence may have become long enough since the last record.
    pub fn judge(&mut self, now: Timestamp) -> Option<LinkChange> {
        if self.loss.is_some() {
            return None;
        }
        let evidence = self.evidence(now)?;
        let since = [self.refused.since, self.slow.since].into_iter().flatten().min();
        Some(self.lose(since.unwrap_or(now), evidence, now))
    }

    /// Returns whether this process has lost its links to the targets.
    pub fn is_lost(&self) -> bool {
        self.loss.is_some()
    }

    /// Returns what decided that the links are lost, if they are.
    pub fn evidence_of_loss(&self) -> Option<LossEvidence> {
        self.loss.map(|loss| loss.evidence)
    }

    /// Returns whether the links are lost for open connections, too, so that requests on them wait
    /// in vain. Open connections may live on while new ones are refused.
    pub fn are_open_silent(&self, now: Timestamp) -> bool {
        let is_silent =
            |loss: Loss| self.arrivals.is_silent_since(loss.since, OPEN_SILENCE_MIN, now);
        self.loss.is_some_and(is_silent)
    }

    /// Returns what is known of the links, for the state dump.
    pub fn snapshot(&self, now: Timestamp) -> LinkSnapshot {
        let ago = |at: Option<Timestamp>| at.map(|at| now.since(at));
        LinkSnapshot {
            lost_for: ago(self.loss.map(|loss| loss.since)),
            connected_ago: ago(self.connected_at),
            answered_ago: ago(self.arrivals.answered_at),
            failed_connects: self.failed_connects,
            reached_by_peers: self.contradicted_count().min(CONTRADICTED_MIN),
            evidence: self.loss.map(|loss| loss.evidence),
            usual_interval: self.arrivals.usual_interval,
        }
    }

    fn lose(&mut self, since: Timestamp, evidence: LossEvidence, now: Timestamp) -> LinkChange {
        self.arrivals.record_loss();
        self.loss = Some(Loss { since, evidence, trial_due_at: now + ANSWER_TRIAL_INTERVAL });
        LinkChange::Lost { evidence }
    }

    /// Discards weak evidence, which bytes that arrive contradict.
    fn record_arrival(&mut self, now: Timestamp) -> Option<LinkChange> {
        self.slow.clear();
        self.unanswered.clear();
        let is_restored = |loss: &mut Loss| loss.evidence == LossEvidence::Unanswered;
        let loss = self.loss.take_if(is_restored)?;
        Some(LinkChange::Restored { after: now.since(loss.since) })
    }

    /// Returns when the first request was sent, if enough targets have not answered and nothing else
    /// has arrived either.
    fn silent_since(&self, now: Timestamp) -> Option<Timestamp> {
        let since = self.unanswered.silent_since(now).filter(|_| !self.is_lost())?;
        let silence = self.unanswered_silence();
        self.arrivals.is_silent_since(since, silence, now).then_some(since)
    }

    fn unanswered_silence(&self) -> Duration {
        self.arrivals.unusual_silence(UNANSWERED_MIN).max(self.unanswered.patience())
    }

    /// Returns whether a failed connection says nothing, because a later one was opened, or because
    /// it was only slow and bytes have arrived since it began.
    fn is_outdated(&self, connect: &FailedConnect) -> bool {
        let is_before = |at: Option<Timestamp>| at.is_some_and(|at| connect.began_at < at);
        let is_slow = connect.failure == ConnectFailure::Slow;
        is_before(self.connected_at) || (is_slow && is_before(self.arrivals.arrived_at))
    }

    fn failed(&mut self, failure: ConnectFailure) -> &mut FailedConnects {
        match failure {
            ConnectFailure::Refused => &mut self.refused,
            ConnectFailure::Slow => &mut self.slow,
        }
    }

    fn contradicted_count(&self) -> usize {
        count_distinct(&self.refused.contradicted, &self.slow.contradicted)
    }

    /// Returns what proves now that the links are lost.
    fn evidence(&self, now: Timestamp) -> Option<LossEvidence> {
        if self.is_refused(now) {
            return Some(LossEvidence::Refused);
        }
        self.is_slow(now).then_some(LossEvidence::SlowConnects)
    }

    /// Returns whether refused connections alone prove that the links are lost.
    fn is_refused(&self, now: Timestamp) -> bool {
        let is_contradicted = self.refused.contradicted.len() >= CONTRADICTED_MIN;
        let is_silent = self.refused.missed.len() >= MISSED_MIN
            && self.is_silent(self.refused.since, SILENCE_MIN, now);
        is_contradicted || is_silent
    }

    /// Returns whether slow connections prove that the links are lost, together with refused ones if
    /// there are any.
    fn is_slow(&self, now: Timestamp) -> bool {
        let is_silent_for = |time: Duration| self.is_silent(self.slow.since, time, now);
        let contradicted_silence = self.arrivals.unusual_silence(SLOW_SILENCE_MIN);
        let is_contradicted =
            self.contradicted_count() >= CONTRADICTED_MIN && is_silent_for(contradicted_silence);
        // A peer that reaches a target, or is late as the connects are, speaks for a full link.
        let may_be_full = self.slow.has_late_peer || self.contradicted_count() > 0;
        let missed_silence =
            if may_be_full { self.arrivals.unusual_silence(SILENCE_MIN) } else { SILENCE_MIN };
        let missed_count = count_distinct(&self.refused.missed, &self.slow.missed);
        is_contradicted || (missed_count >= MISSED_MIN && is_silent_for(missed_silence))
    }

    /// Returns whether connections have failed since `since` and nothing has arrived for `time`.
    fn is_silent(&self, since: Option<Timestamp>, time: Duration, now: Timestamp) -> bool {
        since.is_some_and(|since| self.arrivals.is_silent_since(since, time, now))
    }
}
