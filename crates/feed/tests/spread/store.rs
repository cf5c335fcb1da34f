//! The store of the model: versions of one declaration, and a restore from a copy.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Position, hash_bytes};
use bergamot_declaration::Declaration;
use bergamot_feed::{Found, News, Outcome, Record, Scope, Trouble};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// The only key of the store.
pub const KEY: &str = "declaration";

/// How long the store takes to answer.
const ANSWER: Duration = Duration::from_millis(4);

/// A version of the declaration, by its number.
type Version = (u64, Arc<[u8]>);

#[derive(Debug, Default)]
struct History {
    /// By revision; the first is revision 2.
    versions: Vec<Version>,
    era: u64,
    /// Whether calls are turned away.
    away: bool,
    /// The number of the last version that was published, in whichever era.
    last: u64,
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

/// A store in which one declaration is published.
#[derive(Debug)]
pub struct Store {
    history: Mutex<History>,
    changed: watch::Sender<u64>,
    routes: usize,
    /// How much longer than usual it takes to answer.
    late: Duration,
}

impl Store {
    pub fn new(routes: usize, late: Duration) -> Self {
        Self { history: Mutex::default(), changed: watch::Sender::new(0), routes, late }
    }

    /// Publishes the next version.
    pub fn publish(&self) {
        let mut history = self.lock();
        history.last += 1;
        let number = history.last;
        history.versions.push((number, declaration(self.routes, number)));
        history.acknowledged.insert(number, Instant::now());
        drop(history);
        self.changed.send_modify(|changes| *changes += 1);
    }

    /// Turns calls away from now on.
    pub fn leave(&self) {
        self.lock().away = true;
    }

    /// Comes back from a copy as old as `lost` versions, in another era.
    pub fn restore(&self, lost: usize) {
        let mut history = self.lock();
        let kept = history.versions.len().saturating_sub(lost).max(1);
        history.versions.truncate(kept);
        history.era += 1;
        history.away = false;
        drop(history);
        self.changed.send_modify(|changes| *changes += 1);
    }

    /// Returns how many calls came so far.
    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    /// Returns the number of the last version that was published.
    pub fn last(&self) -> u64 {
        self.lock().last
    }

    /// Tells when the next version after one was acknowledged, if one was.
    pub fn next_after(&self, version: u64) -> Option<Instant> {
        self.lock().acknowledged.range(version + 1..).next().map(|(_, at)| *at)
    }

    pub async fn list(&self) -> Outcome {
        self.call().await?;
        let history = self.lock();
        // A listing names each record once.
        let records = history.after(1).pop().into_iter().collect();
        Ok((records, history.at()))
    }

    pub async fn watch(&self, after: Position, scope: Scope, wait: Duration) -> Outcome {
        let mut changed = self.changed.subscribe();
        self.call().await?;
        let news = async {
            while self.lock().at().revision == after.revision && changed.changed().await.is_ok() {}
        };
        // Searchers don't change here.
        if scope == Scope::All {
            drop(timeout(wait, news).await);
        }
        let history = self.lock();
        if after.revision > history.at().revision {
            return Err(Trouble::Forgotten);
        }
        let told = if scope == Scope::All { history.after(after.revision) } else { Vec::new() };
        Ok((told, history.at()))
    }

    pub async fn lookup(&self) -> Result<Found, Trouble> {
        self.call().await?;
        let history = self.lock();
        Ok(Found { record: history.after(1).pop(), era: history.era })
    }

    async fn call(&self) -> Result<(), Trouble> {
        self.lock().calls += 1;
        sleep(ANSWER + self.late).await;
        if self.lock().away { Err(Trouble::Refused { status: 503 }) } else { Ok(()) }
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many bytes a declaration of so many routes has.
pub fn size(routes: usize) -> usize {
    // Later versions are some bytes longer.
    declaration(routes, 1 << 20).len()
}

/// A declaration of so many routes, of which one has changed since the version before.
fn declaration(routes: usize, version: u64) -> Arc<[u8]> {
    let head = format!("{version:020}{}", "service ".repeat(600));
    let route = |number: usize| {
        let name = hash_bytes(&number.to_le_bytes());
        // The last version that changed this route.
        let turns = version.saturating_sub(number as u64) / routes as u64;
        let filler = format!("{name:x}").repeat(12);
        format!(r#"{{"name":"r{name:x}","service":"s{turns}","for":"{filler}"}},"#)
    };
    let body: String = (0..routes).map(route).collect();
    Arc::from(format!("{head}{body}").into_bytes())
}

#[allow(clippy::unnecessary_wraps, reason = "it is a source's")]
pub fn decode(record: &Record) -> Option<News> {
    let version = record.version.unwrap_or(0);
    Some(News::Declared(Box::new(Declaration { version, ..Declaration::default() })))
}
