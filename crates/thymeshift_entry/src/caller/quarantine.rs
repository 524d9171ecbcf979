//! Quarantine state of one request, and the reports of its attempts to the fleet.

use std::sync::Arc;

use thymeshift_fleet::Verdict;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Fingerprint;

use crate::caller::forward::AttemptResult;
use crate::control_plane::report_answered;
use crate::control_plane::report_crash;
use crate::shared::Shared;

/// Handle to the quarantine state that the fleet keeps for one request.
pub(crate) struct RequestQuarantine {
    shared: Arc<Shared>,
    fingerprint: Fingerprint,
}

impl RequestQuarantine {
    pub(crate) fn new(shared: &Arc<Shared>, fingerprint: Fingerprint) -> Self {
        Self { shared: shared.clone(), fingerprint }
    }

    /// Returns the fingerprint, which is the same each time a caller sends the request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Returns whether the request may be sent to a target now.
    pub(crate) fn verdict(&self) -> Verdict {
        self.shared.fleet.lock().verdict(self.fingerprint, BootClock.now())
    }

    /// Reports the result of an attempt to the fleet.
    ///
    /// A 5xx response of a target does not clear the request.
    /// The target may have aborted the request at its deadline, before the request could crash it.
    pub(crate) fn record_attempt(&self, result: &AttemptResult) {
        match result {
            Ok(response) if response.status().is_server_error() => {}
            Ok(_) => report_answered(&self.shared, self.fingerprint),
            Err(failed) => {
                if let Some(crash) = &failed.crash {
                    report_crash(&self.shared, self.fingerprint, crash);
                }
            }
        }
    }
}
