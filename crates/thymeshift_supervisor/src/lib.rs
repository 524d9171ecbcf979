//! A supervisor tree for tokio tasks.
//!
//! A [`Supervisor`] runs named [`Task`]s. A task that fails or panics is logged,
//! counted and restarted according to its [`RestartPolicy`]. A task that exceeds its
//! restart limit ends its supervisor. A supervisor may be the child of another one,
//! which then restarts the whole subtree; the process exits when the root supervisor ends.

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
