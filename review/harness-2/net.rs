//! A small HTTP/1.1 reader and writer over blocking sockets, for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, it)| it.as_str())
}

#[derive(Debug)]
pub struct Request {
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }
}

fn other(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line<R: BufRead>(reader: &mut R) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(other("the connection ended inside a line"));
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn read_headers<R: BufRead>(reader: &mut R) -> io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| other("the connection ended inside a head"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| other("a header has no colon"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body that is sent in chunks; `each` gets its parts as they arrive.
fn read_chunks<R: BufRead>(reader: &mut R, mut each: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or_else(|| other("the connection ended inside a body"))?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| other("a chunk has no size"))?;
        let mut data = vec![0; size];
        reader.read_exact(&mut data)?;
        if size == 0 {
            while read_line(reader)?.is_some_and(|it| !it.is_empty()) {}
            return Ok(());
        }
        each(&data);
        read_line(reader)?;
    }
}

/// Reads the next request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, |it| body.extend_from_slice(it))?;
    } else if let Some(length) = header(&headers, "content-length") {
        body = vec![0; length.parse().map_err(|_| other("the length is malformed"))?];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { target, headers, body }))
}

pub fn write_response(
    socket: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)?;
    socket.flush()
}

/// An answer as a client got it.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the answer ended as HTTP says that it should.
    pub is_whole: bool,
    pub error: String,
}

/// One connection of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Client> {
        let socket = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(timeout))?;
        socket.set_write_timeout(Some(timeout))?;
        Ok(Client { reader: BufReader::new(socket) })
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" || !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let socket = self.reader.get_mut();
        socket.write_all(head.as_bytes())?;
        socket.write_all(body)?;
        socket.flush()
    }

    /// Reads an answer to its end, or as far as it comes.
    pub fn receive(&mut self) -> Answer {
        let mut answer = Answer::default();
        match self.receive_into(&mut answer) {
            Ok(()) => answer.is_whole = true,
            Err(error) => answer.error = error.to_string(),
        }
        answer
    }

    fn receive_into(&mut self, answer: &mut Answer) -> io::Result<()> {
        let reader = &mut self.reader;
        let line = read_line(reader)?.ok_or_else(|| other("closed without an answer"))?;
        let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
        answer.status = status.ok_or_else(|| other("the status is malformed"))?;
        answer.headers = read_headers(reader)?;
        if header(&answer.headers, "transfer-encoding").is_some() {
            let body = &mut answer.body;
            return read_chunks(reader, |it| body.extend_from_slice(it));
        }
        if let Some(length) = header(&answer.headers, "content-length") {
            let mut left: usize = length.parse().map_err(|_| other("the length is malformed"))?;
            let mut part = vec![0; 64 << 10];
            while left != 0 {
                let most = left.min(part.len());
                let count = reader.read(&mut part[..most])?;
                if count == 0 {
                    return Err(other("the connection ended inside a body"));
                }
                answer.body.extend_from_slice(&part[..count]);
                left -= count;
            }
            return Ok(());
        }
        reader.read_to_end(&mut answer.body)?;
        Ok(())
    }
}
