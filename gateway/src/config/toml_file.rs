//! TOML files written by hand: every error names file, line and key.

use serde::de::DeserializeOwned;

/// An error in a TOML file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}:{line}: {key}{message}")]
pub struct TomlError {
    /// The file.
    pub path: String,
    /// The line, from 1.
    pub line: usize,
    /// The key followed by a colon and a space; empty where the line has no key.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

/// The text of a TOML file.
#[derive(Clone, Copy, Debug)]
pub struct TomlFile<'a> {
    /// The file's name for errors.
    pub path: &'a str,
    /// Its text.
    pub text: &'a str,
}

impl TomlFile<'_> {
    /// Parses the text.
    ///
    /// # Errors
    /// The text is not TOML, a key is unknown or missing, or a value is of the wrong type.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, TomlError> {
        toml::from_str(self.text).map_err(|e| {
            let start = e.span().map_or(0, |span| span.start);
            self.error_at(start, e.message().replace('\n', " "))
        })
    }

    /// The error that something is wrong at this byte of the text.
    pub fn error_at(&self, offset: usize, message: String) -> TomlError {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count();
        let line_text = self.text.lines().nth(line).unwrap_or_default();
        let key = line_text.split_once('=').map(|(key, _)| format!("{}: ", key.trim())).unwrap_or_default();
        TomlError { path: self.path.to_owned(), line: line + 1, key, message }
    }
}
