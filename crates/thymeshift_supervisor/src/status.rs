//! States of supervised tasks, as shown in the state dump.

use std::sync::Arc;

use parking_lot::Mutex;

/// State of one supervised task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStatus {
    /// Names of all enclosing supervisors and of the task, joined by `/`.
    pub path: String,
    /// Restarts of the task since the process started.
    pub restarts: u64,
    /// Whether the task is running now, and not waiting for a restart.
    pub is_running: bool,
}

/// States of all tasks in a supervisor tree; clones share the same list.
#[derive(Debug, Clone, Default)]
pub struct Statuses(Arc<Mutex<Vec<TaskStatus>>>);

impl Statuses {
    /// Returns a copy of the current states of all tasks.
    pub fn list(&self) -> Vec<TaskStatus> {
        self.0.lock().clone()
    }

    pub(crate) fn record_start(&self, path: &str) {
        let mut statuses = self.0.lock();
        if let Some(status) = statuses.iter_mut().find(|status| status.path == path) {
            status.restarts += 1;
            status.is_running = true;
            return;
        }
        let path = path.to_owned();
        statuses.push(TaskStatus { path, restarts: 0, is_running: true });
    }

    pub(crate) fn record_end(&self, path: &str) {
        let mut statuses = self.0.lock();
        if let Some(status) = statuses.iter_mut().find(|status| status.path == path) {
            status.is_running = false;
        }
    }
}
