//! A small HTTP/1.1 implementation on blocking sockets, for stand-ins and clients.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub type Headers = BTreeMap<String, String>;

/// A request as a server received it.
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A socket with the bytes that were read beyond the last message.
pub struct Connection {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

fn broken(detail: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, detail.to_owned())
}

impl Connection {
    pub fn new(socket: TcpStream) -> Connection {
        let _ = socket.set_nodelay(true);
        Connection { socket, buffer: Vec::new() }
    }

    /// Connects within a second, as long as clients allow.
    pub fn open(to: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&to, Duration::from_secs(1))?))
    }

    /// Reads more bytes; returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 64 << 10];
        let count = self.socket.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count != 0)
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(broken("cut head")) };
            }
        }
    }

    /// Reads the first line and the headers of a message; `None` at the end of the connection.
    fn read_head(&mut self) -> io::Result<Option<(String, Headers)>> {
        let Some(first) = self.read_line()? else {
            return Ok(None);
        };
        let mut headers = Headers::new();
        loop {
            let line = self.read_line()?.ok_or_else(|| broken("cut head"))?;
            if line.is_empty() {
                return Ok(Some((first, headers)));
            }
            let (name, value) = line.split_once(':').ok_or_else(|| broken("malformed header"))?;
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(broken("the body ended early"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a chunk of a chunked body; an empty one is the last.
    fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?.ok_or_else(|| broken("the body ended early"))?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| broken("malformed chunk"))?;
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Ok(chunk)
    }

    /// Reads the next request; `None` at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.read_head()? else {
            return Ok(None);
        };
        let target = first.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        let query = pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        let path = path.to_owned();
        let body = if headers.get("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break body;
                }
                body.extend(chunk);
            }
        } else {
            let length = headers.get("content-length").map_or(Ok(0), |it| it.parse());
            self.read_exact(length.map_err(|_| broken("malformed length"))?)?
        };
        Ok(Some(Request { path, query, headers, body }))
    }

    /// Writes a whole response.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.socket.write_all(&bytes)
    }

    /// Writes the head of a chunked response.
    pub fn begin_chunks(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} Status\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.socket.write_all(head.as_bytes())
    }

    /// Writes a chunk; an empty one ends the body.
    pub fn write_chunk(&mut self, chunk: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
        self.socket.write_all(&bytes)
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.socket.set_nonblocking(true);
        let peeked = self.socket.peek(&mut [0; 1]);
        let _ = self.socket.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sends a request and reads the answer, both until `deadline`.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        deadline: Instant,
    ) -> Answer {
        let mut answer = Answer::default();
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        let result = self.socket.write_all(&bytes);
        answer.sent = Instant::now();
        answer.end = match result.and_then(|()| self.read_answer(&mut answer, deadline)) {
            Ok(()) => "complete".to_owned(),
            Err(error) if deadline <= Instant::now() => format!("left at the deadline: {error}"),
            Err(error) => format!("connection ended: {error}"),
        };
        answer.is_complete = answer.end == "complete";
        answer
    }

    fn read_answer(&mut self, answer: &mut Answer, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        self.socket.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let head = self.read_head()?;
        let (first, headers) = head.ok_or_else(|| broken("closed without an answer"))?;
        let status = first.split(' ').nth(1).and_then(|it| it.parse().ok());
        answer.status = status.ok_or_else(|| broken("malformed status"))?;
        answer.headers = headers;
        if answer.headers.get("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            loop {
                let left = deadline.saturating_duration_since(Instant::now());
                self.socket.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(());
                }
                answer.body.extend(chunk);
            }
        }
        let length = answer.headers.get("content-length").and_then(|it| it.parse().ok());
        answer.body = self.read_exact(length.ok_or_else(|| broken("no length"))?)?;
        Ok(())
    }
}

/// What a client got.
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub end: String,
    pub sent: Instant,
}

impl Default for Answer {
    fn default() -> Answer {
        Answer {
            status: 0,
            headers: Headers::new(),
            body: Vec::new(),
            is_complete: false,
            end: String::new(),
            sent: Instant::now(),
        }
    }
}

impl Answer {
    /// Returns the number of whole events in the body of a stream.
    pub fn events(&self) -> u64 {
        self.body.windows(2).filter(|it| *it == b"\n\n").count() as u64
    }

    /// Returns the delay that the answer names before the next try.
    pub fn retry_after(&self) -> Duration {
        let seconds = self.headers.get("retry-after").and_then(|it| it.parse().ok());
        Duration::from_secs_f64(seconds.unwrap_or(0.2_f64).clamp(0.0, 5.0))
    }
}
