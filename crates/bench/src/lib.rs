//! Load generator, history checker, fault injection and measurements.
//!
//! A [`deployment::Deployment`] describes one tenant at its full size, a
//! [`cluster::Cluster`] runs it in one process over loopback, [`load`] sends seeded
//! open-loop traffic and records a [`history::History`], and [`check`] verifies the
//! system's invariants against the history. See `docs/RUNNING.md`.

pub mod caller;
pub mod capacity;
pub mod check;
pub mod cluster;
pub mod cold;
pub mod converge;
pub mod deployment;
pub mod descriptors;
pub mod emulate;
pub mod experiment;
pub mod history;
pub mod leaving;
pub mod load;
pub mod plot;
pub mod quickstart;
pub mod score;
pub mod stand_ins;
pub mod storm;
pub mod wait;
