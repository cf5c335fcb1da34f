//! RPC connections between daemons.
//!
//! Concurrent requests to a peer are multiplexed over one connection. tarpc assigns each a request
//! ID, so a late reply is matched to its request or dropped.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bergamot_net::{NetworkError, dial};
use futures::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::server::BaseChannel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Response, Transport, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The maximum message size; a larger partial answer is rejected.
const MAX_MESSAGE_LEN: usize = 64 << 20;

/// The timeout for connecting to a peer.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// A client that is created from a new connection.
pub trait Connect: Clone {
    /// Creates a client that uses `stream`.
    fn from_stream(stream: TcpStream) -> Self;
}

macro_rules! impl_connect {
    ($client:ty) => {
        impl Connect for $client {
            fn from_stream(stream: TcpStream) -> Self {
                let transport = serde_transport::new(framed(stream), Bincode::default());
                Self::new(tarpc::client::Config::default(), transport).spawn()
            }
        }
    };
}

impl_connect!(crate::rpc::GatherClient);
impl_connect!(crate::rpc::EntryClient);
impl_connect!(crate::member::MemberClient);

/// The connections of a daemon to peers of one role.
#[derive(Debug)]
pub struct Channels<C> {
    local: Ipv4Addr,
    clients: Mutex<HashMap<SocketAddr, Arc<Mutex<Option<C>>>>>,
}

impl<C: Connect> Channels<C> {
    /// Creates an empty set of connections, to be dialled from the address `local`.
    pub fn new(local: Ipv4Addr) -> Self {
        Self { local, clients: Mutex::default() }
    }

    /// Returns the client for a peer; connects if there is none.
    pub async fn get(&self, peer: SocketAddr) -> Result<C, NetworkError> {
        let slot = Arc::clone(self.clients.lock().await.entry(peer).or_default());
        let mut slot = slot.lock().await;
        if let Some(client) = &*slot {
            return Ok(client.clone());
        }
        let client = C::from_stream(dial(self.local, peer, DIAL_TIMEOUT).await?);
        *slot = Some(client.clone());
        Ok(client)
    }

    /// Removes the client of a peer whose connection failed.
    pub async fn forget(&self, peer: SocketAddr) {
        self.clients.lock().await.remove(&peer);
    }

    /// Removes the clients of all peers that do not satisfy `wanted`.
    pub async fn retain(&self, wanted: impl Fn(SocketAddr) -> bool) {
        self.clients.lock().await.retain(|peer, _| wanted(*peer));
    }
}

/// Accepts connections until `stop` is cancelled and passes each to `serve`, then waits for the
/// requests in flight.
///
/// `serve` creates the server side with [`transport`] and spawns [`run_requests`] for it. This is
/// left to the caller because the types of the handlers' futures are known only there.
pub async fn serve_requests(
    listener: TcpListener,
    stop: CancellationToken,
    serve: impl Fn(TcpStream, Connection),
) {
    let connection = Connection { tracker: TaskTracker::new(), closed: CancellationToken::new() };
    while let Some(stream) = accept(&listener, &stop).await {
        serve(stream, connection.clone());
    }
    connection.tracker.close();
    connection.tracker.wait().await;
    connection.closed.cancel();
}

/// State shared by the connections of one listener.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The requests in flight.
    tracker: TaskTracker,
    /// Cancelled once the listener has stopped and no requests are in flight.
    closed: CancellationToken,
}

/// Creates the server side of a connection.
pub fn transport<Req, Resp>(
    stream: TcpStream,
) -> BaseChannel<Req, Resp, impl Transport<Response<Resp>, ClientMessage<Req>>>
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    BaseChannel::with_defaults(serde_transport::new(framed(stream), Bincode::default()))
}

/// Accepts the next connection; returns `None` once `stop` is cancelled.
async fn accept(listener: &TcpListener, stop: &CancellationToken) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            // If this fails, requests only take longer.
            let _ = stream.set_nodelay(true);
            return Some(stream);
        }
    }
}

/// Runs each request of a connection in its own task.
///
/// Returns, which closes the connection, when the peer closes it or the listener has stopped.
pub async fn run_requests<F>(requests: impl Stream<Item = F>, connection: Connection)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut requests = std::pin::pin!(requests);
    loop {
        let request = tokio::select! {
            () = connection.closed.cancelled() => return,
            request = requests.next() => request,
        };
        let Some(request) = request else { return };
        connection.tracker.spawn(request);
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_LEN).new_codec();
    Framed::new(stream, codec)
}
