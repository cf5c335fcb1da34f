//! A stand-in for a searcher, as the users' page PROTOCOL.md describes it.

use std::io::{self, BufReader, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;

/// How often a searcher looks whether the connection of a request has closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// One run of a request at a searcher.
#[derive(Clone, Debug)]
pub struct Run {
    pub service: String,
    /// The identifier of the request.
    pub id: String,
    pub began: Instant,
    /// When the run ended, and whether it was answered rather than dropped.
    pub ended: Option<(Instant, bool)>,
    /// The signature of the answer.
    pub stamp: String,
    pub body: Vec<u8>,
}

/// What reached all searchers, and what they ran.
#[derive(Default)]
pub struct Ledger {
    /// The identifier and the sender of each request that reached a searcher.
    arrivals: Mutex<Vec<(String, IpAddr)>>,
    runs: Mutex<Vec<Run>>,
}

impl Ledger {
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how often a request reached a searcher from machines that match.
    pub fn arrivals(&self, id: &str, from: impl Fn(IpAddr) -> bool) -> usize {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.iter().filter(|(known, sender)| known == id && from(*sender)).count()
    }

    fn arrive(&self, id: &str, from: IpAddr) {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.push((id.to_owned(), from));
    }

    fn begin(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, index: usize, answered: bool) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs[index].ended = Some((Instant::now(), answered));
    }
}

/// What a searcher does with a request: how long it works, and what it answers.
pub type Work = dyn Fn(&str, &Message) -> (Duration, Vec<u8>) + Send + Sync;

#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// How many requests wait for a slot; others are rejected.
    pub queue: usize,
}

pub struct Searcher {
    pub settings: Settings,
    pub address: SocketAddr,
    /// The factor by which work takes longer.
    pub slowdown: AtomicU32,
    /// The number of requests that run and that wait.
    load: Mutex<(usize, usize)>,
    released: Condvar,
    sequence: AtomicU64,
    work: Arc<Work>,
    ledger: Arc<Ledger>,
    record: Arc<Record>,
}

impl Searcher {
    pub fn start(
        ip: &str,
        settings: Settings,
        work: Arc<Work>,
        ledger: &Arc<Ledger>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let searcher = Arc::new(Self {
            settings,
            address: listener.local_addr()?,
            slowdown: AtomicU32::new(1),
            load: Mutex::default(),
            released: Condvar::new(),
            sequence: AtomicU64::new(0),
            work,
            ledger: Arc::clone(ledger),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&searcher);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let searcher = Arc::clone(&serving);
                std::thread::spawn(move || searcher.serve(stream));
            }
        });
        Ok(searcher)
    }

    /// Returns the searcher's entry in the store.
    pub fn entry(&self) -> String {
        let Settings { service, zone, slots, .. } = &self.settings;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1}}",
            self.address
        )
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let from = stream.peer_addr().ok()?.ip();
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = http::read(&mut reader, false).ok()??;
            self.answer(&mut stream, from, &request)?;
        }
    }

    /// Answers a request; `None` if its connection has closed.
    fn answer(&self, stream: &mut TcpStream, from: IpAddr, request: &Message) -> Option<()> {
        let own = &self.settings.id;
        if request.target() == "/health" {
            let headers = [("X-Bergamotstand-Instance-Id", own.as_str())];
            return http::write(stream, "HTTP/1.1 200 OK", &headers, b"").ok();
        }
        let target = request.header("X-Bergamotstand-Target-Instance");
        if target.is_some_and(|target| target != own) {
            let headers = [("X-Bergamotstand-Instance-Id", own.as_str())];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"").ok();
        }
        let Some(id) = request.header("X-Bergamotstand-Request-Id").map(str::to_owned) else {
            return self.reject(stream, "HTTP/1.1 400 Bad Request", "");
        };
        let millis = request.header("X-Bergamotstand-Deadline-Ms").and_then(|ms| ms.parse().ok());
        let deadline = millis.map(|millis| Instant::now() + Duration::from_millis(millis));
        self.ledger.arrive(&id, from);
        let left = millis.map_or_else(|| "none".to_owned(), |millis: u64| format!("{millis} ms"));
        self.record.note(&format!("{own} gets {id} from {from}, deadline {left}"));
        if !self.wait_for_slot(stream, deadline)? {
            self.record.note(&format!("{own} rejects {id}"));
            return self.reject(stream, "HTTP/1.1 503 Service Unavailable", &id);
        }
        let result = self.run(stream, &id, request, deadline);
        self.release();
        result
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        id: &str,
        request: &Message,
        deadline: Option<Instant>,
    ) -> Option<()> {
        let Settings { id: own, service, .. } = &self.settings;
        let (work, body) = (self.work)(service, request);
        let work = work * self.slowdown.load(Ordering::Relaxed);
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let stamp = format!("{own}.{sequence}.{id}");
        self.record.note(&format!("{own} runs {id} for {} ms", work.as_millis()));
        let run = self.ledger.begin(Run {
            service: service.clone(),
            id: id.to_owned(),
            began: Instant::now(),
            ended: None,
            stamp: stamp.clone(),
            body: body.clone(),
        });
        let until = Instant::now() + work;
        while Instant::now() < until {
            if has_closed(stream) {
                self.ledger.end(run, false);
                self.record.note(&format!("{own} drops {id}: its connection was closed"));
                return None;
            }
            if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                self.ledger.end(run, false);
                self.record.note(&format!("{own} stops {id} at its deadline"));
                let headers = [("X-Bergamotstand-Request-Id", id)];
                return http::write(stream, "HTTP/1.1 504 Gateway Timeout", &headers, b"").ok();
            }
            let left = until.saturating_duration_since(Instant::now());
            std::thread::sleep(left.min(CLOSE_CHECK_INTERVAL));
        }
        self.ledger.end(run, true);
        self.record.note(&format!("{own} answers {id}"));
        let headers =
            [("X-Bergamotstand-Request-Id", id), ("X-Bergamotstand-Response-Stamp", &stamp)];
        http::write(stream, "HTTP/1.1 200 OK", &headers, &body).ok()
    }

    fn reject(&self, stream: &mut TcpStream, status: &str, id: &str) -> Option<()> {
        let headers = [("X-Bergamotstand-Request-Id", id), ("X-Bergamotstand-Not-Executed", "1")];
        http::write(stream, status, &headers, b"").ok()
    }

    /// Waits for a slot. Returns whether one is taken; `None` if the connection has closed.
    fn wait_for_slot(&self, stream: &TcpStream, deadline: Option<Instant>) -> Option<bool> {
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        if load.0 >= self.settings.slots && load.1 >= self.settings.queue {
            return Some(false);
        }
        load.1 += 1;
        loop {
            if has_closed(stream) {
                load.1 -= 1;
                return None;
            }
            if load.0 < self.settings.slots {
                *load = (load.0 + 1, load.1 - 1);
                return Some(true);
            }
            if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                load.1 -= 1;
                return Some(false);
            }
            let waited = self.released.wait_timeout(load, CLOSE_CHECK_INTERVAL);
            load = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn release(&self) {
        self.load.lock().unwrap_or_else(PoisonError::into_inner).0 -= 1;
        self.released.notify_one();
    }
}

fn has_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let is_open = match peeked {
        Ok(length) => length > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || !is_open
}
