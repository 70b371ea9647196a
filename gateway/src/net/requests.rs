//! Open requests, and the query ids that are in use.
//!
//! A query id is in use by its request and by each attempt of it. Attempts may outlast the request, so that ids are
//! counted; engines know a query by its id alone.

use std::collections::{BTreeMap, HashMap};

use workload_manager::{ClassId, RequestId};
use wrenhatch_sessions::session_table::Handle;

use crate::front::ExecutionMode;

/// Bytes of a parameter of a prepared statement, beside its value.
const PARAMETER_BYTES: usize = 64;

/// An open request: its client is owed an answer.
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
    /// Bytes that it takes, for the memory budget.
    pub fn bytes(&self) -> usize {
        let params = match &self.run {
            ExecutionMode::Execute(params) => {
                params.iter().map(|p| PARAMETER_BYTES + p.value.as_ref().map_or(0, Vec::len)).sum()
            }
            ExecutionMode::Simple | ExecutionMode::Query => 0,
        };
        // An attempt has a copy of statement and key until it is written.
        let key_bytes = self.idempotency_key.as_ref().map_or(0, String::len);
        size_of::<Self>() + self.query_id.len() + 2 * key_bytes + 2 * self.statement.len() + params
    }
}

/// All open requests.
#[derive(Default)]
pub struct Requests {
    pub open: BTreeMap<RequestId, Request>,
    last_id: u64,
    /// How many requests and attempts use a query id, by its number.
    query_ids: HashMap<u64, u32>,
}

/// Ids are compared as numbers: hex digits of either case are the same id.
fn number(query_id: &str) -> u64 {
    u64::from_str_radix(query_id, 16).unwrap_or(u64::MAX)
}

impl Requests {
    /// An id for a new request; none is given out twice.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
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

    /// Whether a request or an attempt uses this query id.
    pub fn is_query_id_in_use(&self, query_id: &str) -> bool {
        self.query_ids.contains_key(&number(query_id))
    }

    /// A request or an attempt uses this query id.
    pub fn retain_query_id(&mut self, query_id: &str) {
        *self.query_ids.entry(number(query_id)).or_default() += 1;
    }

    /// A request or an attempt uses it no longer.
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
