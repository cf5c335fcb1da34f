//! A pool of HTTP/1 connections to one searcher.
//!
//! Invariant: the number of connections, including those being established, never
//! exceeds the share, apart from connections in use when the share was reduced. The
//! shares of all gathers together are meant to stay below the searcher's connection
//! limit, so the limit is only a safeguard, and a refused connection reduces the share
//! temporarily. See `docs/design/0002-homes-and-cells.md`.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Peer, Step};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

use crate::client::SearcherError;

/// How long the share stays reduced after a refused connection.
const REDUCED_FOR: Duration = Duration::from_secs(2);

/// An open connection: its request sender and the task that drives the socket.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Connection {
    /// Closes the socket immediately. Dropping the sender alone would close it only when the
    /// driver task is next polled.
    fn close(self) {
        self.driver.abort();
    }
}

/// The counters of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Maximum number of connections.
    pub share: usize,
    /// Number of connections that are open or being established.
    pub open: usize,
    /// Number of idle connections.
    pub idle: usize,
    /// Number of connection attempts since the start.
    pub dials: u64,
    /// Number of connection attempts that failed or that the searcher refused.
    pub refused: u64,
}

/// What a pool reports to its owner, which would otherwise have to ask each of many pools again
/// and again. The functions are called under the lock of the pool and must not call it.
pub struct Observer {
    /// Called with the time that it took to open a connection, which is about one round trip.
    pub dialled: Box<dyn Fn(Duration) + Send + Sync>,
    /// Called when a connection is opened or begins to be established.
    pub opened: Box<dyn Fn() + Send + Sync>,
    /// Called with the number of connections that are left when one is closed.
    pub closed: Box<dyn Fn(usize) + Send + Sync>,
}

impl Default for Observer {
    /// Returns an observer that ignores everything.
    fn default() -> Self {
        Self { dialled: Box::new(|_| ()), opened: Box::new(|| ()), closed: Box::new(|_| ()) }
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Observer")
    }
}

#[derive(Debug)]
struct State {
    usage: Usage,
    idle: Vec<Connection>,
    /// The limit after a refused connection, and when it ends.
    reduced: Option<(usize, Instant)>,
    closing: bool,
    observer: Observer,
}

impl State {
    fn count_opened(&mut self) {
        self.usage.open += 1;
        self.usage.dials += 1;
        (self.observer.opened)();
    }

    fn count_closed(&mut self) {
        self.usage.open -= 1;
        (self.observer.closed)(self.usage.open);
    }

    fn limit(&mut self, now: Instant) -> usize {
        match self.reduced {
            _ if self.closing => 0,
            Some((limit, until)) if now < until => limit.min(self.usage.share),
            _ => {
                self.reduced = None;
                self.usage.share
            }
        }
    }
}

/// A pool of connections to one searcher.
#[derive(Debug)]
pub struct Pool {
    local: Ipv4Addr,
    remote: SocketAddr,
    dial_timeout: Duration,
    state: Mutex<State>,
    /// Notified when a connection becomes available or the limit may have room.
    available: Notify,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(
        local: Ipv4Addr,
        remote: SocketAddr,
        share: usize,
        dial_timeout: Duration,
        observer: Observer,
    ) -> Arc<Self> {
        let usage = Usage { share, ..Usage::default() };
        let state = State { usage, idle: Vec::new(), reduced: None, closing: false, observer };
        Arc::new(Self {
            local,
            remote,
            dial_timeout,
            state: Mutex::new(state),
            available: Notify::new(),
        })
    }

    /// Changes the share. Excess connections in use are closed when they are returned.
    pub fn resize(&self, share: usize) {
        let mut state = self.lock();
        state.usage.share = share;
        state.closing = false;
        drop(state);
        self.close_excess_idle();
    }

    /// Stops establishing connections and closes existing ones as they become idle.
    pub fn close(&self) {
        self.lock().closing = true;
        self.close_excess_idle();
    }

