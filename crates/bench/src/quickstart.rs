//! The main job with stand-ins: both tenants at their sizes, load, and the check.

use std::time::Duration;

use bergamot_base::Seed;
use bergamot_config::Settings;
use bergamot_net::NetworkError;

use crate::check::{Promise, check, count};
use crate::cluster::Cluster;
use crate::deployment::Deployment;
use crate::history::{Ending, History};
use crate::load::{self, Load};
use crate::score::Card;

/// How long the connections are given to warm before the load starts.
const WARM_UP: Duration = Duration::from_millis(1500);

/// What the quick start found.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The requests of all tenants.
    pub history: History,
    /// The requests without a final answer.
    pub lost: usize,
    /// The writes with more than one effect.
    pub doubled: usize,
    /// The answers of more than one snapshot.
    pub mixed: usize,
    /// Every other violation.
    pub other: usize,
}

impl Summary {
    /// Tells whether the run is a success.
    pub fn passed(&self) -> bool {
        self.lost + self.doubled + self.mixed + self.other == 0
    }

    /// Returns the line that ends the quick start.
    pub fn line(&self) -> String {
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

/// Runs both tenants in this process and checks what they saw.
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
    let mut whole = History::default();
    for (cluster, mut history) in clusters.iter().zip(histories) {
        cluster.collect(&mut history);
        print!("{}", Card::of(&history));
        let (peak, over) = cluster.connections();
        println!(
            "{}: peak connections {:.0}% of the limit, {over} above it\n",
            cluster.deployment.workspace,
            peak * 100.0
        );
        whole.requests.extend(history.requests);
        whole.effects.extend(history.effects);
    }
    Ok(summarize(whole))
}

fn summarize(history: History) -> Summary {
    let violations = check(&history);
    for violation in &violations {
        println!("violation {violation}");
    }
    let lost = count(&violations, Promise::NoLoss);
    let doubled = count(&violations, Promise::AtMostOnce);
    let mixed = count(&violations, Promise::Snapshot);
    let other = violations.len() - lost - doubled - mixed;
    Summary { history, lost, doubled, mixed, other }
}
