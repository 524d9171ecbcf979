//! Decides which heartbeats of source readers are forwarded within a data hall.
//!
//! Two readers call the source about once a second each, and some processes of a hall receive the
//! heartbeats of both. Successful calls carry the same information unless a document changed,
//! so the hall needs only one such heartbeat per [`REPEAT_INTERVAL`].
//! A heartbeat that announces a changed document is forwarded at once.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Time after which an unchanged heartbeat is forwarded again:
/// half of the silence after which a process reads the source itself.
const REPEAT_INTERVAL: Duration = Duration::from_millis(600);

/// Filter that remembers the last forwarded heartbeats; `H` describes the reader's documents.
#[derive(Debug, Clone)]
pub struct ForwardingFilter<H> {
    last_answer: Option<(H, Timestamp)>,
    last_failure_at: Option<Timestamp>,
}

impl<H> Default for ForwardingFilter<H> {
    fn default() -> Self {
        Self { last_answer: None, last_failure_at: None }
    }
}

impl<H: Copy + PartialEq> ForwardingFilter<H> {
    /// Returns whether a heartbeat that arrives now is to be forwarded,
    /// and records it as forwarded if so.
    pub fn is_due(&mut self, is_answered: bool, heads: H, now: Timestamp) -> bool {
        let is_old = |at: Timestamp| now.since(at) >= REPEAT_INTERVAL;
        if !is_answered {
            let is_due = self.last_failure_at.is_none_or(is_old);
            if is_due {
                self.last_failure_at = Some(now);
            }
            return is_due;
        }
        let is_due =
            self.last_answer.is_none_or(|(forwarded, at)| forwarded != heads || is_old(at));
        if is_due {
            self.last_answer = Some((heads, now));
        }
        is_due
    }
}
