//! The cases, and what they share.

mod exit;
mod large;
mod long;
mod owners;
mod silent;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use crate::{
    Stage, Verdict,
    hosts::{Host, Ports},
    store::Store,
};

/// The host name of all routes.
pub const HOST: &str = "ficu95.example";

/// Returns the case with a name.
pub fn find(name: &str) -> Option<fn(&Stage) -> Verdict> {
    match name {
        "exit" => Some(exit::play),
        "long" => Some(long::play),
        "large" => Some(large::play),
        "owners" => Some(owners::play),
        "silent" => Some(silent::play),
        _ => None,
    }
}

/// Returns a new identifier.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let pid = u64::from(std::process::id());
    format!("{:08x}{:08x}", pid, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Writes a configuration as the operator does, with these routes as JSON.
pub fn put_config(store: &Store, version: u64, routes: &[String]) {
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"lm\",\"health_path\":\"/healthz\",\"max_conns\":200,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"capacity\":24,\"kv_capacity_tokens\":651734,\"tokens_per_event\":18}}}},\
         {{\"name\":\"portal-a\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"portal-b\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    );
    store.put("keyed.op", "config", Some(text.as_bytes()));
}

/// Returns a route as JSON.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, extra: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":250,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":1{extra}}}"
    )
}

/// Starts the machines, and waits until all are ready.
pub fn start_hosts(stage: &Stage, machines: usize, store: SocketAddr) -> Option<Vec<Host>> {
    let ports = Ports::find(machines);
    let start = |it| Host::start(it, machines, ports, store, &stage.folder, &stage.record);
    let hosts: Vec<Host> = (0..machines).map(start).collect();
    let are_ready = hosts.iter().all(Host::wait_until_ready);
    stage.record.line(&format!("ready: {are_ready}"));
    are_ready.then_some(hosts)
}
