//! Typed access to JSON documents. Every error contains the path of the value in the document.
//!
//! [`JsonField`] is a path in a document, with or without a value. A member that is `null` counts as absent.

use std::collections::HashMap;
use std::net::SocketAddr;

use tinyjson::JsonValue;

/// Error of reading a JSON document.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// The text is not JSON.
    #[error("{path} is not JSON: {source}")]
    Syntax {
        /// Name of the document.
        path: String,
        /// Position and cause of the syntax error.
        source: tinyjson::JsonParseError,
    },
    /// A value is missing or has the wrong type.
    #[error("{path}: {expected} expected")]
    Value {
        /// Path of the value, which starts with the name of the document.
        path: String,
        /// Description of a valid value.
        expected: &'static str,
    },
}

/// Parses a document. `path` is the name of the document in errors.
///
/// # Errors
/// The text is not JSON.
pub fn parse(text: &str, path: &str) -> Result<JsonValue, JsonError> {
    text.parse().map_err(|source| JsonError::Syntax { path: path.to_owned(), source })
}

/// A path in a JSON document, with the value at this path if the document has one.
#[derive(Clone)]
pub struct JsonField<'a> {
    value: Option<&'a JsonValue>,
    path: String,
}

impl<'a> JsonField<'a> {
    /// Returns the root of a document. `path` is the name of the document in errors.
    pub fn root(value: &'a JsonValue, path: &str) -> Self {
        Self { value: Some(value), path: path.to_owned() }
    }

    /// Returns a member of an object. The field has no value if the member is absent or `null`, or if this field is not
    /// an object.
    pub fn get(&self, key: &str) -> JsonField<'a> {
        let object = self.value.and_then(|v| v.get::<HashMap<String, JsonValue>>());
        let value = object.and_then(|o| o.get(key)).filter(|v| !matches!(v, JsonValue::Null));
        JsonField { value, path: format!("{}.{key}", self.path) }
    }

    /// Creates an error for this path.
    pub fn expected(&self, expected: &'static str) -> JsonError {
        JsonError::Value { path: self.path.clone(), expected }
    }

    /// Whether there is a value.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Reads a number, or the default if the value is absent.
    ///
    /// # Errors
    /// The value is not a number.
    pub fn number_or(&self, default: f64) -> Result<f64, JsonError> {
        if self.is_present() { self.number() } else { Ok(default) }
    }

    /// Reads a number.
    ///
    /// # Errors
    /// The value is absent or not a number.
    pub fn number(&self) -> Result<f64, JsonError> {
        self.value.and_then(|v| v.get::<f64>()).copied().ok_or_else(|| self.expected("a number"))
    }

    /// Reads a string.
    ///
    /// # Errors
    /// The value is absent or not a string.
    pub fn string(&self) -> Result<String, JsonError> {
        self.value.and_then(|v| v.get::<String>()).cloned().ok_or_else(|| self.expected("a text"))
    }

    /// Reads a string, which is empty if the value is absent.
    ///
    /// # Errors
    /// The value is not a string.
    pub fn string_or_empty(&self) -> Result<String, JsonError> {
        if self.is_present() { self.string() } else { Ok(String::new()) }
    }

    /// Reads a boolean, which is false if the value is absent.
    ///
    /// # Errors
    /// The value is not a boolean.
    pub fn flag(&self) -> Result<bool, JsonError> {
        match self.value {
            None => Ok(false),
            Some(v) => v.get::<bool>().copied().ok_or_else(|| self.expected("true or false")),
        }
    }

    /// Returns the elements of an array, or no elements if the value is absent.
    ///
    /// # Errors
    /// The value is not an array.
    pub fn elements(&self) -> Result<Vec<JsonField<'a>>, JsonError> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let array = value.get::<Vec<JsonValue>>().ok_or_else(|| self.expected("an array"))?;
        let field = |(i, v)| JsonField { value: Some(v), path: format!("{}[{i}]", self.path) };
        Ok(array.iter().enumerate().map(field).collect())
    }

    /// Reads the elements of an array of strings, or no elements if the value is absent.
    ///
    /// # Errors
    /// The value is not an array, or an element is not a string.
    pub fn strings(&self) -> Result<Vec<String>, JsonError> {
        self.elements()?.iter().map(JsonField::string).collect()
    }

    /// Reads a socket address.
    ///
    /// # Errors
    /// The value is absent or not an IP address with a port.
    pub fn socket_address(&self) -> Result<SocketAddr, JsonError> {
        self.string()?.parse().map_err(|_| self.expected("an address with a port"))
    }

    /// Reads a socket address, or `None` if the value is absent.
    ///
    /// # Errors
    /// The value is not an IP address with a port.
    pub fn optional_socket_address(&self) -> Result<Option<SocketAddr>, JsonError> {
        if self.is_present() { self.socket_address().map(Some) } else { Ok(None) }
    }
}
