//! A supervisor tree for tokio tasks.
//!
//! A [`Supervisor`] runs named [`Task`]s. A task that fails or panics is logged, counted
//! and started anew by its [`RestartPolicy`] rule; one that does so too often in a short time
//! ends its supervisor. A supervisor may itself be a task of another one, which then
//! starts the whole branch anew; when the root ends, so does the process.

mod restart;
mod status;
mod supervisor;
mod task;

pub use restart::RestartPolicy;
pub use status::Statuses;
pub use status::TaskStatus;
pub use supervisor::Escalation;
pub use supervisor::Supervisor;
pub use task::Task;
pub use task::TaskError;