    /// Returns the counters.
    pub fn usage(&self) -> Usage {
        let state = self.lock();
        Usage { idle: state.idle.len(), ..state.usage }
    }

    /// Returns whether all connections that the share allows are in use.
    pub fn is_saturated(&self) -> bool {
        let state = self.lock();
        state.idle.is_empty() && state.usage.open >= state.usage.share
    }

    /// Opens one connection in advance, if the share allows it, and returns whether it did.
    pub async fn warm(self: &Arc<Self>) -> Result<bool, SearcherError> {
        if !self.reserve() {
            return Ok(false);
        }
        let connection = self.dial().await?;
        self.put(connection);
        Ok(true)
    }

    /// Returns whether nothing listens at the searcher's address, which means that its process
    /// has ended.
    ///
    /// This opens a new connection, because the end of an existing one doesn't show that: it
    /// may have been reset or interrupted by the network. If the searcher accepts the
    /// connection, it is kept in the pool if the share allows it.
    pub async fn searcher_exited(self: &Arc<Self>) -> bool {
        let mut reservation = self.reserve().then(|| Reservation { pool: self, used: false });
        let stream = match bergamot_net::dial(self.local, self.remote, self.dial_timeout).await {
            Ok(stream) => stream,
            Err(fault) => return fault.refused,
        };
        if let Some(reservation) = &mut reservation
            && let Ok(connection) = self.handshake(stream).await
        {
            reservation.used = true;
            self.put(connection);
        }
        false
    }

    /// Leases an idle connection, or opens one if the share allows it. Waits for a connection
    /// until the deadline.
    pub async fn lease(self: &Arc<Self>, deadline: Deadline) -> Result<Lease, SearcherError> {
        let result = tokio::time::timeout_at(deadline.instant().into(), self.acquire()).await;
        result.unwrap_or_else(|_elapsed| Err(self.fault("wait for a connection", "deadline")))
    }

    /// Leases a connection if one is idle.
    pub fn lease_idle(self: &Arc<Self>) -> Option<Lease> {
        self.pop_idle().map(|connection| self.new_lease(connection))
    }

    async fn acquire(self: &Arc<Self>) -> Result<Lease, SearcherError> {
        loop {
            let available = self.available.notified();
            if let Some(connection) = self.pop_idle() {
                return Ok(self.new_lease(connection));
            }
            if self.reserve() {
                let connection = self.dial_in_background().await?;
                return Ok(self.new_lease(connection));
            }
            if self.lock().closing {
                return Err(
                    self.fault("take a connection", "the home no longer holds the searcher")
                );
            }
            available.await;
        }
    }

    fn new_lease(self: &Arc<Self>, connection: Connection) -> Lease {
        Lease { pool: Arc::clone(self), connection: Some(connection) }
    }

