//! Stand-ins in a separate process, for daemons that are started by hand.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bergamot_base::Seed;
use bergamot_config::Settings;

use crate::cluster::Cluster;
use crate::deployment::Deployment;

/// The loopback address block of deployments that are started by hand.
const BLOCK: [u8; 2] = [42, 1];

/// Returns the deployment of the tenant with a workspace.
pub fn tenant(workspace: &str, seed: Seed) -> Option<Deployment> {
    let tenants = [Deployment::fraser_basin(BLOCK, seed), Deployment::caldermuir(BLOCK, seed)];
    tenants.into_iter().find(|tenant| tenant.workspace == workspace)
}

/// Writes the document and the settings of each instance into a folder.
pub fn write_files(deployment: &Deployment, folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    std::fs::create_dir_all(folder)?;
    let mut written = vec![folder.join("document.json")];
    std::fs::write(&written[0], deployment.document(1))?;
    for number in 0..deployment.instances {
        let path = folder.join(format!("instance-{number}.ini"));
        std::fs::write(&path, settings_text(deployment, number, deployment.platform()))?;
        written.push(path);
    }
    Ok(written)
}

/// Returns the content of the settings file of an instance that uses a platform.
pub fn settings_text(deployment: &Deployment, number: usize, platform: [SocketAddr; 2]) -> String {
    let [configuration, instances] = platform;
    let mut text = String::new();
    let _ = writeln!(text, "[instance]");
    let _ = writeln!(text, "address = {}", deployment.instance(number));
    let _ = writeln!(text, "zone = {}", deployment.zone(number));
    let _ = writeln!(text, "\n[platform]");
    let _ = writeln!(text, "configuration = {configuration}");
    let _ = writeln!(text, "instances = {instances}");
    text
}

/// Starts the platform and the searchers of a tenant.
pub async fn start(deployment: Deployment) -> Result<Cluster, bergamot_net::NetworkError> {
    Cluster::start_stand_ins(deployment, Settings::default(), &[1]).await
}
