//! The clients of the searchers that a gather connects to.
//!
//! Clients are keyed by address. A new configuration document renumbers the searchers
//! but leaves most of them at their addresses, so their connections and observed health
//! are kept.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bergamot_answer::Finding;
use bergamot_base::Searcher;
use bergamot_config::{Document, Settings};
use bergamot_logger::Sampler;
use bergamot_resources::Memory;

use crate::client::Client;
use crate::pool::{Observer, Pool, PoolSettings};
use crate::read_turns::ReadTurns;

/// How many findings about one searcher are logged a second; all are counted.
const MAX_FINDINGS_LOGGED: u32 = 2;

/// Initial latency estimate for a searcher in the same zone.
const SAME_ZONE_LATENCY: Duration = Duration::from_millis(4);
/// Additional round-trip time to another zone of the same region.
const CROSS_ZONE_RTT: Duration = Duration::from_millis(3);
/// Additional round-trip time to another region.
const CROSS_REGION_RTT: Duration = Duration::from_millis(16);

/// Totals over the connection pools of all clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolTotals {
    /// Number of searchers.
    pub searchers: usize,
    /// Number of open connections.
    pub open: usize,
    /// Number of connection attempts since the start.
    pub dials: u64,
    /// Number of connection attempts that failed or that searchers refused.
    pub refused: u64,
    /// Number of times that searchers sent what is not the answer to a request.
    pub findings: u64,
}

/// The clients of all searchers that a gather connects to.
#[derive(Clone, Debug, Default)]
pub struct ClientSet {
    clients: BTreeMap<SocketAddr, Arc<Client>>,
    index: HashMap<Searcher, Arc<Client>>,
    /// The bound of all answers in progress.
    memory: Arc<Memory>,
    read_turns: ReadTurns,
}

impl ClientSet {
    /// Creates a set without clients, whose answers in progress have this bound.
    pub fn new(memory: Arc<Memory>) -> Self {
        Self { memory, ..Self::default() }
    }

    /// Returns the clients of the searchers in `held`, as configured by `document`.
    ///
    /// Existing clients are reused. Clients that are no longer needed close their connections
    /// as these become idle.
    #[must_use]
    pub fn reconfigured(
        &self,
        document: &Document,
        settings: &Settings,
        held: &[Searcher],
    ) -> Self {
        let mut next = Self {
            memory: Arc::clone(&self.memory),
            read_turns: self.read_turns.clone(),
            ..Self::default()
        };
        for searcher in held {
            let row = &document.searchers[*searcher];
            let service = document.shards[row.shard].service;
            let share = document.layout.connections_per_home(service);
            let slots = document.services[service].slots.min(share);
            let client = self.clients.get(&row.address).map_or_else(
                || {
                    let latency = estimate_latency(document, settings, &row.zone);
                    let pool = self.pool_settings(settings, row.address, share);
                    new_client(settings, pool, slots, latency)
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

    /// Returns how to connect to the searcher at an address.
    fn pool_settings(&self, settings: &Settings, remote: SocketAddr, share: usize) -> PoolSettings {
        PoolSettings {
            local: settings.instance.address,
            remote,
            share,
            dial_timeout: settings.gather.dial,
            memory: Arc::clone(&self.memory),
            read_turns: self.read_turns.clone(),
            ..PoolSettings::default()
        }
    }

    /// Returns the client of a searcher, if there is one.
    pub fn client(&self, searcher: Searcher) -> Option<&Arc<Client>> {
        self.index.get(&searcher)
    }

    /// Returns the client of the searcher at an address, if there is one.
    pub fn client_at(&self, address: SocketAddr) -> Option<&Arc<Client>> {
        self.clients.get(&address)
    }

    /// Iterates over all clients.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Client>> {
        self.clients.values()
    }

    /// Returns the totals over all connection pools.
    pub fn totals(&self) -> PoolTotals {
        let add = |mut sum: PoolTotals, client: &Arc<Client>| {
            let usage = client.pool().usage();
            sum.searchers += 1;
            sum.open += usage.open;
            sum.dials += usage.dials;
            sum.refused += usage.refused;
            sum.findings += usage.findings;
            sum
        };
        self.clients.values().fold(PoolTotals::default(), add)
    }

    /// Formats the state for diagnostic dumps, one line per searcher.
    pub fn dump(&self) -> String {
        let mut text = String::new();
        for client in self.clients.values() {
            let usage = client.pool().usage();
            let (health, slots) = (client.health().to_string(), client.slots().to_string());
            let _ = writeln!(
                text,
                "searcher {} connections {}/{} idle {} dials {} refused {} findings {} {slots} {health}",
                client.address(),
                usage.open,
                usage.share,
                usage.idle,
                usage.dials,
                usage.refused,
                usage.findings
            );
        }
        text
    }
}

fn new_client(
    settings: &Settings,
    pool: PoolSettings,
    slots: usize,
    initial_latency: Duration,
) -> Arc<Client> {
    let remote = pool.remote;
    let pool = Pool::new(pool, observe(remote));
    Client::new(remote, pool, slots, settings.gather.queue as usize, initial_latency)
}

/// Creates the observer of the pool of one searcher.
fn observe(remote: SocketAddr) -> Observer {
    let sampler = Mutex::new(Sampler::new(MAX_FINDINGS_LOGGED));
    let found = move |finding: &Finding| {
        let admitted = sampler.lock().unwrap_or_else(PoisonError::into_inner).admit(Instant::now());
        if let Some(left_out) = admitted {
            log::warn!(
                "searcher {remote} sent what is not the answer to its request: {finding} \
                 ({left_out} lines left out before)"
            );
        }
    };
    Observer { found: Box::new(found), ..Observer::default() }
}

fn estimate_latency(document: &Document, settings: &Settings, zone: &str) -> Duration {
    let here = &*settings.instance.zone;
    if here == zone {
        SAME_ZONE_LATENCY
    } else if document.region(here) == document.region(zone) {
        SAME_ZONE_LATENCY + CROSS_ZONE_RTT
    } else {
        SAME_ZONE_LATENCY + CROSS_REGION_RTT
    }
}
