//! Which sections and fields the forms have.

use std::net::SocketAddr;

use rosethread_types::MemberName;
use toml::Value;

/// What a field holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A name.
    Name,
    /// Names, separated by spaces.
    Names,
    /// Free text.
    Text,
    /// Texts, separated by spaces.
    Texts,
    /// A whole number.
    Number,
    /// A number with decimals.
    Decimal,
    /// An address with a port.
    Address,
    /// One of several words.
    Choice(&'static [&'static str]),
}

/// One field of a form.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    /// Its path within the entry, such as `kind.engine.slots`.
    pub(crate) path: &'static str,
    /// Its label.
    pub(crate) label: &'static str,
    /// What it holds.
    pub(crate) kind: Kind,
}

/// One section of the document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Section {
    /// Its name in the document and in addresses.
    pub(crate) name: &'static str,
    /// Its title.
    pub(crate) title: &'static str,
    /// Its fields; an empty value leaves a field out.
    pub(crate) fields: &'static [Field],
}

const fn field(path: &'static str, label: &'static str, kind: Kind) -> Field {
    Field { path, label, kind }
}

const FLAG: Kind = Kind::Choice(&["true", "false"]);

/// All sections.
pub(crate) const SECTIONS: [Section; 4] = [
    Section {
        name: "members",
        title: "Members",
        fields: &[
            field("name", "Name", Kind::Name),
            field("keys", "SHA-256 hashes of keys", Kind::Texts),
            field("share", "Share", Kind::Number),
            field("rate", "Calls a second", Kind::Number),
            field("concurrency", "Calls at once", Kind::Number),
            field("minute_tokens", "Tokens a minute", Kind::Number),
        ],
    },
    Section {
        name: "targets",
        title: "Targets",
        fields: &[
            field("name", "Name", Kind::Name),
            field("address", "Address", Kind::Address),
            field("zone", "Availability zone", Kind::Name),
            field("state", "State", Kind::Choice(&["active", "leaving"])),
            field("members", "Members it may serve (empty: all)", Kind::Names),
            field("kind.engine.models", "Engine: models", Kind::Names),
            field("kind.engine.slots", "Engine: slots", Kind::Number),
            field("kind.engine.memory", "Engine: cache memory, in tokens", Kind::Number),
            field("kind.engine.fencing", "Engine: checks fencing numbers", FLAG),
            field("kind.engine.prefill_rate", "Engine: prefill, tokens a second", Kind::Number),
            field("kind.engine.decode_rate", "Engine: decode, tokens a second", Kind::Number),
            field("kind.service.service", "Service: provides", Kind::Name),
            field("kind.service.slots", "Service: slots", Kind::Number),
            field("kind.service.timeout_ms", "Service: timeout, in ms", Kind::Number),
        ],
    },
    Section {
        name: "classes",
        title: "Classes",
        fields: &[
            field("name", "Name", Kind::Name),
            field("priority", "Priority (smaller first)", Kind::Number),
            field("deadline_ms", "Deadline of a call, in ms", Kind::Number),
            field("tokens", "Tokens of a program", Kind::Number),
            field("calls", "Calls of a program", Kind::Number),
            field("wall_s", "Time of a program, in s", Kind::Number),
            field("block", "Tokens ahead of the journal", Kind::Number),
            field("max_tokens", "Tokens of an answer", Kind::Number),
            field("history", "History kept by", Kind::Choice(&["journal", "caller"])),
            field("retries", "Retries", Kind::Number),
            field("reserved", "Has reserved slots", FLAG),
            field("latency_weight", "Weight of latency", Kind::Decimal),
            field("waste_weight", "Weight of wasted cache", Kind::Decimal),
        ],
    },
    Section {
        name: "objectives",
        title: "Objectives",
        fields: &[
            field("name", "Name", Kind::Text),
            field(
                "kind",
                "Measures",
                Kind::Choice(&["first-token", "between-tokens", "program-latency", "refusals"]),
            ),
            field("class", "Class (empty: all)", Kind::Name),
            field("threshold_ms", "Good up to, in ms", Kind::Number),
            field("target", "Share of good events", Kind::Decimal),
        ],
    },
];

impl Section {
    /// Returns the section called `name`.
    pub(crate) fn find(name: &str) -> Option<&'static Section> {
        SECTIONS.iter().find(|it| it.name == name)
    }
}

impl Kind {
    /// Reads a field's text, which is not empty.
    pub(crate) fn read(self, text: &str) -> Result<Value, String> {
        let name = |it: &str| -> Result<Value, String> {
            it.parse::<MemberName>().map_err(|it| it.to_string())?;
            Ok(Value::from(it))
        };
        match self {
            Kind::Name => name(text),
            Kind::Names => {
                text.split_whitespace().map(name).collect::<Result<_, _>>().map(Value::Array)
            }
            Kind::Text => Ok(Value::from(text)),
            Kind::Texts => Ok(Value::Array(text.split_whitespace().map(Value::from).collect())),
            Kind::Number => {
                let number = text.parse::<i64>();
                number.map(Value::from).map_err(|_| "must be a whole number".to_owned())
            }
            Kind::Decimal => {
                let number = text.parse::<f64>();
                number.map(Value::from).map_err(|_| "must be a number".to_owned())
            }
            Kind::Address => match text.parse::<SocketAddr>() {
                Ok(_) => Ok(Value::from(text)),
                Err(_) => Err("must be an IP number and a port".to_owned()),
            },
            Kind::Choice(words) if words.contains(&text) => Ok(match text {
                "true" => Value::from(true),
                "false" => Value::from(false),
                _ => Value::from(text),
            }),
            Kind::Choice(words) => Err(format!("must be one of {}", words.join(", "))),
        }
    }

    /// Writes a value as a field's text.
    pub(crate) fn write(value: &Value) -> String {
        match value {
            Value::String(text) => text.clone(),
            Value::Array(values) => values.iter().map(Kind::write).collect::<Vec<_>>().join(" "),
            other => other.to_string(),
        }
    }
}
