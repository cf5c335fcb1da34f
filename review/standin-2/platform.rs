//! Stand-ins for the platform: its store, and the start of the daemons.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, encode_response};

#[derive(Default)]
struct Items {
    /// The revision and the value of each key.
    items: BTreeMap<String, (u64, String)>,
    revision: u64,
}

/// The platform's store.
pub struct Store {
    pub address: SocketAddr,
    items: Mutex<Items>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = http::listen(Ipv4Addr::LOCALHOST)?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self {
            address,
            items: Mutex::new(Items { revision: 1, ..Items::default() }),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&store);
        http::serve(listener, move |request, stream| shared.respond(&request, stream));
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.items.insert(key.to_owned(), (revision, value.to_owned()));
        self.changed.notify_all();
    }

    fn respond(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = request.parameter("prefix").unwrap_or_default();
        let (status, body) = match request.path() {
            "/-/kv-range" => {
                let after = request.parameter("after").unwrap_or_default();
                let items = self.items.lock().unwrap();
                let found =
                    items.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<String> =
                    found.map(|(key, (revision, value))| event(key, *revision, value)).collect();
                let (revision, found) = (items.revision, found.join(","));
                let body = format!(
                    r#"{{"items":[{found}],"has_more":false,"store_revision":{revision}}}"#
                );
                (200, body)
            }
            "/-/kv-key" => {
                let key = request.parameter("key").unwrap_or_default();
                match self.items.lock().unwrap().items.get(&key) {
                    Some((revision, value)) => (200, event(&key, *revision, value)),
                    _ => (404, "{}".to_owned()),
                }
            }
            "/-/kv-watch" => {
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                (200, self.watch(&prefix, after, wait))
            }
            _ => (404, "{}".to_owned()),
        };
        let json = [("Content-Type", "application/json".to_owned())];
        stream.write_all(&encode_response(status, &json, body.as_bytes()))?;
        Ok(true)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut items = self.items.lock().unwrap();
        loop {
            let changed = items
                .items
                .iter()
                .filter(|(key, (revision, _))| key.starts_with(prefix) && *revision > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, (revision, _))| *revision);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let events: Vec<String> = changed
                    .into_iter()
                    .map(|(key, (revision, value))| event(key, *revision, value))
                    .collect();
                let (revision, events) = (items.revision, events.join(","));
                return format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#);
            }
            items = self.changed.wait_timeout(items, left).unwrap().0;
        }
    }
}

fn event(key: &str, revision: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// The daemons of one deployment, which are killed when this is dropped.
pub struct Fleet {
    subnet: (u8, u8),
    dir: PathBuf,
    store: SocketAddr,
    zones: Vec<&'static str>,
    daemons: Vec<Child>,
}

const FRONT_PORT: u16 = 18104;
const READINESS_PORT: u16 = 18108;

impl Fleet {
    /// Starts a daemon in each of some zones, each of which is a region of its own, and waits until
    /// all are ready.
    pub fn start(zones: &[&'static str], store: SocketAddr) -> io::Result<Self> {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-2-{id}"));
        std::fs::create_dir_all(&dir)?;
        let subnet = free_subnet(id, zones.len())?;
        let zones = zones.to_vec();
        let mut fleet = Self { subnet, dir, store, zones, daemons: Vec::new() };
        for number in 0..fleet.zones.len() {
            let child = fleet.spawn(number)?;
            fleet.daemons.push(child);
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for number in 0..self.zones.len() {
            let address = SocketAddr::from((self.ip(number), READINESS_PORT));
            let probe = || {
                let host = [("Host", "ready".to_owned())];
                http::call(address, "GET", "/-/ready", &host, b"", Duration::from_secs(1))
            };
            while !probe().is_ok_and(|response| response.status == 200) {
                if Instant::now() > until {
                    return Err(io::Error::other(format!("daemon {number} is not ready")));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    pub fn ip(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, number as u8 + 1)
    }

    /// Returns the address for clients of a daemon.
    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.ip(number), FRONT_PORT))
    }

    pub fn len(&self) -> usize {
        self.zones.len()
    }

    fn spawn(&self, number: usize) -> io::Result<Child> {
        let path = self.dir.join(format!("boot-{number}.json"));
        std::fs::write(&path, self.settings(number))?;
        let log = std::fs::File::create(self.dir.join(format!("log-{number}.txt")))?;
        Command::new(Path::new("target/release/bergamot-platform"))
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("BERGAMOTSTAND_BOOT", path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .spawn()
    }

    fn settings(&self, number: usize) -> String {
        let (ip, zone, store) = (self.ip(number), self.zones[number], self.store);
        let seeds: Vec<String> =
            (0..self.len().min(3)).map(|seed| format!(r#""{}:18106""#, self.ip(seed))).collect();
        let seeds = seeds.join(",");
        let zones: BTreeMap<&str, &str> = self.zones.iter().map(|zone| (*zone, *zone)).collect();
        let zones: Vec<String> =
            zones.keys().map(|zone| format!(r#""{zone}":"region-{zone}""#)).collect();
        let zones = zones.join(",");
        format!(
            r#"{{"node":"front-{number}","role":"entry","machine_class":"front",
"serves":["front","control","directory"],"ip":"{ip}","zone":"{zone}","region":"region-{zone}",
"zones":{{{zones}}},
"listen":{{"front":"{ip}:{FRONT_PORT}","readiness":"{ip}:{READINESS_PORT}","control":"{ip}:18106","directory":"{ip}:18100"}},
"internal_ports":[17380,17395],"seeds":[{seeds}],"bootstrap":true,"fault_counted":false,
"limits":{{"cpu_share":0.25,"cpu_cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],
"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":4000,"ack_ms":5000,"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"rollback_slack_ms":250,"max_stretch_ms":12000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":56,"recovery_s":12,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"read","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}}}"#
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.daemons {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Finds a loopback network on whose addresses the ports of the daemons are free.
fn free_subnet(id: u32, daemons: usize) -> io::Result<(u8, u8)> {
    for attempt in 0..50 {
        let number = id.wrapping_mul(31).wrapping_add(attempt * 7919);
        let subnet = ((number % 200) as u8 + 20, (number / 200 % 250) as u8 + 1);
        let ports = [9464, 17380, 17381, 18100, 18104, 18106, 18108];
        let is_free = |daemon: usize| {
            let ip = Ipv4Addr::new(127, subnet.0, subnet.1, daemon as u8 + 1);
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        };
        if (0..daemons).all(is_free) {
            return Ok(subnet);
        }
    }
    Err(io::Error::other("no free loopback network"))
}
