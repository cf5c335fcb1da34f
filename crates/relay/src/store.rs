//! What this member knows of the store: outages, restores, and the updates received.

use std::time::{Duration, Instant};

use bergamot_base::Position;

use crate::relay::Relay;

/// How long an entry may outlast its searcher's expiry until the store removes it.
const EXPIRY_SLACK: Duration = Duration::from_secs(1);

impl Relay {
    /// Sets whether the store is unreachable, and the age of the last update from it.
    ///
    /// Entries missing after an outage are treated as doubtful only if the outage lasted as long as
    /// the expiry of entries.
    pub fn set_store_unavailable(&self, unavailable: bool, age: Duration) {
        let now = Instant::now();
        let mut state = self.lock();
        match (state.store_unavailable_since, unavailable) {
            (None, true) => state.store_unavailable_since = now.checked_sub(age).or(Some(now)),
            (Some(since), false) => {
                state.store_unavailable_since = None;
                // Without a declaration the length of the outage is unknown.
                let unknown = state.declaration.is_none();
                if unknown || now.saturating_duration_since(since) >= self.settings.expiry() {
                    state.registry.store_recovered(now);
                    state.store_recovered_at = Some(now);
                }
            }
            (None, false) | (Some(_), true) => {}
        }
        self.meter.store.away.set(i64::from(unavailable));
    }

    /// Handles the restore of the store from a backup. The earlier state is retained for a while:
    /// searchers rewrite entries that were lost, and the current declaration stays in force if the
    /// backup has an older one.
    pub fn record_restore(&self, former: Position, at: Position) {
        let now = Instant::now();
        let mut state = self.lock();
        let hold = self.settings.expiry() + EXPIRY_SLACK;
        state.registry.store_restored(now, hold);
        state.placement.evacuations.store_restored(now, hold);
        state.store_recovered_at = Some(now);
        let (version, searchers) = (state.version_tracker.revision(), state.registry.len());
        drop(state);
        log::warn!(
            "relay: event=store_restored former={former} at={at} version={version} searchers={searchers}"
        );
    }

    /// Sets how often the store has been restored, according to its own counter.
    pub fn set_store_era(&self, era: u64) {
        self.meter.store.era.set(era as i64);
    }

    /// Counts a request for store updates by origin and result, and the bytes received.
    pub fn count_store_update(&self, origin: &str, result: &str, bytes: usize) {
        self.meter.store.updates.with_label_values(&[origin, result]).inc();
        self.meter.store.update_bytes.with_label_values(&[origin]).inc_by(bytes as u64);
    }

    /// Counts an unreadable record of the store.
    pub fn count_unreadable(&self) {
        self.meter.store.unreadable_records.inc();
    }

    /// Sets the total number of update bytes that this member has sent to others.
    pub fn set_update_bytes_sent(&self, bytes: u64) {
        let sent = self.meter.store.update_bytes.with_label_values(&["sent"]);
        sent.inc_by(bytes.saturating_sub(sent.get()));
    }
}
