//! HTTP/1.1 on blocking sockets: what the stand-ins need of it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| decode(value))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let header = |name: &str| headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str());
    let mut body = Vec::new();
    if header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A whole answer with a JSON body.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Serves one connection's requests in turn; returns whether to keep the connection.
pub type Handler = dyn Fn(&mut TcpStream, Request, &mut Option<Vec<u8>>) -> io::Result<bool> + Send + Sync;

/// A listener whose process may end: all connections close, new ones are refused.
pub struct Server {
    pub address: SocketAddr,
    dead: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Arc<Handler>) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (dead, open) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (is_dead, streams) = (Arc::clone(&dead), Arc::clone(&open));
        thread::spawn(move || {
            while !is_dead.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_micros(500));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(kept) = stream.try_clone() else { continue };
                streams.lock().unwrap().push(kept);
                let (handler, is_dead) = (Arc::clone(&handler), Arc::clone(&is_dead));
                thread::spawn(move || {
                    let _ = serve(stream, &*handler, &is_dead);
                });
            }
        });
        Ok(Server { address, dead, open })
    }

    /// Ends the process of this server.
    pub fn kill(&self) {
        self.dead.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, is_dead: &AtomicBool) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    // Bytes that a faulty server sends where the next answer is expected.
    let mut late = None;
    while let Some((first, headers)) = read_head(&mut reader)? {
        if is_dead.load(Ordering::SeqCst) {
            break;
        }
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        let body = read_body(&mut reader, &headers)?;
        let request = Request { method, path, query, headers, body };
        if let Some(bytes) = late.take() {
            let bytes: Vec<u8> = bytes;
            stream.write_all(&bytes)?;
        }
        if !handler(&mut stream, request, &mut late)? {
            break;
        }
    }
    stream.shutdown(std::net::Shutdown::Both)
}
