//! RPC connections between daemons.
//!
//! Concurrent requests to a peer are multiplexed over one connection. tarpc assigns each a request
//! ID, so a late reply is matched to its request or dropped.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bergamot_net::{Accepted, Intake, NetworkError, Observed, dial};
use bergamot_resources::{Activity, Place, Reservation};
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::server::BaseChannel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Response, Transport, serde_transport, tokio_serde};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio_util::codec::{Decoder, Encoder, Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The maximum message size; a larger partial answer is rejected.
const MAX_MESSAGE_LEN: usize = 64 << 20;

/// The size of a message up to which its memory counts as that of its connection, in bytes.
const SMALL_MESSAGE_BYTES: usize = 8 << 10;

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
    intake: Arc<Intake>,
    stop: CancellationToken,
    serve: impl Fn(TcpStream, Connection),
) {
    let (tracker, closed) = (TaskTracker::new(), CancellationToken::new());
    while let Some(Accepted { stream, peer, place }) = intake.accept(&listener, &stop).await {
        serve(stream, Connection::new(&intake, peer, place, &tracker, &closed));
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
    closed.cancel();
}

/// The state of a connection to a listener.
#[derive(Debug)]
pub struct Connection {
    intake: Arc<Intake>,
    peer: SocketAddr,
    place: Place,
    /// The requests in flight on all connections of the listener.
    tracker: TaskTracker,
    /// Cancelled once the listener has stopped and no requests are in flight.
    closed: CancellationToken,
    /// The number of requests in flight on this connection.
    in_flight: Arc<AtomicUsize>,
}

impl Connection {
    fn new(
        intake: &Arc<Intake>,
        peer: SocketAddr,
        place: Place,
        tracker: &TaskTracker,
        closed: &CancellationToken,
    ) -> Self {
        Self {
            intake: Arc::clone(intake),
            peer,
            place,
            tracker: tracker.clone(),
            closed: closed.clone(),
            in_flight: Arc::default(),
        }
    }

    /// Waits until the connection must be closed.
    async fn wait_until_closed(&self) {
        tokio::select! {
            () = self.closed.cancelled() => {}
            () = self.place.closed() => self.intake.log_closed(self.peer),
        }
    }

    /// Records a request in flight until the returned value is dropped.
    fn begin_request(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let activity = self.place.activity().clone();
        activity.begin_exchange(Instant::now(), false);
        InFlight { activity, count: Arc::clone(&self.in_flight) }
    }
}

/// A request in flight, during which its connection keeps its place.
struct InFlight {
    activity: Activity,
    count: Arc<AtomicUsize>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.activity.end_exchange(Instant::now());
        }
    }
}

/// Creates the server side of a connection.
pub fn transport<Req, Resp>(
    stream: TcpStream,
    connection: &Connection,
) -> BaseChannel<Req, Resp, impl Transport<Response<Resp>, ClientMessage<Req>> + use<Req, Resp>>
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    let Connection { intake, place, .. } = connection;
    let message = intake.memory().map(|memory| memory.reservation(place.close_token()));
    let codec = MeteredCodec { codec: codec(), message, counted: 0 };
    let stream = Observed::new(stream, place.activity().clone());
    BaseChannel::with_defaults(tokio_serde::Framed::new(
        Framed::new(stream, codec),
        Bincode::default(),
    ))
}

/// Runs each request of a connection in its own task.
///
/// Returns, which closes the connection, when the peer closes it, the listener has stopped, or the
/// connection must be closed for others.
pub async fn run_requests<F>(requests: impl Stream<Item = F>, connection: Connection)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut requests = std::pin::pin!(requests);
    let mut closed = std::pin::pin!(connection.wait_until_closed());
    loop {
        let request = tokio::select! {
            () = &mut closed => return,
            request = requests.next() => request,
        };
        let Some(request) = request else { return };
        let in_flight = connection.begin_request();
        connection.tracker.spawn(async move {
            request.await;
            drop(in_flight);
        });
    }
}

/// A codec that counts the bytes of the message that is being received.
struct MeteredCodec {
    codec: LengthDelimitedCodec,
    /// The message, if the memory of messages is bounded.
    message: Option<Reservation>,
    /// The bytes of the message that count.
    counted: usize,
}

impl MeteredCodec {
    /// Records how many bytes of a message were received.
    fn record(&mut self, bytes: usize) -> io::Result<()> {
        let bytes = if bytes > SMALL_MESSAGE_BYTES { bytes } else { 0 };
        let Some(message) = self.message.as_ref().filter(|_| bytes != self.counted) else {
            return Ok(());
        };
        self.counted = bytes;
        message.set(bytes).map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))
    }
}

impl Decoder for MeteredCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let message = self.codec.decode(src)?;
        self.record(if message.is_some() { 0 } else { src.len() })?;
        Ok(message)
    }
}

impl Encoder<Bytes> for MeteredCodec {
    type Error = io::Error;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        self.codec.encode(item, dst)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_LEN).new_codec()
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    Framed::new(stream, codec())
}
