//! Test doubles ("stand-ins") for searchers, the configuration service, the instance list and clients
//! that don't behave.
//!
//! They implement the platform's published protocols and can inject faults: stragglers, cold
//! starts, load shedding, draining, false status reports, refused connections, an unavailable
//! service, stale documents and an outdated instance list. They are not shipped to users. Each
//! effect is recorded, so that tests can check the history of a run. See `docs/RUNNING.md`.

mod behaviour;
mod corpus;
mod crowd;
mod distortion;
mod partition_proxy;
mod platform;
mod process;
mod script;
mod searcher;
mod stray;

pub use behaviour::{Effect, Faults, Limits, StatusFault, Topology};
pub use corpus::Corpus;
pub use crowd::{Crowd, Form};
pub use distortion::{CopyName, Distorted, Distortion};
pub use partition_proxy::{ForwardedPort, PartitionProxy};
pub use platform::{Counts, Instance, Platform};
pub use process::Process;
pub use script::{RecordedRequest, ScriptedServer, Step};
pub use searcher::{Searcher, SearcherSettings};
pub use stray::{Answer, AnswerHeaders, Framing, Named, Part, Stray, Stutter};
