//! The settings of the daemon.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamot_resources::{Machine, Shares};

/// The settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address at which callers' requests are accepted.
    pub callers: SocketAddr,
    /// The address of the readiness probe.
    pub readiness: SocketAddr,
    /// The address at which callers query which instances to use.
    pub directory: SocketAddr,
    /// The address at which metrics and the state dump are served, for operators only.
    pub metrics: SocketAddr,
    /// The address at which RPCs of other members are accepted. The port is the same on every
    /// instance.
    pub members: SocketAddr,
    /// How long a seed waits for other members at startup before it reads the store itself.
    pub seed_startup_wait: Duration,
    /// How long any other member waits at startup to learn which members read the store.
    pub startup_wait: Duration,
    /// How long callers may cache the response to an address query.
    ///
    /// A caller whose cached response has expired queries again before its next request, which
    /// adds one or two round trips to that request. A caller with an outdated response may try a
    /// lost instance once.
    pub ttl: Duration,
    /// How long a planned stop continues to accept requests, so that callers with a cached
    /// address response are served: the TTL of such a response plus a margin.
    pub drain_period: Duration,
    /// The time from the stop signal after which a planned stop ends, even if requests are still
    /// in flight.
    pub stop_timeout: Duration,
    /// How many connections may be open at each listener.
    pub shares: Shares,
}

impl Default for Settings {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            callers: local(7400),
            readiness: local(7404),
            directory: local(7405),
            metrics: local(7403),
            members: local(7401),
            // Twice the duration of an exchange with a seed in another region.
            seed_startup_wait: Duration::from_millis(60),
            // The time after which a member that has heard from no other considers itself the only
            // one.
            startup_wait: Duration::from_millis(1200),
            ttl: Duration::from_secs(4),
            drain_period: Duration::from_millis(4300),
            stop_timeout: Duration::from_millis(5600),
            shares: Machine::default().into(),
        }
    }
}
