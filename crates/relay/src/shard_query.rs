//! Answers queries of other members for shards with nearby searchers.
//!
//! Each shard is asked once. The reply is sent when all shards have answered or at the time set by
//! the sender; attempts still running then continue, and the sender fetches their results as they
//! arrive. Invariant: an attempt is aborted once the sender no longer waits for it.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Idempotency;
use bergamot_dispatch::{Ending, RECORD_LEN, Tally, merge_top_k};
use bergamot_placement::Constraints;
use bergamot_wire::{Late, ShardOutcome, ShardQuery, ShardReply};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use tokio::sync::mpsc;

use crate::attempt::{Attempt, AttemptLimits, AttemptResult};
use crate::exchange::AttemptError;
use crate::message::{Job, Request, SearcherResponse};
use crate::meter::AttemptReason;
use crate::relay::Relay;

/// Upper bound on the deadline in a query: longer than any caller waits.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Results that are not part of the reply to a query, by token.
#[derive(Debug, Default)]
pub(crate) struct PendingResults {
    next: u64,
    running: HashMap<u64, RunningAttempts>,
    /// Records left out of replies.
    left_out: HashMap<u64, Vec<u8>>,
}

impl PendingResults {
    fn token(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// The attempts for one query.
#[derive(Debug)]
struct RunningAttempts {
    running: Vec<(usize, Attempt)>,
    results: mpsc::UnboundedReceiver<AttemptResult>,
}

impl RunningAttempts {
    /// Waits for the next attempt to end and returns it with the index of its shard.
    async fn next(&mut self) -> Option<(usize, Result<SearcherResponse, AttemptError>)> {
        while !self.running.is_empty() {
            let (link, outcome) = self.results.recv().await?;
            let ours = |(_, attempt): &(usize, Attempt)| Arc::ptr_eq(&attempt.link, &link);
            if let Some(position) = self.running.iter().position(ours) {
                return Some((self.running.swap_remove(position).0, outcome));
            }
        }
        None
    }
}

/// Answers a query of another member.
pub(crate) async fn answer(
    relay: &Arc<Relay>,
    query: ShardQuery,
    constraints: Constraints,
) -> ShardReply {
    let received = Instant::now();
    let moment = |wait: Duration| received + wait.min(MAX_WAIT);
    let (until, deadline) = (moment(query.answer_within), moment(query.deadline));
    let (names, top_k) = (query.shards.clone(), query.top_k as usize);
    let enough = (query.enough as usize).saturating_mul(RECORD_LEN);
    let mut shards = vec![ShardOutcome::NotAsked; names.len()];
    let Some(request) = parse_request(query, received) else {
        log::error!("relay: event=query_refused cause=\"malformed request in a member query\"");
        return ShardReply { shards, records: Vec::new(), left_out: 0, rest: 0, quiet: Vec::new() };
    };
    // Attempts for other members must not affect the latencies that this member learns for its own
    // routes, hence the empty route name. The sender is told of each failure and logs it.
    let (route, tally) = (Name::from(""), Tally::new(names.len(), names.len()));
    let job = Job::new(request, (route, Idempotency::Idempotent), 1, constraints, tally);
    let mut work = start_attempts(relay, &Arc::new(job), &names, (until, deadline), &mut shards);
    let mut parts = Vec::<Bytes>::new();
    while let Ok(Some((index, outcome))) = tokio::time::timeout_at(until.into(), work.next()).await
    {
        match outcome {
            Ok(response) => {
                shards[index] = ShardOutcome::In(signature(&response));
                parts.push(response.body);
            }
            // The request was not sent, so the sender still has its first attempt.
            Err(error) if error.ending == Ending::NotSent => {
                shards[index] = ShardOutcome::NotAsked;
            }
            Err(error) => {
                relay.meter().count_ending(error.ending);
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
    let rest = if work.running.is_empty() { 0 } else { store_running(relay, work) };
    let mut records = merge_top_k(&parts, top_k);
    let others = records.split_off(enough.min(records.len()));
    let left_out = if others.is_empty() { 0 } else { store_left_out(relay, others) };
    let quiet = relay.expected_stalls(&names);
    ShardReply { shards, records, left_out, rest, quiet }
}

/// Starts one attempt for each shard and records the searcher asked.
fn start_attempts(
    relay: &Arc<Relay>,
    job: &Arc<Job>,
    names: &[Name],
    (connect_by, deadline): (Instant, Instant),
    shards: &mut [ShardOutcome],
) -> RunningAttempts {
    let (sender, results) = mpsc::unbounded_channel();
    let mut running = Vec::with_capacity(names.len());
    for (index, name) in names.iter().enumerate() {
        let Some(link) = relay.choose_searcher(name, &job.constraints, &[]) else { continue };
        relay.meter().count_attempt(AttemptReason::Delegated, link.distance);
        shards[index] = ShardOutcome::Silent(link.upstream.incarnation.clone());
        let limits = AttemptLimits { connect_by, deadline, trial: false };
        let attempt = Attempt::start(relay, link, job, limits, sender.clone());
        running.push((index, attempt));
    }
    RunningAttempts { running, results }
}

/// Stores the running attempts until the sender asks for their results.
fn store_running(relay: &Arc<Relay>, work: RunningAttempts) -> u64 {
    let token = relay.with_pending(|pending| {
        let token = pending.token();
        pending.running.insert(token, work);
        token
    });
    // Attempts unclaimed by then are aborted: the sender has responded without them.
    let unclaimed = relay.settings.policy.delegate.unclaimed;
    remove_after(relay, unclaimed, move |pending| drop(pending.running.remove(&token)));
    token
}

/// Stores the records left out of a reply until the sender asks for them.
fn store_left_out(relay: &Arc<Relay>, records: Vec<u8>) -> u64 {
    let token = relay.with_pending(|pending| {
        let token = pending.token();
        pending.left_out.insert(token, records);
        token
    });
    let kept = relay.settings.policy.brief.kept;
    remove_after(relay, kept, move |pending| drop(pending.left_out.remove(&token)));
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
    relay.with_pending(|pending| pending.left_out.remove(&token))
}

/// Waits for the next shard of an earlier query.
pub(crate) async fn next_late(relay: &Arc<Relay>, token: u64) -> Vec<Late> {
    let Some(mut work) = relay.with_pending(|pending| pending.running.remove(&token)) else {
        return Vec::new();
    };
    let Some((index, outcome)) = work.next().await else {
        return Vec::new();
    };
    let late = match outcome {
        Ok(response) => {
            let signature = Some(signature(&response));
            Late { index: index as u32, signature, records: response.body.to_vec(), ended: false }
        }
        Err(error) => {
            relay.meter().count_ending(error.ending);
            let ended = error.searcher_ended;
            Late { index: index as u32, signature: None, records: Vec::new(), ended }
        }
    };
    if !work.running.is_empty() {
        relay.with_pending(|pending| pending.running.insert(token, work));
    }
    vec![late]
}

fn signature(response: &SearcherResponse) -> Vec<u8> {
    response.signature.as_ref().map(HeaderValue::as_bytes).unwrap_or_default().to_vec()
}

fn parse_request(query: ShardQuery, received: Instant) -> Option<Request> {
    let mut headers = HeaderMap::with_capacity(query.headers.len());
    for (name, value) in query.headers {
        let name = HeaderName::try_from(name).ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(Request {
        id: HeaderValue::from_bytes(&query.id).ok()?,
        host: Name::from(""),
        method: Method::try_from(&*query.method).ok()?,
        uri: Uri::try_from(query.uri).ok()?,
        headers,
        body: Bytes::from(query.body),
        deadline: Some(query.deadline),
        received,
    })
}

impl Relay {
    fn with_pending<T>(&self, change: impl FnOnce(&mut PendingResults) -> T) -> T {
        change(&mut self.pending.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
