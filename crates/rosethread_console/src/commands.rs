//! The commands besides the forms and the report.

use std::{fmt::Write, time::Duration};

use rosethread_config::Document;
use serde::Deserialize;

use crate::{
    settings::ConsoleSettings,
    stream::{ConfigStream, Published},
};

/// How long a node may take to tell its revision.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

fn read(path: &str) -> Result<Document, String> {
    let text = std::fs::read_to_string(path).map_err(|it| format!("{path}: {it}"))?;
    Document::parse(&text).map_err(|it| format!("{path}:\n{it}"))
}

/// Checks a document.
pub(crate) fn check(path: &str) -> Result<String, String> {
    let document = read(path)?;
    Ok(format!(
        "the document is valid: {} members, {} targets, {} classes, {} objectives\n",
        document.members.len(),
        document.targets.len(),
        document.classes.len(),
        document.objectives.len()
    ))
}

/// Shows what differs between two documents.
pub(crate) fn diff(old: &str, new: &str) -> Result<String, String> {
    Ok(describe(&read(old)?, &read(new)?))
}

fn describe(old: &Document, new: &Document) -> String {
    let changes = rosethread_config::diff(old, new);
    if changes.is_empty() {
        return "no difference\n".to_owned();
    }
    changes.iter().map(|it| format!("{it}\n")).collect()
}

/// Publishes a document, edited from the revision in force.
pub(crate) async fn publish(settings: &ConsoleSettings, path: &str) -> Result<String, String> {
    let document = read(path)?;
    let stream = ConfigStream::new(settings);
    let state = stream.read(None).await.map_err(|it| it.to_string())?;
    let changes = describe(&state.in_force.document, &document);
    let published = stream.publish(&document, state.in_force.revision, &settings.author).await?;
    match published {
        Published::InForce(revision) => Ok(format!("revision {revision} is in force\n{changes}")),
        Published::Void { reason, in_force } => {
            let differs = describe(&in_force.document, &document);
            Err(format!("the document is void: {reason}\nwhat differs now:\n{differs}"))
        }
    }
}

#[derive(Deserialize)]
struct NodeDocument {
    revision: u64,
}

/// Shows the document in force and which nodes lag.
pub(crate) async fn show(settings: &ConsoleSettings) -> Result<String, String> {
    let state = ConfigStream::new(settings).read(None).await.map_err(|it| it.to_string())?;
    let in_force = &state.in_force;
    let mut text = format!("# revision {} by {}\n", in_force.revision, in_force.author);
    for line in lag_lines(settings, in_force.revision.0).await {
        // Writing to a string does not fail.
        let _ = writeln!(text, "# {line}");
    }
    text.push_str(&in_force.document.to_toml());
    Ok(text)
}

/// Returns a line for each node that does not have `revision` in force.
pub(crate) async fn lag_lines(settings: &ConsoleSettings, revision: u64) -> Vec<String> {
    let client = reqwest::Client::new();
    let mut lines = Vec::new();
    for node in &settings.nodes {
        let request = client.get(format!("http://{node}/v1/document")).timeout(NODE_TIMEOUT);
        let reply = match request.send().await {
            Ok(reply) => reply.json::<NodeDocument>().await,
            Err(error) => Err(error),
        };
        match reply {
            Ok(it) if it.revision == revision => (),
            Ok(it) => lines.push(format!("{node} lags: it has revision {}", it.revision)),
            Err(error) => lines.push(format!("{node} does not answer: {error}")),
        }
    }
    lines
}
