//! The table as the parts of a member share it: who handles requests, and who tells the others.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::Name;
use tokio::sync::Notify;

use crate::fingerprint::Fingerprint;
use crate::report::{Report, Strike};
use crate::table::{Settings, Standing, Table};

/// How many first suspicions a member tells others of in a second. Where many searchers crash at
/// once, whatever was in flight there is suspect, most of which never comes again; what harms
/// a second time is told in any case.
const FIRST_SUSPICIONS: u32 = 20;

const SECOND: Duration = Duration::from_secs(1);

/// What the other members are still to be told.
#[derive(Debug, Default)]
struct News {
    requests: BTreeSet<Fingerprint>,
    /// The second that is under way, and how many first suspicions it has seen.
    window: Option<(Instant, u32)>,
}

impl News {
    /// Tells whether others may be told of one more first suspicion.
    fn admits(&mut self, now: Instant) -> bool {
        let current =
            self.window.filter(|(begun, _)| now.saturating_duration_since(*begun) < SECOND);
        let (begun, count) = current.unwrap_or((now, 0));
        self.window = Some((begun, count + 1));
        count < FIRST_SUSPICIONS
    }
}

/// A table that several parts of a member use.
#[derive(Debug)]
pub struct Shared {
    table: Mutex<Table>,
    /// Whether anything is held of any request: if not, an ordinary one takes no lock.
    used: AtomicBool,
    /// The hash of the table, which goes into every datagram.
    hash: AtomicU64,
    /// Whether this member still has to hear what the others hold.
    uninformed: AtomicBool,
    /// The requests of which the other members are still to be told.
    news: Mutex<News>,
    changed: Notify,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            table: Mutex::new(Table::new(Settings::default())),
            used: AtomicBool::new(false),
            hash: AtomicU64::new(0),
            uninformed: AtomicBool::new(false),
            news: Mutex::default(),
            changed: Notify::new(),
        }
    }
}

impl Shared {
    /// Returns what is held of a request, whose fingerprint is computed only if anything is held
    /// of any.
    pub fn standing(&self, now: Instant, of: impl FnOnce() -> Fingerprint) -> Standing {
        if !self.is_used() {
            return Standing::Trusted;
        }
        self.lock().standing(of(), now)
    }

    /// Tells whether anything is held of any request.
    pub fn is_used(&self) -> bool {
        self.used.load(Ordering::Relaxed)
    }

    /// Notes that a searcher of a service ended under a request; returns what is held of it now
    /// if that is news.
    pub fn accuse(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        strike: Strike,
        service: &Name,
    ) -> Option<Standing> {
        let mut table = self.lock();
        let news = table.accuse(now, fingerprint, strike, service);
        let standing = table.standing(fingerprint, now);
        let grave = table.is_grave(fingerprint);
        self.note(&table);
        drop(table);
        if news && (grave || self.lock_news().admits(now)) {
            self.tell(fingerprint);
        }
        news.then_some(standing)
    }

    /// Notes that a request was answered by services, and tells whether that is news.
    pub fn acquit(&self, fingerprint: Fingerprint, services: &[Name]) -> bool {
        let mut table = self.lock();
        let news = table.acquit(fingerprint, services);
        if news {
            self.note(&table);
            drop(table);
            self.tell(fingerprint);
        }
        news
    }

    /// Grants a trial, unless one is under way.
    pub fn grant(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.lock().grant(now, fingerprint)
    }

    /// Takes in what another member reports, and tells whether that is news.
    pub fn merge(&self, now: Instant, report: &Report) -> bool {
        let mut table = self.lock();
        let news = table.merge(now, report);
        if news {
            self.note(&table);
        }
        news
    }

    /// Notes whether this member has heard what the others hold.
    pub fn set_informed(&self, informed: bool) {
        self.uninformed.store(!informed, Ordering::Relaxed);
    }

    /// Tells whether this member has heard what the others hold, so that it may take requests.
    pub fn is_informed(&self) -> bool {
        !self.uninformed.load(Ordering::Relaxed)
    }

    /// Takes what the other members are still to be told.
    pub fn take_news(&self, now: Instant) -> Vec<Report> {
        let news = std::mem::take(&mut self.lock_news().requests);
        let table = self.lock();
        news.into_iter().filter_map(|fingerprint| table.report(fingerprint, now)).collect()
    }

    /// Waits until there is news for the other members.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Reports one request.
    pub fn report(&self, now: Instant, fingerprint: Fingerprint) -> Option<Report> {
        self.lock().report(fingerprint, now)
    }

    /// Reports all requests that anything speaks against.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        self.lock().reports(now)
    }

    /// Reports the requests that have done harm more than once since they were last answered.
    pub fn grave(&self, now: Instant) -> Vec<Report> {
        self.lock().grave(now)
    }

    /// Returns a hash of what all members should know, see [`Table::hash`].
    pub fn hash(&self) -> u64 {
        self.hash.load(Ordering::Relaxed)
    }

    /// Forgets what is too old.
    pub fn expire(&self, now: Instant) {
        if self.is_used() {
            let mut table = self.lock();
            if table.expire(now) {
                self.note(&table);
            }
        }
    }

    /// Notes what is asked for without the lock.
    fn note(&self, table: &Table) {
        self.used.store(!table.is_empty(), Ordering::Relaxed);
        self.hash.store(table.hash(), Ordering::Relaxed);
    }

    fn tell(&self, fingerprint: Fingerprint) {
        self.lock_news().requests.insert(fingerprint);
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_news(&self) -> MutexGuard<'_, News> {
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
