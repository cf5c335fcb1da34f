//! Handling of one caller's request: read, hand over to the relay, encode the reply.

use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_net::{Body, Rejection, read_body, strip_hop, text};
use bergamot_relay::{Relay, Request};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode, Uri};

use crate::protocol::CallerProtocol;

/// The limit on request bodies before a declaration is in force, in bytes.
const DEFAULT_BODY_LIMIT: usize = 1 << 20;

pub(crate) async fn handle_request(
    relay: Arc<Relay>,
    protocol: CallerProtocol,
    request: hyper::Request<Incoming>,
) -> Response<Body> {
    let received = Instant::now();
    let (mut parts, body) = request.into_parts();
    let host = host(&parts);
    let head = match (protocol.parse_request)(&mut parts) {
        Ok(head) => head,
        Err(cause) => return reject(StatusCode::BAD_REQUEST, cause),
    };
    let limit =
        relay.declaration().map_or(DEFAULT_BODY_LIMIT, |declaration| declaration.limits.body_bytes);
    let body = match read_body(hyper::Request::new(body), limit).await {
        Ok(body) => body,
        Err(Rejection::TooLarge) => {
            return reject(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than allowed");
        }
        Err(Rejection::Cut) => return reject(StatusCode::BAD_REQUEST, "the body was cut"),
    };
    strip_hop(&mut parts.headers);
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
