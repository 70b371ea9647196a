//! The engines by name: who is in the list, who ever was, and who is out by hand.
//!
//! An engine out by hand is to all that decides one that drains. Nothing here knows a socket; events go through
//! [`EngineRegistry::apply`] and come out as the rest of the gateway is to see them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use workload_manager::EndpointState;

use crate::config::{Endpoint, EndpointListEvent};

/// Names that are remembered at the least after their engines have gone.
const LEAST_NAMES: usize = 4096;
/// Bytes of the gateway's memory for which one more is.
const BYTES_A_NAME: usize = 8192;

/// No engine of this name was ever in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverListed;

/// The engines by name.
#[derive(Debug)]
pub struct EngineRegistry {
    listed: BTreeMap<String, Endpoint>,
    ever: BTreeSet<String>,
    order: VecDeque<String>,
    most_names: usize,
    out: BTreeSet<String>,
    /// When an engine that was out came back, in Unix milliseconds: it has been restarted and is cold.
    back_ms: BTreeMap<String, u64>,
}

impl EngineRegistry {
    /// Empty, with as many names as so much memory allows.
    pub fn new(memory: usize) -> Self {
        Self {
            listed: BTreeMap::new(),
            ever: BTreeSet::new(),
            order: VecDeque::new(),
            most_names: LEAST_NAMES.max(memory / BYTES_A_NAME),
            out: BTreeSet::new(),
            back_ms: BTreeMap::new(),
        }
    }

    /// Takes in an event of the list, and tells it as it counts: who is out by hand drains, whatever the list
    /// says, and who has come back started then at the earliest.
    ///
    /// An engine whose entry can't be read stays as it was listed, but drains: nothing says that it may be sent to.
    pub fn apply(&mut self, event: &EndpointListEvent) -> EndpointListEvent {
        let unread = event.unread.iter().filter_map(|u| self.listed.get(u.name.as_ref()?));
        let mut entries: Vec<Endpoint> =
            unread.map(|l| Endpoint { state: EndpointState::Draining, ..l.clone() }).collect();
        if event.full {
            self.listed.clear();
        }
        // Where an event has two of one name, the one that can be read counts.
        entries.extend_from_slice(&event.entries);
        for l in &entries {
            self.remember(&l.name);
            if l.state == EndpointState::Removed {
                self.listed.remove(&l.name);
            } else {
                self.listed.insert(l.name.clone(), l.clone());
            }
        }
        let entries = entries.iter().map(|l| self.counts_as(l)).collect();
        EndpointListEvent { index: event.index, full: event.full, entries, unread: Vec::new() }
    }

    fn counts_as(&self, l: &Endpoint) -> Endpoint {
        let state = match l.state {
            EndpointState::Ready if self.out.contains(&l.name) => EndpointState::Draining,
            state => state,
        };
        let since_ms = l.since_ms.max(self.back_ms.get(&l.name).copied().unwrap_or(0));
        Endpoint { state, since_ms, ..l.clone() }
    }

    /// A name was listed. The oldest are forgotten, so that new ones all day take no memory for good; one that is
    /// out by hand never is.
    pub fn remember(&mut self, name: &str) {
        if !self.ever.insert(name.to_owned()) {
            return;
        }
        self.order.push_back(name.to_owned());
        for _ in 0..self.order.len().saturating_sub(self.most_names) {
            let Some(oldest) = self.order.pop_front() else { return };
            if self.out.contains(&oldest) || self.listed.contains_key(&oldest) {
                self.order.push_back(oldest);
            } else {
                self.ever.remove(&oldest);
                self.back_ms.remove(&oldest);
            }
        }
    }

    /// A name that another process of this gateway remembers, and when its engine came back.
    pub fn restore(&mut self, name: &str, back_ms: u64) {
        self.remember(name);
        if back_ms > 0 {
            self.back_ms.insert(name.to_owned(), back_ms);
        }
    }

    /// Takes an engine out. The event, if any, says what has changed.
    ///
    /// # Errors
    /// It was never listed.
    pub fn enter(&mut self, name: &str) -> Result<Option<EndpointListEvent>, NeverListed> {
        if !self.ever.contains(name) {
            return Err(NeverListed);
        }
        Ok(self.out.insert(name.to_owned()).then(|| self.change(name)).flatten())
    }

    /// Lets an engine serve again, cold from this Unix millisecond on.
    ///
    /// # Errors
    /// It was never listed.
    pub fn exit(&mut self, name: &str, now_ms: u64) -> Result<Option<EndpointListEvent>, NeverListed> {
        if !self.ever.contains(name) {
            return Err(NeverListed);
        }
        if !self.out.remove(name) {
            return Ok(None);
        }
        self.back_ms.insert(name.to_owned(), now_ms);
        Ok(self.change(name))
    }

    fn change(&self, name: &str) -> Option<EndpointListEvent> {
        let entries = vec![self.counts_as(self.listed.get(name)?)];
        Some(EndpointListEvent { index: 0, full: false, entries, unread: Vec::new() })
    }

    /// How many engines are in the list.
    pub fn known(&self) -> usize {
        self.listed.len()
    }

    /// The engines in the list, as it has them.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values()
    }

    /// Who is out by hand.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.out.iter().map(String::as_str)
    }

    /// All names that are remembered, and those that came back with when.
    pub fn names(&self) -> impl Iterator<Item = (&str, u64)> {
        self.ever.iter().map(|n| (n.as_str(), self.back_ms.get(n).copied().unwrap_or(0)))
    }
}

#[cfg(test)]
mod tests;
