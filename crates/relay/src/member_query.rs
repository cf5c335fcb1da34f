//! Queries to members for shards of a gathered request: sending them, and what their replies imply.
//!
//! `bergamot-scatter` decides which attempts follow from a reply, its delay or its absence; this
//! module applies these decisions. See [`crate::delegate`] for the calls.

use std::net::Ipv4Addr;
use std::time::Instant;

use bergamot_answer::is_signature;
use bergamot_base::Name;
use bergamot_dispatch::AttemptPriority;
use bergamot_registry::Incarnation;
use bergamot_scatter::{Next, Outcome, Query, ReplyDelay, Schedule, Steps};
use bergamot_wire::{Late, ShardOutcome, ShardReply};
use bytes::Bytes;
use hyper::header::HeaderValue;
use tokio::time::sleep_until;

use crate::delegate::{self, CallError, RecordLimits};
use crate::gather::{GatherState, WorkResult};
use crate::location::Location;
use crate::partial_results::MemberPart;
use crate::race::{RacePlan, TriedSearcher};

/// The copies of a request's body that a query to a member makes: its message, and the buffer from which
/// that is sent.
const QUERY_COPIES: usize = 2;

/// A query to a member.
pub(crate) struct MemberQuery {
    ip: Ipv4Addr,
    query: Query,
    /// When the reply arrives at the latest if nothing delays it.
    expected_reply: Instant,
}

/// Shards and the member through which they are queried.
pub(crate) struct MemberGroup {
    pub(crate) ip: Ipv4Addr,
    pub(crate) location: Location,
    pub(crate) shards: Vec<usize>,
}

