//! Bounded history of versions, and a cache of the encoded messages between them.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::Document;
use crate::message::{Delta, Message, Snapshot};
use crate::version::{Digest, Version};

/// Number of retained versions. Gateways with an older version are sent a snapshot.
pub const HISTORY_VERSIONS: usize = 32;

/// Base and target version of a message. The base of a snapshot is [`Version::NONE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Transition {
    from: Version,
    to: Version,
}

/// The newest versions in ascending order, and the messages encoded since the last version was added.
#[derive(Debug, Default)]
pub(super) struct History {
    versions: Vec<(Version, Document)>,
    texts: HashMap<Transition, Arc<str>>,
}

impl History {
    /// Newest version, or [`Version::NONE`] before the first version.
    pub(super) fn newest(&self) -> Version {
        self.versions.last().map_or(Version::NONE, |(version, _)| *version)
    }

    /// Document of the newest version. `None` before the first version.
    pub(super) fn newest_document(&self) -> Option<&Document> {
        self.versions.last().map(|(_, document)| document)
    }

    /// Digest of a version. `None` if the version is not retained.
    pub(super) fn digest(&self, version: Version) -> Option<Digest> {
        self.document(version).map(Document::digest)
    }

    /// Adds a version, which must be newer than all retained versions.
    pub(super) fn push(&mut self, version: Version, document: Document) {
        debug_assert!(version > self.newest());
        self.texts.clear();
        self.versions.push((version, document));
        if self.versions.len() > HISTORY_VERSIONS {
            self.versions.remove(0);
        }
    }

    /// All retained versions in descending order.
    pub(super) fn descending(&self) -> impl Iterator<Item = (Version, Digest)> {
        self.versions.iter().rev().map(|(version, document)| (*version, document.digest()))
    }

    /// Encodes the message that updates a gateway from version `base` to version `to`: a delta if `base` is retained
    /// with the same digest and the delta is shorter, otherwise a snapshot. `None` if `to` is not retained.
    pub(super) fn text_for(
        &mut self,
        base: Version,
        digest: Option<Digest>,
        to: Version,
    ) -> Option<Arc<str>> {
        let snapshot = self.text(Transition { from: Version::NONE, to })?;
        let has_base = digest.is_some() && self.digest(base) == digest && base < to;
        if !has_base {
            return Some(snapshot);
        }
        let delta = self.text(Transition { from: base, to })?;
        Some(if delta.len() < snapshot.len() { delta } else { snapshot })
    }

    fn document(&self, version: Version) -> Option<&Document> {
        let index = self.versions.binary_search_by_key(&version, |(version, _)| *version).ok()?;
        Some(&self.versions[index].1)
    }

    fn text(&mut self, transition: Transition) -> Option<Arc<str>> {
        if let Some(text) = self.texts.get(&transition) {
            return Some(text.clone());
        }
        let text: Arc<str> = self.message(transition)?.encode().into();
        self.texts.insert(transition, text.clone());
        Some(text)
    }

    fn message(&self, Transition { from, to }: Transition) -> Option<Message> {
        let document = self.document(to)?;
        if from == Version::NONE {
            return Some(Message::Snapshot(Snapshot::new(to, document)));
        }
        let base = self.document(from)?;
        Some(Message::Delta(Delta::between((from, base), (to, document))))
    }
}

#[cfg(test)]
mod tests;
