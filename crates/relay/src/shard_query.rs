//! Answers queries of other members for shards with nearby searchers.
//!
//! Each shard is asked once. The reply is sent when all shards have answered or at the time set by
//! the sender; attempts still running then continue, and the sender fetches their results as they
//! arrive. Invariant: an attempt is aborted once the sender no longer waits for it.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use bergamot_answer::Verdict;
use bergamot_base::{Name, TokenMap};
use bergamot_declaration::Idempotency;
use bergamot_dispatch::{Ending, RECORD_LEN, Tally, merge_top_k};
use bergamot_placement::Constraints;
use bergamot_registry::Upstream;
use bergamot_resources::{Exhausted, Hold};
use bergamot_wire::{Late, ShardOutcome, ShardQuery, ShardReply};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri, http};
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tokio_util::task::AbortOnDropHandle;

use crate::attempt::{AttemptLimits, AttemptResult, attempt};
use crate::choice::Choice;
use crate::link::SearcherLink;
use crate::message::{Job, JobRoute, Request, SearcherResponse};
use crate::meter::AttemptReason;
use crate::relay::Relay;

/// Upper bound on the deadline in a query: longer than any caller waits.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Results that are not part of the reply to a query, kept for the member that sent the query.
#[derive(Debug, Default)]
pub(crate) struct PendingResults {
    late: TokenMap<LateAttempts>,
    /// Records left out of replies.
    left_out: TokenMap<Vec<u8>>,
}

/// The index of a shard, and how the attempt for it ended.
type ShardResult = (usize, AttemptResult);

/// The attempts for one query that are still running.
type RunningAttempts = FuturesUnordered<BoxFuture<'static, ShardResult>>;

/// The attempts that continue after the reply to a query, in a task that is aborted with this value.
#[derive(Debug)]
struct LateAttempts {
    job: Arc<Job>,
    results: mpsc::UnboundedReceiver<ShardResult>,
    /// When they were stored for the sender to claim.
    stored: Instant,
    _task: AbortOnDropHandle<()>,
}

impl LateAttempts {
    fn start(job: Arc<Job>, mut attempts: RunningAttempts) -> Self {
        let (sender, results) = mpsc::unbounded_channel();
        let task = tokio::spawn(async move {
            while let Some(result) = attempts.next().await {
                // Without a receiver, this task is aborted.
                let _closed = sender.send(result);
            }
        });
        Self { job, results, stored: Instant::now(), _task: AbortOnDropHandle::new(task) }
    }

    /// Waits for the next attempts to end; returns none if all have.
    async fn next(&mut self) -> Vec<ShardResult> {
        let mut ended = Vec::from_iter(self.results.recv().await);
        while let Ok(result) = self.results.try_recv() {
            ended.push(result);
        }
        ended
    }
}

impl Drop for LateAttempts {
    /// Logs the failures of the query once no attempt is left.
    fn drop(&mut self) {
        self.job.failure_log.log(&self.job.request.id);
    }
}

/// Why a query of another member is not answered.
#[derive(Debug, Snafu)]
enum QueryRefusal {
    /// Its request can't be read.
    #[snafu(display("malformed request in a member query: {source}"), context(false))]
    Malformed { source: http::Error },
    /// Its body finds no memory.
    #[snafu(display("{source}"), context(false))]
    Exhausted { source: Exhausted },
}

/// The answer to a query of another member.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) reply: ShardReply,
    /// The number of shards whose searcher was busy with requests of this member when it was asked.
    pub(crate) busy: u32,
}

