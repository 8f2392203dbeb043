//! A real process on a loopback address with a fake store and target, and a crowd of callers before it.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use rosethread_standins::{
    FakeStore, FakeTarget, TargetBehaviour, registry_record, routing_document,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    runtime::Runtime,
    task::JoinSet,
    time::{sleep, timeout},
};

/// The largest body that the configuration allows, in bytes.
pub const BODY_BYTES: usize = 2 << 20;

/// The memory that the settings allow the process, in units of 2^20 bytes.
const MEMORY_MB: u64 = 64;

/// The descriptors that the settings allow the process.
const MAX_DESCRIPTORS: usize = 512;

/// The number of callers in a crowd.
const CALLERS: usize = 60;

/// The number of callers in a crowd that only connects.
pub const SILENT_CALLERS: usize = 600;

/// The receive buffer of callers who don't read, in bytes.
const SMALL_BUFFER: u32 = 4 << 10;

/// The most bytes of a head without end.
const HEAD_BYTES: usize = 1 << 20;

/// Ends a test that hangs.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The time without growth after which the peak of the process counts as reached.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// What each caller of a crowd does before it falls silent with its connection open.
#[derive(Clone, Copy, Debug)]
pub enum Manner {
    /// Announces a body, and sends part of it in pieces.
    Body { announced: usize, sent: usize, piece: usize },
    /// Sends chunks of `size` bytes, and no last one.
    Chunks { sent: usize, size: usize },
    /// Sends a head that doesn't end.
    Head,
    /// Says nothing.
    Silent,
    /// Waits for the start of a large answer, and doesn't read it.
    Unread,
    /// Sends this many requests one behind the other, and reads nothing.
    Pipeline { requests: usize },
}

/// The process under test, with what it needs.
pub struct Deployment {
    process: Child,
    folder: PathBuf,
    caller: SocketAddr,
    target: FakeTarget,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The process may have ended already, so errors don't matter here.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Runs a test against a process that has its routes and its target.
    pub fn run<F>(test: F)
    where
        F: AsyncFnOnce(&mut Deployment),
    {
        Runtime::new().unwrap().block_on(async {
            let store = FakeStore::default();
            let target = FakeTarget::start("t-1").await;
            store.put_keyed("keyed.op", "config", Some(document().as_bytes()));
            let record = registry_record(target.address, "ready", 1_000, 1);
            store.put_keyed("keyed.servers", &target.name, Some(&record));
            let endpoint = store.open_endpoint().await;
            test(&mut Deployment::start(endpoint.address, target).unwrap()).await;
        });
    }

    fn start(store: SocketAddr, target: FakeTarget) -> io::Result<Deployment> {
        let id = std::process::id();
        let ip = Ipv4Addr::new(127, 150 + (id % 50) as u8, (id / 50 % 250) as u8, 1);
        let folder = std::env::temp_dir().join(format!("rosethread-hostile-{id}"));
        fs::create_dir_all(&folder)?;
        let path = folder.join("settings.toml");
        fs::write(&path, settings(ip, store))?;
        let process = Command::new(env!("CARGO_BIN_EXE_rosethread"))
            .args(["--platform", "--log-format", "json", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(File::create(folder.join("log"))?)
            .spawn()?;
        Ok(Deployment { process, folder, caller: SocketAddr::new(ip.into(), 7400), target })
    }

    /// Sends an ordinary call with a body of `bytes` until it is answered.
    pub async fn expect_answer(&self, bytes: usize) {
        self.target.set_behaviour(TargetBehaviour::Respond);
        let answered = async {
            while !self.call(bytes).await.is_ok_and(|it| it.starts_with(b"HTTP/1.1 200 ")) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        let result = timeout(MAX_WAIT, answered).await;
        result.unwrap_or_else(|_| panic!("a call with a body of {bytes} bytes is not answered"));
    }

    async fn call(&self, bytes: usize) -> io::Result<Vec<u8>> {
        let mut socket = TcpStream::connect(self.caller).await?;
        let head = format!("{}connection: close\r\ncontent-length: {bytes}\r\n\r\n", head("call"));
        socket.write_all(head.as_bytes()).await?;
        socket.write_all(&vec![b'x'; bytes]).await?;
        let mut answer = Vec::new();
        socket.read_to_end(&mut answer).await?;
        Ok(answer)
    }

    /// Sends a crowd, waits until each of its callers has sent all or lost its connection, and returns the
    /// connections.
    pub async fn send_crowd(&self, manner: Manner) -> Vec<TcpStream> {
        if matches!(manner, Manner::Unread) {
            self.target.set_behaviour(TargetBehaviour::LargeBody(BODY_BYTES));
        }
        let count = if matches!(manner, Manner::Silent) { SILENT_CALLERS } else { CALLERS };
        let mut callers = JoinSet::new();
        let mut crowd = Vec::new();
        for number in 0..count {
            let socket = TcpSocket::new_v4().unwrap();
            if matches!(manner, Manner::Unread | Manner::Pipeline { .. }) {
                socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
            }
            // A caller that is turned away at once has had its turn.
            let Ok(mut socket) = socket.connect(self.caller).await else { continue };
            callers.spawn(async move {
                // The process may close the connection at any time, or stop reading.
                let _ = timeout(MAX_WAIT / 2, send(&mut socket, manner, number)).await;
                socket
            });
            // Those whose answers compete for memory come one after the other.
            if matches!(manner, Manner::Unread) {
                crowd.extend(callers.join_next().await.unwrap());
            }
        }
        crowd.extend(callers.join_all().await);
        self.wait_for_peak().await;
        crowd
    }

    /// Waits until the memory of the process has stopped growing.
    async fn wait_for_peak(&self) {
        let settled = async {
            let mut peak = 0;
            while peak < self.peak_kb() {
                peak = self.peak_kb();
                sleep(SETTLE_TIME).await;
            }
        };
        let _ = timeout(MAX_WAIT, settled).await;
    }

    /// Returns the largest memory of the process so far, in kB; zero once it has ended.
    fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        line.map_or(0, |it| it.trim().trim_end_matches(" kB").parse().unwrap())
    }

    /// Returns the number of files and sockets that the process has open.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.process.id());
        fs::read_dir(path).map_or(0, Iterator::count)
    }

    /// Checks that the process lives and has kept to its settings.
    #[expect(clippy::print_stdout, reason = "a change of the bounds is reported with its peaks")]
    pub fn check_limits(&mut self, manner: Manner, descriptors: usize) {
        let peak_kb = self.peak_kb();
        println!("{manner:?}: peak {peak_kb} kB, {descriptors} descriptors");
        assert!(self.process.try_wait().unwrap().is_none(), "the process has ended");
        assert!(peak_kb <= MEMORY_MB << 10, "{peak_kb} kB");
        assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} descriptors");
    }
}

