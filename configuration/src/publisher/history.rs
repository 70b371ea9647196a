//! The newest versions, and the texts that lead to them.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::Document;
use crate::message::{Delta, Message, Snapshot};
use crate::version::{Digest, Version};

/// Versions that are kept at most. A gateway that has an older one gets a snapshot.
pub const HISTORY_VERSIONS: usize = 32;

/// Which versions a text leads from and to; [`Version::NONE`] as the first: a snapshot.
type Way = (Version, Version);

/// A bounded number of versions, ascending, and what was encoded since the newest came.
#[derive(Debug, Default)]
pub(super) struct History {
    versions: Vec<(Version, Document)>,
    texts: HashMap<Way, Arc<str>>,
}

impl History {
    /// The newest version; [`Version::NONE`] while there is none.
    pub(super) fn newest(&self) -> Version {
        self.versions.last().map_or(Version::NONE, |(version, _)| *version)
    }

    pub(super) fn newest_document(&self) -> Option<&Document> {
        self.versions.last().map(|(_, document)| document)
    }

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

    /// What brings a gateway to a version: the difference from what it has, where that is known and the difference
    /// is the shorter, else the whole. None if the version is not kept.
    pub(super) fn text_for(&mut self, has: Version, digest: Option<Digest>, to: Version) -> Option<Arc<str>> {
        let snapshot = self.text((Version::NONE, to))?;
        let is_known = digest.is_some() && self.digest(has) == digest && has < to;
        if !is_known {
            return Some(snapshot);
        }
        let delta = self.text((has, to))?;
        Some(if delta.len() < snapshot.len() { delta } else { snapshot })
    }

    fn document(&self, version: Version) -> Option<&Document> {
        let place = self.versions.binary_search_by_key(&version, |(version, _)| *version).ok()?;
        Some(&self.versions[place].1)
    }

    fn text(&mut self, way: Way) -> Option<Arc<str>> {
        if let Some(text) = self.texts.get(&way) {
            return Some(text.clone());
        }
        let text: Arc<str> = self.message(way)?.encode().into();
        self.texts.insert(way, text.clone());
        Some(text)
    }

    fn message(&self, (from, to): Way) -> Option<Message> {
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
