//! Querying one shard: a hedged request to its replicas.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bergamot_base::{Budget, Deadline, Name, Searcher, Shard};
use bergamot_quarantine::{Fingerprint, Permit, SharedGate, TrialOutcome};
use bergamot_query::{Partial, Pin, Reason, Shape};
use bergamot_upstream::protocol::{Search, SearchReply};
use bergamot_upstream::{
    Candidate, Client, HedgedRequest, NextAction, RequestContext, SearcherError, rank,
};
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::assignment::Assignment;
use crate::service::Inner;
use crate::service_state::{ServiceState, lock};

/// While no latency estimate exists, the first hedge is sent after the remaining time divided by
/// this number.
const INITIAL_HEDGE_DIVISOR: u32 = 3;

/// Maximum number of hedges for one shard.
const MAX_HEDGES: u32 = 2;

/// State shared by all shards of one sub-query.
pub(crate) struct SubQueryContext {
    pub(crate) id: Name,
    pub(crate) pin: Pin,
    pub(crate) shape: Shape,
    /// Identifies the content of the query, the same for all callers.
    pub(crate) fingerprint: Fingerprint,
    /// Decides about further attempts once the query has crashed a searcher.
    pub(crate) gate: SharedGate,
    pub(crate) deadline: Deadline,
    pub(crate) assignment: Arc<Assignment>,
    pub(crate) service_state: Arc<Mutex<ServiceState>>,
}

/// The result of querying one shard.
pub(crate) struct ShardResult {
    pub(crate) result: Result<Partial, Reason>,
    pub(crate) attempts: u32,
}

/// The attempt number, the searcher, the result and the time that the attempt took.
type AttemptResult = (u32, Searcher, Result<SearchReply, SearcherError>, Duration);

type Attempt<'a> = BoxFuture<'a, AttemptResult>;

/// The running attempts to query one shard.
struct Attempts<'a> {
    inner: &'a Inner,
    context: &'a SubQueryContext,
    shard: Shard,
    running: FuturesUnordered<Attempt<'a>>,
    /// The number of the latest attempt at each searcher, and the guard that cancels it.
    latest: HashMap<Searcher, (u32, DropGuard)>,
    count: u32,
    /// Whether only one attempt is allowed, because this shard is queried as a trial.
    single_attempt: bool,
    /// Whether the running attempt is the trial that [`SubQueryContext::gate`] has granted.
    trial: bool,
}

/// Queries one shard and returns its result.
///
/// With `single_attempt`, only one searcher is queried, without retries or hedges. Attempts that
/// are still running on return are cancelled, because their guards are dropped.
pub(crate) async fn run_shard(
    inner: &Inner,
    context: &SubQueryContext,
    shard: Shard,
    single_attempt: bool,
) -> ShardResult {
    if is_version_gone(context, shard) {
        return ShardResult { result: Err(Reason::VersionGone), attempts: 0 };
    }
    let mut request = HedgedRequest::new(replica_order(inner, context, shard));
    let running = FuturesUnordered::new();
    let latest = HashMap::new();
    let mut attempts =
        Attempts { inner, context, shard, running, latest, count: 0, single_attempt, trial: false };
    let result = drive_request(&mut request, &mut attempts).await;
    attempts.finish_trial(if result.is_ok() {
        TrialOutcome::Answered
    } else {
        TrialOutcome::Inconclusive
    });
    inner.metrics.attempts.inc_by(u64::from(attempts.count));
    ShardResult { result, attempts: attempts.count }
}

