//! The connections of one home to one searcher.
//!
//! Invariant: open connections, dials included, never exceed the share. A refused
//! dial shrinks the share for a while, since the searcher's limit is the last guard
//! and not the plan; see `docs/design/0002-homes-and-cells.md`.

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
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::client::Fault;

/// How long a share stays shrunk after a refusal.
const SHRUNK: Duration = Duration::from_secs(2);

/// An open connection: the sending side, and the task that owns the socket.
#[derive(Debug)]
struct Sender {
    request: SendRequest<Full<Bytes>>,
    socket: AbortHandle,
}

impl Sender {
    /// Closes the socket now. Dropped alone, it would close when the task next runs.
    fn close(self) {
        self.socket.abort();
    }
}

/// The counts of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The connections that may be open.
    pub share: usize,
    /// The connections that are open or being dialled.
    pub open: usize,
    /// The connections that wait for work.
    pub idle: usize,
    /// The dials since the start.
    pub dials: u64,
    /// The dials that the searcher refused.
    pub refused: u64,
}

#[derive(Debug)]
struct State {
    usage: Usage,
    idle: Vec<Sender>,
    shrunk: Option<(usize, Instant)>,
    closing: bool,
    /// How long the fastest dial took since it was last asked for.
    fastest: Option<Duration>,
}

impl State {
    fn limit(&mut self, now: Instant) -> usize {
        match self.shrunk {
            _ if self.closing => 0,
            Some((limit, until)) if now < until => limit.min(self.usage.share),
            _ => {
                self.shrunk = None;
                self.usage.share
            }
        }
    }
}

/// The connections of one home to one searcher.
#[derive(Debug)]
pub struct Pool {
    local: Ipv4Addr,
    remote: SocketAddr,
    dial: Duration,
    state: Mutex<State>,
    freed: Notify,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(local: Ipv4Addr, remote: SocketAddr, share: usize, dial: Duration) -> Arc<Self> {
        let usage = Usage { share, ..Usage::default() };
        let state = State { usage, idle: Vec::new(), shrunk: None, closing: false, fastest: None };
        Arc::new(Self { local, remote, dial, state: Mutex::new(state), freed: Notify::new() })
    }

    /// Changes the share; connections above it close when they are returned.
    pub fn resize(&self, share: usize) {
        let mut state = self.lock();
        state.usage.share = share;
        state.closing = false;
        drop(state);
        self.trim();
    }

    /// Stops new work and closes connections as they become idle.
    pub fn close(&self) {
        self.lock().closing = true;
        self.trim();
    }

    /// Returns the counts.
    pub fn usage(&self) -> Usage {
        let state = self.lock();
        Usage { idle: state.idle.len(), ..state.usage }
    }

    /// Returns how long the fastest dial took since this was last asked: one round trip.
    pub fn take_fastest_dial(&self) -> Option<Duration> {
        self.lock().fastest.take()
    }

    /// Opens one connection ahead of need, if the share has room.
    pub async fn warm(self: &Arc<Self>) -> Result<bool, Fault> {
        if !self.reserve() {
            return Ok(false);
        }
        let sender = self.dial().await?;
        self.put(sender);
        Ok(true)
    }

    /// Tells whether nobody listens at the searcher's address: whoever did has ended.
    ///
    /// A connection that ends shows less: it may have been reset, or cut on the way. If the
    /// searcher is there, the connection that shows it is kept where the share has room.
    pub async fn is_gone(self: &Arc<Self>) -> bool {
        let mut place = self.reserve().then(|| Place { pool: self, kept: false });
        let stream = match bergamot_net::dial(self.local, self.remote, self.dial).await {
            Ok(stream) => stream,
            Err(fault) => return fault.refused,
        };
        if let Some(place) = &mut place
            && let Ok(sender) = self.shake(stream).await
        {
            place.kept = true;
            self.put(sender);
        }
        false
    }

    /// Takes a connection, dialling one where the share has room, by the deadline.
    pub async fn lease(self: &Arc<Self>, deadline: Deadline) -> Result<Lease, Fault> {
        let timeout = tokio::time::timeout_at(deadline.instant().into(), self.take()).await;
        timeout.unwrap_or_else(|_elapsed| Err(self.fault("wait for a connection", "deadline")))
    }

    /// Takes a connection only if one is idle.
    pub fn lease_idle(self: &Arc<Self>) -> Option<Lease> {
        self.pop().map(|sender| self.lend(sender))
    }

