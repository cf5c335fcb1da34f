//! The loop that keeps the mirror up to date, through outages and forgotten history.
//!
//! Invariants: news is taken in the order of the store's positions; after forgotten history, and
//! once the store was restored from a copy, everything is listed anew, so nothing that was missed
//! stays unknown; an answer of an earlier era than the known one changes nothing; the sink hears of
//! an outage or a restore before it hears anything that was published after it; what a listing has brought
//! is kept when the member that told it fails, and the next one goes on from there.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};
use bergamot_wire::{Item, News, NewsQuery};
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
use crate::source::{Found, Outcome, Record, Scope, Source, Trouble, Wait};

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

/// How many times as old as usual a member's knowledge may be while an answer of the store is
/// coming in to it: 700 KB over a busy link, and still within the 3 s for news.
const ARRIVING_FACTOR: u32 = 2;

/// How many bytes of superseded declarations an answer may hold: 0.15 s of a link of 14 Mbit/s.
/// After more of them the newest is read alone, with two calls in place of one.
const SUPERSEDED: usize = 256 << 10;

/// How long another member may have a later version of the declaration before it is asked for it:
/// the usual way of news takes less.
const BEHIND: Duration = Duration::from_millis(1500);

/// How long after a change of the declaration another one is likely.
const SERIES: Duration = Duration::from_secs(3);

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

/// A listing that other members are telling, page by page.
#[derive(Debug)]
struct Listing {
    /// The position at which it began.
    since: Position,
    /// The position up to which it has been told.
    told: Position,
    /// The last position that any of those knew who told it.
    known: Position,
    /// Who told it, if it was one member alone.
    by: Option<Ipv4Addr>,
    /// Whether nobody else can go on with it.
    own_order: bool,
    items: Vec<Item>,
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

/// What a question to the store has brought.
struct Answer {
    records: Vec<Record>,
    /// The position up to which everything is known now.
    at: Position,
    /// Whether the records are all that there are.
    whole: bool,
    /// As of which moment all of it is known.
    moment: Instant,
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
        self.shared().arriving.store(false, atomic::Ordering::Relaxed);
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

    async fn ask_store(&mut self, asked: Instant) -> Result<(), Trouble> {
        let answer = match self.read_store(asked).await {
            Err(Trouble::Forgotten | Trouble::Restored { .. }) => self.list(asked).await?,
            answer => answer?,
        };
        let Answer { records, at, whole, moment } = answer;
        let news = !records.is_empty();
        self.bytes += bytes_of(&records);
        let items = newest(records).into_iter().map(|record| self.cut(record)).collect();
        self.take(|mirror| {
            let change = if whole { mirror.replace(items, at) } else { mirror.update(items, at) };
            mirror.refresh(moment);
            change
        });
        if news {
            tokio::time::sleep(self.settings.settle).await;
        }
        Ok(())
    }

    async fn read_store(&mut self, asked: Instant) -> Result<Answer, Trouble> {
        let at = self.shared().lock().at();
        if at.is_start() {
            return Err(Trouble::Forgotten);
        }
        if self.crowded || self.missed_versions() {
            return self.read_newest(at, asked).await;
        }
        let (records, at) = self.watch(at, Scope::All).await?;
        self.crowded = superseded(&records, &self.delivery.source.declaration) > SUPERSEDED;
        Ok(Answer { records, at, whole: false, moment: now() })
    }

    /// Tells whether versions of the declaration have probably been missed: some came in quick
    /// succession until the store was out of reach, or another member read it.
    fn missed_versions(&self) -> bool {
        let lately = self.declared.is_some_and(|at| now().duration_since(at) < SERIES);
        lately && self.proven != Some(Origin::Store)
    }

    /// Reads the newest declaration alone, and then what has changed of searchers.
    ///
    /// A watch tells every version since the last one, whole: over a link that carries fewer than
    /// are published, each answer would be longer than the one before.
    async fn read_newest(&mut self, at: Position, asked: Instant) -> Result<Answer, Trouble> {
        let source = &self.delivery.source;
        let Found { record, era } = (source.lookup)(&source.declaration).await?;
        compare_eras(at, Position { era, ..at })?;
        let (mut records, _) = self.watch(at, Scope::Searchers).await?;
        let declared = record.filter(|record| record.position > at);
        self.crowded = declared.is_some();
        // Searchers were asked for later, so nothing is unknown up to the declaration; what has
        // changed after it is told again.
        let at = declared.as_ref().map_or(at, |record| record.position);
        records.retain(|record| record.position <= at);
        records.extend(declared);
        Ok(Answer { records, at, whole: false, moment: asked })
    }

    async fn list(&self, asked: Instant) -> Result<Answer, Trouble> {
        // Who asks this member meanwhile waits for what it is about to know.
        self.shared().arriving.store(true, atomic::Ordering::Relaxed);
        let (records, at) = (self.delivery.source.list)().await?;
        let (held, items) = (self.shared().lock().at(), records.len());
        log::info!("feed: event=listed position={at} held={held} items={items}");
        if at < held {
            return Err(Trouble::Outdated { at, known: held });
        }
        Ok(Answer { records, at, whole: true, moment: asked })
    }

    /// Waits for changes at the store. After a failure it is asked without a wait: members have
    /// the news meanwhile, so a store that still hangs must not keep us from them.
    async fn watch(&self, at: Position, scope: Scope) -> Outcome {
        let doubted = self.origins.doubts_store();
        let waits = !doubted && !(self.delivery.sink.behind)();
        let wait = Wait {
            news: if waits { self.settings.wait } else { Duration::ZERO },
            silence: if doubted { self.settings.probe } else { self.settings.silence },
            arriving: Arc::clone(&self.shared().arriving),
        };
        let (records, told) = (self.delivery.source.watch)(at, scope, wait).await?;
        compare_eras(at, told)?;
        Ok((records, told))
    }

