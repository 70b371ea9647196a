//! Requests that are owed an answer, and the ids that are under way.

use std::collections::{BTreeMap, HashMap};

use workload_manager::{ClassId, RequestId};
use wrenhatch_sessions::session_table::Handle;

use crate::front::ExecutionMode;

/// A request that is owed an answer.
pub struct Request {
    pub client: Handle,
    pub query_id: String,
    pub class: ClassId,
    pub statement: Vec<u8>,
    /// The client's idempotency key, by which engines know a repeat of the same work.
    pub idempotency_key: Option<String>,
    pub run: ExecutionMode,
}

impl Request {
    /// Bytes that it takes, for the ledger.
    pub fn bytes(&self) -> usize {
        let params = match &self.run {
            ExecutionMode::Execute(params) => {
                params.iter().map(|p| 64 + p.value.as_ref().map_or(0, Vec::len)).sum()
            }
            ExecutionMode::Simple | ExecutionMode::Query => 0,
        };
        // Its copy for an attempt stands beside it until that is written.
        let key_bytes = self.idempotency_key.as_ref().map_or(0, String::len);
        size_of::<Self>() + self.query_id.len() + 2 * key_bytes + 2 * self.statement.len() + params
    }
}

/// Requests that are owed an answer.
#[derive(Default)]
pub struct Requests {
    pub open: BTreeMap<RequestId, Request>,
    given: u64,
    /// How many requests and attempts go by an id; engines know a query by nothing else.
    query_ids: HashMap<u64, u32>,
}

fn number(query_id: &str) -> u64 {
    u64::from_str_radix(query_id, 16).unwrap_or(u64::MAX)
}

impl Requests {
    /// The number of the next request; it has never been given before.
    pub fn next(&mut self) -> RequestId {
        self.given += 1;
        RequestId(self.given)
    }

    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.retain_query_id(&request.query_id);
        self.open.insert(id, request);
    }

    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.open.remove(&id)?;
        self.release_query_id(&request.query_id);
        Some(request)
    }

    /// Whether a request or an attempt with this id is under way.
    pub fn is_under_way(&self, query_id: &str) -> bool {
        self.query_ids.contains_key(&number(query_id))
    }

    pub fn retain_query_id(&mut self, query_id: &str) {
        *self.query_ids.entry(number(query_id)).or_default() += 1;
    }

    pub fn release_query_id(&mut self, query_id: &str) {
        let number = number(query_id);
        if let Some(n) = self.query_ids.get_mut(&number) {
            *n -= 1;
            if *n == 0 {
                self.query_ids.remove(&number);
            }
        }
    }
}

#[cfg(test)]
mod tests;
