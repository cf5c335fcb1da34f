//! Stop signals: the first requests a graceful shutdown, a later `SIGINT` an immediate one.

use tokio::signal::unix::{SignalKind, signal};

/// How a signal requests the process to shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownMode {
    /// Complete the requests in flight before exiting.
    Graceful,
    /// Exit immediately and abort the requests in flight, as the operator demands.
    Immediate,
}

/// Waits for a stop signal; `draining` states whether a graceful stop is already in progress.
///
/// `SIGTERM` always requests a graceful stop, however often it is sent.
pub async fn stop_signal(draining: bool) -> std::io::Result<ShutdownMode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => {
                if !draining {
                    return Ok(ShutdownMode::Graceful);
                }
                log::info!("node: Already draining; send SIGINT to abort requests in flight.");
            }
            _ = interrupt.recv() => {
                return Ok(if draining { ShutdownMode::Immediate } else { ShutdownMode::Graceful });
            }
        }
    }
}
