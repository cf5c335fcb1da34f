//! Starting, serving and stopping a gather.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use bergamot_base::{Deadline, Name, Revision, Searcher, Service, Shard, Version};
use bergamot_config::Settings;
use bergamot_members::{Role, State};
use bergamot_net::{NetworkError, listen};
use bergamot_node::Node;
use bergamot_quarantine::SharedGate;
use bergamot_query::Reason;
use bergamot_upstream::protocol::Write;
use bergamot_upstream::{Client, RequestContext, WriteResult};
use bergamot_wire::{
    Gather as GatherRpc, Refusal, Reply, SubQuery, WriteOrder, run_requests, serve_requests,
    transport,
};
use bergamot_write::Outcome;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio_util::sync::CancellationToken;

use crate::assignment::Assignment;
use crate::maintenance;
use crate::metrics::Metrics;
use crate::quarantine::fingerprint;
use crate::service_state::ServiceStates;
use crate::shard::SubQueryContext;

/// Part of each deadline that is reserved for sending the reply to the entry.
const REPLY_MARGIN: Duration = Duration::from_millis(1);

/// Interval at which a leaving gather checks whether it is idle, that is, whether no request has
/// arrived since the last check and none is in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time for which a leaving gather keeps serving, so that every entry learns that it is
/// leaving before it stops.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(1500);

/// State shared by the tasks and request handlers of a gather.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) node: Arc<Node>,
    pub(crate) metrics: Metrics,
    pub(crate) service_states: ServiceStates,
    assignment: ArcSwapOption<Assignment>,
    /// Number of requests received since the start.
    received: AtomicU64,
    /// Number of requests that are being handled.
    in_flight: AtomicU64,
}

impl Inner {
    pub(crate) fn assignment(&self) -> Option<Arc<Assignment>> {
        self.assignment.load_full()
    }

    fn dump_upstream(&self) -> String {
        self.assignment().map_or_else(String::new, |assignment| assignment.clients.dump())
    }

    /// Recomputes the assignment after a change of the document or the homes.
    pub(crate) fn update_assignment(&self) {
        let Some(current) = self.node.active_document() else {
            return;
        };
        let previous = self.assignment();
        let homes = self.node.homes();
        let settings = self.node.settings();
        let next =
            Assignment::new(previous.as_deref(), current, &homes, self.node.endpoint(), settings);
        // A newly assigned searcher may have been reported as leaving before it was assigned.
        for (searcher, run) in self.node.leaving_searchers() {
            if let Some(client) = next.clients.client_at(searcher) {
                client.health().record_leaving_notice(Some(&run));
            }
        }
        self.assignment.store(Some(Arc::new(next)));
    }

    /// Returns the assignment for a revision after catching up to it if necessary, or a refusal if
    /// another revision is in force or no new work may start.
    async fn assignment_at(
        &self,
        revision: Revision,
        deadline: Deadline,
    ) -> Result<Arc<Assignment>, Refusal> {
        if !self.node.wait_until_awake().await {
            return Err(Refusal::Asleep);
        }
        let timeout = deadline.remaining(Instant::now()) / 2;
        if self.node.catch_up_to(revision, timeout).await {
            let stale =
                |assignment: &Arc<Assignment>| assignment.current.document.revision < revision;
            if self.assignment().as_ref().is_none_or(stale) {
                self.update_assignment();
            }
        }
        let assignment = self.assignment().ok_or(Refusal::Asleep)?;
        let current = assignment.current.document.revision;
        if current == revision { Ok(assignment) } else { Err(Refusal::Revision(current)) }
    }
}

/// A gather that can be started in a process or in a test.
#[derive(Debug)]
pub struct Gather;

/// A handle to a running gather.
#[derive(Debug)]
pub struct GatherHandle {
    inner: Arc<Inner>,
    stop: CancellationToken,
    serve_task: tokio::task::JoinHandle<()>,
}

