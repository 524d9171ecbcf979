//! When a reader's news is passed on within a data hall.
//!
//! Two readers call about once a second each, and some processes of a hall hear of both. Each
//! call that was answered says the same unless documents changed, so that the hall needs to hear
//! of one in [`REPEATED_AFTER`]; a changed document is passed on at once.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Time after which news that says nothing new is passed on again: half of the silence after
/// which a process reads the source itself.
const REPEATED_AFTER: Duration = Duration::from_millis(600);

/// What was passed on last; `H` is what a reader tells of its documents.
#[derive(Debug, Clone)]
pub struct ForwardingFilter<H> {
    answered: Option<(H, Timestamp)>,
    failed_at: Option<Timestamp>,
}

impl<H> Default for ForwardingFilter<H> {
    fn default() -> Self {
        Self { answered: None, failed_at: None }
    }
}

impl<H: Copy + PartialEq> ForwardingFilter<H> {
    /// Whether news that arrives now is to be passed on; if so, it counts as passed on.
    pub fn is_due(&mut self, is_answered: bool, heads: H, now: Timestamp) -> bool {
        let is_old = |at: Timestamp| now.since(at) >= REPEATED_AFTER;
        if !is_answered {
            let is_due = self.failed_at.is_none_or(is_old);
            if is_due {
                self.failed_at = Some(now);
            }
            return is_due;
        }
        let is_due = self.answered.is_none_or(|(told, at)| told != heads || is_old(at));
        if is_due {
            self.answered = Some((heads, now));
        }
        is_due
    }
}
