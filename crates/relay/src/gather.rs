//! Scatter-gather: sends one request to every shard and merges the responses.
//!
//! Shards whose best searcher is remote are queried through a member near it ([`crate::delegate`]),
//! all others directly. Invariant: all shards are from one declaration, each is included at most
//! once, and the response states how many are missing.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_declaration::Gather;
use bergamot_dispatch::{Ending, GatherDecision, RequestTimeouts, Unavailability, admit};
use bergamot_wire::{Late, ShardOutcome, ShardReply};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::header::HeaderValue;
use rand::RngExt;
use tokio::time::sleep_until;

use crate::delegate::{self, RecordLimits, RemoteLocation};
use crate::message::{Cause, Job, MergedResponse, Refusal, Reply, SearcherResponse};
use crate::partial_results::{MemberPart, PartialResults};
use crate::quarantine::TrialResponse;
use crate::race::{Race, RaceFailure, RacePlan, TriedSearcher};
use crate::relay::Relay;

/// The result of one of the concurrent operations.
enum WorkResult<'a> {
    /// The result of the attempts for one shard.
    Searcher(&'a Name, Result<SearcherResponse, RaceFailure>),
    /// The reply of a member.
    Member(MemberQuery<'a>, Option<ShardReply>),
    /// Shards that arrived at a member after its reply.
    LateShards(MemberQuery<'a>, u64, Vec<Late>),
}

/// A query to a member.
struct MemberQuery<'a> {
    ip: Ipv4Addr,
    shards: Vec<&'a Name>,
    /// The shards that the member may deliver after its reply.
    owed: HashSet<&'a Name>,
}

/// The operations in progress.
type PendingWork<'a> = FuturesUnordered<BoxFuture<'a, WorkResult<'a>>>;

/// Sends a request to all shards and merges the responses.
pub(crate) async fn gather(
    relay: &Arc<Relay>,
    job: &Arc<Job>,
    gather: &Gather,
    timeouts: RequestTimeouts,
    trial_response: Option<TrialResponse>,
) -> Reply {
    let fewest = gather.min_shards();
    let mut delays = relay.expected_delays(&gather.shards, &job.constraints);
    if delays.len() < fewest {
        let served = delays.len();
        let withheld = relay.count_withheld(&gather.shards, &job.constraints);
        let unavailability = relay.searcher_unavailability(&gather.shards, &job.constraints);
        let cause = format!("{served} of {fewest} shards have a searcher, withheld: {withheld}");
        return refuse(relay, job, (Cause::NotRun, unavailability), &cause);
    }
    let policy = &relay.settings.policy.admit;
    let admitted = admit(&mut delays, fewest, timeouts.target, policy, rand::rng().random());
    if let Err(excess) = admitted {
        let cause = "expected delay at the searchers exceeds the target latency";
        return refuse(relay, job, (Cause::NotRun, Unavailability::Backlog(excess)), cause);
    }
    for shard in &gather.shards {
        relay.credit_retry_budget(shard);
    }
    let mut state = GatherState::start(relay, job, gather, timeouts, trial_response);
    let target = job.request.received + timeouts.target;
    let mut late = false;
    loop {
        // The lock on the tally is released before the decision is handled.
        let decision = job.tally().decide(late);
        match decision {
            GatherDecision::Wait => {}
            GatherDecision::Answer => break,
            GatherDecision::Fail => {
                let missing = job.tally().not_arrived();
                let cause = format!("{missing} shards missing, coverage below the minimum");
                return refuse(
                    relay,
                    job,
                    (state.failure_cause(late), Unavailability::Transient),
                    &cause,
                );
            }
        }
        tokio::select! {
            biased;
            Some(result) = state.work.next() => state.handle_result(result),
            () = sleep_until(target.into()), if !late => late = true,
        }
    }
    let GatherState { parts, plan, .. } = &mut state;
    let records = Bytes::from(parts.merge(relay, job, gather.top_k, plan.deadline).await);
    if job.tally().arrived() < fewest {
        let cause = "records left out of a member reply could not be fetched";
        return refuse(relay, job, (Cause::Lost, Unavailability::Transient), cause);
    }
    let missing = job.tally().not_arrived();
    if missing > 0 {
        let left_out = state.sources.keys().map(|shard| Name::clone(shard)).collect();
        job.left_out.get_or_init(|| left_out);
    }
    Reply::Merged(MergedResponse { signatures: state.parts.into_signatures(), missing, records })
}

/// The parts received so far and the operations in progress.
struct GatherState<'a> {
    relay: &'a Arc<Relay>,
    job: &'a Arc<Job>,
    plan: RacePlan,
    worst_ending: Ending,
    parts: PartialResults,
    work: PendingWork<'a>,
    /// For each shard not yet received, the number of operations (race, member query) that may
    /// still deliver it.
    sources: HashMap<&'a Name, u32>,
}

