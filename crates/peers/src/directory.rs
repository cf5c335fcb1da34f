//! Which instances a caller is told to use.
//!
//! A gathered answer needs every shard, so an instance in a region without searchers
//! fetches each part over the slow links between regions, one by one. Its callers cross
//! that distance once if they go to an instance beside the searchers themselves. So a
//! caller is told the ready instances of its own region if that region holds searchers of
//! enough services, and else those of the regions that do. Invariant: a leaving or
//! unreachable instance is never named, and some instance is named if any is ready.

use std::collections::BTreeMap;

use bergamot_base::Name;

/// The most instances that are named to one caller.
const MOST: usize = 64;

/// The part of the best region's services that a region must hold searchers of, to be as
/// good as the best one for its own callers.
const ENOUGH: f64 = 0.6;

/// Where an instance runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place<T> {
    /// The instance.
    pub instance: T,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
}

/// Where a caller is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller<'a> {
    /// Its availability zone.
    pub zone: &'a str,
    /// Its region.
    pub region: &'a str,
}

/// Chooses the instances for a caller from those that are ready.
///
/// `covered` says for how many services each region holds a searcher.
pub fn choose<T: Clone>(
    caller: Caller<'_>,
    ready: &[Place<T>],
    covered: &BTreeMap<Name, usize>,
) -> Vec<T> {
    let best = ready.iter().map(|place| covers(covered, &place.region)).max().unwrap_or(0);
    let enough = (best as f64 * ENOUGH).ceil() as usize;
    let beside = |place: &&Place<T>| covers(covered, &place.region) >= enough;
    let near = |place: &&Place<T>| &*place.region == caller.region;
    let mut chosen: Vec<&Place<T>> = ready.iter().filter(beside).filter(near).collect();
    if chosen.is_empty() {
        chosen = ready.iter().filter(beside).collect();
    }
    if chosen.is_empty() {
        chosen = ready.iter().collect();
    }
    chosen.sort_by_key(|place| (&*place.zone != caller.zone, &*place.region != caller.region));
    chosen.into_iter().take(MOST).map(|place| place.instance.clone()).collect()
}

fn covers(covered: &BTreeMap<Name, usize>, region: &str) -> usize {
    covered.get(region).copied().unwrap_or(0)
}
