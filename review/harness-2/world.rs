//! A small deployment: the project's processes with the command of the deploy file, and stand-ins of the
//! store, of the servers and of the platform that starts and ends processes.

use std::{
    fs::{self, File},
    io::{BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    net::{header, read_request, write_response, Answer, Client, Request},
    store::Store,
};

pub const HOST_NAME: &str = "ficu95.example";

/// A script runs for 120 s at most.
const MAX_TIME: Duration = Duration::from_secs(118);

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let time = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{time:8.3} {text}");
    }
}

/// How a server answers.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Events of a stream, and the bytes of data of each.
    pub events: usize,
    pub event_bytes: usize,
    /// The pause before each event, and before an answer that is no stream.
    pub pause: Duration,
    /// The bytes of an answer that is no stream.
    pub answer_bytes: usize,
}

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub bytes: usize,
    pub digest: u64,
}

pub struct Server {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub in_flight: AtomicUsize,
    seq: AtomicU64,
}

/// Settings of a case.
pub struct Plan {
    pub hosts: usize,
    /// The numbers of model servers and of other servers.
    pub servers: usize,
    pub applications: usize,
    pub memory_mb: u64,
    pub retention_s: u64,
    /// The routes of the configuration, as JSON.
    pub routes: String,
    pub behaviour: Behaviour,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub hosts: Vec<Arc<Host>>,
    pub servers: Vec<Arc<Server>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub is_over: Arc<AtomicBool>,
    folder: PathBuf,
    next_id: AtomicU64,
}

/// A machine with its process.
pub struct Host {
    pub name: String,
    pub caller: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    memory_mb: u64,
    child: Mutex<Option<Child>>,
    /// The largest memory of any of its processes, in kB.
    pub peak_kb: AtomicU64,
    /// How often its process ended by itself or for its memory.
    pub ends: AtomicUsize,
    is_planned: AtomicBool,
    record: Arc<Record>,
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

/// FNV-1a, to compare bodies.
pub fn digest(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, it| (sum ^ u64::from(*it)).wrapping_mul(0x100_0000_01b3))
}

pub fn route(name: &str, prefix: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"{prefix}\",\"route_kind\":\"{kind}\",\
         \"timeout_ms\":20000,\"target_latency_ms\":1000,\"priority\":0,\"service\":\"{service}\",\
         \"max_attempts\":2{more}}}"
    )
}

