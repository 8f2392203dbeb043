//! The commands `check`, `diff`, `publish` and `show`.

use std::{fmt::Write, time::Duration};

use rosethread_config::Document;
use serde::Deserialize;

use crate::{
    settings::ConsoleSettings,
    stream::{ConfigStream, PublishOutcome},
};

/// How long to wait for a node's revision.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

fn read_document(path: &str) -> Result<Document, String> {
    let text = std::fs::read_to_string(path).map_err(|it| format!("{path}: {it}"))?;
    Document::parse(&text).map_err(|it| format!("{path}:\n{it}"))
}

/// Validates a document file and returns a summary of it.
pub(crate) fn check(path: &str) -> Result<String, String> {
    let document = read_document(path)?;
    Ok(format!(
        "the document is valid: {} members, {} targets, {} classes, {} objectives\n",
        document.members.len(),
        document.targets.len(),
        document.classes.len(),
        document.objectives.len()
    ))
}

/// Returns the differences between two document files, one a line.
pub(crate) fn diff(old: &str, new: &str) -> Result<String, String> {
    Ok(describe_changes(&read_document(old)?, &read_document(new)?))
}

fn describe_changes(old: &Document, new: &Document) -> String {
    let changes = rosethread_config::diff(old, new);
    if changes.is_empty() {
        return "no difference\n".to_owned();
    }
    changes.iter().map(|it| format!("{it}\n")).collect()
}

/// Publishes a document file as the successor of the revision in force.
pub(crate) async fn publish(settings: &ConsoleSettings, path: &str) -> Result<String, String> {
    let document = read_document(path)?;
    let stream = ConfigStream::new(settings);
    let state = stream.read(None).await.map_err(|it| it.to_string())?;
    let changes = describe_changes(&state.in_force.document, &document);
    let published = stream.publish(&document, state.in_force.revision, &settings.author).await?;
    match published {
        PublishOutcome::Active(revision) => {
            Ok(format!("revision {revision} is in force\n{changes}"))
        }
        PublishOutcome::Rejected { reason, in_force } => {
            let differs = describe_changes(&in_force.document, &document);
            Err(format!("the document was rejected: {reason}\nwhat differs now:\n{differs}"))
        }
    }
}

#[derive(Deserialize)]
struct NodeDocument {
    revision: u64,
}

/// Returns the document in force, after comment lines on nodes that do not have it.
pub(crate) async fn show(settings: &ConsoleSettings) -> Result<String, String> {
    let state = ConfigStream::new(settings).read(None).await.map_err(|it| it.to_string())?;
    let in_force = &state.in_force;
    let mut text = format!("# revision {} by {}\n", in_force.revision, in_force.author);
    for line in lag_lines(settings, in_force.revision.0).await {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "# {line}");
    }
    text.push_str(&in_force.document.to_toml());
    Ok(text)
}

/// Returns a line for each node that does not answer or does not have `revision` in force.
pub(crate) async fn lag_lines(settings: &ConsoleSettings, revision: u64) -> Vec<String> {
    let client = reqwest::Client::new();
    let mut lines = Vec::new();
    for node in &settings.nodes {
        let request = client.get(format!("http://{node}/v1/document")).timeout(NODE_TIMEOUT);
        let response = match request.send().await {
            Ok(response) => response.json::<NodeDocument>().await,
            Err(error) => Err(error),
        };
        match response {
            Ok(it) if it.revision == revision => (),
            Ok(it) => lines.push(format!("{node} still has revision {}", it.revision)),
            Err(error) => lines.push(format!("{node} does not answer: {error}")),
        }
    }
    lines
}
