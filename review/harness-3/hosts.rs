//! The machines of a deployment: the program as the deploy file starts it, each on a loopback address of its
//! own, and what the platform does to a process.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::send_once, record::Record};

/// The program and its arguments, as in deploy/system.toml.
const PROGRAM: &str = "target/release/rosethread";
const ARGUMENTS: [&str; 3] = ["--platform", "--log-format", "json"];

/// The time in which a process has to be ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// The zones of the site, among which machines are spread.
const ZONES: [&str; 3] = ["lis-a", "lis-b", "opo-c"];

/// The memory of a machine, in units of 2^20 bytes.
const MEMORY_MB: usize = 130;

/// The ports of a machine; they are the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub caller: u16,
    ready: u16,
    directory: u16,
    control: u16,
    internal: u16,
    metrics: u16,
}

/// Returns the loopback address of a machine.
pub fn ip(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 3, 10 + index as u8))
}

impl Ports {
    /// Finds ports that are free on all machines.
    pub fn find(machines: usize) -> Ports {
        let mut found = Vec::new();
        while found.len() < 6 {
            let listener = TcpListener::bind((ip(0), 0)).expect("a free port");
            let port = listener.local_addr().expect("a bound address").port();
            drop(listener);
            let is_free = (0..machines).all(|it| {
                TcpListener::bind((ip(it), port)).is_ok() && UdpSocket::bind((ip(it), port)).is_ok()
            });
            if is_free && !found.contains(&port) {
                found.push(port);
            }
        }
        let [caller, ready, directory, control, internal, metrics] = found[..] else {
            unreachable!("six ports were found");
        };
        Ports { caller, ready, directory, control, internal, metrics }
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Makes the process end if the thread that started it does, so that none is left behind a harness that is killed.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the option takes the number of a signal.
    let result = unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

/// A machine with its process.
pub struct Host {
    pub index: usize,
    pub name: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Host {
    /// Renders the settings of a machine, and starts its process.
    pub fn start(
        index: usize,
        machines: usize,
        ports: Ports,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Host {
        let zone = ZONES[index % ZONES.len()];
        let name = format!("front-{zone}-{}", index / ZONES.len() + 1);
        let settings = folder.join(format!("{name}.toml"));
        let Ports { caller, ready, directory, control, internal, metrics } = ports;
        let seeds: Vec<String> =
            (0..machines.min(3)).map(|it| format!("\"{}:{control}\"", ip(it))).collect();
        let (seeds, ip) = (seeds.join(","), ip(index));
        let text = format!(
            "node = \"{name}\"\nzone = \"{zone}\"\nseeds = [{seeds}]\nprocessor = 0.5\n\
             target_speeds = true\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\
             \"engine\",\"platform\"]\n\
             memory_mb = {MEMORY_MB}\nmax_descriptors = 8200\n\
             \n[addresses]\ncaller = \"{ip}:{caller}\"\nready = \"{ip}:{ready}\"\n\
             directory = \"{ip}:{directory}\"\npeer = \"{ip}:{internal}\"\n\
             heartbeat = \"{ip}:{internal}\"\nmetrics = \"{ip}:{metrics}\"\n\
             \n[keys]\nshared = [\"726f7365746872656164206e6f646573\"]\nseal = []\n\
             \n[platform]\naddress = \"{store}\"\npartitions = 12\nwrites_per_s = 800\n\
             retention_s = 300\nrecord_bytes = 262144\nreport_ms = 1200\n\
             \n[bounds]\ngrace_s = 8\nkeep_s = 5\n"
        );
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let record = record.clone();
        let mut host = Host { index, name, ports, settings, log, child: None, record };
        host.launch();
        host
    }

    /// Starts the process with the settings as they are.
    pub fn launch(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let mut command = Command::new(PROGRAM);
        // SAFETY: `prctl` may be called between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(ARGUMENTS)
            .env("ROSETHREAD_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program starts; build it first"));
        self.record.line(&format!("start {} pid {}", self.name, self.pid()));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns the address for clients.
    pub fn caller(&self) -> SocketAddr {
        SocketAddr::new(ip(self.index), self.ports.caller)
    }

    /// Returns whether the process counts as ready.
    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(ip(self.index), self.ports.ready);
        let headers = [("Host", "ready".to_owned())];
        send_once(ready, "GET", "/v1/readyz", &headers, b"", Duration::from_secs(1)).status == 200
    }

    pub fn wait_until_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < START_LIMIT {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills the process, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("kill {}", self.name));
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
