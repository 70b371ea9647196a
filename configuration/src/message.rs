//! Messages from control plane servers to gateways, and reports from gateways. Each is one JSON text.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::document::{Document, DocumentError};
use crate::patch::{self, PatchError};
use crate::version::{Digest, GatewayId, Version};

/// Longest accepted message or report, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Longest reason that [`Report::refused`] keeps, in characters. Longer reasons are truncated.
pub const MAX_REASON_CHARS: usize = 400;

/// Error of parsing a [`Message`] or [`Report`].
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The text has this number of bytes, more than [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// The text is not JSON, or the JSON does not have the form of a message.
    #[error("not a message: {0}")]
    Json(#[from] serde_json::Error),
    /// The target version of a delta is not newer than its base version.
    #[error("target version {to} of a delta is not newer than its base version {from}")]
    NotNewer {
        /// Base version of the delta.
        from: Version,
        /// Target version of the delta.
        to: Version,
    },
}

/// Error of verifying the contents of a message. A snapshot with such an error is refused, with the text of the error
/// as the reason.
#[derive(Debug, thiserror::Error)]
pub enum VerifyError {
    /// The document of the message, or the result of the delta, is not valid.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The delta cannot be applied to the base document.
    #[error(transparent)]
    Patch(#[from] PatchError),
    /// The digest of the document differs from the digest in the message.
    #[error("digest {stated} stated, {found} found")]
    DigestMismatch {
        /// Digest in the message.
        stated: Digest,
        /// Digest computed from the document.
        found: Digest,
    },
}

/// A complete document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the document.
    pub version: Version,
    /// The settings, before validation.
    pub document: Value,
    /// Digest of the settings as stated by the sender.
    pub digest: Digest,
}

impl Snapshot {
    /// Creates the snapshot of a document.
    pub fn new(version: Version, document: &Document) -> Self {
        Self { version, document: document.value().clone(), digest: document.digest() }
    }

    /// Validates the document and its digest.
    ///
    /// # Errors
    /// The settings are not a valid document, or their digest differs from the stated digest.
    pub fn verify(self) -> Result<Document, VerifyError> {
        verify_digest(Document::new(self.document)?, self.digest)
    }
}

/// The difference between two documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Base version, to which the patch is applied.
    pub from: Version,
    /// Target version, which results from the patch.
    pub to: Version,
    /// Merge patch of RFC 7396, in which [`LIST_MEMBER`](crate::LIST_MEMBER) marks patches of lists by element name.
    pub patch: Value,
    /// Digest of the resulting document as stated by the sender.
    pub digest: Digest,
}

impl Delta {
    /// Computes the difference between two versions.
    pub fn between(from: (Version, &Document), to: (Version, &Document)) -> Self {
        let patch = patch::difference(from.1.value(), to.1.value());
        Self { from: from.0, to: to.0, patch, digest: to.1.digest() }
    }

    /// Applies the delta to a base document and verifies the digest of the result.
    ///
    /// # Errors
    /// The patch cannot be applied to the base, or the digest of the result differs from the stated digest.
    pub fn apply(self, base: &Document) -> Result<Document, VerifyError> {
        let mut value = base.value().clone();
        patch::apply(&mut value, self.patch)?;
        verify_digest(Document::new(value)?, self.digest)
    }
}

fn verify_digest(document: Document, stated: Digest) -> Result<Document, VerifyError> {
    let found = document.digest();
    if found == stated { Ok(document) } else { Err(VerifyError::DigestMismatch { stated, found }) }
}

/// A message from a control plane server to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Message {
    /// A complete document.
    Snapshot(Snapshot),
    /// The difference between an earlier version and a newer one.
    Delta(Delta),
    /// Heartbeat with the newest version of the server, or [`Version::NONE`] if the server has no version.
    Current(Version),
}

impl Message {
    /// Parses a message. The document of a snapshot and the patch of a delta are not validated.
    ///
    /// # Errors
    /// The text is too long or not a valid message.
    pub fn parse(text: &str) -> Result<Self, MessageError> {
        if text.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(text.len()));
        }
        let message = serde_json::from_str(text)?;
        if let Self::Delta(Delta { from, to, .. }) = &message {
            if to <= from {
                return Err(MessageError::NotNewer { from: *from, to: *to });
            }
        }
        Ok(message)
    }

    /// Encodes the message as JSON on a single line.
    pub fn encode(&self) -> String {
        // Serialisation cannot fail: all keys are strings.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Version of a snapshot or heartbeat, target version of a delta.
    pub fn version(&self) -> Version {
        match self {
            Self::Snapshot(snapshot) => snapshot.version,
            Self::Delta(delta) => delta.to,
            Self::Current(version) => *version,
        }
    }
}

/// Result of applying a version at a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum Report {
    /// The version is in force.
    Applied {
        /// Version in force.
        version: Version,
    },
    /// The version was refused as a whole.
    Refused {
        /// Refused version.
        version: Version,
        /// Error text for operators.
        reason: String,
        /// Version in force, which the refused version did not replace.
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
    /// Creates the report of a refused version. The reason is truncated to [`MAX_REASON_CHARS`].
    pub fn refused(version: Version, reason: &str, in_force: Version) -> Self {
        Self::Refused { version, reason: reason.chars().take(MAX_REASON_CHARS).collect(), in_force }
    }

    /// Parses a report. Returns the gateway that sent it and the report.
    ///
    /// # Errors
    /// The text is too long or not a valid report.
    pub fn parse(text: &str) -> Result<(GatewayId, Self), MessageError> {
        if text.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(text.len()));
        }
        let envelope: Envelope<Self> = serde_json::from_str(text)?;
        Ok((envelope.gateway, envelope.report))
    }

    /// Encodes the report of a gateway as JSON on a single line.
    pub fn encode(&self, gateway: &GatewayId) -> String {
        let envelope = Envelope { gateway: gateway.clone(), report: self };
        serde_json::to_string(&envelope).unwrap_or_default()
    }

    /// Version to which the report refers.
    pub fn version(&self) -> Version {
        match self {
            Self::Applied { version } | Self::Refused { version, .. } => *version,
        }
    }
}

#[cfg(test)]
mod tests;
