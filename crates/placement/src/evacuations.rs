//! Availability zones whose searchers must receive no requests, by order of the operator.
//!
//! Each order is a record of the store, which exists as long as the order is in force. Invariants:
//! an order takes effect as soon as it is known and ends only once its record is known to be gone;
//! a store that was restored from a copy without the record does not end an order, unless the
//! operator has not written it again after the time in which others rewrite theirs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};

/// An evacuation in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The position of its record in the store's history.
    pub position: Position,
    /// When this member learned of it.
    pub since: Instant,
    /// Whether a restored store lacks its record.
    is_missing: bool,
}

/// The evacuations in force.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<Name, Evacuation>,
    /// When the last evacuation of each other zone ended.
    ended: BTreeMap<Name, Instant>,
    /// Until when missing records may be written again, after the store was restored.
    hold_until: Option<Instant>,
}

impl Evacuations {
    /// Puts the evacuation of a zone in force, and returns whether it was not before.
    pub fn begin(&mut self, zone: Name, position: Position, now: Instant) -> bool {
        let known = self.zones.get(&zone);
        let since = known.map_or(now, |known| known.since);
        let is_new = known.is_none();
        self.ended.remove(&zone);
        self.zones.insert(zone, Evacuation { position, since, is_missing: false });
        is_new
    }

    /// Records that the record of an evacuation is gone, and returns whether the evacuation has
    /// ended.
    pub fn end(&mut self, zone: &str, now: Instant) -> bool {
        if self.hold_until.is_none_or(|until| until <= now) {
            let Some((zone, _)) = self.zones.remove_entry(zone) else { return false };
            self.ended.insert(zone, now);
            return true;
        }
        if let Some(evacuation) = self.zones.get_mut(zone) {
            evacuation.is_missing = true;
        }
        false
    }

    /// Records that the store was restored from a copy. Evacuations whose records are missing in it
    /// stay in force for the given time.
    pub fn store_restored(&mut self, now: Instant, hold: Duration) {
        self.hold_until = Some(now + hold);
    }

    /// Ends the evacuations whose records were not written again in time, and returns their zones.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        if self.hold_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.hold_until = None;
        let overdue = self.zones.extract_if(.., |_, evacuation| evacuation.is_missing);
        let ended: Vec<Name> = overdue.map(|(zone, _)| zone).collect();
        self.ended.extend(ended.iter().map(|zone| (Name::clone(zone), now)));
        ended
    }

    /// Returns when the last evacuation of a zone ended, if one has.
    pub fn ended_at(&self, zone: &str) -> Option<Instant> {
        self.ended.get(zone).copied()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        !self.zones.is_empty() && self.zones.contains_key(zone)
    }

    /// Iterates over the evacuated zones.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Evacuation)> {
        self.zones.iter()
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }
}
