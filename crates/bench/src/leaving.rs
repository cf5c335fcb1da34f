//! Measures how long searchers that are leaving still receive new sub-queries.

use std::time::{Duration, Instant};

use bergamot_base::{Name, Seed};
use bergamot_config::Settings;
use bergamot_net::NetworkError;
use bergamot_standin::{Faults, Instance};

use crate::cluster::Cluster;
use crate::deployment::Deployment;
use crate::load::{self, Load};

/// The duration of load before searchers start to leave.
const BEFORE: Duration = Duration::from_secs(2);

/// The duration of load after searchers started to leave.
const AFTER: Duration = Duration::from_secs(6);

/// How gathers learn that a searcher is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveSignal {
    /// Through a flag in the replies of the searchers.
    Answers,
    /// Only through the platform's instance list.
    List,
}

/// Makes one replica of each shard of two services leave under load. Returns, sorted, the
/// time from then to the last sub-query that each of them received, or zero if none came.
pub async fn run(
    seed: Seed,
    block: [u8; 2],
    signal: LeaveSignal,
) -> Result<Vec<Duration>, NetworkError> {
    let deployment = Deployment::fraser_basin(block, seed);
    let cluster = Cluster::start(deployment.clone(), Settings::default()).await?;
    tokio::time::sleep(BEFORE).await;
    let load = load::run(&cluster.deployment, Load::of(&deployment, BEFORE + AFTER));
    let script = async {
        tokio::time::sleep(BEFORE).await;
        start_leaving(&cluster, signal);
        Instant::now()
    };
    let (_, left) = futures::future::join(load, script).await;
    let last = |searcher: &bergamot_standin::Searcher| searcher.last_search();
    let mut times: Vec<_> = leaving_searchers(&cluster)
        .map(|searcher| {
            last(searcher).map_or(Duration::ZERO, |last| last.saturating_duration_since(left))
        })
        .collect();
    times.sort();
    cluster.close().await;
    Ok(times)
}

fn leaving_searchers(cluster: &Cluster) -> impl Iterator<Item = &bergamot_standin::Searcher> {
    let services = ["queue-board", "ramp-desk"];
    services.into_iter().flat_map(|name| cluster.searchers_of(name).into_iter().step_by(2))
}

fn start_leaving(cluster: &Cluster, signal: LeaveSignal) {
    match signal {
        LeaveSignal::Answers => {
            for searcher in leaving_searchers(cluster) {
                searcher.set_faults(Faults { leaving: true, ..Faults::default() });
            }
        }
        LeaveSignal::List => {
            let mut list = cluster.deployment.list(0..cluster.deployment.instances);
            list.extend(leaving_searchers(cluster).map(|searcher| Instance {
                address: Name::from(searcher.address().to_string()),
                zone: cluster.deployment.zone(0),
                state: Name::from("leaving"),
            }));
            cluster.platform.set_instances(list);
        }
    }
}
