//! The loop that keeps the mirror up to date through outages and lost history.
//!
//! Invariants: updates are applied in the order of the store's positions; after lost history or a
//! restore of the store from a copy, everything is listed again, so no missed change stays unknown;
//! a reply of an earlier era than the known one has no effect; the sink is notified of an outage or
//! a restore before it receives anything published after it.

mod member;
mod store;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use rand::RngExt;
use tokio_util::sync::CancellationToken;

use crate::catch_up::fetch_later;
use crate::clock::now;
use crate::deliver::Delivery;
use crate::fetch::Fetcher;
use crate::members::{Members, Topology};
use crate::mirror::{Change, Mirror};
use crate::origin::{Failure, Origin, Origins, ReadRole};
use crate::sink::{QueryKind, QueryReport, Sink};
use crate::source::{QueryError, Source};
use crate::state::{FeedState, LARGE_TRANSFER_BYTES, STALENESS_LIMIT};

use self::member::Listing;

/// Timing of the loop.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a watch waits for changes.
    ///
    /// A dead connection is noticed only after this time, and updates must be in force within 3 s;
    /// on the other hand, each watch at the store is a metered call.
    pub watch_wait: Duration,
    /// The age up to which a member's state is relied on.
    pub staleness_limit: Duration,
    /// How long the store may send nothing, beyond the wait and while it sends a reply.
    ///
    /// It answers in 4 ms, or in some 250 ms when it is slow.
    pub idle_timeout: Duration,
    /// How long the store may send nothing before it answers a call without a wait, after a
    /// failure.
    pub probe_timeout: Duration,
    /// How long a reader pauses after changes before it calls the store again.
    ///
    /// Changes come in bursts, and each watch that ends is a metered call.
    pub pause_after_changes: Duration,
    /// How long a starting member waits to learn which members read the store before it reads the
    /// store itself.
    pub startup_wait: Duration,
    /// How long the first query to a member may wait: the member is reading the store or is about
    /// to.
    pub first_query_wait: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(1),
            staleness_limit: STALENESS_LIMIT,
            idle_timeout: Duration::from_millis(600),
            probe_timeout: Duration::from_millis(400),
            pause_after_changes: Duration::from_millis(250),
            startup_wait: Duration::from_millis(300),
            first_query_wait: Duration::from_millis(300),
        }
    }
}

/// How long another member may report a later declaration before this member requests it from
/// there. Regular updates take less time.
const ADOPTION_DELAY: Duration = Duration::from_millis(1500);

/// Follows the store until `stop` is cancelled.
pub async fn follow(
    source: Source,
    members: Members,
    sink: Sink,
    shared: Arc<FeedState>,
    settings: Settings,
    stop: CancellationToken,
) {
    let (source, sink, members) = (Arc::new(source), Arc::new(sink), Arc::new(members));
    let delivery = Delivery { source, sink, shared };
    let mut fetcher = Fetcher::new(delivery.clone(), Arc::clone(&members));
    let mut follower = Follower {
        delivery,
        members,
        settings,
        origins: Origins::default(),
        last_success: None,
        listing: None,
        bytes: 0,
        read_newest_only: false,
        declaration_changed_at: None,
        behind_since: None,
        store_away: false,
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = follower.run() => {}
        () = fetcher.run() => {}
    }
}

struct Follower {
    delivery: Delivery,
    members: Arc<Members>,
    settings: Settings,
    origins: Origins,
    /// The origin of the last successful query.
    last_success: Option<Origin>,
    listing: Option<Listing>,
    /// The bytes of records that the current query has returned.
    bytes: usize,
    /// Whether declaration versions are published too fast to read each of them.
    read_newest_only: bool,
    /// When the declaration last changed.
    declaration_changed_at: Option<Instant>,
    /// Since when another member has reported a later declaration, or when it was last requested.
    behind_since: Option<Instant>,
    store_away: bool,
}

impl Follower {
    async fn run(&mut self) {
        self.wait_for_topology().await;
        loop {
            let Topology { role, readers, member_count, is_isolated, .. } =
                (self.members.topology)().unwrap_or_default();
            self.origins.set_member_count(member_count);
            self.origins.set_isolated(is_isolated);
            let role = if self.has_waiting_callers() { ReadRole::Reader } else { role };
            match self.origins.choose(now(), role, &readers) {
                Ok(origin) => self.ask(origin, role).await,
                Err(until) => tokio::time::sleep_until(until.into()).await,
            }
            self.update_availability();
            self.adopt_later_declaration().await;
        }
    }

