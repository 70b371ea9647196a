//! The table of open requests, and the reference counts of query ids.
//!
//! A query id is referenced by its request and by each attempt of that request. Attempts may outlive the request. An id
//! can't be reused while it is referenced, as engines identify a query by its id alone.

use std::collections::{BTreeMap, HashMap};

use workload_manager::{ClassId, RequestId};
use wrenhatch_sessions::session_table::Handle;

use crate::front::ExecutionMode;

/// Estimated size of a parameter of a prepared statement in bytes, without its value.
const PARAMETER_BYTES: usize = 64;

/// A request whose client awaits the final answer.
pub struct OpenClientRequest {
    pub client: Handle,
    pub query_id: String,
    pub class: ClassId,
    pub statement: Vec<u8>,
    /// The client's idempotency key, by which engines recognise a retry of the same work.
    pub idempotency_key: Option<String>,
    pub mode: ExecutionMode,
}

impl OpenClientRequest {
    /// Size of the request in bytes, as reserved in the memory budget.
    pub fn bytes(&self) -> usize {
        let params = match &self.mode {
            ExecutionMode::Execute { parameters, .. } => {
                parameters.iter().map(|p| PARAMETER_BYTES + p.value.as_ref().map_or(0, Vec::len)).sum()
            }
            ExecutionMode::Simple | ExecutionMode::Query => 0,
        };
        // An attempt holds a copy of the statement and the key until it is written.
        let key_bytes = self.idempotency_key.as_ref().map_or(0, String::len);
        size_of::<Self>() + self.query_id.len() + 2 * key_bytes + 2 * self.statement.len() + params
    }
}

/// All open requests and the query ids in use.
#[derive(Default)]
pub struct Requests {
    pub open: BTreeMap<RequestId, OpenClientRequest>,
    last_id: u64,
    /// Number of requests and attempts that reference each query id.
    query_ids: HashMap<u64, u32>,
}

/// Numeric value of a query id. Ids are compared by this value, as hex digits are case-insensitive.
fn query_id_number(query_id: &str) -> u64 {
    u64::from_str_radix(query_id, 16).unwrap_or(u64::MAX)
}

impl Requests {
    /// Allocates an id for a new request. Ids are never reused.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    pub fn insert(&mut self, id: RequestId, request: OpenClientRequest) {
        self.retain_query_id(&request.query_id);
        self.open.insert(id, request);
    }

    pub fn remove(&mut self, id: RequestId) -> Option<OpenClientRequest> {
        let request = self.open.remove(&id)?;
        self.release_query_id(&request.query_id);
        Some(request)
    }

    /// Whether a request or an attempt references this query id.
    pub fn is_query_id_in_use(&self, query_id: &str) -> bool {
        self.query_ids.contains_key(&query_id_number(query_id))
    }

    /// Adds a reference to a query id.
    pub fn retain_query_id(&mut self, query_id: &str) {
        *self.query_ids.entry(query_id_number(query_id)).or_default() += 1;
    }

    /// Removes a reference to a query id.
    pub fn release_query_id(&mut self, query_id: &str) {
        let number = query_id_number(query_id);
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
