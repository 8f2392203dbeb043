//! The parts of HTTP/1.1 that the stand-ins need: heads, bodies with a length or in chunks, and queries.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, by its name in lower case; empty if it is missing.
    pub fn get(&self, name: &str) -> &str {
        self.headers.iter().find(|it| it.0 == name).map_or("", |it| it.1.as_str())
    }

    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|it| it.0 == name)
    }
}

/// A request as a server has read it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The path without its query.
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.start_line.is_empty() { Ok(None) } else { Err(ended()) };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.start_line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.start_line.is_empty() {
            head.start_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads one chunk of a chunked body; empty for the last one.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ended());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::other("no chunk size"))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a request with its whole body; `None` if the connection ends before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(head) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = head.start_line.split(' ');
    let target = words.nth(1).unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |it: &str| {
        let (name, value) = it.split_once('=').unwrap_or((it, ""));
        (name.to_owned(), value.to_owned())
    };
    let query = query.split('&').filter(|it| !it.is_empty()).map(pair).collect();
    let path = path.to_owned();
    let mut body = Vec::new();
    if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else {
        body = vec![0; head.get("content-length").parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { path, query, head, body }))
}

/// Writes a response with a length.
pub fn write_response(
    socket: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status; zero without an answer.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer ended as HTTP/1.1 says.
    pub is_complete: bool,
    /// Why there is no complete answer.
    pub error: String,
    pub millis: u128,
}

impl Answer {
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.is_complete
    }
}

/// A client's connection, which is kept.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        Ok(Client { reader: BufReader::with_capacity(64 << 10, socket) })
    }

    /// Sends a request and reads its whole answer, for `limit` at most.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        limit: Duration,
    ) -> Answer {
        let started = Instant::now();
        let mut answer = Answer::default();
        if let Err(error) = self.exchange(method, path, headers, body, limit, &mut answer) {
            answer.error = error.to_string();
        }
        answer.millis = started.elapsed().as_millis();
        answer
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        limit: Duration,
        answer: &mut Answer,
    ) -> io::Result<()> {
        let socket = self.reader.get_mut();
        socket.set_read_timeout(Some(limit))?;
        socket.set_write_timeout(Some(limit))?;
        let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
        bytes.extend_from_slice(body);
        socket.write_all(&bytes)?;
        answer.head = read_head(&mut self.reader)?.ok_or_else(ended)?;
        let status = answer.head.start_line.split(' ').nth(1).unwrap_or("");
        answer.status = status.parse().map_err(io::Error::other)?;
        if answer.head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let chunk = read_chunk(&mut self.reader)?;
                if chunk.is_empty() {
                    break;
                }
                answer.body.extend(chunk);
            }
        } else if answer.head.has("content-length") {
            let mut body = vec![0; answer.head.get("content-length").parse().unwrap_or(0)];
            self.reader.read_exact(&mut body)?;
            answer.body = body;
        } else {
            self.reader.read_to_end(&mut answer.body)?;
        }
        answer.is_complete = true;
        Ok(())
    }
}

/// Sends one request on a connection of its own.
pub fn send_once(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    match Client::connect(address) {
        Ok(mut client) => client.send(method, path, headers, body, limit),
        Err(error) => Answer { error: format!("not connected: {error}"), ..Answer::default() },
    }
}
