//! Asks for the chunks of large values, and hands the values on once they are whole.
//!
//! News goes on meanwhile: a searcher's entry never waits behind a large declaration. A newer
//! version of the value waits until the one that is being asked for has come in, or nobody can
//! help with it any more. Invariant: what has come in is kept, whoever fails; the store itself is
//! asked for the whole value only if no member can help.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Position;
use bergamot_wire::{Item, Value};
use rand::RngExt;

use crate::clock::now;
use crate::deliver::Delivery;
use crate::members::Members;
use crate::origin::{Duty, Failure, Origin, Origins};
use crate::shared::LARGE;
use crate::sink::{Asked, Subject};
use crate::source::{Found, Trouble};

/// How many chunks one question names: some more than one answer holds.
const ASKED: usize = 8;

/// How long a member may wait for chunks that it is itself asking for: the first come down
/// eight levels in 0.2 s.
const WAIT: Duration = Duration::from_millis(300);

/// Asks for chunks, forever.
pub(crate) struct Fetcher {
    delivery: Delivery,
    members: std::sync::Arc<Members>,
    origins: Origins,
}

impl Fetcher {
    pub(crate) fn new(delivery: Delivery, members: std::sync::Arc<Members>) -> Self {
        Self { delivery, members, origins: Origins::default() }
    }

    pub(crate) async fn run(&mut self) {
        loop {
            let item = self.delivery.shared.begin_fetch().await;
            let (start, mut bytes) = (now(), 0);
            while self.delivery.shared.is_fetched(&item) {
                let came = self.step(&item).await;
                bytes += came;
                if came == 0 && self.newer(&item).is_some() {
                    break;
                }
            }
            self.delivery.shared.end_fetch();
            self.note_end(&item, start, bytes);
        }
    }

    /// Returns the position of a newer item of the same key that waits as well, if one does.
    fn newer(&self, item: &Item) -> Option<Position> {
        let awaited = self.delivery.shared.awaited(&item.key);
        awaited.filter(|other| other.rank() > item.rank()).map(|other| other.position)
    }

    /// Logs how the fetch of an item ended: it came in, or a newer one took its place.
    fn note_end(&self, item: &Item, start: Instant, bytes: usize) {
        let (key, position, took) = (&item.key, item.position, start.elapsed().as_millis());
        let missing = self.missing(item).len();
        if let Some(newer) = self.newer(item).filter(|_| missing > 0) {
            log::info!(
                "feed: event=fetch_superseded key={key} bytes={bytes} position={position} newer={newer} missing={missing} took_ms={took}"
            );
        } else if bytes >= LARGE {
            log::info!(
                "feed: event=large_news origin=chunks key={key} bytes={bytes} position={position} took_ms={took}"
            );
        }
    }

    /// Lists the chunks of an item that are not held.
    fn missing(&self, item: &Item) -> Vec<u64> {
        match &item.value {
            Value::Chunked(manifest) => self.delivery.shared.missing(manifest),
            Value::Deleted | Value::Inline(_) => Vec::new(),
        }
    }

    /// Hands the item on if it is whole, or asks somebody for more of it; returns how many
    /// bytes came in.
    async fn step(&mut self, item: &Item) -> usize {
        let shared = &self.delivery.shared;
        let missing = self.missing(item);
        if missing.is_empty()
            && let Some(record) = shared.record(item)
        {
            self.delivery.record(&record);
            return 0;
        }
        let lineage = (self.members.roster)().unwrap_or_default().lineage;
        let asked = now();
        // Chunks that make up another value than they should are of no use.
        let lineage = if missing.is_empty() { Vec::new() } else { lineage };
        match self.origins.pick(asked, Duty::Follower, &lineage) {
            Ok(Origin::Member(ip)) => self.ask_member(ip, missing).await,
            Ok(Origin::Store) => self.ask_store(item).await,
            Err(until) => {
                tokio::time::sleep_until(until.into()).await;
                0
            }
        }
    }

    async fn ask_member(&mut self, ip: Ipv4Addr, mut missing: Vec<u64>) -> usize {
        missing.truncate(ASKED);
        let at = now();
        let answer = (self.members.fetch)(ip, missing, WAIT).await;
        let bodies = answer.as_deref().unwrap_or_default();
        let bytes = bodies.iter().map(Vec::len).sum();
        let helped = self.delivery.shared.take_chunks(bodies);
        let failure = match &answer {
            Ok(_) if helped => None,
            // It waits for them itself.
            Ok(_) => Some(Failure::Stale),
            Err(trouble) => {
                log::info!("feed: event=chunks_failed member={ip} cause=\"{trouble}\"");
                Some(Failure::Silent)
            }
        };
        self.note(Origin::Member(ip), at, bytes, failure);
        bytes
    }

    /// Reads the whole value, since no member could help.
    async fn ask_store(&mut self, item: &Item) -> usize {
        let at = now();
        let (bytes, failure) = match (self.delivery.source.lookup)(&item.key).await {
            Ok(Found { record: Some(record), .. }) if record.rank() >= item.rank() => {
                let bytes = record.value.as_ref().map_or(0, Vec::len);
                // Others may ask for its chunks; the mirror learns of it from its own news.
                self.delivery.shared.cut(record.clone());
                self.delivery.record(&record);
                (bytes, None)
            }
            Ok(_) => {
                log::info!(
                    "feed: event=lookup_failed key={} cause=\"it is older or gone\"",
                    item.key
                );
                (0, Some(Failure::Stale))
            }
            Err(trouble) => {
                log::info!("feed: event=lookup_failed key={} cause=\"{trouble}\"", item.key);
                (0, Some(Failure::Silent))
            }
        };
        self.note(Origin::Store, at, bytes, failure);
        bytes
    }

    /// Counts a question, and leaves whoever could not help alone for a while.
    fn note(&mut self, origin: Origin, at: Instant, bytes: usize, failure: Option<Failure>) {
        let trouble = failure.map(|failure| match failure {
            Failure::Silent => Trouble::Silent.label(),
            Failure::Stale | Failure::Unheard => "lacking",
        });
        (self.delivery.sink.asked)(&Asked { origin, subject: Subject::Chunks, at, bytes, trouble });
        match failure {
            None => self.origins.succeed(origin),
            Some(failure) => {
                let jitter = rand::rng().random();
                self.origins.fail((origin, failure), now(), Duty::Follower, jitter);
            }
        }
    }
}
