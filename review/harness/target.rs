//! Stand-ins of servers: they register in the store, run requests, and note what they ran.

use std::{
    collections::BTreeSet,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Connection, Request},
    record::Record,
    store::Store,
};

/// The time between two reports of a server to the store, `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How a server handles a request: it sends its first event after `first`, and the others with pauses of
/// `gap`.
#[derive(Clone, Copy)]
pub struct Work {
    pub first: Duration,
    pub gap: Duration,
    pub events: u64,
}

type Planner = dyn Fn(&Request) -> Work + Send + Sync;

/// The servers of a deployment; clones share their notes.
#[derive(Clone)]
pub struct Servers {
    /// The attempts that were run.
    runs: Arc<Mutex<BTreeSet<String>>>,
    record: Record,
    planner: Arc<Planner>,
}

impl Servers {
    /// Returns a group of servers; `planner` tells how a request is handled.
    pub fn new<F>(record: &Record, planner: F) -> Servers
    where
        F: Fn(&Request) -> Work + Send + Sync + 'static,
    {
        Servers { runs: Arc::default(), record: record.clone(), planner: Arc::new(planner) }
    }

    /// Returns the attempts that were run so far.
    pub fn runs(&self) -> BTreeSet<String> {
        self.runs.lock().unwrap().clone()
    }

    /// Starts a server of a service and registers it.
    pub fn start(&self, store: &Store, service: &str, name: &str, capacity: u32) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (servers, own_name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (servers, name) = (servers.clone(), own_name.clone());
                thread::spawn(move || servers.serve(&name, Connection::new(socket)));
            }
        });
        let (store, service, name) = (store.clone(), service.to_owned(), name.to_owned());
        thread::spawn(move || report(&store, &service, &name, address, capacity));
    }

    fn serve(&self, name: &str, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request() {
            let header = |it: &str| request.headers.get(it).cloned().unwrap_or_default();
            if request.path == "/healthz" {
                if connection.respond(200, &[("Instance-Id", name)], b"").is_err() {
                    return;
                }
                continue;
            }
            if header("expect-instance") != name {
                if connection.respond(421, &[("Instance-Id", name)], b"").is_err() {
                    return;
                }
                continue;
            }
            if !self.run(name, &mut connection, &request) {
                return;
            }
        }
    }

    /// Runs a request; returns whether the connection can be used again.
    fn run(&self, name: &str, connection: &mut Connection, request: &Request) -> bool {
        let header = |it: &str| request.headers.get(it).cloned().unwrap_or_default();
        let attempt = header("attempt-id");
        let after = header("last-event-id").parse().unwrap_or(0);
        let work = (self.planner)(request);
        self.runs.lock().unwrap().insert(attempt.clone());
        let deadline = header("deadline-ms");
        self.record.line(format!(
            "run    {attempt} at {name} path {} body {} after-event {after} deadline-ms {deadline}",
            request.path,
            request.body.len()
        ));
        let is_done = answer(connection, &attempt, after, work);
        let end = if is_done { "done" } else { "the caller closed the connection" };
        self.record.line(format!("run    {attempt} at {name} ended: {end}"));
        is_done
    }
}

/// Waits while a request is worked on; returns false if the caller closes the connection.
fn wait(connection: &Connection, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(Duration::from_millis(10)));
        if connection.is_closed() {
            return false;
        }
    }
}

/// Works on a request and answers it; returns false if the caller closes the connection first.
fn answer(connection: &mut Connection, attempt: &str, after: u64, work: Work) -> bool {
    let headers = [
        ("Attempt-Id", attempt),
        ("Response-Seal", "seal"),
        ("Content-Type", "text/event-stream"),
        ("Weight-Versions", "1"),
    ];
    let event = |number: u64| format!("id: {number}\ndata: {attempt}-{number}\n\n").into_bytes();
    if !wait(connection, work.first) || connection.begin_chunks(200, &headers).is_err() {
        return false;
    }
    for number in after + 1..=work.events {
        if number != after + 1 && !wait(connection, work.gap) {
            return false;
        }
        if connection.write_chunk(&event(number)).is_err() {
            return false;
        }
    }
    connection.write_chunk(b"").is_ok()
}

/// Writes a server's entry to the store, again and again.
fn report(store: &Store, service: &str, name: &str, address: SocketAddr, capacity: u32) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis());
    for seq in 1_u64.. {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
             \"version\":\"v1\",\"capacity\":{capacity},\"state\":\"ready\",\"cold_left_ms\":0,\
             \"seq\":{seq},\"born\":{born}}}"
        );
        store.put("keyed.servers", name, &entry);
        thread::sleep(HEARTBEAT);
    }
}