async fn drive_request(
    request: &mut HedgedRequest,
    attempts: &mut Attempts<'_>,
) -> Result<Partial, Reason> {
    let context = attempts.context;
    let settings = attempts.inner.node.settings();
    match request.start() {
        NextAction::Send(first) => attempts.send(first),
        NextAction::GiveUp(reason) => return Err(reason),
        NextAction::Wait => {}
    }
    {
        let mut service_state = lock(&context.service_state);
        service_state.hedge_budget.earn();
        service_state.retry_budget.earn();
    }
    let delay = hedge_delay(context, settings.gather.hedge_floor);
    let mut hedge_at = Instant::now() + delay;
    let mut hedges_left =
        if settings.gather.hedge && !attempts.single_attempt { MAX_HEDGES } else { 0 };
    loop {
        tokio::select! {
            biased;
            Some((attempt, searcher, result, took)) = attempts.running.next() => {
                if !attempts.is_current(attempt, searcher) {
                    continue;
                }
                let result = result.map(|reply| validate_reply(context, attempts.shard, reply));
                let reason = match result {
                    Ok(Ok(partial)) => {
                        request.succeed(searcher);
                        lock(&context.service_state).latency.record(took);
                        return Ok(partial);
                    }
                    Ok(Err(reason)) => reason,
                    Err(fault) => {
                        let id = &context.id;
                        log::debug!("upstream: Attempt of sub-query {id} failed: {fault}.");
                        attempts.check_for_crash(searcher, &fault).await;
                        fault.reason
                    }
                };
                let is_last_running = request.running() == [searcher];
                if is_last_running && !attempts.wait_for_permit().await {
                    return Err(reason);
                }
                match retry(request, attempts, searcher, reason) {
                    NextAction::Send(next_searcher) => attempts.send(next_searcher),
                    NextAction::Wait => {}
                    NextAction::GiveUp(reason) => return Err(reason),
                }
            }
            () = tokio::time::sleep_until(hedge_at.into()), if hedges_left > 0 => {
                hedges_left -= 1;
                hedge_at = Instant::now() + delay;
                if !context.gate.is_unrestricted() {
                    continue;
                }
                let next_searcher = request.hedge(&mut lock(&context.service_state).hedge_budget);
                if let Some(next_searcher) = next_searcher {
                    attempts.send(next_searcher);
                }
            }
            () = tokio::time::sleep_until(context.deadline.instant().into()) => {
                return Err(Reason::Deadline);
            }
        }
    }
}

fn retry(
    request: &mut HedgedRequest,
    attempts: &Attempts<'_>,
    searcher: Searcher,
    reason: Reason,
) -> NextAction {
    let mut service_state = lock(&attempts.context.service_state);
    if attempts.inner.node.settings().gather.retry {
        return request.fail(searcher, reason, &mut service_state.retry_budget);
    }
    request.fail(searcher, reason, &mut Budget::new(0.0, 0.0))
}

impl Attempts<'_> {
    /// Returns whether an attempt is the latest one at its searcher.
    fn is_current(&self, attempt: u32, searcher: Searcher) -> bool {
        self.latest.get(&searcher).is_some_and(|(latest, _)| *latest == attempt)
    }

    /// Checks whether a failed attempt has crashed its searcher, and records the result.
    async fn check_for_crash(&mut self, searcher: Searcher, fault: &SearcherError) {
        let mut crashed = false;
        if fault.connection_lost
            && let Some(client) = self.context.assignment.clients.client(searcher)
        {
            let trial = self.single_attempt || self.trial;
            crashed = self.inner.check_for_crash(self.context, self.shard, client, trial).await;
        }
        if crashed {
            self.context.gate.record_crash();
        }
        self.finish_trial(if crashed { TrialOutcome::Crashed } else { TrialOutcome::Inconclusive });
    }

    /// Waits until the gate permits or denies another attempt, and returns whether it is permitted.
    async fn wait_for_permit(&mut self) -> bool {
        if self.single_attempt {
            return false;
        }
        match self.context.gate.acquire(self.context.deadline.instant()).await {
            Permit::Unrestricted => true,
            Permit::Trial => {
                self.trial = true;
                true
            }
            Permit::Denied | Permit::Wait => false,
        }
    }

    /// Reports the outcome of the trial to the gate if this shard was granted one.
    fn finish_trial(&mut self, outcome: TrialOutcome) {
        if std::mem::take(&mut self.trial) {
            self.context.gate.finish_trial(outcome);
        }
    }

    fn send(&mut self, searcher: Searcher) {
        let context = self.context;
        let Some(client) = context.assignment.clients.client(searcher).map(Arc::clone) else {
            return;
        };
        self.count += 1;
        let attempt = self.count;
        let document = &context.assignment.current.document;
        let position = document.shards[self.shard].position;
        let cancel = CancellationToken::new();
        // This cancels an earlier attempt at the same searcher by dropping its guard.
        self.latest.insert(searcher, (attempt, cancel.clone().drop_guard()));
        let request_context = RequestContext {
            id: Name::from(format!("{}.{position}.{}", context.id, self.count)),
            deadline: context.deadline,
            cancel,
        };
        let search = Search {
            shard: position,
            epoch: context.pin.epoch,
            version: context.pin.version,
            query: context.shape.clone(),
        };
        let node = Arc::clone(&self.inner.node);
        self.running.push(Box::pin(async move {
            let started = Instant::now();
            let result = client.search(&request_context, &search, || node.is_awake()).await;
            (attempt, searcher, result, started.elapsed())
        }));
    }
}

