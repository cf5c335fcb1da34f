//! Stand-ins for searchers, and the record of what happens in a run.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::fmt::Display;
use std::hash::{Hash, Hasher};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, encode_response};
use crate::platform::Store;

pub const ID: &str = "X-Bergamotstand-Request-Id";
pub const DEADLINE: &str = "X-Bergamotstand-Deadline-Ms";
pub const STAMP: &str = "X-Bergamotstand-Response-Stamp";
pub const TARGET: &str = "X-Bergamotstand-Target-Instance";
pub const NOT_EXECUTED: &str = "X-Bergamotstand-Not-Executed";

/// The length of a record of a part.
pub const RECORD: usize = 16;

/// The requests that a searcher processes at the same time, and those that may wait.
const SLOTS: usize = 4;
const QUEUE: usize = 12;

/// What a searcher did with a request that it began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub service: String,
    pub searcher: String,
    pub stamp: String,
    pub status: u16,
    pub answer: Vec<u8>,
}

/// What was sent, run and answered, with the time since the start.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        let (lines, runs) = (Mutex::default(), Mutex::default());
        Arc::new(Self { started: Instant::now(), lines, runs })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, line: impl Display) {
        let at = self.now().as_millis();
        self.lines.lock().unwrap().push(format!("{at:>6} ms  {line}"));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn write(&self, path: &std::path::Path) -> io::Result<()> {
        std::fs::write(path, self.lines.lock().unwrap().join("\n") + "\n")
    }
}

/// How a searcher answers a request that it runs.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub status: u16,
    pub body: Vec<u8>,
    pub work: Duration,
    /// How many bytes of the answer are left out. The answer before on the same connection comes
    /// again behind it, late and piece by piece.
    pub cut: usize,
}

/// How late a second answer is, and the pieces in which it is sent.
const LATE: Duration = Duration::from_millis(15);
const PIECE: usize = 8;
const PIECE_INTERVAL: Duration = Duration::from_millis(3);

/// The requests at a searcher.
#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

type Behaviour = dyn Fn(&Request) -> Verdict + Send + Sync;

/// A searcher.
pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    behaviour: Mutex<Arc<Behaviour>>,
    load: Mutex<Load>,
    freed: Condvar,
    /// The last answer on each connection.
    last: Mutex<HashMap<SocketAddr, Vec<u8>>>,
    record: Arc<Record>,
}

impl Searcher {
    /// Starts a searcher and lists it in the store.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        store: &Store,
        record: &Arc<Record>,
        behaviour: impl Fn(&Request) -> Verdict + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let listener = http::listen(Ipv4Addr::LOCALHOST)?;
        let searcher = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            behaviour: Mutex::new(Arc::new(behaviour)),
            load: Mutex::default(),
            freed: Condvar::new(),
            last: Mutex::default(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&searcher);
        http::serve(listener, move |request, stream| shared.answer(&request, stream));
        searcher.publish(store, "ready");
        Ok(searcher)
    }

    /// Writes the entry of the searcher.
    pub fn publish(&self, store: &Store, state: &str) {
        let Self { service, address, zone, .. } = self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"{state}","warmup_left_ms":0,"sequence":1}}"#
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Changes how the searcher answers.
    pub fn set_behaviour(&self, behaviour: impl Fn(&Request) -> Verdict + Send + Sync + 'static) {
        *self.behaviour.lock().unwrap() = Arc::new(behaviour);
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header(ID).to_owned();
        let echo = (ID, id.clone());
        if request.path() == "/health" {
            let instance = ("X-Bergamotstand-Instance-Id", self.id.clone());
            stream.write_all(&encode_response(200, &[instance], b""))?;
            return Ok(true);
        }
        let target = request.header(TARGET);
        let refusal = match () {
            () if id.is_empty() => Some(400),
            () if !target.is_empty() && target != self.id => Some(421),
            () if !self.enter() => Some(503),
            () => None,
        };
        if let Some(status) = refusal {
            self.record.note(format_args!("{} refuses {id} with {status}, not executed", self.id));
            let headers = [echo, (NOT_EXECUTED, "1".to_owned())];
            stream.write_all(&encode_response(status, &headers, b""))?;
            return Ok(true);
        }
        let behaviour = Arc::clone(&self.behaviour.lock().unwrap());
        let Verdict { status, body, work, cut } = behaviour(request);
        let stamp = self.begin(&id, status, &body);
        std::thread::sleep(work);
        let headers = [echo, (STAMP, stamp)];
        let answer = encode_response(status, &headers, &body);
        let peer = stream.peer_addr().ok();
        let before = peer.and_then(|peer| self.last.lock().unwrap().insert(peer, answer.clone()));
        let cut = if before.is_some() { cut } else { 0 };
        let sent = stream.write_all(&answer[..answer.len() - cut]);
        self.leave();
        if let (Some(before), 1..) = (before, cut) {
            self.record.note(format_args!(
                "{} leaves out {cut} bytes of its answer to {id} and sends the one before again",
                self.id
            ));
            std::thread::sleep(LATE);
            for piece in before.chunks(PIECE) {
                stream.write_all(piece)?;
                std::thread::sleep(PIECE_INTERVAL);
            }
        }
        self.record.note(format_args!("{} answers {id} with {status}", self.id));
        sent.map(|()| true)
    }

    /// Records that a request begins to run, and returns the signature of its answer.
    fn begin(&self, id: &str, status: u16, body: &[u8]) -> String {
        let mut runs = self.record.runs.lock().unwrap();
        let stamp = format!("{}.{id}.{}", self.id, runs.len());
        runs.push(Run {
            request: id.to_owned(),
            service: self.service.clone(),
            searcher: self.id.clone(),
            stamp: stamp.clone(),
            status,
            answer: body.to_vec(),
        });
        drop(runs);
        self.record.note(format_args!("{} of {} runs {id}", self.id, self.service));
        stamp
    }

    /// Waits for a slot; returns whether there is one or room to wait.
    fn enter(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= SLOTS && load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= SLOTS {
            load = self.freed.wait(load).unwrap();
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn leave(&self) {
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }
}

/// Returns a number from 0 to 1 that depends on some text only.
pub fn draw(text: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Returns the records that every searcher of a shard finds for a request.
pub fn records(service: &str, request: &str, count: usize) -> Vec<u8> {
    let record = |index: usize| {
        let mut hasher = DefaultHasher::new();
        (service, request, index).hash(&mut hasher);
        let first = hasher.finish();
        first.hash(&mut hasher);
        [first.to_be_bytes(), hasher.finish().to_be_bytes()].concat()
    };
    (0..count).flat_map(record).collect()
}

/// Returns the greatest records of some parts, falling.
pub fn greatest(parts: &[Vec<u8>], count: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(RECORD)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(count);
    records.concat()
}
