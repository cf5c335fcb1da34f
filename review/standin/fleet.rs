//! The daemons of the project as separate processes, started as the platform starts them.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

const FRONT_PORT: u16 = 8104;
const READINESS_PORT: u16 = 8108;
const CONTROL_PORT: u16 = 8106;
const DIRECTORY_PORT: u16 = 8100;
const INTERNAL_PORTS: (u16, u16) = (7380, 7395);
/// The port in `deploy/system.toml`.
const METRICS_PORT: u16 = 9464;

/// How long a daemon may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The processes that this run has started and not yet waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn running<T>(change: impl FnOnce(&mut Vec<u32>) -> T) -> T {
    change(&mut RUNNING.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Ends all processes that this run has started.
pub fn end_all() {
    for pid in running(std::mem::take) {
        // SAFETY: `kill` has no requirements; the process was started by this one.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// A machine of the deployment.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub region: String,
    /// The share of a core that the settings state.
    pub cpu_share: f64,
}

pub struct Daemon {
    pub ip: Ipv4Addr,
    pub machine: Machine,
    child: Option<Child>,
}

pub struct Fleet {
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
    program: Vec<String>,
    store: SocketAddr,
    record: Arc<Record>,
}

/// Returns a subnet of the loopback range in which the ports of the daemons are free.
pub fn free_subnet(machines: u8) -> Option<u8> {
    let first = (std::process::id() % 100) as u8 + 100;
    let ports = [
        FRONT_PORT,
        READINESS_PORT,
        DIRECTORY_PORT,
        INTERNAL_PORTS.0,
        INTERNAL_PORTS.0 + 1,
        METRICS_PORT,
    ];
    let is_free = |subnet: &u8| {
        (1..=machines).all(|machine| {
            let ip = Ipv4Addr::new(127, *subnet, 0, machine);
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        })
    };
    (first..first + 50).find(is_free)
}

impl Fleet {
    pub fn new(
        subnet: u8,
        machines: Vec<Machine>,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("bergamotstand-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let daemon = |(index, machine)| Daemon {
            ip: Ipv4Addr::new(127, subnet, 0, index as u8 + 1),
            machine,
            child: None,
        };
        Ok(Self {
            daemons: machines.into_iter().enumerate().map(daemon).collect(),
            folder,
            program: deploy_command()?,
            store: store.address,
            record: Arc::clone(record),
        })
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.daemons[index].ip, FRONT_PORT))
    }

    pub fn directory(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.daemons[index].ip, DIRECTORY_PORT))
    }

    /// Starts a process, as the platform does at the start and after the end of another one.
    pub fn start(&mut self, index: usize, bootstrap: bool) -> io::Result<()> {
        let settings = self.settings(index, bootstrap);
        let Daemon { machine, child, .. } = &mut self.daemons[index];
        let path = self.folder.join(format!("{}.json", machine.name));
        fs::write(&path, settings)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", machine.name)))?;
        let mut command = Command::new(&self.program[0]);
        command.args(&self.program[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("BERGAMOTSTAND_BOOT", &path).stdin(Stdio::null()).stdout(log);
        let started = command.stderr(Stdio::null()).spawn()?;
        running(|pids| pids.push(started.id()));
        self.record.note(&format!("platform starts {} (pid {})", machine.name, started.id()));
        *child = Some(started);
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, index: usize, signal: i32) {
        let Daemon { machine, child, .. } = &self.daemons[index];
        if let Some(child) = child {
            self.record.note(&format!("signal {signal} to {}", machine.name));
            // SAFETY: `kill` has no requirements; the process was started by this one and has not
            // been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of a process until a time, after which it is killed, as by the platform.
    pub fn wait_for_end(&mut self, index: usize, until: Instant) -> Instant {
        let Daemon { machine, child, .. } = &mut self.daemons[index];
        let Some(mut ending) = child.take() else { return Instant::now() };
        while Instant::now() < until && matches!(ending.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(2));
        }
        let ended = Instant::now();
        let status = match ending.try_wait() {
            Ok(Some(status)) => status.to_string(),
            _ => "killed by the platform".to_owned(),
        };
        // It fails if the process has ended by itself.
        let _ = ending.kill();
        let _ = ending.wait();
        running(|pids| pids.retain(|pid| *pid != ending.id()));
        self.record.note(&format!("{} has ended: {status}", machine.name));
        ended
    }

    /// Waits until a machine is ready, as the platform asks it.
    pub fn wait_until_ready(&self, index: usize) -> Result<(), String> {
        let Daemon { ip, machine, .. } = &self.daemons[index];
        let (address, begun) = (SocketAddr::from((*ip, READINESS_PORT)), Instant::now());
        while begun.elapsed() < READY_TIMEOUT {
            let answer = http::get(address, "/-/ready", Duration::from_millis(500));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record.note(&format!("{} is ready", machine.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} did not become ready", machine.name))
    }

    /// Returns the settings file of a machine, as DEPLOY.md shows it.
    fn settings(&self, index: usize, bootstrap: bool) -> String {
        let Daemon { ip, machine, .. } = &self.daemons[index];
        let Machine { name, zone, region, cpu_share } = machine;
        let zones: Vec<String> = self
            .daemons
            .iter()
            .map(|daemon| format!("\"{}\":\"{}\"", daemon.machine.zone, daemon.machine.region))
            .collect();
        let seeds: Vec<String> = self
            .daemons
            .iter()
            .take(3)
            .map(|daemon| format!("\"{}:{CONTROL_PORT}\"", daemon.ip))
            .collect();
        let (zones, seeds, store) = (zones.join(","), seeds.join(","), self.store);
        let (first, last) = INTERNAL_PORTS;
        format!(
            r#"{{"node":"{name}","role":"entry","machine_class":"front",
"serves":["front","directory","control"],"ip":"{ip}","zone":"{zone}","region":"{region}",
"zones":{{{zones}}},"listen":{{"front":"{ip}:{FRONT_PORT}","readiness":"{ip}:{READINESS_PORT}",
"control":"{ip}:{CONTROL_PORT}","directory":"{ip}:{DIRECTORY_PORT}"}},
"internal_ports":[{first},{last}],"seeds":[{seeds}],"bootstrap":{bootstrap},"fault_counted":false,
"limits":{{"cpu_share":{cpu_share},"cpu_cores":1,"memory_mb":260,"max_fds":4100,
"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"platform","entry":"directory",
"heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","scatter",
"platform"],"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":4000,"ack_ms":5000,"catch_up_s":4,
"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"rollback_slack_ms":250,
"max_stretch_ms":12000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":56,
"recovery_s":12,"ttl_max_s":5}},"platform":{{"address":"{store}","form":"read","writes_per_s":400,
"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}}}
"#
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.daemons.len() {
            self.signal(index, SIGKILL);
            self.wait_for_end(index, Instant::now() + Duration::from_secs(2));
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the command of the role in the deploy file.
fn deploy_command() -> io::Result<Vec<String>> {
    let deploy = fs::read_to_string(Path::new("deploy/system.toml"))?;
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let words = line.map(|line| line.trim().trim_matches('"').split(' ').map(str::to_owned));
    let words: Vec<String> = words.map(Iterator::collect).unwrap_or_default();
    if words.is_empty() {
        return Err(io::Error::other("deploy/system.toml has no command"));
    }
    Ok(words)
}
