//! Thread-safe access to the table, for request handling and for membership.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::Name;
use tokio::sync::Notify;

use crate::fingerprint::Fingerprint;
use crate::report::{Report, Strike};
use crate::table::{Settings, Standing, Table};

/// How many crashes during requests that are not severe (see [`Table::is_severe`]) a member
/// reports per [`RATE_WINDOW`]. When many searchers crash at once, every request in flight there
/// is a suspect, and most of them are never sent again. Severe requests are always reported.
const MAX_MINOR_REPORTS: u32 = 20;

const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The requests to be reported to the other members.
#[derive(Debug, Default)]
struct PendingReports {
    requests: BTreeSet<Fingerprint>,
    /// The start of the current rate window, and how many minor reports were requested in it.
    window: Option<(Instant, u32)>,
}

impl PendingReports {
    /// Returns whether the rate limit admits one more report about a request that is not severe.
    fn admit_minor(&mut self, now: Instant) -> bool {
        let current =
            self.window.filter(|(start, _)| now.saturating_duration_since(*start) < RATE_WINDOW);
        let (start, count) = current.unwrap_or((now, 0));
        self.window = Some((start, count + 1));
        count < MAX_MINOR_REPORTS
    }
}

/// A [`Table`] behind a lock, with the reports that are due to other members.
#[derive(Debug)]
pub struct Quarantine {
    table: Mutex<Table>,
    /// Whether the table has any records. If not, requests are handled without taking the lock.
    has_records: AtomicBool,
    /// The hash of the table, which is part of every datagram.
    hash: AtomicU64,
    /// Whether this member has yet to receive the records of the others.
    unsynced: AtomicBool,
    pending: Mutex<PendingReports>,
    changed: Notify,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            table: Mutex::new(Table::new(Settings::default())),
            has_records: AtomicBool::new(false),
            hash: AtomicU64::new(0),
            unsynced: AtomicBool::new(false),
            pending: Mutex::default(),
            changed: Notify::new(),
        }
    }
}

impl Quarantine {
    /// Returns the standing of a request. Its fingerprint is computed only if there are records of
    /// any request.
    pub fn standing(&self, now: Instant, of: impl FnOnce() -> Fingerprint) -> Standing {
        if !self.has_records() {
            return Standing::Trusted;
        }
        self.lock().standing(of(), now)
    }

    /// Returns whether there are records of any request.
    pub fn has_records(&self) -> bool {
        self.has_records.load(Ordering::Relaxed)
    }

    /// Records that a searcher of a service crashed while it ran a request. Returns the new
    /// standing of the request if the record changed.
    pub fn record_strike(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        strike: Strike,
        service: &Name,
    ) -> Option<Standing> {
        let mut table = self.lock();
        let changed = table.record_strike(now, fingerprint, strike, service);
        let standing = table.standing(fingerprint, now);
        let severe = table.is_severe(fingerprint);
        self.update_summary(&table);
        drop(table);
        if changed && (severe || self.lock_pending().admit_minor(now)) {
            self.queue_report(fingerprint);
        }
        changed.then_some(standing)
    }

    /// Records that services answered a request, and returns whether the record changed.
    pub fn record_answer(&self, fingerprint: Fingerprint, services: &[Name]) -> bool {
        let mut table = self.lock();
        let changed = table.record_answer(fingerprint, services);
        if changed {
            self.update_summary(&table);
            drop(table);
            self.queue_report(fingerprint);
        }
        changed
    }

    /// Grants a trial, unless the request is condemned or a trial is in flight.
    pub fn grant_trial(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.lock().grant_trial(now, fingerprint)
    }

    /// Merges the report of another member, and returns whether the record changed.
    pub fn merge(&self, now: Instant, report: &Report) -> bool {
        let mut table = self.lock();
        let changed = table.merge(now, report);
        if changed {
            self.update_summary(&table);
        }
        changed
    }

    /// Sets whether this member has received the records of the others.
    pub fn set_synced(&self, synced: bool) {
        self.unsynced.store(!synced, Ordering::Relaxed);
    }

    /// Returns whether this member has received the records of the others, and so may accept
    /// requests.
    pub fn is_synced(&self) -> bool {
        !self.unsynced.load(Ordering::Relaxed)
    }

    /// Takes the reports that are due to the other members.
    pub fn take_pending_reports(&self, now: Instant) -> Vec<Report> {
        let requests = std::mem::take(&mut self.lock_pending().requests);
        let table = self.lock();
        requests.into_iter().filter_map(|fingerprint| table.report(fingerprint, now)).collect()
    }

    /// Waits until reports are due to the other members.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the report about a request.
    pub fn report(&self, now: Instant, fingerprint: Fingerprint) -> Option<Report> {
        self.lock().report(fingerprint, now)
    }

    /// Returns the reports about all requests with strikes.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        self.lock().reports(now)
    }

    /// Returns the reports about severe requests, see [`Table::is_severe`].
    pub fn severe_reports(&self, now: Instant) -> Vec<Report> {
        self.lock().severe_reports(now)
    }

    /// Returns a hash of what all members should know, see [`Table::hash`].
    pub fn hash(&self) -> u64 {
        self.hash.load(Ordering::Relaxed)
    }

    /// Removes records that are older than the retention time.
    pub fn expire(&self, now: Instant) {
        if self.has_records() {
            let mut table = self.lock();
            if table.expire(now) {
                self.update_summary(&table);
            }
        }
    }

    /// Updates the values that are read without the lock.
    fn update_summary(&self, table: &Table) {
        self.has_records.store(!table.is_empty(), Ordering::Relaxed);
        self.hash.store(table.hash(), Ordering::Relaxed);
    }

    fn queue_report(&self, fingerprint: Fingerprint) {
        self.lock_pending().requests.insert(fingerprint);
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_pending(&self) -> MutexGuard<'_, PendingReports> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
