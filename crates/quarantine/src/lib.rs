//! Quarantine for requests that crash the searchers that run them.
//!
//! A request that crashes its searcher is usually sent again, and each time it could crash one
//! more searcher of every shard. A request that was running on a searcher when that crashed is
//! therefore a suspect: it is sent to a single searcher as a trial ([`SharedGate`] within one
//! attempt of a caller, [`Quarantine`] across attempts) and to the others only once the trial was
//! answered. If searchers keep crashing during trials, the request is condemned, and all members
//! reject it until the record expires.
//!
//! A crash does not prove that a request caused it: when a rack fails, every request in flight
//! there is affected. Invariants: all crashes during fan-outs of a request count as one strike
//! together, however many there were; only crashes during trials add further strikes; and an
//! answer clears all strikes before it. See `docs/design/0014-fatal-requests.md`.

mod crash_check;
mod fingerprint;
mod gate;
mod quarantine;
mod report;
mod shared_gate;
mod table;

pub use crash_check::{CheckStep, CrashCheck};
pub use fingerprint::Fingerprint;
pub use gate::{Gate, Permit, TrialOutcome};
pub use quarantine::Quarantine;
pub use report::{Report, Strike};
pub use shared_gate::SharedGate;
pub use table::{Settings, Standing, Table};
