//! Who watches the platform: a few processes at a time, without an election.
//!
//! Each watching process passes on that it watches; others pass it on with its age. A
//! process that knows of fewer than [`WATCHERS`] fresh watchers waits for its turn and
//! then begins to watch itself. Turns follow a hash of name and boot, so that they differ
//! from process to process and change with each start. A watcher that knows of enough
//! others with an earlier turn stops at the end of its call.
//!
//! A dead, paused or cut-off watcher is not detected as such: its lease is no longer
//! renewed and the next process takes over. Processes that cannot see each other each
//! find their own watchers, which is what they need. The number of calls depends on the
//! number of watchers and on the length of a call, not on the size of the fleet; only
//! while a place is vacant do a few more processes try, about as many as turns pass while
//! the news of a new watcher spreads, which grows with the logarithm of the fleet.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Boot;

/// Watchers wanted: one may be cut off or stale without anybody noticing.
const WATCHERS: usize = 2;
/// Watchers remembered and passed on.
const WATCHERS_KEPT: usize = 4;
/// Time after which a watcher that was not heard of is not counted, in a fleet of one.
const LEASE_BASE: Duration = Duration::from_secs(2);
/// What is added to it each time the fleet doubles: news needs that much longer to reach
/// everybody. A shorter lease looks vacant to processes that the news has not reached.
const LEASE_PER_DOUBLING: Duration = Duration::from_millis(900);
/// Failures in a row after which a watcher stands back.
const FAILURES_MAX: u32 = 2;
/// How long it stands back the first time.
const STAND_BACK: Duration = Duration::from_secs(5);
/// Doublings of that time at most.
const DOUBLINGS_MAX: u32 = 5;
/// Time between two turns.
const TURN: Duration = Duration::from_millis(250);

/// A process that watches the platform, and when it was last known to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watcher {
    /// Its VM.
    pub vm: VmName,
    /// Its start.
    pub boot: Boot,
    /// How long ago it was known to watch, in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct Lease {
    vm: VmName,
    boot: Boot,
    turn: u64,
    renewed_at: Timestamp,
}

/// Decides whether this process watches.
#[derive(Debug)]
pub struct WatcherSelection {
    vm: VmName,
    boot: Boot,
    turn: u64,
    others: Vec<Lease>,
    vacant_since: Option<Timestamp>,
    is_watching: bool,
    failures: u32,
    doublings: u32,
    stands_back_until: Timestamp,
    lease: Duration,
}

impl WatcherSelection {
    /// The election as seen by the process `vm` started as `boot`.
    pub fn new(vm: VmName, boot: Boot) -> Self {
        let turn = turn_of(&vm, boot);
        Self {
            vm,
            boot,
            turn,
            others: Vec::new(),
            vacant_since: None,
            is_watching: false,
            failures: 0,
            doublings: 0,
            stands_back_until: Timestamp::default(),
            lease: LEASE_BASE,
        }
    }

    /// Takes in a watcher that a peer named.
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
        let same = |known: &&mut Lease| known.vm == watcher.vm && known.boot == watcher.boot;
        if let Some(known) = self.others.iter_mut().find(same) {
            known.renewed_at = known.renewed_at.max(renewed_at);
            return;
        }
        let turn = turn_of(&watcher.vm, watcher.boot);
        let lease = Lease { vm: watcher.vm.clone(), boot: watcher.boot, turn, renewed_at };
        self.others.push(lease);
        self.others.sort_by_key(|known| known.turn);
        self.others.truncate(WATCHERS_KEPT);
    }

    /// Whether to begin a call to the platform now, or to go on with another. `fleet` is
    /// the number of processes that this one believes in.
    pub fn should_watch(&mut self, fleet: usize, now: Timestamp) -> bool {
        self.lease = lease(fleet);
        let fresh = self.fresh(now).count();
        let earlier = self.fresh(now).filter(|known| known.turn < self.turn).count();
        if self.is_watching {
            self.is_watching = earlier < WATCHERS;
            return self.is_watching;
        }
        if fresh >= WATCHERS || now < self.stands_back_until {
            self.vacant_since = None;
            return false;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        if now.since(vacant_since) < self.delay(fleet) {
            return false;
        }
        self.vacant_since = None;
        self.is_watching = true;
        true
    }

    /// The platform did not answer. After a second failure in a row this process stands
    /// back, so that another one tries: the fault may be its own. Each time longer, so that
    /// an outage of the platform does not make the whole fleet call it.
    pub fn failed(&mut self, now: Timestamp) {
        self.failures += 1;
        if self.failures < FAILURES_MAX {
            return;
        }
        self.failures = 0;
        self.is_watching = false;
        self.vacant_since = None;
        self.stands_back_until = now + STAND_BACK * (1 << self.doublings);
        self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
    }

    /// The platform answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.doublings = 0;
    }

    /// Whether this process watches.
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// The watchers to name to a peer.
    pub fn watchers(&self, now: Timestamp) -> Vec<Watcher> {
        let own = Watcher { vm: self.vm.clone(), boot: self.boot, age_ms: 0 };
        let others = self.fresh(now).map(|known| Watcher {
            vm: known.vm.clone(),
            boot: known.boot,
            age_ms: now.since(known.renewed_at).as_millis() as u64,
        });
        self.is_watching.then_some(own).into_iter().chain(others).collect()
    }

    /// Forgets leases from before this process's own pause.
    pub fn paused(&mut self) {
        self.others.clear();
        self.vacant_since = None;
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &Lease> {
        self.others.iter().filter(move |known| now.since(known.renewed_at) < self.lease)
    }

    /// How long a place must have been vacant before this process takes it.
    fn delay(&self, fleet: usize) -> Duration {
        let fraction = self.turn as f64 / u64::MAX as f64;
        TURN.mul_f64(fraction * fleet.max(1) as f64)
    }
}

fn lease(fleet: usize) -> Duration {
    LEASE_BASE + LEASE_PER_DOUBLING.mul_f64((fleet.max(1) as f64).log2())
}

fn turn_of(vm: &VmName, boot: Boot) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), boot.as_u64())
}
