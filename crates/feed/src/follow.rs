//! The loop that keeps the mirror up to date, through outages and forgotten history.
//!
//! Invariants: news is taken in the order of the store's positions; after forgotten history, and
//! once the store was restored from a copy, everything is listed anew, so nothing that was missed
//! stays unknown; an answer of an earlier era than the known one changes nothing; the sink hears of
//! an outage or a restore before it hears anything that was published after it.

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
use crate::shared::{LARGE, STALE, Shared};
use crate::sink::{Asked, Sink, Subject};
use crate::source::{Source, Trouble};

use self::member::Listing;

/// The periods of the loop.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a watch waits.
    ///
    /// A connection that went silent is noticed only after it, and news must be in force
    /// within 3 s; each watch at the store is a call that is paid for.
    pub wait: Duration,
    /// How old a member's knowledge may be for it to be relied on.
    pub stale: Duration,
    /// How long the store may be silent, before an answer beyond the wait and midway.
    ///
    /// It answers in 4 ms; when it is slow, in some 250 ms.
    pub silence: Duration,
    /// How long a store that failed may be silent before it answers a question without a wait.
    pub probe: Duration,
    /// How long a reader waits after news before it asks the store for more.
    ///
    /// Changes come in series, and each watch that ends is a call.
    pub settle: Duration,
    /// How long a start waits for word of who reads the store before it does so itself.
    pub join: Duration,
    /// How long the first question to a member may wait: the member reads the store, or will
    /// in a moment.
    pub first: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(1),
            stale: STALE,
            silence: Duration::from_millis(600),
            probe: Duration::from_millis(400),
            settle: Duration::from_millis(250),
            join: Duration::from_millis(300),
            first: Duration::from_millis(300),
        }
    }
}

/// How long another member may have a later version of the declaration before it is asked for it:
/// the usual way of news takes less.
const BEHIND: Duration = Duration::from_millis(1500);

/// Follows the store until `stop`.
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
        proven: None,
        listing: None,
        bytes: 0,
        crowded: false,
        declared: None,
        behind: None,
        away: false,
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
    /// Who helped last.
    proven: Option<Origin>,
    listing: Option<Listing>,
    /// How many bytes of records the question at hand has brought.
    bytes: usize,
    /// Whether versions of the declaration come faster than each of them should be read.
    crowded: bool,
    /// When the declaration last changed.
    declared: Option<Instant>,
    /// Since when another member has had a later version, or was last asked for it.
    behind: Option<Instant>,
    away: bool,
}

impl Follower {
    async fn run(&mut self) {
        self.join().await;
        loop {
            let Roster { duty, readers, fleet, .. } = (self.members.roster)().unwrap_or_default();
            self.origins.set_fleet(fleet);
            let duty = if self.is_wanted() { Duty::Reader } else { duty };
            match self.origins.pick(now(), duty, &readers) {
                Ok(origin) => self.ask(origin, duty).await,
                Err(until) => tokio::time::sleep_until(until.into()).await,
            }
            self.judge();
            self.catch_up().await;
        }
    }

    /// Asks a member that has a later version of the declaration for it, if that goes on: a store
    /// that was restored from a copy may lack it, and then no news brings it.
    async fn catch_up(&mut self) {
        let key = Name::clone(&self.delivery.source.declaration);
        let version = self.shared().lock().get(&key).and_then(|item| item.version);
        let Some(ip) = (self.members.ahead)(version.unwrap_or(0)) else {
            self.behind = None;
            return;
        };
        let since = *self.behind.get_or_insert_with(now);
        if now().duration_since(since) < BEHIND {
            return;
        }
        self.behind = Some(now());
        match (self.members.record)(ip, key).await {
            Ok(Some(item)) => {
                let later = item.version;
                log::info!(
                    "feed: event=version_adopted member={ip} known={version:?} later={later:?}"
                );
                self.take(|mirror| mirror.adopt(item));
            }
            Ok(None) => log::info!("feed: event=adoption_failed member={ip} cause=\"it has none\""),
            Err(trouble) => {
                log::info!("feed: event=adoption_failed member={ip} cause=\"{trouble}\"");
            }
        }
    }

    /// Waits a moment for word of who reads the store, so that not everybody does, unless
    /// callers are here already.
    async fn join(&self) {
        /// How often the members are looked at meanwhile.
        const LOOK: Duration = Duration::from_millis(20);
        let end = now() + self.settings.join;
        let unknown = || (self.members.roster)().is_none() && !self.is_wanted();
        while unknown() && now() < end {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Tells whether callers wait for the first news: then nothing is faster than the store.
    fn is_wanted(&self) -> bool {
        self.shared().lock().at().is_start() && (self.delivery.sink.wanted)()
    }

    async fn ask(&mut self, origin: Origin, duty: Duty) {
        let asked = now();
        self.bytes = 0;
        let result = match origin {
            Origin::Store => self.ask_store(asked).await,
            Origin::Member(ip) => self.ask_member(ip).await,
        };
        self.shared().arriving.store(false, Ordering::Relaxed);
        self.note(origin, asked, result.as_ref().err());
        match result {
            Ok(()) => {
                self.origins.succeed(origin);
                self.proven = Some(origin);
            }
            Err(trouble) => {
                self.proven = None;
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

    /// Logs and counts how a question ended.
    fn note(&self, origin: Origin, at: Instant, trouble: Option<&Trouble>) {
        let (bytes, took) = (self.bytes, at.elapsed().as_millis());
        let label = trouble.map(Trouble::label);
        let asked = Asked { origin, subject: Subject::News, at, bytes, trouble: label };
        (self.delivery.sink.asked)(&asked);
        if bytes >= LARGE {
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

    fn take(&mut self, change: impl FnOnce(&mut Mirror) -> Change) {
        let change = self.delivery.shared.change(change);
        if let Some(former) = change.restored {
            (self.delivery.sink.restored)(former, self.shared().lock().at());
        }
        // The outage ends before what was published after it is taken in.
        self.judge();
        if change.items.iter().any(|item| item.key == self.delivery.source.declaration) {
            self.declared = Some(now());
        }
        for item in change.items {
            self.delivery.item(item);
        }
    }

    /// Tells the sink when the store was lost or regained.
    fn judge(&mut self) {
        let age = self.shared().lock().age(now());
        let away = age.is_none_or(|age| age > self.settings.stale);
        if away != self.away {
            self.away = away;
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
