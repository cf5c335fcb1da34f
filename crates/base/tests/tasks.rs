//! A long-lived task that ends is noticed, and one that was asked to end is no failure.

use std::time::Duration;

use bergamot_base::Tasks;
use tokio_util::sync::CancellationToken;

/// How long the news of an end may take.
const SOON: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_task_that_panics_is_a_failure_of_the_process() {
    let tasks = Tasks::new(CancellationToken::new());
    let _going_on = tasks.spawn("other", std::future::pending());
    assert!(!tasks.has_failed());
    let _ended = tasks.spawn("reader", async { panic!("a record of {} bytes", 7) });
    tokio::time::timeout(SOON, tasks.failed()).await.expect("the end is noticed");
    assert!(tasks.has_failed());
}

#[tokio::test]
async fn a_task_that_returns_although_nobody_asked_is_a_failure_too() {
    let tasks = Tasks::new(CancellationToken::new());
    tasks.until(CancellationToken::new()).spawn("listener", async {}).await.expect("it ends");
    tokio::time::timeout(SOON, tasks.failed()).await.expect("the end is noticed");
}

#[tokio::test]
async fn a_task_may_end_once_its_stop_has_come() {
    let (stop, close) = (CancellationToken::new(), CancellationToken::new());
    let tasks = Tasks::new(stop);
    let listener = close.clone();
    let listening = tasks.until(close.clone()).spawn("listener", async move {
        listener.cancelled().await;
    });
    close.cancel();
    listening.await.expect("it ends");
    assert!(!tasks.has_failed());
}