/// Sends what a caller of the crowd sends.
async fn send(socket: &mut TcpStream, manner: Manner, number: usize) -> io::Result<()> {
    let head = head(&format!("crowd-{number}"));
    match manner {
        Manner::Body { announced, sent, piece } => {
            let head = format!("{head}content-length: {announced}\r\n\r\n");
            socket.write_all(head.as_bytes()).await?;
            send_pieces(socket, &vec![b'x'; piece], sent).await
        }
        Manner::Chunks { sent, size } => {
            let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
            socket.write_all(head.as_bytes()).await?;
            let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
            // Small chunks travel together, so that the crowd doesn't take minutes.
            let together = ((64 << 10) / size).max(1);
            let total = sent / size * chunk.len();
            send_pieces(socket, chunk.repeat(together).as_bytes(), total).await
        }
        Manner::Head => {
            socket.write_all(format!("{head}x-end: ").as_bytes()).await?;
            send_pieces(socket, &[b'x'; 1 << 10], HEAD_BYTES).await
        }
        Manner::Silent => Ok(()),
        Manner::Unread => {
            socket.write_all(format!("{head}content-length: 0\r\n\r\n").as_bytes()).await?;
            socket.peek(&mut [0]).await.map(drop)
        }
        Manner::Pipeline { requests } => {
            let request = format!("{head}content-length: 0\r\n\r\n");
            send_pieces(socket, request.as_bytes(), requests * request.len()).await
        }
    }
}

/// Sends `total` bytes that repeat `piece`.
async fn send_pieces(socket: &mut TcpStream, piece: &[u8], total: usize) -> io::Result<()> {
    let mut left = total;
    while 0 < left {
        let count = piece.len().min(left);
        socket.write_all(&piece[..count]).await?;
        left -= count;
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Returns the start of a head.
fn head(id: &str) -> String {
    format!("POST /safe/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: {id}\r\n")
}

/// Returns the operator's document with the limits of these tests.
fn document() -> String {
    let mut document: Value = serde_json::from_slice(&routing_document(1)).unwrap();
    document["limits"] = json!({
        "max_header_bytes": 16384, "max_body_bytes": BODY_BYTES,
        "header_timeout_ms": 60_000, "idle_timeout_ms": 60_000,
    });
    document.to_string()
}

fn settings(ip: Ipv4Addr, store: SocketAddr) -> String {
    format!(
        r#"node = "n"
zone = "z-1"
processor = 0.5
memory_mb = {MEMORY_MB}
max_descriptors = {MAX_DESCRIPTORS}
[addresses]
caller = "{ip}:7400"
ready = "{ip}:7401"
directory = "{ip}:7402"
peer = "{ip}:7403"
heartbeat = "{ip}:7403"
metrics = "{ip}:7404"
[keys]
shared = ["00112233445566778899aabbccddeeff"]
seal = []
[platform]
address = "{store}"
partitions = 4
writes_per_s = 400
retention_s = 300
record_bytes = 4096
report_ms = 500
[bounds]
grace_s = 3
keep_s = 2
"#
    )
}
