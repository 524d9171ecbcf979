//! What a target ran, and how often: the judge of "not run" and "at most once".

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// One request as the target saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// How often it was begun.
    pub begun: u64,
    /// How often it was run to its end.
    pub finished: u64,
}

/// All requests by the nonce in their query.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<BTreeMap<String, LedgerEntry>>);

impl Ledger {
    pub(crate) fn begin(&self, nonce: &str) {
        self.0.lock().entry(nonce.to_owned()).or_default().begun += 1;
    }

    pub(crate) fn finish(&self, nonce: &str) {
        self.0.lock().entry(nonce.to_owned()).or_default().finished += 1;
    }

    /// Everything so far.
    pub fn entries(&self) -> BTreeMap<String, LedgerEntry> {
        self.0.lock().clone()
    }
}