/// Checks that a reply is for the requested shard and snapshot.
fn validate_reply(
    context: &SubQueryContext,
    shard: Shard,
    reply: SearchReply,
) -> Result<Partial, Reason> {
    let position = context.assignment.current.document.shards[shard].position;
    if reply.shard != position {
        return Err(Reason::BadReply);
    }
    let pin = Pin { epoch: reply.epoch, version: reply.version, ..context.pin };
    if pin != context.pin {
        return Err(Reason::WrongSnapshot);
    }
    Ok(Partial { shard, pin, documents: reply.documents, hits: reply.hits })
}

/// Returns whether every replica that is not leaving is known to lack the pinned version.
///
/// Querying them would cost one sub-query each, only to learn what their last responses have
/// already reported. The reply to the entry lists the versions that they do hold, so that the
/// entry can plan the query again immediately.
fn is_version_gone(context: &SubQueryContext, shard: Shard) -> bool {
    let mut available = 0;
    for client in context.assignment.replica_clients(shard) {
        let health = client.health();
        if health.is_leaving() {
            continue;
        }
        if health.versions().is_empty() || health.versions().contains(&context.pin.version) {
            return false;
        }
        available += 1;
    }
    available > 0
}

impl Drop for Attempts<'_> {
    fn drop(&mut self) {
        self.finish_trial(TrialOutcome::Inconclusive);
    }
}

/// Returns the replicas in the order in which they are tried.
fn replica_order(inner: &Inner, context: &SubQueryContext, shard: Shard) -> Vec<Searcher> {
    let replicas = &context.assignment.current.document.shards[shard].replicas;
    let clients: Vec<(Searcher, &Arc<Client>)> = replicas
        .iter()
        .filter_map(|searcher| Some((*searcher, context.assignment.clients.client(*searcher)?)))
        .collect();
    let health_snapshots: Vec<_> =
        clients.iter().map(|(_, client)| client.health().clone()).collect();
    let candidates: Vec<_> = clients
        .iter()
        .zip(&health_snapshots)
        .map(|((searcher, client), health)| {
            let slots = client.slots();
            Candidate { searcher: *searcher, health, load: slots.load(), slots: slots.capacity() }
        })
        .collect();
    if inner.node.settings().gather.pick {
        return rank(Instant::now(), Some(context.pin.version), &candidates);
    }
    let available = candidates.iter().filter(|candidate| !candidate.health.is_leaving());
    available.map(|candidate| candidate.searcher).collect()
}

fn hedge_delay(context: &SubQueryContext, floor: Duration) -> Duration {
    let left = context.deadline.remaining(Instant::now());
    lock(&context.service_state)
        .latency
        .estimate()
        .map_or(left / INITIAL_HEDGE_DIVISOR, |slow| slow.max(floor))
}
