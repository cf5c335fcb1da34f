//! A deployment running in this process, over loopback.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bergamot_base::Version;
use bergamot_config::Settings;
use bergamot_net::NetworkError;
use bergamot_standin::{Platform, Searcher};
use tokio::sync::OwnedSemaphorePermit;

use crate::deployment::Deployment;
use crate::descriptors::DESCRIPTORS;
use crate::history::History;

/// The time that [`Cluster::close`] allows for sockets to close.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// The daemons of one instance.
#[derive(Debug)]
pub struct Instance {
    /// The entry daemon.
    pub entry: bergamot_entry::EntryHandle,
    /// The gather daemon.
    pub gather: bergamot_gather::GatherHandle,
}

/// A running deployment.
#[derive(Debug)]
pub struct Cluster {
    /// The description that the cluster was started from.
    pub deployment: Deployment,
    /// The stand-in platform.
    pub platform: Platform,
    /// The searchers in document order, each with the index of its service.
    pub searchers: Vec<(usize, Searcher)>,
    /// The instances by number.
    pub instances: BTreeMap<usize, Instance>,
    base: Settings,
    /// Reserves descriptors while connections may be open. Declared last, so it is dropped last.
    _descriptors: OwnedSemaphorePermit,
}

impl Cluster {
    /// Starts the platform, the searchers and every instance.
    pub async fn start(deployment: Deployment, base: Settings) -> Result<Self, NetworkError> {
        let mut cluster = Self::start_stand_ins(deployment, base, &[1]).await?;
        let starts: Vec<_> = (0..cluster.deployment.instances)
            .map(|number| {
                let settings = cluster.settings(number);
                async move { (number, start_instance(settings).await) }
            })
            .collect();
        for (number, instance) in futures::future::join_all(starts).await {
            cluster.instances.insert(number, instance?);
        }
        Ok(cluster)
    }

    /// Starts only the platform and the searchers, after reserving descriptors for them.
    pub async fn start_stand_ins(
        deployment: Deployment,
        base: Settings,
        versions: &[Version],
    ) -> Result<Self, NetworkError> {
        let descriptors = DESCRIPTORS.acquire(deployment.descriptors()).await;
        let [configuration, instances] = deployment.platform();
        let platform = Platform::start(configuration, instances).await?;
        platform.publish(&deployment.document(1));
        platform.set_instances(deployment.list(0..deployment.instances));
        let mut searchers = Vec::new();
        for (service, settings) in deployment.searchers(versions) {
            searchers.push((service, Searcher::start(settings).await?));
        }
        Ok(Self {
            deployment,
            platform,
            searchers,
            instances: BTreeMap::new(),
            base,
            _descriptors: descriptors,
        })
    }

    /// Starts the daemons of an additional instance.
    pub async fn add(&mut self, number: usize) -> Result<(), NetworkError> {
        let instance = start_instance(self.settings(number)).await?;
        self.instances.insert(number, instance);
        Ok(())
    }

    /// Stops the daemons of an instance gracefully.
    pub async fn remove(&mut self, number: usize) {
        self.remove_all(&[number]).await;
    }

    /// Stops the daemons of several instances gracefully and concurrently.
    pub async fn remove_all(&mut self, numbers: &[usize]) {
        let leaving: Vec<_> =
            numbers.iter().filter_map(|number| self.instances.remove(number)).collect();
        let stops = leaving.into_iter().map(|instance| async move {
            futures::future::join(instance.entry.stop(), instance.gather.stop()).await
        });
        futures::future::join_all(stops).await;
    }

    /// Kills a searcher and starts a new, cold process at its address that keeps its effects.
    pub async fn restart_searcher(
        &mut self,
        number: usize,
        versions: &[Version],
    ) -> Result<(), NetworkError> {
        let (_, settings) = self.deployment.searchers(versions).swap_remove(number);
        let (service, old) = &mut self.searchers[number];
        let service = *service;
        old.kill();
        let before = old.effects();
        // The old listener closes asynchronously after the kill.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let fresh = Searcher::start(settings).await?;
        fresh.simulate_cold_start(Duration::from_secs(1));
        fresh.prepend_effects(before);
        self.searchers[number] = (service, fresh);
        Ok(())
    }

    /// Aborts all daemons and stand-ins and waits for their addresses to become free.
    pub async fn close(self) {
        for instance in self.instances.into_values() {
            instance.entry.abort();
            instance.gather.abort();
        }
        drop((self.platform, self.searchers));
        tokio::time::sleep(CLOSE_DELAY).await;
    }

    /// Returns the searchers of a service.
    pub fn searchers_of(&self, name: &str) -> Vec<&Searcher> {
        let has_name = |service: usize| self.deployment.services[service].name == name;
        let matching = self.searchers.iter().filter(|(service, _)| has_name(*service));
        matching.map(|(_, searcher)| searcher).collect()
    }

    /// Copies the effects recorded by the searchers into a history.
    pub fn collect(&self, history: &mut History) {
        for (_, searcher) in &self.searchers {
            history.effects.insert(searcher.address(), searcher.effects());
        }
    }

    /// Returns the highest ratio of peak connections to the limit over all searchers, and
    /// the number of connections above a limit.
    pub fn connections(&self) -> (f64, usize) {
        self.searchers.iter().fold((0.0, 0), |(highest, over_limit), (service, searcher)| {
            let (peak, above) = searcher.connections();
            let limit = self.deployment.services[*service].limits.connections;
            (f64::max(highest, peak as f64 / limit as f64), over_limit + above)
        })
    }

    fn settings(&self, number: usize) -> Arc<Settings> {
        Arc::new(self.deployment.settings(number, &self.base))
    }
}

/// Starts both daemons of an instance concurrently, as after a boot.
async fn start_instance(settings: Arc<Settings>) -> Result<Instance, NetworkError> {
    let entry = bergamot_entry::Entry::start(Arc::clone(&settings));
    let gather = bergamot_gather::Gather::start(settings);
    let (entry, gather) = futures::future::join(entry, gather).await;
    Ok(Instance { entry: entry?, gather: gather? })
}
