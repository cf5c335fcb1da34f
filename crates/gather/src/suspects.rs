//! Queries under which searchers end: how a gather notices, and what becomes of them.
//!
//! The rules are those of `bergamot-quarantine`, as for requests that are passed on
//! (`docs/design/0014-fatal-requests.md`). Here each gather grants its own trials: a searcher
//! has few homes, so that at most as many trials run at once.

use std::time::Instant;

use bergamot_base::{Name, Shard};
use bergamot_quarantine::{Fingerprint, Standing, Strike};
use bergamot_query::{Reason, Shape};
use bergamot_upstream::Client;

use crate::service::Inner;
use crate::shard::{self, Ended, Job};

/// Returns the fingerprint of a query of a service.
pub(crate) fn fingerprint(service: &str, shape: &Shape) -> Fingerprint {
    Fingerprint::of("search", service, shape.to_string().as_bytes())
}

/// Names a shard in what members tell each other.
fn name(job: &Job, shard: Shard) -> Name {
    let position = job.holding.current.document.shards[shard].position;
    Name::from(format!("shard-{position}"))
}

impl Inner {
    /// Finds out whether a searcher has ended whose connection has, and if so holds that against
    /// the query; tells whether it has.
    pub(crate) async fn inquire(
        &self,
        job: &Job,
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
            Strike::from_trial(job.id.as_bytes(), &format!("{address} {run}"))
        } else {
            Strike::from_fan_out(job.id.as_bytes())
        };
        let (now, quarantine) = (Instant::now(), self.node.quarantine());
        quarantine.record_strike(now, job.fingerprint, strike, &name(job, shard));
        log::warn!(
            "gather: Searcher {address} has ended under query {} (fingerprint {}, trial {trial}).",
            job.id,
            job.fingerprint
        );
        true
    }

    /// Runs the shards of a sub-query: at once, or one alone at first, or none, as what is held of
    /// the query asks.
    pub(crate) async fn run_shards(&self, job: &Job, shards: &[Shard]) -> Vec<Ended> {
        let quarantine = self.node.quarantine();
        let ended = match quarantine.standing(Instant::now(), || job.fingerprint) {
            Standing::Trusted => {
                let races = shards.iter().map(|shard| shard::run(self, job, *shard, false));
                futures::future::join_all(races).await
            }
            Standing::Suspect(harmed) => self.try_out(job, shards, &harmed).await,
            Standing::Condemned(_) => shards.iter().map(|_| withheld()).collect(),
        };
        if quarantine.has_records() {
            let answered = shards.iter().zip(&ended).filter(|(_, ended)| ended.result.is_ok());
            let answered: Vec<Name> = answered.map(|(shard, _)| name(job, *shard)).collect();
            if quarantine.record_answer(job.fingerprint, &answered) {
                log::info!("gather: Query {} was answered and is cleared.", job.id);
            }
        }
        ended
    }

    /// Asks one searcher of a shard that was harmed, and the others once it has answered.
    async fn try_out(&self, job: &Job, shards: &[Shard], harmed: &[Name]) -> Vec<Ended> {
        let suspect = |shard: &Shard| harmed.contains(&name(job, *shard));
        let first = shards.iter().position(suspect).unwrap_or(0);
        let granted = self.node.quarantine().grant_trial(Instant::now(), job.fingerprint);
        if shards.is_empty() || !granted {
            return shards.iter().map(|_| withheld()).collect();
        }
        let tried = shard::run(self, job, shards[first], true).await;
        if tried.result.is_err() {
            let mut ended: Vec<Ended> = shards.iter().map(|_| withheld()).collect();
            ended[first] = tried;
            return ended;
        }
        let others = shards.iter().enumerate().filter(|(at, _)| *at != first);
        let races = others.map(|(_, shard)| shard::run(self, job, *shard, false));
        let mut ended = futures::future::join_all(races).await;
        ended.insert(first, tried);
        ended
    }
}

/// A shard that nobody is asked for.
fn withheld() -> Ended {
    Ended { result: Err(Reason::Withheld), attempts: 0 }
}
