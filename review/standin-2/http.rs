//! HTTP/1.1 by hand, for servers and clients.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its stated end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    /// Reads some more bytes; false at the end.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut part = [0; 65536];
        loop {
            match self.stream.read(&mut part) {
                Ok(0) => return Ok(false),
                Ok(read) => {
                    self.buffer.extend_from_slice(&part[..read]);
                    return Ok(true);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill().ok()? {
                return None;
            }
        }
    }

    /// Reads a head; `None` if the connection ends before.
    pub fn head(&mut self) -> Option<Message> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        Some(Message {
            first,
            headers,
            body: Vec::new(),
            is_whole: false,
        })
    }

    fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill().ok()? {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    /// The next chunk; empty at the end of the body, `None` if the connection ends before.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        let content = self.take(size)?;
        self.line()?;
        Some(content)
    }

    /// Reads a whole message; `None` if the connection ends before its head is complete.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if chunked {
            while let Some(chunk) = self.chunk() {
                if chunk.is_empty() {
                    message.is_whole = true;
                    break;
                }
                message.body.extend(chunk);
            }
        } else {
            let length = message.header("content-length").map(str::to_owned);
            let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
            if let Some(body) = self.take(length) {
                message.body = body;
                message.is_whole = true;
            }
        }
        Some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> bool {
        let mut answer = format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        answer.extend_from_slice(body);
        self.write(&answer)
    }
}

/// Whether the peer has closed its end; what it has sent meanwhile is left unread.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
