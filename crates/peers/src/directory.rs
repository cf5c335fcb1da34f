//! Selection of the instances whose addresses a caller gets.
//!
//! A gathered answer needs every shard, so an instance in a region without searchers fetches each
//! part separately over the slow links between regions. A caller that uses an instance close to
//! the searchers crosses these links only once. A caller therefore gets the ready instances of its
//! own region if that has searchers of enough services, and otherwise those of the regions that
//! do. If the requests to its host may be processed only in some regions, the others are used only
//! if no instance is ready in those regions or in that of the caller. Invariant: leaving and
//! unreachable instances are never selected, and at least one instance is selected if any is ready.

use std::collections::BTreeMap;

use bergamot_base::Name;
use bergamot_declaration::Residency;

/// The most instances that one caller gets.
const MAX_INSTANCES: usize = 64;

/// A region serves its own callers if it has searchers of at least this fraction of the number of
/// services that the best region covers.
const MIN_RELATIVE_COVERAGE: f64 = 0.6;

/// The location of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceLocation<T> {
    /// The instance.
    pub instance: T,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
}

/// A caller that asks for instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller<'a> {
    /// Its availability zone.
    pub zone: &'a str,
    /// Its region.
    pub region: &'a str,
    /// The regions in which its requests may be processed.
    pub residency: &'a Residency,
}

/// Selects instances for a caller from those that are ready, the closest first.
///
/// `covered` is the number of services of which each region has a searcher.
pub fn select_instances<T: Clone>(
    caller: Caller<'_>,
    ready: &[InstanceLocation<T>],
    covered: &BTreeMap<Name, usize>,
) -> Vec<T> {
    let best = ready.iter().map(|location| coverage(covered, &location.region)).max().unwrap_or(0);
    let required = (best as f64 * MIN_RELATIVE_COVERAGE).ceil() as usize;
    let is_covered =
        |location: &&InstanceLocation<T>| coverage(covered, &location.region) >= required;
    let is_local = |location: &&InstanceLocation<T>| &*location.region == caller.region;
    let is_resident =
        |location: &&InstanceLocation<T>| caller.residency.permits(Some(&location.region));
    let choices: [Vec<&InstanceLocation<T>>; 5] = [
        ready.iter().filter(is_covered).filter(is_local).collect(),
        ready.iter().filter(is_covered).filter(is_resident).collect(),
        ready.iter().filter(|location| is_resident(location) || is_local(location)).collect(),
        ready.iter().filter(is_covered).collect(),
        ready.iter().collect(),
    ];
    let choice = choices.into_iter().find(|choice| !choice.is_empty());
    let mut selected = choice.unwrap_or_default();
    selected.sort_by_key(|location| {
        (&*location.zone != caller.zone, &*location.region != caller.region)
    });
    selected.into_iter().take(MAX_INSTANCES).map(|location| location.instance.clone()).collect()
}

fn coverage(covered: &BTreeMap<Name, usize>, region: &str) -> usize {
    covered.get(region).copied().unwrap_or(0)
}
