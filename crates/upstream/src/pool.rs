//! A pool of HTTP/1 connections to one searcher.
//!
//! Invariant: the number of connections, including those being established, never
//! exceeds the share, apart from connections in use when the share was reduced. The
//! shares of all gathers together are meant to stay below the searcher's connection
//! limit, so the limit is only a safeguard, and a refused connection reduces the share
//! temporarily. See `docs/design/0002-homes-and-cells.md`.
//!
//! Each connection passes on only bytes that answer its request ([`bergamot_answer::Inspector`]),
//! and is used again only if it has carried nothing else. See
//! `docs/design/0020-answers-of-searchers.md`.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_answer::{Fault, Finding, Inspector, Limits, Memory};
use bergamot_base::{Deadline, Peer, Step};
use bergamot_net::NetworkError;
use bytes::Bytes;
use hyper::body::Incoming;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};

use crate::body::{BodyError, read_body};
use crate::client::SearcherError;
use crate::connection::Connection;
use crate::lease::Lease;
use crate::protocol;
use crate::trust::{Reuse, Trust};

/// How long the share stays reduced after a refused connection.
const REDUCED_FOR: Duration = Duration::from_secs(2);

/// How a pool connects, and what it demands of answers.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// The local address of connections.
    pub local: Ipv4Addr,
    /// The address of the searcher.
    pub remote: SocketAddr,
    /// The maximum number of connections.
    pub share: usize,
    /// The timeout for opening a connection.
    pub dial_timeout: Duration,
    /// The header that names a request, in requests and in answers.
    pub id_header: &'static str,
    /// The bounds of one answer.
    pub limits: Limits,
    /// The bound of all answers.
    pub memory: Arc<Memory>,
}

impl Default for PoolSettings {
    /// Returns settings without a searcher, for the header of the own interface.
    fn default() -> Self {
        Self {
            local: Ipv4Addr::LOCALHOST,
            remote: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            share: 2,
            dial_timeout: Duration::from_secs(1),
            id_header: protocol::REQUEST,
            limits: Limits::default(),
            memory: Arc::default(),
        }
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
    /// Number of times that the searcher sent what is not the answer to a request.
    pub findings: u64,
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
    /// Called when the searcher sent what is not the answer to its request.
    pub found: Box<dyn Fn(&Finding) + Send + Sync>,
}

impl Default for Observer {
    /// Returns an observer that ignores everything.
    fn default() -> Self {
        Self {
            dialled: Box::new(|_| ()),
            opened: Box::new(|| ()),
            closed: Box::new(|_| ()),
            found: Box::new(|_| ()),
        }
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
    trust: Trust,
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
    settings: PoolSettings,
    state: Mutex<State>,
    /// Notified when a connection becomes available or the limit may have room.
    available: Notify,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings, observer: Observer) -> Arc<Self> {
        let usage = Usage { share: settings.share, ..Usage::default() };
        let (idle, trust) = (Vec::new(), Trust::default());
        let state = State { usage, idle, reduced: None, closing: false, trust, observer };
        Arc::new(Self { settings, state: Mutex::new(state), available: Notify::new() })
    }

