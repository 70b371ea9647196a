//! Requests that are owed an answer, and the ids that are under way.

use std::collections::{BTreeMap, HashMap};

use workload_manager::{ClassId, RequestId};
use wrenhatch_sessions::session_table::Handle;

use crate::front::ExecutionMode;

/// A request that is owed an answer.
pub struct Request {
    pub client: Handle,
    pub ticket: String,
    pub class: ClassId,
    pub statement: Vec<u8>,
    /// The client's token, by which engines know a repeat of the same work.
    pub token: Option<String>,
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
        let token = self.token.as_ref().map_or(0, String::len);
        size_of::<Self>() + self.ticket.len() + 2 * token + 2 * self.statement.len() + params
    }
}

/// Requests that are owed an answer.
#[derive(Default)]
pub struct Requests {
    pub open: BTreeMap<RequestId, Request>,
    given: u64,
    /// How many requests and attempts go by an id; engines know a query by nothing else.
    tickets: HashMap<u64, u32>,
}

fn number(ticket: &str) -> u64 {
    u64::from_str_radix(ticket, 16).unwrap_or(u64::MAX)
}

impl Requests {
    /// The number of the next request; it has never been given before.
    pub fn next(&mut self) -> RequestId {
        self.given += 1;
        RequestId(self.given)
    }

    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.take_ticket(&request.ticket);
        self.open.insert(id, request);
    }

    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.open.remove(&id)?;
        self.free_ticket(&request.ticket);
        Some(request)
    }

    /// Whether a request or an attempt with this id is under way.
    pub fn is_under_way(&self, ticket: &str) -> bool {
        self.tickets.contains_key(&number(ticket))
    }

    pub fn take_ticket(&mut self, ticket: &str) {
        *self.tickets.entry(number(ticket)).or_default() += 1;
    }

    pub fn free_ticket(&mut self, ticket: &str) {
        let number = number(ticket);
        if let Some(n) = self.tickets.get_mut(&number) {
            *n -= 1;
            if *n == 0 {
                self.tickets.remove(&number);
            }
        }
    }
}

#[cfg(test)]
mod tests;
