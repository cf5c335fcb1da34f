//! A searcher: one replica of a shard, with a limited number of slots and connections.

mod connection;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::{Epoch, Name, Seed, Version};
use bergamot_net::{Body, BodyLimits, NetworkError, json, listen, read_body, text};
use bergamot_upstream::protocol::{self, Receipt, Search, SearchReply, Write};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::behaviour::{Effect, Faults, Limits, StatusFault, Topology};
use crate::corpus::Corpus;

/// The maximum size of a request body.
const MAX_BODY_LEN: usize = 1 << 20;

/// The shape of the tail of service times: the largest one without injected faults, as a multiple
/// of the mean.
const MAX_SERVICE_TIME_FACTOR: f64 = 2.0;

/// The settings of a searcher.
#[derive(Clone, Debug)]
pub struct SearcherSettings {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Its capacity.
    pub limits: Limits,
    /// Its documents.
    pub corpus: Corpus,
    /// The versions that it serves at the start.
    pub versions: Vec<Version>,
    /// The seed for its service times and injected faults.
    pub seed: Seed,
    /// The locations of instances, for the latency to them.
    pub topology: Arc<Topology>,
}

#[derive(Debug)]
struct State {
    versions: BTreeSet<Version>,
    corpora: HashMap<Epoch, Corpus>,
    faults: Faults,
    rng: StdRng,
    running: HashMap<Name, CancellationToken>,
    effects: Vec<Effect>,
    write_count: u64,
    cold_until: Option<Instant>,
    last_search: Option<Instant>,
}

#[derive(Debug)]
struct Inner {
    settings: SearcherSettings,
    run: Name,
    state: Mutex<State>,
    slots: Semaphore,
    open: AtomicUsize,
    peak: AtomicUsize,
    accepted: AtomicUsize,
    over_limit: AtomicUsize,
    searches: AtomicUsize,
    stop: CancellationToken,
}

/// A running searcher. Stops when dropped.
#[derive(Debug)]
pub struct Searcher(Arc<Inner>);

impl Searcher {
    /// Starts a searcher, on a free port if the address has port 0.
    pub async fn start(mut settings: SearcherSettings) -> Result<Self, NetworkError> {
        let listener = listen(settings.address).await?;
        let mut rng = settings.seed.generator(&format!("searcher {}", settings.address));
        let bound = listener.local_addr();
        settings.address =
            bound.map_err(|error| NetworkError::new("listen", settings.address, error))?;
        let run = Name::from(format!("{:016x}", rand::rng().random::<u64>()));
        let state = State {
            versions: settings.versions.iter().copied().collect(),
            corpora: HashMap::from([(settings.corpus.epoch, settings.corpus.clone())]),
            faults: Faults::default(),
            rng: rand::SeedableRng::from_rng(&mut rng),
            running: HashMap::new(),
            effects: Vec::new(),
            write_count: 0,
            cold_until: None,
            last_search: None,
        };
        let inner = Arc::new(Inner {
            run,
            state: Mutex::new(state),
            slots: Semaphore::new(settings.limits.slots),
            open: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            accepted: AtomicUsize::new(0),
            over_limit: AtomicUsize::new(0),
            searches: AtomicUsize::new(0),
            stop: CancellationToken::new(),
            settings,
        });
        tokio::spawn(connection::accept(Arc::clone(&inner), listener));
        Ok(Self(inner))
    }

    /// Returns the address on which the searcher listens.
    pub fn address(&self) -> SocketAddr {
        self.0.settings.address
    }

