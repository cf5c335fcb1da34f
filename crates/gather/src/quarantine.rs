//! Detection and quarantine of queries that crash searchers.
//!
//! The rules are those of `bergamot-quarantine`, as for forwarded requests
//! (`docs/design/0014-fatal-requests.md`). Each gather grants trials on its own: a searcher has few
//! homes, which bounds the number of concurrent trials.

use std::sync::Arc;
use std::time::Instant;

use bergamot_base::{Deadline, Name, Shard};
use bergamot_quarantine::{CheckStep, CrashCheck, Fingerprint, Standing, Strike};
use bergamot_query::{Reason, Shape};
use bergamot_upstream::{Client, Reuse};

use crate::service::Inner;
use crate::shard::{self, ShardResult, SubQueryContext};

/// The part of the remaining time that a searcher has to answer the check for a crash, so that the
/// retry still has time if it runs but doesn't answer.
const CHECK_TIME_DIVISOR: u32 = 3;

/// Returns the fingerprint of a query to a service.
pub(crate) fn fingerprint(service: &str, shape: &Shape) -> Fingerprint {
    Fingerprint::of("search", service, shape.to_string().as_bytes())
}

/// Returns the name of a shard in the quarantine records that members exchange.
fn shard_name(context: &SubQueryContext, shard: Shard) -> Name {
    let position = context.assignment.current.document.shards[shard].position;
    Name::from(format!("shard-{position}"))
}

impl Inner {
    /// Checks, after a connection to a searcher was lost, whether the searcher has crashed. If so,
    /// records a strike against the query and returns true.
    pub(crate) async fn check_for_crash(
        &self,
        context: &SubQueryContext,
        shard: Shard,
        client: &Arc<Client>,
        trial: bool,
    ) -> bool {
        if !has_crashed(client, context.deadline).await {
            return false;
        }
        let (address, run) = (client.address().to_string(), client.health().run().cloned());
        let run = run.unwrap_or_else(|| Name::from(""));
        let strike = if trial {
            Strike::from_trial(context.id.as_bytes(), &format!("{address} {run}"))
        } else {
            Strike::from_fan_out(context.id.as_bytes())
        };
        let (now, quarantine) = (Instant::now(), self.node.quarantine());
        quarantine.record_strike(now, context.fingerprint, strike, &shard_name(context, shard));
        log::warn!(
            "gather: Searcher {address} crashed under query {} (fingerprint {}, trial {trial}).",
            context.id,
            context.fingerprint
        );
        true
    }

    /// Queries the shards of a sub-query: concurrently if the query is trusted, after a trial at
    /// one shard if it is suspect, and not at all if it is condemned.
    pub(crate) async fn run_shards(
        &self,
        context: &SubQueryContext,
        shards: &[Shard],
    ) -> Vec<ShardResult> {
        let quarantine = self.node.quarantine();
        let results = match quarantine.standing(Instant::now(), || context.fingerprint) {
            Standing::Trusted => {
                let queries =
                    shards.iter().map(|shard| shard::run_shard(self, context, *shard, false));
                futures::future::join_all(queries).await
            }
            Standing::Suspect(affected) => self.run_with_trial(context, shards, &affected).await,
            Standing::Condemned(_) => shards.iter().map(|_| withheld_result()).collect(),
        };
        if quarantine.has_records() {
            let answered = shards.iter().zip(&results).filter(|(_, result)| result.result.is_ok());
            let answered: Vec<Name> =
                answered.map(|(shard, _)| shard_name(context, *shard)).collect();
            if quarantine.record_answer(context.fingerprint, &answered) {
                log::info!(
                    "gather: Query {} was answered; its quarantine record is cleared.",
                    context.id
                );
            }
        }
        results
    }

    /// Runs a trial at one searcher of an affected shard, and queries the other shards only if it
    /// was answered.
    async fn run_with_trial(
        &self,
        context: &SubQueryContext,
        shards: &[Shard],
        affected: &[Name],
    ) -> Vec<ShardResult> {
        let is_affected = |shard: &Shard| affected.contains(&shard_name(context, *shard));
        let trial_index = shards.iter().position(is_affected).unwrap_or(0);
        let granted = self.node.quarantine().grant_trial(Instant::now(), context.fingerprint);
        if shards.is_empty() || !granted {
            return shards.iter().map(|_| withheld_result()).collect();
        }
        let trial = shard::run_shard(self, context, shards[trial_index], true).await;
        if trial.result.is_err() {
            let mut results: Vec<ShardResult> = shards.iter().map(|_| withheld_result()).collect();
            results[trial_index] = trial;
            return results;
        }
        let rest = shards.iter().enumerate().filter(|(index, _)| *index != trial_index);
        let queries = rest.map(|(_, shard)| shard::run_shard(self, context, *shard, false));
        let mut results = futures::future::join_all(queries).await;
        results.insert(trial_index, trial);
        results
    }
}

/// Checks whether a searcher has crashed by dialling it and, if that is not conclusive, by
/// requesting its status.
async fn has_crashed(client: &Arc<Client>, deadline: Deadline) -> bool {
    let now = Instant::now();
    let answer_by = Deadline::after(now, deadline.remaining(now) / CHECK_TIME_DIVISOR);
    let mut check = CrashCheck::default();
    loop {
        match check.next_step() {
            CheckStep::Dial => check.record_dial(client.pool().searcher_exited().await),
            CheckStep::RequestStatus => {
                check.record_status(is_status_answered(client, answer_by).await);
            }
            CheckStep::Complete { crashed } => return crashed,
        }
    }
}

/// Requests a searcher's status on a new connection: a kept one may have ended with the process
/// although the listener is still open.
async fn is_status_answered(client: &Arc<Client>, deadline: Deadline) -> bool {
    let Ok(lease) = client.pool().lease(deadline, Reuse::Never).await else {
        return false;
    };
    // The connection that was returned last is leased first.
    lease.release().await;
    client.status(deadline).await.is_ok()
}

/// The result of a shard that is not queried because of the quarantine.
fn withheld_result() -> ShardResult {
    ShardResult { result: Err(Reason::Withheld), attempts: 0 }
}
