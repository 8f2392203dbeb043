//! Runs a scaled-down deployment of the Consortium on fixed ports, to try calls by hand.
//!
//! Usage: `cargo run --release --example playground -- [--seconds 3600]`. The log service listens
//! on port 7000, and the nodes accept calls on ports 7100, 7110, 7120 and 7130. The key of member
//! `lyra` is `key-of-lyra`. docs/API.md has a line for each call.

use std::{
    io::{self, Write},
    time::Duration,
};

use getopts::Options;
use rosethread_config::PolicyName;
use rosethread_fakes::EngineConfig;
use rosethread_testbed::{Scale, parse_arguments, start_consortium_at};

/// The port of the log service; the other ports count up from it.
const BASE_PORT: u16 = 7_000;

fn main() -> io::Result<()> {
    let mut options = Options::new();
    options.optopt("s", "seconds", "how long to run (3600)", "N");
    let Some(matches) = parse_arguments(
        "Runs a deployment with fakes of the platform's services on fixed ports.",
        options,
    )?
    else {
        return Ok(());
    };
    let seconds = matches.opt_get_default("seconds", 3_600).map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let engine = EngineConfig::default();
        let policy = PolicyName::Adaptive;
        let configured =
            start_consortium_at(Some(BASE_PORT), Scale::Miniature, engine, policy).await;
        writeln!(
            io::stdout(),
            "serving callers at {:?}",
            configured.deployment.caller_addresses()
        )?;
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        configured.deployment.stop().await;
        Ok(())
    })
}
