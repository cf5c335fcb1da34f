//! The loop that keeps the mirror up to date, through outages and forgotten history.
//!
//! Invariants: news is taken in the order of the store's revisions; after forgotten history
//! everything is listed anew, so nothing that was missed stays unknown; the sink hears of
//! an outage before it hears anything that was published after it.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use rand::RngExt;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::mirror::{Change, Mirror};
use crate::origin::{Duty, Failure, Origin, Origins};
use crate::source::{News, Source, Trouble};

/// How old a member's knowledge may be for it to be relied on: a watch at the store, and some
/// time for its answer.
const STALE: Duration = Duration::from_millis(1500);

/// From how many bytes on news is logged: what takes 10 ms or more on the slowest links
/// (14 Mbit/s), and far above the few hundred bytes of a searcher's entry.
const LARGE: usize = 16 << 10;

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
    /// How long a store that failed is given to answer a question without a wait.
    pub probe: Duration,
    /// How long a reader waits after news before it asks the store for more.
    ///
    /// Changes come in series, and each watch that ends is a call.
    pub settle: Duration,
    /// How long a start waits for other members before it takes itself for a reader.
    pub join: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(1),
            stale: STALE,
            // A store that is slow answers in some 250 ms.
            probe: Duration::from_millis(400),
            settle: Duration::from_millis(250),
            join: Duration::from_millis(300),
        }
    }
}

/// A question to a member, with the revision after which its news is wanted.
pub type Asking = Box<
    dyn Fn(Ipv4Addr, u64, Duration) -> BoxFuture<'static, Result<bergamot_wire::News, Trouble>>
        + Send
        + Sync,
>;

/// What the loop knows of other members.
pub struct Members {
    /// Tells what this member's duty is, and which others read the store or may, the preferred
    /// first. Nothing is returned while no other member is known that should be.
    pub readers: Box<dyn Fn() -> Option<(Duty, Vec<Ipv4Addr>)> + Send + Sync>,
    /// Asks a member for news.
    pub ask: Asking,
}

impl std::fmt::Debug for Members {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Members")
    }
}

/// Who takes the news in.
pub struct Sink {
    /// Takes in what a record says.
    pub news: Box<dyn Fn(News) + Send + Sync>,
    /// Hears whether the store can be heard of, and how old the last news of it is.
    pub away: Box<dyn Fn(bool, Duration) + Send + Sync>,
    /// Tells whether the process slept, so that the next question must not wait for news.
    pub behind: Box<dyn Fn() -> bool + Send + Sync>,
    /// Hears of each question to an origin and how it ended.
    pub asked: Box<dyn Fn(&Asked) + Send + Sync>,
}

/// A question for news that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Who was asked.
    pub origin: Origin,
    /// When.
    pub at: Instant,
    /// How many bytes of records the answer brought.
    pub bytes: usize,
    /// Names the trouble for metrics, if the question was not answered.
    pub trouble: Option<&'static str>,
}

impl std::fmt::Debug for Sink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sink")
    }
}

/// The mirror, shared with those who answer the questions of other members.
#[derive(Debug)]
pub struct Shared {
    mirror: Mutex<Mirror>,
    changed: watch::Sender<u64>,
    sent: AtomicU64,
}

impl Default for Shared {
    fn default() -> Self {
        Self { mirror: Mutex::default(), changed: watch::channel(0).0, sent: AtomicU64::new(0) }
    }
}

impl Shared {
    /// Answers a member that asks for news after a revision, waiting for a time at most.
    ///
    /// Stale knowledge is no reason to wait: the member must hear of it and ask another.
    pub async fn news(&self, after: u64, wait: Duration) -> bergamot_wire::News {
        let mut changed = self.changed.subscribe();
        let waiting = async {
            while !self.lock().has_news(after) {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let age = self.lock().age(Instant::now()).unwrap_or(STALE);
        let wait = wait.min(STALE.saturating_sub(age));
        // Without news the answer still says how fresh it is.
        let _elapsed = tokio::time::timeout(wait, waiting).await;
        let news = self.lock().news(after, Instant::now());
        self.count_sent(size(&news.items));
        news
    }

    /// Returns how many bytes of records this member has sent to others.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        if bytes >= LARGE {
            log::info!("feed: event=large_news_sent bytes={bytes}");
        }
    }

