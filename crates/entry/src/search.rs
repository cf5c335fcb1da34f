//! Running a query: plan, ask the cells, merge, and plan again once if it helps.
//!
//! A reply under another revision or version is never merged. Where a daemon is ahead,
//! the entry catches up and plans again; where the pinned version is gone everywhere,
//! it plans again at another version, once. Otherwise the answer is partial and says
//! so (docs/design/0003-snapshot-and-coverage.md).

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

use crate::mute::Mutes;
use crate::plan::Plan;

/// How many times a query is planned at the most.
const MOST_PLANS: usize = 3;

/// How long to look for the versions of a service that was never asked.
const LOOK: Duration = Duration::from_millis(250);

/// Entry-level second requests that may be made before any work has earned them, and
/// the part of the work that they may add.
const SECOND_RESERVE: f64 = 8.0;
const SECOND_FRACTION: f64 = 0.02;

/// A caller's query on one service.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) id: Name,
    pub(crate) service: Service,
    pub(crate) shape: Shape,
    pub(crate) deadline: Deadline,
}

/// What a query on one service found.
#[derive(Debug)]
pub(crate) struct Found {
    pub(crate) plan: Plan,
    pub(crate) hits: Vec<Hit>,
    pub(crate) coverage: Coverage,
    pub(crate) attempts: u32,
}

/// Why a cell gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silent {
    /// A gather has a higher revision in force.
    Ahead(u64),
    /// No home could be reached or took the request.
    Homeless,
    /// No reply came in time.
    Late,
}

/// What an entry needs for running queries.
#[derive(Debug)]
pub(crate) struct Runner {
    node: Arc<Node>,
    channels: Channels<GatherClient>,
    catalog: Mutex<(u64, Catalog)>,
    mutes: Mutex<Mutes>,
    seconds: Mutex<Budget>,
}

