//! The exchange of one attempt: polls for progress until the query ends, then fetches the result page by page. The
//! attempt succeeds once all pages were received, so that the request can be retried if the engine fails between pages.

use workload_manager::{LoadReport, Outcome};

use super::pages::Pages;
use super::{Response, get, status};
use crate::front::Rows;

/// The calls and responses of one attempt.
#[derive(Debug)]
pub struct Exchange {
    query_id: String,
    pages: Pages,
    cancelled: bool,
    /// The next response answers the call that starts the query, rather than a later or repeated call.
    starting: bool,
    /// Latest load report. Responses with further pages have none and leave it unchanged.
    pub load_report: Option<LoadReport>,
}

/// The effect of a response on the attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The next call was written to the output buffer.
    CallWritten,
    /// The query is being cancelled but still runs. No call was written.
    StillRunning,
    /// The response does not fit the call. The query itself may still be running.
    Unusable,
    /// The attempt has ended.
    Ended(Outcome),
}

impl Exchange {
    /// Creates the exchange of an attempt whose first call is being written.
    pub fn new(query_id: &str) -> Self {
        Self {
            query_id: query_id.to_owned(),
            pages: Pages::default(),
            cancelled: false,
            starting: true,
            load_report: None,
        }
    }

    /// Writes a call that replaces one whose response was lost. It requests a progress report or the next page.
    pub fn repeat_call(&mut self, out: &mut Vec<u8>) {
        self.starting = false;
        get(&self.query_id, self.pages.next_page(), out);
    }

    /// Memory of the pages received so far, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.pages.allocated_bytes()
    }

    /// Records that the query is being cancelled. Progress is not polled any more. If the result is already complete at
    /// the engine, its remaining pages are still requested.
    pub fn cancel(&mut self) {
        self.cancelled = true;
    }

    /// Handles a response, and writes the next call to `out` if there is one.
    pub fn on_response(&mut self, response: &mut Response, out: &mut Vec<u8>) -> Step {
        self.load_report = response.load_report.or(self.load_report);
        let starting = std::mem::replace(&mut self.starting, false);
        match response.status {
            status::ACCEPTED if self.cancelled => Step::StillRunning,
            status::ACCEPTED if self.pages.next_page() == 0 => {
                get(&self.query_id, 0, out);
                Step::CallWritten
            }
            status::OK if self.pages.is_next(response) => {
                self.pages.push(response);
                if self.pages.is_complete() {
                    return Step::Ended(Outcome::Success);
                }
                get(&self.query_id, self.pages.next_page(), out);
                Step::CallWritten
            }
            // Only in the response to the call that starts the query does `X-Shed` prove that the query never ran. In a
            // later response, or over another connection, the header may refer to a progress call, or come from another
            // engine at the same address. Without the header, the query may have run.
            status::SERVICE_UNAVAILABLE if response.shed && starting => Step::Ended(Outcome::Rejected),
            status::GATEWAY_TIMEOUT if response.shed && starting => Step::Ended(Outcome::NeverSent),
            status::SERVICE_UNAVAILABLE | status::GATEWAY_TIMEOUT if response.shed => Step::Unusable,
            // The engine may process the cancellation before it responds to the last call. Its response then describes
            // a query that no longer exists: an error, or a status 200 without the next page.
            status::OK | status::INTERNAL_SERVER_ERROR if self.cancelled => Step::Ended(Outcome::Cancelled),
            status::INTERNAL_SERVER_ERROR | status::SERVICE_UNAVAILABLE | status::GATEWAY_TIMEOUT => {
                Step::Ended(Outcome::Error)
            }
            _ => Step::Unusable,
        }
    }

    /// Returns the rows of all pages. `None` if a row is incomplete or the rows differ in their number of columns.
    pub fn rows(&self) -> Option<Rows> {
        self.pages.rows()
    }
}