impl World {
    pub fn start(plan: &Plan) -> World {
        let case = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(PathBuf::from(&case).join("record.txt"))
            .expect("record.txt can be written");
        let record = Arc::new(Record { file: Mutex::new(file), started: Instant::now() });
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("rosethread-review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let net = (100 + (pid >> 8) as u8 % 100, pid as u8);
        let ip = |last: u8| Ipv4Addr::new(127, net.0, net.1, last);
        // The ports are the same on all machines.
        let base = (20_000..60_000)
            .step_by(16)
            .map(|it| it + (pid % 16) as u16)
            .find(|base| {
                (1..=plan.hosts as u8).all(|host| {
                    (0..6).all(|port| is_free(SocketAddr::from((ip(host), base + port))))
                })
            })
            .expect("there are free ports");
        let store =
            Store::start(SocketAddr::from((ip(200), 0)), Duration::from_secs(plan.retention_s));
        let (runs, behaviour) = (Arc::default(), Arc::new(Mutex::new(plan.behaviour.clone())));
        let is_over = Arc::new(AtomicBool::new(false));
        let mut servers = Vec::new();
        for (service, count, first) in [
            ("lm-pool", plan.servers, 0x7f3a_91c2_u32),
            ("edit-api", plan.applications, 0x02d9_e6b4),
        ] {
            for index in 0..count {
                let listener = TcpListener::bind((IpAddr::V4(ip(201)), 0)).expect("a port is free");
                let server = Arc::new(Server {
                    name: format!("i-{:08x}", first.wrapping_add(0x1f35 * index as u32)),
                    service: service.to_owned(),
                    address: listener.local_addr().unwrap(),
                    in_flight: AtomicUsize::new(0),
                    seq: AtomicU64::new(0),
                });
                let (served, runs, behaviour): (_, Arc<Mutex<Vec<Run>>>, _) =
                    (server.clone(), Arc::clone(&runs), Arc::clone(&behaviour));
                thread::spawn(move || {
                    for socket in listener.incoming().flatten() {
                        let (server, runs, behaviour) =
                            (served.clone(), runs.clone(), behaviour.clone());
                        thread::spawn(move || server.serve(socket, &runs, &behaviour));
                    }
                });
                servers.push(server);
            }
        }
        let config = format!(
            "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"lm-pool\",\"health_path\":\"/healthz\",\
             \"max_conns\":250,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"capacity\":32,\
             \"kv_capacity_tokens\":1022409,\"kv_token_bytes\":18432,\"tokens_per_event\":25,\"most\":12,\
             \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
             {{\"name\":\"edit-api\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\
             \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            plan.routes
        );
        store.put("keyed.op", "config", config.as_bytes());
        for server in &servers {
            store.put("keyed.servers", &server.name, server.entry().as_bytes());
        }
        let mut hosts = Vec::new();
        let seeds: Vec<String> = (1..=plan.hosts.min(3) as u8)
            .map(|it| format!("\"{}:{}\"", ip(it), base + 3))
            .collect();
        for index in 1..=plan.hosts as u8 {
            let at = |port: u16| SocketAddr::from((ip(index), base + port));
            let name = format!("front-a-{index}");
            let settings = folder.join(format!("{name}.toml"));
            let text = format!(
                "node = \"{name}\"\nzone = \"linz-a\"\nseeds = [{}]\nprocessor = 0.5\ntarget_speeds = true\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"]\n\
                 memory_mb = {}\nmax_descriptors = 8200\n\n[addresses]\ncaller = \"{}\"\nready = \"{}\"\n\
                 directory = \"{}\"\npeer = \"{}\"\nheartbeat = \"{}\"\nmetrics = \"{}\"\n\n[keys]\n\
                 shared = [\"726f7365746872656164206e6f646573\"]\nseal = []\n\n[platform]\naddress = \"{}\"\n\
                 partitions = 12\nwrites_per_s = 800\nretention_s = {}\nrecord_bytes = 262144\n\
                 report_ms = 1200\n\n[bounds]\ngrace_s = 8\nkeep_s = 5\n",
                seeds.join(","), plan.memory_mb, at(0), at(1), at(2), at(4), at(4), at(5), store.address,
                plan.retention_s,
            );
            fs::write(&settings, text).expect("the settings can be written");
            hosts.push(Arc::new(Host {
                log: folder.join(format!("{name}.log")),
                name,
                caller: at(0),
                ready: at(1),
                directory: at(2),
                settings,
                memory_mb: plan.memory_mb,
                child: Mutex::new(None),
                peak_kb: AtomicU64::new(0),
                ends: AtomicUsize::new(0),
                is_planned: AtomicBool::new(false),
                record: record.clone(),
            }));
        }
        let world = World {
            record,
            store,
            hosts,
            servers,
            runs,
            is_over,
            folder,
            next_id: AtomicU64::new(u64::from(pid) << 24),
        };
        world.keep_registered();
        world.limit_time();
        for host in &world.hosts {
            host.start();
            let (host, is_over) = (host.clone(), world.is_over.clone());
            thread::spawn(move || host.supervise(&is_over));
        }
        world
    }

    /// Renews the servers' entries every 1.2 s.
    fn keep_registered(&self) {
        let (store, servers, is_over) =
            (self.store.clone(), self.servers.clone(), self.is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(1_200));
                for it in &servers {
                    store.put("keyed.servers", &it.name, it.entry().as_bytes());
                }
            }
        });
    }

    /// Ends all processes, and the script without a verdict, if it lasts too long.
    fn limit_time(&self) {
        let (hosts, record, is_over) =
            (self.hosts.clone(), self.record.clone(), self.is_over.clone());
        let folder = self.folder.clone();
        thread::spawn(move || {
            thread::sleep(MAX_TIME);
            record.line("the script takes too long; no verdict");
            is_over.store(true, Ordering::Relaxed);
            hosts.iter().for_each(|it| it.kill());
            let _ = fs::remove_dir_all(folder);
            std::process::exit(2);
        });
    }

    /// Waits until all machines are ready; the case can't run otherwise.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.hosts.iter().all(|it| it.is_ready()) {
                thread::sleep(Duration::from_secs(3));
                self.record.line("all machines are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("the machines are not ready after 20 s");
        false
    }

    pub fn new_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    pub fn run_of(&self, id: &str) -> Option<Run> {
        self.runs.lock().unwrap().iter().rev().find(|it| it.id == id).cloned()
    }

    /// Ends all processes, and removes the temporary folder unless `KEEP` is set.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        for host in &self.hosts {
            host.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Server {
    fn entry(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let (service, address) = (&self.service, self.address);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"linz-a\",\"version\":\"v1\",\
             \"capacity\":32,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq},\"born\":1700000000000}}"
        )
    }

    fn serve(&self, socket: TcpStream, runs: &Mutex<Vec<Run>>, behaviour: &Mutex<Behaviour>) {
        let _ = socket.set_nodelay(true);
        let mut writer = socket.try_clone().unwrap();
        let mut reader = BufReader::new(socket);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&request, &mut writer, runs, behaviour).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        request: &Request,
        socket: &mut TcpStream,
        runs: &Mutex<Vec<Run>>,
        behaviour: &Mutex<Behaviour>,
    ) -> std::io::Result<()> {
        let instance = ("Instance-Id", self.name.as_str());
        if request.path() == "/healthz" {
            return write_response(socket, 200, &[instance], b"");
        }
        if header(&request.headers, "expect-instance").is_some_and(|it| it != self.name) {
            return write_response(socket, 421, &[instance], b"");
        }
        let Some(id) = header(&request.headers, "attempt-id") else {
            return write_response(socket, 400, &[("Not-Executed", "1")], b"");
        };
        let run = Run {
            id: id.to_owned(),
            server: self.name.clone(),
            bytes: request.body.len(),
            digest: digest(&request.body),
        };
        runs.lock().unwrap().push(run);
        let behaviour = behaviour.lock().unwrap().clone();
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let result = self.write_answer(id, socket, &behaviour);
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn write_answer(
        &self,
        id: &str,
        socket: &mut TcpStream,
        it: &Behaviour,
    ) -> std::io::Result<()> {
        if self.service != "lm-pool" {
            thread::sleep(it.pause);
            let body = vec![b'x'; it.answer_bytes];
            return write_response(
                socket,
                200,
                &[("Attempt-Id", id), ("Response-Seal", "3e1b.07.5a2")],
                &body,
            );
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        socket.write_all(head.as_bytes())?;
        for number in 0..it.events {
            thread::sleep(it.pause);
            let event = format!("id: {number}\ndata: {}\n\n", "y".repeat(it.event_bytes));
            socket.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        socket.write_all(b"0\r\n\r\n")
    }
}

impl Host {
    fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can be written");
        let program =
            std::env::var("ROSETHREAD").unwrap_or_else(|_| "target/release/rosethread".to_owned());
        let child = Command::new(program)
            .args(["--platform", "--log-format", "json"])
            .env("ROSETHREAD_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record.line(&format!("platform: started {} as process {}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    /// Does what the platform does: kills a process that exceeds its memory, and starts it again.
    fn supervise(&self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            let mut child = self.child.lock().unwrap();
            let Some(process) = child.as_mut() else {
                continue;
            };
            let mut reason = None;
            if let Some(kb) = resident_kb(process.id()) {
                self.peak_kb.fetch_max(kb, Ordering::Relaxed);
                if self.memory_mb << 10 < kb {
                    reason = Some(format!(
                        "killed: {kb} kB of memory are more than {} MB",
                        self.memory_mb
                    ));
                    let _ = process.kill();
                    let _ = process.wait();
                }
            }
            if reason.is_none() {
                if let Ok(Some(status)) = process.try_wait() {
                    reason = Some(format!("ended by itself: {status}"));
                }
            }
            let Some(reason) = reason else {
                continue;
            };
            *child = None;
            drop(child);
            if !self.is_planned.load(Ordering::Relaxed) {
                self.ends.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("platform: the process of {} was {reason}", self.name));
            }
            thread::sleep(Duration::from_millis(500));
            if !is_over.load(Ordering::Relaxed) && !self.is_planned.load(Ordering::Relaxed) {
                self.start();
            }
        }
    }

    fn kill(&self) {
        self.is_planned.store(true, Ordering::Relaxed);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the process and starts another one after `pause`.
    pub fn kill_and_start(&self, pause: Duration) {
        self.record.line(&format!("platform: kills the process of {}", self.name));
        self.kill();
        thread::sleep(pause);
        self.start();
        self.is_planned.store(false, Ordering::Relaxed);
    }

    /// Stops the process as the platform does before a machine is removed; it does not come back.
    pub fn remove(&self) {
        self.is_planned.store(true, Ordering::Relaxed);
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            self.record.line(&format!(
                "platform: SIGTERM to the process of {}, which is removed",
                self.name
            ));
            let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        }
    }

    /// Returns the addresses that the machine's directory names, as a client asks for them.
    pub fn resolve(&self) -> Option<Vec<SocketAddr>> {
        let mut client = Client::connect(self.directory, Duration::from_secs(1)).ok()?;
        let target = format!("/v1/resolve?name={HOST_NAME}&region=linz&zone=linz-a");
        client.send("GET", &target, &[("Host", "directory".to_owned())], b"").ok()?;
        let answer = client.receive();
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let list = text.split_once("\"addresses\":[")?.1.split_once(']')?.0.to_owned();
        let addresses: Vec<_> =
            list.split(',').filter_map(|it| it.trim_matches('"').parse().ok()).collect();
        (answer.status == 200 && !addresses.is_empty()).then_some(addresses)
    }

    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut client = Client::connect(self.ready, Duration::from_secs(1)).ok()?;
            client.send("GET", "/v1/readyz", &[("Host", "ready".to_owned())], b"").ok()?;
            Some(client.receive().status)
        };
        ask() == Some(200)
    }
}

