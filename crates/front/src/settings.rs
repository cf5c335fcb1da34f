//! The settings of the daemon.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where callers' requests are taken.
    pub callers: SocketAddr,
    /// Where the question whether this instance is ready is answered.
    pub readiness: SocketAddr,
    /// Where callers ask which addresses to use.
    pub directory: SocketAddr,
    /// Where metrics and the state are served, to operators alone.
    pub metrics: SocketAddr,
    /// Where other members' requests are taken, at the same port on every instance.
    pub members: SocketAddr,
    /// How long the start of a seed waits for other members before it reads the store itself.
    pub join: Duration,
    /// How long the start of any other member waits for word of who reads the store.
    pub settle: Duration,
    /// How long callers may keep an address answer.
    ///
    /// A caller whose answer has expired asks before its next request, which adds one or two
    /// round trips to it; a caller with an old answer may try a lost instance once.
    pub ttl: Duration,
    /// How long a planned stop goes on serving, so that callers with an older address
    /// answer are served: the life of an answer, and a little more.
    pub linger: Duration,
    /// How long after the signal a planned stop has ended, whatever still runs.
    pub stop: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        let here = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            callers: here(7400),
            readiness: here(7404),
            directory: here(7405),
            metrics: here(7403),
            members: here(7401),
            // An exchange with a seed in another region, twice over.
            join: Duration::from_millis(60),
            // Until a member that hears of nobody takes itself for the only one.
            settle: Duration::from_millis(1200),
            ttl: Duration::from_secs(4),
            linger: Duration::from_millis(4300),
            stop: Duration::from_millis(5600),
        }
    }
}