impl Gather {
    /// Starts a gather and returns once it has a document and accepts requests.
    pub async fn start(settings: Arc<Settings>) -> Result<GatherHandle, NetworkError> {
        let node = Node::start(settings, Role::Gather).await?;
        let settings = Arc::clone(node.settings());
        let address = (settings.instance.address, settings.ports.gather_peers).into();
        let listener = listen(address).await?;
        node.join().await;
        let inner = Arc::new(Inner {
            metrics: Metrics::new(node.registry()),
            node,
            service_states: ServiceStates::default(),
            assignment: ArcSwapOption::empty(),
            received: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
        });
        inner.update_assignment();
        add_dumps(&inner);
        let weak_inner = Arc::downgrade(&inner);
        inner.node.set_leaving_handler(Box::new(move |searcher, run| {
            if let Some(inner) = weak_inner.upgrade() {
                maintenance::record_leaving_notice(&inner, searcher, run);
            }
        }));
        let stop = CancellationToken::new();
        let tasks = inner.node.tasks().with_stop(stop.clone());
        tasks.spawn("follow", maintenance::follow_assignment(Arc::clone(&inner), stop.clone()));
        tasks.spawn("keep", maintenance::maintain_clients(Arc::clone(&inner), stop.clone()));
        let server = Server(Arc::clone(&inner));
        let intake = inner.node.intakes().for_members("entries");
        let serving = serve_requests(listener, intake, stop.clone(), move |stream, connection| {
            let requests = transport(stream, &connection).execute(GatherRpc::serve(server.clone()));
            tokio::spawn(run_requests(requests, connection));
        });
        let serve_task = tasks.spawn("serve", serving);
        log::info!("gather: Serving at {address}.");
        Ok(GatherHandle { inner, stop, serve_task })
    }
}

impl GatherHandle {
    /// Returns the node that this gather runs on.
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

    /// Stops gracefully: announces that it is leaving, serves until no more requests arrive and
    /// none is in flight, then closes. The drain time in the settings limits how long this takes.
    pub async fn stop(self) {
        let node = &self.inner.node;
        node.announce_departure(State::Leaving).await;
        let start = Instant::now();
        let max_time = node.settings().entry.drain;
        let mut received = self.inner.received.load(Ordering::Relaxed);
        loop {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let now_received = self.inner.received.load(Ordering::Relaxed);
            let idle =
                self.inner.in_flight.load(Ordering::Relaxed) == 0 && now_received == received;
            received = now_received;
            let min_time_passed = start.elapsed() >= MIN_DRAIN_TIME;
            if (min_time_passed && idle) || start.elapsed() >= max_time {
                break;
            }
        }
        self.stop.cancel();
        // A panic in a handler has already been reported.
        let _ = self.serve_task.await;
        node.announce_departure(State::Left).await;
        node.close();
        log::info!("gather: Stopped.");
    }
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
    part("upstream", Inner::dump_upstream);
    part("tails", |inner| inner.service_states.dump());
}

/// Handles the requests of entries.
#[derive(Clone)]
struct Server(Arc<Inner>);

/// Counts a request as in flight until dropped.
struct InFlightGuard<'a>(&'a Inner);

