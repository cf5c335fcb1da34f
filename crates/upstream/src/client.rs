//! Requests to one searcher.
//!
//! A sub-query waits for a slot, takes a connection, checks once more whether it
//! may still be sent, and is sent. A cancelled sub-query is cancelled at the
//! searcher by name and its reply is drained, so that the connection survives and no
//! late reply is ever taken for another request's. A write is sent once: after its
//! first byte may have left, every doubt is [`Effect::Unknown`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name, Peer, Step};
use bergamot_query::Reason;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::health::Health;
use crate::pool::{Lease, Pool};
use crate::protocol::{self, Found, Receipt, Search, Write};
use crate::slots::{Entry, Slots};

/// The largest reply that is read, in bytes.
const LARGEST_REPLY: usize = 16 << 20;

/// How long the reply to a cancelled request is awaited before its connection closes.
const DRAIN: Duration = Duration::from_millis(250);

/// An error of an exchange with a searcher.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step} {peer}: {cause} ({reason})"))]
pub struct Fault {
    /// What was being done.
    pub step: Step,
    /// The searcher.
    pub peer: Peer,
    /// What went wrong.
    pub cause: String,
    /// What the fault means for coverage.
    pub reason: Reason,
    /// Whether the connection ended before the reply to a request that was sent.
    pub cut: bool,
}

impl Fault {
    pub(crate) fn new(step: Step, peer: Peer, cause: &str) -> Self {
        Self { step, peer, cause: cause.to_owned(), reason: Reason::Unreachable, cut: false }
    }

    fn because(self, reason: Reason) -> Self {
        Self { reason, ..self }
    }
}

/// What a call carries besides its content.
#[derive(Clone, Debug)]
pub struct Call {
    /// The name of this attempt, unique over the fleet.
    pub id: Name,
    /// When the answer is of no use any more.
    pub deadline: Deadline,
    /// Cancels the attempt.
    pub cancel: CancellationToken,
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The searcher confirmed it.
    Done(Name),
    /// Nothing was sent, or the searcher said that it did not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
}

/// One searcher as one home sees it.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    pool: Arc<Pool>,
    slots: Mutex<Slots<oneshot::Sender<()>>>,
    health: Mutex<Health>,
}

