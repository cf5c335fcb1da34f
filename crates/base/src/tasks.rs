//! Supervision of the long-lived tasks of a process.
//!
//! The runtime keeps running when a task panics. A process that has lost its follower, prober
//! or listener would still appear ready but receive no further updates. Invariant: a supervised
//! task that ends without a stop request is logged with its cause and completes
//! [`TaskSupervisor::wait_for_failure`], upon which the process is to shut down gracefully. Its
//! state is soft, so that its next run rebuilds it within seconds.

use std::any::Any;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Supervises the long-lived tasks of a process.
#[derive(Clone, Debug)]
pub struct TaskSupervisor {
    stop: CancellationToken,
    failed: watch::Sender<bool>,
}

impl TaskSupervisor {
    /// Creates a supervisor whose tasks may end only after `stop` is cancelled.
    pub fn new(stop: CancellationToken) -> Self {
        Self { stop, failed: watch::Sender::new(false) }
    }

    /// Creates a supervisor with another stop token that reports failures to the same process.
    #[must_use]
    pub fn with_stop(&self, stop: CancellationToken) -> Self {
        Self { stop, failed: self.failed.clone() }
    }

    /// Spawns a task that must not end before the stop token is cancelled.
    ///
    /// The returned handle completes when the task has ended.
    pub fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        let (supervisor, task) = (self.clone(), tokio::spawn(task));
        tokio::spawn(async move {
            let result = task.await;
            if supervisor.stop.is_cancelled() {
                return;
            }
            let cause = match result {
                Ok(()) => "the task returned before it was stopped".to_owned(),
                Err(error) => error
                    .try_into_panic()
                    .map_or_else(|error| error.to_string(), |panic| panic_message(&*panic)),
            };
            log::error!("tasks: event=task_ended task={name} cause={cause:?}");
            supervisor.failed.send_replace(true);
        })
    }

    /// Returns whether a task has ended before it was stopped.
    pub fn has_failed(&self) -> bool {
        *self.failed.borrow()
    }

    /// Waits until a task has ended before it was stopped.
    pub async fn wait_for_failure(&self) {
        let mut failed = self.failed.subscribe();
        // This cannot fail, because `self` owns the sender.
        let _ = failed.wait_for(|failed| *failed).await;
    }
}

/// Returns the message of a panic payload.
pub fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "panic with a payload that is not a string".to_owned())
}
