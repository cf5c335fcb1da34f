//! Requests to one searcher.
//!
//! A sub-query waits for a slot, leases a connection, checks again whether it may still
//! be sent, and is then sent. To cancel it, the client sends a cancellation with the
//! request's identifier to the searcher and drains the response. This keeps the
//! connection usable, and a late response is never taken for that of another request.
//! A write is sent at most once: if any byte of it may have been sent and the result is
//! uncertain, the outcome is [`WriteResult::Unknown`].

mod answer;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_answer::Verdict;
use bergamot_base::{Deadline, Name, Peer, Step};
use bergamot_query::Reason;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::connection::SendError;
use crate::health::Health;
use crate::lease::Lease;
use crate::pool::Pool;
use crate::protocol::{self, Search, SearchReply, Write};
use crate::queue::{QueuedRequest, Slot};
use crate::slots::{Admission, Slots};
use crate::trust::{AVOIDANCE_PERIOD, Reuse};
use answer::verdict;

/// How long to wait for the response to a cancelled request before closing its connection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// An error in communication with a searcher.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step} {peer}: {cause} ({reason})"))]
pub struct SearcherError {
    /// The operation that failed.
    pub step: Step,
    /// The searcher.
    pub peer: Peer,
    /// Description of the cause.
    pub cause: String,
    /// The reason to report in the query's coverage.
    pub reason: Reason,
    /// Whether the connection ended after the request was sent and before its response.
    pub connection_lost: bool,
}

impl SearcherError {
    pub(crate) fn new(step: Step, peer: Peer, cause: &str) -> Self {
        Self {
            step,
            peer,
            cause: cause.to_owned(),
            reason: Reason::Unreachable,
            connection_lost: false,
        }
    }

    pub(crate) fn with_reason(self, reason: Reason) -> Self {
        Self { reason, ..self }
    }
}

/// Metadata of one request attempt.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Identifier of this attempt, unique across all instances.
    pub id: Name,
    /// Time after which the response is no longer useful.
    pub deadline: Deadline,
    /// Cancels the attempt.
    pub cancel: CancellationToken,
}

/// The result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The searcher confirmed the write with this receipt.
    Done(Name),
    /// The write was not sent, or the searcher reported that it did not run.
    NotRun(String),
    /// The write may or may not have run.
    Unknown(String),
}

/// A client of one searcher: its connection pool, its request queue and its health.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    pool: Arc<Pool>,
    /// The number of status requests so far, each of which has an identifier of its own.
    status_requests: AtomicU64,
    slots: Mutex<Slots<oneshot::Sender<()>>>,
    health: Mutex<Health>,
}

