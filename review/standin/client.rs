//! A stand-in for a client, as the users' page PROTOCOL.md describes it.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;

/// How long a client waits for a new connection and for an answer of the directory.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// When the last byte of the request was sent, if it was.
    pub sent: Option<Instant>,
    /// When the attempt ended.
    pub ended: Instant,
    /// The complete answer, if there was one.
    pub answer: Option<Message>,
    /// Why there was no answer.
    pub cause: String,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub body: Vec<u8>,
    pub deadline: Duration,
}

/// Sends a request over a new connection and waits for the answer until the deadline.
pub fn send(address: SocketAddr, request: &Request, record: &Record) -> Attempt {
    let Request { id, method, host, path, body, deadline } = request;
    let until = Instant::now() + *deadline;
    let mut attempt = Attempt {
        id: id.clone(),
        sent: None,
        ended: Instant::now(),
        answer: None,
        cause: String::new(),
    };
    let result = (|| {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
            .map_err(|error| format!("no connection: {error}"))?;
        let prepared = stream.set_nodelay(true).and_then(|()| stream.try_clone());
        let copy = prepared.map_err(|error| format!("no connection: {error}"))?;
        let millis = deadline.as_millis().to_string();
        let headers = [
            ("Host", host.as_str()),
            ("X-Bergamotstand-Request-Id", id),
            ("X-Bergamotstand-Deadline-Ms", &millis),
        ];
        http::write(&mut stream, &format!("{method} {path} HTTP/1.1"), &headers, body)
            .map_err(|error| format!("not sent: {error}"))?;
        attempt.sent = Some(Instant::now());
        record.note(&format!("client sends {id} ({method} {path}) to {address}"));
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).map_err(|error| error.to_string())?;
        match http::read(&mut BufReader::new(copy), true) {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => Err("the connection was closed without an answer".to_owned()),
            Err(error) => Err(format!("the connection ended without a complete answer: {error}")),
        }
    })();
    attempt.ended = Instant::now();
    match result {
        Ok(answer) => {
            record.note(&format!("client gets {} for {id}", answer.status()));
            attempt.answer = Some(answer);
        }
        Err(cause) => {
            record.note(&format!("client gets no answer to {id}: {cause}"));
            attempt.cause = cause;
        }
    }
    attempt
}

/// Asks a directory where to connect. Returns the addresses and for how long they may be used.
pub fn resolve(
    directory: SocketAddr,
    host: &str,
    zone: &str,
    region: &str,
) -> Option<(Vec<SocketAddr>, Duration)> {
    let path = format!("/-/resolve?name={host}&region={region}&zone={zone}");
    let answer = http::get(directory, &path, CONNECT_TIMEOUT).ok()?;
    if answer.status() != 200 {
        return None;
    }
    let body = String::from_utf8(answer.body).ok()?;
    let list = body.split("\"addrs\":[").nth(1)?.split(']').next()?;
    let addresses: Vec<SocketAddr> =
        list.split(',').filter_map(|text| text.trim_matches('"').parse().ok()).collect();
    let ttl = body.split("\"ttl_s\":").nth(1)?;
    let ttl = ttl.split([',', '}']).next()?.trim().parse().ok()?;
    (!addresses.is_empty()).then(|| (addresses, Duration::from_secs_f64(ttl)))
}
