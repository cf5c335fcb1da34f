//! Handling of one caller's request: read, hand over to the relay, encode the reply.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::{Limits, Route};
use bergamot_net::{Body, BodyError, BodyLimits, read_body_of, strip_hop_by_hop_headers, text};
use bergamot_relay::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode, Uri};

use crate::daemon::Inner;

/// The limit on the time that a caller may state: longer than any caller waits.
const MAX_WAIT: Duration = Duration::from_hours(1);

pub(crate) async fn handle_request(
    inner: &Inner,
    request: hyper::Request<Incoming>,
) -> Response<Body> {
    let received = Instant::now();
    let (relay, protocol) = (&inner.relay, inner.protocol);
    let (mut parts, body) = request.into_parts();
    let host = host(&parts);
    let head = match (protocol.parse_request)(&mut parts) {
        Ok(head) => head,
        Err(cause) => return reject(StatusCode::BAD_REQUEST, cause),
    };
    let declaration = relay.declaration();
    let route = declaration.as_ref().and_then(|found| found.find(&host, parts.uri.path()));
    let declared = declaration.as_ref().map(|found| found.limits.clone()).unwrap_or_default();
    let wait = longest_wait(head.deadline, route, &declared);
    let limits = BodyLimits {
        bytes: declared.body_bytes,
        memory: Arc::clone(relay.request_memory()),
        until: (received + wait).into(),
        idle: declared.idle_timeout,
    };
    let body = match read_body_of(&mut parts, body, &limits).await {
        Ok(body) => body,
        Err(error) => {
            inner.intakes.record_refusal(format_args!("{:?}", head.id), &error);
            return refuse_body(inner, route, error);
        }
    };
    strip_hop_by_hop_headers(&mut parts.headers);
    let request = Request {
        id: head.id,
        host,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: parts.headers,
        body,
        deadline: head.deadline,
        received,
    };
    (protocol.encode_reply)(relay.handle(request).await)
}

/// Returns how long anybody waits for the response to a request, from the end of its head.
fn longest_wait(deadline: Option<Duration>, route: Option<&Route>, limits: &Limits) -> Duration {
    let waits = [deadline, route.map(|route| route.timeout)];
    waits.into_iter().flatten().min().unwrap_or(limits.idle_timeout).min(MAX_WAIT)
}

/// Refuses a request whose body was not read completely, so that it can't have run.
fn refuse_body(inner: &Inner, route: Option<&Route>, error: BodyError) -> Response<Body> {
    let response = match error {
        BodyError::TooLarge => {
            reject(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than allowed")
        }
        BodyError::Incomplete => reject(StatusCode::BAD_REQUEST, "the body was cut"),
        BodyError::Late => reject(StatusCode::REQUEST_TIMEOUT, "the body did not end in time"),
        BodyError::Exhausted(_) => (inner.protocol.encode_reply)(inner.relay.refuse_body(route)),
    };
    closing(response)
}

/// Closes the connection after a response, since the rest of the request's body may follow.
fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns the host that a request names in its header or else in its URI.
fn host(parts: &Parts) -> Name {
    let header = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    Name::from(header.or(parts.uri.host()).unwrap_or_default())
}

/// Returns the path and query without scheme and authority, as sent to a searcher.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(Uri::default, |path| Uri::from(path.clone()))
}

fn reject(status: StatusCode, cause: &'static str) -> Response<Body> {
    log::info!("front: event=rejected status={} cause=\"{cause}\"", status.as_u16());
    text(status, cause)
}
