//! Slots of a target and the bounded queue of requests that wait for a slot.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::ReportedState;
use thymeshift_dispatch::USUAL_PACE_PERCENT;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Maximum number of past load samples that are kept for stale reports.
const HISTORY_MAX: usize = 4_096;

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    running: u32,
    queued: u32,
}

/// Slots with a bounded queue and a history of their load.
pub(crate) struct Slots {
    semaphore: Arc<Semaphore>,
    queue_max: u32,
    running: AtomicU32,
    queued: AtomicU32,
    history: Mutex<VecDeque<(Instant, Load)>>,
}

/// Slot in use; dropping it frees the slot.
pub(crate) struct Slot {
    slots: Arc<Slots>,
    _permit: OwnedSemaphorePermit,
}

/// Guard of a queued request; dropping it removes the request from the queue length.
struct Queued<'a>(&'a Slots);

impl Slots {
    pub(crate) fn new(count: usize, queue_max: u32) -> Arc<Self> {
        Arc::new(Self {
            semaphore: Arc::new(Semaphore::new(count)),
            queue_max,
            running: AtomicU32::new(0),
            queued: AtomicU32::new(0),
            history: Mutex::new(VecDeque::new()),
        })
    }

    /// Waits for a free slot; returns `None` at once if the queue is full.
    pub(crate) async fn acquire(self: &Arc<Self>) -> Option<Slot> {
        let permit = match self.semaphore.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) if self.queued.load(Ordering::Relaxed) >= self.queue_max => return None,
            Err(_) => {
                self.queued.fetch_add(1, Ordering::Relaxed);
                let _queued = Queued(self);
                self.record_load();
                self.semaphore.clone().acquire_owned().await.ok()?
            }
        };
        self.running.fetch_add(1, Ordering::Relaxed);
        self.record_load();
        Some(Slot { slots: self.clone(), _permit: permit })
    }

    /// Returns a report of the load `age` ago. The request that the report is sent with has already
    /// freed its slot and is not included in the load.
    pub(crate) fn report(&self, age: Duration) -> LoadReport {
        let load = if age.is_zero() { self.load() } else { self.past_load(age) };
        LoadReport {
            running: load.running,
            queued: load.queued,
            incarnation: None,
            state: ReportedState::Serving,
            pace_percent: USUAL_PACE_PERCENT,
            cold_for_ms: None,
        }
    }

    fn load(&self) -> Load {
        Load {
            running: self.running.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
        }
    }

    fn past_load(&self, age: Duration) -> Load {
        let Some(then) = Instant::now().checked_sub(age) else {
            return Load::default();
        };
        let history = self.history.lock();
        let before = history.iter().rev().find(|(at, _)| *at <= then);
        before.map_or(Load::default(), |(_, load)| *load)
    }

    fn record_load(&self) {
        let mut history = self.history.lock();
        if history.len() == HISTORY_MAX {
            history.pop_front();
        }
        history.push_back((Instant::now(), self.load()));
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.running.fetch_sub(1, Ordering::Relaxed);
        self.slots.record_load();
    }
}
