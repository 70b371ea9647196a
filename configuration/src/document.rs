//! The document that is versioned: the `settings` object of a gateway's configuration.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::hash::Fnv1a;
use crate::patch::LIST_MEMBER;
use crate::version::Digest;

/// Why a JSON value is not a document.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// It is JSON, but not an object.
    #[error("a JSON object expected")]
    NoObject,
    /// A member has the name that is reserved for patches.
    #[error("a member is called {LIST_MEMBER}, which is reserved")]
    Reserved,
}

/// The settings of a gateway: a JSON object without null members, which mean the same as absent ones.
///
/// A copy shares the contents.
#[derive(Clone, PartialEq)]
pub struct Document {
    value: Arc<Value>,
    digest: Digest,
}

impl Document {
    /// Takes a JSON value. Null members of objects are left out at any depth: a merge patch (RFC 7396) can't carry
    /// them, and the gateway reads them as absent.
    ///
    /// # Errors
    /// It is no object, or holds the reserved member.
    pub fn new(mut value: Value) -> Result<Self, DocumentError> {
        if !value.is_object() {
            return Err(DocumentError::NoObject);
        }
        normalise(&mut value)?;
        let digest = digest(&value);
        Ok(Self { value: Arc::new(value), digest })
    }

    /// The 64-bit FNV-1a over the canonical JSON.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The JSON value.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Canonical JSON: keys sorted, no blanks.
    pub fn canonical(&self) -> String {
        self.value.to_string()
    }
}

impl Default for Document {
    fn default() -> Self {
        let value = Value::Object(Map::new());
        Self { digest: digest(&value), value: Arc::new(value) }
    }
}

impl FromStr for Document {
    type Err = DocumentError;

    fn from_str(text: &str) -> Result<Self, DocumentError> {
        Self::new(serde_json::from_str(text)?)
    }
}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Document({})", self.digest)
    }
}

/// Keys are sorted because `serde_json` keeps objects as sorted maps.
fn digest(value: &Value) -> Digest {
    let mut hash = Fnv1a::new();
    // Neither the hash nor a JSON value can fail to be written.
    let written = serde_json::to_writer(&mut hash, value);
    debug_assert!(written.is_ok());
    Digest(hash.finish())
}

fn normalise(value: &mut Value) -> Result<(), DocumentError> {
    match value {
        Value::Object(members) => {
            if members.contains_key(LIST_MEMBER) {
                return Err(DocumentError::Reserved);
            }
            members.retain(|_, member| !member.is_null());
            members.values_mut().try_for_each(normalise)
        }
        Value::Array(items) => items.iter_mut().try_for_each(normalise),
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests;
