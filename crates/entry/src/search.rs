//! Query execution: plan, query the cells, merge the replies, and plan again if that may
//! improve the coverage.
//!
//! A reply for another revision or version is never merged. If a gather has a newer
//! revision, the entry catches up and plans again. If the pinned version is gone, it plans
//! again with another version. Otherwise the answer is partial and its coverage says so
//! (docs/design/0003-snapshot-and-coverage.md).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::{Budget, Cell, Deadline, Name, Service, Shard, Version};
use bergamot_members::{Endpoint, Role};
use bergamot_node::{ActiveDocument, Node};
use bergamot_query::{Catalog, Coverage, Hit, Merge, Outcome, Reason, Shape};
use bergamot_wire::{Channels, GatherClient, Refusal, Reply, SubQuery, context};
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::plan::Plan;
use crate::response_tracker::ResponseTracker;

/// Maximum number of times that a query is planned.
const MAX_PLANS: usize = 3;

/// How long to ask the gathers for the versions of a service if none is known.
const VERSION_LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Initial and maximum number of tokens in the budget for requests to a second home of a cell, and
/// the number of such requests allowed as a fraction of the cell queries.
const SECOND_REQUEST_RESERVE: f64 = 8.0;
const SECOND_REQUEST_FRACTION: f64 = 0.02;

/// A caller's query on one service.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) id: Name,
    pub(crate) service: Service,
    pub(crate) shape: Shape,
    pub(crate) deadline: Deadline,
}

/// The result of a query on one service, and the plan that produced it.
#[derive(Debug)]
pub(crate) struct QueryResult {
    pub(crate) plan: Plan,
    pub(crate) hits: Vec<Hit>,
    pub(crate) coverage: Coverage,
    pub(crate) attempts: u32,
}

/// Why a cell query failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CellError {
    /// A gather has a newer revision in force.
    NewerRevision(u64),
    /// No home could be reached or accepted the request.
    NoHome,
    /// No reply arrived in time.
    TimedOut,
}

/// Executes the queries of one entry.
#[derive(Debug)]
pub(crate) struct QueryExecutor {
    node: Arc<Node>,
    channels: Channels<GatherClient>,
    /// The known index versions, and the hash of the document that numbers the shards.
    catalog: Mutex<(u64, Catalog)>,
    response_tracker: Mutex<ResponseTracker>,
    second_request_budget: Mutex<Budget>,
}

