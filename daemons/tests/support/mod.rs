//! Daemons as real processes against stand-ins in the test's own process.

#![allow(dead_code, reason = "each test file uses a part of the support")]

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bergamot_bench::cluster::Cluster;
use bergamot_bench::deployment::Deployment;
use bergamot_bench::stand_ins;
pub use bergamot_bench::wait::{WAIT_TIMEOUT, until};
use bergamot_config::Settings;
use bergamot_net::{Client, Reply, fetch};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

/// The callers' port of entries, unless a test changes it.
pub const ENTRY_PORT: u16 = 7400;

pub const ENTRY: &str = env!("CARGO_BIN_EXE_bergamot-entry");
pub const GATHER: &str = env!("CARGO_BIN_EXE_bergamot-gather");
pub const CTL: &str = env!("CARGO_BIN_EXE_bergamotctl");

/// A daemon that ends with the test.
pub struct Daemon(Child);

impl Daemon {
    /// Starts a program with a settings file.
    pub fn start(program: &str, settings: &Path) -> Self {
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .env("RUST_LOG", "warn,tarpc=off")
            .stdout(Stdio::null())
            .spawn()
            .expect("the program was built with the test");
        Self(child)
    }

    /// Sends a signal by name, to this process only.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.0.id().to_string()])
            .status()
            .expect("kill is on every machine");
        assert!(status.success(), "signal {name} was sent");
    }

    /// Waits for the exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.0.try_wait().expect("the child is ours") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already, which is as good.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The daemons of one instance as processes.
pub struct Instance {
    pub entry: Daemon,
    pub gather: Daemon,
}

/// Stand-ins in this process and daemons as processes of their own.
pub struct Bed {
    pub stand_ins: Cluster,
    pub instances: Vec<Instance>,
    folder: PathBuf,
    extra: String,
}

impl Bed {
    /// Starts the stand-ins of a deployment; `extra` is added to every settings file.
    ///
    /// The platform lists the first `listed` instances.
    pub async fn start(deployment: Deployment, listed: usize, extra: &str) -> Self {
        let name = format!("bergamot-{}-{:?}", std::process::id(), deployment.block);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let stand_ins = Cluster::start_stand_ins(deployment, Settings::default(), &[1])
            .await
            .expect("the block of addresses is this test's own");
        stand_ins.platform.list(stand_ins.deployment.list(0..listed));
        Self { stand_ins, instances: Vec::new(), folder, extra: extra.to_owned() }
    }

    /// Starts the daemons of an instance and waits until its entry serves.
    pub async fn add(&mut self, number: usize) {
        let platform = self.stand_ins.deployment.platform();
        self.add_with(number, platform, "", ENTRY_PORT).await;
    }

    /// Starts the daemons of an instance that reads another platform, with more settings
    /// and another callers' port.
    pub async fn add_with(
        &mut self,
        number: usize,
        platform: [SocketAddr; 2],
        more: &str,
        port: u16,
    ) {
        let settings = self.settings_with(number, platform, more);
        let gather = Daemon::start(GATHER, &settings);
        let entry = Daemon::start(ENTRY, &settings);
        self.instances.push(Instance { entry, gather });
        let address = SocketAddr::from((self.entry(number).ip(), port));
        serves(address).await;
    }

    /// Writes the settings file of an instance.
    pub fn settings(&self, number: usize) -> PathBuf {
        self.settings_with(number, self.stand_ins.deployment.platform(), "")
    }

    fn settings_with(&self, number: usize, platform: [SocketAddr; 2], more: &str) -> PathBuf {
        let path = self.folder.join(format!("instance-{number}.ini"));
        let text = stand_ins::settings_text(&self.stand_ins.deployment, number, platform);
        std::fs::write(&path, text + &self.extra + more)
            .expect("the temporary folder can be written");
        path
    }

    /// Returns the callers' address of an instance.
    pub fn entry(&self, number: usize) -> SocketAddr {
        (self.stand_ins.deployment.instance(number), ENTRY_PORT).into()
    }

    /// Returns the admin address of an instance's entry.
    pub fn entry_admin(&self, number: usize) -> SocketAddr {
        (self.stand_ins.deployment.instance(number), 7403).into()
    }

    /// Returns the admin address of an instance's gather.
    pub fn gather_admin(&self, number: usize) -> SocketAddr {
        (self.stand_ins.deployment.instance(number), 7413).into()
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        // What is left in the temporary folder harms nobody.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until an entry answers.
pub async fn serves(entry: SocketAddr) {
    until("the entry serves", || async move {
        fetch(Ipv4Addr::UNSPECIFIED, entry, "/v1/addresses", WAIT_TIMEOUT).await.is_ok()
    })
    .await;
}

/// Posts a body with headers and returns the status and the body.
pub async fn post(
    entry: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (u16, serde_json::Value) {
    let mut request = Request::post(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::from(body.to_owned()));
    let reply = send(entry, request.body(body).expect("a valid request")).await;
    let value = serde_json::from_slice(reply.body()).unwrap_or_default();
    (reply.status().as_u16(), value)
}

/// Sends a request over a connection of its own.
pub async fn send(entry: SocketAddr, request: Request<Full<Bytes>>) -> Reply {
    let mut client = Client::connect(Ipv4Addr::UNSPECIFIED, entry, WAIT_TIMEOUT)
        .await
        .expect("the entry listens");
    client.send(request).await.expect("the entry answers")
}

/// Gets a path as text.
pub async fn get(daemon: SocketAddr, path: &str) -> String {
    let reply =
        fetch(Ipv4Addr::UNSPECIFIED, daemon, path, WAIT_TIMEOUT).await.expect("the daemon answers");
    String::from_utf8_lossy(reply.body()).into_owned()
}

/// Runs a program to its end.
pub fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program).args(args).output().expect("the program was built with the test")
}

/// Returns what a program printed, and its exit code.
pub fn printed(output: &Output) -> (String, Option<i32>) {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    (format!("{out}{err}"), output.status.code())
}
