//! Identifiers in messages and reports: version numbers, document digests and gateway names.

use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Version number of a configuration. Assigned when the configuration is published, and strictly increasing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Number that no published version has. As the version in force, it stands for the settings of the gateway's own
    /// file. As the version with which a stream is opened, it requests a snapshot.
    pub const NONE: Self = Self(0);
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// 64-bit FNV-1a hash of a document's canonical JSON, written as 16 hex digits. Detects mistakes and corruption, but
/// does not protect against forgery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Error of parsing a [`Digest`]: the text is not 16 hex digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("16 hex digits expected")]
pub struct DigestError;

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(DigestError);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| DigestError)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

/// Configured name of a gateway, by which control plane servers identify it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GatewayId(pub String);

impl fmt::Display for GatewayId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for GatewayId {
    fn from(name: &str) -> Self {
        Self(name.to_owned())
    }
}