/// Answers a query of another member.
pub(crate) async fn answer(
    relay: &Arc<Relay>,
    query: ShardQuery,
    constraints: Constraints,
) -> Answered {
    let received = Instant::now();
    let moment = |wait: Duration| received + wait.min(MAX_WAIT);
    let (until, deadline) = (moment(query.answer_within), moment(query.deadline));
    let (names, top_k) = (query.shards.clone(), query.top_k as usize);
    let enough = (query.enough as usize).saturating_mul(RECORD_LEN);
    let mut shards = vec![ShardOutcome::NotAsked; names.len()];
    let (request, head) = match parse_request(relay, query, received) {
        Ok(held) => held,
        Err(cause) => {
            log::error!("relay: event=query_refused cause=\"{cause}\"");
            let reply =
                ShardReply { shards, records: Vec::new(), left_out: 0, rest: 0, quiet: Vec::new() };
            return Answered { reply, busy: 0 };
        }
    };
    // Attempts for other members must not affect the latencies that this member learns for its own
    // routes, hence the empty route name.
    let route = JobRoute {
        name: Name::from(""),
        kind: Idempotency::Idempotent,
        priority: 0,
        target_latency: None,
        max_attempts: 1,
        is_gathered: true,
    };
    let tally = Tally::new(names.len(), names.len());
    let job = Arc::new(Job::new(request, route, constraints, tally).hold_head(head));
    let mut attempts = start_attempts(relay, &job, &names, (until, deadline), &mut shards);
    let (mut parts, mut rejected) = (Vec::<Bytes>::new(), Vec::new());
    let mut due = std::pin::pin!(sleep_until(until.into()));
    loop {
        let (index, (link, outcome)) = tokio::select! {
            biased;
            ended = attempts.next() => match ended {
                Some(ended) => ended,
                None => break,
            },
            () = &mut due => break,
        };
        match outcome {
            Ok(response) => {
                job.tally().record_arrived();
                shards[index] = ShardOutcome::In(signature(&response));
                parts.push(response.body);
            }
            // The request was not sent, so the sender still has its first attempt.
            Err(error) if error.ending == Ending::NotSent => {
                shards[index] = ShardOutcome::NotAsked;
            }
            Err(error) if error.verdict == Some(Verdict::Rejected) => rejected.push((index, link)),
            Err(error) => {
                if let ShardOutcome::Silent(searcher) = &shards[index] {
                    let failed_outcome = if error.searcher_ended {
                        ShardOutcome::Ended
                    } else {
                        ShardOutcome::Failed
                    };
                    shards[index] = failed_outcome(searcher.clone());
                }
            }
        }
    }
    // Without a part the request itself may be at fault, which the sender finds out.
    if !parts.is_empty() || !attempts.is_empty() {
        for (index, link) in rejected {
            record_if_accepted(&job, &link);
            shards[index] = ShardOutcome::Failed(link.upstream.incarnation.clone());
        }
    }
    let rest = if attempts.is_empty() {
        job.failure_log.log(&job.request.id);
        0
    } else {
        store_late(relay, &job, attempts)
    };
    let mut records = merge_top_k(&parts, top_k);
    let others = records.split_off(enough.min(records.len()));
    let left_out = if others.is_empty() { 0 } else { store_left_out(relay, others) };
    let quiet = relay.expected_stalls(&names);
    let reply = ShardReply { shards, records, left_out, rest, quiet };
    Answered { reply, busy: job.busy() as u32 }
}

/// Records that a searcher which rejected the request has failed, if another shard has accepted it.
fn record_if_accepted(job: &Job, link: &SearcherLink) {
    if job.tally().arrived() > 0 {
        link.estimator().record_failure(Instant::now());
    }
}

/// Starts one attempt for each shard and records the searcher asked.
fn start_attempts(
    relay: &Arc<Relay>,
    job: &Arc<Job>,
    names: &[Name],
    (connect_by, deadline): (Instant, Instant),
    shards: &mut [ShardOutcome],
) -> RunningAttempts {
    let attempts = RunningAttempts::new();
    let choices = relay.choose_searchers(names, &job.constraints);
    for (index, choice) in choices.into_iter().enumerate() {
        let Some(Choice { link, is_busy, .. }) = choice else { continue };
        job.record_busy(usize::from(is_busy));
        relay.meter().count_attempt(AttemptReason::Delegated, link.distance);
        shards[index] = ShardOutcome::Silent(link.upstream.incarnation.clone());
        let limits = AttemptLimits { connect_by, deadline, is_after_fault: false, trial: false };
        let (relay, job) = (Arc::clone(relay), Arc::clone(job));
        attempts.push(Box::pin(async move {
            let (link, outcome) = attempt(&relay, link, &job, limits).await;
            if let Err(error) = &outcome {
                let Upstream { service, incarnation, .. } = &*link.upstream;
                job.failure_log.record_attempt(service, incarnation, error.ending, &error.cause);
                relay.meter().count_ending(error.ending);
            }
            (index, (link, outcome))
        }));
    }
    attempts
}

