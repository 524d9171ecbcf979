//! Record of the requests that a target ran and how often it ran them. Experiments check the
//! outcomes "not run" and "run at most once" against this record.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// Numbers of starts and completions of one request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Number of times that the target started the request.
    pub begun: u64,
    /// Number of times that the target ran the request to its end.
    pub finished: u64,
}

/// Ledger entries by the nonce in the requests' query.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<BTreeMap<String, LedgerEntry>>);

impl Ledger {
    pub(crate) fn begin(&self, nonce: &str) {
        self.0.lock().entry(nonce.to_owned()).or_default().begun += 1;
    }

    pub(crate) fn finish(&self, nonce: &str) {
        self.0.lock().entry(nonce.to_owned()).or_default().finished += 1;
    }

    /// Returns a copy of all entries, by nonce.
    pub fn entries(&self) -> BTreeMap<String, LedgerEntry> {
        self.0.lock().clone()
    }
}
