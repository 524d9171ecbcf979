//! Tasks that a supervisor can start repeatedly.

use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use futures::future::BoxFuture;

use crate::RestartPolicy;

/// Failure of a task: the error's message followed by the messages of its sources.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct TaskError(String);

impl TaskError {
    /// Creates a failure with `reason` as its message.
    pub fn new(reason: impl Into<String>) -> Self {
        Self(reason.into())
    }
}

impl<E: std::error::Error> From<E> for TaskError {
    fn from(error: E) -> Self {
        let mut text = error.to_string();
        let mut source = error.source();
        while let Some(cause) = source {
            text.push_str(": ");
            text.push_str(&cause.to_string());
            source = cause.source();
        }
        Self(text)
    }
}

pub(crate) type Start = dyn Fn() -> BoxFuture<'static, Result<(), TaskError>> + Send + Sync;

/// A named task that a supervisor runs.
#[derive(Clone)]
pub struct Task {
    pub(crate) name: &'static str,
    pub(crate) restart: RestartPolicy,
    pub(crate) start: Arc<Start>,
}

impl Task {
    /// Creates a task called `name`; `start` returns a new future for the
    /// first run and for each restart.
    pub fn new<F>(
        name: &'static str,
        restart: RestartPolicy,
        start: impl Fn() -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Result<(), TaskError>> + Send + 'static,
    {
        let start = Arc::new(move || -> BoxFuture<'static, _> { Box::pin(start()) });
        Self { name, restart, start }
    }
}

impl fmt::Debug for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Task").field("name", &self.name).finish_non_exhaustive()
    }
}