    /// Reads the mirror.
    pub fn lock(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many bytes the keys and values of records take.
fn size(items: &[bergamot_wire::Item]) -> usize {
    items.iter().map(|item| item.key.len() + item.value.len()).sum()
}

/// Follows the store until `stop`.
pub async fn follow(
    source: Source,
    members: Members,
    sink: Sink,
    shared: Arc<Shared>,
    settings: Settings,
    stop: CancellationToken,
) {
    let origins = Origins::default();
    let (proven, bytes, away) = (None, 0, false);
    let mut follower =
        Follower { source, members, sink, shared, settings, origins, proven, bytes, away };
    tokio::select! {
        () = stop.cancelled() => {}
        () = follower.run() => {}
    }
}

struct Follower {
    source: Source,
    members: Members,
    sink: Sink,
    shared: Arc<Shared>,
    settings: Settings,
    origins: Origins,
    /// Who helped last.
    proven: Option<Origin>,
    /// How many bytes of records the question at hand has brought.
    bytes: usize,
    away: bool,
}

impl Follower {
    async fn run(&mut self) {
        self.join().await;
        loop {
            let alone = (Duty::Reader, Vec::new());
            let (duty, readers) = (self.members.readers)().unwrap_or(alone);
            match self.origins.pick(Instant::now(), duty, &readers) {
                Ok(origin) => self.ask(origin, duty).await,
                Err(until) => tokio::time::sleep_until(until.into()).await,
            }
            self.judge();
        }
    }

    /// Waits a moment for other members, so that not every one takes itself for a reader.
    async fn join(&self) {
        /// How often the members are looked at meanwhile.
        const LOOK: Duration = Duration::from_millis(20);
        let end = Instant::now() + self.settings.join;
        while (self.members.readers)().is_none() && Instant::now() < end {
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn ask(&mut self, origin: Origin, duty: Duty) {
        let asked = Instant::now();
        self.bytes = 0;
        let result = match origin {
            Origin::Store => self.ask_store(asked).await,
            Origin::Member(ip) => self.ask_member(ip).await,
        };
        let now = Instant::now();
        let (bytes, took) = (self.bytes, now.saturating_duration_since(asked).as_millis());
        let trouble = result.as_ref().err().map(Trouble::label);
        (self.sink.asked)(&Asked { origin, at: asked, bytes, trouble });
        if bytes >= LARGE {
            let at = self.shared.lock().at();
            log::info!(
                "feed: event=large_news origin={origin:?} bytes={bytes} revision={at} took_ms={took}"
            );
        }
        match result {
            Ok(()) => {
                self.origins.succeed(origin);
                self.proven = Some(origin);
            }
            Err(trouble) => {
                self.proven = None;
                log::info!(
                    "feed: event=origin_failed origin={origin:?} took_ms={took} cause=\"{trouble}\""
                );
                let jitter = rand::rng().random();
                let failure = match trouble {
                    Trouble::Stale { .. } => Failure::Stale,
                    _ => Failure::Silent,
                };
                self.origins.fail((origin, failure), now, duty, jitter);
            }
        }
    }

    async fn ask_store(&mut self, asked: Instant) -> Result<(), Trouble> {
        let at = self.shared.lock().at();
        let watched = if at == 0 {
            Err(Trouble::Forgotten)
        } else if self.origins.doubts_store() || (self.sink.behind)() {
            self.probe(at).await
        } else {
            (self.source.watch)(at, self.settings.wait).await
        };
        let (items, at, whole) = match watched {
            Ok((items, at)) => (items, at, false),
            Err(Trouble::Forgotten) => {
                let (items, at) = (self.source.list)().await?;
                log::info!("feed: event=listed revision={at} items={}", items.len());
                (items, at, true)
            }
            Err(trouble) => return Err(trouble),
        };
        let news = !items.is_empty();
        // A watch that ends without news says so as of its end, a listing as of its start.
        let moment = if whole { asked } else { Instant::now() };
        self.take(items, at, whole, moment);
        if news {
            tokio::time::sleep(self.settings.settle).await;
        }
        Ok(())
    }

    /// Asks the store whether it answers again. Members have the news meanwhile, so a store
    /// that still hangs must not keep us from them for as long as a watch.
    async fn probe(&self, at: u64) -> crate::source::Outcome {
        let asked = (self.source.watch)(at, Duration::ZERO);
        let probed = tokio::time::timeout(self.settings.probe, asked).await;
        probed.unwrap_or(Err(Trouble::Silent))
    }

    async fn ask_member(&mut self, ip: Ipv4Addr) -> Result<(), Trouble> {
        let after = self.shared.lock().at();
        // A member that is out of reach must not cost as much as a watch.
        let proven = self.proven == Some(Origin::Member(ip));
        let waits = proven && !(self.sink.behind)();
        let wait = if waits { self.settings.wait } else { Duration::ZERO };
        let news = (self.members.ask)(ip, after, wait).await?;
        let age = news.age;
        if news.at > 0 {
            let moment = Instant::now().checked_sub(age);
            let moment = moment.unwrap_or_else(Instant::now);
            self.take(news.items, news.at, news.whole, moment);
        }
        if age > self.settings.stale {
            return Err(Trouble::Stale { age });
        }
        Ok(())
    }

    fn take(&mut self, items: Vec<bergamot_wire::Item>, at: u64, whole: bool, moment: Instant) {
        self.bytes += size(&items);
        let mut mirror = self.shared.lock();
        let change = if whole { mirror.replace(items, at) } else { mirror.update(items, at) };
        mirror.refresh(moment);
        drop(mirror);
        // The outage ends before what was published after it is taken in.
        self.judge();
        self.pass(&change);
        self.shared.changed.send_replace(at);
    }

    fn pass(&self, change: &Change) {
        for news in change.items.iter().filter_map(self.source.decode) {
            (self.sink.news)(news);
        }
    }

    /// Tells the sink when the store was lost or regained.
    fn judge(&mut self) {
        let age = self.shared.lock().age(Instant::now());
        let away = age.is_none_or(|age| age > self.settings.stale);
        if away != self.away {
            self.away = away;
            let age = age.unwrap_or_default();
            let change = if away { "lost" } else { "regained" };
            log::warn!("feed: event=store_{change} age_ms={}", age.as_millis());
            (self.sink.away)(away, age);
        }
    }
}
