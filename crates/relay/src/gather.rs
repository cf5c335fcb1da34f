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
use bergamot_dispatch::{GatherDecision, RequestTimeouts, Unavailability};
use bergamot_scatter::{Progress, Worker, capacity, divide};
use bergamot_wire::{Late, ShardReply};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::header::HeaderValue;
use rand::RngExt;
use tokio::time::sleep_until;

use crate::admission::Need;
use crate::choice::Choice;
use crate::delegate::CallError;
use crate::delegates::DelegateMember;
use crate::left_out::LeftOut;
use crate::location::Location;
use crate::member_query::{MemberGroup, MemberQuery};
use crate::message::{Job, MergedResponse, Reply, SearcherResponse};
use crate::partial_results::PartialResults;
use crate::quarantine::TrialResponse;
use crate::race::{Race, RaceFailure, RacePlan};
use crate::refusal::{Reason, Rejection};
use crate::relay::Relay;
use crate::selection::Selection;

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
    let trial = trial_response.as_ref().map(|trial| &trial.service);
    let answered = gather.shards.iter().position(|shard| Some(shard) == trial);
    let select = || Selection::new(relay, job, gather, answered, timeouts);
    let mut selection = select();
    let served = selection.served();
    if served < fewest {
        let withheld = relay.count_withheld(&gather.shards, &job.constraints);
        let unavailability = relay.searcher_unavailability(&gather.shards, &job.constraints);
        let cause = format!("{served} of {fewest} shards have a searcher, withheld: {withheld}");
        return refuse(relay, job, Reason::NoSearcher, false, unavailability, cause);
    }
    let mut backlog = selection.backlog(relay, job, gather, timeouts);
    let need = Need { services: &gather.shards, fewest, has_run: job.may_have_run() };
    let mut ticket = match relay.request_admission(job, need, timeouts, backlog.is_some()).await {
        Ok(ticket) => ticket,
        Err(refusal) => return refusal,
    };
    if ticket.has_waited {
        selection = select();
        backlog = selection.backlog(relay, job, gather, timeouts);
    }
    if let Some(rejection) = backlog
        && !ticket.is_granted
    {
        return relay.refuse(&**job, rejection);
    }
    let timeouts = ticket.delay(timeouts);
    let mut state = GatherState::new(relay, job, gather, timeouts);
    state.leave_out(selection.left_out);
    state.start(selection.choices, trial_response);
    let target = job.request.received + timeouts.target;
    let recall_at = state.recall_at();
    let (mut late, mut is_recalled) = (false, false);
    loop {
        // The lock on the tally is released before the decision is handled.
        let decision = job.tally().decide(late);
        if !job.tally().is_below_coverage() {
            ticket.record_coverage(job.busy() > gather.shards.len() - fewest);
        }
        match decision {
            GatherDecision::Wait => {}
            GatherDecision::Answer => break,
            GatherDecision::Fail => {
                let missing = job.tally().not_arrived();
                let cause = format!("{missing} shards missing, coverage below the minimum");
                let unavailability = Unavailability::Transient;
                return refuse(relay, job, Reason::Coverage, late, unavailability, cause);
            }
        }
        tokio::select! {
            biased;
            Some(result) = state.work.next() => state.handle_result(result),
            () = sleep_until(target.into()), if !late => late = true,
            () = sleep_until(recall_at.into()), if !is_recalled => {
                is_recalled = true;
                // The lock is released before the shards are recalled, which takes it again.
                let needed = job.tally().needed();
                state.recall(needed);
            }
        }
    }
    let GatherState { parts, plan, .. } = &mut state;
    let records = Bytes::from(parts.merge(relay, job, gather, plan).await);
    if job.tally().arrived() < fewest {
        let cause = "records left out of a member reply could not be fetched".to_owned();
        let unavailability = Unavailability::Transient;
        return refuse(relay, job, Reason::Records, false, unavailability, cause);
    }
    let missing = job.tally().not_arrived();
    if missing > 0 {
        let left_out = state.progress.pending().map(|shard| Name::clone(state.name(shard)));
        let left_out = left_out.collect();
        job.left_out.get_or_init(|| left_out);
        state.log_left_out();
    }
    Reply::Merged(MergedResponse { signatures: state.parts.into_signatures(), missing, records })
}

/// The parts received so far and the operations in progress.
pub(crate) struct GatherState<'a> {
    pub(crate) relay: &'a Arc<Relay>,
    pub(crate) job: &'a Arc<Job>,
    pub(crate) gather: &'a Gather,
    pub(crate) plan: RacePlan,
    /// The shards that were left out and can still be asked for, the slowest first.
    pub(crate) left_out: Vec<LeftOut>,
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
            left_out: Vec::new(),
            parts: PartialResults::default(),
            work: PendingWork::new(),
            progress: Progress::new(gather.shards.len()),
            queries: Vec::new(),
        }
    }

    /// Asks for all shards, given the searcher chosen for each.
    fn start(&mut self, choices: Vec<Option<Choice>>, trial_response: Option<TrialResponse>) {
        if let Some(TrialResponse { service, response }) = trial_response
            && let Some(at) = self.gather.shards.iter().position(|shard| *shard == service)
        {
            self.add_part(at, response.signature, response.body);
        }
        // With a single attempt allowed, shards that a member misses could not be asked again.
        let may_delegate = self.relay.settings.policy.delegate.on && self.job.max_attempts > 1;
        let mut first = Vec::with_capacity(choices.len());
        let mut locations = BTreeMap::<Option<Location>, Vec<usize>>::new();
        for (shard, choice) in choices.into_iter().enumerate() {
            let location = choice.as_ref().filter(|_| may_delegate);
            let location = location.and_then(|choice| self.relay.location(&choice.link));
            first.push(choice);
            if self.progress.is_pending(shard) {
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
            let choice = first[shard].take();
            let is_busy = choice.as_ref().is_some_and(|choice| choice.is_busy);
            self.job.record_busy(usize::from(is_busy));
            let first = choice.map(|choice| choice.link);
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
            WorkResult::Race(shard, Err(_failure)) => self.end_source(shard),
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
            let lacking = self.job.tally().lacking();
            self.recall(lacking);
        }
    }
}

fn refuse(
    relay: &Relay,
    job: &Job,
    reason: Reason,
    late: bool,
    unavailability: Unavailability,
    description: String,
) -> Reply {
    let retry_after = Some(relay.retry_after(unavailability));
    let cause = job.failure_cause(late);
    let rejection = Rejection { cause, reason, description, fields: String::new(), retry_after };
    relay.refuse(job, rejection)
}
