//! Validated names, one type for each kind of thing; immutable and cheap to clone.

use std::{fmt, str::FromStr, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why a text is not a valid name, label or identifier.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NameError {
    /// a name must not be empty
    Empty,
    /// a name has at most 64 bytes
    TooLong,
    /// a name consists of lower-case letters, digits, '-' and '_'
    BadCharacter,
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if MAX_NAME_BYTES < text.len() {
        return Err(NameError::TooLong);
    }
    let is_allowed =
        |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || it == '-' || it == '_';
    if !text.chars().all(is_allowed) {
        return Err(NameError::BadCharacter);
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[doc = $doc:literal] $name:ident;)*) => {$(
        #[doc = $doc]
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<$name, NameError> {
                check_name(text)?;
                Ok($name(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<$name, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_type! {
    /// The name of a member: an organisation that shares the platform.
    MemberName;
    /// The name of a target: a model engine or a plain service.
    TargetName;
    /// The name of a model.
    ModelName;
    /// The name of a service that one or more targets provide.
    ServiceName;
    /// The name of a class: programs with a common deadline, objective and journal rule.
    ClassName;
    /// The name of an availability zone.
    ZoneName;
    /// The name of one node process; a host runs one node.
    NodeName;
    /// The name of a stream in the platform's log service.
    StreamName;
}
