//! Reading the body of an answer within the bounds.

use std::fmt;
use std::sync::Arc;

use bergamot_answer::{Fault, Limit};
use bergamot_resources::{Exhausted, Memory};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::inspected::fault_of;

/// Why a body was not read completely.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed, or the body was truncated.
    Connection(hyper::Error),
    /// The bytes could not be attributed, or exceeded a bound of one answer.
    Refused(Fault),
    /// The memory of all answers was exhausted, and this was the largest.
    Exhausted(Fault),
}

impl BodyError {
    /// Returns the fault for which the body was refused.
    pub fn fault(&self) -> Option<Fault> {
        match self {
            Self::Connection(_) => None,
            Self::Refused(fault) | Self::Exhausted(fault) => Some(*fault),
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(error) => error.fmt(f),
            Self::Refused(fault) | Self::Exhausted(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for BodyError {}

impl From<Exhausted> for BodyError {
    fn from(_: Exhausted) -> Self {
        Self::Exhausted(Fault::Exceeded { limit: Limit::Memory })
    }
}

impl From<hyper::Error> for BodyError {
    fn from(error: hyper::Error) -> Self {
        fault_of(&error).map_or(Self::Connection(error), Self::Refused)
    }
}

/// Reads a body completely. Its size is bounded by the [`bergamot_answer::Inspector`] of the
/// connection, and that of all bodies by `memory`.
pub(crate) async fn read_body(
    mut body: Incoming,
    memory: &Arc<Memory>,
) -> Result<Bytes, BodyError> {
    let buffer = memory.begin();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            exhausted = buffer.discarded() => return Err(exhausted.into()),
        };
        let Some(frame) = frame else { break };
        if let Some(data) = frame?.data_ref() {
            buffer.append(data)?;
        }
    }
    Ok(buffer.finish()?)
}
