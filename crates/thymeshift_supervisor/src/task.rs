//! A named piece of work that can be started more than once.

use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use futures::future::BoxFuture;

use crate::RestartPolicy;

/// Why a task failed: the error's text with its sources.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct TaskError(String);

impl TaskError {
    /// A failure described by `reason`.
    pub fn new(reason: impl Into<String>) -> Self {
        Self(reason.into())
    }
}

impl<E: std::error::Error> From<E> for TaskError {
    fn from(error: E) -> Self {
        let mut text = error.to_string();
        let mut source = error.source();
        while let Some(inner) = source {
            text.push_str(": ");
            text.push_str(&inner.to_string());
            source = inner.source();
        }
        Self(text)
    }
}

pub(crate) type Start = dyn Fn() -> BoxFuture<'static, Result<(), TaskError>> + Send + Sync;

/// A task of a supervisor.
#[derive(Clone)]
pub struct Task {
    pub(crate) name: &'static str,
    pub(crate) restart: RestartPolicy,
    pub(crate) start: Arc<Start>,
}

impl Task {
    /// A task called `name`; `start` makes its future, again after each failure.
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
