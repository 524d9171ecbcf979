//! Decides which processes watch the platform.
//! A few processes watch at a time, without an election.
//!
//! Each watching process announces itself in its messages, and other processes relay the
//! announcement with its age. A process that knows of fewer than [`WATCHER_COUNT`] fresh watchers
//! waits for its takeover delay and then watches by itself. The delays are derived from a hash of
//! VM name and boot, so they differ between processes and change with each start. A watcher that
//! knows of enough other watchers with lower hashes stops at the end of its current call.
//!
//! A dead, paused or unreachable watcher needs no detection: its lease is no longer renewed,
//! and another process takes over. Processes on different sides of a network partition choose
//! their own watchers, as intended. The number of calls depends on the number of watchers and the
//! duration of a call, not on the size of the fleet. Only while a watcher is missing do a few more
//! processes call the platform: about as many as reach the end of their takeover delay while the
//! announcement of a new watcher spreads, which takes time logarithmic in the size of the fleet.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Boot;

/// Number of concurrent watchers: two, so that an unreachable or
/// outdated one does not delay changes.
const WATCHER_COUNT: usize = 2;
/// Maximum number of other watchers that a process remembers and relays.
const KNOWN_WATCHERS_MAX: usize = 4;
/// Lease of a watcher's announcement in a fleet of one process.
const LEASE_BASE: Duration = Duration::from_secs(2);
/// Extension of the lease each time the fleet doubles in size,
/// because announcements take longer to reach all processes. With a shorter lease,
/// processes that an announcement has not reached yet would see a watcher as missing.
const LEASE_PER_DOUBLING: Duration = Duration::from_millis(900);
/// Consecutive failed calls after which a watcher stops watching.
const FAILURES_MAX: u32 = 2;
/// Time for which a watcher does not watch after [`FAILURES_MAX`] failures, the first time.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum number of doublings of [`FAILURE_BACKOFF`].
const DOUBLINGS_MAX: u32 = 5;
/// Mean time between the takeover delays of two processes of the fleet.
const TAKEOVER_SLOT: Duration = Duration::from_millis(250);

/// Announcement of a process that watches the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watcher {
    /// VM of the process that watches the platform.
    pub vm: VmName,
    /// Boot of the process that watches the platform.
    pub boot: Boot,
    /// Time since the process was last known to watch, in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct Lease {
    vm: VmName,
    boot: Boot,
    takeover_hash: u64,
    renewed_at: Timestamp,
}

/// Decides whether this process watches the platform.
#[derive(Debug)]
pub struct WatcherSelection {
    vm: VmName,
    boot: Boot,
    takeover_hash: u64,
    others: Vec<Lease>,
    vacant_since: Option<Timestamp>,
    is_watching: bool,
    failures: u32,
    doublings: u32,
    backoff_until: Timestamp,
    lease: Duration,
}

impl WatcherSelection {
    /// Creates the selection for the process on `vm` that was started as `boot`.
    pub fn new(vm: VmName, boot: Boot) -> Self {
        let takeover_hash = takeover_hash_of(&vm, boot);
        Self {
            vm,
            boot,
            takeover_hash,
            others: Vec::new(),
            vacant_since: None,
            is_watching: false,
            failures: 0,
            doublings: 0,
            backoff_until: Timestamp::default(),
            lease: LEASE_BASE,
        }
    }

    /// Merges a watcher's announcement that a peer sent or relayed.
    pub fn merge(&mut self, watcher: &Watcher, now: Timestamp) {
        if watcher.vm == self.vm {
            return;
        }
        let renewed_at = now.minus(Duration::from_millis(watcher.age_ms));
        let lease = self.lease;
        self.others.retain(|known| now.since(known.renewed_at) < lease);
        if now.since(renewed_at) >= lease {
            return;
        }
        let is_same = |known: &&mut Lease| known.vm == watcher.vm && known.boot == watcher.boot;
        if let Some(known) = self.others.iter_mut().find(is_same) {
            known.renewed_at = known.renewed_at.max(renewed_at);
            return;
        }
        let takeover_hash = takeover_hash_of(&watcher.vm, watcher.boot);
        let lease = Lease { vm: watcher.vm.clone(), boot: watcher.boot, takeover_hash, renewed_at };
        self.others.push(lease);
        self.others.sort_by_key(|known| known.takeover_hash);
        self.others.truncate(KNOWN_WATCHERS_MAX);
    }

    /// Returns whether to start a call to the platform now, or to continue with another one.
    /// `fleet` is the number of processes that are alive, as far as known here.
    pub fn should_watch(&mut self, fleet: usize, now: Timestamp) -> bool {
        self.lease = lease(fleet);
        let fresh = self.fresh(now).count();
        let earlier =
            self.fresh(now).filter(|known| known.takeover_hash < self.takeover_hash).count();
        if self.is_watching {
            self.is_watching = earlier < WATCHER_COUNT;
            return self.is_watching;
        }
        if fresh >= WATCHER_COUNT || now < self.backoff_until {
            self.vacant_since = None;
            return false;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        if now.since(vacant_since) < self.takeover_delay(fleet) {
            return false;
        }
        self.vacant_since = None;
        self.is_watching = true;
        true
    }

    /// Records that the platform did not answer. After `FAILURES_MAX` failures in
    /// a row this process stops watching for a while so that another one tries,
    /// because the fault may be local. The time doubles with each repetition,
    /// so that not the whole fleet calls the platform during an outage.
    pub fn failed(&mut self, now: Timestamp) {
        self.failures += 1;
        if self.failures < FAILURES_MAX {
            return;
        }
        self.failures = 0;
        self.is_watching = false;
        self.vacant_since = None;
        self.backoff_until = now + FAILURE_BACKOFF * (1 << self.doublings);
        self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
    }

    /// Records that the platform answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.doublings = 0;
    }

    /// Returns whether this process watches the platform.
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Returns the watchers to announce to a peer, including this process if it watches.
    pub fn watchers(&self, now: Timestamp) -> Vec<Watcher> {
        let own = Watcher { vm: self.vm.clone(), boot: self.boot, age_ms: 0 };
        let others = self.fresh(now).map(|known| Watcher {
            vm: known.vm.clone(),
            boot: known.boot,
            age_ms: now.since(known.renewed_at).as_millis() as u64,
        });
        self.is_watching.then_some(own).into_iter().chain(others).collect()
    }

    /// Forgets the leases of other watchers after a pause of this
    /// process, because they are outdated.
    pub fn paused(&mut self) {
        self.others.clear();
        self.vacant_since = None;
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &Lease> {
        self.others.iter().filter(move |known| now.since(known.renewed_at) < self.lease)
    }

    /// Returns how long a watcher must have been missing before this process takes over.
    fn takeover_delay(&self, fleet: usize) -> Duration {
        let fraction = self.takeover_hash as f64 / u64::MAX as f64;
        TAKEOVER_SLOT.mul_f64(fraction * fleet.max(1) as f64)
    }
}

fn lease(fleet: usize) -> Duration {
    LEASE_BASE + LEASE_PER_DOUBLING.mul_f64((fleet.max(1) as f64).log2())
}

fn takeover_hash_of(vm: &VmName, boot: Boot) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), boot.as_u64())
}
