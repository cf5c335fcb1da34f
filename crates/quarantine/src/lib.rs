//! Requests that end the searchers that run them.
//!
//! A caller's attempts at one request bear different identifiers; the [`Fingerprint`] puts
//! them together.

mod fingerprint;

pub use fingerprint::Fingerprint;
