//! Result pages: rows are terminated by LF, and cells are separated by tabs.

use crate::front::Rows;

use super::Response;

/// Maximum length of a page.
pub const MAX_PAGE_BYTES: usize = 6_000;
/// Maximum total length of the pages of a result.
const MAX_RESULT_BYTES: usize = 48_000;
const MAX_PAGES: u32 = 1_000;
/// Number of columns of a result without rows.
const DEFAULT_COLUMNS: usize = 3;

/// The pages of a result received so far.
#[derive(Debug, Default)]
pub struct Pages {
    pages: Vec<Vec<u8>>,
    /// Number of columns. `None` until a page with rows was received.
    columns: Option<usize>,
    /// Total number of pages, as reported with the first page. 0 until then.
    page_count: u32,
}

impl Pages {
    /// Number of the next page, from 0.
    pub fn next_page(&self) -> u32 {
        self.pages.len() as u32
    }

    /// Whether all pages were received. Also true before the first page, as the total is unknown then.
    pub fn is_complete(&self) -> bool {
        self.next_page() >= self.page_count
    }

    /// Memory allocated for the pages, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.pages.iter().map(Vec::capacity).sum()
    }

    /// Whether a response with status 200 contains the next page. Page 0 must have `Page-Count`, and each further page
    /// its number in `Page-No`. A page must consist of complete rows with the same number of columns as earlier rows,
    /// and must exceed no size limit.
    pub fn is_next(&self, response: &Response) -> bool {
        let next = self.next_page();
        let is_numbered = if next == 0 {
            response.page_count.is_some_and(|n| n <= MAX_PAGES) && response.page_no.unwrap_or(0) == 0
        } else {
            response.page_no == Some(next)
        };
        let page = &response.body;
        let bytes: usize = self.pages.iter().map(Vec::len).sum();
        let columns = column_count(page);
        let has_same_columns = columns == self.columns || self.columns.is_none() || page.is_empty();
        let is_complete = page.is_empty() || columns.is_some();
        is_numbered
            && is_complete
            && has_same_columns
            && page.len() <= MAX_PAGE_BYTES
            && bytes + page.len() <= MAX_RESULT_BYTES
    }

    /// Appends the page of a response for which [`Pages::is_next`] returned true.
    pub fn push(&mut self, response: &mut Response) {
        if self.pages.is_empty() {
            self.page_count = response.page_count.unwrap_or(1);
        }
        self.columns = self.columns.or(column_count(&response.body));
        self.pages.push(std::mem::take(&mut response.body));
    }

    /// Returns the rows of all pages. `None` if a row is incomplete or the rows differ in their number of columns.
    pub fn rows(&self) -> Option<Rows> {
        let mut rows = Rows::default();
        for page in self.pages.iter().filter(|page| !page.is_empty()) {
            let Some((b'\n', lines)) = page.split_last() else { return None };
            for line in lines.split(|b| *b == b'\n') {
                let cells_before = rows.cells.len();
                rows.cells.extend(line.split(|b| *b == b'\t').map(|cell| Some(cell.to_vec())));
                let columns = rows.cells.len() - cells_before;
                if rows.columns.is_empty() {
                    rows.columns = column_names(columns);
                } else if columns != rows.columns.len() {
                    return None;
                }
            }
        }
        if rows.columns.is_empty() {
            rows.columns = column_names(DEFAULT_COLUMNS);
        }
        Some(rows)
    }
}

fn column_names(count: usize) -> Vec<String> {
    (1..=count).map(|n| format!("c{n}")).collect()
}

/// Returns the number of columns of a page. `None` if its rows differ, the last row is incomplete, or there is no row.
fn column_count(page: &[u8]) -> Option<usize> {
    let (b'\n', rows) = page.split_last()? else { return None };
    let mut counts = rows.split(|b| *b == b'\n').map(|row| row.iter().filter(|b| **b == b'\t').count() + 1);
    let first = counts.next()?;
    counts.all(|count| count == first).then_some(first)
}
