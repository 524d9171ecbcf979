//! Questions to the process that counts an organisation's requests, and their answers.

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use thymeshift_wire::QuestionNumber;
use thymeshift_wire::QuotaGrant;
use tokio::sync::oneshot;

/// What came back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaReply {
    Counted(QuotaGrant),
    /// Another process counts.
    NotCounter,
}

/// Questions that wait for an answer.
#[derive(Default)]
pub(super) struct PendingQuotaAsks {
    next_number: AtomicU64,
    pending: Mutex<HashMap<QuestionNumber, oneshot::Sender<QuotaReply>>>,
}

/// A question that is forgotten when it is dropped.
pub(super) struct PendingQuotaAsk<'a> {
    questions: &'a PendingQuotaAsks,
    number: QuestionNumber,
    pub(super) reply: oneshot::Receiver<QuotaReply>,
}

impl PendingQuotaAsks {
    pub(super) fn next_number(&self) -> QuestionNumber {
        QuestionNumber(self.next_number.fetch_add(1, Ordering::Relaxed))
    }

    /// Waits for the answer to a question.
    pub(super) fn register(&self, number: QuestionNumber) -> PendingQuotaAsk<'_> {
        let (sender, reply) = oneshot::channel();
        self.pending.lock().insert(number, sender);
        PendingQuotaAsk { questions: self, number, reply }
    }

    pub(super) fn deliver(&self, number: QuestionNumber, reply: QuotaReply) {
        if let Some(sender) = self.pending.lock().remove(&number) {
            // Nobody waits any more if this fails.
            let _ = sender.send(reply);
        }
    }
}

impl Drop for PendingQuotaAsk<'_> {
    fn drop(&mut self) {
        self.questions.pending.lock().remove(&self.number);
    }
}
