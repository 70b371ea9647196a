//! The newest versions, and the texts that lead to the newest.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::Document;
use crate::message::{Delta, Message, Snapshot};
use crate::version::{Digest, Version};

/// Versions that are kept at most. A gateway that has an older one gets a snapshot.
pub const HISTORY_VERSIONS: usize = 32;

/// A bounded number of versions, ascending, and what was encoded for the newest.
#[derive(Debug, Default)]
pub(super) struct History {
    versions: Vec<(Version, Document)>,
    /// By the version that it starts from; [`Version::NONE`]: the snapshot.
    texts: HashMap<Version, Arc<str>>,
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

    /// What brings a gateway to the newest version: the difference from what it has, where that is known and the
    /// difference is the shorter, else the whole. None while nothing was published.
    pub(super) fn text_for(&mut self, has: Version, digest: Option<Digest>) -> Option<Arc<str>> {
        let snapshot = self.snapshot()?;
        let is_known = digest.is_some() && self.digest(has) == digest && has < self.newest();
        if !is_known {
            return Some(snapshot);
        }
        let delta = self.delta(has)?;
        Some(if delta.len() < snapshot.len() { delta } else { snapshot })
    }

    fn document(&self, version: Version) -> Option<&Document> {
        let place = self.versions.binary_search_by_key(&version, |(version, _)| *version).ok()?;
        Some(&self.versions[place].1)
    }

    fn snapshot(&mut self) -> Option<Arc<str>> {
        if let Some(text) = self.texts.get(&Version::NONE) {
            return Some(text.clone());
        }
        let (version, document) = self.versions.last()?;
        let text: Arc<str> = Message::Snapshot(Snapshot::of(*version, document)).encode().into();
        self.texts.insert(Version::NONE, text.clone());
        Some(text)
    }

    fn delta(&mut self, from: Version) -> Option<Arc<str>> {
        if let Some(text) = self.texts.get(&from) {
            return Some(text.clone());
        }
        let (version, document) = self.versions.last()?;
        let delta = Delta::between((from, self.document(from)?), (*version, document));
        let text: Arc<str> = Message::Delta(delta).encode().into();
        self.texts.insert(from, text.clone());
        Some(text)
    }
}
