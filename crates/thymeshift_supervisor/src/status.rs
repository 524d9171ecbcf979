//! What became of the tasks, for dumps.

use std::sync::Arc;

use parking_lot::Mutex;

/// One task's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStatus {
    /// Names of its supervisors and its own, joined by `/`.
    pub path: String,
    /// How often it was started anew.
    pub restarts: u64,
    /// Whether it runs.
    pub is_running: bool,
}

/// The states of all tasks of a tree.
#[derive(Debug, Clone, Default)]
pub struct Statuses(Arc<Mutex<Vec<TaskStatus>>>);

impl Statuses {
    /// The states now.
    pub fn list(&self) -> Vec<TaskStatus> {
        self.0.lock().clone()
    }

    pub(crate) fn started(&self, path: &str) {
        let mut statuses = self.0.lock();
        if let Some(status) = statuses.iter_mut().find(|status| status.path == path) {
            status.restarts += 1;
            status.is_running = true;
            return;
        }
        let path = path.to_owned();
        statuses.push(TaskStatus { path, restarts: 0, is_running: true });
    }

    pub(crate) fn ended(&self, path: &str) {
        let mut statuses = self.0.lock();
        if let Some(status) = statuses.iter_mut().find(|status| status.path == path) {
            status.is_running = false;
        }
    }
}
