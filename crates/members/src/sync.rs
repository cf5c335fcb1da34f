//! Comparison of views: what two members don't both know is told, and nothing else.
//!
//! Each datagram carries the hash of its sender's view. While hashes differ, a member sends
//! the hashes of its ranges to one whose view differed; that one answers with the prints of
//! its records in ranges that differ; the first tells what the other lacks and asks for what
//! it lacks itself. Views double with each round while members start, and a single record
//! that differs costs some hundred bytes. Invariant: what a comparison sends is bounded,
//! whatever the views, and no member begins more than one in [`INTERVAL`].

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::message::{Prints, Summary};
use crate::record::{Endpoint, Record};
use crate::rumour::PER_DATAGRAM;
use crate::view::{RANGES, View, print, range};

/// The shortest time between two comparisons that a member begins: several round trips in a
/// region, so that the last one has ended.
const INTERVAL: Duration = Duration::from_millis(100);

/// The longest time between two that bring nothing: one of two is behind and can't follow.
const LONGEST: Duration = Duration::from_secs(2);

/// How long views may differ before they are compared: news crosses the fleet in this time.
const SETTLE: Duration = Duration::from_millis(250);

/// The most prints in one datagram: 1,024 bytes.
const MOST_PRINTS: usize = 256;

/// The most datagrams with records that answer one datagram: 7 KB, 2 ms on a link of 25 Mbit/s.
const MOST_DATAGRAMS: usize = 6;

/// When views are compared, and with whom.
#[derive(Debug)]
pub(crate) struct Sync {
    /// The last member whose view differed, with its hash, and since when any did.
    ///
    /// That others have the same view says nothing about it: the members of a zone speak to
    /// each other far more often than to those of other zones.
    differs: Option<Difference>,
    last: Option<Instant>,
    interval: Duration,
    changes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Difference {
    since: Instant,
    peer: Endpoint,
    hash: u64,
}

impl Sync {
    pub(crate) fn new() -> Self {
        Self { differs: None, last: None, interval: INTERVAL, changes: 0 }
    }

    /// Tells when a comparison is due; without delay while the member is still learning whom
    /// there is.
    pub(crate) fn due(&self, settled: bool) -> Option<Instant> {
        let Difference { since, .. } = self.differs?;
        let soonest = if settled { since + SETTLE } else { since };
        Some(self.last.map_or(soonest, |last| soonest.max(last + self.interval)))
    }

    /// Notes the hash of a member's view beside the own one.
    pub(crate) fn see(&mut self, now: Instant, peer: Endpoint, hash: u64, own: u64) {
        let still = self.differs.filter(|known| known.hash != own && known.peer != peer);
        self.differs = if hash == own {
            still
        } else {
            let since = self.differs.map_or(now, |known| known.since);
            Some(Difference { since, peer, hash })
        };
    }

    /// Begins a comparison: returns with whom.
    pub(crate) fn begin(&mut self, now: Instant, changes: u64, settled: bool) -> Option<Endpoint> {
        let Difference { peer, .. } = self.differs?;
        let useful = !settled || self.changes != changes;
        self.interval = if useful { INTERVAL } else { LONGEST.min(self.interval * 2) };
        self.changes = changes;
        self.last = Some(now);
        Some(peer)
    }
}

/// Returns the prints of the records in some of the ranges that differ, as many as fit.
pub(crate) fn differing(view: &View, theirs: &Summary, rng: &mut StdRng) -> Option<Prints> {
    let differs = |range: &usize| view.ranges()[*range] != theirs.0[*range];
    let mut differing: Vec<usize> = (0..RANGES).filter(differs).collect();
    differing.shuffle(rng);
    let mut found = vec![Vec::new(); RANGES];
    for record in view.working() {
        found[range(record.endpoint)].push(print(record));
    }
    let mut answer = Prints { ranges: 0, prints: Vec::new() };
    for range in differing {
        let prints = &found[range];
        if answer.ranges != 0 && answer.prints.len() + prints.len() > MOST_PRINTS {
            break;
        }
        answer.ranges |= 1 << range;
        answer.prints.extend(prints.iter().take(MOST_PRINTS));
    }
    (answer.ranges != 0).then_some(answer)
}

/// Returns the records that a member lacks, and what is lacking here.
pub(crate) fn lacking(view: &View, theirs: &Prints, rng: &mut StdRng) -> (Vec<Record>, Prints) {
    let mut wanted: BTreeSet<u32> = theirs.prints.iter().copied().collect();
    let is_asked = |record: &&Record| theirs.ranges & (1 << range(record.endpoint)) != 0;
    let mut told = Vec::new();
    for record in view.working().filter(is_asked) {
        if !wanted.remove(&print(record)) {
            told.push(record.clone());
        }
    }
    bound(&mut told, rng);
    let prints = wanted.into_iter().take(MOST_PRINTS).collect();
    (told, Prints { ranges: theirs.ranges, prints })
}

/// Returns the records that a member asks for.
pub(crate) fn wanted(view: &View, wanted: &Prints, rng: &mut StdRng) -> Vec<Record> {
    let prints: BTreeSet<u32> = wanted.prints.iter().copied().collect();
    let known = view.working().filter(|record| prints.contains(&print(record)));
    let mut told = known.cloned().collect();
    bound(&mut told, rng);
    told
}

/// Returns some members for one that has just started, half of them of its own zone if there
/// are so many.
pub(crate) fn some(view: &View, asker: &Record, rng: &mut StdRng) -> Vec<Record> {
    let others = view.working().filter(|record| record.endpoint != asker.endpoint);
    let (mut near, mut far): (Vec<_>, Vec<_>) = others.partition(|other| other.zone == asker.zone);
    near.shuffle(rng);
    far.shuffle(rng);
    let from_near = near.len().min((PER_DATAGRAM / 2).max(PER_DATAGRAM.saturating_sub(far.len())));
    near.truncate(from_near);
    far.truncate(PER_DATAGRAM - from_near);
    near.into_iter().chain(far).cloned().collect()
}

/// Keeps as many records as may be sent at once.
fn bound(told: &mut Vec<Record>, rng: &mut StdRng) {
    let most = PER_DATAGRAM * MOST_DATAGRAMS;
    if told.len() > most {
        told.shuffle(rng);
        told.truncate(most);
    }
}
