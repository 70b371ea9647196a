//! The versioned document: the normalised `settings` object of a gateway's configuration, and its digest.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::hash::Fnv1a;
use crate::patch::LIST_MEMBER;
use crate::version::Digest;

/// Error of parsing or validating a [`Document`].
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The text is not valid JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The JSON value is not an object.
    #[error("a JSON object expected")]
    NotAnObject,
    /// An object has a member called [`LIST_MEMBER`], which is reserved for patches.
    #[error("a member is called {LIST_MEMBER}, which is reserved")]
    ReservedMember,
}

/// The settings of a gateway: a JSON object without null members, which would mean the same as absent ones.
///
/// Clones share the JSON value.
#[derive(Clone, PartialEq)]
pub struct Document {
    value: Arc<Value>,
    digest: Digest,
}

impl Document {
    /// Normalises a JSON value. Null members of objects are removed at any depth, because a merge patch (RFC 7396)
    /// cannot express them and the gateway treats them as absent.
    ///
    /// # Errors
    /// The value is not an object, or an object in it has a member called [`LIST_MEMBER`].
    pub fn new(mut value: Value) -> Result<Self, DocumentError> {
        if !value.is_object() {
            return Err(DocumentError::NotAnObject);
        }
        normalise(&mut value)?;
        let digest = digest(&value);
        Ok(Self { value: Arc::new(value), digest })
    }

    /// 64-bit FNV-1a hash of the canonical JSON.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The settings as JSON, without null members.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Canonical JSON: sorted keys, no white space.
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

/// Hashes the canonical JSON. `serde_json` stores objects as sorted maps, so that the keys are written in order.
fn digest(value: &Value) -> Digest {
    let mut hash = Fnv1a::new();
    // Writing to the hash cannot fail, and every `Value` can be serialised.
    let written = serde_json::to_writer(&mut hash, value);
    debug_assert!(written.is_ok());
    Digest(hash.finish())
}

fn normalise(value: &mut Value) -> Result<(), DocumentError> {
    match value {
        Value::Object(members) => {
            if members.contains_key(LIST_MEMBER) {
                return Err(DocumentError::ReservedMember);
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
