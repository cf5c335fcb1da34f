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

use bergamot_answer::{Fault, Finding, Inspector, Limits};
use bergamot_base::{Deadline, Peer, Step};
use bergamot_net::NetworkError;
use bergamot_resources::Memory;
use bytes::Bytes;
use hyper::body::Incoming;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::body::{BodyError, read_body};
use crate::client::SearcherError;
use crate::connection::Connection;
use crate::inspected::{Inspected, SharedInspector};
use crate::lease::Lease;
use crate::places::{Place, Places, Pooled};
use crate::protocol;
use crate::read_turns::{ReadTurns, Reader};
use crate::trust::{Reuse, Trust};

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
    /// The turns in which large answers are read, shared by all pools of a process.
    pub read_turns: ReadTurns,
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
            read_turns: ReadTurns::default(),
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
/// and again. The functions are called under locks of the pool and must not call it.
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
    findings: u64,
    idle: Vec<Pooled>,
    trust: Trust,
}

/// A pool of connections to one searcher.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    places: Arc<Places>,
    state: Mutex<State>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings, observer: Observer) -> Arc<Self> {
        let places = Places::new(settings.share, observer);
        let state = State { findings: 0, idle: Vec::new(), trust: Trust::default() };
        Arc::new(Self { settings, places, state: Mutex::new(state) })
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
        self.places.resize(share);
        self.close_excess_idle();
    }

    /// Stops establishing connections and closes existing ones as they become idle.
    pub fn close(&self) {
        self.places.close();
        self.close_excess_idle();
    }

    /// Returns the counters.
    pub fn usage(&self) -> Usage {
        let state = self.lock();
        Usage { idle: state.idle.len(), findings: state.findings, ..self.places.usage() }
    }

    /// Returns whether all connections that the share allows are in use.
    pub fn is_saturated(&self) -> bool {
        let state = self.lock();
        let usage = self.places.usage();
        state.idle.is_empty() && usage.open >= usage.share
    }

    /// Returns whether other searchers are to be asked first, since an answer of this one was beyond
    /// a bound.
    pub fn is_avoided(&self) -> bool {
        self.lock().trust.is_avoided(Instant::now())
    }

    /// Opens one connection in advance, if the share allows it, and returns whether it did.
    pub async fn warm(self: &Arc<Self>) -> Result<bool, SearcherError> {
        let Some(place) = self.places.take(Instant::now()) else {
            return Ok(false);
        };
        let connection = self.dial(place).await?;
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
        let place = self.places.take(Instant::now());
        let stream = match self.connect_socket().await {
            Ok(stream) => stream,
            Err(fault) => return fault.refused,
        };
        if let Some(place) = place
            && let Ok(connection) = self.handshake(stream).await
        {
            self.put(Pooled::new(connection, place));
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
            let available = self.places.available();
            if let Some(connection) = self.pop_idle(reuse) {
                return Ok(self.new_lease(connection));
            }
            if let Some(place) = self.places.take(Instant::now()) {
                let connection = self.dial_in_background(place).await?;
                return Ok(self.new_lease(connection));
            }
            if self.places.is_closing() {
                return Err(
                    self.fault("take a connection", "the home no longer holds the searcher")
                );
            }
            available.await;
        }
    }

    fn new_lease(self: &Arc<Self>, connection: Pooled) -> Lease {
        Lease::new(Arc::clone(self), connection)
    }

    /// Takes an idle connection. Those that may not carry the request are closed if there is no
    /// room for a new one beside them.
    fn pop_idle(&self, reuse: Reuse) -> Option<Pooled> {
        let mut state = self.lock();
        let now = Instant::now();
        if !state.trust.may_reuse(reuse, now) {
            while self.places.is_full(now) && state.idle.pop().is_some() {}
            return None;
        }
        while let Some(connection) = state.idle.pop() {
            if connection.is_ready() && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection. If the caller stops waiting, the connection is opened all the same and
    /// goes to the pool, also if it is ready by then: the searcher has spent its time on it, and the
    /// next request would have to begin anew.
    async fn dial_in_background(self: &Arc<Self>, place: Place) -> Result<Pooled, SearcherError> {
        let (sender, receiver) = oneshot::channel();
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let opened = pool.dial(place).await;
            let opened = opened.map(|connection| Unclaimed { pool, connection: Some(connection) });
            // Without a receiver, the connection goes to the pool as it is dropped.
            drop(sender.send(opened));
        });
        let ended = |_closed| Err(self.fault("dial", "the runtime stopped"));
        receiver.await.unwrap_or_else(ended).map(Unclaimed::claim)
    }

    /// Opens a connection.
    async fn dial(self: &Arc<Self>, place: Place) -> Result<Pooled, SearcherError> {
        let result = tokio::time::timeout(self.settings.dial_timeout, self.connect()).await;
        let connection = result
            .unwrap_or_else(|_elapsed| Err(self.fault("dial", "timeout")))
            .inspect_err(|_| self.record_refusal())?;
        Ok(Pooled::new(connection, place))
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
        let PoolSettings { id_header, limits, memory, read_turns, .. } = &self.settings;
        let inspector = Inspector::new(id_header, *limits, Arc::clone(memory));
        let inspector = SharedInspector::new(inspector);
        let pool = Arc::downgrade(self);
        let on_finding = move |finding: &Finding| {
            if let Some(pool) = pool.upgrade() {
                pool.record(finding);
            }
        };
        let pool = Arc::downgrade(self);
        let on_end = move || {
            if let Some(pool) = pool.upgrade() {
                pool.drop_closed_idle();
            }
        };
        let reader = Reader::new(read_turns.clone());
        let stream = Inspected::new(stream, reader, inspector.clone(), Box::new(on_finding));
        let opened = Connection::open(stream, id_header, inspector, on_end).await;
        opened.map_err(|error| self.fault("handshake", &error.to_string()))
    }

    fn record(&self, finding: &Finding) {
        let (mut state, now) = (self.lock(), Instant::now());
        state.findings += 1;
        match finding {
            Finding::Fault(Fault::Exceeded { .. }) => state.trust.record_exceeded(now),
            Finding::Fault(fault) if !fault.is_behind_answer() => state.trust.record_fault(now),
            Finding::Fault(_) | Finding::Skipped(_) => state.trust.record_skipped(now),
        }
        (self.places.observer().found)(finding);
    }

    fn record_dial(&self, took: Duration) {
        (self.places.observer().dialled)(took);
    }

    /// Temporarily limits the pool to the number of connections that are open without the one
    /// that the searcher refused.
    pub(crate) fn record_refusal(&self) {
        self.places.record_refusal(Instant::now());
    }

    /// Keeps a connection for another request if it may carry one and the limit allows it.
    pub(crate) fn put(&self, connection: Pooled) {
        let mut state = self.lock();
        if !connection.is_reusable() || self.places.is_exceeded(Instant::now()) {
            drop(connection);
        } else {
            state.idle.push(connection);
        }
        drop(state);
        self.places.notify_one();
    }

    /// Gives back the places of idle connections that their searcher has closed. Otherwise those below
    /// the last used one would keep them, and the pool would show connections that don't exist.
    fn drop_closed_idle(&self) {
        self.lock().idle.retain(|connection| !connection.is_closed());
    }

    fn close_excess_idle(&self) {
        let (mut state, now) = (self.lock(), Instant::now());
        while self.places.is_exceeded(now) && state.idle.pop().is_some() {}
        drop(state);
        self.places.notify_waiters();
    }

    fn fault(&self, step: &'static str, cause: &str) -> SearcherError {
        SearcherError::new(Step(step), Peer::Address(self.settings.remote), cause)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A new connection on the way to the request that waits for it, which goes to the pool if the
/// request ends before it is claimed.
#[derive(Debug)]
struct Unclaimed {
    pool: Arc<Pool>,
    connection: Option<Pooled>,
}

impl Unclaimed {
    fn claim(mut self) -> Pooled {
        self.connection.take().expect("only this and the drop take it")
    }
}

impl Drop for Unclaimed {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection);
        }
    }
}