    async fn ask_member(&mut self, ip: Ipv4Addr) -> Result<(), Trouble> {
        // A member that is out of reach must not cost as much as a watch.
        let proven = self.proven == Some(Origin::Member(ip));
        let waits = proven && !(self.delivery.sink.behind)();
        let unheard = self.shared().lock().at().is_start();
        let mut wait = match () {
            () if waits => self.settings.wait,
            () if unheard => self.settings.first,
            () => Duration::ZERO,
        };
        if self.listing.as_ref().is_some_and(|begun| begun.own_order && begun.by != Some(ip)) {
            self.listing = None;
        }
        loop {
            let news = (self.members.ask)(ip, self.query(wait)).await?;
            let (age, more, arriving) = (news.age, news.more, news.arriving);
            self.read(ip, news)?;
            if !more {
                let bound = self.settings.stale * if arriving { ARRIVING_FACTOR } else { 1 };
                let fresh = age.is_some_and(|age| age <= bound);
                return if fresh { Ok(()) } else { Err(Trouble::Stale { age }) };
            }
            wait = Duration::ZERO;
        }
    }

    fn query(&self, wait: Duration) -> NewsQuery {
        let start = Position::default();
        match &self.listing {
            Some(Listing { since, told, known, .. }) => {
                NewsQuery { after: *told, listing: Some(*since), known: *known, wait }
            }
            None => {
                NewsQuery { after: self.shared().lock().at(), listing: None, known: start, wait }
            }
        }
    }

    /// Takes in a page of news from a member.
    fn read(&mut self, ip: Ipv4Addr, news: News) -> Result<(), Trouble> {
        let News { items, listing, at, known, more, listed, own_order, age, .. } = news;
        if at.is_start() {
            return Ok(());
        }
        if listing.unwrap_or(at).era < self.shared().lock().at().era {
            // The member hasn't heard of the store since it was restored.
            return Err(Trouble::Stale { age });
        }
        self.bytes += items.iter().map(Item::size).sum::<usize>();
        // All of it is known as of that moment, a page is not.
        let moment = age.and_then(|age| now().checked_sub(age)).filter(|_| !more);
        let Some(since) = listing else {
            self.listing = None;
            self.take(|mirror| {
                refreshed(mirror, moment, |mirror| mirror.follow(items, at, listed))
            });
            return Ok(());
        };
        let begun = self.listing.as_ref().filter(|begun| begun.since == since);
        let known = begun.map_or(known, |begun| begun.known.max(known));
        if at < known && !more {
            // The member is behind those that have told the listing so far.
            return Err(Trouble::Stale { age });
        }
        let begun = self.listing.take().filter(|begun| begun.since == since);
        if begun.as_ref().is_some_and(|begun| own_order && begun.by != Some(ip)) {
            // It must be told anew.
            return Ok(());
        }
        let by = begun.as_ref().map_or(Some(ip), |begun| begun.by.filter(|by| *by == ip));
        let items = begun.map(|begun| begun.items).into_iter().flatten().chain(items).collect();
        let begun = Listing { since, told: at, known, by, own_order, items };
        if more {
            self.listing = Some(begun);
        } else {
            self.take(|mirror| refreshed(mirror, moment, |mirror| mirror.replace(begun.items, at)));
        }
        Ok(())
    }

    fn cut(&self, record: Record) -> Item {
        self.shared().cut(record)
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

fn bytes_of<'a>(records: impl IntoIterator<Item = &'a Record>) -> usize {
    records.into_iter().filter_map(|record| Some(record.value.as_ref()?.len())).sum()
}

/// Returns how many bytes of an answer are versions of a key that others of them supersede.
fn superseded(records: &[Record], key: &Name) -> usize {
    let versions: Vec<&Record> = records.iter().filter(|record| record.key == *key).collect();
    let newest = versions.iter().copied().max_by_key(|record| record.rank());
    bytes_of(versions) - bytes_of(newest)
}

/// Keeps the newest record of each key, in the order of their positions.
///
/// The store tells every version that was written since it was last asked. Whoever rests between
/// questions would cut, spread and decode versions that are superseded already.
fn newest(records: Vec<Record>) -> Vec<Record> {
    let mut newest = HashMap::<Name, Record>::with_capacity(records.len());
    for record in records {
        let newer = newest.get(&record.key).is_none_or(|known| known.rank() < record.rank());
        if newer {
            newest.insert(Name::clone(&record.key), record);
        }
    }
    let mut records: Vec<Record> = newest.into_values().collect();
    records.sort_unstable_by(|a, b| (a.position, &a.key).cmp(&(b.position, &b.key)));
    records
}

/// Says what is to be done where an answer of the store is not of the era that is known.
fn compare_eras(known: Position, told: Position) -> Result<(), Trouble> {
    match told.era.cmp(&known.era) {
        Ordering::Equal => Ok(()),
        Ordering::Greater => Err(Trouble::Restored { era: told.era }),
        // A connection or a server from before.
        Ordering::Less => Err(Trouble::Outdated { at: told, known }),
    }
}

/// Changes the mirror, and notes the moment as of which it is whole.
fn refreshed(
    mirror: &mut Mirror,
    moment: Option<Instant>,
    change: impl FnOnce(&mut Mirror) -> Change,
) -> Change {
    let change = change(mirror);
    if let Some(moment) = moment {
        mirror.refresh(moment);
    }
    change
}
