//! Comparison of the configured policy with a naive plan, on matched seeds.
//!
//! Each scenario runs twice with the same arrivals and the same faults: once with the
//! naive plan (first replica, no hedging, no retries, wait for all shards) and once with the
//! configured policy. Latency percentiles cover all offered requests; an unanswered one
//! counts as at least its deadline.

use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use bergamot_base::{Name, Seed};
use bergamot_config::Settings;
use bergamot_net::NetworkError;
use bergamot_standin::Faults;

use crate::cluster::Cluster;
use crate::deployment::{Deployment, RequestKind};
use crate::history::Ending;
use crate::load::{self, Load};
use crate::score::{Score, ServiceScores};

/// The time for connections to be established before load starts.
const WARM_UP: Duration = Duration::from_millis(1500);

/// The duration of load before the fault of a scenario is injected.
const FAULT_DELAY: Duration = Duration::from_millis(500);

/// The fault injected into the searchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No fault.
    Calm,
    /// 2% of the requests take 40 times as long.
    Stragglers,
    /// Every tenth searcher is cold for the whole run.
    ColdStarts,
    /// 5% of the requests are shed.
    Sheds,
    /// One replica of every fourth shard is killed.
    LostReplica,
    /// A new index version is rolled out, one searcher at a time.
    RollOut,
    /// The searchers of one region are ten times slower.
    SlowRegion,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 7] = [
        Self::Calm,
        Self::Stragglers,
        Self::ColdStarts,
        Self::Sheds,
        Self::LostReplica,
        Self::RollOut,
        Self::SlowRegion,
    ];

    async fn inject(self, cluster: &Cluster) {
        let every = |step: usize| cluster.searchers.iter().map(|(_, s)| s).step_by(step);
        match self {
            Self::Calm => {}
            Self::Stragglers => {
                let faults = Faults { straggle: 0.02, straggle_factor: 40.0, ..Faults::default() };
                every(1).for_each(|searcher| searcher.set_faults(faults.clone()));
            }
            Self::ColdStarts => {
                every(10).for_each(|s| s.simulate_cold_start(Duration::from_mins(1)));
            }
            Self::Sheds => {
                let faults = Faults { shed: 0.05, ..Faults::default() };
                every(1).for_each(|searcher| searcher.set_faults(faults.clone()));
            }
            Self::LostReplica => every(8).for_each(bergamot_standin::Searcher::kill),
            Self::RollOut => {
                for versions in [&[1, 2][..], &[2]] {
                    for searcher in every(1) {
                        searcher.set_versions(versions.iter().copied());
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                }
            }
            Self::SlowRegion => {
                let faults = Faults { slow_factor: 10.0, ..Faults::default() };
                let region = cluster.deployment.regions[1];
                every(1)
                    .filter(|searcher| searcher.zone().starts_with(region))
                    .for_each(|searcher| searcher.set_faults(faults.clone()));
            }
        }
    }
}

/// A query plan to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// First replica, no hedging, no retries, wait for all shards.
    Naive,
    /// The configured policy.
    Chosen,
}

impl Plan {
    fn settings(self) -> Settings {
        let mut settings = Settings::default();
        if self == Self::Naive {
            settings.gather.hedge = false;
            settings.gather.retry = false;
            settings.gather.pick = false;
        }
        settings
    }

    /// Makes every service prefer coverage under the naive plan, which waits for all shards.
    fn deployment(self, mut deployment: Deployment) -> Deployment {
        if self == Self::Naive {
            for service in &mut deployment.services {
                service.prefer = "coverage";
            }
        }
        deployment
    }
}

/// The results of one run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The scenario.
    pub scenario: Scenario,
    /// The query plan.
    pub plan: Plan,
    /// The seed.
    pub seed: Seed,
    /// The scores of the services.
    pub scores: ServiceScores,
    /// The number of connections opened during the load.
    pub dials: usize,
    /// The highest ratio of peak connections to the limit of a searcher.
    pub peak: f64,
    /// The number of connections above a limit.
    pub over_limit: usize,
}

/// Runs a scenario under a plan on both tenants concurrently.
pub async fn run(
    scenario: Scenario,
    plan: Plan,
    seed: Seed,
    time: Duration,
    block: u8,
) -> Result<Run, NetworkError> {
    let tenants =
        [Deployment::fraser_basin([block, 1], seed), Deployment::caldermuir([block, 2], seed)];
    let runs = tenants.map(|tenant| run_tenant(scenario, plan, plan.deployment(tenant), time));
    let mut total = Run {
        scenario,
        plan,
        seed,
        scores: ServiceScores(std::collections::BTreeMap::new()),
        dials: 0,
        peak: 0.0,
        over_limit: 0,
    };
    for part in futures::future::try_join_all(runs).await? {
        total.scores.0.extend(part.scores.0);
        total.dials += part.dials;
        total.peak = total.peak.max(part.peak);
        total.over_limit += part.over_limit;
    }
    Ok(total)
}

