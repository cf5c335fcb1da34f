//! One request to every shard, and the merge of what comes back.
//!
//! Shards whose best searcher is in another region are asked through a member there
//! ([`crate::delegate`]); all others directly. Invariant: the shards are those of one
//! declaration, each is in at most once, and the answer says how many are missing.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_declaration::Gather;
use bergamot_dispatch::{Ending, Patience, Tally, Verdict, greatest};
use bergamot_wire::{Shard, ShardReply};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::header::HeaderValue;
use tokio::time::sleep_until;

use crate::delegate;
use crate::message::{Cause, Job, Passed, Refusal, Reply, Whole};
use crate::race::{Lost, Plan, Race};
use crate::relay::{RETRY_AFTER, Relay};

/// What a part of the work has brought.
enum Piece<'a> {
    One(Result<Passed, Lost>),
    Many(Vec<&'a Name>, Option<ShardReply>),
}

/// The work that is still going on.
type Work<'a> = FuturesUnordered<BoxFuture<'a, Piece<'a>>>;

/// Runs a request over all shards.
pub(crate) async fn gather(
    relay: &Arc<Relay>,
    job: &Arc<Job>,
    gather: &Gather,
    patience: Patience,
) -> Reply {
    let fewest = gather.fewest();
    let served = gather.shards.iter().filter(|shard| relay.has_searcher(shard)).count();
    if served < fewest {
        return refuse(job, Cause::NotRun, &format!("{served} of {fewest} shards have a searcher"));
    }
    for shard in &gather.shards {
        relay.earn(shard);
    }
    let mut state = State::start(relay, job, gather, patience);
    let target = job.request.received + patience.target;
    let mut late = false;
    loop {
        match state.tally.verdict(late) {
            Verdict::Wait => {}
            Verdict::Answer => break,
            Verdict::Fail => {
                let absent = state.tally.absent();
                return refuse(job, state.cause(late), &format!("{absent} shards are missing"));
            }
        }
        tokio::select! {
            biased;
            Some(piece) = state.work.next() => state.take(piece),
            () = sleep_until(target.into()), if !late => late = true,
        }
    }
    job.answered.store(true, Ordering::Relaxed);
    let missing = state.tally.absent();
    if missing > 0 {
        let (request, shards) = (&job.request.id, gather.shards.len());
        log::info!("relay: event=partial request={request:?} missing={missing} shards={shards}");
    }
    let records = Bytes::from(greatest(&state.parts, gather.top_k));
    Reply::Whole(Whole { signatures: state.signatures, missing, records })
}

/// What is in so far, and what is still going on.
struct State<'a> {
    relay: &'a Arc<Relay>,
    job: &'a Arc<Job>,
    plan: Plan,
    tally: Tally,
    worst: Ending,
    signatures: Vec<HeaderValue>,
    parts: Vec<Bytes>,
    work: Work<'a>,
}

impl<'a> State<'a> {
    fn start(
        relay: &'a Arc<Relay>,
        job: &'a Arc<Job>,
        gather: &'a Gather,
        patience: Patience,
    ) -> Self {
        let plan = Plan::new(job, patience);
        let tally = Tally::new(gather.shards.len(), gather.fewest());
        let (worst, work) = (Ending::NotSent, Work::new());
        let (signatures, parts) = (Vec::new(), Vec::new());
        let state = Self { relay, job, plan, tally, worst, signatures, parts, work };
        // A route that allows one attempt leaves nothing to do about what a member missed.
        let (own, groups) = if job.attempts < 2 {
            (gather.shards.iter().collect(), Vec::new())
        } else {
            assign(relay, &gather.shards)
        };
        for shard in own {
            state.race(shard, Vec::new());
        }
        for (ip, shards) in groups {
            state.delegate(ip, shards, gather.top_k);
        }
        state
    }

    fn race(&self, shard: &'a Name, tried: Vec<Name>) {
        let mut plan = self.plan.clone();
        if !tried.is_empty() {
            plan.hedge = None;
        }
        let race = Race::new(self.relay, self.job, shard, Plan { tried, ..plan });
        self.work.push(Box::pin(async move { Piece::One(race.run().await) }));
    }

    fn delegate(&self, ip: Ipv4Addr, shards: Vec<&'a Name>, top_k: usize) {
        let (relay, job, plan) = (self.relay, self.job, self.plan.clone());
        let names = shards.iter().map(|shard| Name::clone(shard)).collect();
        self.work.push(Box::pin(async move {
            let reply = delegate::ask(relay, job, ip, names, top_k, &plan).await;
            Piece::Many(shards, reply)
        }));
    }

    fn take(&mut self, piece: Piece<'a>) {
        match piece {
            Piece::One(Ok(passed)) => {
                self.tally.arrive();
                self.signatures.extend(passed.signature);
                self.parts.push(passed.body);
            }
            Piece::One(Err(lost)) => {
                self.tally.miss();
                self.worst = self.worst.max(lost.ending);
            }
            Piece::Many(shards, Some(reply)) => {
                self.parts.push(Bytes::from(reply.records));
                for (shard, found) in shards.into_iter().zip(reply.shards) {
                    self.take_delegated(shard, found);
                }
            }
            Piece::Many(shards, None) => {
                // Whom the member asked is not known; it counts as one attempt.
                for shard in shards {
                    self.race(shard, vec![Name::from("")]);
                }
            }
        }
    }

    fn take_delegated(&mut self, shard: &'a Name, found: Shard) {
        match found {
            Shard::In(signature) => match HeaderValue::from_bytes(&signature) {
                Ok(signature) => {
                    self.tally.arrive();
                    self.signatures.push(signature);
                }
                Err(error) => {
                    log::error!("relay: event=bad_signature shard={shard} cause=\"{error}\"");
                    self.tally.miss();
                }
            },
            Shard::Missing(tried) => {
                self.worst = Ending::Unknown;
                self.race(shard, tried);
            }
        }
    }

    fn cause(&self, late: bool) -> Cause {
        if self.worst.did_not_run() && self.tally.arrived() == 0 && self.work.is_empty() {
            Cause::NotRun
        } else if late {
            Cause::Late
        } else {
            Cause::Lost
        }
    }
}

/// Divides the shards into those to ask directly and those to ask through members.
fn assign<'a>(
    relay: &Relay,
    shards: &'a [Name],
) -> (Vec<&'a Name>, Vec<(Ipv4Addr, Vec<&'a Name>)>) {
    let mut own = Vec::new();
    let mut regions = BTreeMap::<Name, Vec<&Name>>::new();
    for shard in shards {
        match relay.far_region(shard) {
            Some(region) => regions.entry(region).or_default().push(shard),
            None => own.push(shard),
        }
    }
    let now = Instant::now();
    let mut groups = Vec::new();
    for (region, far) in regions {
        let helper = relay.with_helpers(|helpers| helpers.choose(&region, now));
        match helper.filter(|_| far.len() >= delegate::FEWEST) {
            Some(ip) => groups.push((ip, far)),
            None => own.extend(far),
        }
    }
    (own, groups)
}

fn refuse(job: &Job, cause: Cause, why: &str) -> Reply {
    let request = &job.request.id;
    log::info!("relay: event=refused request={request:?} outcome={cause:?} cause=\"{why}\"");
    Reply::Refused(Refusal { cause, retry_after: Some(RETRY_AFTER) })
}
