//! Runs the daemons as separate processes against stand-ins in the test process.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

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
use bergamot_standin::Process;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The default callers' port of an entry.
pub const ENTRY_PORT: u16 = 7400;

pub const ENTRY: &str = env!("CARGO_BIN_EXE_bergamot-entry");
pub const GATHER: &str = env!("CARGO_BIN_EXE_bergamot-gather");
pub const CTL: &str = env!("CARGO_BIN_EXE_bergamotctl");

/// A daemon process, which is killed when dropped.
pub struct DaemonProcess(Child);

impl DaemonProcess {
    /// Starts a daemon with a settings file.
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

    /// The same with a limit on its descriptors, which a shell sets before it becomes the program.
    pub fn start_within(program: &str, settings: &Path, descriptors: u64) -> Self {
        let child = Command::new("sh")
            .args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\" --settings \"$1\"")])
            .arg(program)
            .arg(settings)
            .env("RUST_LOG", "warn,tarpc=off")
            .stdout(Stdio::null())
            .spawn()
            .expect("a shell is available");
        Self(child)
    }

    /// Returns what the operating system says of the process.
    pub fn process(&self) -> Process {
        Process::new(self.0.id())
    }

    /// Sends a signal, given by name without `SIG`, to this process only.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.0.id().to_string()])
            .status()
            .expect("the kill command is available");
        assert!(status.success(), "kill -{name} failed");
    }

    /// Waits for the process to exit and returns its exit code, or `None` on timeout or if a
    /// signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.0.try_wait().expect("the process is a child of this one") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Errors are ignored, since the process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The daemon processes of one instance.
pub struct Instance {
    pub entry: DaemonProcess,
    pub gather: DaemonProcess,
}

/// Stand-ins in this process and the daemon processes that use them.
pub struct Testbed {
    pub stand_ins: Cluster,
    pub instances: Vec<Instance>,
    directory: PathBuf,
    common_settings: String,
}

impl Testbed {
    /// Starts the stand-ins of a deployment. `common_settings` is appended to every settings file,
    /// and the platform lists the first `listed` instances.
    pub async fn start(deployment: Deployment, listed: usize, common_settings: &str) -> Self {
        let name = format!("bergamot-{}-{:?}", std::process::id(), deployment.block);
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let stand_ins = Cluster::start_stand_ins(deployment, Settings::default(), &[1])
            .await
            .expect("no other test uses the block of addresses");
        stand_ins.platform.set_instances(stand_ins.deployment.list(0..listed));
        Self {
            stand_ins,
            instances: Vec::new(),
            directory,
            common_settings: common_settings.to_owned(),
        }
    }

    /// Starts the daemons of an instance and waits until its entry answers.
    pub async fn add(&mut self, number: usize) {
        let platform = self.stand_ins.deployment.platform();
        self.add_with_settings(number, platform, "", ENTRY_PORT).await;
    }

    /// Like [`Self::add`], with another platform, additional settings and the callers' port that
    /// they set.
    pub async fn add_with_settings(
        &mut self,
        number: usize,
        platform: [SocketAddr; 2],
        extra_settings: &str,
        port: u16,
    ) {
        let settings = self.settings_with(number, platform, extra_settings);
        let gather = DaemonProcess::start(GATHER, &settings);
        let entry = DaemonProcess::start(ENTRY, &settings);
        self.instances.push(Instance { entry, gather });
        let address = SocketAddr::from((self.entry(number).ip(), port));
        wait_until_serving(address).await;
    }

    /// Like [`Self::add`], with a limit on the descriptors of each daemon.
    pub async fn add_within(&mut self, number: usize, descriptors: Option<u64>) {
        let Some(descriptors) = descriptors else { return self.add(number).await };
        let settings = self.settings(number);
        let gather = DaemonProcess::start_within(GATHER, &settings, descriptors);
        let entry = DaemonProcess::start_within(ENTRY, &settings, descriptors);
        self.instances.push(Instance { entry, gather });
        wait_until_serving(self.entry(number)).await;
    }

    /// Writes the settings file of an instance.
    pub fn settings(&self, number: usize) -> PathBuf {
        self.settings_with(number, self.stand_ins.deployment.platform(), "")
    }

    fn settings_with(
        &self,
        number: usize,
        platform: [SocketAddr; 2],
        extra_settings: &str,
    ) -> PathBuf {
        let path = self.directory.join(format!("instance-{number}.ini"));
        let text = stand_ins::settings_text(&self.stand_ins.deployment, number, platform);
        std::fs::write(&path, text + &self.common_settings + extra_settings)
            .expect("the temporary directory is writable");
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

impl Drop for Testbed {
    fn drop(&mut self) {
        // A directory that cannot be removed does not affect other tests.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Waits until an entry answers.
pub async fn wait_until_serving(entry: SocketAddr) {
    until("the entry serves", || async move {
        fetch(Ipv4Addr::UNSPECIFIED, entry, "/v1/addresses", WAIT_TIMEOUT).await.is_ok()
    })
    .await;
}

/// Posts a body and returns the status and the decoded JSON body, or null if it is not JSON.
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

/// Like [`post`], or `None` without an answer.
pub async fn try_post(
    entry: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<(u16, serde_json::Value)> {
    let mut request = Request::post(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).expect("a valid request");
    let mut client =
        Client::connect(Ipv4Addr::UNSPECIFIED, entry, Duration::from_secs(1)).await.ok()?;
    let reply = tokio::time::timeout(WAIT_TIMEOUT, client.send(request)).await.ok()?.ok()?;
    let value = serde_json::from_slice(reply.body()).unwrap_or_default();
    Some((reply.status().as_u16(), value))
}

/// Sends a request over a new connection.
pub async fn send(entry: SocketAddr, request: Request<Full<Bytes>>) -> Reply {
    let mut client = Client::connect(Ipv4Addr::UNSPECIFIED, entry, WAIT_TIMEOUT)
        .await
        .expect("the entry listens");
    client.send(request).await.expect("the entry answers")
}

/// Sends bytes over a new connection and returns the status of the first response.
pub async fn raw_status(entry: SocketAddr, bytes: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(entry).await.expect("the entry listens");
    stream.write_all(bytes.as_bytes()).await.expect("the entry reads");
    let mut received = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut received)).await;
    read.expect("the entry closes the connection").expect("the connection is not reset");
    String::from_utf8_lossy(&received).split(' ').nth(1)?.parse().ok()
}

/// Fetches a path and returns the body as text.
pub async fn get(daemon: SocketAddr, path: &str) -> String {
    let reply =
        fetch(Ipv4Addr::UNSPECIFIED, daemon, path, WAIT_TIMEOUT).await.expect("the daemon answers");
    String::from_utf8_lossy(reply.body()).into_owned()
}

/// Runs a program until it exits.
pub fn run_program(program: &str, args: &[&str]) -> Output {
    Command::new(program).args(args).output().expect("the program was built with the test")
}

/// Returns standard output followed by standard error, and the exit code.
pub fn text_and_code(output: &Output) -> (String, Option<i32>) {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    (format!("{out}{err}"), output.status.code())
}
