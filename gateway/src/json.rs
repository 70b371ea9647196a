//! Reading of JSON documents by path, so that every error says where the value stands.
//!
//! [`JsonField`] is a place in a document: it may hold no value, and the read functions say what is wrong at that place.
//! A `null` counts as absent.

use std::collections::HashMap;
use std::net::SocketAddr;

use tinyjson::JsonValue;

/// Why a JSON document can't be read.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// A text is not JSON.
    #[error("{path} is not JSON: {source}")]
    Syntax {
        /// The document.
        path: String,
        /// What the parser says.
        source: tinyjson::JsonParseError,
    },
    /// A value is missing or of another type than expected.
    #[error("{path}: {expected} expected")]
    Value {
        /// Where it stands in the document.
        path: String,
        /// What was expected there.
        expected: &'static str,
    },
}

/// Parses a document; `path` names it in errors.
///
/// # Errors
/// The text is not JSON.
pub fn parse(text: &str, path: &str) -> Result<JsonValue, JsonError> {
    text.parse().map_err(|source| JsonError::Syntax { path: path.to_owned(), source })
}

/// A place in a JSON document: its path, and its value if there is one.
#[derive(Clone)]
pub struct JsonField<'a> {
    value: Option<&'a JsonValue>,
    path: String,
}

impl<'a> JsonField<'a> {
    /// The root of a document; `path` names the document in errors.
    pub fn root(value: &'a JsonValue, path: &str) -> Self {
        Self { value: Some(value), path: path.to_owned() }
    }

    /// A member of an object; without a value where it is absent.
    pub fn get(&self, key: &str) -> JsonField<'a> {
        let object = self.value.and_then(|v| v.get::<HashMap<String, JsonValue>>());
        let value = object.and_then(|o| o.get(key)).filter(|v| !matches!(v, JsonValue::Null));
        JsonField { value, path: format!("{}.{key}", self.path) }
    }

    /// The error that something else was expected here.
    pub fn expected(&self, expected: &'static str) -> JsonError {
        JsonError::Value { path: self.path.clone(), expected }
    }

    /// Whether there is a value.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// A number, or the default where it is absent.
    ///
    /// # Errors
    /// The value is no number.
    pub fn number_or(&self, default: f64) -> Result<f64, JsonError> {
        if self.is_present() { self.number() } else { Ok(default) }
    }

    /// A number.
    ///
    /// # Errors
    /// The value is absent or no number.
    pub fn number(&self) -> Result<f64, JsonError> {
        self.value.and_then(|v| v.get::<f64>()).copied().ok_or_else(|| self.expected("a number"))
    }

    /// A string.
    ///
    /// # Errors
    /// The value is absent or no string.
    pub fn string(&self) -> Result<String, JsonError> {
        self.value.and_then(|v| v.get::<String>()).cloned().ok_or_else(|| self.expected("a text"))
    }

    /// A string, empty where it is absent.
    ///
    /// # Errors
    /// The value is no string.
    pub fn string_or_empty(&self) -> Result<String, JsonError> {
        if self.is_present() { self.string() } else { Ok(String::new()) }
    }

    /// A flag, false where it is absent.
    ///
    /// # Errors
    /// The value is no boolean.
    pub fn flag(&self) -> Result<bool, JsonError> {
        match self.value {
            None => Ok(false),
            Some(v) => v.get::<bool>().copied().ok_or_else(|| self.expected("true or false")),
        }
    }

    /// The elements of an array; none where it is absent.
    ///
    /// # Errors
    /// The value is no array.
    pub fn elements(&self) -> Result<Vec<JsonField<'a>>, JsonError> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let array = value.get::<Vec<JsonValue>>().ok_or_else(|| self.expected("an array"))?;
        let field = |(i, v)| JsonField { value: Some(v), path: format!("{}[{i}]", self.path) };
        Ok(array.iter().enumerate().map(field).collect())
    }

    /// The elements of an array of strings; none where it is absent.
    ///
    /// # Errors
    /// The value is no array, or an element no string.
    pub fn strings(&self) -> Result<Vec<String>, JsonError> {
        self.elements()?.iter().map(JsonField::string).collect()
    }

    /// A socket address.
    ///
    /// # Errors
    /// The value is absent or no IP address with a port.
    pub fn socket_address(&self) -> Result<SocketAddr, JsonError> {
        self.string()?.parse().map_err(|_| self.expected("an address with a port"))
    }

    /// A socket address, if there is a value.
    ///
    /// # Errors
    /// The value is no IP address with a port.
    pub fn optional_socket_address(&self) -> Result<Option<SocketAddr>, JsonError> {
        if self.is_present() { self.socket_address().map(Some) } else { Ok(None) }
    }
}
