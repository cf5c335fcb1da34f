//! One caller's request, from its head to its answer.

use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_net::{Body, BodyError, read_body, strip_hop_by_hop_headers, text};
use bergamot_relay::{Relay, Request};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode, Uri};

use crate::face::Face;

/// The largest body that is read before a declaration sets the limit, in bytes.
const ASSUMED_BODY: usize = 1 << 20;

/// Answers a caller's request.
pub(crate) async fn answer(
    relay: Arc<Relay>,
    face: Face,
    request: hyper::Request<Incoming>,
) -> Response<Body> {
    let received = Instant::now();
    let (mut parts, body) = request.into_parts();
    let host = host(&parts);
    let head = match (face.read)(&mut parts) {
        Ok(head) => head,
        Err(cause) => return reject(StatusCode::BAD_REQUEST, cause),
    };
    let limit = relay.declaration().map_or(ASSUMED_BODY, |declared| declared.limits.body_bytes);
    let body = match read_body(hyper::Request::new(body), limit).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => {
            return reject(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than allowed");
        }
        Err(BodyError::Incomplete) => return reject(StatusCode::BAD_REQUEST, "the body was cut"),
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
    (face.write)(relay.handle(request).await)
}

fn host(parts: &Parts) -> Name {
    let named = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    Name::from(named.or(parts.uri.host()).unwrap_or_default())
}

/// Returns the path and query alone, which is what a searcher is asked for.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(Uri::default, |path| Uri::from(path.clone()))
}

fn reject(status: StatusCode, cause: &'static str) -> Response<Body> {
    log::info!("front: event=rejected status={} cause=\"{cause}\"", status.as_u16());
    text(status, cause)
}
