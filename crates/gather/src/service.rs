//! The gather as a running service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use bergamot_base::{Deadline, Name, Revision, Searcher, Service, Shard, Version};
use bergamot_config::Settings;
use bergamot_members::{Role, State};
use bergamot_net::{Fault, listen};
use bergamot_node::Node;
use bergamot_quarantine::SharedGate;
use bergamot_query::Reason;
use bergamot_upstream::protocol::Write;
use bergamot_upstream::{Client, RequestContext, WriteResult};
use bergamot_wire::{
    Gather as Requests, Refusal, Reply, SubQuery, WriteOrder, run_requests, serve_requests,
    transport,
};
use bergamot_write::Outcome;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio_util::sync::CancellationToken;

use crate::holding::Holding;
use crate::keeper;
use crate::meter::Meter;
use crate::shard::Job;
use crate::suspects::fingerprint;
use crate::tail::Tails;

/// The part of a deadline that the reply needs to get back to the entry.
const REPLY_MARGIN: Duration = Duration::from_millis(1);

/// How long a leaving gather goes on after the last request came in.
const QUIET: Duration = Duration::from_millis(500);

/// How long a leaving gather goes on at least, so that every entry hears of it.
const SETTLE: Duration = Duration::from_millis(1500);

/// What the parts of a gather share.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) node: Arc<Node>,
    pub(crate) meter: Meter,
    pub(crate) tails: Tails,
    holding: ArcSwapOption<Holding>,
    served: AtomicU64,
    in_flight: AtomicU64,
}

impl Inner {
    pub(crate) fn holding(&self) -> Option<Arc<Holding>> {
        self.holding.load_full()
    }

    fn dump_upstream(&self) -> String {
        self.holding().map_or_else(String::new, |holding| holding.fleet.dump())
    }

    /// Takes in a change of the document or the homes.
    pub(crate) fn refresh(&self) {
        let Some(current) = self.node.active_document() else {
            return;
        };
        let before = self.holding();
        let homes = self.node.homes();
        let settings = self.node.settings();
        let next =
            Holding::next(before.as_deref(), current, &homes, self.node.endpoint(), settings);
        // Searchers that are held from now on may have been reported before.
        for (searcher, run) in self.node.leaving_searchers() {
            if let Some(client) = next.fleet.client_at(searcher) {
                client.health().record_leaving_notice(Some(&run));
            }
        }
        self.holding.store(Some(Arc::new(next)));
    }

    /// Returns the holding for a revision, or refuses.
    async fn hold(&self, revision: Revision, deadline: Deadline) -> Result<Arc<Holding>, Refusal> {
        if !self.node.wait_until_awake().await {
            return Err(Refusal::Asleep);
        }
        let bound = deadline.left(Instant::now()) / 2;
        if self.node.catch_up_to(revision, bound).await {
            let stale = |holding: &Arc<Holding>| holding.current.document.revision < revision;
            if self.holding().as_ref().is_none_or(stale) {
                self.refresh();
            }
        }
        let holding = self.holding().ok_or(Refusal::Asleep)?;
        let ours = holding.current.document.revision;
        if ours == revision { Ok(holding) } else { Err(Refusal::Revision(ours)) }
    }
}

/// A gather that can be started in a process or in a test.
#[derive(Debug)]
pub struct Gather;

/// A gather that runs.
#[derive(Debug)]
pub struct Running {
    inner: Arc<Inner>,
    stop: CancellationToken,
    served: tokio::task::JoinHandle<()>,
}

impl Gather {
    /// Starts a gather and returns once it has a document and serves.
    pub async fn start(settings: Arc<Settings>) -> Result<Running, Fault> {
        let node = Node::start(settings, Role::Gather).await?;
        let settings = Arc::clone(node.settings());
        let address = (settings.instance.address, settings.ports.gather_peers).into();
        let listener = listen(address).await?;
        node.join().await;
        let inner = Arc::new(Inner {
            meter: Meter::new(node.registry()),
            node,
            tails: Tails::default(),
            holding: ArcSwapOption::empty(),
            served: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
        });
        inner.refresh();
        add_dumps(&inner);
        let this = Arc::downgrade(&inner);
        inner.node.set_leaving_handler(Box::new(move |searcher, run| {
            if let Some(inner) = this.upgrade() {
                keeper::told_leaving(&inner, searcher, run);
            }
        }));
        let stop = CancellationToken::new();
        let tasks = inner.node.tasks().until(stop.clone());
        tasks.spawn("follow", keeper::follow(Arc::clone(&inner), stop.clone()));
        tasks.spawn("keep", keeper::keep(Arc::clone(&inner), stop.clone()));
        let server = Server(Arc::clone(&inner));
        let serving = serve_requests(listener, stop.clone(), move |stream, open| {
            let requests = transport(stream).execute(Requests::serve(server.clone()));
            tokio::spawn(run_requests(requests, open));
        });
        let served = tasks.spawn("serve", serving);
        log::info!("gather: Serving at {address}.");
        Ok(Running { inner, stop, served })
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

    /// Stops gracefully: says farewell, serves until nothing comes in any more and
    /// nothing is in flight, then closes.
    pub async fn stop(self) {
        let node = &self.inner.node;
        node.announce_departure(State::Leaving).await;
        let start = Instant::now();
        let longest = node.settings().entry.drain;
        let mut served = self.inner.served.load(Ordering::Relaxed);
        loop {
            tokio::time::sleep(QUIET).await;
            let now_served = self.inner.served.load(Ordering::Relaxed);
            let idle = self.inner.in_flight.load(Ordering::Relaxed) == 0 && now_served == served;
            served = now_served;
            let settled = start.elapsed() >= SETTLE;
            if (settled && idle) || start.elapsed() >= longest {
                break;
            }
        }
        self.stop.cancel();
        // A panic in a handler has been reported already.
        let _ = self.served.await;
        node.announce_departure(State::Left).await;
        node.close();
        log::info!("gather: Stopped.");
    }
}

/// Adds the parts of the state dump. They hold the service weakly: the node that keeps
/// them is itself a part of the service.
fn add_dumps(inner: &Arc<Inner>) {
    let part = |title, dump: fn(&Inner) -> String| {
        let this = Arc::downgrade(inner);
        let text = move || this.upgrade().map_or_else(String::new, |inner| dump(&inner));
        inner.node.add_dump_section(title, Box::new(text));
    };
    part("upstream", Inner::dump_upstream);
    part("tails", |inner| inner.tails.dump());
}

/// The requests that a gather answers.
#[derive(Clone)]
struct Server(Arc<Inner>);

/// Counts a request as in flight while it lives.
struct InFlight<'a>(&'a Inner);

