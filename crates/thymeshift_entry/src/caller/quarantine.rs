//! What is held against one request, and what its attempts show.

use std::sync::Arc;

use thymeshift_fleet::Verdict;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Fingerprint;

use crate::caller::forward::AttemptResult;
use crate::control_plane::note_answered;
use crate::control_plane::note_crash;
use crate::shared::Shared;

/// A request as the fleet knows it.
pub(crate) struct RequestQuarantine {
    shared: Arc<Shared>,
    fingerprint: Fingerprint,
}

impl RequestQuarantine {
    pub(crate) fn new(shared: &Arc<Shared>, fingerprint: Fingerprint) -> Self {
        Self { shared: shared.clone(), fingerprint }
    }

    /// The same for each arrival of the request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Whether the request may be sent to a target now.
    pub(crate) fn verdict(&self) -> Verdict {
        self.shared.fleet.lock().verdict(self.fingerprint, BootClock.now())
    }

    /// An attempt has ended. A failure that the target states clears the request of nothing: the
    /// target may have broken it off at its deadline, before it did any harm.
    pub(crate) fn note(&self, answered: &AttemptResult) {
        match answered {
            Ok(response) if response.status().is_server_error() => {}
            Ok(_) => note_answered(&self.shared, self.fingerprint),
            Err(failed) => {
                if let Some(crash) = &failed.crash {
                    note_crash(&self.shared, self.fingerprint, crash);
                }
            }
        }
    }
}
