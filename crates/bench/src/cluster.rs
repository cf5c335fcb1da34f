//! A deployment that runs in this process, over loopback.

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

/// How long sockets may take to close.
const CLOSING: Duration = Duration::from_millis(500);

/// The daemons of one instance.
#[derive(Debug)]
pub struct Instance {
    /// The entry.
    pub entry: bergamot_entry::EntryHandle,
    /// The gather.
    pub gather: bergamot_gather::GatherHandle,
}

/// A deployment that runs.
#[derive(Debug)]
pub struct Cluster {
    /// What runs.
    pub deployment: Deployment,
    /// The platform.
    pub platform: Platform,
    /// The searchers, in the order of the document, with the service of each.
    pub searchers: Vec<(usize, Searcher)>,
    /// The instances by number.
    pub instances: BTreeMap<usize, Instance>,
    base: Settings,
    /// Held for as long as the connections may be open; dropped last.
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

    /// Starts the platform and the searchers only, once the process has descriptors for them.
    pub async fn start_stand_ins(
        deployment: Deployment,
        base: Settings,
        versions: &[Version],
    ) -> Result<Self, NetworkError> {
        let descriptors = DESCRIPTORS.take(deployment.descriptors()).await;
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

    /// Starts the daemons of one more instance.
    pub async fn add(&mut self, number: usize) -> Result<(), NetworkError> {
        let instance = start_instance(self.settings(number)).await?;
        self.instances.insert(number, instance);
        Ok(())
    }

    /// Stops the daemons of an instance gracefully.
    pub async fn remove(&mut self, number: usize) {
        self.remove_together(&[number]).await;
    }

    /// Stops the daemons of several instances gracefully at the same time.
    pub async fn remove_together(&mut self, numbers: &[usize]) {
        let leaving: Vec<_> =
            numbers.iter().filter_map(|number| self.instances.remove(number)).collect();
        let stops = leaving.into_iter().map(|instance| async move {
            futures::future::join(instance.entry.stop(), instance.gather.stop()).await
        });
        futures::future::join_all(stops).await;
    }

    /// Kills a searcher and starts another run at its address, cold.
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
        // The old run's listener closes a moment after the kill.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let fresh = Searcher::start(settings).await?;
        fresh.simulate_cold_start(Duration::from_secs(1));
        fresh.prepend_effects(before);
        self.searchers[number] = (service, fresh);
        Ok(())
    }

    /// Ends everything at once and returns when its addresses are free again.
    pub async fn close(self) {
        for instance in self.instances.into_values() {
            instance.entry.abort();
            instance.gather.abort();
        }
        drop((self.platform, self.searchers));
        tokio::time::sleep(CLOSING).await;
    }

    /// Returns the searchers of a service.
    pub fn searchers_of(&self, name: &str) -> Vec<&Searcher> {
        let named = |service: usize| self.deployment.services[service].name == name;
        let own = self.searchers.iter().filter(|(service, _)| named(*service));
        own.map(|(_, searcher)| searcher).collect()
    }

    /// Adds what the searchers did to a history.
    pub fn collect(&self, history: &mut History) {
        for (_, searcher) in &self.searchers {
            history.effects.insert(searcher.address(), searcher.effects());
        }
    }

    /// Returns the most connections a searcher had against its limit, over all
    /// searchers, and how many connections came above a limit.
    pub fn connections(&self) -> (f64, usize) {
        self.searchers.iter().fold((0.0, 0), |(worst, over), (service, searcher)| {
            let (peak, above) = searcher.connections();
            let limit = self.deployment.services[*service].limits.connections;
            (f64::max(worst, peak as f64 / limit as f64), over + above)
        })
    }

    fn settings(&self, number: usize) -> Arc<Settings> {
        Arc::new(self.deployment.settings(number, &self.base))
    }
}

/// Starts both daemons of an instance at once, as after a boot.
async fn start_instance(settings: Arc<Settings>) -> Result<Instance, NetworkError> {
    let entry = bergamot_entry::Entry::start(Arc::clone(&settings));
    let gather = bergamot_gather::Gather::start(settings);
    let (entry, gather) = futures::future::join(entry, gather).await;
    Ok(Instance { entry: entry?, gather: gather? })
}
