//! Scatter-gather: sends one request to every shard and merges the responses.
//!
//! Shards whose best searcher is remote are queried through a member near it ([`crate::delegate`]),
//! all others directly. Invariant: all shards are from one declaration, each is included at most
//! once, and the response states how many are missing.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use bergamot_base::Name;
use bergamot_declaration::Gather;
use bergamot_dispatch::{Ending, GatherDecision, RequestTimeouts, Unavailability, admit};
use bergamot_scatter::{Progress, Worker, capacity, divide};
use bergamot_wire::{Late, ShardReply};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::header::HeaderValue;
use rand::RngExt;
use tokio::time::sleep_until;

use crate::choice::Choice;
use crate::delegate::CallError;
use crate::delegates::DelegateMember;
use crate::location::Location;
use crate::member_query::{MemberGroup, MemberQuery};
use crate::message::{Cause, Job, MergedResponse, Refusal, Reply, SearcherResponse};
use crate::partial_results::PartialResults;
use crate::quarantine::TrialResponse;
use crate::race::{Race, RaceFailure, RacePlan};
use crate::relay::Relay;

/// The result of one of the concurrent operations. Shards and queries are given by their index.
pub(crate) enum WorkResult {
    /// The result of the attempts for one shard.
    Race(usize, Result<SearcherResponse, RaceFailure>),
    /// The end of a query to a member.
    Reply(usize, Result<ShardReply, CallError>),
    /// The reply to a query is overdue.
    Overdue(usize),
    /// Shards that arrived at a member after its reply, and the token for further ones.
    LateShards(usize, u64, Vec<Late>),
}

/// The operations in progress.
type PendingWork<'a> = FuturesUnordered<BoxFuture<'a, WorkResult>>;

/// Sends a request to all shards and merges the responses.
pub(crate) async fn gather(
    relay: &Arc<Relay>,
    job: &Arc<Job>,
    gather: &Gather,
    timeouts: RequestTimeouts,
    trial_response: Option<TrialResponse>,
) -> Reply {
    let fewest = gather.min_shards();
    let choices = relay.choose_searchers(&gather.shards, &job.constraints);
    let mut delays: Vec<f64> = choices.iter().flatten().map(|choice| choice.delay).collect();
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
    relay.credit_retry_budgets(&gather.shards);
    let mut state = GatherState::new(relay, job, gather, timeouts);
    state.start(choices, trial_response);
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
    let records = Bytes::from(parts.merge(relay, job, gather, plan).await);
    if job.tally().arrived() < fewest {
        let cause = "records left out of a member reply could not be fetched";
        return refuse(relay, job, (Cause::Lost, Unavailability::Transient), cause);
    }
    let missing = job.tally().not_arrived();
    if missing > 0 {
        let left_out = state.progress.pending().map(|shard| Name::clone(state.name(shard)));
        let left_out = left_out.collect();
        job.left_out.get_or_init(|| left_out);
    }
    Reply::Merged(MergedResponse { signatures: state.parts.into_signatures(), missing, records })
}

/// The parts received so far and the operations in progress.
pub(crate) struct GatherState<'a> {
    pub(crate) relay: &'a Arc<Relay>,
    pub(crate) job: &'a Arc<Job>,
    pub(crate) gather: &'a Gather,
    pub(crate) plan: RacePlan,
    pub(crate) worst_ending: Ending,
    pub(crate) parts: PartialResults,
    pub(crate) work: PendingWork<'a>,
    pub(crate) progress: Progress,
    pub(crate) queries: Vec<MemberQuery>,
}

impl<'a> GatherState<'a> {
    fn new(
        relay: &'a Arc<Relay>,
        job: &'a Arc<Job>,
        gather: &'a Gather,
        timeouts: RequestTimeouts,
    ) -> Self {
        Self {
            relay,
            job,
            gather,
            plan: RacePlan::new(job, timeouts, &relay.settings.policy),
            worst_ending: Ending::NotSent,
            parts: PartialResults::default(),
            work: PendingWork::new(),
            progress: Progress::new(gather.shards.len()),
            queries: Vec::new(),
        }
    }

