//! Runs supervised tasks and restarts the ones that fail.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use metrics::counter;
use spdlog::error;
use spdlog::warn;
use thymeshift_telemetry::metric;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::RestartPolicy;
use crate::Statuses;
use crate::Task;
use crate::TaskError;

/// Error that ends a supervisor when one of its tasks exceeds the restart limit.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("task {path} ended {end_count} times within {window:?}, last: {last_reason}")]
pub struct Escalation {
    /// Names of all enclosing supervisors and of the task, joined by `/`.
    pub path: String,
    /// Failures of the task within `window`.
    pub end_count: usize,
    /// Time span in which the failures are counted.
    pub window: Duration,
    /// Error text of the task's last failure.
    pub last_reason: String,
}

/// Supervisor of a group of tasks. Dropping the future of [`Supervisor::run`] cancels all of them.
#[derive(Debug, Clone)]
pub struct Supervisor {
    name: &'static str,
    tasks: Vec<Task>,
    branches: Vec<Supervisor>,
    statuses: Statuses,
}

impl Supervisor {
    /// Creates a supervisor without tasks, which records the state of its tasks in `statuses`.
    pub fn new(name: &'static str, statuses: Statuses) -> Self {
        Self { name, tasks: Vec::new(), branches: Vec::new(), statuses }
    }

    /// Adds a task that runs under this supervisor.
    #[must_use]
    pub fn with_task(mut self, task: Task) -> Self {
        self.tasks.push(task);
        self
    }

    /// Adds a child supervisor, whose tasks are restarted together when it gives up.
    #[must_use]
    pub fn with_branch(mut self, branch: Self) -> Self {
        self.branches.push(branch);
        self
    }

    /// Runs the supervisor tree until a task exceeds its restart limit.
    pub async fn run(self) -> Result<(), Escalation> {
        let path = self.name.to_owned();
        self.run_at(path).await
    }

    async fn run_at(self, path: String) -> Result<(), Escalation> {
        let mut monitors = JoinSet::new();
        for task in self.tasks {
            let path = format!("{path}/{}", task.name);
            monitors.spawn(monitor(task, path, self.statuses.clone()));
        }
        for branch in self.branches {
            let path = format!("{path}/{}", branch.name);
            let task = branch_task(branch, path.clone());
            monitors.spawn(monitor(task, path, self.statuses.clone()));
        }
        while let Some(finished) = monitors.join_next().await {
            match finished {
                Ok(Ok(())) => {}
                Ok(Err(escalation)) => return Err(escalation),
                Err(error) => return Err(monitor_failed(path, &error)),
            }
        }
        Ok(())
    }
}

fn branch_task(branch: Supervisor, path: String) -> Task {
    Task::new(branch.name, RestartPolicy::on_failure(), move || {
        let run = branch.clone().run_at(path.clone());
        async move { run.await.map_err(TaskError::from) }
    })
}

fn monitor_failed(path: String, error: &tokio::task::JoinError) -> Escalation {
    Escalation { path, end_count: 1, window: Duration::ZERO, last_reason: error.to_string() }
}

/// Runs one task, and restarts it until it finishes or exceeds its restart limit.
async fn monitor(task: Task, path: String, statuses: Statuses) -> Result<(), Escalation> {
    let mut failures: VecDeque<Instant> = VecDeque::new();
    loop {
        statuses.record_start(&path);
        let outcome = run_once(&task).await;
        statuses.record_end(&path);
        let TaskEnd::Failed(kind, last_reason) = outcome else {
            return Ok(());
        };
        counter!(metric::TASK_ENDS, "task" => path.clone(), "end" => kind.as_str()).increment(1);
        warn!("task_ended", kv: { task = path.as_str(), end = kind.as_str(), reason = last_reason.as_str() });
        let now = Instant::now();
        failures.push_back(now);
        while failures.front().is_some_and(|failed_at| now - *failed_at > task.restart.window) {
            failures.pop_front();
        }
        if failures.len() > task.restart.restarts_max {
            error!("task_given_up", kv: { task = path.as_str(), ends = failures.len() });
            let window = task.restart.window;
            return Err(Escalation { path, end_count: failures.len(), window, last_reason });
        }
        sleep(task.restart.delay).await;
    }
}

enum TaskEnd {
    Finished,
    Failed(FailureKind, String),
}

#[derive(Clone, Copy)]
enum FailureKind {
    Failed,
    Panicked,
}

impl FailureKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Panicked => "panicked",
        }
    }
}

async fn run_once(task: &Task) -> TaskEnd {
    // The task lives in its own `JoinSet`, so that dropping the monitor cancels the task.
    let mut set = JoinSet::new();
    set.spawn((task.start)());
    match set.join_next().await {
        Some(Ok(Ok(()))) if task.restart.may_finish => TaskEnd::Finished,
        Some(Ok(Ok(()))) => TaskEnd::Failed(FailureKind::Failed, "ended unexpectedly".to_owned()),
        Some(Ok(Err(error))) => TaskEnd::Failed(FailureKind::Failed, error.to_string()),
        Some(Err(error)) => TaskEnd::Failed(FailureKind::Panicked, error.to_string()),
        None => TaskEnd::Finished,
    }
}
