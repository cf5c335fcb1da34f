//! One shard of a query: a race between its replicas.

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

use crate::holding::Holding;
use crate::service::Inner;
use crate::tail::{Tail, lock};

/// The part of the time left after which a hedge is made while the pace is unknown.
const FIRST_HEDGE: u32 = 3;

/// How many hedges one shard may have.
const MOST_HEDGES: u32 = 2;

/// What all shards of one sub-query share.
pub(crate) struct Job {
    pub(crate) id: Name,
    pub(crate) pin: Pin,
    pub(crate) shape: Shape,
    /// What is asked for, whoever asks.
    pub(crate) fingerprint: Fingerprint,
    /// Where further attempts wait once a searcher has ended under the query.
    pub(crate) door: SharedGate,
    pub(crate) deadline: Deadline,
    pub(crate) holding: Arc<Holding>,
    pub(crate) tail: Arc<Mutex<Tail>>,
}

/// What became of a shard.
pub(crate) struct Ended {
    pub(crate) result: Result<Partial, Reason>,
    pub(crate) attempts: u32,
}

/// The end of an attempt: its number, the searcher, the result and the time it took.
type Finished = (u32, Searcher, Result<SearchReply, SearcherError>, Duration);

type Attempt<'a> = BoxFuture<'a, Finished>;

/// The attempts at one shard that are running.
struct Attempts<'a> {
    inner: &'a Inner,
    job: &'a Job,
    shard: Shard,
    running: FuturesUnordered<Attempt<'a>>,
    /// The number of the attempt that counts at each searcher, and what cancels it.
    latest: HashMap<Searcher, (u32, DropGuard)>,
    count: u32,
    /// Whether the query is with no other searcher.
    alone: bool,
    /// Whether the attempt under way shows for all shards whether the query does harm.
    trial: bool,
}

/// Runs one shard of a query to its end.
///
/// `alone` asks one searcher and no further one. Whatever ends it, the attempts still running are
/// cancelled: their guards drop.
pub(crate) async fn run(inner: &Inner, job: &Job, shard: Shard, alone: bool) -> Ended {
    if is_gone(job, shard) {
        return Ended { result: Err(Reason::VersionGone), attempts: 0 };
    }
    let mut race = HedgedRequest::new(order(inner, job, shard));
    let running = FuturesUnordered::new();
    let latest = HashMap::new();
    let mut attempts =
        Attempts { inner, job, shard, running, latest, count: 0, alone, trial: false };
    let result = drive(&mut race, &mut attempts).await;
    attempts.settle(if result.is_ok() {
        TrialOutcome::Answered
    } else {
        TrialOutcome::Inconclusive
    });
    inner.meter.attempts.inc_by(u64::from(attempts.count));
    Ended { result, attempts: attempts.count }
}

async fn drive(race: &mut HedgedRequest, attempts: &mut Attempts<'_>) -> Result<Partial, Reason> {
    let job = attempts.job;
    let settings = attempts.inner.node.settings();
    match race.start() {
        NextAction::Send(first) => attempts.send(first),
        NextAction::GiveUp(reason) => return Err(reason),
        NextAction::Wait => {}
    }
    {
        let mut tail = lock(&job.tail);
        tail.hedges.earn();
        tail.retries.earn();
    }
    let delay = hedge_delay(job, settings.gather.hedge_floor);
    let mut hedge_at = Instant::now() + delay;
    let mut hedges = if settings.gather.hedge && !attempts.alone { MOST_HEDGES } else { 0 };
    loop {
        tokio::select! {
            biased;
            Some((number, searcher, result, took)) = attempts.running.next() => {
                if !attempts.counts(number, searcher) {
                    continue;
                }
                let reason = match result.map(|found| accept(job, attempts.shard, found)) {
                    Ok(Ok(partial)) => {
                        race.succeed(searcher);
                        lock(&job.tail).pace.record(took);
                        return Ok(partial);
                    }
                    Ok(Err(reason)) => reason,
                    Err(fault) => {
                        log::debug!("upstream: Sub-query {} failed: {fault}.", job.id);
                        attempts.note_end(searcher, &fault).await;
                        fault.reason
                    }
                };
                let is_last = race.running() == [searcher];
                if is_last && !attempts.may_follow().await {
                    return Err(reason);
                }
                match retry(race, attempts, searcher, reason) {
                    NextAction::Send(next) => attempts.send(next),
                    NextAction::Wait => {}
                    NextAction::GiveUp(reason) => return Err(reason),
                }
            }
            () = tokio::time::sleep_until(hedge_at.into()), if hedges > 0 => {
                hedges -= 1;
                hedge_at = Instant::now() + delay;
                if !job.door.is_unrestricted() {
                    continue;
                }
                let next = race.hedge(&mut lock(&job.tail).hedges);
                if let Some(next) = next {
                    attempts.send(next);
                }
            }
            () = tokio::time::sleep_until(job.deadline.instant().into()) => {
                return Err(Reason::Deadline);
            }
        }
    }
}

fn retry(
    race: &mut HedgedRequest,
    attempts: &Attempts<'_>,
    searcher: Searcher,
    reason: Reason,
) -> NextAction {
    let mut tail = lock(&attempts.job.tail);
    if attempts.inner.node.settings().gather.retry {
        return race.fail(searcher, reason, &mut tail.retries);
    }
    race.fail(searcher, reason, &mut Budget::new(0.0, 0.0))
}

