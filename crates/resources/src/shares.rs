//! How a machine's memory and descriptors are divided.
//!
//! Searchers, the store and members come first: what all clients together may hold leaves them their
//! part of each. `docs/CAPACITY.md` has the sums.

/// The descriptors of a process that are not for sockets.
const FILE_DESCRIPTORS: usize = 200;

/// The memory of an open connection beside the messages on it, in bytes: its task, its request's and
/// its buffers.
const CONNECTION_BYTES: usize = 32 << 10;

/// The smallest number of connections of a listener.
const MIN_CONNECTIONS: usize = 8;

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The memory, in bytes.
    pub memory_bytes: usize,
    /// The descriptors.
    pub descriptors: usize,
}

impl Default for Machine {
    /// Returns a machine of 260 MB with 4,096 descriptors.
    fn default() -> Self {
        Self { memory_bytes: 260_000_000, descriptors: 4096 }
    }
}

/// What is held for whom at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// The answers of searchers, in bytes.
    pub answer_bytes: usize,
    /// The requests of clients and of other members, in bytes.
    pub request_bytes: usize,
    /// The connections of callers.
    pub callers: usize,
    /// The connections of other members.
    pub members: usize,
    /// The connections to each listener for addresses, readiness, metrics or state.
    pub pages: usize,
}

impl From<Machine> for Shares {
    fn from(machine: Machine) -> Self {
        let Machine { memory_bytes, descriptors } = machine;
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let fitting = memory_bytes / 8 / CONNECTION_BYTES;
        Self {
            answer_bytes: memory_bytes / 4,
            request_bytes: memory_bytes / 4,
            callers: (sockets / 4).min(fitting).max(MIN_CONNECTIONS),
            members: (sockets / 8 * 3).max(MIN_CONNECTIONS),
            pages: (sockets / 32).max(MIN_CONNECTIONS),
        }
    }
}