impl Client {
    /// Makes the client of a searcher.
    pub fn new(
        address: SocketAddr,
        pool: Arc<Pool>,
        slots: usize,
        queue: usize,
        guess: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            address,
            pool,
            slots: Mutex::new(Slots::new(slots, queue)),
            health: Mutex::new(Health::new(guess)),
        })
    }

    /// Returns the searcher's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connections.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Returns what is known of the searcher.
    pub fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the queue before the searcher's slots.
    pub fn slots(&self) -> MutexGuard<'_, Slots<oneshot::Sender<()>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a sub-query. `may_send` is asked at the last moment before bytes leave.
    pub async fn search(
        self: &Arc<Self>,
        call: &Call,
        search: &Search,
        may_send: impl Fn() -> bool,
    ) -> Result<Found, Fault> {
        let mut slot = self.enter(call).await?;
        let lease = tokio::select! {
            biased;
            () = call.cancel.cancelled() => return Err(self.fault("take a connection", "cancelled")),
            lease = self.pool.lease(call.deadline) => lease.inspect_err(|_| self.failed())?,
        };
        if !self.may_start(call, &may_send) {
            lease.give_back().await;
            return Err(self.fault("send", "no longer allowed").because(Reason::Deadline));
        }
        let request = self.request(Method::POST, protocol::SEARCH, call, search);
        let started = Instant::now();
        let (client, call) = (Arc::clone(self), call.clone());
        // The exchange goes on after the caller has lost interest, to keep the
        // connection clean and the slot truthfully taken until the searcher is done.
        let exchange = tokio::spawn(async move {
            let reply = client.exchange(lease, request, &call).await;
            slot.took = reply.is_ok().then(|| started.elapsed());
            drop(slot);
            reply
        });
        let reply = exchange.await.map_err(|error| self.fault("send", &error.to_string()))??;
        self.read(&reply, started.elapsed())
    }

    /// Sends a write, once.
    pub async fn write(
        self: &Arc<Self>,
        call: &Call,
        key: &str,
        write: &Write,
        may_send: impl Fn() -> bool,
    ) -> Effect {
        let slot = match self.enter(call).await {
            Ok(slot) => slot,
            Err(fault) => return Effect::NotRun(fault.to_string()),
        };
        let mut lease = match self.pool.lease(call.deadline).await {
            Ok(lease) => lease,
            Err(fault) => return Effect::NotRun(fault.to_string()),
        };
        let mut request = self.request(Method::POST, protocol::WRITE, call, write);
        if let Ok(value) = key.parse() {
            request.headers_mut().insert(protocol::KEY, value);
        }
        if !self.may_start(call, &may_send) {
            lease.give_back().await;
            return Effect::NotRun(
                "no longer allowed at the last moment before sending".to_owned(),
            );
        }
        let sent = lease.sender().try_send_request(request);
        let outcome = tokio::time::timeout_at(call.deadline.instant().into(), sent).await;
        let effect = match outcome {
            Err(_elapsed) => {
                Effect::Unknown("the deadline passed after the write was sent".to_owned())
            }
            Ok(Err(error)) if error.message().is_some() => {
                Effect::NotRun(format!("the connection closed before sending: {}", error.error()))
            }
            Ok(Err(error)) => {
                Effect::Unknown(format!("the connection failed after sending: {}", error.error()))
            }
            Ok(Ok(response)) => self.effect(lease, response, call).await,
        };
        drop(slot);
        effect
    }

    /// Asks for the status, to learn the run, its versions and whether it leaves.
    pub async fn status(self: &Arc<Self>, deadline: Deadline) -> Result<(), Fault> {
        let call = Call { id: Name::from("status"), deadline, cancel: CancellationToken::new() };
        let lease = self.pool.lease(deadline).await.inspect_err(|_| self.failed())?;
        let request = self.request(Method::GET, protocol::STATUS, &call, &());
        self.exchange(lease, request, &call).await.map(|_reply| ())
    }

    async fn enter(self: &Arc<Self>, call: &Call) -> Result<Slot, Fault> {
        let (sender, receiver) = oneshot::channel();
        let entry = self.slots().enter(Instant::now(), call.deadline, sender);
        match entry {
            Entry::Go => Ok(Slot { client: Arc::clone(self), took: None }),
            Entry::Refuse(after) => {
                let cause = format!("the queue is full, come back in {} ms", after.as_millis());
                Err(self.fault("wait for a slot", &cause).because(Reason::Busy))
            }
            Entry::Wait => {
                let waiting = Waiting { client: self, receiver: Some(receiver) };
                tokio::select! {
                    slot = waiting.slot() => slot,
                    () = call.cancel.cancelled() => Err(self.fault("wait for a slot", "cancelled")),
                    () = tokio::time::sleep_until(call.deadline.instant().into()) => {
                        Err(self.fault("wait for a slot", "deadline").because(Reason::Deadline))
                    }
                }
            }
        }
    }

    /// The checks at the last moment before bytes leave.
    fn may_start(&self, call: &Call, may_send: &impl Fn() -> bool) -> bool {
        let leaving = self.health().is_leaving();
        !leaving
            && !call.deadline.passed(Instant::now())
            && !call.cancel.is_cancelled()
            && may_send()
    }

    fn request<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        call: &Call,
        content: &T,
    ) -> Request<Full<Bytes>> {
        let body = serde_json::to_vec(content).expect("protocol types always serialize");
        let left = call.deadline.left(Instant::now()).as_micros().to_string();
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header(protocol::DEADLINE, left)
            .header(protocol::REQUEST, &*call.id)
            .body(Full::new(Bytes::from(body)))
            .expect("the parts of a request are valid")
    }

    /// Sends a request and reads the whole reply, or cancels it at the searcher.
    async fn exchange(
        self: &Arc<Self>,
        mut lease: Lease,
        request: Request<Full<Bytes>>,
        call: &Call,
    ) -> Result<Response<Bytes>, Fault> {
        let sent = lease.sender().send_request(request);
        let mut reply = Box::pin(async move {
            let response = sent.await.map_err(|error| self.broken("send", &error))?;
            self.note(&response);
            self.collect(response).await
        });
        let abandon = tokio::time::sleep_until(call.deadline.instant().into());
        let answer = tokio::select! {
            answer = &mut reply => answer,
            () = call.cancel.cancelled() => {
                self.cancel(call);
                self.drained(&mut reply).await
            }
            () = abandon => {
                self.cancel(call);
                self.drained(&mut reply).await
            }
        };
        drop(reply);
        if answer.is_ok() {
            tokio::spawn(lease.give_back());
        }
        answer
    }

    async fn drained(
        &self,
        reply: impl Future<Output = Result<Response<Bytes>, Fault>>,
    ) -> Result<Response<Bytes>, Fault> {
        tokio::time::timeout(DRAIN, reply).await.unwrap_or_else(|_elapsed| {
            Err(self.fault("read reply", "late").because(Reason::Deadline))
        })
    }

    /// Cancels a request at the searcher by its name, if a connection is free for it.
    fn cancel(self: &Arc<Self>, call: &Call) {
        let Some(mut lease) = self.pool.lease_idle() else {
            return;
        };
        let path = format!("{}{}", protocol::REQUESTS, call.id);
        let request = self.request(Method::DELETE, &path, call, &());
        tokio::spawn(tokio::time::timeout(DRAIN, async move {
            if let Ok(response) = lease.sender().send_request(request).await
                && response.into_body().collect().await.is_ok()
            {
                lease.give_back().await;
            }
        }));
    }

    async fn collect(
        &self,
        response: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, Fault> {
        let (parts, body) = response.into_parts();
        let whole = Limited::new(body, LARGEST_REPLY).collect().await.map_err(|error| {
            self.failed();
            self.fault("read reply", &error.to_string()).because(Reason::BadReply)
        })?;
        Ok(Response::from_parts(parts, whole.to_bytes()))
    }

    /// Learns from the headers of any reply.
    fn note<T>(&self, response: &Response<T>) {
        let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
        let Some(run) = header(protocol::RUN) else {
            return;
        };
        let mut health = self.health();
        health.seen(Instant::now(), &Name::from(run), header(protocol::LEAVING).is_some());
        if let Some(versions) = header(protocol::VERSIONS) {
            health.holds(versions.split(',').filter_map(|version| version.parse().ok()));
        }
    }

    fn read(&self, reply: &Response<Bytes>, took: Duration) -> Result<Found, Fault> {
        match reply.status() {
            StatusCode::OK => {
                let found = serde_json::from_slice(reply.body()).map_err(|error| {
                    self.failed();
                    self.fault("decode reply", &error.to_string()).because(Reason::BadReply)
                })?;
                self.health().answered(took);
                Ok(found)
            }
            StatusCode::CONFLICT => {
                Err(self.fault("search", "version not held").because(Reason::VersionGone))
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                self.failed();
                Err(self.fault("search", "shed").because(Reason::Busy))
            }
            StatusCode::GONE => Err(self.fault("search", "leaving").because(Reason::Leaving)),
            StatusCode::GATEWAY_TIMEOUT => {
                Err(self.fault("search", "deadline passed there").because(Reason::Deadline))
            }
            status => {
                self.failed();
                Err(self.fault("search", status.as_str()).because(Reason::BadReply))
            }
        }
    }

    async fn effect(
        &self,
        lease: Lease,
        response: Response<hyper::body::Incoming>,
        call: &Call,
    ) -> Effect {
        self.note(&response);
        let not_run = response.headers().contains_key(protocol::NOT_RUN);
        let status = response.status();
        let body = tokio::time::timeout_at(call.deadline.instant().into(), self.collect(response));
        let Ok(Ok(reply)) = body.await else {
            return Effect::Unknown("the reply to the write was cut".to_owned());
        };
        tokio::spawn(lease.give_back());
        if status == StatusCode::OK {
            return match serde_json::from_slice::<Receipt>(reply.body()) {
                Ok(receipt) => Effect::Done(receipt.receipt),
                Err(error) => Effect::Unknown(format!("the receipt can't be read: {error}")),
            };
        }
        if not_run {
            return Effect::NotRun(format!("the searcher refused the write: {status}"));
        }
        Effect::Unknown(format!("the searcher answered {status}"))
    }

    fn broken(&self, step: &'static str, error: &hyper::Error) -> Fault {
        self.failed();
        // A searcher above its limit accepts and closes at once, before any answer.
        if error.is_incomplete_message() || error.is_canceled() || error.is_closed() {
            self.pool.shrink();
        }
        Fault { cut: !error.is_canceled(), ..self.fault(step, &error.to_string()) }
    }

    fn failed(&self) {
        self.health().failed(Instant::now());
    }

    fn fault(&self, step: &'static str, cause: &str) -> Fault {
        Fault::new(Step(step), Peer::Address(self.address), cause)
    }
}

/// A slot that is taken until it is dropped.
struct Slot {
    client: Arc<Client>,
    took: Option<Duration>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        hand_on(&self.client, self.took);
    }
}

/// Frees a slot and hands it to the first waiter that still listens.
fn hand_on(client: &Client, mut took: Option<Duration>) {
    loop {
        let next = client.slots().leave(Instant::now(), took.take());
        let Some(waiter) = next else { return };
        if waiter.send(()).is_ok() {
            return;
        }
    }
}

/// A place in the queue. A slot that was handed over and never used is handed on.
struct Waiting<'a> {
    client: &'a Arc<Client>,
    receiver: Option<oneshot::Receiver<()>>,
}

impl Waiting<'_> {
    async fn slot(mut self) -> Result<Slot, Fault> {
        let receiver = self.receiver.as_mut().expect("a waiter holds its receiver");
        let granted = receiver.await;
        self.receiver = None;
        match granted {
            Ok(()) => Ok(Slot { client: Arc::clone(self.client), took: None }),
            Err(_closed) => {
                Err(self.client.fault("wait for a slot", "deadline").because(Reason::Deadline))
            }
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        receiver.close();
        if receiver.try_recv().is_ok() {
            hand_on(self.client, None);
        }
    }
}
