//! The settings of membership.

use std::net::Ipv4Addr;
use std::time::Duration;

use bergamot_base::Name;
use bergamot_members::Timing;

/// The settings of membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The IPv4 number at which other members reach this one.
    pub address: Ipv4Addr,
    /// The availability zone of this instance.
    pub zone: Name,
    /// How much processor time this instance has, in thousandths of a core.
    pub weight: u32,
    /// The port of datagrams, the same at every member.
    pub port: u16,
    /// Members that may be asked for others at the start; some may be down.
    pub seeds: Vec<Ipv4Addr>,
    /// The periods of the failure detector.
    pub timing: Timing,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: Ipv4Addr::LOCALHOST,
            zone: Name::from("local"),
            weight: 0,
            port: 7402,
            seeds: Vec::new(),
            timing: Timing {
                // A member is probed by someone about once in this time, so that callers
                // are sent to a lost one for less than a second.
                probe: Duration::from_millis(300),
                // Five round trips between regions (16 ms), and late timers of a slow core.
                answer: Duration::from_millis(120),
                // Long enough for a refutation by a busy member, short against the 5 s for
                // which callers keep an answer.
                suspicion: Duration::from_millis(1200),
            },
        }
    }
}
