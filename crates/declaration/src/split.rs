//! Distribution of requests over services by weight.
//!
//! Smooth weighted round robin: each request adds every weight to its part's credit,
//! the part of the highest credit is chosen and pays the sum of all weights. Invariant:
//! after any number of requests, each part has had its share of them to within one for
//! each part, so a small fleet meets the weights within a few requests where random
//! draws would need hundreds.

use bergamot_base::Name;

use crate::declaration::Share;

/// The running distribution of one route.
#[derive(Clone, Debug, Default)]
pub struct Split {
    parts: Vec<Part>,
}

#[derive(Clone, Debug)]
struct Part {
    service: Name,
    weight: f64,
    credit: f64,
}

impl Split {
    /// Chooses the service for the next request.
    ///
    /// A change of the declared shares starts the distribution anew.
    pub fn next(&mut self, shares: &[Share]) -> Option<Name> {
        if !self.matches(shares) {
            self.parts = shares.iter().map(Part::new).collect();
        }
        let sum: f64 = self.parts.iter().map(|part| part.weight).sum();
        for part in &mut self.parts {
            part.credit += part.weight;
        }
        let chosen = self.parts.iter_mut().max_by(|a, b| a.credit.total_cmp(&b.credit))?;
        chosen.credit -= sum;
        Some(Name::clone(&chosen.service))
    }

    fn matches(&self, shares: &[Share]) -> bool {
        let same = |part: &Part, share: &Share| {
            part.service == share.service && part.weight.total_cmp(&share.weight).is_eq()
        };
        self.parts.len() == shares.len()
            && self.parts.iter().zip(shares).all(|(part, share)| same(part, share))
    }
}

impl Part {
    fn new(share: &Share) -> Self {
        Self { service: Name::clone(&share.service), weight: share.weight, credit: 0.0 }
    }
}
