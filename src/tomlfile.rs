//! TOML read into a type, with errors that name the line and the key.

use crate::files::FileError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::ops::Range;
use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// Why a file is not taken.
#[derive(Debug, Error)]
pub enum TomlError {
    /// It cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// It is no TOML, or says what cannot be.
    #[error("line {line}: {}{reason}", if .key.is_empty() { String::new() } else { format!("{key}: ") })]
    Content {
        /// Where.
        line: usize,
        /// At which key, as far as that was reached.
        key: String,
        /// Why.
        reason: String,
    },
}

/// The line, from 1, of the byte at `at`.
pub fn line(text: &str, at: usize) -> usize {
    text.get(..at).unwrap_or_default().matches('\n').count() + 1
}

/// Reads a text. The type refuses unknown keys by itself; its default shows where tables belong.
///
/// # Errors
/// It is no TOML, has a key that nobody knows or one of another type or range.
pub fn parse<T: DeserializeOwned + Serialize + Default>(text: &str) -> Result<T, TomlError> {
    let wrong = |key: String, e: &toml::de::Error| {
        let reason = e.message().split_whitespace().collect::<Vec<_>>().join(" ");
        let key = if key == "." { String::new() } else { key };
        TomlError::Content { line: line(text, e.span().map_or(0, |s| s.start)), key, reason }
    };
    let parsed = DeTable::parse(text).map_err(|e| wrong(String::new(), &e))?;
    let known = toml::Table::try_from(T::default()).unwrap_or_default();
    if let Some((span, key)) = not_a_table("", parsed.get_ref(), &known) {
        let line = line(text, span.start);
        return Err(TomlError::Content { line, key, reason: "not a table".to_owned() });
    }
    let content = toml::Deserializer::from(parsed);
    serde_path_to_error::deserialize(content).map_err(|e| wrong(e.path().to_string(), e.inner()))
}

/// The first key that holds something else where a table belongs: an array would be read as its values in turn.
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
