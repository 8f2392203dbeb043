//! Runs one case: `harness CASE RECORD`. Ends with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod budget;
mod client;
mod drain;
mod full;
mod history;
mod host;
mod http;
mod record;
mod store;
mod stranded;
mod target;

use std::{
    env,
    path::PathBuf,
    process::exit,
    thread,
    time::{Duration, Instant},
};

use crate::{
    host::{Deployment, Host},
    http::{Answer, Connection},
    record::Record,
    store::Store,
};

/// Whether the rule was broken, or why the case couldn't run.
pub type Verdict = Result<bool, String>;

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(118);

/// What all cases share.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub is_troubled: bool,
}

impl Case {
    /// Publishes a configuration and starts the hosts; returns once all are ready.
    pub fn start_hosts(
        &self,
        store: &Store,
        config: &str,
        deployment: Deployment,
    ) -> Result<Vec<Host>, String> {
        store.put("keyed.op", "config", config);
        let ips = host::find_addresses(deployment.hosts + deployment.spares);
        let ips = ips.ok_or("no loopback address is free")?;
        let mut hosts = Vec::new();
        for index in 0..usize::from(deployment.hosts) {
            hosts.push(Host::start(&self.folder, &ips, index, store.address, deployment)?);
        }
        for host in &hosts {
            self.wait_until_ready(host)?;
        }
        // The hosts know each other and the servers by now, as they do when traffic starts.
        thread::sleep(Duration::from_secs(2));
        self.record.say(format!("{} hosts are ready", hosts.len()));
        Ok(hosts)
    }

    /// Waits until a host is ready for clients.
    pub fn wait_until_ready(&self, host: &Host) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while get_status(host.ready(), "/v1/readyz") != 200 {
            if until < Instant::now() {
                return Err(format!("{} is not ready", host.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

/// Returns the status of a GET request, or 0 without an answer.
pub fn get_status(to: std::net::SocketAddr, path: &str) -> u16 {
    get(to, path).status
}

/// Sends a GET request and returns the answer.
pub fn get(to: std::net::SocketAddr, path: &str) -> Answer {
    let Ok(mut connection) = Connection::open(to) else {
        return Answer::default();
    };
    let deadline = Instant::now() + Duration::from_secs(1);
    connection.call("GET", path, &[("Host", "a.example".to_owned())], b"", deadline)
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, name, record_path] = &args[..] else {
        eprintln!("usage: harness CASE RECORD");
        exit(2);
    };
    let is_troubled = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = env::temp_dir().join(format!("rosethread-review-{}", std::process::id()));
    let record = match std::fs::create_dir_all(&folder).and_then(|()| Record::create(record_path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record_path}: {error}");
            exit(2);
        }
    };
    record.say(format!("case {name}, trouble {}", u8::from(is_troubled)));
    let case = Case { record: record.clone(), folder: folder.clone(), is_troubled };
    let runner: fn(&Case) -> Verdict = match name.as_str() {
        "budget" => budget::run,
        "drain" => drain::run,
        "full" => full::run,
        "history" => history::run,
        "stranded" => stranded::run,
        _ => {
            eprintln!("unknown case {name}");
            exit(2);
        }
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    // The hosts are dropped, and so ended, before the verdict is sent.
    let worker = thread::spawn(move || sender.send(runner(&case)));
    let verdict = receiver.recv_timeout(LIMIT);
    // Otherwise the worker is still running; the hosts end with this process.
    let verdict_is_final = verdict.is_ok();
    let code = match verdict {
        Ok(Ok(true)) => {
            record.say("the rule was broken".to_owned());
            1
        }
        Ok(Ok(false)) => {
            record.say("the rule held".to_owned());
            0
        }
        Ok(Err(error)) => {
            record.say(format!("the case couldn't run: {error}"));
            2
        }
        Err(error) => {
            record.say(format!("the case couldn't run: {error}"));
            2
        }
    };
    if verdict_is_final {
        let _ = worker.join();
    }
    if env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    exit(code);
}
