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

use crate::clock::now;
use crate::deliver::Delivery;
use crate::fetch::Fetcher;
use crate::members::{Members, Roster};
use crate::mirror::{Change, Mirror};
use crate::origin::{Duty, Failure, Origin, Origins};
use crate::shared::{LARGE_TRANSFER_BYTES, STALENESS_LIMIT, Shared};
use crate::sink::{Asked, Sink, Subject};
use crate::source::{Source, Trouble};

use self::member::Listing;

/// Timing of the loop.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a watch waits for changes.
    ///
    /// A dead connection is noticed only after this time, and updates must be in force within 3 s;
    /// on the other hand, each watch at the store is a metered call.
    pub wait: Duration,
    /// The age up to which a member's state is relied on.
    pub stale: Duration,
    /// How long the store may send nothing, beyond the wait and while it sends a reply.
    ///
    /// It answers in 4 ms, or in some 250 ms when it is slow.
    pub silence: Duration,
    /// How long the store may send nothing before it answers a call without a wait, after a
    /// failure.
    pub probe: Duration,
    /// How long a reader pauses after changes before it calls the store again.
    ///
    /// Changes come in bursts, and each watch that ends is a metered call.
    pub settle: Duration,
    /// How long a starting member waits to learn which members read the store before it reads the
    /// store itself.
    pub join: Duration,
    /// How long the first query to a member may wait: the member is reading the store or is about
    /// to.
    pub first: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(1),
            stale: STALENESS_LIMIT,
            silence: Duration::from_millis(600),
            probe: Duration::from_millis(400),
            settle: Duration::from_millis(250),
            join: Duration::from_millis(300),
            first: Duration::from_millis(300),
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
    shared: Arc<Shared>,
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
        self.wait_for_roster().await;
        loop {
            let Roster { duty, readers, fleet, .. } = (self.members.roster)().unwrap_or_default();
            self.origins.set_fleet(fleet);
            let duty = if self.has_waiting_callers() { Duty::Reader } else { duty };
            match self.origins.pick(now(), duty, &readers) {
                Ok(origin) => self.ask(origin, duty).await,
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
        let version = self.shared().lock().get(&key).and_then(|item| item.version);
        let Some(ip) = (self.members.ahead)(version.unwrap_or(0)) else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert_with(now);
        if now().duration_since(since) < ADOPTION_DELAY {
            return;
        }
        self.behind_since = Some(now());
        match (self.members.record)(ip, key).await {
            Ok(Some(item)) => {
                let later = item.version;
                log::info!(
                    "feed: event=version_adopted member={ip} known={version:?} later={later:?}"
                );
                self.apply(|mirror| mirror.adopt(item));
            }
            Ok(None) => log::info!(
                "feed: event=adoption_failed member={ip} cause=\"the member has no such record\""
            ),
            Err(trouble) => {
                log::info!("feed: event=adoption_failed member={ip} cause=\"{trouble}\"");
            }
        }
    }

    /// Waits briefly to learn which members read the store, so that not every starting member does,
    /// unless callers are already waiting.
    async fn wait_for_roster(&self) {
        /// How often the roles are checked.
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let deadline = now() + self.settings.join;
        let unknown = || (self.members.roster)().is_none() && !self.has_waiting_callers();
        while unknown() && now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether callers wait for the first update, in which case the store is the fastest
    /// origin.
    fn has_waiting_callers(&self) -> bool {
        self.shared().lock().at().is_start() && (self.delivery.sink.wanted)()
    }

    async fn ask(&mut self, origin: Origin, duty: Duty) {
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
                self.origins.succeed(origin);
                self.last_success = Some(origin);
            }
            Err(trouble) => {
                self.last_success = None;
                let jitter = rand::rng().random();
                let failure = match trouble {
                    Trouble::Stale { age: None } => Failure::Unheard,
                    Trouble::Stale { .. } => Failure::Stale,
                    _ => Failure::Silent,
                };
                self.origins.fail((origin, failure), now(), duty, jitter);
            }
        }
    }

    /// Logs and reports the result of a query.
    fn report_query(&self, origin: Origin, at: Instant, trouble: Option<&Trouble>) {
        let (bytes, took) = (self.bytes, at.elapsed().as_millis());
        let label = trouble.map(Trouble::label);
        let asked = Asked { origin, subject: Subject::News, at, bytes, trouble: label };
        (self.delivery.sink.asked)(&asked);
        if bytes >= LARGE_TRANSFER_BYTES {
            let at = self.shared().lock().at();
            log::info!(
                "feed: event=large_news origin={origin:?} bytes={bytes} position={at} took_ms={took}"
            );
        }
        if let Some(trouble) = trouble {
            log::info!(
                "feed: event=origin_failed origin={origin:?} took_ms={took} cause=\"{trouble}\""
            );
        }
    }

    fn apply(&mut self, change: impl FnOnce(&mut Mirror) -> Change) {
        let change = self.delivery.shared.apply(change);
        if let Some(former) = change.restored {
            (self.delivery.sink.restored)(former, self.shared().lock().at());
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
        let age = self.shared().lock().age(now());
        let away = age.is_none_or(|age| age > self.settings.stale);
        if away != self.store_away {
            self.store_away = away;
            let change = if away { "lost" } else { "regained" };
            let age_ms = age.map_or("never".to_owned(), |age| age.as_millis().to_string());
            log::warn!("feed: event=store_{change} age_ms={age_ms}");
            (self.delivery.sink.away)(away, age.unwrap_or_default());
        }
    }

    fn shared(&self) -> &Shared {
        &self.delivery.shared
    }
}
