//! Tells operators that this process is behind: others have a newer document in force.

use std::time::Duration;

use metrics::gauge;
use spdlog::info;
use spdlog::warn;
use thymeshift_fleet::Adoption;
use thymeshift_fleet::Head;
use thymeshift_telemetry::metric;
use thymeshift_types::Revision;
use thymeshift_types::Timestamp;

use crate::fleet::Fleet;

/// Time for which a newer document must have been known until it is logged. Documents that arrive as
/// usual take less.
const LOGGED_MIN: Duration = Duration::from_secs(1);

/// Documents that are logged as behind.
#[derive(Default)]
pub(crate) struct LagLog {
    configuration: DocumentLag,
    targets: DocumentLag,
}

#[derive(Default)]
struct DocumentLag {
    /// Time from which the document has been behind, once that is logged.
    logged_since: Option<Timestamp>,
}

impl LagLog {
    /// Sets the gauges, and logs each document once when it is behind and when it no longer is.
    pub(crate) fn update(&mut self, fleet: &Fleet, now: Timestamp) {
        self.configuration.update("configuration", &fleet.configuration, now);
        self.targets.update("targets", &fleet.targets, now);
    }
}

impl DocumentLag {
    fn update(&mut self, document: &'static str, adoption: &Adoption, now: Timestamp) {
        let behind_since = adoption.behind_since();
        let behind = behind_since.map_or(Duration::ZERO, |since| now.since(since));
        gauge!(metric::DOCUMENTS_BEHIND_SECONDS, "document" => document).set(behind.as_secs_f64());
        let revision = |head: Option<Head>| head.map_or(Revision::default(), |head| head.revision);
        let in_force = revision(adoption.head());
        if behind >= LOGGED_MIN && self.logged_since.is_none() {
            self.logged_since = behind_since;
            warn!("document_behind", kv: {
                document, revision_in_force: = in_force,
                revision_missing: = revision(adoption.missing()),
                behind_ms = behind.as_millis() as u64
            });
        } else if behind < LOGGED_MIN
            && let Some(since) = self.logged_since.take()
        {
            let behind_ms = adoption.since().since(since).as_millis() as u64;
            info!("document_caught_up", kv: { document, revision: = in_force, behind_ms });
        }
    }
}
