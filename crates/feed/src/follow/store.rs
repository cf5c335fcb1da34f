//! What a member reads of the store itself.
//!
//! Invariants: what an answer supersedes is not taken in; an answer of another era than the known
//! one is never mixed with what is known, but listed anew or refused.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::{Arc, atomic};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};

use super::Follower;
use crate::clock::now;
use crate::origin::Origin;
use crate::source::{Found, Outcome, Record, Scope, Trouble, Wait};

/// How many bytes of superseded declarations an answer may hold: 0.15 s of a link of 14 Mbit/s.
/// After more of them the newest is read alone, with two calls in place of one.
const SUPERSEDED: usize = 256 << 10;

/// How long after a change of the declaration another one is likely.
const SERIES: Duration = Duration::from_secs(3);

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
    pub(super) async fn ask_store(&mut self, asked: Instant) -> Result<(), Trouble> {
        let answer = match self.read_store(asked).await {
            Err(Trouble::Forgotten | Trouble::Restored { .. }) => self.list(asked).await?,
            answer => answer?,
        };
        let Answer { records, at, whole, moment } = answer;
        let news = !records.is_empty();
        self.bytes += bytes_of(&records);
        let items = newest(records).into_iter().map(|record| self.shared().cut(record)).collect();
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
