//! Reads and writes HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the target of a request, the status of a response.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Returns the value of a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(code) if bytes[at] == b'%' => {
                decoded.push(code);
                at += 3;
            }
            _ => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn cut(cause: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, cause)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(cut("the head is incomplete"));
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads a complete message; returns `None` if the connection has ended before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>, is_response: bool) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else { return Ok(None) };
    let mut message = Message { start, ..Message::default() };
    loop {
        let line = read_line(reader)?.ok_or_else(|| cut("the head is incomplete"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| cut("a header has no colon"))?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let line = read_line(reader)?.ok_or_else(|| cut("a chunk is missing"))?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| cut("a chunk has no size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader)?.ok_or_else(|| cut("a chunk is incomplete"))?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a message with the length of its body.
pub fn write(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Sends a GET request over a new connection and returns the response.
pub fn get(address: SocketAddr, path: &str, timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    write(&mut stream, &format!("GET {path} HTTP/1.1"), &[("Host", &address.to_string())], b"")?;
    let mut reader = BufReader::new(stream);
    read(&mut reader, true)?.ok_or_else(|| cut("no response"))
}
