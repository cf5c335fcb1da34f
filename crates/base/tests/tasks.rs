//! A supervised task that ends without a stop request is reported as a failure; one that was
//! stopped is not.

use std::time::Duration;

use bergamot_base::TaskSupervisor;
use tokio_util::sync::CancellationToken;

/// The time limit for the detection of a failure.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_task_that_panics_is_a_failure_of_the_process() {
    let tasks = TaskSupervisor::new(CancellationToken::new());
    let _running = tasks.spawn("other", std::future::pending());
    assert!(!tasks.has_failed());
    let _ended = tasks.spawn("reader", async { panic!("a record of {} bytes", 7) });
    tokio::time::timeout(DETECTION_TIMEOUT, tasks.wait_for_failure())
        .await
        .expect("the failure is detected");
    assert!(tasks.has_failed());
}

#[tokio::test]
async fn a_task_that_returns_without_a_stop_request_is_a_failure() {
    let tasks = TaskSupervisor::new(CancellationToken::new());
    tasks
        .with_stop(CancellationToken::new())
        .spawn("listener", async {})
        .await
        .expect("the supervision ends without a panic");
    tokio::time::timeout(DETECTION_TIMEOUT, tasks.wait_for_failure())
        .await
        .expect("the failure is detected");
}

#[tokio::test]
async fn a_task_may_end_after_its_stop_request() {
    let (stop, close) = (CancellationToken::new(), CancellationToken::new());
    let tasks = TaskSupervisor::new(stop);
    let listener = close.clone();
    let listening = tasks.with_stop(close.clone()).spawn("listener", async move {
        listener.cancelled().await;
    });
    close.cancel();
    listening.await.expect("the supervision ends without a panic");
    assert!(!tasks.has_failed());
}
