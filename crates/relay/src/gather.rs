//! One request to every shard, and the merge of what comes back.
//!
//! Shards whose best searcher is in another region are asked through a member there
//! ([`crate::delegate`]); all others directly. Invariant: the shards are those of one
//! declaration, each is in at most once, and the answer says how many are missing.

use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_declaration::Gather;
use bergamot_dispatch::{Ending, Obstacle, Patience, Verdict, admit};
use bergamot_wire::{Late, ShardOutcome, ShardReply};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::header::HeaderValue;
use rand::RngExt;
use tokio::time::sleep_until;

use crate::delegate::{self, Elsewhere, Wanted};
use crate::message::{Cause, Job, Passed, Refusal, Reply, Whole};
use crate::parts::{Merged, Parts};
use crate::race::{Lost, Plan, Race, Tried};
use crate::relay::Relay;
use crate::suspects::First;

/// What a part of the work has brought.
enum Piece<'a> {
    /// The end of the attempts at one shard.
    One(&'a Name, Result<Passed, Lost>),
    /// The answer of a member.
    Many(Asked<'a>, Option<ShardReply>),
    /// What came in at a member since.
    Later(Asked<'a>, u64, Vec<Late>),
}

/// A question to a member.
struct Asked<'a> {
    ip: Ipv4Addr,
    shards: Vec<&'a Name>,
}

/// The work that is still going on.
type Work<'a> = FuturesUnordered<BoxFuture<'a, Piece<'a>>>;

/// Runs a request over all shards.
pub(crate) async fn gather(
    relay: &Arc<Relay>,
    job: &Arc<Job>,
    gather: &Gather,
    patience: Patience,
    first: Option<First>,
) -> Reply {
    let fewest = gather.fewest();
    let mut delays = relay.delays(&gather.shards);
    if delays.len() < fewest {
        let served = delays.len();
        let cause = format!("{served} of {fewest} shards have a searcher");
        return refuse(relay, job, (Cause::NotRun, relay.absence()), &cause);
    }
    let policy = &relay.settings.policy.admit;
    let admitted = admit(&mut delays, fewest, patience.target, policy, rand::rng().random());
    if let Err(excess) = admitted {
        let cause = "the searchers are too busy to answer in time";
        return refuse(relay, job, (Cause::NotRun, Obstacle::Backlog(excess)), cause);
    }
    for shard in &gather.shards {
        relay.earn(shard);
    }
    let mut state = State::start(relay, job, gather, patience, first);
    let target = job.request.received + patience.target;
    let mut late = false;
    loop {
        // The count is free again before the verdict is acted upon.
        let verdict = job.tally().verdict(late);
        match verdict {
            Verdict::Wait => {}
            Verdict::Answer => break,
            Verdict::Fail => {
                let absent = job.tally().absent();
                let cause = format!("{absent} shards are missing");
                return refuse(relay, job, (state.cause(late), Obstacle::Passing), &cause);
            }
        }
        tokio::select! {
            biased;
            Some(piece) = state.work.next() => state.take(piece),
            () = sleep_until(target.into()), if !late => late = true,
        }
    }
    let State { parts, plan, .. } = &mut state;
    let records = Bytes::from(parts.merge(relay, job, gather.top_k, plan.end).await);
    if job.tally().arrived() < fewest {
        let cause = "records of a member are lacking";
        return refuse(relay, job, (Cause::Lost, Obstacle::Passing), cause);
    }
    let missing = job.tally().absent();
    if missing > 0 {
        let left_out = state.open.keys().map(|shard| Name::clone(shard)).collect();
        job.left_out.get_or_init(|| left_out);
    }
    Reply::Whole(Whole { signatures: state.parts.into_signatures(), missing, records })
}

/// What is in so far, and what is still going on.
struct State<'a> {
    relay: &'a Arc<Relay>,
    job: &'a Arc<Job>,
    plan: Plan,
    worst: Ending,
    parts: Parts,
    work: Work<'a>,
    /// Where each shard that is not in may still come from: a race, a member, or both.
    open: HashMap<&'a Name, u32>,
}

