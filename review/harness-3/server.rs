//! A stand-in of the platform's servers: model servers that send streams of events, and plain ones.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, read_request, write_response},
    record::Record,
    store::Store,
};

/// The interval of the servers' reports to the store (`heartbeat_ms`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The pause between two looks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// How the answers of a server look.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// The events of a stream; a plain answer if zero.
    pub events: u64,
    /// The pause before each event.
    pub pause: Duration,
    /// Whether answers have neither a length nor chunks, and end with their connection.
    pub is_unframed: bool,
}

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
}

struct Inner {
    name: String,
    service: String,
    address: SocketAddr,
    behaviour: Behaviour,
    runs: Mutex<Vec<Run>>,
    sequence: AtomicU64,
    born: u128,
    is_draining: AtomicBool,
    is_gone: AtomicBool,
    /// The open connections, which end with the server.
    sockets: Mutex<Vec<TcpStream>>,
    record: Record,
}

#[derive(Clone)]
pub struct Server(Arc<Inner>);

/// Returns the data of one event of a request's stream.
pub fn event_data(id: &str, number: u64) -> String {
    format!("{id}-{number:04}-{}", "x".repeat(100))
}

/// Returns the bytes of one event of a request's stream.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {}\n\n", event_data(id, number))
}

/// Returns the body of a plain answer.
pub fn plain_body(server: &str, id: &str) -> String {
    format!("{server} answers {id}")
}

impl Server {
    /// Starts a server on a free port, and reports it to the store.
    pub fn start(
        name: &str,
        service: &str,
        behaviour: Behaviour,
        store: &Store,
        record: &Record,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Server(Arc::new(Inner {
            name: name.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            behaviour,
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            born: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis()),
            is_draining: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            sockets: Mutex::default(),
            record: record.clone(),
        }));
        listener.set_nonblocking(true).expect("a listener that can be closed");
        let served = server.clone();
        thread::spawn(move || served.accept(&listener));
        server.report(store);
        let (reporting, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            while !reporting.0.is_gone.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                if !reporting.0.is_gone.load(Ordering::Relaxed) {
                    reporting.report(&store);
                }
            }
        });
        server
    }

    fn report(&self, store: &Store) {
        let Inner { name, service, address, sequence, born, .. } = &*self.0;
        let sequence = sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.0.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"lis-a\",\
             \"version\":\"v1\",\"capacity\":24,\"state\":\"{state}\",\"cold_left_ms\":0,\
             \"seq\":{sequence},\"born\":{born}}}"
        );
        store.put("keyed.servers", name, Some(value.as_bytes()));
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Accepts connections until the server is gone, which closes the listener.
    fn accept(&self, listener: &TcpListener) {
        while !self.0.is_gone.load(Ordering::Relaxed) {
            let Ok((socket, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let _ = socket.set_nonblocking(false);
            let server = self.clone();
            thread::spawn(move || server.serve(socket));
        }
    }

    /// Reports that the server is draining, and makes it exit `after` that.
    pub fn drain(&self, store: &Store, after: Duration) {
        self.0.is_draining.store(true, Ordering::Relaxed);
        self.report(store);
        self.0.record.line(&format!("{} reports draining", self.0.name));
        let (server, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(after);
            server.exit();
            store.put("keyed.servers", &server.0.name, None);
        });
    }

    /// Does what the end of a process does: closes the listener, and then all connections.
    fn exit(&self) {
        self.0.is_gone.store(true, Ordering::Relaxed);
        thread::sleep(2 * ACCEPT_PAUSE);
        for socket in self.0.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        self.0.record.line(&format!("{} exits", self.0.name));
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        self.0.sockets.lock().unwrap().extend(socket.try_clone());
        let mut reader = BufReader::with_capacity(64 << 10, socket);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&request, reader.get_mut()).is_err() || self.0.behaviour.is_unframed {
                break;
            }
        }
        // The list of open connections holds the socket, too.
        let _ = reader.get_mut().shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &Request, socket: &mut TcpStream) -> io::Result<()> {
        let Inner { name, behaviour, .. } = &*self.0;
        let id = request.head.get("attempt-id").to_owned();
        if request.head.get("expect-instance") != name.as_str() {
            let headers = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
            return write_response(socket, "421 Misdirected Request", &headers, b"");
        }
        let run = Run { id: id.clone() };
        self.0.record.line(&format!("run {id} at {name} {}", request.path));
        self.0.runs.lock().unwrap().push(run);
        let headers = format!("Attempt-Id: {id}\r\nResponse-Seal: seal-{id}\r\n");
        if behaviour.events == 0 {
            thread::sleep(behaviour.pause);
            return write_response(socket, "200 OK", &headers, plain_body(name, &id).as_bytes());
        }
        let framing = if behaviour.is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
        let head =
            format!("HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n{framing}\r\n");
        socket.write_all(head.as_bytes())?;
        let after: u64 = request.head.get("last-event-id").parse().unwrap_or(0);
        for number in after + 1..=behaviour.events {
            thread::sleep(behaviour.pause);
            let event = event(&id, number);
            let bytes = if behaviour.is_unframed {
                event
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            socket.write_all(bytes.as_bytes())?;
        }
        if !behaviour.is_unframed {
            socket.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}
