//! Messages between control plane servers and gateways, each one JSON text.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::document::{Document, DocumentError};
use crate::patch::{self, PatchError};
use crate::version::{Digest, GatewayId, Version};

/// Longer messages are rejected, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Reasons of refused versions are cut to this, in characters.
pub const MAX_REASON_CHARS: usize = 400;

/// Why a text is not a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// It is too long.
    #[error("{0} bytes, {MAX_MESSAGE_BYTES} at most")]
    TooLong(usize),
    /// It can't be read.
    #[error("not a message: {0}")]
    Json(#[from] serde_json::Error),
    /// A delta does not lead to a newer version.
    #[error("a difference from version {from} to {to}")]
    Backwards {
        /// The version it starts from.
        from: Version,
        /// The version it would lead to.
        to: Version,
    },
}

/// Why the contents of a message are not usable.
#[derive(Debug, thiserror::Error)]
pub enum VerifyError {
    /// It holds no document.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The delta does not fit the document that it is applied to.
    #[error(transparent)]
    Patch(#[from] PatchError),
    /// The document has another digest than the message says.
    #[error("digest {stated} stated, {found} found")]
    Digest {
        /// The digest in the message.
        stated: Digest,
        /// The digest of the document.
        found: Digest,
    },
}

/// A whole document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Its version.
    pub version: Version,
    /// The settings, not checked yet.
    pub document: Value,
    /// Their digest, as the sender says.
    pub digest: Digest,
}

impl Snapshot {
    /// The snapshot of a document.
    pub fn of(version: Version, document: &Document) -> Self {
        Self { version, document: document.value().clone(), digest: document.digest() }
    }

    /// The document, checked against the digest.
    ///
    /// # Errors
    /// It is no document, or has another digest.
    pub fn verify(self) -> Result<Document, VerifyError> {
        verify_digest(Document::new(self.document)?, self.digest)
    }
}

/// The difference between two documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version it starts from.
    pub from: Version,
    /// The version it leads to.
    pub to: Version,
    /// The changes: by RFC 7396, and by name where [`LIST_MEMBER`](crate::LIST_MEMBER) marks a list.
    pub patch: Value,
    /// The digest of the result, as the sender says.
    pub digest: Digest,
}

impl Delta {
    /// The difference between two versions.
    pub fn between(from: (Version, &Document), to: (Version, &Document)) -> Self {
        let patch = patch::difference(from.1.value(), to.1.value());
        Self { from: from.0, to: to.0, patch, digest: to.1.digest() }
    }

    /// The document that results from a base, checked against the digest.
    ///
    /// # Errors
    /// The delta does not fit the base, or the result has another digest.
    pub fn apply(self, base: &Document) -> Result<Document, VerifyError> {
        let mut value = base.value().clone();
        patch::apply(&mut value, self.patch)?;
        verify_digest(Document::new(value)?, self.digest)
    }
}

fn verify_digest(document: Document, stated: Digest) -> Result<Document, VerifyError> {
    let found = document.digest();
    if found == stated { Ok(document) } else { Err(VerifyError::Digest { stated, found }) }
}

/// A message from a control plane server to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Message {
    /// The whole configuration.
    Snapshot(Snapshot),
    /// The difference from an earlier version.
    Delta(Delta),
    /// Heartbeat: the newest version that the server has.
    Current(Version),
}

impl Message {
    /// Reads a message.
    ///
    /// # Errors
    /// The text is too long or no message.
    pub fn parse(text: &str) -> Result<Self, MessageError> {
        if text.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(text.len()));
        }
        let message = serde_json::from_str(text)?;
        if let Self::Delta(Delta { from, to, .. }) = &message {
            if to <= from {
                return Err(MessageError::Backwards { from: *from, to: *to });
            }
        }
        Ok(message)
    }

    /// The message as one JSON text without line breaks.
    pub fn encode(&self) -> String {
        // A message holds nothing that JSON can't: all keys are texts.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Its version.
    pub fn version(&self) -> Version {
        match self {
            Self::Snapshot(snapshot) => snapshot.version,
            Self::Delta(delta) => delta.to,
            Self::Current(version) => *version,
        }
    }
}

/// What became of a version at a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum Report {
    /// It is in force.
    Applied {
        /// The version.
        version: Version,
    },
    /// It was refused as a whole.
    Refused {
        /// The version.
        version: Version,
        /// Why, for people.
        reason: String,
        /// The version in force.
        in_force: Version,
    },
}

#[derive(Serialize, Deserialize)]
struct Envelope<R> {
    gateway: GatewayId,
    #[serde(flatten)]
    report: R,
}

impl Report {
    /// A refused version; the reason is cut to [`MAX_REASON_CHARS`].
    pub fn refused(version: Version, reason: &str, in_force: Version) -> Self {
        Self::Refused { version, reason: reason.chars().take(MAX_REASON_CHARS).collect(), in_force }
    }

    /// Reads a report and the gateway that sent it.
    ///
    /// # Errors
    /// The text is too long or no report.
    pub fn parse(text: &str) -> Result<(GatewayId, Self), MessageError> {
        if text.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(text.len()));
        }
        let envelope: Envelope<Self> = serde_json::from_str(text)?;
        Ok((envelope.gateway, envelope.report))
    }

    /// The report of a gateway as one JSON text.
    pub fn encode(&self, gateway: &GatewayId) -> String {
        let envelope = Envelope { gateway: gateway.clone(), report: self };
        serde_json::to_string(&envelope).unwrap_or_default()
    }

    /// Its version.
    pub fn version(&self) -> Version {
        match self {
            Self::Applied { version } | Self::Refused { version, .. } => *version,
        }
    }
}

#[cfg(test)]
mod tests;
