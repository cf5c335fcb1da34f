//! Pulling documents and views over a WebSocket.
//!
//! One exchange: the puller says what it holds and gets what it lacks. Connections
//! are short, since a member pulls from any other and rarely from the same one twice.

use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::time::Duration;

use bergamot_base::{Name, Revision};
use bergamot_config::DocumentTransfer;
use bergamot_members::Record;
use bergamot_net::{NetworkError, REPLY_BODY_TIMEOUT, dial};
use futures::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio_io_timeout::TimeoutStream;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};
use tokio_util::sync::CancellationToken;

/// The stream of one exchange; it fails when nothing comes in for a time.
type Stream = Pin<Box<TimeoutStream<TcpStream>>>;

/// How long a puller may be silent before its question is in, and after the answer.
const SERVE: Duration = Duration::from_secs(5);

/// What a puller holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The revision in force at the puller, zero for none.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hashes of the sections that the puller holds.
    #[serde(rename = "h")]
    pub held: Vec<u64>,
    /// The puller's own view, where views are to be exchanged.
    #[serde(rename = "v")]
    pub view: Option<Vec<Record>>,
}

/// What a puller lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// The document in force, where it is newer.
    #[serde(rename = "p")]
    pub parcel: Option<DocumentTransfer>,
    /// The whole view, where it was asked for.
    #[serde(rename = "v")]
    pub view: Vec<Record>,
    /// The searchers known to be leaving, with the runs that are, where the view was
    /// asked for.
    #[serde(rename = "l")]
    pub leaving: Vec<(SocketAddr, Name)>,
}

/// Pulls from a peer, which may be silent for `silence`; returns also how many bytes came back.
///
/// A document of 500 KB takes 0.3 s of a link of 14 Mbit/s that does nothing else: only its
/// progress is bounded, or it would be cut and pulled anew for as long as the link is busy.
pub async fn pull(
    local: Ipv4Addr,
    peer: SocketAddr,
    request: &Pull,
    silence: Duration,
) -> Result<(Bundle, usize), NetworkError> {
    let exchange = async {
        let stream = bounded(dial(local, peer, silence).await?, silence);
        let address = format!("ws://{peer}/");
        let (mut socket, _) = client_async(address, stream)
            .await
            .map_err(|error| NetworkError::new("open control stream", peer, error))?;
        send(&mut socket, request, peer).await?;
        let answer = receive(&mut socket, peer).await?;
        // The exchange is over whether or not the close reaches the peer.
        let _ = socket.close(None).await;
        Ok(answer)
    };
    tokio::time::timeout(REPLY_BODY_TIMEOUT, exchange)
        .await
        .map_err(|elapsed| NetworkError::new("pull", peer, elapsed))?
}

fn bounded(stream: TcpStream, silence: Duration) -> Stream {
    let mut stream = TimeoutStream::new(stream);
    stream.set_read_timeout(Some(silence));
    Box::pin(stream)
}

/// Answers pulls until `stop`.
pub async fn serve_pulls<F>(listener: TcpListener, stop: CancellationToken, answer: F)
where
    F: Fn(Pull) -> Bundle + Clone + Send + Sync + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let exchange = serve_one(bounded(stream, SERVE), peer, answer);
            match tokio::time::timeout(SERVE + REPLY_BODY_TIMEOUT, exchange).await {
                Ok(Ok(())) => {}
                Ok(Err(fault)) => log::debug!("wire: Pull failed: {fault}."),
                Err(elapsed) => log::debug!("wire: Pull by {peer} failed: {elapsed}."),
            }
        });
    }
}

async fn serve_one(
    stream: Stream,
    peer: SocketAddr,
    answer: impl Fn(Pull) -> Bundle,
) -> Result<(), NetworkError> {
    let mut socket = accept_async(stream)
        .await
        .map_err(|error| NetworkError::new("accept control stream", peer, error))?;
    let (request, _) = receive(&mut socket, peer).await?;
    send(&mut socket, &answer(request), peer).await?;
    while let Some(Ok(_)) = socket.next().await {}
    Ok(())
}

async fn send<T: Serialize>(
    socket: &mut WebSocketStream<Stream>,
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

async fn receive<T: DeserializeOwned>(
    socket: &mut WebSocketStream<Stream>,
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
