//! Randomized fault injection: pairs of faults under load, drawn from a seed.
//!
//! Each round draws two different faults, injects both while load runs, and clears the
//! reversible ones afterwards. The tests run a short fixed set; `bergamot-bench storm`
//! runs any number of rounds and seeds.

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

/// The duration of load in one round.
const ROUND_DURATION: Duration = Duration::from_secs(3);

/// The time from the start of a round to the injection of its faults.
const FAULT_DELAY: Duration = Duration::from_millis(500);

/// The time for connections to be established before the first round.
const WARM_UP: Duration = Duration::from_millis(1500);

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Some searchers delay a part of their replies.
    Stragglers,
    /// Some searchers shed load.
    Sheds,
    /// Some searchers cut replies off, including replies to writes.
    Cuts,
    /// Some searchers answer from another version than requested.
    Liars,
    /// Some searchers are leaving.
    Leaving,
    /// One searcher is killed and restarted.
    Death,
    /// A new index version is rolled out, one searcher at a time.
    RollOut,
    /// The configuration service is down.
    ServiceDown,
    /// The configuration service returns the first document.
    ServiceStale,
    /// A new document revision is published.
    Publish,
    /// An instance is replaced by a new one.
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

/// A sequence of fault rounds on one cluster.
#[derive(Debug)]
pub struct Storm {
    cluster: Cluster,
    rng: StdRng,
    version: u64,
    revision: u64,
    next_instance: usize,
}

impl Storm {
    /// Starts the Fraser Basin deployment.
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

    /// Runs one round and returns its history and the injected faults.
    pub async fn round(&mut self) -> Result<(History, [Fault; 2]), NetworkError> {
        let mut faults = Fault::ALL;
        faults.shuffle(&mut self.rng);
        let pair = [faults[0], faults[1]];
        let deployment = self.cluster.deployment.clone();
        let port = Settings::default().ports.entry_callers;
        let entries = self.cluster.instances.keys();
        let entries = entries.map(|n| (deployment.instance(*n), port).into()).collect();
        let seed = Seed(self.rng.random());
        let load = Load { seed, entries, ..Load::of(&deployment, ROUND_DURATION) };
        let load = tokio::spawn(async move { load::run(&deployment, load).await });
        tokio::time::sleep(FAULT_DELAY).await;
        for fault in pair {
            self.inject(fault).await?;
        }
        let history = load
            .await
            .map_err(|error| NetworkError::new("run load", bergamot_base::Peer::Local, error))?;
        self.clear_faults();
        Ok((history, pair))
    }

    /// Adds the effects of all rounds to a history, and returns the highest ratio of peak
    /// connections to the limit and the number of connections above a limit.
    pub fn finish(&self, history: &mut History) -> (f64, usize) {
        self.cluster.collect(history);
        self.cluster.connections()
    }

    async fn inject(&mut self, fault: Fault) -> Result<(), NetworkError> {
        match fault {
            Fault::Stragglers => {
                self.modify_some(|f| Faults { straggle: 0.2, straggle_factor: 40.0, ..f });
            }
            Fault::Sheds => self.modify_some(|f| Faults { shed: 0.3, ..f }),
            Fault::Cuts => self.modify_some(|f| Faults { cut: 0.2, cut_writes: 0.3, ..f }),
            Fault::Liars => self.modify_some(|f| Faults { wrong_version: true, ..f }),
            Fault::Leaving => self.start_leaving(),
            Fault::Death => self.restart_one().await?,
            Fault::RollOut => self.roll_out().await,
            Fault::ServiceDown => self.cluster.platform.set_configuration_down(true),
            Fault::ServiceStale => {
                let first = self.cluster.deployment.document(1);
                self.cluster.platform.set_stale(Some(&first));
            }
            Fault::Publish => self.publish(),
            Fault::Replacement => self.replace_instance().await?,
        }
        Ok(())
    }

    /// Modifies the faults of a random quarter of the searchers, keeping faults already set.
    fn modify_some(&mut self, change: impl Fn(Faults) -> Faults) {
        for (_, searcher) in &self.cluster.searchers {
            if self.rng.random_ratio(1, 4) {
                searcher.set_faults(change(searcher.faults()));
            }
        }
    }

    /// Marks a random quarter of the first replicas as leaving, so that every shard keeps one.
    fn start_leaving(&mut self) {
        for (_, searcher) in self.cluster.searchers.iter().step_by(2) {
            if self.rng.random_ratio(1, 4) {
                searcher.set_faults(Faults { leaving: true, ..searcher.faults() });
            }
        }
    }

    async fn restart_one(&mut self) -> Result<(), NetworkError> {
        let searchers: Vec<usize> = (0..self.cluster.searchers.len()).collect();
        let target = searchers.choose(&mut self.rng).copied().unwrap_or(0);
        self.cluster.restart_searcher(target, &[self.version]).await
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

    async fn replace_instance(&mut self) -> Result<(), NetworkError> {
        let numbers: Vec<usize> = self.cluster.instances.keys().copied().collect();
        let target = numbers.choose(&mut self.rng).copied().unwrap_or(0);
        let replacement = self.next_instance;
        self.next_instance += 1;
        self.cluster.add(replacement).await?;
        let listed = numbers.into_iter().chain([replacement]).filter(|number| *number != target);
        self.cluster.platform.set_instances(self.cluster.deployment.list(listed));
        self.cluster.remove(target).await;
        Ok(())
    }

    /// Clears the reversible faults. Searchers that are leaving stay so, and restarts and
    /// published revisions are not undone.
    fn clear_faults(&self) {
        self.cluster.platform.set_down(false);
        self.cluster.platform.set_stale(None);
        for (_, searcher) in &self.cluster.searchers {
            let leaving = searcher.faults().leaving;
            searcher.set_faults(Faults { leaving, ..Faults::default() });
        }
    }
}
