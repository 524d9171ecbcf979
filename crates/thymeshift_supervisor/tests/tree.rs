//! Failed and panicked tasks are restarted without affecting other tasks, up to the restart limit.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use thymeshift_supervisor::RestartPolicy;
use thymeshift_supervisor::Statuses;
use thymeshift_supervisor::Supervisor;
use thymeshift_supervisor::Task;
use thymeshift_supervisor::TaskError;
use tokio::time::timeout;

const FAST_RESTART: RestartPolicy = RestartPolicy::always().with_delay(Duration::from_millis(1));

/// How the task under test ends.
#[derive(Debug, Clone, Copy)]
enum Behaviour {
    Panics,
    Fails,
    Ends,
}

/// Creates a task that ends as `behaviour` specifies in its first `failing_starts` runs,
/// then runs forever. Each start increments `starts`.
fn task(
    restart: RestartPolicy,
    behaviour: Behaviour,
    failing_starts: usize,
    starts: &Arc<AtomicUsize>,
) -> Task {
    let starts = starts.clone();
    Task::new("odd", restart, move || {
        let start = starts.fetch_add(1, Ordering::SeqCst);
        async move {
            if start >= failing_starts {
                std::future::pending::<()>().await;
            }
            match behaviour {
                Behaviour::Panics => panic!("as planned"),
                Behaviour::Fails => Err(TaskError::new("as planned")),
                Behaviour::Ends => Ok(()),
            }
        }
    })
}

#[tokio::test]
async fn a_task_that_panics_fails_or_ends_is_started_anew() {
    for behaviour in [Behaviour::Panics, Behaviour::Fails, Behaviour::Ends] {
        let starts = Arc::new(AtomicUsize::new(0));
        let statuses = Statuses::default();
        let tree = Supervisor::new("root", statuses.clone()).with_task(task(
            FAST_RESTART,
            behaviour,
            3,
            &starts,
        ));
        let running = tokio::spawn(tree.run());
        let reached = async {
            while starts.load(Ordering::SeqCst) < 4 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(Duration::from_secs(10), reached).await.expect("started a fourth time");
        let status = statuses.list().remove(0);
        assert_eq!((status.path.as_str(), status.restarts), ("root/odd", 3), "{behaviour:?}");
        assert!(status.is_running && !running.is_finished(), "{behaviour:?}");
        running.abort();
    }
}

#[tokio::test]
async fn too_many_ends_escalate_with_their_path_and_reason() {
    let starts = Arc::new(AtomicUsize::new(0));
    let restart = FAST_RESTART.with_limit(2, Duration::from_mins(1));
    let branch = Supervisor::new("branch", Statuses::default()).with_task(task(
        restart,
        Behaviour::Fails,
        usize::MAX,
        &starts,
    ));
    let tree = Supervisor::new("root", Statuses::default()).with_branch(branch);
    let escalation = timeout(Duration::from_secs(30), tree.run()).await.expect("in time");
    let escalation = escalation.expect_err("escalates");
    assert_eq!(escalation.path, "root/branch");
    assert!(escalation.last_reason.contains("root/branch/odd"), "{escalation}");
    assert!(escalation.last_reason.contains("as planned"), "{escalation}");
    assert!(starts.load(Ordering::SeqCst) > 3, "the branch was started anew first");
}

#[tokio::test]
async fn a_task_that_may_finish_is_not_restarted() {
    let starts = Arc::new(AtomicUsize::new(0));
    let tree = Supervisor::new("root", Statuses::default()).with_task(task(
        RestartPolicy::on_failure(),
        Behaviour::Ends,
        9,
        &starts,
    ));
    assert_eq!(tree.run().await, Ok(()));
    assert_eq!(starts.load(Ordering::SeqCst), 1);
}
