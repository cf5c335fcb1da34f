//! The searchers that one home holds, over changes of the document.
//!
//! Clients live by address, since a new document renumbers the entities but leaves
//! most searchers where they are; their connections and what is known of them stay.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bergamot_base::Searcher;
use bergamot_config::{Document, Settings};

use crate::client::Client;
use crate::pool::Pool;

/// The guess for the time of a sub-query in the same zone.
const NEAR: Duration = Duration::from_millis(4);
/// What another zone of the same region adds, there and back.
const OTHER_ZONE: Duration = Duration::from_millis(3);
/// What another region adds, there and back.
const OTHER_REGION: Duration = Duration::from_millis(16);

/// The sums over all pools of a home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// The searchers held.
    pub searchers: usize,
    /// The connections open.
    pub open: usize,
    /// The dials since the start.
    pub dials: u64,
    /// The dials that searchers refused.
    pub refused: u64,
}

/// The searchers that one home holds.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    clients: BTreeMap<SocketAddr, Arc<Client>>,
    index: HashMap<Searcher, Arc<Client>>,
}

impl Fleet {
    /// Makes the fleet for the searchers that are held under a document.
    ///
    /// Clients that are held before and after are kept; the others close when idle.
    #[must_use]
    pub fn next(&self, document: &Document, settings: &Settings, held: &[Searcher]) -> Self {
        let mut next = Self::default();
        for searcher in held {
            let row = &document.searchers[*searcher];
            let service = document.shards[row.shard].service;
            let share = document.layout.share(service);
            let slots = document.services[service].slots.min(share);
            let client = self.clients.get(&row.address).map_or_else(
                || {
                    let guess = distance(document, settings, &row.zone);
                    fresh(settings.instance.address, row.address, share, slots, settings, guess)
                },
                Arc::clone,
            );
            client.pool().resize(share);
            client.slots().resize(slots);
            next.index.insert(*searcher, Arc::clone(&client));
            next.clients.insert(row.address, client);
        }
        for (address, client) in &self.clients {
            if !next.clients.contains_key(address) {
                client.pool().close();
            }
        }
        next
    }

    /// Returns the client of a searcher that is held.
    pub fn client(&self, searcher: Searcher) -> Option<&Arc<Client>> {
        self.index.get(&searcher)
    }

    /// Returns the client at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&Arc<Client>> {
        self.clients.get(&address)
    }

    /// Iterates over all clients.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Client>> {
        self.clients.values()
    }

    /// Sums the counts of all pools.
    pub fn count(&self) -> Count {
        let add = |mut sum: Count, client: &Arc<Client>| {
            let usage = client.pool().usage();
            sum.searchers += 1;
            sum.open += usage.open;
            sum.dials += usage.dials;
            sum.refused += usage.refused;
            sum
        };
        self.clients.values().fold(Count::default(), add)
    }

    /// Writes the text form that dumps use: one line a searcher.
    pub fn dump(&self) -> String {
        let mut text = String::new();
        for client in self.clients.values() {
            let usage = client.pool().usage();
            let (health, slots) = (client.health().to_string(), client.slots().to_string());
            let _ = writeln!(
                text,
                "searcher {} connections {}/{} idle {} dials {} refused {} {slots} {health}",
                client.address(),
                usage.open,
                usage.share,
                usage.idle,
                usage.dials,
                usage.refused
            );
        }
        text
    }
}

fn fresh(
    local: Ipv4Addr,
    remote: SocketAddr,
    share: usize,
    slots: usize,
    settings: &Settings,
    guess: Duration,
) -> Arc<Client> {
    let pool = Pool::new(local, remote, share, settings.gather.dial);
    Client::new(remote, pool, slots, settings.gather.queue as usize, guess)
}

fn distance(document: &Document, settings: &Settings, zone: &str) -> Duration {
    let here = &*settings.instance.zone;
    if here == zone {
        NEAR
    } else if document.region(here) == document.region(zone) {
        NEAR + OTHER_ZONE
    } else {
        NEAR + OTHER_REGION
    }
}