fn resident_kb(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

/// A turn of a program.
pub struct Turn<'a> {
    pub program: &'a str,
    pub previous: Option<&'a str>,
    pub budget: u64,
    pub max_output: u64,
    pub body: &'a [u8],
    pub deadline_ms: u64,
    pub finish_ms: u64,
    pub prefix: &'a str,
}

/// Sends a turn on a connection, and returns its answer.
pub fn send_turn(client: &mut Client, id: &str, turn: &Turn<'_>) -> Answer {
    let mut headers = vec![
        ("Host", HOST_NAME.to_owned()),
        ("Attempt-Id", id.to_owned()),
        ("Model", "m".to_owned()),
        ("Program-Id", turn.program.to_owned()),
        ("Session-Id", format!("{}s", turn.program)),
        ("Finish-Ms", turn.finish_ms.to_string()),
        ("Token-Budget", turn.budget.to_string()),
        ("Token-Usage", format!("{},{}", turn.body.len() / 5, turn.max_output)),
        ("Prompt-Prefix", format!("5c1e07a2:800,{}:410", &id[8..])),
        ("Deadline-Ms", turn.deadline_ms.to_string()),
    ];
    headers.extend(turn.previous.map(|it| ("Previous-Turn", it.to_owned())));
    match client.send("POST", &format!("{}2f", turn.prefix), &headers, turn.body) {
        Ok(()) => client.receive(),
        Err(error) => Answer { error: format!("could not send: {error}"), ..Answer::default() },
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Returns whether the case runs with its disruption.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Records the verdict, and returns the exit code.
pub fn verdict(world: &World, is_broken: bool, text: &str) -> i32 {
    let word = if is_broken { "BROKEN" } else { "held" };
    world.record.line(&format!("verdict: {word}: {text}"));
    println!("{word}: {text}");
    i32::from(is_broken)
}
