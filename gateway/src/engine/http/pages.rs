//! The pages of a result: lines of rows, each of cells that tabs separate.

use crate::front::Rows;

use super::Response;

/// A page holds at most so many bytes.
pub const MAX_PAGE_BYTES: usize = 6_000;
/// A result holds at most so many bytes, on pages of at least one row each.
const MAX_RESULT_BYTES: usize = 48_000;
const MAX_PAGES: u32 = 1_000;
/// Columns of a result without rows.
const DEFAULT_COLUMNS: usize = 3;

/// The pages of a result that have come so far.
#[derive(Debug, Default)]
pub struct Pages {
    pages: Vec<Vec<u8>>,
    /// Columns of the rows so far.
    columns: Option<usize>,
    /// How many there are in all, once the first has come.
    page_count: u32,
}

impl Pages {
    /// The number of the page that is next.
    pub fn next_page(&self) -> u32 {
        self.pages.len() as u32
    }

    /// Whether all pages are here.
    pub fn is_complete(&self) -> bool {
        self.next_page() >= self.page_count
    }

    /// Bytes allocated for the pages.
    pub fn allocated_bytes(&self) -> usize {
        self.pages.iter().map(Vec::capacity).sum()
    }

    /// Whether a response 200 is the page that is next, and complete: page 0 names the number of pages, a further one
    /// its own, and each holds complete rows that have as many columns as those before.
    pub fn is_next(&self, response: &Response) -> bool {
        let next = self.next_page();
        let is_named = if next == 0 {
            response.page_count.is_some_and(|n| n <= MAX_PAGES) && response.page_no.unwrap_or(0) == 0
        } else {
            response.page_no == Some(next)
        };
        let page = &response.body;
        let bytes: usize = self.pages.iter().map(Vec::len).sum();
        let columns = column_count(page);
        let has_same_columns = columns == self.columns || self.columns.is_none() || page.is_empty();
        let is_complete = page.is_empty() || columns.is_some();
        is_named
            && is_complete
            && has_same_columns
            && page.len() <= MAX_PAGE_BYTES
            && bytes + page.len() <= MAX_RESULT_BYTES
    }

    /// Adds the page of a response; see [`Pages::is_next`].
    pub fn push(&mut self, response: &mut Response) {
        if self.pages.is_empty() {
            self.page_count = response.page_count.unwrap_or(1);
        }
        self.columns = self.columns.or(column_count(&response.body));
        self.pages.push(std::mem::take(&mut response.body));
    }

    /// The rows of all pages; `None` if they are no table.
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

/// How many columns the rows of a page have; `None` where they differ, the last is cut off, or there are none.
fn column_count(page: &[u8]) -> Option<usize> {
    let (b'\n', rows) = page.split_last()? else { return None };
    let mut counts = rows.split(|b| *b == b'\n').map(|row| row.iter().filter(|b| **b == b'\t').count() + 1);
    let first = counts.next()?;
    counts.all(|count| count == first).then_some(first)
}
