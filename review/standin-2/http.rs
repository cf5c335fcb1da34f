//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as a server reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response as a client reads it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Returns the first value of a header.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query string, percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }
}

fn percent_decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while matches!(line.last(), Some(b'\r' | b'\n')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)?.filter(|line| !line.is_empty()) {
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    Ok(headers)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        if size == 0 {
            read_headers(reader)?;
            return Ok(body);
        }
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        read_line(reader)?;
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let body = if header(&headers, "transfer-encoding").is_some() {
        read_chunks(reader)?
    } else {
        let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        body
    };
    Ok(Some(Request { target, headers, body }))
}

/// Reads a response, without interim ones.
pub fn read_response(reader: &mut impl BufRead, bodiless: bool) -> io::Result<Response> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
        let status: u16 = status.ok_or_else(|| io::Error::other(format!("no answer: {line:?}")))?;
        let headers = read_headers(reader)?;
        if (100..200).contains(&status) {
            continue;
        }
        let body = if bodiless || matches!(status, 204 | 304) {
            Vec::new()
        } else if header(&headers, "transfer-encoding").is_some() {
            read_chunks(reader)?
        } else if let Some(length) = header(&headers, "content-length") {
            let mut body = vec![0; length.parse().map_err(io::Error::other)?];
            reader.read_exact(&mut body)?;
            body
        } else {
            let mut body = Vec::new();
            reader.read_to_end(&mut body)?;
            body
        };
        return Ok(Response { status, headers, body });
    }
}

/// Encodes a response with a length.
pub fn encode_response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    bytes
}

/// Serves connections, each in its own thread, until the process ends. The handler returns whether
/// the connection is kept.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handler(request, &mut writer).unwrap_or(false) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(&encode_request(method, target, headers, body))?;
    read_response(&mut BufReader::new(stream), method == "HEAD")
}

/// Encodes a request with a length, if it has a body.
pub fn encode_request(
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    if !body.is_empty() || method == "POST" {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// Returns a listener on a free port of a loopback address.
pub fn listen(ip: Ipv4Addr) -> io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from((ip, 0)))
}