impl<'a> State<'a> {
    fn start(
        relay: &'a Arc<Relay>,
        job: &'a Arc<Job>,
        gather: &'a Gather,
        patience: Patience,
        first: Option<First>,
    ) -> Self {
        let plan = Plan::new(job, patience, &relay.settings.policy);
        let (worst, work) = (Ending::NotSent, Work::new());
        let (parts, open) = (Parts::default(), HashMap::new());
        let mut state = Self { relay, job, plan, worst, parts, work, open };
        let mut shards: Vec<&Name> = gather.shards.iter().collect();
        if let Some(First { service, passed }) = first
            && let Some(at) = shards.iter().position(|shard| **shard == service)
        {
            let shard = shards.remove(at);
            state.open.insert(shard, 1);
            state.arrive(shard, passed.signature, passed.body);
        }
        // A route that allows one attempt leaves nothing to do about what a member missed.
        let delegates = relay.settings.policy.delegate.on && job.attempts > 1;
        let (own, groups) = if delegates { assign(relay, shards) } else { (shards, Vec::new()) };
        for shard in own {
            state.race(shard, Vec::new());
        }
        for group in groups {
            state.delegate(group, gather);
        }
        state
    }

    fn race(&mut self, shard: &'a Name, tried: Vec<Tried>) {
        let mut plan = self.plan.clone();
        if !tried.is_empty() {
            plan.hedge = None;
        }
        *self.open.entry(shard).or_default() += 1;
        let race = Race::new(self.relay, self.job, shard, Plan { tried, ..plan });
        self.work.push(Box::pin(async move { Piece::One(shard, race.run().await) }));
    }

    fn delegate(&mut self, group: Group<'a>, gather: &Gather) {
        let Group { ip, place, shards } = group;
        let (relay, job, plan) = (self.relay, self.job, self.plan.clone());
        for shard in &shards {
            *self.open.entry(shard).or_default() += 1;
        }
        let names = shards.iter().map(|shard| Name::clone(shard)).collect();
        let (top_k, all) = (gather.top_k, gather.shards.len());
        let enough = relay.sufficient(top_k, shards.len(), all);
        self.work.push(Box::pin(async move {
            let reply =
                delegate::ask(relay, job, (ip, &place), names, Wanted { top_k, enough }, &plan)
                    .await;
            Piece::Many(Asked { ip, shards }, reply)
        }));
    }

    /// Asks a member for what has come in since its answer.
    fn ask_rest(&self, asked: Asked<'a>, token: u64) {
        let (relay, end) = (self.relay, self.plan.end);
        self.work.push(Box::pin(async move {
            let late = (relay.helping().rest)(asked.ip, token, end).await;
            let late = late.unwrap_or_else(|cause| {
                let ip = asked.ip;
                log::info!("relay: event=helper_failed member={ip} cause=\"{cause}\"");
                Vec::new()
            });
            Piece::Later(asked, token, late)
        }));
    }

    fn take(&mut self, piece: Piece<'a>) {
        match piece {
            Piece::One(shard, Ok(passed)) => self.arrive(shard, passed.signature, passed.body),
            Piece::One(shard, Err(lost)) => {
                self.worst = self.worst.max(lost.ending);
                self.close(shard);
            }
            Piece::Many(asked, Some(reply)) => self.take_reply(asked, reply),
            Piece::Many(asked, None) => {
                for shard in asked.shards {
                    // Whom the member asked is not known; it counts as one attempt.
                    self.race(shard, vec![Tried::Unnamed]);
                    self.close(shard);
                }
            }
            Piece::Later(asked, token, late) => self.take_late(asked, token, late),
        }
        self.job.changed.notify_waiters();
    }