impl Runner {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self {
            channels: Channels::new(node.settings().instance.address),
            node,
            catalog: Mutex::default(),
            mutes: Mutex::default(),
            seconds: Mutex::new(Budget::new(SECOND_FRACTION, SECOND_RESERVE)),
        }
    }

    /// Returns the channels to gathers, which writes use as well.
    pub(crate) fn channels(&self) -> &Channels<GatherClient> {
        &self.channels
    }

    /// Runs a query to its end, which is before its deadline.
    ///
    /// Returns nothing where no version of the service is known: nothing can be asked.
    pub(crate) async fn run(&self, query: &Query, current: Arc<ActiveDocument>) -> Option<Found> {
        let mut current = current;
        let mut service = query.service;
        let mut attempts = 0;
        let mut tried = Vec::new();
        let mut best: Option<(Plan, Outcome)> = None;
        for _ in 0..MOST_PLANS {
            let Some(version) = self.version(query, service, &current).await else {
                break;
            };
            if tried.contains(&(current.document.revision, version)) {
                break;
            }
            tried.push((current.document.revision, version));
            let plan = Plan::new(Arc::clone(&current), service, query.shape.clone(), version);
            let mut merge = plan.merge();
            let (sent, ahead) = self.ask(query, &plan, &mut merge).await;
            attempts += sent;
            let outcome = merge.finish(&plan.shape);
            let again = worth_planning_again(&outcome);
            let better =
                |(_, best): &(Plan, Outcome)| outcome.coverage.answered > best.coverage.answered;
            if best.as_ref().is_none_or(better) {
                best = Some((plan, outcome));
            }
            let left = query.deadline.left(Instant::now());
            if (ahead.is_none() && !again) || left.is_zero() {
                break;
            }
            if let Some(revision) = ahead {
                self.node.catch_up_to(revision, left / 2).await;
            }
            // The document may have changed: find the service in the new one by name.
            let Some((fresh, found)) = self.relocate(&current, service) else {
                break;
            };
            (current, service) = (fresh, found);
        }
        let (plan, Outcome { hits, coverage }) = best?;
        Some(Found { plan, hits, coverage, attempts })
    }

    /// Finds a service of one document in the document that is in force now.
    fn relocate(
        &self,
        before: &ActiveDocument,
        service: Service,
    ) -> Option<(Arc<ActiveDocument>, Service)> {
        let row = &before.document.services[service];
        let workspace = &before.document.workspaces[row.workspace].name;
        let current = self.node.active_document()?;
        let found = current.document.service(workspace, &row.name)?;
        Some((current, found))
    }

    /// Returns the version to pin, asking the gathers where none is known yet.
    async fn version(
        &self,
        query: &Query,
        service: Service,
        current: &ActiveDocument,
    ) -> Option<Version> {
        let shards = query.shape.shards(&current.document.services[service]);
        if let Some(version) = self.known(current, &shards) {
            return Some(version);
        }
        let look = Deadline::after(Instant::now(), LOOK).earlier(query.deadline);
        while !look.passed(Instant::now()) {
            self.look(current, service, look).await;
            if let Some(version) = self.known(current, &shards) {
                return Some(version);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }

    fn known(&self, current: &ActiveDocument, shards: &[Shard]) -> Option<Version> {
        let mut catalog = lock(&self.catalog);
        if catalog.0 != current.document.hash {
            *catalog = (current.document.hash, Catalog::default());
        }
        catalog.1.best_version(shards)
    }

    fn learn(&self, current: &ActiveDocument, versions: Vec<(Shard, Vec<Version>)>) {
        let mut catalog = lock(&self.catalog);
        if catalog.0 == current.document.hash {
            for (shard, held) in versions.into_iter().filter(|(_, held)| !held.is_empty()) {
                catalog.1.set_versions(shard, held);
            }
        }
    }

    /// Asks a home of each of the service's cells for the versions that it can serve.
    async fn look(&self, current: &ActiveDocument, service: Service, deadline: Deadline) {
        let document = &current.document;
        let homes = self.node.homes();
        let mut cells: Vec<Cell> = document.services[service]
            .shards
            .iter()
            .map(|shard| document.layout.cell(*shard))
            .collect();
        cells.dedup();
        let asks = cells.into_iter().map(|cell| {
            let order = homes.order(cell, service);
            async move {
                for home in order.into_iter().filter(|home| self.node.takes_work(*home)) {
                    let Ok(client) = self.channels.get(self.address(home)).await else {
                        continue;
                    };
                    let context = context(deadline);
                    let versions = client.versions(context, document.revision, service).await;
                    if let Ok(Ok(versions)) = versions {
                        self.learn(current, versions);
                        return;
                    }
                }
            }
        });
        futures::future::join_all(asks).await;
    }

    /// Asks every cell and merges; returns the sub-queries sent and a higher revision.
    async fn ask(&self, query: &Query, plan: &Plan, merge: &mut Merge) -> (u32, Option<u64>) {
        let mut cells: FuturesUnordered<_> = plan
            .cells
            .iter()
            .map(|(cell, shards)| async move {
                (shards, self.ask_cell(query, plan, *cell, shards).await)
            })
            .collect();
        let mut attempts = 0;
        let mut ahead = None;
        while let Some((shards, reply)) = cells.next().await {
            match reply {
                Ok(reply) => {
                    attempts += reply.attempts;
                    self.learn(&plan.current, reply.versions);
                    for (shard, reason) in reply.missing {
                        merge.mark_missing(shard, reason);
                    }
                    for partial in reply.partials {
                        let shard = partial.shard;
                        if let Err(rejection) = merge.offer(partial) {
                            log::warn!(
                                "query: {} got a wrong answer of {shard}: {rejection:?}.",
                                query.id
                            );
                        }
                    }
                }
                Err(silent) => {
                    let reason = match silent {
                        Silent::Late => Reason::Deadline,
                        Silent::Homeless | Silent::Ahead(_) => Reason::Unreachable,
                    };
                    for shard in shards {
                        merge.mark_missing(*shard, reason);
                    }
                    if let Silent::Ahead(revision) = silent {
                        ahead = ahead.max(Some(revision));
                    }
                }
            }
        }
        (attempts, ahead)
    }

    /// Asks the homes of a cell: the first in order, then others as it proves needed.
    async fn ask_cell(
        &self,
        query: &Query,
        plan: &Plan,
        cell: Cell,
        shards: &[Shard],
    ) -> Result<Reply, Silent> {
        let mut homes = self.candidates(cell, plan.service).into_iter();
        let failover = self.node.settings().entry.failover;
        let mut running = FuturesUnordered::new();
        let mut silent = Silent::Homeless;
        match homes.next() {
            Some(home) => running.push(self.ask_home(query, plan, home, shards)),
            None => return Err(silent),
        }
        lock(&self.seconds).earn();
        let half = query.deadline.left(Instant::now()) / 2;
        let second_at = Instant::now() + half.max(failover);
        let mut waiting = true;
        loop {
            tokio::select! {
                biased;
                Some(reply) = running.next() => match reply {
                    Ok(reply) => return Ok(reply),
                    Err(Silent::Ahead(revision)) => return Err(Silent::Ahead(revision)),
                    Err(Silent::Late) => return Err(Silent::Late),
                    Err(Silent::Homeless) => match homes.next() {
                        Some(home) => running.push(self.ask_home(query, plan, home, shards)),
                        None if running.is_empty() => return Err(silent),
                        None => {}
                    },
                },
                () = tokio::time::sleep_until(second_at.into()), if waiting => {
                    waiting = false;
                    silent = Silent::Late;
                    if lock(&self.seconds).spend() && let Some(home) = homes.next() {
                        running.push(self.ask_home(query, plan, home, shards));
                    }
                }
            }
        }
    }

    /// The homes of a cell to ask, in order; mute ones go last unless a trial is due.
    pub(crate) fn candidates(&self, cell: Cell, service: Service) -> Vec<Endpoint> {
        let order = self.node.homes().order(cell, service);
        let now = Instant::now();
        let limit = self.node.settings().entry.failover * 2;
        let mut mutes = lock(&self.mutes);
        let (mut speaking, mut mute) = (Vec::new(), Vec::new());
        for home in order.into_iter().filter(|home| self.node.takes_work(*home)) {
            let address = self.address(home);
            if mutes.is_mute(address, now, limit) && !mutes.try_again(address, now) {
                mute.push(home);
            } else {
                speaking.push(home);
            }
        }
        speaking.extend(mute);
        speaking
    }

    async fn ask_home(
        &self,
        query: &Query,
        plan: &Plan,
        home: Endpoint,
        shards: &[Shard],
    ) -> Result<Reply, Silent> {
        let address = self.address(home);
        let client = self.channels.get(address).await.map_err(|fault| {
            log::debug!("query: {} can't reach {home}: {fault}.", query.id);
            Silent::Homeless
        })?;
        let sub_query = SubQuery {
            id: Name::clone(&query.id),
            service: plan.service,
            pin: plan.pin,
            shards: shards.to_vec(),
            shape: plan.shape.clone(),
        };
        lock(&self.mutes).sent(address, Instant::now());
        let reply = client.search(context(query.deadline), sub_query).await;
        match reply {
            Ok(reply) => {
                lock(&self.mutes).answered(address);
                reply.map_err(|refusal| match refusal {
                    Refusal::Revision(theirs) if theirs > plan.pin.revision => {
                        Silent::Ahead(theirs)
                    }
                    Refusal::Revision(_) | Refusal::NotHome | Refusal::Asleep => Silent::Homeless,
                })
            }
            Err(tarpc::client::RpcError::DeadlineExceeded) => Err(Silent::Late),
            Err(error) => {
                log::debug!("query: {} lost {home}: {error}.", query.id);
                self.channels.forget(address).await;
                Err(Silent::Homeless)
            }
        }
    }

    /// Returns where a gather takes requests.
    pub(crate) fn address(&self, home: Endpoint) -> SocketAddr {
        debug_assert_eq!(home.role, Role::Gather, "homes are gathers");
        SocketAddr::from((home.ip, self.node.settings().ports.gather_peers))
    }
}

/// Tells whether another version may cover what this one could not.
fn worth_planning_again(outcome: &Outcome) -> bool {
    let moved = |reason| matches!(reason, Reason::VersionGone | Reason::WrongSnapshot);
    outcome.coverage.missing.iter().any(|missing| moved(missing.reason))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