    /// Asks for all shards, given the searcher chosen for each.
    fn start(&mut self, choices: Vec<Option<Choice>>, trial_response: Option<TrialResponse>) {
        let mut trial = None;
        if let Some(TrialResponse { service, response }) = trial_response
            && let Some(at) = self.gather.shards.iter().position(|shard| *shard == service)
        {
            trial = Some(at);
            self.add_part(at, response.signature, response.body);
        }
        // With a single attempt allowed, shards that a member misses could not be asked again.
        let may_delegate = self.relay.settings.policy.delegate.on && self.job.max_attempts > 1;
        let mut links = Vec::with_capacity(choices.len());
        let mut locations = BTreeMap::<Option<Location>, Vec<usize>>::new();
        for (shard, choice) in choices.into_iter().enumerate() {
            let link = choice.map(|choice| choice.link);
            let location = link.as_ref().filter(|_| may_delegate);
            let location = location.and_then(|link| self.relay.location(link));
            links.push(link);
            if trial != Some(shard) {
                locations.entry(location).or_default().push(shard);
            }
        }
        let mut direct = Vec::new();
        for (location, shards) in locations {
            let Some(location) = location else {
                direct.extend(shards);
                continue;
            };
            let fewest = self.relay.settings.policy.delegate.fewest;
            for (worker, shards) in divide(&shards, &self.workers(&location), fewest) {
                match worker {
                    Some(ip) if shards.len() >= fewest => {
                        let location = location.clone();
                        self.query_member(MemberGroup { ip, location, shards });
                    }
                    Some(_) | None => direct.extend(shards),
                }
            }
        }
        for shard in direct {
            let first = links[shard].take();
            self.start_race(shard, RacePlan { first, ..self.plan.clone() });
        }
    }

    /// Returns who can ask for shards at a location, in the order of preference; `None` stands for
    /// this member, which is the first in its own zone, and asks searchers elsewhere only if no
    /// member there can.
    fn workers(&self, location: &Location) -> Vec<Worker<Option<Ipv4Addr>>> {
        let relay = self.relay;
        let target = self.plan.target.saturating_duration_since(self.job.request.received);
        let policy = &relay.settings.policy.fanout;
        let own =
            Worker { member: None, capacity: capacity(target, relay.settings.weight, policy) };
        let residency = &self.job.constraints.residency;
        let unmeasured = relay.expected_delay(location);
        let mut rng = rand::rng();
        let mut workers: Vec<_> = relay.with_delegates(|delegates| {
            let ranked = delegates.rank(location, residency, unmeasured, || rng.random());
            let worker = |member: &DelegateMember| Worker {
                member: Some(member.ip),
                capacity: capacity(target, member.weight, policy),
            };
            ranked.into_iter().map(worker).collect()
        });
        if *location == relay.own_location() || workers.is_empty() {
            workers.insert(0, own);
        }
        workers
    }

    pub(crate) fn name(&self, shard: usize) -> &'a Name {
        &self.gather.shards[shard]
    }

    pub(crate) fn start_race(&mut self, shard: usize, plan: RacePlan) {
        self.progress.add_attempt(shard);
        let race = Race::new(self.relay, self.job, self.name(shard), plan);
        self.work.push(Box::pin(async move { WorkResult::Race(shard, race.run().await) }));
    }

    fn handle_result(&mut self, result: WorkResult) {
        match result {
            WorkResult::Race(shard, Ok(response)) => {
                self.add_part(shard, response.signature, response.body);
            }
            WorkResult::Race(shard, Err(failure)) => {
                self.worst_ending = self.worst_ending.max(failure.ending);
                self.end_source(shard);
            }
            WorkResult::Reply(query, Ok(reply)) => self.handle_reply(query, reply),
            WorkResult::Reply(query, Err(error)) => self.handle_failure(query, &error),
            WorkResult::Overdue(query) => self.handle_overdue(query),
            WorkResult::LateShards(query, token, late) => self.handle_late(query, token, late),
        }
        self.job.tally_changed.notify_waiters();
    }

    /// Adds the records of a shard, unless the shard is already included.
    pub(crate) fn add_part(
        &mut self,
        shard: usize,
        signature: Option<HeaderValue>,
        records: Bytes,
    ) {
        let Some(signature) = signature else {
            self.end_source(shard);
            return;
        };
        if self.progress.arrive(shard) {
            self.job.tally().record_arrived();
            self.parts.add(shard, signature, records);
        }
    }

    /// Records that an attempt or query ended without delivering a shard.
    pub(crate) fn end_source(&mut self, shard: usize) {
        if self.progress.end_source(shard) {
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
