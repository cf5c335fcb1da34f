//! Fetches the chunks of large values, and delivers the values once they are complete.
//!
//! Fetching runs beside the update loop, so a searcher's entry never waits behind a large
//! declaration. A newer version of a value waits until the current fetch is complete or no source
//! can make progress on it. The members that are asked may be fetching the value themselves, and all
//! lack the same chunks; a member that has the value in force has all chunks. Invariants: chunks
//! that have arrived are kept when a source fails; the whole value is read from the store only if no
//! member can help, and by members that read the store themselves.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Position;
use bergamot_wire::{Item, Value};
use rand::RngExt;

use crate::catch_up::catch_up;
use crate::clock::now;
use crate::deliver::Delivery;
use crate::members::{Members, Topology};
use crate::origin::{Failure, Origin, Origins, ReadRole};
use crate::sink::{QueryKind, QueryReport};
use crate::source::{LookupReply, QueryError};
use crate::state::LARGE_TRANSFER_BYTES;

/// How many chunks one query requests: slightly more than fit into one reply.
pub(crate) const MAX_CHUNKS_PER_QUERY: usize = 8;

/// How long a member may wait for chunks that it is still fetching itself. The first chunks pass
/// eight levels of the tree in 0.2 s.
const CHUNK_WAIT: Duration = Duration::from_millis(300);

/// How often a fetch without progress is logged.
const STALL_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The background task that fetches chunks.
pub(crate) struct Fetcher {
    delivery: Delivery,
    members: std::sync::Arc<Members>,
    origins: Origins,
    /// Whether the last query has failed.
    has_failed: bool,
}

impl Fetcher {
    pub(crate) fn new(delivery: Delivery, members: std::sync::Arc<Members>) -> Self {
        Self { delivery, members, origins: Origins::default(), has_failed: false }
    }

    pub(crate) async fn run(&mut self) {
        loop {
            let item = self.delivery.shared.start_fetch().await;
            let (start, mut bytes) = (now(), 0);
            let mut reported = start;
            while self.delivery.shared.is_fetch_in_progress(&item) {
                let received = self.fetch_step(&item).await;
                bytes += received;
                if received > 0 {
                    reported = now();
                } else if reported.elapsed() >= STALL_REPORT_INTERVAL {
                    reported = now();
                    self.log_stall(&item, start);
                }
                if std::mem::take(&mut self.has_failed) {
                    catch_up(&self.delivery, &self.members).await;
                }
                if received == 0 && self.newer_pending(&item).is_some() {
                    break;
                }
            }
            self.delivery.shared.finish_fetch(&item);
            self.log_completion(&item, start, bytes);
        }
    }

    /// Returns the position of a newer pending item of the same key, if any.
    fn newer_pending(&self, item: &Item) -> Option<Position> {
        let pending = self.delivery.shared.pending_item(&item.key);
        pending.filter(|other| other.rank() > item.rank()).map(|other| other.position)
    }

    /// Logs that nobody has helped with an item for some time.
    fn log_stall(&self, item: &Item, start: Instant) {
        let (key, position, took) = (&item.key, item.position, start.elapsed().as_millis());
        let missing = self.missing(item).len();
        log::info!(
            "feed: event=fetch_stalled key={key} position={position} missing={missing} took_ms={took}"
        );
    }

    /// Logs whether the fetch of an item was completed or superseded by a newer item.
    fn log_completion(&self, item: &Item, start: Instant, bytes: usize) {
        let (key, position, took) = (&item.key, item.position, start.elapsed().as_millis());
        let missing = self.missing(item).len();
        if let Some(newer) = self.newer_pending(item).filter(|_| missing > 0) {
            log::info!(
                "feed: event=fetch_superseded key={key} bytes={bytes} position={position} newer={newer} missing={missing} took_ms={took}"
            );
        } else if bytes >= LARGE_TRANSFER_BYTES {
            log::info!(
                "feed: event=large_news origin=chunks key={key} bytes={bytes} position={position} took_ms={took}"
            );
        }
    }

    /// Lists the chunks of an item that are not stored.
    fn missing(&self, item: &Item) -> Vec<u64> {
        match &item.value {
            Value::Chunked(manifest) => self.delivery.shared.missing_chunks(manifest),
            Value::Deleted | Value::Inline(_) => Vec::new(),
        }
    }

