//! A stand-in of the platform's store, as the pages describe it: a log with partitions, fencing, keyed
//! topics, expiry by age, and the limits of a call.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::net::{read_request, write_response, Request};

pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
const STORE_BYTES: usize = 400 << 20;
/// The example of the pages: a partition that holds more drops its oldest records.
const PART_BYTES: usize = 200_000_000;

#[derive(Default)]
struct Part {
    first: u64,
    bytes: usize,
    records: Vec<(Instant, Arc<Vec<u8>>)>,
    /// Of each producer: its epoch, the next sequence number, and the last five appends.
    producers: BTreeMap<String, (u64, Option<u64>, Vec<(u64, u64, u64)>)>,
    newest: BTreeMap<Vec<u8>, (Arc<Vec<u8>>, u64)>,
}

impl Part {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
struct State {
    parts: BTreeMap<(String, u32), Part>,
    bytes: usize,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    retention: Duration,
    pub address: SocketAddr,
    /// How often a producer with a higher epoch took over a partition.
    pub takeovers: AtomicUsize,
    /// Appends that were refused for their size.
    pub oversized: Mutex<Vec<usize>>,
}

impl Store {
    pub fn start(address: SocketAddr, retention: Duration) -> Arc<Store> {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            retention,
            address: listener.local_addr().unwrap(),
            takeovers: AtomicUsize::new(0),
            oversized: Mutex::default(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(socket));
            }
        });
        store
    }

    /// Writes a value of a keyed topic, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.state.lock().unwrap();
        push(&mut state, topic, 0, vec![record]);
        self.changed.notify_all();
    }

    /// Returns the bytes of records that the store holds.
    pub fn bytes(&self) -> usize {
        self.state.lock().unwrap().bytes
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut writer = socket.try_clone().unwrap();
        let mut reader = BufReader::new(socket);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.handle(&request);
            let kind = if body.first() == Some(&b'{') {
                "application/json"
            } else {
                "application/octet-stream"
            };
            if write_response(&mut writer, status, &[("Content-Type", kind)], &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let part: u32 = request.query("part").and_then(|it| it.parse().ok()).unwrap_or(0);
        let number = |name: &str| request.query(name).and_then(|it| it.parse::<u64>().ok());
        match request.path() {
            "/v1/log-append" => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return (403, b"{}".to_vec());
                }
                self.append(request, topic, part)
            }
            "/v1/log-read" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
                self.read(&topic, part, number("from").unwrap_or(0), max, wait)
            }
            "/v1/log-newest" => self.newest(&topic, part, request.query("after")),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn append(&self, request: &Request, topic: String, index: u32) -> (u16, Vec<u8>) {
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        let mut bytes = 0;
        while !rest.is_empty() {
            let Some((length, tail)) = rest.split_first_chunk::<4>() else {
                return (400, b"{}".to_vec());
            };
            let length = u32::from_be_bytes(*length) as usize;
            if tail.len() < length {
                return (400, b"{}".to_vec());
            }
            let (record, tail) = tail.split_at(length);
            bytes += length;
            if RECORD_BYTES < length || CALL_BYTES < bytes {
                self.oversized.lock().unwrap().push(request.body.len());
                return (413, b"{\"error\":\"the records of one call are too large\"}".to_vec());
            }
            records.push(record.to_vec());
            rest = tail;
        }
        // Each append takes 2 ms, and a partition 50 ms for 1 MB.
        thread::sleep(Duration::from_micros(2_000 + bytes as u64 / 20));
        let mut state = self.state.lock().unwrap();
        expire(&mut state, self.retention);
        if STORE_BYTES < state.bytes + bytes {
            return (507, b"{}".to_vec());
        }
        let count = records.len() as u64;
        let part = state.parts.entry((topic.clone(), index)).or_default();
        let (offset, end) = (part.end(), part.end() + count);
        if let Some(producer) = request.query("producer") {
            let epoch = request.query("epoch").and_then(|it| it.parse().ok()).unwrap_or(0);
            let seq: Option<u64> = request.query("seq").and_then(|it| it.parse().ok());
            let known = part.producers.entry(producer.to_owned()).or_default();
            if epoch < known.0 {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if known.0 < epoch {
                *known = (epoch, None, Vec::new());
                self.takeovers.fetch_add(1, Ordering::Relaxed);
            }
            if let (Some(seq), true) = (seq, count != 0) {
                if let Some((_, offset, end)) = known.2.iter().find(|it| it.0 == seq) {
                    return (
                        200,
                        format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes(),
                    );
                }
                if let Some(expected) = known.1.filter(|it| *it != seq) {
                    return (409, format!("{{\"why\":\"seq\",\"seq\":{expected}}}").into_bytes());
                }
                known.1 = Some(seq + 1);
                known.2.push((seq, offset, end));
                if 5 < known.2.len() {
                    known.2.remove(0);
                }
            }
        }
        push(&mut state, &topic, index, records);
        self.changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes())
    }

    fn read(
        &self,
        topic: &str,
        index: u32,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            expire(&mut state, self.retention);
            if let Some(part) = state.parts.get(&(topic.to_owned(), index)) {
                if from < part.first {
                    return (410, format!("{{\"first\":{}}}", part.first).into_bytes());
                }
                if from < part.end() || until <= Instant::now() {
                    let mut body = part.end().to_be_bytes().to_vec();
                    body.extend_from_slice(&part.first.to_be_bytes());
                    for (_, record) in part.records.iter().skip((from - part.first) as usize) {
                        if 16 < body.len() && max < body.len() + record.len() {
                            break;
                        }
                        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        body.extend_from_slice(record);
                    }
                    return (200, body);
                }
            } else if until <= Instant::now() {
                return (404, b"{}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            state =
                self.changed.wait_timeout(state, left.min(Duration::from_millis(500))).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, index: u32, after: Option<&str>) -> (u16, Vec<u8>) {
        let state = self.state.lock().unwrap();
        let Some(part) = state.parts.get(&(topic.to_owned(), index)) else {
            return (404, b"{}".to_vec());
        };
        let after = after.map(|it| it.replace("%2F", "/").into_bytes()).unwrap_or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (value, offset)) in part.newest.iter().filter(|(key, _)| after < **key) {
            if items.len() == 500 || 1 << 20 < bytes {
                has_more = true;
                break;
            }
            bytes += value.len();
            let (key, value) = (String::from_utf8_lossy(key), base64(value));
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let (items, end) = (items.join(","), part.end());
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end_offset\":{end}}}")
                .into_bytes(),
        )
    }
}

