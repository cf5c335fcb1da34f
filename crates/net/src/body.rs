//! Reading the body of a request within bounds of size, memory and time.
//!
//! Invariants: the bytes of a body lie in one buffer, which counts in the memory of all requests until
//! its last reference is dropped; a body ends in time or is given up.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bergamot_resources::{Activity, Exhausted, Memory};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use tokio::time::{Instant, sleep_until};

/// What bounds the body of a request.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// The size, in bytes.
    pub bytes: usize,
    /// The memory of all requests.
    pub memory: Arc<Memory>,
    /// When nobody waits for the response any more.
    pub until: Instant,
    /// The longest time without a further byte.
    pub idle: Duration,
}

impl BodyLimits {
    /// Returns the bounds of a body that is read beside few others and may take as long as it likes.
    pub fn of_size(bytes: usize) -> Self {
        let long = Duration::from_hours(24);
        Self { bytes, memory: Arc::default(), until: Instant::now() + long, idle: long }
    }
}

/// The reason why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Incomplete,
    /// The body didn't end in time.
    Late,
    /// The memory of all requests was exhausted, and this one was discarded.
    Exhausted(Exhausted),
}

impl BodyError {
    /// Returns the name in metrics and logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Incomplete => "incomplete",
            Self::Late => "late",
            Self::Exhausted(exhausted) => exhausted.cause.label(),
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the body is larger than allowed"),
            Self::Incomplete => f.write_str("the body was cut"),
            Self::Late => f.write_str("the body did not end in time"),
            Self::Exhausted(exhausted) => exhausted.fmt(f),
        }
    }
}

/// What the connection of a request tells the reader of its body.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) activity: Activity,
    /// The memory of the head, in bytes, unless it counts as that of the connection.
    pub(crate) head_bytes: usize,
}

/// Reads the complete body of a request.
pub async fn read_body(
    request: Request<Incoming>,
    limits: &BodyLimits,
) -> Result<Bytes, BodyError> {
    let (mut parts, body) = request.into_parts();
    read_body_of(&mut parts, body, limits).await
}

/// Reads the complete body of the request with a head.
pub async fn read_body_of(
    head: &mut Parts,
    mut body: Incoming,
    limits: &BodyLimits,
) -> Result<Bytes, BodyError> {
    let received = head.extensions.remove::<Received>();
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let declared = body.size_hint().exact().map(|bytes| bytes as usize);
    if declared.is_some_and(|bytes| bytes > limits.bytes) {
        return Err(BodyError::TooLarge);
    }
    let buffer = limits.memory.begin_within(declared.unwrap_or(limits.bytes));
    if let Some(head_bytes) = received.as_ref().map(|received| received.head_bytes) {
        buffer.reserve(head_bytes).map_err(BodyError::Exhausted)?;
    }
    let mut length = 0;
    loop {
        let deadline = limits.until.min(Instant::now() + limits.idle);
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            exhausted = buffer.discarded() => return Err(BodyError::Exhausted(exhausted)),
            () = sleep_until(deadline) => return Err(BodyError::Late),
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_connection| BodyError::Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        length += data.len();
        if length > limits.bytes {
            return Err(BodyError::TooLarge);
        }
        buffer.append(data).map_err(BodyError::Exhausted)?;
    }
    let bytes = buffer.finish().map_err(BodyError::Exhausted)?;
    if let Some(received) = received {
        received.activity.end_body();
    }
    Ok(bytes)
}
