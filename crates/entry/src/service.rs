//! The entry as a running service.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name};
use bergamot_config::Settings;
use bergamot_members::{Role, State};
use bergamot_net::{Fault, listen, serve};
use bergamot_node::Node;
use bergamot_wire::{Entry as Requests, run_requests, serve_requests, transport};
use bergamot_write::{Key, Outcome};
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::door::Door;
use crate::http;
use crate::meter::Meter;
use crate::search::Runner;
use crate::write::{FORWARD_MARGIN, Order, Writer};

/// How long peers may need to hear a farewell, on top of the life of address answers.
const SETTLE: Duration = Duration::from_secs(1);

/// What the parts of an entry share.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) node: Arc<Node>,
    pub(crate) meter: Meter,
    pub(crate) door: Arc<Door>,
    pub(crate) runner: Arc<Runner>,
    pub(crate) writer: Arc<Writer>,
    draining: AtomicBool,
    serial: AtomicU64,
}

impl Inner {
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub(crate) fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }
}

/// An entry that can be started in a process or in a test.
#[derive(Debug)]
pub struct Entry;

/// An entry that runs.
#[derive(Debug)]
pub struct Running {
    inner: Arc<Inner>,
    stop: CancellationToken,
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry and returns once it has a document and serves.
    pub async fn start(settings: Arc<Settings>) -> Result<Running, Fault> {
        let node = Node::start(settings, Role::Entry).await?;
        let settings = Arc::clone(node.settings());
        let ip = settings.instance.address;
        let callers = listen((ip, settings.ports.entry_callers).into()).await?;
        let peers = listen((ip, settings.ports.entry_peers).into()).await?;
        node.join().await;
        let runner = Arc::new(Runner::new(Arc::clone(&node)));
        let inner = Arc::new(Inner {
            meter: Meter::new(node.registry()),
            door: Arc::default(),
            writer: Writer::new(Arc::clone(&node), Arc::clone(&runner)),
            runner,
            node,
            draining: AtomicBool::new(false),
            serial: AtomicU64::new(0),
        });
        add_dumps(&inner);
        let stop = CancellationToken::new();
        let address = callers.local_addr().ok();
        let running = Running {
            callers: serve_callers(&inner, callers, stop.clone()),
            peers: serve_peers(&inner, peers, stop.clone()),
            inner,
            stop,
        };
        log::info!("entry: Serving callers at {address:?}.");
        Ok(running)
    }
}

impl Running {
    /// Returns the node, for its state.
    pub fn node(&self) -> &Arc<Node> {
        &self.inner.node
    }

    /// Waits until a task has ended without which the service can't go on.
    pub async fn failed(&self) {
        self.inner.node.tasks().failed().await;
    }

    /// Ends at once and without a farewell, as a crash does. For tests and measurements.
    pub fn abort(self) {
        self.stop.cancel();
        self.inner.node.close();
    }

    /// Stops gracefully: says farewell, serves until the last address answer that named
    /// this entry has expired, finishes what is in flight, then closes.
    pub async fn stop(self) {
        let node = &self.inner.node;
        let settings = &node.settings().entry;
        let start = Instant::now();
        node.announce_departure(State::Leaving).await;
        self.inner.draining.store(true, Ordering::Relaxed);
        let until = start + settings.address_ttl + SETTLE;
        tokio::time::sleep_until(until.into()).await;
        self.stop.cancel();
        let finished = async {
            // A panic in a handler has been reported already.
            let _ = self.callers.await;
            let _ = self.peers.await;
        };
        if tokio::time::timeout(settings.drain, finished).await.is_err() {
            log::warn!("entry: Requests were still in flight after {:?}.", settings.drain);
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
    let tasks = inner.node.tasks().until(stop.clone());
    let inner = Arc::clone(inner);
    let serving =
        serve(listener, stop, move |request, _peer| http::handle(Arc::clone(&inner), request));
    tasks.spawn("callers", serving)
}

fn serve_peers(
    inner: &Arc<Inner>,
    listener: TcpListener,
    stop: CancellationToken,
) -> JoinHandle<()> {
    let tasks = inner.node.tasks().until(stop.clone());
    let server = Server(Arc::clone(&inner.writer));
    let serving = serve_requests(listener, stop, move |stream, open| {
        let requests = transport(stream).execute(Requests::serve(server.clone()));
        tokio::spawn(run_requests(requests, open));
    });
    tasks.spawn("peers", serving)
}

/// Adds the parts of the state dump. They hold the service weakly: the node that keeps
/// them is itself a part of the service.
fn add_dumps(inner: &Arc<Inner>) {
    let part = |title, dump: fn(&Inner) -> String| {
        let this = Arc::downgrade(inner);
        let text = move || this.upgrade().map_or_else(String::new, |inner| dump(&inner));
        inner.node.add_dump_section(title, Box::new(text));
    };
    part("admission", |inner| inner.door.dump());
    part("writes", |inner| inner.writer.dump());
}

/// The requests that an entry answers to other entries.
#[derive(Clone)]
struct Server(Arc<Writer>);

impl Requests for Server {
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
        let deadline = Deadline::after(now, left).less(FORWARD_MARGIN);
        let order = Order { workspace, service, record, body, deadline };
        self.0.run_own(key, order).await
    }
}