fn push(state: &mut State, topic: &str, index: u32, records: Vec<Vec<u8>>) {
    let part = state.parts.entry((topic.to_owned(), index)).or_default();
    for record in records {
        state.bytes += record.len();
        if topic.starts_with("keyed.") && !record.is_empty() {
            let length = usize::from(record[0]);
            let (key, value) = (record[1..1 + length].to_vec(), record[1 + length..].to_vec());
            let offset = part.end();
            if value.is_empty() {
                part.newest.remove(&key);
            } else {
                part.newest.insert(key, (Arc::new(value), offset));
            }
        }
        part.bytes += record.len();
        part.records.push((Instant::now(), Arc::new(record)));
    }
    let mut excess = part.bytes.saturating_sub(PART_BYTES);
    let old = part.records.iter().take_while(|it| {
        let is_excess = excess != 0;
        excess = excess.saturating_sub(it.1.len());
        is_excess
    });
    let old = old.count();
    let removed = drop_oldest(part, old);
    state.bytes -= removed;
}

/// Drops the oldest records of a partition, and returns their bytes.
fn drop_oldest(part: &mut Part, count: usize) -> usize {
    let removed = part.records.drain(..count).map(|it| it.1.len()).sum();
    part.first += count as u64;
    part.bytes -= removed;
    removed
}

fn expire(state: &mut State, retention: Duration) {
    for part in state.parts.values_mut() {
        let old = part.records.iter().take_while(|it| retention <= it.0.elapsed()).count();
        state.bytes -= drop_oldest(part, old);
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let all =
            chunk.iter().fold(0u32, |sum, it| sum << 8 | u32::from(*it)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let is_padding = chunk.len() < digit;
            let index = (all >> (18 - 6 * digit) & 63) as usize;
            text.push(if is_padding { '=' } else { DIGITS[index] as char });
        }
    }
    text
}
