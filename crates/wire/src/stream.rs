//! Transfer of documents and views over a WebSocket.
//!
//! A connection serves one exchange: the client sends what it has and receives what it lacks.
//! Connections are not kept open, since a member pulls from any other and rarely from the same one
//! twice.

use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bergamot_base::{Name, Revision};
use bergamot_config::DocumentTransfer;
use bergamot_members::Record;
use bergamot_net::{Accepted, Intake, NetworkError, Observed, REPLY_BODY_TIMEOUT, dial};
use bergamot_resources::Reservation;
use futures::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio_io_timeout::TimeoutStream;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};
use tokio_util::io::InspectReader;
use tokio_util::sync::CancellationToken;

/// A stream whose reads fail if no data arrives within a timeout.
type TimedStream<S> = Pin<Box<TimeoutStream<S>>>;

/// The read timeout of the server, before the request is complete and after the response.
const SERVER_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A pull request: the state that the client already has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The client's active revision; zero if it has none.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hashes of the document sections that the client has.
    #[serde(rename = "h")]
    pub held: Vec<u64>,
    /// The client's view, if views are to be exchanged.
    #[serde(rename = "v")]
    pub view: Option<Vec<Record>>,
}

/// A pull response: the state that the client lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullResponse {
    /// The active document, if it is newer than the client's.
    #[serde(rename = "p")]
    pub parcel: Option<DocumentTransfer>,
    /// The complete view, if it was requested.
    #[serde(rename = "v")]
    pub view: Vec<Record>,
    /// The searchers known to be leaving, with the incarnations to which that applies, if the view
    /// was requested.
    #[serde(rename = "l")]
    pub leaving: Vec<(SocketAddr, Name)>,
}

/// Pulls from a peer; returns the response and its size in bytes.
///
/// `read_timeout` limits how long the peer may send nothing. The total duration has only a generous
/// limit: a document of 500 KB takes 0.3 s on an otherwise idle link of 14 Mbit/s, and a tight
/// limit would abort and restart the transfer for as long as the link is busy.
pub async fn pull(
    local: Ipv4Addr,
    peer: SocketAddr,
    request: &PullRequest,
    read_timeout: Duration,
) -> Result<(PullResponse, usize), NetworkError> {
    let exchange = async {
        let stream = with_read_timeout(dial(local, peer, read_timeout).await?, read_timeout);
        let address = format!("ws://{peer}/");
        let (mut socket, _) = client_async(address, stream)
            .await
            .map_err(|error| NetworkError::new("open control stream", peer, error))?;
        send(&mut socket, request, peer).await?;
        let answer = receive(&mut socket, peer).await?;
        // The response is complete even if the close frame does not reach the peer.
        let _ = socket.close(None).await;
        Ok(answer)
    };
    tokio::time::timeout(REPLY_BODY_TIMEOUT, exchange)
        .await
        .map_err(|elapsed| NetworkError::new("pull", peer, elapsed))?
}

fn with_read_timeout<S: AsyncRead + AsyncWrite>(
    stream: S,
    read_timeout: Duration,
) -> TimedStream<S> {
    let mut stream = TimeoutStream::new(stream);
    stream.set_read_timeout(Some(read_timeout));
    Box::pin(stream)
}

/// Serves pull requests until `stop` is cancelled.
pub async fn serve_pulls<F>(
    listener: TcpListener,
    intake: Arc<Intake>,
    stop: CancellationToken,
    answer: F,
) where
    F: Fn(PullRequest) -> PullResponse + Clone + Send + Sync + 'static,
{
    while let Some(Accepted { stream, peer, place }) = intake.accept(&listener, &stop).await {
        let (intake, answer) = (Arc::clone(&intake), answer.clone());
        tokio::spawn(async move {
            let message = intake.memory().map(|memory| memory.reservation(place.close_token()));
            let stream = Observed::new(stream, place.activity().clone());
            let stream = InspectReader::new(stream, count_bytes(message));
            let exchange = serve_one(with_read_timeout(stream, SERVER_READ_TIMEOUT), peer, answer);
            let exchange = tokio::time::timeout(SERVER_READ_TIMEOUT + REPLY_BODY_TIMEOUT, exchange);
            let served = tokio::select! {
                served = exchange => served,
                () = place.closed() => return intake.log_closed(peer),
            };
            match served {
                Ok(Ok(())) => {}
                Ok(Err(fault)) => log::debug!("wire: Serving a pull failed: {fault}."),
                Err(elapsed) => log::debug!("wire: Serving a pull by {peer} failed: {elapsed}."),
            }
        });
    }
}

/// Returns a function that counts the bytes of a request as they are read.
fn count_bytes(message: Option<Reservation>) -> impl FnMut(&[u8]) {
    let mut received = 0;
    move |bytes| {
        received += bytes.len();
        if let Some(message) = &message {
            // The connection is closed if the message is discarded.
            let _discarded = message.set(received);
        }
    }
}

async fn serve_one<S: AsyncRead + AsyncWrite>(
    stream: TimedStream<S>,
    peer: SocketAddr,
    answer: impl Fn(PullRequest) -> PullResponse,
) -> Result<(), NetworkError> {
    let mut socket = accept_async(stream)
        .await
        .map_err(|error| NetworkError::new("accept control stream", peer, error))?;
    let (request, _) = receive(&mut socket, peer).await?;
    send(&mut socket, &answer(request), peer).await?;
    while let Some(Ok(_)) = socket.next().await {}
    Ok(())
}

async fn send<T: Serialize, S: AsyncRead + AsyncWrite>(
    socket: &mut WebSocketStream<TimedStream<S>>,
    message: &T,
    peer: SocketAddr,
) -> Result<(), NetworkError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| NetworkError::new("encode control message", peer, error))?;
    socket
        .send(Message::binary(bytes))
        .await
        .map_err(|error| NetworkError::new("send control message", peer, error))
}

async fn receive<T: DeserializeOwned, S: AsyncRead + AsyncWrite>(
    socket: &mut WebSocketStream<TimedStream<S>>,
    peer: SocketAddr,
) -> Result<(T, usize), NetworkError> {
    let message = socket
        .next()
        .await
        .unwrap_or(Err(Error::ConnectionClosed))
        .map_err(|error| NetworkError::new("receive control message", peer, error))?;
    let bytes = message.into_data();
    let value = ciborium::from_reader(&*bytes)
        .map_err(|error| NetworkError::new("decode control message", peer, error))?;
    Ok((value, bytes.len()))
}
