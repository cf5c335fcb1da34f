//! What is let in at a listener, and the lines about what isn't.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bergamot_logger::Sampler;
use bergamot_resources::{ConnectionCounts, Connections, Exhausted, Memory, Place};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The delay after a failed accept. If the process has run out of file descriptors, some become
/// available as other connections are closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How many connections that are closed or refused are logged a second; all are counted.
const MAX_LINES: u32 = 10;

/// The places of one listener, and the memory of the messages that come in there.
#[derive(Debug)]
pub struct Intake {
    /// The name of the listener in logs and metrics.
    name: &'static str,
    connections: Connections,
    /// Bounds the requests, if they are bounded.
    memory: Option<Arc<Memory>>,
    log_sampler: Mutex<Sampler>,
}

impl Default for Intake {
    /// Returns an intake without bounds.
    fn default() -> Self {
        Self {
            name: "any",
            connections: Connections::default(),
            memory: None,
            log_sampler: Mutex::new(Sampler::new(MAX_LINES)),
        }
    }
}

/// A connection that was accepted and has a place.
#[derive(Debug)]
pub struct Accepted {
    /// The socket.
    pub stream: TcpStream,
    /// The address of the client.
    pub peer: SocketAddr,
    /// The place, which is free after its drop.
    pub place: Place,
}

impl Intake {
    /// Creates the intake of a listener with so many places.
    pub fn new(name: &'static str, places: usize, memory: Arc<Memory>) -> Arc<Self> {
        let (connections, memory) = (Connections::new(places), Some(memory));
        Arc::new(Self { name, connections, memory, ..Self::default() })
    }

    /// Returns the name of the listener.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns the counters of the connections.
    pub fn counts(&self) -> ConnectionCounts {
        self.connections.counts()
    }

    /// Returns the memory of requests, if it is bounded.
    pub fn memory(&self) -> Option<&Arc<Memory>> {
        self.memory.as_ref()
    }

    /// Accepts the next connection that gets a place; returns `None` once `stop` is cancelled.
    pub async fn accept(
        &self,
        listener: &TcpListener,
        stop: &CancellationToken,
    ) -> Option<Accepted> {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return None,
                accepted = listener.accept() => accepted,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    self.log(|left_out| {
                        log::warn!(
                            "net: event=accept_failed listener={} cause=\"{error}\" left_out={left_out}",
                            self.name
                        );
                    });
                    self.connections.close_one(Instant::now().into());
                    // While no file descriptor is free, an immediate retry would fail as well.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            // Without this, small responses are delayed until earlier data is acknowledged. A failure
            // costs only latency.
            let _ = stream.set_nodelay(true);
            match self.connections.admit(Instant::now().into()).await {
                Some(place) => return Some(Accepted { stream, peer, place }),
                None => self.log_connection("connection_refused", peer, "all others are in use"),
            }
        }
    }

    /// Logs that a connection was closed for others.
    pub fn log_closed(&self, peer: SocketAddr) {
        self.log_connection("connection_closed", peer, "its place or memory went to others");
    }

    /// Logs that a request without a body was refused, since its head found no memory.
    pub(crate) fn log_head_refused(&self, peer: SocketAddr, exhausted: Exhausted) {
        self.log(|left_out| {
            log::info!(
                "net: event=head_refused listener={} peer={peer} cause=\"{exhausted}\" left_out={left_out}",
                self.name
            );
        });
    }

    fn log_connection(&self, event: &str, peer: SocketAddr, cause: &str) {
        self.log(|left_out| {
            log::info!(
                "net: event={event} listener={} peer={peer} {} cause=\"{cause}\" left_out={left_out}",
                self.name,
                self.counts()
            );
        });
    }

    /// Logs a line unless too many were logged within a second.
    fn log(&self, write: impl FnOnce(u64)) {
        let mut sampler = self.log_sampler.lock().unwrap_or_else(PoisonError::into_inner);
        let admitted = sampler.admit(Instant::now().into());
        drop(sampler);
        if let Some(left_out) = admitted {
            write(left_out);
        }
    }
}
