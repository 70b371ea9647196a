//! The exchange of one attempt: called for until it ends, then page after page. Only when all pages are here has it
//! succeeded, so that the request can be retried when its engine is lost between pages.

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
    /// The awaited response is that to the call that starts it, when first written.
    starting: bool,
    /// The newest load report that came along: further pages bring none.
    pub load_report: Option<LoadReport>,
}

/// What a response means for the attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The next call has been written.
    CallWritten,
    /// The attempt was cancelled and still runs; no further call is written.
    StillRunning,
    /// This can't have been the engine's response as it was meant. The query itself may be well.
    Unusable,
    /// It has ended.
    Ended(Outcome),
}

impl Exchange {
    /// An attempt whose start is being written.
    pub fn new(query_id: &str) -> Self {
        Self {
            query_id: query_id.to_owned(),
            pages: Pages::default(),
            cancelled: false,
            starting: true,
            load_report: None,
        }
    }

    /// Writes a call for the one whose response was lost: for a progress report, or for the page that is next.
    pub fn repeat_call(&mut self, out: &mut Vec<u8>) {
        self.starting = false;
        get(&self.query_id, self.pages.next_page(), out);
    }

    /// Bytes of the result that are held so far.
    pub fn held_bytes(&self) -> usize {
        self.pages.allocated_bytes()
    }

    /// It is being cancelled: no further call is written.
    pub fn cancel(&mut self) {
        self.cancelled = true;
    }

    /// Takes a response, and writes the next call to `out` if there is one.
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
            // Only these prove that it never ran, and only for the call that starts it: after a response that it
            // runs, or over another connection, perhaps to another engine at its address, they may mean the call for
            // a progress report. The same status without the mark may hide anything.
            status::SERVICE_UNAVAILABLE if response.shed && starting => Step::Ended(Outcome::Rejected),
            status::GATEWAY_TIMEOUT if response.shed && starting => Step::Ended(Outcome::NeverSent),
            status::SERVICE_UNAVAILABLE | status::GATEWAY_TIMEOUT if response.shed => Step::Unusable,
            // The engine took the cancellation before it answered the last call. That it does not know the query any
            // more is the end that was wanted, and no fault of the engine's.
            status::OK | status::INTERNAL_SERVER_ERROR if self.cancelled => Step::Ended(Outcome::Cancelled),
            status::INTERNAL_SERVER_ERROR | status::SERVICE_UNAVAILABLE | status::GATEWAY_TIMEOUT => {
                Step::Ended(Outcome::Error)
            }
            _ => Step::Unusable,
        }
    }

    /// The rows of all pages; `None` if they are no table.
    pub fn rows(&self) -> Option<Rows> {
        self.pages.rows()
    }
}
