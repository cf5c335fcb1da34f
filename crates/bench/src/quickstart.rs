//! Runs both tenants with stand-ins at full size under load and checks the history.

use std::time::Duration;

use bergamot_base::Seed;
use bergamot_config::Settings;
use bergamot_net::NetworkError;

use crate::check::{Invariant, check, count};
use crate::cluster::Cluster;
use crate::deployment::Deployment;
use crate::history::{Ending, History};
use crate::load::{self, Load};
use crate::score::ServiceScores;

/// The time for connections to be established before load starts.
const WARM_UP: Duration = Duration::from_millis(1500);

/// The result of a quick start.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The requests of all tenants.
    pub history: History,
    /// The number of requests without a final answer.
    pub lost: usize,
    /// The number of writes that broke at-most-once execution.
    pub doubled: usize,
    /// The number of answers that mix snapshots.
    pub mixed: usize,
    /// The number of other violations.
    pub other: usize,
}

impl Summary {
    /// Returns whether no violation was found.
    pub fn passed(&self) -> bool {
        self.lost + self.doubled + self.mixed + self.other == 0
    }

    /// Formats the final line of a quick start.
    pub fn summary_line(&self) -> String {
        let history = &self.history;
        format!(
            "quickstart: offered={} complete={} partial={} refused={} lost={} doubled={} mixed={}",
            history.requests.len(),
            history.count(Ending::Complete),
            history.count(Ending::Partial),
            history.count(Ending::Refused),
            self.lost,
            self.doubled,
            self.mixed
        )
    }
}

/// Runs both tenants in this process and checks their history.
pub async fn run(
    seed: Seed,
    time: Duration,
    blocks: [[u8; 2]; 2],
) -> Result<Summary, NetworkError> {
    let deployments =
        [Deployment::fraser_basin(blocks[0], seed), Deployment::caldermuir(blocks[1], seed)];
    let mut clusters = Vec::new();
    for deployment in deployments {
        clusters.push(Cluster::start(deployment, Settings::default()).await?);
    }
    tokio::time::sleep(WARM_UP).await;
    let loads = clusters
        .iter()
        .map(|cluster| load::run(&cluster.deployment, Load::of(&cluster.deployment, time)));
    let histories = futures::future::join_all(loads).await;
    let mut total = History::default();
    for (cluster, mut history) in clusters.iter().zip(histories) {
        cluster.collect(&mut history);
        print!("{}", ServiceScores::of(&history));
        let (peak, over_limit) = cluster.connections();
        println!(
            "{}: peak connections {:.0}% of the limit, {over_limit} above it\n",
            cluster.deployment.workspace,
            peak * 100.0
        );
        total.requests.extend(history.requests);
        total.effects.extend(history.effects);
    }
    Ok(summarize(total))
}

fn summarize(history: History) -> Summary {
    let violations = check(&history);
    for violation in &violations {
        println!("violation {violation}");
    }
    let lost = count(&violations, Invariant::NoLoss);
    let doubled = count(&violations, Invariant::AtMostOnce);
    let mixed = count(&violations, Invariant::Snapshot);
    let other = violations.len() - lost - doubled - mixed;
    Summary { history, lost, doubled, mixed, other }
}