impl<'a> InFlight<'a> {
    fn new(inner: &'a Inner) -> Self {
        inner.served.fetch_add(1, Ordering::Relaxed);
        inner.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(inner)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Requests for Server {
    async fn search(self, context: Context, query: SubQuery) -> Result<Reply, Refusal> {
        let _in_flight = InFlight::new(&self.0);
        let deadline = deadline(&context);
        let holding = self.0.hold(query.pin.revision, deadline).await?;
        if !holding.homes(&query.shards) {
            return Err(Refusal::NotHome);
        }
        let tail = self.0.tails.of(&holding.current.document, query.service);
        let SubQuery { id, pin, shards, shape, .. } = query;
        let document = &holding.current.document;
        let row = document.services.get(query.service).ok_or(Refusal::NotHome)?;
        let workspace = &document.workspaces[row.workspace].name;
        let fingerprint = fingerprint(&format!("{workspace}/{}", row.name), &shape);
        let door = SharedGate::default();
        let job = Job { id, pin, shape, fingerprint, door, deadline, holding, tail };
        Ok(self.search_shards(&job, &shards).await)
    }

    async fn write(self, context: Context, order: WriteOrder) -> Result<Outcome, Refusal> {
        let _in_flight = InFlight::new(&self.0);
        let deadline = deadline(&context);
        let holding = self.0.hold(order.revision, deadline).await?;
        if !holding.homes(&[order.shard]) {
            return Err(Refusal::NotHome);
        }
        let outcome = self.write_once(&holding, &order, deadline).await;
        self.0.meter.writes.with_label_values(&[&outcome.status.to_string()]).inc();
        Ok(outcome)
    }

    async fn versions(
        self,
        context: Context,
        revision: Revision,
        service: Service,
    ) -> Result<Vec<(Shard, Vec<Version>)>, Refusal> {
        let holding = self.0.hold(revision, deadline(&context)).await?;
        let document = &holding.current.document;
        let row = document.services.get(service).ok_or(Refusal::NotHome)?;
        let homed = row.shards.iter().filter(|shard| holding.homes(&[**shard]));
        Ok(homed.map(|shard| (*shard, holding.versions(*shard))).collect())
    }
}

impl Server {
    async fn search_shards(&self, job: &Job, shards: &[Shard]) -> Reply {
        let ended = self.0.run_shards(job, shards).await;
        let mut reply = Reply {
            partials: Vec::with_capacity(shards.len()),
            missing: Vec::new(),
            attempts: 0,
            versions: shards.iter().map(|shard| (*shard, job.holding.versions(*shard))).collect(),
        };
        for (shard, ended) in shards.iter().zip(ended) {
            reply.attempts += ended.attempts;
            let outcome = match ended.result {
                Ok(partial) => {
                    reply.partials.push(partial);
                    "answered".to_owned()
                }
                Err(reason) => {
                    reply.missing.push((*shard, reason));
                    reason.to_string()
                }
            };
            self.0.meter.shards.with_label_values(&[&outcome]).inc();
        }
        reply
    }

    /// Sends a write to the first replica that stays, and to no other.
    async fn write_once(
        &self,
        holding: &Holding,
        order: &WriteOrder,
        deadline: Deadline,
    ) -> Outcome {
        let replicas = &holding.current.document.shards[order.shard].replicas;
        let Some(client) = first_staying(holding, replicas) else {
            return Outcome::not_run(format!("every replica is leaving ({})", Reason::Leaving));
        };
        let call = RequestContext {
            id: Name::from(order.key.to_string()),
            deadline,
            cancel: CancellationToken::new(),
        };
        let write = Write { record: Name::clone(&order.record), body: Name::clone(&order.body) };
        let node = &self.0.node;
        let key = order.key.to_string();
        match client.write(&call, &key, &write, || node.is_awake()).await {
            WriteResult::Done(receipt) => Outcome::done(receipt),
            WriteResult::NotRun(reason) => Outcome::not_run(reason),
            WriteResult::Unknown(reason) => Outcome::unknown(reason),
        }
    }
}

fn first_staying<'a>(holding: &'a Holding, replicas: &[Searcher]) -> Option<&'a Arc<Client>> {
    let now = Instant::now();
    let staying: Vec<_> = replicas
        .iter()
        .filter_map(|searcher| holding.fleet.client(*searcher))
        .filter(|client| !client.health().is_leaving())
        .collect();
    let healthy = staying.iter().find(|client| !client.health().is_ejected(now));
    healthy.or(staying.first()).copied()
}

fn deadline(context: &Context) -> Deadline {
    let now = Instant::now();
    Deadline::after(now, context.deadline.saturating_duration_since(now)).less(REPLY_MARGIN)
}
