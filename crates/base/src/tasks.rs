//! The long-lived tasks of a process, watched.
//!
//! A runtime goes on when one of its tasks panics. A process whose follower, prober or listener
//! is gone would look ready and learn nothing more, for as long as it runs. Invariant: a
//! watched task that ends although nobody asked it to is logged with its cause, and whoever
//! waits for [`Tasks::failed`] hears of it, to stop the process as planned; all of its state is
//! soft, so the run that follows it has it again within seconds.

use std::any::Any;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The long-lived tasks of a process.
#[derive(Clone, Debug)]
pub struct Tasks {
    stop: CancellationToken,
    failed: watch::Sender<bool>,
}

impl Tasks {
    /// Watches tasks until `stop`, after which they may end.
    pub fn new(stop: CancellationToken) -> Self {
        Self { stop, failed: watch::Sender::new(false) }
    }

    /// Watches further tasks, until another stop, as tasks of the same process.
    #[must_use]
    pub fn until(&self, stop: CancellationToken) -> Self {
        Self { stop, failed: self.failed.clone() }
    }

    /// Starts a task that must not end before the stop; what is returned ends with it.
    pub fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        let (tasks, task) = (self.clone(), tokio::spawn(task));
        tokio::spawn(async move {
            let ended = task.await;
            if tasks.stop.is_cancelled() {
                return;
            }
            let cause = match ended {
                Ok(()) => "it returned".to_owned(),
                Err(error) => error
                    .try_into_panic()
                    .map_or_else(|error| error.to_string(), |panic| message(&*panic)),
            };
            log::error!("tasks: event=task_ended task={name} cause={cause:?}");
            tasks.failed.send_replace(true);
        })
    }

    /// Tells whether a task has ended that must not.
    pub fn has_failed(&self) -> bool {
        *self.failed.borrow()
    }

    /// Waits until a task has ended that must not.
    pub async fn failed(&self) {
        let mut failed = self.failed.subscribe();
        // The sender lives as long as self, so waiting can't fail.
        let _ = failed.wait_for(|failed| *failed).await;
    }
}

/// Returns what a panic says.
pub fn message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "it panicked without a text".to_owned())
}
