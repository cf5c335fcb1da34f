//! The loop that lists once and then watches, through outages and forgotten history.
//!
//! Invariants: news is taken in the order of the store's revisions; after forgotten history
//! everything is listed anew, so nothing that was missed stays unknown; the sink hears of
//! an outage before it hears anything that was published after it.

use std::time::Duration;

use rand::RngExt;
use tokio_util::sync::CancellationToken;

use crate::source::{Listing, Source, Trouble, Update};

/// The periods of the loop.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a watch waits at the store.
    ///
    /// A connection that went silent is noticed only after this time, and a declaration
    /// must be in force within 3 s.
    pub wait: Duration,
    /// How long the loop waits after news before it asks for more.
    ///
    /// Changes come in series; each watch that ends costs a call.
    pub settle: Duration,
    /// The shortest wait after a failed call.
    pub shortest_backoff: Duration,
    /// The longest wait after a failed call: still well within the bound for news.
    pub longest_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_millis(1500),
            settle: Duration::from_millis(150),
            shortest_backoff: Duration::from_millis(100),
            longest_backoff: Duration::from_millis(800),
        }
    }
}

/// Who takes the news in.
pub struct Sink {
    /// Takes in everything that is published.
    pub listing: Box<dyn Fn(Listing) + Send + Sync>,
    /// Takes in changes.
    pub update: Box<dyn Fn(Update) + Send + Sync>,
    /// Hears whether the store can be read.
    pub away: Box<dyn Fn(bool) + Send + Sync>,
}

impl std::fmt::Debug for Sink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sink")
    }
}

/// Follows a store until `stop`.
pub async fn follow(source: Source, sink: Sink, settings: Settings, stop: CancellationToken) {
    let mut state = Follower { sink, settings, failures: 0 };
    tokio::select! {
        () = stop.cancelled() => {}
        () = state.run(&source) => {}
    }
}

struct Follower {
    sink: Sink,
    settings: Settings,
    failures: u32,
}

impl Follower {
    async fn run(&mut self, source: &Source) {
        loop {
            let at = self.list(source).await;
            self.watch(source, at).await;
        }
    }

    /// Lists until it succeeds and returns the revision from which to watch.
    async fn list(&mut self, source: &Source) -> u64 {
        loop {
            match (source.list)().await {
                Ok(listing) => {
                    self.succeeded();
                    let (at, searchers) = (listing.at, listing.upstreams.len());
                    log::info!("feed: event=listed revision={at} searchers={searchers}");
                    (self.sink.listing)(listing);
                    return at;
                }
                Err(trouble) => self.failed("list", &trouble).await,
            }
        }
    }

    /// Watches until the history is forgotten.
    async fn watch(&mut self, source: &Source, mut after: u64) {
        loop {
            match (source.watch)(after, self.settings.wait).await {
                Ok(update) => {
                    self.succeeded();
                    after = update.at;
                    if !update.news.is_empty() {
                        (self.sink.update)(update);
                        tokio::time::sleep(self.settings.settle).await;
                    }
                }
                Err(Trouble::Forgotten) => {
                    log::info!("feed: event=history_forgotten revision={after}");
                    return;
                }
                Err(trouble) => self.failed("watch", &trouble).await,
            }
        }
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            log::info!("feed: event=store_regained failures={}", self.failures);
            (self.sink.away)(false);
        }
        self.failures = 0;
    }

    async fn failed(&mut self, call: &str, trouble: &Trouble) {
        if self.failures == 0 {
            (self.sink.away)(true);
        }
        self.failures = self.failures.saturating_add(1);
        let failures = self.failures;
        if failures.is_power_of_two() {
            log::warn!(
                "feed: event=store_lost call={call} failures={failures} cause=\"{trouble}\""
            );
        }
        let backoff = self.settings.shortest_backoff * 2_u32.pow((failures - 1).min(8));
        let backoff = backoff.min(self.settings.longest_backoff);
        let jittered = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(jittered).await;
    }
}
