//! Reads TOML files into types, with errors that name the line and the key.

use crate::files::FileError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::ops::Range;
use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// Error of reading a TOML file.
#[derive(Debug, Error)]
pub enum TomlError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The contents are not valid TOML, or a key or value is invalid.
    #[error("line {line}: {}{reason}", if .key.is_empty() { String::new() } else { format!("{key}: ") })]
    Content {
        /// Line number, starting at 1.
        line: usize,
        /// Dotted path of the key, as far as it is known.
        key: String,
        /// Reason.
        reason: String,
    },
}

/// Returns the line number, starting at 1, of the byte at offset `at`.
pub fn line(text: &str, at: usize) -> usize {
    text.get(..at).unwrap_or_default().matches('\n').count() + 1
}

/// Parses a text. The type must reject unknown keys itself; its default value determines which keys are
/// tables.
///
/// # Errors
/// Returns an error if the text is not valid TOML, or has an unknown key or a value of the wrong type or
/// range.
pub fn parse<T: DeserializeOwned + Serialize + Default>(text: &str) -> Result<T, TomlError> {
    let content_error = |key: String, e: &toml::de::Error| {
        let reason = e.message().split_whitespace().collect::<Vec<_>>().join(" ");
        let key = if key == "." { String::new() } else { key };
        TomlError::Content { line: line(text, e.span().map_or(0, |s| s.start)), key, reason }
    };
    let parsed = DeTable::parse(text).map_err(|e| content_error(String::new(), &e))?;
    let known = toml::Table::try_from(T::default()).unwrap_or_default();
    if let Some((span, key)) = not_a_table("", parsed.get_ref(), &known) {
        let line = line(text, span.start);
        return Err(TomlError::Content { line, key, reason: "not a table".to_owned() });
    }
    let content = toml::Deserializer::from(parsed);
    serde_path_to_error::deserialize(content).map_err(|e| content_error(e.path().to_string(), e.inner()))
}

/// Returns the first key that should hold a table and does not. Without this check an array would be
/// deserialized as the fields of a struct, in order.
fn not_a_table(at: &str, content: &DeTable<'_>, known: &toml::Table) -> Option<(Range<usize>, String)> {
    content.iter().find_map(|(key, value)| {
        let known = known.get(key.get_ref().as_ref())?.as_table()?;
        let path = format!("{at}{}", key.get_ref());
        match value.get_ref() {
            DeValue::Table(table) => not_a_table(&format!("{path}."), table, known),
            _ => Some((key.span(), path)),
        }
    })
}