impl<'a> GatherState<'a> {
    fn start(
        relay: &'a Arc<Relay>,
        job: &'a Arc<Job>,
        gather: &'a Gather,
        timeouts: RequestTimeouts,
        trial_response: Option<TrialResponse>,
    ) -> Self {
        let plan = RacePlan::new(job, timeouts, &relay.settings.policy);
        let (worst_ending, work) = (Ending::NotSent, PendingWork::new());
        let (parts, sources) = (PartialResults::default(), HashMap::new());
        let mut state = Self { relay, job, plan, worst_ending, parts, work, sources };
        let mut shards: Vec<&Name> = gather.shards.iter().collect();
        if let Some(TrialResponse { service, response }) = trial_response
            && let Some(at) = shards.iter().position(|shard| **shard == service)
        {
            let shard = shards.remove(at);
            state.sources.insert(shard, 1);
            state.add_part(shard, response.signature, response.body);
        }
        // With a single attempt allowed, shards that a member misses could not be asked again.
        let may_delegate = relay.settings.policy.delegate.on && job.max_attempts > 1;
        let (direct, groups) =
            if may_delegate { partition_shards(relay, job, shards) } else { (shards, Vec::new()) };
        for shard in direct {
            state.start_race(shard, Vec::new());
        }
        for group in groups {
            state.query_member(group, gather);
        }
        state
    }

    fn start_race(&mut self, shard: &'a Name, tried: Vec<TriedSearcher>) {
        let mut plan = self.plan.clone();
        if !tried.is_empty() {
            plan.hedge_at = None;
        }
        *self.sources.entry(shard).or_default() += 1;
        let race = Race::new(self.relay, self.job, shard, RacePlan { tried, ..plan });
        self.work.push(Box::pin(async move { WorkResult::Searcher(shard, race.run().await) }));
    }

    fn query_member(&mut self, group: MemberGroup<'a>, gather: &Gather) {
        let MemberGroup { ip, location, shards } = group;
        let (relay, job, plan) = (self.relay, self.job, self.plan.clone());
        for shard in &shards {
            *self.sources.entry(shard).or_default() += 1;
        }
        let names = shards.iter().map(|shard| Name::clone(shard)).collect();
        let (top_k, all) = (gather.top_k, gather.shards.len());
        let sufficient = relay.initial_record_count(top_k, shards.len(), all);
        self.work.push(Box::pin(async move {
            let reply = delegate::query_shards(
                relay,
                job,
                (ip, &location),
                names,
                RecordLimits { top_k, sufficient },
                &plan,
            )
            .await;
            WorkResult::Member(MemberQuery { ip, shards, owed: HashSet::new() }, reply)
        }));
    }

    /// Fetches the shards that arrived at a member after its reply.
    fn fetch_late_shards(&self, query: MemberQuery<'a>, token: u64) {
        let (relay, deadline) = (self.relay, self.plan.deadline);
        self.work.push(Box::pin(async move {
            let late = (relay.helping().rest)(query.ip, token, deadline).await;
            let late = late.unwrap_or_else(|cause| {
                let ip = query.ip;
                log::info!("relay: event=helper_failed member={ip} cause=\"{cause}\"");
                Vec::new()
            });
            WorkResult::LateShards(query, token, late)
        }));
    }

    fn handle_result(&mut self, result: WorkResult<'a>) {
        match result {
            WorkResult::Searcher(shard, Ok(response)) => {
                self.add_part(shard, response.signature, response.body);
            }
            WorkResult::Searcher(shard, Err(failure)) => {
                self.worst_ending = self.worst_ending.max(failure.ending);
                self.source_ended(shard);
            }
            WorkResult::Member(query, Some(reply)) => self.handle_reply(query, reply),
            WorkResult::Member(query, None) => {
                for shard in query.shards {
                    // The searcher that the member asked is unknown; it counts as one attempt.
                    self.start_race(shard, vec![TriedSearcher::Unidentified]);
                    self.source_ended(shard);
                }
            }
            WorkResult::LateShards(query, token, late) => self.handle_late(query, token, late),
        }
        self.job.tally_changed.notify_waiters();
    }

