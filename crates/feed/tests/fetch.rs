//! How chunks of large values come in when members can't help, or only with a part.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Position};
use bergamot_declaration::Declaration;
use bergamot_feed::{
    Chunks, Duty, Found, Members, News, Record, Roster, Settings, Shared, Sink, Source, Trouble,
    follow,
};
use bergamot_wire::Item;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const READER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const PARENT: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// How long a value may take to come in, with room for a loaded machine.
const SOON: Duration = Duration::from_secs(10);

/// The large value; its first byte is the version.
fn value(version: u8) -> Vec<u8> {
    (0..30_000_u32).map(|i| if i == 0 { version } else { (i.wrapping_mul(i) >> 5) as u8 }).collect()
}

fn decode(record: &Record) -> Option<News> {
    let version = u64::from(*record.value.as_ref()?.first()?);
    Some(News::Declared(Box::new(Declaration { version, ..Declaration::default() })))
}

/// What a member does when it is asked for chunks.
type Answer = fn(&Chunks, Ipv4Addr, &[u64], usize) -> Result<Vec<Vec<u8>>, Trouble>;

/// A member that hears of a large value from a reader, and whose questions for its chunks are
/// answered by a function that is told how many came before.
struct World {
    /// The bytes of chunks that were sent to it, by whom.
    sent: Arc<Mutex<Vec<(Ipv4Addr, usize)>>>,
    versions: mpsc::UnboundedReceiver<u64>,
    lookups: Arc<Mutex<usize>>,
    stop: CancellationToken,
}

impl World {
    fn start(answer: Answer) -> Self {
        let (heard, versions) = mpsc::unbounded_channel();
        let sent = Arc::<Mutex<Vec<(Ipv4Addr, usize)>>>::default();
        let lookups = Arc::<Mutex<usize>>::default();
        let mut held = Chunks::default();
        let key = Name::from("large");
        let item = Item {
            value: held.cut(&key, Position::from(5).into(), value(7)),
            key,
            position: 5.into(),
            version: None,
        };
        let reader = Arc::new(Shared::default());
        reader.lock().replace(vec![item], 5.into());
        let (sending, held) = (Arc::clone(&sent), Arc::new(held));
        let members = Members {
            roster: Box::new(|| {
                let (readers, lineage) = (vec![READER], vec![PARENT, READER]);
                Some(Roster { duty: Duty::Follower, readers, lineage, fleet: 3 })
            }),
            ask: Box::new(move |_ip, query| {
                let reader = Arc::clone(&reader);
                reader.lock().refresh(std::time::Instant::now());
                Box::pin(async move { Ok(reader.news(query).await) })
            }),
            fetch: Box::new(move |ip, hashes, _wait| {
                let mut sent = sending.lock().unwrap_or_else(PoisonError::into_inner);
                let bodies = answer(&held, ip, &hashes, sent.len());
                let bytes = bodies.iter().flatten().map(Vec::len).sum();
                sent.push((ip, bytes));
                Box::pin(async move { bodies })
            }),
            ahead: Box::new(|_| None),
            record: Box::new(|_, _| Box::pin(async { Err(Trouble::Silent) })),
        };
        let looking = Arc::clone(&lookups);
        let source = Source {
            list: Box::new(|| Box::pin(async { Err(Trouble::Silent) })),
            watch: Box::new(|_, _, _| Box::pin(async { Err(Trouble::Silent) })),
            lookup: Box::new(move |key| {
                *looking.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                let (key, value) = (Name::clone(key), Some(value(9)));
                let record = Some(Record { key, value, position: 8.into(), version: None });
                Box::pin(async move { Ok(Found { record, era: 0 }) })
            }),
            declaration: Name::from("large"),
            decode,
        };
        let sink = Sink {
            news: Box::new(move |news| {
                if let News::Declared(declaration) = news {
                    let _test_ended = heard.send(declaration.version);
                }
            }),
            away: Box::new(|_, _| {}),
            restored: Box::new(|_, _| {}),
            behind: Box::new(|| false),
            wanted: Box::new(|| false),
            asked: Box::new(|_| {}),
        };
        let (shared, stop) = (Arc::new(Shared::default()), CancellationToken::new());
        tokio::spawn(follow(source, members, sink, shared, Settings::default(), stop.clone()));
        Self { sent, versions, lookups, stop }
    }

    async fn version(&mut self) -> u64 {
        let version = tokio::time::timeout(SOON, self.versions.recv()).await;
        self.stop.cancel();
        version.expect("the value comes in").expect("the feed runs")
    }

    /// Returns who was asked how often, and how many bytes they sent.
    fn sent(&self) -> Vec<(Ipv4Addr, usize)> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

#[tokio::test]
async fn a_value_comes_from_the_parent_alone() {
    let mut world = World::start(|held, _ip, hashes, _count| Ok(held.first(hashes, 16 << 10)));
    assert_eq!(world.version().await, 7);
    assert!(world.sent().iter().all(|(ip, _)| *ip == PARENT), "{:?}", world.sent());
}

/// The parent goes silent after the first chunks: the others come from the next ancestor, and
/// none of them twice.
#[tokio::test]
async fn what_came_in_before_a_member_failed_is_kept() {
    let mut world = World::start(|held, ip, hashes, count| {
        if ip == PARENT && count > 0 { Err(Trouble::Silent) } else { Ok(held.first(hashes, 1)) }
    });
    assert_eq!(world.version().await, 7);
    let bytes: usize = world.sent().iter().map(|(_, bytes)| bytes).sum();
    assert_eq!(bytes, value(7).len());
    assert_eq!(world.sent().iter().filter(|(ip, _)| *ip == PARENT).count(), 2);
}

/// A parent that waits for the chunks itself is no reason not to ask its own parent.
#[tokio::test]
async fn a_parent_that_lacks_chunks_is_passed_over() {
    let mut world =
        World::start(
            |held, ip, hashes, _count| {
                if ip == PARENT { Ok(Vec::new()) } else { Ok(held.first(hashes, 16 << 10)) }
            },
        );
    assert_eq!(world.version().await, 7);
}

/// Chunks that nobody asked for, whatever a member says they are, change nothing.
#[tokio::test]
async fn wrong_chunks_are_no_help() {
    let mut world = World::start(|held, ip, hashes, _count| {
        let wrong = vec![vec![0; 5000], Vec::new()];
        if ip == PARENT { Ok(wrong) } else { Ok(held.first(hashes, 16 << 10)) }
    });
    assert_eq!(world.version().await, 7);
}

/// No member can help: the value is read from the store itself, where it is newer already.
#[tokio::test]
async fn the_store_is_read_if_no_member_helps() {
    let mut world = World::start(|_held, _ip, _hashes, _count| Err(Trouble::Silent));
    assert_eq!(world.version().await, 9);
    assert_eq!(*world.lookups.lock().unwrap_or_else(PoisonError::into_inner), 1);
}
