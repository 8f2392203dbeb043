//! The settings of the console.

use std::net::SocketAddr;

use rosethread_types::StreamName;
use serde::Deserialize;

/// The contents of the console's settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConsoleSettings {
    /// The address on which the forms are served.
    pub(crate) listen: SocketAddr,
    /// The address of the platform's log service.
    pub(crate) log: SocketAddr,
    /// The stream of the log to which documents are published.
    #[serde(default = "default_stream")]
    pub(crate) stream: StreamName,
    /// The nodes' caller addresses, from which revisions and metrics are read.
    #[serde(default)]
    pub(crate) nodes: Vec<SocketAddr>,
    /// The author recorded for documents published from the command line.
    pub(crate) author: String,
    /// The operators who may log in to the forms.
    #[serde(default)]
    pub(crate) operators: Vec<Operator>,
}

/// An operator who may log in to the forms.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Operator {
    /// The login name.
    pub(crate) name: String,
    /// The SHA-256 hash of the password, which must be long and random, in hexadecimal.
    pub(crate) password: String,
}

fn default_stream() -> StreamName {
    "rosethread-config".parse().expect("the name is valid")
}

impl ConsoleSettings {
    /// Parses and validates the text of a settings file.
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
