//! Many versions of a value in one answer of the store.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bergamot_base::Name;
use bergamot_declaration::Declaration;
use bergamot_feed::{
    Members, News, Outcome, Record, Settings, Shared, Sink, Source, Trouble, follow,
};
use proptest::prelude::*;
use tokio_util::sync::CancellationToken;

/// A change that the store tells: which key, how many bytes its value has, whether it goes.
type Change = (u8, usize, bool);

/// What the last record of each key says: its revision, unless it was deleted.
type Newest = BTreeMap<u8, Option<u64>>;

/// A value that names its key and revision, and shares much with other versions of it.
fn value(key: u8, revision: u64, size: usize) -> Vec<u8> {
    let body = (0..size as u32).map(|i| (i.wrapping_mul(i) >> 5) as u8 ^ key);
    let mut value: Vec<u8> = body.collect();
    let mark = revision.to_le_bytes();
    // A later version differs in its midst as well.
    let middle = size / 2 + revision as usize % 64;
    value[middle..middle + 8].copy_from_slice(&mark);
    value[0] = key;
    value[1..9].copy_from_slice(&mark);
    value
}

#[allow(clippy::unnecessary_wraps, reason = "it is a source's")]
fn decode(record: &Record) -> Option<News> {
    let Some(value) = &record.value else {
        return Some(News::Disappeared(Name::clone(&record.key)));
    };
    let revision = u64::from_le_bytes(value[1..9].try_into().expect("eight bytes"));
    let declared = Declaration { version: revision, digest: value[0].into(), ..Default::default() };
    Some(News::Declared(Box::new(declared)))
}

/// Numbers the changes of each answer as the store does.
fn answers(batches: &[Vec<Change>]) -> VecDeque<(Vec<Record>, u64)> {
    let mut revision = 1;
    let mut record = |&(key, size, deleted): &Change| {
        revision += 1;
        let value = (!deleted).then(|| value(key, revision, size));
        Record { key: Name::from(format!("k{key}")), value, revision }
    };
    let batches = batches.iter().map(|batch| batch.iter().map(&mut record).collect::<Vec<_>>());
    batches
        .map(|batch| (batch.last().map_or(1, |last| last.revision), batch))
        .map(|(at, batch)| (batch, at))
        .collect()
}

/// What a member that reads the store alone has handed on, and how often it had to ask for more.
struct Seen {
    newest: Newest,
    lookups: usize,
}

/// Lets a member read answers of the store, one after the other, and nobody else.
async fn read(batches: &[Vec<Change>]) -> Seen {
    let script = Arc::new(Mutex::new(answers(batches)));
    let heard = Arc::<Mutex<Newest>>::default();
    let lookups = Arc::new(AtomicUsize::new(0));
    let (left, looking, hearing) = (Arc::clone(&script), Arc::clone(&lookups), Arc::clone(&heard));
    let next = move || script.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
    let source = Source {
        list: Box::new(|| Box::pin(async { Ok((Vec::new(), 1)) })),
        watch: Box::new(move |at, wait| {
            let answer = next();
            Box::pin(async move {
                if answer.is_none() {
                    tokio::time::sleep(wait.news).await;
                }
                Outcome::Ok(answer.unwrap_or((Vec::new(), at)))
            })
        }),
        lookup: Box::new(move |_| {
            looking.fetch_add(1, Ordering::Relaxed);
            Box::pin(async { Err(Trouble::Silent) })
        }),
        decode,
    };
    let sink = Sink {
        news: Box::new(move |news| {
            let (key, revision) = match news {
                News::Declared(declared) => (declared.digest as u8, Some(declared.version)),
                News::Disappeared(key) => (key[1..].parse().expect("a key"), None),
                other => panic!("{other:?}"),
            };
            hearing.lock().unwrap_or_else(PoisonError::into_inner).insert(key, revision);
        }),
        away: Box::new(|_, _| {}),
        behind: Box::new(|| false),
        wanted: Box::new(|| false),
        asked: Box::new(|_| {}),
    };
    let members = Members {
        roster: Box::new(|| Some(bergamot_feed::Roster::default())),
        ask: Box::new(|_, _| Box::pin(async { Err(Trouble::Silent) })),
        fetch: Box::new(|_, _, _| Box::pin(async { Err(Trouble::Silent) })),
    };
    let stop = CancellationToken::new();
    let shared = Arc::new(Shared::default());
    let following = follow(source, members, sink, shared, Settings::default(), stop.clone());
    let following = tokio::spawn(following);
    while !left.lock().unwrap_or_else(PoisonError::into_inner).is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // What was read is handed on at once, with no time for another question.
    tokio::time::sleep(Duration::from_millis(1)).await;
    stop.cancel();
    following.await.expect("the feed ends well");
    let newest = heard.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Seen { newest, lookups: lookups.load(Ordering::Relaxed) }
}

/// What the last change of each key was; one that was never there is left out.
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
    let change = (0..3_u8, size, prop::bool::weighted(0.1));
    prop::collection::vec(prop::collection::vec(change, 1..8), 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against losing chunks of the newest version while those before it are taken in.
    #[test]
    fn the_newest_of_what_was_read_is_handed_on_at_once(batches in batches()) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let seen = runtime.block_on(read(&batches));
        // A key that came and went within one answer may never have been heard of.
        let mut expected = newest(&batches);
        expected.retain(|key, revision| revision.is_some() || seen.newest.contains_key(key));
        prop_assert_eq!((seen.newest, seen.lookups), (expected, 0));
    }
}