    /// Reads the body of an answer completely.
    pub async fn read_body(&self, body: Incoming) -> Result<Bytes, BodyError> {
        let result = read_body(body, &self.settings.memory).await;
        if let Err(BodyError::Exhausted(fault)) = &result {
            self.record(&Finding::Fault(*fault));
        }
        result
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

    /// Returns whether other searchers are to be asked first, since an answer of this one was beyond
    /// a bound.
    pub fn is_avoided(&self) -> bool {
        self.lock().trust.is_avoided(Instant::now())
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
        let stream = match self.connect_socket().await {
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
    pub async fn lease(
        self: &Arc<Self>,
        deadline: Deadline,
        reuse: Reuse,
    ) -> Result<Lease, SearcherError> {
        let acquired = self.acquire(reuse);
        let result = tokio::time::timeout_at(deadline.instant().into(), acquired).await;
        result.unwrap_or_else(|_elapsed| Err(self.fault("wait for a connection", "deadline")))
    }

    /// Leases a connection if one is idle and may carry the request.
    pub fn lease_idle(self: &Arc<Self>, reuse: Reuse) -> Option<Lease> {
        self.pop_idle(reuse).map(|connection| self.new_lease(connection))
    }

    async fn acquire(self: &Arc<Self>, reuse: Reuse) -> Result<Lease, SearcherError> {
        loop {
            let available = self.available.notified();
            if let Some(connection) = self.pop_idle(reuse) {
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
        Lease::new(Arc::clone(self), connection)
    }

    /// Takes an idle connection. Those that may not carry the request are closed if there is no
    /// room for a new one beside them.
    fn pop_idle(&self, reuse: Reuse) -> Option<Connection> {
        let mut state = self.lock();
        let now = Instant::now();
        if !state.trust.may_reuse(reuse, now) {
            while state.usage.open >= state.limit(now)
                && let Some(connection) = state.idle.pop()
            {
                connection.close();
                state.count_closed();
            }
            return None;
        }
        while let Some(connection) = state.idle.pop() {
            if connection.is_ready() && connection.is_reusable() {
                return Some(connection);
            }
            connection.close();
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
        let result = tokio::time::timeout(self.settings.dial_timeout, self.connect()).await;
        let connection = result
            .unwrap_or_else(|_elapsed| Err(self.fault("dial", "timeout")))
            .inspect_err(|_| self.record_refusal())?;
        reservation.used = true;
        Ok(connection)
    }

    async fn connect(self: &Arc<Self>) -> Result<Connection, SearcherError> {
        let started = Instant::now();
        let stream =
            self.connect_socket().await.map_err(|error| self.fault("dial", &error.cause))?;
        self.record_dial(started.elapsed());
        self.handshake(stream).await
    }

    async fn connect_socket(&self) -> Result<TcpStream, NetworkError> {
        let PoolSettings { local, remote, dial_timeout, .. } = self.settings;
        bergamot_net::dial(local, remote, dial_timeout).await
    }

    /// Performs the HTTP/1 handshake on a new connection.
    async fn handshake(self: &Arc<Self>, stream: TcpStream) -> Result<Connection, SearcherError> {
        let PoolSettings { id_header, limits, memory, .. } = &self.settings;
        let inspector = Inspector::new(id_header, *limits, Arc::clone(memory));
        let pool = Arc::downgrade(self);
        let on_finding = move |finding: &Finding| {
            if let Some(pool) = pool.upgrade() {
                pool.record(finding);
            }
        };
        let opened = Connection::open(stream, id_header, inspector, Box::new(on_finding)).await;
        opened.map_err(|error| self.fault("handshake", &error.to_string()))
    }

    fn record(&self, finding: &Finding) {
        let (mut state, now) = (self.lock(), Instant::now());
        state.usage.findings += 1;
        match finding {
            Finding::Fault(Fault::Exceeded { .. }) => state.trust.record_exceeded(now),
            Finding::Fault(fault) if !fault.is_behind_answer() => state.trust.record_fault(now),
            Finding::Fault(_) | Finding::Skipped(_) => state.trust.record_skipped(now),
        }
        (state.observer.found)(finding);
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

    pub(crate) fn put(&self, connection: Connection) {
        let mut state = self.lock();
        let limit = state.limit(Instant::now());
        if !connection.is_reusable() || state.usage.open > limit {
            connection.close();
            state.count_closed();
        } else {
            state.idle.push(connection);
        }
        drop(state);
        self.available.notify_one();
    }

    pub(crate) fn release_place(&self) {
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
        SearcherError::new(Step(step), Peer::Address(self.settings.remote), cause)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A reserved place in the share. It is released on drop unless a connection uses it.
pub(crate) struct Reservation<'a> {
    pub(crate) pool: &'a Pool,
    pub(crate) used: bool,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        if !self.used {
            self.pool.release_place();
        }
    }
}