impl Client {
    /// Creates the client of a searcher.
    pub fn new(
        address: SocketAddr,
        pool: Arc<Pool>,
        slots: usize,
        queue: usize,
        initial_latency: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            address,
            pool,
            status_requests: AtomicU64::new(0),
            slots: Mutex::new(Slots::new(slots, queue)),
            health: Mutex::new(Health::new(initial_latency)),
        })
    }

    /// Returns the searcher's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connection pool.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Locks and returns the observed health of the searcher.
    pub fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the queue for the searcher's slots.
    pub fn slots(&self) -> MutexGuard<'_, Slots<oneshot::Sender<()>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a sub-query. `may_send` is called immediately before the request is sent.
    pub async fn search(
        self: &Arc<Self>,
        call: &RequestContext,
        search: &Search,
        may_send: impl Fn() -> bool,
    ) -> Result<SearchReply, SearcherError> {
        let mut slot = self.acquire_slot(call).await?;
        let lease = tokio::select! {
            biased;
            () = call.cancel.cancelled() => return Err(self.fault("take a connection", "cancelled")),
            lease = self.pool.lease(call.deadline, Reuse::Usual) => lease.inspect_err(|_| self.record_failure())?,
        };
        if !self.may_send_now(call, &may_send) {
            lease.release().await;
            return Err(self
                .fault("send", "sending is no longer allowed")
                .with_reason(Reason::Deadline));
        }
        let request = self.request(Method::POST, protocol::SEARCH, call, search);
        let started = Instant::now();
        let (client, exchanged) = (Arc::clone(self), call.clone());
        // The exchange runs in its own task, so that it continues if the caller drops this
        // future. The response is then still drained, and the slot stays in use until the
        // searcher has finished.
        let exchange = tokio::spawn(async move {
            let reply = client.exchange(lease, request, &exchanged).await;
            slot.took = reply.as_ref().ok().and_then(|reply| {
                client.slots().sample(started.elapsed(), verdict(reply) == Verdict::Success)
            });
            drop(slot);
            reply
        });
        let reply = exchange.await.map_err(|error| self.fault("send", &error.to_string()))??;
        self.decode_search(call, search, &reply, started.elapsed())
    }

    /// Sends a write at most once.
    pub async fn write(
        self: &Arc<Self>,
        call: &RequestContext,
        key: &str,
        write: &Write,
        may_send: impl Fn() -> bool,
    ) -> WriteResult {
        let slot = match self.acquire_slot(call).await {
            Ok(slot) => slot,
            Err(fault) => return WriteResult::NotRun(fault.to_string()),
        };
        let mut lease = match self.pool.lease(call.deadline, Reuse::Cautious).await {
            Ok(lease) => lease,
            Err(fault) => return WriteResult::NotRun(fault.to_string()),
        };
        let mut request = self.request(Method::POST, protocol::WRITE, call, write);
        if let Ok(value) = key.parse() {
            request.headers_mut().insert(protocol::KEY, value);
        }
        if !self.may_send_now(call, &may_send) {
            lease.release().await;
            return WriteResult::NotRun(
                "no longer allowed at the last moment before sending".to_owned(),
            );
        }
        let sent = lease.send(request);
        let result = tokio::time::timeout_at(call.deadline.instant().into(), sent).await;
        let effect = match result {
            Err(_elapsed) => {
                WriteResult::Unknown("the deadline passed after the write was sent".to_owned())
            }
            Ok(Err(error)) if error.is_unsent() => {
                WriteResult::NotRun(format!("the connection closed before sending: {error}"))
            }
            Ok(Err(error)) => {
                self.health().record_write(Instant::now(), false);
                WriteResult::Unknown(format!("the connection failed after sending: {error}"))
            }
            Ok(Ok(response)) => self.write_effect(lease, response, call).await,
        };
        drop(slot);
        effect
    }

    /// Requests the searcher's status to update its run, its versions and whether it is leaving.
    pub async fn status(self: &Arc<Self>, deadline: Deadline) -> Result<(), SearcherError> {
        let number = self.status_requests.fetch_add(1, Ordering::Relaxed);
        let id = Name::from(format!("status-{number}"));
        let call = RequestContext { id, deadline, cancel: CancellationToken::new() };
        let lease =
            self.pool.lease(deadline, Reuse::Usual).await.inspect_err(|_| self.record_failure())?;
        let request = self.request(Method::GET, protocol::STATUS, &call, &());
        let reply = self.exchange(lease, request, &call).await?;
        if verdict(&reply) != Verdict::Success {
            let (address, status) = (self.address, reply.status());
            log::debug!("upstream: Searcher {address} answered a status request with {status}.");
        }
        Ok(())
    }

    async fn acquire_slot(self: &Arc<Self>, call: &RequestContext) -> Result<Slot, SearcherError> {
        let (sender, receiver) = oneshot::channel();
        let admission = self.slots().acquire(Instant::now(), call.deadline, sender);
        match admission {
            Admission::Admitted => Ok(Slot { client: Arc::clone(self), took: None }),
            Admission::Rejected(after) => {
                let cause = format!("the queue is full, come back in {} ms", after.as_millis());
                Err(self.fault("wait for a slot", &cause).with_reason(Reason::Busy))
            }
            Admission::Queued => {
                let queued = QueuedRequest { client: self, receiver: Some(receiver) };
                tokio::select! {
                    slot = queued.slot() => slot,
                    () = call.cancel.cancelled() => Err(self.fault("wait for a slot", "cancelled")),
                    () = tokio::time::sleep_until(call.deadline.instant().into()) => {
                        Err(self.fault("wait for a slot", "deadline").with_reason(Reason::Deadline))
                    }
                }
            }
        }
    }

    /// Checks immediately before sending whether the request may still be sent.
    fn may_send_now(&self, call: &RequestContext, may_send: &impl Fn() -> bool) -> bool {
        let leaving = self.health().is_leaving();
        !leaving
            && !call.deadline.has_passed(Instant::now())
            && !call.cancel.is_cancelled()
            && may_send()
    }

    fn request<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        call: &RequestContext,
        content: &T,
    ) -> Request<Full<Bytes>> {
        let body = serde_json::to_vec(content).expect("protocol types always serialize");
        let left = call.deadline.remaining(Instant::now()).as_micros().to_string();
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header(protocol::DEADLINE, left)
            .header(protocol::REQUEST, &*call.id)
            .body(Full::new(Bytes::from(body)))
            .expect("the parts of a request are valid")
    }

    /// Sends a request and reads the complete response. If the request is cancelled or its
    /// deadline passes, cancels it at the searcher and drains the response.
    async fn exchange(
        self: &Arc<Self>,
        mut lease: Lease,
        request: Request<Full<Bytes>>,
        call: &RequestContext,
    ) -> Result<Response<Bytes>, SearcherError> {
        let mut reply = Box::pin(async {
            let sent = lease.send(request).await;
            let response = sent.map_err(|error| self.connection_fault("send", &error))?;
            self.record_headers(&response);
            self.read_body(response).await
        });
        let expired = tokio::time::sleep_until(call.deadline.instant().into());
        let answer = tokio::select! {
            answer = &mut reply => answer,
            () = call.cancel.cancelled() => {
                self.cancel(call);
                self.drain(&mut reply).await
            }
            () = expired => {
                self.cancel(call);
                self.drain(&mut reply).await
            }
        };
        drop(reply);
        if answer.is_ok() {
            tokio::spawn(lease.release());
        }
        answer
    }

    async fn drain(
        &self,
        reply: impl Future<Output = Result<Response<Bytes>, SearcherError>>,
    ) -> Result<Response<Bytes>, SearcherError> {
        tokio::time::timeout(DRAIN_TIMEOUT, reply).await.unwrap_or_else(|_elapsed| {
            Err(self
                .fault("read reply", "no reply to the cancelled request in time")
                .with_reason(Reason::Deadline))
        })
    }

    /// Sends the searcher a cancellation of the request, if a connection is idle.
    fn cancel(self: &Arc<Self>, call: &RequestContext) {
        let Some(mut lease) = self.pool.lease_idle(Reuse::Usual) else {
            return;
        };
        let path = format!("{}{}", protocol::REQUESTS, call.id);
        let id = Name::from(format!("{}-cancel", call.id));
        let request =
            self.request(Method::DELETE, &path, &RequestContext { id, ..call.clone() }, &());
        let pool = Arc::clone(&self.pool);
        tokio::spawn(tokio::time::timeout(DRAIN_TIMEOUT, async move {
            if let Ok(response) = lease.send(request).await
                && pool.read_body(response.into_body()).await.is_ok()
            {
                lease.release().await;
            }
        }));
    }

    async fn read_body(
        &self,
        response: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, SearcherError> {
        let (parts, body) = response.into_parts();
        let body = self.pool.read_body(body).await.map_err(|error| {
            self.record_failure();
            self.fault("read reply", &error.to_string()).with_reason(Reason::BadReply)
        })?;
        Ok(Response::from_parts(parts, body))
    }

    fn connection_fault(&self, step: &'static str, error: &SendError) -> SearcherError {
        self.record_failure();
        if let Some(fault) = error.fault() {
            return self.fault(step, &fault.to_string()).with_reason(Reason::BadReply);
        }
        let SendError::Connection { error, .. } = error else {
            return self.fault(step, &error.to_string());
        };
        // A searcher that is at its connection limit accepts a connection and closes it
        // immediately, before any response.
        if error.is_incomplete_message() || error.is_canceled() || error.is_closed() {
            self.pool.record_refusal();
        }
        SearcherError {
            connection_lost: !error.is_canceled(),
            ..self.fault(step, &error.to_string())
        }
    }

    fn record_failure(&self) {
        let now = Instant::now();
        self.health().record_failure(now);
        if self.pool.is_avoided() {
            self.health().eject_for(now, AVOIDANCE_PERIOD);
        }
    }

    pub(crate) fn fault(&self, step: &'static str, cause: &str) -> SearcherError {
        SearcherError::new(Step(step), Peer::Address(self.address), cause)
    }
}
