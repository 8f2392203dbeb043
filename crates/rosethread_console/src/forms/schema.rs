//! The sections and fields of the forms.

use std::net::SocketAddr;

use rosethread_types::MemberName;
use toml::Value;

/// The type of a field's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FieldKind {
    /// A name.
    Name,
    /// Names, separated by spaces.
    Names,
    /// Free text.
    Text,
    /// Texts without spaces, separated by spaces.
    Texts,
    /// An integer.
    Number,
    /// A floating-point number.
    Decimal,
    /// An IP address and a port.
    Address,
    /// One of several words.
    Choice(&'static [&'static str]),
}

/// One field of a form.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    /// The dotted path within the entry, such as `kind.engine.slots`.
    pub(crate) path: &'static str,
    /// The label in the form.
    pub(crate) label: &'static str,
    /// The type of the value.
    pub(crate) kind: FieldKind,
}

/// One section of the document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Section {
    /// The key in the document, also used in URLs.
    pub(crate) name: &'static str,
    /// The title of the section's pages.
    pub(crate) title: &'static str,
    /// The fields; those with an empty value are left out of the document.
    pub(crate) fields: &'static [Field],
}

const fn field(path: &'static str, label: &'static str, kind: FieldKind) -> Field {
    Field { path, label, kind }
}

const FLAG: FieldKind = FieldKind::Choice(&["true", "false"]);

/// All sections, in the order of the start page.
pub(crate) const SECTIONS: [Section; 4] = [
    Section {
        name: "members",
        title: "Members",
        fields: &[
            field("name", "Name", FieldKind::Name),
            field("keys", "SHA-256 hashes of keys", FieldKind::Texts),
            field("share", "Share", FieldKind::Number),
            field("rate", "Calls a second", FieldKind::Number),
            field("concurrency", "Calls at once", FieldKind::Number),
            field("minute_tokens", "Tokens a minute", FieldKind::Number),
        ],
    },
    Section {
        name: "targets",
        title: "Targets",
        fields: &[
            field("name", "Name", FieldKind::Name),
            field("address", "Address", FieldKind::Address),
            field("zone", "Availability zone", FieldKind::Name),
            field("state", "State", FieldKind::Choice(&["active", "leaving"])),
            field("members", "Members it may serve (empty: all)", FieldKind::Names),
            field("kind.engine.models", "Engine: models", FieldKind::Names),
            field("kind.engine.slots", "Engine: slots", FieldKind::Number),
            field("kind.engine.memory", "Engine: cache memory, in tokens", FieldKind::Number),
            field("kind.engine.fencing", "Engine: checks fencing numbers", FLAG),
            field(
                "kind.engine.prefill_rate",
                "Engine: prefill, tokens a second",
                FieldKind::Number,
            ),
            field("kind.engine.decode_rate", "Engine: decode, tokens a second", FieldKind::Number),
            field("kind.service.service", "Service: provides", FieldKind::Name),
            field("kind.service.slots", "Service: slots", FieldKind::Number),
            field("kind.service.timeout_ms", "Service: timeout, in ms", FieldKind::Number),
        ],
    },
    Section {
        name: "classes",
        title: "Classes",
        fields: &[
            field("name", "Name", FieldKind::Name),
            field("priority", "Priority (smaller first)", FieldKind::Number),
            field("deadline_ms", "Deadline of a call, in ms", FieldKind::Number),
            field("tokens", "Tokens of a program", FieldKind::Number),
            field("calls", "Calls of a program", FieldKind::Number),
            field("wall_s", "Time of a program, in s", FieldKind::Number),
            field("block", "Tokens ahead of the journal", FieldKind::Number),
            field("max_tokens", "Tokens of an answer", FieldKind::Number),
            field("history", "History kept by", FieldKind::Choice(&["journal", "caller"])),
            field("retries", "Retries", FieldKind::Number),
            field("reserved", "Has reserved slots", FLAG),
            field("latency_weight", "Weight of latency", FieldKind::Decimal),
            field("waste_weight", "Weight of wasted cache", FieldKind::Decimal),
        ],
    },
    Section {
        name: "objectives",
        title: "Objectives",
        fields: &[
            field("name", "Name", FieldKind::Text),
            field(
                "kind",
                "Measures",
                FieldKind::Choice(&[
                    "first-token",
                    "between-tokens",
                    "program-latency",
                    "refusals",
                ]),
            ),
            field("class", "Class (empty: all)", FieldKind::Name),
            field("threshold_ms", "Good up to, in ms", FieldKind::Number),
            field("target", "Share of good events", FieldKind::Decimal),
        ],
    },
];

impl Section {
    /// Returns the section called `name`.
    pub(crate) fn find(name: &str) -> Option<&'static Section> {
        SECTIONS.iter().find(|it| it.name == name)
    }
}

impl FieldKind {
    /// Parses the text of a field, which must not be empty, or returns the rule that it breaks.
    pub(crate) fn parse(self, text: &str) -> Result<Value, String> {
        let name = |it: &str| -> Result<Value, String> {
            it.parse::<MemberName>().map_err(|it| it.to_string())?;
            Ok(Value::from(it))
        };
        match self {
            FieldKind::Name => name(text),
            FieldKind::Names => {
                text.split_whitespace().map(name).collect::<Result<_, _>>().map(Value::Array)
            }
            FieldKind::Text => Ok(Value::from(text)),
            FieldKind::Texts => {
                Ok(Value::Array(text.split_whitespace().map(Value::from).collect()))
            }
            FieldKind::Number => {
                let number = text.parse::<i64>();
                number.map(Value::from).map_err(|_| "must be a whole number".to_owned())
            }
            FieldKind::Decimal => {
                let number = text.parse::<f64>();
                number.map(Value::from).map_err(|_| "must be a number".to_owned())
            }
            FieldKind::Address => match text.parse::<SocketAddr>() {
                Ok(_) => Ok(Value::from(text)),
                Err(_) => Err("must be an IP number and a port".to_owned()),
            },
            FieldKind::Choice(words) if words.contains(&text) => Ok(match text {
                "true" => Value::from(true),
                "false" => Value::from(false),
                _ => Value::from(text),
            }),
            FieldKind::Choice(words) => Err(format!("must be one of {}", words.join(", "))),
        }
    }

    /// Formats a value as the text of a field.
    pub(crate) fn format(value: &Value) -> String {
        match value {
            Value::String(text) => text.clone(),
            Value::Array(values) => {
                values.iter().map(FieldKind::format).collect::<Vec<_>>().join(" ")
            }
            other => other.to_string(),
        }
    }
}
