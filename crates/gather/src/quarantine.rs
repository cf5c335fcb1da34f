//! Detection and quarantine of queries that crash searchers.
//!
//! The rules are those of `bergamot-quarantine`, as for forwarded requests
//! (`docs/design/0014-fatal-requests.md`). Each gather grants trials on its own: a searcher has few
//! homes, which bounds the number of concurrent trials.

use std::time::Instant;

use bergamot_base::{Name, Shard};
use bergamot_quarantine::{Fingerprint, Standing, Strike};
use bergamot_query::{Reason, Shape};
use bergamot_upstream::Client;

use crate::service::Inner;
use crate::shard::{self, ShardResult, SubQueryContext};

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
        client: &Client,
        trial: bool,
    ) -> bool {
        if !client.pool().searcher_exited().await {
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

/// The result of a shard that is not queried because of the quarantine.
fn withheld_result() -> ShardResult {
    ShardResult { result: Err(Reason::Withheld), attempts: 0 }
}