    /// Delivers the item if it is complete, or else queries one source for missing chunks. Returns
    /// the number of bytes received.
    async fn fetch_step(&mut self, item: &Item) -> usize {
        let shared = &self.delivery.shared;
        let missing = self.missing(item);
        if missing.is_empty()
            && let Some(record) = shared.assemble_record(item)
        {
            shared.mark_complete(item);
            self.delivery.deliver_record(&record);
            return 0;
        }
        let topology = (self.members.topology)().unwrap_or_default();
        self.origins.set_member_count(topology.member_count);
        self.origins.set_isolated(topology.is_isolated);
        // With all chunks present the hash of the whole value does not match, so members cannot
        // help; only the store can.
        let sources = if missing.is_empty() { Vec::new() } else { self.sources(item, &topology) };
        match self.origins.choose(now(), topology.role, &sources) {
            Ok(Origin::Member(ip)) => self.ask_member(ip, missing, topology.role).await,
            Ok(Origin::Store) => self.ask_store(item, topology.role).await,
            Err(until) => {
                tokio::time::sleep_until(until.into()).await;
                0
            }
        }
    }

    /// Returns the members to ask for the chunks of an item, in order of preference: the parent,
    /// from which a value arrives soonest if nothing fails; a member that has the value in force; the
    /// one that sent the last updates in place of the usual one; and then the others.
    fn sources(&self, item: &Item, topology: &Topology) -> Vec<Ipv4Addr> {
        let mut sources = topology.chunk_sources.clone();
        let sender = self.delivery.shared.last_sender();
        // The reader of the region, which usually sends them, sends chunks to its children only.
        if let Some(sender) = sender.filter(|sender| topology.readers.first() != Some(sender)) {
            prefer_after_parent(&mut sources, sender);
        }
        let version = item.version.filter(|_| item.key == self.delivery.source.declaration);
        let earlier = version.and_then(|version| version.checked_sub(1));
        if let Some(holder) = earlier.and_then(|earlier| (self.members.find_newer)(earlier)) {
            prefer_after_parent(&mut sources, holder);
        }
        sources
    }

    async fn ask_member(&mut self, ip: Ipv4Addr, mut missing: Vec<u64>, role: ReadRole) -> usize {
        missing.truncate(MAX_CHUNKS_PER_QUERY);
        let started = now();
        let answer = (self.members.fetch_chunks)(ip, missing, CHUNK_WAIT).await;
        let bodies = answer.as_deref().unwrap_or_default();
        let bytes = bodies.iter().map(Vec::len).sum();
        let helped = self.delivery.shared.insert_chunks(bodies);
        let failure = match &answer {
            Ok(_) if helped => None,
            // The member is still waiting for these chunks itself.
            Ok(_) => Some(Failure::Stale),
            Err(error) => {
                log::info!("feed: event=chunks_failed member={ip} cause=\"{error}\"");
                Some(Failure::Silent)
            }
        };
        self.record_outcome(Origin::Member(ip), started, bytes, (failure, role));
        bytes
    }

    /// Reads the whole value from the store.
    async fn ask_store(&mut self, item: &Item, role: ReadRole) -> usize {
        let started = now();
        let (bytes, failure) = match (self.delivery.source.lookup)(&item.key).await {
            Ok(LookupReply { record: Some(record), .. }) if record.rank() >= item.rank() => {
                let bytes = record.value.as_ref().map_or(0, Vec::len);
                // Stores the chunks for other members. The mirror is updated by its own queries.
                let complete = self.delivery.shared.to_item(record.clone());
                self.delivery.shared.mark_complete(&complete);
                self.delivery.deliver_record(&record);
                (bytes, None)
            }
            Ok(_) => {
                log::info!(
                    "feed: event=lookup_failed key={} cause=\"the record is older than the known version or was deleted\"",
                    item.key
                );
                (0, Some(Failure::Stale))
            }
            Err(error) => {
                log::info!("feed: event=lookup_failed key={} cause=\"{error}\"", item.key);
                (0, Some(Failure::Silent))
            }
        };
        self.record_outcome(Origin::Store, started, bytes, (failure, role));
        bytes
    }

    /// Reports a query to the sink, and backs off from the source if it failed.
    fn record_outcome(
        &mut self,
        origin: Origin,
        started: Instant,
        bytes: usize,
        (failure, role): (Option<Failure>, ReadRole),
    ) {
        let error = failure.map(|failure| match failure {
            Failure::Silent => QueryError::Silent.label(),
            Failure::Stale | Failure::NeverSynced => "lacking",
        });
        (self.delivery.sink.on_query_end)(&QueryReport {
            origin,
            kind: QueryKind::Chunks,
            at: started,
            bytes,
            error,
        });
        self.has_failed = failure.is_some();
        match failure {
            None => self.origins.record_success(origin),
            Some(failure) => {
                let jitter = rand::rng().random();
                self.origins.record_failure((origin, failure), now(), role, jitter);
            }
        }
    }
}

/// Moves a member to the place after the parent, which comes first, unless it is the parent.
fn prefer_after_parent(sources: &mut Vec<Ipv4Addr>, member: Ipv4Addr) {
    if sources.first() != Some(&member) {
        sources.retain(|ip| *ip != member);
        sources.insert(sources.len().min(1), member);
    }
}
