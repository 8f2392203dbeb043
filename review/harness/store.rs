//! A stand-in of the platform's store: the log as `PROTOCOL.md` describes it, with its limits.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Request};

const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const PART_BYTES: usize = 200_000_000;
const TOTAL_BYTES: usize = 400_000_000;
/// The time that each append takes.
const APPEND_TIME: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// The sequence numbers, offsets and ends of the last five appends.
    last: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    bytes: usize,
    producers: BTreeMap<String, Producer>,
    /// The newest record of each key, for keyed topics.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        if let Some((_, record)) = self.records.pop_front() {
            self.bytes -= record.len();
            self.first += 1;
        }
    }
}

#[derive(Default)]
struct State {
    partitions: BTreeMap<(String, u32), Partition>,
    rejected_full: u64,
}

impl State {
    fn stored_bytes(&self) -> usize {
        self.partitions.values().map(|it| it.bytes).sum()
    }
}

/// The store; clones share its content.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    retention: Duration,
    pub address: SocketAddr,
}

fn error(status: u16, text: &str) -> (u16, Vec<u8>) {
    (status, text.as_bytes().to_vec())
}

impl Store {
    pub fn start(retention: Duration) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let store = Store { state: Arc::default(), retention, address };
        let server = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(socket);
                    while let Ok(Some(request)) = connection.read_request() {
                        let (status, body) = store.handle(&request);
                        if connection.respond(status, &[], &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let cleaner = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                cleaner.expire();
            }
        });
        store
    }

    /// Returns the stored bytes and the number of appends that were rejected with 507.
    pub fn usage(&self) -> (usize, u64) {
        let state = self.state.0.lock().unwrap();
        (state.stored_bytes(), state.rejected_full)
    }

    /// Writes a keyed record, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.0.lock().unwrap();
        append(&mut state, topic, 0, vec![record]);
        self.state.1.notify_all();
    }

    /// Drops the records that are older than the retention, or beyond the size of a partition.
    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        for partition in state.partitions.values_mut() {
            while partition.records.front().is_some_and(|(at, _)| self.retention <= at.elapsed())
                || PART_BYTES < partition.bytes
            {
                partition.drop_oldest();
            }
        }
    }

    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| request.query.get(name).and_then(|it| it.parse::<u64>().ok());
        let key = (text("topic"), number("part").unwrap_or(0) as u32);
        match request.path.as_str() {
            "/v1/log-append" => {
                thread::sleep(APPEND_TIME);
                self.handle_append(request, &key)
            }
            "/v1/log-read" => {
                let from = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
                self.handle_read(&key, from, wait, max)
            }
            "/v1/log-newest" => self.handle_newest(&key, &text("after")),
            "/v1/log-trim" => {
                let before = number("before").unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                let partition = state.partitions.entry(key).or_default();
                while partition.first < before && !partition.records.is_empty() {
                    partition.drop_oldest();
                }
                (200, b"{}".to_vec())
            }
            _ => error(404, "unknown call"),
        }
    }

    fn handle_append(&self, request: &Request, key: &(String, u32)) -> (u16, Vec<u8>) {
        let number = |name: &str| request.query.get(name).and_then(|it| it.parse::<u64>().ok());
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while !rest.is_empty() {
            let Some((prefix, tail)) = rest.split_first_chunk::<4>() else {
                return error(400, "malformed record");
            };
            let length = u32::from_be_bytes(*prefix) as usize;
            if tail.len() < length || RECORD_BYTES < length {
                return error(400, "malformed or too large record");
            }
            records.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        let bytes: usize = records.iter().map(Vec::len).sum();
        if CALL_BYTES < bytes {
            return error(413, "the records of the call are too large");
        }
        if matches!(key.0.as_str(), "keyed.op" | "keyed.servers") {
            return error(403, "the system may not write here");
        }
        let mut state = self.state.0.lock().unwrap();
        if TOTAL_BYTES <= state.stored_bytes() {
            state.rejected_full += 1;
            return error(507, "{}");
        }
        let partition = state.partitions.entry(key.clone()).or_default();
        if number("at").is_some_and(|it| it != partition.end()) {
            return (412, format!("{{\"end_offset\":{}}}", partition.end()).into_bytes());
        }
        let (offset, end) = (partition.end(), partition.end() + records.len() as u64);
        if let (Some(name), Some(epoch)) = (request.query.get("producer"), number("epoch")) {
            let producer = partition.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return error(409, "{\"why\":\"fenced\"}");
            }
            if producer.epoch < epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            if let Some(seq) = number("seq") {
                if let Some((_, first, last)) = producer.last.iter().find(|it| it.0 == seq) {
                    let body = format!("{{\"offset\":{first},\"end_offset\":{last}}}");
                    return (200, body.into_bytes());
                }
                let expected = producer.last.back().map(|it| it.0 + 1);
                if let Some(expected) = expected.filter(|it| *it != seq) {
                    let body = format!("{{\"why\":\"seq\",\"seq\":{expected}}}");
                    return (409, body.into_bytes());
                }
                producer.last.push_back((seq, offset, end));
                if 5 < producer.last.len() {
                    producer.last.pop_front();
                }
            }
        }
        append(&mut state, &key.0, key.1, records);
        self.state.1.notify_all();
        (200, format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes())
    }

    fn handle_read(
        &self,
        key: &(String, u32),
        from: u64,
        wait: Duration,
        max: usize,
    ) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let partition = state.partitions.entry(key.clone()).or_default();
            if from < partition.first {
                return (410, format!("{{\"first\":{}}}", partition.first).into_bytes());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < partition.end() || left.is_zero() {
                let mut body = partition.end().to_be_bytes().to_vec();
                body.extend(partition.first.to_be_bytes());
                let skipped = (from - partition.first) as usize;
                for (_, record) in partition.records.iter().skip(skipped) {
                    if 16 < body.len() && max < body.len() + record.len() {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn handle_newest(&self, key: &(String, u32), after: &str) -> (u16, Vec<u8>) {
        let mut state = self.state.0.lock().unwrap();
        let partition = state.partitions.entry(key.clone()).or_default();
        let later: Vec<_> =
            partition.newest.iter().filter(|(name, _)| after < name.as_str()).collect();
        let items: Vec<String> = later
            .iter()
            .take(500)
            .map(|(name, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{name}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let has_more = 500 < later.len();
        let (items, end) = (items.join(","), partition.end());
        let body = format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end_offset\":{end}}}");
        (200, body.into_bytes())
    }
}

fn append(state: &mut State, topic: &str, part: u32, records: Vec<Vec<u8>>) {
    let partition = state.partitions.entry((topic.to_owned(), part)).or_default();
    for record in records {
        if topic.starts_with("keyed.") && !record.is_empty() {
            let length = usize::from(record[0]) + 1;
            let key = String::from_utf8_lossy(&record[1..length]).into_owned();
            match &record[length..] {
                [] => drop(partition.newest.remove(&key)),
                value => {
                    let offset = partition.end();
                    partition.newest.insert(key, (offset, value.to_vec()));
                }
            }
        }
        partition.bytes += record.len();
        partition.records.push_back((Instant::now(), record));
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0_u32, |sum, it| sum << 8 | u32::from(*it))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