    /// Returns the availability zone of the searcher.
    pub fn zone(&self) -> &Name {
        &self.0.settings.zone
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.0.lock().faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Faults {
        self.0.lock().faults.clone()
    }

    /// Prepends the effects of an earlier run at this address to those of this one.
    pub fn prepend_effects(&self, earlier: Vec<Effect>) {
        self.0.lock().effects.splice(..0, earlier);
    }

    /// Returns when the last sub-query arrived, if any did.
    pub fn last_search(&self) -> Option<Instant> {
        self.0.lock().last_search
    }

    /// Replaces the versions that the searcher serves.
    pub fn set_versions(&self, versions: impl IntoIterator<Item = Version>) {
        self.0.lock().versions = versions.into_iter().collect();
    }

    /// Simulates a cold start: for the given time, requests take three times as long.
    pub fn simulate_cold_start(&self, time: Duration) {
        self.0.lock().cold_until = Some(Instant::now() + time);
    }

    /// Adds the documents of another epoch, as a repartitioning does.
    pub fn add_epoch(&self, corpus: Corpus) {
        self.0.lock().corpora.insert(corpus.epoch, corpus);
    }

    /// Returns the effects so far.
    pub fn effects(&self) -> Vec<Effect> {
        self.0.lock().effects.clone()
    }

    /// Returns the peak number of open connections, and how many were closed because of the
    /// limit.
    pub fn connections(&self) -> (usize, usize) {
        (self.0.peak.load(Ordering::Relaxed), self.0.over_limit.load(Ordering::Relaxed))
    }

    /// Returns how many connections were accepted within the limit.
    pub fn accepted(&self) -> usize {
        self.0.accepted.load(Ordering::Relaxed)
    }

    /// Returns how many sub-queries are queued or in progress.
    pub fn running(&self) -> usize {
        self.0.lock().running.len()
    }

    /// Returns how many sub-queries arrived.
    pub fn searches(&self) -> usize {
        self.0.searches.load(Ordering::Relaxed)
    }

    /// Returns whether the searcher has stopped.
    pub fn has_stopped(&self) -> bool {
        self.0.stop.is_cancelled()
    }

    /// Stops at once and closes every connection.
    pub fn kill(&self) {
        self.0.stop.cancel();
    }
}

impl Drop for Searcher {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A sub-query that is queued or in progress. Ends when dropped, also with its connection.
#[derive(Debug)]
struct Running<'a> {
    searcher: &'a Inner,
    id: &'a Name,
    cancel: CancellationToken,
}

impl<'a> Running<'a> {
    fn begin(searcher: &'a Inner, id: &'a Name) -> Self {
        let cancel = CancellationToken::new();
        searcher.lock().running.insert(Name::clone(id), cancel.clone());
        Self { searcher, id, cancel }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.searcher.lock().running.remove(self.id);
    }
}

impl Inner {
    /// Handles a request. Returns `None` if the connection is to be closed without a response.
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let id = request.headers().get(protocol::REQUEST).cloned();
        let mut response = match (request.method(), path.as_str()) {
            (&Method::POST, protocol::SEARCH) => self.search(request).await?,
            (&Method::POST, protocol::WRITE) => self.write(request).await?,
            (&Method::GET, protocol::STATUS) => json(StatusCode::OK, "{}"),
            (&Method::DELETE, path) if path.starts_with(protocol::REQUESTS) => {
                self.cancel(&path[protocol::REQUESTS.len()..])
            }
            (&Method::GET, "/effects") => {
                json(StatusCode::OK, serde_json::to_vec(&self.lock().effects).ok()?)
            }
            (&Method::POST, "/faults") => self.replace_faults(request).await,
            _ => text(StatusCode::NOT_FOUND, "unknown path"),
        };
        self.add_headers(&mut response, path == protocol::STATUS);
        if let Some(id) = id {
            response.headers_mut().insert(HeaderName::from_static(protocol::REQUEST), id);
        }
        Some(response)
    }

