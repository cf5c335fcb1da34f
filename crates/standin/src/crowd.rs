//! Clients that don't behave: they open many connections, stop short of the end of a request and
//! keep the connection open.
//!
//! A crowd sends over raw TCP, so that each byte is sent as its form says. Its connections stay open
//! until the crowd is dropped or the server closes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

/// The shortest header that HTTP allows.
const SHORTEST_HEADER: &str = "h:\r\n";

/// The pause between two writes that the server is to read one by one.
const WRITE_PAUSE: Duration = Duration::from_millis(1);

/// The receive buffer of a client that doesn't read, in bytes.
const UNREAD_BUFFER_BYTES: u32 = 4096;

/// What each client of a crowd sends behind the head of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Nothing, not even a head.
    Silence,
    /// A head of this size in bytes, one header of which never ends.
    EndlessHead(usize),
    /// A complete head of at most this size in bytes, with as many headers as fit, and a body one byte
    /// short of its end.
    ManyHeaders(usize),
    /// A body by its length, one byte short of its end.
    Length {
        /// The declared length, in bytes.
        bytes: usize,
        /// The bytes of one write.
        piece: usize,
    },
    /// A chunked body, whose last chunk isn't ended.
    Chunks {
        /// The number of chunks.
        count: usize,
        /// The bytes of one chunk.
        size: usize,
        /// The chunks of one write.
        per_write: usize,
    },
    /// A complete body of this length, in bytes.
    Whole(usize),
    /// A complete request without a body, whose head of at most this size in bytes has as many headers
    /// as fit.
    WholeHeaders(usize),
    /// A complete request without a body, whose answer the client doesn't read.
    Unread,
    /// The first bytes of a message between daemons, whose length is declared in four bytes before
    /// it, one byte short of its end.
    Frame(usize),
}

impl Form {
    /// Returns the bytes of each write.
    fn writes(self, head: &str) -> Vec<Vec<u8>> {
        let opened = |framing: &str| format!("{head}{framing}\r\n").into_bytes();
        match self {
            Self::Silence => Vec::new(),
            Self::EndlessHead(bytes) => {
                vec![format!("{head}padding: {}", "p".repeat(bytes - head.len())).into_bytes()]
            }
            Self::ManyHeaders(bytes) => {
                let length = "content-length: 2\r\n";
                let headers = headers(bytes - head.len() - length.len());
                vec![[opened(&format!("{length}{headers}")), b"b".to_vec()].concat()]
            }
            Self::WholeHeaders(bytes) => vec![opened(&headers(bytes - head.len()))],
            Self::Length { bytes, piece } => {
                let body = vec![b'b'; bytes - 1];
                let head = opened(&format!("content-length: {bytes}\r\n"));
                std::iter::once(head).chain(body.chunks(piece).map(<[u8]>::to_vec)).collect()
            }
            Self::Chunks { count, size, per_write } => {
                let chunk = format!("{size:x}\r\n{}\r\n", "c".repeat(size));
                let write = chunk.repeat(per_write).into_bytes();
                let head = opened("transfer-encoding: chunked\r\n");
                std::iter::once(head)
                    .chain(std::iter::repeat_n(write, count / per_write))
                    .chain([format!("{size:x}\r\n").into_bytes()])
                    .collect()
            }
            Self::Whole(bytes) => {
                let mut request = opened(&format!("content-length: {bytes}\r\n"));
                request.resize(request.len() + bytes, b'w');
                vec![request]
            }
            Self::Unread => vec![opened("")],
            Self::Frame(bytes) => {
                let mut frame = (bytes as u32).to_be_bytes().to_vec();
                frame.resize(frame.len() + bytes - 1, b'f');
                vec![frame]
            }
        }
    }

    /// Returns whether the server is to read the writes one by one.
    fn is_in_pieces(self) -> bool {
        match self {
            Self::Length { bytes, piece } => piece < bytes,
            Self::Chunks { .. } => true,
            _ => false,
        }
    }
}

/// Returns as many headers as fit into a number of bytes with the end of the head.
fn headers(bytes: usize) -> String {
    SHORTEST_HEADER.repeat((bytes - "\r\n".len()) / SHORTEST_HEADER.len())
}

/// The connections of clients that don't behave. They are closed on drop.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<AbortOnDropHandle<()>>,
    done: watch::Receiver<usize>,
    connected: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts clients that send one form. `head` returns the request line and the headers of a client
    /// by its number, each with its line break, without those that state the length.
    pub fn start(
        server: SocketAddr,
        clients: usize,
        form: Form,
        head: impl Fn(usize) -> String,
    ) -> Self {
        let (sender, done) = watch::channel(0);
        let (sender, connected) = (Arc::new(sender), Arc::new(AtomicUsize::new(0)));
        let client = |number| {
            let (head, done, connected) =
                (head(number), Arc::clone(&sender), Arc::clone(&connected));
            AbortOnDropHandle::new(tokio::spawn(async move {
                let stream = send(server, form, &head, &connected).await;
                done.send_modify(|clients| *clients += 1);
                if let Some(stream) = stream {
                    stay(stream, form).await;
                }
            }))
        };
        Self { clients: (0..clients).map(client).collect(), done, connected }
    }

    /// Waits until each client has sent what it sends or can't send more, for a limited time: the
    /// server may read no further without closing the connection.
    pub async fn settle(&mut self, limit: Duration) {
        let clients = self.clients.len();
        // Clients that are still sending are part of the crowd.
        let _still_sending =
            tokio::time::timeout(limit, self.done.wait_for(|done| *done == clients)).await;
    }

    /// Returns how many clients got a connection so far.
    pub fn connected(&self) -> usize {
        self.connected.load(Ordering::Relaxed)
    }
}

/// Opens a connection and sends a form over it. Returns the connection unless it has failed.
async fn send(
    server: SocketAddr,
    form: Form,
    head: &str,
    connected: &AtomicUsize,
) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    if form == Form::Unread {
        socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES).ok()?;
    }
    let mut stream = socket.connect(server).await.ok()?;
    connected.fetch_add(1, Ordering::Relaxed);
    stream.set_nodelay(true).ok()?;
    for write in form.writes(head) {
        stream.write_all(&write).await.ok()?;
        if form.is_in_pieces() {
            tokio::time::sleep(WRITE_PAUSE).await;
        }
    }
    Some(stream)
}

/// Keeps a connection open until the server closes it.
async fn stay(mut stream: TcpStream, form: Form) {
    if form == Form::Unread {
        std::future::pending::<()>().await;
    }
    let mut received = [0; 1024];
    while stream.read(&mut received).await.is_ok_and(|count| count > 0) {}
    // The port of a connection that the server has closed is free again at once.
    let _still_open = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
