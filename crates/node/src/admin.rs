//! The admin listener, separate from that of callers, with metrics and the state dump.

use std::sync::Arc;

use bergamot_net::{Body, ConnectionLimits, serve_bounded, text};
use hyper::{Method, Response, StatusCode};
use prometheus::TextEncoder;
use tokio::net::TcpListener;

use crate::node::Node;

/// Serves `/metrics` and `/state` until the node closes.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener) {
    let (stop, intake) = (node.stop.clone(), node.intakes().for_pages("admin"));
    serve_bounded(listener, stop, intake, ConnectionLimits::default, move |request, _peer| {
        let response = respond(&node, request.method(), request.uri().path());
        async move { response }
    })
    .await;
}

fn respond(node: &Node, method: &Method, path: &str) -> Response<Body> {
    match (method, path) {
        (&Method::GET, "/metrics") => {
            let metrics = TextEncoder::new().encode_to_string(&node.registry().gather());
            text(StatusCode::OK, metrics.unwrap_or_else(|error| error.to_string()))
        }
        (&Method::GET, "/state") => text(StatusCode::OK, node.dump()),
        _ => text(StatusCode::NOT_FOUND, "GET /metrics or GET /state\n"),
    }
}