    /// Requests a later declaration from a member that has reported one for some time. A store that
    /// was restored from a copy may lack that version, in which case regular updates never contain
    /// it.
    async fn adopt_later_declaration(&mut self) {
        let key = Name::clone(&self.delivery.source.declaration);
        let version = self.shared().mirror().get(&key).and_then(|item| item.version);
        if (self.members.find_newer)(version.unwrap_or(0)).is_none() {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert_with(now);
        if now().duration_since(since) < ADOPTION_DELAY {
            return;
        }
        self.behind_since = Some(now());
        if let Some((_, item)) = fetch_later(&self.members, &key, version).await {
            self.apply(|mirror| mirror.insert_if_newer(item));
        }
    }

    /// Waits briefly to learn which members read the store, so that not every starting member does,
    /// unless callers are already waiting.
    async fn wait_for_topology(&self) {
        /// How often the roles are checked.
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let deadline = now() + self.settings.startup_wait;
        let unknown = || (self.members.topology)().is_none() && !self.has_waiting_callers();
        while unknown() && now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether callers wait for the first update, in which case the store is the fastest
    /// origin.
    fn has_waiting_callers(&self) -> bool {
        self.shared().mirror().position().is_start() && (self.delivery.sink.has_waiting_callers)()
    }

    async fn ask(&mut self, origin: Origin, role: ReadRole) {
        let started = now();
        self.bytes = 0;
        let result = match origin {
            Origin::Store => self.ask_store(started).await,
            Origin::Member(ip) => self.ask_member(ip).await,
        };
        self.shared().arriving.store(false, Ordering::Relaxed);
        self.report_query(origin, started, result.as_ref().err());
        match result {
            Ok(()) => {
                self.origins.record_success(origin);
                self.last_success = Some(origin);
            }
            Err(error) => {
                self.last_success = None;
                let jitter = rand::rng().random();
                let failure = match error {
                    QueryError::Stale { age: None } => Failure::NeverSynced,
                    QueryError::Stale { .. } => Failure::Stale,
                    _ => Failure::Silent,
                };
                self.origins.record_failure((origin, failure), now(), role, jitter);
            }
        }
    }

    /// Logs and reports the result of a query.
    fn report_query(&self, origin: Origin, at: Instant, error: Option<&QueryError>) {
        let (bytes, took) = (self.bytes, at.elapsed().as_millis());
        let label = error.map(QueryError::label);
        let report = QueryReport { origin, kind: QueryKind::News, at, bytes, error: label };
        (self.delivery.sink.on_query_end)(&report);
        if bytes >= LARGE_TRANSFER_BYTES {
            let at = self.shared().mirror().position();
            log::info!(
                "feed: event=large_news origin={origin:?} bytes={bytes} position={at} took_ms={took}"
            );
        }
        if let Some(error) = error {
            log::info!(
                "feed: event=origin_failed origin={origin:?} took_ms={took} cause=\"{error}\""
            );
        }
    }

    fn apply(&mut self, change: impl FnOnce(&mut Mirror) -> Change) {
        let change = self.delivery.shared.apply(change);
        if let Some(former) = change.restored {
            (self.delivery.sink.on_restore)(former, self.shared().mirror().position());
        }
        // The sink must see the end of an outage before anything published after it.
        self.update_availability();
        if change.items.iter().any(|item| item.key == self.delivery.source.declaration) {
            self.declaration_changed_at = Some(now());
        }
        for item in change.items {
            self.delivery.deliver_item(item);
        }
    }

    /// Notifies the sink if the store has become unavailable or available again.
    fn update_availability(&mut self) {
        let age = self.shared().mirror().age(now());
        let away = age.is_none_or(|age| age > self.settings.staleness_limit);
        if away != self.store_away {
            self.store_away = away;
            let change = if away { "lost" } else { "regained" };
            let age_ms = age.map_or("never".to_owned(), |age| age.as_millis().to_string());
            log::warn!("feed: event=store_{change} age_ms={age_ms}");
            (self.delivery.sink.on_store_away)(away, age.unwrap_or_default());
        }
    }

    fn shared(&self) -> &FeedState {
        &self.delivery.shared
    }
}
