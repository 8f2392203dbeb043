//! The settings of the console.

use std::net::SocketAddr;

use rosethread_types::StreamName;
use serde::Deserialize;

/// Everything that the console learns from its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConsoleSettings {
    /// Where the forms are served.
    pub(crate) listen: SocketAddr,
    /// The platform's log service.
    pub(crate) log: SocketAddr,
    /// The stream on which documents are published.
    #[serde(default = "default_stream")]
    pub(crate) stream: StreamName,
    /// The nodes' addresses for callers, to compare their revisions and read their metrics.
    #[serde(default)]
    pub(crate) nodes: Vec<SocketAddr>,
    /// Who publishes from the command line.
    pub(crate) author: String,
    /// Who may use the forms.
    #[serde(default)]
    pub(crate) operators: Vec<Operator>,
}

/// A person who may use the forms.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Operator {
    /// The name to log in with.
    pub(crate) name: String,
    /// The SHA-256 hash of a long random password, in hexadecimal.
    pub(crate) password: String,
}

fn default_stream() -> StreamName {
    "rosethread-config".parse().expect("the name is valid")
}

impl ConsoleSettings {
    /// Parses and validates settings.
    pub(crate) fn parse(text: &str) -> Result<ConsoleSettings, String> {
        let settings: ConsoleSettings = toml::from_str(text).map_err(|it| it.to_string())?;
        if settings.author.is_empty() {
            return Err("author = \"\": must not be empty".to_owned());
        }
        for (index, operator) in settings.operators.iter().enumerate() {
            let is_hash = hex::decode(&operator.password).is_ok_and(|it| it.len() == 32);
            if !is_hash {
                return Err(format!(
                    "operators[{index}].password = (hidden): must be a SHA-256 hash in hexadecimal"
                ));
            }
        }
        Ok(settings)
    }
}