impl<'a> InFlightGuard<'a> {
    fn new(inner: &'a Inner) -> Self {
        inner.received.fetch_add(1, Ordering::Relaxed);
        inner.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(inner)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl GatherRpc for Server {
    async fn search(self, context: Context, query: SubQuery) -> Result<Reply, Refusal> {
        let _in_flight = InFlightGuard::new(&self.0);
        let deadline = reply_deadline(&context);
        let assignment = self.0.assignment_at(query.pin.revision, deadline).await?;
        if !assignment.is_home_of(&query.shards) {
            return Err(Refusal::NotHome);
        }
        let service_state =
            self.0.service_states.get_or_create(&assignment.current.document, query.service);
        let SubQuery { id, pin, shards, shape, .. } = query;
        let document = &assignment.current.document;
        let row = document.services.get(query.service).ok_or(Refusal::NotHome)?;
        let workspace = &document.workspaces[row.workspace].name;
        let fingerprint = fingerprint(&format!("{workspace}/{}", row.name), &shape);
        let gate = SharedGate::default();
        let sub_query = SubQueryContext {
            id,
            pin,
            shape,
            fingerprint,
            gate,
            deadline,
            assignment,
            service_state,
        };
        Ok(self.search_shards(&sub_query, &shards).await)
    }

    async fn write(self, context: Context, order: WriteOrder) -> Result<Outcome, Refusal> {
        let _in_flight = InFlightGuard::new(&self.0);
        let deadline = reply_deadline(&context);
        let assignment = self.0.assignment_at(order.revision, deadline).await?;
        if !assignment.is_home_of(&[order.shard]) {
            return Err(Refusal::NotHome);
        }
        let outcome = self.run_write(&assignment, &order, deadline).await;
        self.0.metrics.writes.with_label_values(&[&outcome.status.to_string()]).inc();
        Ok(outcome)
    }

    async fn versions(
        self,
        context: Context,
        revision: Revision,
        service: Service,
    ) -> Result<Vec<(Shard, Vec<Version>)>, Refusal> {
        let assignment = self.0.assignment_at(revision, reply_deadline(&context)).await?;
        let document = &assignment.current.document;
        let row = document.services.get(service).ok_or(Refusal::NotHome)?;
        let homed = row.shards.iter().filter(|shard| assignment.is_home_of(&[**shard]));
        Ok(homed.map(|shard| (*shard, assignment.versions(*shard))).collect())
    }
}

impl Server {
    async fn search_shards(&self, sub_query: &SubQueryContext, shards: &[Shard]) -> Reply {
        let results = self.0.run_shards(sub_query, shards).await;
        let mut reply = Reply {
            partials: Vec::with_capacity(shards.len()),
            missing: Vec::new(),
            attempts: 0,
            versions: shards
                .iter()
                .map(|shard| (*shard, sub_query.assignment.versions(*shard)))
                .collect(),
        };
        for (shard, result) in shards.iter().zip(results) {
            reply.attempts += result.attempts;
            let outcome = match result.result {
                Ok(partial) => {
                    reply.partials.push(partial);
                    "answered".to_owned()
                }
                Err(reason) => {
                    reply.missing.push((*shard, reason));
                    reason.to_string()
                }
            };
            self.0.metrics.shards.with_label_values(&[&outcome]).inc();
        }
        reply
    }

    /// Sends a write to one replica: the first that is healthy and not leaving, or else the first
    /// that is not leaving.
    async fn run_write(
        &self,
        assignment: &Assignment,
        order: &WriteOrder,
        deadline: Deadline,
    ) -> Outcome {
        let replicas = &assignment.current.document.shards[order.shard].replicas;
        let Some(client) = select_write_replica(assignment, replicas) else {
            return Outcome::not_run(format!("every replica is leaving ({})", Reason::Leaving));
        };
        let request_context = RequestContext {
            id: Name::from(order.key.to_string()),
            deadline,
            cancel: CancellationToken::new(),
        };
        let write = Write { record: Name::clone(&order.record), body: Name::clone(&order.body) };
        let node = &self.0.node;
        let key = order.key.to_string();
        match client.write(&request_context, &key, &write, || node.is_awake()).await {
            WriteResult::Done(receipt) => Outcome::done(receipt),
            WriteResult::NotRun(reason) => Outcome::not_run(reason),
            WriteResult::Unknown(reason) => Outcome::unknown(reason),
        }
    }
}

fn select_write_replica<'a>(
    assignment: &'a Assignment,
    replicas: &[Searcher],
) -> Option<&'a Arc<Client>> {
    let now = Instant::now();
    let candidates: Vec<_> = replicas
        .iter()
        .filter_map(|searcher| assignment.clients.client(*searcher))
        .filter(|client| !client.health().is_leaving())
        .collect();
    let healthy = candidates.iter().find(|client| !client.health().is_ejected_for_writes(now));
    healthy.or(candidates.first()).copied()
}

fn reply_deadline(context: &Context) -> Deadline {
    let now = Instant::now();
    Deadline::after(now, context.deadline.saturating_duration_since(now)).with_margin(REPLY_MARGIN)
}