impl QueryExecutor {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self {
            channels: Channels::new(node.settings().instance.address),
            node,
            catalog: Mutex::default(),
            response_tracker: Mutex::default(),
            second_request_budget: Mutex::new(Budget::new(
                SECOND_REQUEST_FRACTION,
                SECOND_REQUEST_RESERVE,
            )),
        }
    }

    /// Returns the channels to gathers, which writes use too.
    pub(crate) fn channels(&self) -> &Channels<GatherClient> {
        &self.channels
    }

    /// Executes a query and returns its best result before the deadline.
    ///
    /// Returns `None` if no version of the service is known, so that nothing can be queried.
    pub(crate) async fn run(
        &self,
        query: &Query,
        current: Arc<ActiveDocument>,
    ) -> Option<QueryResult> {
        let mut current = current;
        let mut service = query.service;
        let mut attempts = 0;
        let mut planned = Vec::new();
        let mut best: Option<(Plan, Outcome)> = None;
        for _ in 0..MAX_PLANS {
            let Some(version) = self.version(query, service, &current).await else {
                break;
            };
            if planned.contains(&(current.document.revision, version)) {
                break;
            }
            planned.push((current.document.revision, version));
            let plan = Plan::new(Arc::clone(&current), service, query.shape.clone(), version);
            let mut merge = plan.merge();
            let (sent, newer_revision) = self.query_cells(query, &plan, &mut merge).await;
            attempts += sent;
            let outcome = merge.finish(&plan.shape);
            let replan = should_replan(&outcome);
            let is_better =
                |(_, best): &(Plan, Outcome)| outcome.coverage.answered > best.coverage.answered;
            if best.as_ref().is_none_or(is_better) {
                best = Some((plan, outcome));
            }
            let left = query.deadline.left(Instant::now());
            if (newer_revision.is_none() && !replan) || left.is_zero() {
                break;
            }
            if let Some(revision) = newer_revision {
                self.node.catch_up_to(revision, left / 2).await;
            }
            // The document may have changed and renumbered the services.
            let Some((newer, found)) = self.find_in_current_document(&current, service) else {
                break;
            };
            (current, service) = (newer, found);
        }
        let (plan, Outcome { hits, coverage }) = best?;
        Some(QueryResult { plan, hits, coverage, attempts })
    }

    /// Finds a service of an earlier document by name in the document that is now in force.
    fn find_in_current_document(
        &self,
        previous: &ActiveDocument,
        service: Service,
    ) -> Option<(Arc<ActiveDocument>, Service)> {
        let row = &previous.document.services[service];
        let workspace = &previous.document.workspaces[row.workspace].name;
        let current = self.node.active_document()?;
        let found = current.document.service(workspace, &row.name)?;
        Some((current, found))
    }

    /// Returns the version to pin; asks the gathers if none is known yet.
    async fn version(
        &self,
        query: &Query,
        service: Service,
        current: &ActiveDocument,
    ) -> Option<Version> {
        let shards = query.shape.shards(&current.document.services[service]);
        if let Some(version) = self.known_version(current, &shards) {
            return Some(version);
        }
        let lookup_deadline =
            Deadline::after(Instant::now(), VERSION_LOOKUP_TIMEOUT).earlier(query.deadline);
        while !lookup_deadline.passed(Instant::now()) {
            self.fetch_versions(current, service, lookup_deadline).await;
            if let Some(version) = self.known_version(current, &shards) {
                return Some(version);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }

    fn known_version(&self, current: &ActiveDocument, shards: &[Shard]) -> Option<Version> {
        let mut catalog = lock(&self.catalog);
        if catalog.0 != current.document.hash {
            *catalog = (current.document.hash, Catalog::default());
        }
        catalog.1.best_version(shards)
    }

    fn record_versions(&self, current: &ActiveDocument, versions: Vec<(Shard, Vec<Version>)>) {
        let mut catalog = lock(&self.catalog);
        if catalog.0 == current.document.hash {
            for (shard, shard_versions) in
                versions.into_iter().filter(|(_, shard_versions)| !shard_versions.is_empty())
            {
                catalog.1.set_versions(shard, shard_versions);
            }
        }
    }

    /// Asks one home of each of the service's cells for the versions that its shards can serve.
    async fn fetch_versions(&self, current: &ActiveDocument, service: Service, deadline: Deadline) {
        let document = &current.document;
        let homes = self.node.homes();
        let mut cells: Vec<Cell> = document.services[service]
            .shards
            .iter()
            .map(|shard| document.layout.cell(*shard))
            .collect();
        cells.dedup();
        let requests = cells.into_iter().map(|cell| {
            let order = homes.order(cell, service);
            async move {
                for home in order.into_iter().filter(|home| self.node.takes_work(*home)) {
                    let Ok(client) = self.channels.get(self.address(home)).await else {
                        continue;
                    };
                    let context = context(deadline);
                    let versions = client.versions(context, document.revision, service).await;
                    if let Ok(Ok(versions)) = versions {
                        self.record_versions(current, versions);
                        return;
                    }
                }
            }
        });
        futures::future::join_all(requests).await;
    }

    /// Queries every cell and merges the replies. Returns the number of sub-queries sent and the
    /// highest newer revision that a gather reported.
    async fn query_cells(
        &self,
        query: &Query,
        plan: &Plan,
        merge: &mut Merge,
    ) -> (u32, Option<u64>) {
        let mut cells: FuturesUnordered<_> = plan
            .cells
            .iter()
            .map(|(cell, shards)| async move {
                (shards, self.query_cell(query, plan, *cell, shards).await)
            })
            .collect();
        let mut attempts = 0;
        let mut newer_revision = None;
        while let Some((shards, reply)) = cells.next().await {
            match reply {
                Ok(reply) => {
                    attempts += reply.attempts;
                    self.record_versions(&plan.current, reply.versions);
                    for (shard, reason) in reply.missing {
                        merge.mark_missing(shard, reason);
                    }
                    for partial in reply.partials {
                        let shard = partial.shard;
                        if let Err(rejection) = merge.offer(partial) {
                            log::warn!(
                                "query: The result of {shard} for {} was rejected: {rejection:?}.",
                                query.id
                            );
                        }
                    }
                }
                Err(error) => {
                    let reason = match error {
                        CellError::TimedOut => Reason::Deadline,
                        CellError::NoHome | CellError::NewerRevision(_) => Reason::Unreachable,
                    };
                    for shard in shards {
                        merge.mark_missing(*shard, reason);
                    }
                    if let CellError::NewerRevision(revision) = error {
                        newer_revision = newer_revision.max(Some(revision));
                    }
                }
            }
        }
        (attempts, newer_revision)
    }

    /// Queries a cell through its homes: the first in order, the next if a home fails, and a second
    /// one if no reply has arrived after a while.
    async fn query_cell(
        &self,
        query: &Query,
        plan: &Plan,
        cell: Cell,
        shards: &[Shard],
    ) -> Result<Reply, CellError> {
        let mut homes = self.candidates(cell, plan.service).into_iter();
        let failover = self.node.settings().entry.failover;
        let mut running = FuturesUnordered::new();
        let mut error = CellError::NoHome;
        match homes.next() {
            Some(home) => running.push(self.query_home(query, plan, home, shards)),
            None => return Err(error),
        }
        lock(&self.second_request_budget).earn();
        let half = query.deadline.left(Instant::now()) / 2;
        let second_at = Instant::now() + half.max(failover);
        let mut second_pending = true;
        loop {
            tokio::select! {
                biased;
                Some(reply) = running.next() => match reply {
                    Ok(reply) => return Ok(reply),
                    Err(CellError::NewerRevision(revision)) => {
                        return Err(CellError::NewerRevision(revision));
                    }
                    Err(CellError::TimedOut) => return Err(CellError::TimedOut),
                    Err(CellError::NoHome) => match homes.next() {
                        Some(home) => running.push(self.query_home(query, plan, home, shards)),
                        None if running.is_empty() => return Err(error),
                        None => {}
                    },
                },
                () = tokio::time::sleep_until(second_at.into()), if second_pending => {
                    second_pending = false;
                    error = CellError::TimedOut;
                    if lock(&self.second_request_budget).spend() && let Some(home) = homes.next() {
                        running.push(self.query_home(query, plan, home, shards));
                    }
                }
            }
        }
    }

    /// Returns the homes of a cell in the order in which to query them. Unresponsive ones are last
    /// unless a retry is due.
    pub(crate) fn candidates(&self, cell: Cell, service: Service) -> Vec<Endpoint> {
        let order = self.node.homes().order(cell, service);
        let now = Instant::now();
        let limit = self.node.settings().entry.failover * 2;
        let mut response_tracker = lock(&self.response_tracker);
        let (mut responsive, mut unresponsive) = (Vec::new(), Vec::new());
        for home in order.into_iter().filter(|home| self.node.takes_work(*home)) {
            let address = self.address(home);
            if response_tracker.is_unresponsive(address, now, limit)
                && !response_tracker.begin_retry(address, now)
            {
                unresponsive.push(home);
            } else {
                responsive.push(home);
            }
        }
        responsive.extend(unresponsive);
        responsive
    }

    async fn query_home(
        &self,
        query: &Query,
        plan: &Plan,
        home: Endpoint,
        shards: &[Shard],
    ) -> Result<Reply, CellError> {
        let address = self.address(home);
        let client = self.channels.get(address).await.map_err(|fault| {
            log::debug!("query: {} failed to connect to {home}: {fault}.", query.id);
            CellError::NoHome
        })?;
        let sub_query = SubQuery {
            id: Name::clone(&query.id),
            service: plan.service,
            pin: plan.pin,
            shards: shards.to_vec(),
            shape: plan.shape.clone(),
        };
        lock(&self.response_tracker).record_request(address, Instant::now());
        let reply = client.search(context(query.deadline), sub_query).await;
        match reply {
            Ok(reply) => {
                lock(&self.response_tracker).record_response(address);
                reply.map_err(|refusal| match refusal {
                    Refusal::Revision(revision) if revision > plan.pin.revision => {
                        CellError::NewerRevision(revision)
                    }
                    Refusal::Revision(_) | Refusal::NotHome | Refusal::Asleep => CellError::NoHome,
                })
            }
            Err(tarpc::client::RpcError::DeadlineExceeded) => Err(CellError::TimedOut),
            Err(error) => {
                log::debug!("query: The request of {} to {home} failed: {error}.", query.id);
                self.channels.forget(address).await;
                Err(CellError::NoHome)
            }
        }
    }

    /// Returns the address at which a gather accepts requests of entries.
    pub(crate) fn address(&self, home: Endpoint) -> SocketAddr {
        debug_assert_eq!(home.role, Role::Gather, "homes are gathers");
        SocketAddr::from((home.ip, self.node.settings().ports.gather_peers))
    }
}

/// Returns whether planning with another version may improve the coverage.
fn should_replan(outcome: &Outcome) -> bool {
    let version_missing = |reason| matches!(reason, Reason::VersionGone | Reason::WrongSnapshot);
    outcome.coverage.missing.iter().any(|missing| version_missing(missing.reason))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
