//! The settings of a relay.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bergamot_answer::Limits;
use bergamot_base::Name;
use bergamot_dispatch::RetryBudgetLimits;
use bergamot_placement::ColdBound;
use bergamot_policy::Policy;

/// The number of missed heartbeats after which a searcher's entry expires.
const EXPIRY_HEARTBEATS: u32 = 3;

/// The settings of a relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The local IPv4 address of outgoing connections.
    pub address: Ipv4Addr,
    /// The availability zone of this instance.
    pub zone: Name,
    /// The region of each availability zone.
    pub regions: BTreeMap<Name, Name>,
    /// The processor time available to this instance, in thousandths of a core.
    pub weight: u32,
    /// The limits of the retry budget of each service, across all members.
    pub retry_budget_limits: RetryBudgetLimits,
    /// The interval at which searchers renew their entries in the store.
    pub heartbeat: Duration,
    /// How many requests all members together may send to a cold searcher.
    pub cold_bound: ColdBound,
    /// The timeout for opening a connection: several round trips between regions (16 ms).
    pub connect_timeout: Duration,
    /// The longest gap between two ticks that is not treated as a pause of the process: seven
    /// ticks, because a machine with an eighth of a core may miss some when it is slow.
    pub pause_threshold: Duration,
    /// The bounds of one response of a searcher.
    pub response_limits: Limits,
    /// The bound of all responses in progress, in bytes.
    pub response_memory_bytes: usize,
    /// The bound of all requests in progress, of callers and of other members, in bytes.
    pub request_memory_bytes: usize,
    /// The mechanisms of the decisions and their parameters.
    pub policy: Arc<Policy>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: Ipv4Addr::LOCALHOST,
            zone: Name::from("local"),
            regions: BTreeMap::new(),
            weight: 1000,
            retry_budget_limits: RetryBudgetLimits::default(),
            heartbeat: Duration::from_secs(1),
            cold_bound: ColdBound::default(),
            connect_timeout: Duration::from_millis(300),
            pause_threshold: Duration::from_millis(700),
            response_limits: Limits::default(),
            response_memory_bytes: 64 << 20,
            request_memory_bytes: 64 << 20,
            policy: Arc::default(),
        }
    }
}

impl Settings {
    /// Returns the time after the last heartbeat at which a searcher's entry expires.
    pub(crate) fn expiry(&self) -> Duration {
        self.heartbeat * EXPIRY_HEARTBEATS
    }
}
