//! A stand-in of the platform's store, as PROTOCOL.md describes it: partitioned logs with fencing, and
//! keyed topics. It loses nothing, and answers within a few milliseconds.

use std::{
    collections::{BTreeMap, VecDeque},
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Request, read_request, write_response};

/// The most bytes of the records of one call, as DEPLOY.md has it (`call_bytes`).
pub const CALL_BYTES: usize = 2_097_152;

/// The most bytes of one record (`record_bytes`).
pub const RECORD_BYTES: usize = 262_144;

/// The bytes from which on appends receive 507, as PROTOCOL.md has it.
const TOTAL_BYTES: usize = 400 << 20;

/// The time that an append takes (`append_ms`).
const APPEND_TIME: Duration = Duration::from_millis(2);

/// The number of records on a page of the newest ones.
const PAGE: usize = 500;

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// The last appends, with their offsets.
    recent: VecDeque<(u64, u64)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Arc<Vec<u8>>>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct State {
    partitions: BTreeMap<(String, u32), Partition>,
    bytes: usize,
    /// Appends that were rejected, by status.
    rejected: BTreeMap<u16, usize>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> (Store, SocketAddr) {
        let store = Store::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let served = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(socket));
            }
        });
        (store, address)
    }

    /// Writes a value as the operator or a server does; `None` removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or_default());
        let mut state = self.0.0.lock().unwrap();
        state.append((topic.to_owned(), 0), vec![record]);
        self.0.1.notify_all();
    }

    /// Returns the rejected appends, by status.
    pub fn rejected(&self) -> BTreeMap<u16, usize> {
        self.0.0.lock().unwrap().rejected.clone()
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut reader = BufReader::with_capacity(64 << 10, socket);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&request, reader.get_mut()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, socket: &mut TcpStream) -> io::Result<()> {
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().ok();
        let key = (text("topic"), number("part").unwrap_or(0) as u32);
        match request.path.as_str() {
            "/v1/log-append" => {
                thread::sleep(APPEND_TIME);
                let (status, body) = self.append(request, key, &text, &number);
                write_response(socket, status, JSON, body.as_bytes())
            }
            "/v1/log-read" => {
                let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                let body = self.read(&key, number("from").unwrap_or(0), max, wait);
                write_response(socket, "200 OK", "", &body)
            }
            "/v1/log-newest" => {
                let body = self.newest(&key, text("after").as_bytes());
                write_response(socket, "200 OK", JSON, body.as_bytes())
            }
            _ => write_response(socket, "404 Not Found", "", b""),
        }
    }

    fn append(
        &self,
        request: &Request,
        key: (String, u32),
        text: &dyn Fn(&str) -> String,
        number: &dyn Fn(&str) -> Option<u64>,
    ) -> (&'static str, String) {
        let mut state = self.0.0.lock().unwrap();
        let reject = |state: &mut State, status: &'static str, body: &str| {
            let code = status[..3].parse().unwrap_or(0);
            *state.rejected.entry(code).or_default() += 1;
            (status, body.to_owned())
        };
        if key.0 == "keyed.op" || key.0 == "keyed.servers" {
            return reject(&mut state, "403 Forbidden", "{}");
        }
        let Some(records) = split_records(&request.body) else {
            return reject(&mut state, "400 Bad Request", "{}");
        };
        let size: usize = records.iter().map(Vec::len).sum();
        if CALL_BYTES < size || records.iter().any(|it| RECORD_BYTES < it.len()) {
            return reject(&mut state, "413 Content Too Large", "{}");
        }
        if TOTAL_BYTES <= state.bytes {
            return reject(&mut state, "507 Insufficient Storage", "{}");
        }
        let partition = state.partitions.entry(key.clone()).or_default();
        let end = partition.records.len() as u64;
        if number("at").is_some_and(|it| it != end) {
            let body = format!("{{\"end_offset\":{end}}}");
            return reject(&mut state, "412 Precondition Failed", &body);
        }
        if let Some(epoch) = number("epoch") {
            let producer = partition.producers.entry(text("producer")).or_default();
            if epoch < producer.epoch {
                return reject(&mut state, "409 Conflict", "{\"why\":\"fenced\"}");
            }
            if producer.epoch < epoch {
                *producer = Producer { epoch, recent: VecDeque::new() };
            }
            if let Some(sequence) = number("seq") {
                if let Some((_, offset)) = producer.recent.iter().find(|it| it.0 == sequence) {
                    return ("200 OK", offsets(*offset, end));
                }
                let last = producer.recent.back().map(|it| it.0);
                if last.is_some_and(|it| sequence != it + 1) {
                    let expected = last.unwrap_or(0) + 1;
                    let body = format!("{{\"why\":\"seq\",\"seq\":{expected}}}");
                    return reject(&mut state, "409 Conflict", &body);
                }
                producer.recent.push_back((sequence, end));
                if 5 < producer.recent.len() {
                    producer.recent.pop_front();
                }
            }
        }
        let end_after = end + records.len() as u64;
        state.append(key, records);
        self.0.1.notify_all();
        ("200 OK", offsets(end, end_after))
    }

    fn read(&self, key: &(String, u32), from: u64, max: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let end = state.partitions.get(key).map_or(0, |it| it.records.len() as u64);
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                if let Some(partition) = state.partitions.get(key) {
                    for record in partition.records.iter().skip(from as usize) {
                        if 16 < body.len() && max < body.len() + record.len() {
                            break;
                        }
                        body.extend((record.len() as u32).to_be_bytes());
                        body.extend_from_slice(record);
                    }
                }
                return body;
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, key: &(String, u32), after: &[u8]) -> String {
        let state = self.0.0.lock().unwrap();
        let empty = Partition::default();
        let partition = state.partitions.get(key).unwrap_or(&empty);
        let later: Vec<_> = partition.newest.iter().filter(|it| after < it.0.as_slice()).collect();
        let item = |(key, (value, offset)): &(&Vec<u8>, &(Vec<u8>, u64))| {
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        };
        let items: Vec<String> = later.iter().take(PAGE).map(item).collect();
        let (items, has_more) = (items.join(","), PAGE < later.len());
        let end = partition.records.len();
        format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end_offset\":{end}}}")
    }
}

const JSON: &str = "Content-Type: application/json\r\n";

fn offsets(offset: u64, end: u64) -> String {
    format!("{{\"offset\":{offset},\"end_offset\":{end}}}")
}

impl State {
    fn append(&mut self, key: (String, u32), records: Vec<Vec<u8>>) {
        let is_keyed = key.0.starts_with("keyed.");
        let partition = self.partitions.entry(key).or_default();
        for record in records {
            self.bytes += record.len();
            let offset = partition.records.len() as u64;
            if is_keyed && let Some((length, rest)) = record.split_first() {
                let (name, value) = rest.split_at(usize::from(*length).min(rest.len()));
                if value.is_empty() {
                    partition.newest.remove(name);
                } else {
                    partition.newest.insert(name.to_vec(), (value.to_vec(), offset));
                }
            }
            partition.records.push(Arc::new(record));
        }
    }
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        records.push(rest.get(..length)?.to_vec());
        body = &rest[length..];
    }
    body.is_empty().then_some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |it: usize| u32::from(group.get(it).copied().unwrap_or(0));
        let number = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) & 63;
            text.push(if digit <= group.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