impl Attempts<'_> {
    /// Tells whether an attempt is the one that counts at its searcher.
    fn counts(&self, number: u32, searcher: Searcher) -> bool {
        self.latest.get(&searcher).is_some_and(|(latest, _)| *latest == number)
    }

    /// Finds out whether a failed attempt has ended its searcher.
    async fn note_end(&mut self, searcher: Searcher, fault: &SearcherError) {
        let mut ended = false;
        if fault.connection_lost
            && let Some(client) = self.job.holding.fleet.client(searcher)
        {
            let trial = self.alone || self.trial;
            ended = self.inner.inquire(self.job, self.shard, client, trial).await;
        }
        if ended {
            self.job.door.record_crash();
        }
        self.settle(if ended { TrialOutcome::Crashed } else { TrialOutcome::Inconclusive });
    }

    /// Waits, once a searcher has ended under the query, until another may be asked; tells whether
    /// it may.
    async fn may_follow(&mut self) -> bool {
        if self.alone {
            return false;
        }
        match self.job.door.acquire(self.job.deadline.instant()).await {
            Permit::Unrestricted => true,
            Permit::Trial => {
                self.trial = true;
                true
            }
            Permit::Denied | Permit::Wait => false,
        }
    }

    /// Tells the other shards how the trial ended, if it was made here.
    fn settle(&mut self, outcome: TrialOutcome) {
        if std::mem::take(&mut self.trial) {
            self.job.door.finish_trial(outcome);
        }
    }

    fn send(&mut self, searcher: Searcher) {
        let job = self.job;
        let Some(client) = job.holding.fleet.client(searcher).map(Arc::clone) else {
            return;
        };
        self.count += 1;
        let number = self.count;
        let document = &job.holding.current.document;
        let position = document.shards[self.shard].position;
        let cancel = CancellationToken::new();
        // An earlier attempt at the searcher is cancelled: its guard drops.
        self.latest.insert(searcher, (number, cancel.clone().drop_guard()));
        let call = RequestContext {
            id: Name::from(format!("{}.{position}.{}", job.id, self.count)),
            deadline: job.deadline,
            cancel,
        };
        let search = Search {
            shard: position,
            epoch: job.pin.epoch,
            version: job.pin.version,
            query: job.shape.clone(),
        };
        let node = Arc::clone(&self.inner.node);
        self.running.push(Box::pin(async move {
            let started = Instant::now();
            let result = client.search(&call, &search, || node.is_awake()).await;
            (number, searcher, result, started.elapsed())
        }));
    }
}

/// Checks that an answer is for the shard and the snapshot that were asked for.
fn accept(job: &Job, shard: Shard, found: SearchReply) -> Result<Partial, Reason> {
    let position = job.holding.current.document.shards[shard].position;
    if found.shard != position {
        return Err(Reason::BadReply);
    }
    let pin = Pin { epoch: found.epoch, version: found.version, ..job.pin };
    if pin != job.pin {
        return Err(Reason::WrongSnapshot);
    }
    Ok(Partial { shard, pin, documents: found.documents, hits: found.hits })
}

/// Tells whether every live replica is known to lack the pinned version.
///
/// Asking them all the same would cost a sub-query each to learn what their last answers
/// said. The reply carries what they do hold, so the entry plans again at once.
fn is_gone(job: &Job, shard: Shard) -> bool {
    let mut live = 0;
    for client in job.holding.clients(shard) {
        let health = client.health();
        if health.is_leaving() {
            continue;
        }
        if health.versions().is_empty() || health.versions().contains(&job.pin.version) {
            return false;
        }
        live += 1;
    }
    live > 0
}

impl Drop for Attempts<'_> {
    fn drop(&mut self) {
        self.settle(TrialOutcome::Inconclusive);
    }
}

/// The order in which the replicas are tried.
fn order(inner: &Inner, job: &Job, shard: Shard) -> Vec<Searcher> {
    let replicas = &job.holding.current.document.shards[shard].replicas;
    let clients: Vec<(Searcher, &Arc<Client>)> = replicas
        .iter()
        .filter_map(|searcher| Some((*searcher, job.holding.fleet.client(*searcher)?)))
        .collect();
    let healths: Vec<_> = clients.iter().map(|(_, client)| client.health().clone()).collect();
    let candidates: Vec<_> = clients
        .iter()
        .zip(&healths)
        .map(|((searcher, client), health)| {
            let slots = client.slots();
            Candidate { searcher: *searcher, health, load: slots.load(), slots: slots.capacity() }
        })
        .collect();
    if inner.node.settings().gather.pick {
        return rank(Instant::now(), Some(job.pin.version), &candidates);
    }
    let staying = candidates.iter().filter(|candidate| !candidate.health.is_leaving());
    staying.map(|candidate| candidate.searcher).collect()
}

fn hedge_delay(job: &Job, floor: Duration) -> Duration {
    let left = job.deadline.remaining(Instant::now());
    lock(&job.tail).pace.estimate().map_or(left / FIRST_HEDGE, |slow| slow.max(floor))
}
