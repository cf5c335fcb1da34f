//! One request to every shard, and the merge of what comes back.
//!
//! Invariant: the shards are those of one declaration, each is in at most once, and the
//! answer says how many are missing.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bergamot_declaration::Gather;
use bergamot_dispatch::{Ending, Patience, Tally, Verdict, greatest};
use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::header::HeaderValue;
use tokio::time::sleep_until;

use crate::message::{Cause, Job, Refusal, Reply, Whole};
use crate::race::Race;
use crate::relay::{RETRY_AFTER, Relay};

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
    let mut races: FuturesUnordered<_> =
        gather.shards.iter().map(|shard| Race::new(relay, job, shard, patience).run()).collect();
    let mut tally = Tally::new(gather.shards.len(), fewest);
    let (mut signatures, mut parts) = (Vec::<HeaderValue>::new(), Vec::<Bytes>::new());
    let mut worst = Ending::NotSent;
    let mut late = false;
    let target = job.request.received + patience.target;
    loop {
        match tally.verdict(late) {
            Verdict::Wait => {}
            Verdict::Answer => break,
            Verdict::Fail => {
                let cause = if worst.did_not_run() && tally.arrived() == 0 && races.is_empty() {
                    Cause::NotRun
                } else if late {
                    Cause::Late
                } else {
                    Cause::Lost
                };
                let absent = tally.absent();
                return refuse(job, cause, &format!("{absent} shards are missing"));
            }
        }
        tokio::select! {
            biased;
            Some(ended) = races.next() => match ended {
                Ok(passed) => {
                    tally.arrive();
                    signatures.extend(passed.signature);
                    parts.push(passed.body);
                }
                Err(lost) => {
                    tally.miss();
                    worst = worst.max(lost.ending);
                }
            },
            () = sleep_until(target.into()), if !late => late = true,
        }
    }
    job.answered.store(true, Ordering::Relaxed);
    let missing = tally.absent();
    if missing > 0 {
        let (request, shards) = (&job.request.id, gather.shards.len());
        log::info!("relay: event=partial request={request:?} missing={missing} shards={shards}");
    }
    let records = Bytes::from(greatest(&parts, gather.top_k));
    Reply::Whole(Whole { signatures, missing, records })
}

fn refuse(job: &Job, cause: Cause, why: &str) -> Reply {
    let request = &job.request.id;
    log::info!("relay: event=refused request={request:?} outcome={cause:?} cause=\"{why}\"");
    Reply::Refused(Refusal { cause, retry_after: Some(RETRY_AFTER) })
}