    fn pop_idle(&self) -> Option<Connection> {
        let mut state = self.lock();
        while let Some(connection) = state.idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
            state.count_closed();
        }
        None
    }

    fn reserve(&self) -> bool {
        let mut state = self.lock();
        let room = state.usage.open < state.limit(Instant::now());
        if room {
            state.count_opened();
        }
        room
    }

    /// Opens a connection for a reservation that the caller has made. If the caller stops waiting,
    /// the connection is opened all the same and returned to the pool: the searcher has spent its
    /// time on it, and the next request would have to begin anew.
    async fn dial_in_background(self: &Arc<Self>) -> Result<Connection, SearcherError> {
        let (sender, receiver) = oneshot::channel();
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let unclaimed = sender.send(pool.dial().await);
            if let Err(Ok(connection)) = unclaimed {
                pool.put(connection);
            }
        });
        let ended = |_closed| Err(self.fault("dial", "the runtime stopped"));
        receiver.await.unwrap_or_else(ended)
    }

    /// Opens a connection for a reservation that the caller has made. The reservation is
    /// released on failure or cancellation.
    async fn dial(self: &Arc<Self>) -> Result<Connection, SearcherError> {
        let mut reservation = Reservation { pool: self, used: false };
        let result = tokio::time::timeout(self.dial_timeout, self.connect()).await;
        let connection = result
            .unwrap_or_else(|_elapsed| Err(self.fault("dial", "timeout")))
            .inspect_err(|_| self.record_refusal())?;
        reservation.used = true;
        Ok(connection)
    }

    async fn connect(&self) -> Result<Connection, SearcherError> {
        let started = Instant::now();
        let stream = bergamot_net::dial(self.local, self.remote, self.dial_timeout)
            .await
            .map_err(|error| self.fault("dial", &error.cause))?;
        self.record_dial(started.elapsed());
        self.handshake(stream).await
    }

    /// Performs the HTTP/1 handshake on a new connection.
    async fn handshake(&self, stream: TcpStream) -> Result<Connection, SearcherError> {
        let fault = |error: &dyn fmt::Display| self.fault("handshake", &error.to_string());
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| fault(&error))?;
        let driver = tokio::spawn(connection).abort_handle();
        sender.ready().await.map_err(|error| fault(&error))?;
        Ok(Connection { sender, driver })
    }

    fn record_dial(&self, took: Duration) {
        (self.lock().observer.dialled)(took);
    }

    /// Temporarily limits the pool to the number of connections that are open without the one
    /// that the searcher refused.
    pub(crate) fn record_refusal(&self) {
        let mut state = self.lock();
        state.usage.refused += 1;
        let limit = state.usage.open.saturating_sub(1).max(1);
        state.reduced = Some((limit, Instant::now() + REDUCED_FOR));
    }

    fn put(&self, connection: Connection) {
        let mut state = self.lock();
        let limit = state.limit(Instant::now());
        if connection.sender.is_closed() || state.usage.open > limit {
            state.count_closed();
        } else {
            state.idle.push(connection);
        }
        drop(state);
        self.available.notify_one();
    }

    fn release_place(&self) {
        self.lock().count_closed();
        self.available.notify_one();
    }

    fn close_excess_idle(&self) {
        let mut state = self.lock();
        let limit = state.limit(Instant::now());
        while state.usage.open > limit && state.idle.pop().is_some() {
            state.count_closed();
        }
        drop(state);
        self.available.notify_waiters();
    }

    fn fault(&self, step: &'static str, cause: &str) -> SearcherError {
        SearcherError::new(Step(step), Peer::Address(self.remote), cause)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A reserved place in the share. It is released on drop unless a connection uses it.
struct Reservation<'a> {
    pool: &'a Pool,
    used: bool,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        if !self.used {
            self.pool.release_place();
        }
    }
}

/// A leased connection.
///
/// It returns to the pool only through [`Lease::release`]. Dropping the lease closes the
/// connection, because a response may still be in transit on it.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Option<Connection>,
}

impl Lease {
    /// Returns the request sender of the connection.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self
            .connection
            .as_mut()
            .expect("a lease holds its connection until it is given back")
            .sender
    }

    /// Returns the connection to the pool at once if it is ready for another request, and otherwise
    /// in the background as soon as it is.
    pub fn release_soon(mut self) {
        let is_ready = self.connection.as_ref().is_some_and(|known| known.sender.is_ready());
        if !is_ready {
            tokio::spawn(self.release());
        } else if let Some(connection) = self.connection.take() {
            self.pool.put(connection);
        }
    }

    /// Returns the connection to the pool as soon as it is ready for another request.
    pub async fn release(mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let pool = Arc::clone(&self.pool);
        let mut reservation = Reservation { pool: &pool, used: false };
        if connection.sender.ready().await.is_ok() {
            reservation.used = true;
            pool.put(connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close();
            self.pool.release_place();
        }
    }
}
