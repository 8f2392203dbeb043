//! The processes under test: started as in `deploy/system.toml`, with settings that are rendered from
//! `deploy/settings.toml.template`, and ended by their process ids.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
/// The option of `prctl` that names the signal for a process whose parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const CONTROL_PORT: u16 = 8144;
const DIRECTORY_PORT: u16 = 8143;
const INTERNAL_PORT: u16 = 7380;
const METRICS_PORT: u16 = 9464;

/// The settings in which the cases differ.
#[derive(Clone, Copy)]
pub struct Deployment {
    /// The machines from the start.
    pub hosts: u8,
    /// The machines that may be added.
    pub spares: u8,
    pub retention_s: u64,
}

/// One machine, and its process while one runs.
pub struct Host {
    pub name: String,
    ip: Ipv4Addr,
    ips: Vec<Ipv4Addr>,
    store: SocketAddr,
    deployment: Deployment,
    folder: PathBuf,
    process: Option<Child>,
}

/// Returns loopback addresses whose ports are free.
pub fn find_addresses(count: u8) -> Option<Vec<Ipv4Addr>> {
    let start = std::process::id();
    (0..200).find_map(|attempt| {
        let number = start.wrapping_mul(7).wrapping_add(attempt * 131);
        let (second, third) = (20 + (number % 200) as u8, 1 + (number / 200 % 250) as u8);
        let ips: Vec<Ipv4Addr> =
            (0..count).map(|it| Ipv4Addr::new(127, second, third, 10 + it)).collect();
        let ports =
            [FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT, INTERNAL_PORT, METRICS_PORT];
        let is_free = |ip: &Ipv4Addr| ports.iter().all(|it| TcpListener::bind((*ip, *it)).is_ok());
        ips.iter().all(is_free).then_some(ips)
    })
}

impl Host {
    /// Writes the settings of a machine and starts its process.
    pub fn start(
        folder: &Path,
        ips: &[Ipv4Addr],
        index: usize,
        store: SocketAddr,
        deployment: Deployment,
    ) -> Result<Host, String> {
        let ip = ips[index];
        let name = format!("front-{}", index + 1);
        let template = fs::read_to_string("deploy/settings.toml.template")
            .map_err(|it| format!("deploy/settings.toml.template: {it}"))?;
        let seeds: Vec<String> =
            ips.iter().take(3).map(|it| format!("\"{it}:{CONTROL_PORT}\"")).collect();
        let values = [
            ("node|json", format!("\"{name}\"")),
            ("zone|json", "\"zone-a\"".to_owned()),
            ("seed_addrs|json", format!("[{}]", seeds.join(","))),
            ("limits.cpu_share", "0.25".to_owned()),
            ("listen_addrs.front_addr|json", format!("\"{ip}:{FRONT_PORT}\"")),
            ("listen_addrs.ready_addr|json", format!("\"{ip}:{READY_PORT}\"")),
            ("listen_addrs.directory_addr|json", format!("\"{ip}:{DIRECTORY_PORT}\"")),
            ("#contract_bounds.quota_window_s", String::new()),
            (".", "5".to_owned()),
            ("contract_bounds.quota_overage", "0.1".to_owned()),
            ("contract_bounds.quota_slack", "20".to_owned()),
            ("/contract_bounds.quota_window_s", String::new()),
            ("ip", ip.to_string()),
            ("internal_ports.0", INTERNAL_PORT.to_string()),
            ("platform.address|json", format!("\"{store}\"")),
            ("platform.parts", "12".to_owned()),
            ("platform.writes_per_s", "800".to_owned()),
            ("platform.retention_s", deployment.retention_s.to_string()),
            ("platform.record_bytes", "262144".to_owned()),
            ("heartbeat_ms", "1200".to_owned()),
            ("contract_bounds.grace_period_s", "8".to_owned()),
            ("contract_bounds.ttl_max_s", "5".to_owned()),
        ];
        let mut text = template;
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err("the template has a field that this script does not know".to_owned());
        }
        fs::write(folder.join(format!("{name}.toml")), text).map_err(|it| it.to_string())?;
        let mut host = Host {
            name,
            ip,
            ips: ips.to_vec(),
            store,
            deployment,
            folder: folder.to_owned(),
            process: None,
        };
        host.start_process()?;
        Ok(host)
    }

    /// Adds a machine to the system of this one.
    pub fn add(&self, index: usize) -> Result<Host, String> {
        Host::start(&self.folder, &self.ips, index, self.store, self.deployment)
    }

    /// Starts the process with the command of `deploy/system.toml`.
    pub fn start_process(&mut self) -> Result<(), String> {
        let log_path = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log_path);
        let log = log.map_err(|it| it.to_string())?;
        let error_log = log.try_clone().map_err(|it| it.to_string())?;
        let mut command = Command::new("target/release/rosethread");
        command
            .args(["--platform", "--log-format", "json"])
            .env("ROSETHREAD_SETTINGS", self.folder.join(format!("{}.toml", self.name)))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error_log);
        // No process outlives the script, however that ends. The call is async-signal-safe.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command.spawn().map_err(|it| format!("target/release/rosethread: {it}"))?;
        self.process = Some(child);
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY_PORT))
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::from((self.ip, DIRECTORY_PORT))
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process that this case started.
    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            // The process is a child that has not been waited for, so its id is not used again.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
