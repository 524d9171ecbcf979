//! Running tasks and starting them anew.

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

/// A task that failed too often for its supervisor to go on.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("task {path} ended {end_count} times within {window:?}, last: {last_reason}")]
pub struct Escalation {
    /// Names of its supervisors and its own, joined by `/`.
    pub path: String,
    /// How often.
    pub end_count: usize,
    /// In which time.
    pub window: Duration,
    /// How it ended the last time.
    pub last_reason: String,
}

/// Runs tasks. Dropping the future of [`Supervisor::run`] ends all of them.
#[derive(Debug, Clone)]
pub struct Supervisor {
    name: &'static str,
    tasks: Vec<Task>,
    branches: Vec<Supervisor>,
    statuses: Statuses,
}

impl Supervisor {
    /// A supervisor without tasks, which notes their states in `statuses`.
    pub fn new(name: &'static str, statuses: Statuses) -> Self {
        Self { name, tasks: Vec::new(), branches: Vec::new(), statuses }
    }

    /// Adds a task.
    #[must_use]
    pub fn with_task(mut self, task: Task) -> Self {
        self.tasks.push(task);
        self
    }

    /// Adds a branch: a supervisor whose end starts it anew as a whole.
    #[must_use]
    pub fn with_branch(mut self, branch: Self) -> Self {
        self.branches.push(branch);
        self
    }

    /// Runs the tree until a task fails too often.
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
        while let Some(ended) = monitors.join_next().await {
            match ended {
                Ok(Ok(())) => {}
                Ok(Err(escalation)) => return Err(escalation),
                Err(error) => return Err(monitor_lost(path, &error)),
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

fn monitor_lost(path: String, error: &tokio::task::JoinError) -> Escalation {
    Escalation { path, end_count: 1, window: Duration::ZERO, last_reason: error.to_string() }
}

/// Runs one task until it may end or must not be started again.
async fn monitor(task: Task, path: String, statuses: Statuses) -> Result<(), Escalation> {
    let mut ends: VecDeque<Instant> = VecDeque::new();
    loop {
        statuses.started(&path);
        let end = run_once(&task).await;
        statuses.ended(&path);
        let End::Failed(kind, last_reason) = end else {
            return Ok(());
        };
        counter!(metric::TASK_ENDS, "task" => path.clone(), "end" => kind.as_str()).increment(1);
        warn!("task_ended", kv: { task = path.as_str(), end = kind.as_str(), reason = last_reason.as_str() });
        let now = Instant::now();
        ends.push_back(now);
        while ends.front().is_some_and(|end| now - *end > task.restart.window) {
            ends.pop_front();
        }
        if ends.len() > task.restart.starts_max {
            error!("task_given_up", kv: { task = path.as_str(), ends = ends.len() });
            let window = task.restart.window;
            return Err(Escalation { path, end_count: ends.len(), window, last_reason });
        }
        sleep(task.restart.pause).await;
    }
}

enum End {
    Finished,
    Failed(EndKind, String),
}

#[derive(Clone, Copy)]
enum EndKind {
    Failed,
    Panicked,
}

impl EndKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Panicked => "panicked",
        }
    }
}

async fn run_once(task: &Task) -> End {
    // A set of its own, so that dropping the monitor ends the task.
    let mut set = JoinSet::new();
    set.spawn((task.start)());
    match set.join_next().await {
        Some(Ok(Ok(()))) if task.restart.is_ending_expected => End::Finished,
        Some(Ok(Ok(()))) => End::Failed(EndKind::Failed, "ended unexpectedly".to_owned()),
        Some(Ok(Err(error))) => End::Failed(EndKind::Failed, error.to_string()),
        Some(Err(error)) => End::Failed(EndKind::Panicked, error.to_string()),
        None => End::Finished,
    }
}
