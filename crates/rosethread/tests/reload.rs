//! The real process: its settings change while it runs, and bad ones lose nothing.

use std::{
    fs::{self, File},
    path::PathBuf,
    process::{Child, Command},
    thread::sleep,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// The longest wait for a log line.
const SOON: Duration = Duration::from_secs(10);

/// A running process and its files.
struct Running {
    child: Child,
    folder: PathBuf,
}

impl Running {
    /// Starts a process; each case has an address of its own, so that ports need not be chosen.
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

    /// Waits for a text in the log.
    fn expect(&self, text: &str) {
        let until = Instant::now() + SOON;
        while !self.log().contains(text) {
            assert!(Instant::now() < until, "{text:?} is missing: {}", self.log());
            sleep(Duration::from_millis(20));
        }
    }

    /// Changes the settings file and tells the process.
    fn change(&self, part: &str, replacement: &str) {
        let path = self.folder.join("settings.toml");
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(part), "{part}");
        fs::write(path, text.replace(part, replacement)).unwrap();
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // A process that has ended already is what is wanted.
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
    running.change(part, replacement);
    running.expect(expected);
    assert!(running.child.try_wait().unwrap().is_none(), "the process has ended");
}

rosethread_cases::cases!(check {
    a_changed_share_is_taken_over: (1, "processor = 0.5", "processor = 0.25", "\"processor\":0.25");
    a_changed_time_is_taken_over: (2, "grace_s = 3", "grace_s = 5", "\"grace_s\":5.0");
    a_bad_file_changes_nothing: (
        3, "processor = 0.5", "processor = 0",
        "processor = 0: must be above 0 and at most 1000"
    );
    a_changed_address_needs_another_start: (4, ":7400", ":7410", "addresses");
});
