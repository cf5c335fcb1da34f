//! Settings of the membership.

use std::net::Ipv4Addr;
use std::time::Duration;

use bergamot_base::Name;
use bergamot_members::Timing;

/// Settings of the membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The IPv4 address at which other members reach this one.
    pub address: Ipv4Addr,
    /// The availability zone of this instance.
    pub zone: Name,
    /// The processor time available to this instance, in thousandths of a core.
    pub weight: u32,
    /// The UDP port, the same on all members.
    pub port: u16,
    /// Members to ask for others at the start. Some of them may be down.
    pub seeds: Vec<Ipv4Addr>,
    /// Periods and time-outs of the failure detector.
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
                // Each member is probed by some other about once per period, so that callers are
                // directed to a failed one for less than a second.
                probe: Duration::from_millis(300),
                // Five round trips between regions (16 ms each) plus late timers on a slow core.
                answer: Duration::from_millis(120),
                // Long enough for a busy member to refute, and short compared with the 5 s for
                // which callers cache addresses.
                suspicion: Duration::from_millis(1200),
            },
        }
    }
}
