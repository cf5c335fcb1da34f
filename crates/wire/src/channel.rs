//! Connections between daemons for requests.
//!
//! One connection a peer carries any number of requests at once; tarpc numbers them,
//! so a late reply can only ever reach the request it belongs to, or nobody.

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

/// The largest message; larger partial answers can't be carried and are refused.
const LARGEST_MESSAGE: usize = 64 << 20;

/// How long a connection to a peer may take.
const DIAL: Duration = Duration::from_millis(500);

/// A client that can be made from a fresh connection.
pub trait Connect: Clone {
    /// Makes the client over a stream.
    fn over(stream: TcpStream) -> Self;
}

macro_rules! connect {
    ($client:ty) => {
        impl Connect for $client {
            fn over(stream: TcpStream) -> Self {
                let transport = serde_transport::new(framed(stream), Bincode::default());
                Self::new(tarpc::client::Config::default(), transport).spawn()
            }
        }
    };
}

connect!(crate::rpc::GatherClient);
connect!(crate::rpc::EntryClient);
connect!(crate::member::MemberClient);

/// The connections of one daemon to peers of one role.
#[derive(Debug)]
pub struct Channels<C> {
    local: Ipv4Addr,
    open: Mutex<HashMap<SocketAddr, Arc<Mutex<Option<C>>>>>,
}

impl<C: Connect> Channels<C> {
    /// Makes the set without a connection.
    pub fn new(local: Ipv4Addr) -> Self {
        Self { local, open: Mutex::default() }
    }

    /// Returns the client of a peer, dialling where there is none.
    pub async fn get(&self, peer: SocketAddr) -> Result<C, NetworkError> {
        let place = Arc::clone(self.open.lock().await.entry(peer).or_default());
        let mut place = place.lock().await;
        if let Some(client) = &*place {
            return Ok(client.clone());
        }
        let client = C::over(dial(self.local, peer, DIAL).await?);
        *place = Some(client.clone());
        Ok(client)
    }

    /// Forgets the client of a peer whose connection failed.
    pub async fn forget(&self, peer: SocketAddr) {
        self.open.lock().await.remove(&peer);
    }

    /// Forgets the clients of peers that are not wanted any more.
    pub async fn retain(&self, wanted: impl Fn(SocketAddr) -> bool) {
        self.open.lock().await.retain(|peer, _| wanted(*peer));
    }
}

/// Accepts connections until `stop` and hands each to `serve`, then waits for the
/// requests that were started on the tracker.
///
/// `serve` makes the server's requests from [`transport`] and spawns [`run_requests`]:
/// only there are the types of the handlers' futures known.
pub async fn serve_requests(
    listener: TcpListener,
    stop: CancellationToken,
    serve: impl Fn(TcpStream, Connection),
) {
    let open = Connection { tracker: TaskTracker::new(), closed: CancellationToken::new() };
    while let Some(stream) = accept(&listener, &stop).await {
        serve(stream, open.clone());
    }
    open.tracker.close();
    open.tracker.wait().await;
    open.closed.cancel();
}

/// What the connections of one listener share.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The requests in flight.
    tracker: TaskTracker,
    /// Cancelled once the listener has stopped and nothing is in flight.
    closed: CancellationToken,
}

/// Makes the server's side of a connection.
pub fn transport<Req, Resp>(
    stream: TcpStream,
) -> BaseChannel<Req, Resp, impl Transport<Response<Resp>, ClientMessage<Req>>>
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    BaseChannel::with_defaults(serde_transport::new(framed(stream), Bincode::default()))
}

/// Accepts the next connection, or nothing once the listener is to stop.
async fn accept(listener: &TcpListener, stop: &CancellationToken) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            // Failure only costs time.
            let _ = stream.set_nodelay(true);
            return Some(stream);
        }
    }
}

/// Runs each request of a connection as a task of its own.
///
/// Ends, and closes the connection, when the peer does or the listener has stopped.
pub async fn run_requests<F>(requests: impl Stream<Item = F>, open: Connection)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut requests = std::pin::pin!(requests);
    loop {
        let request = tokio::select! {
            () = open.closed.cancelled() => return,
            request = requests.next() => request,
        };
        let Some(request) = request else { return };
        open.tracker.spawn(request);
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(LARGEST_MESSAGE).new_codec();
    Framed::new(stream, codec)
}
