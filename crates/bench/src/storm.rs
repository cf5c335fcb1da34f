//! Pairs of faults under load, drawn from a seed, with the check of the history.
//!
//! Each round draws two different faults, lets both happen while load runs, and heals
//! what can be healed. The short fixed set runs in the tests; `bergamot-bench storm`
//! runs as many rounds and seeds as wanted.

use std::fmt;
use std::time::Duration;

use bergamot_base::Seed;
use bergamot_config::Settings;
use bergamot_net::NetworkError;
use bergamot_standin::Faults;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::cluster::Cluster;
use crate::deployment::Deployment;
use crate::history::History;
use crate::load::{self, Load};

/// How long the load of one round lasts.
const ROUND: Duration = Duration::from_secs(3);

/// How long after the start of a round its faults happen.
const CALM: Duration = Duration::from_millis(500);

/// How long connections are given to warm before the first round.
const WARM_UP: Duration = Duration::from_millis(1500);

/// A fault of a storm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A part of the searchers straggles.
    Stragglers,
    /// A part of the searchers sheds load.
    Sheds,
    /// A part of the searchers cuts replies, to writes too.
    Cuts,
    /// A part of the searchers answers for another version.
    Liars,
    /// A part of the searchers is leaving.
    Leaving,
    /// One searcher dies and comes back as another run.
    Death,
    /// The index moves to the next version, searcher by searcher.
    RollOut,
    /// The configuration service is down.
    ServiceDown,
    /// The configuration service answers with the first document.
    ServiceStale,
    /// Operators publish a new revision.
    Publish,
    /// An instance is replaced by a fresh one.
    Replacement,
}

impl Fault {
    const ALL: [Self; 11] = [
        Self::Stragglers,
        Self::Sheds,
        Self::Cuts,
        Self::Liars,
        Self::Leaving,
        Self::Death,
        Self::RollOut,
        Self::ServiceDown,
        Self::ServiceStale,
        Self::Publish,
        Self::Replacement,
    ];
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// A storm over one cluster.
#[derive(Debug)]
pub struct Storm {
    cluster: Cluster,
    rng: StdRng,
    version: u64,
    revision: u64,
    next_instance: usize,
}

impl Storm {
    /// Starts Fraser Basin for a storm.
    pub async fn start(
        seed: Seed,
        block: [u8; 2],
        settings: Settings,
    ) -> Result<Self, NetworkError> {
        let deployment = Deployment::fraser_basin(block, seed);
        let next_instance = deployment.instances;
        let cluster = Cluster::start(deployment, settings).await?;
        tokio::time::sleep(WARM_UP).await;
        let rng = seed.generator("storm");
        Ok(Self { cluster, rng, version: 1, revision: 1, next_instance })
    }

    /// Runs one round and returns what callers saw in it, and the faults.
    pub async fn round(&mut self) -> Result<(History, [Fault; 2]), NetworkError> {
        let mut faults = Fault::ALL;
        faults.shuffle(&mut self.rng);
        let pair = [faults[0], faults[1]];
        let deployment = self.cluster.deployment.clone();
        let port = Settings::default().ports.entry_callers;
        let entries = self.cluster.instances.keys();
        let entries = entries.map(|n| (deployment.instance(*n), port).into()).collect();
        let seed = Seed(self.rng.random());
        let load = Load { seed, entries, ..Load::of(&deployment, ROUND) };
        let load = tokio::spawn(async move { load::run(&deployment, load).await });
        tokio::time::sleep(CALM).await;
        for fault in pair {
            self.strike(fault).await?;
        }
        let history = load
            .await
            .map_err(|error| NetworkError::new("run load", bergamot_base::Peer::Local, error))?;
        self.heal();
        Ok((history, pair))
    }

    /// Adds what the searchers did over all rounds.
    pub fn finish(&self, history: &mut History) -> (f64, usize) {
        self.cluster.collect(history);
        self.cluster.connections()
    }

    async fn strike(&mut self, fault: Fault) -> Result<(), NetworkError> {
        match fault {
            Fault::Stragglers => {
                self.some(|f| Faults { straggle: 0.2, straggle_factor: 40.0, ..f });
            }
            Fault::Sheds => self.some(|f| Faults { shed: 0.3, ..f }),
            Fault::Cuts => self.some(|f| Faults { cut: 0.2, cut_writes: 0.3, ..f }),
            Fault::Liars => self.some(|f| Faults { wrong_version: true, ..f }),
            Fault::Leaving => self.leave(),
            Fault::Death => self.death().await?,
            Fault::RollOut => self.roll_out().await,
            Fault::ServiceDown => self.cluster.platform.set_configuration_down(true),
            Fault::ServiceStale => {
                let first = self.cluster.deployment.document(1);
                self.cluster.platform.set_stale(Some(&first));
            }
            Fault::Publish => self.publish(),
            Fault::Replacement => self.replace().await?,
        }
        Ok(())
    }

    /// Changes how a quarter of the searchers fail, on top of how they fail already.
    fn some(&mut self, change: impl Fn(Faults) -> Faults) {
        for (_, searcher) in &self.cluster.searchers {
            if self.rng.random_ratio(1, 4) {
                searcher.set_faults(change(searcher.faults()));
            }
        }
    }

    /// Lets a quarter of the first replicas leave; the others of their shards stay.
    fn leave(&mut self) {
        for (_, searcher) in self.cluster.searchers.iter().step_by(2) {
            if self.rng.random_ratio(1, 4) {
                searcher.set_faults(Faults { leaving: true, ..searcher.faults() });
            }
        }
    }

    async fn death(&mut self) -> Result<(), NetworkError> {
        let searchers: Vec<usize> = (0..self.cluster.searchers.len()).collect();
        let victim = searchers.choose(&mut self.rng).copied().unwrap_or(0);
        self.cluster.restart_searcher(victim, &[self.version]).await
    }

    async fn roll_out(&mut self) {
        self.version += 1;
        let versions = [self.version - 1, self.version];
        for (_, searcher) in &self.cluster.searchers {
            searcher.set_versions(versions);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn publish(&mut self) {
        self.revision += 1;
        self.cluster.platform.publish(&self.cluster.deployment.document(self.revision));
    }

    async fn replace(&mut self) -> Result<(), NetworkError> {
        let numbers: Vec<usize> = self.cluster.instances.keys().copied().collect();
        let victim = numbers.choose(&mut self.rng).copied().unwrap_or(0);
        let fresh = self.next_instance;
        self.next_instance += 1;
        self.cluster.add(fresh).await?;
        let listed = numbers.into_iter().chain([fresh]).filter(|number| *number != victim);
        self.cluster.platform.set_instances(self.cluster.deployment.list(listed));
        self.cluster.remove(victim).await;
        Ok(())
    }

    /// Ends the faults that end; what left, died or was published stays so.
    fn heal(&self) {
        self.cluster.platform.set_down(false);
        self.cluster.platform.set_stale(None);
        for (_, searcher) in &self.cluster.searchers {
            let leaving = searcher.faults().leaving;
            searcher.set_faults(Faults { leaving, ..Faults::default() });
        }
    }
}
