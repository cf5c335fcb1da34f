//! Starting, serving and stopping an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name};
use bergamot_config::Settings;
use bergamot_members::{Role, State};
use bergamot_net::{
    ConnectionLimits, ConnectionTimeouts, HeadLimit, NetworkError, listen, serve_bounded,
};
use bergamot_node::Node;
use bergamot_wire::{Entry as EntryRpc, run_requests, serve_requests, transport};
use bergamot_write::{Key, Outcome};
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::admission::AdmissionControl;
use crate::http;
use crate::metrics::Metrics;
use crate::search::QueryExecutor;
use crate::write::{FORWARD_MARGIN, WriteExecutor, WriteRequest};

/// Time for other members to learn that an entry is leaving. The entry keeps serving for this long
/// plus the lifetime of address answers.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// How long callers may take for a head, be idle, or not read an answer.
const TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { head: Duration::from_secs(30), idle: Duration::from_secs(30) };

/// The part of the drain time that is left for the last answers to reach their callers.
const LAST_ANSWERS_PART: f64 = 0.1;

/// State shared by the request handlers of an entry.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) node: Arc<Node>,
    pub(crate) metrics: Metrics,
    pub(crate) admission: Arc<AdmissionControl>,
    pub(crate) query_executor: Arc<QueryExecutor>,
    pub(crate) write_executor: Arc<WriteExecutor>,
    draining: AtomicBool,
    /// Cancelled when a stop requires the final answers to all requests.
    answers_due: CancellationToken,
    serial: AtomicU64,
}

impl Inner {
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Waits until a stop requires the final answers to all requests.
    pub(crate) async fn answers_due(&self) {
        self.answers_due.cancelled().await;
    }

    pub(crate) fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }
}

/// An entry that can be started in a process or in a test.
#[derive(Debug)]
pub struct Entry;

/// A handle to a running entry.
#[derive(Debug)]
pub struct EntryHandle {
    inner: Arc<Inner>,
    stop: CancellationToken,
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry and returns once it has a document and accepts requests.
    pub async fn start(settings: Arc<Settings>) -> Result<EntryHandle, NetworkError> {
        let node = Node::start(settings, Role::Entry).await?;
        let settings = Arc::clone(node.settings());
        let ip = settings.instance.address;
        let callers = listen((ip, settings.ports.entry_callers).into()).await?;
        let peers = listen((ip, settings.ports.entry_peers).into()).await?;
        node.join().await;
        let query_executor = Arc::new(QueryExecutor::new(Arc::clone(&node)));
        let inner = Arc::new(Inner {
            metrics: Metrics::new(node.registry()),
            admission: Arc::default(),
            write_executor: WriteExecutor::new(Arc::clone(&node), Arc::clone(&query_executor)),
            query_executor,
            node,
            draining: AtomicBool::new(false),
            answers_due: CancellationToken::new(),
            serial: AtomicU64::new(0),
        });
        add_dumps(&inner);
        let stop = CancellationToken::new();
        let address = callers.local_addr().ok();
        let running = EntryHandle {
            callers: serve_callers(&inner, callers, stop.clone()),
            peers: serve_peers(&inner, peers, stop.clone()),
            inner,
            stop,
        };
        log::info!("entry: Serving callers at {address:?}.");
        Ok(running)
    }
}

impl EntryHandle {
    /// Returns the node that this entry runs on.
    pub fn node(&self) -> &Arc<Node> {
        &self.inner.node
    }

    /// Waits until a task that the service requires has ended.
    pub async fn failed(&self) {
        self.inner.node.tasks().wait_for_failure().await;
    }

    /// Stops immediately without notifying other members, as a crash does. For tests and
    /// measurements.
    pub fn abort(self) {
        self.stop.cancel();
        self.inner.node.close();
    }

    /// Stops gracefully: announces that it is leaving, serves until the last address answer that
    /// named this entry has expired, finishes requests in flight, then closes. The drain time in
    /// the settings limits the wait for requests in flight; those still open towards its end get
    /// their final answer then.
    pub async fn stop(self) {
        let node = &self.inner.node;
        let settings = &node.settings().entry;
        let start = Instant::now();
        node.announce_departure(State::Leaving).await;
        self.inner.draining.store(true, Ordering::Relaxed);
        let until = start + settings.address_ttl + LEAVE_PROPAGATION_TIME;
        tokio::time::sleep_until(until.into()).await;
        self.stop.cancel();
        let inner = Arc::clone(&self.inner);
        let answer_by = Instant::now() + settings.drain.mul_f64(1.0 - LAST_ANSWERS_PART);
        tokio::spawn(async move {
            tokio::time::sleep_until(answer_by.into()).await;
            inner.answers_due.cancel();
        });
        let drained = async {
            // A panic in a handler has already been reported.
            let _ = self.callers.await;
            let _ = self.peers.await;
        };
        if tokio::time::timeout(settings.drain, drained).await.is_err() {
            log::warn!("entry: Stopping with requests still in flight after {:?}.", settings.drain);
        }
        node.announce_departure(State::Left).await;
        node.close();
        log::info!("entry: Stopped.");
    }
}

fn serve_callers(
    inner: &Arc<Inner>,
    listener: TcpListener,
    stop: CancellationToken,
) -> JoinHandle<()> {
    let tasks = inner.node.tasks().with_stop(stop.clone());
    let (inner, for_limit) = (Arc::clone(inner), Arc::clone(inner));
    let limits = move || {
        let bytes = for_limit.node.settings().entry.header_bytes as usize;
        ConnectionLimits { head: Some(HeadLimit::new(bytes)), timeouts: Some(TIMEOUTS) }
    };
    let intake = inner.node.intakes().for_callers();
    let serving = serve_bounded(listener, stop, intake, limits, move |request, _peer| {
        http::handle(Arc::clone(&inner), request)
    });
    tasks.spawn("callers", serving)
}

fn serve_peers(
    inner: &Arc<Inner>,
    listener: TcpListener,
    stop: CancellationToken,
) -> JoinHandle<()> {
    let tasks = inner.node.tasks().with_stop(stop.clone());
    let server = Server(Arc::clone(&inner.write_executor));
    let intake = inner.node.intakes().for_members("entries");
    let serving = serve_requests(listener, intake, stop, move |stream, connection| {
        let requests = transport(stream, &connection).execute(EntryRpc::serve(server.clone()));
        tokio::spawn(run_requests(requests, connection));
    });
    tasks.spawn("peers", serving)
}

/// Adds this service's parts to the state dump.
///
/// The parts have weak references to the service: the service owns the node, which owns the
/// parts, so strong references would form a cycle.
fn add_dumps(inner: &Arc<Inner>) {
    let part = |title, dump: fn(&Inner) -> String| {
        let weak_inner = Arc::downgrade(inner);
        let text = move || weak_inner.upgrade().map_or_else(String::new, |inner| dump(&inner));
        inner.node.add_dump_section(title, Box::new(text));
    };
    part("admission", |inner| inner.admission.dump());
    part("writes", |inner| inner.write_executor.dump());
}

/// Handles the requests of other entries.
#[derive(Clone)]
struct Server(Arc<WriteExecutor>);

impl EntryRpc for Server {
    async fn execute(
        self,
        context: Context,
        workspace: Name,
        service: Name,
        key: Key,
        record: Name,
        body: Name,
    ) -> Outcome {
        let now = Instant::now();
        let left = context.deadline.saturating_duration_since(now);
        let deadline = Deadline::after(now, left).with_margin(FORWARD_MARGIN);
        let write = WriteRequest { workspace, service, record, body, deadline };
        self.0.run_local(key, write).await
    }
}
