//! Tests that the real process reloads its settings on SIGHUP and keeps running if they are
//! invalid.

use std::{
    fs::{self, File},
    path::PathBuf,
    process::{Child, Command},
    thread::sleep,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// The maximum time to wait for a log line.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);

/// A running process and the folder with its settings file and log.
struct Running {
    child: Child,
    folder: PathBuf,
}

impl Running {
    /// Starts a process; each case has its own IP address, so that fixed ports do not collide.
    fn start(case: u8) -> Running {
        let name = format!("rosethread-reload-{}-{case}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("settings.toml"), settings(case)).unwrap();
        let log = File::create(folder.join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_rosethread"))
            .args(["--platform", "--log-format", "json", "--settings"])
            .arg(folder.join("settings.toml"))
            .stdout(log)
            .spawn()
            .unwrap();
        let running = Running { child, folder };
        running.expect("entry: started");
        running
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap()
    }

    /// Waits until the log contains `text`.
    fn expect(&self, text: &str) {
        let deadline = Instant::now() + LOG_TIMEOUT;
        while !self.log().contains(text) {
            assert!(Instant::now() < deadline, "{text:?} is missing: {}", self.log());
            sleep(Duration::from_millis(20));
        }
    }

    /// Changes the settings file and sends SIGHUP to the process.
    fn change_settings(&self, part: &str, replacement: &str) {
        let path = self.folder.join("settings.toml");
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(part), "{part}");
        fs::write(path, text.replace(part, replacement)).unwrap();
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // The process may have ended already, so errors do not matter here.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn settings(case: u8) -> String {
    let ip = format!("127.{}.{}.{case}", 90 + std::process::id() % 50, std::process::id() % 250);
    format!(
        r#"node = "n"
zone = "z"
processor = 0.5
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
address = "{ip}:7409"
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

fn check(case: u8, part: &str, replacement: &str, expected: &str) {
    let mut running = Running::start(case);
    running.change_settings(part, replacement);
    running.expect(expected);
    assert!(running.child.try_wait().unwrap().is_none(), "the process must keep running");
}

rosethread_cases::cases!(check {
    a_changed_processor_share_is_applied:
        (1, "processor = 0.5", "processor = 0.25", "\"processor\":0.25");
    a_changed_grace_period_is_applied: (2, "grace_s = 3", "grace_s = 5", "\"grace_s\":5.0");
    an_invalid_file_is_rejected: (
        3, "processor = 0.5", "processor = 0",
        "processor = 0: must be above 0 and at most 1000"
    );
    a_changed_address_needs_a_restart: (4, ":7400", ":7410", "addresses");
});
