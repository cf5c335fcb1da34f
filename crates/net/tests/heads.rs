//! The limits of the heads of requests.

use std::net::Ipv4Addr;
use std::time::Duration;

use bergamot_net::{ConnectionLimits, HeadLimit, serve_within, text};
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const LIMIT: HeadLimit = HeadLimit::new(HEAD_BYTES);
const HEAD_BYTES: usize = 16 << 10;

/// The shortest header that HTTP allows.
const SHORTEST: &str = "a:\r\n";

const REQUEST_LINE: &str = "GET / HTTP/1.1\r\n";

/// A request with some headers, and one that brings its head to a size in bytes, if there is one.
fn request(headers: usize, bytes: Option<usize>) -> String {
    let head = format!("{REQUEST_LINE}{}", SHORTEST.repeat(headers));
    let padding = bytes.map_or(String::new(), |bytes| {
        format!("p:{}\r\n", "x".repeat(bytes - head.len() - "p:\r\n\r\n".len()))
    });
    format!("{head}{padding}\r\n")
}

/// Sends bytes over a new connection, which the server is told to close behind the last request, and
/// returns the statuses of the responses.
async fn statuses(server: &TcpListener, sent: String) -> Vec<u16> {
    let address = server.local_addr().expect("it listens");
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    stream.write_all(sent.as_bytes()).await.expect("the server reads");
    stream.shutdown().await.expect("an open connection");
    let mut received = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut received)).await;
    read.expect("the server ends the connection").expect("the connection is not reset");
    let received = String::from_utf8(received).expect("text");
    let lines = received.lines().filter_map(|line| line.split_once("HTTP/1.1 "));
    lines.filter_map(|(_, status)| status[..3].parse().ok()).collect()
}

/// Starts a server that responds with the number of the headers; returns another handle of its socket.
fn start() -> TcpListener {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.set_nonblocking(true).expect("an open socket");
    let handle = listener.try_clone().expect("an open socket");
    let listener = TcpListener::from_std(listener).expect("an open socket");
    let respond = |request: hyper::Request<hyper::body::Incoming>, _peer| async move {
        text(StatusCode::OK, request.headers().len().to_string())
    };
    let limits = || ConnectionLimits { head: Some(LIMIT), ..Default::default() };
    tokio::spawn(serve_within(listener, CancellationToken::new(), limits, respond));
    TcpListener::from_std(handle).expect("an open socket")
}

/// Guards against a bound on the number of headers that rejects requests within the bound in bytes.
#[tokio::test]
async fn a_head_within_the_limit_is_served_however_many_headers_it_has() {
    let server = start();
    let most = (HEAD_BYTES - REQUEST_LINE.len() - "\r\n".len()) / SHORTEST.len();
    for headers in [0, 1, 99, 100, 101, 150, 1000, most] {
        assert_eq!(statuses(&server, request(headers, None)).await, [200], "{headers} headers");
    }
    for headers in [1, 99, 100, 101, 150, 1000] {
        let full = request(headers, Some(HEAD_BYTES));
        assert_eq!(full.len(), HEAD_BYTES);
        assert_eq!(statuses(&server, full).await, [200], "{headers} headers and one to the limit");
        let beyond = request(headers, Some(HEAD_BYTES + 1));
        assert_eq!(statuses(&server, beyond).await, [431], "{headers} headers and a byte too many");
    }
    assert_eq!(statuses(&server, request(most + 1, None)).await, [431], "{} headers", most + 1);
}

/// Guards against a rejected request whose connection ends before the responses to those before it.
#[tokio::test]
async fn requests_before_a_rejected_one_are_answered() {
    let server = start();
    let sent = [request(1, None), request(150, None), request(1, Some(HEAD_BYTES + 1))].concat();
    assert_eq!(statuses(&server, sent).await, [200, 200, 431]);
}

/// Guards against a number of headers at which the library's table of headers panics.
#[test]
fn the_number_of_headers_follows_the_limit_and_is_bounded() {
    let headers = |bytes| HeadLimit::new(bytes).headers();
    assert_eq!([0, 400, 404, 16 << 10].map(headers), [100, 100, 101, 4096]);
    assert_eq!([1 << 16, 1 << 20, usize::MAX].map(headers), [1 << 14; 3]);
}
