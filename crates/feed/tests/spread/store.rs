//! The simulated store: versions of one declaration, and a restore from a copy.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Position, hash_bytes};
use bergamot_declaration::Declaration;
use bergamot_feed::{LookupReply, QueryError, ReadResult, Record, RecordEvent, Scope};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// The only key in the store.
pub const KEY: &str = "declaration";

/// The response time of the store.
const RESPONSE_TIME: Duration = Duration::from_millis(4);

/// The number and the value of a version of the declaration.
type Version = (u64, Arc<[u8]>);

#[derive(Debug, Default)]
struct History {
    /// Versions in the order of their revisions, which start at 2.
    versions: Vec<Version>,
    era: u64,
    /// Whether calls are rejected.
    down: bool,
    /// The number of the last published version, in any era.
    last_published: u64,
    /// When each version was acknowledged, by its number.
    acknowledged: BTreeMap<u64, Instant>,
    calls: usize,
}

impl History {
    fn at(&self) -> Position {
        Position { era: self.era, revision: 1 + self.versions.len() as u64 }
    }

    fn after(&self, revision: u64) -> Vec<Record> {
        let newer = self.versions.iter().enumerate().skip(revision.saturating_sub(1) as usize);
        let record = |(index, (number, value)): (usize, &Version)| Record {
            key: Name::from(KEY),
            value: Some(value.to_vec()),
            position: Position { era: self.era, revision: index as u64 + 2 },
            version: Some(*number),
        };
        newer.map(record).collect()
    }
}

/// A store to which one declaration is published.
#[derive(Debug)]
pub struct Store {
    history: Mutex<History>,
    changed: watch::Sender<u64>,
    routes: usize,
    /// The response time in addition to the usual one.
    extra_delay: Duration,
}

impl Store {
    pub fn new(routes: usize, extra_delay: Duration) -> Self {
        Self { history: Mutex::default(), changed: watch::Sender::new(0), routes, extra_delay }
    }

    /// Publishes the next version.
    pub fn publish(&self) {
        let mut history = self.lock();
        history.last_published += 1;
        let number = history.last_published;
        history.versions.push((number, declaration(self.routes, number)));
        history.acknowledged.insert(number, Instant::now());
        drop(history);
        self.changed.send_modify(|changes| *changes += 1);
    }

    /// Rejects all calls from now on.
    pub fn go_down(&self) {
        self.lock().down = true;
    }

    /// Restores the store in a new era, from a copy that lacks the last `lost` versions.
    pub fn restore(&self, lost_versions: usize) {
        let mut history = self.lock();
        let kept = history.versions.len().saturating_sub(lost_versions).max(1);
        history.versions.truncate(kept);
        history.era += 1;
        history.down = false;
        drop(history);
        self.changed.send_modify(|changes| *changes += 1);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    /// Returns the number of the last published version.
    pub fn last_published(&self) -> u64 {
        self.lock().last_published
    }

    /// Returns when the first version after the given one was acknowledged, if any was.
    pub fn acknowledged_after(&self, version: u64) -> Option<Instant> {
        self.lock().acknowledged.range(version + 1..).next().map(|(_, at)| *at)
    }

    pub async fn list(&self) -> ReadResult {
        self.call().await?;
        let history = self.lock();
        // A listing contains each record once.
        let records = history.after(1).pop().into_iter().collect();
        Ok((records, history.at()))
    }

    pub async fn watch(&self, after: Position, scope: Scope, wait: Duration) -> ReadResult {
        let mut changed = self.changed.subscribe();
        self.call().await?;
        let news = async {
            while self.lock().at().revision == after.revision && changed.changed().await.is_ok() {}
        };
        // No searchers change in this simulation.
        if scope == Scope::All {
            drop(timeout(wait, news).await);
        }
        let history = self.lock();
        if after.revision > history.at().revision {
            return Err(QueryError::HistoryUnavailable);
        }
        let told = if scope == Scope::All { history.after(after.revision) } else { Vec::new() };
        Ok((told, history.at()))
    }

    pub async fn lookup(&self) -> Result<LookupReply, QueryError> {
        self.call().await?;
        let history = self.lock();
        Ok(LookupReply { record: history.after(1).pop(), era: history.era })
    }

    async fn call(&self) -> Result<(), QueryError> {
        self.lock().calls += 1;
        sleep(RESPONSE_TIME + self.extra_delay).await;
        if self.lock().down { Err(QueryError::Refused { status: 503 }) } else { Ok(()) }
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the size of a declaration with the given number of routes, in bytes.
pub fn declaration_size(routes: usize) -> usize {
    // Later versions are some bytes longer.
    declaration(routes, 1 << 20).len()
}

/// Returns a declaration with the given number of routes, one of which differs from the previous
/// version.
fn declaration(routes: usize, version: u64) -> Arc<[u8]> {
    let head = format!("{version:020}{}", "service ".repeat(600));
    let route = |number: usize| {
        let name = hash_bytes(&number.to_le_bytes());
        // How often this route has changed so far; each version changes one route, in turn.
        let changes = version.saturating_sub(number as u64) / routes as u64;
        let filler = format!("{name:x}").repeat(12);
        format!(r#"{{"name":"r{name:x}","service":"s{changes}","for":"{filler}"}},"#)
    };
    let body: String = (0..routes).map(route).collect();
    Arc::from(format!("{head}{body}").into_bytes())
}

#[allow(clippy::unnecessary_wraps, reason = "it is a source's")]
pub fn decode(record: &Record) -> Option<RecordEvent> {
    let version = record.version.unwrap_or(0);
    Some(RecordEvent::Declared(Box::new(Declaration { version, ..Declaration::default() })))
}
