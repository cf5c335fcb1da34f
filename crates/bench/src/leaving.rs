//! How long searchers that leave still get new work.

use std::time::{Duration, Instant};

use bergamot_base::{Name, Seed};
use bergamot_config::Settings;
use bergamot_net::NetworkError;
use bergamot_standin::{Faults, Instance};

use crate::cluster::Cluster;
use crate::deployment::Deployment;
use crate::load::{self, Load};

/// How long load runs before searchers leave.
const BEFORE: Duration = Duration::from_secs(2);

/// How long load runs after they did.
const AFTER: Duration = Duration::from_secs(6);

/// How the word gets out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// The searchers say it in their answers.
    Answers,
    /// Only the platform's list says it.
    List,
}

/// Lets one replica of each shard of two services leave under load, and returns the time
/// from then to the last sub-query of each, sorted; zero where none came.
pub async fn run(seed: Seed, block: [u8; 2], word: Word) -> Result<Vec<Duration>, NetworkError> {
    let deployment = Deployment::fraser_basin(block, seed);
    let cluster = Cluster::start(deployment.clone(), Settings::default()).await?;
    tokio::time::sleep(BEFORE).await;
    let load = load::run(&cluster.deployment, Load::of(&deployment, BEFORE + AFTER));
    let script = async {
        tokio::time::sleep(BEFORE).await;
        leave(&cluster, word);
        Instant::now()
    };
    let (_, left) = futures::future::join(load, script).await;
    let last = |searcher: &bergamot_standin::Searcher| searcher.last_search();
    let mut times: Vec<_> = leavers(&cluster)
        .map(|searcher| {
            last(searcher).map_or(Duration::ZERO, |last| last.saturating_duration_since(left))
        })
        .collect();
    times.sort();
    cluster.close().await;
    Ok(times)
}

fn leavers(cluster: &Cluster) -> impl Iterator<Item = &bergamot_standin::Searcher> {
    let services = ["queue-board", "ramp-desk"];
    services.into_iter().flat_map(|name| cluster.searchers_of(name).into_iter().step_by(2))
}

fn leave(cluster: &Cluster, word: Word) {
    match word {
        Word::Answers => {
            for searcher in leavers(cluster) {
                searcher.set_faults(Faults { leaving: true, ..Faults::default() });
            }
        }
        Word::List => {
            let mut list = cluster.deployment.list(0..cluster.deployment.instances);
            list.extend(leavers(cluster).map(|searcher| Instance {
                address: Name::from(searcher.address().to_string()),
                zone: cluster.deployment.zone(0),
                state: Name::from("leaving"),
            }));
            cluster.platform.set_instances(list);
        }
    }
}