    fn handle_reply(&mut self, mut query: MemberQuery<'a>, reply: ShardReply) {
        let ShardReply { shards: outcomes, records, left_out, rest, quiet } = reply;
        for quiet in quiet {
            if let Some(shard) = query.shards.get(quiet.index as usize) {
                self.relay.apply_reported_stall(shard, quiet);
            }
        }
        let records = Bytes::from(records);
        let mut signatures = Vec::new();
        for (shard, outcome) in query.shards.iter().copied().zip(outcomes) {
            match outcome {
                ShardOutcome::In(signature) => {
                    signatures.extend(self.record_part(shard, parse_signature(&signature)));
                }
                ShardOutcome::Silent(searcher) => {
                    query.owed.insert(shard);
                    self.worst_ending = Ending::Unknown;
                    self.start_race(shard, vec![TriedSearcher::Known(searcher)]);
                }
                ShardOutcome::Failed(searcher) => {
                    self.worst_ending = Ending::Unknown;
                    self.relay.record_searcher_failure(&searcher);
                    self.start_race(shard, vec![TriedSearcher::Known(searcher)]);
                    self.source_ended(shard);
                }
                ShardOutcome::Ended(searcher) => {
                    self.worst_ending = Ending::Unknown;
                    self.relay.record_searcher_failure(&searcher);
                    self.job.retry_gate.record_crash();
                    self.start_race(shard, vec![TriedSearcher::Known(searcher)]);
                    self.source_ended(shard);
                }
                ShardOutcome::NotAsked => {
                    self.start_race(shard, Vec::new());
                    self.source_ended(shard);
                }
            }
        }
        self.parts.add_merged(MemberPart { ip: query.ip, signatures, records, left_out });
        if rest != 0 {
            self.fetch_late_shards(query, rest);
        }
    }

    fn handle_late(&mut self, mut query: MemberQuery<'a>, token: u64, late: Vec<Late>) {
        if late.is_empty() {
            for shard in query.owed {
                self.source_ended(shard);
            }
            return;
        }
        for Late { index, signature, records, ended } in late {
            if ended {
                self.job.retry_gate.record_crash();
            }
            let shard = query.shards.get(index as usize).copied();
            let Some(shard) = shard.filter(|shard| query.owed.remove(shard)) else { continue };
            match signature {
                Some(signature) => {
                    self.add_part(shard, parse_signature(&signature), Bytes::from(records));
                }
                None => self.source_ended(shard),
            }
        }
        self.fetch_late_shards(query, token);
    }

    /// Adds the records of a shard, unless the shard is already included.
    fn add_part(&mut self, shard: &'a Name, signature: Option<HeaderValue>, records: Bytes) {
        if let Some(signature) = self.record_part(shard, signature) {
            self.parts.add(signature, records);
        }
    }

    /// Counts a shard received with a signature, unless it is already included.
    fn record_part(
        &mut self,
        shard: &'a Name,
        signature: Option<HeaderValue>,
    ) -> Option<HeaderValue> {
        self.sources.remove(shard)?;
        if signature.is_some() {
            self.job.tally().record_arrived();
        } else {
            self.job.tally().record_missing();
        }
        signature
    }

    /// Records that one of the sources of a shard ended without delivering it.
    fn source_ended(&mut self, shard: &'a Name) {
        let Some(remaining) = self.sources.get_mut(shard) else { return };
        *remaining -= 1;
        if *remaining == 0 {
            self.sources.remove(shard);
            self.job.tally().record_missing();
        }
    }

    fn failure_cause(&self, late: bool) -> Cause {
        if self.worst_ending.did_not_run()
            && self.job.tally().arrived() == 0
            && self.work.is_empty()
        {
            Cause::NotRun
        } else if late {
            Cause::Late
        } else {
            Cause::Lost
        }
    }
}

/// Shards and the member through which they are queried.
struct MemberGroup<'a> {
    ip: Ipv4Addr,
    location: RemoteLocation,
    shards: Vec<&'a Name>,
}

/// Partitions the shards into those queried directly and those queried through members.
fn partition_shards<'a>(
    relay: &Relay,
    job: &Job,
    shards: Vec<&'a Name>,
) -> (Vec<&'a Name>, Vec<MemberGroup<'a>>) {
    let mut direct = Vec::new();
    let mut locations = BTreeMap::<RemoteLocation, Vec<&Name>>::new();
    for shard in shards {
        match relay.remote_location(shard, &job.constraints) {
            Some(location) => locations.entry(location).or_default().push(shard),
            None => direct.push(shard),
        }
    }
    let (now, residency) = (Instant::now(), &job.constraints.residency);
    let mut groups = Vec::new();
    for (location, shards) in locations {
        let member = relay.with_delegates(|delegates| delegates.choose(&location, residency, now));
        match member.filter(|_| shards.len() >= relay.settings.policy.delegate.fewest) {
            Some(ip) => groups.push(MemberGroup { ip, location, shards }),
            None => direct.extend(shards),
        }
    }
    (direct, groups)
}

/// Parses a signature received from a member.
fn parse_signature(signature: &[u8]) -> Option<HeaderValue> {
    HeaderValue::from_bytes(signature)
        .map_err(|error| log::error!("relay: event=bad_signature cause=\"{error}\""))
        .ok()
}

fn refuse(
    relay: &Relay,
    job: &Job,
    (cause, unavailability): (Cause, Unavailability),
    why: &str,
) -> Reply {
    let request = &job.request.id;
    log::info!("relay: event=refused request={request:?} outcome={cause:?} cause=\"{why}\"");
    Reply::Refused(Refusal { cause, retry_after: Some(relay.retry_after(unavailability)) })
}
