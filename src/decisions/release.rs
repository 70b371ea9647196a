//! Cache for one pass over the queue, so that requests with the same needs share the search for engines.

use crate::EngineId;

use super::admission::Needs;

/// Requests that admission distinguishes only by their memory: they have the same class and the same value of
/// [`Needs::has_tokens`].
#[derive(Clone, Default)]
struct Group {
    /// Engines that admit the requests, of the active subset and of the others. `None` before the search.
    active: Option<Vec<EngineId>>,
    others: Option<Vec<EngineId>>,
    /// Smallest memory for which no engine was found. 0 if none admits the requests at any memory.
    blocked_mb: f64,
}

/// Results of the searches for engines during one pass over the queue.
pub(super) struct ReleasePass {
    groups: Vec<Group>,
}

impl ReleasePass {
    pub(super) fn new(classes: usize) -> Self {
        Self { groups: vec![Group { blocked_mb: f64::INFINITY, ..Group::default() }; 2 * classes] }
    }

    fn group(&mut self, needs: &Needs) -> &mut Group {
        &mut self.groups[group_index(needs)]
    }

    /// Whether no engine was found for a request of the same group with at most this memory.
    pub(super) fn is_blocked(&self, needs: &Needs) -> bool {
        needs.memory_mb >= self.groups[group_index(needs)].blocked_mb
    }

    /// Records that no engine was found for this memory.
    pub(super) fn block(&mut self, needs: &Needs, memory_mb: f64) {
        let group = self.group(needs);
        group.blocked_mb = group.blocked_mb.min(memory_mb);
    }

    /// Engines of the active subset, or otherwise only those outside of it, that admit the request regardless
    /// of its memory. They are searched for once between two sends.
    pub(super) fn admitting(
        &mut self,
        needs: &Needs,
        active: bool,
        search: impl FnOnce() -> Vec<EngineId>,
    ) -> &[EngineId] {
        let group = self.group(needs);
        let known = if active { &mut group.active } else { &mut group.others };
        known.get_or_insert_with(search)
    }

    /// Discards the found engines, because a send changes the set of admitting engines.
    pub(super) fn clear_admitting(&mut self) {
        for group in &mut self.groups {
            (group.active, group.others) = (None, None);
        }
    }
}

fn group_index(needs: &Needs) -> usize {
    2 * needs.class.0 + usize::from(needs.has_tokens)
}