    fn take_reply(&mut self, asked: Asked<'a>, reply: ShardReply) {
        let ShardReply { shards: found, records, left_out, rest, quiet } = reply;
        for quiet in quiet {
            if let Some(shard) = asked.shards.get(quiet.index as usize) {
                self.relay.note_quiet(shard, quiet);
            }
        }
        let records = Bytes::from(records);
        let mut signatures = Vec::new();
        for (shard, found) in asked.shards.iter().copied().zip(found) {
            match found {
                ShardOutcome::In(signature) => {
                    signatures.extend(self.accept(shard, read(&signature)));
                }
                ShardOutcome::Silent(searcher) => {
                    self.worst = Ending::Unknown;
                    self.race(shard, vec![Tried::Searcher(searcher)]);
                }
                ShardOutcome::Failed(searcher) => {
                    self.worst = Ending::Unknown;
                    self.relay.note_failure(&searcher);
                    self.race(shard, vec![Tried::Searcher(searcher)]);
                    self.close(shard);
                }
                ShardOutcome::Ended(searcher) => {
                    self.worst = Ending::Unknown;
                    self.relay.note_failure(&searcher);
                    self.job.door.hold();
                    self.race(shard, vec![Tried::Searcher(searcher)]);
                    self.close(shard);
                }
                ShardOutcome::NotAsked => {
                    self.race(shard, Vec::new());
                    self.close(shard);
                }
            }
        }
        self.parts.add_merged(Merged { ip: asked.ip, signatures, records, left_out });
        if rest != 0 {
            self.ask_rest(asked, rest);
        }
    }

    fn take_late(&mut self, asked: Asked<'a>, token: u64, late: Vec<Late>) {
        if late.is_empty() {
            for shard in asked.shards {
                self.close(shard);
            }
            return;
        }
        for Late { index, signature, records, ended } in late {
            if ended {
                self.job.door.hold();
            }
            let Some(shard) = asked.shards.get(index as usize).copied() else { continue };
            match signature {
                Some(signature) => self.arrive(shard, read(&signature), Bytes::from(records)),
                None => self.close(shard),
            }
        }
        self.ask_rest(asked, token);
    }

    /// Takes a shard in with its records, unless it is in already.
    fn arrive(&mut self, shard: &'a Name, signature: Option<HeaderValue>, records: Bytes) {
        if let Some(signature) = self.accept(shard, signature) {
            self.parts.add(signature, records);
        }
    }

    /// Counts a shard that came with a signature, unless it is in already.
    fn accept(&mut self, shard: &'a Name, signature: Option<HeaderValue>) -> Option<HeaderValue> {
        self.open.remove(shard)?;
        if signature.is_some() {
            self.job.tally().arrive();
        } else {
            self.job.tally().miss();
        }
        signature
    }

    /// Notes that one of the ways to a shard has ended without it.
    fn close(&mut self, shard: &'a Name) {
        let Some(ways) = self.open.get_mut(shard) else { return };
        *ways -= 1;
        if *ways == 0 {
            self.open.remove(shard);
            self.job.tally().miss();
        }
    }

    fn cause(&self, late: bool) -> Cause {
        if self.worst.did_not_run() && self.job.tally().arrived() == 0 && self.work.is_empty() {
            Cause::NotRun
        } else if late {
            Cause::Late
        } else {
            Cause::Lost
        }
    }
}

/// Some shards and the member through which they are asked.
struct Group<'a> {
    ip: Ipv4Addr,
    place: Elsewhere,
    shards: Vec<&'a Name>,
}

/// Divides the shards into those to ask directly and those to ask through members.
fn assign<'a>(relay: &Relay, shards: Vec<&'a Name>) -> (Vec<&'a Name>, Vec<Group<'a>>) {
    let mut own = Vec::new();
    let mut places = BTreeMap::<Elsewhere, Vec<&Name>>::new();
    for shard in shards {
        match relay.elsewhere(shard) {
            Some(place) => places.entry(place).or_default().push(shard),
            None => own.push(shard),
        }
    }
    let now = Instant::now();
    let mut groups = Vec::new();
    for (place, shards) in places {
        let helper = relay.with_helpers(|helpers| helpers.choose(&place, now));
        match helper.filter(|_| shards.len() >= relay.settings.policy.delegate.fewest) {
            Some(ip) => groups.push(Group { ip, place, shards }),
            None => own.extend(shards),
        }
    }
    (own, groups)
}

/// Reads a signature that came through a member.
fn read(signature: &[u8]) -> Option<HeaderValue> {
    HeaderValue::from_bytes(signature)
        .map_err(|error| log::error!("relay: event=bad_signature cause=\"{error}\""))
        .ok()
}

fn refuse(relay: &Relay, job: &Job, (cause, obstacle): (Cause, Obstacle), why: &str) -> Reply {
    let request = &job.request.id;
    log::info!("relay: event=refused request={request:?} outcome={cause:?} cause=\"{why}\"");
    Reply::Refused(Refusal { cause, retry_after: Some(relay.retry_after(obstacle)) })
}
