//! The chosen policy against the naive plan, on matched seeds.
//!
//! Each scenario runs twice with the same arrivals and the same faults: once with the
//! naive plan (first replica, no hedge, no retry, wait for all) and once with the policy
//! as it is set. Latency counts over all offered requests, and an unanswered one counts
//! as its deadline at least.

use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use bergamot_base::{Name, Seed};
use bergamot_config::Settings;
use bergamot_net::NetworkError;
use bergamot_standin::Faults;

use crate::cluster::Cluster;
use crate::deployment::{Deployment, Use};
use crate::history::Ending;
use crate::load::{self, Load};
use crate::score::{Card, Score};

/// How long connections are given to warm.
const WARM_UP: Duration = Duration::from_millis(1500);

/// How long load runs before the fault of a scenario.
const BEFORE: Duration = Duration::from_millis(500);

/// What happens to the searchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Calm,
    /// One request in fifty takes forty times as long.
    Stragglers,
    /// A tenth of the searchers is cold for the whole run.
    ColdStarts,
    /// One request in twenty is shed.
    Sheds,
    /// One replica of every fourth shard dies.
    LostReplica,
    /// The index moves to the next version, searcher by searcher.
    RollOut,
    /// The searchers of one region take ten times as long.
    SlowRegion,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 7] = [
        Self::Calm,
        Self::Stragglers,
        Self::ColdStarts,
        Self::Sheds,
        Self::LostReplica,
        Self::RollOut,
        Self::SlowRegion,
    ];

    async fn strike(self, cluster: &Cluster) {
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

/// A plan under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// First replica, no hedge, no retry, wait for all.
    Naive,
    /// The policy as it is set.
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

    /// The naive plan waits for all: every service prefers coverage.
    fn deployment(self, mut deployment: Deployment) -> Deployment {
        if self == Self::Naive {
            for service in &mut deployment.services {
                service.prefer = "coverage";
            }
        }
        deployment
    }
}

/// What one run gave.
#[derive(Clone, Debug)]
pub struct Run {
    /// What happened.
    pub scenario: Scenario,
    /// Under which plan.
    pub plan: Plan,
    /// With which seed.
    pub seed: Seed,
    /// The scores of the services.
    pub card: Card,
    /// New connections during the load.
    pub dials: usize,
    /// The worst peak of connections against a limit.
    pub peak: f64,
    /// Connections above a limit.
    pub over: usize,
}

/// Runs a scenario under a plan on both tenants at once.
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
    let mut whole = Run {
        scenario,
        plan,
        seed,
        card: Card(std::collections::BTreeMap::new()),
        dials: 0,
        peak: 0.0,
        over: 0,
    };
    for part in futures::future::try_join_all(runs).await? {
        whole.card.0.extend(part.card.0);
        whole.dials += part.dials;
        whole.peak = whole.peak.max(part.peak);
        whole.over += part.over;
    }
    Ok(whole)
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
        tokio::time::sleep(BEFORE).await;
        scenario.strike(&cluster).await;
    };
    let (history, ()) = futures::future::join(load, script).await;
    let (peak, over) = cluster.connections();
    let card = Card::of(&history);
    let dials = dials(&cluster) - before;
    cluster.close().await;
    Ok(Run { scenario, plan, seed, card, dials, peak, over })
}

/// The chosen plan over the naive one, worst service.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    /// Of the 99th percentiles.
    pub p99: f64,
    /// Of the mean coverages; the lowest.
    pub coverage: f64,
    /// Sub-queries for each shard asked under the chosen plan; the highest.
    pub extra_load: f64,
    /// Connections above a limit under the chosen plan.
    pub over_limit: usize,
}

impl Ratio {
    /// Compares two runs of one scenario over the services that are queried.
    pub fn of(naive: &Run, chosen: &Run) -> Self {
        let mut worst =
            Self { p99: 0.0, coverage: f64::INFINITY, extra_load: 0.0, over_limit: chosen.over };
        for (service, score) in queried(chosen) {
            let Some(base) = naive.card.0.get(service) else { continue };
            let p99 = |score: &Score| score.percentile(99.0).as_secs_f64();
            worst.p99 = worst.p99.max(p99(score) / p99(base));
            worst.coverage = worst.coverage.min(score.coverage / base.coverage);
            worst.extra_load = worst.extra_load.max(score.extra);
        }
        worst
    }

    /// Returns the worse of two ratios, part by part.
    #[must_use]
    pub fn worse(self, other: Self) -> Self {
        Self {
            p99: self.p99.max(other.p99),
            coverage: self.coverage.min(other.coverage),
            extra_load: self.extra_load.max(other.extra_load),
            over_limit: self.over_limit + other.over_limit,
        }
    }

    /// Returns the line that ends an experiment.
    pub fn line(&self) -> String {
        format!(
            "ratio p99={:.3} coverage={:.4} extra_load={:.3} over_limit={}",
            self.p99, self.coverage, self.extra_load, self.over_limit
        )
    }
}

/// The services of both tenants that are queried, and not written to.
fn queried(run: &Run) -> impl Iterator<Item = (&Name, &Score)> {
    let seed = Seed(0);
    let tenants = [Deployment::fraser_basin([0, 0], seed), Deployment::caldermuir([0, 0], seed)];
    let written: Vec<String> = tenants
        .iter()
        .flat_map(|tenant| tenant.services.iter().map(move |service| (tenant.workspace, service)))
        .filter(|(_, service)| service.usage == Use::Write)
        .map(|(workspace, service)| format!("{workspace}/{}", service.name))
        .collect();
    run.card.0.iter().filter(move |(name, _)| !written.contains(&name.to_string()))
}

/// Writes the runs as CSV.
pub fn save(runs: &[Run], path: &Path) -> std::io::Result<()> {
    let mut text = String::from(
        "scenario,plan,seed,service,offered,complete,partial,refused,not_run,unknown,failed,lost,\
         p50_ms,p99_ms,p999_ms,coverage,attempts_per_shard,dials,peak,over_limit\n",
    );
    for run in runs {
        for (service, score) in &run.card.0 {
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
                score.extra,
                run.dials,
                run.peak,
                run.over
            );
        }
    }
    std::fs::write(path, text)
}