    async fn take(self: &Arc<Self>) -> Result<Lease, Fault> {
        loop {
            let freed = self.freed.notified();
            if let Some(sender) = self.pop() {
                return Ok(self.lend(sender));
            }
            if self.reserve() {
                let sender = self.dial().await?;
                return Ok(self.lend(sender));
            }
            if self.lock().closing {
                return Err(
                    self.fault("take a connection", "the home no longer holds the searcher")
                );
            }
            freed.await;
        }
    }

    fn lend(self: &Arc<Self>, sender: Sender) -> Lease {
        Lease { pool: Arc::clone(self), sender: Some(sender) }
    }

    fn pop(&self) -> Option<Sender> {
        let mut state = self.lock();
        while let Some(sender) = state.idle.pop() {
            if sender.request.is_ready() {
                return Some(sender);
            }
            state.usage.open -= 1;
        }
        None
    }

    fn reserve(&self) -> bool {
        let mut state = self.lock();
        let room = state.usage.open < state.limit(Instant::now());
        if room {
            state.usage.open += 1;
            state.usage.dials += 1;
        }
        room
    }

    /// Dials into a reserved place, which is given back on failure or cancellation.
    async fn dial(self: &Arc<Self>) -> Result<Sender, Fault> {
        let mut place = Place { pool: self, kept: false };
        let dialled = tokio::time::timeout(self.dial, self.handshake()).await;
        let sender = dialled
            .unwrap_or_else(|_elapsed| Err(self.fault("dial", "timeout")))
            .inspect_err(|_| self.shrink())?;
        place.kept = true;
        Ok(sender)
    }

    async fn handshake(&self) -> Result<Sender, Fault> {
        let begun = Instant::now();
        let stream = bergamot_net::dial(self.local, self.remote, self.dial)
            .await
            .map_err(|error| self.fault("dial", &error.cause))?;
        self.note_dial(begun.elapsed());
        self.shake(stream).await
    }

    /// Makes a new connection ready for requests.
    async fn shake(&self, stream: TcpStream) -> Result<Sender, Fault> {
        let fault = |error: &dyn fmt::Display| self.fault("handshake", &error.to_string());
        let (mut request, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| fault(&error))?;
        let socket = tokio::spawn(connection).abort_handle();
        request.ready().await.map_err(|error| fault(&error))?;
        Ok(Sender { request, socket })
    }

    fn note_dial(&self, took: Duration) {
        let mut state = self.lock();
        state.fastest = Some(state.fastest.map_or(took, |fastest| fastest.min(took)));
    }

    /// Shrinks the share to what is open after the searcher refused a connection.
    pub(crate) fn shrink(&self) {
        let mut state = self.lock();
        state.usage.refused += 1;
        let limit = state.usage.open.saturating_sub(1).max(1);
        state.shrunk = Some((limit, Instant::now() + SHRUNK));
    }

    fn put(&self, sender: Sender) {
        let mut state = self.lock();
        let limit = state.limit(Instant::now());
        if sender.request.is_closed() || state.usage.open > limit {
            state.usage.open -= 1;
        } else {
            state.idle.push(sender);
        }
        drop(state);
        self.freed.notify_one();
    }

    fn release(&self) {
        self.lock().usage.open -= 1;
        self.freed.notify_one();
    }

    fn trim(&self) {
        let mut state = self.lock();
        let limit = state.limit(Instant::now());
        while state.usage.open > limit && state.idle.pop().is_some() {
            state.usage.open -= 1;
        }
        drop(state);
        self.freed.notify_waiters();
    }

    fn fault(&self, step: &'static str, cause: &str) -> Fault {
        Fault::new(Step(step), Peer::Address(self.remote), cause)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the share that is given back unless the dial succeeds.
struct Place<'a> {
    pool: &'a Pool,
    kept: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if !self.kept {
            self.pool.release();
        }
    }
}

/// A connection on loan. It goes back to the pool only through [`Lease::give_back`];
/// dropped otherwise, the connection is closed, since an answer may be on its way.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    sender: Option<Sender>,
}

impl Lease {
    /// Returns the connection for sending.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self
            .sender
            .as_mut()
            .expect("a lease holds its connection until it is given back")
            .request
    }

    /// Returns the connection to the pool once it has become ready for more work.
    pub async fn give_back(mut self) {
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        let pool = Arc::clone(&self.pool);
        let place = Place { pool: &pool, kept: false };
        if sender.request.ready().await.is_ok() {
            let mut place = place;
            place.kept = true;
            pool.put(sender);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take() {
            sender.close();
            self.pool.release();
        }
    }
}
