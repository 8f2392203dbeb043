//! Violations that validation finds.

use std::fmt;

/// The violation of a rule by one field.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The path of the field, for example `members[2].share`.
    pub field: String,
    /// The value of the field, as text.
    pub value: String,
    /// The violated rule, worded as a predicate, for example `must be at least 1`.
    pub rule: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: {}", self.field, self.value, self.rule)
    }
}

/// All violations in one document or settings file; not empty when returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Adds a violation unless `holds`.
    pub fn require(
        &mut self,
        holds: bool,
        field: impl Into<String>,
        value: impl fmt::Display,
        rule: &str,
    ) {
        if !holds {
            let problem =
                Problem { field: field.into(), value: value.to_string(), rule: rule.to_owned() };
            self.0.push(problem);
        }
    }

    /// Returns `value`, or the violations if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Problems> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }

    /// Converts a TOML error: a syntax error, or a missing, unknown or mistyped field.
    ///
    /// The result is one violation of the field `document`, whose rule is the TOML error.
    pub fn from_syntax_error(error: &toml::de::Error) -> Problems {
        let rule = error.to_string().trim().to_owned();
        let field = "document".to_owned();
        Problems(vec![Problem { field, value: "text".to_owned(), rule }])
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index != 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
