//! What one round of releasing queued requests knows, so that engines are not searched for each request anew.

use crate::EngineId;

use super::admission::Needs;

/// Requests that admission treats alike but for their memory: those of one class that the token bucket
/// admits, or not.
#[derive(Clone, Default)]
struct Kind {
    /// Engines that admit them, of the active subset and of the others; none where not searched for yet.
    active: Option<Vec<EngineId>>,
    others: Option<Vec<EngineId>>,
    /// The least memory for which no engine was found.
    blocked_mb: f64,
}

/// One round over the queue.
pub(super) struct Release {
    kinds: Vec<Kind>,
}

impl Release {
    pub(super) fn new(classes: usize) -> Self {
        Self { kinds: vec![Kind { blocked_mb: f64::INFINITY, ..Kind::default() }; 2 * classes] }
    }

    fn kind(&mut self, needs: &Needs) -> &mut Kind {
        &mut self.kinds[kind_index(needs)]
    }

    /// Whether one that needs no more has found no engine.
    pub(super) fn is_blocked(&self, needs: &Needs) -> bool {
        needs.memory_mb >= self.kinds[kind_index(needs)].blocked_mb
    }

    /// Notes for which memory no engine was found.
    pub(super) fn block(&mut self, needs: &Needs, memory_mb: f64) {
        let kind = self.kind(needs);
        kind.blocked_mb = kind.blocked_mb.min(memory_mb);
    }

    /// The engines that admit such a request but for its memory, searched for once between two sends.
    pub(super) fn admitting(
        &mut self,
        needs: &Needs,
        active: bool,
        search: impl FnOnce() -> Vec<EngineId>,
    ) -> &[EngineId] {
        let kind = self.kind(needs);
        let known = if active { &mut kind.active } else { &mut kind.others };
        known.get_or_insert_with(search)
    }

    /// After a send other engines may admit.
    pub(super) fn forget_admitting(&mut self) {
        for kind in &mut self.kinds {
            (kind.active, kind.others) = (None, None);
        }
    }
}

fn kind_index(needs: &Needs) -> usize {
    2 * needs.class.0 + usize::from(needs.has_tokens)
}
