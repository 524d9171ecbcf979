//! Matches quota requests to the replies of the counter, which counts an organisation's requests.

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use thymeshift_wire::QuotaGrant;
use thymeshift_wire::QuotaRequestNumber;
use tokio::sync::oneshot;

/// Reply to a request for quota tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaReply {
    /// Tokens granted by the counter.
    Counted(QuotaGrant),
    /// The replying process does not count for the organisation.
    NotCounter,
}

/// Outstanding requests for quota tokens, by request number.
#[derive(Default)]
pub(super) struct PendingQuotaAsks {
    next_number: AtomicU64,
    pending: Mutex<HashMap<QuotaRequestNumber, oneshot::Sender<QuotaReply>>>,
}

/// Registered quota request; dropping this value removes the registration.
pub(super) struct PendingQuotaAsk<'a> {
    pending_asks: &'a PendingQuotaAsks,
    number: QuotaRequestNumber,
    pub(super) reply: oneshot::Receiver<QuotaReply>,
}

impl PendingQuotaAsks {
    pub(super) fn next_number(&self) -> QuotaRequestNumber {
        QuotaRequestNumber(self.next_number.fetch_add(1, Ordering::Relaxed))
    }

    /// Registers a quota request, so that its reply is delivered to the returned receiver.
    pub(super) fn register(&self, number: QuotaRequestNumber) -> PendingQuotaAsk<'_> {
        let (sender, reply) = oneshot::channel();
        self.pending.lock().insert(number, sender);
        PendingQuotaAsk { pending_asks: self, number, reply }
    }

    /// Delivers a reply to the quota request with this number, if one is registered.
    pub(super) fn deliver(&self, number: QuotaRequestNumber, reply: QuotaReply) {
        if let Some(sender) = self.pending.lock().remove(&number) {
            // A send fails only if the waiting request was cancelled.
            let _ = sender.send(reply);
        }
    }
}

impl Drop for PendingQuotaAsk<'_> {
    fn drop(&mut self) {
        self.pending_asks.pending.lock().remove(&self.number);
    }
}
