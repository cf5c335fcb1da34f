//! Scatter-gather: sends one request to every shard and merges the responses.
//!
//! Shards whose best searcher is remote are queried through a member near it ([`crate::delegate`]),
//! all others directly. Invariant: all shards are from one declaration, each is included at most
//! once, and the response states how many are missing.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_declaration::Gather;
use bergamot_dispatch::{
    AttemptPriority, Ending, GatherDecision, RequestTimeouts, Unavailability, admit,
};
use bergamot_registry::Incarnation;
use bergamot_scatter::{
    Next, Outcome, Progress, Query, ReplyDelay, Schedule, Steps, Worker, capacity, divide,
};
use bergamot_wire::{Late, ShardOutcome, ShardReply};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::header::HeaderValue;
use rand::RngExt;
use tokio::time::sleep_until;

use crate::admission::Need;
use crate::choice::Choice;
use crate::delegate::{self, CallError, RecordLimits};
use crate::delegates::DelegateMember;
use crate::location::Location;
use crate::message::{Cause, Job, MergedResponse, Refusal, Reply, SearcherResponse};
use crate::partial_results::{MemberPart, PartialResults};
use crate::quarantine::TrialResponse;
use crate::race::{Race, RaceFailure, RacePlan, TriedSearcher};
use crate::relay::Relay;

/// The result of one of the concurrent operations. Shards and queries are given by their index.
enum WorkResult {
    /// The result of the attempts for one shard.
    Race(usize, Result<SearcherResponse, RaceFailure>),
    /// The end of a query to a member.
    Reply(usize, Result<ShardReply, CallError>),
    /// The reply to a query is overdue.
    Overdue(usize),
    /// Shards that arrived at a member after its reply, and the token for further ones.
    LateShards(usize, u64, Vec<Late>),
}

/// A query to a member.
struct MemberQuery {
    ip: Ipv4Addr,
    query: Query,
    /// When the reply arrives at the latest if nothing delays it.
    expected_reply: Instant,
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
    let has_run = trial_response.is_some();
    let need = Need { services: &gather.shards, fewest, has_run };
    let mut ticket = match relay.request_admission(job, need, timeouts, admitted.is_err()).await {
        Ok(ticket) => ticket,
        Err(refusal) => return refusal,
    };
    if let Err(excess) = admitted
        && !ticket.is_granted
    {
        let cause = "expected delay at the searchers exceeds the target latency";
        return refuse(relay, job, (Cause::NotRun, Unavailability::Backlog(excess)), cause);
    }
    // The choice is outdated if the request was queued.
    let choices = if ticket.is_granted {
        relay.choose_searchers(&gather.shards, &job.constraints)
    } else {
        choices
    };
    let timeouts = ticket.delay(timeouts);
    relay.credit_retry_budgets(&gather.shards);
    let mut state = GatherState::new(relay, job, gather, timeouts);
    state.start(choices, trial_response);
    let target = job.request.received + timeouts.target;
    let mut late = false;
    loop {
        // The lock on the tally is released before the decision is handled.
        let decision = job.tally().decide(late);
        if !job.tally().is_below_coverage() {
            ticket.record_coverage();
        }
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
struct GatherState<'a> {
    relay: &'a Arc<Relay>,
    job: &'a Arc<Job>,
    gather: &'a Gather,
    plan: RacePlan,
    worst_ending: Ending,
    parts: PartialResults,
    work: PendingWork<'a>,
    progress: Progress,
    queries: Vec<MemberQuery>,
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

    fn name(&self, shard: usize) -> &'a Name {
        &self.gather.shards[shard]
    }

    fn start_race(&mut self, shard: usize, plan: RacePlan) {
        self.progress.add_attempt(shard);
        let race = Race::new(self.relay, self.job, self.name(shard), plan);
        self.work.push(Box::pin(async move { WorkResult::Race(shard, race.run().await) }));
    }

    fn query_member(&mut self, group: MemberGroup) {
        let MemberGroup { ip, location, shards } = group;
        let (relay, job, deadline) = (self.relay, self.job, self.plan.deadline);
        let names = shards.iter().map(|shard| Name::clone(self.name(*shard))).collect();
        let top_k = self.gather.top_k;
        let sufficient = relay.initial_record_count(top_k, shards.len(), self.gather.shards.len());
        let Schedule { answer_within, expected_reply, overdue_at } = self.schedule(&location);
        let limits = RecordLimits { top_k, sufficient };
        let request = delegate::build_query(job, names, limits, answer_within, deadline);
        let number = self.queries.len();
        let query = Query::send(&shards, &mut self.progress);
        self.queries.push(MemberQuery { ip, query, expected_reply });
        self.work.push(Box::pin(async move {
            let reply = delegate::query_shards(relay, job, ip, request, overdue_at, deadline);
            WorkResult::Reply(number, reply.await)
        }));
        self.work.push(Box::pin(async move {
            sleep_until(overdue_at.into()).await;
            WorkResult::Overdue(number)
        }));
    }

