//! Reader of hand-written TOML files. Every error has file, line and key.

use serde::de::DeserializeOwned;

/// An error in a TOML file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}:{line}: {key}{message}")]
pub struct TomlError {
    /// Path of the file as given by the caller.
    pub path: String,
    /// Line number, from 1.
    pub line: usize,
    /// Key followed by a colon and a space. Empty if the line has no key.
    pub key: String,
    /// Description of the error.
    pub message: String,
}

/// The text of a TOML file.
#[derive(Clone, Copy, Debug)]
pub struct TomlFile<'a> {
    /// Path of the file, for errors.
    pub path: &'a str,
    /// Whole content of the file.
    pub text: &'a str,
}

impl TomlFile<'_> {
    /// Parses the text.
    ///
    /// # Errors
    /// The text is not TOML, a key is unknown or missing, or a value is invalid.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, TomlError> {
        toml::from_str(self.text).map_err(|e| {
            let start = e.span().map_or(0, |span| span.start);
            self.error_at(start, e.message().replace('\n', " "))
        })
    }

    /// Creates an error for the line that contains the byte at `offset`.
    pub fn error_at(&self, offset: usize, message: String) -> TomlError {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count();
        let line_text = self.text.lines().nth(line).unwrap_or_default();
        let key = line_text.split_once('=').map(|(key, _)| format!("{}: ", key.trim())).unwrap_or_default();
        TomlError { path: self.path.to_owned(), line: line + 1, key, message }
    }
}