/// Stores the running attempts until the sender asks for their results.
fn store_late(relay: &Arc<Relay>, job: &Arc<Job>, attempts: RunningAttempts) -> u64 {
    let late = LateAttempts::start(Arc::clone(job), attempts);
    let stored = late.stored;
    let token = relay.with_pending(|pending| pending.late.insert(late));
    remove_unclaimed(relay, token, stored);
    token
}

/// Stores attempts again that the sender may claim once more.
fn restore_late(relay: &Arc<Relay>, token: u64, mut late: LateAttempts) {
    let stored = Instant::now();
    late.stored = stored;
    relay.with_pending(|pending| pending.late.put_back(token, late));
    remove_unclaimed(relay, token, stored);
}

/// Aborts attempts that the sender doesn't claim in time after they were stored: it has responded
/// without them.
fn remove_unclaimed(relay: &Arc<Relay>, token: u64, stored: Instant) {
    let unclaimed = relay.settings.policy.delegate.unclaimed;
    remove_after(relay, unclaimed, move |pending| {
        drop(pending.late.take_if(token, |late| late.stored == stored));
    });
}

/// Stores the records left out of a reply until the sender asks for them.
fn store_left_out(relay: &Arc<Relay>, records: Vec<u8>) -> u64 {
    let token = relay.with_pending(|pending| pending.left_out.insert(records));
    let kept = relay.settings.policy.brief.kept;
    remove_after(relay, kept, move |pending| drop(pending.left_out.take(token)));
    token
}

/// Removes stored results after a delay.
fn remove_after(
    relay: &Arc<Relay>,
    time: Duration,
    remove: impl FnOnce(&mut PendingResults) + Send + 'static,
) {
    let relay = Arc::clone(relay);
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        relay.with_pending(remove);
    });
}

/// Returns the records left out of an earlier reply.
pub(crate) fn take_records(relay: &Relay, token: u64) -> Option<Vec<u8>> {
    relay.with_pending(|pending| pending.left_out.take(token))
}

/// Waits for the next shards of an earlier query.
pub(crate) async fn next_late(relay: &Arc<Relay>, token: u64) -> Vec<Late> {
    let Some(mut attempts) = relay.with_pending(|pending| pending.late.take(token)) else {
        return Vec::new();
    };
    let ended = attempts.next().await;
    let late = ended.into_iter().map(|(index, result)| late(&attempts.job, index, result));
    let late: Vec<Late> = late.collect();
    if !late.is_empty() {
        restore_late(relay, token, attempts);
    }
    late
}

/// Describes the end of an attempt after the reply.
fn late(job: &Job, index: usize, (link, outcome): AttemptResult) -> Late {
    let index = index as u32;
    match outcome {
        Ok(response) => {
            job.tally().record_arrived();
            let signature = Some(signature(&response));
            Late { index, signature, records: response.body.to_vec(), ended: false }
        }
        Err(error) => {
            if error.verdict == Some(Verdict::Rejected) {
                record_if_accepted(job, &link);
            }
            Late { index, signature: None, records: Vec::new(), ended: error.searcher_ended }
        }
    }
}

fn signature(response: &SearcherResponse) -> Vec<u8> {
    response.signature.as_ref().map(HeaderValue::as_bytes).unwrap_or_default().to_vec()
}

/// Returns the request of a query, whose body counts until its last copy is gone, and what its head
/// takes.
fn parse_request(
    relay: &Relay,
    query: ShardQuery,
    received: Instant,
) -> Result<(Request, Hold), QueryRefusal> {
    let mut headers = HeaderMap::with_capacity(query.headers.len());
    for (name, value) in query.headers {
        let name = HeaderName::try_from(name).map_err(http::Error::from)?;
        headers.append(name, HeaderValue::from_bytes(&value).map_err(http::Error::from)?);
    }
    let request = Request {
        id: HeaderValue::from_bytes(&query.id).map_err(http::Error::from)?,
        host: Name::from(""),
        method: Method::try_from(&*query.method).map_err(http::Error::from)?,
        uri: Uri::try_from(query.uri).map_err(http::Error::from)?,
        headers,
        body: relay.request_memory().complete(query.body)?,
        deadline: Some(query.deadline),
        received,
    };
    let head = relay.request_memory().hold(request.head_memory())?;
    Ok((request, head))
}

impl Relay {
    fn with_pending<T>(&self, change: impl FnOnce(&mut PendingResults) -> T) -> T {
        change(&mut self.pending.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
