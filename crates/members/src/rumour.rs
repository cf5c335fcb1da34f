//! News that travels from member to member on the back of probes.
//!
//! Invariant: each piece of news is sent a number of times that grows with the
//! logarithm of the fleet, and one datagram carries a bounded number of them, so the
//! traffic of a member is bounded whatever the fleet's size.

use std::net::SocketAddr;

use bergamot_base::Name;
use serde::{Deserialize, Serialize};

use crate::record::{Endpoint, Record};

/// The most rumours in one datagram, which keeps it within one packet.
const PER_DATAGRAM: usize = 10;

/// The most rumours kept; beyond it, those sent most often give way.
const MOST: usize = 4096;

/// How many times the logarithm of the fleet's size a rumour is sent.
const REPEAT: u32 = 3;

/// A piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumour {
    /// A report about a member.
    #[serde(rename = "m")]
    Member(Record),
    /// A run of a searcher is leaving.
    #[serde(rename = "l")]
    Leaving {
        /// The searcher.
        #[serde(rename = "a")]
        searcher: SocketAddr,
        /// The run.
        #[serde(rename = "r")]
        run: Name,
    },
}

/// What a rumour is about: newer news about the same subject replaces older.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Member(Endpoint),
    Searcher(SocketAddr),
}

impl Rumour {
    fn subject(&self) -> Subject {
        match self {
            Self::Member(record) => Subject::Member(record.endpoint),
            Self::Leaving { searcher, .. } => Subject::Searcher(*searcher),
        }
    }
}

/// The news that a member still passes on.
#[derive(Debug, Default)]
pub struct Rumours {
    queue: Vec<(u32, Rumour)>,
}

impl Rumours {
    /// Adds news, in place of older news about the same subject.
    pub fn add(&mut self, rumour: Rumour) {
        let subject = rumour.subject();
        self.queue.retain(|(_, known)| known.subject() != subject);
        self.queue.insert(0, (0, rumour));
        self.queue.truncate(MOST);
    }

    /// Takes what the next datagram carries: the news sent least often so far.
    pub fn take(&mut self, fleet: usize) -> Vec<Rumour> {
        self.queue.sort_by_key(|(sent, _)| *sent);
        let most = REPEAT * (usize::BITS - fleet.leading_zeros()).max(1);
        let taken = self.queue.iter_mut().take(PER_DATAGRAM).map(|(sent, rumour)| {
            *sent += 1;
            rumour.clone()
        });
        let taken = taken.collect();
        self.queue.retain(|(sent, _)| *sent < most);
        taken
    }

    /// Returns how much news is still passed on.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Tells whether there is no news to pass on.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