impl GatherState<'_> {
    pub(crate) fn query_member(&mut self, group: MemberGroup) {
        let MemberGroup { ip, location, shards } = group;
        let (relay, job, deadline) = (self.relay, self.job, self.plan.deadline);
        let names = shards.iter().map(|shard| Name::clone(self.name(*shard))).collect();
        let top_k = self.gather.top_k;
        let sufficient = relay.initial_record_count(top_k, shards.len(), self.gather.shards.len());
        let Schedule { answer_within, expected_reply, overdue_at } = self.schedule(&location);
        let limits = RecordLimits { top_k, sufficient };
        let number = self.queries.len();
        let query = Query::send(&shards, &mut self.progress);
        self.queries.push(MemberQuery { ip, query, expected_reply });
        job.record_exposure();
        let copies = QUERY_COPIES * job.request.body.len() + job.head_memory;
        let copies = match relay.request_memory().hold(copies) {
            Ok(copies) => copies,
            Err(exhausted) => {
                let error = CallError::NotSent { cause: exhausted.to_string() };
                self.work.push(Box::pin(async move { WorkResult::Reply(number, Err(error)) }));
                return;
            }
        };
        let request = delegate::build_query(job, names, limits, answer_within, deadline);
        self.work.push(Box::pin(async move {
            let reply = delegate::query_shards(relay, job, ip, request, overdue_at, deadline);
            let reply = reply.await;
            drop(copies);
            WorkResult::Reply(number, reply)
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

    pub(crate) fn handle_overdue(&mut self, query: usize) {
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

    pub(crate) fn handle_failure(&mut self, query: usize, error: &CallError) {
        let MemberQuery { ip, query, .. } = &mut self.queries[query];
        let (request, ip) = (&self.job.request.id, *ip);
        log::info!("relay: event=helper_failed request={request:?} member={ip} cause=\"{error}\"");
        self.relay.with_delegates(|delegates| delegates.record_failure(ip));
        let may_have_run = matches!(error, CallError::NoReply { .. });
        if !may_have_run {
            self.job.record_not_run();
        }
        let steps = query.fail(may_have_run, &self.progress);
        let lost = steps.ended.clone();
        self.take_steps(steps, &lost);
    }

    pub(crate) fn handle_reply(&mut self, query: usize, reply: ShardReply) {
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
        if rest == 0 && ran_nowhere(asked, &outcomes) {
            self.job.record_not_run();
        }
        let arrived = outcomes.iter().enumerate();
        let arrived = arrived.filter(|(_, outcome)| matches!(outcome, ShardOutcome::In(_)));
        let arrived = arrived.filter_map(|(position, _)| asked.shard(position));
        let shards: Vec<usize> = arrived.collect();
        let part =
            MemberPart { ip: *ip, shards, signatures, records: Bytes::from(records), left_out };
        self.add_merged_part(part);
        let is_accepted = self.job.tally().arrived() > 0;
        let read = |outcome| self.read_outcome(outcome, is_accepted, rest == 0);
        let outcomes = outcomes.into_iter().map(read).collect();
        let mut steps = self.queries[query].query.reply(outcomes, &self.progress);
        let lost = steps.ended.clone();
        if !is_accepted {
            self.retry_rejected(&mut steps, rest == 0);
        }
        self.take_steps(steps, &lost);
        if rest != 0 {
            self.fetch_late_shards(query, rest);
        } else {
            self.end_query(query);
        }
    }

    /// Applies what the outcome of a shard at a member says of its searcher. `is_final` is whether the
    /// member delivers nothing more: a silent searcher has rejected the request then, and otherwise one
    /// that failed may have, since the member doesn't know yet whether another shard accepts it.
    fn read_outcome(
        &self,
        outcome: ShardOutcome,
        is_accepted: bool,
        is_final: bool,
    ) -> Outcome<Incarnation> {
        match outcome {
            ShardOutcome::In(_) => Outcome::Arrived,
            ShardOutcome::Silent(searcher) => {
                if is_accepted && is_final {
                    self.relay.record_searcher_failure(&searcher);
                }
                Outcome::Silent(searcher)
            }
            ShardOutcome::Failed(searcher) => {
                if is_accepted || is_final {
                    self.relay.record_searcher_failure(&searcher);
                }
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

    /// Takes the additional attempts for shards whose searchers may have rejected the request out of
    /// `steps`, and makes each once it is known that the request is not at fault.
    fn retry_rejected(&mut self, steps: &mut Steps<Incarnation>, is_final: bool) {
        let Steps { attempts, ended } = steps;
        let doubtful = attempts.extract_if(.., |(shard, next)| {
            let has_failed = ended.contains(shard);
            has_failed != is_final && matches!(next, Next::After(_))
        });
        for (shard, next) in doubtful.collect::<Vec<_>>() {
            let Next::After(searcher) = next else { continue };
            let plan = RacePlan {
                tried: vec![TriedSearcher::Known(searcher)],
                hedge_at: None,
                is_doubtful: true,
                ..self.plan.clone()
            };
            self.start_race(shard, plan);
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
        // Shards that were left out can replace some that fail.
        let possible = self.progress.possible_without(lost) + self.left_out.len();
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

    pub(crate) fn handle_late(&mut self, query: usize, token: u64, late: Vec<Late>) {
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
}

/// Returns whether a member's reply states of every shard of its query that no searcher was asked.
fn ran_nowhere(asked: &Query, outcomes: &[ShardOutcome]) -> bool {
    outcomes.len() == asked.owed().len()
        && outcomes.iter().all(|outcome| *outcome == ShardOutcome::NotAsked)
}

/// Parses the signatures of the shards in a member's reply; `None` if any is malformed.
fn parse_signatures(outcomes: &[ShardOutcome]) -> Option<Vec<HeaderValue>> {
    let signatures = outcomes.iter().filter_map(|outcome| match outcome {
        ShardOutcome::In(signature) => Some(parse_signature(signature)),
        _ => None,
    });
    signatures.collect()
}

/// Parses a signature received from a member, whose version may take others for signatures.
fn parse_signature(signature: &[u8]) -> Option<HeaderValue> {
    if !is_signature(signature) {
        log::error!("relay: event=bad_signature cause=\"none or several\"");
        return None;
    }
    HeaderValue::from_bytes(signature)
        .map_err(|error| log::error!("relay: event=bad_signature cause=\"{error}\""))
        .ok()
}
