//! Answering the questions of other members about shards whose searchers are nearby.
//!
//! Each shard is asked once. The answer goes out when all are in, or at the moment that the
//! sender named; what still runs then goes on, and is fetched as it comes in. Invariant: an
//! attempt ends with the sender's interest in it: once nobody waits for it, it is cut.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Kind;
use bergamot_dispatch::{Ending, RECORD, Tally, greatest};
use bergamot_wire::{Late, ShardOutcome, ShardQuery, ShardReply};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use tokio::sync::mpsc;

use crate::attempt::{Attempt, Outcome, Terms};
use crate::exchange::Miss;
use crate::message::{Job, Passed, Request};
use crate::meter::Reason;
use crate::relay::Relay;

/// The longest time that another member's question may give: longer than any caller waits.
const LONGEST_QUESTION: Duration = Duration::from_hours(1);

/// What remains after the answers to questions, by its token.
#[derive(Debug, Default)]
pub(crate) struct Rests {
    next: u64,
    waiting: HashMap<u64, Work>,
    /// The records that answers left out.
    left_out: HashMap<u64, Vec<u8>>,
}

impl Rests {
    fn token(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// The attempts for one question.
#[derive(Debug)]
struct Work {
    running: Vec<(usize, Attempt)>,
    ended: mpsc::UnboundedReceiver<Outcome>,
}

impl Work {
    /// Waits for the end of an attempt, and returns the position of its shard.
    async fn next(&mut self) -> Option<(usize, Result<Passed, Miss>)> {
        while !self.running.is_empty() {
            let (link, outcome) = self.ended.recv().await?;
            let ours = |(_, attempt): &(usize, Attempt)| Arc::ptr_eq(&attempt.link, &link);
            if let Some(position) = self.running.iter().position(ours) {
                return Some((self.running.swap_remove(position).0, outcome));
            }
        }
        None
    }
}

/// Answers the question of another member.
pub(crate) async fn answer(relay: &Arc<Relay>, query: ShardQuery) -> ShardReply {
    let received = Instant::now();
    let moment = |wait: Duration| received + wait.min(LONGEST_QUESTION);
    let (until, end) = (moment(query.answer_within), moment(query.deadline));
    let (names, top_k) = (query.shards.clone(), query.top_k as usize);
    let enough = (query.enough as usize).saturating_mul(RECORD);
    let mut shards = vec![ShardOutcome::NotAsked; names.len()];
    let Some(request) = read(query, received) else {
        log::error!("relay: event=query_refused cause=\"the request of a member can't be read\"");
        return ShardReply { shards, records: Vec::new(), left_out: 0, rest: 0, quiet: Vec::new() };
    };
    let mut work = start(relay, request, &names, (until, end), &mut shards);
    let mut parts = Vec::<Bytes>::new();
    while let Ok(Some((index, outcome))) = tokio::time::timeout_at(until.into(), work.next()).await
    {
        match outcome {
            Ok(passed) => {
                shards[index] = ShardOutcome::In(signature(&passed));
                parts.push(passed.body);
            }
            // What was not sent leaves the first attempt to the sender.
            Err(miss) if miss.ending == Ending::NotSent => {
                shards[index] = ShardOutcome::NotAsked;
            }
            Err(miss) => {
                relay.meter().ending(miss.ending);
                if let ShardOutcome::Silent(searcher) = &shards[index] {
                    let fate = if miss.ended { ShardOutcome::Ended } else { ShardOutcome::Failed };
                    shards[index] = fate(searcher.clone());
                }
            }
        }
    }
    let rest = if work.running.is_empty() { 0 } else { keep(relay, work) };
    let mut records = greatest(&parts, top_k);
    let others = records.split_off(enough.min(records.len()));
    let left_out = if others.is_empty() { 0 } else { leave_out(relay, others) };
    let quiet = relay.quiet(&names);
    ShardReply { shards, records, left_out, rest, quiet }
}

/// Starts one attempt at each shard, and notes whom it asks.
fn start(
    relay: &Arc<Relay>,
    request: Request,
    names: &[Name],
    (offer, end): (Instant, Instant),
    shards: &mut [ShardOutcome],
) -> Work {
    // What is asked for others must not change what this member takes for usual, and the sender
    // hears of each failure, and logs it.
    let tally = Tally::new(names.len(), names.len());
    let job = Arc::new(Job::new(request, (Name::from(""), Kind::Idempotent), 1, tally));
    let (results, ended) = mpsc::unbounded_channel();
    let mut running = Vec::with_capacity(names.len());
    for (index, name) in names.iter().enumerate() {
        let Some(link) = relay.choose(name, &[]) else { continue };
        relay.meter().attempt(Reason::Delegated, link.distance);
        shards[index] = ShardOutcome::Silent(link.upstream.incarnation.clone());
        let terms = Terms { offer, end, trial: false };
        let attempt = Attempt::start(relay, link, &job, terms, results.clone());
        running.push((index, attempt));
    }
    Work { running, ended }
}

/// Keeps what still runs until the sender asks for it.
fn keep(relay: &Arc<Relay>, work: Work) -> u64 {
    let token = relay.with_rests(|rests| {
        let token = rests.token();
        rests.waiting.insert(token, work);
        token
    });
    // If it is still here then, the sender has its answer without it.
    let unclaimed = relay.settings.policy.delegate.unclaimed;
    forget_after(relay, unclaimed, move |rests| drop(rests.waiting.remove(&token)));
    token
}

/// Keeps records that an answer leaves out until the sender asks for them.
fn leave_out(relay: &Arc<Relay>, records: Vec<u8>) -> u64 {
    let token = relay.with_rests(|rests| {
        let token = rests.token();
        rests.left_out.insert(token, records);
        token
    });
    let kept = relay.settings.policy.brief.kept;
    forget_after(relay, kept, move |rests| drop(rests.left_out.remove(&token)));
    token
}

/// Forgets what remains of an answer after a time.
fn forget_after(
    relay: &Arc<Relay>,
    time: Duration,
    forget: impl FnOnce(&mut Rests) + Send + 'static,
) {
    let relay = Arc::clone(relay);
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        relay.with_rests(forget);
    });
}

/// Hands out the records that an earlier answer left out.
pub(crate) fn records(relay: &Relay, token: u64) -> Option<Vec<u8>> {
    relay.with_rests(|rests| rests.left_out.remove(&token))
}

/// Waits for the next shards of an earlier question.
pub(crate) async fn rest(relay: &Arc<Relay>, token: u64) -> Vec<Late> {
    let Some(mut work) = relay.with_rests(|rests| rests.waiting.remove(&token)) else {
        return Vec::new();
    };
    let Some((index, outcome)) = work.next().await else {
        return Vec::new();
    };
    let late = match outcome {
        Ok(passed) => {
            let signature = Some(signature(&passed));
            Late { index: index as u32, signature, records: passed.body.to_vec(), ended: false }
        }
        Err(miss) => {
            relay.meter().ending(miss.ending);
            let ended = miss.ended;
            Late { index: index as u32, signature: None, records: Vec::new(), ended }
        }
    };
    if !work.running.is_empty() {
        relay.with_rests(|rests| rests.waiting.insert(token, work));
    }
    vec![late]
}

fn signature(passed: &Passed) -> Vec<u8> {
    passed.signature.as_ref().map(HeaderValue::as_bytes).unwrap_or_default().to_vec()
}

fn read(query: ShardQuery, received: Instant) -> Option<Request> {
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
    fn with_rests<T>(&self, change: impl FnOnce(&mut Rests) -> T) -> T {
        change(&mut self.rests.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