    /// Adds the headers that every response carries.
    fn add_headers(&self, response: &mut Response<Body>, status: bool) {
        let state = self.lock();
        let held: Vec<Version> = state.versions.iter().copied().collect();
        let claimed = state.faults.claimed.clone().filter(|_| status).unwrap_or(held);
        let versions: Vec<_> = claimed.iter().map(ToString::to_string).collect();
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                response.headers_mut().insert(HeaderName::from_static(name), value);
            }
        };
        set(protocol::RUN, &self.run);
        set(protocol::VERSIONS, &versions.join(","));
        if state.faults.leaving || state.faults.gone {
            set(protocol::LEAVING, "1");
        }
    }

    async fn search(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        self.searches.fetch_add(1, Ordering::Relaxed);
        self.lock().last_search = Some(Instant::now());
        let (id, left) = request_headers(&request);
        let body = read_body(request, &BodyLimits::of_size(MAX_BODY_LEN)).await.ok()?;
        let Ok(search) = serde_json::from_slice::<Search>(&body) else {
            return Some(text(StatusCode::BAD_REQUEST, "not a search"));
        };
        if let Some(refusal) = self.refusal() {
            return Some(refusal);
        }
        let fault = self.lock().draw_status();
        if let Some(fault) = fault {
            return Some(fault.apply(self.search_reply(&search)?));
        }
        let running = Running::begin(self, &id);
        let completed = tokio::select! {
            () = running.cancel.cancelled() => None,
            completed = tokio::time::timeout(left, self.work()) => completed.ok(),
        };
        drop(running);
        if self.lock().faults.fatal.as_ref() == Some(&search.query) {
            self.stop.cancel();
            return None;
        }
        if completed.is_none() {
            return Some(text(StatusCode::GATEWAY_TIMEOUT, "cancelled or late"));
        }
        self.lock().effects.push(Effect::Search { request: id });
        self.search_reply(&search)
    }

    fn search_reply(&self, search: &Search) -> Option<Response<Body>> {
        let mut state = self.lock();
        let corpus = state.corpora.get(&search.epoch).cloned();
        let held = state.versions.contains(&search.version);
        let cut = state.draw(|faults| faults.cut);
        let wrong = state.faults.wrong_version;
        drop(state);
        let Some(corpus) = corpus.filter(|corpus| held && corpus.position == search.shard) else {
            return Some(text(StatusCode::CONFLICT, "not held"));
        };
        if cut {
            return None;
        }
        let version = if wrong { search.version + 1 } else { search.version };
        let (documents, hits) = corpus.search(&search.query, version);
        let Search { shard, epoch, .. } = *search;
        let reply = SearchReply { shard, epoch, version, documents, hits };
        Some(json(StatusCode::OK, serde_json::to_vec(&reply).ok()?))
    }

    async fn write(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let (_, left) = request_headers(&request);
        let key = request.headers().get(protocol::KEY)?.to_str().ok()?;
        let key = Name::from(key);
        let body = read_body(request, &BodyLimits::of_size(MAX_BODY_LEN)).await.ok()?;
        let Ok(write) = serde_json::from_slice::<Write>(&body) else {
            return Some(not_run(StatusCode::BAD_REQUEST, "not a write"));
        };
        if let Some(refusal) = self.refusal() {
            let status = refusal.status();
            return Some(not_run(status, "refused"));
        }
        let fault = self.lock().draw_status();
        if fault.is_none() && tokio::time::timeout(left, self.work()).await.is_err() {
            return Some(not_run(StatusCode::GATEWAY_TIMEOUT, "late"));
        }
        let mut state = self.lock();
        state.write_count += 1;
        let receipt = Name::from(format!("{}-{}", self.run, state.write_count));
        if fault.is_none_or(|fault| !fault.not_run) {
            state.effects.push(Effect::Write { key, record: write.record, body: write.body });
        }
        let cut = state.draw(|faults| faults.cut_writes);
        drop(state);
        if cut {
            return None;
        }
        let response = json(StatusCode::OK, serde_json::to_vec(&Receipt { receipt }).ok()?);
        Some(match fault {
            Some(fault) => fault.apply(response),
            None => response,
        })
    }

    /// Waits for a slot and occupies it for the service time of a request.
    async fn work(&self) {
        let slot = self.slots.acquire().await;
        let time = self.lock().service_time(self.settings.limits.service_time);
        sleep(time).await;
        drop(slot);
    }

    /// Returns the response that rejects a request, if the injected faults demand it.
    fn refusal(&self) -> Option<Response<Body>> {
        let mut state = self.lock();
        if state.faults.gone {
            return Some(text(StatusCode::GONE, "leaving"));
        }
        state.draw(|faults| faults.shed).then(|| text(StatusCode::SERVICE_UNAVAILABLE, "shed"))
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        if let Some(running) = self.lock().running.get(id) {
            running.cancel();
        }
        text(StatusCode::OK, "cancelled")
    }

    async fn replace_faults(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_body(request, &BodyLimits::of_size(MAX_BODY_LEN)).await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.lock().faults = faults;
                text(StatusCode::OK, "taken")
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StatusFault {
    /// Makes a failure of the response to a request that is served.
    fn apply(self, mut response: Response<Body>) -> Response<Body> {
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or_default();
        if self.not_run {
            mark_not_run(&mut response);
        }
        response
    }
}

impl State {
    /// Returns the failure of a request, if the injected faults demand it.
    fn draw_status(&mut self) -> Option<StatusFault> {
        let fault = self.faults.status?;
        self.draw(|_| fault.share).then_some(fault)
    }

    /// Returns whether a fault occurs, given the probability that `probability` reads.
    fn draw(&mut self, probability: impl Fn(&Faults) -> f64) -> bool {
        let probability = probability(&self.faults);
        probability > 0.0 && self.rng.random::<f64>() < probability
    }

    /// Generates a service time: at least half of `mean`, with a short tail, multiplied by the
    /// factors for stragglers, slow searchers and cold starts.
    fn service_time(&mut self, mean: Duration) -> Duration {
        let draw: f64 = self.rng.random();
        let mut factor = 0.5 + (MAX_SERVICE_TIME_FACTOR - 0.5) * draw.powi(2);
        if self.draw(|faults| faults.straggle) {
            factor *= self.faults.straggle_factor.max(1.0);
        }
        factor *= self.faults.slow_factor.max(1.0);
        if self.cold_until.is_some_and(|until| Instant::now() < until) {
            factor *= 3.0;
        }
        mean.mul_f64(factor)
    }
}

/// Sleeps. Returns at once for a zero duration, because a timer takes at least a millisecond.
async fn sleep(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// Returns the request identifier and the time left until the deadline.
fn request_headers(request: &Request<Incoming>) -> (Name, Duration) {
    let text = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    let left = text(protocol::DEADLINE).and_then(|text| text.parse().ok()).unwrap_or(1_000_000);
    (Name::from(text(protocol::REQUEST).unwrap_or_default()), Duration::from_micros(left))
}

/// Returns an error response to a write that was not executed.
fn not_run(status: StatusCode, message: &'static str) -> Response<Body> {
    let mut response = text(status, message);
    mark_not_run(&mut response);
    response
}

/// Makes a response say that the request was not executed.
fn mark_not_run(response: &mut Response<Body>) {
    let name = HeaderName::from_static(protocol::NOT_RUN);
    response.headers_mut().insert(name, HeaderValue::from_static("1"));
}
