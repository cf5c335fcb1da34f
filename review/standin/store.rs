//! A stand-in for the platform's metadata store, as the users' page PROTOCOL.md describes it.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufReader};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Default)]
struct State {
    revision: u64,
    /// The current values.
    items: BTreeMap<String, (u64, String)>,
    /// All changes: the revision, the key, and the value unless it was deleted.
    history: Vec<(u64, String, Option<String>)>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// The machines that are partitioned from the store: they get no answers.
    cut: Mutex<BTreeSet<IpAddr>>,
}

/// How often a connection of a machine that is cut off looks whether it still is.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Store {
    pub fn start(ip: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = State { revision: 1, ..State::default() };
        let (changed, cut) = (Condvar::new(), Mutex::default());
        let store = Arc::new(Self { address, state: Mutex::new(state), changed, cut });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let (revision, value) = (state.revision, base64(value.as_bytes()));
        state.items.insert(key.to_owned(), (revision, value.clone()));
        state.history.push((revision, key.to_owned(), Some(value)));
        self.changed.notify_all();
    }

    /// Sets the machines that are partitioned from the store.
    pub fn cut_off(&self, machines: BTreeSet<IpAddr>) {
        *self.cut.lock().unwrap_or_else(PoisonError::into_inner) = machines;
    }

    /// Returns whether the machine is cut off; if so, waits until it is not any more.
    fn was_cut_off(&self, machine: IpAddr) -> bool {
        let is_cut = || self.cut.lock().unwrap_or_else(PoisonError::into_inner).contains(&machine);
        let was_cut = is_cut();
        while is_cut() {
            std::thread::sleep(CUT_CHECK_INTERVAL);
        }
        was_cut
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let machine = stream.peer_addr().ok()?.ip();
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = http::read(&mut reader, false).ok()??;
            if self.was_cut_off(machine) {
                return None;
            }
            let (status, body) = self.answer(&request);
            if self.was_cut_off(machine) {
                return None;
            }
            let headers = [("Content-Type", "application/json")];
            http::write(&mut stream, &format!("HTTP/1.1 {status}"), &headers, body.as_bytes())
                .ok()?;
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let number = |name| request.parameter(name).and_then(|value| value.parse::<u64>().ok());
        let prefix = request.parameter("prefix").unwrap_or_default();
        match request.target().split('?').next().unwrap_or_default() {
            "/-/kv-key" => {
                let (state, key) = (self.lock(), request.parameter("key").unwrap_or_default());
                match state.items.get(&key) {
                    Some((revision, value)) => ("200 OK", item(&key, *revision, value)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            "/-/kv-range" => {
                let (state, after) = (self.lock(), request.parameter("after"));
                let is_next = |key: &&String| after.as_ref().is_none_or(|after| *key > after);
                let keys: Vec<&String> = state
                    .items
                    .keys()
                    .filter(|key| key.starts_with(&prefix))
                    .filter(is_next)
                    .collect();
                let page = keys.iter().take(500).map(|key| {
                    let (revision, value) = &state.items[*key];
                    item(key, *revision, value)
                });
                let page: Vec<String> = page.collect();
                let has_more = keys.len() > page.len();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":{has_more},\"store_revision\":{}}}",
                    page.join(","),
                    state.revision
                );
                ("200 OK", body)
            }
            "/-/kv-watch" => {
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                ("200 OK", self.watch(&prefix, after, wait))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let changes = state.history.iter().filter(|(revision, _, _)| *revision > after);
            let events: Vec<String> = changes
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, *revision, value),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"store_revision\":{}}}", state.revision);
            }
            state =
                self.changed.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit <= group.len() { char::from(DIGITS[index]) } else { '=' });
        }
    }
    text
}
