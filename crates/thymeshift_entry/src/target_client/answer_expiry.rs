//! End of a streamed answer whose request has used its time.
//!
//! The start of a streamed answer has been forwarded, so all that is left is to break it off. A task waits
//! for the deadline, because nothing polls the body while its caller reads nothing.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::time::Duration;

use derive_more::Display;
use futures::task::AtomicWaker;
use http::HeaderValue;
use metrics::counter;
use parking_lot::Mutex;
use spdlog::info;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_wire::loggable_id;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::shared::Shared;
use crate::target_client::AnswerResources;
use crate::target_client::BodyError;

/// Time without a byte of the body after which an answer is not waited for beyond its deadline.
const LAST_BYTES_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of such times in which bytes are forwarded beyond the deadline, if the process sees it late.
/// One that had no processor for a while sees the deadline before the bytes that arrived in time.
const LAST_BYTES_PAUSES_MAX: u32 = 5;

/// Side that a streamed answer waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum WaitsFor {
    /// The target has sent no further bytes.
    #[display("target")]
    Target,
    /// The caller has not read the bytes that have arrived.
    #[display("caller")]
    Caller,
}

/// Request that an answer belongs to, and the target that sends it.
pub(crate) struct AnswerOrigin<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) request_id: &'a HeaderValue,
    pub(crate) target: &'a TargetName,
    pub(crate) deadline: Timestamp,
}

/// Resources of a streamed answer, which are released at its deadline.
pub(crate) struct AnswerExpiry {
    state: Arc<ExpiryState>,
    timer: AbortHandle,
}

struct ExpiryState {
    shared: Arc<Shared>,
    request_id: HeaderValue,
    target: TargetName,
    resources: Mutex<Option<AnswerResources>>,
    is_expired: AtomicBool,
    /// Number of pieces of the body that have been forwarded.
    frames: AtomicU64,
    waits_for_target: AtomicBool,
    /// Task that forwards the body and waits for the target.
    reader: AtomicWaker,
}

impl AnswerExpiry {
    /// Holds `resources` until the answer has ended, or its deadline has passed.
    pub(crate) fn start(origin: &AnswerOrigin<'_>, resources: AnswerResources) -> Self {
        let deadline = origin.deadline;
        let state = Arc::new(ExpiryState {
            shared: origin.shared.clone(),
            request_id: origin.request_id.clone(),
            target: origin.target.clone(),
            resources: Mutex::new(Some(resources)),
            is_expired: AtomicBool::new(false),
            frames: AtomicU64::new(0),
            waits_for_target: AtomicBool::new(false),
            reader: AtomicWaker::new(),
        });
        let watched = state.clone();
        let timer = tokio::spawn(async move {
            let notifier = &watched.shared.pause_notifier;
            notifier.timeout_at(&BootClock, deadline, pending::<()>()).await;
            let is_late = BootClock.now().since(deadline) > LAST_BYTES_PAUSE;
            watched.until_last_bytes(if is_late { LAST_BYTES_PAUSES_MAX } else { 1 }).await;
            watched.expire();
        });
        Self { state, timer: timer.abort_handle() }
    }

    /// Returns whether the deadline has passed.
    pub(crate) fn is_expired(&self) -> bool {
        self.state.is_expired.load(Ordering::Acquire)
    }

    /// Wakes the current task at the deadline, because the target has sent no further bytes. Returns
    /// whether the deadline has passed already.
    pub(crate) fn wait_for_target(&self, context: &Context<'_>) -> bool {
        self.state.waits_for_target.store(true, Ordering::Relaxed);
        self.state.reader.register(context.waker());
        self.is_expired()
    }

    /// Records that the answer ends early, and not by its deadline.
    pub(crate) fn record_broken(&self, error: &BodyError) {
        self.state.record_broken(error);
    }

    /// Records that bytes of the body arrived.
    pub(crate) fn record_body(&self) {
        self.state.waits_for_target.store(false, Ordering::Relaxed);
        self.state.frames.fetch_add(1, Ordering::Relaxed);
        if let Some(resources) = &*self.state.resources.lock() {
            resources.record_body();
        }
    }

    /// Returns the resources of an answer that has ended in time.
    pub(crate) fn into_resources(self) -> Option<AnswerResources> {
        self.state.resources.lock().take()
    }
}

impl Drop for AnswerExpiry {
    fn drop(&mut self) {
        self.timer.abort();
        self.state.resources.lock().take();
    }
}

impl ExpiryState {
    /// Waits after the deadline until no bytes come, or have come for this number of pauses.
    async fn until_last_bytes(&self, pauses_max: u32) {
        for _ in 0..pauses_max {
            let frames = self.frames.load(Ordering::Relaxed);
            sleep(LAST_BYTES_PAUSE).await;
            if self.frames.load(Ordering::Relaxed) == frames {
                return;
            }
        }
    }

    fn expire(&self) {
        // Set first: the end of the connection must not look like the end of the body.
        self.is_expired.store(true, Ordering::Release);
        self.resources.lock().take();
        self.reader.wake();
        self.record_broken(&BodyError::Expired);
    }

    fn record_broken(&self, error: &BodyError) {
        counter!(metric::ANSWERS_BROKEN_OFF, "reason" => error.reason()).increment(1);
        if !self.shared.allows_request_log_line() {
            return;
        }
        let waits_for_target = self.waits_for_target.load(Ordering::Relaxed);
        let waits_for = if waits_for_target { WaitsFor::Target } else { WaitsFor::Caller };
        let request_id = loggable_id(&self.request_id);
        info!("answer_broken_off", kv: {
            request_id, target: = self.target, waits_for: = waits_for, error: = error
        });
    }
}
