//! Identifiers of programs, requests, attempts and process incarnations.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{MemberName, NameError};

/// The identifier of a program.
///
/// It contains the member, so that a request with another member's key is refused before any state
/// is looked up. The partition selects the journal stream that orders the program's records. The
/// text form is `member.partition.random`, with the random bits in hexadecimal.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ProgramId {
    /// The member on whose behalf the program runs.
    pub member: MemberName,
    /// The journal partition that holds the program's records.
    pub partition: u16,
    /// 128 random bits, chosen by the node that created the program.
    pub random: u128,
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{:032x}", self.member, self.partition, self.random)
    }
}

impl fmt::Debug for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for ProgramId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<ProgramId, NameError> {
        let mut parts = text.split('.');
        let (Some(member), Some(partition), Some(random), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(NameError::BadCharacter);
        };
        Ok(ProgramId {
            member: member.parse()?,
            partition: partition.parse().map_err(|_| NameError::BadCharacter)?,
            random: u128::from_str_radix(random, 16).map_err(|_| NameError::BadCharacter)?,
        })
    }
}

impl TryFrom<String> for ProgramId {
    type Error = NameError;

    fn try_from(text: String) -> Result<ProgramId, NameError> {
        text.parse()
    }
}

impl From<ProgramId> for String {
    fn from(id: ProgramId) -> String {
        id.to_string()
    }
}

/// The longest accepted label, in bytes.
const MAX_LABEL_BYTES: usize = 64;

/// Checks that a label is printable ASCII without spaces, so that it can be logged and sent as it
/// is.
fn check_label(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if MAX_LABEL_BYTES < text.len() {
        return Err(NameError::TooLong);
    }
    if !text.bytes().all(|it| it.is_ascii_graphic()) {
        return Err(NameError::BadCharacter);
    }
    Ok(())
}

macro_rules! label_type {
    ($($(#[doc = $doc:literal])* $name:ident;)*) => {$(
        $(#[doc = $doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the label as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<$name, NameError> {
                check_label(text)?;
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
            fn from(label: $name) -> String {
                label.0.as_ref().to_owned()
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

label_type! {
    /// The caller's identifier of one call, unique within its program.
    ///
    /// Retries of a call carry the same identifier, which is what makes them idempotent.
    RequestId;
    /// The caller's name for a program that its first call creates implicitly.
    ProgramLabel;
    /// The caller's name for one sequence of turns within a program.
    SessionLabel;
    /// The version of the software that a target runs. What two versions of one service write does
    /// not fit together in one stream.
    SoftwareVersion;
    /// The name of an organisation, as the operator's configuration spells it.
    OrganisationName;
    /// An identifier of one part of a prompt.
    ///
    /// Prompts that begin with the same parts have a common prefix, which an engine can cache once.
    PromptPart;
}

/// The identifier of one attempt at a target.
///
/// Each retry at a target has a new identifier, so that a late response reaches only the attempt
/// to which it belongs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u128);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The start time of a node process, in milliseconds since the Unix epoch.
///
/// It distinguishes successive runs of a node at the same address; the larger number is the newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);
