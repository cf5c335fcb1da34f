//! Reading what callers send: every fault names the step and what is allowed.

use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name};
use bergamot_net::{BodyError, read_body};
use bergamot_query::Shape;
use bergamot_write::Key;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, StatusCode};
use serde::Deserialize;

use crate::answer::Refused;
use crate::service::Inner;

/// The header with which a caller names a request.
const REQUEST_ID: &str = "x-request-id";
/// The header with a caller's deadline, in milliseconds.
const DEADLINE: &str = "x-deadline-ms";
/// The header with a write key.
const KEY: &str = "idempotency-key";
/// The longest name of a request, in bytes.
const LONGEST_ID: usize = 64;

/// The body of a write.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WriteBody {
    pub(crate) record: Name,
    pub(crate) body: Name,
}

/// The body of a query. It is a type of its own because the form that callers write,
/// with the shape as one of the fields, can't travel in the codec between daemons.
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

/// Reads the caller's deadline, or takes the service's own.
pub(crate) fn deadline(
    inner: &Inner,
    headers: &HeaderMap,
    default: Duration,
) -> Result<Deadline, Refused> {
    let now = Instant::now();
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(Deadline::after(now, default));
    };
    let settings = &inner.node.settings().entry;
    let (shortest, longest) = (settings.shortest_deadline, settings.longest_deadline);
    let asked = value.to_str().ok().and_then(|text| text.parse().ok()).map(Duration::from_millis);
    match asked {
        Some(asked) if (shortest..=longest).contains(&asked) => Ok(Deadline::after(now, asked)),
        _ => {
            let (shortest, longest) = (shortest.as_millis(), longest.as_millis());
            let cause = format!(
                "header {DEADLINE} is {value:?}, allowed: whole milliseconds from {shortest} to {longest}"
            );
            Err(Refused::bad(StatusCode::BAD_REQUEST, "read deadline", cause))
        }
    }
}

/// Reads the write key, where the caller brought one.
pub(crate) fn key(headers: &HeaderMap) -> Result<Option<Key>, Refused> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().map(str::parse::<Key>);
    match parsed {
        Some(Ok(key)) => Ok(Some(key)),
        Some(Err(flaw)) => {
            let cause = format!("header {KEY} is {value:?}, allowed: {flaw}");
            Err(Refused::bad(StatusCode::BAD_REQUEST, "read key", cause))
        }
        None => {
            let cause = format!("header {KEY} is not text");
            Err(Refused::bad(StatusCode::BAD_REQUEST, "read key", cause))
        }
    }
}

/// Reads a body up to the limit of the settings.
pub(crate) async fn body(
    inner: &Inner,
    request: Request<Incoming>,
) -> Result<bytes::Bytes, Refused> {
    let limit = inner.node.settings().entry.body_bytes as usize;
    read_body(request, limit).await.map_err(|rejection| {
        let status = match rejection {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Incomplete => StatusCode::BAD_REQUEST,
        };
        Refused::bad(status, "read body", format!("{rejection}, allowed: at most {limit} bytes"))
    })
}

/// Reads what a query asks.
pub(crate) fn shape(body: &[u8]) -> Result<Shape, Refused> {
    let bad = |cause: String| Refused::bad(StatusCode::BAD_REQUEST, "read body", cause);
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

/// Takes the caller's name for the request if it is a fit one, else makes one.
pub(crate) fn request_id(inner: &Inner, headers: &HeaderMap) -> Name {
    let theirs = headers.get(REQUEST_ID).and_then(|value| value.to_str().ok());
    let fit = |id: &&str| {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        (1..=LONGEST_ID).contains(&id.len()) && id.bytes().all(allowed)
    };
    // A suffix of our own keeps two callers' equal names apart at the searchers.
    let serial = inner.next_serial();
    let own = format!("{:x}-{serial:x}", inner.node.incarnation());
    match theirs.filter(fit) {
        Some(id) => Name::from(format!("{id}.{own}")),
        None => Name::from(own),
    }
}

/// Reads what a write asks.
pub(crate) fn write_body(body: &[u8]) -> Result<WriteBody, Refused> {
    serde_json::from_slice(body).map_err(|error| {
        let cause = format!("{error}, allowed: {{\"record\": KEY, \"body\": TEXT}}");
        Refused::bad(StatusCode::BAD_REQUEST, "read body", cause)
    })
}
