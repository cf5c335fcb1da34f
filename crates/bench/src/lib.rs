//! Load, histories, the checker and measurements.
//!
//! A [`deployment::Deployment`] describes one tenant of the brief at its size, a
//! [`cluster::Cluster`] runs it in one process over loopback, [`load`] sends seeded
//! open-loop traffic and records a [`history::History`], and [`check`] decides from the
//! history whether the promises held. See `docs/RUNNING.md`.

pub mod caller;
pub mod capacity;
pub mod check;
pub mod cluster;
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
