//! Metrics and state on a listener of their own, apart from the callers'.

use std::sync::Arc;

use bergamot_net::{Body, serve as serve_http, text};
use hyper::{Method, Response, StatusCode};
use prometheus::TextEncoder;
use tokio::net::TcpListener;

use crate::node::Node;

/// Serves `/metrics` and `/state` until the node closes.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener) {
    let stop = node.stop.clone();
    serve_http(listener, stop, move |request, _peer| {
        let reply = answer(&node, request.method(), request.uri().path());
        async move { reply }
    })
    .await;
}

fn answer(node: &Node, method: &Method, path: &str) -> Response<Body> {
    match (method, path) {
        (&Method::GET, "/metrics") => {
            let metrics = TextEncoder::new().encode_to_string(&node.registry().gather());
            text(StatusCode::OK, metrics.unwrap_or_else(|error| error.to_string()))
        }
        (&Method::GET, "/state") => text(StatusCode::OK, node.dump()),
        _ => text(StatusCode::NOT_FOUND, "GET /metrics or GET /state\n"),
    }
}
