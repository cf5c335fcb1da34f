//! Replies of the store that contain several versions of a value.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Position};
use bergamot_declaration::Declaration;
use bergamot_feed::{
    FeedState, LookupReply, Members, QueryError, QueryKind, ReadResult, Record, RecordEvent, Scope,
    Settings, Sink, Source, Topology, follow,
};
use proptest::prelude::*;
use tokio_util::sync::CancellationToken;

/// A change in the store: the key, the size of the value in bytes, and whether the record is
/// deleted.
type Change = (u8, usize, bool);

/// The revision of the last record of each key, or `None` if it was deleted.
type Newest = BTreeMap<u8, Option<u64>>;

/// Returns a value that contains its key and revision, and shares most bytes with other versions.
fn value(key: u8, revision: u64, size: usize) -> Vec<u8> {
    let body = (0..size as u32).map(|i| (i.wrapping_mul(i) >> 5) as u8 ^ key);
    let mut value: Vec<u8> = body.collect();
    let mark = revision.to_le_bytes();
    // Versions also differ in the middle.
    let middle = size / 2 + revision as usize % 64;
    value[middle..middle + 8].copy_from_slice(&mark);
    value[0] = key;
    value[1..9].copy_from_slice(&mark);
    value
}

#[allow(clippy::unnecessary_wraps, reason = "it is a source's")]
fn decode(record: &Record) -> Option<RecordEvent> {
    let Some(value) = &record.value else {
        return Some(RecordEvent::Removed(Name::clone(&record.key)));
    };
    let revision = u64::from_le_bytes(value[1..9].try_into().expect("eight bytes"));
    let declared = Declaration { version: revision, digest: value[0].into(), ..Default::default() };
    Some(RecordEvent::Declared(Box::new(declared)))
}

/// A store that applies the next batch of changes each time it is called.
struct Store {
    batches: VecDeque<Vec<Change>>,
    records: Vec<Record>,
    revision: u64,
}

impl Store {
    fn new(batches: &[Vec<Change>]) -> Self {
        Self { batches: batches.iter().cloned().collect(), records: Vec::new(), revision: 1 }
    }

    /// Applies the next batch, and returns whether there was one.
    fn publish(&mut self) -> bool {
        let batch = self.batches.pop_front();
        for (key, size, deleted) in batch.iter().flatten() {
            self.revision += 1;
            let revision = self.revision;
            let value = (!deleted).then(|| value(*key, revision, *size));
            self.records.push(Record {
                key: name(*key),
                value,
                position: revision.into(),
                version: None,
            });
        }
        batch.is_some()
    }

    fn after(&self, position: Position, scope: Scope) -> Vec<Record> {
        let is_visible =
            |record: &&Record| record.position > position && covers(scope, &record.key);
        self.records.iter().filter(is_visible).cloned().collect()
    }

    /// Returns the records that exist.
    fn list(&self, scope: Scope) -> Vec<Record> {
        let mut newest = BTreeMap::<&Name, &Record>::new();
        for record in self.records.iter().filter(|record| covers(scope, &record.key)) {
            newest.insert(&record.key, record);
        }
        newest.into_values().filter(|record| record.value.is_some()).cloned().collect()
    }

    fn newest(&self, key: &str) -> Option<Record> {
        let newest = self.records.iter().rfind(|record| *record.key == *key);
        newest.filter(|record| record.value.is_some()).cloned()
    }
}

/// The key that stands for the operator's declaration.
const DECLARATION: u8 = 0;

/// The key that stands for another record of the operator.
const EVACUATION: u8 = 1;

fn is_operator_key(key: &str) -> bool {
    [DECLARATION, EVACUATION].iter().any(|own| *name(*own) == *key)
}

fn covers(scope: Scope, key: &str) -> bool {
    match scope {
        Scope::All => true,
        Scope::Operator => is_operator_key(key),
        Scope::Searchers => !is_operator_key(key),
    }
}

fn name(key: u8) -> Name {
    Name::from(format!("k{key}"))
}

