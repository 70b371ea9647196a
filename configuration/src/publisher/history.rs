//! The newest versions, and the encoded messages that lead to them.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::Document;
use crate::message::{Delta, Message, Snapshot};
use crate::version::{Digest, Version};

/// Versions that are kept. A gateway that has an older one gets a snapshot.
pub const HISTORY_VERSIONS: usize = 32;

/// The versions that a message leads from and to; a snapshot leads from [`Version::NONE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Transition {
    from: Version,
    to: Version,
}

/// A bounded number of versions, ascending, and the messages encoded since the newest was added.
#[derive(Debug, Default)]
pub(super) struct History {
    versions: Vec<(Version, Document)>,
    texts: HashMap<Transition, Arc<str>>,
}

impl History {
    /// The newest version; [`Version::NONE`] while there is none.
    pub(super) fn newest(&self) -> Version {
        self.versions.last().map_or(Version::NONE, |(version, _)| *version)
    }

    /// The newest document; none while there is none.
    pub(super) fn newest_document(&self) -> Option<&Document> {
        self.versions.last().map(|(_, document)| document)
    }

    /// The digest of a version that is kept.
    pub(super) fn digest(&self, version: Version) -> Option<Digest> {
        self.document(version).map(Document::digest)
    }

    /// Adds a version, which has to be newer than all others.
    pub(super) fn push(&mut self, version: Version, document: Document) {
        debug_assert!(version > self.newest());
        self.texts.clear();
        self.versions.push((version, document));
        if self.versions.len() > HISTORY_VERSIONS {
            self.versions.remove(0);
        }
    }

    /// All versions that are kept, the newest first.
    pub(super) fn descending(&self) -> impl Iterator<Item = (Version, Digest)> {
        self.versions.iter().rev().map(|(version, document)| (*version, document.digest()))
    }

    /// The message that brings a gateway from the version that it has to another: a delta where the former is kept with
    /// the same digest and the delta is shorter, else a snapshot. None if the other version is not kept.
    pub(super) fn text_for(&mut self, has: Version, digest: Option<Digest>, to: Version) -> Option<Arc<str>> {
        let snapshot = self.text(Transition { from: Version::NONE, to })?;
        let is_known = digest.is_some() && self.digest(has) == digest && has < to;
        if !is_known {
            return Some(snapshot);
        }
        let delta = self.text(Transition { from: has, to })?;
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
            return Some(Message::Snapshot(Snapshot::of(to, document)));
        }
        let base = self.document(from)?;
        Some(Message::Delta(Delta::between((from, base), (to, document))))
    }
}

#[cfg(test)]
mod tests;
