//! Fetching chunks of large values when members cannot help, or only with some of the chunks.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Position};
use bergamot_declaration::Declaration;
use bergamot_feed::{
    Chunks, FeedState, LookupReply, Members, QueryError, ReadRole, Record, RecordEvent, Settings,
    Sink, Source, Topology, follow,
};
use bergamot_wire::Item;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const READER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const PARENT: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// How long a value may take to arrive, with a margin for a loaded machine.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the large value; its first byte is the version.
fn value(version: u8) -> Vec<u8> {
    (0..30_000_u32).map(|i| if i == 0 { version } else { (i.wrapping_mul(i) >> 5) as u8 }).collect()
}

fn decode(record: &Record) -> Option<RecordEvent> {
    let version = u64::from(*record.value.as_ref()?.first()?);
    Some(RecordEvent::Declared(Box::new(Declaration { version, ..Declaration::default() })))
}

/// The reply of a member to a query for chunks.
type ChunkReply = fn(&Chunks, Ipv4Addr, &[u64], usize) -> Result<Vec<Vec<u8>>, QueryError>;

/// A member that learns of a large value from a reader. Its queries for chunks are answered by a
/// function, which receives the number of earlier queries.
struct Fixture {
    /// The members that were queried, and the bytes of chunks that each query returned.
    sent: Arc<Mutex<Vec<(Ipv4Addr, usize)>>>,
    versions: mpsc::UnboundedReceiver<u64>,
    lookups: Arc<Mutex<usize>>,
    stop: CancellationToken,
}

impl Fixture {
    fn start(answer: ChunkReply) -> Self {
        let (version_sender, versions) = mpsc::unbounded_channel();
        let sent = Arc::<Mutex<Vec<(Ipv4Addr, usize)>>>::default();
        let lookups = Arc::<Mutex<usize>>::default();
        let mut parent_chunks = Chunks::default();
        let key = Name::from("large");
        let item = Item {
            value: parent_chunks.split(&key, Position::from(5).into(), value(7)),
            key,
            position: 5.into(),
            version: None,
        };
        let reader = Arc::new(FeedState::default());
        reader.mirror().replace(vec![item], 5.into());
        let (sent_by_fetch, parent_chunks) = (Arc::clone(&sent), Arc::new(parent_chunks));
        let members = Members {
            topology: Box::new(|| {
                let (readers, chunk_sources) = (vec![READER], vec![PARENT, READER]);
                Some(Topology {
                    role: ReadRole::Follower,
                    readers,
                    chunk_sources,
                    member_count: 3,
                    is_isolated: false,
                })
            }),
            query_news: Box::new(move |_ip, query| {
                let reader = Arc::clone(&reader);
                reader.mirror().mark_current(std::time::Instant::now());
                Box::pin(async move { Ok(reader.news(query).await) })
            }),
            fetch_chunks: Box::new(move |ip, hashes, _wait| {
                let mut sent = sent_by_fetch.lock().unwrap_or_else(PoisonError::into_inner);
                let bodies = answer(&parent_chunks, ip, &hashes, sent.len());
                let bytes = bodies.iter().flatten().map(Vec::len).sum();
                sent.push((ip, bytes));
                Box::pin(async move { bodies })
            }),
            find_newer: Box::new(|_| None),
            fetch_record: Box::new(|_, _| Box::pin(async { Err(QueryError::Silent) })),
        };
        let lookup_count = Arc::clone(&lookups);
        let source = Source {
            list: Box::new(|_| Box::pin(async { Err(QueryError::Silent) })),
            watch: Box::new(|_, _, _| Box::pin(async { Err(QueryError::Silent) })),
            lookup: Box::new(move |key| {
                *lookup_count.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                let (key, value) = (Name::clone(key), Some(value(9)));
                let record = Some(Record { key, value, position: 8.into(), version: None });
                Box::pin(async move { Ok(LookupReply { record, era: 0 }) })
            }),
            declaration: Name::from("large"),
            is_operator_key: |_| true,
            decode,
        };
        let sink = Sink {
            on_record: Box::new(move |news| {
                if let RecordEvent::Declared(declaration) = news {
                    let _test_ended = version_sender.send(declaration.version);
                }
            }),
            on_store_away: Box::new(|_, _| {}),
            on_restore: Box::new(|_, _| {}),
            was_suspended: Box::new(|| false),
            has_waiting_callers: Box::new(|| false),
            on_query_end: Box::new(|_| {}),
        };
        let (shared, stop) = (Arc::new(FeedState::default()), CancellationToken::new());
        tokio::spawn(follow(source, members, sink, shared, Settings::default(), stop.clone()));
        Self { sent, versions, lookups, stop }
    }

    async fn version(&mut self) -> u64 {
        let version = tokio::time::timeout(ARRIVAL_TIMEOUT, self.versions.recv()).await;
        self.stop.cancel();
        version.expect("the value arrives in time").expect("the feed is running")
    }

    fn sent(&self) -> Vec<(Ipv4Addr, usize)> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

#[tokio::test]
async fn a_value_is_fetched_only_from_the_parent() {
    let mut fixture = Fixture::start(|parent_chunks, _ip, hashes, _count| {
        Ok(parent_chunks.select(hashes, 16 << 10))
    });
    assert_eq!(fixture.version().await, 7);
    assert!(fixture.sent().iter().all(|(ip, _)| *ip == PARENT), "{:?}", fixture.sent());
}

/// The parent stops answering after the first chunks. The remaining ones come from the next
/// ancestor, and none is sent twice.
#[tokio::test]
async fn chunks_received_before_a_failure_are_not_fetched_again() {
    let mut fixture = Fixture::start(|parent_chunks, ip, hashes, count| {
        if ip == PARENT && count > 0 {
            Err(QueryError::Silent)
        } else {
            Ok(parent_chunks.select(hashes, 1))
        }
    });
    assert_eq!(fixture.version().await, 7);
    let bytes: usize = fixture.sent().iter().map(|(_, bytes)| bytes).sum();
    assert_eq!(bytes, value(7).len());
    assert_eq!(fixture.sent().iter().filter(|(ip, _)| *ip == PARENT).count(), 2);
}

/// A parent that is itself waiting for the chunks does not prevent a query to the next ancestor.
#[tokio::test]
async fn a_parent_without_the_chunks_is_skipped() {
    let mut fixture = Fixture::start(|parent_chunks, ip, hashes, _count| {
        if ip == PARENT { Ok(Vec::new()) } else { Ok(parent_chunks.select(hashes, 16 << 10)) }
    });
    assert_eq!(fixture.version().await, 7);
}

/// Chunks that were not requested have no effect.
#[tokio::test]
async fn chunks_that_were_not_requested_are_ignored() {
    let mut fixture = Fixture::start(|parent_chunks, ip, hashes, _count| {
        let wrong = vec![vec![0; 5000], Vec::new()];
        if ip == PARENT { Ok(wrong) } else { Ok(parent_chunks.select(hashes, 16 << 10)) }
    });
    assert_eq!(fixture.version().await, 7);
}

/// No member can help: the value is read from the store itself, which already has a newer one.
#[tokio::test]
async fn the_store_is_read_if_no_member_has_the_value() {
    let mut fixture = Fixture::start(|_held, _ip, _hashes, _count| Err(QueryError::Silent));
    assert_eq!(fixture.version().await, 9);
    assert_eq!(*fixture.lookups.lock().unwrap_or_else(PoisonError::into_inner), 1);
}