async fn run_tenant(
    scenario: Scenario,
    plan: Plan,
    deployment: Deployment,
    time: Duration,
) -> Result<Run, NetworkError> {
    let seed = deployment.seed;
    let cluster = Cluster::start(deployment, plan.settings()).await?;
    tokio::time::sleep(WARM_UP).await;
    let dials = |cluster: &Cluster| -> usize {
        cluster.searchers.iter().map(|(_, searcher)| searcher.accepted()).sum()
    };
    let before = dials(&cluster);
    let load = load::run(&cluster.deployment, Load::of(&cluster.deployment, time));
    let script = async {
        tokio::time::sleep(FAULT_DELAY).await;
        scenario.inject(&cluster).await;
    };
    let (history, ()) = futures::future::join(load, script).await;
    let (peak, over_limit) = cluster.connections();
    let scores = ServiceScores::of(&history);
    let dials = dials(&cluster) - before;
    cluster.close().await;
    Ok(Run { scenario, plan, seed, scores, dials, peak, over_limit })
}

/// The chosen plan relative to the naive one, for the worst service.
#[derive(Clone, Copy, Debug)]
pub struct Comparison {
    /// The highest ratio of 99th percentiles.
    pub p99: f64,
    /// The lowest ratio of mean coverages.
    pub coverage: f64,
    /// The highest number of sub-queries per covered shard under the chosen plan.
    pub extra_load: f64,
    /// The number of connections above a limit under the chosen plan.
    pub over_limit: usize,
}

impl Comparison {
    /// Compares two runs of one scenario over the services that serve queries.
    pub fn of(naive: &Run, chosen: &Run) -> Self {
        let mut worst = Self {
            p99: 0.0,
            coverage: f64::INFINITY,
            extra_load: 0.0,
            over_limit: chosen.over_limit,
        };
        for (service, score) in query_services(chosen) {
            let Some(base) = naive.scores.0.get(service) else { continue };
            let p99 = |score: &Score| score.percentile(99.0).as_secs_f64();
            worst.p99 = worst.p99.max(p99(score) / p99(base));
            worst.coverage = worst.coverage.min(score.coverage / base.coverage);
            worst.extra_load = worst.extra_load.max(score.attempts_per_shard);
        }
        worst
    }

    /// Returns the worse value of each field.
    #[must_use]
    pub fn worse(self, other: Self) -> Self {
        Self {
            p99: self.p99.max(other.p99),
            coverage: self.coverage.min(other.coverage),
            extra_load: self.extra_load.max(other.extra_load),
            over_limit: self.over_limit + other.over_limit,
        }
    }

    /// Formats the final line of an experiment.
    pub fn summary_line(&self) -> String {
        format!(
            "ratio p99={:.3} coverage={:.4} extra_load={:.3} over_limit={}",
            self.p99, self.coverage, self.extra_load, self.over_limit
        )
    }
}

/// Returns the scores of the services that serve queries rather than writes.
fn query_services(run: &Run) -> impl Iterator<Item = (&Name, &Score)> {
    let seed = Seed(0);
    let tenants = [Deployment::fraser_basin([0, 0], seed), Deployment::caldermuir([0, 0], seed)];
    let written: Vec<String> = tenants
        .iter()
        .flat_map(|tenant| tenant.services.iter().map(move |service| (tenant.workspace, service)))
        .filter(|(_, service)| service.kind == RequestKind::Write)
        .map(|(workspace, service)| format!("{workspace}/{}", service.name))
        .collect();
    run.scores.0.iter().filter(move |(name, _)| !written.contains(&name.to_string()))
}

/// Saves the runs as CSV.
pub fn save(runs: &[Run], path: &Path) -> std::io::Result<()> {
    let mut text = String::from(
        "scenario,plan,seed,service,offered,complete,partial,refused,not_run,unknown,failed,lost,\
         p50_ms,p99_ms,p999_ms,coverage,attempts_per_shard,dials,peak,over_limit\n",
    );
    for run in runs {
        for (service, score) in &run.scores.0 {
            let ms = |percent| score.percentile(percent).as_secs_f64() * 1e3;
            let Run { scenario, plan, seed, .. } = run;
            let _ = write!(text, "{scenario:?},{plan:?},{},{service},{}", seed.0, score.offered);
            for ending in [
                Ending::Complete,
                Ending::Partial,
                Ending::Refused,
                Ending::NotRun,
                Ending::Unknown,
                Ending::Failed,
                Ending::Lost,
            ] {
                let _ = write!(text, ",{}", score.ended(ending));
            }
            let _ = writeln!(
                text,
                ",{:.2},{:.2},{:.2},{:.5},{:.4},{},{:.3},{}",
                ms(50.0),
                ms(99.0),
                ms(99.9),
                score.coverage,
                score.attempts_per_shard,
                run.dials,
                run.peak,
                run.over_limit
            );
        }
    }
    std::fs::write(path, text)
}
