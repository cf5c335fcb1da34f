//! The settings of a relay.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bergamot_base::Name;
use bergamot_dispatch::RetryBudgetLimits;
use bergamot_policy::Policy;

/// How many heartbeats a searcher must miss for its entry to expire.
const HEARTBEATS: u32 = 3;

/// The settings of a relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The IPv4 number from which connections leave.
    pub address: Ipv4Addr,
    /// The availability zone of this instance.
    pub zone: Name,
    /// The region of each availability zone.
    pub regions: BTreeMap<Name, Name>,
    /// The bound on additional attempts at each service, over the whole fleet.
    pub terms: RetryBudgetLimits,
    /// How often a searcher renews its entry in the store.
    pub heartbeat: Duration,
    /// How long a new connection may take: several round trips between regions (16 ms).
    pub dial: Duration,
    /// The longest gap between two ticks that is no pause of the process: seven ticks, since a
    /// machine with an eighth of a core that turns slow may miss some.
    pub pause: Duration,
    /// The largest answer that is taken from a searcher, in bytes.
    pub largest_answer: usize,
    /// The mechanisms of the decisions and their figures.
    pub policy: Arc<Policy>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: Ipv4Addr::LOCALHOST,
            zone: Name::from("local"),
            regions: BTreeMap::new(),
            terms: RetryBudgetLimits::default(),
            heartbeat: Duration::from_secs(1),
            dial: Duration::from_millis(300),
            pause: Duration::from_millis(700),
            largest_answer: 16 << 20,
            policy: Arc::default(),
        }
    }
}

impl Settings {
    /// Returns how long a searcher must be silent for its entry in the store to expire.
    pub(crate) fn expiry(&self) -> Duration {
        self.heartbeat * HEARTBEATS
    }
}