    /// Returns when a member at a location must reply.
    fn schedule(&self, location: &Location) -> Schedule {
        let delay = ReplyDelay {
            expected: self.relay.expected_delay(location),
            allowance: self.relay.with_delegates(|delegates| delegates.allowance()),
        };
        let least = self.relay.settings.policy.delegate.least;
        Schedule::new(self.plan.expected_response_by, delay, least, Instant::now())
    }

    /// Fetches the shards that arrive at a member after its reply.
    fn fetch_late_shards(&self, query: usize, token: u64) {
        let (relay, deadline, ip) = (self.relay, self.plan.deadline, self.queries[query].ip);
        self.work.push(Box::pin(async move {
            let late = (relay.helping().rest)(ip, token, deadline).await;
            let late = late.unwrap_or_else(|cause| {
                log::info!("relay: event=helper_failed member={ip} cause=\"{cause}\"");
                Vec::new()
            });
            WorkResult::LateShards(query, token, late)
        }));
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

    fn handle_overdue(&mut self, query: usize) {
        let MemberQuery { ip, query, .. } = &self.queries[query];
        let steps = query.overdue(&self.progress);
        if steps.attempts.is_empty() {
            return;
        }
        let (request, shards) = (&self.job.request.id, steps.attempts.len());
        log::info!("relay: event=helper_late request={request:?} member={ip} shards={shards}");
        self.relay.with_delegates(|delegates| delegates.record_failure(*ip));
        let lost = query.owed();
        self.take_steps(steps, &lost);
    }

    fn handle_failure(&mut self, query: usize, error: &CallError) {
        let MemberQuery { ip, query, .. } = &mut self.queries[query];
        let (request, ip) = (&self.job.request.id, *ip);
        log::info!("relay: event=helper_failed request={request:?} member={ip} cause=\"{error}\"");
        self.relay.with_delegates(|delegates| delegates.record_failure(ip));
        let may_have_run = matches!(error, CallError::NoReply { .. });
        if may_have_run {
            self.worst_ending = Ending::Unknown;
        }
        let steps = query.fail(may_have_run, &self.progress);
        let lost = steps.ended.clone();
        self.take_steps(steps, &lost);
    }

    fn handle_reply(&mut self, query: usize, reply: ShardReply) {
        let ShardReply { shards: outcomes, records, left_out, rest, quiet } = reply;
        let Some(signatures) = parse_signatures(&outcomes) else {
            let cause = "malformed signature".to_owned();
            self.handle_failure(query, &CallError::NoReply { cause });
            return;
        };
        let MemberQuery { ip, query: asked, expected_reply } = &self.queries[query];
        if rest != 0 {
            // Without a silent searcher, the reply left before the member had to send it.
            let late = Instant::now().saturating_duration_since(*expected_reply);
            self.relay.with_delegates(|delegates| delegates.record_lateness(late));
        }
        for quiet in quiet {
            if let Some(shard) = asked.shard(quiet.index as usize) {
                self.relay.apply_reported_stall(self.name(shard), quiet);
            }
        }
        let arrived = outcomes.iter().enumerate();
        let arrived = arrived.filter(|(_, outcome)| matches!(outcome, ShardOutcome::In(_)));
        let arrived = arrived.filter_map(|(position, _)| asked.shard(position));
        let shards: Vec<usize> = arrived.collect();
        let part =
            MemberPart { ip: *ip, shards, signatures, records: Bytes::from(records), left_out };
        self.add_merged_part(part);
        let outcomes = outcomes.into_iter().map(|outcome| self.read_outcome(outcome)).collect();
        let steps = self.queries[query].query.reply(outcomes, &self.progress);
        let lost = steps.ended.clone();
        self.take_steps(steps, &lost);
        if rest != 0 {
            self.fetch_late_shards(query, rest);
        } else {
            self.end_query(query);
        }
    }

    /// Applies what the outcome of a shard at a member says of its searcher.
    fn read_outcome(&mut self, outcome: ShardOutcome) -> Outcome<Incarnation> {
        if !matches!(outcome, ShardOutcome::In(_) | ShardOutcome::NotAsked) {
            self.worst_ending = Ending::Unknown;
        }
        match outcome {
            ShardOutcome::In(_) => Outcome::Arrived,
            ShardOutcome::Silent(searcher) => Outcome::Silent(searcher),
            ShardOutcome::Failed(searcher) => {
                self.relay.record_searcher_failure(&searcher);
                Outcome::Failed(searcher)
            }
            ShardOutcome::Ended(searcher) => {
                self.relay.record_searcher_failure(&searcher);
                self.job.retry_gate.record_crash();
                Outcome::Failed(searcher)
            }
            ShardOutcome::NotAsked => Outcome::NotAsked,
        }
    }

    /// Makes the attempts that follow from an event of a query. `lost` are the shards that the
    /// member is expected not to deliver.
    fn take_steps(&mut self, steps: Steps<Incarnation>, lost: &[usize]) {
        let Steps { attempts, ended } = steps;
        let (first, additional): (Vec<_>, Vec<_>) =
            attempts.into_iter().partition(|(_, next)| *next == Next::First);
        for (shard, _) in first {
            self.start_race(shard, self.plan.clone());
        }
        let possible = self.progress.possible_without(lost);
        let needed = self.gather.min_shards().saturating_sub(possible);
        let names: Vec<&Name> = additional.iter().map(|(shard, _)| self.name(*shard)).collect();
        let is_below_coverage = self.job.tally().is_below_coverage();
        let priority =
            if is_below_coverage { AttemptPriority::Required } else { AttemptPriority::Optional };
        let granted = self.relay.spend_group_budget(&names, needed, priority);
        let granted = additional.into_iter().zip(granted).filter(|(_, is_granted)| *is_granted);
        for ((shard, next), _) in granted {
            let tried = match next {
                Next::First => Vec::new(),
                Next::After(searcher) => vec![TriedSearcher::Known(searcher)],
                Next::AfterUnknown => vec![TriedSearcher::Unidentified],
            };
            let plan = self.plan.clone();
            self.start_race(shard, RacePlan { tried, hedge_at: None, is_funded: true, ..plan });
        }
        for shard in ended {
            self.end_source(shard);
        }
    }

    fn handle_late(&mut self, query: usize, token: u64, late: Vec<Late>) {
        if late.is_empty() {
            self.end_query(query);
            return;
        }
        for Late { index, signature, records, ended } in late {
            if ended {
                self.job.retry_gate.record_crash();
            }
            let shard = self.queries[query].query.settle(index as usize);
            let Some(shard) = shard else { continue };
            match signature.as_deref().and_then(parse_signature) {
                Some(signature) => self.add_part(shard, Some(signature), Bytes::from(records)),
                None => self.end_source(shard),
            }
        }
        self.fetch_late_shards(query, token);
    }

    /// Handles that a member delivers nothing more.
    fn end_query(&mut self, query: usize) {
        for shard in self.queries[query].query.end() {
            self.end_source(shard);
        }
    }

    /// Adds the records of a shard, unless the shard is already included.
    fn add_part(&mut self, shard: usize, signature: Option<HeaderValue>, records: Bytes) {
        let Some(signature) = signature else {
            self.end_source(shard);
            return;
        };
        if self.progress.arrive(shard) {
            self.job.tally().record_arrived();
            self.parts.add(shard, signature, records);
        }
    }

    /// Adds the merged reply of a member. Its shards that are already included are taken from the
    /// reply, since its records can't be separated.
    fn add_merged_part(&mut self, part: MemberPart) {
        for shard in &part.shards {
            if self.progress.arrive(*shard) {
                self.job.tally().record_arrived();
            }
        }
        self.parts.add_merged(part);
    }

    /// Records that an attempt or query ended without delivering a shard.
    fn end_source(&mut self, shard: usize) {
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

/// Shards and the member through which they are queried.
struct MemberGroup {
    ip: Ipv4Addr,
    location: Location,
    shards: Vec<usize>,
}

/// Parses the signatures of the shards in a member's reply; `None` if any is malformed.
fn parse_signatures(outcomes: &[ShardOutcome]) -> Option<Vec<HeaderValue>> {
    let signatures = outcomes.iter().filter_map(|outcome| match outcome {
        ShardOutcome::In(signature) => Some(parse_signature(signature)),
        _ => None,
    });
    signatures.collect()
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
