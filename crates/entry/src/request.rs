//! Parsing and validation of callers' requests. Each error names the step and what is allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name};
use bergamot_net::{BodyError, BodyLimits, read_body};
use bergamot_query::Shape;
use bergamot_write::Key;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, StatusCode};
use serde::Deserialize;

use crate::response::RequestError;
use crate::service::Inner;

/// The header with the caller's request identifier.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with the caller's deadline, in milliseconds from now.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The header with a write key.
const KEY_HEADER: &str = "idempotency-key";
/// Delay after which to retry a request whose body found no memory.
const EXHAUSTED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum length of a request identifier, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// The body of a write.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WriteBody {
    pub(crate) record: Name,
    pub(crate) body: Name,
}

/// The JSON body of a query.
///
/// This is separate from [`Shape`] because the codec between daemons doesn't support the internally
/// tagged form that callers use.
#[derive(Debug, Deserialize)]
#[serde(tag = "shape", rename_all = "snake_case", deny_unknown_fields)]
enum QueryBody {
    Scan {},
    Top { k: u32 },
    Record { key: Name },
}

impl From<QueryBody> for Shape {
    fn from(body: QueryBody) -> Self {
        match body {
            QueryBody::Scan {} => Self::Scan,
            QueryBody::Top { k } => Self::Top { k },
            QueryBody::Record { key } => Self::Record { key },
        }
    }
}

/// Parses the deadline header, or uses the service's default deadline.
pub(crate) fn parse_deadline(
    inner: &Inner,
    headers: &HeaderMap,
    default: Duration,
) -> Result<Deadline, RequestError> {
    let now = Instant::now();
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(Deadline::after(now, default));
    };
    let settings = &inner.node.settings().entry;
    let (shortest, longest) = (settings.shortest_deadline, settings.longest_deadline);
    let requested =
        value.to_str().ok().and_then(|text| text.parse().ok()).map(Duration::from_millis);
    match requested {
        Some(requested) if (shortest..=longest).contains(&requested) => {
            Ok(Deadline::after(now, requested))
        }
        _ => {
            let (shortest, longest) = (shortest.as_millis(), longest.as_millis());
            let cause = format!(
                "header {DEADLINE_HEADER} is {value:?}, allowed: whole milliseconds from {shortest} \
                 to {longest}"
            );
            Err(RequestError::invalid_request(StatusCode::BAD_REQUEST, "read deadline", cause))
        }
    }
}

/// Parses the write key, if the request has one.
pub(crate) fn parse_key(headers: &HeaderMap) -> Result<Option<Key>, RequestError> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().map(str::parse::<Key>);
    match parsed {
        Some(Ok(key)) => Ok(Some(key)),
        Some(Err(error)) => {
            let cause = format!("header {KEY_HEADER} is {value:?}, allowed: {error}");
            Err(RequestError::invalid_request(StatusCode::BAD_REQUEST, "read key", cause))
        }
        None => {
            let cause = format!("header {KEY_HEADER} is not text");
            Err(RequestError::invalid_request(StatusCode::BAD_REQUEST, "read key", cause))
        }
    }
}

/// Reads the request body within the limits in the settings, until the deadline of the request.
pub(crate) async fn read_request_body(
    inner: &Inner,
    id: &Name,
    request: Request<Incoming>,
    deadline: Deadline,
) -> Result<bytes::Bytes, RequestError> {
    let (intakes, settings) = (inner.node.intakes(), &inner.node.settings().entry);
    let limits = BodyLimits {
        bytes: settings.body_bytes as usize,
        memory: Arc::clone(intakes.memory()),
        until: deadline.instant().into(),
        idle: settings.body_idle,
    };
    read_body(request, &limits).await.map_err(|error| {
        intakes.record_refusal(id, &error);
        match error {
            BodyError::TooLarge | BodyError::Incomplete | BodyError::Late => {
                let status = match error {
                    BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                    BodyError::Late => StatusCode::REQUEST_TIMEOUT,
                    _ => StatusCode::BAD_REQUEST,
                };
                let cause = format!("{error}, allowed: at most {} bytes", limits.bytes);
                RequestError::invalid_request(status, "read body", cause)
            }
            BodyError::Exhausted(exhausted) => {
                let cause = format!("{exhausted}; the request was not run");
                RequestError::unavailable("read body", "here", cause, EXHAUSTED_RETRY_AFTER)
            }
        }
    })
}

/// Parses the body of a query.
pub(crate) fn parse_shape(body: &[u8]) -> Result<Shape, RequestError> {
    let bad =
        |cause: String| RequestError::invalid_request(StatusCode::BAD_REQUEST, "read body", cause);
    let body: QueryBody = serde_json::from_slice(body).map_err(|error| {
        bad(format!(
            "{error}, allowed: {{\"shape\":\"scan\"}}, {{\"shape\":\"top\",\"k\":N}} or \
             {{\"shape\":\"record\",\"key\":KEY}}"
        ))
    })?;
    let shape = Shape::from(body);
    match shape.violated_limit() {
        Some(allowed) => Err(bad(format!("{shape:?}, allowed: {allowed}"))),
        None => Ok(shape),
    }
}

/// Returns a request identifier, which starts with the caller's identifier if that is valid.
pub(crate) fn request_id(inner: &Inner, headers: &HeaderMap) -> Name {
    let given = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let is_valid = |id: &&str| {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.bytes().all(allowed)
    };
    // The suffix distinguishes requests with the same caller identifier at the searchers.
    let serial = inner.next_serial();
    let suffix = format!("{:x}-{serial:x}", inner.node.incarnation());
    match given.filter(is_valid) {
        Some(id) => Name::from(format!("{id}.{suffix}")),
        None => Name::from(suffix),
    }
}

/// Parses the body of a write.
pub(crate) fn parse_write_body(body: &[u8]) -> Result<WriteBody, RequestError> {
    serde_json::from_slice(body).map_err(|error| {
        let cause = format!("{error}, allowed: {{\"record\": KEY, \"body\": TEXT}}");
        RequestError::invalid_request(StatusCode::BAD_REQUEST, "read body", cause)
    })
}
