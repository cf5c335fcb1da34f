//! A small HTTP client: one connection, one exchange at a time.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;

use crate::dial::{Fault, dial};

/// A whole reply in memory.
pub type Reply = Response<Bytes>;

/// The largest reply that is read, in bytes.
const LARGEST: usize = 64 << 20;

/// A connection to one server.
#[derive(Debug)]
pub struct Client {
    remote: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    /// Dials a server.
    pub async fn connect(
        local: Ipv4Addr,
        remote: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, Fault> {
        let stream = dial(local, remote, timeout).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Fault::new("handshake", remote, error))?;
        tokio::spawn(connection);
        Ok(Self { remote, sender })
    }

    /// Tells whether the connection can take another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the whole reply.
    pub async fn send(&mut self, mut request: Request<Full<Bytes>>) -> Result<Reply, Fault> {
        let fault = |step, error: &dyn std::fmt::Display| Fault::new(step, self.remote, error);
        if let Ok(host) = self.remote.to_string().parse() {
            request.headers_mut().entry("host").or_insert(host);
        }
        self.sender.ready().await.map_err(|error| fault("connect", &error))?;
        let response =
            self.sender.send_request(request).await.map_err(|error| fault("send", &error))?;
        let (parts, body) = response.into_parts();
        let whole = Limited::new(body, LARGEST)
            .collect()
            .await
            .map_err(|error| fault("read reply", &error))?;
        Ok(Response::from_parts(parts, whole.to_bytes()))
    }
}

/// Fetches a path over a connection of its own, within a timeout.
pub async fn fetch(
    local: Ipv4Addr,
    remote: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<Reply, Fault> {
    let exchange = async {
        let request = Request::get(path)
            .body(Full::default())
            .map_err(|error| Fault::new("make request", remote, error))?;
        let mut client = Client::connect(local, remote, timeout).await?;
        client.send(request).await
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .map_err(|elapsed| Fault::new("fetch", remote, elapsed))?
}