/// What a member that reads only the store has delivered, and how often it queried for chunks of
/// values that it had already read.
struct Delivered {
    newest: Newest,
    fetches: usize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn no_members() -> Members {
    Members {
        topology: Box::new(|| Some(Topology::default())),
        query_news: Box::new(|_, _| Box::pin(async { Err(QueryError::Silent) })),
        fetch_chunks: Box::new(|_, _, _| Box::pin(async { Err(QueryError::Silent) })),
        find_newer: Box::new(|_| None),
        fetch_record: Box::new(|_, _| Box::pin(async { Err(QueryError::Silent) })),
    }
}

/// Runs a member that reads the store and knows no other members.
async fn run_reader(batches: &[Vec<Change>]) -> Delivered {
    let store = Arc::new(Mutex::new(Store::new(batches)));
    let delivered_newest = Arc::<Mutex<Newest>>::default();
    let fetches = Arc::new(AtomicUsize::new(0));
    let (list_store, watch_store) = (Arc::clone(&store), Arc::clone(&store));
    let lookup_store = Arc::clone(&store);
    let (sink_newest, sink_fetches) = (Arc::clone(&delivered_newest), Arc::clone(&fetches));
    let source = Source {
        list: Box::new(move |scope| {
            let store = Arc::clone(&list_store);
            Box::pin(async move {
                if scope == Scope::All {
                    return Ok((Vec::new(), 1.into()));
                }
                lock(&store).publish();
                let store = lock(&store);
                Ok((store.list(scope), store.revision.into()))
            })
        }),
        watch: Box::new(move |after, scope, wait| {
            let store = Arc::clone(&watch_store);
            Box::pin(async move {
                if !lock(&store).publish() {
                    tokio::time::sleep(wait.max_wait).await;
                }
                let store = lock(&store);
                ReadResult::Ok((store.after(after, scope), store.revision.into()))
            })
        }),
        lookup: Box::new(move |key| {
            let (store, key) = (Arc::clone(&lookup_store), Name::clone(key));
            Box::pin(async move {
                lock(&store).publish();
                let record = lock(&store).newest(&key);
                Ok(LookupReply { record, era: 0 })
            })
        }),
        declaration: name(DECLARATION),
        is_operator_key,
        decode,
    };
    let sink = Sink {
        on_record: Box::new(move |news| {
            let (key, revision) = match news {
                RecordEvent::Declared(declared) => (declared.digest as u8, Some(declared.version)),
                RecordEvent::Removed(key) => (key[1..].parse().expect("a key with a number"), None),
                other => panic!("{other:?}"),
            };
            lock(&sink_newest).insert(key, revision);
        }),
        on_store_away: Box::new(|_, _| {}),
        on_restore: Box::new(|_, _| {}),
        was_suspended: Box::new(|| false),
        has_waiting_callers: Box::new(|| false),
        on_query_end: Box::new(move |report| {
            sink_fetches
                .fetch_add(usize::from(report.kind == QueryKind::Chunks), Ordering::Relaxed);
        }),
    };
    let stop = CancellationToken::new();
    let shared = Arc::new(FeedState::default());
    let following =
        follow(source, no_members(), sink, Arc::clone(&shared), Settings::default(), stop.clone());
    let following = tokio::spawn(following);
    while !lock(&store).batches.is_empty()
        || shared.mirror().position().revision < lock(&store).revision
    {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // Records are delivered as soon as they are read, without another query.
    tokio::time::sleep(Duration::from_millis(1)).await;
    stop.cancel();
    following.await.expect("the feed stops without a panic");
    let newest = lock(&delivered_newest).clone();
    Delivered { newest, fetches: fetches.load(Ordering::Relaxed) }
}

/// Returns the last change of each key, without keys that never existed.
fn newest(batches: &[Vec<Change>]) -> Newest {
    let mut newest = Newest::new();
    let mut revision = 1;
    for (key, _, deleted) in batches.iter().flatten() {
        revision += 1;
        if !deleted || newest.contains_key(key) {
            newest.insert(*key, (!deleted).then_some(revision));
        }
    }
    newest
}

fn batches() -> impl Strategy<Value = Vec<Vec<Change>>> {
    let size = prop_oneof![200..2000_usize, 9_000..40_000_usize];
    let change = (0..4_u8, size, prop::bool::weighted(0.1));
    prop::collection::vec(prop::collection::vec(change, 1..8), 1..6)
}

fn run(batches: &[Vec<Change>]) -> Delivered {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(run_reader(batches))
}

/// Guards against an evacuation that is ordered or ended between two versions of the declaration
/// and skipped because only the newest of them is read.
#[test]
fn an_evacuation_within_a_burst_of_declarations_is_delivered() {
    let version = (DECLARATION, 40_000, false);
    let burst = vec![version; 12];
    let ordered = vec![version, (EVACUATION, 200, false), version];
    let revoked = vec![version, (EVACUATION, 200, true), version];
    let delivered = run(&[burst.clone(), ordered.clone(), burst.clone()]);
    assert_eq!(delivered.newest[&EVACUATION], Some(15));
    let delivered = run(&[burst.clone(), ordered, burst.clone(), revoked, burst]);
    assert_eq!(delivered.newest[&EVACUATION], None);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against losing chunks of the newest version while earlier versions are processed, and
    /// against missing other records of the operator while only the newest declaration is read.
    #[test]
    fn the_newest_record_of_each_key_is_delivered_without_a_fetch(batches in batches()) {
        let delivered = run(&batches);
        // A key that was created and deleted within one reply may never be reported.
        let mut expected = newest(&batches);
        expected.retain(|key, revision| revision.is_some() || delivered.newest.contains_key(key));
        prop_assert_eq!((delivered.newest, delivered.fetches), (expected, 0));
    }
}
