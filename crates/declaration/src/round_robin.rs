//! Distribution of requests over services by weight.
//!
//! This is smooth weighted round robin: each request adds the weight of every service to
//! its credit, chooses the service with the highest credit and subtracts the sum of all
//! weights from it. Invariant: after any number of requests, the count of each service
//! differs from its weighted share by at most the number of services. The weights are
//! therefore met within a few requests, where random choice would need hundreds.

use bergamot_base::Name;

use crate::declaration::WeightedService;

/// The state of the weighted round robin of one route.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    service: Name,
    weight: f64,
    credit: f64,
}

impl WeightedRoundRobin {
    /// Chooses the service for the next request.
    ///
    /// The distribution starts over if the declared weights have changed. Returns `None` if
    /// there are no services.
    pub fn next_service(&mut self, shares: &[WeightedService]) -> Option<Name> {
        if !self.matches(shares) {
            self.entries = shares.iter().map(Entry::new).collect();
        }
        let total: f64 = self.entries.iter().map(|entry| entry.weight).sum();
        for entry in &mut self.entries {
            entry.credit += entry.weight;
        }
        let chosen = self.entries.iter_mut().max_by(|a, b| a.credit.total_cmp(&b.credit))?;
        chosen.credit -= total;
        Some(Name::clone(&chosen.service))
    }

    fn matches(&self, shares: &[WeightedService]) -> bool {
        let same = |entry: &Entry, share: &WeightedService| {
            entry.service == share.service && entry.weight.total_cmp(&share.weight).is_eq()
        };
        self.entries.len() == shares.len()
            && self.entries.iter().zip(shares).all(|(entry, share)| same(entry, share))
    }
}

impl Entry {
    fn new(share: &WeightedService) -> Self {
        Self { service: Name::clone(&share.service), weight: share.weight, credit: 0.0 }
    }
}
